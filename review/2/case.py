"""Uploads at cache servers that hang get no final answer until seconds after their time."""

from __future__ import annotations

import asyncio
import fcntl
import os
import random
import signal
import socket
import struct
import sys
import termios
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import (  # noqa: E402
    HOST,
    Discovery,
    Node,
    Record,
    ServerProcess,
    entry,
    new_id,
    now_ms,
    request_head,
    run_case,
    settings,
    wait_listening,
)

TROUBLE = os.environ.get("TROUBLE") != "0"
SERVERS = 10
BODY_BYTES = (500_000, 1_000_000)
READS_PER_S = 256.0  # together 320 requests per second
WRITES_PER_S = 64.0
REMAINING_MS = 2000  # the deadline of cart-update
LATE_MS = 500.0  # "Up to half a second after its time it only earns nothing"
HANGING = 2  # a fifth of the servers, at once and once, for HANG_S
BEFORE_S, HANG_S, AFTER_S = 5.0, 6.0, 6.0


class Traffic:
    """Clients: reads, and uploads, on connections of their own."""

    def __init__(self, port: int, record: Record) -> None:
        self._port, self._record = port, record
        self._tasks: list[asyncio.Task[None]] = []
        self.reads_answered = self.uploads_in_time = 0
        self.late: list[str] = []

    async def play(self, seconds: float) -> None:
        """Send requests at random moments for some seconds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            upload = random.random() < WRITES_PER_S / (READS_PER_S + WRITES_PER_S)
            self._tasks.append(asyncio.create_task(self._upload() if upload else self._read()))
            await asyncio.sleep(random.expovariate(READS_PER_S + WRITES_PER_S))

    async def finish(self) -> None:
        """Wait for the answers that are still out."""
        await asyncio.gather(*self._tasks)

    async def _read(self) -> None:
        txn = new_id()
        head = request_head(txn, "menu-read", f"{random.randrange(300):016x}", 2500)
        waited_ms, status = await self._exchange(txn, head)
        self.reads_answered += status != "none"
        self._record.write(f"read {txn}: answer {status} after {waited_ms:.0f} ms")

    async def _upload(self) -> None:
        txn, size = new_id(), random.randint(*BODY_BYTES)
        key = f"{random.randrange(300):016x}"
        head = request_head(txn, "cart-update", key, REMAINING_MS, size)
        waited_ms, status = await self._exchange(txn, head + bytes(size))
        self._record.write(
            f"upload {txn} of {size} bytes: answer {status}, {waited_ms:.0f} ms after its last byte"
        )
        if status != "none" and waited_ms <= REMAINING_MS + LATE_MS:
            self.uploads_in_time += 1
        else:
            self.late.append(txn)
            self._record.write(f"LOST: {txn}")

    async def _exchange(self, txn: str, request: bytes) -> tuple[float, str]:
        """Send a request and wait for its answer for 20 s, or until the connection ends.

        Returns the time in ms from the moment at which the last byte was written to the answer,
        and the answer's status.
        """
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, (HOST, self._port))
            since = now_ms()
            try:
                await loop.sock_sendall(sock, request)
                since = now_ms()
                answer = asyncio.ensure_future(loop.sock_recv(sock, 65_536))
                await asyncio.wait([answer], timeout=0.5)
                if not answer.done():
                    left = unacknowledged(sock)
                    self._record.write(f"{txn} waits; {left} bytes have not reached the node")
                data = await asyncio.wait_for(answer, 20.0)
            except (OSError, TimeoutError):
                data = b""
        return now_ms() - since, data[9:12].decode() or "none"


def unacknowledged(sock: socket.socket) -> int:
    """Bytes that the other side's machine has not acknowledged (SIOCOUTQ)."""
    return struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4))[0]


async def case(scratch: Path, record: Record) -> bool:
    """Stop a fifth of the cache servers for HANG_S and see when uploads get their final answers."""
    servers = [
        ServerProcess(scratch, f"s{number}", work_ms=(90.0, 160.0)) for number in range(SERVERS)
    ]
    discovery = Discovery([entry(server.name, server.port) for server in servers])
    await discovery.start()
    node = Node(scratch, discovery.port, discovery.whole(), settings())
    try:
        for server in servers:
            await wait_listening(server.port)
        node.start()
        await node.wait_up()
        await asyncio.sleep(1.0)
        traffic = Traffic(node.port, record)
        await traffic.play(BEFORE_S)
        if TROUBLE:
            record.say(f"{HANGING} of {SERVERS} cache servers are stopped for {HANG_S:g} s")
            for server in servers[:HANGING]:
                server.signal(signal.SIGSTOP)
        await traffic.play(HANG_S)
        if TROUBLE:
            record.say("they go on")
            for server in servers[:HANGING]:
                server.signal(signal.SIGCONT)
        await traffic.play(AFTER_S)
        await traffic.finish()
    finally:
        node.end()
        for server in servers:
            server.end()
    for event in sorted((e for s in servers for e in s.events()), key=lambda event: event["at"]):
        record.write(f"{event['server']} {event['event']} {event['txn']} {event.get('bytes', '')}")
    record.say(
        f"{traffic.reads_answered} reads answered, {traffic.uploads_in_time} uploads answered in "
        f"time, {len(traffic.late)} later than {LATE_MS:g} ms after their time or never"
    )
    if traffic.uploads_in_time < 50:
        raise RuntimeError("too few uploads were answered")
    return not traffic.late


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER / "record.txt"))
