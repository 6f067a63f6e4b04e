"""Case 6: a second answer comes some milliseconds late and is taken for the next request's."""

from __future__ import annotations

import asyncio
import queue
import random
import socket
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path
from typing import Optional

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from rig2 import (
    HOST,
    TROUBLE,
    Discovery,
    Node,
    Record,
    new_id,
    now,
    parse_head,
    play,
    read_answer,
    request_bytes,
    settings,
)

SERVERS = 3
# One way between two places; the site file says 0.42 to 0.78 ms, less the jitter.
NETWORK_S = 0.0007
SERVICE_S = (0.002, 0.010)  # a hit, as work is scaled to the load of one node
SPOILT_SHARE = 0.03
LATE_S = (0.003, 0.009)  # some milliseconds
CLIENTS = 6
RUN_S = 40.0
PAUSE_S = 0.008  # of a client between two requests
WAIT_MS = 2_500


class SlowNetworkServer:
    """A cache server behind a network that takes NETWORK_S each way.

    It answers one request at a time on a connection. Behind some answers a second copy follows some
    milliseconds later, unless another request has come to the server on that connection by then.
    """

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self._record = record
        self._random = random.Random(name)
        self._socket = socket.create_server((HOST, 0))
        self.port = int(self._socket.getsockname()[1])
        self.spoilt = 0

    def start(self) -> None:
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._socket.close()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                connection, _ = self._socket.accept()
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                arrivals: queue.SimpleQueue[tuple[float, bytes]] = queue.SimpleQueue()
                for target in (self._read, self._serve):
                    threading.Thread(
                        target=target, args=(connection, arrivals), daemon=True
                    ).start()

    @staticmethod
    def _read(connection: socket.socket, arrivals: queue.SimpleQueue[tuple[float, bytes]]) -> None:
        """Note when each piece comes to the server: NETWORK_S after it was sent."""
        data = b"-"
        while data:
            try:
                data = connection.recv(65_536)
            except OSError:
                data = b""
            arrivals.put((now() + NETWORK_S, data))

    def _serve(
        self, connection: socket.socket, arrivals: queue.SimpleQueue[tuple[float, bytes]]
    ) -> None:
        waiting: Optional[tuple[float, bytes]] = None
        buffer = b""
        with suppress(OSError), connection:
            while True:
                while b"\r\n\r\n" not in buffer:
                    at_s, data = waiting or arrivals.get()
                    waiting = None
                    if not data:
                        return
                    _sleep_until(at_s)
                    buffer += data
                head, _, buffer = buffer.partition(b"\r\n\r\n")
                _, fields = parse_head(head)
                txn = fields["x-txn"]
                self._record.line(f"{self.name} got {txn}")
                time.sleep(self._random.uniform(*SERVICE_S))
                body = f"value for {txn}".encode()
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                answered_s = now()
                _sleep_until(answered_s + NETWORK_S)
                connection.sendall(answer)
                if not TROUBLE or self._random.random() >= SPOILT_SHARE:
                    continue
                second_s = answered_s + self._random.uniform(*LATE_S)
                if not buffer:
                    with suppress(queue.Empty):
                        waiting = arrivals.get(timeout=max(0.0, second_s - now()))
                _sleep_until(second_s)
                if waiting is not None and waiting[0] <= second_s or buffer:
                    continue  # another request waits on the connection
                self.spoilt += 1
                self._record.line(
                    f"{self.name} sends the answer to {txn} again, "
                    f"{(second_s - answered_s) * 1000.0:.1f} ms after the first; nothing waits"
                )
                _sleep_until(second_s + NETWORK_S)
                connection.sendall(answer)


def _sleep_until(at_s: float) -> None:
    left_s = at_s - now()
    if left_s > 0.0:
        time.sleep(left_s)


async def case(record: Record, folder: Path, nodes: list[Node]) -> int:
    sys.setswitchinterval(0.0002)
    discovery = Discovery(record)
    await discovery.start()
    servers = [SlowNetworkServer(f"s{n}", record) for n in range(SERVERS)]
    for server in servers:
        server.start()
        discovery.add(server.name, server.port)
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

    served = 0

    async def client() -> None:
        """One request at a time on one connection, as long as that stays open."""
        nonlocal served
        reader: Optional[asyncio.StreamReader] = None
        writer: Optional[asyncio.StreamWriter] = None
        until_s = now() + RUN_S
        while now() < until_s:
            if writer is None or reader is None:
                reader, writer = await asyncio.open_connection(HOST, node.port)
            txn = new_id()
            try:
                writer.write(request_bytes(txn, "menu-read", f"menu-{txn}", WAIT_MS))
                answer = await read_answer(reader)
            except (OSError, asyncio.IncompleteReadError):
                writer.transport.abort()
                reader = writer = None
                continue
            record.line(f"client: {txn} got {answer.status} {answer.body!r}")
            if answer.status == 200:
                served += 1
                if answer.body != f"value for {txn}".encode():
                    record.rule_broken(f"{txn} was served with {answer.body!r}")
            await asyncio.sleep(PAUSE_S)
        if writer is not None:
            writer.transport.abort()

    await asyncio.gather(*(client() for _ in range(CLIENTS)))
    record.line(f"second answers sent: {sum(server.spoilt for server in servers)}")
    for server in servers:
        server.close()
    return record.verdict(served)


sys.exit(play(__file__, case))
