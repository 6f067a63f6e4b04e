"""Who takes part: SWIM (Das, Gupta, Motivala 2002), with Lifeguard's patience of nodes that are slow themselves (Dadgar et al. 2018).

Invariant: a node's entry moves only towards newer incarnations, and within one only as the table says; nobody but the node itself makes it
a newer one. What is decided by membership costs placement and time, never a rule: leases hold without it (`lending`).

| state | who is in it | becomes | when |
|---|---|---|---|
| unknown | never heard of | alive | heard, or told of |
| alive | heard of, and nothing is against it | suspect | one period without an answer, neither to us nor by RELAYS others; or told |
| suspect | did not answer somebody | alive | it is heard itself, or is told of with a newer incarnation (it refutes) |
| | | dead | SUSPICION periods have passed, longer the larger the tier and the slower we are; or told |
| dead | did not refute | alive | heard itself, or told of with a newer incarnation |
| left | said so, ending in order | alive | heard itself, or told of with a newer incarnation |

Each period a node asks one other, each in turn in an order drawn anew for each round, so that within 2n - 1 periods everybody asks
everybody (section 4.3), and the first question to one that died comes after 1.6 periods in the mean. News of a change goes out with
SPREAD x log2(n + 1) datagrams that are sent anyway, the newest first. A joining node asks JOIN a period, and answers to it are filled
with what is known of others. One of those that are not there is asked each GONE_EVERY periods, so that halves of a cut find one another.

Slow is not dead: a node that did not come to its own tick in time (it stood still, or had no CPU) takes back the question that is
out, and judges by (1 + slowness) times the time, up to SLOWEST; an answer in time makes it quicker again.

Incarnations: the start in Unix seconds, or one more than whatever is heard of oneself that is not older (a clock set back, a quick restart,
a suspicion that is refuted). A token that changes within an incarnation tells of another process as well.

Bounds: an entry of six numbers a node; a datagram or two a period out and as many in, whatever the size, at most MOST bytes each.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import log2, log10
from typing import Literal

from forkweir.tier.wire import NEWS, News

Standing = Literal["alive", "suspect", "dead", "left", "unknown"]
STATES: tuple[Standing, ...] = ("alive", "suspect", "dead", "left")
"""On the wire by their places; of one incarnation the later goes before the earlier."""
RELAYS = 3
ASK_AGAIN = 0.4  # of a period without an answer: others are asked to ask
SUSPICION = 3.0  # periods, times log10(n), at least this many
SPREAD = 3.0
JOIN = 3  # questions a period of a node that joins,
JOIN_PERIODS = 8  # for so many of them
GONE_EVERY = 4
SLOWEST = 4
LATE = 1.5  # periods between two ticks: this node stood still


@dataclass(slots=True)
class Entry:
    """What is known of one node."""

    state: Standing = "unknown"
    incarnation: int = 0
    token: int = 0
    since_ms: float = 0.0  # of its state
    heard_ms: float = -1e12  # from itself
    untold: int = 0  # datagrams that are still to carry this


@dataclass(frozen=True, slots=True)
class Question:
    """What is to be asked. relay: by whom, -1 where we ask ourselves."""

    to: int
    number: int
    relay: int = -1


@dataclass(slots=True)
class _Out:
    to: int
    number: int
    sent_ms: float
    relayed: bool = False


class Members:
    """One node's picture of the tier. Times in ms of one monotonic clock."""

    def __init__(
        self, slot: int, count: int, incarnation: int, seed: int, period_ms: float, now: float
    ) -> None:
        self.slot = slot
        self.count = count
        self.incarnation = incarnation
        self.period_ms = period_ms
        self.entries = [Entry() for _ in range(count)]
        self.entries[slot] = Entry("alive", incarnation, 0, now, now, self._spread)
        self.slowness = 0
        self.on_change: Callable[[int, Standing, float], None] = lambda slot, state, now: None
        self._random = random.Random(f"members/{seed}/{slot}")
        self._round: list[int] = []
        self._gone: list[int] = []
        self._out: dict[int, _Out] = {}  # by number
        self._number = 0
        self._next_ms = now
        self._last_ms = now
        self._periods = 0
        self._cursor = slot
        self._suspects: dict[int, float] = {}  # since when

    @property
    def _spread(self) -> int:
        return int(SPREAD * log2(self.count + 1)) + 1

    @property
    def suspicion_ms(self) -> float:
        """How long a suspect has to refute."""
        return (
            self.period_ms * SUSPICION * max(1.0, log10(self.count)) * (1.0 + 0.5 * self.slowness)
        )

    @property
    def joining(self) -> bool:
        """Whether this node still gets to know the others: at its start, and as long as it knows nobody."""
        return self._periods <= JOIN_PERIODS or not any(
            entry.state in ("alive", "suspect")
            for slot, entry in enumerate(self.entries)
            if slot != self.slot
        )

    def state(self, slot: int) -> Standing:
        """What a node is to this one."""
        return self.entries[slot].state

    def there(self) -> list[int]:
        """Those that take part, this one among them, in the order of their numbers. A suspect does until it is dead."""
        return [
            slot for slot, entry in enumerate(self.entries) if entry.state in ("alive", "suspect")
        ]

    # -- what comes ----------------------------------------------------------------------

    def heard(self, slot: int, incarnation: int, token: int, now: float) -> bool:
        """A datagram came from a node itself; whether it is of a process that is not older than what is known."""
        entry = self.entries[slot]
        if slot == self.slot or incarnation < entry.incarnation:
            return False
        if entry.state != "alive" or incarnation > entry.incarnation or token != entry.token:
            self._move(slot, "alive", incarnation, now)
        entry.token, entry.heard_ms = token, now
        return True

    def told(self, news: tuple[News, ...], now: float) -> None:
        """Another node's news."""
        for slot, incarnation, code in news:
            if slot >= self.count:
                continue
            if slot == self.slot:
                # Of oneself, and not from oneself: of an earlier process, or a suspicion.
                if incarnation > self.incarnation or (incarnation == self.incarnation and code):
                    self.incarnation = min(incarnation + 1, 0xFFFFFFFF)
                    entry = self.entries[slot]
                    entry.incarnation, entry.untold = self.incarnation, self._spread
                continue
            entry, state = self.entries[slot], STATES[code]
            known = entry.state != "unknown"
            if known and (
                incarnation < entry.incarnation
                or (incarnation == entry.incarnation and code <= STATES.index(entry.state))
            ):
                continue
            self._move(slot, state, incarnation, now)

    def answered(self, number: int) -> None:
        """An answer to one of our questions came."""
        if self._out.pop(number, None) is not None:
            self.slowness = max(0, self.slowness - 1)

    def left(self, slot: int, incarnation: int, now: float) -> None:
        """A node says that it ends in order."""
        if incarnation >= self.entries[slot].incarnation and slot != self.slot:
            self._move(slot, "left", incarnation, now)

    def _move(self, slot: int, state: Standing, incarnation: int, now: float) -> None:
        entry = self.entries[slot]
        changed = state != entry.state
        entry.state, entry.incarnation, entry.since_ms = state, incarnation, now
        entry.untold = self._spread
        if state == "suspect":
            self._suspects.setdefault(slot, now)
        else:
            self._suspects.pop(slot, None)
        if changed:
            self.on_change(slot, state, now)

    # -- what goes -----------------------------------------------------------------------

    def tick(self, now: float) -> list[Question]:
        """Time has passed; what to ask now."""
        stood_still = now - self._last_ms > LATE * self.period_ms
        self._last_ms = now
        if stood_still:
            self.slowness = min(SLOWEST, self.slowness + 2)
            self._out.clear()  # the answers may wait in our own socket
            for slot in self._suspects:
                self._suspects[slot] = now
        questions = []
        for out in list(self._out.values()):
            waited = now - out.sent_ms
            if waited >= self.period_ms * (1.0 + 0.5 * self.slowness):
                del self._out[out.number]
                if self.entries[out.to].state == "alive":
                    self.slowness = min(SLOWEST, self.slowness + 1)
                    self._move(out.to, "suspect", self.entries[out.to].incarnation, now)
            elif not out.relayed and waited >= ASK_AGAIN * self.period_ms:
                out.relayed = True
                others = [s for s in self.there() if s not in (self.slot, out.to)]
                for other in self._random.sample(others, min(RELAYS, len(others))):
                    questions.append(Question(out.to, out.number, other))
        for slot, since in list(self._suspects.items()):
            if now - since >= self.suspicion_ms:
                self._move(slot, "dead", self.entries[slot].incarnation, now)
        if now >= self._next_ms:
            self._next_ms = max(self._next_ms + self.period_ms, now + 0.5 * self.period_ms)
            self._periods += 1
            for _ in range(JOIN if self.joining else 1):
                slot = self._next_of_round()
                if slot >= 0:
                    questions.append(self._ask(slot, now))
            if self._periods % GONE_EVERY == 0 and (slot := self._next_gone()) >= 0:
                questions.append(self._ask(slot, now))
        return questions

    def _ask(self, slot: int, now: float) -> Question:
        self._number += 1
        if self.entries[slot].state in ("alive", "suspect"):
            self._out[self._number] = _Out(slot, self._number, now)
        return Question(slot, self._number)

    def _next_of_round(self) -> int:
        """The next one to ask: each that takes part once a round, in a drawn order; while joining also those never heard of."""
        joining = self.joining
        for _ in range(2):
            while self._round:
                slot = self._round.pop()
                state = self.entries[slot].state
                if state in ("alive", "suspect") or (joining and state == "unknown"):
                    return slot
            self._round = [slot for slot in range(self.count) if slot != self.slot]
            self._random.shuffle(self._round)
        return -1

    def _next_gone(self) -> int:
        for _ in range(2):
            while self._gone:
                slot = self._gone.pop()
                if self.entries[slot].state not in ("alive", "suspect"):
                    return slot
            self._gone = [slot for slot in range(self.count) if slot != self.slot]
            self._random.shuffle(self._gone)
        return -1

    def news(self, to: int, full: bool = False) -> tuple[News, ...]:
        """What goes with a datagram to a node: that it is suspected or thought dead, what is new; in full the rest too, in turn."""
        entry = self.entries[to]
        chosen: dict[int, News] = {}
        if entry.state in ("suspect", "dead"):
            chosen[to] = (to, entry.incarnation, STATES.index(entry.state))
        fresh = sorted(
            (slot for slot, entry in enumerate(self.entries) if entry.untold > 0),
            key=lambda s: -self.entries[s].untold,
        )
        for slot in fresh[:NEWS]:
            if len(chosen) < NEWS and slot != to:
                self.entries[slot].untold -= 1
                chosen[slot] = self._of(slot)
        if full:
            for slot in self._others(to):
                if len(chosen) >= NEWS:
                    break
                chosen.setdefault(slot, self._of(slot))
        return tuple(chosen.values())

    def _of(self, slot: int) -> News:
        entry = self.entries[slot]
        return slot, entry.incarnation, STATES.index(entry.state)

    def _others(self, to: int) -> Iterator[int]:
        for _ in range(self.count):
            self._cursor = (self._cursor + 1) % self.count
            if self._cursor != to and self.entries[self._cursor].state != "unknown":
                yield self._cursor
