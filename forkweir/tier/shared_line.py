"""One line for all nodes: heavy buckets are reported to the leader, merged and sent to all. Pure.

Invariant: a table of the leader is the same at every node that has all its pages, and equal tables
give equal cuts. A node without a current table cuts from its own window as without a tier; the
moving average of the cuts (`line`) smooths the transition in both directions.

Positions on the line are hashes, so rarely requested keys lie evenly on it, and only the often
requested ones distinguish one window from another. The shared window is the merger of all nodes'
windows: each starts evenly spaced, as `line.Line` has it, and requested positions replace the
points next to them. So a node reports the counts of its heavy buckets (of BUCKETS on the line) as
fractions of its window's size, found by a Misra-Gries summary (1982; Agarwal et al. 2012), and the
leader sends the means. The report of one node counts as at most its whole window, so a node that
lies moves one n-th of the shared window.

(An earlier form had fractions of the requests of the last seconds, without an even window. Its
noise moved the cuts: in two full days of the simulator a key stayed at its server in 0.60 of the
cases at one node, against 0.85 without any shared line.)

| state of a node | it cuts from | becomes | when |
|---|---|---|---|
| no table | its own window, every UPDATE_INTERVAL arrivals | a table | all pages of one came |
| a table | the table, once for each | the next table | all pages of a newer one came |
| | | no table | STALE_MS without one |

Bounds: MAX_COUNTERS counters, so a count is at most weight / MAX_COUNTERS too small;
MAX_HEAVY_BUCKETS fractions in MAX_PAGES datagrams; three bytes each on the wire, a fraction within
2.2 percent.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from math import log2
from typing import NamedTuple, Optional

from forkweir.line import WINDOW_PER_RANGE, equal_cuts
from forkweir.placement import MIN_RANGES

BUCKETS = 65_536
MAX_COUNTERS = 1_024
# A sketch that reaches this many arrivals is halved.
WINDOW_ARRIVALS = MIN_RANGES * WINDOW_PER_RANGE
# A bucket with a lower count is not heavy.
MIN_HEAVY_COUNT = 3.0
ENTRIES_PER_PAGE = 66
MAX_PAGES = 4
MAX_HEAVY_BUCKETS = ENTRIES_PER_PAGE * MAX_PAGES
# Of a fraction on the wire, which goes from 1 down to 2 ** -15.9.
STEPS_PER_HALVING = 16.0
STALE_MS = 8_000.0
# With a smaller fraction of arrivals in the shared window no key counts as hot.
MIN_FILLED = 0.005


class HeavyHitterSketch:
    """The most requested buckets of the line at one node: a Misra-Gries summary."""

    __slots__ = ("weight", "_counts")

    def __init__(self) -> None:
        self.weight = 0.0  # arrivals in the window
        self._counts: dict[int, float] = {}

    def add(self, position: float) -> None:
        """Count a request for a position on the line."""
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
        """At most MAX_HEAVY_BUCKETS buckets and their fractions of the window, largest first."""
        candidates = [
            (count, bucket) for bucket, count in self._counts.items() if count >= MIN_HEAVY_COUNT
        ]
        candidates.sort(key=lambda row: (-row[0], row[1]))
        return [
            (bucket, count / WINDOW_ARRIVALS) for count, bucket in candidates[:MAX_HEAVY_BUCKETS]
        ]


def pack(entries: Iterable[tuple[int, float]]) -> bytes:
    """Encode buckets and fractions (over 0, up to 1) in two bytes and one."""
    return b"".join(
        bucket.to_bytes(2, "big")
        + bytes([min(255, max(0, round(-STEPS_PER_HALVING * log2(min(1.0, max(fraction, 1e-9))))))])
        for bucket, fraction in entries
    )


def unpack(data: bytes) -> list[tuple[int, float]]:
    """Decode the result of `pack`; an incomplete entry at the end is ignored."""
    return [
        (data[n] * 256 + data[n + 1], float(2.0 ** (-data[n + 2] / STEPS_PER_HALVING)))
        for n in range(0, len(data) - 2, 3)
    ]


def merge(
    by_slot: Mapping[int, tuple[float, Mapping[int, float]]],
) -> tuple[float, list[tuple[int, float]]]:
    """Merge the windows of all nodes.

    by_slot: the fraction of the node's window that consists of arrivals, and the fractions of its
    heavy buckets, whose sum counts as at most that. Returns the same for the merged window, the
    largest bucket first.
    """
    if not by_slot:
        return 0.0, []
    sums: dict[int, float] = {}
    filled = 0.0
    for filled_fraction, entries in by_slot.values():
        filled_fraction = min(1.0, filled_fraction)
        filled += filled_fraction / len(by_slot)
        scale = min(1.0, filled_fraction / max(1e-9, sum(entries.values()))) / len(by_slot)
        for bucket, fraction in entries.items():
            sums[bucket] = sums.get(bucket, 0.0) + scale * fraction
    return filled, sorted(sums.items(), key=lambda row: (-row[1], row[0]))[:MAX_HEAVY_BUCKETS]


class LineTable(NamedTuple):
    """The shared line as the leader sent it. name: the leader's token and the table's number."""

    name: tuple[int, int]
    filled: float
    fractions: Mapping[int, float]
    cuts: list[float]

    def share(self, position: float) -> float:
        """The fraction of all requests that goes to the bucket of a position."""
        return (
            self.fractions.get(int(position * BUCKETS), 0.0) / self.filled
            if self.filled > MIN_FILLED
            else 0.0
        )


def compute_cuts(entries: Iterable[tuple[int, float]], range_count: int) -> list[float]:
    """Cuts at equal counts of an even window in which heavy buckets replaced adjacent points."""
    size = range_count * WINDOW_PER_RANGE
    free = list(range(size))  # points of the even window not yet replaced
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
    return equal_cuts(sorted(points + [(n + 0.5) / size for n in free]), range_count)


class SharedLineState:
    """One node's state of the shared line: its own sketch and the last table received."""

    __slots__ = (
        "sketch",
        "_pages",
        "_incoming_name",
        "_complete_name",
        "_entries",
        "_received_ms",
        "_filled",
        "_table",
        "_range_count",
    )

    def __init__(self) -> None:
        self.sketch = HeavyHitterSketch()
        self._pages: dict[int, bytes] = {}
        self._incoming_name = (0, 0)  # of the table whose pages are arriving
        self._complete_name = (0, 0)  # of the last complete table
        self._entries: Optional[list[tuple[int, float]]] = None
        self._filled = 0.0
        self._received_ms = -1e12
        self._table: Optional[LineTable] = None
        self._range_count = 0

    def on_page(
        self,
        leader_token: int,
        number: int,
        page: int,
        pages: int,
        filled: float,
        data: bytes,
        now: float,
    ) -> bool:
        """Process a page of a table; return whether the table is now complete.

        Of two tables from one leader the later one counts.
        """
        name = leader_token, number
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
        """The name and entries of the current table; None if there is none or it is stale."""
        return (
            None
            if self._entries is None or now - self._received_ms > STALE_MS
            else (self._complete_name, self._entries)
        )

    def table(self, range_count: int, now: float) -> Optional[LineTable]:
        """The current table cut into range_count ranges; None if there is none or it is stale.

        The same object until it changes.
        """
        current = self.current_entries(now)
        if current is None:
            return None
        if self._table is None or self._range_count != range_count:
            self._range_count = range_count
            self._table = LineTable(
                current[0], self._filled, dict(current[1]), compute_cuts(current[1], range_count)
            )
        return self._table
