"""What ends leaves no reference cycles: they would keep bodies and heads until a collection."""

from __future__ import annotations

import asyncio
import gc
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable
from types import FrameType

import pytest
from loopback import CacheBox, Rig, connect_socket, default_answer, request, rig, run_async, until
from loopback import status as status_of

from corkshift import client_connection
from testbed.systems.http import Connection, Message

RESET = struct.pack("ii", 1, 0)
UPLOAD_BYTES, SENT_BYTES = 300_000, 100_000
Exchange = Callable[[Rig, str], Awaitable[None]]


class Box(CacheBox):
    """A box that answers large keys with 200 kB, and breaks off answers to keys to be cut."""

    def __init__(self) -> None:
        super().__init__(lambda head: None if b"/never" in head else default_answer(head))

    async def serve(self, connection: Connection, request: Message) -> None:
        if "large" not in request.target and "cut" not in request.target:
            await super().serve(connection, request)
            return
        size = 200_000 if "large" in request.target else 400_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
        await connection.stream.write(head + bytes(200_000))
        if "cut" in request.target:
            connection.stream.abort()


async def plain(made: Rig, txn: str) -> None:
    assert status_of(await made.ask(txn)) == 200


async def write(made: Rig, txn: str) -> None:
    answer = await made.ask(txn, "Content-Length: 5\r\n", method="PUT", body=b"value")
    assert status_of(answer) == 200


async def chunked_write(made: Rig, txn: str) -> None:
    body = b"3\r\nabc\r\n0\r\n\r\n"
    answer = await made.ask(txn, "Transfer-Encoding: chunked\r\n", method="PUT", body=body)
    assert status_of(answer) == 200


async def malformed(made: Rig, txn: str) -> None:
    assert status_of(await made.send(b"GET / HTTP/1.1\r\nno field\r\n\r\n")) == 400


async def out_of_time(made: Rig, txn: str) -> None:
    await made.send(request(txn, "Connection: close\r\n", "/api/never", within_ms=50))


async def large(made: Rig, txn: str) -> None:
    assert status_of(await made.ask(txn, path="/api/large")) == 200


async def cut(made: Rig, txn: str) -> None:
    await made.ask(txn, path="/api/cut")


async def client_leaves(made: Rig, txn: str) -> None:
    sock = await connect_socket(made.port)
    await asyncio.get_running_loop().sock_sendall(sock, request(txn, path="/api/never"))
    await until(lambda: made.node.open == 1)
    sock.close()


async def begin_upload(made: Rig, txn: str) -> socket.socket:
    sock = await connect_socket(made.port)
    head = request(txn, f"Content-Length: {UPLOAD_BYTES}\r\n", class_name="order", method="PUT")
    await asyncio.get_running_loop().sock_sendall(sock, head + bytes(SENT_BYTES))
    await until(lambda: made.node.open == 1)
    return sock


async def upload_reset(made: Rig, txn: str) -> None:
    sock = await begin_upload(made, txn)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


async def upload_closed(made: Rig, txn: str) -> None:
    (await begin_upload(made, txn)).close()


async def upload_stops(made: Rig, txn: str) -> None:
    sock = await begin_upload(made, txn)
    answer = await asyncio.get_running_loop().sock_recv(sock, 1_000)
    assert status_of(answer) == 408
    sock.close()


EXCHANGES: dict[str, Exchange] = {
    function.__name__: function
    for function in (
        plain, write, chunked_write, malformed, out_of_time, large, cut, client_leaves,
        upload_reset, upload_closed, upload_stops,
    )
}  # fmt: skip


def own_garbage() -> Counter[str]:
    """Unreachable objects of the node's code by type, and its frames by function."""
    own: Counter[str] = Counter()
    for found in gc.garbage:
        if isinstance(found, FrameType):
            if "/corkshift/" in found.f_code.co_filename:
                own[f"frame of {found.f_code.co_qualname}"] += 1
        elif type(found).__module__.startswith("corkshift"):
            own[type(found).__name__] += 1
    return own


@pytest.mark.parametrize("name", EXCHANGES)
def test_an_exchange_leaves_no_reference_cycle(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connection, "REQUEST_TIMEOUT_MS", 300.0)

    async def test() -> None:
        async with rig({"s0": Box()}) as made:

            async def play(count: int, prefix: str) -> None:
                for number in range(count):
                    await EXCHANGES[name](made, f"{prefix}{number}")
                    await until(lambda: not made.frontend._connections and not made.node._attempts)

            await play(2, "warm")
            gc.collect()
            gc.disable()
            gc.set_debug(gc.DEBUG_SAVEALL)
            try:
                await play(3, "x")
                await asyncio.sleep(0.05)
                gc.collect()
                assert own_garbage() == {}
            finally:
                gc.set_debug(0)
                gc.garbage.clear()
                gc.enable()

    run_async(test)
