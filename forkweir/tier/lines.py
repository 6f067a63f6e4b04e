"""One line for all nodes: what is asked for often, told to the keeper, merged by traffic, and told back to all. Pure.

Invariant: a table of the keeper's is the same at every node that has it whole, and from equal tables come equal cuts. A node that has none,
or an old one, cuts from its own window as ever; the moving average of the cuts (`line`) makes the way there and back smooth.

The line's positions are hashes, so what is asked for seldom lies evenly on it, and only what is asked for often tells one window from
another. So a node tells its heavy buckets (of BUCKETS on the line) with their counts, found by Space-Saving (Metwally, Agrawal, El Abbadi
2005) over counts that are halved each HALF_MS. The keeper adds them up over the nodes, none counted for more than LIAR times the median
of their traffic, and tells the largest shares. A node lays an evenly spaced window and lets each share take the place of the points next
to it, as its own arrivals do; then it cuts at equal counts.

| what a node has | it cuts from | it moves on | when |
|---|---|---|---|
| no table | its own window, every UI arrivals | a table | all pages of one came |
| a table | the table, once for each | the next table | all pages of a newer one came |
| | | no table | STALE_MS without one |

Bounds: COUNTERS counters; MOST_SHARES shares in PAGES datagrams; three bytes each on the wire, a share within 2.2 percent.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from math import log2
from statistics import median
from typing import NamedTuple, Optional

from forkweir.line import WINDOW_PER_RANGE, equal_cuts

BUCKETS = 65_536
COUNTERS = 512
HALF_MS = 10_000.0
ON_A_PAGE = 66
PAGES = 4
MOST_SHARES = ON_A_PAGE * PAGES
STEPS = 16.0  # of a share on the wire, for a factor of two: from 1 down to 2 ** -15.9
STALE_MS = 8_000.0
LIAR = 4.0
LEAST_WEIGHT = 64.0  # arrivals of all nodes together, before they tell anything


class Sketch:
    """What is asked for often at one node: Space-Saving over buckets of the line."""

    __slots__ = ("weight", "_counts", "_halved_ms")

    def __init__(self) -> None:
        self.weight = 0.0  # of all arrivals, faded
        self._counts: dict[int, float] = {}
        self._halved_ms = -1.0  # none yet

    def arrive(self, position: float, now: float) -> None:
        """A request for a position on the line."""
        if self._halved_ms < 0.0:
            self._halved_ms = now
        elif now - self._halved_ms >= HALF_MS:
            self._halve(now)
        self.weight += 1.0
        bucket = int(position * BUCKETS)
        counts = self._counts
        count = counts.get(bucket)
        if count is not None:
            counts[bucket] = count + 1.0
        elif len(counts) < COUNTERS:
            counts[bucket] = 1.0
        else:
            least = min(counts, key=counts.__getitem__)
            counts[bucket] = counts.pop(least) + 1.0

    def _halve(self, now: float) -> None:
        times = 0.5 ** min(32.0, (now - self._halved_ms) // HALF_MS)
        self._halved_ms = now
        self.weight *= times
        self._counts = {bucket: count * times for bucket, count in self._counts.items() if count * times >= 0.5}

    def heavy(self) -> list[tuple[int, float]]:
        """Buckets and their shares of what is asked for here, the largest first, as many as are told. What was seen once is none."""
        if self.weight <= 0.0:
            return []
        some = sorted(((count, bucket) for bucket, count in self._counts.items() if count >= 2.0), key=lambda row: (-row[0], row[1]))
        return [(bucket, count / self.weight) for count, bucket in some[:MOST_SHARES]]


def packed(shares: Iterable[tuple[int, float]]) -> bytes:
    """Buckets and shares (over 0, up to 1) as they travel: two bytes and one."""
    return b"".join(
        bucket.to_bytes(2, "big") + bytes([min(255, max(0, round(-STEPS * log2(min(1.0, max(share, 1e-9))))))]) for bucket, share in shares
    )


def unpacked(data: bytes) -> list[tuple[int, float]]:
    """The same again; bytes that make no whole entry are left out."""
    return [(data[n] * 256 + data[n + 1], float(2.0 ** (-data[n + 2] / STEPS))) for n in range(0, len(data) - 2, 3)]


def merged(told: Mapping[int, tuple[float, Mapping[int, float]]]) -> list[tuple[int, float]]:
    """Shares of the whole tier, the largest first. told: by node, its weight and its shares.

    A node that leaves a bucket out may have asked for it as often as for the least that it told, or never; it counts as never.
    """
    weights = [weight for weight, _ in told.values() if weight > 0.0]
    if sum(weights) < LEAST_WEIGHT:
        return []
    most = LIAR * median(weights)
    total = sum(min(weight, most) for weight in weights)
    sums: dict[int, float] = {}
    for weight, shares in told.values():
        part = min(weight, most) / total
        for bucket, share in shares.items():
            sums[bucket] = sums.get(bucket, 0.0) + part * share
    return sorted(sums.items(), key=lambda row: (-row[1], row[0]))[:MOST_SHARES]


class Table(NamedTuple):
    """A line as the keeper told it. name: of the table, by keeper's token and number."""

    name: tuple[int, int]
    shares: Mapping[int, float]
    cuts: list[float]

    def share(self, position: float) -> float:
        """The part of all requests that goes to a position's bucket."""
        return self.shares.get(int(position * BUCKETS), 0.0)


def cuts_of(shares: Iterable[tuple[int, float]], ranges: int) -> list[float]:
    """Cuts at equal counts of an evenly spaced window in which each share has taken the place of the points next to it."""
    size = ranges * WINDOW_PER_RANGE
    free = list(range(size))  # points of the even window that are still there
    points: list[float] = []
    for bucket, share in shares:
        position = (bucket + 0.5) / BUCKETS
        wanted = min(len(free), round(share * size))
        if not wanted:
            continue
        at = bisect_left(free, position * size - 0.5)
        first = min(max(0, at - wanted // 2), len(free) - wanted)
        del free[first : first + wanted]
        points += [position] * wanted
    return equal_cuts(sorted(points + [(n + 0.5) / size for n in free]), ranges)


class Lines:
    """One node's side: what it tells, and what it was told."""

    __slots__ = ("sketch", "_pages", "_name", "_whole", "_shares", "_told_ms", "_table", "_ranges")

    def __init__(self) -> None:
        self.sketch = Sketch()
        self._pages: dict[int, bytes] = {}
        self._name = (0, 0)  # of the table whose pages are coming in
        self._whole = (0, 0)  # of the last one that was whole, and its shares
        self._shares: Optional[list[tuple[int, float]]] = None
        self._told_ms = -1e12
        self._table: Optional[Table] = None
        self._ranges = 0

    def page(self, keeper: int, number: int, page: int, pages: int, data: bytes, now: float) -> bool:
        """A page of a table came; whether the table is whole now. Of two tables of one keeper the later one counts."""
        name = keeper, number
        if name[0] == self._name[0] and number < self._name[1]:
            return False
        if name != self._name:
            self._name, self._pages = name, {}
        if page >= pages or pages > PAGES or page in self._pages:
            return False
        self._pages[page] = data
        if len(self._pages) < pages:
            return False
        self._whole = name
        self._shares = [row for n in range(pages) for row in unpacked(self._pages[n])]
        self._told_ms = now
        self._table = None
        return True

    def told(self, now: float) -> Optional[tuple[tuple[int, int], list[tuple[int, float]]]]:
        """The table that holds now: its name and its shares."""
        return None if self._shares is None or now - self._told_ms > STALE_MS else (self._whole, self._shares)

    def table(self, ranges: int, now: float) -> Optional[Table]:
        """The line as it was last told, cut into so many ranges; none where that is too long ago. The same object until it changes."""
        told = self.told(now)
        if told is None:
            return None
        if self._table is None or self._ranges != ranges:
            self._ranges = ranges
            self._table = Table(told[0], dict(told[1]), cuts_of(told[1], ranges))
        return self._table
