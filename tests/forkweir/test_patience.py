"""What a repeat says of its past, and that time which ran out before answers come tells of nobody."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from forkweir import Balancer, ClassSpec, Server, Settings
from forkweir.limits.patience import Patience
from forkweir.limits.savings import BANK, ERRORS, Savings

READ = ClassSpec("read", aim_ms=800.0, deadline_ms=2500.0, value=3.0)


def test_until_a_first_try_came_the_deadline_is_what_they_say() -> None:
    assert Patience().waited("read", 1_900.0, True, 2_500.0) == 600.0


def test_a_repeat_that_says_what_first_tries_say_has_waited_for_nothing_that_is_known() -> None:
    patience = Patience()
    assert patience.waited("read", 1_956.0, False, 2_500.0) == 0.0
    assert patience.waited("read", 1_956.0, True, 2_500.0) == 0.0
    assert (
        patience.waited("write", 1_956.0, True, 2_500.0) == 544.0
    )  # nothing is known of another class


def test_any_other_repeat_counts_on_from_its_first_try() -> None:
    patience = Patience()
    patience.waited("read", 1_956.0, False, 2_500.0)
    assert patience.waited("read", 1_256.0, True, 2_500.0) == 1_244.0
    assert (
        patience.waited("read", 2_100.0, True, 2_500.0) == 400.0
    )  # more than first tries say: counted from the deadline
    assert patience.waited("read", 2_600.0, True, 2_500.0) == 0.0


def test_a_few_clients_in_a_hurry_do_not_pass_for_all_and_a_change_of_all_is_learned() -> None:
    patience, rng, wrong = Patience(), random.Random(1), 0
    for _ in range(500):
        if rng.random() < 0.1:
            patience.waited("read", 400.0, False, 2_500.0)
        else:
            patience.waited("read", 2_000.0, False, 2_500.0)
            wrong += patience.waited("read", 2_000.0, True, 2_500.0) != 0.0
    assert not wrong
    for _ in range(300):
        patience.waited("read", 1_200.0, False, 2_500.0)
    assert patience.waited("read", 1_200.0, True, 2_500.0) == 0.0


@given(st.lists(st.tuples(st.floats(0, 5_000), st.booleans()), max_size=50))
@settings(max_examples=60, deadline=None)
def test_a_wait_is_never_negative_nor_longer_than_the_most_that_was_said(
    said: list[tuple[float, bool]],
) -> None:
    patience, most = Patience(), 2_500.0
    for budget, repeated in said:
        waited = patience.waited("read", budget, repeated, 2_500.0)
        assert 0.0 <= waited <= most and (repeated or waited == 0.0)
        most = max(most, budget)


def test_savings_hold_repeats_to_a_share_and_a_bank() -> None:
    savings, sent = Savings(ERRORS), 0
    for _ in range(100):
        savings.earn()
        for _ in range(3):
            if savings.enough:
                savings.spend()
                sent += 1
    assert ERRORS * 100 <= sent <= ERRORS * 100 + BANK


def gate_after(patient: bool) -> Balancer:
    """A third of the requests are repeats: of clients that wait as long as first tries, or with hardly any time."""
    balancer, rng = Balancer(Settings(classes=(READ,), may_cancel=True), 3), random.Random(3)
    balancer.on_list(0.0, "full", [Server(f"s{n}") for n in range(20)])
    for n in range(1_200):
        now = 1_000.0 + 50.0 * n
        repeated = rng.random() < 0.33
        budget = 1_950.0 if not repeated or patient else 1_250.0
        action = balancer.on_request(
            now, n, "read", f"k{rng.randrange(400)}", budget, repeated=repeated
        )[0]
        if action[0] != "attempt":
            continue
        given = action[3]
        assert isinstance(given, float)
        took = 120.0 + 160.0 * rng.random()
        if took < given:
            balancer.on_outcome(now + took, n, 0, True, "success", str(action[2]), took, 1)
        else:
            balancer.on_outcome(now + given, n, 0, False, "timed_out", str(action[2]), given)
            balancer.on_departure(now + given, n)
    return balancer


def test_time_outs_of_repeats_with_little_time_shut_no_gate_and_are_held_against_no_server() -> (
    None
):
    for patient in (True, False):
        balancer = gate_after(patient)
        assert balancer.gate.admitted_share == 1.0 and balancer.gate.failure_share < 0.01
        assert all(
            member.load_penalty == 0.0 and not member.record.bad for member in balancer.fleet.placed
        )
