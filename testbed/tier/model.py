"""The tier's protocol alone: many `Tier`s over a faulty network, each on a clock of its own.

The network loses, delays, duplicates and reorders datagrams, and is partitioned.

No sockets, no requests: what is drawn here are the faults that leases must bear, at sizes and in
numbers that whole nodes do not reach. Times in real ms; each process reads them on a clock that is
off by up to an hour and runs up to `leases.MAX_CLOCK_DRIFT` fast or slow.

The invariant is checked whenever a lease is taken, which is the only moment at which a sum can
rise: over all processes that live or stand still, by their own clocks, the shares of each limit sum
to TOTAL_SHARES at most.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any, Literal, Optional

from forkweir.tier.demand import FETCHES_LIMIT_ID, Demand
from forkweir.tier.leases import MAX_CLOCK_DRIFT, TOTAL_SHARES, Lease
from forkweir.tier.members import MemberState
from forkweir.tier.options import TICKS_PER_PERIOD, Options
from forkweir.tier.tier import Tier

SOCKET = 200  # datagrams that wait in a socket that nobody reads
BOUNDS = (FETCHES_LIMIT_ID, 11, 12)
UNIX_S = 1_764_547_200
USUAL = Options()

Kind = Literal[
    "kill",
    "pause",
    "cut",
    "one_way",
    "loss",
    "storm",
    "late",
    "lie",
    "leave",
    "clock_back",
    "stranger",
    "half",
]
KINDS: tuple[Kind, ...] = Kind.__args__  # type: ignore[attr-defined]


@dataclass(frozen=True, slots=True)
class Trouble:
    """What happens when, to whom, for how long and how much."""

    at_ms: float
    kind: Kind
    nodes: tuple[int, ...]
    for_ms: float
    value: float = 0.0


@dataclass(slots=True)
class Script:
    """One random scenario of the protocol."""

    nodes: int
    seconds: float
    loss: float = 0.0
    delay_ms: float = 1.0
    double: float = 0.0
    drift: float = MAX_CLOCK_DRIFT
    skewed: bool = True
    troubles: list[Trouble] = field(default_factory=list)
    demands: str = "even"  # even, uneven, changing


@dataclass(slots=True)
class Links:
    """What the network does to a datagram from one node to another."""

    loss: float
    delay_ms: float
    double: float
    late: float = 0.0  # share that comes up to a minute late
    cut: int = 0  # how many troubles cut it


class Wanted(Demand):
    """Demand that is given and not counted."""

    __slots__ = ("given",)

    def above_floor(self, now: float) -> list[tuple[int, float]]:
        return sorted(self.given.items(), key=lambda want: -want[1])

    given: dict[int, float]


class Node:
    """One process of a node, with its clock."""

    def __init__(self, night: Night, slot: int, wall_s: int, offset_ms: float, rate: float) -> None:
        self.night = night
        self.offset_ms = offset_ms
        self.rate = rate
        self.state = "running"
        self.inbox: list[tuple[int, bytes]] = []
        self.tier = Tier(
            slot, night.script.nodes, night.rng.getrandbits(48), wall_s, self.now, night.options
        )
        claims = Wanted(night.options.floor, self.tier.allocator.held_leases)
        claims.own_work, claims.own_fetches = 1.0, 8.0
        claims.given = {}
        self.tier.demand = claims
        self.claims = claims
        self.tier.allocator.held_leases.on_lease = self._taken
        self.tier.members.on_change = self._changed

    @property
    def now(self) -> float:
        """Its own monotonic clock."""
        return self.offset_ms + self.rate * self.night.now

    def holds(self, bound: int) -> int:
        """The parts that it believes it may spend now."""
        lease = self.tier.allocator.held_leases.lease(bound, self.now)
        return lease.shares if lease is not None else 0

    def _taken(self, bound: int, lease: Lease, now: float) -> None:
        self.night.check(bound)

    def _changed(self, slot: int, state: MemberState, now: float) -> None:
        self.night.on_change(self.tier.slot, slot, state)


class Night:
    """A scenario of a script and a seed; the same to the byte each time."""

    def __init__(self, script: Script, seed: int, options: Options = USUAL) -> None:
        self.script = script
        self.options = options
        self.rng = random.Random(f"tier night/{seed}")
        self.now = 0.0
        self.failures: list[str] = []
        self.sent_bytes = 0
        self.datagrams = 0
        self.most: dict[int, int] = dict.fromkeys(BOUNDS, 0)
        self.on_change: Callable[[int, int, MemberState], None] = lambda by, slot, state: None
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0
        n = script.nodes
        self.links = {
            (a, b): Links(script.loss, script.delay_ms, script.double)
            for a in range(n)
            for b in range(n)
            if a != b
        }
        self.nodes: list[Node] = []
        self.all: list[Node] = []  # also those that are gone
        for slot in range(n):
            self.nodes.append(self._start(slot))
        for trouble in script.troubles:
            self.after(trouble.at_ms, self._trouble, trouble)
        if script.demands == "changing":
            self.after(self.rng.uniform(500.0, 3_000.0), self._change)

    # -- the world -----------------------------------------------------------------------

    def after(self, ms: float, action: Callable[..., None], *args: Any) -> None:
        """Call back after so long."""
        self._count += 1
        heappush(self._events, (self.now + ms, self._count, action, args))

    def run(self, until_ms: Optional[float] = None) -> Night:
        """Play to the end, or up to a time."""
        end = self.script.seconds * 1000.0 if until_ms is None else until_ms
        while self._events and self._events[0][0] <= end:
            self.now, _, action, args = heappop(self._events)
            action(*args)
        self.now = end
        return self

    def alive(self) -> list[Node]:
        """Those that run or stand still."""
        return [node for node in self.nodes if node.state != "gone"]

    def check(self, bound: int) -> None:
        """The invariant, for one bound."""
        total = sum(node.holds(bound) for node in self.all if node.state != "gone")
        if total > self.most.get(bound, 0):
            self.most[bound] = total
        if total > TOTAL_SHARES:
            self.failures.append(
                f"{self.now / 1000.0:.3f} s: bound {bound}: {total} parts are held of {TOTAL_SHARES}"
            )

    def _start(self, slot: int, wall_s: Optional[int] = None) -> Node:
        script, rng = self.script, self.rng
        wall = (
            UNIX_S + int(self.now / 1000.0) + (rng.randrange(-30, 31) if script.skewed else 0)
            if wall_s is None
            else wall_s
        )
        offset = rng.uniform(0.0, 3_600_000.0) if script.skewed else 0.0
        node = Node(
            self,
            slot,
            wall,
            offset,
            1.0 + (rng.choice((-1.0, 0.0, 1.0, rng.uniform(-1.0, 1.0))) * script.drift),
        )
        self._demand(node)
        self.all.append(node)
        self.after(rng.uniform(0.0, self._tick_ms), self._tick, node)
        return node

    def _demand(self, node: Node) -> None:
        """What a node wants of each bound."""
        if self.script.demands == "even":
            node.claims.given = dict.fromkeys(BOUNDS, 50.0)
        else:
            node.claims.given = {
                bound: self.rng.choice((0.0, 0.1, 1.0, 5.0, 200.0)) for bound in BOUNDS
            }
            node.claims.given = {
                bound: amount for bound, amount in node.claims.given.items() if amount
            }

    def _change(self) -> None:
        for node in self.alive():
            if self.rng.random() < 0.5:
                self._demand(node)
        self.after(self.rng.uniform(500.0, 3_000.0), self._change)

    @property
    def _tick_ms(self) -> float:
        return self.options.period_ms / TICKS_PER_PERIOD

    def _tick(self, node: Node) -> None:
        if node.state == "gone":
            return
        if node.state == "running":
            self._send(node, node.tier.tick(node.now))
        self.after(self._tick_ms / node.rate, self._tick, node)

    def _send(self, node: Node, sends: list[tuple[int, bytes]]) -> None:
        rng, source = self.rng, node.tier.slot
        for to, data in sends:
            self.sent_bytes += len(data)
            self.datagrams += 1
            link = self.links[source, to]
            for _ in range(1 + (link.double > 0.0 and rng.random() < link.double)):
                if link.cut or (link.loss and rng.random() < link.loss):
                    continue
                delay = rng.expovariate(1.0 / link.delay_ms)
                if link.late and rng.random() < link.late:
                    delay += rng.choice((300.0, 2_500.0, 5_000.0, 60_000.0)) * rng.random()
                self.after(delay, self._arrive, source, to, data)

    def _arrive(self, source: int, to: int, data: bytes) -> None:
        node = self.nodes[to]
        if node.state == "paused":
            if len(node.inbox) < SOCKET:
                node.inbox.append((source, data))
        elif node.state == "running":
            self._send(node, node.tier.receive(source, data, node.now))

    # -- troubles ------------------------------------------------------------------------

    def _trouble(self, trouble: Trouble) -> None:
        getattr(self, f"_do_{trouble.kind}")(trouble)

    def _kill(self, slot: int) -> None:
        self.nodes[slot].state = "gone"

    def _revive(self, slot: int, wall_s: Optional[int] = None) -> None:
        if self.nodes[slot].state == "gone":
            self.nodes[slot] = self._start(slot, wall_s)

    def _do_kill(self, trouble: Trouble) -> None:
        for slot in trouble.nodes:
            self._kill(slot)
            if trouble.for_ms:
                self.after(trouble.for_ms, self._revive, slot)

    def _do_half(self, trouble: Trouble) -> None:
        """Half of the nodes go at once, and stay away or come back together."""
        self._do_kill(
            Trouble(trouble.at_ms, "kill", tuple(range(self.script.nodes // 2)), trouble.for_ms)
        )

    def _do_clock_back(self, trouble: Trouble) -> None:
        """Killed, and back with a wall clock that is set back."""
        for slot in trouble.nodes:
            self._kill(slot)
            self.after(trouble.for_ms, self._revive, slot, UNIX_S - 86_400)

    def _do_pause(self, trouble: Trouble) -> None:
        for slot in trouble.nodes:
            node = self.nodes[slot]
            if node.state == "running":
                node.state = "paused"
                self.after(trouble.for_ms, self._resume, node)

    def _resume(self, node: Node) -> None:
        if node.state != "paused":
            return
        node.state = "running"
        waiting, node.inbox = node.inbox, []
        for source, data in waiting:
            self._send(node, node.tier.receive(source, data, node.now))

    def _between(self, trouble: Trouble, both: bool) -> list[Links]:
        """Links from these nodes to the others, and back."""
        inside = set(trouble.nodes)
        return [
            link
            for (a, b), link in self.links.items()
            if (a in inside) != (b in inside) and (both or a in inside)
        ]

    def _cut(self, links: list[Links], for_ms: float) -> None:
        for link in links:
            link.cut += 1

        def join() -> None:
            for link in links:
                link.cut -= 1

        self.after(for_ms, join)

    def _do_cut(self, trouble: Trouble) -> None:
        self._cut(self._between(trouble, True), trouble.for_ms)

    def _do_one_way(self, trouble: Trouble) -> None:
        self._cut(self._between(trouble, False), trouble.for_ms)

    def _for_all(self, trouble: Trouble, name: str, value: float) -> None:
        before = {"loss": self.script.loss, "double": self.script.double, "late": 0.0}[name]
        for link in self.links.values():
            setattr(link, name, value)

        def end() -> None:
            for link in self.links.values():
                setattr(link, name, before)

        self.after(trouble.for_ms, end)

    def _do_loss(self, trouble: Trouble) -> None:
        self._for_all(trouble, "loss", trouble.value)

    def _do_storm(self, trouble: Trouble) -> None:
        self._for_all(trouble, "double", 0.9)

    def _do_late(self, trouble: Trouble) -> None:
        self._for_all(trouble, "late", trouble.value)

    def _do_lie(self, trouble: Trouble) -> None:
        """A node says that it wants without end, and takes without end by itself."""
        for slot in trouble.nodes:
            claims = self.nodes[slot].claims
            claims.given = dict.fromkeys(BOUNDS, float("inf"))
            claims.own_work = float("inf")

    def _do_leave(self, trouble: Trouble) -> None:
        for slot in trouble.nodes:
            node = self.nodes[slot]
            if node.state == "running":
                self._send(node, node.tier.leave(node.now))
                self._kill(slot)
                self.after(trouble.for_ms, self._revive, slot)

    def _do_stranger(self, trouble: Trouble) -> None:
        """Send invalid datagrams.

        They are malformed, from unknown senders, of other tiers, truncated, too long, or in
        another node's name.
        """
        other = Options(floor=0.25)
        for slot in trouble.nodes:
            node = self.nodes[slot]
            if node.state != "running":
                continue
            foreign = Tier((slot + 1) % self.script.nodes, self.script.nodes, 1, 1, node.now, other)
            good = self.nodes[(slot + 1) % self.script.nodes].tier.leave(node.now) or [
                (slot, b"\x00")
            ]
            for sender, data in (
                (-1, good[0][1]), (slot, good[0][1]), ((slot + 1) % self.script.nodes, good[0][1][:-3]),
                ((slot + 2) % self.script.nodes, good[0][1]), (0, b""), (0, b"\xc1" * 65_507), (0, self.rng.randbytes(200)),
                *(((slot + 1) % self.script.nodes, data) for _, data in foreign.tick(node.now + 1e6)),
            ):  # fmt: skip
                self._send(node, node.tier.receive(sender, data, node.now))


def draw(seed: int) -> Script:
    """The script of a seed: 2 to 13 nodes, 12 to 25 s, up to eight troubles that overlap."""
    rng = random.Random(f"tier script/{seed}")
    nodes = rng.choice((2, 3, 3, 4, 5, 6, 8, 13))
    script = Script(
        nodes=nodes,
        seconds=rng.choice((12.0, 18.0, 25.0)),
        loss=rng.choice((0.0, 0.0, 0.05, 0.3)),
        delay_ms=rng.choice((0.3, 2.0, 20.0, 120.0)),
        double=rng.choice((0.0, 0.0, 0.1, 0.5)),
        demands=rng.choice(("even", "uneven", "changing", "changing")),
    )
    for _ in range(rng.choice((0, 1, 2, 3, 4, 6, 8))):
        some = tuple(rng.sample(range(nodes), rng.randint(1, max(1, nodes // 2))))
        for_ms = rng.choice((100.0, 900.0, 2_000.0, 3_000.0, 6_000.0))
        value = rng.choice((0.05, 0.3, 0.6))
        script.troubles.append(
            Trouble(
                rng.uniform(100.0, script.seconds * 900.0), rng.choice(KINDS), some, for_ms, value
            )
        )
    return script


def play(seed: int) -> list[str]:
    """Run one random scenario; return what broke."""
    return Night(draw(seed), seed).run().failures
