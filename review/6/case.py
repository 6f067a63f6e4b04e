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
    send_answer,
    settings,
)

SERVERS = 4
SERVICE_S = 0.05
MEMORY_MB = 80
SOCKETS = 1_024
CLIENTS = 335  # a third of the descriptors at most
AT_ONCE = 10 if TROUBLE else 1  # requests that a client has on its connection at once
ANSWER_BYTES = 36_000
READ_BYTES_PER_S = 64_000  # a client may take a body as slowly as this
RECEIVE_BUFFER = 16_384  # of a small machine
ARRIVE_S = 6.0  # over which the clients come
RUN_S = 30.0
WAIT_MS = 2_500
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
            "settings": settings(),
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
    counts = {"sent": 0, "200": 0, "503": 0, "other": 0, "closed": 0}

    async def client(number: int) -> None:
        """Keep AT_ONCE requests on one connection, or on a new one once the node has ended it."""
        await asyncio.sleep(ARRIVE_S * number / CLIENTS)
        while now() < until_s:
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

        out: deque[str] = deque()  # ids without an answer

        async def send(count: int) -> None:
            txns = [new_id() for _ in range(count)]
            out.extend(txns)
            record.line(f"client: sends {' '.join(txns)}")
            data = [request_bytes(txn, "menu-read", f"menu-{txn}", WAIT_MS) for txn in txns]
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
                        await send(1)
                    continue
                head += data
                data = b""
                if b"\r\n\r\n" in head:
                    lines, _, data = head.partition(b"\r\n\r\n")
                    head = b""
                    status = lines[9:12].decode()
                    counts[status if status in counts else "other"] += 1
                    record.line(f"client: {out.popleft()} is answered with {status}")
                    length = lines.lower().partition(b"content-length:")[2]
                    left = int(length.split(b"\r\n")[0] or 0)
                    if not left:
                        await send(1)
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
    record.line(f"most: {most / MIB:.1f} MiB; clients {counts}")
    if not counts["200"]:
        raise CannotRun("nothing was served")
    return record.verdict(counts["sent"])


sys.exit(play(__file__, case))
