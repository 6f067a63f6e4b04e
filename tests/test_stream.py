"""Streams on the event loop of the real process."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest
import uvloop

from corkshift.stream import MAX_READS_PER_TURN, Stream

RESET = struct.pack("ii", 1, 0)
WAIT_S = 5.0


async def connected_pair() -> tuple[Stream, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    return Stream(near), far


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


@pytest.mark.parametrize("size", [1, 15, 40])
def test_a_reset_directly_behind_data_is_noticed(size: int) -> None:
    async def test() -> None:
        stream, peer = await connected_pair()
        stream.read_limit = 10
        await asyncio.sleep(0)
        peer.send(bytes(size))
        reset(peer)
        received = 0
        with pytest.raises(ConnectionResetError):
            async with asyncio.timeout(WAIT_S):
                while True:
                    received += len(await stream.read())
        assert received == size

    uvloop.run(test())


def test_a_peer_that_resets_behind_data_is_known_to_have_left_without_a_read() -> None:
    async def test() -> None:
        stream, peer = await connected_pair()
        ended = asyncio.Event()
        stream.on_input = lambda: ended.set() if stream.ended else None
        peer.send(b"a request")
        reset(peer)
        async with asyncio.timeout(WAIT_S):
            await ended.wait()
        stream.close()

    uvloop.run(test())


def test_short_reads_leave_the_event_loop_its_turns(monkeypatch: pytest.MonkeyPatch) -> None:
    reads_by_turn: list[int] = [0]

    def receive_one_byte(stream: Stream) -> bool:
        reads_by_turn[-1] += 1
        return sum(reads_by_turn) < 10 * MAX_READS_PER_TURN

    async def test() -> None:
        stream, peer = await connected_pair()
        monkeypatch.setattr(Stream, "_receive", receive_one_byte)
        stream._on_readable()
        while sum(reads_by_turn) < 10 * MAX_READS_PER_TURN:
            reads_by_turn.append(0)
            await asyncio.sleep(0)
        stream.close()
        peer.close()

    uvloop.run(test())
    assert len(reads_by_turn) >= 10 and max(reads_by_turn) <= MAX_READS_PER_TURN
