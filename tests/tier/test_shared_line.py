"""The shared line: heavy buckets are found, merged and sent; equal tables give equal cuts."""

from __future__ import annotations

import random
from bisect import bisect_right

import pytest

from forkweir.choice import Balancer
from forkweir.line import Line, equal_cuts, position_of
from forkweir.settings import ClassSpec, Server, Settings
from forkweir.tier.balancer_adapter import BalancerAdapter
from forkweir.tier.options import Options
from forkweir.tier.shared_line import (
    BUCKETS,
    MAX_HEAVY_BUCKETS,
    MAX_PAGES,
    STALE_MS,
    WINDOW_ARRIVALS,
    HeavyHitterSketch,
    SharedLineState,
    compute_cuts,
    merge,
    pack,
    unpack,
)
from forkweir.tier.tier import Tier

RANGES = 2_048
KEYS = [f"k{n}" for n in range(2_000)]
WEIGHTS = [1.0 / (n + 3) ** 0.9 for n in range(2_000)]


def arrivals(seed: int, count: int) -> list[str]:
    return random.Random(seed).choices(KEYS, WEIGHTS, k=count)


def test_often_requested_buckets_are_found_with_their_fractions() -> None:
    sketch = HeavyHitterSketch()
    for key in arrivals(1, 8_000):
        sketch.add(position_of(key))
    heavy = dict(sketch.heavy_buckets())
    total = sum(WEIGHTS)
    for n in range(20):
        assert heavy[int(position_of(KEYS[n]) * BUCKETS)] == pytest.approx(
            8_000 * WEIGHTS[n] / total / WINDOW_ARRIVALS, rel=0.35
        )
    assert sum(heavy.values()) <= 8_000 / WINDOW_ARRIVALS and len(heavy) <= MAX_HEAVY_BUCKETS
    for _ in range(2 * WINDOW_ARRIVALS):
        sketch.add(0.5)
    # It is halved when full, so it never exceeds its window.
    assert sketch.weight < WINDOW_ARRIVALS and sketch.heavy_buckets()[0][1] > 0.4
    assert HeavyHitterSketch().heavy_buckets() == []


def test_packed_fractions_are_close_and_malformed_ones_harmless() -> None:
    shares = [(0, 1.0), (65_535, 0.031), (7, 2.0**-15)]
    unpacked = unpack(pack(shares))
    assert [bucket for bucket, _ in unpacked] == [0, 65_535, 7]
    assert [share for _, share in unpacked] == pytest.approx(
        [share for _, share in shares], rel=0.023
    )
    assert unpack(b"\x01\x02") == [] and len(unpack(bytes(10))) == 3


def test_merged_windows_and_a_node_that_reports_too_much() -> None:
    by_node = {
        0: (0.3, {5: 0.2}),
        1: (0.1, {5: 0.05, 9: 0.02}),
        2: (0.0, {}),
        3: (1e9, {77: 300.0, 5: 100.0}),
    }
    filled, shares = merge(by_node)
    assert filled == pytest.approx((0.3 + 0.1 + 0.0 + 1.0) / 4)
    assert dict(shares) == {
        5: pytest.approx((0.2 + 0.05 + 0.25) / 4),
        9: pytest.approx(0.02 / 4),
        77: pytest.approx(0.75 / 4),
    }
    assert merge({}) == (0.0, [])


def test_cuts_of_a_table_differ_from_even_ones_only_near_heavy_buckets() -> None:
    even = Line(RANGES).cuts
    assert compute_cuts([], RANGES) == even
    shares = [(20_000, 0.05), (20_001, 0.01), (65_535, 0.02), (0, 0.02)]
    cuts = compute_cuts(shares, RANGES)
    assert len(cuts) == RANGES - 1 and cuts == sorted(cuts)
    position = 20_000.5 / BUCKETS
    # A heavy bucket fills ranges in proportion to its fraction.
    assert sum(abs(cut - position) < 1e-9 for cut in cuts) == pytest.approx(0.05 * RANGES, abs=2)
    far = [n for n, cut in enumerate(even) if 0.4 < cut < 0.9]
    assert [cuts[n] for n in far] == [even[n] for n in far]  # distant cuts stay
    assert cuts == equal_cuts(sorted([*cuts_points(shares)]), RANGES)


def cuts_points(shares: list[tuple[int, float]]) -> list[float]:
    """The same window by a slow method: each point replaces the nearest even one, as in `Line`."""
    size = RANGES * 8
    free, points = [(n + 0.5) / size for n in range(size)], []
    for bucket, share in shares:
        position = (bucket + 0.5) / BUCKETS
        wanted = round(share * size)
        near = sorted(range(len(free)), key=lambda n: (abs(free[n] - position), n))[:wanted]
        low = min(max(0, bisect_right(free, position) - wanted // 2), len(free) - wanted)
        assert abs(min(near) - low) <= 2
        del free[min(near) : min(near) + wanted]
        points += [position] * wanted
    return points + free


def nodes(count: int) -> tuple[list[Balancer], list[Tier]]:
    settings = Settings(classes=(ClassSpec("read", aim_ms=750, deadline_ms=2_500),), max_attempts=3)
    balancers = [Balancer(settings, n) for n in range(count)]
    tiers = [Tier(n, count, 100 + n, 1, 0.0, Options(line=True)) for n in range(count)]
    for balancer, tier in zip(balancers, tiers, strict=True):
        balancer.on_list(0.0, "full", [Server(f"s{n}") for n in range(20)])
        BalancerAdapter(balancer, tier)
    return balancers, tiers


def simulate_requests(
    balancers: list[Balancer], tiers: list[Tier], until_ms: float, isolated: int = -1
) -> None:
    """Each node gets 40 random requests a second; datagrams arrive at once.

    isolated: a node that neither sends nor receives datagrams.
    """
    draws = [iter(arrivals(7 + n, 100_000)) for n in range(len(balancers))]
    now, number = 0.0, 0
    while now < until_ms:
        now += 25.0
        for n, balancer in enumerate(balancers):
            number += 1
            for action in balancer.on_request(now, number, "read", next(draws[n]), 2_500.0):
                if action[0] == "attempt":
                    balancer.on_outcome(now + 5.0, number, 0, True, "success", action[2], 5.0, 1)
        if now % 125.0 == 0.0:
            sends = [(n, to, data) for n, tier in enumerate(tiers) for to, data in tier.tick(now)]
            while sends:
                sends = [
                    (to, recipient, reply)
                    for n, to, data in sends
                    if isolated not in (n, to)
                    for recipient, reply in tiers[to].receive(n, data, now)
                ]


def test_connected_nodes_compute_the_same_cuts_and_an_isolated_one_uses_its_own_window() -> None:
    balancers, tiers = nodes(5)
    simulate_requests(balancers, tiers, 30_000.0, isolated=4)
    cuts = [balancer.line.cuts for balancer in balancers]
    homes = [[balancer.line.range_of(position_of(key)) for key in KEYS] for balancer in balancers]
    difference = [
        sum(a != b for a, b in zip(homes[0], other, strict=True)) / len(KEYS) for other in homes[1:]
    ]
    assert max(difference[:3]) == 0.0, difference  # connected nodes
    assert difference[3] > 0.005, difference  # the isolated node
    assert balancers[4].line.shared is None and balancers[0].line.shared is not None
    assert cuts[0] != Line(RANGES).cuts


def test_a_table_needs_all_its_pages_and_expires() -> None:
    lines = SharedLineState()
    assert lines.table(RANGES, 0.0) is None
    assert not lines.on_page(5, 2, 0, 2, 0.2, pack([(9, 0.1)]), 10.0)
    assert not lines.on_page(5, 2, 0, 2, 0.2, pack([(9, 0.1)]), 11.0)  # a duplicate
    assert not lines.on_page(5, 1, 1, 2, 0.2, pack([(8, 0.1)]), 12.0)  # of an older table
    assert not lines.on_page(5, 2, 1, MAX_PAGES + 1, 0.2, b"", 12.0)
    assert lines.on_page(5, 2, 1, 2, 0.2, pack([(8, 0.05)]), 13.0)
    table = lines.table(RANGES, 20.0)
    assert table is not None and table is lines.table(RANGES, 30.0)
    # Half of all requests: 0.1 of the window, of which 0.2 is arrivals.
    assert table.share(9.5 / BUCKETS) == pytest.approx(0.1 / 0.2, rel=0.03)
    # A newer table that is incomplete changes nothing.
    assert not lines.on_page(5, 4, 0, 2, 0.2, b"", 31.0) and lines.table(RANGES, 32.0) is table
    other = lines.table(4_096, 33.0)
    assert other is not None and len(other.cuts) == 4_095
    assert lines.table(RANGES, 13.0 + STALE_MS + 1.0) is None
