"""Membership of the tier by SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar et al. 2018).

Lifeguard allows for nodes that are slow themselves.

Invariant: a node's entry moves only towards newer incarnations, and within one only as the table
says; only the node itself raises its incarnation. Membership affects placement and timing but never
correctness: leases hold without it (`leases`).

| state | who is in it | becomes | when |
|---|---|---|---|
| unknown | no information yet | alive | a datagram or an update about it comes |
| alive | it answers | suspect | a period without an ack, direct or relayed; or an update |
| suspect | did not answer some node | alive | a datagram from it, or a newer incarnation |
| | | dead | suspicion_ms have passed; or an update |
| dead | did not refute | alive | a datagram from it, or a newer incarnation |
| left | announced its shutdown | alive | a datagram from it, or a newer incarnation |

An ack may come directly or through RELAY_COUNT other nodes. A node refutes a suspicion by a newer
incarnation. suspicion_ms is longer the larger the tier and the slower this node is.

In each period a node probes one other, in an order drawn anew for each round, so that within 2n - 1
periods every node probes every other (section 4.3), and the first probe to a node that died is sent
after 1.6 periods in the mean. An update is piggybacked on GOSSIP_FACTOR x log2(n + 1) datagrams
that are sent anyway, the newest first. A joining node sends JOIN_PROBES probes a period, and the
acks to them are filled with what is known of others. One of the nodes that do not take part is
probed every ABSENT_PROBE_PERIODS, so that two halves of a network partition find one another again.

A slow node is not a dead one: a node whose own tick was late (it was stalled, or had no CPU) drops
its pending probes, and multiplies its timeouts by (1 + slowness / 2), with slowness up to
MAX_SLOWNESS; an ack in time lowers slowness again.

Incarnations: the start in Unix seconds, or one more than any incarnation that others report of this
node and that is not older (a clock set back, a quick restart, a suspicion that is refuted). A token
that changes within an incarnation also indicates another process.

Bounds: an entry of six numbers a node; a datagram or two a period out and as many in, whatever the
size of the tier, at most MAX_DATAGRAM_BYTES each.
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
"""On the wire by their index; within an incarnation a later state overrides an earlier one."""
RELAY_COUNT = 3
# Periods without an ack after which other nodes are asked to ping the target.
RELAY_AFTER_PERIODS = 0.4
# Minimum; multiplied by log10(n) in larger tiers.
SUSPICION_PERIODS = 3.0
# An update is sent with this many datagrams times log2(n + 1).
GOSSIP_FACTOR = 3.0
# Probes in each period while a node joins, and for how many periods at least.
JOIN_PROBES = 3
JOIN_PERIODS = 8
# Periods between two probes of nodes that do not take part.
ABSENT_PROBE_PERIODS = 4
MAX_SLOWNESS = 4
# With a longer time between two ticks, this process was stalled.
STALL_PERIODS = 1.5


@dataclass(slots=True)
class MemberEntry:
    """What is known of one node."""

    state: MemberState = "unknown"
    incarnation: int = 0
    token: int = 0  # of the node's process
    since_ms: float = 0.0  # when the state began
    last_contact_ms: float = -1e12  # last datagram from the node itself
    sends_left: int = 0  # datagrams that are still to carry this entry


@dataclass(frozen=True, slots=True)
class Probe:
    """A ping to send. relay: the node that is asked to send it, -1 to send it directly."""

    target: int
    number: int
    relay: int = -1


@dataclass(slots=True)
class _PendingProbe:
    target: int
    number: int
    sent_ms: float
    relayed: bool = False


class Members:
    """One node's view of the tier's membership. Times in ms of one monotonic clock."""

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
        self._suspected_ms: dict[int, float] = {}  # by slot

    @property
    def _sends_per_update(self) -> int:
        return int(GOSSIP_FACTOR * log2(self.count + 1)) + 1

    @property
    def suspicion_ms(self) -> float:
        """How long a suspect has to refute, in ms."""
        return (
            self.period_ms
            * SUSPICION_PERIODS
            * max(1.0, log10(self.count))
            * (1.0 + 0.5 * self.slowness)
        )

    @property
    def joining(self) -> bool:
        """Whether this node is still joining: at its start, and as long as it knows no other."""
        return self._periods <= JOIN_PERIODS or not any(
            entry.state in ("alive", "suspect")
            for slot, entry in enumerate(self.entries)
            if slot != self.slot
        )

    def state(self, slot: int) -> MemberState:
        """The state of a node as this one sees it."""
        return self.entries[slot].state

    def participants(self) -> list[int]:
        """The slots that take part, including this one, ascending. A suspect counts until dead."""
        return [
            slot for slot, entry in enumerate(self.entries) if entry.state in ("alive", "suspect")
        ]

    # -- input ---------------------------------------------------------------------------

    def on_datagram(self, slot: int, incarnation: int, token: int, now: float) -> bool:
        """A datagram came from a node itself; return whether its process is not an older one."""
        entry = self.entries[slot]
        if slot == self.slot or incarnation < entry.incarnation:
            return False
        if entry.state != "alive" or incarnation > entry.incarnation or token != entry.token:
            self._move(slot, "alive", incarnation, now)
        entry.token, entry.last_contact_ms = token, now
        return True

    def apply_updates(self, updates: tuple[MemberUpdate, ...], now: float) -> None:
        """Apply membership updates from another node."""
        for slot, incarnation, code in updates:
            if slot >= self.count:
                continue
            if slot == self.slot:
                # About this node: from an earlier process of it, or a suspicion to refute.
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
        """An ack to one of our probes came."""
        if self._pending.pop(number, None) is not None:
            self.slowness = max(0, self.slowness - 1)

    def on_leave(self, slot: int, incarnation: int, now: float) -> None:
        """A node announces its orderly shutdown."""
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

    # -- output --------------------------------------------------------------------------

    def tick(self, now: float) -> list[Probe]:
        """Advance to `now`; return the probes to send."""
        stalled = now - self._last_tick_ms > STALL_PERIODS * self.period_ms
        self._last_tick_ms = now
        if stalled:
            self.slowness = min(MAX_SLOWNESS, self.slowness + 2)
            self._pending.clear()  # the acks may be waiting in our own socket
            for slot in self._suspected_ms:
                self._suspected_ms[slot] = now
        probes = []
        for pending in list(self._pending.values()):
            waited = now - pending.sent_ms
            if waited >= self.period_ms * (1.0 + 0.5 * self.slowness):
                del self._pending[pending.number]
                if self.entries[pending.target].state == "alive":
                    self.slowness = min(MAX_SLOWNESS, self.slowness + 1)
                    self._move(
                        pending.target, "suspect", self.entries[pending.target].incarnation, now
                    )
            elif not pending.relayed and waited >= RELAY_AFTER_PERIODS * self.period_ms:
                pending.relayed = True
                others = [s for s in self.participants() if s not in (self.slot, pending.target)]
                for other in self._random.sample(others, min(RELAY_COUNT, len(others))):
                    probes.append(Probe(pending.target, pending.number, other))
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
        """The next slot to probe, -1 for none.

        Each participant once a round in random order; while joining, unknown nodes too.
        """
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

    def updates_for(self, recipient: int, full: bool = False) -> tuple[MemberUpdate, ...]:
        """The updates to send with a datagram to a node.

        First that the node itself is suspect or dead, then the newest updates; with `full` also
        the other entries in turn.
        """
        entry = self.entries[recipient]
        chosen: dict[int, MemberUpdate] = {}
        if entry.state in ("suspect", "dead"):
            chosen[recipient] = (recipient, entry.incarnation, STATES.index(entry.state))
        newest = sorted(
            (slot for slot, entry in enumerate(self.entries) if entry.sends_left > 0),
            key=lambda s: -self.entries[s].sends_left,
        )
        for slot in newest[:MAX_UPDATES]:
            if len(chosen) < MAX_UPDATES and slot != recipient:
                self.entries[slot].sends_left -= 1
                chosen[slot] = self._update_of(slot)
        if full:
            for slot in self._known_except(recipient):
                if len(chosen) >= MAX_UPDATES:
                    break
                chosen.setdefault(slot, self._update_of(slot))
        return tuple(chosen.values())

    def _update_of(self, slot: int) -> MemberUpdate:
        entry = self.entries[slot]
        return slot, entry.incarnation, STATES.index(entry.state)

    def _known_except(self, excluded: int) -> Iterator[int]:
        for _ in range(self.count):
            self._cursor = (self._cursor + 1) % self.count
            if self._cursor != excluded and self.entries[self._cursor].state != "unknown":
                yield self._cursor
