"""Case 6: answers that wait behind one another for slow clients take the node over its memory."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sys
from collections import deque
from pathlib import Path
from typing import Optional

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from rig2 import (
    HOST,
    TROUBLE,
    CacheServer,
    CannotRun,
    Discovery,
    Message,
    Node,
    Record,
    new_id,
    now,
    play,
    request_bytes,
    request_class,
    send_answer,
    settings,
)

SERVERS = 4
SERVICE_S = 0.05
LANE, AIM_MS, WAIT_MS = "index-scan", 4_000, 9_000  # a class of ashanti-records
MEMORY_MB = 128
SOCKETS = 1_024
CLIENTS = 310  # fewer than a third of the descriptors
AT_ONCE = 8 if TROUBLE else 1  # requests that a client has on its connection at once
ANSWER_BYTES = 64_000
READ_BYTES_PER_S = 64_000  # a client may take a body as slowly as this
RECEIVE_BUFFER = 16_384  # of a small machine
ARRIVE_S = 50.0  # over which the clients come
RUN_S = 70.0
MIB = 1 << 20


def own_memory(process: int) -> Optional[int]:
    """The process's own memory in bytes, without mapped files; None once it has ended."""
    with contextlib.suppress(OSError):
        sizes = dict(
            line.split(":", 1)
            for line in Path(f"/proc/{process}/status").read_text().splitlines()
            if line.startswith(("RssAnon", "RssShmem"))
        )
        if sizes:
            return sum(int(size.split()[0]) * 1024 for size in sizes.values())
    return None


async def case(record: Record, folder: Path, nodes: list[Node]) -> int:
    async def handle(request: Message, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(SERVICE_S)
        await send_answer(writer, b"v" * ANSWER_BYTES)
        return True

    def seen(server: str, request: Message) -> None:
        record.line(f"{server} got {request.fields['x-txn']}")

    discovery = Discovery(record)
    await discovery.start()
    for n in range(SERVERS):
        name = f"s{n}"
        server = CacheServer(name, handle, lambda request, name=name: seen(name, request))
        await server.start()
        discovery.add(name, server.port)
    node = Node(
        folder,
        "n1",
        {
            "discovery": f"{HOST}:{discovery.port}",
            "known": discovery.list(),
            "settings": {
                **settings(),
                "services": [request_class(LANE, AIM_MS, WAIT_MS, "safe", 4.0, WAIT_MS)],
            },
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        },
    )
    nodes.append(node)
    node.start()
    await node.wait_up()
    await asyncio.sleep(4.0)  # it has asked discovery
    assert node.process is not None

    loop = asyncio.get_running_loop()
    until_s = now() + RUN_S
    counts = {"sent": 0, "200": 0, "503": 0, "other": 0, "closed": 0, "left": 0}
    sent_s: list[float] = []

    async def client(number: int) -> None:
        """Keep AT_ONCE requests on one connection, or on a new one once the node has ended it."""
        await asyncio.sleep(ARRIVE_S * number / CLIENTS)
        while now() < until_s and not record.broken:
            connection = socket.socket()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.setblocking(False)
            try:
                await loop.sock_connect(connection, (HOST, node.port))
                await use(connection)
            except OSError:
                await asyncio.sleep(0.1)
            finally:
                connection.close()
            counts["closed"] += 1

    async def use(connection: socket.socket) -> None:
        """Ask and read the answers slowly until the connection ends."""

        out: deque[tuple[str, float]] = deque()  # ids without an answer, and when they were sent

        async def send(count: int) -> None:
            txns = [new_id() for _ in range(count)]
            out.extend((txn, now()) for txn in txns)
            sent_s.extend(now() for _ in txns)
            record.line(f"client: sends {' '.join(txns)}")
            data = [request_bytes(txn, LANE, f"scan-{txn}", WAIT_MS) for txn in txns]
            await loop.sock_sendall(connection, b"".join(data))
            counts["sent"] += count

        await send(AT_ONCE)
        began_s, got, left, head = now(), 0, 0, b""
        while now() < until_s:
            data = await loop.sock_recv(connection, 3_200)
            if not data:
                return
            got += len(data)
            while data:
                if left:
                    taken = min(left, len(data))
                    left, data = left - taken, data[taken:]
                    if not left:
                        out.popleft()
                        await send(1)
                    continue
                head += data
                data = b""
                if b"\r\n\r\n" in head:
                    lines, _, data = head.partition(b"\r\n\r\n")
                    head = b""
                    status = lines[9:12].decode()
                    counts[status if status in counts else "other"] += 1
                    record.line(f"client: {out[0][0]} is answered with {status}")
                    length = lines.lower().partition(b"content-length:")[2]
                    left = int(length.split(b"\r\n")[0] or 0)
                    if not left:
                        out.popleft()
                        await send(1)
            if out and now() - out[0][1] > WAIT_MS / 1000.0:
                counts["left"] += 1  # it waits no longer than it has said
                return
            await asyncio.sleep(max(0.0, began_s + got / READ_BYTES_PER_S - now()))

    clients = [asyncio.ensure_future(client(n)) for n in range(CLIENTS)]
    most = 0
    while now() < until_s:
        await asyncio.sleep(0.1)
        used = own_memory(node.process.pid)
        if used is None:
            raise CannotRun(f"the node has ended: {node.log()[-400:]}")
        if used > most + MIB:
            most = used
            record.line(f"node: {used / MIB:.1f} MiB of {MEMORY_MB}; clients {counts}")
        if used > MEMORY_MB * MIB:
            record.rule_broken(
                f"the node has {used / MIB:.1f} MiB of its {MEMORY_MB}; the platform kills it, and "
                f"its connections end: clients {counts}"
            )
            node.send_signal(signal.SIGKILL)
            break
    await asyncio.wait(clients, timeout=1.0)
    for task in clients:
        task.cancel()
    rate = max(sum(1 for at_s in sent_s if 0.0 <= at_s - first_s < 5.0) for first_s in sent_s[::50])
    record.line(f"most: {most / MIB:.1f} MiB; at most {rate / 5.0:.0f} requests a second in 5 s")
    record.line(f"clients {counts}")
    if not counts["200"]:
        raise CannotRun("nothing was served")
    return record.verdict(counts["sent"])


sys.exit(play(__file__, case))
