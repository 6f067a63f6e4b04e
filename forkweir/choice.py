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

from forkweir.advice import Advice, Cause
from forkweir.fleet import Fleet, Member
from forkweir.gate import (
    ORIGIN_DOWN,
    ORIGIN_SLOW,
    USUAL_BAD,
    USUAL_SLOW,
    Gate,
)
from forkweir.known.discovery_polling import PollSchedule
from forkweir.known.outcomes import OUTCOME_TYPES, AttemptOutcome
from forkweir.limits.client_wait import ClientWaits
from forkweir.limits.fetch_budget import EXEMPT_COST, FetchBudget
from forkweir.limits.request_cost import Costs
from forkweir.limits.retry_budget import QUICK_ERROR_SHARE, RETRY_SHARE, RetryBudget
from forkweir.limits.slow_start import SlowStart
from forkweir.limits.tier_shares import TierShares
from forkweir.line import Line, position_of
from forkweir.request import Request
from forkweir.settings import (
    Action,
    ClassSpec,
    Server,
    Settings,
)

PROBE_MS = 500.0  # between probes, where load reports come with probes alone
FIRST_PROBES = 20  # at the start, at five times that pace
WRITE_TRIAL = 0.05  # part of the writes that go on to try it
HOPELESS = 0.1  # with less than this part of the aim left a request will be late
QUICKER = 1.1  # a server this much quicker than its range's home takes its writes
HEDGE_PART = (
    0.95  # a request that is out for longer than this part of all takes is asked for once more,
)
HEDGE_LEAST = 0.5  # but not before this part of its aim,
HEDGE_MOST = 0.7  # and not at all where that is later than this part
HEDGE_LEARN = 0.02  # weight of one outcome in the judgement of how long that is
TRIAL_PART = 0.35  # and what tries a server that was found to be bad after this part
HEDGE_STEP_MS = 5.0  # between two looks at which are
NO_FETCH = (0.0, False)  # what is expected of an attempt that was never sent
REBUILD_TIMER = 5  # token of the timer that goes on with a placement (`adapter.TIER_TIMER` is 4)
COLD_LOOKS = 8  # servers beyond a range's neighbours that are asked for room where all are cold


class Balancer:
    """One node's decisions. Each on_... method takes the time and returns actions."""

    __slots__ = (
        "settings",
        "random",
        "fleet",
        "line",
        "held",
        "classes",
        "turn",
        "repeats",
        "errors",
        "patience",
        "probes",
        "gate",
        "least_worth",
        "asking",
        "fallback",
        "usual",
        "waits",
        "looks",
        "costs",
        "allowances",
        "fetches",
        "advice",
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
        self.fallback = ClassSpec("", repeat="unsafe")
        self.turn = 0
        self.repeats = RetryBudget(RETRY_SHARE)
        self.errors = RetryBudget(QUICK_ERROR_SHARE)
        self.patience = ClientWaits()
        self.probes = 0
        self.gate = Gate(self.fleet)
        self.least_worth = min(
            (spec.worth for spec in settings.classes if spec.worth > 0.0), default=1.0
        )
        self.costs = Costs()
        worths = [spec.worth for spec in settings.classes]
        self.allowances = SlowStart(settings.fall_multiple, max(worths, default=1.0), seed)
        self.fetches = FetchBudget(max(worths, default=1.0))
        self.advice = Advice(settings.backoff_max_ms, seed)
        self.parts: Optional[TierShares] = (
            None  # of bounds that many nodes share, where they may talk to one another
        )
        self.asking = PollSchedule(settings.ask_within_ms, self.random, not settings.asked)
        self.usual = (
            HEDGE_MOST  # the part of their aims in which HEDGE_PART of the attempts are answered
        )
        self.waits: list[
            tuple[float, int]
        ] = []  # a heap: when each request sent lately will have been out for long
        self.looks = False  # whether a look at them is due
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
            self.asking.reset()
            return []
        if form in ("failed", "lost"):
            return [self._ask_at(now + self.asking.next_wait(form == "lost", now))]
        self.fleet.take(now, entries, form in ("saved", "full"), whole=form != "part")
        if form == "part":
            return []
        actions = self._plan_rebuild(now)
        if form == "saved":
            if self.settings.asked:
                actions.append(self._ask_at(now + self.asking.initial_wait()))
            if self.settings.may_probe and self.settings.reports == "on_probe" and not self.probes:
                actions.append(("timer", 2, now + PROBE_MS * 0.2 * self.random.random()))
            return actions
        if form != "hearsay":
            self.asking.record_line()
        return actions

    def _ask_at(self, due: float) -> Action:
        return ("timer", 1, due)

    # -- homes of ranges -----------------------------------------------------------------

    def _prepare(self, now: float) -> bool:
        """Whether any range has a home. A small fleet's placement is brought up to date first, if that is due."""
        fleet = self.fleet
        if (
            fleet.stale
            and self._rebuilding is None
            and not fleet.large
            and fleet.rebuild_at(now) <= now
        ):
            for _ in self._rebuild(now):
                pass
        return fleet.ready

    def _plan_rebuild(self, now: float) -> list[Action]:
        """See to it that a large fleet's placement follows its list."""
        if self._rebuild_planned or not (self.fleet.stale and self.fleet.large):
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
            return self._look(now)
        if token == REBUILD_TIMER:
            return self._rebuild_slice(now)
        if token == 2:
            self.probes += 1
            wait = PROBE_MS * (0.2 if self.probes < FIRST_PROBES else 1.0)
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
        spec = self.classes.get(class_name, self.fallback)
        position = self.random.random() if key is None else position_of(key)
        deadline = now + budget_ms
        # A client that repeats has waited since its first try (guards against full servers working on what is late already).
        waited = self.patience.waited_ms(spec.name, budget_ms, repeated, spec.deadline_ms)
        aim_at = (
            now - waited + spec.aim_ms + spec.aim_stretch * work_ms - 2.0 * self.settings.tick_ms
        )
        worth = (
            spec.worth if aim_at > now + HOPELESS * spec.aim_ms else spec.worth * spec.late_worth
        )
        request = Request(
            request_id, spec, key, position, min(aim_at, deadline), deadline, work_ms, write
        )
        request.cost = self.costs.cost_ms(spec, work_ms)
        self.allowances.record_request(now, request.cost, self.fleet.warm(now))
        self.repeats.earn()
        self.errors.earn()
        if key is not None:
            self.line.arrive(position, key)
            if self.parts is not None:
                shared = self.parts.line(position, self.line.ranges, now)
                if shared is not self.line.shared:
                    self.line.merge(shared)
        if self.settings.aside and write:
            target: Optional[Member] = self.fleet.origin
        else:
            target = self._pick(request, now)
        if target is None:
            return [self._refuse(request, *self._unserved(request, now), now)]
        times = worth / self.least_worth
        if not self.gate.lets_in(position, times):
            return [self._refuse(request, "gate", self.gate.opens_in(position, times), now)]
        # Nor one that would wait at an origin which is slow already (guards against fetches that time out, are given up, and
        # leave nothing in any cache, as long as clients ask).
        fetches = self.fetches
        if fetches.limiting or self.parts is not None:
            known = fetches.remembers(position, target.info.name, target.warm_ms)
            expected = fetches.expected(known, write)
            if self.parts is not None:
                self.parts.wants_fetches(expected, fetches.fetch_ms, now)
                fetches.allocated = self.parts.fetches(fetches.prospective_limit, now)
            if not fetches.may_send(expected, spec.worth):
                return [self._refuse(request, "origin", fetches.wait_ms(expected, spec.worth), now)]
        # A write that the origin carries out late is lost and still voids the kept object (guards
        # against an origin in trouble taking the hits away as well).
        if write and self.gate.origin_slow > ORIGIN_DOWN and self.random.random() >= WRITE_TRIAL:
            return [self._refuse(request, "origin-down", None, now)]
        self.held[request_id] = request
        return [self._send(request, target, now), *self._watch(request, now)]

    def _refuse(
        self, request: Request, cause: Cause, opens_ms: Optional[float], now: float
    ) -> Action:
        return ("refuse", request.id, self.advice.wait(opens_ms, request.aim_at - now), cause)

    def _unserved(self, request: Request, now: float) -> tuple[Cause, Optional[float]]:
        """Why no server can take a request, and when one may."""
        fleet, soonest = self.fleet, None
        for member in fleet.placed:
            if (
                member.account is not None
                and fleet.is_cold(member, now)
                and fleet.usable(member, now)
            ):
                opens = self.allowances.wait_ms(
                    member.account, self._cold_rate(member, now), request.cost, now
                )
                soonest = opens if soonest is None else min(soonest, opens)
        return ("no-server", None) if soonest is None else ("cold", soonest)

    def _watch(self, request: Request, now: float) -> list[Action]:
        """Note when a request will have been out for long, and see to it that somebody looks."""
        if request.spec.repeat == "unsafe":
            return []
        trial = request.servers[-1].trial_request == request.id
        due = (
            now
            + (TRIAL_PART if trial else min(max(HEDGE_LEAST, self.usual), HEDGE_MOST))
            * request.spec.aim_ms
        )
        if due >= request.aim_at:
            return []
        heappush(self.waits, (due, request.id))
        return self._look_at(due)

    def _look_at(self, due: float) -> list[Action]:
        if self.looks:
            return []
        self.looks = True
        return [("timer", 3, due)]

    def _look(self, now: float) -> list[Action]:
        """Go through the requests that have been out for long by now."""
        self.looks = False
        actions: list[Action] = []
        while self.waits and self.waits[0][0] <= now:
            request = self.held.get(heappop(self.waits)[1])
            if request is not None and request.out and not (request.streaming or request.once):
                actions += self._hedge(request, now)
        if self.waits:
            actions += self._look_at(max(self.waits[0][0], now + HEDGE_STEP_MS))
        return actions

    def _hedge(self, request: Request, now: float) -> list[Action]:
        """Ask once more for what has been out for long and may be repeated; the first answer counts.

        Guards against an attempt whose answer will not come, or not in time, whatever has become of it: a connection gone
        silent, an answer cut short, a server that hangs. A server that has answered others meanwhile is asked itself, as it
        holds or fetches the key; else the next one is. Savings for repeats bound the load that this adds. Harm: a second copy
        would feed what delays the first where answers are slow at large or the origin is in trouble; none is sent there.
        """
        last = max(request.out)
        member = request.servers[last]
        calm = self.gate.origin_slow <= ORIGIN_SLOW
        tried = member.trial_request == request.id
        trial = (
            tried and not member.ejections
        )  # of a server that is in doubt; the others were struck
        if not trial and (
            tried
            or calm
            and self.fleet.silent_for(member, request.sent[last], request.spec.aim_ms, now)
        ):
            member.eject(now)
        unfit = not self.repeats.may_retry or self.usual > HEDGE_MOST or not calm
        if (
            (unfit and not trial)
            or request.tries >= self.settings.max_attempts
            or not self.settings.second_copies
        ):
            return []
        alive = member.last_answer_ms > request.sent[last] and self.fleet.usable(member, now)
        target = (
            member if alive and self._has_room(member, request, now) else self._pick(request, now)
        )
        if target is None or (target is not member and target in request.servers):
            return []
        if request.ran is None:  # what is out may have run by now
            request.ran, request.first_ran = member, request.sent[last]
        if not self._may_repeat(request, target, now):
            return []
        if not trial:
            self.repeats.spend()
        return [self._send(request, target, now)]

    def _pick(self, request: Request, now: float) -> Optional[Member]:
        """The home of the request's range, or a neighbour where an exception acts."""
        fleet = self.fleet
        if not self._prepare(now):
            return None
        at = self.line.range_of(request.position)
        near = fleet.neighbours(at)
        tried = request.servers
        start = 0
        depth = request.position * 65536.0 % 1.0
        if request.key is not None:
            copies = self.line.copies(
                request.key, min(len(near), fleet.live or 1), request.position
            )
            if copies > 1:
                self.turn += 1
                start = self.turn % copies
                depth = self.random.random()
        if request.write and not start:
            # A write finds nothing in its home's cache and goes through to the origin from any
            # server (guards against slow homes making the heaviest class late).
            least = QUICKER * fleet.speeds.work_rate(near[0].info.kind)
            for step in range(1, len(near) if least else 0):
                member = near[step]
                if (
                    fleet.speeds.work_rate(member.info.kind) >= least
                    and not member.strain
                    and not fleet.is_cold(member, now)
                ):
                    start = step
                    break
        for step in range(len(near)):
            member = near[(start + step) % len(near)]
            if fleet.usable(member, now) and member not in tried:
                # Cold servers take no keys of others (guards against pushing one over).
                warm = not fleet.is_cold(member, now)
                if depth < fleet.kept(member, now) and (
                    warm or (not step and self._has_room(member, request, now))
                ):
                    return member
            depth = (depth + 0.618034) % 1.0
        full: Optional[Member] = None
        for member in near:
            if fleet.usable(member, now) and member not in tried and not fleet.is_cold(member, now):
                if member.rejects_little:
                    return member
                full = full or member
        if full is not None:
            # The warm ones turn much away: a cold one with room takes a key of theirs (guards against one warm server left of
            # many getting all that the cold ones may not have as their own, and refusing it). The allowance bounds it.
            return self._cold_with_room(near, request, now) or full
        spare: Optional[Member] = None
        cold: list[Member] = []
        for member in fleet.from_turn(at):
            if member.present and member not in tried:
                if fleet.is_cold(member, now):
                    cold.append(member)
                elif fleet.usable(member, now):
                    return member
                elif spare is None or member.ejected_until < spare.ejected_until:
                    spare = member
        # No warm server is left: the nearest cold ones with room, home first (guards against a fleet that is cold as a whole
        # turned away as a whole, or sent to one server).
        return (
            self._cold_with_room((*near, *cold[:COLD_LOOKS]), request, now) if cold else None
        ) or spare

    def _cold_with_room(
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
                if self._has_room(member, request, now):
                    return member
        return None

    def _has_room(self, member: Member, request: Request, now: float) -> bool:
        """Whether a server may get a request as far as its start goes (see `allowance`): a warm one may."""
        fleet = self.fleet
        if not fleet.is_cold(member, now):
            return True
        if self.parts is not None:
            self.parts.wants_work(
                member.info.name,
                request.cost / (fleet.weight_of(member) * fleet.ramp(member, now)),
                now,
            )
        rate = self._cold_rate(member, now)
        if member.account is None:
            member.account = self.allowances.open_bucket(now, request.cost, rate, member.known_ms)
        return self.allowances.may_send(member.account, rate, request.cost, request.spec.worth, now)

    def _cold_rate(self, member: Member, now: float) -> float:
        """What a cold server may get now, in work a ms."""
        fleet = self.fleet
        reference = self.allowances.reference(fleet.weight)
        if self.parts is not None:
            reference = self.parts.work(member.info.name, reference, now)
        return reference * fleet.weight_of(member) * fleet.ramp(member, now)

    def _calm(self, request: Request, now: float) -> Optional[Member]:
        """A server with room for what another turned away; slow hits tell that in truth none has any."""
        if self.gate.slow > USUAL_SLOW:
            return None
        self._prepare(now)
        return self.fleet.calm(self.line.range_of(request.position), request.servers, now)

    def _send(self, request: Request, member: Member, now: float) -> Action:
        request.out.add(request.tries)
        known = self.fetches.remembers(request.position, member.info.name, member.warm_ms)
        expected = self.fetches.expected(known, request.write)
        request.fetches[request.tries] = expected, known
        self.fetches.record_start(expected)
        request.tries += 1
        request.servers.append(member)
        request.sent.append(now)
        member.record_sent(request.id, request.spec.aim_ms, now)
        if member.account is not None and self.fleet.is_cold(member, now):
            self.allowances.spend(member.account, request.cost, request.spec.worth, now)
        self.fleet.zones.record_sent(member.info.zone, request.spec.aim_ms, now)
        until = (
            request.aim_at
            if request.spec.late_worth <= 0.0 and request.aim_at > now
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
        seen = self._seen(request, attempt, member, status, note, elapsed_ms, request_id, now)
        if member is not None:
            self.fleet.judge(member, seen, now)
            bad = self.fleet.doubted(member, seen, now)
            self.gate.judge(member, seen, bad, now)
            if request is not None:
                self._load(request, member, seen, now)
            if load:
                self.fleet.report(member, load, now)
        if request is None:
            return []
        self._fetched(request, attempt, seen, server, now)
        if finished:
            if seen.served and len(request.out) > 1:
                self._overtaken(request, attempt, now)
            self._settle(request)
            del self.held[request_id]
            return []
        request.out.discard(attempt)
        if seen.may_have_run and request.ran is None and attempt < len(request.servers):
            request.ran = request.servers[attempt]
            request.first_ran = request.sent[attempt]
        if request.out or request.streaming:
            return []
        if request.once:
            return [self._end(request, now)]
        if (
            status == "absent"
            and self.fleet.origin is not None
            and request.tries < self.settings.max_attempts
        ):
            return [self._send(request, self.fleet.origin, now)]
        left = request.aim_at - now
        # A server whose answer was lost on the way has done the work and keeps what it fetched: it is asked again, once.
        again = (
            member if seen.fault and member is not None and self.fleet.usable(member, now) else None
        )
        if again is not None and not self._has_room(again, request, now):
            again = None
        if again is not None and (again.consecutive_faults > 1 or request.servers.count(again) > 1):
            again = None
        if (
            seen.overloaded
            and left > 0.25 * request.spec.aim_ms
            and request.tries < self.settings.max_attempts
        ):
            calm = self._calm(request, now)
            if calm is not None and self._may_repeat(request, calm, now):
                return [self._send(request, calm, now)]
        # A repeat of a miss is one more miss (guards against repeats that keep the origin down).
        hopeful = request.ran is None or again is not None or self.gate.origin_slow <= ORIGIN_SLOW
        # While little else goes wrong, faults do not come of load and need no savings (guards against a bank emptied by resets).
        free = seen.fault and self.gate.bad < USUAL_BAD
        savings = self.errors if seen.quick_error(request.spec.aim_ms) else self.repeats
        if (
            hopeful
            and left > 0.25 * request.spec.aim_ms
            and request.tries < self.settings.max_attempts
            and (free or savings.may_retry)
        ):
            target = again or self._pick(request, now)
            if (
                target is not None
                and (again or target not in request.servers)
                and self._may_repeat(request, target, now)
            ):
                if not free:
                    savings.spend()
                return [self._send(request, target, now)]
        return [self._end(request, now)]

    def _seen(
        self, request: Optional[Request], attempt: int, member: Optional[Member], status: str, note: int, elapsed_ms: float,
        request_id: int, now: float,
    ) -> AttemptOutcome:  # fmt: skip
        """An outcome with what its attempt had."""
        word = OUTCOME_TYPES.get(status, AttemptOutcome)
        trial = member is not None and member.trial_request == request_id
        if request is None:
            return word(note, elapsed_ms, None, trial=trial)
        expected, known = request.fetches.get(attempt, NO_FETCH)
        cold = member is not None and self.fleet.is_cold(member, now)
        return word(
            note,
            elapsed_ms,
            request.spec,
            request.work,
            request.write,
            known,
            expected,
            cold,
            trial,
            request.tries,
        )

    def _load(self, request: Request, member: Member, seen: AttemptOutcome, now: float) -> None:
        """What an outcome tells of what servers bear."""
        if not seen.cold:
            if seen.reveals_cost:
                self.costs.record_answer(request.spec, seen.elapsed_ms)
            if seen.in_time:
                self.allowances.record_served(request.cost)
        elif member.account is not None:
            if seen.overload:
                self.allowances.record_overload(member.account, now)
            elif seen.served:
                self.allowances.record_success(member.account)
        longer = seen.longer_than(self.usual)
        if longer is not None:
            self._learn(longer)

    def _fetched(
        self, request: Request, attempt: int, seen: AttemptOutcome, server: str, now: float
    ) -> None:
        """An attempt has ended: what it tells of the origin."""
        if attempt not in request.fetches:
            return
        fetches = self.fetches
        del request.fetches[attempt]
        fetches.record_end(seen.miss_probability, now if seen.fetch_ended else None)
        jammed = (
            self.gate.slow > USUAL_SLOW
        )  # servers are slow by themselves: a time-out tells nothing of the origin
        missed = seen.missed(jammed)
        if missed is not None:
            fetches.record_read(seen.served_last, missed)
        if seen.served:
            fetches.record_served(request.position, server, request.write, now)
            if seen.fetched and not jammed:
                fetches.record_fetch(seen.elapsed_ms / request.spec.aim_ms, now)
        elif not jammed and seen.fetch_failed(EXEMPT_COST):
            fetches.record_fetch(None, now)

    def _settle(self, request: Request) -> None:
        """A request is over: nothing of it is expected of the origin any more."""
        for expected, _ in request.fetches.values():
            self.fetches.record_end(expected)
        request.fetches.clear()

    def _learn(self, longer: bool) -> None:
        """Follow the time in which most attempts are answered: it stands still where as many take longer as should."""
        self.usual = min(1.0, max(0.0, self.usual + HEDGE_LEARN * (longer - 1.0 + HEDGE_PART)))

    def _overtaken(self, request: Request, winner: int, now: float) -> None:
        """Another server answered first, though asked much later: note it against those that have not (guards against a
        slow server that looks well since its requests are served elsewhere before their time is up)."""
        for n in request.out:
            member = request.servers[n]
            if n < winner:
                self._learn(True)
                out = self._seen(
                    request, n, member, "withdrawn", 0, now - request.sent[n], request.id, now
                )
                self.fleet.doubted(member, out, now)
            if (
                n < winner
                and self.gate.origin_slow < ORIGIN_SLOW
                and member is not request.servers[winner]
            ):
                self.fleet.strained(member, now, self.gate.blame(), True)

    def _may_repeat(self, request: Request, target: Member, now: float) -> bool:
        """Whether one more attempt is allowed after one that may have run."""
        ran, spec = request.ran, request.spec
        if ran is None or spec.repeat == "safe":
            return True
        if (
            spec.repeat != "keyed"
            or now - request.first_ran > spec.repeat_window_ms - 2.0 * self.settings.tick_ms
        ):
            return False
        if spec.group == "zone":
            return target.info.zone == ran.info.zone
        if spec.group == "cell":
            return target.info.cell == ran.info.cell
        return spec.group == "all"

    def _end(self, request: Request, now: float) -> Action:
        del self.held[request.id]
        self._settle(request)
        spec = request.spec
        if (
            request.ran is None
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

    def on_spent(self, now: float, request_id: int) -> list[Action]:
        """A part of the request's body is gone: it can't be sent again, and its time runs from its last byte."""
        request = self.held.get(request_id)
        if request is not None:
            request.once = True
        return []

    def on_departure(self, now: float, request_id: int) -> list[Action]:
        """The client left: stop its attempts where that is allowed."""
        request = self.held.pop(request_id, None)
        if request is not None:
            self._settle(request)
        if request is None or not self.settings.may_cancel:
            return []
        return [("cancel", request_id, n) for n in sorted(request.out)]

    def on_probe(
        self, now: float, server: str, status: str, elapsed_ms: float, load: Optional[list[float]]
    ) -> list[Action]:
        """A probe came back."""
        member = self.fleet.members.get(server)
        if member is not None and load:
            self.fleet.report(member, load, now)
        return []
