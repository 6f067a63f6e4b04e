"""Invariant, times and costs of the limits that many nodes share.

    python -m benchmarks.tier [--quick] [--json FILE] [--jobs 8] [--part nights --part scopes ...]

The parts:

- `nights`: the invariant in random scenarios, of the protocol alone and of complete nodes on the
  virtual clock.
- `scopes`: the invariant in all interleavings of three nodes, and the planted defects.
- `processes`: random scenarios of 6 to 12 real processes.
- `times`: the times until a death is detected, a leader is replaced, and each node has its shares,
  as distributions over seeds; also bytes sent and CPU time.
- `line`: the fraction of reads at their key's usual box, and fetches of the order book, with the
  tier off, on, and with one part of it alone, in the same scenarios.

Exits with 1 if an aim is missed.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

from forkweir.tier.leases import TOTAL_SHARES
from testbed.check.leases import Scope, check_scope
from testbed.nights.explore import run_seed as run_whole_node_seed
from testbed.nights.script import TIER_FIRST_SEED, draw
from testbed.nights.script import Script as ScenarioScript
from testbed.nights.simulation import run as run_simulation
from testbed.tier.defects import DEFECTS, planted
from testbed.tier.model import LIMITS, Fault, Scenario, Script
from testbed.tier.model import run_seed as run_protocol_seed
from testbed.tier.processes import run as run_processes

SECTIONS = ("nights", "scopes", "processes", "times", "line")
# Of random scenarios of the protocol; apart from the seeds of the tests.
FIRST_SEED = 1_001
FIRST_PROCESSES_SEED = 30_050_001
# A scenario is steady by then, and the measured fault begins.
SETTLE_MS = 10_000.0
# A node has its shares if it has this fraction of an even division.
FAIR_FRACTION = 0.9
# Aims for the slowest seed of each size: docs/tier.md says how they follow from the constants.
# By number of nodes: until all others have detected a death.
DETECTION_AIM_S = {4: 7.0, 37: 8.0, 200: 10.0}
# Until there is a leader again after the last one died.
LEADER_AIM_S = 6.5
# Until all nodes have their shares after up to half of the nodes stopped or came back.
FAIR_AIM_S = 5.0
# Bytes per second that a node sends, in the mean.
BYTES_PER_S_AIM = 600.0
# Reads that are not at their key's usual box, as a fraction of those without a shared line.
ELSEWHERE_AIM = 0.5
CLEAN_SCOPES: list[tuple[str, Scope]] = [
    ("one caller, three calls, two units", Scope(time_units=2, calls=3, callers=(0,))),
    ("two callers, two calls, three units", Scope(time_units=3, calls=2)),
    (
        "two callers, four calls, a restart",
        Scope(time_units=0, calls=4, callers=(0, 2), restarts=1),
    ),
    (
        "one caller, a restart and a double",
        Scope(time_units=1, calls=2, callers=(0,), restarts=1, duplicates=1),
    ),
    ("two callers, three calls, four units", Scope(time_units=4, calls=3, max_states=400_000)),
]
PLANTED_SCOPES: list[tuple[str, Scope]] = [
    ("half-is-enough", Scope(time_units=0, calls=2)),
    ("spent-twice", Scope(time_units=0, calls=4, callers=(0,))),
    ("votes-for-two", Scope(time_units=0, calls=4, callers=(0, 2))),
    ("never-given-back", Scope(time_units=2, calls=3, callers=(0,))),
    ("counts-from-its-coming", Scope(time_units=2, calls=3, callers=(0,))),
    ("votes-at-once", Scope(time_units=0, calls=4, callers=(0, 2), restarts=1)),
]


def check_scenarios(quick: bool, jobs: int) -> tuple[dict[str, Any], bool]:
    """Check the invariant in random scenarios; find the first seed that each defect breaks."""
    protocol_count = 400 if quick else 5_000
    node_scenario_count = 16 if quick else 400
    with ProcessPoolExecutor(jobs) as pool:
        began = time.monotonic()
        protocol_failed = [
            seed
            for seed, failures in _map_seeds(
                pool, run_protocol_seed, range(FIRST_SEED, FIRST_SEED + protocol_count)
            )
            if failures
        ]
        protocol_s = time.monotonic() - began
        began = time.monotonic()
        node_scenarios_failed = [
            summary.seed
            for _, summary in _map_seeds(
                pool,
                run_whole_node_seed,
                range(TIER_FIRST_SEED, TIER_FIRST_SEED + node_scenario_count),
            )
            if summary.failures
        ]
        node_scenarios_s = time.monotonic() - began
        names = [
            name for name in DEFECTS if not quick or name in ("never-given-back", "votes-for-two")
        ]
        first_seeds = dict(zip(names, pool.map(_first_seed, names), strict=True))
    print(
        f"nights of the protocol: {protocol_count} in {protocol_s:.0f} s, "
        f"failed: {protocol_failed or 'none'}"
    )
    print(
        f"nights of whole nodes: {node_scenario_count} in {node_scenarios_s:.0f} s, "
        f"failed: {node_scenarios_failed or 'none'}"
    )
    for name, seed in first_seeds.items():
        print(
            f"  planted {name}: {'seed ' + str(seed) if seed else 'not by the first 1,000 seeds'}"
        )
    results = {
        "protocol": protocol_count,
        "protocol_failed": protocol_failed,
        "whole": node_scenario_count,
        "whole_failed": node_scenarios_failed,
        "defects": first_seeds,
    }
    return results, not protocol_failed and not node_scenarios_failed and sum(
        seed > 0 for seed in first_seeds.values()
    ) >= (2 if quick else 7)


def _map_seeds(
    pool: ProcessPoolExecutor, run: Callable[[int], Any], seeds: Iterable[int]
) -> Iterable[tuple[int, Any]]:
    seeds = list(seeds)
    return zip(seeds, pool.map(run, seeds, chunksize=4), strict=True)


def _first_seed(name: str) -> int:
    with planted(name):
        return next((seed for seed in range(1, 1_001) if run_protocol_seed(seed)), 0)


def check_scopes(quick: bool, jobs: int) -> tuple[dict[str, Any], bool]:
    """Check all interleavings of small scopes; find the fewest steps to each planted defect."""
    results: dict[str, Any] = {}
    passed = True
    with ProcessPoolExecutor(jobs) as pool:
        scopes_to_walk = CLEAN_SCOPES[1:2] if quick else CLEAN_SCOPES
        for (name, _), outcome in zip(
            scopes_to_walk,
            pool.map(check_scope, [scope for _, scope in scopes_to_walk]),
            strict=True,
        ):
            ended = "to its end" if outcome.exhausted else "as far as this"
            verdict = outcome.counterexample or "the whole is kept"
            print(
                f"scope {name}: {outcome.states} states {ended}, "
                f"in {outcome.states_with_leases} of them somebody holds parts; {verdict}"
            )
            results[name] = {
                "states": outcome.states,
                "ended": outcome.exhausted,
                "trail": outcome.counterexample,
            }
            passed &= not outcome.counterexample
        planted_scopes = PLANTED_SCOPES[:3] if quick else PLANTED_SCOPES
        for (name, _), outcome in zip(
            planted_scopes, pool.map(_walk_planted, planted_scopes), strict=True
        ):
            print(
                f"  planted {name}: {len(outcome.counterexample)} steps "
                f"after {outcome.states} states"
            )
            results[f"planted {name}"] = {
                "states": outcome.states,
                "steps": list(outcome.counterexample),
            }
            passed &= bool(outcome.counterexample)
    return results, passed


def _walk_planted(case: tuple[str, Scope]) -> Any:
    with planted(case[0]):
        return check_scope(case[1])


def check_processes(quick: bool, jobs: int) -> tuple[dict[str, Any], bool]:
    """Run random scenarios with real processes, two at a time."""
    seeds = list(range(FIRST_PROCESSES_SEED, FIRST_PROCESSES_SEED + (2 if quick else 20)))
    passed = True
    results: dict[str, Any] = {}
    with ProcessPoolExecutor(min(2, jobs)) as pool:
        for seed, report in _map_seeds(pool, _run_random_processes, seeds):
            held = max(report["most_held"].values(), default=0) / TOTAL_SHARES
            cold = max((box["worst"] for box in report["cold"].values()), default=0.0)
            requests = report["requests"]
            print(
                f"processes, seed {seed}: {report['nodes']} nodes, {report['leases']} leases, "
                f"at most {held:.3f} of a bound held at once, "
                f"cold boxes at {cold:.2f} of their budget, "
                f"{requests['in_time']} of {requests['asked']} in time; "
                f"{report['failures'] or 'no rule broken'}",
                flush=True,
            )
            results[str(seed)] = {
                "nodes": report["nodes"],
                "leases": report["leases"],
                "most_held": held,
                "cold": cold,
                "requests": requests,
                "failures": report["failures"],
            }
            passed &= not report["failures"]
    return results, passed


def _run_random_processes(seed: int) -> dict[str, Any]:
    script = draw(seed)
    return {**run_processes(script, seed), "nodes": script.world.nodes}


def measure_times(quick: bool, jobs: int) -> tuple[dict[str, Any], bool]:
    """Measure times and costs over seeds, at several sizes."""
    seeds = 10 if quick else 100
    sizes = (4, 37) if quick else (4, 37, 200)
    results: dict[str, Any] = {}
    passed = True
    with ProcessPoolExecutor(jobs) as pool:
        for count in sizes:
            rows = list(
                pool.map(_measure_times, [(count, seed) for seed in range(seeds)], chunksize=2)
            )
            aims = {
                "death known": DETECTION_AIM_S[count],
                "keeper again": LEADER_AIM_S,
                "fair, half went": FAIR_AIM_S,
                "fair, half came": FAIR_AIM_S,
            }
            for name, aim in aims.items():
                values = sorted(row[name] for row in rows)
                missed = values[-1] > aim
                passed &= not missed
                print(
                    f"{count:4} nodes, {name:<16} s: {statistics.median(values):6.2f} median, "
                    f"{_quantile(values, 0.9):6.2f} at 90%, "
                    f"{values[-1]:6.2f} most (aim {aim:g}{', MISSED' if missed else ''})"
                )
                results[f"{count}/{name}"] = {
                    "median": statistics.median(values),
                    "p90": _quantile(values, 0.9),
                    "most": values[-1],
                    "aim": aim,
                }
            mean = statistics.fmean(row["bytes"] for row in rows)
            cpu = _measure_cost(count, 20.0)["cpu"]
            passed &= mean <= BYTES_PER_S_AIM
            print(
                f"{count:4} nodes, each in the mean: {mean:.0f} bytes a second "
                f"(aim {BYTES_PER_S_AIM:g}), "
                f"{1000.0 * cpu:.2f} ms of CPU a second"
            )
            results[f"{count}/cost"] = {"bytes_per_s": mean, "cpu_ms_per_s": 1000.0 * cpu}
    if not quick:
        row = _measure_cost(1_000, 20.0)
        print(
            f"1000 nodes, each in the mean: {row['bytes']:.0f} bytes a second, "
            f"{1000.0 * row['cpu']:.2f} ms of CPU a second"
        )
        results["1000/cost"] = row
    return results, passed


def measure_line(quick: bool, jobs: int) -> tuple[dict[str, Any], bool]:
    """Run twelve complete nodes and twelve boxes on the virtual clock, without faults.

    Compares the tier off, on, and with one part of it alone.
    """
    seeds = range(1, 3 if quick else 9)
    results: dict[str, Any] = {}
    with ProcessPoolExecutor(jobs) as pool:
        kinds = ("off", "shares", "line", "on")
        cases = [(kind, seed) for seed in seeds for kind in kinds]
        rows = dict(zip(cases, pool.map(_run_calm_scenario, cases), strict=True))
    for kind in kinds:
        kind_rows = [rows[kind, seed] for seed in seeds]
        usual_box_share, fetches, in_time = (
            statistics.fmean(row[name] for row in kind_rows)
            for name in ("usual", "fetches", "in_time")
        )
        print(
            f"tier {kind:<7} {usual_box_share:.4f} of reads at their key's usual box, "
            f"{fetches:.0f} fetches, {in_time:.4f} in time"
        )
        results[kind] = {"usual": usual_box_share, "fetches": fetches, "in_time": in_time}
    elsewhere = {kind: 1.0 - results[kind]["usual"] for kind in kinds}
    print(
        f"reads elsewhere: {elsewhere['on'] / elsewhere['off']:.2f} of those without "
        f"(aim {ELSEWHERE_AIM:g})"
    )
    return results, elsewhere["on"] <= ELSEWHERE_AIM * elsewhere["off"] and not any(
        row["failures"] for row in rows.values()
    )


def _run_calm_scenario(case: tuple[str, int]) -> dict[str, Any]:
    kind, seed = case
    world: dict[str, Any] = {
        "seconds": 40.0,
        "nodes": 12,
        "boxes": 12,
        "requests_per_s": 300.0,
        "keys": 4_000,
        "tier": kind,
    }
    result = run_simulation(seed, msgspec.convert({"world": world}, ScenarioScript))
    totals = result.figures
    return {
        "usual": result.majority_box_share,
        "fetches": result.fetches,
        "in_time": totals.in_time / max(1, totals.asked),
        "failures": result.failures,
    }


def _quantile(values: list[float], fraction: float) -> float:
    return values[min(len(values) - 1, int(fraction * len(values)))]


def _measure_cost(count: int, seconds: float) -> dict[str, float]:
    began = time.process_time()
    scenario = Scenario(Script(count, seconds), 1).run()
    cpu = (time.process_time() - began) / count / seconds
    return {"bytes": scenario.sent_bytes / count / seconds, "cpu": cpu}


def _measure_times(case: tuple[int, int]) -> dict[str, float]:
    """Measure one seed at one size.

    A follower dies, then the leader, then up to half of the nodes stop and come back.
    """
    count, seed = case
    # The others keep more than half of the votes.
    half = tuple(range(count - count // 2 + (count % 2 == 0 and count > 4), count))
    scenario = Scenario(Script(count, 60.0), seed).run(SETTLE_MS)
    leader = next(node.tier.slot for node in scenario.nodes if node.tier.is_leader(node.now))
    victim = (leader + 1) % count or 1
    detected_ms: dict[int, float] = {}

    def on_change(by: int, slot: int, state: str) -> None:
        if slot == victim and state == "dead":
            detected_ms.setdefault(by, scenario.now)

    scenario.on_change = on_change
    scenario._do_kill(Fault(0.0, "kill", (victim,), 0.0))
    died_ms = scenario.now
    _run_until(scenario, lambda: len(detected_ms) >= count - 1, 30_000.0)
    detection_ms = scenario.now - died_ms
    scenario._restart(victim)
    scenario.run(scenario.now + SETTLE_MS)
    leader = next(node.tier.slot for node in scenario.nodes if node.tier.is_leader(node.now))
    scenario._do_kill(Fault(0.0, "kill", (leader,), 0.0))
    died_ms = scenario.now
    _run_until(
        scenario, lambda: any(node.tier.is_leader(node.now) for node in scenario.alive()), 60_000.0
    )
    election_ms = scenario.now - died_ms
    scenario._restart(leader)
    scenario.run(scenario.now + SETTLE_MS)
    leader = next(node.tier.slot for node in scenario.nodes if node.tier.is_leader(node.now))
    stopped = tuple(slot for slot in half if slot != leader)
    scenario._do_kill(Fault(0.0, "kill", stopped, 0.0))
    stopped_ms = scenario.now
    _run_until(scenario, lambda: _shares_are_fair(scenario), 60_000.0)
    fair_after_stop_ms = scenario.now - stopped_ms
    for slot in stopped:
        scenario._restart(slot)
    returned_ms = scenario.now
    _run_until(scenario, lambda: _shares_are_fair(scenario), 60_000.0)
    assert not scenario.failures, scenario.failures
    row = {
        "death known": detection_ms,
        "keeper again": election_ms,
        "fair, half went": fair_after_stop_ms,
        "fair, half came": scenario.now - returned_ms,
    }
    return {name: ms / 1000.0 for name, ms in row.items()} | {
        "bytes": scenario.sent_bytes / count / (scenario.now / 1000.0)
    }


def _run_until(scenario: Scenario, condition: Callable[[], bool], max_ms: float) -> None:
    """Run in steps of 50 ms until the condition holds, for at most max_ms."""
    end = scenario.now + max_ms
    while not condition() and scenario.now < end:
        scenario.run(scenario.now + 50.0)


def _shares_are_fair(scenario: Scenario) -> bool:
    """Whether each running node has its shares of each limit.

    All demand is equal here, so max-min fairness means an even division.
    """
    alive = scenario.alive()
    return all(
        node.held_shares(limit) >= FAIR_FRACTION * TOTAL_SHARES / len(alive)
        for limit in LIMITS
        for node in alive
    )


def main() -> int:
    """Run the chosen parts and print their results; return the exit code."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", type=Path, metavar="FILE")
    parser.add_argument("--jobs", type=int, default=8)
    parser.add_argument(
        "--part", action="append", choices=SECTIONS, help="this part alone (may be given again)"
    )
    args = parser.parse_args()
    results: dict[str, Any] = {}
    passed = True
    sections = {
        "nights": check_scenarios,
        "scopes": check_scopes,
        "processes": check_processes,
        "times": measure_times,
        "line": measure_line,
    }
    for name in args.part or SECTIONS:
        results[name], section_passed = sections[name](args.quick, args.jobs)
        passed &= section_passed
        if not section_passed:
            print(f"{name}: an aim is missed", file=sys.stderr)
    if args.json:
        args.json.write_text(json.dumps(results, indent=1) + "\n")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
