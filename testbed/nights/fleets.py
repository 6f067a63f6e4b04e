"""Scenarios of a large fleet in which many components fail at once.

Each is a script for any number of nodes and boxes, drawn from a seed so that faults do not fall
into step by construction. `SCENARIOS` names them.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from testbed.nights.script import Fault, Kind, Script, World

# Default size of a fleet.
NODES, BOXES = 40, 60
# Faults of unhealthy boxes, with their values.
UNHEALTHY: tuple[tuple[Kind, float], ...] = (("box_slow", 8.0), ("box_errors", 60.0))
FaultGenerator = Callable[[random.Random, int, int], list[Fault]]


def _calm(rng: random.Random, nodes: int, boxes: int) -> list[Fault]:
    """No fault at all."""
    return []


def _herd(rng: random.Random, nodes: int, boxes: int) -> list[Fault]:
    """Seven of eight nodes are killed within a second and restart cold with the present list."""
    killed = rng.sample(range(nodes), nodes * 7 // 8)
    return [
        Fault(at_ms=1_000.0 + rng.uniform(0.0, 1_000.0), kind="node_kill", target=n, for_ms=300.0)
        for n in killed
    ]


def _overbooked(rng: random.Random, nodes: int, boxes: int) -> list[Fault]:
    """Discovery is slow, sends malformed lines, and is down, while boxes are replaced."""
    faults = [
        Fault(at_ms=800.0, kind="discovery_late", for_ms=900.0),
        Fault(at_ms=2_900.0, kind="discovery_down", for_ms=1_200.0),
    ]
    faults += [
        Fault(at_ms=1_200.0 + 250.0 * n, kind="discovery_wrong", value=float(n)) for n in range(8)
    ]
    return faults + _replace_boxes(rng, boxes // 10, boxes)


def _replace_boxes(rng: random.Random, count: int, boxes: int) -> list[Fault]:
    """Restart a number of boxes under new ids."""
    return [
        Fault(at_ms=900.0 + rng.uniform(0.0, 3_000.0), kind="box_rename", target=n, for_ms=150.0)
        for n in rng.sample(range(boxes), count)
    ]


def _join(rng: random.Random, nodes: int, boxes: int) -> list[Fault]:
    """Six in ten boxes are replaced under new ids; one in five of the new ones is slow or fails."""
    faults = _replace_boxes(rng, boxes * 6 // 10, boxes)
    for fault in list(faults):
        if rng.random() < 0.2:
            kind, value = rng.choice(UNHEALTHY)
            faults.append(
                Fault(
                    at_ms=fault.at_ms + 500.0,
                    kind=kind,
                    target=fault.target,
                    for_ms=2_500.0,
                    value=value,
                )
            )
    return faults


def _zone(rng: random.Random, nodes: int, boxes: int) -> list[Fault]:
    """A third of the boxes dies at once, and comes back cold at once."""
    return [
        Fault(at_ms=1_000.0, kind="box_kill", target=n, for_ms=1_500.0)
        for n in rng.sample(range(boxes), boxes // 3)
    ]


def _half(rng: random.Random, nodes: int, boxes: int) -> list[Fault]:
    """Nearly half of the boxes answer requests with errors, hit or miss."""
    bad = rng.sample(range(boxes), boxes * 9 // 20)
    return [
        Fault(
            at_ms=1_000.0 + rng.uniform(0.0, 300.0),
            kind="box_errors",
            target=n,
            for_ms=2_500.0,
            value=400.0,
        )
        for n in bad
    ]


def _together(rng: random.Random, nodes: int, boxes: int) -> list[Fault]:
    """Herd, join and an overbooked discovery in one scenario."""
    return [*_herd(rng, nodes, boxes), *_overbooked(rng, nodes, boxes), *_join(rng, nodes, boxes)]


# Generators of the faults by name of the scenario.
SCENARIOS: dict[str, FaultGenerator] = {
    "calm": _calm,
    "herd": _herd,
    "overbooked": _overbooked,
    "join": _join,
    "zone": _zone,
    "half": _half,
    "together": _together,
}


def scenario_script(
    name: str,
    seed: int,
    nodes: int = NODES,
    boxes: int = BOXES,
    requests_per_s: float = 300.0,
    seconds: float = 5.0,
) -> Script:
    """Return the script of a named scenario."""
    faults = SCENARIOS[name](random.Random(f"fleet/{name}/{seed}"), nodes, boxes)
    world = World(
        seconds=seconds, nodes=nodes, boxes=boxes, requests_per_s=requests_per_s, keys=2_000
    )
    return Script(world=world, fault=sorted(faults, key=lambda fault: fault.at_ms))
