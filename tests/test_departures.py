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
from loopback import CacheBox, Rig, default_answer, ok_response, request, rig, run_async, until

from corkshift import frontend, seam
from corkshift.client_connection import ClientConnection
from corkshift.seam import now_ms
from corkshift.stream import Stream
from corkshift.upstream import MIN_IDLE_MS
from forkweir.choice import HEDGE_MIN

CLOSINGS = ["end", "reset"]
# Bytes sent before the connection ends.
BYTES_BEFORE_END = [
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


def leave(sock: socket.socket, closing: str, before: bytes = b"") -> None:
    """Close the client's connection, or reset it, which discards unread bytes before it."""
    if before:
        sock.sendall(before)
    if closing == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


async def open_idle_connections(made: Rig) -> None:
    """Open an idle connection to each cache server, so that no request waits for a connect."""
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


async def persistent_client(made: Rig) -> socket.socket:
    """A client that has had a request answered on its connection."""
    sock = client(made, request("before", path="/api/before"))
    assert b"200" in await read(sock)
    return sock


def requested_paths(made: Rig) -> list[bytes]:
    """The paths requested from cache servers, except that of `persistent_client`."""
    paths = [head.split(b" ")[1] for box in made.boxes.values() for head in box.heads]
    return [path for path in paths if path != b"/api/before"]


async def wait_buffered(stream: Stream, size: int) -> None:
    """Wait until the read buffer of a client connection holds this many bytes."""
    await until(lambda: stream.buffered_bytes == size)


async def wait_idle(made: Rig) -> None:
    """Wait until no request or attempt is open, and 20 loop iterations more."""
    await until(
        lambda: not (made.node._requests or made.node._attempts or made.node._balancer.held)
    )
    for _ in range(20):
        await asyncio.sleep(0)


@asynccontextmanager
async def delayed_connects(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Callable[[], None]]:
    """Connects to cache servers complete only once the function yielded here is called."""
    opened, connect = asyncio.Event(), seam.connect

    async def slow(sock: Any, address: Any) -> None:
        await opened.wait()
        await connect(sock, address)

    with monkeypatch.context() as patch:
        patch.setattr(seam, "connect", slow)
        yield opened.set


@pytest.mark.parametrize("before", BYTES_BEFORE_END, ids=["bare", "line", "half"])
@pytest.mark.parametrize("closing", CLOSINGS)
def test_during_a_slow_connect(
    monkeypatch: pytest.MonkeyPatch, closing: str, before: bytes
) -> None:
    async def test() -> None:
        async with (
            rig({"s0": CacheBox()}) as made,
            delayed_connects(monkeypatch) as complete_connects,
        ):
            sock = client(made, request("a"))
            await until(lambda: bool(made.node._running))
            leave(sock, closing, before)
            await until(lambda: not made.node._requests)
            complete_connects()
            await wait_idle(made)
            assert requested_paths(made) == []

    run_async(test)


def test_during_a_slow_connect_that_completes_as_the_client_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # When the node next runs, the connect has completed and the client's end is in the kernel.
    async def test() -> None:
        async with (
            rig({"s0": CacheBox()}) as made,
            delayed_connects(monkeypatch) as complete_connects,
        ):
            sock = client(made, request("a"))
            await until(lambda: bool(made.node._running))
            made.node._requests[1].since_ms -= 400.0
            complete_connects()
            leave(sock, "end")
            await wait_idle(made)
            assert requested_paths(made) == []

    run_async(test)


@pytest.mark.parametrize("closing", CLOSINGS)
def test_after_a_refused_connect(closing: str) -> None:
    async def test() -> None:
        box = CacheBox()
        async with rig({"s0": box, "s1": CacheBox()}) as made:
            box.close()
            socks = [client(made, request(f"a{n}", path=f"/api/{n}")) for n in range(12)]
            for sock in socks:
                leave(sock, closing)
            await wait_idle(made)
            assert requested_paths(made) == []

    run_async(test)


@pytest.mark.parametrize("closing", CLOSINGS)
def test_a_hundred_clients_that_leave_together(
    monkeypatch: pytest.MonkeyPatch, closing: str
) -> None:
    async def test() -> None:
        async with (
            rig({"s0": CacheBox(), "s1": CacheBox()}, 512) as made,
            delayed_connects(monkeypatch) as complete_connects,
        ):
            socks = [client(made, request(f"a{n}", path=f"/api/{n}")) for n in range(100)]
            await until(lambda: len(made.node._running) == 100)
            for sock in socks:
                leave(sock, closing)
            complete_connects()
            await wait_idle(made)
            assert requested_paths(made) == []

    run_async(test)


@pytest.mark.parametrize(
    "before",
    [*BYTES_BEFORE_END, b"\r\n" * 35_000],
    ids=["bare", "line", "half", "more-than-a-read"],
)
def test_on_a_persistent_connection_while_the_node_is_stalled(before: bytes) -> None:
    # Request and end arrive together: the end is seen one loop iteration after the request is read.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            sock = await persistent_client(made)
            await open_idle_connections(made)
            sock.setblocking(True)
            sock.sendall(request("a"))
            leave(sock, "end", before)
            await wait_idle(made)
            await until(lambda: not made.frontend._connections)
            assert requested_paths(made) == []

    run_async(test)


@pytest.mark.parametrize(
    "before",
    [*BYTES_BEFORE_END, b"\r\n" * 40_000],
    ids=["bare", "line", "half", "more-than-a-buffer"],
)
@pytest.mark.parametrize("closing", CLOSINGS)
def test_in_the_accept_queue(closing: str, before: bytes) -> None:
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
            leave(client(made, request("a")), closing, before)
            hold.set()
            await read(first)
            # It is accepted after the client that left.
            after = client(made, request("b", path="/api/after"))
            assert b"200" in await read(after)
            assert requested_paths(made) == [b"/api/first", b"/api/after"]

    run_async(test)


@pytest.mark.parametrize("closing", CLOSINGS)
def test_between_two_attempts(closing: str) -> None:
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
            made.node._requests[1].since_ms -= 400.0
            box.setblocking(True)
            box.sendall(b"HTTP/1.1 503 -\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
            leave(sock, closing)
            await wait_idle(made)
            listener.setblocking(False)
            with pytest.raises(BlockingIOError):
                listener.accept()  # no second connect
            box.setblocking(False)
            with pytest.raises((BlockingIOError, ConnectionError)):
                assert box.recv(1) == b""
                raise ConnectionResetError
            box.close()
            listener.close()

    run_async(test)


@pytest.mark.parametrize("closing", CLOSINGS)
def test_before_a_hedged_request(closing: str) -> None:
    # A timer is due and the client's end is in the kernel when a stalled node runs again. Timers
    # run first.
    async def test() -> None:
        async with rig(
            {"s0": CacheBox(lambda head: None), "s1": CacheBox(lambda head: None)}
        ) as made:
            await open_idle_connections(made)
            balancer = made.node._balancer
            balancer.hedge_share = HEDGE_MIN
            sock = client(made, request("a", class_name="brisk"))
            await until(lambda: bool(requested_paths(made)))
            await open_idle_connections(made)
            call = made.node._requests[1]
            call.since_ms -= 400.0
            balancer.hedge_queue[:] = [(0.0, call.id)]
            leave(sock, closing)
            made.node._on_timer(3)
            assert len(made.node._running) == 2  # the decisions started a hedged request
            await wait_idle(made)
            assert len(requested_paths(made)) == 1

    run_async(test)


@pytest.mark.parametrize("closing", CLOSINGS)
def test_behind_an_earlier_answer_on_its_connection(closing: str) -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox(lambda head: None)}, 256) as made:
            sock = client(made, b"".join(request(f"a{n}", path=f"/api/{n}") for n in range(20)))
            await until(lambda: len(requested_paths(made)) >= 5)
            await until(lambda: len(requested_paths(made)) == len(made.node._requests))
            before = requested_paths(made)
            leave(sock, closing)
            await wait_idle(made)
            assert requested_paths(made) == before and len(before) < 20

    run_async(test)


@pytest.mark.parametrize("closing", CLOSINGS)
def test_behind_a_client_that_does_not_read(monkeypatch: pytest.MonkeyPatch, closing: str) -> None:
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
            async with delayed_connects(monkeypatch) as complete_connects:
                sock.sendall(request("b"))
                await until(lambda: len(made.node._running) == 2)
                leave(sock, closing)
                await until(lambda: not made.node._requests)
                complete_connects()
            await wait_idle(made)
            assert requested_paths(made) == [b"/api/large"]

    run_async(test)


@pytest.mark.parametrize("closing", CLOSINGS)
def test_where_its_end_is_behind_a_full_buffer(
    monkeypatch: pytest.MonkeyPatch, closing: str
) -> None:
    # The reader waits in the queue with a full buffer and reads no further, so that only the kernel
    # knows of the end.
    async def test() -> None:
        async with (
            rig({"s0": CacheBox()}, 256) as made,
            delayed_connects(monkeypatch) as complete_connects,
        ):
            sock = client(made, b"".join(request(f"a{n}", path=f"/api/{n}") for n in range(12)))
            await until(lambda: len(made.node._running) >= 5)
            (connection,) = made.frontend._connections
            sock.sendall(b"\r\n" * 45_000)
            await until(lambda: not connection._stream.reading)
            leave(sock, closing)
            await until(lambda: not made.node._requests)  # found by the periodic sweep
            complete_connects()
            await wait_idle(made)
            assert requested_paths(made) == []

    run_async(test)


@pytest.mark.parametrize("closing", CLOSINGS)
def test_behind_further_requests_that_filled_the_buffer_by_short_reads(
    monkeypatch: pytest.MonkeyPatch, closing: str
) -> None:
    # Guards against attempts for requests that were parsed from a full read buffer after their
    # client had closed (review/10). The periodic sweep, which would find it, doesn't come here.
    monkeypatch.setattr(frontend, "SWEEP_INTERVAL_S", 3_600.0)

    async def test() -> None:
        release = asyncio.Event()

        async def answer_the_first(head: bytes) -> bytes:
            if head.split(b" ")[1] != b"/api/a0":
                await asyncio.Event().wait()
            await release.wait()
            return default_answer(head)

        async with rig({"s0": CacheBox(answer_the_first)}, 256) as made:
            sock = client(made, b"".join(request(f"a{n}", path=f"/api/a{n}") for n in range(12)))
            await until(lambda: len(made.node._running) >= 5)
            (connection,) = made.frontend._connections
            stream, number = connection._stream, 0
            piece_bytes = stream.read_limit * 5 // 8  # two short reads fill the buffer
            for _ in range(2):
                piece = b""
                while len(piece) < piece_bytes:
                    piece += request(f"b{number}", path=f"/api/b{number}")
                    number += 1
                read_bytes = stream.buffered_bytes + len(piece)
                sock.sendall(piece)
                await wait_buffered(stream, read_bytes)
            assert not stream.reading and not stream.last_read_full
            await until(lambda: len(requested_paths(made)) == len(made.node._running))
            before = requested_paths(made)
            leave(sock, closing)
            release.set()
            await until(lambda: not made.frontend._connections or requested_paths(made) != before)
            assert requested_paths(made) == before and len(before) < 12

    run_async(test)


@pytest.mark.parametrize("closing", CLOSINGS)
@pytest.mark.parametrize("size", [200, 200_000], ids=["held", "too-large-to-hold"])
def test_in_the_middle_of_its_body(closing: str, size: int) -> None:
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
            leave(sock, closing)
            await until(lambda: not made.frontend._connections)
            await wait_idle(made)
            assert requested_paths(made) == []

    run_async(test)


@pytest.mark.parametrize("closing", CLOSINGS)
def test_with_a_large_body_during_a_slow_connect(
    monkeypatch: pytest.MonkeyPatch, closing: str
) -> None:
    async def test() -> None:
        async with (
            rig({"s0": CacheBox()}) as made,
            delayed_connects(monkeypatch) as complete_connects,
        ):
            head = request(
                "a",
                "Content-Length: 200000\r\nIdempotency-Key: k\r\n",
                class_name="pay",
                method="PUT",
            )
            sock = client(made, head + b"x" * 150_000)
            await until(lambda: bool(made.node._running))
            leave(sock, closing)
            await until(lambda: not made.node._requests)
            complete_connects()
            await wait_idle(made)
            assert requested_paths(made) == []

    run_async(test)


def test_a_request_without_a_free_socket_is_answered_at_once() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox(lambda head: None)}, sockets=8, clients=64) as made:
            socks = [client(made, request(f"a{n}", path=f"/api/{n}")) for n in range(4)]
            await until(lambda: len(requested_paths(made)) == 4)
            assert b"503" in await made.ask("b")
            for sock in socks:
                leave(sock, "end")

    run_async(test)


def test_a_forwarded_request_stays_known_after_its_client_left() -> None:
    # Its transaction id is not served again while the request may still run.
    async def test() -> None:
        async with rig({"s0": CacheBox(lambda head: None)}) as made:
            sock = client(
                made, request("a", "Content-Length: 0\r\n", class_name="order", method="PUT")
            )
            await until(lambda: bool(requested_paths(made)))
            leave(sock, "end")
            await wait_idle(made)
            assert b"409" in await made.ask(
                "a", "Content-Length: 0\r\n", class_name="order", method="PUT"
            )
            assert len(requested_paths(made)) == 1

    run_async(test)


def test_a_connected_client_is_served() -> None:
    # Bytes after a request are not an end of the connection.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            sock = client(made, request("a") + b"GET /api/later HTTP/1.1\r\n")
            assert b"200" in await read(sock)
            (connection,) = made.frontend._connections
            assert isinstance(connection, ClientConnection) and not connection._stream.peer_left
            sock.close()

    run_async(test)
