"""Retry budgets: a share of the requests, saved up to a maximum. Pure: no I/O, no clock.

Each request earns a share of a retry and each retry costs one. Over any span there are at most
(share * requests + MAX_SAVED) retries, however much fails, and any number of nodes together send no
more than that share of what all their clients ask.

There are two budgets. Most retries follow an attempt that has cost its server the work, or still
does: RETRY_SHARE. An error that came back at once has cost next to nothing, so that its retry is
all the work there is: QUICK_ERROR_SHARE. With a single budget for lost work, the errors of half a
fleet that fails at once would use it up within a second and be passed on to clients.
"""

from __future__ import annotations

MAX_SAVED = 10.0
# Earned by each request for retries of attempts that may have cost work.
RETRY_SHARE = 0.1
# Earned by each request for retries of quick errors.
QUICK_ERROR_SHARE = 0.5


class RetryBudget:
    """One budget of retries."""

    __slots__ = ("share", "saved")

    def __init__(self, share: float) -> None:
        self.share = share
        self.saved = MAX_SAVED

    def earn(self) -> None:
        """Add the share of a request that came in."""
        self.saved = min(MAX_SAVED, self.saved + self.share)

    @property
    def may_retry(self) -> bool:
        """Whether one more retry may be sent."""
        return self.saved >= 1.0

    def spend(self) -> None:
        """Take the cost of a retry that is sent."""
        self.saved -= 1.0
