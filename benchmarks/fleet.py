"""What the nodes of a fleet send, by kind and for each request of a client.

    python -m benchmarks.fleet [--seeds 1-3] [--jobs 8]

Each scenario of testbed/nights/fleets.py is played at 5, 20 and 40 nodes before 60 boxes, on the
virtual clock, under the same load. A kind that grows with the number of nodes shows as a share that
does.
"""

from __future__ import annotations

import argparse
import statistics
from concurrent.futures import ProcessPoolExecutor

from testbed.nights.explore import parse_seed_range
from testbed.nights.fleets import BOXES, SCENARIOS, scenario_script
from testbed.nights.simulation import run
from testbed.nights.traffic import Traffic, count_traffic

FLEET_SIZES = (5, 20, 40)
TRAFFIC_KINDS = {
    "handshakes": "handshakes",
    "failed_dials": "dials lost",
    "repeated_attempts": "second requests and repeats",
    "refused": "refused",
    "failed": "failed",
}


def run_scenario(job: tuple[str, int, int]) -> tuple[Traffic, float, int]:
    """Run one scenario; return its traffic, share of requests served in time, and violations."""
    scenario, nodes, seed = job
    result = run(seed, scenario_script(scenario, seed, nodes), keep_trace=True)
    metrics = result.figures
    return (
        count_traffic(result.lines),
        metrics.in_time / max(1, metrics.asked),
        len(result.failures),
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3", metavar="A-B", help="both included")
    parser.add_argument("--jobs", type=int, default=8)
    args = parser.parse_args()
    seeds = parse_seed_range(args.seeds)
    if not seeds or args.jobs < 1:
        parser.error("--seeds must be A-B with A no greater than B, and --jobs at least 1")
    jobs = [(name, nodes, seed) for name in SCENARIOS for nodes in FLEET_SIZES for seed in seeds]
    with ProcessPoolExecutor(args.jobs) as pool:
        results = dict(zip(jobs, pool.map(run_scenario, jobs), strict=True))
    print(
        f"| trouble | nodes | in time | {' | '.join(TRAFFIC_KINDS.values())} | "
        "idle at most | list calls | in 1 s |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|---|")
    violations = 0
    for name in SCENARIOS:
        for nodes in FLEET_SIZES:
            runs = [results[name, nodes, seed] for seed in seeds]
            violations += sum(failures for _, _, failures in runs)
            traffics = [traffic for traffic, _, _ in runs]
            in_time = statistics.mean(in_time_share for _, in_time_share, _ in runs)
            shares = " | ".join(
                f"{statistics.mean(t.per_request(getattr(t, kind)) for t in traffics):.3f}"
                for kind in TRAFFIC_KINDS
            )
            idle = max(t.max_idle_connections for t in traffics)
            list_calls, max_list_calls_per_s = (
                max(t.discovery_connections for t in traffics),
                max(t.max_discovery_connections_per_s for t in traffics),
            )
            print(
                f"| {name} | {nodes} | {in_time:.3f} | "
                f"{shares} | {idle} | {list_calls} | {max_list_calls_per_s} |"
            )
    print(
        f"\n{len(jobs)} nights before {BOXES} boxes, "
        f"seeds {seeds[0]} to {seeds[-1]}; rules broken: {violations}"
    )
    return 1 if violations else 0


if __name__ == "__main__":
    raise SystemExit(main())
