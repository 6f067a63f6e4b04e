"""Budget for the origin: the expected number of fetches in flight. Pure: no I/O, no clock.

A miss or a write costs the one origin that all nodes share; a hit costs it nothing. A node can't
tell a miss before the answer, but it can estimate one. It remembers which server last served each
key (MAX_KEYS keys; those served longest ago are forgotten first). The expected cost of a request,
in fetches, is

- 1 for a write;
- for a read sent to the server that served its key last: the share of such reads that missed
  lately;
- for any other read: the share of those that missed lately.

What a server served before its last start, and what a write has invalidated since, isn't
remembered.

The budget limits fetches while most of them are slow: from the moment at which more than
SLOW_TO_LIMIT of them lately failed, timed out or took longer than SLOW_AIM_FRACTION of their aims,
until fewer than SLOW_TO_RELEASE do. Meanwhile the expected number of fetches in flight is kept
under a limit. The limit starts at LIMIT_DECREASE times the mean number in flight. While fetches
are that slow it is decreased again once in DECREASE_INTERVAL_MS, the time that the effect of a
decrease may take to show. It grows by LIMIT_INCREASE for each round of fetches answered in time.
Requests that are expected to hit go on, requests that would not be answered in time are refused at
once, and classes of lower value leave RESERVED_SHARE of the limit to those of higher value.

Bounds: MAX_KEYS entries and ten floats. One answer moves a miss rate by at most MISS_RATE_WEIGHT,
the share of slow fetches by at most SLOW_WEIGHT, and the limit by one decrease. The limit stays
between MIN_LIMIT, so that there are always fetches to learn from, and MAX_LIMIT.
"""

from __future__ import annotations

from typing import Optional

from forkweir.limits.request_cost import DecayingSum

MAX_KEYS = 4_096
# Weight of one answer in a miss rate.
MISS_RATE_WEIGHT = 0.03
# An entry that is younger than this isn't written again.
REFRESH_MS = 1_000.0
# Miss rates before any answer: of reads of keys with and without a remembered server.
INITIAL_UNKNOWN_MISS_RATE = 0.3
INITIAL_KNOWN_MISS_RATE = 0.05
# A request that is expected to cost at most this is let in whatever is in flight.
EXEMPT_COST = 0.15
# A fetch that takes longer than this fraction of its request's aim is slow.
SLOW_AIM_FRACTION = 0.8
# Weight of one fetch in the share of slow ones.
SLOW_WEIGHT = 0.05
# Share of slow fetches at which the budget starts to limit (docs/cold-and-full.md has what lower
# thresholds cost), and below which it stops.
SLOW_TO_LIMIT = 0.8
SLOW_TO_RELEASE = 0.6
MEAN_IN_FLIGHT_WEIGHT = 0.01
# Growth of the limit for as many good fetches as it allows.
LIMIT_INCREASE = 2.0
LIMIT_DECREASE = 0.8
DECREASE_INTERVAL_MS = 1_000.0
MIN_LIMIT = 4.0  # fetches in flight
MAX_LIMIT = 256.0
# Share of the limit that a class of no value leaves to others.
RESERVED_SHARE = 0.3
# Decay time of the rate at which fetches end.
END_RATE_DECAY_MS = 3_000.0


class FetchBudget:
    """The load that this node causes at the origin."""

    __slots__ = (
        "limit",
        "allocated",
        "in_flight",
        "known_miss_rate",
        "unknown_miss_rate",
        "slow_share",
        "mean_in_flight",
        "limiting",
        "_decreased_ms",
        "_max_value",
        "_last_server",
        "_ended",
    )

    def __init__(self, max_value: float) -> None:
        """max_value: the value of the class that is worth most."""
        self.limit = MAX_LIMIT  # of fetches in flight, while the budget limits them
        # This node's share of a tier-wide limit, where one is allocated (`limits/limit_shares`).
        self.allocated: Optional[float] = None
        self.in_flight = 0.0  # expected
        self.known_miss_rate = INITIAL_KNOWN_MISS_RATE
        self.unknown_miss_rate = INITIAL_UNKNOWN_MISS_RATE
        self.mean_in_flight = MIN_LIMIT  # moving average over the attempts sent
        self.limiting = False
        self.slow_share = 0.0  # moving average of the share of slow fetches
        self._decreased_ms = 0.0
        self._max_value = max(max_value, 1e-9)
        self._ended = DecayingSum(END_RATE_DECAY_MS)  # expected fetches that ended
        # By position of a key: its last server and when it served the key; oldest first.
        self._last_server: dict[float, tuple[str, float]] = {}

    def remembers(self, position: float, server: str, started_ms: float) -> bool:
        """Return whether this server was the last to serve the key, since it last started."""
        entry = self._last_server.get(position)
        return entry is not None and entry[0] == server and entry[1] > started_ms

    def expected(self, served_last: bool, write: bool) -> float:
        """Return the expected fetches of a request, 0 to 1: its miss probability, 1 for a write.

        served_last: what `remembers` returned.
        """
        return 1.0 if write else self.known_miss_rate if served_last else self.unknown_miss_rate

    def may_send(self, cost: float, value: float) -> bool:
        """Return whether a request of this expected cost may be sent."""
        return cost <= EXEMPT_COST or not self.limiting or self.in_flight < self._capacity(value)

    def _capacity(self, value: float) -> float:
        """Return the number in flight below which a class of this value is let in."""
        limit = self.limit if self.allocated is None else self.allocated
        return limit * (1.0 - RESERVED_SHARE * (1.0 - value / self._max_value))

    @property
    def prospective_limit(self) -> float:
        """The limit in force, or the one with which limiting would start."""
        return self.limit if self.limiting else max(MIN_LIMIT, LIMIT_DECREASE * self.mean_in_flight)

    @property
    def fetch_ms(self) -> float:
        """How long a fetch is in flight, by Little's law: fetches in flight over their end rate."""
        end_rate = self._ended.rate(END_RATE_DECAY_MS)
        return self.in_flight / end_rate if end_rate > 0.0 else END_RATE_DECAY_MS

    def record_start(self, cost: float) -> None:
        """Record an attempt that is sent."""
        self.in_flight += cost
        self.mean_in_flight += MEAN_IN_FLIGHT_WEIGHT * (self.in_flight - self.mean_in_flight)

    def record_end(self, cost: float, now: Optional[float] = None) -> None:
        """Record an attempt that ended; now is given if it was answered or its time ran out."""
        self.in_flight = max(0.0, self.in_flight - cost)
        if now is not None:
            self._ended.add(now, cost)

    def wait_ms(self, cost: float, value: float) -> Optional[float]:
        """Return the time until the excess over the limit has ended; None if none ended lately."""
        end_rate = self._ended.rate(END_RATE_DECAY_MS)
        excess = self.in_flight + cost - self._capacity(value)
        return max(0.0, excess) / end_rate if end_rate > 0.0 else None

    def record_served(self, position: float, server: str, write: bool, now: float) -> None:
        """Record an answer: the server caches the key now, or a write invalidated all copies."""
        entry = self._last_server.get(position)
        if entry is not None:
            if not write and entry[0] == server and now - entry[1] < REFRESH_MS:
                return
            del self._last_server[position]
        if not write:
            self._last_server[position] = (server, now)
            if len(self._last_server) > MAX_KEYS:
                del self._last_server[next(iter(self._last_server))]

    def record_read(self, served_last: bool, missed: bool) -> None:
        """Record whether a read missed. served_last: its server was remembered for the key."""
        if served_last:
            self.known_miss_rate += MISS_RATE_WEIGHT * (missed - self.known_miss_rate)
        else:
            self.unknown_miss_rate += MISS_RATE_WEIGHT * (missed - self.unknown_miss_rate)

    def record_fetch(self, aim_fraction: Optional[float], now: float) -> None:
        """Record a fetch that took this fraction of its request's aim.

        None means that it failed or wasn't answered in time.
        """
        late = aim_fraction is None or aim_fraction > SLOW_AIM_FRACTION
        self.slow_share += SLOW_WEIGHT * (late - self.slow_share)
        if not self.limiting:
            if self.slow_share > SLOW_TO_LIMIT:
                self.limiting, self._decreased_ms = True, now
                self.limit = max(MIN_LIMIT, LIMIT_DECREASE * self.mean_in_flight)
        elif self.slow_share < SLOW_TO_RELEASE:
            self.limiting = False
        elif self.slow_share > SLOW_TO_LIMIT:
            if now - self._decreased_ms >= DECREASE_INTERVAL_MS:
                self._decreased_ms = now
                self.limit = max(MIN_LIMIT, LIMIT_DECREASE * self.limit)
        elif not late:
            self.limit = min(MAX_LIMIT, self.limit + LIMIT_INCREASE / self.limit)
