"""When a starting process may serve."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from forkweir.limits.readiness import (
    AGENT_WAIT_MS,
    LIVE_PREDECESSOR_WAIT_MS,
    MAX_REFUSED_CALLS,
    MAX_WAIT_MS,
    Readiness,
)

# The platform: any process is up in 30 s, a restarted node in 6 s, of which the interpreter
# takes up to 1.5 s.
UP_LIMIT_MS, RESTART_LIMIT_MS = 30_000.0, 4_500.0


@given(st.booleans(), st.floats(0.0, 60_000.0), st.integers(0, 5), st.booleans())
def test_a_process_serves_once_it_has_a_list_and_within_a_bound(
    pushed: bool, waited_ms: float, refused_calls: int, predecessor_serves: bool
) -> None:
    readiness = Readiness(pushed)
    assert readiness.may_serve(waited_ms, True, refused_calls, predecessor_serves)
    limit_ms = UP_LIMIT_MS / 2.0 if predecessor_serves else RESTART_LIMIT_MS
    if waited_ms >= limit_ms:
        assert readiness.may_serve(waited_ms, False, refused_calls, predecessor_serves)


@pytest.mark.parametrize(
    ("pushed", "predecessor_serves", "limit_ms"),
    [
        (True, False, AGENT_WAIT_MS),
        (True, True, AGENT_WAIT_MS),
        (False, False, MAX_WAIT_MS),
        (False, True, LIVE_PREDECESSOR_WAIT_MS),
    ],
)
def test_without_a_list_it_waits_until_its_limit(
    pushed: bool, predecessor_serves: bool, limit_ms: float
) -> None:
    readiness = Readiness(pushed)
    assert not readiness.may_serve(limit_ms - 1.0, False, 0, predecessor_serves)
    assert readiness.may_serve(limit_ms, False, 0, predecessor_serves)


def test_refused_calls_end_the_wait_unless_another_process_serves() -> None:
    readiness = Readiness(pushed=False)
    assert not readiness.may_serve(0.0, False, MAX_REFUSED_CALLS - 1, False)
    assert readiness.may_serve(0.0, False, MAX_REFUSED_CALLS, False)
    assert not readiness.may_serve(0.0, False, MAX_REFUSED_CALLS, True)
