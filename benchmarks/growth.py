"""What a node needs beside ever more cache servers, at the same traffic, on real processes.

    python -m benchmarks.growth [--sizes 200,800,3200] [--seconds 20] [--json FILE]

Starts one process per size, each with its own servers, discovery and clients on loopback. Discovery
sends one change per second. Exits with 1 if a metric is beyond its limit from STANDING.md, which is
computed from the smallest size.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import sys
import tempfile
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from benchmarks.list_freshness import NullObserver
from corkshift.seam import now_ms
from testbed.soak.discovery import DiscoveryEndpoint, ServerList, in_service_entry
from testbed.systems.clients import CLASSES, ClientObserver, Clients, settings
from testbed.systems.http import Connection
from testbed.systems.scripted import ScriptedBox
from testbed.tier.processes import HOST, Ports, die_with_parent

ROOT = Path(__file__).parents[1]
RATE = 40.0  # requests per second
KEYS = 2_000
WARMUP_S = 3.0  # before counting starts


@dataclass(frozen=True, slots=True)
class Usage:
    """What a node used over the counted time; the fields are keys of the JSON output."""

    servers: int
    cpu_s: float
    peak_mb: float
    descriptors: int
    connections: int
    list_kb: float
    served: float

    def limits(self, extra_servers: int) -> dict[str, float]:
        """Return the limits with this many more servers: a minimum of `served`, else maximums."""
        extra_thousands = extra_servers / 1_000.0
        return {
            "cpu_s": 1.4 * self.cpu_s + 0.02 + 0.12 * extra_thousands,
            "peak_mb": 1.5 * self.peak_mb + 8.0 + 4.0 * extra_thousands,
            "descriptors": 2.0 * self.descriptors + 40.0,
            "connections": 2.5 * self.connections + 40.0,
            "list_kb": 2.0 * self.list_kb + 64.0 + 500.0 * extra_thousands,
            "served": 0.85 * self.served,
        }


class CountingEndpoint(DiscoveryEndpoint):
    """Discovery endpoint that counts the bytes of its lists."""

    written_bytes = 0

    async def _write_chunk(self, connection: Connection, data: bytes) -> bool:
        self.written_bytes += len(data)
        return await super()._write_chunk(connection, data)


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _peak_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024.0


async def measure(count: int, seconds: float, folder: Path, ports: Ports) -> Usage:
    """Measure what one node uses with this many servers."""
    boxes = [ScriptedBox(address=(f"127.30.{n >> 8}.{n & 255}", 0)) for n in range(count)]
    for box in boxes:
        box.listen()
    servers = ServerList()
    servers.change(
        [in_service_entry(f"s{n}", box.address, cold=False) for n, box in enumerate(boxes)]
    )
    endpoint = CountingEndpoint("n0", servers, NullObserver())
    endpoint.listen()
    port = ports.take()
    config_path = folder / f"{port}.json"
    config: dict[str, Any] = {
        "listen": f"{HOST}:{port}",
        "discovery": f"{HOST}:{endpoint.address[1]}",
        "seed": "1",
    }
    config |= {
        "settings": settings(CLASSES, 10_000.0),
        "limits": {"memory_mb": 128, "sockets": 1_024},
    }
    config_path.write_text(json.dumps(config))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "corkshift",
        cwd=ROOT,
        env={**os.environ, "PROXY_CONFIG": str(config_path)},
        stdin=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
        preexec_fn=die_with_parent,
    )
    change_task = asyncio.create_task(_change_servers(servers))
    clients = Clients({"n0": (HOST, port)}, ClientObserver(), 1, KEYS, RATE)
    try:
        while not endpoint.written_bytes:
            await asyncio.sleep(0.05)
        await clients.run(WARMUP_S)
        cpu_before_s, accepted_before = _cpu_s(process.pid), sum(box.accepted for box in boxes)
        requests_before, served_before = clients.totals.asked, clients.totals.served
        await clients.run(seconds)
        return Usage(
            servers=count,
            cpu_s=round(_cpu_s(process.pid) - cpu_before_s, 2),
            peak_mb=round(_peak_mb(process.pid), 1),
            descriptors=len(list(Path(f"/proc/{process.pid}/fd").iterdir())),
            connections=sum(box.accepted for box in boxes) - accepted_before,
            list_kb=round(endpoint.written_bytes / 1024.0, 1),
            served=round(
                (clients.totals.served - served_before)
                / max(1, clients.totals.asked - requests_before),
                4,
            ),
        )
    finally:
        change_task.cancel()
        clients.close()
        process.kill()
        await process.wait()
        for server in (*boxes, endpoint):
            server.close()


async def _change_servers(servers: ServerList) -> None:
    """Each second, drain a server or return it to service."""
    rng = random.Random(1)
    names = list(servers.entries)
    while True:
        await asyncio.sleep(1.0)
        entry = servers.entries[rng.choice(names)]
        lifecycle = "in_service" if entry["lifecycle"] == "terminating" else "terminating"
        servers.change(
            [
                {
                    **entry,
                    "lifecycle": lifecycle,
                    "startedAtMs": now_ms() if lifecycle == "in_service" else 0,
                }
            ]
        )
        await servers.notify_watches()


async def _measure_all(sizes: list[int], seconds: float) -> list[Usage]:
    ports = Ports()
    with tempfile.TemporaryDirectory(prefix="gradeshift-growth-") as folder:
        results = [await measure(size, seconds, Path(folder), ports) for size in sizes]
    ports.close()
    return results


def main() -> int:
    """Print the table; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--sizes", default="200,800,3200")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    results = asyncio.run(
        _measure_all([int(size) for size in options.sizes.split(",")], options.seconds)
    )
    exceeded_count = 0
    for usage in results:
        limits = results[0].limits(usage.servers - results[0].servers)
        cells = []
        for name, limit in limits.items():
            value = float(getattr(usage, name))
            exceeded = value < limit if name == "served" else value > limit
            exceeded_count += exceeded
            cells.append(f"{name} {value:g}{' OVER' if exceeded else ''} ({limit:.4g})")
        print(f"{usage.servers} servers: " + ", ".join(cells))
    if options.json is not None:
        options.json.write_text(json.dumps([asdict(usage) for usage in results], indent=1))
    return 1 if exceeded_count else 0


if __name__ == "__main__":
    sys.exit(main())
