"""Speed of the simulation, and whether it repeats itself and finds each planted defect.

    python -m benchmarks.simulation [--quick] [--json FILE] [--defects]

Exits with 1 if a seed's trace differs between two runs, two processes, two values of PYTHONHASHSEED
or on a busy machine, if a seed violates a rule, or if 200 seeds take longer than 90 s. With
--defects, runs each planted defect until it is found, shrinks the scenario, prints the table of
docs/simulation.md, and exits with 1 if a defect is not found within 200 seeds.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from testbed.nights.defects import DEFECTS
from testbed.nights.explore import explore, run_seed, shrink, violated_rule
from testbed.nights.script import HARD_FIRST_SEED, draw
from testbed.nights.simulation import run

COMPARED_SEED_COUNT = 20  # seeds whose traces are compared
SEED_COUNT = 200  # seeds that are timed, and that are searched for each defect
# Defects that only hard scenarios reveal.
HARD_SCENARIO_DEFECTS = {
    "forgets-the-allowance-of-a-repeat",
    "lets-out-what-a-pause-held",
}
MAX_DURATION_S = 90.0  # of SEED_COUNT seeds, on eight cores


def trace_digests(hash_seed: str) -> list[str]:
    """Return the digests of the first seeds from a process with this PYTHONHASHSEED."""
    code = (
        "from testbed.nights.simulation import run\n"
        f"for seed in range(1, {COMPARED_SEED_COUNT + 1}): print(run(seed).digest)"
    )
    environ = {**os.environ, "PYTHONHASHSEED": hash_seed}
    done = subprocess.run(
        [sys.executable, "-c", code], env=environ, capture_output=True, check=True, text=True
    )
    return done.stdout.split()


def traces_equal(jobs: int) -> bool:
    """Return whether every trace is the same, however its scenario is run."""
    reference = [run(seed).digest for seed in range(1, COMPARED_SEED_COUNT + 1)]
    with ProcessPoolExecutor(2) as pool:
        other_processes = list(pool.map(trace_digests, ("0", "4711")))
    oversubscribed = [
        summary.digest for summary in explore(range(1, COMPARED_SEED_COUNT + 1), 2 * jobs)
    ]  # more processes than cores
    return all(
        digests == reference
        for digests in (
            *other_processes,
            oversubscribed,
            [run(seed).digest for seed in range(1, COMPARED_SEED_COUNT + 1)],
        )
    )


def find_defect(name: str) -> tuple[str, int, str, int, int, int]:
    """Return the first seed that reveals a defect, or 0.

    Comes with the defect's name, the violated rule, the number of steps until the violation, and
    the number of faults before and after shrinking.
    """
    needs_hard_scenario = name in HARD_SCENARIO_DEFECTS
    for seed in (
        range(HARD_FIRST_SEED, HARD_FIRST_SEED + SEED_COUNT)
        if needs_hard_scenario
        else range(1, SEED_COUNT + 1)
    ):
        summary = run_seed(seed, name)
        if summary.failures:
            rule, script = violated_rule(summary.failures[0]), draw(seed)
            shrunk, _ = shrink(
                seed,
                script,
                rule,
                lambda candidate_seed, candidate: (
                    run_seed(candidate_seed, name, candidate).failures
                ),
            )
            return (
                name,
                seed,
                rule,
                summary.first_failure_step,
                len(script.fault),
                len(shrunk.fault),
            )
    return name, 0, "", 0, 0, 0


def print_defects(jobs: int) -> int:
    """Print the table of defects; return how many were not found."""
    missed = 0
    print(
        "| defect | what it does | seed | rule | steps to it | faults | after shrink |\n"
        "|---|---|---|---|---|---|---|"
    )
    with ProcessPoolExecutor(jobs) as pool:
        for name, seed, rule, steps, before, after in pool.map(find_defect, DEFECTS):
            missed += not seed
            finding = (
                f"{seed} | {rule} | {steps:,} | {before} | {after}" if seed else "not found | | | |"
            )
            print(f"| `{name}` | {DEFECTS[name][0]} | {finding} |", flush=True)
    return missed


def main() -> int:
    """Print the metrics; return the exit code."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--quick", action="store_true", help="a quarter of the seeds")
    parser.add_argument("--json", type=Path, metavar="FILE")
    parser.add_argument("--defects", action="store_true")
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1, metavar="J")
    args = parser.parse_args()
    if args.defects:
        return 1 if print_defects(args.jobs) else 0
    seeds = SEED_COUNT // 4 if args.quick else SEED_COUNT
    equal = traces_equal(args.jobs)
    started = time.perf_counter()
    summaries = list(explore(range(1, seeds + 1), args.jobs))
    elapsed_s = time.perf_counter() - started
    failed = [summary.seed for summary in summaries if summary.failures]
    core_s = sum(summary.real_s for summary in summaries)
    metrics = {
        "traces equal": equal,
        "seeds": seeds,
        "failed": failed,
        "seconds": round(elapsed_s, 1),
        "virtual s in a second": round(
            sum(summary.virtual_s for summary in summaries) / elapsed_s, 1
        ),
        "virtual s in a second of one core": round(
            sum(summary.virtual_s for summary in summaries) / core_s, 1
        ),
        "requests in a second": round(sum(summary.asked for summary in summaries) / elapsed_s),
        "requests in a second of one core": round(
            sum(summary.asked for summary in summaries) / core_s
        ),
        "steps in a second of one core": round(
            sum(summary.steps for summary in summaries) / core_s
        ),
    }
    for name, value in metrics.items():
        print(f"{name:36} {value}")
    if args.json:
        args.json.write_text(json.dumps(metrics, indent=1) + "\n")
    return 0 if equal and not failed and elapsed_s <= MAX_DURATION_S * seeds / SEED_COUNT else 1


if __name__ == "__main__":
    sys.exit(main())
