"""Time to recover from each hard scenario.

    python -m benchmarks.recovery [--quick] [--case NAME] [--json FILE] [--jobs J]

Runs each hard case of cold fleets and full load on the virtual clock, at LOAD_FACTOR of the boxes'
capacity. Measures the time from the fault until the value served in time is back at RECOVERED_RATIO
of its level before the fault and stays there for SUSTAINED_MS, for the node and for an all-knowing
scheduler (testbed/nights/oracle.py) in the same scenario. Exits with 1 if a rule is violated, or if
the node takes more than MAX_TIME_RATIO times as long as the scheduler. The scheduler's time counts
as at least MIN_BOUND_MS, the length of the window in which it is measured.
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

from benchmarks.overload import MEAN_COST_MS
from testbed.nights.oracle import SLICE_MS, max_value
from testbed.nights.script import Fault, Kind, Script, World
from testbed.nights.simulation import run

LOAD_FACTOR = 0.8
RECOVERED_RATIO, MAX_TIME_RATIO = 0.95, 1.3
WINDOW_MS, SUSTAINED_MS, MIN_BOUND_MS = 1_000.0, 1_000.0, 1_000.0
BASELINE_FROM_MS, FAULT_AT_MS = 1_000.0, 3_000.0  # the baseline is measured between them
RATE = 1_000.0 / MEAN_COST_MS  # requests per second that one warm core serves


def _scenario(boxes: int, seconds: float, faults: list[Fault], nodes: int = 3) -> Script:
    rate = LOAD_FACTOR * RATE * boxes
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


def _staggered_faults(
    kind: Kind, targets: range, for_ms: float = 1.0, gap_ms: float = 10.0, value: float = 0.0
) -> list[Fault]:
    return [
        Fault(at_ms=FAULT_AT_MS + gap_ms * n, kind=kind, target=n, for_ms=for_ms, value=value)
        for n in targets
    ]


def _cases() -> dict[str, Script]:
    all_cold = _staggered_faults("box_quick_restart", range(6))
    flush_fault = Fault(at_ms=FAULT_AT_MS, kind="flush", value=1.0)
    return {
        "2 boxes cold": _scenario(2, 30.0, _staggered_faults("box_quick_restart", range(2))),
        "3 boxes cold": _scenario(3, 30.0, _staggered_faults("box_quick_restart", range(3))),
        "6 boxes cold": _scenario(6, 30.0, all_cold),
        "17 boxes cold": _scenario(17, 30.0, _staggered_faults("box_quick_restart", range(17))),
        "1 box left of 6": _scenario(6, 30.0, _staggered_faults("box_quick_restart", range(5))),
        "6 cold, a node paused": _scenario(
            6, 30.0, [*all_cold, Fault(at_ms=4_000, kind="node_pause", target=0, for_ms=1_500)]
        ),
        "6 cold, reload in the ramp": _scenario(
            6, 30.0, [*all_cold, Fault(at_ms=5_000, kind="node_hup", target=0)]
        ),
        "cold and slow": _scenario(
            6,
            30.0,
            [all_cold[0], Fault(at_ms=3_100, kind="box_slow", target=0, for_ms=4_000, value=5)],
        ),
        "lies about its start": _scenario(6, 30.0, _staggered_faults("box_lie", range(1))),
        "order book at a tenth, 20 s": _scenario(
            6, 30.0, [Fault(at_ms=FAULT_AT_MS, kind="book_slow", for_ms=20_000, value=10)]
        ),
        "flush at the peak": _scenario(6, 12.0, [flush_fault]),
        "load times 4 for 3 s": _scenario(
            6, 12.0, [Fault(at_ms=FAULT_AT_MS, kind="load_step", for_ms=3_000, value=5)]
        ),
        "3 nodes of 10 restart": _scenario(
            6, 12.0, _staggered_faults("node_kill", range(3), 600.0), 10
        ),
    }


CASES = _cases()
QUICK = ("2 boxes cold", "flush at the peak", "load times 4 for 3 s", "3 nodes of 10 restart")


@dataclass(frozen=True, slots=True)
class CaseResult:
    """The result of one case; the fields are keys of the JSON output.

    Times are in ms from the fault, None if the served value had not recovered by the end.
    """

    case: str
    calm: float  # share of the requested value that was served before the fault
    after: float  # the same from the fault on
    best_after: float  # the upper bound of `after`
    node_ms: Optional[float]
    oracle_ms: Optional[float]
    broken: tuple[str, ...]

    @property
    def passed(self) -> bool:
        if self.broken or self.oracle_ms is None:
            return not self.broken
        return self.node_ms is not None and self.node_ms <= MAX_TIME_RATIO * max(
            MIN_BOUND_MS, self.oracle_ms
        )


def recovery_ms(requested: list[float], served: list[float], baseline: float) -> Optional[float]:
    """Return the time in ms from the fault until the served value is back at its baseline to stay.

    Values are summed over sliding windows, by the slice in which they were requested.
    """
    window, sustained = int(WINDOW_MS / SLICE_MS), int(SUSTAINED_MS / SLICE_MS)
    fault = int(FAULT_AT_MS / SLICE_MS)

    def recovered(at: int) -> bool:
        wanted = sum(requested[at : at + window])
        return wanted <= 0.0 or sum(served[at : at + window]) >= RECOVERED_RATIO * baseline * wanted

    end = len(requested) - window
    for at in range(fault, end):
        if all(recovered(n) for n in range(at, min(at + sustained, end))):
            return (at - fault) * SLICE_MS
    return None


def measure(case: str, seed: int) -> CaseResult:
    """Run one case."""
    result = run(seed, CASES[case])
    bound = max_value(result.demands, result.supply).by_slice
    slices = int(result.script.world.seconds * 1_000.0 / SLICE_MS) + 2
    bound = (bound + [0.0] * slices)[:slices]
    requested, served = [0.0] * slices, [0.0] * slices
    for n, demand in enumerate(result.demands):
        at = min(slices - 1, int(demand.at_ms / SLICE_MS))
        requested[at] += demand.value
        served[at] += demand.value * (n in result.served_in_time)
    baseline_from, fault = int(BASELINE_FROM_MS / SLICE_MS), int(FAULT_AT_MS / SLICE_MS)
    baseline = sum(served[baseline_from:fault]) / max(1e-9, sum(requested[baseline_from:fault]))
    total = max(1e-9, sum(requested[fault:]))
    return CaseResult(
        case,
        baseline,
        sum(served[fault:]) / total,
        sum(bound[fault:]) / total,
        recovery_ms(requested, served, baseline),
        recovery_ms(requested, bound, baseline),
        tuple(map(str, result.failures)),
    )


def main() -> int:
    """Print the table; return the exit code."""
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
        results = [futures[name].result() for name in names]
    print(f"{'case':30} {'calm':>5} {'after':>6} {'bound':>6} {'back, s':>8} {'bound, s':>8}")
    for result in results:
        times = [
            "never" if ms is None else f"{ms / 1_000.0:.1f}"
            for ms in (result.node_ms, result.oracle_ms)
        ]
        verdict = "" if result.passed else "  MISSED"
        print(
            f"{result.case:30} {result.calm:5.2f} {result.after:6.2f} "
            f"{result.best_after:6.2f} {times[0]:>8} {times[1]:>8}{verdict}"
        )
        for failure in result.broken:
            print(f"    BROKEN {failure}")
    missed = sum(not result.passed for result in results)
    print(
        f"{len(results) - missed} of {len(results)} cases are back "
        f"within {MAX_TIME_RATIO} times the bound's time"
    )
    if args.json:
        args.json.write_text(json.dumps([asdict(result) for result in results], indent=1) + "\n")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
