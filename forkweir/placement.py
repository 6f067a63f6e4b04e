"""Which server is home to which range: a hash ring with bounded loads, built in slices. Pure, no I/O, no clock.

Each server stands at POINTS_PER_SERVER places of the ring; a range goes to the next server from its own place on that has room, and a
server has room for ROOM times its share by weight (Mirrokni, Thorup, Zadimoghaddam 2018, "Consistent hashing with bounded loads").

Invariant: a `Placement` is whole and never changes. Ring, owners, and the number of ranges belong together; whoever looks up a range takes
all of them from one placement. `build` makes the next one beside it, and yields between slices of bounded work (SLICE_SERVERS or
SLICE_RANGES), so that no event of the list holds the node up in proportion to the fleet. Work of a build: POINTS_PER_SERVER hashes for each
server that is new, one pass over the ring's points where many left, one search for each range.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Generator, Iterable, Iterator, Sequence
from hashlib import blake2b
from struct import unpack
from typing import Generic, Optional, Protocol, TypeVar

from forkweir.settings import Server

POINTS_PER_SERVER = 24
CAPACITY_FACTOR = 1.12  # a server may be home to this times its exact share of ranges
MAX_NEIGHBOURS = 8  # servers known ahead for a range, home included
MIN_RANGES = 2_048  # constant for every fleet up to 256, so nodes with other lists agree
RANGES_PER_SERVER = 8  # ranges are at least this many times the servers that they are dealt to
SLICE_SERVERS = 16  # whose points are hashed between two yields,
MERGE_BATCH_SERVERS = 128  # and whose points are sorted in together: either takes under 1 ms
SLICE_RANGES = (
    256  # that get their homes between two yields: under 1 ms, the hashes of their places included
)
SLICE_POINTS = (
    8_192  # that are looked through between two yields, where many came or left: some 1 ms
)
SLICE_DELETED_POINTS = 768  # points that are deleted between two yields: under 1 ms
MAX_SINGLE_CHANGES = 8  # servers whose points are put in or deleted one by one; beyond, passes over all points are cheaper


class PlacedServer(Protocol):
    """What a placement needs of a server."""

    info: Server


Member = TypeVar("Member", bound=PlacedServer)


def ranges_for(servers: int, minimum: int = MIN_RANGES) -> int:
    """How many ranges so many servers need: doubled from `at_least` on, so that keys move seldom."""
    ranges = minimum
    while ranges < servers * RANGES_PER_SERVER:
        ranges *= 2
    return ranges


class HashRing(Generic[Member]):
    """Points in order, and whose each one is. Points are digests of 64 bits as floats, which sort several times as fast as integers."""

    __slots__ = ("points", "members", "_member_at", "_points_of")

    def __init__(self) -> None:
        self.points: list[float] = []
        self.members: list[Member] = []  # whose the point with the same index is
        self._member_at: dict[float, Member] = {}
        self._points_of: dict[Member, tuple[float, ...]] = {}

    def copy(self) -> HashRing[Member]:
        """A ring that can be changed while this one is in use."""
        ring: HashRing[Member] = HashRing()
        ring.points = self.points.copy()
        ring.members = self.members.copy()
        ring._member_at = self._member_at.copy()
        ring._points_of = self._points_of.copy()
        return ring

    def change(self, leaving: Sequence[Member], entering: Sequence[Member]) -> Iterator[None]:
        """Take servers off the ring and put others on it, in slices. `members` is whole again at the end."""
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
            self.points.sort()  # two runs that are in order: a merge
            yield

    def _insert(self, new_points: list[float]) -> None:
        for point in new_points:
            index = bisect_left(self.points, point)
            self.points.insert(index, point)
            self.members.insert(index, self._member_at[point])

    def member(self, index: int) -> Member:
        """The server at the point with this index, counted round and round."""
        return self.members[index % len(self.members)]

    def index_for(self, range_number: int) -> int:
        """Where on the ring a range begins to look for its home."""
        return bisect_left(self.points, _point_of_range(range_number))

    def owners_of(self, range_numbers: range, capacity: dict[Member, int]) -> list[Member]:
        """The homes of some ranges, each the next server with room, which it takes up."""
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
    """Homes of all ranges, for the servers and weights that were listed when it was begun."""

    __slots__ = ("members", "weights", "ranges", "ring", "owners", "_neighbours")

    def __init__(
        self,
        members: Sequence[Member],
        weights: Sequence[float],
        ranges: int,
        ring: HashRing[Member],
        owners: list[Member],
    ) -> None:
        self.members = members
        self.weights = weights
        self.ranges = ranges
        self.ring = ring
        self.owners = owners
        self._neighbours: dict[int, tuple[Member, ...]] = {}

    def neighbours(self, range_number: int) -> tuple[Member, ...]:
        """The home of a range and the servers next to it in the shared order, NEIGHBOURS at most."""
        cached = self._neighbours.get(range_number)
        if cached is None:
            cached = self._neighbours[range_number] = self._find_neighbours(range_number)
        return cached

    def _find_neighbours(self, range_number: int) -> tuple[Member, ...]:
        found = [self.owners[range_number]]
        start = self.ring.index_for(range_number)
        for step in range(len(self.ring.points)):
            member = self.ring.member(start + step)
            if member not in found:
                found.append(member)
                if len(found) >= MAX_NEIGHBOURS:
                    break
        return tuple(found)


def build(
    previous: Optional[Placement[Member]],
    members: Sequence[Member],
    weights: Sequence[float],
    ranges: int,
) -> Generator[None, None, Placement[Member]]:
    """The placement of these servers, made from the one before. Yields between slices; the one before stays whole."""
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
    share = ranges * CAPACITY_FACTOR / sum(weights, 1e-9)
    capacity = {
        member: int(weight * share) + 1 for member, weight in zip(members, weights, strict=True)
    }
    owners: list[Member] = []
    for first in range(0, ranges if members else 0, SLICE_RANGES):
        owners += ring.owners_of(range(first, first + SLICE_RANGES), capacity)
        yield
    return Placement(members, weights, ranges, ring, owners)


def _points_of(member: PlacedServer) -> tuple[float, ...]:
    """The places of a server on the ring: digests of its name, a slash and the number of the point."""
    return _digests(f"{member.info.name}/", _POINT_NUMBERS)


def _digests(prefix: str, suffixes: Iterable[bytes]) -> tuple[float, ...]:
    """Digests of texts that begin alike, each as `line.digest` has it; the common beginning is hashed once."""
    prefix_hasher = blake2b(prefix.encode(), digest_size=8)
    digests = []
    for suffix in suffixes:
        hasher = prefix_hasher.copy()
        hasher.update(suffix)
        digests.append(hasher.digest())
    return tuple(map(float, unpack(f">{len(digests)}Q", b"".join(digests))))


def _points_of_ranges(range_numbers: range) -> list[float]:
    """The places on the ring from which ranges look for their homes."""
    missing = range(len(_RANGE_POINTS), range_numbers.stop)
    if missing:
        _RANGE_POINTS.extend(_digests("range/", (b"%d" % number for number in missing)))
    return _RANGE_POINTS[range_numbers.start : range_numbers.stop]


def _point_of_range(range_number: int) -> float:
    return _points_of_ranges(range(range_number, range_number + 1))[0]


_POINT_NUMBERS = [b"%d" % number for number in range(POINTS_PER_SERVER)]
_RANGE_POINTS: list[float] = []  # grows to as many as the largest fleet has had
_points_of_ranges(range(MIN_RANGES))
