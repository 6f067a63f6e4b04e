"""Homes of ranges: consistent hashing with bounded loads, built in slices. Pure, no I/O, no clock.

Each server has POINTS_PER_SERVER points on a hash ring. A range is assigned to the first server
with capacity from the range's own point on; the capacity of a server is CAPACITY_FACTOR times its
share by weight (Mirrokni, Thorup, Zadimoghaddam 2018, "Consistent Hashing with Bounded Loads").

Invariant: a `Placement` is complete and never changes. Ring, owners and number of ranges belong
together, so a look-up of a range takes all of them from one placement. `build` makes the next
placement beside the current one and yields between slices of bounded work (SLICE_SERVERS or
SLICE_RANGES), so that a change of the list never blocks the node for a time in proportion to the
fleet. Work of a build: POINTS_PER_SERVER hashes for each new server, one pass over the ring's
points where many servers left, one search for each range.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Generator, Iterable, Iterator, Sequence
from hashlib import blake2b
from struct import unpack
from typing import Generic, Optional, Protocol, TypeVar

from forkweir.settings import Server

POINTS_PER_SERVER = 24
CAPACITY_FACTOR = 1.12  # a server is home to at most this multiple of its exact share of ranges
MAX_PREFERRED_SERVERS = 8  # servers considered for a range, home included
# The same for every fleet of up to 256 servers, so that nodes with different lists agree.
MIN_RANGES = 2_048
RANGES_PER_SERVER = 8  # least ratio of ranges to servers
SLICE_SERVERS = 16  # servers whose points are hashed between two yields: under 1 ms
MERGE_BATCH_SERVERS = 128  # servers whose points are merged into the ring at once: under 1 ms
# Ranges that are assigned between two yields: under 1 ms with the hashes of their points.
SLICE_RANGES = 256
# Points that are scanned between two yields where many servers changed: about 1 ms.
SLICE_POINTS = 8_192
SLICE_DELETED_POINTS = 768  # points that are deleted between two yields: under 1 ms
# Servers whose points are inserted or deleted one by one; for more, full passes are cheaper.
MAX_SINGLE_CHANGES = 8


class PlacedServer(Protocol):
    """What a placement requires of a server."""

    info: Server


Member = TypeVar("Member", bound=PlacedServer)


def range_count_for(servers: int, minimum: int = MIN_RANGES) -> int:
    """How many ranges this many servers need: `minimum` times a power of 2, so keys move rarely."""
    range_count = minimum
    while range_count < servers * RANGES_PER_SERVER:
        range_count *= 2
    return range_count


class HashRing(Generic[Member]):
    """A hash ring: sorted points and the member that each belongs to.

    Points are 64-bit hashes as floats, which sort several times as fast as integers.
    """

    __slots__ = ("points", "members", "_member_at", "_points_of")

    def __init__(self) -> None:
        self.points: list[float] = []
        self.members: list[Member] = []  # owner of the point with the same index
        self._member_at: dict[float, Member] = {}
        self._points_of: dict[Member, tuple[float, ...]] = {}

    def copy(self) -> HashRing[Member]:
        """Return a copy that can be changed while this ring is in use."""
        ring: HashRing[Member] = HashRing()
        ring.points = self.points.copy()
        ring.members = self.members.copy()
        ring._member_at = self._member_at.copy()
        ring._points_of = self._points_of.copy()
        return ring

    def change(self, leaving: Sequence[Member], entering: Sequence[Member]) -> Iterator[None]:
        """Remove and add servers in slices. `members` is consistent again only at the end."""
        single_changes = len(leaving) + len(entering) <= MAX_SINGLE_CHANGES
        yield from self._remove(leaving, single_changes)
        yield from self._add(entering, single_changes)
        if single_changes:
            return
        members: list[Member] = []
        for first in range(0, len(self.points), SLICE_POINTS):
            members += map(self._member_at.__getitem__, self.points[first : first + SLICE_POINTS])
            yield
        self.members = members

    def _remove(self, leaving: Sequence[Member], single_changes: bool) -> Iterator[None]:
        removed_points = [point for member in leaving for point in self._points_of.pop(member)]
        for first in range(0, len(removed_points), SLICE_DELETED_POINTS):
            for point in removed_points[first : first + SLICE_DELETED_POINTS]:
                del self._member_at[point]
                if single_changes:
                    index = bisect_left(self.points, point)
                    del self.points[index], self.members[index]
            yield
        if single_changes or not removed_points:
            return
        remaining_points: list[float] = []
        for first in range(0, len(self.points), SLICE_POINTS):
            remaining_points += [
                point
                for point in self.points[first : first + SLICE_POINTS]
                if point in self._member_at
            ]
            yield
        self.points = remaining_points

    def _add(self, entering: Sequence[Member], single_changes: bool) -> Iterator[None]:
        for batch_start in range(0, len(entering), MERGE_BATCH_SERVERS):
            batch = entering[batch_start : batch_start + MERGE_BATCH_SERVERS]
            new_points: list[float] = []
            for first in range(0, len(batch), SLICE_SERVERS):
                for member in batch[first : first + SLICE_SERVERS]:
                    points = self._points_of[member] = _points_of(member)
                    self._member_at.update(dict.fromkeys(points, member))
                    new_points += points
                yield
            if single_changes:
                self._insert(new_points)
                continue
            new_points.sort()
            self.points += new_points
            self.points.sort()  # Timsort merges the two sorted runs in linear time
            yield

    def _insert(self, new_points: list[float]) -> None:
        for point in new_points:
            index = bisect_left(self.points, point)
            self.points.insert(index, point)
            self.members.insert(index, self._member_at[point])

    def member(self, index: int) -> Member:
        """Return the server at the point with this index, modulo the number of points."""
        return self.members[index % len(self.members)]

    def index_for(self, range_number: int) -> int:
        """Return the index of the first point at or after the point of a range."""
        return bisect_left(self.points, _point_of_range(range_number))

    def owners_of(self, range_numbers: range, capacity: dict[Member, int]) -> list[Member]:
        """Assign ranges to the next servers with capacity; decrements `capacity`."""
        points, members, size = self.points, self.members, len(self.points)
        owners: list[Member] = []
        for range_point in _points_of_ranges(range_numbers):
            index = bisect_left(points, range_point) % size
            owner = members[index]
            while not capacity[owner]:
                index = (index + 1) % size
                owner = members[index]
            capacity[owner] -= 1
            owners.append(owner)
        return owners


class Placement(Generic[Member]):
    """Homes of all ranges, for the servers and weights listed when the build began."""

    __slots__ = ("members", "weights", "range_count", "ring", "owners", "_preference_lists")

    def __init__(
        self,
        members: Sequence[Member],
        weights: Sequence[float],
        range_count: int,
        ring: HashRing[Member],
        owners: list[Member],
    ) -> None:
        self.members = members
        self.weights = weights
        self.range_count = range_count
        self.ring = ring
        self.owners = owners
        self._preference_lists: dict[int, tuple[Member, ...]] = {}

    def preference_list(self, range_number: int) -> tuple[Member, ...]:
        """The home of a range and the next servers on the ring, at most MAX_PREFERRED_SERVERS."""
        cached = self._preference_lists.get(range_number)
        if cached is None:
            cached = self._preference_lists[range_number] = self._find_preference_list(range_number)
        return cached

    def _find_preference_list(self, range_number: int) -> tuple[Member, ...]:
        found = [self.owners[range_number]]
        start = self.ring.index_for(range_number)
        for step in range(len(self.ring.points)):
            member = self.ring.member(start + step)
            if member not in found:
                found.append(member)
                if len(found) >= MAX_PREFERRED_SERVERS:
                    break
        return tuple(found)


def build(
    previous: Optional[Placement[Member]],
    members: Sequence[Member],
    weights: Sequence[float],
    range_count: int,
) -> Generator[None, None, Placement[Member]]:
    """Build the placement of these servers from the previous one, which stays unchanged.

    Yields between slices of bounded work.
    """
    previous_members = set(previous.members) if previous is not None else set()
    current_members = set(members)
    leaving = [
        member
        for member in (previous.members if previous is not None else ())
        if member not in current_members
    ]
    entering = [member for member in members if member not in previous_members]
    ring: HashRing[Member] = previous.ring if previous is not None else HashRing()
    if leaving or entering:
        ring = ring.copy()
        yield
        yield from ring.change(leaving, entering)
    share = range_count * CAPACITY_FACTOR / sum(weights, 1e-9)
    capacity = {
        member: int(weight * share) + 1 for member, weight in zip(members, weights, strict=True)
    }
    owners: list[Member] = []
    for first in range(0, range_count if members else 0, SLICE_RANGES):
        owners += ring.owners_of(range(first, first + SLICE_RANGES), capacity)
        yield
    return Placement(members, weights, range_count, ring, owners)


def _points_of(member: PlacedServer) -> tuple[float, ...]:
    """The points of a server on the ring: hashes of its name, a slash and the point's number."""
    return _digests(f"{member.info.name}/", _POINT_NUMBERS)


def _digests(prefix: str, suffixes: Iterable[bytes]) -> tuple[float, ...]:
    """Hash texts with a common prefix, each like `line.digest`; the prefix is hashed once."""
    prefix_hasher = blake2b(prefix.encode(), digest_size=8)
    digests = []
    for suffix in suffixes:
        hasher = prefix_hasher.copy()
        hasher.update(suffix)
        digests.append(hasher.digest())
    return tuple(map(float, unpack(f">{len(digests)}Q", b"".join(digests))))


def _points_of_ranges(range_numbers: range) -> list[float]:
    """The points on the ring from which the search for the ranges' homes starts."""
    missing = range(len(_RANGE_POINTS), range_numbers.stop)
    if missing:
        _RANGE_POINTS.extend(_digests("range/", (b"%d" % number for number in missing)))
    return _RANGE_POINTS[range_numbers.start : range_numbers.stop]


def _point_of_range(range_number: int) -> float:
    return _points_of_ranges(range(range_number, range_number + 1))[0]


_POINT_NUMBERS = [b"%d" % number for number in range(POINTS_PER_SERVER)]
_RANGE_POINTS: list[float] = []  # a cache; grows to the number of ranges of the largest fleet
_points_of_ranges(range(MIN_RANGES))
