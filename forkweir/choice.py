"""The balancer: every decision of forkweir. Pure, deterministic, no I/O and no clock of its own.

The ordinary path is DEMB (see docs/design.md): a key becomes a position on a line, a
window of recent positions is cut into ranges of equal count, each re-cut is blended into
the earlier cuts, and a request goes to the home server of its position's range.

The parts: `line` (positions and cuts), `fleet` (servers, homes, health), `gate` (what is let in), `request`, `settings`.
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
from forkweir.known.asking import Asking
from forkweir.known.seen import WORDS, Seen
from forkweir.limits.allowance import Allowances
from forkweir.limits.fetches import PASS, Fetches
from forkweir.limits.parts import Parts
from forkweir.limits.patience import Patience
from forkweir.limits.savings import ERRORS, REPEATS, Savings
from forkweir.limits.work import Costs
from forkweir.line import Line, position_of
from forkweir.request import Request
from forkweir.retry_after import RefusalCause, RetryAfter
from forkweir.settings import (
    Action,
    ClassSpec,
    Server,
    Settings,
)

PROBE_INTERVAL_MS = 500.0  # between probes, where load reports come with probes alone
FAST_PROBES = 20  # at the start, at five times that pace
WRITE_TRIAL_SHARE = 0.05  # part of the writes that go on to try it
LATE_SHARE = 0.1  # with less than this part of the aim left a request will be late
WRITE_SPEED_FACTOR = 1.1  # a server this much quicker than its range's home takes its writes
HEDGE_QUANTILE = (
    0.95  # a request that is out for longer than this part of all takes is asked for once more,
)
HEDGE_MIN = 0.5  # but not before this part of its aim,
HEDGE_MAX = 0.7  # and not at all where that is later than this part
HEDGE_LEARNING_RATE = 0.02  # weight of one outcome in the judgement of how long that is
TRIAL_HEDGE = 0.35  # and what tries a server that was found to be bad after this part
HEDGE_CHECK_INTERVAL_MS = 5.0  # between two looks at which are
NO_FETCH = (0.0, False)  # what is expected of an attempt that was never sent
REBUILD_TIMER = 5  # token of the timer that goes on with a placement (`adapter.TIER_TIMER` is 4)
MAX_COLD_CANDIDATES = (
    8  # servers beyond a range's neighbours that are asked for room where all are cold
)


class Balancer:
    """One node's decisions. Each on_... method takes the time and returns actions."""

    __slots__ = (
        "settings",
        "random",
        "fleet",
        "line",
        "held",
        "classes",
        "hot_key_turn",
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
        "allowances",
        "fetches",
        "retry_after",
        "parts",
        "_rebuild_planned",
        "_rebuilding",
    )

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.fleet = Fleet(settings, seed)
        self.line = Line(self.fleet.ranges)
        self.held: dict[int, Request] = {}
        self.classes = {spec.name: spec for spec in settings.classes}
        self.unknown_class = ClassSpec("", repeat="unsafe")
        self.hot_key_turn = 0
        self.retry_budget = Savings(REPEATS)
        self.error_retry_budget = Savings(ERRORS)
        self.client_wait = Patience()
        self.probes_sent = 0
        self.gate = Gate(self.fleet)
        self.min_value = min(
            (spec.value for spec in settings.classes if spec.value > 0.0), default=1.0
        )
        self.costs = Costs()
        values = [spec.value for spec in settings.classes]
        self.allowances = Allowances(settings.fall_multiple, max(values, default=1.0), seed)
        self.fetches = Fetches(max(values, default=1.0))
        self.retry_after = RetryAfter(settings.backoff_max_ms, seed)
        self.parts: Optional[Parts] = (
            None  # of bounds that many nodes share, where they may talk to one another
        )
        self.polling = Asking(settings.poll_within_ms, self.random, not settings.poll_list)
        self.hedge_share = (
            HEDGE_MAX  # the part of their aims in which HEDGE_PART of the attempts are answered
        )
        self.hedge_queue: list[
            tuple[float, int]
        ] = []  # a heap: when each request sent lately will have been out for long
        self.hedge_timer_set = False  # whether a look at them is due
        self._rebuild_planned = False  # a timer for the next slice of a placement is set
        self._rebuilding: Optional[Iterator[None]] = (
            None  # a placement that is being made in slices
        )

    # -- the server list ---------------------------------------------------------------

    def on_list(self, now: float, form: str, entries: Iterable[Server]) -> list[Action]:
        """The list: "saved", "full" or "changes"; "hearsay" of it (see there); "failed", or "lost" where some of it may be.

        "part": changes of a list whose rest follows at once. "moved": discovery is at another place, and is being asked there.
        """
        if form == "moved":
            self.polling.moved()
            return []
        if form in ("failed", "lost"):
            return [self._poll_at(now + self.polling.wait(form == "lost", now))]
        self.fleet.apply_list(now, entries, form in ("saved", "full"), whole=form != "part")
        if form == "part":
            return []
        actions = self._plan_rebuild(now)
        if form == "saved":
            if self.settings.poll_list:
                actions.append(self._poll_at(now + self.polling.first()))
            if (
                self.settings.may_probe
                and self.settings.load_reports == "on_probe"
                and not self.probes_sent
            ):
                actions.append(("timer", 2, now + PROBE_INTERVAL_MS * 0.2 * self.random.random()))
            return actions
        if form != "hearsay":
            self.polling.heard()
        return actions

    def _poll_at(self, due: float) -> Action:
        return ("timer", 1, due)

    # -- homes of ranges -----------------------------------------------------------------

    def _prepare(self, now: float) -> bool:
        """Whether any range has a home. A small fleet's placement is brought up to date first, if that is due."""
        fleet = self.fleet
        if (
            fleet.placement_stale
            and self._rebuilding is None
            and not fleet.large
            and fleet.rebuild_at(now) <= now
        ):
            for _ in self._rebuild(now):
                pass
        return fleet.ready

    def _plan_rebuild(self, now: float) -> list[Action]:
        """See to it that a large fleet's placement follows its list."""
        if self._rebuild_planned or not (self.fleet.placement_stale and self.fleet.large):
            return []
        self._rebuild_planned = True
        return [("timer", REBUILD_TIMER, self.fleet.rebuild_at(now))]

    def _rebuild(self, now: float) -> Iterator[None]:
        """Make the next placement, and the line that goes with it, and put both in force together."""
        placement = yield from self.fleet.build_placement(now)
        if placement is None:
            return
        line = self.line
        if placement.ranges != line.ranges:
            line = yield from Line.build(placement.ranges)
        self.fleet.placement, self.line = placement, line

    def _rebuild_slice(self, now: float) -> list[Action]:
        """Go on with the placement of a large fleet, for one slice."""
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
        """A timer came due."""
        if token == 1:
            return [("follow", True)]
        if token == 3:
            return self._check_hedges(now)
        if token == REBUILD_TIMER:
            return self._rebuild_slice(now)
        if token == 2:
            self.probes_sent += 1
            wait = PROBE_INTERVAL_MS * (0.2 if self.probes_sent < FAST_PROBES else 1.0)
            actions: list[Action] = [("timer", 2, now + wait)]
            if self._prepare(now):
                member = self._any_server()
                if member.present:
                    actions.append(("probe", member.info.name))
            return actions
        return []

    def _any_server(self) -> Member:
        """A server that is home to ranges, drawn."""
        placement = self.fleet.placement
        if placement is None or not placement.owners:
            return self.fleet.placed[self.random.randrange(len(self.fleet.placed))]
        return placement.ring.member(self.random.randrange(len(placement.ring.points)))

    # -- requests ----------------------------------------------------------------------

    def on_request(
        self,
        now: float,
        request_id: int,
        class_name: str,
        key: Optional[str],
        budget_ms: float,
        work_ms: float = 0.0,
        tenant: str = "",
        write: bool = False,
        repeated: bool = False,
    ) -> list[Action]:
        """A request came in: it gets its first attempt or a refusal."""
        spec = self.classes.get(class_name, self.unknown_class)
        position = self.random.random() if key is None else position_of(key)
        deadline = now + budget_ms
        # A client that repeats has waited since its first try (guards against full servers working on what is late already).
        waited = self.client_wait.waited(spec.name, budget_ms, repeated, spec.deadline_ms)
        aim_at = (
            now - waited + spec.aim_ms + spec.aim_stretch * work_ms - 2.0 * self.settings.tick_ms
        )
        value = (
            spec.value if aim_at > now + LATE_SHARE * spec.aim_ms else spec.value * spec.late_value
        )
        request = Request(
            request_id, spec, key, position, min(aim_at, deadline), deadline, work_ms, write
        )
        request.cost_ms = self.costs.of(spec, work_ms)
        self.allowances.asked(now, request.cost_ms, self.fleet.count_warm_weight(now))
        self.retry_budget.earn()
        self.error_retry_budget.earn()
        if key is not None:
            self.line.record_arrival(position, key)
            if self.parts is not None:
                shared = self.parts.line(position, self.line.ranges, now)
                if shared is not self.line.shared:
                    self.line.use_shared(shared)
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
        # Nor one that would wait at an origin which is slow already (guards against fetches that time out, are given up, and
        # leave nothing in any cache, as long as clients ask).
        fetches = self.fetches
        if fetches.pressed or self.parts is not None:
            known = fetches.remembers(position, target.info.name, target.cold_since_ms)
            expected = fetches.expected(known, write)
            if self.parts is not None:
                self.parts.wants_fetches(expected, fetches.flight_ms, now)
                fetches.dealt = self.parts.fetches(fetches.would_be, now)
            if not fetches.has(expected, spec.value):
                return [
                    self._refuse(request, "origin", fetches.opens_in(expected, spec.value), now)
                ]
        # A write that the origin carries out late is lost and still voids the kept object (guards
        # against an origin in trouble taking the hits away as well).
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
        """Why no server can take a request, and when one may."""
        fleet, soonest_ms = self.fleet, None
        for member in fleet.placed:
            if (
                member.account is not None
                and fleet.is_cold(member, now)
                and fleet.usable(member, now)
            ):
                opens_ms = self.allowances.opens_in(
                    member.account, self._cold_rate(member, now), request.cost_ms, now
                )
                soonest_ms = opens_ms if soonest_ms is None else min(soonest_ms, opens_ms)
        return ("no-server", None) if soonest_ms is None else ("cold", soonest_ms)

    def _schedule_hedge(self, request: Request, now: float) -> list[Action]:
        """Note when a request will have been out for long, and see to it that somebody looks."""
        if request.spec.repeat == "unsafe":
            return []
        trial = request.servers[-1].trial == request.id
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
        """Go through the requests that have been out for long by now."""
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
        """Ask once more for what has been out for long and may be repeated; the first answer counts.

        Guards against an attempt whose answer will not come, or not in time, whatever has become of it: a connection gone
        silent, an answer cut short, a server that hangs. A server that has answered others meanwhile is asked itself, as it
        holds or fetches the key; else the next one is. Savings for repeats bound the load that this adds. Harm: a second copy
        would feed what delays the first where answers are slow at large or the origin is in trouble; none is sent there.
        """
        last = max(request.outstanding)
        member = request.servers[last]
        origin_healthy = self.gate.origin_slowness <= ORIGIN_SLOW_LEVEL
        on_trial = member.trial == request.id
        trial = (
            on_trial and not member.strikes
        )  # of a server that is in doubt; the others were struck
        if not trial and (
            on_trial
            or origin_healthy
            and self.fleet.note_unresponsive(
                member, request.sent_ms[last], request.spec.aim_ms, now
            )
        ):
            member.strike(now)
        hedging_unwise = (
            not self.retry_budget.enough or self.hedge_share > HEDGE_MAX or not origin_healthy
        )
        if (
            (hedging_unwise and not trial)
            or request.tries >= self.settings.max_attempts
            or not self.settings.parallel_attempts
        ):
            return []
        answered_since = member.heard_ms > request.sent_ms[last] and self.fleet.usable(member, now)
        target = (
            member
            if answered_since and self._has_capacity(member, request, now)
            else self._select_server(request, now)
        )
        if target is None or (target is not member and target in request.servers):
            return []
        if request.first_run_server is None:  # what is out may have run by now
            request.first_run_server, request.first_run_ms = member, request.sent_ms[last]
        if not self._may_retry(request, target, now):
            return []
        if not trial:
            self.retry_budget.spend()
        return [self._send(request, target, now)]

    def _select_server(self, request: Request, now: float) -> Optional[Member]:
        """The home of the request's range, or a neighbour where an exception acts."""
        fleet = self.fleet
        if not self._prepare(now):
            return None
        range_number = self.line.range_of(request.position)
        neighbours = fleet.neighbours(range_number)
        tried = request.servers
        start = 0
        position_in_share = request.position * 65536.0 % 1.0
        if request.key is not None:
            copies = self.line.servers_for_key(
                request.key, min(len(neighbours), fleet.in_service or 1), request.position
            )
            if copies > 1:
                self.hot_key_turn += 1
                start = self.hot_key_turn % copies
                position_in_share = self.random.random()
        if request.write and not start:
            # A write finds nothing in its home's cache and goes through to the origin from any
            # server (guards against slow homes making the heaviest class late).
            min_speed = WRITE_SPEED_FACTOR * fleet.speeds.quickness(neighbours[0].info.kind)
            for step in range(1, len(neighbours) if min_speed else 0):
                member = neighbours[step]
                if (
                    fleet.speeds.quickness(member.info.kind) >= min_speed
                    and not member.load_penalty
                    and not fleet.is_cold(member, now)
                ):
                    start = step
                    break
        for step in range(len(neighbours)):
            member = neighbours[(start + step) % len(neighbours)]
            if fleet.usable(member, now) and member not in tried:
                # Cold servers take no keys of others (guards against pushing one over).
                warm = not fleet.is_cold(member, now)
                if position_in_share < fleet.accepted_share(member, now) and (
                    warm or (not step and self._has_capacity(member, request, now))
                ):
                    return member
            position_in_share = (position_in_share + 0.618034) % 1.0
        busy: Optional[Member] = None
        for member in neighbours:
            if fleet.usable(member, now) and member not in tried and not fleet.is_cold(member, now):
                if member.calm:
                    return member
                busy = busy or member
        if busy is not None:
            # The warm ones turn much away: a cold one with room takes a key of theirs (guards against one warm server left of
            # many getting all that the cold ones may not have as their own, and refusing it). The allowance bounds it.
            return self._cold_with_capacity(neighbours, request, now) or busy
        spare: Optional[Member] = None
        cold: list[Member] = []
        for member in fleet.candidates_from(range_number):
            if member.present and member not in tried:
                if fleet.is_cold(member, now):
                    cold.append(member)
                elif fleet.usable(member, now):
                    return member
                elif spare is None or member.out_until < spare.out_until:
                    spare = member
        # No warm server is left: the nearest cold ones with room, home first (guards against a fleet that is cold as a whole
        # turned away as a whole, or sent to one server).
        return (
            self._cold_with_capacity((*neighbours, *cold[:MAX_COLD_CANDIDATES]), request, now)
            if cold
            else None
        ) or spare

    def _cold_with_capacity(
        self, members: Iterable[Member], request: Request, now: float
    ) -> Optional[Member]:
        """The first cold server of these that the request has not tried and that has room for it."""
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
        """Whether a server may get a request as far as its start goes (see `allowance`): a warm one may."""
        fleet = self.fleet
        if not fleet.is_cold(member, now):
            return True
        if self.parts is not None:
            self.parts.wants_work(
                member.info.name,
                request.cost_ms / (fleet.weight_of(member) * fleet.cold_capacity(member, now)),
                now,
            )
        rate = self._cold_rate(member, now)
        if member.account is None:
            member.account = self.allowances.open(
                now, request.cost_ms, rate, member.start_notified_ms
            )
        return self.allowances.has(member.account, rate, request.cost_ms, request.spec.value, now)

    def _cold_rate(self, member: Member, now: float) -> float:
        """What a cold server may get now, in work a ms."""
        fleet = self.fleet
        reference = self.allowances.reference(fleet.weight)
        if self.parts is not None:
            reference = self.parts.work(member.info.name, reference, now)
        return reference * fleet.weight_of(member) * fleet.cold_capacity(member, now)

    def _server_with_capacity(self, request: Request, now: float) -> Optional[Member]:
        """A server with room for what another turned away; slow hits tell that in truth none has any."""
        if self.gate.slow_hit_share > NORMAL_SLOW_HIT_SHARE:
            return None
        self._prepare(now)
        return self.fleet.nearest_with_capacity(
            self.line.range_of(request.position), request.servers, now
        )

    def _send(self, request: Request, member: Member, now: float) -> Action:
        request.outstanding.add(request.tries)
        known = self.fetches.remembers(request.position, member.info.name, member.cold_since_ms)
        expected = self.fetches.expected(known, request.write)
        request.expected_fetches[request.tries] = expected, known
        self.fetches.pay(expected)
        request.tries += 1
        request.servers.append(member)
        request.sent_ms.append(now)
        member.sent(request.id, request.spec.aim_ms, now)
        if member.account is not None and self.fleet.is_cold(member, now):
            self.allowances.pay(member.account, request.cost_ms, request.spec.value, now)
        self.fleet.zones.sent(member.info.zone, request.spec.aim_ms, now)
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
        note: int = 0,
        load: Optional[list[float]] = None,
    ) -> list[Action]:
        """An attempt ended."""
        member = self.fleet.members.get(server)
        request = self.held.get(request_id)
        outcome = self._evaluate_outcome(
            request, attempt, member, status, note, elapsed_ms, request_id, now
        )
        if member is not None:
            self.fleet.evaluate(member, outcome, now)
            bad = self.fleet.update_suspicion(member, outcome, now)
            self.gate.evaluate(member, outcome, bad, now)
            if request is not None:
                self._record_load(request, member, outcome, now)
            if load:
                self.fleet.record_load(member, load, now)
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
        if (
            status == "absent"
            and self.fleet.origin is not None
            and request.tries < self.settings.max_attempts
        ):
            return [self._send(request, self.fleet.origin, now)]
        left_ms = request.aim_at - now
        # A server whose answer was lost on the way has done the work and keeps what it fetched: it is asked again, once.
        same_server = (
            member
            if outcome.fault and member is not None and self.fleet.usable(member, now)
            else None
        )
        if same_server is not None and not self._has_capacity(same_server, request, now):
            same_server = None
        if same_server is not None and (
            same_server.faults > 1 or request.servers.count(same_server) > 1
        ):
            same_server = None
        if (
            outcome.full
            and left_ms > 0.25 * request.spec.aim_ms
            and request.tries < self.settings.max_attempts
        ):
            available = self._server_with_capacity(request, now)
            if available is not None and self._may_retry(request, available, now):
                return [self._send(request, available, now)]
        # A repeat of a miss is one more miss (guards against repeats that keep the origin down).
        retry_useful = (
            request.first_run_server is None
            or same_server is not None
            or self.gate.origin_slowness <= ORIGIN_SLOW_LEVEL
        )
        # While little else goes wrong, faults do not come of load and need no savings (guards against a bank emptied by resets).
        without_budget = outcome.fault and self.gate.failure_share < NORMAL_FAILURE_SHARE
        budget = (
            self.error_retry_budget
            if outcome.quick_error(request.spec.aim_ms)
            else self.retry_budget
        )
        if (
            retry_useful
            and left_ms > 0.25 * request.spec.aim_ms
            and request.tries < self.settings.max_attempts
            and (without_budget or budget.enough)
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

    def _evaluate_outcome(
        self, request: Optional[Request], attempt: int, member: Optional[Member], status: str, note: int, elapsed_ms: float,
        request_id: int, now: float,
    ) -> Seen:  # fmt: skip
        """An outcome with what its attempt had."""
        outcome_class = WORDS.get(status, Seen)
        trial = member is not None and member.trial == request_id
        if request is None:
            return outcome_class(note, elapsed_ms, None, trial=trial)
        expected, known = request.expected_fetches.get(attempt, NO_FETCH)
        cold = member is not None and self.fleet.is_cold(member, now)
        return outcome_class(
            note,
            elapsed_ms,
            request.spec,
            request.work_ms,
            request.write,
            known,
            expected,
            cold,
            trial,
            request.tries,
        )

    def _record_load(self, request: Request, member: Member, outcome: Seen, now: float) -> None:
        """What an outcome tells of what servers bear."""
        if not outcome.cold:
            if outcome.cost_told:
                self.costs.learn(request.spec, outcome.elapsed_ms)
            if outcome.in_time:
                self.allowances.borne(request.cost_ms)
        elif member.account is not None:
            if outcome.pressed:
                self.allowances.pressed(member.account, now)
            elif outcome.served:
                self.allowances.eased(member.account)
        longer = outcome.longer_than(self.hedge_share)
        if longer is not None:
            self._learn_hedge_share(longer)

    def _record_fetch(
        self, request: Request, attempt: int, outcome: Seen, server: str, now: float
    ) -> None:
        """An attempt has ended: what it tells of the origin."""
        if attempt not in request.expected_fetches:
            return
        fetches = self.fetches
        del request.expected_fetches[attempt]
        fetches.back(outcome.likely_miss, now if outcome.fetch_over else None)
        servers_slow = (
            self.gate.slow_hit_share > NORMAL_SLOW_HIT_SHARE
        )  # servers are slow by themselves: a time-out tells nothing of the origin
        missed = outcome.missed(servers_slow)
        if missed is not None:
            fetches.learn(outcome.known, missed)
        if outcome.served:
            fetches.served(request.position, server, request.write, now)
            if outcome.fetched and not servers_slow:
                fetches.judge(outcome.elapsed_ms / request.spec.aim_ms, now)
        elif not servers_slow and outcome.fetch_lost(PASS):
            fetches.judge(None, now)

    def _release_fetches(self, request: Request) -> None:
        """A request is over: nothing of it is expected of the origin any more."""
        for expected, _ in request.expected_fetches.values():
            self.fetches.back(expected)
        request.expected_fetches.clear()

    def _learn_hedge_share(self, longer: bool) -> None:
        """Follow the time in which most attempts are answered: it stands still where as many take longer as should."""
        self.hedge_share = min(
            1.0, max(0.0, self.hedge_share + HEDGE_LEARNING_RATE * (longer - 1.0 + HEDGE_QUANTILE))
        )

    def _penalize_overtaken(self, request: Request, winner: int, now: float) -> None:
        """Another server answered first, though asked much later: note it against those that have not (guards against a
        slow server that looks well since its requests are served elsewhere before their time is up)."""
        for attempt in request.outstanding:
            member = request.servers[attempt]
            if attempt < winner:
                self._learn_hedge_share(True)
                outcome = self._evaluate_outcome(
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
                self.fleet.penalize(member, now, self.gate.failure_penalty(), True)

    def _may_retry(self, request: Request, target: Member, now: float) -> bool:
        """Whether one more attempt is allowed after one that may have run."""
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
        """The answer has started to stream: the request has no deadline any more."""
        request = self.held.get(request_id)
        if request is not None:
            request.streaming = True
        return []

    def on_body_consumed(self, now: float, request_id: int) -> list[Action]:
        """A part of the request's body is gone: it can't be sent again, and its time runs from its last byte."""
        request = self.held.get(request_id)
        if request is not None:
            request.body_consumed = True
        return []

    def on_departure(self, now: float, request_id: int) -> list[Action]:
        """The client left: stop its attempts where that is allowed."""
        request = self.held.pop(request_id, None)
        if request is not None:
            self._release_fetches(request)
        if request is None or not self.settings.may_cancel:
            return []
        return [("cancel", request_id, n) for n in sorted(request.outstanding)]

    def on_probe(
        self, now: float, server: str, status: str, elapsed_ms: float, load: Optional[list[float]]
    ) -> list[Action]:
        """A probe came back."""
        member = self.fleet.members.get(server)
        if member is not None and load:
            self.fleet.record_load(member, load, now)
        return []
