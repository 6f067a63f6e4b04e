"""The lower bound of the time at which a client wrote the last byte of a streamed body."""

from __future__ import annotations

from collections import deque
from typing import Optional

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corkshift.body_arrival import CATCH_UP_MS, MAX_UNREAD_BYTES, BodyArrival

READ_BYTES = 1_000  # limit of one read, and of the buffer at which reading pauses
WINDOW_BYTES = 700  # what the node's machine takes while reading pauses


class Model:
    """A client, its send buffer, the node's socket and a reader on one clock.

    The client writes the pieces in turn. Its machine sends what the window allows, at most one
    window between two steps. Input is read as it comes, but while the buffer is full.
    """

    def __init__(self, length: int, sized: bool) -> None:
        self.now = 0.0
        self.length = length
        self.written = self.in_send_buffer = self.in_socket = 0
        self.buffer: deque[int] = deque()
        self.parsed = 0
        self.last_byte_written_ms: Optional[float] = None
        self.arrival = BodyArrival(0.0, length if sized else None, 0, lambda: 0.0)
        self.arrival.record_parsed_all()

    def write(self, size: int) -> None:
        size = min(size, self.length - self.written)
        self.written += size
        self.in_send_buffer += size
        if size and self.written == self.length:
            self.last_byte_written_ms = self.now
        self.step()

    def step(self, most: int = WINDOW_BYTES) -> None:
        """Send what the window allows, at most `most` bytes, then read once."""
        sent = min(self.in_send_buffer, WINDOW_BYTES - self.in_socket, most)
        self.in_send_buffer -= sent
        self.in_socket += sent
        if self.in_socket and sum(self.buffer) < READ_BYTES:
            size = min(self.in_socket, READ_BYTES)
            self.in_socket -= size
            self.buffer.append(size)
            self.arrival.record_read(
                self.now, size, size < READ_BYTES and sum(self.buffer) < READ_BYTES
            )

    def parse(self) -> None:
        if self.buffer:
            self.parsed += self.buffer.popleft()

    def wait(self) -> None:
        """The reader has handed on what it parsed, and waits for more."""
        if not self.buffer and self.parsed < self.length:
            self.arrival.record_parsed_all()

    def wait_and_pass(self, passed_ms: float) -> None:
        """Time passes, in which the client's machine sends what it can at once."""
        steps = 20  # more windows than the longest body has
        for _ in range(steps):
            self.step()
        self.now += passed_ms


@settings(max_examples=500, deadline=None)
@given(
    length=st.integers(1, 12_000),
    sized=st.booleans(),
    steps=st.lists(
        st.one_of(
            st.tuples(st.just("write"), st.integers(1, 4_000)),
            st.tuples(st.just("pass"), st.floats(0.0, 3.0 * CATCH_UP_MS)),
            st.tuples(st.just("step"), st.integers(1, WINDOW_BYTES)),
            st.tuples(st.just("parse"), st.just(0)),
            st.tuples(st.just("wait"), st.just(0)),
        ),
        max_size=60,
    ),
)
def test_the_bound_never_exceeds_the_time_of_the_last_byte(
    length: int, sized: bool, steps: list[tuple[str, float]]
) -> None:
    # A deadline that runs from a later time lets the answer come after the client's time.
    model, before = Model(length, sized), 0.0
    for kind, value in steps:
        if kind == "write":
            model.write(int(value))
        elif kind == "pass":
            model.wait_and_pass(value)
        elif kind == "step":
            model.step(int(value))
        elif kind == "parse":
            model.parse()
        else:
            model.wait()
        bound = model.arrival.not_before_ms(model.now)
        assert before <= bound <= model.now
        if model.last_byte_written_ms is not None:
            assert bound <= model.last_byte_written_ms
        before = bound


@pytest.mark.parametrize("sized", [True, False])
def test_the_bound_follows_a_client_that_writes_slowly(sized: bool) -> None:
    # A client that pauses for longer than it waits for its answer must not run out of time.
    model = Model(1_000, sized)
    for _ in range(9):
        model.now += 5_000.0
        assert model.arrival.not_before_ms(model.now) == model.now
        model.write(100)
        model.parse()
        model.wait()
    assert model.arrival.not_before_ms(model.now + 1_000.0) == model.now + 1_000.0


def test_the_bound_follows_a_client_that_is_known_not_to_have_finished() -> None:
    # While its server hangs, nobody parses what a slow client has sent meanwhile.
    model = Model(1_000, sized=True)
    model.write(400)
    model.now += 5_000.0
    assert model.arrival.not_before_ms(model.now) == model.now


def test_a_socket_found_empty_just_after_a_pause_does_not_show_that_the_client_still_writes() -> (
    None
):
    # What the client wrote before the pause follows only once its machine is told of the room.
    model = Model(5_000, sized=True)
    model.write(5_000)
    model.step()  # the buffer is full now
    model.now += 600.0
    model.parse()
    model.parse()
    model.step(300)
    assert model.in_socket < WINDOW_BYTES and model.in_send_buffer
    assert model.arrival.not_before_ms(model.now) == 0.0


def test_the_bound_follows_again_some_time_after_a_pause_in_reading() -> None:
    # A pause in reading must not take away the time of a client that writes on for long after it.
    arrival = BodyArrival(0.0, 10_000, 0, lambda: 0.0)
    arrival.record_read(500.0, 1_000, keeps_up=False)
    arrival.record_read(1_000.0, 1_000, keeps_up=True)
    assert arrival.not_before_ms(1_000.0 + 0.5 * CATCH_UP_MS) == 500.0
    assert arrival.not_before_ms(1_000.0 + CATCH_UP_MS) == 1_000.0 + CATCH_UP_MS


def test_the_bound_follows_a_body_that_exceeds_all_buffers() -> None:
    # A long body that is taken steadily must not run out of time before its client has written it.
    part = MAX_UNREAD_BYTES + 1
    sized = BodyArrival(0.0, 4 * part, 0, lambda: 0.0, keeps_up=False)
    chunked = BodyArrival(0.0, None, 0, lambda: 0.0, keeps_up=False)
    for n in range(1, 4):
        sized.record_read(1_000.0 * n, part, keeps_up=False)
        chunked.record_read(1_000.0 * n, part, keeps_up=False)
    assert sized.not_before_ms(9_000.0) == 3_000.0  # one part is out, more than buffers hold
    assert chunked.not_before_ms(9_000.0) == 2_000.0


def test_time_for_which_input_was_unread_counts() -> None:
    # After a stall of the node, bytes may have come any time since it began.
    arrival = BodyArrival(0.0, 1_000, 0, lambda: 300.0)
    arrival.record_read(1_000.0, 100, keeps_up=True)
    assert arrival.not_before_ms(1_000.0) == 700.0
