"""Case 10: clients that send much at once and go; what begins for them after they have gone."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from rig2 import (
    HOST,
    TROUBLE,
    CacheServer,
    Discovery,
    Message,
    Node,
    Record,
    new_id,
    now,
    play,
    read_answer,
    request_bytes,
    send_answer,
    settings,
)

SERVERS = 4
SERVICE_S = (0.160, 0.190)  # a read that the order book answers takes longer
CLIENTS = 120
EVERY_S = (0.3, 0.6)  # from one client to the next
AT_ONCE = 700  # requests, some 98 KB
WRITES = 3  # they are written in so many pieces
PIECE_S = 0.004  # from one piece to the next
WAIT_MS = 2_500
GONE_S = 0.1 + 0.05  # the page's limit, and the slack of each time limit on sockets


async def case(record: Record, folder: Path, nodes: list[Node]) -> int:
    owner: dict[str, int] = {}
    closed_s: dict[int, float] = {}
    begun = 0

    def seen(server: str, request: Message) -> None:
        nonlocal begun
        begun += 1
        txn = request.fields["x-txn"]
        client = owner[txn]
        after_s = now() - closed_s.get(client, now())
        record.line(f"{server} got {txn} of client {client}, {after_s:.3f} s after it had gone")
        if after_s > GONE_S:
            record.rule_broken(f"{txn}: begun {after_s:.3f} s after client {client} had closed")

    async def handle(request: Message, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(random.uniform(*SERVICE_S))
        await send_answer(writer, f"value for {request.fields['x-txn']}".encode())
        return True

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
        },
    )
    nodes.append(node)
    node.start()
    await node.wait_up()
    await asyncio.sleep(4.0)  # it has asked discovery

    async def send_and_go(client: int) -> None:
        txns = [new_id() for _ in range(AT_ONCE)]
        owner.update(dict.fromkeys(txns, client))
        data = b"".join(request_bytes(txn, "menu-read", f"menu-{txn}", WAIT_MS) for txn in txns)
        piece_bytes = len(data) // WRITES + 1
        with socket.create_connection((HOST, node.port)) as connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for start in range(0, len(data), piece_bytes):
                connection.sendall(data[start : start + piece_bytes])
                await asyncio.sleep(PIECE_S)
            closed_s[client] = now()
        record.line(f"client {client}: sent {len(data)} bytes and closed")

    async def send_and_stay(client: int) -> None:
        """The same connection and requests, as far as a client sends them one at a time."""
        reader, writer = await asyncio.open_connection(HOST, node.port)
        for _ in range(2):
            txn = new_id()
            owner[txn] = client
            writer.write(request_bytes(txn, "menu-read", f"menu-{txn}", WAIT_MS))
            record.line(f"client {client}: got {(await read_answer(reader)).status}")
        closed_s[client] = now()
        writer.transport.abort()

    last = []
    for client in range(CLIENTS):
        last.append(asyncio.ensure_future((send_and_go if TROUBLE else send_and_stay)(client)))
        await asyncio.sleep(random.uniform(*EVERY_S))
    await asyncio.gather(*last)
    await asyncio.sleep(2.0)
    return record.verdict(begun)


sys.exit(play(__file__, case))
