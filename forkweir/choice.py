"""The balancer: every decision of forkweir. Pure, deterministic, no I/O and no clock of its own.

The ordinary path is DEMB (distributed exponential moving boundary; Lee et al., "DEMB: Cache-Aware
Scheduling for Distributed Query Processing"; see docs/design.md): a key is hashed to a position on
a line, a window of recent positions is cut into ranges of equal count, each new set of cuts is
blended into the earlier cuts, and a request goes to the home server of its position's range.

The aim of a request is the time by which its response counts as in time (`ClassSpec.aim_ms`); its
deadline is when the client stops waiting. A server that fails, hangs or is suspect is ejected:
it gets no requests for a while, and then a single trial request (see `known.health`).

Submodules: `line` (positions and cuts), `fleet` (servers, homes, health), `gate` (admission
control), `request` (state of one request) and `settings` (shared types). Times are in ms.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from heapq import heappop, heappush
from typing import Optional

from forkweir.fleet import Fleet, Member
from forkweir.gate import (
    NORMAL_FAILURE_SHARE,
    NORMAL_SLOW_HIT_SHARE,
    ORIGIN_DOWN_LEVEL,
    ORIGIN_SLOW_LEVEL,
    Gate,
)
from forkweir.known.discovery_polling import PollSchedule
from forkweir.known.outcomes import OUTCOME_TYPES, AttemptOutcome
from forkweir.limits.client_wait import ClientWaits
from forkweir.limits.fetch_budget import EXEMPT_COST, FetchBudget
from forkweir.limits.limit_shares import TierShares
from forkweir.limits.request_cost import Costs
from forkweir.limits.retry_budget import QUICK_ERROR_SHARE, RETRY_SHARE, RetryBudget
from forkweir.limits.slow_start import SlowStart
from forkweir.line import Line, position_of
from forkweir.request import Request
from forkweir.retry_after import RefusalCause, RetryAfter
from forkweir.settings import (
    Action,
    ClassSpec,
    Server,
    Settings,
)

# Time between probes, which are sent only where load reports come with probes.
PROBE_INTERVAL_MS = 500.0
# The first probes after the start are sent five times as often.
FAST_PROBES = 20
# Share of writes still admitted while the origin is down, to detect its recovery.
WRITE_TRIAL_SHARE = 0.05
# A request with less than this share of its aim left is expected to be late.
LATE_SHARE = 0.1
# A server at least this many times as fast as the home of a range takes the range's writes.
WRITE_SPEED_FACTOR = 1.1
# A request is hedged after this quantile of the durations of attempts, as shares of their aims, but
# not before HEDGE_MIN nor after HEDGE_MAX.
HEDGE_QUANTILE = 0.95
# Earliest hedge of an attempt that is no trial request, as a share of the request's aim.
HEDGE_MIN = 0.5
# Latest hedge, as a share of the aim. While `Balancer.hedge_share` lies beyond it, only trial
# requests at suspect servers are hedged.
HEDGE_MAX = 0.7
# Weight of one outcome in `Balancer.hedge_share`.
HEDGE_LEARNING_RATE = 0.02
# Share of the aim after which a trial request is hedged, earlier than HEDGE_MIN.
TRIAL_HEDGE = 0.35
# Shortest time between two checks of the hedge queue.
HEDGE_CHECK_INTERVAL_MS = 5.0
# Miss probability, and whether the server was the last to serve the key, where an attempt has no
# entry in `Request.expected_fetches`.
NO_FETCH = (0.0, False)
# Token of the timer that continues a placement build (`adapter.TIER_TIMER` is 4).
REBUILD_TIMER = 5
# Servers beyond a range's preference list that are considered when all servers are cold.
MAX_COLD_CANDIDATES = 8


class Balancer:
    """The decisions of one node. Each `on_...` method takes the time in ms and returns actions."""

    __slots__ = (
        "settings",
        "random",
        "fleet",
        "line",
        "held",
        "classes",
        "hot_key_rotation",
        "retry_budget",
        "error_retry_budget",
        "client_wait",
        "probes_sent",
        "gate",
        "min_value",
        "polling",
        "unknown_class",
        "hedge_share",
        "hedge_queue",
        "hedge_timer_set",
        "costs",
        "slow_start",
        "fetches",
        "retry_after",
        "tier_shares",
        "_rebuild_planned",
        "_rebuilding",
    )

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.fleet = Fleet(settings, seed)
        self.line = Line(self.fleet.range_count)
        self.held: dict[int, Request] = {}
        self.classes = {spec.name: spec for spec in settings.classes}
        self.unknown_class = ClassSpec("", repeat="unsafe")
        self.hot_key_rotation = 0
        self.retry_budget = RetryBudget(RETRY_SHARE)
        self.error_retry_budget = RetryBudget(QUICK_ERROR_SHARE)
        self.client_wait = ClientWaits()
        self.probes_sent = 0
        self.gate = Gate(self.fleet)
        self.min_value = min(
            (spec.value for spec in settings.classes if spec.value > 0.0), default=1.0
        )
        self.costs = Costs()
        values = [spec.value for spec in settings.classes]
        self.slow_start = SlowStart(settings.fall_multiple, max(values, default=1.0), seed)
        self.fetches = FetchBudget(max(values, default=1.0))
        self.retry_after = RetryAfter(settings.backoff_max_ms, seed)
        # Shares of tier-wide limits; None where nodes may not talk to one another.
        self.tier_shares: Optional[TierShares] = None
        self.polling = PollSchedule(settings.poll_within_ms, self.random, not settings.poll_list)
        # Estimated share of their aims within which HEDGE_QUANTILE of the attempts are answered.
        self.hedge_share = HEDGE_MAX
        # A heap of (time at which the request may be hedged, request id).
        self.hedge_queue: list[tuple[float, int]] = []
        self.hedge_timer_set = False
        self._rebuild_planned = False  # a timer for the next slice of a placement is set
        # The placement that is being built in slices.
        self._rebuilding: Optional[Iterator[None]] = None

    # -- the server list ---------------------------------------------------------------

    def on_list(self, now: float, form: str, entries: Iterable[Server]) -> list[Action]:
        """Apply the server list, or a notification about it. form says which:

        "saved" (the list stored before the start), "full", "changes", "part" (changes that further
        calls complete), "hearsay" (entries that no complete line of discovery has confirmed: read
        from a corrupt line, released after being held back, or changed by another source),
        "failed" (a poll failed), "lost" (a part of the list may be lost), "moved" (discovery has
        another address, which is already being polled).
        """
        if form == "moved":
            self.polling.reset()
            return []
        if form in ("failed", "lost"):
            return [self._poll_at(now + self.polling.next_wait(form == "lost", now))]
        self.fleet.apply_list(
            now, entries, form in ("saved", "full"), last_of_series=form != "part"
        )
        if form == "part":
            return []
        actions = self._plan_rebuild(now)
        if form == "saved":
            if self.settings.poll_list:
                actions.append(self._poll_at(now + self.polling.initial_wait()))
            if (
                self.settings.may_probe
                and self.settings.load_reports == "on_probe"
                and not self.probes_sent
            ):
                actions.append(("timer", 2, now + PROBE_INTERVAL_MS * 0.2 * self.random.random()))
            return actions
        if form != "hearsay":
            self.polling.record_complete_line()
        return actions

    def _poll_at(self, due: float) -> Action:
        return ("timer", 1, due)

    # -- homes of ranges -----------------------------------------------------------------

    def _ensure_placement(self, now: float) -> bool:
        """Update a small fleet's placement if that is due; return `Fleet.ready`."""
        fleet = self.fleet
        if (
            fleet.placement_stale
            and self._rebuilding is None
            and not fleet.large
            and fleet.next_build_due(now) <= now
        ):
            for _ in self._rebuild(now):
                pass
        return fleet.ready

    def _plan_rebuild(self, now: float) -> list[Action]:
        """Schedule the next placement of a large fleet if its list has changed."""
        if self._rebuild_planned or not (self.fleet.placement_stale and self.fleet.large):
            return []
        self._rebuild_planned = True
        return [("timer", REBUILD_TIMER, self.fleet.next_build_due(now))]

    def _rebuild(self, now: float) -> Iterator[None]:
        """Build the next placement and a line with as many ranges; put both in force together."""
        placement = yield from self.fleet.build_placement(now)
        if placement is None:
            return
        line = self.line
        if placement.range_count != line.range_count:
            line = yield from Line.build(placement.range_count)
        self.fleet.placement, self.line = placement, line

    def _rebuild_slice(self, now: float) -> list[Action]:
        """Run one slice of the placement build of a large fleet."""
        if self._rebuilding is None:
            self._rebuilding = self._rebuild(now)
        try:
            next(self._rebuilding)
        except StopIteration:
            self._rebuilding, self._rebuild_planned = None, False
            return self._plan_rebuild(now)
        return [("timer", REBUILD_TIMER, now)]

    # -- timers --------------------------------------------------------------------------

    def on_timer(self, now: float, token: int) -> list[Action]:
        """Handle a timer that is due.

        token: 1 to poll discovery, 2 to ask a server for a load report by a probe, 3 to check the
        hedge queue, 5 (REBUILD_TIMER) to continue a placement build. 4 is `adapter.TIER_TIMER`.
        """
        if token == 1:
            # The flag belongs to the action that the adapter exchanges; the node ignores it.
            return [("follow", True)]
        if token == 3:
            return self._check_hedges(now)
        if token == REBUILD_TIMER:
            return self._rebuild_slice(now)
        if token == 2:
            self.probes_sent += 1
            wait = PROBE_INTERVAL_MS * (0.2 if self.probes_sent < FAST_PROBES else 1.0)
            actions: list[Action] = [("timer", 2, now + wait)]
            if self._ensure_placement(now):
                member = self._random_server()
                if member.present:
                    actions.append(("probe", member.info.name))
            return actions
        return []

    def _random_server(self) -> Member:
        """Return a random server that is home to ranges, or a random candidate while none is."""
        placement = self.fleet.placement
        if placement is None or not placement.owners:
            return self.fleet.home_candidates[
                self.random.randrange(len(self.fleet.home_candidates))
            ]
        return placement.ring.member(self.random.randrange(len(placement.ring.points)))

    # -- requests ----------------------------------------------------------------------

    def on_request(
        self,
        now: float,
        request_id: int,
        class_name: str,
        key: Optional[str],
        client_wait_ms: float,
        work_ms: float = 0.0,
        tenant: str = "",
        write: bool = False,
        repeated: bool = False,
    ) -> list[Action]:
        """Handle a new request: return its first attempt or a refusal.

        client_wait_ms: how long the client still waits, as it states. work_ms: the client's hint at
        the work that the request needs, 0 without one. repeated: the client sent it before.
        """
        spec = self.classes.get(class_name, self.unknown_class)
        position = self.random.random() if key is None else position_of(key)
        deadline = now + client_wait_ms
        # A client that retries has waited since its first try. If that time were not counted,
        # overloaded servers would work on requests that are late already.
        waited = self.client_wait.waited_ms(spec.name, client_wait_ms, repeated, spec.deadline_ms)
        aim_at = (
            now - waited + spec.aim_ms + spec.aim_stretch * work_ms - 2.0 * self.settings.tick_ms
        )
        value = (
            spec.value if aim_at > now + LATE_SHARE * spec.aim_ms else spec.value * spec.late_value
        )
        request = Request(
            request_id, spec, key, position, min(aim_at, deadline), deadline, work_ms, write
        )
        request.cost_ms = self.costs.cost_ms(spec, work_ms)
        self.slow_start.record_request(now, request.cost_ms, self.fleet.update_warm_weight(now))
        self.retry_budget.earn()
        self.error_retry_budget.earn()
        if key is not None:
            self.line.record_arrival(position, key)
            if self.tier_shares is not None:
                shared_line = self.tier_shares.record_arrival(position, self.line.range_count, now)
                if shared_line is not self.line.shared:
                    self.line.use_shared(shared_line)
        if self.settings.cache_aside and write:
            target: Optional[Member] = self.fleet.origin
        else:
            target = self._select_server(request, now)
        if target is None:
            return [self._refuse(request, *self._unserved_cause(request, now), now)]
        relative_value = value / self.min_value
        if not self.gate.admits(position, relative_value):
            return [
                self._refuse(request, "gate", self.gate.opens_in(position, relative_value), now)
            ]
        # Refuse a request whose fetch would wait at an origin that is slow already. Otherwise, for
        # as long as clients send requests, fetches would time out and be given up, and no cache
        # would get anything from them.
        fetches = self.fetches
        if fetches.limiting or self.tier_shares is not None:
            served_last = fetches.remembers(position, target.info.name, target.cold_since_ms)
            miss_probability = fetches.expected(served_last, write)
            if self.tier_shares is not None:
                self.tier_shares.record_fetch_demand(miss_probability, fetches.fetch_ms, now)
                fetches.allocated = self.tier_shares.fetch_limit(fetches.prospective_limit, now)
            if not fetches.may_send(miss_probability, spec.value):
                return [
                    self._refuse(
                        request, "origin", fetches.wait_ms(miss_probability, spec.value), now
                    )
                ]
        # A write that the origin carries out late has no value and still invalidates the cached
        # object, so an overloaded origin would also cost the hits.
        if (
            write
            and self.gate.origin_slowness > ORIGIN_DOWN_LEVEL
            and self.random.random() >= WRITE_TRIAL_SHARE
        ):
            return [self._refuse(request, "origin-down", None, now)]
        self.held[request_id] = request
        return [self._send(request, target, now), *self._schedule_hedge(request, now)]

    def _refuse(
        self, request: Request, cause: RefusalCause, opens_ms: Optional[float], now: float
    ) -> Action:
        return ("refuse", request.id, self.retry_after.wait(opens_ms, request.aim_at - now), cause)

    def _unserved_cause(self, request: Request, now: float) -> tuple[RefusalCause, Optional[float]]:
        """Return why no server can take a request, and in how many ms one may."""
        fleet, soonest_ms = self.fleet, None
        for member in fleet.home_candidates:
            if (
                member.token_bucket is not None
                and fleet.is_cold(member, now)
                and fleet.usable(member, now)
            ):
                opens_ms = self.slow_start.wait_ms(
                    member.token_bucket, self._cold_rate(member, now), request.cost_ms, now
                )
                soonest_ms = opens_ms if soonest_ms is None else min(soonest_ms, opens_ms)
        return ("no-server", None) if soonest_ms is None else ("cold", soonest_ms)

    def _schedule_hedge(self, request: Request, now: float) -> list[Action]:
        """Queue a request that was just sent for hedging, and set the hedge timer if none is set.

        A timer that is already set for a later time is not moved: the request is hedged then.
        """
        if request.spec.repeat == "unsafe":
            return []
        trial = request.servers[-1].trial_request == request.id
        due = (
            now
            + (TRIAL_HEDGE if trial else min(max(HEDGE_MIN, self.hedge_share), HEDGE_MAX))
            * request.spec.aim_ms
        )
        if due >= request.aim_at:
            return []
        heappush(self.hedge_queue, (due, request.id))
        return self._set_hedge_timer(due)

    def _set_hedge_timer(self, due: float) -> list[Action]:
        if self.hedge_timer_set:
            return []
        self.hedge_timer_set = True
        return [("timer", 3, due)]

    def _check_hedges(self, now: float) -> list[Action]:
        """Hedge the queued requests that are due and still have no answer."""
        self.hedge_timer_set = False
        actions: list[Action] = []
        while self.hedge_queue and self.hedge_queue[0][0] <= now:
            request = self.held.get(heappop(self.hedge_queue)[1])
            if (
                request is not None
                and request.outstanding
                and not (request.streaming or request.body_consumed)
            ):
                actions += self._hedge(request, now)
        if self.hedge_queue:
            actions += self._set_hedge_timer(
                max(self.hedge_queue[0][0], now + HEDGE_CHECK_INTERVAL_MS)
            )
        return actions

    def _hedge(self, request: Request, now: float) -> list[Action]:
        """Send a hedged request where retrying is allowed; the first answer counts.

        May eject the server of the latest attempt for leaving it unanswered, also where no hedged
        request is sent.

        Covers attempts whose answer will not come, or not in time: an unresponsive connection, an
        answer cut short, a server that hangs. A server that has answered other requests meanwhile
        gets the hedged request itself, as it holds or fetches the key; else the next server does.

        The retry budget bounds the added load. Where answers are slow in general (`hedge_share`
        over HEDGE_MAX) or the origin is slow, a second attempt would add to the cause, so none is
        sent. The trial request of a suspect server is exempt from all of this: it is hedged
        regardless, and at no cost to the retry budget.
        """
        last = max(request.outstanding)
        member = request.servers[last]
        origin_healthy = self.gate.origin_slowness <= ORIGIN_SLOW_LEVEL
        on_trial = member.trial_request == request.id
        # A server with ejections gets its trial request after faults or for not responding, any
        # other because it is suspect.
        suspect_trial = on_trial and not member.ejections
        if not suspect_trial and (
            on_trial
            or origin_healthy
            and self.fleet.record_unanswered(
                member, request.sent_ms[last], request.spec.aim_ms, now
            )
        ):
            member.eject(now)
        hedging_unwise = (
            not self.retry_budget.may_retry or self.hedge_share > HEDGE_MAX or not origin_healthy
        )
        if (
            (hedging_unwise and not suspect_trial)
            or request.attempt_count >= self.settings.max_attempts
            or not self.settings.parallel_attempts
        ):
            return []
        answered_since = member.last_answer_ms > request.sent_ms[last] and self.fleet.usable(
            member, now
        )
        target = (
            member
            if answered_since and self._has_capacity(member, request, now)
            else self._select_server(request, now)
        )
        if target is None or (target is not member and target in request.servers):
            return []
        if request.first_run_server is None:  # the outstanding attempt may have run by now
            request.first_run_server, request.first_run_ms = member, request.sent_ms[last]
        if not self._may_retry(request, target, now):
            return []
        if not suspect_trial:
            self.retry_budget.spend()
        return [self._send(request, target, now)]

    def _select_server(self, request: Request, now: float) -> Optional[Member]:
        """Select the home of the request's range, or another server where an exception applies.

        Exceptions: hot keys, writes behind a slow home, and servers that are unusable, cold,
        penalized or already tried.
        """
        fleet = self.fleet
        if not self._ensure_placement(now):
            return None
        range_number = self.line.range_of(request.position)
        preference_list = fleet.preference_list(range_number)
        tried = request.servers
        start = 0
        # The bits of the position after the first 16 decide which keys a penalized server gives up.
        key_fraction = request.position * 65536.0 % 1.0
        if request.key is not None:
            server_count = self.line.server_count_for_key(
                request.key,
                min(len(preference_list), fleet.in_service_count or 1),
                request.position,
            )
            if server_count > 1:
                self.hot_key_rotation += 1
                start = self.hot_key_rotation % server_count
                key_fraction = self.random.random()
        if request.write and not start:
            # A write gains nothing from its home's cache and goes through to the origin from any
            # server, so a faster server takes it. Otherwise slow homes would make the class with
            # the most work per request late.
            min_speed = WRITE_SPEED_FACTOR * fleet.speeds.work_rate(preference_list[0].info.kind)
            for step in range(1, len(preference_list) if min_speed else 0):
                member = preference_list[step]
                if (
                    fleet.speeds.work_rate(member.info.kind) >= min_speed
                    and not member.load_penalty
                    and not fleet.is_cold(member, now)
                ):
                    start = step
                    break
        for step in range(len(preference_list)):
            member = preference_list[(start + step) % len(preference_list)]
            if fleet.usable(member, now) and member not in tried:
                # Cold servers take no keys of other homes, which could overload them.
                warm = not fleet.is_cold(member, now)
                if key_fraction < fleet.accepted_share(member, now) and (
                    warm or (not step and self._has_capacity(member, request, now))
                ):
                    return member
            # Steps of the golden ratio modulo 1 spread the fractions evenly over the servers.
            key_fraction = (key_fraction + 0.618034) % 1.0
        first_rejecting: Optional[Member] = None
        for member in preference_list:
            if fleet.usable(member, now) and member not in tried and not fleet.is_cold(member, now):
                if member.rejects_little:
                    return member
                first_rejecting = first_rejecting or member
        if first_rejecting is not None:
            # All usable warm servers of the list reject many requests, so a cold one with capacity
            # takes this request. Otherwise the last warm server among many cold ones would get, and
            # reject, all requests for the keys of the cold ones that their token buckets do not
            # admit.
            return self._cold_with_capacity(preference_list, request, now) or first_rejecting
        soonest_usable: Optional[Member] = None
        cold: list[Member] = []
        for member in fleet.candidates_from(range_number):
            if member.present and member not in tried:
                if fleet.is_cold(member, now):
                    cold.append(member)
                elif fleet.usable(member, now):
                    return member
                elif soonest_usable is None or member.ejected_until < soonest_usable.ejected_until:
                    soonest_usable = member
        # No warm server is left: try the nearest cold ones with capacity, home first. Otherwise a
        # fleet that is entirely cold would refuse everything or send it all to one server.
        return (
            self._cold_with_capacity((*preference_list, *cold[:MAX_COLD_CANDIDATES]), request, now)
            if cold
            else None
        ) or soonest_usable

    def _cold_with_capacity(
        self, members: Iterable[Member], request: Request, now: float
    ) -> Optional[Member]:
        """Return the first cold server that the request has not tried and that has capacity."""
        fleet = self.fleet
        for member in members:
            if (
                fleet.is_cold(member, now)
                and fleet.usable(member, now)
                and member not in request.servers
            ):
                if self._has_capacity(member, request, now):
                    return member
        return None

    def _has_capacity(self, member: Member, request: Request, now: float) -> bool:
        """Whether the token bucket of a cold server admits a request; warm servers have none."""
        fleet = self.fleet
        if not fleet.is_cold(member, now):
            return True
        if self.tier_shares is not None:
            self.tier_shares.record_work_demand(
                member.info.name,
                request.cost_ms / (fleet.weight_of(member) * fleet.cold_capacity(member, now)),
                now,
            )
        rate = self._cold_rate(member, now)
        if member.token_bucket is None:
            member.token_bucket = self.slow_start.open_bucket(
                now, request.cost_ms, rate, member.start_notified_ms
            )
        return self.slow_start.may_send(
            member.token_bucket, rate, request.cost_ms, request.spec.value, now
        )

    def _cold_rate(self, member: Member, now: float) -> float:
        """Return the rate at which a cold server may get work now, in ms of work per ms."""
        fleet = self.fleet
        reference = self.slow_start.reference(fleet.total_weight)
        if self.tier_shares is not None:
            reference = self.tier_shares.work_limit(member.info.name, reference, now)
        return reference * fleet.weight_of(member) * fleet.cold_capacity(member, now)

    def _server_with_capacity(self, request: Request, now: float) -> Optional[Member]:
        """Return a server with capacity for a request that another rejected.

        None if there is none, and while hits are slow.
        """
        if self.gate.slow_hit_share > NORMAL_SLOW_HIT_SHARE:
            return None
        self._ensure_placement(now)
        return self.fleet.nearest_with_capacity(
            self.line.range_of(request.position), request.servers, now
        )

    def _send(self, request: Request, member: Member, now: float) -> Action:
        request.outstanding.add(request.attempt_count)
        served_last = self.fetches.remembers(
            request.position, member.info.name, member.cold_since_ms
        )
        miss_probability = self.fetches.expected(served_last, request.write)
        request.expected_fetches[request.attempt_count] = miss_probability, served_last
        self.fetches.record_start(miss_probability)
        request.attempt_count += 1
        request.servers.append(member)
        request.sent_ms.append(now)
        member.record_sent(request.id, request.spec.aim_ms, now)
        if member.token_bucket is not None and self.fleet.is_cold(member, now):
            self.slow_start.spend(member.token_bucket, request.cost_ms, request.spec.value, now)
        self.fleet.zones.record_sent(member.info.zone, request.spec.aim_ms, now)
        until = (
            request.aim_at
            if request.spec.late_value <= 0.0 and request.aim_at > now
            else request.deadline
        )
        return ("attempt", request.id, member.info.name, max(self.settings.tick_ms, until - now))

    def on_outcome(
        self,
        now: float,
        request_id: int,
        attempt: int,
        finished: bool,
        status: str,
        server: str,
        elapsed_ms: float,
        cache_result: int = 0,
        load: Optional[list[float]] = None,
    ) -> list[Action]:
        """Handle the end of an attempt: retry, refuse, fail, or close the request.

        finished: the request is over. status: a key of `OUTCOME_TYPES`.
        cache_result: 0 unknown, 1 hit, 2 or 3 miss (as on the wire). load: a load report, if one
        came.
        """
        member = self.fleet.members.get(server)
        request = self.held.get(request_id)
        outcome = self._classify_outcome(
            request, attempt, member, status, cache_result, elapsed_ms, request_id, now
        )
        if member is not None:
            self.fleet.record_outcome(member, outcome, now)
            fault_probability = self.fleet.update_suspicion(member, outcome, now)
            self.gate.record_outcome(member, outcome, fault_probability, now)
            if request is not None:
                self._update_load_estimates(request, member, outcome, now)
            if load:
                self.fleet.record_load_report(member, load, now)
        if request is None:
            return []
        self._record_fetch(request, attempt, outcome, server, now)
        if finished:
            if outcome.served and len(request.outstanding) > 1:
                self._penalize_overtaken(request, attempt, now)
            self._release_fetches(request)
            del self.held[request_id]
            return []
        request.outstanding.discard(attempt)
        if (
            outcome.may_have_run
            and request.first_run_server is None
            and attempt < len(request.servers)
        ):
            request.first_run_server = request.servers[attempt]
            request.first_run_ms = request.sent_ms[attempt]
        if request.outstanding or request.streaming:
            return []
        if request.body_consumed:
            return [self._give_up(request, now)]
        # "absent": the server does not have the object, which a cache-aside site then reads from
        # the origin.
        if (
            status == "absent"
            and self.fleet.origin is not None
            and request.attempt_count < self.settings.max_attempts
        ):
            return [self._send(request, self.fleet.origin, now)]
        left_ms = request.aim_at - now
        # After a fault the same server gets one retry: if its answer was lost on the way, it has
        # done the work and caches what it fetched. A server that was unreachable gets one as well.
        same_server = (
            member
            if outcome.fault and member is not None and self.fleet.usable(member, now)
            else None
        )
        if same_server is not None and not self._has_capacity(same_server, request, now):
            same_server = None
        if same_server is not None and (
            same_server.consecutive_faults > 1 or request.servers.count(same_server) > 1
        ):
            same_server = None
        # Below, no request is retried with a quarter of its aim left or less.
        if (
            outcome.rejected_for_overload
            and left_ms > 0.25 * request.spec.aim_ms
            and request.attempt_count < self.settings.max_attempts
        ):
            available = self._server_with_capacity(request, now)
            if available is not None and self._may_retry(request, available, now):
                return [self._send(request, available, now)]
        # While the origin is slow, an attempt that may have run is not retried at another server.
        # The retry of a miss would be one more miss there, and such retries would keep an
        # overloaded origin down.
        retry_useful = (
            request.first_run_server is None
            or same_server is not None
            or self.gate.origin_slowness <= ORIGIN_SLOW_LEVEL
        )
        # While few attempts fail, faults are not caused by load and cost no retry budget. Otherwise
        # connection resets alone would empty it.
        without_budget = outcome.fault and self.gate.failure_share < NORMAL_FAILURE_SHARE
        budget = (
            self.error_retry_budget
            if outcome.quick_error(request.spec.aim_ms)
            else self.retry_budget
        )
        if (
            retry_useful
            and left_ms > 0.25 * request.spec.aim_ms
            and request.attempt_count < self.settings.max_attempts
            and (without_budget or budget.may_retry)
        ):
            target = same_server or self._select_server(request, now)
            if (
                target is not None
                and (same_server or target not in request.servers)
                and self._may_retry(request, target, now)
            ):
                if not without_budget:
                    budget.spend()
                return [self._send(request, target, now)]
        return [self._give_up(request, now)]

    def _classify_outcome(
        self,
        request: Optional[Request],
        attempt: int,
        member: Optional[Member],
        status: str,
        cache_result: int,
        elapsed_ms: float,
        request_id: int,
        now: float,
    ) -> AttemptOutcome:
        """Classify an outcome by its status and by what is known of its attempt."""
        outcome_class = OUTCOME_TYPES.get(status, AttemptOutcome)
        trial = member is not None and member.trial_request == request_id
        if request is None:
            return outcome_class(cache_result, elapsed_ms, None, trial=trial)
        miss_probability, served_last = request.expected_fetches.get(attempt, NO_FETCH)
        cold = member is not None and self.fleet.is_cold(member, now)
        return outcome_class(
            cache_result,
            elapsed_ms,
            request.spec,
            request.work_ms,
            request.write,
            served_last,
            miss_probability,
            cold,
            trial,
            request.attempt_count,
        )

    def _update_load_estimates(
        self, request: Request, member: Member, outcome: AttemptOutcome, now: float
    ) -> None:
        """Update request costs, slow start and the hedge delay by an outcome."""
        if not outcome.cold:
            if outcome.reveals_cost:
                self.costs.record_answer(request.spec, outcome.elapsed_ms)
            if outcome.in_time:
                self.slow_start.record_served(request.cost_ms)
        elif member.token_bucket is not None:
            if outcome.exceeded_capacity:
                self.slow_start.record_overload(member.token_bucket, now)
            elif outcome.served:
                self.slow_start.record_success(member.token_bucket)
        longer = outcome.longer_than(self.hedge_share)
        if longer is not None:
            self._learn_hedge_share(longer)

    def _record_fetch(
        self, request: Request, attempt: int, outcome: AttemptOutcome, server: str, now: float
    ) -> None:
        """Update the estimates of misses and of the origin's capacity by an attempt that ended."""
        if attempt not in request.expected_fetches:
            return
        fetches = self.fetches
        del request.expected_fetches[attempt]
        fetches.record_end(outcome.miss_probability, now if outcome.fetch_ended else None)
        # Where hits are slow too, the servers are at fault: a time-out says nothing of the origin.
        servers_slow = self.gate.slow_hit_share > NORMAL_SLOW_HIT_SHARE
        missed = outcome.missed(servers_slow)
        if missed is not None:
            fetches.record_read(outcome.served_last, missed)
        if outcome.served:
            fetches.record_served(request.position, server, request.write, now)
            if outcome.fetched and not servers_slow:
                fetches.record_fetch(outcome.elapsed_ms / request.spec.aim_ms, now)
        elif not servers_slow and outcome.fetch_failed(EXEMPT_COST):
            fetches.record_fetch(None, now)

    def _release_fetches(self, request: Request) -> None:
        """Release the expected fetches of a request that is over."""
        for miss_probability, _ in request.expected_fetches.values():
            self.fetches.record_end(miss_probability)
        request.expected_fetches.clear()

    def _learn_hedge_share(self, longer: bool) -> None:
        """Update `hedge_share` by one outcome (stochastic approximation of a quantile).

        longer: whether the attempt took longer than `hedge_share` of its aim. The estimate is
        stable where a share of 1 - HEDGE_QUANTILE of the attempts does.
        """
        self.hedge_share = min(
            1.0, max(0.0, self.hedge_share + HEDGE_LEARNING_RATE * (longer - 1.0 + HEDGE_QUANTILE))
        )

    def _penalize_overtaken(self, request: Request, winner: int, now: float) -> None:
        """Count a lost hedge race against the servers that got the request first and were slower.

        Otherwise a slow server would look healthy, since its requests are answered elsewhere before
        they time out.
        """
        for attempt in request.outstanding:
            member = request.servers[attempt]
            if attempt < winner:
                self._learn_hedge_share(True)
                outcome = self._classify_outcome(
                    request,
                    attempt,
                    member,
                    "withdrawn",
                    0,
                    now - request.sent_ms[attempt],
                    request.id,
                    now,
                )
                self.fleet.update_suspicion(member, outcome, now)
            if (
                attempt < winner
                and self.gate.origin_slowness < ORIGIN_SLOW_LEVEL
                and member is not request.servers[winner]
            ):
                self.fleet.update_load_penalty(member, now, self.gate.failure_penalty(), True)

    def _may_retry(self, request: Request, target: Member, now: float) -> bool:
        """Whether the request may have one more attempt, at `target`.

        Yes if no earlier attempt may have run; else the request's class decides.
        """
        first_server, spec = request.first_run_server, request.spec
        if first_server is None or spec.repeat == "safe":
            return True
        if (
            spec.repeat != "keyed"
            or now - request.first_run_ms > spec.repeat_window_ms - 2.0 * self.settings.tick_ms
        ):
            return False
        if spec.group == "zone":
            return target.info.zone == first_server.info.zone
        if spec.group == "cell":
            return target.info.cell == first_server.info.cell
        return spec.group == "all"

    def _give_up(self, request: Request, now: float) -> Action:
        del self.held[request.id]
        self._release_fetches(request)
        spec = request.spec
        if (
            request.first_run_server is None
            or spec.repeat == "safe"
            or (spec.repeat == "keyed" and spec.group == "all")
        ):
            return self._refuse(request, "tries", None, now)
        return ("fail", request.id)

    def on_started(self, now: float, request_id: int, attempt: int, server: str) -> list[Action]:
        """Record that the answer has started to stream: the request isn't hedged or retried now.

        The client's deadline no longer applies. Only the simulator's wire reports this; the node
        reports a success instead (`Node.on_response_started`).
        """
        request = self.held.get(request_id)
        if request is not None:
            request.streaming = True
        return []

    def on_body_consumed(self, now: float, request_id: int) -> list[Action]:
        """Record that a part of the request's body was sent on and dropped: no retry is possible.

        The client's deadline moves on while its body comes in, and the attempt's time-out starts at
        the last byte. The node enforces both (`Attempt`); this module isn't notified.
        """
        request = self.held.get(request_id)
        if request is not None:
            request.body_consumed = True
        return []

    def on_departure(self, now: float, request_id: int) -> list[Action]:
        """Close a request whose client has left; cancel its attempts where that is allowed.

        The node also calls this where it ends a request by itself (`Node.end`).
        """
        request = self.held.pop(request_id, None)
        if request is not None:
            self._release_fetches(request)
        if request is None or not self.settings.may_cancel:
            return []
        return [("cancel", request_id, n) for n in sorted(request.outstanding)]

    def on_probe(
        self, now: float, server: str, status: str, elapsed_ms: float, load: Optional[list[float]]
    ) -> list[Action]:
        """Handle the answer to a probe: take its load report."""
        member = self.fleet.members.get(server)
        if member is not None and load:
            self.fleet.record_load_report(member, load, now)
        return []
