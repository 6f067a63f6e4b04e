"""CPU of the module for each request, against another revision.

    python -m benchmarks.module --against REV [--quick] [--json FILE]

Both revisions run the same random workload (a warm fleet, popular keys, reads and writes, a few
misses) in turn, each time in a new process. The ratio of their CPU times is taken for each pair of
runs. Exits with 1 if the median ratio is above MAX_RATIO.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from benchmarks.revision import ROOT, packages_of

MAX_RATIO = 1.05
PAIRS = 15
REQUESTS = 30_000


def run_workload(servers: int, requests: int) -> float:
    """Run the workload with the module that is first on the path; return its CPU time in s."""
    from forkweir.choice import Balancer
    from forkweir.settings import ClassSpec, Server, Settings

    classes = (
        ClassSpec("menu-read", aim_ms=750, deadline_ms=2500, value=3),
        ClassSpec(
            "order-place",
            aim_ms=1200,
            deadline_ms=2500,
            repeat="keyed",
            repeat_window_ms=2500,
            value=8,
        ),
    )
    balancer = Balancer(
        Settings(classes=classes, max_attempts=3, may_cancel=True, backoff_max_ms=1200.0), 7
    )
    rng = random.Random(7)
    balancer.on_list(0.0, "full", [Server(f"s{n}", kind=f"k{n % 2}") for n in range(servers)])
    keys = [f"k{min(5_000, int(rng.paretovariate(0.7)))}" for _ in range(requests)]
    draws = [(rng.random(), rng.random(), rng.expovariate(1 / 110.0)) for _ in range(requests)]
    in_flight: list[tuple[float, int, str, float, int]] = []
    started_s = time.process_time()
    for n in range(requests):
        now_ms = 18.0 * n
        while in_flight and in_flight[0][0] <= now_ms:
            due_ms, number, server, elapsed_ms, cache_result = in_flight.pop(0)
            balancer.on_outcome(
                due_ms, number, 0, True, "success", server, elapsed_ms, cache_result
            )
        write = draws[n][0] < 0.08
        request_class = "order-place" if write else "menu-read"
        for action in balancer.on_request(
            now_ms, n, request_class, keys[n], 2500.0, 110.0, "stalls", write, False
        ):
            if action[0] == "attempt":
                elapsed_ms = 40.0 + min(600.0, draws[n][2])
                in_flight.append(
                    (
                        now_ms + elapsed_ms,
                        n,
                        action[2],
                        elapsed_ms,
                        0 if write else 2 if draws[n][1] < 0.1 else 1,
                    )
                )
    return time.process_time() - started_s


def _measure_cpu_s(root: Path, servers: int, requests: int) -> float:
    code = f"import sys; sys.path.insert(0, {str(root)!r}); sys.path.append({str(ROOT)!r})\n"
    code += (
        f"from benchmarks.module import run_workload; print(run_workload({servers}, {requests}))"
    )
    done = subprocess.run(
        [sys.executable, "-I", "-c", code], capture_output=True, text=True, check=True
    )
    return float(done.stdout)


def main() -> int:
    """Print the ratios; return the exit code."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument(
        "--against", default="HEAD", metavar="REV", help="a revision of this repository"
    )
    parser.add_argument("--quick", action="store_true", help="a third of the pairs")
    parser.add_argument("--json", type=Path, metavar="FILE")
    args = parser.parse_args()
    metrics: dict[str, Any] = {"against": args.against}
    max_ratio = 0.0
    with packages_of(args.against, "forkweir") as other:
        for servers in (12, 62):
            ratios, cpu_s = [], []
            for _ in range(PAIRS // 3 if args.quick else PAIRS):
                cpu_s.append(_measure_cpu_s(ROOT, servers, REQUESTS))
                ratios.append(cpu_s[-1] / _measure_cpu_s(other, servers, REQUESTS))
            ratio = statistics.median(ratios)
            max_ratio = max(max_ratio, ratio)
            metrics[f"{servers} servers"] = {
                "ratio": round(ratio, 3),
                "least": round(min(ratios), 3),
                "most": round(max(ratios), 3),
            }
            us = 1e6 * statistics.median(cpu_s) / REQUESTS
            print(
                f"{servers} servers: {us:.1f} us a request, "
                f"{ratio:.3f} of {args.against} ({min(ratios):.3f} to {max(ratios):.3f})"
            )
    if args.json:
        args.json.write_text(json.dumps(metrics, indent=1) + "\n")
    return 0 if max_ratio <= MAX_RATIO else 1


if __name__ == "__main__":
    sys.exit(main())
