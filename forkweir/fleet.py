"""The fleet: membership, warm-up and load penalties. See `placement` for homes of ranges and
`known.health` for health.

Keys are partitioned by their hashes into ranges. The home of a range is the server that gets, and
so caches, the keys of the range.

A change of the list takes time in proportion to the servers that it names, and a copy of the sorted
list of home candidates where that changes. All servers are visited by a full list, by the sum of
the warm weights, by a change of the origin, by some health decisions, by the counts of servers by
state, and by the placement, which is built in slices beside the one in force.

Bounds: one member for each listed server and one for each departed server, that is, one that left
the list without draining. A departed server is removed by the first change of the list after
DEPARTED_HOLD_MS. At most `_max_departed` of them are kept, a number that was in service before.
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
from forkweir.placement import MAX_PREFERRED_SERVERS, MIN_RANGES, Placement, build, range_count_for
from forkweir.settings import Server, Settings

# Least time between two placements of up to REBUILD_SERVERS servers; longer in proportion beyond.
REBUILD_INTERVAL_MS = 1_000.0
# Fleets of up to this many servers have the shortest intervals between placements and between sums
# of warm weights; beyond, intervals grow in proportion to the servers, as does the time that a
# placement takes: about 40 ms of a core at 3,200 servers, in slices.
REBUILD_SERVERS = 800
# Placements of up to this many servers are built in one go when a request needs them (about 10 ms
# for the first one, then 3 ms).
MAX_UNSLICED_SERVERS = 256
# How long a server that left the list without draining keeps its ranges.
DEPARTED_HOLD_MS = 30_000.0
# Share of its success score that a server loses by the second and each further slow outcome in a
# row, per unit of that outcome's penalty.
STREAK_DISCOUNT = 0.05
# How much one fast hit reduces the effect of the load penalty.
SUCCESS_RELIEF = 0.6
# Least time between two sums of warm weights; longer in proportion beyond REBUILD_SERVERS.
WARM_WEIGHT_INTERVAL_MS = 1_000.0
# A change of more than this share of a large fleet's servers makes the sum of the warm weights due
# immediately.
RECOMPUTE_SHARE = 0.1
# Servers that are inserted one by one into the sorted list; for more, sorting is cheaper.
MAX_SINGLE_INSERTS = 8
# Time constant of the decay of load penalties (docs/cold-and-full.md: what a longer one costs).
PENALTY_DECAY_MS = 5_000.0


class Member(Health):
    """What this node knows of a server: its list entry, health, warm-up and load."""

    __slots__ = (
        "info",
        "removed_ms",
        "cold_since_ms",
        "listed_start_ms",
        "start_notified_ms",
        "load_totals",
        "load_penalty",
        "load_penalty_ms",
        "slow_streak",
        "success_score",
        "token_bucket",
    )

    def __init__(self, info: Server) -> None:
        super().__init__(info.state == "in", info.state == "draining")
        self.info = info
        # When the server left the list; DEPARTED_HOLD_MS earlier if it had drained, so that it is
        # removed immediately.
        self.removed_ms = 0.0
        # Four start times. `info.started_ms`: the listed one, but no later than the time of the
        # first notification of it. `listed_start_ms`: the listed one, unchanged. `cold_since_ms`:
        # when the warm-up began (0: long ago), which is `info.started_ms` or the end of a long
        # ejection. `start_notified_ms`: when this node was notified of that start or presumed it.
        self.cold_since_ms = info.started_ms
        self.listed_start_ms = info.started_ms
        self.start_notified_ms = 0.0
        self.load_totals = LoadTotals()
        # Of slow hits, time-outs, rejections and lost hedge races, as of load_penalty_ms.
        self.load_penalty = 0.0
        self.load_penalty_ms = 0.0
        # Slow hits, time-outs and lost hedge races since the last fast hit.
        self.slow_streak = 0
        self.success_score = 0.0  # fast hits, decayed like the penalty
        self.token_bucket: Optional[TokenBucket] = None  # of slow start, while cold

    def update_entry(self, info: Server) -> None:
        """Replace the list entry and the states that follow from it."""
        self.info = info
        self.present, self.draining = info.state == "in", info.state == "draining"


class Fleet:
    """The servers of a site: membership, drains, weights, homes of ranges, warm-up and health."""

    __slots__ = (
        "settings",
        "members",
        "placement",
        "home_candidates",
        "zones",
        "speeds",
        "placement_stale",
        "build_started_ms",
        "origin",
        "total_weight",
        "warm_weight",
        "warm_weight_due_ms",
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
        # Members that may be home to ranges, whether or not the placement in force has them, sorted
        # by name. Replaced rather than changed in place, since a placement and its build refer to
        # the list that the build began with.
        self.home_candidates: list[Member] = []
        # Homes of ranges, for the home candidates when the build began.
        self.placement: Optional[Placement[Member]] = None
        self.placement_stale = False  # the list has changed since the last build began
        self.build_started_ms = 0.0  # when the last build began
        self.origin: Optional[Member] = None
        self.total_weight = 0.0  # of the present home candidates, as of the last sum
        self.warm_weight = 0.0  # of those that were also warm and not ejected
        self.warm_weight_due_ms = 0.0
        self._present: set[Member] = set()  # home candidates in service
        # Members that left the list, oldest first. Those that left without draining keep their
        # ranges for DEPARTED_HOLD_MS; drained ones are removed by the same change of the list.
        self._departed: dict[str, Member] = {}
        # Maximum number of them that is kept: the largest number of servers in service before or
        # after the changes of the list since `_departed` last held at most one.
        self._max_departed = 0

    @property
    def in_service_count(self) -> int:
        """The number of home candidates that are in service."""
        return len(self._present)

    # -- the list ------------------------------------------------------------------------

    def apply_list(
        self, now: float, entries: Iterable[Server], full: bool, last_of_series: bool = True
    ) -> None:
        """Apply a full list or changes of it.

        last_of_series: False if further calls complete the change; a placement becomes due only
        after the last of them.
        """
        in_service_before = self.in_service_count
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
            or abs(self.in_service_count - in_service_before) > RECOMPUTE_SHARE * in_service_before
        ):
            self.warm_weight_due_ms = 0.0
        self.placement_stale = self.placement_stale or last_of_series

    def _apply_entry(self, info: Server, now: float) -> Optional[Member]:
        """Apply one entry and return its member; None for the removal of an unknown server."""
        member, listed_start_ms = self.members.get(info.name), info.started_ms
        if listed_start_ms > now:
            # The start lies in the future by this node's clock, which is behind. The server has
            # started by the time of the notification, which is taken instead. With the listed time
            # it would stay cold longer by the difference of the clocks. The warm-up is taken to
            # begin later than it did, which does no harm.
            start_unchanged = member is not None and member.listed_start_ms == listed_start_ms
            # At least 1, as 0 stands for a start long ago.
            info = replace(
                info,
                started_ms=member.info.started_ms
                if member is not None and start_unchanged
                else max(now, 1.0),
            )
        if member is None:
            if info.state in ("gone", "unlisted"):
                return None
            member = self.members[info.name] = Member(info)
            member.listed_start_ms, member.start_notified_ms = listed_start_ms, now
            return member
        member.listed_start_ms = listed_start_ms
        if info.started_ms != member.info.started_ms:
            member.record_restart()
            member.cold_since_ms, member.start_notified_ms = info.started_ms, now
            member.token_bucket = None
        was_present, was_draining = member.present, member.draining
        member.update_entry(info)
        if info.state in ("gone", "unlisted") and (was_present or was_draining):
            member.removed_ms = now - DEPARTED_HOLD_MS if was_draining else now
        return member

    def _mark_unlisted(self, member: Member, now: float) -> None:
        """Apply the absence of a server from a full list."""
        if member.present:
            member.present = False
            member.removed_ms = now
        else:
            # Removed rather than draining for ever, which would keep a member for each server that
            # ever drained.
            member.update_entry(replace(member.info, state="gone"))
            member.removed_ms = now - DEPARTED_HOLD_MS

    def _is_origin(self, member: Member) -> bool:
        return self.settings.cache_aside and member.info.kind == self.settings.origin_kind

    def _update_home_candidates(self, touched: dict[str, Member]) -> None:
        """Update the home candidates by the members that the list changed."""
        entering: list[Member] = []
        leaving: set[Member] = set()
        for name, member in touched.items():
            if not (member.present or member.draining):
                self._departed.setdefault(name, member)
            else:
                self._departed.pop(name, None)
            if self._is_origin(member):
                self._update_origin()
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

    def _update_origin(self) -> None:
        """Set the origin: the server listed as such, the last by name of several, or None."""
        origins = [
            name
            for name, member in self.members.items()
            if member.present and self._is_origin(member)
        ]
        self.origin = self.members[max(origins)] if origins else None

    def _is_home_candidate(self, member: Member) -> bool:
        index = bisect_left(self.home_candidates, member.info.name, key=_name_of)
        return index < len(self.home_candidates) and self.home_candidates[index] is member

    def _set_home_candidates(self, entering: list[Member], leaving: set[Member]) -> None:
        """Replace the sorted list of home candidates."""
        leaving = {member for member in leaving if self._is_home_candidate(member)}
        if not (entering or leaving):
            return
        candidates = (
            [member for member in self.home_candidates if member not in leaving]
            if leaving
            else self.home_candidates.copy()
        )
        if len(entering) <= MAX_SINGLE_INSERTS:
            for member in entering:
                insort(candidates, member, key=_name_of)
        else:
            candidates += entering
            candidates.sort(key=_name_of)
        self.home_candidates = candidates

    def _forget_departed(self, now: float, in_service_before: int) -> None:
        """Remove departed members that had drained, left DEPARTED_HOLD_MS ago, or are too many.

        The oldest beyond `_max_departed` are too many: otherwise, servers that are replaced over
        and over would all count towards the number of ranges.
        """
        self._max_departed = max(
            self._max_departed if len(self._departed) > 1 else 0,
            in_service_before,
            self.in_service_count,
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
    def range_count(self) -> int:
        """The number of ranges of the placement in force."""
        return self.placement.range_count if self.placement is not None else MIN_RANGES

    @property
    def ready(self) -> bool:
        """Whether requests can be sent: some range has a home, or servers are selected by name.

        The latter is so at a large fleet until its first placement (see `preference_list`).
        """
        if self.placement is not None and self.placement.owners:
            return True
        return self.large and bool(self.home_candidates)

    @property
    def large(self) -> bool:
        """Whether placements are built in slices.

        So it is where the home candidates, or the servers of the placement in force, are more than
        MAX_UNSLICED_SERVERS.
        """
        return (
            max(
                len(self.home_candidates),
                len(self.placement.members) if self.placement is not None else 0,
            )
            > MAX_UNSLICED_SERVERS
        )

    def next_build_due(self, now: float) -> float:
        """When the next placement is due after a change of the list.

        Immediately if there is none, else at a limited rate. Otherwise each of the hundreds of list
        changes while new software is rolled out to a large fleet would cost every node a new
        placement. Servers that left meanwhile get no requests in any case.
        """
        if self.placement is None or not self.placement.owners:
            return now
        return max(
            now,
            self.build_started_ms
            + REBUILD_INTERVAL_MS * max(1.0, len(self.home_candidates) / REBUILD_SERVERS),
        )

    def build_placement(self, now: float) -> Generator[None, None, Optional[Placement[Member]]]:
        """Build the placement for the present list in slices; the caller puts it in force.

        Returns None if the placement in force is already that of the list.
        """
        self.placement_stale, self.build_started_ms = False, now
        members = self.home_candidates
        weights = [self.weight_of(member) for member in members]
        current = self.placement
        if current is not None and members == current.members and weights == current.weights:
            return None
        return (
            yield from build(
                current, members, weights, range_count_for(len(members), self.range_count)
            )
        )

    def preference_list(self, range_number: int) -> tuple[Member, ...]:
        """The home of a range and the next servers in the order that all nodes share.

        Until the first placement of a large fleet is built, servers in the order of their names are
        used, the same at all nodes with the same list; otherwise the node would refuse everything
        meanwhile. The cost: what is fetched until then is cached away from its later home.
        """
        if self.placement is not None and self.placement.owners:
            return self.placement.preference_list(range_number)
        first = range_number * len(self.home_candidates) // self.range_count
        return tuple(islice(self._candidates_from_index(first), MAX_PREFERRED_SERVERS))

    def candidates_from(self, range_number: int) -> Iterator[Member]:
        """All home candidates, beginning at the range's number modulo how many there are."""
        return self._candidates_from_index(
            range_number % len(self.home_candidates) if self.home_candidates else 0
        )

    def _candidates_from_index(self, first: int) -> Iterator[Member]:
        """All home candidates, beginning at an index and wrapping around."""
        candidates = self.home_candidates
        return chain(islice(candidates, first, None), islice(candidates, first))

    def accepted_share(self, member: Member, now: float) -> float:
        """The share of its keys that a server takes now; the preference list's others get the rest.

        The token bucket of a cold server reduces it further.
        """
        share = self.speeds.relative_capacity(
            member.info.kind, member.load_totals, self.weight_of(member)
        )
        if member.load_penalty:
            decay = exp((member.load_penalty_ms - now) / PENALTY_DECAY_MS)
            share /= 1.0 + member.load_penalty * decay / (
                1.0 + SUCCESS_RELIEF * member.success_score * decay
            )
        return share

    def is_cold(self, member: Member, now: float) -> bool:
        """Whether the server may still be within the configured warm-up."""
        return member.cold_since_ms > 0.0 and now - member.cold_since_ms < self.settings.cold_ms

    def cold_capacity(self, member: Member, now: float) -> float:
        """The share of its full capacity that a cold server is assumed to have.

        Grows linearly from `Settings.cold_start_capacity` to 1 over `Settings.cold_ms`.
        """
        start = self.settings.cold_start_capacity
        return start + (1.0 - start) * max(0.0, now - member.cold_since_ms) / self.settings.cold_ms

    def update_warm_weight(self, now: float) -> float:
        """Return the total weight of the warm servers in use, summed anew if that is due."""
        if now >= self.warm_weight_due_ms:
            self.warm_weight_due_ms = now + WARM_WEIGHT_INTERVAL_MS * max(
                1.0, len(self.home_candidates) / REBUILD_SERVERS
            )
            total_weight = warm_weight = 0.0
            for member in self.home_candidates:
                if member.present:
                    member_weight = self.weight_of(member)
                    total_weight += member_weight
                    if member.ejected_until <= now and not self.is_cold(member, now):
                        warm_weight += member_weight
            self.total_weight, self.warm_weight = total_weight, warm_weight
        return self.warm_weight

    def weight_of(self, member: Member) -> float:
        """The listed weight of a server, at least 0.05; 1 where the site's weights are not used."""
        return max(0.05, member.info.weight) if self.settings.use_weights else 1.0

    def record_load_report(self, member: Member, load: list[float], now: float) -> None:
        """Update speeds by a load report, unless the server is cold.

        The report of a cold server doesn't show the speed of its server type (`Server.kind`).
        """
        if not self.is_cold(member, now):
            self.speeds.record_load_report(
                member.info.kind, member.load_totals, self.weight_of(member), load
            )

    def usable(self, member: Member, now: float) -> bool:
        """Whether a server may get attempts at all."""
        return member.may_get_requests(now) and not self.zones.is_partitioned(member.info.zone, now)

    def states(self, now: float) -> dict[State, int]:
        """The number of servers in each state of health."""
        counts = dict.fromkeys(STATES, 0)
        for member in self.members.values():
            counts[member.state(now, self.is_cold(member, now))] += 1
        return counts

    def ejected_count(self, now: float) -> int:
        """The number of listed servers that get no requests now because of past outcomes."""
        return sum(
            member.present and not self.usable(member, now) for member in self.members.values()
        )

    def update_load_penalty(
        self, member: Member, now: float, penalty: float, slow: bool = False
    ) -> None:
        """Update the load penalty by a bad outcome, or by a fast hit if `penalty` is 0.

        slow: the outcome was a slow or missing answer rather than a rejection. A penalized server
        gets fewer of its keys for a while; else it would stay overloaded.
        """
        decay = exp((member.load_penalty_ms - now) / PENALTY_DECAY_MS)
        member.load_penalty = penalty + member.load_penalty * decay
        member.success_score = member.success_score * decay + (penalty == 0.0)
        # Slow answers in a row outweigh the fast hits before them. Otherwise a server that has
        # become slow would be spared by its past successes for as long as penalties take to decay.
        # A single slow answer among fast hits takes nothing away, nor does a rejection, which is
        # quick. The cost: a long pause costs a server some keys for a while.
        member.slow_streak = member.slow_streak + slow if penalty else 0
        if slow and member.slow_streak > 1:
            member.success_score *= 1.0 - STREAK_DISCOUNT * penalty
        member.load_penalty_ms = now

    def nearest_with_capacity(
        self, range_number: int, tried: list[Member], now: float
    ) -> Optional[Member]:
        """The first server with capacity, by preference for a range; None if there is none.

        Used to retry a request that a server has rejected. Without the retry, rejections by a part
        of the fleet (servers cut off from the origin, or otherwise faulty) of what the rest could
        serve would be taken for an overload of all. A rejected attempt has not run and cost little,
        so its retry needs no retry budget. When all servers are overloaded, none has capacity.
        """
        if not (self.ready and self.home_candidates):
            return None
        for member in chain(self.preference_list(range_number), self.candidates_from(range_number)):
            if (
                member.rejects_little
                and self.usable(member, now)
                and member not in tried
                and not self.is_cold(member, now)
            ):
                return member
        return None

    def record_outcome(self, member: Member, outcome: AttemptOutcome, now: float) -> None:
        """Update the reachability and capacity of a server and its zone by an outcome."""
        if self.health.record_outcome(member, outcome, now):
            # The server answers again after a long ejection, without a start in the list. Treat it
            # as cold, since it may have restarted before the list says so; taken for warm, it would
            # get all of its keys immediately.
            member.cold_since_ms = member.start_notified_ms = now
            member.token_bucket = None
            outcome.cold = True
        self.zones.record_zone_answer(member.info.zone, outcome, now)

    def update_suspicion(self, member: Member, outcome: AttemptOutcome, now: float) -> float:
        """Update outlier detection by an outcome; return the probability that its server is bad."""
        return self.health.update_suspicion(
            member, outcome, self.home_candidates, self.in_service_count, now
        )

    def record_unanswered(self, member: Member, sent_ms: float, aim_ms: float, now: float) -> bool:
        """Record one attempt that has long been unanswered; return whether to eject its server."""
        return self.health.record_unanswered(
            member, sent_ms, aim_ms, self.home_candidates, self.in_service_count, now
        )


def _name_of(member: Member) -> str:
    return member.info.name
