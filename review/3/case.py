"""Clients that take large answers slowly make the node exceed its memory."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import sys
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
    request_head,
    run_case,
    settings,
    wait_listening,
)

TROUBLE = os.environ.get("TROUBLE") != "0"
SERVERS = 6
MEMORY_MB = 80
UNIT_KB = 1024  # the larger reading of "MB"
DESCRIPTORS = 1024
# "Clients hold a third of the descriptors at most for requests."
MOST_OPEN = DESCRIPTORS // 3
READS_PER_S = 100.0
LARGE_READS_PER_S = 26.0
LARGE_BYTES = 8_000_000 if TROUBLE else 4_000
CLIENT_BYTES_PER_S = 64_000.0  # "take a body at 64 kB a second"
DURATION_S = 40.0


def anonymous_kb(pid: int) -> int:
    """Memory of a process in KiB without mapped files, which leaves out what it could share."""
    fields = dict(row.split(":", 1) for row in Path(f"/proc/{pid}/status").read_text().splitlines())
    return sum(int(fields[name].split()[0]) for name in ("RssAnon", "RssShmem"))


class Traffic:
    """Clients, each on a connection of its own; at most MOST_OPEN requests at once."""

    def __init__(self, port: int, record: Record) -> None:
        self._port, self._record = port, record
        self._room = asyncio.Semaphore(MOST_OPEN)
        self.open = self.most_open = self.whole = self.cut = 0
        self.ended = False

    async def read(self, key: str) -> None:
        """Send a read, and take its answer at CLIENT_BYTES_PER_S."""
        async with self._room:
            if self.ended:
                return
            self.open += 1
            self.most_open = max(self.open, self.most_open)
            txn = new_id()
            status, size, whole = await self._exchange(request_head(txn, "menu-read", key, 2500))
            self.open -= 1
            self.whole += whole
            self.cut += not whole
            self._record.write(
                f"read of {key} {txn}: status {status}, {size} bytes, "
                + ("whole" if whole else "not whole")
            )

    async def _exchange(self, request: bytes) -> tuple[str, int, bool]:
        """Return an answer's status, the bytes that came, and whether it came whole."""
        loop, data, needed = asyncio.get_running_loop(), b"", 1
        size, status = 0, "none"
        with socket.socket() as sock:
            sock.setblocking(False)
            try:
                await loop.sock_connect(sock, (HOST, self._port))
                await loop.sock_sendall(sock, request)
                while size < needed:
                    if not (piece := await loop.sock_recv(sock, 16_000)):
                        break
                    size += len(piece)
                    if status == "none":
                        data += piece
                        if b"\r\n\r\n" in data:
                            head, _, _ = data.partition(b"\r\n\r\n")
                            status = head[9:12].decode()
                            length = head.lower().partition(b"content-length:")[2].split(b"\r\n")
                            needed = len(head) + 4 + int(length[0])
                    if size < needed:
                        await asyncio.sleep(len(piece) / CLIENT_BYTES_PER_S)
            except OSError:
                pass
        return status, size, status != "none" and size >= needed


async def arrivals(rate: float, send) -> None:
    """Call `send` at random moments, `rate` times per second in the mean."""
    tasks = []
    while True:
        tasks.append(asyncio.create_task(send()))
        await asyncio.sleep(random.expovariate(rate))


async def case(scratch: Path, record: Record) -> bool:
    """Play the traffic; the platform kills a node that has more memory than `memory_mb`."""
    servers = [
        ServerProcess(scratch, f"s{number}", work_ms=(30.0, 60.0), large_bytes=LARGE_BYTES)
        for number in range(SERVERS)
    ]
    discovery = Discovery([entry(server.name, server.port) for server in servers])
    await discovery.start()
    node = Node(scratch, discovery.port, discovery.whole(), settings())
    node.config["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
    killed, peak_kb, tasks = False, 0, []
    try:
        for server in servers:
            await wait_listening(server.port)
        node.start()
        await node.wait_up()
        await asyncio.sleep(1.0)
        traffic = Traffic(node.port, record)

        def read(prefix: str):
            return traffic.read(f"{prefix}{random.randrange(500):08x}")

        tasks = [
            asyncio.create_task(arrivals(READS_PER_S, lambda: read("menu"))),
            asyncio.create_task(arrivals(LARGE_READS_PER_S, lambda: read("large"))),
        ]
        end, shown = time.monotonic() + DURATION_S, 0.0
        while time.monotonic() < end and not killed:
            kb = anonymous_kb(node.process.pid)
            peak_kb = max(kb, peak_kb)
            if time.monotonic() - shown >= 0.5:
                shown = time.monotonic()
                record.write(f"{kb} KiB of memory, {traffic.open} requests open")
            if kb > MEMORY_MB * UNIT_KB:
                record.say(
                    f"{kb} KiB of memory, over the limit of {MEMORY_MB * UNIT_KB}: killed with "
                    f"{traffic.open} requests open"
                )
                killed = True
                node.end()
            await asyncio.sleep(0.02)
        traffic.ended = True
        if killed:
            await asyncio.sleep(5.0)  # the clients still take what had reached their machine
        elif node.process.poll() is not None:
            raise RuntimeError("the node has ended by itself")
    finally:
        node.end()
        for task in tasks:
            task.cancel()
        for server in servers:
            server.end()
    for event in sorted((e for s in servers for e in s.events()), key=lambda event: event["at"]):
        record.write(f"{event['server']} {event['event']} {event['txn']}")
    record.say(
        f"{traffic.whole} answers came whole, {traffic.cut} did not, at most "
        f"{traffic.most_open} requests open at once, peak {peak_kb} KiB"
    )
    if traffic.whole < 100:
        raise RuntimeError("too few requests were answered")
    return not killed


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER / "record.txt"))
