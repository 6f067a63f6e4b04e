"""How quick servers are, as far as answers and load reports tell. Pure, no I/O, no clock.

Speeds are pooled by kind: a node among many meets one server too rarely to judge it alone.

Bounds: five floats for each kind that the list names, two a server.
"""

from __future__ import annotations

from forkweir.settings import Settings

PEER_EVIDENCE = (
    3.0  # busy seconds' worth of its kind's estimate that a server's own is held against
)
LEAST_SERVED_MS = 5_000.0  # of hits of a kind before its quickness counts


class Pace:
    """What load reports told of one server: requests a second and busy cores, summed over reports."""

    __slots__ = ("rate", "busy")

    def __init__(self) -> None:
        self.rate = 0.0
        self.busy = 0.0


class Speeds:
    """What is known of each kind of server."""

    __slots__ = ("served", "kinds", "best", "rate_at", "busy_at")

    def __init__(self, settings: Settings) -> None:
        self.served: dict[str, list[float]] = {}  # of a kind: hinted work and time taken by hits
        self.kinds: dict[str, list[float]] = {}
        self.best = 0.0  # capacity for each unit of weight of the quickest kind
        columns = settings.load_columns
        self.rate_at = columns.index("rate") if "rate" in columns else -1
        self.busy_at = columns.index("busy") if "busy" in columns else -1

    def pace(self, kind: str, own: Pace, weight: float) -> float:
        """A server's capacity for each unit of weight, as a part of the quickest kind's."""
        known = self.kinds.get(kind)
        if known is None or self.best <= 0.0:
            return 1.0
        rate = (own.rate + PEER_EVIDENCE * known[0] / known[1]) / (own.busy + PEER_EVIDENCE)
        return min(1.0, rate / weight / self.best)

    def report(self, kind: str, own: Pace, weight: float, load: list[float]) -> None:
        """Learn speed from a load report: requests a second for each busy core."""
        if self.rate_at < 0 or self.busy_at < 0 or len(load) <= max(self.rate_at, self.busy_at):
            return
        rate, busy = load[self.rate_at], load[self.busy_at]
        if busy <= 0.02 or rate <= 0.0:
            return
        own.rate += rate
        own.busy += busy
        known = self.kinds.setdefault(kind, [0.0, 0.0, 0.0])
        known[0] += rate
        known[1] += busy
        known[2] += busy * weight
        self.best = max((k[0] / k[2] for k in self.kinds.values() if k[1] > 2.0), default=0.0)

    def hit(self, kind: str, work_ms: float, elapsed_ms: float) -> None:
        """A server of a kind answered a hit of so much hinted work in so many ms."""
        served = self.served.setdefault(kind, [0.0, 0.0])
        served[0] += work_ms
        served[1] += elapsed_ms

    def quickness(self, kind: str) -> float:
        """Hinted work done in a millisecond by servers of a kind, 0 while unknown."""
        work, took = self.served.get(kind, (0.0, 0.0))
        return work / took if took > LEAST_SERVED_MS else 0.0
