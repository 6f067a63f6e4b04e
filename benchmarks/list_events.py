"""What one event of the server list costs a node, by the number of servers and by revision.

    python -m benchmarks.list_events [--sizes 200,800,3200] [--against REV] [--json FILE]

For each size, one process of each revision runs on a whole core, with discovery in this process.
Prints for each event the node's CPU time until it is idle again (ms, from the kernel's accounting,
minus its CPU time while idle), and in parentheses the longest wait of a request sent meanwhile
(ms), which is how long the event blocked the node. No cache server listens, so that each request is
refused after the dials of its attempts, which fail immediately. Exits with 1 if an aim is missed.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
from collections.abc import Iterable
from contextlib import nullcontext, suppress
from pathlib import Path
from typing import Any, Optional

from benchmarks.list_freshness import NullObserver
from benchmarks.revision import ROOT, packages_of
from corkshift.seam import now_ms
from testbed.soak.discovery import DiscoveryEndpoint, Entry, ServerList, in_service_entry
from testbed.systems.clients import CLASSES, settings
from testbed.systems.http import fetch_body, open_connection
from testbed.tier.processes import HOST, Ports, die_with_parent

PROBE_INTERVAL_S = 0.04
IDLE_S = 0.4  # an event is over after this long with no more CPU time than while idle
# An idle node uses at most IDLE_CPU_FACTOR times its typical CPU time, plus the margin.
IDLE_CPU_FACTOR = 1.5
IDLE_CPU_MARGIN_MS_PER_S = 30.0
EVENT_TIMEOUT_S = 8.0
MAX_ADDED_WAIT_MS = 10.0  # of a request, compared with an idle node
# On top of MAX_ADDED_WAIT_MS: how much longer than at the smallest size a request may wait while
# one server drains.
MAX_WAIT_GROWTH_MS = 2.0
EventCosts = dict[str, tuple[float, float]]  # by event: CPU time and longest wait, both in ms


class WriteObserver(NullObserver):
    """Is notified when a line has been completely written to the node."""

    def __init__(self) -> None:
        self.written = asyncio.Event()

    def notified(self, node: str, entries: Iterable[Entry]) -> None:
        self.written.set()


class Probe:
    """Sends a request every PROBE_INTERVAL_S and records the longest wait."""

    def __init__(self, port: int) -> None:
        self.max_wait_ms = 0.0
        self._port = port
        self._number = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            self._number += 1
            started_ms = now_ms()
            with suppress(OSError):
                connection = await open_connection((HOST, self._port), 5.0)
                with suppress(Exception):
                    headers = {
                        "X-Txn": f"p{self._number}",
                        "X-Lane": "menu-read",
                        "X-Remaining-Ms": "2000",
                    }
                    await connection.send_request("GET", f"/api/k{self._number}", headers)
                    await connection.read_message()
                connection.stream.abort()
            self.max_wait_ms = max(self.max_wait_ms, now_ms() - started_ms)


def _cpu_ms(pid: int) -> float:
    """Return the CPU time of a process's main thread, from the scheduler (proc(5), schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e6


async def _wait_until_idle(pid: int, idle_ms_per_s: float) -> float:
    """Wait until the node is idle; return its CPU time up to when it became idle."""
    max_idle_ms = 0.1 * (IDLE_CPU_FACTOR * idle_ms_per_s + IDLE_CPU_MARGIN_MS_PER_S)
    before_ms, idle_s, finished_ms = _cpu_ms(pid), 0.0, _cpu_ms(pid)
    started_ms = now_ms()
    while idle_s < IDLE_S and now_ms() - started_ms < 1000.0 * EVENT_TIMEOUT_S:
        await asyncio.sleep(0.1)
        after_ms = _cpu_ms(pid)
        idle_s = idle_s + 0.1 if after_ms - before_ms < max_idle_ms else 0.0
        finished_ms = after_ms if idle_s == 0.0 else finished_ms
        before_ms = after_ms
    return finished_ms


async def measure(root: Path, count: int, folder: Path, ports: Ports) -> EventCosts:
    """Measure the cost of each event with this many servers."""
    servers = ServerList()
    entries: list[Entry] = [
        in_service_entry(f"s{n}", (f"127.40.{n >> 8}.{n & 255}", 9), cold=False)
        for n in range(count)
    ]
    observer = WriteObserver()
    endpoint = DiscoveryEndpoint("n0", servers, observer)
    endpoint.listen()
    endpoint.down = True
    port = ports.take()
    config_path = folder / f"{port}.json"
    config: dict[str, Any] = {
        "listen": f"{HOST}:{port}",
        "discovery": f"{HOST}:{endpoint.address[1]}",
        "seed": "1",
    }
    config |= {
        "settings": settings(CLASSES, 10_000.0),
        "limits": {"memory_mb": 128, "sockets": 512},
    }
    config_path.write_text(json.dumps(config))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "corkshift",
        cwd=root,
        env={**os.environ, "PROXY_CONFIG": str(config_path)},
        stdin=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
        preexec_fn=die_with_parent,
    )
    probe = Probe(port)
    probe_task: Optional[asyncio.Task[None]] = None
    costs: EventCosts = {}
    try:
        while await fetch_body((HOST, port), "/up") is None:
            await asyncio.sleep(0.05)
        probe_task = asyncio.create_task(probe.run())
        await asyncio.sleep(1.0)
        started_ms, cpu_before_ms = now_ms(), _cpu_ms(process.pid)
        probe.max_wait_ms = 0.0
        await asyncio.sleep(1.0)
        idle_cpu_share = (_cpu_ms(process.pid) - cpu_before_ms) / (now_ms() - started_ms)
        costs["at rest, 1 s"] = round(1000.0 * idle_cpu_share, 1), round(probe.max_wait_ms, 1)

        async def measure_event(name: str, change: list[Entry], full_list: bool = False) -> None:
            cpu_before_ms, started_ms = _cpu_ms(process.pid), now_ms()
            probe.max_wait_ms = 0.0
            observer.written.clear()
            if full_list:
                endpoint.reset()
                servers.versions.clear()
                servers.versions.extend(versions)
            else:
                servers.change(change)
                endpoint.down = False
                await servers.notify_watches()
            await asyncio.wait_for(observer.written.wait(), EVENT_TIMEOUT_S)
            finished_ms = await _wait_until_idle(process.pid, 1000.0 * idle_cpu_share)
            spent_ms = (
                finished_ms
                - cpu_before_ms
                - idle_cpu_share * max(0.0, now_ms() - started_ms - 1000.0 * IDLE_S)
            )
            costs[name] = round(spent_ms, 1), round(probe.max_wait_ms, 1)

        await measure_event("first list", entries)
        await asyncio.sleep(4.0)
        # Discovery restarts its version numbers, so that a call for changes gets the whole list.
        versions: list[Any] = []
        await measure_event("whole list again", [], full_list=True)
        await asyncio.sleep(4.0)
        await measure_event("one server drains", [{**entries[7], "lifecycle": "terminating"}])
        await asyncio.sleep(4.0)
        await measure_event(
            "a tenth drains",
            [{**entry, "lifecycle": "terminating"} for entry in entries[20 : 20 + count // 10]],
        )
        return costs
    finally:
        if probe_task is not None:
            probe_task.cancel()
        process.kill()
        await process.wait()
        endpoint.close()


async def _measure_all(
    roots: dict[str, Path], sizes: list[int]
) -> dict[str, dict[int, EventCosts]]:
    ports = Ports()
    results: dict[str, dict[int, EventCosts]] = {name: {} for name in roots}
    with tempfile.TemporaryDirectory(prefix="gradeshift-events-") as folder:
        for size in sizes:
            for name, root in roots.items():
                results[name][size] = await measure(root, size, Path(folder), ports)
    ports.close()
    return results


def missed_aims(results: dict[int, EventCosts]) -> list[str]:
    """List the aims that are missed at the largest size."""
    smallest, largest = min(results), max(results)
    costs = results[largest]
    max_wait_ms = MAX_ADDED_WAIT_MS + costs["at rest, 1 s"][1]
    lines = [
        f"{name}: a request waited {wait_ms} ms"
        for name, (_, wait_ms) in costs.items()
        if wait_ms > max_wait_ms
    ]
    growth_ms = costs["one server drains"][1] - results[smallest]["one server drains"][1]
    if growth_ms > MAX_WAIT_GROWTH_MS + MAX_ADDED_WAIT_MS:
        lines.append(
            f"one server drains: a request waited {growth_ms:.1f} ms longer than beside {smallest}"
        )
    return lines


def main() -> int:
    """Print the table; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--sizes", default="200,800,3200")
    parser.add_argument("--against", metavar="REV")
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    sizes = [int(size) for size in options.sizes.split(",")]
    with (
        packages_of(options.against, "corkshift", "forkweir")
        if options.against
        else nullcontext() as other
    ):
        roots = {"this": ROOT} | ({options.against: other} if other is not None else {})
        results = asyncio.run(_measure_all(roots, sizes))
    for name, by_size in results.items():
        print(name)
        for event in next(iter(by_size.values())):
            cells = "".join(
                f"{by_size[size][event][0]:10.1f} ({by_size[size][event][1]:.1f})" for size in sizes
            )
            print(f"  {event:20}{cells}")
    lines = missed_aims(results["this"])
    for line in lines:
        print(f"MISSED {line}")
    if options.json is not None:
        options.json.write_text(json.dumps(results, indent=1))
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main())
