"""Simulation of one scenario: builds the system of a script, injects its faults, and reports.

All processes run on one virtual loop and network, so that a seed and a script give the same trace.
"""

from __future__ import annotations

import asyncio
import json
import logging
import random
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any, Optional

from corkshift import seam
from corkshift.config import load
from corkshift.service import Service
from corkshift.sources.options import DnsTable, SourcesTable
from corkshift.tier.options import TierTable
from testbed.machine.faults import CALL_ERRORS as CALL_TABLE
from testbed.machine.faults import Call
from testbed.machine.loop import Deadlock, Livelock, VirtualLoop, process_of
from testbed.machine.net import ByteTrigger, Link, Network, VirtualSocket
from testbed.machine.process import EPOCH_MS, Process
from testbed.machine.protocols import ProcessProtocol
from testbed.nights.oracle import Demand, Supply
from testbed.nights.rules import Failure, Rules
from testbed.nights.script import Fault, Script, draw, split_by_node
from testbed.nights.script import World as WorldTable
from testbed.systems.clients import (
    BAD_REQUESTS,
    CLASSES,
    SITE_CLASSES,
    ClientCounts,
    ClientRequest,
    Clients,
    RequestClass,
    peer_config,
    settings,
)
from testbed.systems.dns import BEHAVIOURS, SERVICE, NameServer, Zone
from testbed.systems.emulators import (
    CORRUPT_ANSWERS,
    CORRUPTION_KINDS,
    NOISE_SAMPLES,
    BoxSpec,
    CacheBox,
    DiscoveryServer,
    LineCorruption,
    OrderBook,
    request_work_ms,
)
from testbed.systems.http import Connection, Server

# Delay from the last answer to the count of timers; deadlines have not come due by then.
TIMER_CHECK_DELAY_S = 0.3
# Further delay until the final check that nodes are idle.
FINAL_CHECK_DELAY_S = 2.7
# Delay until discovery notices that a box has died.
DEATH_NOTICE_S = 0.9
# Delay until discovery lists a box that has started.
START_NOTICE_S = 0.5
# Delay until clients notice that a node has died.
CLIENT_NOTICE_S = 0.8
# Interval at which the capacity of boxes and order book is sampled for the oracle.
SAMPLE_INTERVAL_US = 10_000
# Delay until DNS records follow the start or death of a box.
DNS_UPDATE_DELAY_S = 1.2
NODE_PORT, BOX_PORT, PEER_PORT = 8000, 8001, 7946
# Datagrams that no peer sends.
MALFORMED_DATAGRAMS = (
    b"",
    b"\x00",
    b"\xc1" * 300,
    b"\x96\x01\x01\x01",
    bytes(range(256)),
)
# An address in the range of the boxes at which none listens.
UNUSED_BOX_HOST = "127.2.0.99"
RESOLVERS = (("127.6.0.1", 53), ("127.6.0.2", 53))


@dataclass(slots=True)
class Result:
    """The outcome of a scenario."""

    seed: int
    script: Script
    failures: list[Failure]
    # BLAKE2b digest of the whole trace.
    digest: str
    # Number of traced events.
    events: int
    virtual_s: float
    real_s: float
    figures: ClientCounts
    # Number of callbacks that the loop ran.
    steps: int
    # Input of the oracle, with `supply` (testbed/nights/oracle.py).
    demands: list[Demand]
    supply: Supply
    # Indexes of the demands that were served in time.
    served_in_time: set[int]
    # Lines of the trace, where they are kept.
    lines: list[str] = field(default_factory=list)
    # Number of leases on tier-wide limits that nodes took.
    leases: int = 0
    # Most shares of each limit that all nodes held at once.
    max_held: dict[int, int] = field(default_factory=dict)
    # Members of the tier as each node saw them at the end.
    members: dict[str, list[int]] = field(default_factory=dict)
    # Nodes that were leader at the end.
    leaders: list[str] = field(default_factory=list)
    # Fraction of reads that went to the box that got most reads of their key.
    majority_box_share: float = 0.0
    # Number of fetches from the order book.
    fetches: int = 0

    @property
    def failed(self) -> bool:
        """Whether a rule was broken."""
        return bool(self.failures)

    @property
    def served_value(self) -> float:
        """Value of the work served in time (class value x ms of work); see `oracle.max_value`."""
        return sum(self.demands[n].value for n in self.served_in_time)


def tier_table(world: WorldTable) -> TierTable:
    """Build the `[tier]` table of the operator's file for the nodes of a world."""
    on = {name: world.tier in ("on", name) for name in ("shares", "fetches", "line", "signals")}
    return TierTable(period_ms=world.tier_period_ms, **on)


class Trace:
    """Trace of a run: one line per event with its time in us, its actor and what happened.

    The digest covers every line, including lines that are not kept.
    """

    def __init__(self, loop: VirtualLoop, keep_lines: bool) -> None:
        self.lines: list[str] = []
        self.events = 0
        self._loop = loop
        self._keep = keep_lines
        self._hash = blake2b(digest_size=16)

    def add_event(self, what: str) -> None:
        """Append one event at the present time."""
        line = f"{self._loop.now_us:010d} {what}\n"
        self.events += 1
        self._hash.update(line.encode())
        if self._keep:
            self.lines.append(line)

    @property
    def digest(self) -> str:
        """BLAKE2b digest of all events so far, in hexadecimal."""
        return self._hash.hexdigest()


class _TraceLogHandler(logging.Handler):
    """Adds the log lines of nodes to the trace; a logged exception is a failure."""

    def __init__(self, world: World) -> None:
        super().__init__(logging.INFO)
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        """Trace a log line; report its exception, if any."""
        process = seam.CURRENT_SYSTEM.get()
        name = process.name if isinstance(process, Process) else "world"
        text = record.getMessage()
        self._world.trace.add_event(f"{name} logs {record.levelname} {text}")
        if record.exc_info:
            error = record.exc_info[1]
            self._world.rules.report_exception(name, f"{text}: {type(error).__name__}: {error}")


class World:
    """All processes of a scenario on one virtual loop."""

    def __init__(self, script: Script, seed: int, loop: VirtualLoop, keep_trace: bool) -> None:
        table = script.world
        self.script = script
        self.classes = SITE_CLASSES if table.worths == "site" else CLASSES
        self.loop = loop
        self.rng = random.Random(f"world/{seed}")
        self.net = Network(loop, seed)
        self.net.default_link.latency_us, self.net.default_link.jitter_us = (
            table.latency_us,
            table.jitter_us,
        )
        self.net.default_link.bandwidth = table.bandwidth
        self.trace = Trace(loop, keep_trace)
        self.rules = Rules(lambda: loop.now_us, self.trace.add_event, loop.after_us)
        self.rules.is_excused = self._is_excused
        self.rules.steps = lambda: loop.callbacks_run
        self.net.on_send = self.rules.on_bytes_sent
        self.net.observers += [self.rules.on_socket_event, self._trace_socket]
        loop.after_callback = self._after_step
        self.processes: list[Process] = []
        self.nodes: dict[str, Process] = {}
        self.boxes: dict[int, CacheBox] = {}
        self.box_processes: dict[int, Process] = {}
        self.discovery_servers: list[DiscoveryServer] = []
        self.entries: dict[str, dict[str, object]] = {}
        self._last_box_id = table.boxes
        self._box_names = {n: f"s{n}" for n in range(table.boxes)}
        # By node: time of the last kill, which excuses unanswered requests.
        self._killed_us: dict[str, int] = {}
        # By node: time of the last orderly end, which excuses nothing.
        self._ended_us: dict[str, int] = {}
        # By node: times at which the network broke client connections.
        self._connections_broken_us: dict[str, list[int]] = {}
        self.clients = Clients(
            {f"n{n}": (self._node_host(n), NODE_PORT) for n in range(table.nodes)},
            self.rules,
            seed,
            table.keys,
            table.requests_per_s,
            classes=self.classes,
        )
        self.clients.left_share, self.clients.leave_ms = table.leaving, table.leave_ms
        self.clients.leave_abnormally, self.clients.leave_together_ms = (
            table.leave_oddly,
            table.leave_together_ms,
        )
        self.clients.is_down = self._is_known_down
        self.clients.on_first_attempt = self._on_demand
        self.served_in_time: set[int] = set()
        self.clients.on_served = self.served_in_time.add
        self.demands: list[Demand] = []
        self.supply = Supply()
        # Members of the tier by node, and the nodes that are leader.
        self.tier_at_end: tuple[dict[str, list[int]], list[str]] = ({}, [])
        self._next_sample_us = 0
        self.zone = Zone()
        self.resolvers = [NameServer(address, self.zone) for address in RESOLVERS]
        self._zone_stale = False
        self.client_process = self._new_process("clients", "127.5.0.1")
        self.book = OrderBook(("127.3.0.1", 8002), 8, 15.0)
        loop.set_exception_handler(self._on_exception)

    # -- input of the oracle -------------------------------------------------------------

    def _on_demand(self, kind: RequestClass, key: str) -> int:
        """Record a first request as a demand and return its index."""
        work, at_ms = request_work_ms(key, kind.method), self.loop.now_us / 1000.0
        self.demands.append(
            Demand(at_ms, kind.name, work, kind.target_ms, kind.worth, kind.method == "PUT")
        )
        return len(self.demands) - 1

    def _after_step(self, process: ProcessProtocol) -> None:
        """Check the rules after a step of a process, and sample the capacity at its interval."""
        self.rules.after_step(process)
        if self.loop.now_us >= self._next_sample_us:
            self._next_sample_us = self.loop.now_us + SAMPLE_INTERVAL_US
            self._sample()
            self.rules.check_never_empty()

    def _sample(self) -> None:
        """Record the present capacity of boxes and order book for the oracle."""
        work, now_ms = 0.0, EPOCH_MS + self.loop.now_us / 1000.0
        for n, box in self.boxes.items():
            available = self.box_processes[n].running and self.net.host(box.address[0]).up
            if available and not (box.draining or box.full or box.hang is not None):
                work += box.speed_share_at(now_ms) * box.full_speed / box.slow
        fetches = 0.0 if self.book.down else self.book.places / self.book.service_ms
        self.supply.add_sample(self.loop.now_us / 1000.0, work, fetches)

    # -- processes -----------------------------------------------------------------------

    @staticmethod
    def _node_host(n: int) -> str:
        return f"127.1.0.{n + 1}"

    @staticmethod
    def _box_host(n: int) -> str:
        return f"127.2.0.{n + 1}"

    def _new_process(self, name: str, host: str) -> Process:
        """Create a process and register it."""
        process = Process(name, self.net, host)
        self.processes.append(process)
        return process

    def start_node(
        self, n: int, wall_offset_ms: float = 0.0, without_list: bool = False, extra_peers: int = 0
    ) -> None:
        """Start or restart a node with the present list.

        wall_offset_ms is the error of its wall clock. without_list starts it with no list.
        extra_peers is the number of peers it is configured with beyond those that exist.
        """
        table, name = self.script.world, f"n{n}"
        process = self._new_process(name, self._node_host(n))
        process.descriptors = table.descriptors
        process.wall_clock_offset_ms = wall_offset_ms
        entries = [] if without_list else list(self.entries.values())
        known = {"generation": 1, "reset": True, "instances": entries}
        config: dict[str, Any] = {
            "name": name,
            "listen": f"{process.host}:{NODE_PORT}",
            "discovery": "127.4.0.1:8500",
            "seed": f"{self.rng.getrandbits(48):x}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": table.descriptors - 16},
            "known": known,
            "settings": settings(self.classes, table.ask_within_ms),
        }
        if table.tier != "off":
            config |= peer_config(
                config["settings"],
                n,
                [f"{self._node_host(m)}:{PEER_PORT}" for m in range(table.nodes + extra_peers)],
            )
        process.files["config.json"] = json.dumps(config).encode()
        process.environment["PROXY_CONFIG"] = "config.json"

        sources: Optional[SourcesTable] = None
        if table.sources == "dns":
            names = [f"{host}:{port}" for host, port in RESOLVERS]
            sources = SourcesTable(
                dns=DnsTable(service=SERVICE, resolvers=names, floor_s=0.3, ceiling_s=2.0)
            )

        async def program() -> None:
            service = Service(load(seam.environ()), sources, tier=tier_table(table))
            self.rules.services[process] = service
            if service.tier is not None:
                self.rules.on_tier_join(process, service.tier)
            await service.run()

        self.nodes[name] = process
        self.rules.on_node_start(process, entries)
        process.on_end = lambda: self._node_ended(process)
        process.start(program)
        self.trace.add_event(f"{name} starts")

    def _node_ended(self, process: Process) -> None:
        """Record that a node has ended by itself."""
        self.trace.add_event(f"{process.name} ends {type(process.exit_error).__name__}")
        self._ended_us[process.name] = self.loop.now_us
        if process.exit_error is not None:
            self.rules.report_exception(process.name, f"the process ended: {process.exit_error!r}")

    def start_box(self, n: int, name: str, cold: bool) -> None:
        """Start box number n under a name at its address, cold or with its cache filled."""
        address = (self._box_host(n), BOX_PORT)
        process = self._new_process(name, address[0])
        box = CacheBox(
            name,
            address,
            self.book.address,
            BoxSpec(cores=self.script.world.cores),
            self.rules,
            False,
        )
        if cold:
            box._cold_since_ms = EPOCH_MS + self.loop.now_us / 1000.0
        else:
            box.warm(self.clients.keys())
        self.boxes[n], self.box_processes[n], self._box_names[n] = box, process, name
        self.rules.boxes[address[0]] = name
        self.book.invalidations.append(box.invalidate)
        process.start(box.run)
        self._schedule_dns_update()
        self.trace.add_event(f"{name} starts at {address[0]}{' cold' if cold else ''}")

    def _start_server(self, name: str, server: Server) -> Process:
        """Start a stand-in server in a process of its own."""
        process = self._new_process(name, server.address[0])
        process.start(server.run)
        return process

    def _is_excused(self, ask: ClientRequest) -> bool:
        """Return whether a request may stay unanswered.

        That holds where its node was killed or stalled, or the network broke its connection.
        """
        record = self.rules.request_record(ask.txn)
        since, now = record.requested_us - 2_000, self.loop.now_us
        died = self._killed_us.get(ask.node, -1)
        if died >= since:
            return True
        process = self.nodes.get(ask.node)
        if process is None or process.was_paused(since, now):
            return True
        if process.was_paused_or_starved(since, record.sent[0].at_us if record.sent else now):
            # The request waited in the backlog, where its time ran out unseen by the node.
            return True
        return any(at >= since for at in self._connections_broken_us.get(ask.node, ()))

    def _is_known_down(self, node: str) -> bool:
        """Return whether clients know that a node is down."""
        process = self.nodes.get(node)
        if process is None:
            # The node joins later.
            return True
        if process.alive:
            return False
        return (
            self.loop.now_us - max(self._killed_us.get(node, 0), self._ended_us.get(node, 0))
            > CLIENT_NOTICE_S * 1e6
        )

    def _on_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Report an exception that reached the loop."""
        error = context.get("exception")
        process = seam.CURRENT_SYSTEM.get()
        name = process.name if isinstance(process, Process) else "world"
        self.rules.report_exception(name, f"{context.get('message')}: {error!r}")

    def _trace_socket(self, what: str, sock: VirtualSocket) -> None:
        owner = sock.process.name if sock.process is not None else sock.host
        self.trace.add_event(
            f"{owner} {what} {sock.local[0]}:{sock.local[1]} {sock.remote[0]}:{sock.remote[1]}"
        )

    # -- the scenario --------------------------------------------------------------------

    async def run_scenario(self) -> None:
        """Start all processes, run clients and faults, and check at the end that nodes are idle."""
        table = self.script.world
        self._start_server("book", self.book)
        for n in range(table.boxes):
            self.start_box(n, f"s{n}", False)
            self.entries[f"s{n}"] = DiscoveryServer.entry(f"s{n}", (self._box_host(n), BOX_PORT))
        for n in range(2):
            discovery_server = _HostDiscoveryServer(
                (f"127.4.0.{n + 1}", 8500), self.rules, self.entries
            )
            self.discovery_servers.append(discovery_server)
            self._start_server(f"discovery{n}", discovery_server)
        if table.sources == "dns":
            self._update_dns()
            for server in self.resolvers:
                server.on_service_answer = self._on_dns_answer
                process = self._new_process(f"dns-{server.address[0]}", server.address[0])
                process.start(server.run)
        joining = {
            n
            for fault in self.script.fault
            if fault.kind == "node_join"
            for n in fault.nodes or [fault.target]
        }
        for n in range(table.nodes):
            if n not in joining:
                self.start_node(n)
        await asyncio.sleep(0.05)
        for fault in self.script.fault:
            for part in split_by_node(fault):
                self.loop.after_us(int(part.at_ms * 1000), self._apply_fault, part)
        self.client_process.start(self._run_clients)
        assert self.client_process.task is not None
        await self.client_process.task
        for owner, service in self.rules.services.items():
            if service.tier is not None and owner.running:
                self.tier_at_end[0][owner.name] = service.tier.tier.members.participants()
                if service.tier.tier.is_leader(owner.now_ms()):
                    self.tier_at_end[1].append(owner.name)
        await asyncio.sleep(TIMER_CHECK_DELAY_S)
        self._run_idle_check(self.rules.check_idle_timers)
        await asyncio.sleep(FINAL_CHECK_DELAY_S)
        self.clients.close()
        await asyncio.sleep(0.1)
        for process in self.processes:
            process.resume()
        await asyncio.sleep(0.5)
        self._run_idle_check(self.rules.check_idle)

    def _run_idle_check(self, check: Callable[[dict[ProcessProtocol, int]], None]) -> None:
        """Run a check with the number of timers that each process has set."""
        timers: dict[ProcessProtocol, int] = {}
        for handle in self.loop.pending_timers():
            owner = process_of(handle._context)  # type: ignore[attr-defined]
            if owner is not None:
                timers[owner] = timers.get(owner, 0) + 1
        check(timers)

    async def _run_clients(self) -> None:
        await self.clients.run(self.script.world.seconds)

    # -- DNS -----------------------------------------------------------------------------

    def _schedule_dns_update(self) -> None:
        """Update the DNS records after their delay, where nodes use DNS."""
        if self.script.world.sources == "dns" and self.loop.now_us:
            self.loop.after_us(int(DNS_UPDATE_DELAY_S * 1e6), self._update_dns)

    def _update_dns(self, extra_host: Optional[str] = None) -> None:
        """Publish DNS records for the running boxes, and for extra_host, where nothing listens."""
        if self._zone_stale:
            return
        alive = {
            self._box_names[n]: (self._box_host(n), BOX_PORT)
            for n in self.boxes
            if self.box_processes[n].alive
        }
        if extra_host is not None:
            alive["odd"] = (extra_host, BOX_PORT)
        self.zone.set_boxes(alive, ttl=1)
        self.rules.on_dns_change(f"{host}:{port}" for host, port in alive.values())
        self.trace.add_event(f"DNS names {' '.join(alive)}")

    def _do_node_blank(self, fault: Fault) -> None:
        """Kill a node and restart it without a list."""
        process = self.nodes[f"n{fault.target}"]
        if process.alive:
            process.kill()
            self._killed_us[process.name] = self.loop.now_us
            self.loop.after_us(50_000, self._restart_node, fault.target, 0.0, True)

    def _do_dns_how(self, fault: Fault) -> None:
        """Make one name server, or both, misbehave in one of `BEHAVIOURS`."""
        for server in self.resolvers if fault.target == 2 else [self.resolvers[fault.target % 2]]:
            server.how = BEHAVIOURS[int(fault.value) % len(BEHAVIOURS)]
            self._after_fault(fault, setattr, server, "how", "good")

    def _on_dns_answer(self, host: str, targets: list[str]) -> None:
        """Report the addresses in a DNS answer to the rules."""
        self.rules.on_dns_answer(
            host,
            [
                f"{address}:{BOX_PORT}"
                for target in targets
                for address in self.zone.records[target, "A"][1]
            ],
        )

    def _do_dns_stale(self, fault: Fault) -> None:
        """Keep the DNS records from being updated."""

        def resume_updates() -> None:
            self._zone_stale = False
            self._update_dns()

        self._zone_stale = True
        self._after_fault(fault, resume_updates)

    def _do_dns_odd(self, fault: Fault) -> None:
        """Add a DNS record of a host at which no box listens."""
        self.rules.boxes[UNUSED_BOX_HOST] = "odd"
        self._update_dns(UNUSED_BOX_HOST)
        self._after_fault(fault, self._update_dns)

    # -- faults --------------------------------------------------------------------------

    def _apply_fault(self, fault: Fault) -> None:
        """Trace a fault and call the method of its kind."""
        self.trace.add_event(f"fault {fault.kind} {fault.target} {fault.for_ms:g} {fault.value:g}")
        getattr(self, f"_do_{fault.kind}")(fault)

    def _after_fault(self, fault: Fault, action: Callable[..., object], *args: Any) -> None:
        """Schedule an action for the end of a fault, unless it is permanent."""
        if fault.for_ms:
            self.loop.after_us(int(fault.for_ms * 1000), action, *args)

    def _do_box_slow(self, fault: Fault) -> None:
        """Slow a box down by the factor `value`."""
        box = self.boxes[fault.target]
        box.slow = fault.value or 5.0
        self._after_fault(fault, setattr, box, "slow", 1.0)

    def _do_box_hang(self, fault: Fault) -> None:
        """Make a box stop answering."""
        box, event = self.boxes[fault.target], asyncio.Event()
        box.hang = event

        def resume() -> None:
            box.hang = None
            event.set()

        self._after_fault(fault, resume)

    def _kill_box(self, n: int) -> None:
        """Kill a box; discovery notices after DEATH_NOTICE_S."""
        process, box = self.box_processes[n], self.boxes[n]
        if not process.alive:
            return
        process.kill()
        self._schedule_dns_update()
        self.trace.add_event(f"{box.name} dies")
        self.loop.after_us(int(DEATH_NOTICE_S * 1e6), self._notify_death, n, box.name, process)

    def _notify_death(self, n: int, name: str, process: Process) -> None:
        """Report a dead box as terminated, unless another has started in its place."""
        if self.box_processes[n] is process and name in self.entries:
            self._change_lifecycle(self.entries[name], "terminated")

    def _change_lifecycle(self, entry: dict[str, object], lifecycle: str) -> None:
        """Change the lifecycle of a list entry."""
        # The discovery servers share the entries; each one notifies its own watches.
        for discovery_server in self.discovery_servers:
            discovery_server.update(entry, lifecycle)

    def _restart_box(self, n: int, name: str, report_start: bool = True) -> None:
        """Start a box cold; without report_start discovery lists it as started long ago."""
        if self.box_processes[n].alive:
            return
        self.start_box(n, name, True)
        started = EPOCH_MS + self.loop.now_us / 1000.0 if report_start else 0.0
        self.loop.after_us(int(START_NOTICE_S * 1e6), self._notify_start, n, name, started)

    def _notify_start(self, n: int, name: str, started: float) -> None:
        """List a box as in service, if it still runs."""
        if self._box_names[n] == name and self.box_processes[n].alive:
            self._change_lifecycle(
                DiscoveryServer.entry(name, (self._box_host(n), BOX_PORT), started), "in_service"
            )

    def _do_box_kill(self, fault: Fault) -> None:
        """Kill a box and restart it under its own name."""
        self._kill_box(fault.target)
        self._after_fault(fault, self._restart_box, fault.target, self._box_names[fault.target])

    def _do_box_rename(self, fault: Fault) -> None:
        """Kill a box and restart it under a new name."""
        self._kill_box(fault.target)
        self._last_box_id += 1
        self._after_fault(fault, self._restart_box, fault.target, f"s{self._last_box_id}")

    def _do_box_quick_restart(self, fault: Fault) -> None:
        """Kill a box and restart it cold within 1 ms."""
        name = self._box_names[fault.target]
        self._kill_box(fault.target)
        self.loop.after_us(1_000, self._restart_box, fault.target, name)

    def _do_box_lie(self, fault: Fault) -> None:
        """Restart a box quickly while discovery lists it as started long ago."""
        name = self._box_names[fault.target]
        self._kill_box(fault.target)
        self.loop.after_us(1_000, self._restart_box, fault.target, name, False)

    def _do_flush(self, fault: Fault) -> None:
        """Invalidate a fraction of all cached values at once."""
        for box in self.boxes.values():
            for key in self.rng.sample(
                sorted(box._values), int(len(box._values) * (fault.value or 1.0))
            ):
                box.invalidate(key)

    def _do_load_step(self, fault: Fault) -> None:
        """Multiply the request rate of the clients."""
        self.clients.rate = self.script.world.requests_per_s * (fault.value or 2.0)
        self._after_fault(fault, setattr, self.clients, "rate", self.script.world.requests_per_s)

    def _do_box_spoil(self, fault: Fault) -> None:
        """Corrupt the next `value` answers of a box."""
        self.boxes[fault.target].corruptions += [
            self.rng.choice(CORRUPT_ANSWERS) for _ in range(int(fault.value) or 1)
        ]

    def _do_box_errors(self, fault: Fault) -> None:
        """Make a box answer the next `value` requests with errors."""
        self.boxes[fault.target].errors_left += int(fault.value) or 1

    def _do_box_turn_away(self, fault: Fault) -> None:
        """Make a box turn requests away."""
        box = self.boxes[fault.target]
        box.full = True
        self._after_fault(fault, setattr, box, "full", False)

    def _do_box_vanish(self, fault: Fault) -> None:
        """Take the host of a box off the network."""
        host = self.net.host(self._box_host(fault.target))
        host.up = False
        self.loop.after_us(int((fault.for_ms or 1_000.0) * 1000), setattr, host, "up", True)

    def _do_box_drain(self, fault: Fault) -> None:
        """Drain a box: list it as terminating, and kill it 3 s later."""
        n, box, process = fault.target, self.boxes[fault.target], self.box_processes[fault.target]
        if box.name not in self.entries:
            return
        self._change_lifecycle(self.entries[box.name], "terminating")
        self.loop.after_us(600_000, setattr, box, "draining", True)
        self.loop.after_us(3_000_000, self._kill_drained_box, n, process)

    def _kill_drained_box(self, n: int, process: Process) -> None:
        """Kill a box, unless another process runs in its place."""
        if self.box_processes[n] is process:
            self._kill_box(n)

    def _do_node_kill(self, fault: Fault) -> None:
        """Kill a node and restart it."""
        process = self.nodes.get(f"n{fault.target}")
        if process is not None and process.alive:
            self._kill_node(fault.target)
            self._after_fault(fault, self._restart_node, fault.target)

    def _restart_node(
        self, n: int, wall_offset_ms: float = 0.0, without_list: bool = False, extra_peers: int = 0
    ) -> None:
        """Start a node unless it runs."""
        if not self.nodes[f"n{n}"].alive:
            self.start_node(n, wall_offset_ms, without_list, extra_peers)

    def _do_node_pause(self, fault: Fault) -> None:
        """Pause a node."""
        process = self.nodes.get(f"n{fault.target}")
        if process is None:
            return
        process.pause()
        self.loop.after_us(int((fault.for_ms or 200.0) * 1000), process.resume)

    def _do_node_term(self, fault: Fault) -> None:
        """Send SIGTERM to a node; 3.7 s later it must have ended and is restarted."""
        process = self.nodes.get(f"n{fault.target}")
        if process is None:
            return
        process.signal(signal.SIGTERM)
        self.loop.after_us(3_700_000, self._end_node, process, fault.target)

    def _end_node(self, process: Process, n: int) -> None:
        """Report a node that has not ended after SIGTERM, and restart it."""
        if process.state == "running":
            self.rules.report(
                "one final answer", f"{process.name} has not ended 3.7 s after SIGTERM"
            )
        process.kill()
        if self.nodes[f"n{n}"] is process:
            self._restart_node(n)

    def _do_node_hup(self, fault: Fault) -> None:
        """Reconfigure a node to the other discovery server.

        The old one closes its watches after 1.5 s.
        """
        process = self.nodes[f"n{fault.target}"]
        config = json.loads(process.files["config.json"])
        old = 0 if config["discovery"].startswith("127.4.0.1:") else 1
        config["discovery"] = f"127.4.0.{2 - old}:8500"
        process.files["config.json"] = json.dumps(config).encode()
        process.signal(signal.SIGHUP)
        self.loop.after_us(1_500_000, self.discovery_servers[old].drop_watches)

    def _do_node_descriptors(self, fault: Fault) -> None:
        """Leave a node no free descriptors."""
        process = self.nodes[f"n{fault.target}"]
        process.descriptors = len(process.sockets)
        for_ms = fault.for_ms or 1_000.0
        # Connections in the backlog are accepted a moment after the fault ends.
        process.starved_spans_us.append(
            (self.loop.now_us, self.loop.now_us + int(for_ms * 1000) + 200_000)
        )
        self.loop.after_us(
            int(for_ms * 1000), setattr, process, "descriptors", self.script.world.descriptors
        )

    def _do_node_calls(self, fault: Fault) -> None:
        """Make a system call of a node fail, once or for a time."""
        process = self.nodes[f"n{fault.target}"]
        call, error = CALL_TABLE[int(fault.value) % len(CALL_TABLE)]
        for_us = int(fault.for_ms * 1000)
        process.call_faults.fail(
            call, error, self.loop.now_us + (for_us or 1_000_000), -1 if for_us else 1
        )
        if call is Call.ACCEPT:
            process.starved_spans_us.append((self.loop.now_us, self.loop.now_us + for_us + 200_000))

    def _node_box_links(self, target: int) -> list[tuple[str, str]]:
        """Return the pairs of hosts of all nodes and one box."""
        box = self._box_host(target % self.script.world.boxes)
        return [(self._node_host(n), box) for n in range(self.script.world.nodes)]

    def _do_link_loss(self, fault: Fault) -> None:
        """Lose segments between all nodes and a box."""
        for a, b in self._node_box_links(fault.target):
            for link in (self.net.link(a, b), self.net.link(b, a)):
                link.loss = fault.value or 0.05
                self._after_fault(fault, setattr, link, "loss", 0.0)

    def _do_link_cut(self, fault: Fault) -> None:
        """Cut one direction between all nodes and a box."""
        for a, b in self._node_box_links(fault.target):
            link = self.net.link(b, a) if fault.target % 2 else self.net.link(a, b)
            link.cut = True
            self._after_fault(fault, setattr, link, "cut", False)

    def _do_link_slow(self, fault: Fault) -> None:
        """Raise the latency between all nodes and a box to `value` us."""
        for a, b in self._node_box_links(fault.target):
            for link in (self.net.link(a, b), self.net.link(b, a)):
                before, link.latency_us = link.latency_us, int(fault.value or 20_000)
                self._after_fault(fault, setattr, link, "latency_us", before)

    def _do_reset(self, fault: Fault) -> None:
        """Reset open connections of nodes to boxes (odd target) or of clients (even target)."""
        sockets = [
            sock
            for process in self.nodes.values()
            for sock in process.sockets
            if sock.state == "open" and sock.peer
        ]
        if fault.target % 2:
            chosen = [sock for sock in sockets if sock.remote[0] in self.rules.boxes]
        else:
            chosen = [sock for sock in sockets if sock.remote[0] == "127.5.0.1"]
        for sock in self.rng.sample(chosen, min(len(chosen), int(fault.value) or 1)):
            if sock.remote[0] == "127.5.0.1" and sock.process is not None:
                self._connections_broken_us.setdefault(sock.process.name, []).append(
                    self.loop.now_us
                )
            sock.reset_both_ends()

    def _arm_trip(
        self, source: str, target: str, fault: Fault, action: Callable[[VirtualSocket], None]
    ) -> None:
        """Arm an action for the next new connection and for one open connection."""
        trip = ByteTrigger(source, target, max(1, int(fault.value)), action)
        self.net.triggers.append(trip)
        for process in self.processes:
            if process.host == source and process.alive:
                for sock in process.sockets:
                    if sock.state == "open" and sock.remote[0] == target and sock.trigger is None:
                        trip.connections = 0
                        sock.trigger = ByteTrigger(
                            source, target, sock.sent_bytes + trip.after_bytes, action, 0
                        )
                        return

    def _break_action(self, fault: Fault) -> Callable[[VirtualSocket], None]:
        """Return the action of a trip: kill the box if for_ms is odd, else break the connection."""

        def act(sock: VirtualSocket) -> None:
            if int(fault.for_ms) % 2:
                self._kill_box(fault.target)
            else:
                sock.reset_both_ends()

        return act

    def _do_trip_request(self, fault: Fault) -> None:
        """Break off after `value` bytes of a request from node 0 to a box."""
        self._arm_trip(
            self._node_host(0), self._box_host(fault.target), fault, self._break_action(fault)
        )

    def _do_trip_answer(self, fault: Fault) -> None:
        """Break off after `value` bytes of an answer from a box to node 0."""
        self._arm_trip(
            self._box_host(fault.target), self._node_host(0), fault, self._break_action(fault)
        )

    def _do_trip_client(self, fault: Fault) -> None:
        """Break a client connection after the node has written `value` bytes to it."""

        def act(sock: VirtualSocket) -> None:
            self._connections_broken_us.setdefault(f"n{fault.target}", []).append(self.loop.now_us)
            sock.reset_both_ends()

        self._arm_trip(self._node_host(fault.target), "127.5.0.1", fault, act)

    def _set_discovery_state(self, fault: Fault, state: str) -> None:
        """Set a flag of both discovery servers until the fault is over."""
        for discovery_server in self.discovery_servers:
            setattr(discovery_server, state, True)
            self._after_fault(fault, setattr, discovery_server, state, False)

    def _do_discovery_silent(self, fault: Fault) -> None:
        """Make both discovery servers unresponsive."""
        self._set_discovery_state(fault, "silent")

    def _do_discovery_late(self, fault: Fault) -> None:
        """Delay the answers of both discovery servers by the duration, for 2 s."""
        for discovery_server in self.discovery_servers:
            discovery_server.late_s = fault.for_ms / 1000.0
            self.loop.after_us(2_000_000, setattr, discovery_server, "late_s", 0.0)

    def _do_discovery_wrong(self, fault: Fault) -> None:
        """Send a malformed line on all watches."""
        bad = (
            b"no list\n",
            b'{"generation":"x","instances":5}\n',
            b'{"generation":9,"instances":[{"instanceId":5}]}\n',
            b'{"generation":9,"instances":[{"instanceId":"z","hostPort":"nowhere",'
            b'"lifecycle":"in_service"}]}\n',
            b'{"generation":9,"instances":[]}\n',
            b"[1,2]\n",
            b"{" * 400 + b"\n",
            b'{"generation":9',
        )
        for discovery_server in self.discovery_servers:
            discovery_server.publish_raw(bad[int(fault.value) % len(bad)])

    def _do_discovery_spoil(self, fault: Fault) -> None:
        """Corrupt the next line of each discovery server.

        Target and value give the mode, the noise and the byte.
        """
        how, noise = (
            CORRUPTION_KINDS[fault.target % len(CORRUPTION_KINDS)],
            NOISE_SAMPLES[fault.target // len(CORRUPTION_KINDS) % len(NOISE_SAMPLES)],
        )
        for discovery_server in self.discovery_servers:
            discovery_server.corruptions.append(LineCorruption(how, int(fault.value), noise))

    def _do_discovery_refuse(self, fault: Fault) -> None:
        """Make both discovery servers answer calls with 503; watches go on."""
        self._set_discovery_state(fault, "refusing")

    def _do_discovery_mute(self, fault: Fault) -> None:
        """Make both discovery servers accept calls without answering them."""
        self._set_discovery_state(fault, "mute")

    def _do_discovery_drop(self, fault: Fault) -> None:
        """Close all watches."""
        for discovery_server in self.discovery_servers:
            discovery_server.drop_watches()

    def _do_discovery_down(self, fault: Fault) -> None:
        """Close all watches and stop both discovery servers."""
        for discovery_server in self.discovery_servers:
            discovery_server.down = True
            discovery_server.drop_watches()
            self._after_fault(fault, setattr, discovery_server, "down", False)

    def _do_book_slow(self, fault: Fault) -> None:
        """Slow the order book down by the factor `value`."""
        self.book.service_ms = 15.0 * (fault.value or 5.0)
        self._after_fault(fault, setattr, self.book, "service_ms", 15.0)

    def _do_book_down(self, fault: Fault) -> None:
        """Take the order book down."""
        self.book.down = True
        self._after_fault(fault, setattr, self.book, "down", False)

    def _do_node_join(self, fault: Fault) -> None:
        """Start a node that has not run before."""
        if f"n{fault.target}" not in self.nodes:
            self.start_node(fault.target)

    def _do_node_other(self, fault: Fault) -> None:
        """Restart a node with a configuration of other peers, until the fault is over."""
        if f"n{fault.target}" not in self.nodes:
            return
        self._kill_node(fault.target)
        self.loop.after_us(50_000, self._restart_node, fault.target, 0.0, False, 1)
        self._after_fault(fault, self._kill_node, fault.target)
        if fault.for_ms:
            self.loop.after_us(int(fault.for_ms * 1000) + 50_000, self._restart_node, fault.target)

    def _kill_node(self, n: int) -> None:
        """Kill a node, if it runs."""
        process = self.nodes[f"n{n}"]
        if process.alive:
            process.kill()
            self._killed_us[process.name] = self.loop.now_us
            self.trace.add_event(f"{process.name} is killed")

    def _peer_links(self, fault: Fault, both_directions: bool = True) -> list[Link]:
        """Return the links from the nodes of one side to all others; without a side, all links.

        both_directions adds the links back.
        """
        hosts = {self._node_host(n) for n in range(self.script.world.nodes)}
        side = {self._node_host(n) for n in fault.nodes}
        pairs = [
            (a, b)
            for a in sorted(hosts)
            for b in sorted(hosts)
            if a != b and ((a in side) != (b in side) or not side)
        ]
        return [self.net.link(a, b) for a, b in pairs if both_directions or a in side]

    def _do_peer_cut(self, fault: Fault) -> None:
        """Cut the links between two sides of nodes."""
        for link in self._peer_links(fault):
            link.cut = True
            self._after_fault(fault, setattr, link, "cut", False)

    def _do_peer_oneway(self, fault: Fault) -> None:
        """Cut the links from one side of nodes to the other."""
        for link in self._peer_links(fault, both_directions=False):
            link.cut = True
            self._after_fault(fault, setattr, link, "cut", False)

    def _do_peer_loss(self, fault: Fault) -> None:
        """Lose a fraction of the datagrams between nodes."""
        for link in self._peer_links(fault):
            link.loss = fault.value
            self._after_fault(fault, setattr, link, "loss", 0.0)

    def _do_peer_late(self, fault: Fault) -> None:
        """Delay a third of the datagrams by up to `value` ms, which also reorders them."""
        for link in self._peer_links(fault):
            link.late, link.late_us = 0.33, int(1000 * (fault.value or 500.0))
            self._after_fault(fault, setattr, link, "late", 0.0)

    def _do_peer_double(self, fault: Fault) -> None:
        """Duplicate a fraction of the datagrams between nodes."""
        for link in self._peer_links(fault):
            link.double = fault.value
            self._after_fault(fault, setattr, link, "double", 0.0)

    def _do_peer_junk(self, fault: Fault) -> None:
        """Send malformed datagrams to a node from a peer's address and from an unknown one."""
        to = self._node_host(fault.target), PEER_PORT
        for data in MALFORMED_DATAGRAMS:
            for host in (
                self._node_host((fault.target + 1) % self.script.world.nodes),
                "127.9.9.9",
            ):
                self.net.inject_datagram((host, PEER_PORT), to, data)

    def _do_clock_jump(self, fault: Fault) -> None:
        """Restart a node whose wall clock is wrong by `value` ms."""
        process = self.nodes[f"n{fault.target}"]
        if process.alive:
            process.kill()
            self._killed_us[process.name] = self.loop.now_us
            self.loop.after_us(50_000, self._restart_node, fault.target, fault.value)

    def _do_rude(self, fault: Fault) -> None:
        """Send three bad clients to a node."""
        names = list(BAD_REQUESTS)
        name = names[int(fault.value) % len(names)]
        for _ in range(3):
            self.client_process.context.run(
                self.clients.send_bad_request, f"n{fault.target}", name, BAD_REQUESTS[name]
            )


class _HostDiscoveryServer(DiscoveryServer):
    """Discovery server that identifies the node behind a watch by its host."""

    def node_name(self, connection: Connection) -> str:
        """Return the host of the node behind a connection."""
        sock = connection.stream._sock
        assert isinstance(sock, VirtualSocket)
        return sock.remote[0]


def run(seed: int, script: Optional[Script] = None, keep_trace: bool = False) -> Result:
    """Run one scenario; the same seed and script give the same trace, byte for byte.

    script defaults to the one drawn from the seed. keep_trace keeps the lines of the trace.
    """
    script = script if script is not None else draw(seed)
    started = time.perf_counter()
    loop = VirtualLoop(seed)
    world = World(script, seed, loop, keep_trace)
    log = _TraceLogHandler(world)
    root = logging.getLogger("corkshift")
    level, root.propagate = root.level, False
    root.setLevel(logging.INFO)
    root.addHandler(log)
    try:
        asyncio.set_event_loop(loop)
        main = loop.create_task(world.run_scenario())
        loop.run_until_complete(main)
    except (Deadlock, Livelock) as error:
        world.rules.report("no standstill", str(error))
    # An error in the testbed is reported as a failure of its seed, so that other seeds go on.
    except Exception as error:
        world.rules.report_exception("world", f"{type(error).__name__}: {error}")
    finally:
        root.removeHandler(log)
        root.setLevel(level)
        root.propagate = True
        digest, events = world.trace.digest, world.trace.events
        loop.after_callback = None
        world.net.observers.clear()
        loop.set_exception_handler(lambda loop, context: None)
        for process in world.processes:
            process.discard_tasks()
        main._log_destroy_pending = False  # type: ignore[attr-defined]
        loop.close()
        asyncio.set_event_loop(None)
    return Result(
        seed,
        script,
        world.rules.failures,
        digest,
        events,
        loop.now_us / 1e6,
        time.perf_counter() - started,
        world.clients.totals,
        loop.callbacks_run,
        world.demands,
        world.supply,
        world.served_in_time,
        world.trace.lines,
        world.rules.leases,
        world.rules.max_held,
        *world.tier_at_end,
        world.rules.primary_box_share(),
        world.book.fetches,
    )
