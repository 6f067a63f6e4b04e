"""The check before each send: every limit less the allowed stall, and violations of the limits."""

from __future__ import annotations

from dataclasses import replace
from math import inf
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from forkweir.send_guard import (
    CLIENT_MARGIN_MS,
    DEADLINE_SLACK_MS,
    MAX_STALL_MS,
    SOCKET_SLACK_MS,
    Denial,
    SendGuard,
    SendState,
    announced_wait_ms,
)

GRACE, WINDOW, NOW = 250.0, 4_000.0, 1_000_000.0
FREE = SendState(
    client_waiting=True,
    departure_ms=None,
    first_sent_ms=None,
    repeat_window_ms=None,
    deadline_ms=NOW + 1_000.0,
)

# The state of the attempt, and the denial and the violation that follow at NOW.
CASES: dict[str, tuple[dict[str, Any], Denial | None, Denial | None]] = {
    "free": ({}, None, None),
    "no deadline": ({"deadline_ms": inf}, None, None),
    "gone": ({"client_waiting": False}, Denial.CLIENT_GONE, None),
    "drain, a stall before the grace is over": (
        {"departure_ms": NOW - GRACE + MAX_STALL_MS},
        None,
        None,
    ),
    "drain, less than a stall left": (
        {"departure_ms": NOW - GRACE + MAX_STALL_MS - 1.0},
        Denial.DRAINING,
        None,
    ),
    "drain, within the slack": (
        {"departure_ms": NOW - GRACE - SOCKET_SLACK_MS},
        Denial.DRAINING,
        None,
    ),
    "drain, over": (
        {"departure_ms": NOW - GRACE - SOCKET_SLACK_MS - 1.0},
        Denial.DRAINING,
        Denial.DRAINING,
    ),
    "never sent": ({"repeat_window_ms": WINDOW}, None, None),
    "window": (
        {"repeat_window_ms": WINDOW, "first_sent_ms": NOW - WINDOW + MAX_STALL_MS},
        None,
        None,
    ),
    "window, less than a stall left": (
        {"repeat_window_ms": WINDOW, "first_sent_ms": NOW - WINDOW + MAX_STALL_MS - 1.0},
        Denial.REPEAT_WINDOW,
        None,
    ),
    "window, over": (
        {"repeat_window_ms": WINDOW, "first_sent_ms": NOW - WINDOW - SOCKET_SLACK_MS - 1.0},
        Denial.REPEAT_WINDOW,
        Denial.REPEAT_WINDOW,
    ),
    "out of time": ({"deadline_ms": NOW}, Denial.OUT_OF_TIME, None),
    "announced what is left": ({"announced_ms": 995}, None, None),
    "announced a little too much": ({"announced_ms": 1_060}, Denial.STALE_DEADLINE, None),
    "announced far too much": (
        {"announced_ms": 1_000 + int(DEADLINE_SLACK_MS) + 1},
        Denial.STALE_DEADLINE,
        Denial.STALE_DEADLINE,
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_each_limit_is_applied_with_its_margin_and_counted(case: str) -> None:
    changes, denial, violation = CASES[case]
    guard = SendGuard(GRACE)
    state = replace(FREE, **changes)
    assert guard.check(state, NOW) == denial
    assert guard.violated(state, NOW) == violation
    assert {cause for cause, count in guard.denied.items() if count} == (
        {denial} if denial else set()
    )
    assert {cause for cause, count in guard.violations.items() if count} == (
        {violation} if violation else set()
    )


@given(
    st.floats(0.0, 2_000.0),
    st.floats(0.0, 2_000.0),
    st.floats(0.0, 6_000.0),
    st.floats(0.0, 6_000.0),
    st.floats(1.0, 5_000.0),
    st.floats(0.0, MAX_STALL_MS),
)
def test_a_permitted_send_violates_nothing_after_any_stall(
    grace: float, left: float, window: float, sent: float, deadline: float, stall: float
) -> None:
    guard = SendGuard(grace)
    state = SendState(
        True, NOW - left, NOW - sent, window, NOW + deadline, announced_wait_ms(inf, deadline)
    )
    if guard.check(state, NOW) is None:
        assert guard.violated(state, NOW + stall) is None


@given(st.floats(-100.0, 10_000.0), st.floats(-100.0, 10_000.0))
def test_the_announced_wait_never_exceeds_what_either_side_has_left(
    within: float, left: float
) -> None:
    announced = announced_wait_ms(within, left)
    assert announced >= 1
    assert announced == 1 or (announced <= within and announced <= left - CLIENT_MARGIN_MS)
