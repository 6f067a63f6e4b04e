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

FALL_MS = COLD_BUDGET_WINDOW_US / 1000.0


@dataclass(frozen=True, slots=True)
class Span:
    """A lease as one process took it, up to its end or to the next one. Times in ms."""

    node: int
    token: int
    bound: int
    parts: int
    since: float
    until: float


def spans_of(
    node: int, token: int, taken: Iterable[tuple[int, int, float, float]], ended: float
) -> list[Span]:
    """The spans of one process.

    taken: limit, shares, from when, until when, in the order in which it took them. ended: when it
    died.
    """
    by_bound: dict[int, list[tuple[int, float, float]]] = defaultdict(list)
    for bound, parts, since, until in taken:
        by_bound[bound].append((parts, since, until))
    spans = []
    for bound, rows in by_bound.items():
        rows.sort(key=lambda row: row[1])
        for n, (parts, since, until) in enumerate(rows):
            following = rows[n + 1][1] if n + 1 < len(rows) else until
            end = min(until, following, ended)
            if end > since:
                spans.append(Span(node, token, bound, parts, since, end))
    return spans


def most_held(spans: Iterable[Span]) -> dict[int, tuple[int, float]]:
    """Of each bound, the most parts that were held at once, and when that was."""
    steps: dict[int, list[tuple[float, int, int]]] = defaultdict(list)
    for span in spans:
        steps[span.bound].append((span.since, 1, span.parts))
        steps[span.bound].append(
            (span.until, 0, -span.parts)
        )  # what ends in an instant ends before what begins in it
    most = {}
    for bound, rows in steps.items():
        total, best = 0, (0, 0.0)
        for at, _, parts in sorted(rows):
            total += parts
            if total > best[0]:
                best = total, at
        most[bound] = best
    return most


def at_time(spans: Iterable[Span], bound: int, at: float) -> dict[int, int]:
    """Who held how many parts of a bound at a time."""
    return {
        span.node: span.parts
        for span in spans
        if span.bound == bound and span.since <= at < span.until
    }


@dataclass(slots=True)
class ColdBox:
    """What a cold box got: (when, work in ms, from which node)."""

    name: str
    cold_from: float
    cold_ms: float
    speed: float  # work in ms a ms, when warm
    started: float
    got: list[tuple[float, float, str]] = field(default_factory=list)

    def capacity(self, at: float) -> float:
        """The part of its full speed that it has."""
        return min(
            1.0,
            self.cold_from + (1.0 - self.cold_from) * max(0.0, at - self.started) / self.cold_ms,
        )

    def worst(self) -> float:
        """The largest part of its budget that came within any span of FALL_MS.

        Over 1 it would fall.
        """
        worst, first, total = 0.0, 0, 0.0
        for at, work, _ in self.got:
            total += work
            while self.got[first][0] < at - FALL_MS:
                total -= self.got[first][1]
                first += 1
            budget = FALL_MULTIPLE * self.capacity(at) * self.speed * FALL_MS * COLD_BUDGET_SLACK
            worst = max(worst, total / budget)
        return worst

    def by_node(self) -> dict[str, float]:
        """Work from each node."""
        sums: dict[str, float] = defaultdict(float)
        for _, work, node in self.got:
            sums[node] += work
        return {node: round(work, 1) for node, work in sorted(sums.items())}
