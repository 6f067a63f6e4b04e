"""Responses with neither a length nor chunks (RFC 9112, 6.3, rule 8), over loopback sockets.

The end of the connection (FIN) completes such a response; a reset or a timeout never does.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from pathlib import Path

import pytest
from loopback import CacheBox, default_answer, request, rig, run_async, status
from test_process import running

from corkshift.budget import MAX_BUFFERED_BODY_BYTES
from forkweir.choice import HEDGE_MIN

HEAD = b"HTTP/1.1 200 OK\r\nX-Found: hit\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class UnframedServer:
    """Sends a head without a length, a body, and a FIN or a reset in response to each request."""

    def __init__(
        self, body: bytes, reset: bool = False, head: bytes = HEAD, pause_s: float = 0.0
    ) -> None:
        self.body, self.reset, self.head, self.pause_s = body, reset, head, pause_s
        self.requests = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        writer.write(self.head + b"\r\n" + self.body)
        await writer.drain()
        await asyncio.sleep(self.pause_s)
        if self.reset:
            sock: socket.socket = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        else:
            writer.close()


def body_of(answer: bytes) -> bytes:
    """Return the body of a response with a length, with chunks, or ended by its connection."""
    head, _, body = answer.partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" not in head.lower():
        return body
    decoded = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        decoded += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return decoded


async def ask_through(server: UnframedServer, txn: str, class_name: str = "order") -> bytes:
    """Return the response of a node to one request that it sends to this server."""
    box = CacheBox()
    async with rig({"s0": box}) as made:
        await server.start()
        box.close()
        made.node.servers["s0"].address = ("127.0.0.1", server.port)
        answer = await made.ask(txn, class_name=class_name)
        server.server.close()
        return answer


@pytest.mark.parametrize(
    "head",
    [HEAD, HEAD + b"Connection: close\r\n", HEAD.replace(b"1.1", b"1.0")],
    ids=["1.1", "close", "1.0"],
)
@pytest.mark.parametrize("size", [0, 10, MAX_BUFFERED_BODY_BYTES, 300_000])
def test_a_response_that_ends_with_its_connection_is_forwarded_completely(
    size: int, head: bytes
) -> None:
    body = b"x" * size
    answers: list[bytes] = []

    async def test() -> None:
        answers.append(await ask_through(UnframedServer(body, head=head, pause_s=0.02), "a"))

    run_async(test)
    assert status(answers[0]) == 200
    assert body_of(answers[0]) == body


@pytest.mark.parametrize("size", [0, 10, 300_000])
def test_a_reset_never_completes_a_response(size: int) -> None:
    answers: list[bytes] = []

    async def test() -> None:
        answers.append(
            await ask_through(UnframedServer(b"x" * size, reset=True, pause_s=0.02), "a")
        )

    run_async(test)
    answer = answers[0]
    chunked = b"transfer-encoding: chunked" in answer.lower()
    assert (
        status(answer) != 200 or (chunked and not answer.endswith(b"\r\n0\r\n\r\n")) or not answer
    )


def test_a_node_process_forwards_responses_that_end_with_their_connection(tmp_path: Path) -> None:
    # Reproduces a fault on a real process: the node failed responses that end with their
    # connection. All 20 must succeed, as nothing else fails here.
    async def test() -> None:

        box = CacheBox()
        async with running(tmp_path / "config.json", box) as (process, _):

            async def unframed(head: bytes) -> bytes:
                # The box writes this response and keeps the connection, which is closed a moment
                # later.
                for connection in list(box.connections):
                    asyncio.get_running_loop().call_later(0.02, connection.stream.close)
                return HEAD + b"\r\nwhole"

            box.script = unframed
            answers = [await process.ask(f"u{n}", path=f"/api/{n}") for n in range(20)]
            assert [status(answer) for answer in answers] == [200] * 20
            assert all(body_of(answer) == b"whole" for answer in answers)

    run_async(test)


@pytest.mark.parametrize("class_name", ["brisk", "order"])
def test_a_response_whose_connection_stays_open_is_never_treated_as_complete(
    class_name: str,
) -> None:
    # Such a response may still be completed, so it is not rejected at its head; here it never is. A
    # request that may be repeated is served by another server well before its deadline.
    async def test() -> None:
        heads: list[bytes] = []

        def script(head: bytes) -> bytes:
            heads.append(head)
            return HEAD + b"\r\nevil" if len(heads) == 1 else default_answer(head)

        async with rig({"s0": CacheBox(script), "s1": CacheBox(script)}) as made:
            # As after many quick responses: a slow attempt is hedged early.
            made.node._balancer.hedge_share = HEDGE_MIN
            more = "X-Remaining-Ms: 1500\r\n" if class_name == "order" else ""
            data = request("a", more + "Connection: close\r\n", class_name=class_name)
            if more:
                data = data.replace(b"X-Remaining-Ms: 20000\r\n", b"")
            answer = await made.send(data)
            assert b"evil" not in answer
            if class_name == "brisk":
                assert status(answer) == 200 and len(heads) == 2
            else:
                # It may have run, so it must not be repeated.
                assert status(answer) in (502, 504) and len(heads) == 1

    run_async(test)
