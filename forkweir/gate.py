"""Admission control: which share of the keys is admitted, and whether failures and slow answers
are caused by single servers or by their origin.
"""

from __future__ import annotations

from math import exp

from forkweir.fleet import PENALTY_DECAY_MS, Fleet, Member
from forkweir.known.outcomes import AttemptOutcome

ORIGIN_LEARNING_RATE = 0.1  # weight of one miss in the origin's moving average
ORIGIN_SLOW_LEVEL = 0.6  # the origin is overloaded: misses take this share of the aim on average
ORIGIN_DOWN_LEVEL = 0.8  # the origin is down: hardly any miss is served within its aim
SLOW_HIT_SHARE = 0.5  # a hit that takes this share of the aim penalizes its server
CLOSE_FACTOR = 0.85  # a bad outcome multiplies the admitted share by this
OPEN_STEP = 0.015  # a good outcome adds this to the admitted share
OPEN_RATE_PER_MS = 0.0002  # most that is added per ms while many attempts fail
# Share of attempts that fails without overload, by crashes and slow misses.
NORMAL_FAILURE_SHARE = 0.08
MIN_ADMITTED_SHARE = 0.1
# A class is admitted for (its value / the least value) to this power times the admitted share.
VALUE_EXPONENT = 2
MIN_ADMITTED_SHARE_FAST_HITS = 0.6  # least admitted share while hits are fast
LOW_HIT_SHARE = 0.5  # below this share of hits the caches count as empty
NORMAL_SLOW_HIT_SHARE = 0.1  # share of hits that is slow without overload
HIGH_SLOW_HIT_SHARE = 0.3  # share of hits that is slow when most of the fleet is overloaded
OUTCOME_LEARNING_RATE = 0.02  # weight of one outcome in the shares of failures and of hits
# Time between two closing steps, so that one burst of time-outs, as when links are cut, counts
# once.
CLOSE_INTERVAL_MS = 200.0


class Gate:
    """Tracks failures and their cause, and derives the admitted share of the keys.

    Shares are exponential moving averages of outcomes at this node.
    """

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
        self.admitted_share = 1.0  # of the keys
        self.closed_ms = 0.0  # from when on the gate may close by another step
        self.last_success_ms = 0.0
        self.origin_slowness = 0.0  # mean time of misses as a share of their aim, 0 to 1
        self.failure_share = 0.0  # of recent attempts
        self.hit_share = 1.0  # of recent outcomes
        self.slow_hit_share = 0.0  # of recent hits

    def record_outcome(
        self, member: Member, outcome: AttemptOutcome, fault_probability: float, now: float
    ) -> None:
        """Update the gate by an outcome: hits and misses separate slow servers from a slow origin.

        fault_probability: probability that the server is faulty, 0 to 1.
        """
        if outcome.brief:
            return
        aim, elapsed_ms = outcome.aim_ms, outcome.elapsed_ms
        hit = outcome.served and outcome.reported_hit
        if outcome.served:
            # While many attempts fail the gate opens by time and not by answers. Otherwise nodes
            # with many requests would admit keys faster than the origin can fetch them.
            open_step = (
                OPEN_STEP
                if self.failure_share < NORMAL_FAILURE_SHARE
                else min(OPEN_STEP, OPEN_RATE_PER_MS * (now - self.last_success_ms))
            )
            # A late answer is no sign of capacity; counting it would sustain an overload.
            if elapsed_ms <= aim or not aim:
                self.admitted_share = min(1.0, self.admitted_share + open_step)
            self.last_success_ms = now
        elif (
            now >= self.closed_ms
            and self.failure_share > NORMAL_FAILURE_SHARE
            and (
                # The gate closes when two servers have rejected the same request, but not by one
                # error or one full queue, which is quick and cheap. It closes by a time-out, except
                # at a server that is already penalized, which says nothing new of the others unless
                # many hits are slow (then the whole fleet may be penalized), and except in a zone
                # where nothing answers, since a cut link is no overload.
                (outcome.rejected_for_overload and outcome.attempt_count > 1)
                or (
                    outcome.timed_out
                    and fault_probability <= 0.5
                    and (
                        self.slow_hit_share > HIGH_SLOW_HIT_SHARE
                        or member.load_penalty
                        * exp((member.load_penalty_ms - now) / PENALTY_DECAY_MS)
                        < 1.0
                    )
                    and not self.fleet.zones.may_be_partitioned(member.info.zone)
                )
            )
        ):
            self.closed_ms = now + CLOSE_INTERVAL_MS
            # Fast hits show that only misses suffer, as with a slow origin: keep admitting what a
            # full cache can serve. Full queues are different: servers reject requests regardless of
            # their value, so servers full of reads would reject orders.
            min_share = (
                MIN_ADMITTED_SHARE
                if self.slow_hit_share > NORMAL_SLOW_HIT_SHARE or outcome.rejected_for_overload
                else MIN_ADMITTED_SHARE_FAST_HITS
            )
            self.admitted_share = min(
                self.admitted_share, max(min_share, self.admitted_share * CLOSE_FACTOR)
            )
        # What all servers do alike says nothing against one of them. Penalizing it would scatter
        # keys over servers that are no better, which turns hits into misses.
        slow_hit = hit and elapsed_ms > SLOW_HIT_SHARE * aim + 2.0 * outcome.work_ms and aim > 0.0
        if outcome.served or outcome.timed_out or outcome.rejected_for_overload:
            self.failure_share += (
                OUTCOME_LEARNING_RATE
                * (1.0 - fault_probability)
                * ((not outcome.served) - self.failure_share)
            )
        if outcome.served or outcome.timed_out or outcome.rejected_for_overload or outcome.error:
            self.hit_share += OUTCOME_LEARNING_RATE * (hit - self.hit_share)
        if hit:
            self.slow_hit_share += OUTCOME_LEARNING_RATE * (slow_hit - self.slow_hit_share)
        # A faulty server says nothing of the origin; else quick errors of a few servers would close
        # the gate for all. An overloaded origin shows at many servers.
        if outcome.error or outcome.reported_miss:
            slowness = 1.0 if outcome.error or not aim else min(1.0, elapsed_ms / aim)
            # An error counts against the origin as far as a miss was likely. A faulty server fails
            # hits as well; counted in full, errors of half the fleet would pass for an overloaded
            # origin, which stops retries and closes the gate while the other half has capacity.
            # The cost: where every answer is an error, detection takes a few more of them.
            miss_weight = (
                1.0
                if outcome.reported_miss
                else max(outcome.miss_probability, LOW_HIT_SHARE - self.hit_share)
            )
            self.origin_slowness += (
                ORIGIN_LEARNING_RATE
                * (1.0 - fault_probability)
                * miss_weight
                * (slowness - self.origin_slowness)
            )
            # An origin that is down behind empty caches can't recover while most keys are misses,
            # so the collapse would outlast its cause.
            if self.origin_slowness > ORIGIN_DOWN_LEVEL and self.hit_share < LOW_HIT_SHARE:
                self.admitted_share = min(self.admitted_share, MIN_ADMITTED_SHARE)
        elif outcome.timed_out or outcome.rejected_for_overload or outcome.error:
            # While the origin is slow keys stay where they are. Scattered keys would turn hits into
            # misses and keep the origin down.
            if self.origin_slowness < ORIGIN_SLOW_LEVEL:
                # A time-out of a likely miss counts against the origin rather than the server, but
                # only as far as answered misses are slow. Without the first, keys would leave the
                # home that holds them over an answer that no server could have given (reads missed
                # twice as often away from home). Without the second, throttled servers would be
                # spared although the origin is fast.
                relative_slowness = min(1.0, self.origin_slowness / ORIGIN_SLOW_LEVEL) ** 2
                penalty = self.failure_penalty() * (
                    (1.0 - outcome.miss_probability * relative_slowness) ** 2
                    if outcome.timed_out
                    else 1.0
                )
                if penalty > 0.0:  # 0 stands for a fast hit there
                    self.fleet.update_load_penalty(member, now, penalty, outcome.timed_out)
        elif hit and aim:
            if outcome.work_ms:
                self.fleet.speeds.record_hit(member.info.kind, outcome.work_ms, elapsed_ms)
            if slow_hit:
                self.fleet.update_load_penalty(
                    member, now, 0.5 * max(0.05, 1.0 - 5.0 * self.slow_hit_share), True
                )
            else:
                self.fleet.update_load_penalty(member, now, 0.0)

    def admits(self, position: float, relative_value: float) -> bool:
        """Whether the gate admits a key. relative_value: value of its class over the least value.

        Every node refuses the same keys; otherwise the fleet and the origin would keep working for
        clients that have left. Classes of a higher value are admitted longer, and requests that
        will be late are refused first.
        """
        return (
            self.admitted_share >= 1.0
            or position * 1048576.0 % 1.0 < self.admitted_share * relative_value**VALUE_EXPONENT
        )

    def opens_in(self, position: float, relative_value: float) -> float:
        """In how many ms a key is admitted at the latest: at the rate while many attempts fail."""
        # Underflows to 0 where a late answer has next to no value.
        admission_factor = relative_value**VALUE_EXPONENT
        missing_share = (
            (position * 1048576.0 % 1.0) / admission_factor - self.admitted_share
            if admission_factor > 0.0
            else 1.0 - self.admitted_share
        )
        return max(0.0, missing_share) / OPEN_RATE_PER_MS

    def failure_penalty(self) -> float:
        """Penalty for an unanswered attempt; the lower, the more attempts fail at all servers."""
        return 4.0 * max(0.05, 1.0 - 4.0 * self.failure_share)
