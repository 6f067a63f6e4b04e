"""Case 8: a spoilt answer that never ends is passed on, and its client never gets an end."""

from __future__ import annotations

import asyncio
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
SERVICE_S = 0.1
EVERY = 20  # one answer in so many is spoilt
PIECE = b"sixteen of noise"
PIECE_S = 0.2  # between two pieces of a spoilt answer
RUN_S = 20.0
RATE = 20.0  # requests a second
WAIT_MS = 2_500
LATE_S = 0.5 + 0.05  # later than this after the client's time, an end is too late
PATIENCE_S = 15.0  # the client looks for an end for so long after its time


async def case(record: Record, folder: Path, nodes: list[Node]) -> int:
    got = 0
    spoilt: set[str] = set()

    def seen(server: str, request: Message) -> None:
        record.line(f"{server} got {request.fields['x-txn']}")

    async def handle(request: Message, writer: asyncio.StreamWriter) -> bool:
        nonlocal got
        got += 1
        txn = request.fields["x-txn"]
        await asyncio.sleep(SERVICE_S)
        if not TROUBLE or got % EVERY:
            await send_answer(writer, f"value for {txn}".encode())
            return True
        record.line(f"answer to {txn} is spoilt: it never ends")
        spoilt.add(txn)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while not writer.is_closing():
            writer.write(b"%x\r\n%b\r\n" % (len(PIECE), PIECE))
            await writer.drain()
            await asyncio.sleep(PIECE_S)
        return False

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

    judged = 0

    async def ask() -> None:
        nonlocal judged
        txn = new_id()
        reader, writer = await asyncio.open_connection(HOST, node.port)
        writer.write(request_bytes(txn, "menu-read", f"menu-{txn}", WAIT_MS))
        sent_s = now()
        end = "no end"
        try:
            async with asyncio.timeout(WAIT_MS / 1000.0 + PATIENCE_S):
                end = str((await read_answer(reader)).status)
        except TimeoutError:
            pass
        except (OSError, asyncio.IncompleteReadError):
            end = "a reset or close"
        finally:
            writer.transport.abort()
        took_s = now() - sent_s
        judged += 1
        record.line(f"client: {txn} got {end} after {took_s:.3f} s")
        if took_s > WAIT_MS / 1000.0 + LATE_S:
            record.rule_broken(f"{txn}: {end}, {took_s:.3f} s after it was sent")

    asked = []
    until_s = now() + RUN_S
    while now() < until_s:
        asked.append(asyncio.ensure_future(ask()))
        await asyncio.sleep(1.0 / RATE)
    await asyncio.gather(*asked)
    return record.verdict(judged)


sys.exit(play(__file__, case))
