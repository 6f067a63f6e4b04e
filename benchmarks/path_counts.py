"""What a request costs a node, by case, in counts that are the same in every run.

    python -m benchmarks.path_counts              # the table
    python -m benchmarks.path_counts --write      # and into benchmarks/path_counts.json

Counted is what the node's own code does from the first byte of a batch of requests to its last
answer, divided by the batch, after as many that are not counted: system calls by name, bytes read
and written, callbacks of the loop, tasks, futures and timers made.
tests/test_path_counts.py compares the counts with benchmarks/path_counts.json in CI.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from contextvars import Context
from pathlib import Path
from typing import Any, Optional

from corkshift import seam
from corkshift.config import load
from corkshift.loop_lag import LoopLagMonitor
from corkshift.service import Service
from corkshift.stream import Stream
from testbed.machine.loop import VirtualLoop
from testbed.machine.net import Network, VirtualSocket
from testbed.machine.process import Process
from testbed.systems.emulators import DiscoveryServer, ServerObserver
from testbed.systems.scripted import ScriptedBox, ok_response

FILE = Path(__file__).parent / "path_counts.json"
BATCH = 100
ORDERS = 72  # drawn orders of a case whose clients ask side by side
CALLS = ("send", "recv_into", "accept", "connect", "close", "setsockopt", "setblocking")
NODE, REGISTRY = ("127.1.0.1", 8000), ("127.4.0.1", 8500)
SETTINGS: dict[str, Any] = {
    "services": [
        {
            "name": "menu-read",
            "promiseMs": 750,
            "deadlineMs": 2500,
            "idempotency": "safe",
            "worth": 1,
        }
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
Script = Callable[[bytes], Any]


class Case:
    """One way in which requests come and are answered."""

    def __init__(
        self,
        what: str,
        size: int = 600,
        method: str = "GET",
        fresh: bool = False,
        clients: int = 1,
        box: Optional[Script] = None,
    ) -> None:
        self.what, self.method, self.fresh, self.clients = what, method, fresh, clients
        answer = ok_response(bytes(size), b"Content-Type: application/json\r\n")
        self.box: Script = box or (lambda head: answer)


def _away_once() -> Script:
    """Turns away each request's first attempt."""
    seen: set[bytes] = set()

    def script(head: bytes) -> bytes:
        txn = head.partition(b"X-Txn: ")[2].partition(b"\r\n")[0]
        if txn in seen:
            return ok_response(bytes(600))
        seen.add(txn)
        return b"HTTP/1.1 503 -\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"

    return script


def _chunked(head: bytes) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n258\r\n"
        + bytes(600)
        + b"\r\n0\r\n\r\n"
    )


CASES: dict[str, Callable[[], Case]] = {
    "get": lambda: Case("kept connections, 600 B"),
    "get 1 B": lambda: Case("1 B", size=1),
    "get 64 KiB": lambda: Case("64 KiB", size=65_536),
    "get, 16 clients": lambda: Case("16 clients", clients=16),
    "get, new connections": lambda: Case("a connection for each request", fresh=True),
    "put": lambda: Case("200 B up", method="PUT"),
    "get, chunked answer": lambda: Case("an answer that is not plain", box=_chunked),
    "get, turned away once": lambda: Case("repeated at another box", box=_away_once()),
    "get, failed": lambda: Case(
        "answered 500 by every box", box=lambda head: b"HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n"
    ),
}


class CountingLoop(VirtualLoop):
    """Counts what is made in the context of one process."""

    counts: Counter[str]
    counted: Optional[Process] = None

    def _count(self, what: str, context: Optional[Context] = None) -> None:
        side = seam.CURRENT_SYSTEM.get() if context is None else context.get(seam.CURRENT_SYSTEM)
        if self.counted is not None and side is self.counted:
            self.counts[what] += 1

    def call_soon(self, callback: Any, *args: Any, context: Optional[Context] = None) -> Any:  # type: ignore[override]
        self._count("callbacks", context)
        return super().call_soon(callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Optional[Context] = None
    ) -> Any:
        periodic = isinstance(getattr(callback, "__self__", None), LoopLagMonitor)
        self._count("periodic timers" if periodic else "timers", context)
        return super().call_at(when, callback, *args, context=context)

    def create_task(self, coro: Any, **more: Any) -> Any:
        self._count("tasks")
        return super().create_task(coro, **more)

    def create_future(self) -> Any:
        self._count("futures")
        return super().create_future()


def measure(name: str) -> dict[str, float]:
    """The counts of a case, each for one request.

    RuntimeError where a request is not answered as it should be.

    Where clients ask side by side the counts are the mean of ORDERS orders in which the loop may
    run what is due at once: in one order alone any other timer of the node, even one that is
    cancelled at once, moves a request to another connection.
    """
    case = CASES[name]()
    if case.clients == 1:
        return _measure(name, 1)
    rounds = [_measure(name, order) for order in range(1, ORDERS + 1)]
    keys = sorted(set().union(*rounds))
    return {key: round(sum(counts.get(key, 0.0) for counts in rounds) / ORDERS, 2) for key in keys}


def _measure(name: str, order: int) -> dict[str, float]:
    case = CASES[name]()
    loop = CountingLoop(order)
    loop.counts = Counter()
    asyncio.set_event_loop(loop)
    net = Network(loop, 1)
    net.default_link.jitter_us = 0
    node = Process("node", net, NODE[0])
    before = {call: getattr(VirtualSocket, call) for call in CALLS}

    def counting(call: str) -> Any:
        original = before[call]

        def counted(self: VirtualSocket, *args: Any) -> Any:
            got = original(self, *args)
            if loop.counted is not None and self.process is loop.counted:
                loop.counts[call] += 1
                if call in ("send", "recv_into"):
                    loop.counts[f"bytes by {call}"] += int(got)
            return got

        return counted

    for call in CALLS:
        setattr(VirtualSocket, call, counting(call))
    try:
        return loop.run_until_complete(loop.create_task(_play(case, loop, net, node)))
    finally:
        for call, original in before.items():
            setattr(VirtualSocket, call, original)
        for task in asyncio.all_tasks(loop):
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            with suppress(Exception):
                task.get_coro().close()
        loop.close()
        asyncio.set_event_loop(None)


async def _play(case: Case, loop: CountingLoop, net: Network, node: Process) -> dict[str, float]:
    boxes = [ScriptedBox(case.box, (f"127.2.0.{n + 1}", 8001)) for n in range(4)]
    registry = DiscoveryServer(
        REGISTRY,
        ServerObserver(),
        {f"s{n}": DiscoveryServer.entry(f"s{n}", box.address) for n, box in enumerate(boxes)},
    )
    for server in (*boxes, registry):
        Process(f"at {server.address[0]}", net, server.address[0]).start(server.run)
    config = {
        "name": "n0", "listen": f"{NODE[0]}:{NODE[1]}", "discovery": f"{REGISTRY[0]}:{REGISTRY[1]}", "seed": "1",
        "limits": {"memory_mb": 128, "sockets": 512}, "settings": SETTINGS,
    }  # fmt: skip
    node.files["c.json"] = json.dumps(config).encode()
    node.environment["PROXY_CONFIG"] = "c.json"

    async def program() -> None:
        await Service(load(seam.environ())).run()

    node.start(program)
    await asyncio.sleep(1.5)
    done = asyncio.Event()
    counts: dict[str, float] = {}

    async def clients() -> None:
        try:
            await _batch(case, "warm")
            loop.counts.clear()
            loop.counted = node
            await _batch(case, "counted")
            loop.counted = None
            counts.update(
                {key: round(value / BATCH, 3) for key, value in sorted(loop.counts.items())}
            )
        finally:
            done.set()

    asker = Process("clients", net, "127.5.0.1")
    asker.start(clients)
    await done.wait()
    if not counts:
        raise RuntimeError(f"{case.what}: {asker.exit_error!r}")
    return counts


async def _batch(case: Case, part: str) -> None:
    async def client(first: int) -> None:
        stream = None
        for n in range(first, BATCH, case.clients):
            if stream is None or case.fresh:
                if stream is not None:
                    stream.close()
                stream = await _connect()
            body = b"x" * 200 if case.method == "PUT" else b""
            length = b"Content-Length: 200\r\n" if body else b""
            head = b"%b /api/%d HTTP/1.1\r\nHost: service.internal\r\nX-Txn: %b-%d\r\nX-Lane: menu-read\r\nX-Remaining-Ms: 2000\r\n%b\r\n"
            await stream.write(
                head % (case.method.encode(), n % 50, part.encode(), n, length) + body
            )
            data = b""
            while b"\r\n\r\n" not in data:
                data += await stream.read()
            wanted = int(data.partition(b"Content-Length: ")[2].partition(b"\r\n")[0])
            while len(data) < data.index(b"\r\n\r\n") + 4 + wanted:
                data += await stream.read()
        if stream is not None:
            stream.close()

    await asyncio.gather(*(client(n) for n in range(case.clients)))


async def _connect() -> Stream:
    sock = seam.tcp_socket()
    await seam.connect(sock, NODE)
    return Stream(sock)


def risen(now: dict[str, dict[str, float]], held: dict[str, dict[str, float]]) -> list[str]:
    """Which counts are above those that are held, and by how much."""
    return [
        f"{case}: {what} {now[case].get(what, 0.0):g}, {held[case].get(what, 0.0):g} held"
        for case in held
        for what in sorted(held[case].keys() | now[case].keys())
        if now[case].get(what, 0.0) > held[case].get(what, 0.0)
    ]


def main() -> int:
    """Print the table; the exit code: 1 where a count has risen."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--write", action="store_true", help="hold these counts from now on")
    parser.add_argument("--quick", action="store_true", help="the first case alone")
    parser.add_argument("--json", type=Path, metavar="FILE")
    args = parser.parse_args()
    names = list(CASES)[: 1 if args.quick else None]
    counts = {name: measure(name) for name in names}
    columns = sorted({what for row in counts.values() for what in row})
    print(f"{'for one request':24}" + " ".join(f"{what:>18}" for what in columns))
    for name, row in counts.items():
        print(f"{name:24}" + " ".join(f"{row.get(what, 0.0):18.2f}" for what in columns))
    if args.json:
        args.json.write_text(json.dumps(counts, indent=1) + "\n")
    if args.write:
        FILE.write_text(json.dumps(counts, indent=1) + "\n")
        return 0
    held = {name: row for name, row in json.loads(FILE.read_text()).items() if name in counts}
    worse = risen(counts, held)
    for line in worse:
        print(f"RISEN {line}")
    return 1 if worse else 0


if __name__ == "__main__":
    sys.exit(main())
