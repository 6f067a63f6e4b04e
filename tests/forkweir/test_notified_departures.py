"""A notified departure outranks older lists unless the server has started since; the time and the
number of departures are bounded.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from forkweir.known.departures import HOLD_MS, MAX_DEPARTURES, Departures

small = st.integers(0, 5)


@given(small, small, small, small)
def test_only_an_older_list_of_the_same_start_is_outranked(
    left: int, listed: int, started: int, again: int
) -> None:
    departures = Departures()
    departures.record("s0", left, float(started), 0.0)
    assert departures.outranks("s0", listed, float(again), 1.0) == (
        listed < left and again <= started
    )
    assert not departures.outranks("s1", listed, float(again), 1.0)


def test_a_departure_expires_and_a_return_ends_it() -> None:
    departures = Departures()
    departures.record("s0", 5, 0.0, 0.0)
    assert departures.outranks("s0", 4, 0.0, HOLD_MS) and not departures.outranks(
        "s0", 4, 0.0, HOLD_MS + 1.0
    )
    # An older list with the same departure neither renews nor extends it.
    departures.record("s0", 4, 0.0, 9_000.0)
    assert not departures.outranks("s0", 4, 0.0, HOLD_MS + 1.0)
    departures.record("s0", 6, 0.0, 9_000.0)
    assert departures.outranks("s0", 5, 0.0, HOLD_MS + 1.0)
    departures.forget("s0")
    assert not departures.outranks("s0", 5, 0.0, 9_001.0)


def test_departures_are_bounded() -> None:
    departures = Departures()
    for n in range(MAX_DEPARTURES + 10):
        departures.record(f"s{n}", 5, 0.0, 0.0)
    assert not departures.outranks("s9", 4, 0.0, 1.0) and departures.outranks(
        f"s{MAX_DEPARTURES + 9}", 4, 0.0, 1.0
    )
    assert len(departures._latest) == MAX_DEPARTURES
