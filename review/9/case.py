"""Case 9: a planned restart; a request whose last byte comes shortly before the process ends."""

from __future__ import annotations

import asyncio
import signal
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
SERVICE_S = 0.15
CLIENTS = 40
ROUNDS = 3
# After SIGTERM, within the time in which new connections go on coming.
FIRST_CONNECT_S, LAST_CONNECT_S = 0.05, 0.35
HEAD_S = 2.0  # a client may spend so long on a head
BODY_BYTES_PER_S = 64_000  # and write as slowly as this
# The writes are of such lengths that their last bytes spread evenly over this time.
FIRST_END_S, LAST_END_S = 2.8, 3.15
KILL_S = 2.5 + 0.7  # the longest deadline and 0.7 s
WAIT_MS = 2_000


async def case(record: Record, folder: Path, nodes: list[Node]) -> int:
    ran: set[str] = set()

    def seen(server: str, request: Message) -> None:
        ran.add(request.fields["x-txn"])
        record.line(f"{server} got {request.fields['x-txn']} with {len(request.body)} bytes")

    async def handle(request: Message, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(SERVICE_S)
        await send_answer(writer, f"stored {request.fields['x-txn']}".encode())
        return True

    discovery = Discovery(record)
    await discovery.start()
    for n in range(SERVERS):
        name = f"s{n}"
        server = CacheServer(name, handle, lambda request, name=name: seen(name, request))
        await server.start()
        discovery.add(name, server.port)

    judged = 0

    async def write_slowly(node: Node, began_s: float, connect_s: float, end_s: float) -> None:
        """Send one write, its last byte `end_s` after the start, and read its answer."""
        nonlocal judged
        txn = new_id()
        await asyncio.sleep(max(0.0, began_s + connect_s - now()))
        body = b"v" * int((end_s - connect_s - HEAD_S) * BODY_BYTES_PER_S)
        data = request_bytes(txn, "cart-update", f"order-{txn}", WAIT_MS, body)
        head_bytes = len(data) - len(body)
        try:
            reader, writer = await asyncio.open_connection(HOST, node.port)
        except OSError as error:
            record.line(f"client: {txn} could not connect: {error}")
            return
        first_s = now()
        sent = 0
        try:
            while sent < len(data):
                passed_s = now() - first_s
                due = (
                    int(head_bytes * passed_s / HEAD_S)
                    if passed_s < HEAD_S
                    else head_bytes + int((passed_s - HEAD_S) * BODY_BYTES_PER_S)
                )
                due = min(len(data), max(due, sent + 1))
                writer.write(data[sent:due])
                await writer.drain()
                sent = due
                if sent < len(data):
                    await asyncio.sleep(0.01)
            last_byte_s = now()
            # The kernel of the client's machine has taken the last byte, and the node's machine too
            # where the connection is still open a moment later.
            record.line(f"client: {txn} last byte {last_byte_s - began_s:.3f} s after the signal")
            judged += 1
            async with asyncio.timeout(WAIT_MS / 1000.0 + 0.55):
                status = (await read_answer(reader)).status
            record.line(f"client: {txn} got {status}")
        except TimeoutError:
            record.rule_broken(f"{txn}: no answer within its time and 0.55 s")
        except (OSError, asyncio.IncompleteReadError) as error:
            ended_s = now()
            if sent < len(data):
                record.line(f"client: {txn} closed on before its last byte: {error!r}")
            elif txn in ran:
                # The node has taken it: it has sent it on.
                record.rule_broken(
                    f"{txn}: sent on to a cache server, and closed on with no answer "
                    f"{ended_s - began_s:.3f} s after the signal, {ended_s - last_byte_s:.3f} s "
                    "after its last byte"
                )
            else:
                record.line(f"client: {txn} closed on, not sent on")
        finally:
            writer.transport.abort()

    for n in range(ROUNDS):
        node = Node(
            folder,
            f"n{n}",
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
        began_s = now()
        asked = []
        for client in range(CLIENTS):
            share = client / (CLIENTS - 1)
            connect_s = FIRST_CONNECT_S + share * (LAST_CONNECT_S - FIRST_CONNECT_S)
            end_s = FIRST_END_S + share * (LAST_END_S - FIRST_END_S)
            asked.append(asyncio.ensure_future(write_slowly(node, began_s, connect_s, end_s)))
        if TROUBLE:
            record.line(f"platform: SIGTERM to {node.name}")
            node.send_signal(signal.SIGTERM)
            await asyncio.sleep(max(0.0, began_s + KILL_S - now()))
            record.line(f"platform: SIGKILL to {node.name}")
            node.kill()
        await asyncio.gather(*asked)
        node.kill()
    return record.verdict(judged)


sys.exit(play(__file__, case))
