"""One line for all nodes: what is asked for often, told to the keeper, merged by traffic, and told back to all. Pure.

Invariant: a table of the keeper's is the same at every node that has it whole, and from equal tables come equal cuts. A node that has none,
or an old one, cuts from its own window as ever; the moving average of the cuts (`line`) makes the way there and back smooth.

The line's positions are hashes, so what is asked for seldom lies evenly on it, and only what is asked for often tells one window from
another. The common window is that of all nodes' windows laid together: each begins evenly spaced, as `line.Line` has it, and what a node
was asked for has taken the place of the points next to it. So a node tells the counts of its heavy buckets (of BUCKETS on the line) as
parts of its window's size, found by a Misra-Gries summary (1982; Agarwal et al. 2012), and the keeper tells the means. What one node tells
of its window is at most the whole of that, so one that lies moves one part in n of the common window.

(The first form had shares of what was asked for in the last seconds, with no even window beside them. Its noise moved the cuts: on two full
days of the simulator a key stayed at its server in 0.60 of the cases at one node, where 0.85 were without any of it.)

| what a node has | it cuts from | it moves on | when |
|---|---|---|---|
| no table | its own window, every UI arrivals | a table | all pages of one came |
| a table | the table, once for each | the next table | all pages of a newer one came |
| | | no table | STALE_MS without one |

Bounds: COUNTERS counters, so a count is at most weight / COUNTERS too small; MOST_SHARES shares in PAGES datagrams; three bytes each on the
wire, a share within 2.2 percent.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from math import log2
from typing import NamedTuple, Optional

from forkweir.line import WINDOW_PER_RANGE, equal_cuts
from forkweir.placement import SMALLEST_RANGES

BUCKETS = 65_536
MAX_COUNTERS = 1_024
WINDOW_ARRIVALS = (
    SMALLEST_RANGES * WINDOW_PER_RANGE
)  # of arrivals; a summary that has more is halved
MIN_HEAVY_COUNT = 3.0  # what is counted less often is no heavy bucket
ENTRIES_PER_PAGE = 66
MAX_PAGES = 4
MAX_HEAVY_BUCKETS = ENTRIES_PER_PAGE * MAX_PAGES
STEPS_PER_HALVING = 16.0  # of a share on the wire, for a factor of two: from 1 down to 2 ** -15.9
STALE_MS = 8_000.0
MIN_FILLED = 0.005  # of the common window: with fewer arrivals in it no key passes for hot


class HeavyHitterSketch:
    """What is asked for often at one node: a Misra-Gries summary over buckets of the line."""

    __slots__ = ("weight", "_counts")

    def __init__(self) -> None:
        self.weight = 0.0  # arrivals in it
        self._counts: dict[int, float] = {}

    def add(self, position: float) -> None:
        """A request for a position on the line."""
        self.weight += 1.0
        bucket = int(position * BUCKETS)
        counts = self._counts
        counts[bucket] = counts.get(bucket, 0.0) + 1.0
        if len(counts) > MAX_COUNTERS:
            least = min(counts.values())
            self._counts = {b: count - least for b, count in counts.items() if count > least}
        if self.weight >= WINDOW_ARRIVALS:
            self.weight *= 0.5
            self._counts = {b: 0.5 * count for b, count in self._counts.items()}

    def heavy_buckets(self) -> list[tuple[int, float]]:
        """Buckets and their parts of a node's window, the largest first, as many as are told."""
        candidates = [
            (count, bucket) for bucket, count in self._counts.items() if count >= MIN_HEAVY_COUNT
        ]
        candidates.sort(key=lambda row: (-row[0], row[1]))
        return [
            (bucket, count / WINDOW_ARRIVALS) for count, bucket in candidates[:MAX_HEAVY_BUCKETS]
        ]


def pack(entries: Iterable[tuple[int, float]]) -> bytes:
    """Buckets and shares (over 0, up to 1) as they travel: two bytes and one."""
    return b"".join(
        bucket.to_bytes(2, "big")
        + bytes([min(255, max(0, round(-STEPS_PER_HALVING * log2(min(1.0, max(fraction, 1e-9))))))])
        for bucket, fraction in entries
    )


def unpack(data: bytes) -> list[tuple[int, float]]:
    """The same again; bytes that make no whole entry are left out."""
    return [
        (data[n] * 256 + data[n + 1], float(2.0 ** (-data[n + 2] / STEPS_PER_HALVING)))
        for n in range(0, len(data) - 2, 3)
    ]


def merge(
    by_node: Mapping[int, tuple[float, Mapping[int, float]]],
) -> tuple[float, list[tuple[int, float]]]:
    """The windows of all nodes laid together: what part of it is arrivals, and the parts of its heavy buckets, the largest first.

    told: by node, what part of its window is arrivals, and the parts of its heavy buckets, which count for no more than that.
    """
    if not by_node:
        return 0.0, []
    sums: dict[int, float] = {}
    filled = 0.0
    for filled_fraction, entries in by_node.values():
        filled_fraction = min(1.0, filled_fraction)
        filled += filled_fraction / len(by_node)
        scale = min(1.0, filled_fraction / max(1e-9, sum(entries.values()))) / len(by_node)
        for bucket, fraction in entries.items():
            sums[bucket] = sums.get(bucket, 0.0) + scale * fraction
    return filled, sorted(sums.items(), key=lambda row: (-row[1], row[0]))[:MAX_HEAVY_BUCKETS]


class LineTable(NamedTuple):
    """A line as the keeper told it. name: of the table, by keeper's token and number."""

    name: tuple[int, int]
    filled: float
    fractions: Mapping[int, float]
    cuts: list[float]

    def share(self, position: float) -> float:
        """The part of all requests that goes to a position's bucket."""
        return (
            self.fractions.get(int(position * BUCKETS), 0.0) / self.filled
            if self.filled > MIN_FILLED
            else 0.0
        )


def compute_cuts(entries: Iterable[tuple[int, float]], ranges: int) -> list[float]:
    """Cuts at equal counts of an evenly spaced window in which each share has taken the place of the points next to it."""
    size = ranges * WINDOW_PER_RANGE
    free = list(range(size))  # points of the even window that are still there
    points: list[float] = []
    for bucket, fraction in entries:
        position = (bucket + 0.5) / BUCKETS
        wanted = min(len(free), round(fraction * size))
        if not wanted:
            continue
        at = bisect_left(free, position * size - 0.5)
        first = min(max(0, at - wanted // 2), len(free) - wanted)
        del free[first : first + wanted]
        points += [position] * wanted
    return equal_cuts(sorted(points + [(n + 0.5) / size for n in free]), ranges)


class SharedLineState:
    """One node's side: what it tells, and what it was told."""

    __slots__ = (
        "sketch",
        "_pages",
        "_incoming_name",
        "_complete_name",
        "_entries",
        "_received_ms",
        "_filled",
        "_table",
        "_ranges",
    )

    def __init__(self) -> None:
        self.sketch = HeavyHitterSketch()
        self._pages: dict[int, bytes] = {}
        self._incoming_name = (0, 0)  # of the table whose pages are coming in
        self._complete_name = (0, 0)  # of the last one that was whole, and its shares
        self._entries: Optional[list[tuple[int, float]]] = None
        self._filled = 0.0
        self._received_ms = -1e12
        self._table: Optional[LineTable] = None
        self._ranges = 0

    def on_page(
        self,
        leader: int,
        number: int,
        page: int,
        pages: int,
        filled: float,
        data: bytes,
        now: float,
    ) -> bool:
        """A page of a table came; whether the table is whole now. Of two tables of one keeper the later one counts."""
        name = leader, number
        if name[0] == self._incoming_name[0] and number < self._incoming_name[1]:
            return False
        if name != self._incoming_name:
            self._incoming_name, self._pages = name, {}
        if page >= pages or pages > MAX_PAGES or page in self._pages:
            return False
        self._pages[page] = data
        if len(self._pages) < pages:
            return False
        self._complete_name, self._filled = name, filled
        self._entries = [row for n in range(pages) for row in unpack(self._pages[n])]
        self._received_ms = now
        self._table = None
        return True

    def current_entries(
        self, now: float
    ) -> Optional[tuple[tuple[int, int], list[tuple[int, float]]]]:
        """The table that holds now: its name and its shares."""
        return (
            None
            if self._entries is None or now - self._received_ms > STALE_MS
            else (self._complete_name, self._entries)
        )

    def table(self, ranges: int, now: float) -> Optional[LineTable]:
        """The line as it was last told, cut into so many ranges; none where that is too long ago. The same object until it changes."""
        by_node = self.current_entries(now)
        if by_node is None:
            return None
        if self._table is None or self._ranges != ranges:
            self._ranges = ranges
            self._table = LineTable(
                by_node[0], self._filled, dict(by_node[1]), compute_cuts(by_node[1], ranges)
            )
        return self._table
