"""The gate: what part of the keys is let in, and whether servers or their origin are to blame for what goes wrong."""

from __future__ import annotations

from math import exp

from forkweir.fleet import STRAIN_MS, Fleet, Member
from forkweir.known.outcomes import AttemptOutcome

ORIGIN_STEP = 0.1  # weight of one miss in the judgement of the origin
ORIGIN_SLOW = 0.6  # misses that take this part of the aim on average: the origin is in trouble
ORIGIN_DOWN = 0.8  # and this part: it serves hardly any miss in time
SLOW_HIT = 0.5  # a hit that takes this part of the aim strains its server
GATE_SHUT = 0.85  # each bad outcome multiplies the part of the keys that is let in
GATE_OPEN = 0.015  # and each good one adds this,
GATE_OPEN_BAD = 0.0002  # or at most this each ms while much goes wrong
USUAL_BAD = 0.08  # a part of attempts that goes wrong without overload, by crashes and slow misses
GATE_LEAST = 0.1
WORTH_POWER = 2  # of a class's worth over the least: the multiple of the keys that it is let in for
GATE_LEAST_QUICK = 0.6  # while hits are quick
FEW_HITS = 0.5  # fewer outcomes that are hits than this: the caches are all but empty
USUAL_SLOW = 0.1  # a part of hits that is slow without a jam
JAM = 0.3  # and with most of the fleet jammed
BAD_STEP = 0.02  # weight of one outcome in the part that goes wrong
GATE_STEP_MS = (
    200.0  # between two shuts (guards against one burst of time-outs, as when links are cut)
)


class Gate:
    """Judges outcomes: how much goes wrong lately, by whose fault, and so what part of the keys is let in."""

    __slots__ = ("fleet", "part", "shut_ms", "good_ms", "origin_slow", "bad", "slow", "hits")

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.part = 1.0  # of the keys, let in
        self.shut_ms = 0.0
        self.good_ms = 0.0
        self.origin_slow = 0.0
        self.bad = 0.0  # part of late attempts that went wrong
        self.hits = 1.0  # part of late outcomes that were hits
        self.slow = 0.0  # part of late hits that were slow

    def judge(self, member: Member, seen: AttemptOutcome, bad: float, now: float) -> None:
        """Tell a slow server from a slow origin by hits and misses. bad: how likely the server is to be bad, 0 to 1."""
        if seen.brief:
            return
        aim, elapsed_ms = seen.aim_ms, seen.elapsed_ms
        hit = seen.served and seen.reported_hit
        if seen.served:
            # While much goes wrong it opens by time and not by answers (guards against nodes with
            # many requests admitting keys faster than the origin can fetch them).
            more = (
                GATE_OPEN
                if self.bad < USUAL_BAD
                else min(GATE_OPEN, GATE_OPEN_BAD * (now - self.good_ms))
            )
            # A late answer is no sign of room (guards against an overload that late answers keep up).
            if elapsed_ms <= aim or not aim:
                self.part = min(1.0, self.part + more)
            self.good_ms = now
        elif (
            now >= self.shut_ms
            and self.bad > USUAL_BAD
            and (
                # One error or full queue is quick and cheap, and a server that is already avoided
                # says nothing new of the others unless hits are slow at large (guards against a fleet
                # of servers that are all avoided): neither shuts the gate. Two full queues do. Nor does
                # a zone in which nothing answers (guards against a cut link taken for overload).
                (seen.overloaded and seen.tries > 1)
                or (
                    seen.timed_out
                    and bad <= 0.5
                    and (
                        self.slow > JAM
                        or member.strain * exp((member.strain_ms - now) / STRAIN_MS) < 1.0
                    )
                    and not self.fleet.zones.may_be_partitioned(member.info.zone)
                )
            )
        ):
            self.shut_ms = now + GATE_STEP_MS
            # Quick hits tell that only misses suffer (guards against turning away what a full cache
            # can serve, as a slow origin makes misses late). Not so full queues: what is turned away there is drawn without
            # regard to its worth (guards against orders refused by servers that are full of reads).
            least = GATE_LEAST if self.slow > USUAL_SLOW or seen.overloaded else GATE_LEAST_QUICK
            self.part = min(self.part, max(least, self.part * GATE_SHUT))
        # What all servers do alike says nothing against one (guards against keys scattered over
        # servers that are no better, which turns hits into misses).
        slow = hit and elapsed_ms > SLOW_HIT * aim + 2.0 * seen.work_ms and aim > 0.0
        if seen.served or seen.timed_out or seen.overloaded:
            self.bad += BAD_STEP * (1.0 - bad) * ((not seen.served) - self.bad)
        if seen.served or seen.timed_out or seen.overloaded or seen.error:
            self.hits += BAD_STEP * (hit - self.hits)
        if hit:
            self.slow += BAD_STEP * (slow - self.slow)
        # A bad server tells nothing of the origin (guards against a gate shut for all by the quick errors of a few). An origin in
        # trouble shows at many servers.
        if seen.error or seen.reported_miss:
            part = 1.0 if seen.error or not aim else min(1.0, elapsed_ms / aim)
            # A failure tells of it as far as a miss was likely: a server that fails what it is asked fails hits as well, and held
            # beside misses alone these pass for an origin in trouble (guards against half the fleet's errors that stop repeats
            # and shut the gate while the other half has room). Harm: where nothing but errors comes, it takes some more of them.
            likely = 1.0 if seen.reported_miss else max(seen.miss_probability, FEW_HITS - self.hits)
            self.origin_slow += ORIGIN_STEP * (1.0 - bad) * likely * (part - self.origin_slow)
            # An origin that is down with empty caches before it gets no further while most keys are
            # misses (guards against a collapse that outlasts its cause).
            if self.origin_slow > ORIGIN_DOWN and self.hits < FEW_HITS:
                self.part = min(self.part, GATE_LEAST)
        elif seen.timed_out or seen.overloaded or seen.error:
            # While the origin is slow keys stay where they are (guards against scattered
            # keys turning hits into misses and keeping the origin down).
            if self.origin_slow < ORIGIN_SLOW:
                # A time-out of what was likely to miss tells of the origin (guards against keys leaving the home that holds them
                # for an answer that no server could have given; away from home, reads missed twice as often), but only as far as
                # misses that are answered take long (guards against servers that are throttled and spared for a quick origin).
                slow_origin = min(1.0, self.origin_slow / ORIGIN_SLOW) ** 2
                blame = self.blame() * (
                    (1.0 - seen.miss_probability * slow_origin) ** 2 if seen.timed_out else 1.0
                )
                if blame > 0.0:  # 0 would count as a good answer
                    self.fleet.strained(member, now, blame, seen.timed_out)
        elif hit and aim:
            if seen.work_ms:
                self.fleet.speeds.record_hit(member.info.kind, seen.work_ms, elapsed_ms)
            if slow:
                self.fleet.strained(member, now, 0.5 * max(0.05, 1.0 - 5.0 * self.slow), True)
            else:
                self.fleet.strained(member, now, 0.0)

    def lets_in(self, position: float, times: float) -> bool:
        """Whether the gate lets a key in. times: the worth of its class, as a multiple of the least.

        The same keys are kept out at every node (guards against a fleet or an origin that goes on working for clients who have
        left). Classes worth more stay let in longer, what will be late is the first to go.
        """
        return self.part >= 1.0 or position * 1048576.0 % 1.0 < self.part * times**WORTH_POWER

    def opens_in(self, position: float, times: float) -> float:
        """How long until a key is let in, in ms, at the pace at which the gate opens while much goes wrong (at the latest)."""
        power = times**WORTH_POWER  # 0 also where a late answer is worth next to nothing
        short = (position * 1048576.0 % 1.0) / power - self.part if power > 0.0 else 1.0 - self.part
        return max(0.0, short) / GATE_OPEN_BAD

    def blame(self) -> float:
        """The strain that an attempt without an answer tells of; the less, the more go so everywhere."""
        return 4.0 * max(0.05, 1.0 - 4.0 * self.bad)
