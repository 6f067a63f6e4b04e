"""What all nodes of a tier must share: the constants that an operator may change."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_PERIOD_MS = 500.0  # between two questions of `members`, and two beats of a keeper
DEFAULT_FLOOR = 0.5  # of what a node takes by itself: what it has when it hears nobody
MAX_NODES_AT_FULL_RATE = (
    200  # nodes; a keeper of more has longer beats, so that it handles no more datagrams a second
)
TICKS_PER_PERIOD = 4  # of a caller's clock in a period, at least


@dataclass(frozen=True, slots=True)
class Options:
    """floor: 0 to 1; period_ms: 20 and more. shares, fetches, line, signals: whether this node has its part of what cold boxes get, and of
    the fetches in flight, cuts from the common line, and tells and heeds what is seen of boxes.

    The first two must be the same at all nodes of a tier, the others need not be.
    """

    floor: float = DEFAULT_FLOOR
    period_ms: float = DEFAULT_PERIOD_MS
    shares: bool = True
    fetches: bool = False  # these three did not pay at full size (docs/tier.md)
    line: bool = False
    signals: bool = False

    def heartbeat_ms(self, count: int) -> float:
        """Between two calls of the keeper of so many nodes."""
        return self.period_ms * max(1.0, count / MAX_NODES_AT_FULL_RATE)
