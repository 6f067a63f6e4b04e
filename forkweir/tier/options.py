"""What all nodes of a tier must share: the constants that an operator may change."""

from __future__ import annotations

from dataclasses import dataclass

# Between two probes of `members`, and two heartbeats of a leader.
DEFAULT_PERIOD_MS = 500.0
# Fraction of its own limit that a node has without a lease.
DEFAULT_FLOOR = 0.5
# In a larger tier heartbeats are less frequent, to limit the leader's datagrams per second.
MAX_NODES_AT_FULL_RATE = 200
# Minimum number of calls of `Tier.tick` in a period.
TICKS_PER_PERIOD = 4


@dataclass(frozen=True, slots=True)
class Options:
    """Options of a tier.

    floor: 0 to 1; period_ms: 20 and more. Both must be the same at all nodes of a tier.

    The others may differ between nodes: shares and fetches: whether this node takes part in the
    limits on work to cold boxes and on fetches in flight; line: whether it cuts its ranges from the
    shared line; signals: whether it sends and applies evidence about boxes.
    """

    floor: float = DEFAULT_FLOOR
    period_ms: float = DEFAULT_PERIOD_MS
    shares: bool = True
    # These three are off as they brought no gain at full size (docs/tier.md).
    fetches: bool = False
    line: bool = False
    signals: bool = False

    def heartbeat_ms(self, count: int) -> float:
        """Ms between two heartbeats of the leader of a tier of `count` nodes."""
        return self.period_ms * max(1.0, count / MAX_NODES_AT_FULL_RATE)
