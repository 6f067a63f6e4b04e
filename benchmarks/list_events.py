"""What one event of the server list costs a node, by the number of servers and by revision.

    python -m benchmarks.list_events [--sizes 200,800,3200] [--against REV] [--json FILE]

For each size one process of either revision, at a whole core, with discovery here and no cache
server to answer. Printed for each event: the node's processor time until it is idle again (ms, from
the kernel's accounting, less what it needs while idle), and in brackets the longest that one of the
requests waited which came meanwhile (ms): as long as the node was held up. No cache server answers,
so that each is refused after its attempts' dials, which are refused at once. Exits with 1 where an
aim is missed.
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

from benchmarks.list_freshness import Nobody
from benchmarks.revision import ROOT, packages_of
from corkshift.seam import now_ms
from testbed.soak.discovery import DiscoveryEndpoint, Entry, ServerList, in_service_entry
from testbed.systems.clients import CLASSES, settings
from testbed.systems.http import fetch_body, open_connection
from testbed.tier.processes import HOST, Ports, die_with_parent

PROBE_S = 0.04
REST_S = 0.4  # with no more processor time than while idle: the event is over
# An idle node uses at most this many times its usual processor time, and OVER_REST_MS_PER_S more.
OVER_REST = 1.5
OVER_REST_MS_PER_S = 30.0
MOST_S = 8.0
LONGEST_MS = 10.0  # that a request may wait, over what it waits at an idle node
ONE_MORE_MS = 2.0  # that one change may cost over what it costs at the smallest size
Found = dict[str, tuple[float, float]]  # by event: processor time, longest wait, both in ms


class Written(Nobody):
    """Is notified when a line has been written whole to the node."""

    def __init__(self) -> None:
        self.now = asyncio.Event()

    def notified(self, node: str, entries: Iterable[Entry]) -> None:
        self.now.set()


class Probe:
    """Requests that come every few ms, and how long the slowest waited."""

    def __init__(self, port: int) -> None:
        self.longest_ms = 0.0
        self._port = port
        self._number = 0

    async def run(self) -> None:
        """Go on until cancelled."""
        while True:
            await asyncio.sleep(PROBE_S)
            self._number += 1
            began = now_ms()
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
            self.longest_ms = max(self.longest_ms, now_ms() - began)


def _cpu_ms(pid: int) -> float:
    """Processor time of a process's first thread, by the scheduler (proc(5), schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e6


async def _rest(pid: int, rest_ms_per_s: float) -> float:
    """Wait until the node is idle; return its processor time up to when it last was not."""
    most_ms = 0.1 * (OVER_REST * rest_ms_per_s + OVER_REST_MS_PER_S)
    before, quiet_s, over = _cpu_ms(pid), 0.0, _cpu_ms(pid)
    began = now_ms()
    while quiet_s < REST_S and now_ms() - began < 1000.0 * MOST_S:
        await asyncio.sleep(0.1)
        after = _cpu_ms(pid)
        quiet_s = quiet_s + 0.1 if after - before < most_ms else 0.0
        over = after if quiet_s == 0.0 else over
        before = after
    return over


async def measure(root: Path, count: int, folder: Path, ports: Ports) -> Found:
    """What each event costs beside so many servers."""
    servers = ServerList()
    entries: list[Entry] = [
        in_service_entry(f"s{n}", (f"127.40.{n >> 8}.{n & 255}", 9), cold=False)
        for n in range(count)
    ]
    written = Written()
    place = DiscoveryEndpoint("n0", servers, written)
    place.listen()
    place.down = True
    listen = ports.take()
    path = folder / f"{listen}.json"
    config: dict[str, Any] = {
        "listen": f"{HOST}:{listen}",
        "discovery": f"{HOST}:{place.address[1]}",
        "seed": "1",
    }
    config |= {
        "settings": settings(CLASSES, 10_000.0),
        "limits": {"memory_mb": 128, "sockets": 512},
    }
    path.write_text(json.dumps(config))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "corkshift", cwd=root, env={**os.environ, "PROXY_CONFIG": str(path)},
        stdin=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.DEVNULL, preexec_fn=die_with_parent,
    )  # fmt: skip
    probe = Probe(listen)
    probing: Optional[asyncio.Task[None]] = None
    found: Found = {}
    try:
        while await fetch_body((HOST, listen), "/up") is None:
            await asyncio.sleep(0.05)
        probing = asyncio.create_task(probe.run())
        await asyncio.sleep(1.0)
        began, before = now_ms(), _cpu_ms(process.pid)
        probe.longest_ms = 0.0
        await asyncio.sleep(1.0)
        rest_ms = (_cpu_ms(process.pid) - before) / (now_ms() - began)
        found["at rest, 1 s"] = round(1000.0 * rest_ms, 1), round(probe.longest_ms, 1)

        async def event(name: str, change: list[Entry], whole: bool = False) -> None:
            before, began = _cpu_ms(process.pid), now_ms()
            probe.longest_ms = 0.0
            written.now.clear()
            if whole:
                place.reset()
                servers.versions.clear()
                servers.versions.extend(versions)
            else:
                servers.change(change)
                place.down = False
                await servers.notify_watches()
            await asyncio.wait_for(written.now.wait(), MOST_S)
            over = await _rest(process.pid, 1000.0 * rest_ms)
            spent = over - before - rest_ms * max(0.0, now_ms() - began - 1000.0 * REST_S)
            found[name] = round(spent, 1), round(probe.longest_ms, 1)

        await event("first list", entries)
        await asyncio.sleep(4.0)
        versions: list[
            Any
        ] = []  # discovery begins to count anew: a call for changes gets the whole list
        await event("whole list again", [], whole=True)
        await asyncio.sleep(4.0)
        await event("one server drains", [{**entries[7], "lifecycle": "terminating"}])
        await asyncio.sleep(4.0)
        await event(
            "a tenth drains",
            [{**entry, "lifecycle": "terminating"} for entry in entries[20 : 20 + count // 10]],
        )
        return found
    finally:
        if probing is not None:
            probing.cancel()
        process.kill()
        await process.wait()
        place.close()


async def _all(roots: dict[str, Path], sizes: list[int]) -> dict[str, dict[int, Found]]:
    ports = Ports()
    results: dict[str, dict[int, Found]] = {name: {} for name in roots}
    with tempfile.TemporaryDirectory(prefix="gradeshift-events-") as folder:
        for size in sizes:
            for name, root in roots.items():
                results[name][size] = await measure(root, size, Path(folder), ports)
    ports.close()
    return results


def missed(results: dict[int, Found]) -> list[str]:
    """The aims that are missed at the largest size."""
    least, most = min(results), max(results)
    found = results[most]
    longest = LONGEST_MS + found["at rest, 1 s"][1]
    lines = [
        f"{name}: a request waited {wait} ms" for name, (_, wait) in found.items() if wait > longest
    ]
    more = found["one server drains"][1] - results[least]["one server drains"][1]
    if more > ONE_MORE_MS + LONGEST_MS:
        lines.append(
            f"one server drains: a request waited {more:.1f} ms longer than beside {least}"
        )
    return lines


def main() -> int:
    """Print the table; the exit code."""
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
        results = asyncio.run(_all(roots, sizes))
    for name, by_size in results.items():
        print(name)
        for event in next(iter(by_size.values())):
            cells = "".join(
                f"{by_size[size][event][0]:10.1f} ({by_size[size][event][1]:.1f})" for size in sizes
            )
            print(f"  {event:20}{cells}")
    lines = missed(results["this"])
    for line in lines:
        print(f"MISSED {line}")
    if options.json is not None:
        options.json.write_text(json.dumps(results, indent=1))
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main())
