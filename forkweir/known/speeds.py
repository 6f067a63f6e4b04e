"""Speeds of servers, estimated from answers and load reports. Pure: no I/O, no clock.

Speeds are pooled by kind of server, since one node among many meets a single server too rarely to
estimate its speed alone.

Memory: five floats for each kind that the list names and two for each server.
"""

from __future__ import annotations

from forkweir.settings import Settings

# Busy seconds that the estimate for its kind counts for, against a server's own reports.
KIND_EVIDENCE_S = 3.0
# Time taken by hits of a kind before its work rate is used.
MIN_SERVED_MS = 5_000.0


class LoadTotals:
    """Load reported by one server, summed over its reports: requests a second and busy cores."""

    __slots__ = ("rate", "busy")

    def __init__(self) -> None:
        self.rate = 0.0
        self.busy = 0.0


class Speeds:
    """The estimates for each kind of server."""

    __slots__ = ("served", "kinds", "best_capacity", "rate_column", "busy_column")

    def __init__(self, settings: Settings) -> None:
        # By kind: hinted work and time taken by hits, in ms.
        self.served: dict[str, list[float]] = {}
        # By kind: requests a second, busy cores, and busy cores times weight.
        self.kinds: dict[str, list[float]] = {}
        self.best_capacity = 0.0  # per unit of weight, of the fastest kind
        columns = settings.load_columns
        self.rate_column = columns.index("rate") if "rate" in columns else -1
        self.busy_column = columns.index("busy") if "busy" in columns else -1

    def relative_capacity(self, kind: str, own: LoadTotals, weight: float) -> float:
        """Return a server's capacity per unit of weight, as a fraction of the fastest kind's."""
        known = self.kinds.get(kind)
        if known is None or self.best_capacity <= 0.0:
            return 1.0
        rate = (own.rate + KIND_EVIDENCE_S * known[0] / known[1]) / (own.busy + KIND_EVIDENCE_S)
        return min(1.0, rate / weight / self.best_capacity)

    def record_load_report(
        self, kind: str, own: LoadTotals, weight: float, load: list[float]
    ) -> None:
        """Update the estimates by a load report: requests a second for each busy core."""
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
        """Record the hinted work of a cache hit and the time that a server of a kind took."""
        served = self.served.setdefault(kind, [0.0, 0.0])
        served[0] += work_ms
        served[1] += elapsed_ms

    def work_rate(self, kind: str) -> float:
        """Return the hinted work done in a ms by servers of a kind; 0 while unknown."""
        work, elapsed_ms = self.served.get(kind, (0.0, 0.0))
        return work / elapsed_ms if elapsed_ms > MIN_SERVED_MS else 0.0
