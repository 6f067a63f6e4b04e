"""A budget for the origin: expected fetches in flight. Pure, no I/O, no clock.

A miss or a write costs the one origin that all share; a hit costs it nothing. A node can't tell a miss before it is
answered, but it can expect one. It remembers where each key was last served (KEYS of them, the ones served longest ago
forgotten first). What a request is expected to cost, in fetches, is

- 1 for a write,
- for a read that goes to the server which served its key last: the part of such reads that missed lately,
- for any other read: the part of those that missed lately.

What a server served before it last started, and what a write has voided since, is not remembered.

The budget presses while most fetches are slow: from the moment at which more than SLOW_MANY of them lately failed, timed out or
took longer than SLOW of their aims, until fewer than SLOW_FEW do. Then the fetches expected in flight are kept under a limit. It
begins at CUT of what was usually in flight, is cut again once in CUT_MS (as long as the answer to a cut may take to show)
while it is as bad, and grows by GROW for a round of fetches answered in time. What is expected to hit goes on, what would not
be answered in time is refused at once, and classes worth less leave RESERVE of the limit to those worth more.

Bounds: KEYS entries and ten floats. Steps: one answer moves a part by LEARN, the judgement of the origin by SLOW_LEARN, and the
limit by one cut at the most; it stays between LEAST (so that there are always fetches to learn from) and MOST.
"""

from __future__ import annotations

from typing import Optional

from forkweir.limits.request_cost import DecayingSum

MAX_KEYS = 4_096
MISS_RATE_WEIGHT = 0.03  # weight of one answer in the judgement of what misses
REFRESH_MS = 1_000.0  # what was noted for less time is not noted anew
INITIAL_UNKNOWN_MISS_RATE = (
    0.3  # of reads of keys of which nothing is remembered miss, until answers tell more,
)
INITIAL_KNOWN_MISS_RATE = 0.05  # and of the others
EXEMPT_COST = 0.15  # a request expected to cost less is let in whatever is in flight
SLOW_AIM_FRACTION = 0.8  # a fetch that takes this part of its request's aim is slow
SLOW_WEIGHT = 0.05  # weight of one fetch in the judgement of how many are
SLOW_TO_LIMIT = (
    0.8  # where the budget begins to press (docs/cold-and-full.md has what earlier marks cost),
)
SLOW_TO_RELEASE = 0.6  # and where it ends
USUAL_WEIGHT = 0.01
LIMIT_INCREASE = 2.0  # of the limit, for as many good fetches as it holds
LIMIT_DECREASE = 0.8
DECREASE_INTERVAL_MS = 1_000.0
MIN_LIMIT = 4.0  # fetches in flight
MAX_LIMIT = 256.0
RESERVED_SHARE = 0.3  # of the limit is left by a class worth nothing
END_RATE_DECAY_MS = 3_000.0  # forgetting time of the pace at which fetches end


class FetchBudget:
    """What the origin is asked for by way of this node."""

    __slots__ = (
        "limit",
        "allocated",
        "in_flight",
        "known_miss_rate",
        "unknown_miss_rate",
        "slow_share",
        "usual_in_flight",
        "limiting",
        "_decreased_ms",
        "_max_value",
        "_last_server",
        "_ended",
    )

    def __init__(self, max_value: float) -> None:
        self.limit = MAX_LIMIT  # in flight, while the budget presses
        self.allocated: Optional[float] = (
            None  # this node's part of what all may have in flight, where that is dealt (`limits/parts`)
        )
        self.in_flight = 0.0  # expected in flight
        self.known_miss_rate = INITIAL_KNOWN_MISS_RATE
        self.unknown_miss_rate = INITIAL_UNKNOWN_MISS_RATE
        self.usual_in_flight = MIN_LIMIT  # in flight, as a moving average over what goes out
        self.limiting = False
        self.slow_share = 0.0  # part of late fetches that were slow
        self._decreased_ms = 0.0
        self._max_value = max(max_value, 1e-9)
        self._ended = DecayingSum(END_RATE_DECAY_MS)  # expected fetches that ended
        self._last_server: dict[
            float, tuple[str, float]
        ] = {}  # by position of a key: server and when, longest ago first

    def remembers(self, position: float, server: str, started_ms: float) -> bool:
        """Whether this server was the last to serve the key, since it last started."""
        entry = self._last_server.get(position)
        return entry is not None and entry[0] == server and entry[1] > started_ms

    def expected(self, known: bool, write: bool) -> float:
        """How many fetches a request is expected to cost, 0 to 1. known: what `remembers` says."""
        return 1.0 if write else self.known_miss_rate if known else self.unknown_miss_rate

    def may_send(self, cost: float, value: float) -> bool:
        """Whether a request that is expected to cost so much may be sent."""
        return cost <= EXEMPT_COST or not self.limiting or self.in_flight < self._capacity(value)

    def _capacity(self, value: float) -> float:
        """How many may be in flight for a class worth so much to be let in."""
        limit = self.limit if self.allocated is None else self.allocated
        return limit * (1.0 - RESERVED_SHARE * (1.0 - value / self._max_value))

    @property
    def prospective_limit(self) -> float:
        """The limit, or, while it does not press, the one with which it would begin to."""
        return (
            self.limit if self.limiting else max(MIN_LIMIT, LIMIT_DECREASE * self.usual_in_flight)
        )

    @property
    def fetch_ms(self) -> float:
        """How long a fetch is in flight, by Little's law: those that are, over the pace at which they end."""
        end_rate = self._ended.rate(END_RATE_DECAY_MS)
        return self.in_flight / end_rate if end_rate > 0.0 else END_RATE_DECAY_MS

    def record_start(self, cost: float) -> None:
        """An attempt goes out."""
        self.in_flight += cost
        self.usual_in_flight += USUAL_WEIGHT * (self.in_flight - self.usual_in_flight)

    def record_end(self, cost: float, now: Optional[float] = None) -> None:
        """It has ended, in whatever way; now: where it was answered, or its time was up."""
        self.in_flight = max(0.0, self.in_flight - cost)
        if now is not None:
            self._ended.add(now, cost)

    def wait_ms(self, cost: float, value: float) -> Optional[float]:
        """How long until as many fetches have ended as are over the limit, in ms; None where none ended lately."""
        end_rate = self._ended.rate(END_RATE_DECAY_MS)
        excess = self.in_flight + cost - self._capacity(value)
        return max(0.0, excess) / end_rate if end_rate > 0.0 else None

    def record_served(self, position: float, server: str, write: bool, now: float) -> None:
        """A server answered for a key: it keeps it, or a write has voided all copies."""
        entry = self._last_server.get(position)
        if entry is not None:
            if not write and entry[0] == server and now - entry[1] < REFRESH_MS:
                return
            del self._last_server[position]
        if not write:
            self._last_server[position] = (server, now)
            if len(self._last_server) > MAX_KEYS:
                del self._last_server[next(iter(self._last_server))]

    def record_read(self, known: bool, missed: bool) -> None:
        """A read of a key that was remembered, or was not, hit or missed."""
        if known:
            self.known_miss_rate += MISS_RATE_WEIGHT * (missed - self.known_miss_rate)
        else:
            self.unknown_miss_rate += MISS_RATE_WEIGHT * (missed - self.unknown_miss_rate)

    def record_fetch(self, aim_fraction: Optional[float], now: float) -> None:
        """A fetch came back after this part of its request's aim; None: it failed, or not in time."""
        late = aim_fraction is None or aim_fraction > SLOW_AIM_FRACTION
        self.slow_share += SLOW_WEIGHT * (late - self.slow_share)
        if not self.limiting:
            if self.slow_share > SLOW_TO_LIMIT:
                self.limiting, self._decreased_ms = True, now
                self.limit = max(MIN_LIMIT, LIMIT_DECREASE * self.usual_in_flight)
        elif self.slow_share < SLOW_TO_RELEASE:
            self.limiting = False
        elif self.slow_share > SLOW_TO_LIMIT:
            if now - self._decreased_ms >= DECREASE_INTERVAL_MS:
                self._decreased_ms = now
                self.limit = max(MIN_LIMIT, LIMIT_DECREASE * self.limit)
        elif not late:
            self.limit = min(MAX_LIMIT, self.limit + LIMIT_INCREASE / self.limit)
