"""A client that leaves while its request waits: the request is not forwarded, wherever it waits.

The clients use plain sockets between two awaits, so that the node does not run in between. What the
kernel holds when the node next runs is therefore the same in every run.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
from loopback import CacheBox, Rig, good, play, request, rig, until, whole

from corkshift import seam
from corkshift.frontend import ClientConnection
from corkshift.seam import now_ms
from corkshift.upstream import REST_MS
from forkweir.choice import HEDGE_LEAST

HOWS = ["end", "reset"]
# Bytes sent before the connection ends.
BEFORE = [
    b"",
    b"\r\n",
    b"GET /api/k HTTP/1.1\r\nHost: x\r\nX: " + b"x" * 9_000,
]


def client(made: Rig, data: bytes = b"", receive_buffer: int = 0) -> socket.socket:
    """A plain client that has sent these bytes; the kernel accepts it without the node."""
    sock = socket.socket()
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.connect(("127.0.0.1", made.port))
    sock.sendall(data)
    return sock


def leave(sock: socket.socket, how: str, before: bytes = b"") -> None:
    """Close the client's connection, or reset it, which discards unread bytes before it."""
    if before:
        sock.sendall(before)
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


async def warmed(made: Rig) -> None:
    """Open an idle connection to each cache server, so that no request waits for a connect."""
    for server in made.node.servers.values():
        made.pool.keep(server, await made.pool.connect(server))
    await until(
        lambda: all(
            now_ms() - since_ms > REST_MS
            for s in made.node.servers.values()
            for since_ms, _ in s.idle
        )
    )


async def read(sock: socket.socket, size: int = 65_536) -> bytes:
    sock.setblocking(False)
    return await asyncio.get_running_loop().sock_recv(sock, size)


async def kept(made: Rig) -> socket.socket:
    """A client that has had a request answered on its connection."""
    sock = client(made, request("before", path="/api/before"))
    assert b"200" in await read(sock)
    return sock


def asked(made: Rig) -> list[bytes]:
    """The paths requested from cache servers, except those of `kept`."""
    paths = [head.split(b" ")[1] for box in made.boxes.values() for head in box.heads]
    return [path for path in paths if path != b"/api/before"]


async def settled(made: Rig) -> None:
    """Wait until no request or attempt is open, and 20 loop iterations more."""
    await until(lambda: not (made.node._calls or made.node._attempts or made.node._balancer.held))
    for _ in range(20):
        await asyncio.sleep(0)


@asynccontextmanager
async def dials_wait(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Callable[[], None]]:
    """Connects to cache servers complete only once the function yielded here is called."""
    opened, connect = asyncio.Event(), seam.connect

    async def slow(sock: Any, address: Any) -> None:
        await opened.wait()
        await connect(sock, address)

    with monkeypatch.context() as patch:
        patch.setattr(seam, "connect", slow)
        yield opened.set


@pytest.mark.parametrize("before", BEFORE, ids=["bare", "line", "half"])
@pytest.mark.parametrize("how", HOWS)
def test_behind_a_slow_dial(monkeypatch: pytest.MonkeyPatch, how: str, before: bytes) -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made, dials_wait(monkeypatch) as come_up:
            sock = client(made, request("a"))
            await until(lambda: bool(made.node._running))
            leave(sock, how, before)
            await until(lambda: not made.node._calls)
            come_up()
            await settled(made)
            assert asked(made) == []

    play(test)


def test_behind_a_slow_dial_that_comes_up_in_the_moment_of_the_leaving(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # When the node next runs, the connect has completed and the client's end is in the kernel.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made, dials_wait(monkeypatch) as come_up:
            sock = client(made, request("a"))
            await until(lambda: bool(made.node._running))
            made.node._calls[1].since_ms -= 400.0
            come_up()
            leave(sock, "end")
            await settled(made)
            assert asked(made) == []

    play(test)


@pytest.mark.parametrize("how", HOWS)
def test_behind_a_refused_dial(how: str) -> None:
    async def test() -> None:
        box = CacheBox()
        async with rig({"s0": box, "s1": CacheBox()}) as made:
            box.close()
            socks = [client(made, request(f"a{n}", path=f"/api/{n}")) for n in range(12)]
            for sock in socks:
                leave(sock, how)
            await settled(made)
            assert asked(made) == []

    play(test)


@pytest.mark.parametrize("how", HOWS)
def test_a_burst_of_a_hundred_that_leave_together(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    async def test() -> None:
        async with (
            rig({"s0": CacheBox(), "s1": CacheBox()}, 512) as made,
            dials_wait(monkeypatch) as come_up,
        ):
            socks = [client(made, request(f"a{n}", path=f"/api/{n}")) for n in range(100)]
            await until(lambda: len(made.node._running) == 100)
            for sock in socks:
                leave(sock, how)
            come_up()
            await settled(made)
            assert asked(made) == []

    play(test)


@pytest.mark.parametrize(
    "before", [*BEFORE, b"\r\n" * 35_000], ids=["bare", "line", "half", "more-than-a-read"]
)
def test_while_the_node_stood_still_on_a_kept_connection(before: bytes) -> None:
    # Request and end arrive together: the end is seen one loop iteration after the request is read.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            sock = await kept(made)
            await warmed(made)
            sock.setblocking(True)
            sock.sendall(request("a"))
            leave(sock, "end", before)
            await settled(made)
            await until(lambda: not made.frontend._connections)
            assert asked(made) == []

    play(test)


@pytest.mark.parametrize(
    "before", [*BEFORE, b"\r\n" * 40_000], ids=["bare", "line", "half", "more-than-a-buffer"]
)
@pytest.mark.parametrize("how", HOWS)
def test_in_the_accept_queue(how: str, before: bytes) -> None:
    async def test() -> None:
        hold = asyncio.Event()

        async def held(head: bytes) -> bytes:
            await hold.wait()
            return good(head)

        box = CacheBox(
            lambda head: held(head) if head.split(b" ")[1] == b"/api/first" else good(head)
        )
        async with rig({"s0": box}, clients=1) as made:
            first = client(made, request("first", "Connection: close\r\n", "/api/first"))
            await until(lambda: bool(box.heads))
            leave(client(made, request("a")), how, before)
            hold.set()
            await read(first)
            # It is accepted after the client that left.
            after = client(made, request("b", path="/api/after"))
            assert b"200" in await read(after)
            assert asked(made) == [b"/api/first", b"/api/after"]

    play(test)


@pytest.mark.parametrize("how", HOWS)
def test_between_two_attempts(how: str) -> None:
    # The answer that rejects the first attempt and the client's end are in the kernel together.
    async def test() -> None:
        async with rig({"s0": CacheBox(), "s1": CacheBox()}) as made:
            listener = socket.create_server(("127.0.0.1", 0))
            listener.setblocking(False)
            for server in made.node.servers.values():
                server.address = listener.getsockname()
            sock = client(made, request("a"))
            loop = asyncio.get_running_loop()
            box, _ = await loop.sock_accept(listener)
            await loop.sock_recv(box, 4_096)
            made.node._calls[1].since_ms -= 400.0
            box.setblocking(True)
            box.sendall(b"HTTP/1.1 503 -\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
            leave(sock, how)
            await settled(made)
            listener.setblocking(False)
            with pytest.raises(BlockingIOError):
                listener.accept()  # no second connect
            box.setblocking(False)
            with pytest.raises((BlockingIOError, ConnectionError)):
                assert box.recv(1) == b""
                raise ConnectionResetError
            box.close()
            listener.close()

    play(test)


@pytest.mark.parametrize("how", HOWS)
def test_before_a_second_request_for_what_has_been_out_for_long(how: str) -> None:
    # A timer is due and the client's end is in the kernel when a stalled node runs again. Timers
    # run first.
    async def test() -> None:
        async with rig(
            {"s0": CacheBox(lambda head: None), "s1": CacheBox(lambda head: None)}
        ) as made:
            await warmed(made)
            balancer = made.node._balancer
            balancer.usual = HEDGE_LEAST
            sock = client(made, request("a", lane="brisk"))
            await until(lambda: bool(asked(made)))
            await warmed(made)
            call = made.node._calls[1]
            call.since_ms -= 400.0
            balancer.waits[:] = [(0.0, call.id)]
            leave(sock, how)
            made.node._due(3)
            assert len(made.node._running) == 2  # the decisions started a hedged request
            await settled(made)
            assert len(asked(made)) == 1

    play(test)


@pytest.mark.parametrize("how", HOWS)
def test_behind_an_earlier_answer_on_its_connection(how: str) -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox(lambda head: None)}, 256) as made:
            sock = client(made, b"".join(request(f"a{n}", path=f"/api/{n}") for n in range(20)))
            await until(lambda: len(asked(made)) >= 5)
            await until(lambda: len(asked(made)) == len(made.node._calls))
            before = asked(made)
            leave(sock, how)
            await settled(made)
            assert asked(made) == before and len(before) < 20

    play(test)


@pytest.mark.parametrize("how", HOWS)
def test_behind_a_client_that_does_not_read(monkeypatch: pytest.MonkeyPatch, how: str) -> None:
    async def test() -> None:
        large = whole(b"x" * 1_000_000)
        box = CacheBox(lambda head: large if head.split(b" ")[1] == b"/api/large" else good(head))
        async with rig({"s0": box}) as made:
            sock = client(made, request("a", path="/api/large"), 4_096)
            await until(
                lambda: any(c._stream._writer is not None for c in made.frontend._connections)
            )
            async with dials_wait(monkeypatch) as come_up:
                sock.sendall(request("b"))
                await until(lambda: len(made.node._running) == 2)
                leave(sock, how)
                await until(lambda: not made.node._calls)
                come_up()
            await settled(made)
            assert asked(made) == [b"/api/large"]

    play(test)


@pytest.mark.parametrize("how", HOWS)
def test_where_its_end_stands_behind_a_full_buffer(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    # The reader waits in the queue with a full buffer and reads no further, so that only the kernel
    # knows of the end.
    async def test() -> None:
        async with rig({"s0": CacheBox()}, 256) as made, dials_wait(monkeypatch) as come_up:
            sock = client(made, b"".join(request(f"a{n}", path=f"/api/{n}") for n in range(12)))
            await until(lambda: len(made.node._running) >= 5)
            (connection,) = made.frontend._connections
            sock.sendall(b"\r\n" * 45_000)
            await until(lambda: connection.deaf)
            leave(sock, how)
            await until(lambda: not made.node._calls)  # found by the periodic sweep
            come_up()
            await settled(made)
            assert asked(made) == []

    play(test)


@pytest.mark.parametrize("how", HOWS)
@pytest.mark.parametrize("size", [200, 200_000], ids=["held", "too-large-to-hold"])
def test_in_the_middle_of_its_body(how: str, size: int) -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            head = request(
                "a", f"Content-Length: {size}\r\nIdempotency-Key: k\r\n", lane="pay", method="PUT"
            )
            sock = client(made, head + b"x" * (size - 1))
            await until(lambda: bool(made.frontend._connections))
            leave(sock, how)
            await until(lambda: not made.frontend._connections)
            await settled(made)
            assert asked(made) == []

    play(test)


@pytest.mark.parametrize("how", HOWS)
def test_with_a_large_body_behind_a_slow_dial(monkeypatch: pytest.MonkeyPatch, how: str) -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made, dials_wait(monkeypatch) as come_up:
            head = request(
                "a", "Content-Length: 200000\r\nIdempotency-Key: k\r\n", lane="pay", method="PUT"
            )
            sock = client(made, head + b"x" * 150_000)
            await until(lambda: bool(made.node._running))
            leave(sock, how)
            await until(lambda: not made.node._calls)
            come_up()
            await settled(made)
            assert asked(made) == []

    play(test)


def test_no_socket_left_is_answered_at_once_and_waits_nowhere() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox(lambda head: None)}, sockets=8, clients=64) as made:
            socks = [client(made, request(f"a{n}", path=f"/api/{n}")) for n in range(4)]
            await until(lambda: len(asked(made)) == 4)
            assert b"503" in await made.ask("b")
            for sock in socks:
                leave(sock, "end")

    play(test)


def test_what_was_sent_stays_known_after_its_client_left() -> None:
    # Its transaction id is not served again while the request may still run.
    async def test() -> None:
        async with rig({"s0": CacheBox(lambda head: None)}) as made:
            sock = client(made, request("a", "Content-Length: 0\r\n", lane="order", method="PUT"))
            await until(lambda: bool(asked(made)))
            leave(sock, "end")
            await settled(made)
            assert b"409" in await made.ask(
                "a", "Content-Length: 0\r\n", lane="order", method="PUT"
            )
            assert len(asked(made)) == 1

    play(test)


def test_a_client_that_is_there_is_looked_at_and_served() -> None:
    # Bytes after a request are not an end of the connection.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            sock = client(made, request("a") + b"GET /api/later HTTP/1.1\r\n")
            assert b"200" in await read(sock)
            (connection,) = made.frontend._connections
            assert isinstance(connection, ClientConnection) and not connection._stream.abandoned
            sock.close()

    play(test)
