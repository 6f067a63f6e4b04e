"""CPU of a node for each request, against another revision.

    python -m benchmarks.ordinary_path --against REV [--most R]

Two real processes, this tree's node and the other revision's, take the same open-loop load in turn:
menu-read requests on persistent connections, a twelfth of them PUT. With --fresh, half of the
clients open a connection for each request. The ratio of the CPU times, user and system, is taken
for each pair of runs. Boxes and discovery are the testbed's and respond in this process. Exits with
1 if the median ratio is above --most (1.05), and with 2 if a request failed, as the pairs are then
not comparable.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
from pathlib import Path
from typing import Any

from benchmarks.revision import ROOT, packages_of
from testbed.systems.emulators import DiscoveryServer, ServerObserver
from testbed.systems.scripted import ScriptedBox, ok_response

HOST = "127.0.0.1"
BOXES = 12
CLIENTS = 40
RATE = 8.0  # requests a second of each client
WARMUP_S, MEASURED_S = 1.5, 6.0
STARTUP_TIMEOUT_S = 20.0
PUT_EVERY = 12
RESPONSE = ok_response(bytes(600), b"Content-Type: application/json\r\n")
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


class MeasurementError(Exception):
    """A request was not answered with 200, or the node did not start."""


class Node:
    """The process of a node."""

    def __init__(self, tree: Path, folder: Path, discovery: DiscoveryServer) -> None:
        self.tree = tree
        self.config_path = folder / "config.json"
        self.discovery = discovery
        self.port = 0

    async def start(self) -> None:
        """Start the process and wait until it serves requests."""
        listener = await asyncio.start_server(lambda reader, writer: None, HOST, 0)
        self.port = listener.sockets[0].getsockname()[1]
        listener.close()
        await listener.wait_closed()
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.discovery.address[1]}",
            "seed": "1",
            "limits": {"memory_mb": 128, "sockets": 1024},
            "settings": SETTINGS,
        }
        self.config_path.write_text(json.dumps(config))
        environ = {
            **os.environ,
            "PROXY_CONFIG": str(self.config_path),
            "PYTHONPATH": str(self.tree),
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "corkshift",
            cwd=self.tree,
            env=environ,
            stderr=asyncio.subprocess.DEVNULL,
        )
        async with asyncio.timeout(STARTUP_TIMEOUT_S):
            n = 0
            while await self._try_request(n) != 200:
                n += 1
                await asyncio.sleep(0.05)

    async def _try_request(self, n: int) -> int:
        try:
            client = await Client.connect(self.port, f"first-{n}", False)
        except OSError:
            return 0
        try:
            return await client.send_request()
        except (OSError, asyncio.IncompleteReadError):
            return 0
        finally:
            client.close()

    def cpu_s(self) -> float:
        """Return the CPU time used so far, user and system."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return sum(map(int, fields[11:13])) / os.sysconf("SC_CLK_TCK")

    async def stop(self) -> None:
        """Kill the process and wait until it has exited."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


class Client:
    """A client that sends its requests one after another."""

    def __init__(self, port: int, name: str, reconnect: bool) -> None:
        self.port, self.name, self.reconnect = port, name, reconnect
        self.count = 0
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    @classmethod
    async def connect(cls, port: int, name: str, reconnect: bool) -> Client:
        """Return a client with an open connection."""
        client = cls(port, name, reconnect)
        await client.open_connection()
        return client

    async def open_connection(self) -> None:
        """Open a connection."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port)

    def close(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()

    async def send_request(self) -> int:
        """Send one request; return the status of its response."""
        self.count += 1
        put = self.count % PUT_EVERY == 0
        method, body = (b"PUT", b"x" * 200) if put else (b"GET", b"")
        key = (len(self.name) * 37 + self.count) % 500
        head = (
            b"%b /api/%d HTTP/1.1\r\nHost: service.internal\r\n"
            b"X-Txn: %b-%d\r\nX-Lane: menu-read\r\nX-Remaining-Ms: 2000\r\n"
        ) % (method, key, self.name.encode(), self.count)
        self.writer.write(
            head + (b"Content-Length: %d\r\n" % len(body) if put else b"") + b"\r\n" + body
        )
        response = await self.reader.readuntil(b"\r\n\r\n")
        await self.reader.readexactly(
            int(response.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        )
        return int(response.split(b" ", 2)[1])

    async def run(self, until: float, delay_s: float) -> int:
        """Send requests at a steady rate; return how many were served.

        Raises MeasurementError if one was not served.
        """
        loop = asyncio.get_running_loop()
        due, served = loop.time() + delay_s, 0
        while due < until:
            await asyncio.sleep(max(0.0, due - loop.time()))
            due += 1.0 / RATE
            if self.reconnect and self.count:
                self.close()
                await self.open_connection()
            if (status := await self.send_request()) != 200:
                raise MeasurementError(f"a request was answered {status}")
            served += 1
        return served


async def load(node: Node, phase: str, reconnect: bool, duration_s: float) -> int:
    """Run all clients for a while; return how many requests were served."""
    until = asyncio.get_running_loop().time() + duration_s
    clients = [
        await Client.connect(node.port, f"{phase}-{n}", reconnect and n % 2 == 0)
        for n in range(CLIENTS)
    ]
    try:
        return sum(
            await asyncio.gather(
                *(client.run(until, n / CLIENTS / RATE) for n, client in enumerate(clients))
            )
        )
    finally:
        for client in clients:
            client.close()


async def measure(tree: Path, reconnect: bool) -> float:
    """Return the CPU time per request, in microseconds, of the node in a source tree.

    Raises MeasurementError if a request failed or the node did not start.
    """
    boxes = {f"s{n}": ScriptedBox(lambda head: RESPONSE) for n in range(BOXES)}
    discovery = DiscoveryServer((HOST, 0), ServerObserver())
    for name, box in boxes.items():
        box.listen()
        discovery.entries[name] = DiscoveryServer.entry(name, box.address)
    discovery.listen()
    with tempfile.TemporaryDirectory() as folder:
        node = Node(tree, Path(folder), discovery)
        try:
            await node.start()
            await load(node, "warm", reconnect, WARMUP_S)
            cpu_before_s = node.cpu_s()
            served = await load(node, "timed", reconnect, MEASURED_S)
            return 1e6 * (node.cpu_s() - cpu_before_s) / served
        except TimeoutError:
            raise MeasurementError("the node does not serve") from None
        finally:
            await node.stop()
            discovery.close()
            for box in boxes.values():
                box.close()


def main() -> int:
    """Print the ratio; return the exit code."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument(
        "--against", default="HEAD", metavar="REV", help="a revision of this repository"
    )
    parser.add_argument(
        "--most", type=float, default=1.05, metavar="R", help="the median ratio may not be higher"
    )
    parser.add_argument(
        "--fresh",
        action="store_true",
        help="half of the clients open a connection for each request",
    )
    parser.add_argument("--quick", action="store_true", help="one pair in place of five")
    parser.add_argument("--json", type=Path, metavar="FILE")
    args = parser.parse_args()
    this_us: list[float] = []
    other_us: list[float] = []
    try:
        with packages_of(args.against, "corkshift", "forkweir") as other:
            for _ in range(1 if args.quick else 5):
                this_us.append(asyncio.run(measure(ROOT, args.fresh)))
                other_us.append(asyncio.run(measure(other, args.fresh)))
    except MeasurementError as error:
        print(f"no comparison: {error}", file=sys.stderr)
        return 2
    ratios = [current / previous for current, previous in zip(this_us, other_us, strict=True)]
    ratio = statistics.median(ratios)
    print(
        f"{statistics.median(this_us):.0f} us of CPU a request, "
        f"{statistics.median(other_us):.0f} at {args.against}: "
        f"{ratio:.3f} of it ({min(ratios):.3f} to {max(ratios):.3f}, {len(ratios)} pairs)"
    )
    if args.json:
        args.json.write_text(
            json.dumps(
                {"against": args.against, "ratios": ratios, "us": this_us, "us_there": other_us},
                indent=1,
            )
            + "\n"
        )
    return 0 if ratio <= args.most else 1


if __name__ == "__main__":
    sys.exit(main())
