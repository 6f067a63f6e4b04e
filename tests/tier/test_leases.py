"""Leases: allocation, ledger, expiring votes, and every interleaving of a small scope.

The exhaustive walk must also find planted defects.
"""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from forkweir.tier.leases import (
    CLOCK_SAFETY_FACTOR,
    TOTAL_SHARES,
    Allocator,
    Candidacy,
    HeldLeases,
    Ledger,
    Voter,
    allocate_fairly,
    majority,
    vote_weight,
)
from testbed.check.leases import Scope, check_scope
from testbed.tier.defects import planted

demands = st.dictionaries(
    st.integers(0, 40), st.one_of(st.floats(0.0, 1e5), st.just(float("inf"))), max_size=12
)


@given(demands)
@settings(max_examples=300, deadline=None)
def test_allocation_is_max_min_fair(demand: dict[int, float]) -> None:
    allocated = allocate_fairly(TOTAL_SHARES, demand)
    assert sum(allocated.values()) <= TOTAL_SHARES
    assert allocated.keys() == {slot for slot, amount in demand.items() if amount > 0.0}
    for slot, shares in allocated.items():
        # A node below its demand has no less than any other that demands at least as much.
        if shares < demand[slot] - 1.0:
            assert all(
                shares >= other - 1
                for other_slot, other in allocated.items()
                if demand[other_slot] >= demand[slot]
            ), allocated
            assert all(
                shares + 1 >= other
                for other_slot, other in allocated.items()
                if other <= demand[other_slot]
            ), allocated
    if allocated:
        # Only rounding leaves anything over.
        assert sum(allocated.values()) > TOTAL_SHARES - 2 * len(allocated)


@given(
    st.lists(
        st.tuples(
            st.dictionaries(st.integers(0, 4), st.floats(0.0, 90_000.0), max_size=5),
            st.floats(0.0, 3_000.0),
        ),
        max_size=25,
    )
)
@settings(max_examples=200, deadline=None)
def test_outstanding_grants_never_exceed_the_total(
    rounds: list[tuple[dict[int, float], float]],
) -> None:
    """In the worst case each holder has the largest of its unexpired grants, as any may be lost."""
    ledger, now, grants = Ledger(), 0.0, list[tuple[tuple[int, int], int, float]]()
    for demand, passed in rounds:
        now += passed
        for process, shares in ledger.grant(
            7, {(slot, 1): amount for slot, amount in demand.items()}, 1_000.0, now
        ).items():
            grants.append((process, shares, now + 1_000.0))
        worst: dict[tuple[int, int], int] = {}
        for process, shares, until in grants:
            if until > now:
                worst[process] = max(worst.get(process, 0), shares)
        assert sum(worst.values()) <= TOTAL_SHARES
        assert {
            process: shares for process, shares in ledger.outstanding(7, now).items() if shares
        } == {process: largest for process, largest in worst.items() if largest}


def test_a_vote_goes_to_one_process_and_a_new_process_gives_none() -> None:
    voter = Voter(4_000.0, 100.0)
    assert not voter.request_vote((1, 5), 1, 4_000.0)  # its predecessor may have voted
    assert voter.request_vote((1, 5), 1, 4_100.0) and voter.request_vote((1, 5), 3, 5_000.0)
    # Neither to another node nor to another process of the same node.
    assert not voter.request_vote((2, 6), 1, 8_999.0) and not voter.request_vote((1, 7), 4, 8_999.0)
    assert voter.request_vote((2, 6), 1, 9_000.0)
    voter.release((1, 5), 9, 9_001.0)
    # A process can't release a vote that it does not have.
    assert not voter.request_vote((1, 5), 10, 9_001.0)
    assert voter.request_vote((2, 6), 4, 9_002.0) and voter.request_vote((2, 6), 2, 9_003.0)
    voter.release((2, 6), 3, 9_004.0)  # late: about an earlier candidacy
    assert not voter.request_vote((1, 5), 11, 9_005.0)
    voter.release((2, 6), 4, 9_006.0)
    assert voter.request_vote((1, 5), 12, 9_007.0)


def test_votes_count_from_the_call_and_the_first_of_an_even_number_counts_twice() -> None:
    assert [majority(n) for n in (1, 2, 3, 4, 5, 37, 200)] == [1, 2, 2, 3, 3, 19, 101]
    assert [vote_weight(0, 4), vote_weight(1, 4), vote_weight(0, 5)] == [2, 1, 1]
    candidacy = Candidacy(4, 4_000.0)
    candidacy.call_sent(1, 0.0)
    candidacy.call_sent(2, 500.0)
    candidacy.vote_received(0, 1)
    candidacy.vote_received(3, 2)
    # Both votes are needed, so the first to expire ends the majority.
    assert candidacy.majority_until() == pytest.approx(CLOCK_SAFETY_FACTOR * 4_000.0)
    assert not candidacy.vote_received(2, 9)  # a call that was never sent
    candidacy.end()
    assert not candidacy.vote_received(0, 2) and candidacy.majority_until() < 0.0


def test_a_grant_counts_from_its_reply_and_for_its_process_only() -> None:
    held_leases = HeldLeases()
    first = held_leases.next_reply_number(1_000.0)
    assert held_leases.accept_grant((0, 9), 5, first, 2_000.0, 3.0, 7, 600, 1_500.0)
    lease = held_leases.lease(7, 2_000.0)
    assert (
        lease is not None
        and lease.until_ms == pytest.approx(1_000.0 + CLOCK_SAFETY_FACTOR * 2_000.0)
        and lease.size == 3.0
    )
    # An older call of the same leader.
    assert not held_leases.accept_grant((0, 9), 4, first, 2_000.0, 3.0, 7, 900, 1_600.0)
    # The answer to a reply that was never sent.
    assert not held_leases.accept_grant((0, 9), 6, 99, 2_000.0, 3.0, 7, 900, 1_600.0)
    # Arrives after its expiry.
    assert not held_leases.accept_grant((0, 9), 6, first, 2_000.0, 3.0, 7, 900, 3_000.0)
    assert held_leases.lease(7, 1_000.0 + CLOCK_SAFETY_FACTOR * 2_000.0) is None
    allocator = Allocator((1, 44), 3, 4_000.0, 0.0)
    number = allocator.held_leases.next_reply_number(1_000.0)
    # Meant for an earlier process of the node.
    assert not allocator.on_grant((0, 9), 43, 5, number, 2_000.0, 1.0, 7, 600, 1_100.0)
    assert allocator.on_grant((0, 9), 44, 5, number, 2_000.0, 1.0, 7, 600, 1_100.0)


def test_every_interleaving_of_a_small_scope_stays_within_the_total() -> None:
    outcome = check_scope(Scope(time_units=2, calls=2, callers=(0, 1)))
    assert outcome.exhausted and not outcome.counterexample
    assert outcome.states_with_leases > 500 and outcome.states > 10_000, outcome


@pytest.mark.parametrize(
    ("defect", "scope"),
    [
        ("half-is-enough", Scope(time_units=0, calls=2)),
        ("votes-for-two", Scope(time_units=0, calls=4, callers=(0, 2))),
        ("spent-twice", Scope(time_units=0, calls=4, callers=(0,))),
    ],
)
def test_a_planted_defect_is_found_in_the_fewest_steps(defect: str, scope: Scope) -> None:
    with planted(defect):
        outcome = check_scope(scope)
    assert 2 <= len(outcome.counterexample) <= 14, outcome
