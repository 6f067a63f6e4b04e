"""Slow start of cold servers: a budget of work, paid before each request. Pure: no I/O, no clock.

A server that has just started has only a part of its capacity (`contract.coldFrom`, rising to all
of it within `coldMs`). It fails for good when all nodes together send it more than `fallMultiple`
times that within `overloadForMs`. No node knows its capacity, and nodes need not talk to one
another. Each node follows one rule: **of what a warm server gets from this node, a cold one gets
at most the fraction that its capacity is of a warm server's.** Where every node does so, all nodes
together send a cold server at most the same fraction of what all send a warm one, which it is
known to bear.

What a warm server gets from this node, in work per ms and unit of weight, is

- the proven rate: the work that warm servers answered in time, over the time that they were there.
  It decays by a factor of e in SERVED_DECAY_MS of that time. A fleet that is cold as a whole adds
  no such time, so what its servers could do before is remembered.
- UNPROVEN_SHARE of the demand of this node's clients, spread over the fleet, while nothing is
  proven. Later on, higher demand raises the rate to at most MAX_OVER_PROVEN times the proven one,
  as demand may be far more than the fleet can serve.

Too much shows at the server: each time it rejects a request or leaves one without an answer in
time, its budget is multiplied by OVERLOAD_FACTOR (at most once in OVERLOAD_INTERVAL_MS, down to
MIN_RATE_FACTOR), and each good answer gives RECOVERY_STEP of it back. A node thereby also makes
capacity available where other nodes take more than their share.

Too little shows as well: the stated ramp is the least that a server does, and most do more. One
node among many learns too little of a single cold server, so its findings are pooled over all of
them. Each good answer of a cold server adds BOOST_STEP to a common boost of their budgets, up to
MAX_BOOST (half of what makes a server fail at the usual multiple). Each overload takes a tenth of
it away.

The budget is a token bucket. It fills with time, and every attempt pays when it is dispatched:
reads, writes, retries and hedged requests alike. It holds BURST_MS of its rate, so that requests
that queued up while the node stood still aren't sent at once, or MIN_BURST_REQUESTS requests if
that is more (a node with one request for a server every few seconds would often find a bucket of
one empty). It starts with a seeded random fraction of one request: the first requests of all nodes
that learn of a start in the same moment come at the sum of their rates, and not at once.

A class of lower value leaves a part of the bucket to classes of higher value, for at most
MAX_STARVATION_MS. Memory: five floats for each server.
"""

from __future__ import annotations

import random

from forkweir.limits.request_cost import DecayingSum

# Decay time of client demand.
DEMAND_DECAY_MS = 5_000.0
# Decay time of the work that warm servers answered in time.
SERVED_DECAY_MS = 30_000.0
# Time of a warm server before anything counts as proven.
MIN_EVIDENCE_MS = 1_000.0
# Demand counts as spread over at least this time.
MIN_DEMAND_SPAN_MS = 300.0
UNPROVEN_SHARE = 0.5
MAX_OVER_PROVEN = 2.0
OVERLOAD_FACTOR = 0.7
OVERLOAD_INTERVAL_MS = 200.0
RECOVERY_STEP = 0.03
MIN_RATE_FACTOR = 0.1
BURST_MS = 250.0
MIN_BURST_REQUESTS = 2.0
# Half of the multiple of 4 or more at which a server fails.
MAX_BOOST = 2.0
# Added to the boost by one good answer: some 13 answers of all cold servers together reach the
# maximum.
BOOST_STEP = 0.08
# The boost is multiplied by this at each overload, at most once in OVERLOAD_INTERVAL_MS a server.
BOOST_DECREASE = 0.9
# Share of the bucket that a class of no value leaves to the class of the highest value.
RESERVED_SHARE = 0.5
MAX_STARVATION_MS = 1_000.0
# Multiple at which a node uses its whole share; a stricter contract gives less.
FULL_SHARE_MULTIPLE = 4.0


class TokenBucket:
    """The budget of one cold server. Times are in ms."""

    __slots__ = ("level", "at", "low_value_ms", "rate_factor", "reduced_ms")

    def __init__(self, level: float, now: float) -> None:
        self.level = level  # work in ms
        self.at = now  # when it was last filled
        # When a request of a class that leaves a part to others last took from the bucket.
        self.low_value_ms = now
        self.rate_factor = 1.0  # fraction of its rate that the server gets after overload
        self.reduced_ms = now  # when the rate factor was last reduced


class SlowStart:
    """What cold servers may get from this node. Work and times are in ms."""

    __slots__ = ("share", "boost", "_demand", "_served", "_max_value", "_random")

    def __init__(self, fall_multiple: float, max_value: float, seed: int) -> None:
        """max_value: the value of the class that is worth most."""
        self._random = random.Random(f"allowance/{seed}")
        self.share = min(1.0, fall_multiple / FULL_SHARE_MULTIPLE)
        self.boost = 1.0  # of all budgets, as cold servers bear more than they must
        self._demand = DecayingSum(DEMAND_DECAY_MS)
        self._served = DecayingSum(SERVED_DECAY_MS)
        self._max_value = max(max_value, 1e-9)

    def record_request(self, now: float, cost: float, warm_weight: float) -> None:
        """Record the work of a client's request.

        warm_weight: the weight of all servers that are warm and in use now.
        """
        self._demand.add(now, cost)
        self._served.add(now, 0.0, warm_weight)

    def record_served(self, cost: float) -> None:
        """Record work that a warm server answered in time."""
        self._served.total += cost

    def reference(self, weight: float) -> float:
        """Return the work per ms that a warm server of weight 1 gets from this node.

        weight: that of the whole fleet.
        """
        demand = self._demand.rate(MIN_DEMAND_SPAN_MS) / max(weight, 1e-9)
        if self._served.span_ms < MIN_EVIDENCE_MS or self._served.total <= 0.0:
            return UNPROVEN_SHARE * demand
        proven = self._served.rate(MIN_EVIDENCE_MS)
        return max(proven, min(demand, MAX_OVER_PROVEN * proven))

    def open_bucket(
        self, now: float, cost: float, rate: float = 0.0, since: float = 0.0
    ) -> TokenBucket:
        """Return the bucket of a server whose start the node learned at `since`.

        It has filled since then at a rate that grew evenly. Otherwise a node with one request for a
        server every few seconds would fill the bucket only from the first request on.
        """
        filled = 0.5 * rate * self.share * max(0.0, now - since)
        return TokenBucket(
            min(MIN_BURST_REQUESTS * cost, self._random.random() * cost + filled), now
        )

    def may_send(
        self, bucket: TokenBucket, rate: float, cost: float, value: float, now: float
    ) -> bool:
        """Return whether a request may be sent. rate: what the server may get now, work per ms."""
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
        """Return the time until the bucket holds a request's cost if nothing else takes from it."""
        rate *= self.share * bucket.rate_factor * self.boost
        level = bucket.level + rate * max(0.0, now - bucket.at)
        return max(0.0, cost - level) / rate if rate > 0.0 else 1e9

    def spend(self, bucket: TokenBucket, cost: float, value: float, now: float) -> None:
        """Take the cost of a request that is sent."""
        bucket.level -= cost
        if value < self._max_value:
            bucket.low_value_ms = now

    def record_overload(self, bucket: TokenBucket, now: float) -> None:
        """Record a request that the server rejected or did not answer in time."""
        if now - bucket.reduced_ms >= OVERLOAD_INTERVAL_MS:
            bucket.reduced_ms = now
            bucket.rate_factor = max(MIN_RATE_FACTOR, OVERLOAD_FACTOR * bucket.rate_factor)
            self.boost = max(1.0, BOOST_DECREASE * self.boost)

    def record_success(self, bucket: TokenBucket) -> None:
        """Record a request that the server answered in time."""
        bucket.rate_factor = min(1.0, bucket.rate_factor + RECOVERY_STEP)
        self.boost = min(MAX_BOOST, self.boost + BOOST_STEP)
