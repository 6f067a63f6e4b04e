"""Inference of how long a retrying client has already waited. Pure: no I/O, no clock.

A request states how long its client will wait for the answer, and a retry says that it is one. Two
kinds of clients exist. Most count from their first attempt: their retry states the deadline of its
class less the time that has passed. Others give each attempt the same time, less than the
deadline, so that a retry states the same as a first attempt. That says nothing about the time that
has passed, and their first request was mostly given up soon. Treated as the first kind, they would
seem to have waited for the difference and would be given hardly any time.

The time that first attempts state is learned for each class: it is a maximum that decreases by
DECREASE_WEIGHT of the difference at each lower value, so that a few clients in a hurry don't set
the value for all. Memory: one float for each class of the settings.
"""

from __future__ import annotations

DECREASE_WEIGHT = 0.02
# Fraction by which a retry may differ from first attempts and still count as stating the same.
SAME_TOLERANCE = 0.01


class ClientWaits:
    """The time that first attempts state, by class."""

    __slots__ = ("_first",)

    def __init__(self) -> None:
        self._first: dict[str, float] = {}

    def waited_ms(
        self, class_name: str, client_wait_ms: float, is_retry: bool, deadline_ms: float
    ) -> float:
        """Return how long a client waited before it sent this request, in ms; 0 where unknown.

        class_name: the class of the request. client_wait_ms: how long the client states that it
        will wait.
        """
        first = self._first.get(class_name)
        if is_retry:
            same_as_first = (
                first is not None and abs(client_wait_ms - first) <= SAME_TOLERANCE * first
            )
            return 0.0 if same_as_first else max(0.0, deadline_ms - client_wait_ms)
        if first is None or client_wait_ms >= first:
            self._first[class_name] = client_wait_ms
        else:
            self._first[class_name] = first + DECREASE_WEIGHT * (client_wait_ms - first)
        return 0.0
