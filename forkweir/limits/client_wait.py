"""How long a client that repeats has waited, from what it says it still will. Pure, no I/O, no clock.

A request says how long its client will wait for the answer, and a repeat that it is one. Two sorts of clients are met. Most count
on from their first try: what their repeat says is their class's deadline less what has passed. Others give each try the same time,
less than the deadline, and so say of a repeat just what first tries say: that tells nothing of what has passed, and what they asked
first was mostly given up soon. Taken for the former they would have waited for the difference, and be given hardly any time.

What first tries say is learned, by class: a maximum that gives way by EASE of the difference with each first try (a few clients in
a hurry do not pass for all). Bounds: one float for each class of the settings.
"""

from __future__ import annotations

DECREASE_WEIGHT = 0.02
SAME_TOLERANCE = (
    0.01  # a part of what first tries say, by which a repeat that says the same may differ
)


class ClientWaits:
    """What first tries say, by class."""

    __slots__ = ("_first",)

    def __init__(self) -> None:
        self._first: dict[str, float] = {}

    def waited_ms(
        self, class_name: str, budget_ms: float, is_retry: bool, deadline_ms: float
    ) -> float:
        """For how long the client of a request has waited before it sent it, in ms, as far as it tells."""
        first = self._first.get(class_name)
        if is_retry:
            same_as_first = first is not None and abs(budget_ms - first) <= SAME_TOLERANCE * first
            return 0.0 if same_as_first else max(0.0, deadline_ms - budget_ms)
        if first is None or budget_ms >= first:
            self._first[class_name] = budget_ms
        else:
            self._first[class_name] = first + DECREASE_WEIGHT * (budget_ms - first)
        return 0.0
