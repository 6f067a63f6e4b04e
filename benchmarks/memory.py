"""What of a node grows over a long day with ever new keys, clients and servers.

Exits non-zero if a container keeps growing.

    python -m benchmarks.memory --seconds 240 --rate 150

The node runs on the virtual clock with the testbed's emulated systems. At each eighth of the day,
the entries of every container that is reachable from its `Service` are counted by attribute path.
The allocated blocks are those of the whole interpreter, including the emulated systems.
"""

from __future__ import annotations

import argparse
import gc
import sys
import types
from collections import Counter, deque
from collections.abc import Iterator
from typing import Any

from testbed.nights import simulation
from testbed.nights.script import Fault, Script, World

SAMPLE_COUNT = 8
MAX_GROWTH = 1.1  # factor, of a container over the second half of the day
MAX_EXTRA_ENTRIES = 64  # on top of it
SKIPPED_TYPES = (
    types.ModuleType,
    type,
    types.FunctionType,
    types.BuiltinFunctionType,
    types.CodeType,
    types.FrameType,
)


def container_sizes(root: object) -> Iterator[tuple[str, int]]:
    """Yield the path and the length of each container that is reachable from an object.

    Follows the items of containers and the attributes of objects of this project and of `random`.
    """
    seen: set[int] = set()
    queue: deque[tuple[str, object]] = deque([("", root)])
    while queue:
        path, value = queue.popleft()
        if id(value) in seen or isinstance(
            value, (*SKIPPED_TYPES, str, bytes, int, float, bool, type(None))
        ):
            continue
        seen.add(id(value))
        if isinstance(value, dict | list | set | deque | tuple | bytearray):
            yield path, len(value)
            if not isinstance(value, bytearray):
                items = value.values() if isinstance(value, dict) else value
                queue.extend((f"{path}[]", item) for item in list(items))
            continue
        if type(value).__module__.split(".")[0] not in ("corkshift", "forkweir", "random"):
            continue
        names = [name for cls in type(value).__mro__ for name in getattr(cls, "__slots__", ())]
        for name in [*names, *getattr(value, "__dict__", {})]:
            queue.append((f"{path}.{name}", getattr(value, name, None)))


def count_entries(root: object) -> Counter[str]:
    """Count the entries of all containers by path."""
    counts: Counter[str] = Counter()
    for path, size in container_sizes(root):
        counts[path] += size
    return counts


def build_script(seconds: float, rate: float, boxes: int) -> Script:
    """Build a day on which every key is new and servers are replaced one after another.

    There are also bad clients and reloads of the node.
    """
    world = World(seconds=seconds, nodes=1, boxes=boxes, requests_per_s=rate, keys=100_000, cores=4)
    faults = []
    for n in range(int(seconds / 4.0)):
        at = 1_000.0 + 4_000.0 * n
        faults.append(Fault(at_ms=at, kind="box_rename", target=n % boxes, for_ms=600.0))
        faults.append(Fault(at_ms=at + 1_500.0, kind="rude", value=float(n % 8)))
        if n % 10 == 0:
            faults.append(Fault(at_ms=at + 2_500.0, kind="node_hup"))
    return Script(world=world, fault=faults)


def main() -> int:
    """Print the largest containers and those that grew; return the exit code."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seconds", type=float, default=240.0)
    parser.add_argument("--rate", type=float, default=150.0, help="requests a second")
    parser.add_argument("--boxes", type=int, default=12)
    args = parser.parse_args()
    samples: list[tuple[float, int, Counter[str]]] = []
    original_init = simulation.World.__init__

    def sampling_init(self: Any, *rest: Any) -> None:
        original_init(self, *rest)
        for n in range(1, SAMPLE_COUNT + 1):
            self.loop.after_us(int(args.seconds * 1e6 * n / SAMPLE_COUNT), take_sample, self)

    def take_sample(world: Any) -> None:
        gc.collect()
        services = [service for process, service in world.rules.services.items() if process.running]
        samples.append(
            (world.loop.now_us / 1e6, sys.getallocatedblocks(), count_entries(services[0]))
        )

    simulation.World.__init__ = sampling_init  # type: ignore[method-assign, assignment]
    try:
        result = simulation.run(1, build_script(args.seconds, args.rate, args.boxes))
    finally:
        simulation.World.__init__ = original_init  # type: ignore[method-assign]
    print(
        f"{result.figures.asked} requests, {args.seconds / 4.0:.0f} servers replaced; "
        f"{len(result.failures)} rules broken"
    )
    print("time, s        " + " ".join(f"{at:8.0f}" for at, _, _ in samples))
    print("entries in all " + " ".join(f"{sum(counts.values()):8}" for _, _, counts in samples))
    middle, end = samples[SAMPLE_COUNT // 2 - 1][2], samples[-1][2]
    paths = sorted(end, key=lambda path: -(end[path]))[:12]
    for path in paths:
        print(f"{path[-60:]:60} " + " ".join(f"{counts[path]:7}" for _, _, counts in samples))
    growing = [path for path in end if end[path] > middle[path] * MAX_GROWTH + MAX_EXTRA_ENTRIES]
    for path in growing:
        print(f"GROWS {path}: {middle[path]} at half of the day, {end[path]} at its end")
    return 1 if growing or result.failures else 0


if __name__ == "__main__":
    sys.exit(main())
