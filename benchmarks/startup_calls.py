"""Calls to discovery of many nodes that start at once: the most in any 100 ms.

    python -m benchmarks.startup_calls [--nodes 40] [--draws 500] [--json FILE]

Compares spreads of the first call. The start of the interpreter, which spreads them further, is not
counted.
"""

from __future__ import annotations

import argparse
import json
import random
from pathlib import Path
from statistics import mean, quantiles

from corkshift.service import FIRST_CALL_SPREAD_S
from forkweir.known.discovery_polling import PollSchedule

POLL_WITHIN_MS = 10_000.0
WINDOW_MS = 100.0


def most_in_a_window(times_ms: list[float]) -> int:
    """The most of these times in any window of WINDOW_MS."""
    ordered = sorted(times_ms)
    return max(
        sum(first <= at < first + WINDOW_MS for at in ordered[n:])
        for n, first in enumerate(ordered)
    )


def own_socket_call_ms(rng: random.Random) -> float:
    """When a process with a listening socket of its own makes its first call, in ms."""
    return PollSchedule(POLL_WITHIN_MS, rng).initial_wait()


def inherited_socket_call_ms(rng: random.Random) -> float:
    """The same for a process that inherits its listening socket."""
    return 1000.0 * FIRST_CALL_SPREAD_S * rng.random()


STARTS = {"own socket": own_socket_call_ms, "inherited socket": inherited_socket_call_ms}


def measure(nodes: int, draws: int) -> dict[str, dict[str, float]]:
    """For each kind of start: the most calls in a window (mean, 95th percentile), the mean wait."""
    results = {}
    for name, call_ms in STARTS.items():
        calls = [
            [call_ms(random.Random(draw * nodes + n)) for n in range(nodes)]
            for draw in range(draws)
        ]
        most = [float(most_in_a_window(times)) for times in calls]
        results[name] = {
            "most, mean": mean(most),
            "most, 95 %": quantiles(most, n=20)[-1],
            "wait, ms": mean(mean(times) for times in calls),
        }
    return results


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=40)
    parser.add_argument("--draws", type=int, default=500)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    results = measure(options.nodes, options.draws)
    for name, figures in results.items():
        print(name, ", ".join(f"{label} {value:.1f}" for label, value in figures.items()))
    if options.json is not None:
        options.json.write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
