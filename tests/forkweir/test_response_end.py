"""Until when a response that may be small is waited for."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from forkweir.limits.response_end import (
    BURST_MS,
    FINAL_ANSWER_SLACK_MS,
    MAX_REST_MS,
    MIN_BYTES_PER_MS,
    ResponseEnd,
)

HEAD_MS = 100.0
LEFT_MS = st.integers(-5_000, 5_000)
GAP_MS = st.integers(int(BURST_MS), int(MAX_REST_MS))


def end_after(gaps_ms: list[int], size: int, maybe_large: bool = True) -> tuple[ResponseEnd, float]:
    """A response with pieces of one size, and the time of the last of them."""
    end, now = ResponseEnd(HEAD_MS, maybe_large), HEAD_MS
    for gap_ms in gaps_ms:
        now += gap_ms
        end.record_read(now, size)
    return end, now


@given(LEFT_MS, st.integers(1, 60_000), GAP_MS)
def test_a_server_may_rest_behind_the_head_and_the_first_bytes(
    left_ms: int, size: int, rest_ms: int
) -> None:
    end, now = end_after([rest_ms], size)
    assert end.wait_ms(now, left_ms) == max(left_ms + FINAL_ANSWER_SLACK_MS, MAX_REST_MS)


@given(LEFT_MS, GAP_MS, st.integers(4, 50))
def test_small_pieces_do_not_prolong_a_response(left_ms: int, gap_ms: int, count: int) -> None:
    end, now = end_after([gap_ms] * count, int(MIN_BYTES_PER_MS * gap_ms) - 1)
    assert end.wait_ms(now, left_ms) == left_ms + FINAL_ANSWER_SLACK_MS


@given(LEFT_MS, GAP_MS, st.integers(1, 50))
def test_a_response_that_its_server_gives_is_not_cut_off(
    left_ms: int, gap_ms: int, count: int
) -> None:
    end, now = end_after([gap_ms] * count, int(MIN_BYTES_PER_MS * gap_ms) + 1)
    assert end.wait_ms(now, left_ms) >= MAX_REST_MS


@given(LEFT_MS, st.integers(0, 5_000), st.integers(0, 9))
def test_a_small_response_ends_by_its_clients_time_less_what_the_client_took(
    left_ms: int, client_wait_ms: int, count: int
) -> None:
    end, now = end_after([10] * count, 60_000, maybe_large=False)
    end.record_client_wait(client_wait_ms)
    assert end.wait_ms(now, left_ms) == left_ms + FINAL_ANSWER_SLACK_MS + client_wait_ms
