"""Cache servers whose answers are written as the key of the request says."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import Optional

WORK_S = (0.02, 0.04)
PIECE_BYTES = 32_768
NOISE = bytes(range(128, 256)) * 8
_RESET = struct.pack("ii", 1, 0)


class Framing(StrEnum):
    """How an answer tells its end."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class End(StrEnum):
    """What comes behind the bytes of an answer."""

    WHOLE = "whole"  # its proper end
    FIN = "fin"  # the connection is closed before the end
    RESET = "reset"
    NOISE = "noise"  # bytes that break the framing, and nothing more
    SILENCE = "silence"  # nothing


@dataclass(frozen=True, slots=True)
class AnswerSpec:
    """How one answer is written. It is a part of the request's key, so that servers need no state.

    size: of the body in bytes. first_bytes: written with the head. rest_ms: pause behind them.
    chunk_bytes: size of a chunk, 0 for PIECE_BYTES. end: what comes after `size` bytes; for
    anything but WHOLE, the head announces twice the size. bytes_per_s: pace, 0 for no limit.
    """

    framing: Framing
    size: int
    first_bytes: int = 0
    rest_ms: int = 0
    chunk_bytes: int = 0
    end: End = End.WHOLE
    bytes_per_s: int = 0

    def key(self, number: int) -> str:
        """The key of a request that is answered like this."""
        fields = (self.framing, self.size, self.first_bytes, self.rest_ms, self.chunk_bytes)
        return "_".join(map(str, ("ans", *fields, self.end, self.bytes_per_s, number)))

    @staticmethod
    def of_key(key: str) -> Optional[AnswerSpec]:
        """The answer that a key asks for; None for an ordinary key."""
        fields = key.split("_")
        if fields[0] != "ans":
            return None
        size, first_bytes, rest_ms, chunk_bytes = map(int, fields[2:6])
        return AnswerSpec(
            Framing(fields[1]), size, first_bytes, rest_ms, chunk_bytes, End(fields[6]),
            int(fields[7]),
        )  # fmt: skip


class AnswerServer:
    """A cache server; `runs` counts the complete requests by id and `broken_s` has end times.

    read_bytes_per_s: how fast it reads bodies, 0 for no limit.
    """

    def __init__(self, name: str, read_bytes_per_s: int = 0) -> None:
        self.name = name
        self.read_bytes_per_s = read_bytes_per_s
        self.runs: Counter[str] = Counter()
        # When an answer was broken off, by request id, on the loop's clock.
        self.broken_s: dict[str, float] = {}
        self.port = 0
        self._rng = random.Random(name)
        self._listener: Optional[socket.socket] = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listen at a port, by default at a free one."""
        self._listener = socket.create_server(("127.0.0.1", port), backlog=1024)
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        asyncio.get_running_loop().add_reader(self._listener, self._accept_all)

    def _accept_all(self) -> None:
        """Accept all that wait: uvloop's own server takes one in each turn of the loop."""
        assert self._listener is not None
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            task = asyncio.get_running_loop().create_task(self._run(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await self._serve_connection(*await asyncio.open_connection(sock=sock))

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()

    def entry(self, state: str = "in_service") -> dict[str, object]:
        """Its entry in the list of discovery."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": "a",
            "machineType": "m",
            "cell": 0,
            "lifecycle": state,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._serve(reader, writer):
                pass
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        except RuntimeError:
            pass  # uvloop: a write to a transport that its peer has closed
        finally:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve one request; return whether the connection goes on."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rows = head.split("\r\n")[:-2]
        fields = {name.lower(): value for name, _, value in (row.partition(": ") for row in rows)}
        await self._read_body(reader, fields)
        txn = fields.get("x-txn", "")
        self.runs[txn] += 1
        target = first.split(" ")[1]
        spec = AnswerSpec.of_key(target.rpartition("/")[2])
        if spec is None:
            await asyncio.sleep(self._rng.uniform(*WORK_S))
            body = f"value of {target} for {txn}".encode()
            writer.write(b"HTTP/1.1 200 OK\r\nX-Found: hit\r\nContent-Length: %d\r\n\r\n%b"
                % (len(body), body))  # fmt: skip
            await writer.drain()
            return True
        return await self._answer(writer, spec, txn)

    async def _read_body(self, reader: asyncio.StreamReader, fields: dict[str, str]) -> None:
        if "transfer-encoding" in fields:
            while size := int(await reader.readline(), 16):
                await reader.readexactly(size + 2)
            await reader.readline()
            return
        left = int(fields.get("content-length", "0"))
        while left:
            piece = await reader.read(min(left, PIECE_BYTES))
            if not piece:
                raise ConnectionResetError("the connection ended within a body")
            left -= len(piece)
            if self.read_bytes_per_s:
                await asyncio.sleep(len(piece) / self.read_bytes_per_s)

    async def _answer(self, writer: asyncio.StreamWriter, spec: AnswerSpec, txn: str) -> bool:
        announced = spec.size if spec.end is End.WHOLE else 2 * spec.size
        framing = {
            Framing.LENGTH: b"Content-Length: %d\r\n" % announced,
            Framing.CHUNKED: b"Transfer-Encoding: chunked\r\n",
            Framing.CLOSE: b"",
        }[spec.framing]
        first = min(spec.first_bytes, spec.size)
        writer.write(b"HTTP/1.1 200 OK\r\nX-Found: hit\r\n" + framing + b"\r\n")
        writer.write(_framed(spec, first))
        await writer.drain()
        if spec.rest_ms:
            await asyncio.sleep(spec.rest_ms / 1000.0)
        left = spec.size - first
        while left:
            piece = min(left, PIECE_BYTES)
            left -= piece
            writer.write(_framed(spec, piece))
            await writer.drain()
            if spec.bytes_per_s:
                await asyncio.sleep(piece / spec.bytes_per_s)
        return await self._end_answer(writer, spec, txn)

    async def _end_answer(self, writer: asyncio.StreamWriter, spec: AnswerSpec, txn: str) -> bool:
        """End an answer; return whether the connection goes on."""
        if spec.end is End.WHOLE:
            if spec.framing is Framing.CHUNKED:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
            if spec.framing is not Framing.CLOSE:
                return True
            writer.close()  # an abort would discard what is not written yet
            await writer.wait_closed()
            return False
        self.broken_s[txn] = asyncio.get_running_loop().time()
        if spec.end is End.NOISE:
            writer.write(NOISE)
            await writer.drain()
        if spec.end in (End.NOISE, End.SILENCE):
            await asyncio.sleep(60.0)
        if spec.end is End.RESET:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            writer.transport.abort()
        else:
            writer.close()
        return False


def _framed(spec: AnswerSpec, size: int) -> bytes:
    """A part of a body in the answer's framing."""
    if spec.framing is not Framing.CHUNKED or not size:
        return bytes(size)
    chunk_bytes = spec.chunk_bytes or PIECE_BYTES
    whole, rest = divmod(size, chunk_bytes)
    data = (b"%x\r\n%b\r\n" % (chunk_bytes, bytes(chunk_bytes))) * whole
    return data + (b"%x\r\n%b\r\n" % (rest, bytes(rest)) if rest else b"")
