"""The fleet: membership, warm-up, and strain. Homes of ranges are `placement`'s, health is `health`'s.

A change of the list costs in proportion to the servers that it names, but for copies of the sorted list of servers; what must visit all
of them is the placement, which is made beside the one in force, in slices.

Bounds: a member for each listed server, and for servers that vanished undrained, as many as were in service at most, for HOLD_MS.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Generator, Iterable, Iterator
from dataclasses import replace
from itertools import chain, islice
from math import exp
from typing import Optional

from forkweir.known.health import STATES, Health, HealthTable, State
from forkweir.known.outcomes import AttemptOutcome
from forkweir.known.speeds import LoadTotals, Speeds
from forkweir.known.zones import Zones
from forkweir.limits.slow_start import TokenBucket
from forkweir.placement import NEIGHBOURS, SMALLEST_RANGES, Placement, build, ranges_for
from forkweir.settings import Server, Settings

REBUILD_MS = 1_000.0  # between two placements; longer in proportion beyond REBUILD_SERVERS,
REBUILD_SERVERS = 800  # as a placement takes time in proportion to its servers (some 40 ms of a core at 3,200, in slices)
AT_ONCE_SERVERS = 256  # up to so many, a placement is made in one go when a request needs it (some 10 ms at the first, then 3)
HOLD_MS = 30_000.0  # a server that vanished undrained keeps its ranges this long
WASH = 0.05  # of its good answers a server loses by each further strain in a row, for each unit of strain
EASE = 0.6  # how much one good answer lightens the strain of bad ones
WARM_MS = (
    1_000.0  # between two counts of the warm servers, longer in proportion beyond REBUILD_SERVERS,
)
RECOUNT_PART = (
    0.1  # or at once where the list has changed: of a large fleet, by this part of its servers
)
FEW = 8  # servers that are put in order one by one; beyond, sorting is cheaper
STRAIN_MS = 5_000.0  # strain fades by e in this time (docs/cold-and-full.md has what longer costs)


class Member(Health):
    """A server as this node sees it."""

    __slots__ = (
        "info",
        "gone_ms",
        "warm_ms",
        "told_ms",
        "known_ms",
        "pace",
        "strain",
        "strain_ms",
        "slow_row",
        "good",
        "account",
    )

    def __init__(self, info: Server) -> None:
        super().__init__(info.state == "in", info.state == "draining")
        self.info = info
        self.gone_ms = 0.0
        self.warm_ms = info.started_ms
        self.told_ms = info.started_ms  # as the list last had it
        self.known_ms = 0.0  # when the node heard of its start
        self.pace = LoadTotals()
        self.strain = 0.0
        self.strain_ms = 0.0
        self.slow_row = 0
        self.good = 0.0
        self.account: Optional[TokenBucket] = None  # what it may get while it is cold

    def listed(self, info: Server) -> None:
        """The list has this of it from now on."""
        self.info = info
        self.present, self.draining = info.state == "in", info.state == "draining"


class Fleet:
    """Membership, drains, weights, homes of ranges, warm-up and health."""

    __slots__ = (
        "settings",
        "members",
        "placement",
        "placed",
        "zones",
        "speeds",
        "stale",
        "rebuilt_ms",
        "origin",
        "weight",
        "warm_weight",
        "warm_due",
        "health",
        "_present",
        "_departed",
        "_most_departed",
    )

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.health = HealthTable(seed)
        self.members: dict[str, Member] = {}
        self.zones = Zones(settings.zone)
        self.speeds = Speeds(settings)
        self.placed: list[
            Member
        ] = []  # who may be home to ranges, in the order of their names; never changed in place
        self.placement: Optional[Placement[Member]] = (
            None  # homes of ranges, for those who were in `placed` when it was begun
        )
        self.stale = False  # the list has changed since
        self.rebuilt_ms = 0.0  # when that was
        self.origin: Optional[Member] = None
        self.weight = 0.0  # of all that are present,
        self.warm_weight = (
            0.0  # and of those that are warm and in use, counted at most every WARM_MS
        )
        self.warm_due = 0.0
        self._present: set[Member] = set()  # of `placed`
        self._departed: dict[
            str, Member
        ] = {}  # vanished undrained, longest ago first: they keep their ranges for HOLD_MS
        self._most_departed = 0

    @property
    def live(self) -> int:
        """How many servers that may be home to ranges are in service."""
        return len(self._present)

    # -- the list ------------------------------------------------------------------------

    def take(self, now: float, entries: Iterable[Server], full: bool, whole: bool = True) -> None:
        """Apply a list (full) or changes to one; not whole: the rest of it follows, and homes are found after that."""
        before = self.live
        touched: dict[str, Member] = {}
        named: set[str] = set()
        for info in entries:
            named.add(info.name)
            member = self._listed(info, now)
            if member is not None:
                touched[info.name] = member
        if full:
            for name, member in self.members.items():
                if name not in named and (member.present or member.draining):
                    self._vanished(member, now)
                    touched[name] = member
        self._update_placed(touched)
        self._forget_departed(now, before)
        if not self.large or abs(self.live - before) > RECOUNT_PART * before:
            self.warm_due = 0.0
        self.stale = self.stale or whole

    def _listed(self, info: Server, now: float) -> Optional[Member]:
        """Apply one entry; its member, None where the entry says that a server is gone that is not known."""
        member, told = self.members.get(info.name), info.started_ms
        if told > now:
            # It has started by the time word of it comes (guards against a node whose clock is behind keeping a server cold
            # for as long as that). Harm: none, its ramp is held to begin later than it did.
            again = member is not None and member.told_ms == told
            info = replace(
                info,
                started_ms=member.info.started_ms
                if member is not None and again
                else max(now, 1.0),
            )  # 0 is long ago
        if member is None:
            if info.state in ("gone", "unlisted"):
                return None
            member = self.members[info.name] = Member(info)
            member.told_ms, member.known_ms = told, now
            return member
        member.told_ms = told
        if info.started_ms != member.info.started_ms:
            member.record_restart()
            member.warm_ms, member.known_ms = info.started_ms, now
            member.account = None
        was, drained = member.present, member.draining
        member.listed(info)
        if info.state in ("gone", "unlisted") and (was or drained):
            member.gone_ms = now - HOLD_MS if drained else now
        return member

    def _vanished(self, member: Member, now: float) -> None:
        """A whole list does not name a server any more."""
        if member.present:
            member.present = False
            member.gone_ms = now
        else:
            # Gone, and not draining for good (guards against a member kept for each server that ever drained).
            member.listed(replace(member.info, state="gone"))
            member.gone_ms = now - HOLD_MS

    def _is_origin(self, member: Member) -> bool:
        return self.settings.aside and member.info.kind == self.settings.origin_kind

    def _update_placed(self, touched: dict[str, Member]) -> None:
        """Bring who may be home to ranges up to date with the members that an entry was about."""
        entering: list[Member] = []
        leaving: set[Member] = set()
        for name, member in touched.items():
            if not (member.present or member.draining):
                self._departed.setdefault(name, member)
            else:
                self._departed.pop(name, None)
            if self._is_origin(member):
                self._move_origin()
            may_be_home = not (member.draining or self._is_origin(member))
            if not may_be_home:
                leaving.add(member)
            elif not self._is_placed(member):
                entering.append(member)
            if may_be_home and member.present:
                self._present.add(member)
            else:
                self._present.discard(member)
        self._replace_placed(entering, leaving)

    def _move_origin(self) -> None:
        """The origin that is present, if there is one; of several the one with the last name."""
        origins = [
            name
            for name, member in self.members.items()
            if member.present and self._is_origin(member)
        ]
        self.origin = self.members[max(origins)] if origins else None

    def _is_placed(self, member: Member) -> bool:
        at = bisect_left(self.placed, member.info.name, key=_name_of)
        return at < len(self.placed) and self.placed[at] is member

    def _replace_placed(self, entering: list[Member], leaving: set[Member]) -> None:
        """A new list of who may be home to ranges."""
        leaving = {member for member in leaving if self._is_placed(member)}
        if not (entering or leaving):
            return
        placed = (
            [member for member in self.placed if member not in leaving]
            if leaving
            else self.placed.copy()
        )
        if len(entering) <= FEW:
            for member in entering:
                insort(placed, member, key=_name_of)
        else:
            placed += entering
            placed.sort(key=_name_of)
        self.placed = placed

    def _forget_departed(self, now: float, in_service_before: int) -> None:
        """Drop who went drained, or HOLD_MS ago, or before as many others as were in service (guards against servers that are replaced
        over and over, each of which would count towards the number of ranges)."""
        self._most_departed = max(
            self._most_departed if len(self._departed) > 1 else 0, in_service_before, self.live
        )
        over = [name for name, member in self._departed.items() if now - member.gone_ms >= HOLD_MS]
        spared = len(self._departed) - len(over)
        if spared > self._most_departed:
            held = [
                name for name, member in self._departed.items() if now - member.gone_ms < HOLD_MS
            ]
            over += held[: spared - self._most_departed]
        gone = {self.members.pop(name) for name in over}
        for name in over:
            del self._departed[name]
        self._replace_placed([], gone)

    # -- homes of ranges -----------------------------------------------------------------

    @property
    def ranges(self) -> int:
        """How many ranges there are, by the placement in force."""
        return self.placement.ranges if self.placement is not None else SMALLEST_RANGES

    @property
    def ready(self) -> bool:
        """Whether any range has a home."""
        if self.placement is not None and self.placement.owners:
            return True
        return self.large and bool(self.placed)

    @property
    def large(self) -> bool:
        """Whether a placement is to be made in slices."""
        return (
            max(len(self.placed), len(self.placement.members) if self.placement is not None else 0)
            > AT_ONCE_SERVERS
        )

    def rebuild_at(self, now: float) -> float:
        """When the next placement is due, if the list has changed: at once where there is none, else not too often.

        Guards against a release at a large fleet, in which each of hundreds of changes cost every node a whole new placement. Who has
        left since gets nothing all the same.
        """
        if self.placement is None or not self.placement.owners:
            return now
        return max(now, self.rebuilt_ms + REBUILD_MS * max(1.0, len(self.placed) / REBUILD_SERVERS))

    def build_placement(self, now: float) -> Generator[None, None, Optional[Placement[Member]]]:
        """The placement for the list as it is now, made in slices; None where the one in force is it. The caller puts it in force."""
        self.stale, self.rebuilt_ms = False, now
        members = self.placed
        weights = [self.weight_of(member) for member in members]
        before = self.placement
        if before is not None and members == before.members and weights == before.weights:
            return None
        return (yield from build(before, members, weights, ranges_for(len(members), self.ranges)))

    def neighbours(self, range_number: int) -> tuple[Member, ...]:
        """The home of a range and the servers next to it in the shared order.

        Until the first placement of a large fleet is whole, servers by their names stand in, alike at all nodes with the same list (guards
        against a node that refuses all for the time that it takes). Harm: what is fetched meanwhile is kept away from its later home.
        """
        if self.placement is not None and self.placement.owners:
            return self.placement.neighbours(range_number)
        first = range_number * len(self.placed) // self.ranges
        return tuple(islice(self._round(first), NEIGHBOURS))

    def from_turn(self, range_number: int) -> Iterator[Member]:
        """All servers that may be home to ranges, another one first for each range."""
        return self._round(range_number % len(self.placed) if self.placed else 0)

    def _round(self, first: int) -> Iterator[Member]:
        """All servers that may be home to ranges, from one on and round."""
        placed = self.placed
        return chain(islice(placed, first, None), islice(placed, first))

    def kept(self, member: Member, now: float) -> float:
        """The part of its ranges that a server takes now; neighbours get the rest. Of a cold one the allowance takes its part too."""
        part = self.speeds.relative_capacity(member.info.kind, member.pace, self.weight_of(member))
        if member.strain:
            fade = exp((member.strain_ms - now) / STRAIN_MS)
            part /= 1.0 + member.strain * fade / (1.0 + EASE * member.good * fade)
        return part

    def is_cold(self, member: Member, now: float) -> bool:
        """Whether the stated warm-up may still be going on."""
        return member.warm_ms > 0.0 and now - member.warm_ms < self.settings.cold_ms

    def ramp(self, member: Member, now: float) -> float:
        """The part of its capacity that a cold server has at least: it grows evenly over the stated time."""
        start = self.settings.cold_from
        return start + (1.0 - start) * max(0.0, now - member.warm_ms) / self.settings.cold_ms

    def warm(self, now: float) -> float:
        """The weight of all servers that are warm and in use."""
        if now >= self.warm_due:
            self.warm_due = now + WARM_MS * max(1.0, len(self.placed) / REBUILD_SERVERS)
            weight = warm = 0.0
            for member in self.placed:
                if member.present:
                    part = self.weight_of(member)
                    weight += part
                    if member.ejected_until <= now and not self.is_cold(member, now):
                        warm += part
            self.weight, self.warm_weight = weight, warm
        return self.warm_weight

    def weight_of(self, member: Member) -> float:
        """The weight that the list gives a server, where the site's weights are of use."""
        return max(0.05, member.info.weight) if self.settings.weighted else 1.0

    def report(self, member: Member, load: list[float], now: float) -> None:
        """Learn speed from a load report; a cold server's tells nothing of its kind."""
        if not self.is_cold(member, now):
            self.speeds.record_load(member.info.kind, member.pace, self.weight_of(member), load)

    def usable(self, member: Member, now: float) -> bool:
        """Whether an attempt may go to a server at all."""
        return member.may_get_requests(now) and not self.zones.is_partitioned(member.info.zone, now)

    def states(self, now: float) -> dict[State, int]:
        """How many servers are in each state of health."""
        counts = dict.fromkeys(STATES, 0)
        for member in self.members.values():
            counts[member.state(now, self.is_cold(member, now))] += 1
        return counts

    def avoided(self, now: float) -> int:
        """How many servers of the list get nothing now because of how they did."""
        return sum(
            member.present and not self.usable(member, now) for member in self.members.values()
        )

    def strained(self, member: Member, now: float, more: float, slow: bool = False) -> None:
        """Note a slow answer or none (or, with 0, a good one): fewer of its keys for a while (guards against a jam fed for ever)."""
        fade = exp((member.strain_ms - now) / STRAIN_MS)
        member.strain = more + member.strain * fade
        member.good = member.good * fade + (more == 0.0)
        # Slow ones in a row tell of now, the good ones before them do not (guards against a server that has turned slow and
        # lives on its good name for as long as strain takes to fade). One alone, as among good answers, takes nothing away,
        # nor does being turned away, which is quick. Harm: a long pause costs a server some keys for a while.
        member.slow_row = member.slow_row + slow if more else 0
        if slow and member.slow_row > 1:
            member.good *= 1.0 - WASH * more
        member.strain_ms = now

    def calm(self, r: int, tried: list[Member], now: float) -> Optional[Member]:
        """The server nearest to a range that has room, if there is one.

        Guards against a part of the fleet that turns away what the rest could serve (servers cut off from the origin, or in
        trouble of their own), taken for overload of all. An attempt turned away has not run and cost little, so going on to a
        server with room needs no savings. Under overload of all nobody is calm, and this finds none.
        """
        if not (self.ready and self.placed):
            return None
        for member in chain(self.neighbours(r), self.from_turn(r)):
            if (
                member.rejects_little
                and self.usable(member, now)
                and member not in tried
                and not self.is_cold(member, now)
            ):
                return member
        return None

    def judge(self, member: Member, seen: AttemptOutcome, now: float) -> None:
        """Note what an outcome tells of whether a server is there and has room."""
        if self.health.record_outcome(member, seen, now):
            # Back from the dead without word from the list: it may be cold (guards against
            # a full range falling on a server whose restart the list has yet to tell).
            member.warm_ms = member.known_ms = now
            member.account = None
            seen.cold = True
        self.zones.record_zone_answer(member.info.zone, seen, now)

    def doubted(self, member: Member, seen: AttemptOutcome, now: float) -> float:
        """Note how an attempt went; how likely its server is bad."""
        return self.health.update_suspicion(member, seen, self.placed, self.live, now)

    def silent_for(self, member: Member, sent_ms: float, aim_ms: float, now: float) -> bool:
        """Note a request out for long; whether the server is to be put out for saying nothing."""
        return self.health.record_unanswered(member, sent_ms, aim_ms, self.placed, self.live, now)


def _name_of(member: Member) -> str:
    return member.info.name
