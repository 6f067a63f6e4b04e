"""What a request costs a node, by case, in counts that are the same in every run.

    python -m benchmarks.path_counts              # the table
    python -m benchmarks.path_counts --write      # and into benchmarks/path_counts.json

Counts what the node's own code does between the first byte of a batch of requests and the last
response, divided by the size of the batch: system calls by name, bytes read and written, event loop
callbacks, and the tasks, futures and timers that are created. A warm-up batch of the same size runs
first and is not counted. tests/test_path_counts.py compares the counts with
benchmarks/path_counts.json in CI.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections import Counter
from collections.abc import Callable
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

COUNTS_FILE = Path(__file__).parent / "path_counts.json"
BATCH_SIZE = 100
ORDER_COUNT = 72  # callback orders over which a case with concurrent clients is averaged
SYSTEM_CALLS = ("send", "recv_into", "accept", "connect", "close", "setsockopt", "setblocking")
NODE_ADDRESS, DISCOVERY_ADDRESS = ("127.1.0.1", 8000), ("127.4.0.1", 8500)
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
    """A kind of load: how clients send requests and how boxes respond."""

    def __init__(
        self,
        description: str,
        size: int = 600,
        method: str = "GET",
        new_connections: bool = False,
        clients: int = 1,
        respond: Optional[Script] = None,
    ) -> None:
        self.description, self.method, self.new_connections, self.clients = (
            description,
            method,
            new_connections,
            clients,
        )
        response = ok_response(bytes(size), b"Content-Type: application/json\r\n")
        self.respond: Script = respond or (lambda head: response)


def _refuse_first_attempt() -> Script:
    """Return a script that refuses the first attempt of each request."""
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
    "get": lambda: Case("persistent connections, 600 B"),
    "get 1 B": lambda: Case("1 B", size=1),
    "get 64 KiB": lambda: Case("64 KiB", size=65_536),
    "get, 16 clients": lambda: Case("16 clients", clients=16),
    "get, new connections": lambda: Case("a new connection for each request", new_connections=True),
    "put": lambda: Case("request body of 200 B", method="PUT"),
    "get, chunked answer": lambda: Case("chunked response", respond=_chunked),
    "get, turned away once": lambda: Case(
        "retried at another box", respond=_refuse_first_attempt()
    ),
    "get, failed": lambda: Case(
        "answered 500 by every box",
        respond=lambda head: b"HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n",
    ),
}


class CountingLoop(VirtualLoop):
    """Event loop that counts what is scheduled and created in the context of one process."""

    counts: Counter[str]
    counted_process: Optional[Process] = None

    def _count(self, name: str, context: Optional[Context] = None) -> None:
        system = seam.CURRENT_SYSTEM.get() if context is None else context.get(seam.CURRENT_SYSTEM)
        if self.counted_process is not None and system is self.counted_process:
            self.counts[name] += 1

    def call_soon(  # type: ignore[override]
        self, callback: Any, *args: Any, context: Optional[Context] = None
    ) -> Any:
        self._count("callbacks", context)
        return super().call_soon(callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Optional[Context] = None
    ) -> Any:
        periodic = isinstance(getattr(callback, "__self__", None), LoopLagMonitor)
        self._count("periodic timers" if periodic else "timers", context)
        return super().call_at(when, callback, *args, context=context)

    def create_task(self, coro: Any, **options: Any) -> Any:
        self._count("tasks")
        return super().create_task(coro, **options)

    def create_future(self) -> Any:
        self._count("futures")
        return super().create_future()


def measure(name: str) -> dict[str, float]:
    """Return the counts of a case, per request.

    Raises RuntimeError if the clients did not get all responses.

    With concurrent clients, the counts are the mean over ORDER_COUNT orders in which the loop may
    run callbacks that are due at the same time. In a single order, any additional timer of the
    node, even one that is cancelled immediately, moves a request to another connection.
    """
    case = CASES[name]()
    if case.clients == 1:
        return _measure_order(name, 1)
    runs = [_measure_order(name, seed) for seed in range(1, ORDER_COUNT + 1)]
    keys = sorted(set().union(*runs))
    return {
        key: round(sum(counts.get(key, 0.0) for counts in runs) / ORDER_COUNT, 2) for key in keys
    }


def _measure_order(name: str, order_seed: int) -> dict[str, float]:
    case = CASES[name]()
    loop = CountingLoop(order_seed)
    loop.counts = Counter()
    asyncio.set_event_loop(loop)
    net = Network(loop, 1)
    net.default_link.jitter_us = 0
    node = Process("node", net, NODE_ADDRESS[0])
    originals = {call: getattr(VirtualSocket, call) for call in SYSTEM_CALLS}

    def counting_method(call: str) -> Any:
        original = originals[call]

        def counted_method(self: VirtualSocket, *args: Any) -> Any:
            result = original(self, *args)
            if loop.counted_process is not None and self.process is loop.counted_process:
                loop.counts[call] += 1
                if call in ("send", "recv_into"):
                    loop.counts[f"bytes by {call}"] += int(result)
            return result

        return counted_method

    for call in SYSTEM_CALLS:
        setattr(VirtualSocket, call, counting_method(call))
    try:
        return loop.run_until_complete(loop.create_task(_run_case(case, loop, net, node)))
    finally:
        for call, original in originals.items():
            setattr(VirtualSocket, call, original)
        loop.discard()
        asyncio.set_event_loop(None)


async def _run_case(
    case: Case, loop: CountingLoop, net: Network, node: Process
) -> dict[str, float]:
    boxes = [ScriptedBox(case.respond, (f"127.2.0.{n + 1}", 8001)) for n in range(4)]
    discovery = DiscoveryServer(
        DISCOVERY_ADDRESS,
        ServerObserver(),
        {f"s{n}": DiscoveryServer.entry(f"s{n}", box.address) for n, box in enumerate(boxes)},
    )
    for server in (*boxes, discovery):
        Process(f"at {server.address[0]}", net, server.address[0]).start(server.run)
    config = {
        "name": "n0",
        "listen": f"{NODE_ADDRESS[0]}:{NODE_ADDRESS[1]}",
        "discovery": f"{DISCOVERY_ADDRESS[0]}:{DISCOVERY_ADDRESS[1]}",
        "seed": "1",
        "limits": {"memory_mb": 128, "sockets": 512},
        "settings": SETTINGS,
    }
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
            loop.counted_process = node
            await _batch(case, "counted")
            loop.counted_process = None
            counts.update(
                {key: round(value / BATCH_SIZE, 3) for key, value in sorted(loop.counts.items())}
            )
        finally:
            done.set()

    client_process = Process("clients", net, "127.5.0.1")
    client_process.start(clients)
    await done.wait()
    if not counts:
        raise RuntimeError(f"{case.description}: {client_process.exit_error!r}")
    return counts


async def _batch(case: Case, phase: str) -> None:
    async def client(first: int) -> None:
        stream = None
        for n in range(first, BATCH_SIZE, case.clients):
            if stream is None or case.new_connections:
                if stream is not None:
                    stream.close()
                stream = await _connect()
            body = b"x" * 200 if case.method == "PUT" else b""
            length = b"Content-Length: 200\r\n" if body else b""
            head = (
                b"%b /api/%d HTTP/1.1\r\nHost: service.internal\r\nX-Txn: %b-%d\r\n"
                b"X-Lane: menu-read\r\nX-Remaining-Ms: 2000\r\n%b\r\n"
            )
            await stream.write(
                head % (case.method.encode(), n % 50, phase.encode(), n, length) + body
            )
            response = b""
            while b"\r\n\r\n" not in response:
                response += await stream.read()
            body_length = int(response.partition(b"Content-Length: ")[2].partition(b"\r\n")[0])
            while len(response) < response.index(b"\r\n\r\n") + 4 + body_length:
                response += await stream.read()
        if stream is not None:
            stream.close()

    await asyncio.gather(*(client(n) for n in range(case.clients)))


async def _connect() -> Stream:
    sock = seam.tcp_socket()
    await seam.connect(sock, NODE_ADDRESS)
    return Stream(sock)


def regressions(
    measured: dict[str, dict[str, float]], reference: dict[str, dict[str, float]]
) -> list[str]:
    """List the counts that are above the reference, with both values."""
    return [
        f"{case}: {name} {measured[case].get(name, 0.0):g}, {reference[case].get(name, 0.0):g} held"
        for case in reference
        for name in sorted(reference[case].keys() | measured[case].keys())
        if measured[case].get(name, 0.0) > reference[case].get(name, 0.0)
    ]


def main() -> int:
    """Print the table; return the exit code, 1 if a count has risen."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--write", action="store_true", help="hold these counts from now on")
    parser.add_argument("--quick", action="store_true", help="the first case alone")
    parser.add_argument("--json", type=Path, metavar="FILE")
    args = parser.parse_args()
    cases = list(CASES)[: 1 if args.quick else None]
    counts = {name: measure(name) for name in cases}
    columns = sorted({column for row in counts.values() for column in row})
    print(f"{'for one request':24}" + " ".join(f"{column:>18}" for column in columns))
    for name, row in counts.items():
        print(f"{name:24}" + " ".join(f"{row.get(column, 0.0):18.2f}" for column in columns))
    if args.json:
        args.json.write_text(json.dumps(counts, indent=1) + "\n")
    if args.write:
        COUNTS_FILE.write_text(json.dumps(counts, indent=1) + "\n")
        return 0
    reference = {
        name: row for name, row in json.loads(COUNTS_FILE.read_text()).items() if name in counts
    }
    regressed = regressions(counts, reference)
    for line in regressed:
        print(f"RISEN {line}")
    return 1 if regressed else 0


if __name__ == "__main__":
    sys.exit(main())
