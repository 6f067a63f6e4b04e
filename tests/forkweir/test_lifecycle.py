"""The node's duty: what may stay while it drains, by example and over any steps."""

from __future__ import annotations

from math import ceil

from hypothesis import given
from hypothesis import strategies as st

from forkweir.limits.lifecycle import DRAIN_MS, ENDING, QUIESCED, SERVING, Lifecycle


def test_a_node_that_drains_says_no_until_it_is_put_back() -> None:
    duty = Lifecycle()
    assert duty.accepts_clients and duty.keeps_connections
    assert duty.quiesce(100.0) and not duty.accepts_clients and not duty.keeps_connections
    assert (
        duty.resume(5_000.0)
        and duty.accepts_clients
        and duty.keeps_connections
        and duty.share_to_close(9_000.0, 200.0) == 0.0
    )


def test_told_twice_it_drains_from_the_first_call_on() -> None:
    duty = Lifecycle()
    duty.quiesce(0.0)
    assert duty.quiesce(DRAIN_MS - 1.0) and duty.since_ms == 0.0 and duty.drain_over(DRAIN_MS)


def test_one_that_ends_can_neither_be_drained_nor_put_back() -> None:
    duty = Lifecycle()
    duty.quiesce(0.0)
    duty.end(10.0)
    assert duty.state == ENDING and not duty.quiesce(20.0) and not duty.resume(20.0)
    assert (
        duty.state == ENDING
        and not duty.keeps_connections
        and duty.share_to_close(30.0, 200.0) == 0.0
    )


@given(idle=st.integers(0, 500), steps=st.lists(st.floats(1.0, 700.0), min_size=1, max_size=60))
def test_all_idle_connections_are_closed_by_the_end_however_the_steps_fall(
    idle: int, steps: list[float]
) -> None:
    duty, now = Lifecycle(), 0.0
    duty.quiesce(now)
    for step in steps:
        now += step
        part = duty.share_to_close(now, 200.0)
        assert 0.0 < part <= 1.0
        idle -= min(idle, ceil(part * idle))
        if now >= DRAIN_MS - 200.0:
            assert idle == 0


@given(st.integers(10, 500))
def test_steps_of_equal_length_close_nearly_equal_parts(idle: int) -> None:
    duty, closed = Lifecycle(), []
    duty.quiesce(0.0)
    left = idle
    for n in range(1, 10):
        due = ceil(duty.share_to_close(n * 200.0, 200.0) * left)
        closed.append(due)
        left -= due
    assert left == 0 and max(closed) <= ceil(idle / 8) + 1


@given(st.lists(st.sampled_from(["quiesce", "resume", "end"]), max_size=20))
def test_the_end_is_the_only_state_without_a_way_back(calls: list[str]) -> None:
    duty, ended = Lifecycle(), False
    for n, call in enumerate(calls):
        taken = getattr(duty, call)(float(n))
        ended = ended or call == "end"
        if ended:
            assert duty.state == ENDING and not taken
        else:
            assert taken and duty.state == {"quiesce": QUIESCED, "resume": SERVING}[call]
