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
from forkweir.known.seen import Seen
from forkweir.known.speeds import Pace, Speeds
from forkweir.known.zones import Zones
from forkweir.limits.allowance import Account
from forkweir.placement import MAX_NEIGHBOURS, MIN_RANGES, Placement, build, ranges_for
from forkweir.settings import Server, Settings

REBUILD_INTERVAL_MS = (
    1_000.0  # between two placements; longer in proportion beyond REBUILD_SERVERS,
)
REBUILD_SERVERS = 800  # as a placement takes time in proportion to its servers (some 40 ms of a core at 3,200, in slices)
MAX_UNSLICED_SERVERS = 256  # up to so many, a placement is made in one go when a request needs it (some 10 ms at the first, then 3)
DEPARTED_HOLD_MS = 30_000.0  # a server that vanished undrained keeps its ranges this long
STREAK_DISCOUNT = 0.05  # of its good answers a server loses by each further strain in a row, for each unit of strain
SUCCESS_RELIEF = 0.6  # how much one good answer lightens the strain of bad ones
WARM_COUNT_INTERVAL_MS = (
    1_000.0  # between two counts of the warm servers, longer in proportion beyond REBUILD_SERVERS,
)
RECOUNT_SHARE = (
    0.1  # or at once where the list has changed: of a large fleet, by this part of its servers
)
MAX_SINGLE_INSERTS = 8  # servers that are put in order one by one; beyond, sorting is cheaper
PENALTY_DECAY_MS = (
    5_000.0  # strain fades by e in this time (docs/cold-and-full.md has what longer costs)
)


class Member(Health):
    """A server as this node sees it."""

    __slots__ = (
        "info",
        "removed_ms",
        "cold_since_ms",
        "listed_start_ms",
        "start_notified_ms",
        "pace",
        "load_penalty",
        "load_penalty_ms",
        "slow_streak",
        "success_score",
        "account",
    )

    def __init__(self, info: Server) -> None:
        super().__init__(info.state == "in", info.state == "draining")
        self.info = info
        self.removed_ms = 0.0
        self.cold_since_ms = info.started_ms
        self.listed_start_ms = info.started_ms  # as the list last had it
        self.start_notified_ms = 0.0  # when the node heard of its start
        self.pace = Pace()
        self.load_penalty = 0.0
        self.load_penalty_ms = 0.0
        self.slow_streak = 0
        self.success_score = 0.0
        self.account: Optional[Account] = None  # what it may get while it is cold

    def update_entry(self, info: Server) -> None:
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
        "placement_stale",
        "rebuilt_ms",
        "origin",
        "weight",
        "warm_weight",
        "warm_count_due_ms",
        "health",
        "_present",
        "_departed",
        "_max_departed",
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
        self.placement_stale = False  # the list has changed since
        self.rebuilt_ms = 0.0  # when that was
        self.origin: Optional[Member] = None
        self.weight = 0.0  # of all that are present,
        self.warm_weight = (
            0.0  # and of those that are warm and in use, counted at most every WARM_MS
        )
        self.warm_count_due_ms = 0.0
        self._present: set[Member] = set()  # of `placed`
        self._departed: dict[
            str, Member
        ] = {}  # vanished undrained, longest ago first: they keep their ranges for HOLD_MS
        self._max_departed = 0

    @property
    def in_service(self) -> int:
        """How many servers that may be home to ranges are in service."""
        return len(self._present)

    # -- the list ------------------------------------------------------------------------

    def apply_list(
        self, now: float, entries: Iterable[Server], full: bool, whole: bool = True
    ) -> None:
        """Apply a list (full) or changes to one; not whole: the rest of it follows, and homes are found after that."""
        in_service_before = self.in_service
        touched: dict[str, Member] = {}
        listed_names: set[str] = set()
        for info in entries:
            listed_names.add(info.name)
            member = self._apply_entry(info, now)
            if member is not None:
                touched[info.name] = member
        if full:
            for name, member in self.members.items():
                if name not in listed_names and (member.present or member.draining):
                    self._mark_unlisted(member, now)
                    touched[name] = member
        self._update_home_candidates(touched)
        self._forget_departed(now, in_service_before)
        if (
            not self.large
            or abs(self.in_service - in_service_before) > RECOUNT_SHARE * in_service_before
        ):
            self.warm_count_due_ms = 0.0
        self.placement_stale = self.placement_stale or whole

    def _apply_entry(self, info: Server, now: float) -> Optional[Member]:
        """Apply one entry; its member, None where the entry says that a server is gone that is not known."""
        member, listed_start_ms = self.members.get(info.name), info.started_ms
        if listed_start_ms > now:
            # It has started by the time word of it comes (guards against a node whose clock is behind keeping a server cold
            # for as long as that). Harm: none, its ramp is held to begin later than it did.
            already_listed = member is not None and member.listed_start_ms == listed_start_ms
            info = replace(
                info,
                started_ms=member.info.started_ms
                if member is not None and already_listed
                else max(now, 1.0),
            )  # 0 is long ago
        if member is None:
            if info.state in ("gone", "unlisted"):
                return None
            member = self.members[info.name] = Member(info)
            member.listed_start_ms, member.start_notified_ms = listed_start_ms, now
            return member
        member.listed_start_ms = listed_start_ms
        if info.started_ms != member.info.started_ms:
            member.restarted()
            member.cold_since_ms, member.start_notified_ms = info.started_ms, now
            member.account = None
        was_present, was_draining = member.present, member.draining
        member.update_entry(info)
        if info.state in ("gone", "unlisted") and (was_present or was_draining):
            member.removed_ms = now - DEPARTED_HOLD_MS if was_draining else now
        return member

    def _mark_unlisted(self, member: Member, now: float) -> None:
        """A whole list does not name a server any more."""
        if member.present:
            member.present = False
            member.removed_ms = now
        else:
            # Gone, and not draining for good (guards against a member kept for each server that ever drained).
            member.update_entry(replace(member.info, state="gone"))
            member.removed_ms = now - DEPARTED_HOLD_MS

    def _is_origin(self, member: Member) -> bool:
        return self.settings.cache_aside and member.info.kind == self.settings.origin_kind

    def _update_home_candidates(self, touched: dict[str, Member]) -> None:
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
            elif not self._is_home_candidate(member):
                entering.append(member)
            if may_be_home and member.present:
                self._present.add(member)
            else:
                self._present.discard(member)
        self._set_home_candidates(entering, leaving)

    def _move_origin(self) -> None:
        """The origin that is present, if there is one; of several the one with the last name."""
        origins = [
            name
            for name, member in self.members.items()
            if member.present and self._is_origin(member)
        ]
        self.origin = self.members[max(origins)] if origins else None

    def _is_home_candidate(self, member: Member) -> bool:
        index = bisect_left(self.placed, member.info.name, key=_name_of)
        return index < len(self.placed) and self.placed[index] is member

    def _set_home_candidates(self, entering: list[Member], leaving: set[Member]) -> None:
        """A new list of who may be home to ranges."""
        leaving = {member for member in leaving if self._is_home_candidate(member)}
        if not (entering or leaving):
            return
        candidates = (
            [member for member in self.placed if member not in leaving]
            if leaving
            else self.placed.copy()
        )
        if len(entering) <= MAX_SINGLE_INSERTS:
            for member in entering:
                insort(candidates, member, key=_name_of)
        else:
            candidates += entering
            candidates.sort(key=_name_of)
        self.placed = candidates

    def _forget_departed(self, now: float, in_service_before: int) -> None:
        """Drop who went drained, or HOLD_MS ago, or before as many others as were in service (guards against servers that are replaced
        over and over, each of which would count towards the number of ranges)."""
        self._max_departed = max(
            self._max_departed if len(self._departed) > 1 else 0, in_service_before, self.in_service
        )
        forgotten = [
            name
            for name, member in self._departed.items()
            if now - member.removed_ms >= DEPARTED_HOLD_MS
        ]
        kept_count = len(self._departed) - len(forgotten)
        if kept_count > self._max_departed:
            within_hold = [
                name
                for name, member in self._departed.items()
                if now - member.removed_ms < DEPARTED_HOLD_MS
            ]
            forgotten += within_hold[: kept_count - self._max_departed]
        removed = {self.members.pop(name) for name in forgotten}
        for name in forgotten:
            del self._departed[name]
        self._set_home_candidates([], removed)

    # -- homes of ranges -----------------------------------------------------------------

    @property
    def ranges(self) -> int:
        """How many ranges there are, by the placement in force."""
        return self.placement.ranges if self.placement is not None else MIN_RANGES

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
            > MAX_UNSLICED_SERVERS
        )

    def rebuild_at(self, now: float) -> float:
        """When the next placement is due, if the list has changed: at once where there is none, else not too often.

        Guards against a release at a large fleet, in which each of hundreds of changes cost every node a whole new placement. Who has
        left since gets nothing all the same.
        """
        if self.placement is None or not self.placement.owners:
            return now
        return max(
            now,
            self.rebuilt_ms + REBUILD_INTERVAL_MS * max(1.0, len(self.placed) / REBUILD_SERVERS),
        )

    def build_placement(self, now: float) -> Generator[None, None, Optional[Placement[Member]]]:
        """The placement for the list as it is now, made in slices; None where the one in force is it. The caller puts it in force."""
        self.placement_stale, self.rebuilt_ms = False, now
        members = self.placed
        weights = [self.weight_of(member) for member in members]
        current = self.placement
        if current is not None and members == current.members and weights == current.weights:
            return None
        return (yield from build(current, members, weights, ranges_for(len(members), self.ranges)))

    def neighbours(self, range_number: int) -> tuple[Member, ...]:
        """The home of a range and the servers next to it in the shared order.

        Until the first placement of a large fleet is whole, servers by their names stand in, alike at all nodes with the same list (guards
        against a node that refuses all for the time that it takes). Harm: what is fetched meanwhile is kept away from its later home.
        """
        if self.placement is not None and self.placement.owners:
            return self.placement.neighbours(range_number)
        first = range_number * len(self.placed) // self.ranges
        return tuple(islice(self._candidates_from_index(first), MAX_NEIGHBOURS))

    def candidates_from(self, range_number: int) -> Iterator[Member]:
        """All servers that may be home to ranges, another one first for each range."""
        return self._candidates_from_index(range_number % len(self.placed) if self.placed else 0)

    def _candidates_from_index(self, first: int) -> Iterator[Member]:
        """All servers that may be home to ranges, from one on and round."""
        candidates = self.placed
        return chain(islice(candidates, first, None), islice(candidates, first))

    def accepted_share(self, member: Member, now: float) -> float:
        """The part of its ranges that a server takes now; neighbours get the rest. Of a cold one the allowance takes its part too."""
        share = self.speeds.pace(member.info.kind, member.pace, self.weight_of(member))
        if member.load_penalty:
            decay = exp((member.load_penalty_ms - now) / PENALTY_DECAY_MS)
            share /= 1.0 + member.load_penalty * decay / (
                1.0 + SUCCESS_RELIEF * member.success_score * decay
            )
        return share

    def is_cold(self, member: Member, now: float) -> bool:
        """Whether the stated warm-up may still be going on."""
        return member.cold_since_ms > 0.0 and now - member.cold_since_ms < self.settings.cold_ms

    def cold_capacity(self, member: Member, now: float) -> float:
        """The part of its capacity that a cold server has at least: it grows evenly over the stated time."""
        start = self.settings.cold_start_capacity
        return start + (1.0 - start) * max(0.0, now - member.cold_since_ms) / self.settings.cold_ms

    def count_warm_weight(self, now: float) -> float:
        """The weight of all servers that are warm and in use."""
        if now >= self.warm_count_due_ms:
            self.warm_count_due_ms = now + WARM_COUNT_INTERVAL_MS * max(
                1.0, len(self.placed) / REBUILD_SERVERS
            )
            weight = warm = 0.0
            for member in self.placed:
                if member.present:
                    member_weight = self.weight_of(member)
                    weight += member_weight
                    if member.out_until <= now and not self.is_cold(member, now):
                        warm += member_weight
            self.weight, self.warm_weight = weight, warm
        return self.warm_weight

    def weight_of(self, member: Member) -> float:
        """The weight that the list gives a server, where the site's weights are of use."""
        return max(0.05, member.info.weight) if self.settings.use_weights else 1.0

    def record_load(self, member: Member, load: list[float], now: float) -> None:
        """Learn speed from a load report; a cold server's tells nothing of its kind."""
        if not self.is_cold(member, now):
            self.speeds.report(member.info.kind, member.pace, self.weight_of(member), load)

    def usable(self, member: Member, now: float) -> bool:
        """Whether an attempt may go to a server at all."""
        return member.free(now) and not self.zones.cut(member.info.zone, now)

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

    def penalize(self, member: Member, now: float, penalty: float, slow: bool = False) -> None:
        """Note a slow answer or none (or, with 0, a good one): fewer of its keys for a while (guards against a jam fed for ever)."""
        decay = exp((member.load_penalty_ms - now) / PENALTY_DECAY_MS)
        member.load_penalty = penalty + member.load_penalty * decay
        member.success_score = member.success_score * decay + (penalty == 0.0)
        # Slow ones in a row tell of now, the good ones before them do not (guards against a server that has turned slow and
        # lives on its good name for as long as strain takes to fade). One alone, as among good answers, takes nothing away,
        # nor does being turned away, which is quick. Harm: a long pause costs a server some keys for a while.
        member.slow_streak = member.slow_streak + slow if penalty else 0
        if slow and member.slow_streak > 1:
            member.success_score *= 1.0 - STREAK_DISCOUNT * penalty
        member.load_penalty_ms = now

    def nearest_with_capacity(
        self, range_number: int, tried: list[Member], now: float
    ) -> Optional[Member]:
        """The server nearest to a range that has room, if there is one.

        Guards against a part of the fleet that turns away what the rest could serve (servers cut off from the origin, or in
        trouble of their own), taken for overload of all. An attempt turned away has not run and cost little, so going on to a
        server with room needs no savings. Under overload of all nobody is calm, and this finds none.
        """
        if not (self.ready and self.placed):
            return None
        for member in chain(self.neighbours(range_number), self.candidates_from(range_number)):
            if (
                member.calm
                and self.usable(member, now)
                and member not in tried
                and not self.is_cold(member, now)
            ):
                return member
        return None

    def evaluate(self, member: Member, seen: Seen, now: float) -> None:
        """Note what an outcome tells of whether a server is there and has room."""
        if self.health.judge(member, seen, now):
            # Back from the dead without word from the list: it may be cold (guards against
            # a full range falling on a server whose restart the list has yet to tell).
            member.cold_since_ms = member.start_notified_ms = now
            member.account = None
            seen.cold = True
        self.zones.heard(member.info.zone, seen, now)

    def update_suspicion(self, member: Member, seen: Seen, now: float) -> float:
        """Note how an attempt went; how likely its server is bad."""
        return self.health.doubted(member, seen, self.placed, self.in_service, now)

    def note_unresponsive(self, member: Member, sent_ms: float, aim_ms: float, now: float) -> bool:
        """Note a request out for long; whether the server is to be put out for saying nothing."""
        return self.health.silent_for(member, sent_ms, aim_ms, self.placed, self.in_service, now)


def _name_of(member: Member) -> str:
    return member.info.name
