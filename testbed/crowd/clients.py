"""Clients that ask much of a node, and ordinary clients beside them.

Each client has a connection of its own, and tries again with a new id as soon as it was answered.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Optional

from testbed.crowd.servers import AnswerSpec, Framing

HOST = "127.0.0.1"
# Clients connect from here, so that their ports are none that a listener at HOST may want.
CLIENT_HOST = "127.3.0.1"
READ_BYTES = 65_536
# The slowest that a client of the protocol takes or sends a body.
SLOW_BYTES_PER_S = 64_000
SHORT_FIELDS = 2_200  # in one head, which stays under 16 KiB
LARGE_BYTES = 8_000_000
STOPPED_BODY_BYTES = 300_000
CONNECT_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.02
START_SPREAD_S = 1.0


class Kind(StrEnum):
    """Kinds of demanding clients."""

    # A head of SHORT_FIELDS fields, and a body that stops after 60 kB of 300.
    SHORT_FIELDS = "short-fields"
    # A body that stops half way.
    STOPPED_UPLOAD = "stopped-upload"
    # A large body at SLOW_BYTES_PER_S.
    SLOW_UPLOAD = "slow-upload"
    # A large answer taken at SLOW_BYTES_PER_S.
    SLOW_DOWNLOAD = "slow-download"
    # A head that comes a few bytes at a time and never ends.
    ENDLESS_HEAD = "endless-head"


@dataclass(slots=True)
class CrowdCounts:
    """What demanding clients saw."""

    statuses: Counter[int] = field(default_factory=Counter)  # 0: closed without an answer
    whole: int = 0  # large answers that came whole
    cut: int = 0  # large answers that were cut off
    open: int = 0  # bodies on their way


@dataclass(slots=True)
class ReadCounts:
    """What ordinary clients saw."""

    statuses: Counter[int] = field(default_factory=Counter)
    waits_ms: list[float] = field(default_factory=list)

    def share_within(self, limit_ms: float) -> float:
        """The share of all reads that were answered 200 within a time."""
        asked = sum(self.statuses.values())
        return sum(wait_ms <= limit_ms for wait_ms in self.waits_ms) / max(1, asked)


def request_head(
    txn: str, key: str, class_name: str = "menu-read", remaining_ms: int = 2_500, more: str = "",
    length: Optional[int] = None,
) -> bytes:  # fmt: skip
    """The head of a request; one with a length is a write."""
    method, body = "GET", ""
    if length is not None:
        method, body = "PUT", f"Idempotency-Key: {txn}\r\nContent-Length: {length}\r\n"
    return (
        f"{method} /api/{key} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\n"
        f"X-Lane: {class_name}\r\nX-Remaining-Ms: {remaining_ms}\r\n{body}{more}\r\n"
    ).encode()


def many_short_fields() -> str:
    """Header lines of SHORT_FIELDS fields."""
    return "".join(f"{n:x}:\r\n" for n in range(SHORT_FIELDS))


async def connect(port: int) -> socket.socket:
    """Connect a non-blocking socket with small buffers. Raises OSError."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
    try:
        sock.bind((CLIENT_HOST, 0))
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
    except BaseException:
        sock.close()
        raise
    return sock


def status_of(data: bytes) -> int:
    """The status of an answer; 0 if it has none."""
    return int(data[9:12]) if data.startswith(b"HTTP/1.1 ") and len(data) > 11 else 0


class Crowd:
    """Demanding clients of given kinds, one client of a kind in turn."""

    def __init__(self, port: int, kinds: list[Kind], seed: int) -> None:
        self.port = port
        self.kinds = kinds
        self.counts = {kind: CrowdCounts() for kind in kinds}
        self.ending = False
        self._rng = random.Random(f"crowd/{seed}")
        self._number = 0
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, clients: int) -> None:
        """Start the clients, spread over START_SPREAD_S."""
        for number in range(clients):
            kind = self.kinds[number % len(self.kinds)]
            delay_s = START_SPREAD_S * number / clients
            self._tasks.append(asyncio.create_task(self._run(kind, delay_s)))

    async def close(self) -> None:
        """End all clients."""
        self.ending = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, kind: Kind, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        play = {
            Kind.SHORT_FIELDS: self._short_fields,
            Kind.STOPPED_UPLOAD: self._stopped_upload,
            Kind.SLOW_UPLOAD: self._slow_upload,
            Kind.SLOW_DOWNLOAD: self._slow_download,
            Kind.ENDLESS_HEAD: self._endless_head,
        }[kind]
        counts = self.counts[kind]
        while not self.ending:
            with suppress(OSError):
                sock = await connect(self.port)
                with sock:
                    await self._play_once(play, sock, counts)
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _play_once(
        self,
        play: Callable[[socket.socket, CrowdCounts], Coroutine[Any, Any, int]],
        sock: socket.socket,
        counts: CrowdCounts,
    ) -> None:
        counts.open += 1
        status = 0
        try:
            with suppress(OSError):
                status = await play(sock, counts)
        finally:
            counts.open -= 1
        counts.statuses[status] += 1

    def _new_id(self) -> str:
        self._number += 1
        return f"c{self._number}"

    async def _read_status(self, sock: socket.socket) -> int:
        return status_of(await asyncio.get_running_loop().sock_recv(sock, READ_BYTES))

    async def _short_fields(self, sock: socket.socket, counts: CrowdCounts) -> int:
        head = request_head(
            self._new_id(), "k", "cart-update", 2_000, many_short_fields(), STOPPED_BODY_BYTES
        )
        await asyncio.get_running_loop().sock_sendall(sock, head + bytes(60_000))
        return await self._read_status(sock)

    async def _stopped_upload(self, sock: socket.socket, counts: CrowdCounts) -> int:
        head = request_head(self._new_id(), "k", "cart-update", 2_000, length=STOPPED_BODY_BYTES)
        body = bytes(STOPPED_BODY_BYTES // 2)
        sending = asyncio.create_task(asyncio.get_running_loop().sock_sendall(sock, head + body))
        try:
            return await self._read_status(sock)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    async def _slow_upload(self, sock: socket.socket, counts: CrowdCounts) -> int:
        loop = asyncio.get_running_loop()
        reading = asyncio.create_task(self._read_status(sock))
        try:
            await loop.sock_sendall(
                sock,
                request_head(self._new_id(), "k", "cart-update", 2_000, length=LARGE_BYTES),
            )
            left = LARGE_BYTES
            while left and not reading.done():
                piece = min(left, 6_400)
                await loop.sock_sendall(sock, bytes(piece))
                left -= piece
                await asyncio.sleep(piece / SLOW_BYTES_PER_S)
            return await reading
        finally:
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)

    async def _slow_download(self, sock: socket.socket, counts: CrowdCounts) -> int:
        loop = asyncio.get_running_loop()
        key = AnswerSpec(Framing.LENGTH, LARGE_BYTES, 32_768).key(self._rng.randrange(1_000))
        await loop.sock_sendall(sock, request_head(self._new_id(), key))
        data = await loop.sock_recv(sock, 16_000)
        status = status_of(data)
        if status != 200:
            return status
        left = LARGE_BYTES + data.index(b"\r\n\r\n") + 4 - len(data)
        while left > 0:
            try:
                piece = await loop.sock_recv(sock, 16_000)
            except OSError:
                piece = b""
            if not piece:
                counts.cut += 1
                return status
            left -= len(piece)
            await asyncio.sleep(len(piece) / SLOW_BYTES_PER_S)
        counts.whole += 1
        return status

    async def _endless_head(self, sock: socket.socket, counts: CrowdCounts) -> int:
        loop = asyncio.get_running_loop()
        reading = asyncio.create_task(self._read_status(sock))
        try:
            await loop.sock_sendall(sock, request_head(self._new_id(), "k")[:-2])
            while not reading.done():
                with suppress(OSError):
                    await loop.sock_sendall(sock, b"a: b\r\n")
                await asyncio.sleep(0.05)
            return await reading
        finally:
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)


class OrdinaryReads:
    """Clients that read small answers, keep connections and open more when all are busy."""

    def __init__(self, port: int, per_s: float, seed: int, prefix: str = "r") -> None:
        """prefix: of the request ids, which differ between all clients of a node."""
        self.port = port
        self.counts = ReadCounts()
        self._prefix = prefix
        self.per_s = per_s
        self._rng = random.Random(f"reads/{seed}")
        self._idle: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0

    async def run(self, seconds: float) -> None:
        """Send reads for a time, and wait for their answers."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + seconds
        while loop.time() < until_s:
            task = asyncio.create_task(self._read())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._rng.expovariate(self.per_s))
        if self._tasks:
            await asyncio.wait(self._tasks)
        for sock in self._idle:
            sock.close()

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        self._number += 1
        head = request_head(f"{self._prefix}{self._number}", f"k{self._rng.randrange(200)}")
        started_s = loop.time()
        status = 0
        for is_new in (False, True):  # a kept connection may end just as the request is written
            try:
                if is_new:
                    sock = await connect(self.port)
                elif self._idle:
                    sock = self._idle.pop()
                else:
                    continue
            except OSError:
                break
            status = await self._exchange(sock, head)
            if status:
                break
        self.counts.statuses[status] += 1
        if status == 200:
            self.counts.waits_ms.append(1_000.0 * (loop.time() - started_s))

    async def _exchange(self, sock: socket.socket, head: bytes) -> int:
        """Return the status of an answer, 0 if there is none within 3 s."""
        loop, data = asyncio.get_running_loop(), b""
        try:
            async with asyncio.timeout(3.0):
                await loop.sock_sendall(sock, head)
                while not _is_whole(data):
                    piece = await loop.sock_recv(sock, READ_BYTES)
                    if not piece:
                        break
                    data += piece
        except OSError:
            data = b""
        if _is_whole(data) and b"Connection: close" not in data:
            self._idle.append(sock)
        else:
            sock.close()
        return status_of(data)


def _is_whole(data: bytes) -> bool:
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
    return len(body) >= int(length or 0)
