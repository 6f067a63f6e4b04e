"""Budget of origin fetches: expected misses, when it limits, and how the limit changes."""

from __future__ import annotations

import pytest

from forkweir.choice import Balancer
from forkweir.limits.fetch_budget import (
    DECREASE_INTERVAL_MS,
    EXEMPT_COST,
    LIMIT_DECREASE,
    MAX_KEYS,
    MIN_LIMIT,
    REFRESH_MS,
    SLOW_TO_LIMIT,
    SLOW_TO_RELEASE,
    FetchBudget,
)
from forkweir.settings import ClassSpec, Server, Settings

READ = ClassSpec("read", aim_ms=750, deadline_ms=2500, value=3)
ORDER = ClassSpec(
    "order", aim_ms=1200, deadline_ms=2500, repeat="keyed", repeat_window_ms=2500, value=8
)


def limiting_budget(in_flight: float = 20.0) -> FetchBudget:
    """Return a budget with so many fetches in flight, all of which have been slow."""
    budget = FetchBudget(8.0)
    for _ in range(2_000):
        budget.in_flight = in_flight
        budget.record_start(0.0)
    for n in range(60):
        budget.record_fetch(None, 10.0 * n)
    assert budget.limiting
    return budget


def test_the_last_server_of_a_key_is_remembered_until_it_restarts_or_the_key_is_written() -> None:
    budget = FetchBudget(8.0)
    budget.record_served(0.5, "s1", False, 100.0)
    assert budget.remembers(0.5, "s1", 0.0) and not budget.remembers(0.5, "s2", 0.0)
    assert not budget.remembers(0.5, "s1", 150.0)
    budget.record_served(0.5, "s2", False, 200.0)
    assert budget.remembers(0.5, "s2", 150.0) and not budget.remembers(0.5, "s1", 0.0)
    budget.record_served(0.5, "s2", True, 300.0)
    assert not budget.remembers(0.5, "s2", 0.0)


def test_remembered_keys_are_bounded_and_the_oldest_are_forgotten_first() -> None:
    budget = FetchBudget(8.0)
    for n in range(MAX_KEYS):
        budget.record_served(float(n), "s1", False, float(n))
    budget.record_served(0.0, "s1", False, MAX_KEYS + REFRESH_MS)
    for n in range(MAX_KEYS, MAX_KEYS + 10):
        budget.record_served(float(n), "s1", False, MAX_KEYS + REFRESH_MS)
    assert len(budget._last_server) == MAX_KEYS
    assert budget.remembers(0.0, "s1", 0.0) and not budget.remembers(1.0, "s1", 0.0)


def test_quick_fetches_are_never_limited() -> None:
    budget = FetchBudget(8.0)
    for _ in range(500):
        budget.record_start(1.0)
        assert budget.may_send(1.0, 1.0)
    for n in range(100):
        budget.record_fetch(0.3, float(n))
        assert budget.may_send(1.0, 1.0)


def test_a_slow_origin_limits_misses_of_low_value_first_and_never_expected_hits() -> None:
    budget = limiting_budget()
    budget.in_flight = 0.9 * budget.limit
    assert budget.may_send(1.0, 8.0) and not budget.may_send(1.0, 3.0)
    budget.in_flight = 2.0 * budget.limit
    assert not budget.may_send(1.0, 8.0)
    assert budget.may_send(EXEMPT_COST, 0.0)


def test_the_limit_decreases_once_per_interval_down_to_its_minimum() -> None:
    budget = limiting_budget()
    before, at = budget.limit, budget._decreased_ms
    for n in range(10):
        budget.record_fetch(None, at + 1.0 + n)
    assert budget.limit == before
    budget.record_fetch(None, at + DECREASE_INTERVAL_MS)
    assert budget.limit == pytest.approx(LIMIT_DECREASE * before)
    for n in range(100):
        budget.record_fetch(None, at + (2 + n) * DECREASE_INTERVAL_MS)
    assert budget.limit == MIN_LIMIT


def test_a_recovered_origin_ends_limiting_after_few_good_fetches() -> None:
    budget = limiting_budget()
    successes = 0
    while budget.limiting:
        successes += 1
        budget.record_fetch(0.3, 5_000.0 + successes)
    assert successes <= 30 and budget.slow_share < SLOW_TO_RELEASE < SLOW_TO_LIMIT


def test_fetches_in_flight_return_to_zero_for_any_outcome() -> None:
    settings = Settings(classes=(READ, ORDER), max_attempts=3, may_cancel=True)
    balancer = Balancer(settings, 1)
    balancer.on_list(0.0, "full", [Server(f"s{n}") for n in range(5)])
    ends = (
        "success",
        "failure",
        "overloaded",
        "timed_out",
        "unreachable",
        "broken",
        "withdrawn",
        "void",
        "leaves",
    )
    for n in range(900):
        now = 5.0 * n
        write = n % 7 == 0
        actions = balancer.on_request(
            now, n, "order" if write else "read", f"k{n % 40}", 1_500.0, 0.0, "", write
        )
        end, tries = ends[n % len(ends)], 0
        while actions and (action := actions[0])[0] == "attempt":
            if end == "leaves":
                actions = balancer.on_departure(now, n)
            else:
                done = end == "success" or tries == 2
                server = str(action[2])
                actions = balancer.on_outcome(
                    now + 1.0, n, tries, done, end, server, 20.0, 1 + n % 2
                )
            tries += 1
    assert not balancer.held
    assert balancer.fetches.in_flight == pytest.approx(0.0, abs=1e-6)


def test_an_overloaded_origin_does_not_affect_hits() -> None:
    # Guards against a collapse in which every request that is let in misses, times out and leaves
    # nothing cached.
    balancer = Balancer(Settings(classes=(READ, ORDER), max_attempts=3, backoff_max_ms=600.0), 1)
    balancer.on_list(0.0, "full", [Server(f"s{n}") for n in range(6)])
    now, number = 0.0, 0
    in_flight: list[tuple[float, int, str, str, float, int]] = []

    def ask(key: str, status: str, elapsed_ms: float, cache_result: int) -> bool:
        nonlocal now, number
        now, number = now + 4.0, number + 1
        while in_flight and in_flight[0][0] <= now:
            due, earlier, server, how, elapsed, earlier_note = in_flight.pop(0)
            balancer.on_outcome(due, earlier, 0, True, how, server, elapsed, earlier_note)
        action = balancer.on_request(now, number, "read", key, 2500.0)[0]
        if action[0] != "attempt":
            return False
        in_flight.append(
            (now + elapsed_ms, number, str(action[2]), status, elapsed_ms, cache_result)
        )
        in_flight.sort()
        return True

    for n in range(1_500):  # a hundred keys are warm
        ask(f"warm{n % 100}", "success", 30.0, 1)
    served = fetched = 0
    for n in range(3_000):  # then every miss times out at the origin
        served += ask(f"warm{n % 100}", "success", 30.0, 1)
        fetched += ask(f"new{n}", "timed_out", 700.0, 0)
    assert balancer.fetches.limiting
    assert served > 0.75 * 3_000 and fetched < 0.25 * 3_000
