"""Forty nodes before sixty boxes, and everything fails at once: no rule is broken, and no kind of traffic grows out of its share."""

from __future__ import annotations

from functools import cache

import pytest

from forkweir.limits.retry_budget import MAX_SAVED, QUICK_ERROR_SHARE, RETRY_SHARE
from testbed.nights.fleets import ALL, BOXES, NODES, night
from testbed.nights.simulation import Result, run
from testbed.nights.traffic import Traffic, counted

SEED = 7  # not one that `python -m benchmarks.fleet` plays
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
def play(name: str) -> tuple[Result, Traffic]:
    result = run(SEED, night(name, SEED, requests_per_s=240.0, seconds=4.5), keep=True)
    return result, counted(result.lines)


@pytest.mark.parametrize("name", ALL)
def test_a_fleet_bears_what_fails_at_once(name: str) -> None:
    result, traffic = play(name)
    figures = result.figures
    assert result.failures == []
    assert figures.in_time >= IN_TIME[name] * figures.asked, figures
    # What is asked again is bounded by what clients ask, over the fleet as at one node.
    lives = NODES * (
        2 if name in ("herd", "together") else 1
    )  # a node that starts anew has savings anew
    assert (
        traffic.again
        <= (RETRY_SHARE + QUICK_ERROR_SHARE) * traffic.requests + 2.0 * MAX_SAVED * lives
    )
    # Nobody calls discovery in step: in no second more often than each node once, and a node that was killed once more.
    assert traffic.lists_most <= NODES * 1.1
    assert traffic.idle_most <= NODES * BOXES / 2


def test_the_list_is_kept_and_bad_lists_are_logged_at_a_bounded_rate() -> None:
    result, _ = play("overbooked")
    told = sum("BadList" in line for line in result.lines)
    assert NODES <= told <= 8 * NODES  # eight bad lists were told to each that listened
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
    got = counted(lines)
    assert (got.requests, got.attempts, got.again, got.refused, got.failed) == (2, 2, 1, 1, 1)
    assert (got.handshakes, got.lost_dials, got.idle_most, got.lists, got.lists_most) == (
        1,
        1,
        1,
        3,
        2,
    )
    assert got.share(got.again) == 0.5
