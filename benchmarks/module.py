"""CPU of the module for each request, against another revision.

    python -m benchmarks.module --against REV [--quick] [--json FILE]

Both play the same drawn day (a warm fleet, popular keys, reads and writes, a few misses), in turn,
each time in a process of its own, and the ratio of their CPU times is taken pair by pair. Exits
with 1 where the median ratio is over MOST.
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

MOST = 1.05
PAIRS = 15
REQUESTS = 30_000


def day(servers: int, requests: int) -> float:
    """Play a day through the module that is first on the path; the CPU seconds that it took."""
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
    out: list[tuple[float, int, str, float, int]] = []
    began = time.process_time()
    for n in range(requests):
        now = 18.0 * n
        while out and out[0][0] <= now:
            due, number, server, took, note = out.pop(0)
            balancer.on_outcome(due, number, 0, True, "success", server, took, note)
        write = draws[n][0] < 0.08
        lane = "order-place" if write else "menu-read"
        for action in balancer.on_request(
            now, n, lane, keys[n], 2500.0, 110.0, "stalls", write, False
        ):
            if action[0] == "attempt":
                took = 40.0 + min(600.0, draws[n][2])
                out.append(
                    (now + took, n, action[2], took, 0 if write else 2 if draws[n][1] < 0.1 else 1)
                )
    return time.process_time() - began


def _time(root: Path, servers: int, requests: int) -> float:
    code = f"import sys; sys.path.insert(0, {str(root)!r}); sys.path.append({str(ROOT)!r})\n"
    code += f"from benchmarks.module import day; print(day({servers}, {requests}))"
    done = subprocess.run(
        [sys.executable, "-I", "-c", code], capture_output=True, text=True, check=True
    )
    return float(done.stdout)


def main() -> int:
    """Print the ratios; the exit code."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument(
        "--against", default="HEAD", metavar="REV", help="a revision of this repository"
    )
    parser.add_argument("--quick", action="store_true", help="a third of the pairs")
    parser.add_argument("--json", type=Path, metavar="FILE")
    args = parser.parse_args()
    figures: dict[str, Any] = {"against": args.against}
    worst = 0.0
    with packages_of(args.against, "forkweir") as other:
        for servers in (12, 62):
            ratios, here = [], []
            for _ in range(PAIRS // 3 if args.quick else PAIRS):
                here.append(_time(ROOT, servers, REQUESTS))
                ratios.append(here[-1] / _time(other, servers, REQUESTS))
            ratio = statistics.median(ratios)
            worst = max(worst, ratio)
            figures[f"{servers} servers"] = {
                "ratio": round(ratio, 3),
                "least": round(min(ratios), 3),
                "most": round(max(ratios), 3),
            }
            us = 1e6 * statistics.median(here) / REQUESTS
            print(
                f"{servers} servers: {us:.1f} us a request, {ratio:.3f} of {args.against} ({min(ratios):.3f} to {max(ratios):.3f})"
            )
    if args.json:
        args.json.write_text(json.dumps(figures, indent=1) + "\n")
    return 0 if worst <= MOST else 1


if __name__ == "__main__":
    sys.exit(main())
