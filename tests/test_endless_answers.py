"""Answers whose server goes on in small pieces without an end, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest
from loopback import CacheBox, Rig, request, rig, run_async, status

from testbed.systems.http import Connection, Message

CLIENT_S = 1.0  # how long the client waits
# A final answer may come half a second after the client's time, and 0.05 s more over sockets.
END_S = CLIENT_S + 0.5 + 0.05
HEAD = b"HTTP/1.1 200 OK\r\nX-Found: hit\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Leaves so little memory to each connection that an answer of SMALL_BYTES is streamed.
MANY_SOCKETS = 6_000
SMALL_BYTES = 30_000


class PacedServer(CacheBox):
    """A box that writes a head and then pieces at an interval; without `pieces` it never ends."""

    def __init__(self, head: bytes, piece: bytes, every_s: float, pieces: int = 0) -> None:
        super().__init__()
        self.head, self.piece, self.every_s, self.pieces = head, piece, every_s, pieces

    async def serve(self, connection: Connection, request: Message) -> None:
        await connection.stream.write(self.head)
        written = 0
        while not self.pieces or written < self.pieces:
            await connection.stream.write(self.piece)
            written += 1
            await asyncio.sleep(self.every_s)
        await connection.stream.write(b"0\r\n\r\n")


def chunk(size: int) -> bytes:
    return b"%x\r\n%b\r\n" % (size, b"x" * size)


async def answer(made: Rig) -> tuple[bytes, float]:
    """The answer to one request, up to its end, a close or a reset, and how long that took."""
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
    writer.write(
        request("a", "Connection: close\r\n", class_name="brisk", within_ms=int(1000 * CLIENT_S))
    )
    started_s, data = loop.time(), b""
    try:
        while piece := await reader.read(65_536):
            data += piece
    except ConnectionError:
        pass
    finally:
        writer.transport.abort()
    return data, loop.time() - started_s


@pytest.mark.parametrize("every_s", [0.01, 0.2])
@pytest.mark.parametrize(
    ("head", "piece"),
    [
        (CHUNKED, chunk(16)),
        (HEAD + b"\r\n", b"x" * 16),
        (HEAD + b"Content-Length: %d\r\n\r\n" % SMALL_BYTES, b"x" * 16),
        (CHUNKED + chunk(16) + b"0\r\n", b"Trailer: x\r\n"),
    ],
    ids=["chunked", "until-close", "sized", "trailers"],
)
def test_a_small_answer_that_never_ends_is_cut_off_by_its_clients_time(
    head: bytes, piece: bytes, every_s: float
) -> None:
    # Guards against a client that waits for the end of such an answer without a limit (review/8).
    async def test() -> None:
        box = PacedServer(head, piece, every_s)
        async with rig({"s0": box}, sockets=MANY_SOCKETS) as made:
            assert made.node.buffer_limit < SMALL_BYTES
            data, took_s = await answer(made)
            assert took_s <= END_S
            assert status(data) != 200 or not data.endswith(b"0\r\n\r\n")

    run_async(test)


def test_a_large_answer_without_a_length_that_its_server_gives_slowly_arrives_complete() -> None:
    # 24 kB a second: at the client's time far less than 64 KiB have come.
    async def test() -> None:
        box = PacedServer(CHUNKED, chunk(4_800), 0.2, pieces=15)
        async with rig({"s0": box}) as made:
            data, took_s = await answer(made)
            assert data.endswith(b"0\r\n\r\n") and data.count(b"x" * 4_800) == 15
            assert took_s > END_S

    run_async(test)
