"""The gate: what part of the keys is let in, and whether servers or their origin are to blame for what goes wrong."""

from __future__ import annotations

from math import exp

from forkweir.fleet import PENALTY_DECAY_MS, Fleet, Member
from forkweir.known.seen import Seen

ORIGIN_LEARNING_RATE = 0.1  # weight of one miss in the judgement of the origin
ORIGIN_SLOW_LEVEL = (
    0.6  # misses that take this part of the aim on average: the origin is in trouble
)
ORIGIN_DOWN_LEVEL = 0.8  # and this part: it serves hardly any miss in time
SLOW_HIT_SHARE = 0.5  # a hit that takes this part of the aim strains its server
CLOSE_FACTOR = 0.85  # each bad outcome multiplies the part of the keys that is let in
OPEN_STEP = 0.015  # and each good one adds this,
OPEN_RATE_PER_MS = 0.0002  # or at most this each ms while much goes wrong
NORMAL_FAILURE_SHARE = (
    0.08  # a part of attempts that goes wrong without overload, by crashes and slow misses
)
MIN_ADMITTED_SHARE = 0.1
VALUE_EXPONENT = (
    2  # of a class's worth over the least: the multiple of the keys that it is let in for
)
MIN_ADMITTED_SHARE_FAST_HITS = 0.6  # while hits are quick
LOW_HIT_SHARE = 0.5  # fewer outcomes that are hits than this: the caches are all but empty
NORMAL_SLOW_HIT_SHARE = 0.1  # a part of hits that is slow without a jam
HIGH_SLOW_HIT_SHARE = 0.3  # and with most of the fleet jammed
OUTCOME_LEARNING_RATE = 0.02  # weight of one outcome in the part that goes wrong
CLOSE_INTERVAL_MS = (
    200.0  # between two shuts (guards against one burst of time-outs, as when links are cut)
)


class Gate:
    """Judges outcomes: how much goes wrong lately, by whose fault, and so what part of the keys is let in."""

    __slots__ = (
        "fleet",
        "admitted_share",
        "closed_ms",
        "last_success_ms",
        "origin_slowness",
        "failure_share",
        "slow_hit_share",
        "hit_share",
    )

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.admitted_share = 1.0  # of the keys, let in
        self.closed_ms = 0.0
        self.last_success_ms = 0.0
        self.origin_slowness = 0.0
        self.failure_share = 0.0  # part of late attempts that went wrong
        self.hit_share = 1.0  # part of late outcomes that were hits
        self.slow_hit_share = 0.0  # part of late hits that were slow

    def evaluate(self, member: Member, seen: Seen, bad: float, now: float) -> None:
        """Tell a slow server from a slow origin by hits and misses. bad: how likely the server is to be bad, 0 to 1."""
        if seen.brief:
            return
        aim, elapsed_ms = seen.aim_ms, seen.elapsed_ms
        hit = seen.served and seen.told_hit
        if seen.served:
            # While much goes wrong it opens by time and not by answers (guards against nodes with
            # many requests admitting keys faster than the origin can fetch them).
            open_step = (
                OPEN_STEP
                if self.failure_share < NORMAL_FAILURE_SHARE
                else min(OPEN_STEP, OPEN_RATE_PER_MS * (now - self.last_success_ms))
            )
            # A late answer is no sign of room (guards against an overload that late answers keep up).
            if elapsed_ms <= aim or not aim:
                self.admitted_share = min(1.0, self.admitted_share + open_step)
            self.last_success_ms = now
        elif (
            now >= self.closed_ms
            and self.failure_share > NORMAL_FAILURE_SHARE
            and (
                # One error or full queue is quick and cheap, and a server that is already avoided
                # says nothing new of the others unless hits are slow at large (guards against a fleet
                # of servers that are all avoided): neither shuts the gate. Two full queues do. Nor does
                # a zone in which nothing answers (guards against a cut link taken for overload).
                (seen.full and seen.tries > 1)
                or (
                    seen.timed_out
                    and bad <= 0.5
                    and (
                        self.slow_hit_share > HIGH_SLOW_HIT_SHARE
                        or member.load_penalty
                        * exp((member.load_penalty_ms - now) / PENALTY_DECAY_MS)
                        < 1.0
                    )
                    and not self.fleet.zones.quiet(member.info.zone)
                )
            )
        ):
            self.closed_ms = now + CLOSE_INTERVAL_MS
            # Quick hits tell that only misses suffer (guards against turning away what a full cache
            # can serve, as a slow origin makes misses late). Not so full queues: what is turned away there is drawn without
            # regard to its worth (guards against orders refused by servers that are full of reads).
            min_share = (
                MIN_ADMITTED_SHARE
                if self.slow_hit_share > NORMAL_SLOW_HIT_SHARE or seen.full
                else MIN_ADMITTED_SHARE_FAST_HITS
            )
            self.admitted_share = min(
                self.admitted_share, max(min_share, self.admitted_share * CLOSE_FACTOR)
            )
        # What all servers do alike says nothing against one (guards against keys scattered over
        # servers that are no better, which turns hits into misses).
        slow_hit = hit and elapsed_ms > SLOW_HIT_SHARE * aim + 2.0 * seen.work_ms and aim > 0.0
        if seen.served or seen.timed_out or seen.full:
            self.failure_share += (
                OUTCOME_LEARNING_RATE * (1.0 - bad) * ((not seen.served) - self.failure_share)
            )
        if seen.served or seen.timed_out or seen.full or seen.error:
            self.hit_share += OUTCOME_LEARNING_RATE * (hit - self.hit_share)
        if hit:
            self.slow_hit_share += OUTCOME_LEARNING_RATE * (slow_hit - self.slow_hit_share)
        # A bad server tells nothing of the origin (guards against a gate shut for all by the quick errors of a few). An origin in
        # trouble shows at many servers.
        if seen.error or seen.told_miss:
            slowness = 1.0 if seen.error or not aim else min(1.0, elapsed_ms / aim)
            # A failure tells of it as far as a miss was likely: a server that fails what it is asked fails hits as well, and held
            # beside misses alone these pass for an origin in trouble (guards against half the fleet's errors that stop repeats
            # and shut the gate while the other half has room). Harm: where nothing but errors comes, it takes some more of them.
            miss_likelihood = (
                1.0 if seen.told_miss else max(seen.likely_miss, LOW_HIT_SHARE - self.hit_share)
            )
            self.origin_slowness += (
                ORIGIN_LEARNING_RATE
                * (1.0 - bad)
                * miss_likelihood
                * (slowness - self.origin_slowness)
            )
            # An origin that is down with empty caches before it gets no further while most keys are
            # misses (guards against a collapse that outlasts its cause).
            if self.origin_slowness > ORIGIN_DOWN_LEVEL and self.hit_share < LOW_HIT_SHARE:
                self.admitted_share = min(self.admitted_share, MIN_ADMITTED_SHARE)
        elif seen.timed_out or seen.full or seen.error:
            # While the origin is slow keys stay where they are (guards against scattered
            # keys turning hits into misses and keeping the origin down).
            if self.origin_slowness < ORIGIN_SLOW_LEVEL:
                # A time-out of what was likely to miss tells of the origin (guards against keys leaving the home that holds them
                # for an answer that no server could have given; away from home, reads missed twice as often), but only as far as
                # misses that are answered take long (guards against servers that are throttled and spared for a quick origin).
                origin_trouble = min(1.0, self.origin_slowness / ORIGIN_SLOW_LEVEL) ** 2
                penalty = self.failure_penalty() * (
                    (1.0 - seen.likely_miss * origin_trouble) ** 2 if seen.timed_out else 1.0
                )
                if penalty > 0.0:  # 0 would count as a good answer
                    self.fleet.penalize(member, now, penalty, seen.timed_out)
        elif hit and aim:
            if seen.work_ms:
                self.fleet.speeds.hit(member.info.kind, seen.work_ms, elapsed_ms)
            if slow_hit:
                self.fleet.penalize(
                    member, now, 0.5 * max(0.05, 1.0 - 5.0 * self.slow_hit_share), True
                )
            else:
                self.fleet.penalize(member, now, 0.0)

    def admits(self, position: float, relative_value: float) -> bool:
        """Whether the gate lets a key in. times: the worth of its class, as a multiple of the least.

        The same keys are kept out at every node (guards against a fleet or an origin that goes on working for clients who have
        left). Classes worth more stay let in longer, what will be late is the first to go.
        """
        return (
            self.admitted_share >= 1.0
            or position * 1048576.0 % 1.0 < self.admitted_share * relative_value**VALUE_EXPONENT
        )

    def opens_in(self, position: float, relative_value: float) -> float:
        """How long until a key is let in, in ms, at the pace at which the gate opens while much goes wrong (at the latest)."""
        admission_factor = (
            relative_value**VALUE_EXPONENT
        )  # 0 also where a late answer is worth next to nothing
        missing_share = (
            (position * 1048576.0 % 1.0) / admission_factor - self.admitted_share
            if admission_factor > 0.0
            else 1.0 - self.admitted_share
        )
        return max(0.0, missing_share) / OPEN_RATE_PER_MS

    def failure_penalty(self) -> float:
        """The strain that an attempt without an answer tells of; the less, the more go so everywhere."""
        return 4.0 * max(0.05, 1.0 - 4.0 * self.failure_share)
