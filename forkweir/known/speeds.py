"""How quick servers are, as far as answers and load reports tell. Pure, no I/O, no clock.

Speeds are pooled by kind: a node among many meets one server too rarely to judge it alone.

Bounds: five floats for each kind that the list names, two a server.
"""

from __future__ import annotations

from forkweir.settings import Settings

KIND_EVIDENCE_S = (
    3.0  # busy seconds' worth of its kind's estimate that a server's own is held against
)
MIN_SERVED_MS = 5_000.0  # of hits of a kind before its quickness counts


class LoadTotals:
    """What load reports told of one server: requests a second and busy cores, summed over reports."""

    __slots__ = ("rate", "busy")

    def __init__(self) -> None:
        self.rate = 0.0
        self.busy = 0.0


class Speeds:
    """What is known of each kind of server."""

    __slots__ = ("served", "kinds", "best_capacity", "rate_column", "busy_column")

    def __init__(self, settings: Settings) -> None:
        self.served: dict[str, list[float]] = {}  # of a kind: hinted work and time taken by hits
        self.kinds: dict[str, list[float]] = {}
        self.best_capacity = 0.0  # capacity for each unit of weight of the quickest kind
        columns = settings.columns
        self.rate_column = columns.index("rate") if "rate" in columns else -1
        self.busy_column = columns.index("busy") if "busy" in columns else -1

    def relative_capacity(self, kind: str, own: LoadTotals, weight: float) -> float:
        """A server's capacity for each unit of weight, as a part of the quickest kind's."""
        known = self.kinds.get(kind)
        if known is None or self.best_capacity <= 0.0:
            return 1.0
        rate = (own.rate + KIND_EVIDENCE_S * known[0] / known[1]) / (own.busy + KIND_EVIDENCE_S)
        return min(1.0, rate / weight / self.best_capacity)

    def record_load(self, kind: str, own: LoadTotals, weight: float, load: list[float]) -> None:
        """Learn speed from a load report: requests a second for each busy core."""
        if (
            self.rate_column < 0
            or self.busy_column < 0
            or len(load) <= max(self.rate_column, self.busy_column)
        ):
            return
        rate, busy = load[self.rate_column], load[self.busy_column]
        if busy <= 0.02 or rate <= 0.0:
            return
        own.rate += rate
        own.busy += busy
        known = self.kinds.setdefault(kind, [0.0, 0.0, 0.0])
        known[0] += rate
        known[1] += busy
        known[2] += busy * weight
        self.best_capacity = max(
            (k[0] / k[2] for k in self.kinds.values() if k[1] > 2.0), default=0.0
        )

    def record_hit(self, kind: str, work_ms: float, elapsed_ms: float) -> None:
        """A server of a kind answered a hit of so much hinted work in so many ms."""
        served = self.served.setdefault(kind, [0.0, 0.0])
        served[0] += work_ms
        served[1] += elapsed_ms

    def work_rate(self, kind: str) -> float:
        """Hinted work done in a millisecond by servers of a kind, 0 while unknown."""
        work, took = self.served.get(kind, (0.0, 0.0))
        return work / took if took > MIN_SERVED_MS else 0.0
