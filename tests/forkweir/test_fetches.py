"""The origin's budget: what is expected to miss, when the limit holds, how it is cut and comes back."""

from __future__ import annotations

import pytest

from forkweir.choice import Balancer
from forkweir.limits.fetches import (
    CUT,
    CUT_MS,
    FRESH_MS,
    KEYS,
    LEAST,
    PASS,
    SLOW_FEW,
    SLOW_MANY,
    Fetches,
)
from forkweir.settings import ClassSpec, Server, Settings

READ = ClassSpec("read", aim_ms=750, deadline_ms=2500, value=3)
ORDER = ClassSpec(
    "order", aim_ms=1200, deadline_ms=2500, repeat="keyed", repeat_window_ms=2500, value=8
)


def jammed(out: float = 20.0) -> Fetches:
    """A budget under which so much is out, and whose fetches have all been slow."""
    fetches = Fetches(8.0)
    for _ in range(2_000):
        fetches.out = out
        fetches.pay(0.0)
    for n in range(60):
        fetches.judge(None, 10.0 * n)
    assert fetches.pressed
    return fetches


def test_a_key_is_remembered_where_it_was_served_last_until_that_server_starts_again_or_it_is_written() -> (
    None
):
    fetches = Fetches(8.0)
    fetches.served(0.5, "s1", False, 100.0)
    assert fetches.remembers(0.5, "s1", 0.0) and not fetches.remembers(0.5, "s2", 0.0)
    assert not fetches.remembers(0.5, "s1", 150.0)
    fetches.served(0.5, "s2", False, 200.0)
    assert fetches.remembers(0.5, "s2", 150.0) and not fetches.remembers(0.5, "s1", 0.0)
    fetches.served(0.5, "s2", True, 300.0)
    assert not fetches.remembers(0.5, "s2", 0.0)


def test_no_more_keys_are_remembered_than_stated_and_those_served_longest_ago_go_first() -> None:
    fetches = Fetches(8.0)
    for n in range(KEYS):
        fetches.served(float(n), "s1", False, float(n))
    fetches.served(0.0, "s1", False, KEYS + FRESH_MS)
    for n in range(KEYS, KEYS + 10):
        fetches.served(float(n), "s1", False, KEYS + FRESH_MS)
    assert len(fetches._served) == KEYS
    assert fetches.remembers(0.0, "s1", 0.0) and not fetches.remembers(1.0, "s1", 0.0)


def test_nothing_is_held_back_while_fetches_are_quick_however_many_are_out() -> None:
    fetches = Fetches(8.0)
    for _ in range(500):
        fetches.pay(1.0)
        assert fetches.has(1.0, 1.0)
    for n in range(100):
        fetches.judge(0.3, float(n))
        assert fetches.has(1.0, 1.0)


def test_a_slow_origin_holds_back_misses_first_of_the_classes_worth_least_and_never_expected_hits() -> (
    None
):
    fetches = jammed()
    fetches.out = 0.9 * fetches.limit
    assert fetches.has(1.0, 8.0) and not fetches.has(1.0, 3.0)
    fetches.out = 2.0 * fetches.limit
    assert not fetches.has(1.0, 8.0)
    assert fetches.has(PASS, 0.0)


def test_a_limit_is_cut_once_in_its_time_and_never_below_the_least() -> None:
    fetches = jammed()
    before, at = fetches.limit, fetches._cut_ms
    for n in range(10):
        fetches.judge(None, at + 1.0 + n)
    assert fetches.limit == before
    fetches.judge(None, at + CUT_MS)
    assert fetches.limit == pytest.approx(CUT * before)
    for n in range(100):
        fetches.judge(None, at + (2 + n) * CUT_MS)
    assert fetches.limit == LEAST


def test_an_origin_that_is_well_again_frees_the_budget_within_few_good_fetches() -> None:
    fetches = jammed()
    good = 0
    while fetches.pressed:
        good += 1
        fetches.judge(0.3, 5_000.0 + good)
    assert good <= 30 and fetches.slow < SLOW_FEW < SLOW_MANY


def test_the_module_keeps_its_books_of_fetches_whatever_becomes_of_a_request() -> None:
    told = Settings(classes=(READ, ORDER), max_attempts=3, may_cancel=True)
    balancer = Balancer(told, 1)
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
    assert balancer.fetches.out == pytest.approx(0.0, abs=1e-6)


def test_a_jammed_origin_does_not_take_the_hits_along() -> None:
    # Guards against the collapse in which all that is let in misses, times out, is given up, and leaves nothing cached.
    balancer = Balancer(Settings(classes=(READ, ORDER), max_attempts=3, backoff_max_ms=600.0), 1)
    balancer.on_list(0.0, "full", [Server(f"s{n}") for n in range(6)])
    now, number = 0.0, 0
    out: list[tuple[float, int, str, str, float, int]] = []

    def ask(key: str, status: str, took: float, note: int) -> bool:
        nonlocal now, number
        now, number = now + 4.0, number + 1
        while out and out[0][0] <= now:
            due, earlier, server, how, elapsed, told = out.pop(0)
            balancer.on_outcome(due, earlier, 0, True, how, server, elapsed, told)
        action = balancer.on_request(now, number, "read", key, 2500.0)[0]
        if action[0] != "attempt":
            return False
        out.append((now + took, number, str(action[2]), status, took, note))
        out.sort()
        return True

    for n in range(1_500):  # a hundred keys are warm
        ask(f"warm{n % 100}", "success", 30.0, 1)
    served = fetched = 0
    for n in range(3_000):  # then the origin jams: every miss times out
        served += ask(f"warm{n % 100}", "success", 30.0, 1)
        fetched += ask(f"new{n}", "timed_out", 700.0, 0)
    assert balancer.fetches.pressed
    assert served > 0.75 * 3_000 and fetched < 0.25 * 3_000
