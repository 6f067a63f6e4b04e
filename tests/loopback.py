"""Shared fixtures of the socket tests: a node in this process and emulated peers on loopback."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from corkshift import seam
from corkshift.config import Config
from corkshift.discovery import Discovery
from corkshift.frontend import Frontend
from corkshift.loop_lag import LoopLagMonitor
from corkshift.metrics import Metrics
from corkshift.node import Node
from corkshift.stream import KERNEL_BUFFER_BYTES
from corkshift.upstream import Pool
from forkweir.adapter import settings_of
from forkweir.limits.lifecycle import ShutdownSchedule
from testbed.systems import emulators
from testbed.systems.http import Connection, Message
from testbed.systems.scripted import ScriptedBox as CacheBox
from testbed.systems.scripted import default_answer, ok_response, request_path

__all__ = [
    "CacheBox",
    "connect_socket",
    "ScriptedDiscovery",
    "Rig",
    "entry",
    "default_answer",
    "request_path",
    "run_async",
    "request",
    "rig",
    "send_to",
    "status",
    "until",
    "ok_response",
]

# Time limit of one test; on an idle machine tests wait for nothing that takes long.
TEST_TIMEOUT_S = 30.0
OPTIONS: dict[str, Any] = {
    "services": [
        {
            "name": "read",
            "promiseMs": 20_000,
            "deadlineMs": 20_000,
            "idempotency": "safe",
            "worth": 1,
        },
        {
            "name": "order",
            "promiseMs": 20_000,
            "deadlineMs": 20_000,
            "idempotency": "unsafe",
            "worth": 1,
        },
        {
            "name": "brisk",
            "promiseMs": 4_000,
            "deadlineMs": 20_000,
            "idempotency": "safe",
            "worth": 1,
        },
        {
            "name": "pay",
            "promiseMs": 4_000,
            "deadlineMs": 20_000,
            "idempotency": "keyed",
            "group": "all",
            "windowMs": 20_000,
            "worth": 1,
        },
        {
            "name": "once",
            "promiseMs": 4_000,
            "deadlineMs": 20_000,
            "idempotency": "unsafe",
            "worth": 1,
        },
    ],
    "discovery": "subscribe",
    "contract": {"mustAskInMs": 1000, "stopSendingWithinMs": 250},
    "allowed": {
        "mostTries": 3,
        "retryAfter": True,
        "maxRetryAfterMs": 1200,
        "mayCancel": True,
        "dialTimeoutMs": 5000,
    },
}


def run_async(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test on an event loop of its own, within TEST_TIMEOUT_S."""

    async def bounded() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await test()

    asyncio.run(bounded())


async def until(true: Callable[[], bool]) -> None:
    """Wait until a condition holds; the time limit of the test ends a wait in vain."""
    while not true():
        await asyncio.sleep(0.005)


def entry(name: str, port: int, lifecycle: str = "in_service") -> dict[str, object]:
    """Return one server's entry as discovery sends it."""
    return {**emulators.DiscoveryServer.entry(name, ("127.0.0.1", port)), "lifecycle": lifecycle}


async def send_to(address: tuple[str, int], data: bytes) -> bytes:
    """Write bytes on a new connection; return all input until the peer closes, b"" on a reset."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(data)
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.transport.abort()


async def connect_socket(port: int) -> socket.socket:
    """Connect a non-blocking socket, whose buffers are the kernel's alone, to a port."""
    sock = socket.socket()
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return sock


class ScriptedDiscovery(emulators.DiscoveryServer):
    """Emulated discovery that lists the given boxes; tests change its list."""

    def __init__(self, boxes: dict[str, CacheBox]) -> None:
        super().__init__(("127.0.0.1", 0), emulators.ServerObserver())
        self.boxes = boxes
        self.requested_targets: list[str] = []

    @property
    def port(self) -> int:
        return self.address[1]

    def start(self) -> None:
        self.entries.update({name: entry(name, box.port) for name, box in self.boxes.items()})
        self.listen()

    async def stop(self) -> None:
        self.close()
        await until(lambda: not self.watches)

    async def serve(self, connection: Connection, request: Message) -> None:
        self.requested_targets.append(request.target)
        await super().serve(connection, request)


def options_of(**changes: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of these tests with some values replaced."""
    return {**OPTIONS, **{name: {**OPTIONS[name], **table} for name, table in changes.items()}}


class Rig:
    """A node, its emulated discovery and its boxes."""

    def __init__(
        self,
        boxes: dict[str, CacheBox],
        discovery_server: ScriptedDiscovery,
        sockets: int,
        options: dict[str, Any],
        clients: int,
        shutdown_schedule: ShutdownSchedule | None,
        dial_s: float,
    ) -> None:
        config = Config(
            name="n0",
            listen=("127.0.0.1", 0),
            discovery=("127.0.0.1", discovery_server.port),
            seed=1,
            sockets=sockets,
            memory_mb=64,
            known={},
            settings=settings_of(options),
            max_open=sockets,
            dial_timeout_ms=1000.0 * dial_s,
            conn_idle_ms=30_000.0,
            drain_grace_ms=250.0,
        )
        self.boxes = boxes
        self.discovery_server = discovery_server
        self.metrics = Metrics(spec.name for spec in config.settings.classes)
        self.loop_lag = LoopLagMonitor()  # reports no lag until a test starts it
        self.pool = Pool(
            sockets // 2, config.dial_timeout_ms, config.conn_idle_ms, self.metrics, self.loop_lag
        )
        self.node = Node(config, self.pool, sockets)
        listener = seam.bind_listener(config.listen, KERNEL_BUFFER_BYTES)
        self.frontend = Frontend(
            self.node,
            listener,
            clients,
            1 << 20,
            shutdown_schedule=shutdown_schedule,
            loop_lag=self.loop_lag,
        )
        self.discovery = Discovery(self.node, self.pool, config.discovery, loop_lag=self.loop_lag)
        self.node.follow = self.discovery.follow
        self.node.list_unread = self.discovery.has_unread_input

    @property
    def port(self) -> int:
        return self.frontend.address[1]

    async def send(self, data: bytes) -> bytes:
        """Write bytes on a new connection; return all input until the node closes."""
        return await send_to(("127.0.0.1", self.port), data)

    async def ask(
        self,
        txn: str,
        more: str = "",
        path: str = "/api/k",
        class_name: str = "read",
        method: str = "GET",
        body: bytes = b"",
        within_ms: int = 20_000,
    ) -> bytes:
        """Send one valid request on a new connection; return the whole response."""
        return await self.send(
            request(txn, more + "Connection: close\r\n", path, class_name, method, within_ms) + body
        )


def request(
    txn: str,
    more: str = "",
    path: str = "/api/k",
    class_name: str = "read",
    method: str = "GET",
    within_ms: int = 20_000,
) -> bytes:
    """Return the head of a request. within_ms: how long its client waits."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: x\r\nX-Txn: {txn}\r\n"
        f"X-Lane: {class_name}\r\nX-Remaining-Ms: {within_ms}\r\n"
    )
    return f"{head}{more}\r\n".encode()


@asynccontextmanager
async def rig(
    boxes: dict[str, CacheBox],
    sockets: int = 64,
    options: dict[str, Any] = OPTIONS,
    clients: int = 0,
    shutdown_schedule: ShutdownSchedule | None = None,
    dial_s: float = 5.0,
) -> AsyncIterator[Rig]:
    """Run a node with these cache servers.

    clients: its limit of client connections; 0 stands for half the sockets.
    """
    for box in boxes.values():
        box.listen()
    discovery_server = ScriptedDiscovery(boxes)
    discovery_server.start()
    made = Rig(
        boxes,
        discovery_server,
        sockets,
        options,
        clients or sockets // 2,
        shutdown_schedule,
        dial_s,
    )
    made.discovery.start({})
    made.discovery.follow()
    made.frontend.start()
    await until(lambda: len(made.node.servers) == len(boxes))
    try:
        yield made
    finally:
        await discovery_server.stop()
        for box in boxes.values():
            box.close()


def status(answer: bytes) -> int:
    """Return the status of a response; 0 if the connection closed without one."""
    return int(answer.split(b" ", 2)[1]) if answer.startswith(b"HTTP/1.1 ") else 0
