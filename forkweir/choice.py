"""Every decision of forkweir: pure, deterministic, no I/O and no clock of its own.

The ordinary path is DEMB (see docs/design.md): a key becomes a position on a line, a
window of recent positions is cut into ranges of equal count, each re-cut is blended into
the earlier cuts, and a request goes to the home server of its position's range.
"""

from __future__ import annotations

import random
from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable
from dataclasses import dataclass, replace
from hashlib import blake2b
from heapq import heappop, heappush
from math import exp
from typing import Optional

Action = tuple[object, ...]
"""What the node must do, name first: ("attempt", id, server, timeout_ms), ("refuse", id,
backoff_ms), ("fail", id), ("cancel", id, attempt), ("timer", token, due_ms), ("probe",
server), ("follow", on)."""

RANGES_PER_SERVER = 8  # ranges are at least this many times the servers they are dealt to
SMALLEST_RANGES = 2048  # constant for every fleet up to 256, so nodes with other lists agree
WINDOW_PER_RANGE = 8  # WS = this x ranges: WS >> N, as the paper asks
UPDATE_EVERY = 128  # UI, in arrivals
ALPHA = 0.3  # the weight of new cuts
DEAL_MS = 1_000.0  # between two dealings of homes
PLACES = 24  # points of one server on the ring that gives ranges their homes
ROOM = 1.12  # a server may be home to this times its exact share of ranges
NEIGHBOURS = 8  # servers known ahead for a range, home included
HOT_MIN = 8  # sightings before a key may be judged hot
HOT_MEMORY = 512  # recent arrivals in which hot keys are counted
HOLD_MS = 30_000.0  # a server that vanished undrained keeps its ranges this long
COLD_MARGIN = 0.8  # of the least capacity that the stated warm-up promises
EJECT_MS = 1_000.0  # first ejection; doubles up to the longest
EJECT_MAX_MS = 8_000.0
RETRY_SHARE = 0.1  # retries earned by each request
RETRY_BANK = 10.0  # and saved up at most
PROBE_MS = 500.0  # between probes, where load reports come with probes alone
FIRST_PROBES = 20  # at the start, at five times that pace
PEER_EVIDENCE = 3.0  # busy seconds' worth of its kind's estimate that a server's own is held against
ORIGIN_STEP = 0.1  # weight of one miss in the judgement of the origin
ORIGIN_SLOW = 0.6  # misses that take this part of the aim on average: the origin is in trouble
ORIGIN_DOWN = 0.8  # and this part: it serves hardly any miss in time
WRITE_TRIAL = 0.05  # part of the writes that go on to try it
SLOW_HIT = 0.5  # a hit that takes this part of the aim strains its server
WASH = 0.05  # of its good answers a server loses by each further strain in a row, for each unit of strain
EASE = 0.6  # how much one good answer lightens the strain of bad ones
GATE_SHUT = 0.85  # each bad outcome multiplies the part of the keys that is let in
GATE_OPEN = 0.015  # and each good one adds this,
GATE_OPEN_BAD = 0.0002  # or at most this each ms while much goes wrong
USUAL_BAD = 0.08  # a part of attempts that goes wrong without overload, by crashes and slow misses
GATE_LEAST = 0.1
GATE_LEAST_QUICK = 0.4  # while hits are quick
FEW_HITS = 0.5  # fewer outcomes that are hits than this: the caches are all but empty
USUAL_SLOW = 0.1  # a part of hits that is slow without a jam
JAM = 0.3  # and with most of the fleet jammed
BAD_STEP = 0.02  # weight of one outcome in the part that goes wrong
HOPELESS = 0.1  # with less than this part of the aim left a request will be late
GATE_STEP_MS = 200.0  # between two shuts (guards against one burst of time-outs, as when links are cut)
QUICKER = 1.1  # a server this much quicker than its range's home takes its writes
CUT_AFTER = 4  # unanswered attempts in a row at one other zone: its links are held to be cut
SILENT_AIMS = 2.0  # or as many out with no answer for this many times the aim, while the own zone answers
CUT_MS = 1_000.0  # between two trials of a zone that is held to be cut off
FAULTS_ROW = {"unreachable": 2, "broken": 3, "spoilt": 4}  # so many faults in a row, with no answer between: the server is out
OWN_ERRORS = 3  # in a row, with no good answer between: more of them are the server's own and not the origin's
TURNED_STEP = 0.1  # weight of one outcome in the part of attempts that a server turns away
CALM = 0.15  # a server that turns away less than this lately has room
HEDGE_PART = 0.95  # a request that is out for longer than this part of all takes is asked for once more,
HEDGE_LEAST = 0.5  # but not before this part of its aim,
HEDGE_MOST = 0.7  # and not at all where that is later than this part
HEDGE_LEARN = 0.02  # weight of one outcome in the judgement of how long that is
HEDGE_STEP_MS = 5.0  # between two looks at which are
SILENT_ROW = 4  # so many requests out for that long in a row, with no answer between, over a whole aim: the server is silent
SILENT_MOST = 0.25  # of the servers that may be put out for silence at once
STRAIN_MS = 20_000.0  # strain fades by e in this time

HEARD = frozenset({"success", "overloaded", "failure", "absent", "spoilt", "broken"})  # something came back
NEVER_RAN = frozenset({"overloaded", "unreachable", "void", "absent"})


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """One class of requests, as the settings state it."""

    name: str
    aim_ms: float = 1000.0
    deadline_ms: float = 1000.0
    repeat: str = "safe"  # safe, keyed or unsafe
    group: str = "all"  # for keyed: who discards repeats (all, zone or cell)
    repeat_window_ms: float = 0.0
    late_worth: float = 0.0
    worth: float = 1.0
    aim_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told at its start."""

    classes: tuple[ClassSpec, ...] = ()
    zone: str = ""
    asked: bool = False  # the server list must be asked for
    ask_within_ms: float = 10_000.0
    max_attempts: int = 3
    may_cancel: bool = False
    may_probe: bool = False
    backoff_max_ms: float = 0.0
    cold_from: float = 0.2
    cold_ms: float = 20_000.0
    tick_ms: float = 1.0
    aside: bool = False
    origin_kind: str = ""
    weighted: bool = True
    columns: tuple[str, ...] = ()  # of load reports
    reports: str = "off"  # inline, on_probe or off


@dataclass(frozen=True, slots=True)
class Server:
    """One entry of the server list."""

    name: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "in"  # in, draining or gone
    weight: float = 1.0
    started_ms: float = 0.0


def _digest(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


def position_of(key: str) -> float:
    """The place of a key on the line, in [0, 1)."""
    return (_digest(key) >> 11) / 9007199254740992.0


def equal_cuts(window: list[float], ranges: int) -> list[float]:
    """Cuts of a sorted window at equal counts, each the midpoint of two neighbouring points."""
    size = len(window)
    last = size - 1
    cuts = []
    for i in range(1, ranges):
        at = size * i // ranges
        cuts.append((window[max(0, at - 1)] + window[min(at, last)]) / 2.0)
    return cuts


class Line:
    """Positions, the window of recent ones, and the cuts."""

    __slots__ = ("ranges", "window", "prior", "real", "oldest", "cuts", "since", "counts", "recent", "at")

    def __init__(self, ranges: int) -> None:
        size = ranges * WINDOW_PER_RANGE
        self.ranges = ranges
        # A node starts with the same evenly spaced window as its peers (guards against a
        # restarted or quiet node cutting from a handful of requests).
        self.prior = [(i + 0.5) / size for i in range(size)]
        self.window = list(self.prior)
        self.real: list[float] = []  # real positions in order of arrival, a ring once full
        self.oldest = 0
        self.cuts = equal_cuts(self.window, ranges)
        self.since = 0
        self.counts: dict[str, int] = {}
        self.recent: list[str] = []
        self.at = 0

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
        if self.since >= UPDATE_EVERY:
            self.since = 0
            self.update()

    def update(self) -> None:
        """BOUNDARY = alpha x CUR_BOUND + (1 - alpha) x BOUNDARY (Algorithm 1)."""
        keep = 1.0 - ALPHA
        fresh = equal_cuts(self.window, self.ranges)
        self.cuts = [ALPHA * new + keep * old for new, old in zip(fresh, self.cuts, strict=True)]

    def range_of(self, position: float) -> int:
        """The range that holds a position."""
        return bisect_right(self.cuts, position)

    def copies(self, key: str, servers: int) -> int:
        """How many servers a key's recent share fills (1 for an ordinary key)."""
        seen = self.counts.get(key, 0)
        if seen < HOT_MIN:
            return 1
        return min(servers, max(1, round(seen * servers / len(self.recent))))


class Member:
    """A server as this node sees it."""

    __slots__ = (
        "info",
        "present",
        "gone_ms",
        "warm_ms",
        "strikes",
        "faults",
        "errors",
        "turned",
        "waited",
        "waited_ms",
        "heard_ms",
        "trial",
        "out_until",
        "out_since",
        "rate",
        "busy",
        "strain",
        "strain_ms",
        "slow_row",
        "good",
    )

    def __init__(self, info: Server) -> None:
        self.info = info
        self.present = info.state == "in"
        self.gone_ms = 0.0
        self.warm_ms = info.started_ms
        self.strikes = 0
        self.faults = 0  # in a row
        self.errors = 0  # in a row
        self.turned = 0.0  # part of late attempts that it turned away
        self.waited = 0  # requests out for long, in a row,
        self.waited_ms = 0.0  # and when the first of them was sent
        self.heard_ms = 0.0  # when it last answered
        self.trial = -1  # the one request that a server that was put out gets at a time
        self.out_until = 0.0
        self.out_since = 0.0
        self.rate = 0.0  # requests a second and busy cores, summed over reports
        self.busy = 0.0
        self.strain = 0.0
        self.strain_ms = 0.0
        self.slow_row = 0
        self.good = 0.0


class Fleet:
    """Membership, drains, weights, homes of ranges, warm-up and health."""

    __slots__ = (
        "settings",
        "members",
        "ranges",
        "ring",
        "ring_at",
        "owners",
        "near",
        "served",
        "unheard",
        "cut_until",
        "placed",
        "stale",
        "dealt_ms",
        "dealt",
        "shares",
        "kinds",
        "best",
        "rate_at",
        "busy_at",
        "origin",
        "live",
        "silent",
        "heard_ms",
    )

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.members: dict[str, Member] = {}
        self.ranges = SMALLEST_RANGES
        self.ring: list[Member] = []
        self.ring_at: list[int] = []
        self.owners: list[Member] = []
        self.near: dict[int, tuple[Member, ...]] = {}
        self.served: dict[str, list[float]] = {}  # of a kind: hinted work and time taken by hits
        self.unheard: dict[str, int] = {}  # attempts in a row that nothing in a zone answered
        self.cut_until: dict[str, float] = {}
        self.placed: list[Member] = []  # who may be home to ranges
        self.stale = False
        self.dealt_ms = 0.0
        self.dealt: list[Member] = []  # and who was, with these weights, when homes were last dealt
        self.shares: list[float] = []
        self.kinds: dict[str, list[float]] = {}
        self.best = 0.0  # capacity for each unit of weight of the quickest kind
        columns = settings.columns
        self.rate_at = columns.index("rate") if "rate" in columns else -1
        self.busy_at = columns.index("busy") if "busy" in columns else -1
        self.origin: Optional[Member] = None
        self.live = 0
        self.silent: dict[str, list[float]] = {}  # of a zone: attempts since it last answered, time of the first
        self.heard_ms = 0.0  # when the own zone last answered

    def take(self, now: float, entries: Iterable[Server], full: bool) -> None:
        """Apply a list or changes to one."""
        named = set()
        for info in entries:
            named.add(info.name)
            member = self.members.get(info.name)
            if member is None:
                if info.state == "gone":
                    continue
                self.members[info.name] = Member(info)
                continue
            if info.started_ms != member.info.started_ms:
                # The same server started again: whatever was held against it is over.
                member.strikes = 0
                member.waited, member.trial = 0, -1
                member.out_until = 0.0
                member.warm_ms = info.started_ms
            was, drained = member.present, member.info.state == "draining"
            member.info = info
            member.present = info.state == "in"
            if info.state == "gone" and (was or drained):
                member.gone_ms = now - HOLD_MS if drained else now
        if full:
            for name, member in self.members.items():
                if name not in named and member.present:
                    member.present = False
                    member.gone_ms = now
                elif name not in named and member.info.state == "draining":
                    # Gone, and not draining for good (guards against a member kept for each server that ever drained).
                    member.info = replace(member.info, state="gone")
                    member.gone_ms = now - HOLD_MS
        for name in [n for n, m in self.members.items() if not m.present and m.info.state != "draining" and now - m.gone_ms >= HOLD_MS]:
            del self.members[name]
        self._place()

    def _place(self) -> None:
        """Note who may be home to ranges; homes are dealt when a request next needs them."""
        placed = []
        self.origin = None
        for name in sorted(self.members):
            member = self.members[name]
            if self.settings.aside and member.info.kind == self.settings.origin_kind:
                if member.present:
                    self.origin = member
            elif member.info.state != "draining":
                placed.append(member)
        self.live = sum(1 for m in placed if m.present)
        while self.ranges < len(placed) * RANGES_PER_SERVER:
            self.ranges *= 2
        self.placed = placed
        self.stale = True

    def ready(self, now: float) -> bool:
        """Give every range its home, if the list changed: the next server on the hashed ring that has room.

        Dealt when needed and not too often, on a ring that is kept (guards against a release at a
        large fleet, in which each of hundreds of changes cost every node a whole new ring). Who
        has left since gets nothing all the same.
        """
        placed = self.placed
        if not self.stale or (self.dealt and now - self.dealt_ms < DEAL_MS):
            return bool(self.dealt)
        self.stale = False
        self.dealt_ms = now
        weights = [self._weight(m) for m in placed]
        if placed == self.dealt and weights == self.shares:
            return bool(placed)
        there, still = set(self.dealt), set(placed)
        for member in self.dealt:
            if member not in still:
                for point in _ring_points(member.info.name):
                    at = bisect_left(self.ring_at, point)
                    del self.ring_at[at], self.ring[at]
        for member in placed:
            if member not in there:
                for point in _ring_points(member.info.name):
                    at = bisect_left(self.ring_at, point)
                    self.ring_at.insert(at, point)
                    self.ring.insert(at, member)
        self.dealt, self.shares, self.near, self.owners = placed, weights, {}, []
        share = self.ranges * ROOM / sum(weights, 1e-9)
        room = {m: int(w * share) + 1 for m, w in zip(placed, weights, strict=True)}
        ring, size = self.ring, len(self.ring)
        for r in range(self.ranges if placed else 0):
            at = bisect_left(self.ring_at, _range_point(r)) % size
            while not room[ring[at]]:
                at = (at + 1) % size
            room[ring[at]] -= 1
            self.owners.append(ring[at])
        return bool(placed)

    def neighbours(self, r: int) -> tuple[Member, ...]:
        """The home of a range and the servers next to it in the shared order."""
        got = self.near.get(r)
        if got is None:
            found = [self.owners[r]]
            at = bisect_left(self.ring_at, _range_point(r))
            size = len(self.ring)
            for step in range(size):
                member = self.ring[(at + step) % size]
                if member not in found:
                    found.append(member)
                    if len(found) >= NEIGHBOURS:
                        break
            got = self.near[r] = tuple(found)
        return got

    def kept(self, member: Member, now: float) -> float:
        """The part of its ranges that a server takes now; neighbours get the rest."""
        part = self._pace(member)
        cold_ms = self.settings.cold_ms
        if member.warm_ms and now - member.warm_ms < cold_ms:
            start = self.settings.cold_from
            part *= COLD_MARGIN * (start + (1.0 - start) * max(0.0, now - member.warm_ms) / cold_ms)
        if member.strain:
            fade = exp((member.strain_ms - now) / STRAIN_MS)
            part /= 1.0 + member.strain * fade / (1.0 + EASE * member.good * fade)
        return part

    def is_cold(self, member: Member, now: float) -> bool:
        """Whether the stated warm-up may still be going on."""
        return member.warm_ms > 0.0 and now - member.warm_ms < self.settings.cold_ms

    def _pace(self, member: Member) -> float:
        """Capacity for each unit of weight, as a part of the quickest kind's."""
        kind = self.kinds.get(member.info.kind)
        if kind is None or self.best <= 0.0:
            return 1.0
        own = (member.rate + PEER_EVIDENCE * kind[0] / kind[1]) / (member.busy + PEER_EVIDENCE)
        return min(1.0, own / self._weight(member) / self.best)

    def _weight(self, member: Member) -> float:
        return max(0.05, member.info.weight) if self.settings.weighted else 1.0

    def report(self, member: Member, load: list[float], now: float) -> None:
        """Learn speed from a load report: requests a second for each busy core."""
        if self.rate_at < 0 or self.busy_at < 0 or len(load) <= max(self.rate_at, self.busy_at) or self.is_cold(member, now):
            return
        rate, busy = load[self.rate_at], load[self.busy_at]
        if busy <= 0.02 or rate <= 0.0:
            return
        member.rate += rate
        member.busy += busy
        # Pooled by kind: a node among many meets one server too rarely to judge it alone.
        kind = self.kinds.setdefault(member.info.kind, [0.0, 0.0, 0.0])
        kind[0] += rate
        kind[1] += busy
        kind[2] += busy * self._weight(member)
        self.best = max((k[0] / k[2] for k in self.kinds.values() if k[1] > 2.0), default=0.0)

    def usable(self, member: Member, now: float) -> bool:
        """Whether an attempt may go to a server at all."""
        return member.present and member.out_until <= now and self.cut_until.get(member.info.zone, 0.0) <= now

    def quickness(self, member: Member) -> float:
        """Hinted work done in a millisecond by servers of this one's kind, 0 while unknown."""
        work, took = self.served.get(member.info.kind, (0.0, 0.0))
        return work / took if took > 5000.0 else 0.0

    def zone_heard(self, zone: str, status: str, now: float) -> None:
        """Note whether a zone answers (guards against trying each server behind a cut link in turn)."""
        if status not in ("unreachable", "timed_out"):
            self.unheard[zone] = 0
            self.silent.pop(zone, None)
            if zone == self.settings.zone:
                self.heard_ms = now
            self.cut_until.pop(zone, None)
            return
        self.unheard[zone] = self.unheard.get(zone, 0) + 1
        # Time-outs count, but overload brings them too: only a failed dial declares a cut.
        if self.unheard[zone] >= CUT_AFTER and status == "unreachable" and zone != self.settings.zone:
            self.cut_until[zone] = now + CUT_MS

    def sent(self, zone: str, aim_ms: float, now: float) -> None:
        """Note an attempt at a zone; one silent for long, while the own answers, is held to be cut off.

        Guards against open connections over a cut link, on which each attempt waits for its whole time-out.
        """
        if zone == self.settings.zone:
            return
        silent = self.silent.setdefault(zone, [0.0, now])
        silent[0] += 1.0
        if silent[0] > CUT_AFTER and now - silent[1] > SILENT_AIMS * aim_ms and self.heard_ms > silent[1]:
            self.cut_until[zone] = now + CUT_MS

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

    def strike(self, member: Member, now: float) -> None:
        """Note an attempt that found no working server; eject after repeated ones."""
        if not member.strikes:
            member.out_since = now
        member.strikes += 1
        member.trial = -1
        member.out_until = now + min(EJECT_MAX_MS, EJECT_MS * 2.0 ** min(8, member.strikes - 1))

    def took(self, member: Member, away: bool) -> None:
        """Note an attempt that a server turned away, or served."""
        member.turned += TURNED_STEP * (away - member.turned)

    def calm(self, r: int, tried: list[Member], now: float) -> Optional[Member]:
        """The server nearest to a range that has room, if there is one.

        Guards against a part of the fleet that turns away what the rest could serve (servers cut off from the origin, or in
        trouble of their own), taken for overload of all. An attempt turned away has not run and cost little, so going on to a
        server with room needs no savings. Under overload of all nobody is calm, and this finds none.
        """
        if not (self.ready(now) and self.placed):
            return None
        turn = r % len(self.placed)
        for member in (*self.neighbours(r), *self.placed[turn:], *self.placed[:turn]):
            if member.turned < CALM and self.usable(member, now) and member not in tried and not self.is_cold(member, now):
                return member
        return None

    def fault(self, member: Member, status: str, now: float) -> None:
        """Note a connection that failed, or an answer that could not be read.

        A few of them among good answers tell of the network or of the connection: the server is alive, and its cache is worth
        keeping (guards against ejections, and a warm-up that never was, for a fault of one attempt in many). A server that is
        dead, or speaks nothing but noise, is soon struck: nothing good comes between. Harm: it costs a few more attempts,
        which are made again elsewhere.
        """
        member.faults += 1
        if member.faults >= FAULTS_ROW[status]:
            self.strike(member, now)

    def silent_for(self, member: Member, sent_ms: float, aim_ms: float, now: float) -> bool:
        """Note a request out for long; whether the server is to be put out for saying nothing.

        Guards against a server that has vanished or hangs while the list still names it: its connections stay open, so nothing
        fails, and each attempt waits for its whole time. It should catch whatever silences a process or the way to it. Harm:
        a pause longer than an aim costs a second of its keys; so that overload of all, or an origin that keeps every miss
        waiting, can't empty the fleet, only a part of it may be out for this.
        """
        if not member.waited:
            member.waited_ms = sent_ms
        member.waited += 1
        if member.strikes or member.waited < SILENT_ROW or now - member.waited_ms <= aim_ms:
            return False
        return sum(1 for other in self.placed if other.present and other.out_until > now) < SILENT_MOST * self.live

    def proved(self, member: Member, now: float) -> None:
        """Note an attempt that the server answered."""
        member.faults = 0
        member.trial = -1
        if member.strikes:
            # Back from the dead without word from the list: it may be cold (guards against
            # a full range falling on a server whose restart the list has yet to tell).
            if member.out_until and now - member.out_since > 2000.0:
                member.warm_ms = now
            member.strikes = 0
            member.out_until = 0.0


def _ring_points(name: str) -> tuple[int, ...]:
    """The places of a server on the ring."""
    return tuple(_digest(f"{name}/{i}") for i in range(PLACES))


def _range_point(r: int) -> int:
    """The place on the ring from which a range looks for its home."""
    return _RANGE_POINTS[r] if r < SMALLEST_RANGES else _digest(f"range/{r}")


_RANGE_POINTS = tuple(_digest(f"range/{r}") for r in range(SMALLEST_RANGES))


class Request:
    """One request that is held: its attempts and whether one may have run."""

    __slots__ = (
        "id",
        "spec",
        "key",
        "position",
        "aim_at",
        "deadline",
        "tries",
        "out",
        "ran",
        "first_ran",
        "servers",
        "streaming",
        "sent",
        "work",
        "write",
    )

    def __init__(
        self,
        request_id: int,
        spec: ClassSpec,
        key: Optional[str],
        position: float,
        aim_at: float,
        deadline: float,
        work: float,
        write: bool,
    ) -> None:
        self.id = request_id
        self.work = work
        self.write = write
        self.spec = spec
        self.key = key
        self.position = position
        self.aim_at = aim_at
        self.deadline = deadline
        self.tries = 0
        self.out: set[int] = set()
        self.ran: Optional[Member] = None
        self.first_ran = 0.0
        self.servers: list[Member] = []
        self.sent: list[float] = []
        self.streaming = False


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
        "bank",
        "probes",
        "origin_slow",
        "gate",
        "gate_ms",
        "good_ms",
        "least_worth",
        "failures",
        "bad",
        "slow",
        "fallback",
        "hits",
        "usual",
        "waits",
        "looks",
    )

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.fleet = Fleet(settings)
        self.line = Line(self.fleet.ranges)
        self.held: dict[int, Request] = {}
        self.classes = {spec.name: spec for spec in settings.classes}
        self.fallback = ClassSpec("", repeat="unsafe")
        self.turn = 0
        self.bank = RETRY_BANK
        self.probes = 0
        self.origin_slow = 0.0
        self.gate = 1.0
        self.least_worth = min((spec.worth for spec in settings.classes if spec.worth > 0.0), default=1.0)
        self.gate_ms = 0.0
        self.good_ms = 0.0
        self.failures = 0
        self.bad = 0.0  # part of late attempts that went wrong
        self.hits = 1.0  # part of late outcomes that were hits
        self.slow = 0.0  # part of late hits that were slow
        self.usual = HEDGE_MOST  # the part of their aims in which HEDGE_PART of the attempts are answered
        self.waits: list[tuple[float, int]] = []  # a heap: when each request sent lately will have been out for long
        self.looks = False  # whether a look at them is due

    # -- the server list ---------------------------------------------------------------

    def on_list(self, now: float, form: str, entries: Iterable[Server]) -> list[Action]:
        """The list: "saved", "full", "changes" or "failed"."""
        if form == "failed":
            # Calls are spread out and back off (guards against all nodes asking the small
            # list service at once, over and over).
            self.failures = min(self.failures + 1, 4)
            wait = self.settings.ask_within_ms * 0.05 * 2.0**self.failures
            return [self._ask_at(now + wait * (0.3 + self.random.random()))]
        self.fleet.take(now, entries, form != "changes")
        if self.fleet.ranges != self.line.ranges:
            self.line = Line(self.fleet.ranges)
        if form == "saved":
            actions: list[Action] = []
            if self.settings.asked:
                actions.append(self._ask_at(now + self.settings.ask_within_ms * 0.3 * self.random.random()))
            if self.settings.may_probe and self.settings.reports == "on_probe" and not self.probes:
                actions.append(("timer", 2, now + PROBE_MS * 0.2 * self.random.random()))
            return actions
        self.failures = 0
        return []

    def _ask_at(self, due: float) -> Action:
        return ("timer", 1, due)

    def on_timer(self, now: float, token: int) -> list[Action]:
        """A timer came due."""
        if token == 1:
            return [("follow", True)]
        if token == 3:
            return self._look(now)
        if token == 2:
            self.probes += 1
            wait = PROBE_MS * (0.2 if self.probes < FIRST_PROBES else 1.0)
            actions: list[Action] = [("timer", 2, now + wait)]
            if self.fleet.ready(now):
                member = self.fleet.ring[self.random.randrange(len(self.fleet.ring))]
                if member.present:
                    actions.append(("probe", member.info.name))
            return actions
        return []

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
        # A client that repeats has waited since its first try, and what is left of the class's
        # deadline tells how long (guards against full servers working on what is late already).
        waited = max(0.0, spec.deadline_ms - budget_ms) if repeated else 0.0
        aim_at = now - waited + spec.aim_ms + spec.aim_stretch * work_ms - 2.0 * self.settings.tick_ms
        worth = spec.worth if aim_at > now + HOPELESS * spec.aim_ms else spec.worth * spec.late_worth
        request = Request(request_id, spec, key, position, min(aim_at, deadline), deadline, work_ms, write)
        self.bank = min(RETRY_BANK, self.bank + RETRY_SHARE)
        if key is not None:
            self.line.arrive(position, key)
        if self.settings.aside and write:
            target: Optional[Member] = self.fleet.origin
        else:
            target = self._pick(request, now)
        # A shut gate keeps the same keys out at every node (guards against a fleet or an
        # origin that goes on working for clients who have left).
        # Classes worth more stay let in longer, what will be late is the first to go.
        if target is None or (self.gate < 1.0 and position * 1048576.0 % 1.0 >= self.gate * worth / self.least_worth):
            return [("refuse", request_id, self.settings.backoff_max_ms)]
        # A write that the origin carries out late is lost and still voids the kept object (guards
        # against an origin in trouble taking the hits away as well).
        if write and self.origin_slow > ORIGIN_DOWN and self.random.random() >= WRITE_TRIAL:
            return [("refuse", request_id, self.settings.backoff_max_ms)]
        self.held[request_id] = request
        return [self._send(request, target, now), *self._watch(request, now)]

    def _watch(self, request: Request, now: float) -> list[Action]:
        """Note when a request will have been out for long, and see to it that somebody looks."""
        if request.spec.repeat == "unsafe":
            return []
        due = now + min(max(HEDGE_LEAST, self.usual), HEDGE_MOST) * request.spec.aim_ms
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
            if request is not None and request.out and not request.streaming:
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
        calm = self.origin_slow <= ORIGIN_SLOW
        if member.trial == request.id or calm and self.fleet.silent_for(member, request.sent[last], request.spec.aim_ms, now):
            self.fleet.strike(member, now)
        if self.bank < 1.0 or self.usual > HEDGE_MOST or not calm or request.tries >= self.settings.max_attempts:
            return []
        alive = member.heard_ms > request.sent[last] and self.fleet.usable(member, now)
        target = member if alive else self._pick(request, now)
        if target is None or (not alive and target in request.servers):
            return []
        if request.ran is None:  # what is out may have run by now
            request.ran, request.first_ran = member, request.sent[last]
        if not self._may_repeat(request, target, now):
            return []
        self.bank -= 1.0
        return [self._send(request, target, now)]

    def _pick(self, request: Request, now: float) -> Optional[Member]:
        """The home of the request's range, or a neighbour where an exception acts."""
        fleet = self.fleet
        if not fleet.ready(now):
            return None
        near = fleet.neighbours(self.line.range_of(request.position))
        tried = request.servers
        start = 0
        depth = request.position * 65536.0 % 1.0
        if request.key is not None:
            copies = self.line.copies(request.key, min(len(near), fleet.live or 1))
            if copies > 1:
                self.turn += 1
                start = self.turn % copies
                depth = self.random.random()
        if request.write and not start:
            # A write finds nothing in its home's cache and goes through to the origin from any
            # server (guards against slow homes making the heaviest class late).
            least = QUICKER * fleet.quickness(near[0])
            for step in range(1, len(near) if least else 0):
                member = near[step]
                if fleet.quickness(member) >= least and not member.strain and not fleet.is_cold(member, now):
                    start = step
                    break
        for step in range(len(near)):
            member = near[(start + step) % len(near)]
            if fleet.usable(member, now) and member not in tried:
                # Cold servers take no keys of others (guards against pushing one over).
                if depth < fleet.kept(member, now) and (step == 0 or not fleet.is_cold(member, now)):
                    return member
            depth = (depth + 0.618034) % 1.0
        for member in near:
            if fleet.usable(member, now) and member not in tried and not fleet.is_cold(member, now):
                return member
        spare: Optional[Member] = None
        for member in fleet.ring:
            if member.present and member not in tried:
                if fleet.usable(member, now) and not fleet.is_cold(member, now):
                    return member
                if spare is None or member.out_until < spare.out_until:
                    spare = member
        return spare

    def _calm(self, request: Request, now: float) -> Optional[Member]:
        """A server with room for what another turned away; slow hits tell that in truth none has any."""
        if self.slow > USUAL_SLOW:
            return None
        return self.fleet.calm(self.line.range_of(request.position), request.servers, now)

    def _send(self, request: Request, member: Member, now: float) -> Action:
        request.out.add(request.tries)
        request.tries += 1
        request.servers.append(member)
        request.sent.append(now)
        if member.strikes:
            # One at a time goes to a server that was put out, until it answers (guards against all its keys falling on one
            # that is still dead each time its time is up).
            member.trial = request.id
            member.out_until = max(member.out_until, now + request.spec.aim_ms)
        self.fleet.sent(member.info.zone, request.spec.aim_ms, now)
        until = request.aim_at if request.spec.late_worth <= 0.0 and request.aim_at > now else request.deadline
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
        if member is not None:
            if status in ("success", "overloaded", "failure", "absent"):
                self.fleet.proved(member, now)
            elif status in FAULTS_ROW:
                self.fleet.fault(member, status, now)
            elif status == "timed_out" and member.trial == request_id:
                self.fleet.strike(member, now)
            if status in HEARD:
                member.waited, member.heard_ms = 0, now
            if status not in ("void", "withdrawn", "broken"):
                self.fleet.zone_heard(member.info.zone, status, now)
            if status in ("success", "overloaded"):
                self.fleet.took(member, status == "overloaded")
            self._judge(member, status, note, elapsed_ms, self.held.get(request_id), now)
            if load:
                self.fleet.report(member, load, now)
        request = self.held.get(request_id)
        if request is None:
            return []
        if finished:
            if status == "success" and len(request.out) > 1:
                self._overtaken(request, attempt, now)
            del self.held[request_id]
            return []
        request.out.discard(attempt)
        if status not in NEVER_RAN and request.ran is None and attempt < len(request.servers):
            request.ran = request.servers[attempt]
            request.first_ran = request.sent[attempt]
        if request.out or request.streaming:
            return []
        if status == "absent" and self.fleet.origin is not None and request.tries < self.settings.max_attempts:
            return [self._send(request, self.fleet.origin, now)]
        left = request.aim_at - now
        # A server whose answer was lost on the way has done the work and keeps what it fetched: it is asked again, once.
        fault = status in FAULTS_ROW
        again = member if fault and member is not None and self.fleet.usable(member, now) else None
        if again is not None and (again.faults > 1 or request.servers.count(again) > 1):
            again = None
        if status == "overloaded" and left > 0.25 * request.spec.aim_ms and request.tries < self.settings.max_attempts:
            calm = self._calm(request, now)
            if calm is not None and self._may_repeat(request, calm, now):
                return [self._send(request, calm, now)]
        # A repeat of a miss is one more miss (guards against repeats that keep the origin down).
        hopeful = request.ran is None or again is not None or self.origin_slow <= ORIGIN_SLOW
        # While little else goes wrong, faults do not come of load and need no savings (guards against a bank emptied by resets).
        free = fault and self.bad < USUAL_BAD
        if hopeful and left > 0.25 * request.spec.aim_ms and request.tries < self.settings.max_attempts and (free or self.bank >= 1.0):
            target = again or self._pick(request, now)
            if target is not None and (again or target not in request.servers) and self._may_repeat(request, target, now):
                self.bank -= not free
                return [self._send(request, target, now)]
        return [self._end(request, now)]

    def _judge(self, member: Member, status: str, note: int, elapsed_ms: float, request: Optional[Request], now: float) -> None:
        """Tell a slow server from a slow origin by hits and misses."""
        aim = request.spec.aim_ms if request is not None else 0.0
        work = request.work if request is not None else 0.0
        if status == "success":
            # While much goes wrong it opens by time and not by answers (guards against nodes with
            # many requests admitting keys faster than the origin can fetch them).
            more = GATE_OPEN if self.bad < USUAL_BAD else min(GATE_OPEN, GATE_OPEN_BAD * (now - self.good_ms))
            # A late answer is no sign of room (guards against an overload that late answers keep up).
            if elapsed_ms <= aim or not aim:
                self.gate = min(1.0, self.gate + more)
            self.good_ms = now
        elif (
            now >= self.gate_ms
            and self.bad > USUAL_BAD
            and (
                # One error or full queue is quick and cheap, and a server that is already avoided
                # says nothing new of the others unless hits are slow at large (guards against a fleet
                # of servers that are all avoided): neither shuts the gate. Two full queues do. Nor does
                # a zone in which nothing answers (guards against a cut link taken for overload).
                (status == "overloaded" and request is not None and request.tries > 1)
                or (
                    status == "timed_out"
                    and (self.slow > JAM or member.strain * exp((member.strain_ms - now) / STRAIN_MS) < 1.0)
                    and (member.info.zone == self.settings.zone or self.fleet.unheard.get(member.info.zone, 0) < CUT_AFTER)
                )
            )
        ):
            self.gate_ms = now + GATE_STEP_MS
            # Quick hits tell that only misses suffer (guards against turning away what a full cache
            # can serve, as a slow origin makes misses late).
            least = GATE_LEAST if self.slow > USUAL_SLOW else GATE_LEAST_QUICK
            self.gate = min(self.gate, max(least, self.gate * GATE_SHUT))
        # What all servers do alike says nothing against one (guards against keys scattered over
        # servers that are no better, which turns hits into misses).
        slow = status == "success" and note == 1 and elapsed_ms > SLOW_HIT * aim + 2.0 * work and aim > 0.0
        if status in ("success", "timed_out", "overloaded"):
            self.bad += BAD_STEP * ((status != "success") - self.bad)
        if status in ("success", "timed_out", "overloaded", "failure"):
            self.hits += BAD_STEP * ((status == "success" and note == 1) - self.hits)
        if status == "success" and note == 1:
            self.slow += BAD_STEP * (slow - self.slow)
        if aim and status in ("success", "timed_out"):
            self._learn(status == "timed_out" or elapsed_ms > self.usual * aim)
        member.errors = member.errors + 1 if status == "failure" else 0 if status == "success" else member.errors
        # One server that fails whatever it is asked tells nothing of the origin (guards against a gate shut for all by the
        # quick errors of one). An origin in trouble shows at many servers, a few errors at each.
        if (status == "failure" and member.errors <= OWN_ERRORS) or note >= 2:
            part = 1.0 if status == "failure" or not aim else min(1.0, elapsed_ms / aim)
            self.origin_slow += ORIGIN_STEP * (part - self.origin_slow)
            # An origin that is down with empty caches before it gets no further while most keys are
            # misses (guards against a collapse that outlasts its cause).
            if self.origin_slow > ORIGIN_DOWN and self.hits < FEW_HITS:
                self.gate = min(self.gate, GATE_LEAST)
        elif status in ("timed_out", "overloaded", "failure"):
            # While the origin is slow keys stay where they are (guards against scattered
            # keys turning hits into misses and keeping the origin down).
            if self.origin_slow < ORIGIN_SLOW:
                self.fleet.strained(member, now, self._blame(), status == "timed_out")
        elif status == "success" and note == 1 and aim:
            if work:
                served = self.fleet.served.setdefault(member.info.kind, [0.0, 0.0])
                served[0] += work
                served[1] += elapsed_ms
            if slow:
                self.fleet.strained(member, now, 0.5 * max(0.05, 1.0 - 5.0 * self.slow), True)
            else:
                self.fleet.strained(member, now, 0.0)

    def _blame(self) -> float:
        """The strain that an attempt without an answer tells of; the less, the more go so everywhere."""
        return 4.0 * max(0.05, 1.0 - 4.0 * self.bad)

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
            if n < winner and self.origin_slow < ORIGIN_SLOW and member is not request.servers[winner]:
                self.fleet.strained(member, now, self._blame(), True)

    def _may_repeat(self, request: Request, target: Member, now: float) -> bool:
        """Whether one more attempt is allowed after one that may have run."""
        ran, spec = request.ran, request.spec
        if ran is None or spec.repeat == "safe":
            return True
        if spec.repeat != "keyed" or now - request.first_ran > spec.repeat_window_ms - 2.0 * self.settings.tick_ms:
            return False
        if spec.group == "zone":
            return target.info.zone == ran.info.zone
        if spec.group == "cell":
            return target.info.cell == ran.info.cell
        return spec.group == "all"

    def _end(self, request: Request, now: float) -> Action:
        del self.held[request.id]
        spec = request.spec
        if request.ran is None or spec.repeat == "safe" or (spec.repeat == "keyed" and spec.group == "all"):
            return ("refuse", request.id, self.settings.backoff_max_ms)
        return ("fail", request.id)

    def on_started(self, now: float, request_id: int, attempt: int, server: str) -> list[Action]:
        """The answer has started to stream: the request has no deadline any more."""
        request = self.held.get(request_id)
        if request is not None:
            request.streaming = True
        return []

    def on_departure(self, now: float, request_id: int) -> list[Action]:
        """The client left: stop its attempts where that is allowed."""
        request = self.held.pop(request_id, None)
        if request is None or not self.settings.may_cancel:
            return []
        return [("cancel", request_id, n) for n in sorted(request.out)]

    def on_probe(self, now: float, server: str, status: str, elapsed_ms: float, load: Optional[list[float]]) -> list[Action]:
        """A probe came back."""
        member = self.fleet.members.get(server)
        if member is not None and load:
            self.fleet.report(member, load, now)
        return []
