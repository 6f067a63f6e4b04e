"""When discovery is asked again: at once after a loss, but never faster than its budget, and spread out otherwise."""

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

NOTIFIED_MS = (
    6_000.0  # after discovery had a change and could be reached, the change counts as notified
)


def test_a_loss_is_asked_about_at_once_and_the_next_failure_waits() -> None:
    asking = PollSchedule(10_000.0, random.Random(1))
    assert asking.next_wait(True, 1_000.0) < URGENT_JITTER_MS
    assert MAX_WAIT_MS * 0.3 <= asking.next_wait(False, 1_010.0) <= MAX_WAIT_MS * 1.3


@pytest.mark.parametrize("within_ms", [0.0, 1_000.0, 10_000.0, 60_000.0, 3_600_000.0])
@pytest.mark.parametrize("lost", [False, True])
def test_a_service_that_always_fails_is_asked_within_the_bound_and_not_faster_than_its_budget(
    lost: bool, within_ms: float
) -> None:
    # Before, each failure doubled the wait, up to 10.4 s: a change was notified and the node did not ask (incident of 2026-12-02).
    # Three refused calls in a row fit into the time by which a change counts as notified, wherever in a wait it is made.
    asking, now, at = PollSchedule(within_ms, random.Random(2)), 0.0, []
    while now < 120_000.0:
        now += asking.next_wait(lost, now)
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
    # Guards against all nodes asking in one moment: of 200 that failed at once, no tenth of a second has a fifth of the next calls.
    waits = [PollSchedule(10_000.0, random.Random(n)).next_wait(False, 0.0) for n in range(200)]
    assert (
        max(sum(start <= wait < start + 100.0 for wait in waits) for start in range(0, 1_400, 50))
        < 40
    )


def test_after_a_move_the_waits_begin_anew() -> None:
    asking = PollSchedule(1_000.0, random.Random(3))
    waits = [asking.next_wait(False, 0.0) for _ in range(6)]
    asking.reset()
    assert asking.next_wait(False, 0.0) <= 1_000.0 * BASE_WAIT_FRACTION * 2.0 * 1.3 < max(waits)
    assert asking.next_wait(True, 1.0) < URGENT_JITTER_MS


def test_a_node_that_starts_asks_in_time_whatever_the_settings_give() -> None:
    for within_ms in (0.0, 10_000.0, 3_600_000.0):
        asking = PollSchedule(within_ms, random.Random(6))
        assert all(0.0 <= asking.initial_wait() <= MAX_INITIAL_WAIT_MS for _ in range(200))


def test_a_whole_fleet_that_loses_every_line_stays_within_the_sum() -> None:
    # 40 nodes of which each gets its list and loses the next line a moment later, for 20 s.
    calls: list[float] = []
    for n in range(40):
        asking, now = PollSchedule(10_000.0, random.Random(n)), 0.0
        while now < 20_000.0:
            now += asking.next_wait(True, now)
            calls.append(now)
            asking.record_line()
            now += 20.0
    assert sum(at < 100.0 for at in calls) <= 40 * (MAX_URGENT_CALLS + 1)
    late = sum(10_000.0 <= at < 20_000.0 for at in calls)
    assert late <= 40 * 10_000.0 / URGENT_REFILL_MS + 40 * 10_000.0 / (
        10_000.0 * BASE_WAIT_FRACTION * 2.0 * 0.3
    )


def test_after_a_good_line_the_waits_begin_anew() -> None:
    asking = PollSchedule(1_000.0, random.Random(3))
    waits = [asking.next_wait(False, 0.0) for _ in range(6)]
    asking.record_line()
    assert asking.next_wait(False, 0.0) <= 1_000.0 * BASE_WAIT_FRACTION * 2.0 * 1.3 < max(waits)
    assert all(0.0 <= asking.initial_wait() <= 300.0 for _ in range(50))


def test_a_loss_that_is_still_owed_is_asked_about_again_within_a_drains_time() -> None:
    asking = PollSchedule(10_000.0, random.Random(4))
    first = asking.next_wait(True, 1_000.0)
    second = asking.next_wait(True, 1_002.0 + first)
    assert (
        first < URGENT_JITTER_MS and URGENT_RETRY_MS <= second <= 2.0 * URGENT_RETRY_MS
    )  # not into the same refusal
    assert asking.next_wait(True, 1_010.0 + first + second) > 250.0  # its budget is spent
    asking.record_line()
    assert asking.next_wait(True, 1_000.0 + 3.0 * URGENT_REFILL_MS) < URGENT_JITTER_MS


def test_whatever_the_settings_give_a_silent_watch_is_asked_about_in_time() -> None:
    # What it misses counts as told 6 s after it fell silent; it is found after 2.15 s, and the call takes a while too.
    for within_ms in (0.0, 100.0, 10_000.0, 60_000.0, 3_600_000.0):
        waits = [
            PollSchedule(within_ms, random.Random(n)).next_wait(False, 0.0) for n in range(200)
        ]
        assert MIN_WAIT_MS <= min(waits) and max(waits) <= 1.3 * MAX_WAIT_MS


def test_an_agent_on_this_machine_is_called_at_once_but_not_without_end() -> None:
    asking, now, calls = PollSchedule(10_000.0, random.Random(5), agent=True), 1_000.0, 0
    while now < 3_000.0:  # it takes the calls and ends them, at once
        now += asking.next_wait(calls % 2 == 0, now)
        calls += 1
    assert 2_000.0 / AGENT_INTERVAL_MS - 2 <= calls <= 2_000.0 / AGENT_INTERVAL_MS + 2
    asking.record_line()
    assert asking.next_wait(True, 5_000.0) == 0.0
