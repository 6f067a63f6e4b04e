"""Polling of discovery: at once after a loss, within a budget, and with jitter otherwise."""

from __future__ import annotations

import random

import pytest

from forkweir.known.discovery_polling import (
    AGENT_INTERVAL_MS,
    BASE_WAIT_FRACTION,
    MAX_DOUBLINGS,
    MAX_INITIAL_WAIT_MS,
    MAX_URGENT_CALLS,
    MAX_WAIT_MS,
    MIN_WAIT_MS,
    URGENT_JITTER_MS,
    URGENT_REFILL_MS,
    URGENT_RETRY_MS,
    PollSchedule,
)

# A change counts as notified so long after discovery had it and could be reached.
NOTIFIED_MS = 6_000.0


def test_a_loss_is_followed_by_a_call_at_once_and_the_next_failure_waits() -> None:
    schedule = PollSchedule(10_000.0, random.Random(1))
    assert schedule.next_wait(True, 1_000.0) < URGENT_JITTER_MS
    assert MAX_WAIT_MS * 0.3 <= schedule.next_wait(False, 1_010.0) <= MAX_WAIT_MS * 1.3


@pytest.mark.parametrize("within_ms", [0.0, 1_000.0, 10_000.0, 60_000.0, 3_600_000.0])
@pytest.mark.parametrize("lost", [False, True])
def test_a_service_that_always_fails_is_called_within_the_bound_and_the_budget(
    lost: bool, within_ms: float
) -> None:
    # Guards against waits that double without a bound: with waits of up to 10.4 s a change counted
    # as notified before the node asked (incident of 2026-12-02). Three refused calls in a row must
    # fit into that time, wherever in a wait the change is made.
    schedule, now, at = PollSchedule(within_ms, random.Random(2)), 0.0, []
    while now < 120_000.0:
        now += schedule.next_wait(lost, now)
        at.append(now)
    gaps = [later - earlier for earlier, later in zip(at, at[4:], strict=False)]
    assert max(gaps) <= NOTIFIED_MS
    settled = min(within_ms * BASE_WAIT_FRACTION * 2.0**MAX_DOUBLINGS, MAX_WAIT_MS)
    slowest = max(MIN_WAIT_MS, 0.3 * settled)
    assert len(at) <= 2 * MAX_DOUBLINGS + 120_000.0 / slowest + lost * (
        MAX_URGENT_CALLS + 120_000.0 / URGENT_REFILL_MS
    )
    if settled == MAX_WAIT_MS:
        assert len(at) <= 2 * MAX_DOUBLINGS + 120_000.0 / (0.7 * MAX_WAIT_MS) + lost * (
            MAX_URGENT_CALLS + 120_000.0 / URGENT_REFILL_MS
        )


def test_the_waits_of_a_fleet_are_spread() -> None:
    # Guards against all nodes calling at the same moment: of 200 nodes that failed at once, fewer
    # than a fifth call again within any tenth of a second.
    waits = [PollSchedule(10_000.0, random.Random(n)).next_wait(False, 0.0) for n in range(200)]
    assert (
        max(sum(start <= wait < start + 100.0 for wait in waits) for start in range(0, 1_400, 50))
        < 40
    )


def test_a_new_address_resets_the_waits() -> None:
    schedule = PollSchedule(1_000.0, random.Random(3))
    waits = [schedule.next_wait(False, 0.0) for _ in range(6)]
    schedule.reset()
    assert schedule.next_wait(False, 0.0) <= 1_000.0 * BASE_WAIT_FRACTION * 2.0 * 1.3 < max(waits)
    assert schedule.next_wait(True, 1.0) < URGENT_JITTER_MS


def test_the_initial_wait_is_bounded_for_any_settings() -> None:
    for within_ms in (0.0, 10_000.0, 3_600_000.0):
        schedule = PollSchedule(within_ms, random.Random(6))
        assert all(0.0 <= schedule.initial_wait() <= MAX_INITIAL_WAIT_MS for _ in range(200))


def test_a_fleet_that_loses_every_line_stays_within_its_total_budget() -> None:
    # For 20 s each of 40 nodes gets its list and loses the next line a moment later.
    calls: list[float] = []
    for n in range(40):
        schedule, now = PollSchedule(10_000.0, random.Random(n)), 0.0
        while now < 20_000.0:
            now += schedule.next_wait(True, now)
            calls.append(now)
            schedule.record_complete_line()
            now += 20.0
    assert sum(at < 100.0 for at in calls) <= 40 * (MAX_URGENT_CALLS + 1)
    late = sum(10_000.0 <= at < 20_000.0 for at in calls)
    assert late <= 40 * 10_000.0 / URGENT_REFILL_MS + 40 * 10_000.0 / (
        10_000.0 * BASE_WAIT_FRACTION * 2.0 * 0.3
    )


def test_a_complete_line_resets_the_waits() -> None:
    schedule = PollSchedule(1_000.0, random.Random(3))
    waits = [schedule.next_wait(False, 0.0) for _ in range(6)]
    schedule.record_complete_line()
    assert schedule.next_wait(False, 0.0) <= 1_000.0 * BASE_WAIT_FRACTION * 2.0 * 1.3 < max(waits)
    assert all(0.0 <= schedule.initial_wait() <= 300.0 for _ in range(50))


def test_after_a_failed_urgent_call_another_follows_within_the_time_for_a_drain() -> None:
    schedule = PollSchedule(10_000.0, random.Random(4))
    first = schedule.next_wait(True, 1_000.0)
    second = schedule.next_wait(True, 1_002.0 + first)
    # Late enough not to meet the same refusal.
    assert first < URGENT_JITTER_MS and URGENT_RETRY_MS <= second <= 2.0 * URGENT_RETRY_MS
    assert schedule.next_wait(True, 1_010.0 + first + second) > 250.0  # the budget is spent
    schedule.record_complete_line()
    assert schedule.next_wait(True, 1_000.0 + 3.0 * URGENT_REFILL_MS) < URGENT_JITTER_MS


def test_an_unresponsive_watch_is_followed_by_a_call_in_time_for_any_settings() -> None:
    # What a watch misses counts as notified 6 s after its last line. That it is unresponsive is
    # noticed after 2.15 s, and the call takes time as well.
    for within_ms in (0.0, 100.0, 10_000.0, 60_000.0, 3_600_000.0):
        waits = [
            PollSchedule(within_ms, random.Random(n)).next_wait(False, 0.0) for n in range(200)
        ]
        assert MIN_WAIT_MS <= min(waits) and max(waits) <= 1.3 * MAX_WAIT_MS


def test_a_local_agent_is_called_at_once_but_at_a_bounded_rate() -> None:
    schedule, now, calls = PollSchedule(10_000.0, random.Random(5), agent=True), 1_000.0, 0
    while now < 3_000.0:  # the agent accepts each call and ends it at once
        now += schedule.next_wait(calls % 2 == 0, now)
        calls += 1
    assert 2_000.0 / AGENT_INTERVAL_MS - 2 <= calls <= 2_000.0 / AGENT_INTERVAL_MS + 2
    schedule.record_complete_line()
    assert schedule.next_wait(True, 5_000.0) == 0.0
