"""Forty nodes and sixty boxes of which many fail at once.

No rule is broken, and every kind of traffic stays within its bound.
"""

from __future__ import annotations

from functools import cache

import pytest

from forkweir.limits.retry_budget import MAX_SAVED, QUICK_ERROR_SHARE, RETRY_SHARE
from testbed.nights.fleets import BOXES, NODES, SCENARIOS, scenario_script
from testbed.nights.simulation import Result, run
from testbed.nights.traffic import Traffic, count_traffic

# Not among the seeds of `python -m benchmarks.fleet`.
SEED = 7
# Least fraction of requests served in time.
IN_TIME = {
    "calm": 0.97,
    "herd": 0.95,
    "overbooked": 0.96,
    "join": 0.95,
    "zone": 0.94,
    "half": 0.70,
    "together": 0.90,
}


@cache
def run_fleet_scenario(name: str) -> tuple[Result, Traffic]:
    result = run(
        SEED, scenario_script(name, SEED, requests_per_s=240.0, seconds=4.5), keep_trace=True
    )
    return result, count_traffic(result.lines)


@pytest.mark.parametrize("name", SCENARIOS)
def test_a_fleet_withstands_simultaneous_faults(name: str) -> None:
    result, traffic = run_fleet_scenario(name)
    figures = result.figures
    assert result.failures == []
    assert figures.in_time >= IN_TIME[name] * figures.asked, figures
    # Repeated attempts are bounded by the clients' requests, over the fleet as at one node.
    # A restarted node has a full retry budget again.
    process_count = NODES * (2 if name in ("herd", "together") else 1)
    assert (
        traffic.repeated_attempts
        <= (RETRY_SHARE + QUICK_ERROR_SHARE) * traffic.requests + 2.0 * MAX_SAVED * process_count
    )
    # Nodes do not call discovery in step: at most one call per node and second, and one more for
    # a node that was killed.
    assert traffic.max_discovery_connections_per_s <= NODES * 1.1
    assert traffic.max_idle_connections <= NODES * BOXES / 2


def test_the_list_is_kept_and_bad_lists_are_logged_at_a_bounded_rate() -> None:
    result, _ = run_fleet_scenario("overbooked")
    bad_lists = sum("BadList" in line for line in result.lines)
    assert NODES <= bad_lists <= 8 * NODES  # each watching node was sent eight bad lists
    assert result.figures.refused < 0.02 * result.figures.asked


def test_the_traffic_of_a_trace_is_counted_by_kind() -> None:
    lines = """0000000000 n0 dial 127.1.0.1:1 127.4.0.1:8500
0000900000 n1 dial 127.1.0.2:1 127.4.0.1:8500
0001000000 client asks x1 menu-read k1 of n0
0001000100 n0 dial 127.1.0.1:2 127.2.0.1:8001
0001000200 n0 open 127.1.0.1:2 127.2.0.1:8001
0001000300 n0 sends x1 to s0 #1
0001000400 s0 turns away x1
0001000500 n0 dial 127.1.0.1:3 127.2.0.2:8001
0001000600 n0 sends x1 to s1 #2
0001000700 client gets x1 503 9
0001300000 client asks x2 menu-read k1 of n0
0001300100 client gets x2 502 9
0003000000 n0 dial 127.1.0.1:4 127.4.0.2:8500
""".splitlines()
    got = count_traffic(lines)
    assert (got.requests, got.attempts, got.repeated_attempts, got.refused, got.failed) == (
        2,
        2,
        1,
        1,
        1,
    )
    assert (
        got.handshakes,
        got.failed_dials,
        got.max_idle_connections,
        got.discovery_connections,
        got.max_discovery_connections_per_s,
    ) == (
        1,
        1,
        1,
        3,
        2,
    )
    assert got.per_request(got.repeated_attempts) == 0.5
