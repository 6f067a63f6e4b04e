"""A client that leaves while its request waits: nothing of it is sent on, wherever it waits and however the client goes.

What the kernel holds when the node next runs is arranged without giving it a turn in between (plain sockets, used between two awaits),
so that each order happens every time.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
from loopback import CacheBox, Rig, default_answer, ok_response, request, rig, run_async, until

from corkshift import seam
from corkshift.frontend import ClientConnection
from corkshift.seam import now_ms
from corkshift.upstream import MIN_IDLE_MS
from forkweir.choice import HEDGE_LEAST

HOWS = ["end", "reset"]
BEFORE = [
    b"",
    b"\r\n",
    b"GET /api/k HTTP/1.1\r\nHost: x\r\nX: " + b"x" * 9_000,
]  # what else stands before the end


def client(made: Rig, data: bytes = b"", receive_buffer: int = 0) -> socket.socket:
    """A plain client that has sent these bytes; the kernel takes the connection whether or not the node runs."""
    sock = socket.socket()
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.connect(("127.0.0.1", made.port))
    sock.sendall(data)
    return sock


def leave(sock: socket.socket, how: str, before: bytes = b"") -> None:
    """The client goes, by an end of its stream or by a reset. (A reset throws away what stands before it.)"""
    if before:
        sock.sendall(before)
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


async def warmed(made: Rig) -> None:
    """An idle connection to each cache server that may be used at once: nothing that is sent on waits for a dial."""
    for server in made.node.servers.values():
        made.pool.keep(server, await made.pool.connect(server))
    await until(
        lambda: all(
            now_ms() - since_ms > MIN_IDLE_MS
            for s in made.node.servers.values()
            for since_ms, _ in s.idle
        )
    )


async def read(sock: socket.socket, size: int = 65_536) -> bytes:
    sock.setblocking(False)
    return await asyncio.get_running_loop().sock_recv(sock, size)


async def kept(made: Rig) -> socket.socket:
    """A client on whose connection a request has been answered."""
    sock = client(made, request("before", path="/api/before"))
    assert b"200" in await read(sock)
    return sock


def asked(made: Rig) -> list[bytes]:
    """The paths that cache servers were asked for, but for what `kept` asks."""
    paths = [head.split(b" ")[1] for box in made.boxes.values() for head in box.heads]
    return [path for path in paths if path != b"/api/before"]


async def settled(made: Rig) -> None:
    """Until nothing is open or out, and a while more."""
    await until(lambda: not (made.node._calls or made.node._attempts or made.node._balancer.held))
    for _ in range(20):
        await asyncio.sleep(0)


@asynccontextmanager
async def dials_wait(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Callable[[], None]]:
    """Connections to cache servers come up only once what is given here is called."""
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

    run_async(test)


def test_behind_a_slow_dial_that_comes_up_in_the_moment_of_the_leaving(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The connection is up, and the client's end in the kernel, when the node next runs.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made, dials_wait(monkeypatch) as come_up:
            sock = client(made, request("a"))
            await until(lambda: bool(made.node._running))
            made.node._calls[1].since_ms -= 400.0
            come_up()
            leave(sock, "end")
            await settled(made)
            assert asked(made) == []

    run_async(test)


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

    run_async(test)


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

    run_async(test)


@pytest.mark.parametrize(
    "before", [*BEFORE, b"\r\n" * 35_000], ids=["bare", "line", "half", "more-than-a-read"]
)
def test_while_the_node_stood_still_on_a_kept_connection(before: bytes) -> None:
    # Request and end come in one moment: the end is heard a turn of the loop after the request was read.
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

    run_async(test)


@pytest.mark.parametrize(
    "before", [*BEFORE, b"\r\n" * 40_000], ids=["bare", "line", "half", "more-than-a-buffer"]
)
@pytest.mark.parametrize("how", HOWS)
def test_in_the_accept_queue(how: str, before: bytes) -> None:
    async def test() -> None:
        hold = asyncio.Event()

        async def held(head: bytes) -> bytes:
            await hold.wait()
            return default_answer(head)

        box = CacheBox(
            lambda head: (
                held(head) if head.split(b" ")[1] == b"/api/first" else default_answer(head)
            )
        )
        async with rig({"s0": box}, clients=1) as made:
            first = client(made, request("first", "Connection: close\r\n", "/api/first"))
            await until(lambda: bool(box.heads))
            leave(client(made, request("a")), how, before)
            hold.set()
            await read(first)
            after = client(
                made, request("b", path="/api/after")
            )  # is taken behind the one that has left
            assert b"200" in await read(after)
            assert asked(made) == [b"/api/first", b"/api/after"]

    run_async(test)


@pytest.mark.parametrize("how", HOWS)
def test_between_two_attempts(how: str) -> None:
    # The answer that turns the first attempt away and the client's end stand in the kernel together.
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
                listener.accept()  # nothing was dialed for it again
            box.setblocking(False)
            with pytest.raises((BlockingIOError, ConnectionError)):
                assert box.recv(1) == b""
                raise ConnectionResetError
            box.close()
            listener.close()

    run_async(test)


@pytest.mark.parametrize("how", HOWS)
def test_before_a_second_request_for_what_has_been_out_for_long(how: str) -> None:
    # A timer is due and the client's end stands in the kernel when a node that stood still runs again: timers come first.
    async def test() -> None:
        async with rig(
            {"s0": CacheBox(lambda head: None), "s1": CacheBox(lambda head: None)}
        ) as made:
            await warmed(made)
            balancer = made.node._balancer
            balancer.usual = HEDGE_LEAST
            sock = client(made, request("a", class_name="brisk"))
            await until(lambda: bool(asked(made)))
            await warmed(made)
            call = made.node._calls[1]
            call.since_ms -= 400.0
            balancer.waits[:] = [(0.0, call.id)]
            leave(sock, how)
            made.node._on_timer(3)
            assert len(made.node._running) == 2  # the module has asked for it
            await settled(made)
            assert len(asked(made)) == 1

    run_async(test)


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

    run_async(test)


@pytest.mark.parametrize("how", HOWS)
def test_behind_a_client_that_does_not_read(monkeypatch: pytest.MonkeyPatch, how: str) -> None:
    async def test() -> None:
        large = ok_response(b"x" * 1_000_000)
        box = CacheBox(
            lambda head: large if head.split(b" ")[1] == b"/api/large" else default_answer(head)
        )
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

    run_async(test)


@pytest.mark.parametrize("how", HOWS)
def test_where_its_end_stands_behind_a_full_buffer(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    # The reader waits for its place in the queue, the buffer is full, and nobody reads on: the end is in the kernel alone.
    async def test() -> None:
        async with rig({"s0": CacheBox()}, 256) as made, dials_wait(monkeypatch) as come_up:
            sock = client(made, b"".join(request(f"a{n}", path=f"/api/{n}") for n in range(12)))
            await until(lambda: len(made.node._running) >= 5)
            (connection,) = made.frontend._connections
            sock.sendall(b"\r\n" * 45_000)
            await until(lambda: connection.reading_paused)
            leave(sock, how)
            await until(lambda: not made.node._calls)  # the sweep looks
            come_up()
            await settled(made)
            assert asked(made) == []

    run_async(test)


@pytest.mark.parametrize("how", HOWS)
@pytest.mark.parametrize("size", [200, 200_000], ids=["held", "too-large-to-hold"])
def test_in_the_middle_of_its_body(how: str, size: int) -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            head = request(
                "a",
                f"Content-Length: {size}\r\nIdempotency-Key: k\r\n",
                class_name="pay",
                method="PUT",
            )
            sock = client(made, head + b"x" * (size - 1))
            await until(lambda: bool(made.frontend._connections))
            leave(sock, how)
            await until(lambda: not made.frontend._connections)
            await settled(made)
            assert asked(made) == []

    run_async(test)


@pytest.mark.parametrize("how", HOWS)
def test_with_a_large_body_behind_a_slow_dial(monkeypatch: pytest.MonkeyPatch, how: str) -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made, dials_wait(monkeypatch) as come_up:
            head = request(
                "a",
                "Content-Length: 200000\r\nIdempotency-Key: k\r\n",
                class_name="pay",
                method="PUT",
            )
            sock = client(made, head + b"x" * 150_000)
            await until(lambda: bool(made.node._running))
            leave(sock, how)
            await until(lambda: not made.node._calls)
            come_up()
            await settled(made)
            assert asked(made) == []

    run_async(test)


def test_no_socket_left_is_answered_at_once_and_waits_nowhere() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox(lambda head: None)}, sockets=8, clients=64) as made:
            socks = [client(made, request(f"a{n}", path=f"/api/{n}")) for n in range(4)]
            await until(lambda: len(asked(made)) == 4)
            assert b"503" in await made.ask("b")
            for sock in socks:
                leave(sock, "end")

    run_async(test)


def test_what_was_sent_stays_known_after_its_client_left() -> None:
    # Its id is not served again while it may still run.
    async def test() -> None:
        async with rig({"s0": CacheBox(lambda head: None)}) as made:
            sock = client(
                made, request("a", "Content-Length: 0\r\n", class_name="order", method="PUT")
            )
            await until(lambda: bool(asked(made)))
            leave(sock, "end")
            await settled(made)
            assert b"409" in await made.ask(
                "a", "Content-Length: 0\r\n", class_name="order", method="PUT"
            )
            assert len(asked(made)) == 1

    run_async(test)


def test_a_client_that_is_there_is_looked_at_and_served() -> None:
    # Bytes behind a request are no end.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            sock = client(made, request("a") + b"GET /api/later HTTP/1.1\r\n")
            assert b"200" in await read(sock)
            (connection,) = made.frontend._connections
            assert isinstance(connection, ClientConnection) and not connection._stream.peer_left
            sock.close()

    run_async(test)
