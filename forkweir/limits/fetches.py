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

from forkweir.limits.work import Faded

KEYS = 4_096
LEARN = 0.03  # weight of one answer in the judgement of what misses
FRESH_MS = 1_000.0  # what was noted for less time is not noted anew
FIRST_UNKNOWN = (
    0.3  # of reads of keys of which nothing is remembered miss, until answers tell more,
)
FIRST_KNOWN = 0.05  # and of the others
PASS = 0.15  # a request expected to cost less is let in whatever is in flight
SLOW = 0.8  # a fetch that takes this part of its request's aim is slow
SLOW_LEARN = 0.05  # weight of one fetch in the judgement of how many are
SLOW_MANY = (
    0.8  # where the budget begins to press (docs/cold-and-full.md has what earlier marks cost),
)
SLOW_FEW = 0.6  # and where it ends
USUAL_LEARN = 0.01
GROW = 2.0  # of the limit, for as many good fetches as it holds
CUT = 0.8
CUT_MS = 1_000.0
LEAST = 4.0  # fetches in flight
MOST = 256.0
RESERVE = 0.3  # of the limit is left by a class worth nothing
ENDED_MS = 3_000.0  # forgetting time of the pace at which fetches end


class Fetches:
    """What the origin is asked for by way of this node."""

    __slots__ = (
        "limit",
        "dealt",
        "out",
        "known",
        "unknown",
        "slow",
        "usual",
        "pressed",
        "_cut_ms",
        "_most_worth",
        "_served",
        "_ended",
    )

    def __init__(self, most_worth: float) -> None:
        self.limit = MOST  # in flight, while the budget presses
        self.dealt: Optional[float] = (
            None  # this node's part of what all may have in flight, where that is dealt (`limits/parts`)
        )
        self.out = 0.0  # expected in flight
        self.known = FIRST_KNOWN
        self.unknown = FIRST_UNKNOWN
        self.usual = LEAST  # in flight, as a moving average over what goes out
        self.pressed = False
        self.slow = 0.0  # part of late fetches that were slow
        self._cut_ms = 0.0
        self._most_worth = max(most_worth, 1e-9)
        self._ended = Faded(ENDED_MS)  # expected fetches that ended
        self._served: dict[
            float, tuple[str, float]
        ] = {}  # by position of a key: server and when, longest ago first

    def remembers(self, position: float, server: str, started_ms: float) -> bool:
        """Whether this server was the last to serve the key, since it last started."""
        got = self._served.get(position)
        return got is not None and got[0] == server and got[1] > started_ms

    def expected(self, known: bool, write: bool) -> float:
        """How many fetches a request is expected to cost, 0 to 1. known: what `remembers` says."""
        return 1.0 if write else self.known if known else self.unknown

    def has(self, cost: float, worth: float) -> bool:
        """Whether a request that is expected to cost so much may be sent."""
        return cost <= PASS or not self.pressed or self.out < self._room(worth)

    def _room(self, worth: float) -> float:
        """How many may be in flight for a class worth so much to be let in."""
        limit = self.limit if self.dealt is None else self.dealt
        return limit * (1.0 - RESERVE * (1.0 - worth / self._most_worth))

    @property
    def would_be(self) -> float:
        """The limit, or, while it does not press, the one with which it would begin to."""
        return self.limit if self.pressed else max(LEAST, CUT * self.usual)

    @property
    def flight_ms(self) -> float:
        """How long a fetch is in flight, by Little's law: those that are, over the pace at which they end."""
        pace = self._ended.rate(ENDED_MS)
        return self.out / pace if pace > 0.0 else ENDED_MS

    def pay(self, cost: float) -> None:
        """An attempt goes out."""
        self.out += cost
        self.usual += USUAL_LEARN * (self.out - self.usual)

    def back(self, cost: float, now: Optional[float] = None) -> None:
        """It has ended, in whatever way; now: where it was answered, or its time was up."""
        self.out = max(0.0, self.out - cost)
        if now is not None:
            self._ended.add(now, cost)

    def opens_in(self, cost: float, worth: float) -> Optional[float]:
        """How long until as many fetches have ended as are over the limit, in ms; None where none ended lately."""
        pace = self._ended.rate(ENDED_MS)
        over = self.out + cost - self._room(worth)
        return max(0.0, over) / pace if pace > 0.0 else None

    def served(self, position: float, server: str, write: bool, now: float) -> None:
        """A server answered for a key: it keeps it, or a write has voided all copies."""
        got = self._served.get(position)
        if got is not None:
            if not write and got[0] == server and now - got[1] < FRESH_MS:
                return
            del self._served[position]
        if not write:
            self._served[position] = (server, now)
            if len(self._served) > KEYS:
                del self._served[next(iter(self._served))]

    def learn(self, known: bool, missed: bool) -> None:
        """A read of a key that was remembered, or was not, hit or missed."""
        if known:
            self.known += LEARN * (missed - self.known)
        else:
            self.unknown += LEARN * (missed - self.unknown)

    def judge(self, part: Optional[float], now: float) -> None:
        """A fetch came back after this part of its request's aim; None: it failed, or not in time."""
        late = part is None or part > SLOW
        self.slow += SLOW_LEARN * (late - self.slow)
        if not self.pressed:
            if self.slow > SLOW_MANY:
                self.pressed, self._cut_ms = True, now
                self.limit = max(LEAST, CUT * self.usual)
        elif self.slow < SLOW_FEW:
            self.pressed = False
        elif self.slow > SLOW_MANY:
            if now - self._cut_ms >= CUT_MS:
                self._cut_ms = now
                self.limit = max(LEAST, CUT * self.limit)
        elif not late:
            self.limit = min(MOST, self.limit + GROW / self.limit)
