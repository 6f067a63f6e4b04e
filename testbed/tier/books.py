"""Checks of a tier from outside: the shares that its nodes hold, and the load of cold boxes. Pure.

Leases are read from the nodes (`/admin/tier`), whose times are comparable, as processes on one
machine share its monotonic clock. The work that a cold box receives is counted by the box. The
shares held at once must not exceed the total, and the work of all nodes together must not exceed
what a cold box bears.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from testbed.nights.rules import COLD_BUDGET_SLACK, COLD_BUDGET_WINDOW_US, OVERLOAD_MULTIPLE

BUDGET_WINDOW_MS = COLD_BUDGET_WINDOW_US / 1000.0


@dataclass(frozen=True, slots=True)
class LeaseInterval:
    """A lease that one process held, until it expired or the next one replaced it.

    Times in ms.
    """

    node: int
    token: int
    limit: int
    shares: int
    start_ms: float
    end_ms: float


def lease_intervals(
    node: int, token: int, leases: Iterable[tuple[int, int, float, float]], died_ms: float
) -> list[LeaseInterval]:
    """The intervals in which one process held leases.

    leases: limit, shares, start and expiry of each. died_ms: when the process ended, infinite
    while it runs.
    """
    by_limit: dict[int, list[tuple[int, float, float]]] = defaultdict(list)
    for limit, shares, start_ms, end_ms in leases:
        by_limit[limit].append((shares, start_ms, end_ms))
    intervals = []
    for limit, rows in by_limit.items():
        rows.sort(key=lambda row: row[1])
        for index, (shares, start_ms, end_ms) in enumerate(rows):
            next_start_ms = rows[index + 1][1] if index + 1 < len(rows) else end_ms
            actual_end_ms = min(end_ms, next_start_ms, died_ms)
            if actual_end_ms > start_ms:
                intervals.append(LeaseInterval(node, token, limit, shares, start_ms, actual_end_ms))
    return intervals


def max_shares_held(intervals: Iterable[LeaseInterval]) -> dict[int, tuple[int, float]]:
    """For each limit, the most shares that were held at once, and when."""
    changes: dict[int, list[tuple[float, int, int]]] = defaultdict(list)
    for interval in intervals:
        changes[interval.limit].append((interval.start_ms, 1, interval.shares))
        # The 0 sorts an end before a start at the same time.
        changes[interval.limit].append((interval.end_ms, 0, -interval.shares))
    largest = {}
    for limit, rows in changes.items():
        total, peak = 0, (0, 0.0)
        for at_ms, _, shares in sorted(rows):
            total += shares
            if total > peak[0]:
                peak = total, at_ms
        largest[limit] = peak
    return largest


def shares_held_at(intervals: Iterable[LeaseInterval], limit: int, at_ms: float) -> dict[int, int]:
    """The shares of a limit that each node held at a time."""
    return {
        interval.node: interval.shares
        for interval in intervals
        if interval.limit == limit and interval.start_ms <= at_ms < interval.end_ms
    }


@dataclass(slots=True)
class ColdBox:
    """A cold box and the work that it received.

    received: time, work in ms and node of each request, also of those that the box turned away.
    """

    name: str
    cold_share: float
    cold_ms: float
    full_speed: float  # ms of work per ms, once warm
    started_ms: float
    received: list[tuple[float, float, str]] = field(default_factory=list)

    def capacity(self, at_ms: float) -> float:
        """The fraction of its full speed at a time."""
        return min(
            1.0,
            self.cold_share
            + (1.0 - self.cold_share) * max(0.0, at_ms - self.started_ms) / self.cold_ms,
        )

    def peak_budget_use(self) -> float:
        """The most work received within BUDGET_WINDOW_MS, as a fraction of the budget.

        Above 1 the box is overloaded.
        """
        peak, oldest, total = 0.0, 0, 0.0
        for at_ms, work_ms, _ in self.received:
            total += work_ms
            while self.received[oldest][0] < at_ms - BUDGET_WINDOW_MS:
                total -= self.received[oldest][1]
                oldest += 1
            budget = (
                OVERLOAD_MULTIPLE
                * self.capacity(at_ms)
                * self.full_speed
                * BUDGET_WINDOW_MS
                * COLD_BUDGET_SLACK
            )
            peak = max(peak, total / budget)
        return peak

    def work_by_node(self) -> dict[str, float]:
        """Work in ms received from each node."""
        sums: dict[str, float] = defaultdict(float)
        for _, work_ms, node in self.received:
            sums[node] += work_ms
        return {node: round(work_ms, 1) for node, work_ms in sorted(sums.items())}
