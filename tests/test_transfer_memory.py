"""Memory of bodies on their way between sockets, beside peers that take them slowly."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import (
    CacheBox,
    connect_socket,
    default_answer,
    ok_response,
    request,
    run_async,
)
from test_process import Process, running

from corkshift.budget import (
    BUFFER_SHARE,
    MAX_BUFFERED_BODY_BYTES,
    MIN_BUFFER_SHARE,
    MIN_READ_BYTES,
    PIECES_PER_TRANSFER,
    ConnectionAllowance,
)
from testbed.systems.http import Connection, Message

SOCKETS = 256
# "Clients hold a third of the descriptors at most for requests."
TRANSFERS = SOCKETS // 3
MEMORY_MB = 52
PIPELINED_MEMORY_MB = 46
BODY_BYTES = 8 << 20
# Requests that a client sends at once on one connection, and an answer that is buffered whole.
REQUESTS_AT_ONCE = 8
BUFFERED_BYTES = 64_000
ARRIVAL_S = 0.02  # from one such client to the next
HEAD = b"HTTP/1.1 200 OK\r\nX-Found: hit\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES
Begin = Callable[[int, int], Awaitable[socket.socket]]
# The node's buffers are full by then, while a peer takes nothing.
SETTLING_S = 1.5


class LargeBox(CacheBox):
    """A box that answers with BODY_BYTES to keys that begin with "large"."""

    def __init__(self) -> None:
        super().__init__()
        self.body = bytes(BODY_BYTES)

    async def serve(self, connection: Connection, request: Message) -> None:
        if "large" not in request.target:
            await super().serve(connection, request)
            return
        await connection.stream.write(HEAD)
        await connection.stream.write(self.body)


def buffered_answer(head: bytes) -> bytes:
    """An answer of BUFFERED_BYTES to keys that begin with "buffered"."""
    return ok_response(bytes(BUFFERED_BYTES)) if b"buffered" in head else default_answer(head)


class HangingBox(CacheBox):
    """A box that reads nothing any more once it hangs."""

    hangs = False

    def hang(self) -> None:
        """Read nothing from now on, and end the connections that wait for a request."""
        self.hangs = True
        for connection in self.connections:
            connection.stream.abort()

    async def _run(self, connection: Connection) -> None:
        if self.hangs:
            await asyncio.get_running_loop().create_future()
        await super()._run(connection)


def peak_memory_mb(pid: int) -> float:
    """The largest resident memory that a process has had, mapped files included, in MiB."""
    rows = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(row.split()[1]) / 1024.0 for row in rows if row.startswith("VmHWM:"))


async def download(port: int, number: int) -> socket.socket:
    """Begin a large answer, and take no more than its first bytes."""
    sock = await connect_socket(port)
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(sock, request(f"large-{number}", path=f"/api/large{number}"))
    assert (await loop.sock_recv(sock, 1_000)).startswith(b"HTTP/1.1 200")
    return sock


async def pipelined_downloads(port: int, number: int) -> socket.socket:
    """Ask for many buffered answers at once, and take no more than the first bytes."""
    await asyncio.sleep(ARRIVAL_S * number)  # all at once would be more than may be open
    sock = await connect_socket(port)
    loop = asyncio.get_running_loop()
    requests = [
        request(f"buffered-{number}-{n}", path=f"/api/buffered{number}-{n}")
        for n in range(REQUESTS_AT_ONCE)
    ]
    await loop.sock_sendall(sock, b"".join(requests))
    assert (await loop.sock_recv(sock, 1_000)).startswith(b"HTTP/1.1 200")
    return sock


async def upload(port: int, number: int) -> socket.socket:
    """Send the first 512 KiB of a large body, as far as they are taken in SETTLING_S."""
    sock = await connect_socket(port)
    more = f"Content-Length: {BODY_BYTES}\r\n"
    head = request(f"large-{number}", more, f"/api/large{number}", "order", "PUT")
    try:
        async with asyncio.timeout(SETTLING_S):
            await asyncio.get_running_loop().sock_sendall(sock, head + bytes(512 << 10))
    except TimeoutError:
        pass
    return sock


async def discarded_upload(port: int, number: int) -> socket.socket:
    """Send all of a large body, which no server takes within its client's time."""
    sock, loop = await connect_socket(port), asyncio.get_running_loop()
    body = bytes(BODY_BYTES // 4)
    more = f"Content-Length: {len(body)}\r\n"
    path = f"/api/large{number}"
    head = request(f"large-{number}", more, path, "order", "PUT", within_ms=300)
    await loop.sock_sendall(sock, head + body)
    assert (await loop.sock_recv(sock, 1_000)).startswith(b"HTTP/1.1 503")
    return sock


async def limit_node(process: Process, memory_mb: int) -> None:
    """Start the node's process again with this test's limits."""
    process.process.kill()
    await process.process.wait()
    process.config["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": SOCKETS}
    process.write()
    await process.start()
    await process.wait_served("limited")


def box_of(begin: Begin) -> CacheBox:
    """The box for one kind of transfer."""
    if begin is download:
        return LargeBox()
    return CacheBox(buffered_answer) if begin is pipelined_downloads else HangingBox()


@pytest.mark.parametrize(
    ("begin", "memory_mb"),
    [
        (download, MEMORY_MB),
        (upload, MEMORY_MB),
        (discarded_upload, MEMORY_MB),
        (pipelined_downloads, PIPELINED_MEMORY_MB),
    ],
)
def test_bodies_with_slow_peers_stay_within_the_memory_limit(
    begin: Begin, memory_mb: int, tmp_path: Path
) -> None:
    # Each large answer that a client took slowly held some 430 KB, whatever the limit of memory
    # was, and each upload more: the node was killed long before its descriptors were used up.
    # Answers to requests that were sent at once on one connection held as much (review/6).
    async def test() -> None:
        box = box_of(begin)
        async with running(tmp_path / "config.json", box) as (process, _):
            await limit_node(process, memory_mb)
            before_mb = peak_memory_mb(process.process.pid)
            if isinstance(box, HangingBox):
                box.hang()
            socks = await asyncio.gather(*(begin(process.port, n) for n in range(TRANSFERS)))
            await asyncio.sleep(SETTLING_S)
            peak_mb = peak_memory_mb(process.process.pid)
            assert before_mb < peak_mb <= memory_mb
            for sock in socks:
                sock.close()

    run_async(test)


@given(
    limit_mb=st.integers(24, 256),
    process_mb=st.integers(14, 40),
    sockets=st.integers(256, 1_024),
    connections=st.integers(0, 600),
    processes=st.integers(0, 1),
)
def test_what_all_connections_may_hold_stays_within_the_budget(
    limit_mb: int, process_mb: int, sockets: int, connections: int, processes: int
) -> None:
    # Neither few connections nor many may hold more than the budget, but for the smallest reads.
    allowance = ConnectionAllowance(limit_mb << 20, process_mb << 20, sockets // 3)
    allowance.set_open_connections(connections)
    allowance.set_other_processes(processes)
    free = (limit_mb << 20) - (1 + processes) * (process_mb << 20)
    assert allowance.total <= max(BUFFER_SHARE * free, MIN_BUFFER_SHARE * (limit_mb << 20))
    piece = allowance.transfer_read_limit(1 << 15)
    smallest = allowance.each == MIN_READ_BYTES
    assert smallest or connections * allowance.each <= allowance.total
    assert piece == MIN_READ_BYTES or PIECES_PER_TRANSFER * piece <= allowance.each
    read, body = allowance.read_limit(1 << 16), allowance.buffer_limit
    assert MIN_READ_BYTES <= piece <= read <= 1 << 16
    assert MIN_READ_BYTES <= body <= MAX_BUFFERED_BODY_BYTES
    assert read == MIN_READ_BYTES or 2 * read + body <= allowance.each
