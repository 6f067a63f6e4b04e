"""Listed start times read on a clock that may be an hour off in either direction."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from forkweir.known.start_times import MAX_ANNOUNCEMENT_DELAY_MS, MAX_SERVERS, StartTimes
from forkweir.settings import Server

NOW, HOUR = 1_000_000_000.0, 3_600_000.0


@pytest.mark.parametrize("off", [-HOUR, 0.0, HOUR])
def test_a_server_that_appears_later_is_new_on_any_clock(off: float) -> None:
    starts, now = StartTimes(), NOW + off
    assert starts.localize(Server("old"), True, now).started_ms == 0.0
    fresh = starts.localize(Server("s1", started_ms=NOW - 500.0), False, now)
    assert now - 500.0 <= fresh.started_ms <= now
    again = starts.localize(Server("s1", started_ms=NOW - 500.0), False, now + 10_000.0)
    assert again.started_ms == fresh.started_ms  # reading the start again doesn't change it


def test_a_clock_that_agrees_with_announced_start_times_is_trusted() -> None:
    starts = StartTimes()
    starts.localize(Server("s1", started_ms=NOW - HOUR), False, NOW)
    # The clock isn't known to agree yet.
    assert starts.localize(Server("s2", started_ms=NOW - HOUR), False, NOW).started_ms == NOW
    assert (
        starts.localize(
            Server("s3", started_ms=NOW - MAX_ANNOUNCEMENT_DELAY_MS), False, NOW
        ).started_ms
        == NOW - MAX_ANNOUNCEMENT_DELAY_MS
    )
    # An old server that joins late.
    assert starts.localize(Server("s4", started_ms=NOW - HOUR), False, NOW).started_ms == NOW - HOUR


def test_a_first_list_is_trusted_but_never_ahead_of_the_clock() -> None:
    starts = StartTimes()
    assert (
        starts.localize(Server("s1", started_ms=NOW - 5_000.0), True, NOW).started_ms
        == NOW - 5_000.0
    )
    assert starts.localize(Server("s2", started_ms=NOW + HOUR), True, NOW).started_ms == NOW


@given(
    st.lists(
        st.tuples(st.sampled_from(["a", "b", "c"]), st.floats(0.0, 2.0 * NOW), st.booleans()),
        max_size=20,
    )
)
def test_no_start_time_is_ahead_of_the_clock_and_none_changes(
    steps: list[tuple[str, float, bool]],
) -> None:
    starts, now = StartTimes(), NOW
    seen: dict[tuple[str, float], float] = {}
    last: dict[str, float] = {}
    for name, stated, first in steps:
        now += 1_000.0
        got = starts.localize(Server(name, started_ms=stated), first, now).started_ms
        assert got <= now
        if last.get(name) == stated:
            assert got == seen[name, stated]
        seen[name, stated], last[name] = got, stated


def test_start_times_are_bounded() -> None:
    starts = StartTimes()
    for n in range(MAX_SERVERS + 5):
        starts.localize(Server(f"s{n}", started_ms=1.0), True, NOW)
    assert len(starts._known) == MAX_SERVERS
