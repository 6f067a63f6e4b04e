"""Nights of a large fleet: what fails at once there, as scripts for any number of nodes and boxes.

Each is drawn from a seed, so that no fault falls into step with another by its making. `ALL` names them.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from testbed.nights.script import Fault, Kind, Script, World

NODES, BOXES = 40, 60
UNHEALTHY: tuple[tuple[Kind, float], ...] = (("box_slow", 8.0), ("box_errors", 60.0))
FaultGenerator = Callable[[random.Random, int, int], list[Fault]]


def _calm(rng: random.Random, nodes: int, boxes: int) -> list[Fault]:
    return []


def _herd(rng: random.Random, nodes: int, boxes: int) -> list[Fault]:
    """Seven nodes of eight are killed within a second and start cold, with the list of the last moment."""
    killed = rng.sample(range(nodes), nodes * 7 // 8)
    return [
        Fault(at_ms=1_000.0 + rng.uniform(0.0, 1_000.0), kind="node_kill", target=n, for_ms=300.0)
        for n in killed
    ]


def _overbooked(rng: random.Random, nodes: int, boxes: int) -> list[Fault]:
    """Discovery answers late, sends what can't be read or breaks off in the middle of a line, and refuses; boxes go on being replaced."""
    faults = [
        Fault(at_ms=800.0, kind="discovery_late", for_ms=900.0),
        Fault(at_ms=2_900.0, kind="discovery_down", for_ms=1_200.0),
    ]
    faults += [
        Fault(at_ms=1_200.0 + 250.0 * n, kind="discovery_wrong", value=float(n)) for n in range(8)
    ]
    return faults + _replace_boxes(rng, boxes // 10, boxes)


def _replace_boxes(rng: random.Random, many: int, boxes: int) -> list[Fault]:
    return [
        Fault(at_ms=900.0 + rng.uniform(0.0, 3_000.0), kind="box_rename", target=n, for_ms=150.0)
        for n in rng.sample(range(boxes), many)
    ]


def _join(rng: random.Random, nodes: int, boxes: int) -> list[Fault]:
    """Six in ten boxes are replaced under new ids, and one in five of the new ones is slow or fails what it is asked."""
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
    """A third of the boxes is gone at once, and back cold and at once."""
    return [
        Fault(at_ms=1_000.0, kind="box_kill", target=n, for_ms=1_500.0)
        for n in rng.sample(range(boxes), boxes // 3)
    ]


def _half(rng: random.Random, nodes: int, boxes: int) -> list[Fault]:
    """Nearly half of the boxes fail what they are asked, hit or miss."""
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


def _all(rng: random.Random, nodes: int, boxes: int) -> list[Fault]:
    """Herd, join and an overbooked discovery in one night."""
    return [*_herd(rng, nodes, boxes), *_overbooked(rng, nodes, boxes), *_join(rng, nodes, boxes)]


SCENARIOS: dict[str, FaultGenerator] = {
    "calm": _calm, "herd": _herd, "overbooked": _overbooked, "join": _join, "zone": _zone, "half": _half, "together": _all,
}  # fmt: skip


def scenario_script(
    name: str,
    seed: int,
    nodes: int = NODES,
    boxes: int = BOXES,
    requests_per_s: float = 300.0,
    seconds: float = 5.0,
) -> Script:
    """The script of a night."""
    faults = SCENARIOS[name](random.Random(f"fleet/{name}/{seed}"), nodes, boxes)
    world = World(
        seconds=seconds, nodes=nodes, boxes=boxes, requests_per_s=requests_per_s, keys=2_000
    )
    return Script(world=world, fault=sorted(faults, key=lambda fault: fault.at_ms))
