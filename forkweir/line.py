"""The line of DEMB: positions of keys, a window of recent ones, and the cuts (docs/design.md)."""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right, insort
from collections.abc import Generator, Sequence
from hashlib import blake2b
from typing import Optional, Protocol

WINDOW_PER_RANGE = 8  # window size WS per range; the DEMB paper requires WS >> N
UPDATE_INTERVAL = 128  # the paper's UI, in arrivals
ALPHA = 0.3  # the paper's alpha: weight of new cuts
HOT_KEY_MIN_COUNT = 8  # arrivals within HOT_KEY_WINDOW before a key can be hot
HOT_KEY_WINDOW = 512  # recent arrivals in which keys are counted
SLICE_POINTS = 8_192  # points of a new window made between two yields: about 1 ms


class SharedLine(Protocol):
    """The common line of several nodes: cuts of their merged window, and shares of requests."""

    @property
    def cuts(self) -> list[float]: ...
    def share(self, position: float) -> float: ...


def digest(text: str) -> int:
    """A 64-bit hash of a text (BLAKE2b), the same at every node."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def position_of(key: str) -> float:
    """The position of a key on the line, in [0, 1)."""
    return (digest(key) >> 11) / 9007199254740992.0


def equal_cuts(window: Sequence[float], range_count: int) -> list[float]:
    """Cut a sorted window at equal counts; each cut is the midpoint of two adjacent points."""
    size = len(window)
    if size >= range_count and not size % range_count:
        # The same result as below in a tenth of the time; cutting is a fifth of a request's cost.
        step = size // range_count
        return [
            (a + b) / 2.0
            for a, b in zip(window[step - 1 : size - 1 : step], window[step::step], strict=True)
        ]
    last = size - 1
    cuts = []
    for i in range(1, range_count):
        index = size * i // range_count
        cuts.append((window[max(0, index - 1)] + window[min(index, last)]) / 2.0)
    return cuts


def _evenly_spaced(first: int, end: int, size: int) -> array[float]:
    """The points with indices first to end - 1 of `size` points that divide the line evenly."""
    return array("d", [(i + 0.5) / size for i in range(first, end)])


class Line:
    """The window of recent positions, the cuts made from it, and counts of hot keys."""

    __slots__ = (
        "range_count",
        "window",
        "initial_points",
        "arrivals",
        "oldest_index",
        "cuts",
        "arrivals_since_update",
        "key_counts",
        "recent_keys",
        "recent_index",
        "shared",
    )

    def __init__(self, range_count: int, initial_points: Optional[array[float]] = None) -> None:
        """initial_points: the evenly spaced window, if it has been built already (see `build`)."""
        self.range_count = range_count
        # All nodes start with the same evenly spaced window. Otherwise a node that restarted or
        # gets few requests would cut its line by a handful of requests.
        size = range_count * WINDOW_PER_RANGE
        self.initial_points = (
            _evenly_spaced(0, size, size) if initial_points is None else initial_points
        )
        # Arrays take a third of the memory of lists of floats.
        self.window = self.initial_points[:]
        # Positions of requests in order of arrival; a ring buffer once the window is full of them.
        self.arrivals = array("d")
        self.oldest_index = 0
        self.cuts = equal_cuts(self.window, range_count)
        self.arrivals_since_update = 0
        self.key_counts: dict[str, int] = {}
        self.recent_keys: list[str] = []
        self.recent_index = 0
        self.shared: Optional[SharedLine] = None

    @staticmethod
    def build(range_count: int) -> Generator[None, None, Line]:
        """Build a new line; yields between slices of SLICE_POINTS points of its window."""
        size = range_count * WINDOW_PER_RANGE
        initial_points = array("d")
        for first in range(0, size, SLICE_POINTS):
            initial_points += _evenly_spaced(first, min(size, first + SLICE_POINTS), size)
            yield
        return Line(range_count, initial_points)

    def use_shared(self, shared: Optional[SharedLine]) -> None:
        """Take the cuts from the nodes' common line, or from this node's own window if None."""
        self.shared, self.arrivals_since_update = shared, 0
        self.update()

    def record_arrival(self, position: float, key: str) -> None:
        """Put one arrival into the window, and update the cuts every UPDATE_INTERVAL arrivals."""
        window = self.window
        if self.initial_points:
            # Replace the nearest initial point, so that an arrival moves only the cuts near it.
            # Otherwise the cuts of nodes with few requests would drift apart.
            initial_points = self.initial_points
            index = bisect_left(initial_points, position)
            if index == len(initial_points) or (
                index and position - initial_points[index - 1] < initial_points[index] - position
            ):
                index -= 1
            evicted = initial_points.pop(index)
            self.arrivals.append(position)
        else:
            evicted = self.arrivals[self.oldest_index]
            self.arrivals[self.oldest_index] = position
            self.oldest_index = (self.oldest_index + 1) % len(self.arrivals)
        window.pop(bisect_left(window, evicted))
        insort(window, position)
        key_counts = self.key_counts
        if len(self.recent_keys) < HOT_KEY_WINDOW:
            self.recent_keys.append(key)
        else:
            evicted_key = self.recent_keys[self.recent_index]
            remaining = key_counts[evicted_key] - 1
            if remaining:
                key_counts[evicted_key] = remaining
            else:
                del key_counts[evicted_key]
            self.recent_keys[self.recent_index] = key
            self.recent_index = (self.recent_index + 1) % HOT_KEY_WINDOW
        key_counts[key] = key_counts.get(key, 0) + 1
        self.arrivals_since_update += 1
        # A common line is updated by each notification of it instead, alike at all nodes.
        if self.arrivals_since_update >= UPDATE_INTERVAL and self.shared is None:
            self.arrivals_since_update = 0
            self.update()

    def update(self) -> None:
        """BOUNDARY = alpha x CUR_BOUND + (1 - alpha) x BOUNDARY (Algorithm 1)."""
        old_weight = 1.0 - ALPHA
        new_cuts = (
            equal_cuts(self.window, self.range_count) if self.shared is None else self.shared.cuts
        )
        self.cuts = [
            ALPHA * new + old_weight * old for new, old in zip(new_cuts, self.cuts, strict=True)
        ]

    def range_of(self, position: float) -> int:
        """Return the number of the range that holds a position."""
        return bisect_right(self.cuts, position)

    def server_count_for_key(self, key: str, servers: int, position: float = -1.0) -> int:
        """How many servers a key's share of recent requests needs (1 for an ordinary key)."""
        if self.shared is not None and position >= 0.0:
            share = self.shared.share(position)
            return (
                min(servers, max(1, round(share * servers)))
                if share * HOT_KEY_WINDOW >= HOT_KEY_MIN_COUNT
                else 1
            )
        count = self.key_counts.get(key, 0)
        if count < HOT_KEY_MIN_COUNT:
            return 1
        return min(servers, max(1, round(count * servers / len(self.recent_keys))))
