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

from forkweir.tier.wire import MAX_UPDATES, MemberUpdate

MemberState = Literal["alive", "suspect", "dead", "left", "unknown"]
STATES: tuple[MemberState, ...] = ("alive", "suspect", "dead", "left")
"""On the wire by their places; of one incarnation the later goes before the earlier."""
RELAY_COUNT = 3
RELAY_AFTER_PERIODS = 0.4  # of a period without an answer: others are asked to ask
SUSPICION_PERIODS = 3.0  # periods, times log10(n), at least this many
GOSSIP_FACTOR = 3.0
JOIN_PROBES = 3  # questions a period of a node that joins,
JOIN_PERIODS = 8  # for so many of them
ABSENT_PROBE_PERIODS = 4
MAX_SLOWNESS = 4
STALL_PERIODS = 1.5  # periods between two ticks: this node stood still


@dataclass(slots=True)
class MemberEntry:
    """What is known of one node."""

    state: MemberState = "unknown"
    incarnation: int = 0
    token: int = 0
    since_ms: float = 0.0  # of its state
    heard_ms: float = -1e12  # from itself
    sends_left: int = 0  # datagrams that are still to carry this


@dataclass(frozen=True, slots=True)
class Probe:
    """What is to be asked. relay: by whom, -1 where we ask ourselves."""

    to: int
    number: int
    relay: int = -1


@dataclass(slots=True)
class _PendingProbe:
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
        self.entries = [MemberEntry() for _ in range(count)]
        self.entries[slot] = MemberEntry("alive", incarnation, 0, now, now, self._sends_per_update)
        self.slowness = 0
        self.on_change: Callable[[int, MemberState, float], None] = lambda slot, state, now: None
        self._random = random.Random(f"members/{seed}/{slot}")
        self._round: list[int] = []
        self._absent_round: list[int] = []
        self._pending: dict[int, _PendingProbe] = {}  # by number
        self._probe_number = 0
        self._next_probe_ms = now
        self._last_tick_ms = now
        self._periods = 0
        self._cursor = slot
        self._suspected_ms: dict[int, float] = {}  # since when

    @property
    def _sends_per_update(self) -> int:
        return int(GOSSIP_FACTOR * log2(self.count + 1)) + 1

    @property
    def suspicion_ms(self) -> float:
        """How long a suspect has to refute."""
        return (
            self.period_ms
            * SUSPICION_PERIODS
            * max(1.0, log10(self.count))
            * (1.0 + 0.5 * self.slowness)
        )

    @property
    def joining(self) -> bool:
        """Whether this node still gets to know the others: at its start, and as long as it knows nobody."""
        return self._periods <= JOIN_PERIODS or not any(
            entry.state in ("alive", "suspect")
            for slot, entry in enumerate(self.entries)
            if slot != self.slot
        )

    def state(self, slot: int) -> MemberState:
        """What a node is to this one."""
        return self.entries[slot].state

    def participants(self) -> list[int]:
        """Those that take part, this one among them, in the order of their numbers. A suspect does until it is dead."""
        return [
            slot for slot, entry in enumerate(self.entries) if entry.state in ("alive", "suspect")
        ]

    # -- what comes ----------------------------------------------------------------------

    def on_datagram(self, slot: int, incarnation: int, token: int, now: float) -> bool:
        """A datagram came from a node itself; whether it is of a process that is not older than what is known."""
        entry = self.entries[slot]
        if slot == self.slot or incarnation < entry.incarnation:
            return False
        if entry.state != "alive" or incarnation > entry.incarnation or token != entry.token:
            self._move(slot, "alive", incarnation, now)
        entry.token, entry.heard_ms = token, now
        return True

    def apply_updates(self, updates: tuple[MemberUpdate, ...], now: float) -> None:
        """Another node's news."""
        for slot, incarnation, code in updates:
            if slot >= self.count:
                continue
            if slot == self.slot:
                # Of oneself, and not from oneself: of an earlier process, or a suspicion.
                if incarnation > self.incarnation or (incarnation == self.incarnation and code):
                    self.incarnation = min(incarnation + 1, 0xFFFFFFFF)
                    entry = self.entries[slot]
                    entry.incarnation, entry.sends_left = self.incarnation, self._sends_per_update
                continue
            entry, state = self.entries[slot], STATES[code]
            known = entry.state != "unknown"
            if known and (
                incarnation < entry.incarnation
                or (incarnation == entry.incarnation and code <= STATES.index(entry.state))
            ):
                continue
            self._move(slot, state, incarnation, now)

    def on_ack(self, number: int) -> None:
        """An answer to one of our questions came."""
        if self._pending.pop(number, None) is not None:
            self.slowness = max(0, self.slowness - 1)

    def on_leave(self, slot: int, incarnation: int, now: float) -> None:
        """A node says that it ends in order."""
        if incarnation >= self.entries[slot].incarnation and slot != self.slot:
            self._move(slot, "left", incarnation, now)

    def _move(self, slot: int, state: MemberState, incarnation: int, now: float) -> None:
        entry = self.entries[slot]
        changed = state != entry.state
        entry.state, entry.incarnation, entry.since_ms = state, incarnation, now
        entry.sends_left = self._sends_per_update
        if state == "suspect":
            self._suspected_ms.setdefault(slot, now)
        else:
            self._suspected_ms.pop(slot, None)
        if changed:
            self.on_change(slot, state, now)

    # -- what goes -----------------------------------------------------------------------

    def tick(self, now: float) -> list[Probe]:
        """Time has passed; what to ask now."""
        stalled = now - self._last_tick_ms > STALL_PERIODS * self.period_ms
        self._last_tick_ms = now
        if stalled:
            self.slowness = min(MAX_SLOWNESS, self.slowness + 2)
            self._pending.clear()  # the answers may wait in our own socket
            for slot in self._suspected_ms:
                self._suspected_ms[slot] = now
        probes = []
        for pending in list(self._pending.values()):
            waited = now - pending.sent_ms
            if waited >= self.period_ms * (1.0 + 0.5 * self.slowness):
                del self._pending[pending.number]
                if self.entries[pending.to].state == "alive":
                    self.slowness = min(MAX_SLOWNESS, self.slowness + 1)
                    self._move(pending.to, "suspect", self.entries[pending.to].incarnation, now)
            elif not pending.relayed and waited >= RELAY_AFTER_PERIODS * self.period_ms:
                pending.relayed = True
                others = [s for s in self.participants() if s not in (self.slot, pending.to)]
                for other in self._random.sample(others, min(RELAY_COUNT, len(others))):
                    probes.append(Probe(pending.to, pending.number, other))
        for slot, since in list(self._suspected_ms.items()):
            if now - since >= self.suspicion_ms:
                self._move(slot, "dead", self.entries[slot].incarnation, now)
        if now >= self._next_probe_ms:
            self._next_probe_ms = max(
                self._next_probe_ms + self.period_ms, now + 0.5 * self.period_ms
            )
            self._periods += 1
            for _ in range(JOIN_PROBES if self.joining else 1):
                slot = self._next_of_round()
                if slot >= 0:
                    probes.append(self._start_probe(slot, now))
            if self._periods % ABSENT_PROBE_PERIODS == 0 and (slot := self._next_absent()) >= 0:
                probes.append(self._start_probe(slot, now))
        return probes

    def _start_probe(self, slot: int, now: float) -> Probe:
        self._probe_number += 1
        if self.entries[slot].state in ("alive", "suspect"):
            self._pending[self._probe_number] = _PendingProbe(slot, self._probe_number, now)
        return Probe(slot, self._probe_number)

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

    def _next_absent(self) -> int:
        for _ in range(2):
            while self._absent_round:
                slot = self._absent_round.pop()
                if self.entries[slot].state not in ("alive", "suspect"):
                    return slot
            self._absent_round = [slot for slot in range(self.count) if slot != self.slot]
            self._random.shuffle(self._absent_round)
        return -1

    def updates_for(self, to: int, full: bool = False) -> tuple[MemberUpdate, ...]:
        """What goes with a datagram to a node: that it is suspected or thought dead, what is new; in full the rest too, in turn."""
        entry = self.entries[to]
        chosen: dict[int, MemberUpdate] = {}
        if entry.state in ("suspect", "dead"):
            chosen[to] = (to, entry.incarnation, STATES.index(entry.state))
        newest = sorted(
            (slot for slot, entry in enumerate(self.entries) if entry.sends_left > 0),
            key=lambda s: -self.entries[s].sends_left,
        )
        for slot in newest[:MAX_UPDATES]:
            if len(chosen) < MAX_UPDATES and slot != to:
                self.entries[slot].sends_left -= 1
                chosen[slot] = self._update_of(slot)
        if full:
            for slot in self._known_except(to):
                if len(chosen) >= MAX_UPDATES:
                    break
                chosen.setdefault(slot, self._update_of(slot))
        return tuple(chosen.values())

    def _update_of(self, slot: int) -> MemberUpdate:
        entry = self.entries[slot]
        return slot, entry.incarnation, STATES.index(entry.state)

    def _known_except(self, to: int) -> Iterator[int]:
        for _ in range(self.count):
            self._cursor = (self._cursor + 1) % self.count
            if self._cursor != to and self.entries[self._cursor].state != "unknown":
                yield self._cursor
