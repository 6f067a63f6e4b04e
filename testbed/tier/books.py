"""What is seen of a tier from outside. Pure.

That is: leases as its nodes took them, and what boxes got from all nodes together.

The leases are read from the nodes (`/admin/tier`), whose clocks are one on one machine; the boxes'
counts are their own. The first is held against the whole, the second against what a cold box bears.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from testbed.nights.rules import COLD_BUDGET_SLACK, COLD_BUDGET_WINDOW_US, FALL_MULTIPLE

BUDGET_WINDOW_MS = COLD_BUDGET_WINDOW_US / 1000.0


@dataclass(frozen=True, slots=True)
class LeaseInterval:
    """A lease as one process took it, up to its end or to the next one. Times in ms."""

    node: int
    token: int
    limit: int
    shares: int
    start_ms: float
    end_ms: float


def lease_intervals(
    node: int, token: int, leases: Iterable[tuple[int, int, float, float]], died_ms: float
) -> list[LeaseInterval]:
    """The spans of one process.

    taken: limit, shares, from when, until when, in the order in which it took them. ended: when it
    died.
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
    """Of each bound, the most parts that were held at once, and when that was."""
    changes: dict[int, list[tuple[float, int, int]]] = defaultdict(list)
    for interval in intervals:
        changes[interval.limit].append((interval.start_ms, 1, interval.shares))
        changes[interval.limit].append(
            (interval.end_ms, 0, -interval.shares)
        )  # what ends in an instant ends before what begins in it
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
    """Who held how many parts of a bound at a time."""
    return {
        interval.node: interval.shares
        for interval in intervals
        if interval.limit == limit and interval.start_ms <= at_ms < interval.end_ms
    }


@dataclass(slots=True)
class ColdBox:
    """What a cold box got: (when, work in ms, from which node)."""

    name: str
    cold_share: float
    cold_ms: float
    full_speed: float  # work in ms a ms, when warm
    started_ms: float
    received: list[tuple[float, float, str]] = field(default_factory=list)

    def capacity(self, at_ms: float) -> float:
        """The part of its full speed that it has."""
        return min(
            1.0,
            self.cold_share
            + (1.0 - self.cold_share) * max(0.0, at_ms - self.started_ms) / self.cold_ms,
        )

    def peak_budget_use(self) -> float:
        """The largest part of its budget that came within any span of FALL_MS.

        Over 1 it would fall.
        """
        peak, oldest, total = 0.0, 0, 0.0
        for at_ms, work_ms, _ in self.received:
            total += work_ms
            while self.received[oldest][0] < at_ms - BUDGET_WINDOW_MS:
                total -= self.received[oldest][1]
                oldest += 1
            budget = (
                FALL_MULTIPLE
                * self.capacity(at_ms)
                * self.full_speed
                * BUDGET_WINDOW_MS
                * COLD_BUDGET_SLACK
            )
            peak = max(peak, total / budget)
        return peak

    def work_by_node(self) -> dict[str, float]:
        """Work from each node."""
        sums: dict[str, float] = defaultdict(float)
        for _, work_ms, node in self.received:
            sums[node] += work_ms
        return {node: round(work_ms, 1) for node, work_ms in sorted(sums.items())}
