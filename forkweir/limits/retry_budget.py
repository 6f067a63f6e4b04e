"""Budgets of repeats: a share of the requests, saved up to a bound. Pure, no I/O, no clock.

Each request earns a share, each repeat costs one whole. So over any span there are at most (share x requests + bank) repeats,
however much goes wrong, and of any number of nodes together no more than that share of what all their clients ask.

Two are kept apart. Most repeats follow an attempt that has cost its server its work, or still does: REPEATS. An error that came
back at once has cost next to nothing, so that its repeat is all the work there is: ERRORS (guards against half of a fleet that
fails at once being passed on to clients, as savings meant for lost work run out in a second).
"""

from __future__ import annotations

MAX_SAVED = 10.0  # saved up at most
RETRY_SHARE = 0.1  # earned by each request for repeats of attempts that may have cost work,
QUICK_ERROR_SHARE = 0.5  # and for those of quick errors


class RetryBudget:
    """What is left for one sort of repeats."""

    __slots__ = ("share", "saved")

    def __init__(self, share: float) -> None:
        self.share = share
        self.saved = MAX_SAVED

    def earn(self) -> None:
        """A request came in."""
        self.saved = min(MAX_SAVED, self.saved + self.share)

    @property
    def may_retry(self) -> bool:
        """Whether one more repeat may be sent."""
        return self.saved >= 1.0

    def spend(self) -> None:
        """A repeat goes out."""
        self.saved -= 1.0
