"""Lifecycle of a node: which connections may stay while it drains."""

from __future__ import annotations

from math import ceil

from hypothesis import given
from hypothesis import strategies as st

from forkweir.limits.lifecycle import CLOSING, DRAIN_MS, ENDING, QUIESCED, SERVING, Lifecycle


def test_a_draining_node_accepts_no_clients_until_it_resumes() -> None:
    lifecycle = Lifecycle()
    assert lifecycle.accepts_clients and lifecycle.keeps_connections
    assert (
        lifecycle.quiesce(100.0)
        and not lifecycle.accepts_clients
        and not lifecycle.keeps_connections
    )
    assert (
        lifecycle.resume(5_000.0)
        and lifecycle.accepts_clients
        and lifecycle.keeps_connections
        and lifecycle.share_to_close(9_000.0, 200.0) == 0.0
    )


def test_a_second_call_does_not_restart_the_drain() -> None:
    lifecycle = Lifecycle()
    lifecycle.quiesce(0.0)
    assert (
        lifecycle.quiesce(DRAIN_MS - 1.0)
        and lifecycle.since_ms == 0.0
        and lifecycle.drain_over(DRAIN_MS)
    )


def test_an_ending_node_can_neither_drain_nor_resume() -> None:
    lifecycle = Lifecycle()
    lifecycle.quiesce(0.0)
    lifecycle.end(10.0)
    assert lifecycle.state == ENDING and not lifecycle.quiesce(20.0) and not lifecycle.resume(20.0)
    assert (
        lifecycle.state == ENDING
        and not lifecycle.keeps_connections
        and lifecycle.share_to_close(30.0, 200.0) == 0.0
    )


@given(idle=st.integers(0, 500), steps=st.lists(st.floats(1.0, 700.0), min_size=1, max_size=60))
def test_all_idle_connections_are_closed_in_time_for_any_steps(
    idle: int, steps: list[float]
) -> None:
    lifecycle, now = Lifecycle(), 0.0
    lifecycle.quiesce(now)
    for step in steps:
        now += step
        share = lifecycle.share_to_close(now, 200.0)
        assert 0.0 < share <= 1.0
        idle -= min(idle, ceil(share * idle))
        if now >= DRAIN_MS - 200.0:
            assert idle == 0


@given(st.integers(10, 500))
def test_steps_of_equal_length_close_nearly_equal_shares(idle: int) -> None:
    lifecycle, closed = Lifecycle(), []
    lifecycle.quiesce(0.0)
    left = idle
    for n in range(1, 10):
        due = ceil(lifecycle.share_to_close(n * 200.0, 200.0) * left)
        closed.append(due)
        left -= due
    assert left == 0 and max(closed) <= ceil(idle / 8) + 1


@given(st.lists(st.sampled_from(["quiesce", "resume", "end", "close"]), max_size=20))
def test_ending_and_closing_are_the_only_final_states(calls: list[str]) -> None:
    lifecycle, ended, closed, drained = Lifecycle(), False, False, False
    for n, call in enumerate(calls):
        taken = getattr(lifecycle, call)(float(n))
        ended = ended or call == "end"
        closed = closed or call == "close"
        if closed or ended:
            assert lifecycle.state == (CLOSING if closed else ENDING) and not taken
        else:
            drained = call == "quiesce"
            assert taken and lifecycle.state == {"quiesce": QUIESCED, "resume": SERVING}[call]
        assert lifecycle.admits_requests == (not closed)
        assert lifecycle.accepts_clients == (not drained)
