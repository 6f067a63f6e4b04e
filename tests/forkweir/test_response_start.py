"""When the start of a response is passed on."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from forkweir.limits.response_start import pass_on_times

LEFT_MS = st.floats(1.0, 5_000.0)


@given(LEFT_MS, st.booleans(), st.booleans())
def test_a_response_that_rests_is_passed_on_before_the_attempt_ends(
    left_ms: float, known_large: bool, repeatable: bool
) -> None:
    times = pass_on_times(100.0, left_ms, known_large, repeatable)
    if times.at_rest_ms is None:
        assert not (known_large or repeatable)
    else:
        assert times.with_input_ms < times.at_rest_ms < 100.0 + left_ms


@given(LEFT_MS)
def test_a_response_known_to_be_large_is_passed_on_with_its_first_bytes(left_ms: float) -> None:
    assert pass_on_times(100.0, left_ms, True, False).with_input_ms == 100.0
