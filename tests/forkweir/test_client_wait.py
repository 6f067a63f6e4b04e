"""Waits of retrying clients and retry budgets.

Time-outs shorter than most answers must not count against servers.
"""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from forkweir import Balancer, ClassSpec, Server, Settings
from forkweir.limits.client_wait import ClientWaits
from forkweir.limits.retry_budget import MAX_SAVED, QUICK_ERROR_SHARE, RetryBudget

READ = ClassSpec("read", aim_ms=800.0, deadline_ms=2500.0, value=3.0)


def test_before_any_first_attempt_the_deadline_is_assumed() -> None:
    assert ClientWaits().waited_ms("read", 1_900.0, True, 2_500.0) == 600.0


def test_a_retry_that_states_what_first_attempts_state_has_no_known_wait() -> None:
    waits = ClientWaits()
    assert waits.waited_ms("read", 1_956.0, False, 2_500.0) == 0.0
    assert waits.waited_ms("read", 1_956.0, True, 2_500.0) == 0.0
    # Nothing is known about another class.
    assert waits.waited_ms("write", 1_956.0, True, 2_500.0) == 544.0


def test_any_other_retry_counts_from_its_first_attempt() -> None:
    waits = ClientWaits()
    waits.waited_ms("read", 1_956.0, False, 2_500.0)
    assert waits.waited_ms("read", 1_256.0, True, 2_500.0) == 1_244.0
    # More than first attempts state: counted from the deadline.
    assert waits.waited_ms("read", 2_100.0, True, 2_500.0) == 400.0
    assert waits.waited_ms("read", 2_600.0, True, 2_500.0) == 0.0


def test_a_few_clients_with_short_waits_change_nothing_and_a_change_of_all_is_learned() -> None:
    waits, rng, wrong = ClientWaits(), random.Random(1), 0
    for _ in range(500):
        if rng.random() < 0.1:
            waits.waited_ms("read", 400.0, False, 2_500.0)
        else:
            waits.waited_ms("read", 2_000.0, False, 2_500.0)
            wrong += waits.waited_ms("read", 2_000.0, True, 2_500.0) != 0.0
    assert not wrong
    for _ in range(300):
        waits.waited_ms("read", 1_200.0, False, 2_500.0)
    assert waits.waited_ms("read", 1_200.0, True, 2_500.0) == 0.0


@given(st.lists(st.tuples(st.floats(0, 5_000), st.booleans()), max_size=50))
@settings(max_examples=60, deadline=None)
def test_a_wait_is_never_negative_nor_longer_than_the_longest_stated_time(
    stated: list[tuple[float, bool]],
) -> None:
    waits, longest_ms = ClientWaits(), 2_500.0
    for budget, repeated in stated:
        waited = waits.waited_ms("read", budget, repeated, 2_500.0)
        assert 0.0 <= waited <= longest_ms and (repeated or waited == 0.0)
        longest_ms = max(longest_ms, budget)


def test_a_retry_budget_limits_retries_to_a_share_and_a_maximum() -> None:
    budget, sent = RetryBudget(QUICK_ERROR_SHARE), 0
    for _ in range(100):
        budget.earn()
        for _ in range(3):
            if budget.may_retry:
                budget.spend()
                sent += 1
    assert QUICK_ERROR_SHARE * 100 <= sent <= QUICK_ERROR_SHARE * 100 + MAX_SAVED


def simulate(full_time: bool) -> Balancer:
    """Simulate a node; a third of the requests are retries, with full or hardly any time."""
    balancer, rng = Balancer(Settings(classes=(READ,), may_cancel=True), 3), random.Random(3)
    balancer.on_list(0.0, "full", [Server(f"s{n}") for n in range(20)])
    for n in range(1_200):
        now = 1_000.0 + 50.0 * n
        repeated = rng.random() < 0.33
        budget = 1_950.0 if not repeated or full_time else 1_250.0
        action = balancer.on_request(
            now, n, "read", f"k{rng.randrange(400)}", budget, repeated=repeated
        )[0]
        if action[0] != "attempt":
            continue
        given = action[3]
        assert isinstance(given, float)
        elapsed_ms = 120.0 + 160.0 * rng.random()
        if elapsed_ms < given:
            balancer.on_outcome(
                now + elapsed_ms, n, 0, True, "success", str(action[2]), elapsed_ms, 1
            )
        else:
            balancer.on_outcome(now + given, n, 0, False, "timed_out", str(action[2]), given)
            balancer.on_departure(now + given, n)
    return balancer


def test_time_outs_of_retries_with_little_time_close_no_gate_and_blame_no_server() -> None:
    for full_time in (True, False):
        balancer = simulate(full_time)
        assert balancer.gate.admitted_share == 1.0 and balancer.gate.failure_share < 0.01
        assert all(
            member.load_penalty == 0.0 and not member.suspicion.suspect
            for member in balancer.fleet.home_candidates
        )
