"""Time to recover from each hard scenario.

    python -m benchmarks.recovery [--quick] [--case NAME] [--json FILE] [--jobs J]

Plays each hard case of cold fleets and full load on the virtual clock, at LOAD of what the boxes
can do, and measures how long it takes from the fault until the value of work served in time is back
to BACK of its calm level and stays so for STAY_MS; beside it the same of an all-knowing scheduler
(testbed/nights/oracle.py) on the same scenario. Exits with 1 where a rule is broken, or where the
node takes more than WITHIN times the oracle's time (which counts as LEAST_MS at the least: the
window in which it is measured).
"""

from __future__ import annotations

import argparse
import json
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Optional

from benchmarks.overload import WORK_MS
from testbed.nights.oracle import SLICE_MS, max_value
from testbed.nights.script import Fault, Kind, Script, World
from testbed.nights.simulation import run

LOAD = 0.8
BACK, WITHIN = 0.95, 1.3
WINDOW_MS, STAY_MS, LEAST_MS = 1_000.0, 1_000.0, 1_000.0
CALM_MS, FAULT_MS = 1_000.0, 3_000.0  # the calm level is measured between them
RATE = 1_000.0 / WORK_MS  # requests a second of one warm core


def _night(boxes: int, seconds: float, faults: list[Fault], nodes: int = 3) -> Script:
    rate = LOAD * RATE * boxes
    world = World(
        seconds=seconds,
        nodes=nodes,
        boxes=boxes,
        cores=1,
        requests_per_s=rate,
        keys=400,
        worths="site",
    )
    return Script(world=world, fault=sorted(faults, key=lambda fault: fault.at_ms))


def _each(
    kind: Kind, targets: range, for_ms: float = 1.0, gap_ms: float = 10.0, value: float = 0.0
) -> list[Fault]:
    return [
        Fault(at_ms=FAULT_MS + gap_ms * n, kind=kind, target=n, for_ms=for_ms, value=value)
        for n in targets
    ]


def _cases() -> dict[str, Script]:
    cold = _each("box_quick_restart", range(6))
    one = Fault(at_ms=FAULT_MS, kind="flush", value=1.0)
    return {
        "2 boxes cold": _night(2, 30.0, _each("box_quick_restart", range(2))),
        "3 boxes cold": _night(3, 30.0, _each("box_quick_restart", range(3))),
        "6 boxes cold": _night(6, 30.0, cold),
        "17 boxes cold": _night(17, 30.0, _each("box_quick_restart", range(17))),
        "1 box left of 6": _night(6, 30.0, _each("box_quick_restart", range(5))),
        "6 cold, a node paused": _night(
            6, 30.0, [*cold, Fault(at_ms=4_000, kind="node_pause", target=0, for_ms=1_500)]
        ),
        "6 cold, reload in the ramp": _night(
            6, 30.0, [*cold, Fault(at_ms=5_000, kind="node_hup", target=0)]
        ),
        "cold and slow": _night(
            6, 30.0, [cold[0], Fault(at_ms=3_100, kind="box_slow", target=0, for_ms=4_000, value=5)]
        ),
        "lies about its start": _night(6, 30.0, _each("box_lie", range(1))),
        "order book at a tenth, 20 s": _night(
            6, 30.0, [Fault(at_ms=FAULT_MS, kind="book_slow", for_ms=20_000, value=10)]
        ),
        "flush at the peak": _night(6, 12.0, [one]),
        "load times 4 for 3 s": _night(
            6, 12.0, [Fault(at_ms=FAULT_MS, kind="load_step", for_ms=3_000, value=5)]
        ),
        "3 nodes of 10 restart": _night(6, 12.0, _each("node_kill", range(3), 600.0), 10),
    }


CASES = _cases()
QUICK = ("2 boxes cold", "flush at the peak", "load times 4 for 3 s", "3 nodes of 10 restart")


@dataclass(frozen=True, slots=True)
class Row:
    """What came of one case.

    Times are in ms from the fault; None where it was not back by the end.
    """

    case: str
    calm: float  # part of the value requested that was served before the fault
    after: float  # and from the fault on,
    best_after: float  # and what could have been
    node_ms: Optional[float]
    oracle_ms: Optional[float]
    broken: tuple[str, ...]

    @property
    def met(self) -> bool:
        if self.broken or self.oracle_ms is None:
            return not self.broken
        return self.node_ms is not None and self.node_ms <= WITHIN * max(LEAST_MS, self.oracle_ms)


def back_after(asked: list[float], served: list[float], calm: float) -> Optional[float]:
    """Time in ms from the fault until what is served is back at its level and stays so.

    It is counted in windows, by the slice in which it was requested.
    """
    width, stay = int(WINDOW_MS / SLICE_MS), int(STAY_MS / SLICE_MS)
    first = int(FAULT_MS / SLICE_MS)

    def good(at: int) -> bool:
        want = sum(asked[at : at + width])
        return want <= 0.0 or sum(served[at : at + width]) >= BACK * calm * want

    last = len(asked) - width
    for at in range(first, last):
        if all(good(n) for n in range(at, min(at + stay, last))):
            return (at - first) * SLICE_MS
    return None


def measure(case: str, seed: int) -> Row:
    """Play one case."""
    result = run(seed, CASES[case])
    best = max_value(result.demands, result.supply).by_slice
    slices = int(result.script.world.seconds * 1_000.0 / SLICE_MS) + 2
    best = (best + [0.0] * slices)[:slices]
    asked, served = [0.0] * slices, [0.0] * slices
    for n, demand in enumerate(result.demands):
        at = min(slices - 1, int(demand.at_ms / SLICE_MS))
        asked[at] += demand.value
        served[at] += demand.value * (n in result.served_in_time)
    calm, fault = int(CALM_MS / SLICE_MS), int(FAULT_MS / SLICE_MS)
    level = sum(served[calm:fault]) / max(1e-9, sum(asked[calm:fault]))
    whole = max(1e-9, sum(asked[fault:]))
    return Row(
        case,
        level,
        sum(served[fault:]) / whole,
        sum(best[fault:]) / whole,
        back_after(asked, served, level),
        back_after(asked, best, level),
        tuple(map(str, result.failures)),
    )


def main() -> int:
    """Print the table; the exit code."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="the short cases alone")
    parser.add_argument("--case", choices=sorted(CASES), help="one case alone")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, metavar="FILE")
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1, metavar="J")
    args = parser.parse_args()
    names = [args.case] if args.case else list(QUICK if args.quick else CASES)
    with ProcessPoolExecutor(args.jobs) as pool:
        longest_first = sorted(
            names, key=lambda name: -CASES[name].world.requests_per_s * CASES[name].world.seconds
        )
        futures = {name: pool.submit(measure, name, args.seed) for name in longest_first}
        rows = [futures[name].result() for name in names]
    print(f"{'case':30} {'calm':>5} {'after':>6} {'bound':>6} {'back, s':>8} {'bound, s':>8}")
    for row in rows:
        times = [
            "never" if ms is None else f"{ms / 1_000.0:.1f}" for ms in (row.node_ms, row.oracle_ms)
        ]
        verdict = "" if row.met else "  MISSED"
        print(
            f"{row.case:30} {row.calm:5.2f} {row.after:6.2f} {row.best_after:6.2f} {times[0]:>8} {times[1]:>8}{verdict}"
        )
        for failure in row.broken:
            print(f"    BROKEN {failure}")
    missed = sum(not row.met for row in rows)
    print(
        f"{len(rows) - missed} of {len(rows)} cases are back within {WITHIN} times the bound's time"
    )
    if args.json:
        args.json.write_text(json.dumps([asdict(row) for row in rows], indent=1) + "\n")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
