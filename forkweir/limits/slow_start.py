"""What a cold server is allowed: work, paid for before a request goes to it. Pure, no I/O, no clock.

A server that has started can do only a part of its work (`contract.coldFrom` of its capacity, rising to all of it within
`coldMs`) and falls over for good when all nodes together send it more than `fallMultiple` times that within
`overloadForMs`. Its capacity is told to nobody, and nodes do not talk to one another. Each node takes its part by one
rule: **a cold server may get from me its capacity's part of what a warm server gets from me.** Where every node keeps
to it, all together send a cold server at most the same part of what all send a warm one, and that is known to be borne.

What a warm server gets from this node, in work a ms for each unit of weight, is

- `proven`: what warm servers answered in time, over the time that they were there (forgotten by e in PROVEN_MS of it: a
  fleet that is cold as a whole adds no such time, so what its servers could do before is remembered), or
- UNPROVEN of the node's own share of what clients ask for, spread over the fleet, where nothing is proven yet, and at most
  BEYOND times what is proven: what is asked for may be far more than the fleet can do.

What is still too much shows at the server: each time it turns a request away, or leaves one without an answer in time, its
allowance is cut by PRESSED (once in PRESSED_MS, to LEAST_TRUST at the least), and each good answer gives EASED of it back.
So a node also makes room where others take more than their part.

What is too little shows as well: the stated ramp is the least that a server does, and most do more. A node among many hears
too little of one cold server to judge it alone, so what it finds is pooled over all of them: each good answer of a cold
server adds MORE to a boost of all their allowances, up to MOST_BOOST (half of what makes one fall at the usual multiple),
and each one that is too much takes a tenth of it away.

The allowance is a token bucket: it fills with time and is paid at dispatch by every attempt alike, whether read, write,
repeat or second request. It holds BURST_MS of its rate (or DEPTH requests, where that is more: a node that has a request for
a server every few seconds finds a bucket of one empty as often as not), so what queued up while the node stood still is not
let out at once. It begins with a part of one request drawn from the seed: of any number of nodes that hear of a start in the
same moment, the first requests come at the pace of all their rates together, and none at once.

Who goes first: a class that is worth less leaves a part of the bucket to those that are worth more, for STARVED_MS at the
longest. Bounds: five floats a server.
"""

from __future__ import annotations

import random

from forkweir.limits.request_cost import DecayingSum

DEMAND_DECAY_MS = 5_000.0  # forgetting time of what clients ask for
SERVED_DECAY_MS = 30_000.0  # and of what warm servers bore
MIN_EVIDENCE_MS = 1_000.0  # of a warm server's time before anything counts as proven
MIN_DEMAND_SPAN_MS = 300.0  # what is asked for counts as spread over no less time
UNPROVEN_SHARE = 0.5
MAX_OVER_PROVEN = 2.0
OVERLOAD_FACTOR = 0.7
OVERLOAD_INTERVAL_MS = 200.0
RECOVERY_STEP = 0.03
MIN_RATE_FACTOR = 0.1
BURST_MS = 250.0
MIN_BURST_REQUESTS = 2.0  # requests
MAX_BOOST = 2.0  # of a multiple of 4 or more that makes one fall
BOOST_STEP = 0.08  # of the boost for one good answer: some 13 of them, all cold servers together, make the most of it
BOOST_DECREASE = (
    0.9  # times the boost for each answer that is too much, once in PRESSED_MS a server
)
RESERVED_SHARE = 0.5  # of the bucket is left to the class worth most by one worth nothing
MAX_STARVATION_MS = 1_000.0
FULL_SHARE_MULTIPLE = (
    4.0  # the multiple for which the whole part is taken; a stricter one takes less
)


class TokenBucket:
    """One cold server's bucket."""

    __slots__ = ("level", "at", "low_value_ms", "rate_factor", "reduced_ms")

    def __init__(self, level: float, now: float) -> None:
        self.level = level  # work in ms
        self.at = now
        self.low_value_ms = (
            now  # when a request of a class that has to leave a part last took from it
        )
        self.rate_factor = 1.0  # the part of its allowance that it gets, as it bears less
        self.reduced_ms = now  # when that was last cut


class SlowStart:
    """What cold servers may get from this node."""

    __slots__ = ("share", "boost", "_demand", "_served", "_max_value", "_random")

    def __init__(self, fall_multiple: float, max_value: float, seed: int) -> None:
        self._random = random.Random(f"allowance/{seed}")
        self.share = min(1.0, fall_multiple / FULL_SHARE_MULTIPLE)
        self.boost = 1.0  # of all allowances, as cold servers bear more than they must
        self._demand = DecayingSum(DEMAND_DECAY_MS)
        self._served = DecayingSum(SERVED_DECAY_MS)
        self._max_value = max(max_value, 1e-9)

    def record_request(self, now: float, cost: float, warm_weight: float) -> None:
        """A client asked for so much work (ms). warm_weight: the weight of all servers that are warm and in use now."""
        self._demand.add(now, cost)
        self._served.add(now, 0.0, warm_weight)

    def record_served(self, cost: float) -> None:
        """A warm server answered so much work (ms) in time."""
        self._served.total += cost

    def reference(self, weight: float) -> float:
        """Work a ms that a warm server of weight 1 gets from this node. weight: that of the whole fleet."""
        demand = self._demand.rate(MIN_DEMAND_SPAN_MS) / max(weight, 1e-9)
        if self._served.span_ms < MIN_EVIDENCE_MS or self._served.total <= 0.0:
            return UNPROVEN_SHARE * demand
        proven = self._served.rate(MIN_EVIDENCE_MS)
        return max(proven, min(demand, MAX_OVER_PROVEN * proven))

    def open_bucket(
        self, now: float, cost: float, rate: float = 0.0, since: float = 0.0
    ) -> TokenBucket:
        """The account of a server of whose start the node heard at `since`: it has filled from then on, at a rate that grew evenly.

        Guards against accounts that begin with the first request for a server, at a node that has one every few seconds.
        """
        filled = 0.5 * rate * self.share * max(0.0, now - since)
        return TokenBucket(
            min(MIN_BURST_REQUESTS * cost, self._random.random() * cost + filled), now
        )

    def may_send(
        self, bucket: TokenBucket, rate: float, cost: float, value: float, now: float
    ) -> bool:
        """Whether a request may be sent. rate: what the server may get now, in work a ms."""
        rate *= self.share * bucket.rate_factor * self.boost
        capacity = max(rate * BURST_MS, MIN_BURST_REQUESTS * cost)
        bucket.level = min(capacity, bucket.level + rate * max(0.0, now - bucket.at))
        bucket.at = now
        reserved = min(RESERVED_SHARE * (1.0 - value / self._max_value) * capacity, capacity - cost)
        waited = now - bucket.low_value_ms
        if reserved > 0.0 and waited > 0.0:
            reserved *= max(0.0, 1.0 - waited / MAX_STARVATION_MS)
        return bucket.level >= cost + reserved

    def wait_ms(self, bucket: TokenBucket, rate: float, cost: float, now: float) -> float:
        """How long until the bucket holds a request's cost, in ms, if nobody else takes from it."""
        rate *= self.share * bucket.rate_factor * self.boost
        level = bucket.level + rate * max(0.0, now - bucket.at)
        return max(0.0, cost - level) / rate if rate > 0.0 else 1e9

    def spend(self, bucket: TokenBucket, cost: float, value: float, now: float) -> None:
        """A request goes out."""
        bucket.level -= cost
        if value < self._max_value:
            bucket.low_value_ms = now

    def record_overload(self, bucket: TokenBucket, now: float) -> None:
        """The server turned a request away, or left one without an answer in time."""
        if now - bucket.reduced_ms >= OVERLOAD_INTERVAL_MS:
            bucket.reduced_ms = now
            bucket.rate_factor = max(MIN_RATE_FACTOR, OVERLOAD_FACTOR * bucket.rate_factor)
            self.boost = max(1.0, BOOST_DECREASE * self.boost)

    def record_success(self, bucket: TokenBucket) -> None:
        """The server answered in time."""
        bucket.rate_factor = min(1.0, bucket.rate_factor + RECOVERY_STEP)
        self.boost = min(MAX_BOOST, self.boost + BOOST_STEP)
