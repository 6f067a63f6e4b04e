"""Simulation of the tier's protocol alone: many `Tier`s on a faulty network.

Each has its own clock. The network loses, delays, duplicates and reorders datagrams, and is
partitioned.

There are no sockets and no requests: the simulation covers the faults that leases must tolerate, in
larger tiers and more scenarios than is feasible with complete nodes. Times are in real ms. The
clock of each process is off by up to an hour and runs up to `leases.MAX_CLOCK_DRIFT` fast or slow.

The invariant: for each limit, the shares held by all running and paused processes, each by its own
clock, sum to at most TOTAL_SHARES. It is checked whenever a process accepts a lease, as a sum can
only rise then.
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

# Datagrams that the socket of a paused process holds; further ones are dropped.
MAX_SOCKET_QUEUE = 200
LIMITS = (FETCHES_LIMIT_ID, 11, 12)
START_UNIX_S = 1_764_547_200
DEFAULT_OPTIONS = Options()

FaultKind = Literal[
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
FAULT_KINDS: tuple[FaultKind, ...] = FaultKind.__args__  # type: ignore[attr-defined]


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault. `nodes` are the slots that it affects.

    `value` depends on the kind: the probability that a datagram is lost or late.
    """

    at_ms: float
    kind: FaultKind
    nodes: tuple[int, ...]
    for_ms: float
    value: float = 0.0


@dataclass(slots=True)
class Script:
    """Size, network and faults of one scenario.

    loss, duplication: probabilities of each datagram. delay_ms: in the mean. drift: the largest
    relative error of a clock. skewed: whether clocks also differ by offsets.
    """

    nodes: int
    seconds: float
    loss: float = 0.0
    delay_ms: float = 1.0
    duplication: float = 0.0
    drift: float = MAX_CLOCK_DRIFT
    skewed: bool = True
    faults: list[Fault] = field(default_factory=list)
    demands: str = "even"  # even, uneven, changing


@dataclass(slots=True)
class Link:
    """The path of datagrams from one node to another."""

    loss: float
    delay_ms: float
    duplication: float
    late: float = 0.0  # fraction delayed by up to a minute
    cut: int = 0  # number of faults that cut it at present


class FixedDemand(Demand):
    """Demand that is set by the scenario instead of counted from requests."""

    __slots__ = ("amounts",)

    def above_floor(self, now: float) -> list[tuple[int, float]]:
        return sorted(self.amounts.items(), key=lambda entry: -entry[1])

    amounts: dict[int, float]


class Node:
    """One process of a node, with its own clock."""

    def __init__(
        self, scenario: Scenario, slot: int, wall_s: int, offset_ms: float, rate: float
    ) -> None:
        self.scenario = scenario
        self.offset_ms = offset_ms
        self.rate = rate
        self.state = "running"
        self.inbox: list[tuple[int, bytes]] = []
        self.tier = Tier(
            slot,
            scenario.script.nodes,
            scenario.rng.getrandbits(48),
            wall_s,
            self.now,
            scenario.options,
        )
        fixed_demand = FixedDemand(scenario.options.floor, self.tier.allocator.held_leases)
        fixed_demand.own_work, fixed_demand.own_fetches = 1.0, 8.0
        fixed_demand.amounts = {}
        self.tier.demand = fixed_demand
        self.fixed_demand = fixed_demand
        self.tier.allocator.held_leases.on_lease = self._on_lease
        self.tier.members.on_change = self._on_member_change

    @property
    def now(self) -> float:
        """The time on its monotonic clock."""
        return self.offset_ms + self.rate * self.scenario.now

    def held_shares(self, limit: int) -> int:
        """The shares that it may use now, by its own clock."""
        lease = self.tier.allocator.held_leases.lease(limit, self.now)
        return lease.shares if lease is not None else 0

    def _on_lease(self, limit: int, lease: Lease, now: float) -> None:
        self.scenario.check_limit(limit)

    def _on_member_change(self, slot: int, state: MemberState, now: float) -> None:
        self.scenario.on_change(self.tier.slot, slot, state)


class Scenario:
    """One run of a script; the same script and seed send the same bytes."""

    def __init__(self, script: Script, seed: int, options: Options = DEFAULT_OPTIONS) -> None:
        self.script = script
        self.options = options
        self.rng = random.Random(f"tier night/{seed}")
        self.now = 0.0
        self.failures: list[str] = []
        self.sent_bytes = 0
        self.datagrams = 0
        self.max_held: dict[int, int] = dict.fromkeys(LIMITS, 0)
        self.on_change: Callable[[int, int, MemberState], None] = lambda by, slot, state: None
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._event_count = 0
        n = script.nodes
        self.links = {
            (a, b): Link(script.loss, script.delay_ms, script.duplication)
            for a in range(n)
            for b in range(n)
            if a != b
        }
        self.nodes: list[Node] = []
        self.started_nodes: list[Node] = []  # all processes, stopped ones included
        for slot in range(n):
            self.nodes.append(self._start_node(slot))
        for fault in script.faults:
            self.schedule(fault.at_ms, self._apply_fault, fault)
        if script.demands == "changing":
            self.schedule(self.rng.uniform(500.0, 3_000.0), self._change_demand)

    # -- events and processes ------------------------------------------------------------

    def schedule(self, ms: float, action: Callable[..., None], *args: Any) -> None:
        """Call `action` after `ms`."""
        self._event_count += 1
        heappush(self._events, (self.now + ms, self._event_count, action, args))

    def run(self, until_ms: Optional[float] = None) -> Scenario:
        """Run to the end of the script, or up to a time."""
        end = self.script.seconds * 1000.0 if until_ms is None else until_ms
        while self._events and self._events[0][0] <= end:
            self.now, _, action, args = heappop(self._events)
            action(*args)
        self.now = end
        return self

    def alive(self) -> list[Node]:
        """The processes that run or are paused."""
        return [node for node in self.nodes if node.state != "gone"]

    def check_limit(self, limit: int) -> None:
        """Check the invariant for one limit."""
        total = sum(node.held_shares(limit) for node in self.started_nodes if node.state != "gone")
        if total > self.max_held.get(limit, 0):
            self.max_held[limit] = total
        if total > TOTAL_SHARES:
            self.failures.append(
                f"{self.now / 1000.0:.3f} s: limit {limit}: "
                f"{total} shares are held of {TOTAL_SHARES}"
            )

    def _start_node(self, slot: int, wall_s: Optional[int] = None) -> Node:
        script, rng = self.script, self.rng
        wall_clock_s = (
            START_UNIX_S + int(self.now / 1000.0) + (rng.randrange(-30, 31) if script.skewed else 0)
            if wall_s is None
            else wall_s
        )
        offset_ms = rng.uniform(0.0, 3_600_000.0) if script.skewed else 0.0
        node = Node(
            self,
            slot,
            wall_clock_s,
            offset_ms,
            1.0 + (rng.choice((-1.0, 0.0, 1.0, rng.uniform(-1.0, 1.0))) * script.drift),
        )
        self._draw_demand(node)
        self.started_nodes.append(node)
        self.schedule(rng.uniform(0.0, self._tick_ms), self._tick, node)
        return node

    def _draw_demand(self, node: Node) -> None:
        """Set a node's demand for each limit."""
        if self.script.demands == "even":
            node.fixed_demand.amounts = dict.fromkeys(LIMITS, 50.0)
        else:
            node.fixed_demand.amounts = {
                limit: self.rng.choice((0.0, 0.1, 1.0, 5.0, 200.0)) for limit in LIMITS
            }
            node.fixed_demand.amounts = {
                limit: amount for limit, amount in node.fixed_demand.amounts.items() if amount
            }

    def _change_demand(self) -> None:
        for node in self.alive():
            if self.rng.random() < 0.5:
                self._draw_demand(node)
        self.schedule(self.rng.uniform(500.0, 3_000.0), self._change_demand)

    @property
    def _tick_ms(self) -> float:
        return self.options.period_ms / TICKS_PER_PERIOD

    def _tick(self, node: Node) -> None:
        if node.state == "gone":
            return
        if node.state == "running":
            self._send(node, node.tier.tick(node.now))
        self.schedule(self._tick_ms / node.rate, self._tick, node)

    def _send(self, node: Node, sends: list[tuple[int, bytes]]) -> None:
        rng, source = self.rng, node.tier.slot
        for to, data in sends:
            self.sent_bytes += len(data)
            self.datagrams += 1
            link = self.links[source, to]
            for _ in range(1 + (link.duplication > 0.0 and rng.random() < link.duplication)):
                if link.cut or (link.loss and rng.random() < link.loss):
                    continue
                delay = rng.expovariate(1.0 / link.delay_ms)
                if link.late and rng.random() < link.late:
                    delay += rng.choice((300.0, 2_500.0, 5_000.0, 60_000.0)) * rng.random()
                self.schedule(delay, self._deliver, source, to, data)

    def _deliver(self, source: int, to: int, data: bytes) -> None:
        node = self.nodes[to]
        if node.state == "paused":
            if len(node.inbox) < MAX_SOCKET_QUEUE:
                node.inbox.append((source, data))
        elif node.state == "running":
            self._send(node, node.tier.receive(source, data, node.now))

    # -- faults --------------------------------------------------------------------------

    def _apply_fault(self, fault: Fault) -> None:
        getattr(self, f"_do_{fault.kind}")(fault)

    def _kill(self, slot: int) -> None:
        self.nodes[slot].state = "gone"

    def _restart(self, slot: int, wall_s: Optional[int] = None) -> None:
        if self.nodes[slot].state == "gone":
            self.nodes[slot] = self._start_node(slot, wall_s)

    def _do_kill(self, fault: Fault) -> None:
        for slot in fault.nodes:
            self._kill(slot)
            if fault.for_ms:
                self.schedule(fault.for_ms, self._restart, slot)

    def _do_half(self, fault: Fault) -> None:
        """Kill half of the nodes at once; after for_ms, if it is set, restart them together."""
        self._do_kill(
            Fault(fault.at_ms, "kill", tuple(range(self.script.nodes // 2)), fault.for_ms)
        )

    def _do_clock_back(self, fault: Fault) -> None:
        """Kill nodes and restart them with a wall clock a day before the scenario's start."""
        for slot in fault.nodes:
            self._kill(slot)
            self.schedule(fault.for_ms, self._restart, slot, START_UNIX_S - 86_400)

    def _do_pause(self, fault: Fault) -> None:
        for slot in fault.nodes:
            node = self.nodes[slot]
            if node.state == "running":
                node.state = "paused"
                self.schedule(fault.for_ms, self._resume, node)

    def _resume(self, node: Node) -> None:
        if node.state != "paused":
            return
        node.state = "running"
        queued, node.inbox = node.inbox, []
        for source, data in queued:
            self._send(node, node.tier.receive(source, data, node.now))

    def _links_across(self, fault: Fault, both_ways: bool) -> list[Link]:
        """The links from the nodes of a fault to the others, and those back."""
        group = set(fault.nodes)
        return [
            link
            for (a, b), link in self.links.items()
            if (a in group) != (b in group) and (both_ways or a in group)
        ]

    def _cut_links(self, links: list[Link], for_ms: float) -> None:
        for link in links:
            link.cut += 1

        def restore() -> None:
            for link in links:
                link.cut -= 1

        self.schedule(for_ms, restore)

    def _do_cut(self, fault: Fault) -> None:
        self._cut_links(self._links_across(fault, True), fault.for_ms)

    def _do_one_way(self, fault: Fault) -> None:
        self._cut_links(self._links_across(fault, False), fault.for_ms)

    def _set_all_links(self, fault: Fault, name: str, value: float) -> None:
        default = {"loss": self.script.loss, "duplication": self.script.duplication, "late": 0.0}[
            name
        ]
        for link in self.links.values():
            setattr(link, name, value)

        def end() -> None:
            for link in self.links.values():
                setattr(link, name, default)

        self.schedule(fault.for_ms, end)

    def _do_loss(self, fault: Fault) -> None:
        self._set_all_links(fault, "loss", fault.value)

    def _do_storm(self, fault: Fault) -> None:
        self._set_all_links(fault, "duplication", 0.9)

    def _do_late(self, fault: Fault) -> None:
        self._set_all_links(fault, "late", fault.value)

    def _do_lie(self, fault: Fault) -> None:
        """Nodes report unlimited demand and an unlimited own limit on work."""
        for slot in fault.nodes:
            fixed_demand = self.nodes[slot].fixed_demand
            fixed_demand.amounts = dict.fromkeys(LIMITS, float("inf"))
            fixed_demand.own_work = float("inf")

    def _do_leave(self, fault: Fault) -> None:
        for slot in fault.nodes:
            node = self.nodes[slot]
            if node.state == "running":
                self._send(node, node.tier.leave(node.now))
                self._kill(slot)
                self.schedule(fault.for_ms, self._restart, slot)

    def _do_stranger(self, fault: Fault) -> None:
        """Deliver invalid datagrams to nodes.

        They are malformed, empty, truncated or too long, come from an unknown sender or from
        another tier, or have a sender other than the node that they name.
        """
        other_options = Options(floor=0.25)
        for slot in fault.nodes:
            node = self.nodes[slot]
            if node.state != "running":
                continue
            foreign = Tier(
                (slot + 1) % self.script.nodes, self.script.nodes, 1, 1, node.now, other_options
            )
            valid = self.nodes[(slot + 1) % self.script.nodes].tier.leave(node.now) or [
                (slot, b"\x00")
            ]
            for sender, data in (
                (-1, valid[0][1]),
                (slot, valid[0][1]),
                ((slot + 1) % self.script.nodes, valid[0][1][:-3]),
                ((slot + 2) % self.script.nodes, valid[0][1]),
                (0, b""),
                (0, b"\xc1" * 65_507),
                (0, self.rng.randbytes(200)),
                *(
                    ((slot + 1) % self.script.nodes, data)
                    for _, data in foreign.tick(node.now + 1e6)
                ),
            ):
                self._send(node, node.tier.receive(sender, data, node.now))


def draw(seed: int) -> Script:
    """Draw the script of a seed: 2 to 13 nodes, 12 to 25 s, up to eight faults that overlap."""
    rng = random.Random(f"tier script/{seed}")
    nodes = rng.choice((2, 3, 3, 4, 5, 6, 8, 13))
    script = Script(
        nodes=nodes,
        seconds=rng.choice((12.0, 18.0, 25.0)),
        loss=rng.choice((0.0, 0.0, 0.05, 0.3)),
        delay_ms=rng.choice((0.3, 2.0, 20.0, 120.0)),
        duplication=rng.choice((0.0, 0.0, 0.1, 0.5)),
        demands=rng.choice(("even", "uneven", "changing", "changing")),
    )
    for _ in range(rng.choice((0, 1, 2, 3, 4, 6, 8))):
        targets = tuple(rng.sample(range(nodes), rng.randint(1, max(1, nodes // 2))))
        for_ms = rng.choice((100.0, 900.0, 2_000.0, 3_000.0, 6_000.0))
        value = rng.choice((0.05, 0.3, 0.6))
        script.faults.append(
            Fault(
                rng.uniform(100.0, script.seconds * 900.0),
                rng.choice(FAULT_KINDS),
                targets,
                for_ms,
                value,
            )
        )
    return script


def run_seed(seed: int) -> list[str]:
    """Run the scenario drawn from a seed; return the violations of the invariant."""
    return Scenario(draw(seed), seed).run().failures
