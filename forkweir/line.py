"""The line of DEMB: positions of keys, the window of recent ones, and the cuts (docs/design.md)."""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right, insort
from collections.abc import Generator, Sequence
from hashlib import blake2b
from typing import Optional, Protocol

WINDOW_PER_RANGE = 8  # WS = this x ranges: WS >> N, as the paper asks
UPDATE_EVERY = 128  # UI, in arrivals
ALPHA = 0.3  # the weight of new cuts
HOT_MIN = 8  # sightings before a key may be judged hot
HOT_MEMORY = 512  # recent arrivals in which hot keys are counted
SLICE_POINTS = 8_192  # of a new window between two yields: some 1 ms


class Shared(Protocol):
    """The line of many nodes together: cuts of their merged window, and what part of all requests goes to a position."""

    @property
    def cuts(self) -> list[float]: ...
    def share(self, position: float) -> float: ...


def digest(text: str) -> int:
    """64 bits of a text, the same at every node."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def position_of(key: str) -> float:
    """The place of a key on the line, in [0, 1)."""
    return (digest(key) >> 11) / 9007199254740992.0


def equal_cuts(window: Sequence[float], ranges: int) -> list[float]:
    """Cuts of a sorted window at equal counts, each the midpoint of two neighbouring points."""
    size = len(window)
    if size >= ranges and not size % ranges:
        step = (
            size // ranges
        )  # the same, at a tenth of the time: this is a fifth of what a request costs
        return [
            (a + b) / 2.0
            for a, b in zip(window[step - 1 : size - 1 : step], window[step::step], strict=True)
        ]
    last = size - 1
    cuts = []
    for i in range(1, ranges):
        at = size * i // ranges
        cuts.append((window[max(0, at - 1)] + window[min(at, last)]) / 2.0)
    return cuts


def _evenly_spaced(first: int, end: int, size: int) -> array[float]:
    """The points from one index to another of so many that divide the line evenly."""
    return array("d", [(i + 0.5) / size for i in range(first, end)])


class Line:
    """Positions, the window of recent ones, and the cuts."""

    __slots__ = (
        "ranges",
        "window",
        "prior",
        "real",
        "oldest",
        "cuts",
        "since",
        "counts",
        "recent",
        "at",
        "shared",
    )

    def __init__(self, ranges: int, prior: Optional[array[float]] = None) -> None:
        """prior: the evenly spaced window, if it has been made already (see `build`)."""
        self.ranges = ranges
        # A node starts with the same evenly spaced window as its peers (guards against a
        # restarted or quiet node cutting from a handful of requests).
        size = ranges * WINDOW_PER_RANGE
        self.prior = _evenly_spaced(0, size, size) if prior is None else prior
        self.window = self.prior[:]  # arrays: a third of the memory that lists of floats take
        self.real = array("d")  # real positions in order of arrival, a ring once full
        self.oldest = 0
        self.cuts = equal_cuts(self.window, ranges)
        self.since = 0
        self.counts: dict[str, int] = {}
        self.recent: list[str] = []
        self.at = 0
        self.shared: Optional[Shared] = None

    @staticmethod
    def build(ranges: int) -> Generator[None, None, Line]:
        """A new line, made with a yield between slices of SLICE_POINTS (its window has 8 points for each range)."""
        size = ranges * WINDOW_PER_RANGE
        prior = array("d")
        for first in range(0, size, SLICE_POINTS):
            prior += _evenly_spaced(first, min(size, first + SLICE_POINTS), size)
            yield
        return Line(ranges, prior)

    def merge(self, shared: Optional[Shared]) -> None:
        """The nodes' common line is this from now on; None: there is none, and this node's own window counts again."""
        self.shared, self.since = shared, 0
        self.update()

    def arrive(self, position: float, key: str) -> None:
        """Put one arrival into the window and re-cut every UI arrivals."""
        window = self.window
        if self.prior:
            # The nearest prior point makes room, so evidence moves the cuts near it and not
            # the whole line (guards against the cuts of quiet nodes drifting apart).
            prior = self.prior
            at = bisect_left(prior, position)
            if at == len(prior) or (at and position - prior[at - 1] < prior[at] - position):
                at -= 1
            gone = prior.pop(at)
            self.real.append(position)
        else:
            gone = self.real[self.oldest]
            self.real[self.oldest] = position
            self.oldest = (self.oldest + 1) % len(self.real)
        window.pop(bisect_left(window, gone))
        insort(window, position)
        counts = self.counts
        if len(self.recent) < HOT_MEMORY:
            self.recent.append(key)
        else:
            old = self.recent[self.at]
            left = counts[old] - 1
            if left:
                counts[old] = left
            else:
                del counts[old]
            self.recent[self.at] = key
            self.at = (self.at + 1) % HOT_MEMORY
        counts[key] = counts.get(key, 0) + 1
        self.since += 1
        if (
            self.since >= UPDATE_EVERY and self.shared is None
        ):  # a common line moves with each word of it, alike at all nodes
            self.since = 0
            self.update()

    def update(self) -> None:
        """BOUNDARY = alpha x CUR_BOUND + (1 - alpha) x BOUNDARY (Algorithm 1)."""
        keep = 1.0 - ALPHA
        fresh = equal_cuts(self.window, self.ranges) if self.shared is None else self.shared.cuts
        self.cuts = [ALPHA * new + keep * old for new, old in zip(fresh, self.cuts, strict=True)]

    def range_of(self, position: float) -> int:
        """The range that holds a position."""
        return bisect_right(self.cuts, position)

    def copies(self, key: str, servers: int, position: float = -1.0) -> int:
        """How many servers a key's recent share fills (1 for an ordinary key)."""
        if self.shared is not None and position >= 0.0:
            share = self.shared.share(position)
            return (
                min(servers, max(1, round(share * servers))) if share * HOT_MEMORY >= HOT_MIN else 1
            )
        seen = self.counts.get(key, 0)
        if seen < HOT_MIN:
            return 1
        return min(servers, max(1, round(seen * servers / len(self.recent))))
