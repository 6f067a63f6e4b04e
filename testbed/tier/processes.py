"""Runs a script on a tier of real processes.

Several processes `python -m corkshift` run on loopback with emulated discovery, order book, boxes
and clients.

The script is that of a simulated scenario (`testbed/nights/script.py`), so that the same script
runs here and on the virtual clock. SUPPORTED_FAULTS are the kinds of fault that can be injected
into real processes. Datagrams between nodes pass a relay with one socket for each ordered pair
(`relay`).

Everything ends by itself: the kernel kills the nodes when this process ends, however it ends
(PR_SET_PDEATHSIG), and everything else runs in this process. The system chooses the ports.
Datagrams of a node arrive at 127.77.H.L, port PEER_PORT, where H and L are the high and the low
byte of the TCP port on which it listens. That port is reserved as long as the rig runs, so no other
rig on the machine uses the address.

Terms: the nodes form the tier, and the order book is the origin behind the boxes, which are cache
servers. A tier-wide limit consists of TOTAL_SHARES shares, and a lease gives a node some of them
for a time. A limit has an id: 0 is the limit on fetches from the origin, any other the limit on the
work of one cold box (`forkweir/tier/demand.py`). A view is what a process reports of the tier at
`/admin/tier`. Its token is a random number that tells the processes of a node apart.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Optional

import msgspec

from corkshift.seam import Address, now_ms
from forkweir.tier.leases import TOTAL_SHARES
from testbed.nights.script import NET_KINDS, Fault, Script, split_by_node
from testbed.nights.simulation import MALFORMED_DATAGRAMS, tier_table
from testbed.systems.clients import (
    CLASSES,
    SITE_CLASSES,
    ClientObserver,
    ClientRequest,
    Clients,
    peer_config,
    settings,
)
from testbed.systems.emulators import (
    BoxSpec,
    CacheBox,
    DiscoveryServer,
    OrderBook,
    ServerObserver,
    majority_box_share,
)
from testbed.systems.http import Message, fetch_body
from testbed.tier.books import (
    ColdBox,
    LeaseInterval,
    lease_intervals,
    max_shares_held,
    shares_held_at,
)
from testbed.tier.relay import Link, Relay

ROOT = Path(__file__).parents[2]
HOST = "127.0.0.1"
PEER_PORT = 7946
# Interval at which each node's view of the tier is read.
POLL_INTERVAL_S = 0.1
READY_TIMEOUT_S = 30.0
# A process that has not ended this long after SIGTERM is a failure and is killed.
SHUTDOWN_LIMIT_S = 4.3
# The longest time for which a request is open.
MAX_REQUEST_MS = 2_600.0
# Clients use a killed node for this long.
CRASH_DETECTION_MS = 800.0
# The last one has the largest payload of UDP over IPv4.
INVALID_DATAGRAMS = (*MALFORMED_DATAGRAMS, b"\xff" * 65_507)
PR_SET_PDEATHSIG = 1
# Leases listed in the report, each with its start and end (s), node, limit and shares.
MAX_REPORTED_LEASES = 20_000
SUPPORTED_FAULTS = {
    *NET_KINDS, "peer_junk",
    "node_kill", "node_pause", "node_term", "node_hup", "node_join", "node_other",
    "box_quick_restart", "box_kill", "box_slow", "box_errors", "box_turn_away",
    "book_slow", "book_down", "load_step", "flush", "discovery_silent", "discovery_down",
}  # fmt: skip


class UnsupportedFaults(Exception):
    """A script has faults that cannot be injected into real processes."""


def unsupported_kinds(script: Script) -> list[str]:
    """Return the kinds of fault in a script that this rig cannot inject."""
    return sorted({fault.kind for fault in script.fault} - SUPPORTED_FAULTS)


def die_with_parent() -> None:
    """Have the kernel kill this process when its parent dies; called in the child."""
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class RequestObserver(ServerObserver, ClientObserver):
    """Records what clients and boxes observe, and violations of the rules on requests."""

    def __init__(self) -> None:
        self.failures: list[str] = []
        self.cold_boxes: dict[str, ColdBox] = {}
        self.is_excused: Callable[[ClientRequest], bool] = lambda request: False
        # By box and node, including requests that the box then turned away.
        self.work_ms: dict[str, Counter[str]] = defaultdict(Counter)
        self.reads: dict[str, Counter[str]] = defaultdict(Counter)  # by key and box
        self._requests: dict[str, ClientRequest] = {}
        # By request id: the boxes where it may have run.
        self._possible_executions: dict[str, list[str]] = defaultdict(list)
        self._bodies: dict[str, set[bytes]] = defaultdict(set)
        self._answered: set[str] = set()

    def record_failure(self, text: str) -> None:
        self.failures.append(text)

    def request_sent(self, request: ClientRequest) -> None:
        self._requests[request.txn] = request

    def answer_received(self, request: ClientRequest, answer: Message) -> None:
        if request.txn in self._answered:
            self.record_failure(f"one final answer: {request.txn} is answered twice")
        self._answered.add(request.txn)
        if answer.status == 200 and answer.body not in self._bodies[request.txn]:
            self.record_failure(
                f"one final answer: {request.txn} is served with what was not made for it"
            )
        if (
            answer.status in (429, 503)
            and request.request_class.idempotency == "unsafe"
            and self._possible_executions[request.txn]
        ):
            self.record_failure(
                f"no effect twice: {request.txn} is refused though it may have run at "
                f"{self._possible_executions[request.txn][0]}"
            )

    def no_answer(self, request: ClientRequest, how: str) -> bool:
        """See ClientObserver. Returns whether the client may send the request once more.

        It may if the connection had carried an earlier request, unless an outage of the node
        excuses the request.
        """
        if self.is_excused(request):
            return False
        if how == "no answer":
            self.record_failure(
                f"one final answer: {request.txn} of {request.node} has none when its time is up"
            )
        elif self._possible_executions[request.txn]:
            self.record_failure(
                f"one final answer: {request.txn} of {request.node} was sent on, "
                f"and its connection ended: {how}"
            )
        return not request.first_on_connection

    def request_received(self, box: CacheBox, txn: str, method: str, work_ms: float) -> None:
        request = self._requests.get(txn)
        node = request.node if request is not None else "?"
        self.work_ms[box.name][node] += work_ms  # type: ignore[assignment]
        if request is not None and method == "GET":
            self.reads[request.key][box.name] += 1
        if (
            request is not None
            and request.request_class.idempotency == "unsafe"
            and self._possible_executions[txn]
        ):
            self.record_failure(
                f"no effect twice: {txn} may have run at {self._possible_executions[txn][0]} "
                f"and is sent to {box.name}"
            )
        self._possible_executions[txn].append(box.name)
        cold = self.cold_boxes.get(box.name)
        if cold is not None:
            # Requests that the box then turns away stay in its figures.
            cold.received.append((now_ms(), work_ms, node))

    def request_turned_away(self, box: CacheBox, txn: str) -> None:
        self._possible_executions[txn].pop()

    def answer_made(self, box: CacheBox, txn: str, body: bytes) -> None:
        self._bodies[txn].add(body)


@dataclass(slots=True)
class NodeProcess:
    """One process of a node, with its leases and its latest view as read from `/admin/tier`.

    Times are in ms of `now_ms`. `token` is 0 until the first view was read.
    """

    process: asyncio.subprocess.Process
    started_ms: float
    ended_ms: float = float("inf")
    token: int = 0
    # By limit and start: limit, shares, start and end of the lease.
    leases: dict[tuple[int, float], tuple[int, int, float, float]] = field(default_factory=dict)
    view: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Node:
    """One node: its addresses, its configuration and all its processes so far."""

    slot: int
    listen: Address
    admin: Address
    config: dict[str, Any]
    config_path: Path
    processes: list[NodeProcess] = field(default_factory=list)
    starting: bool = False
    # Start and end (ms) of the periods in which its requests may stay unanswered: while it is
    # paused or shuts down, and for CRASH_DETECTION_MS after a kill and after the restart that ends
    # a `node_kill`.
    outages: list[tuple[float, float]] = field(default_factory=list)

    @property
    def name(self) -> str:
        return f"n{self.slot}"

    @property
    def running_process(self) -> Optional[NodeProcess]:
        """Its running process, if there is one."""
        return (
            self.processes[-1]
            if self.processes and self.processes[-1].process.returncode is None
            else None
        )


class Ports:
    """TCP ports chosen by the system and reserved by sockets that are bound but do not listen.

    A node that sets SO_REUSEADDR can bind them, and no other process is assigned them.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def take(self) -> int:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, 0))
        self._sockets.append(sock)
        return int(sock.getsockname()[1])

    def close(self) -> None:
        for sock in self._sockets:
            sock.close()


class Rig:
    """One run of a script with real processes."""

    def __init__(self, script: Script, seed: int, folder: Path) -> None:
        if kinds := unsupported_kinds(script):
            raise UnsupportedFaults(
                f"not on real processes: {', '.join(kinds)}; "
                f"there are {', '.join(sorted(SUPPORTED_FAULTS))}"
            )
        self.script = script
        self.folder = folder
        self.operator_path = folder / "operator.toml"
        table = msgspec.structs.asdict(tier_table(script.world))
        self.operator_path.write_text(
            "format = 1\n[tier]\n"
            + "".join(f"{key} = {json.dumps(value)}\n" for key, value in table.items())
        )
        self.observer = RequestObserver()
        self.rng = random.Random(f"rig/{seed}")
        self.seed = seed
        world = script.world
        self.classes = SITE_CLASSES if world.worths == "site" else CLASSES
        self.ports = Ports()
        # It works on 8 requests at once, for 15 ms each.
        self.book = OrderBook((HOST, 0), 8, 15.0)
        self.discovery = DiscoveryServer((HOST, 0), self.observer)
        self.boxes: list[CacheBox] = []
        self.nodes: list[Node] = []
        self.relay: Relay = Relay(0, [], seed)
        self.clients: Optional[Clients] = None
        self.notes: list[tuple[float, str]] = []
        self._started_ms = now_ms()
        self._tasks: set[asyncio.Task[Any]] = set()

    # -- setup ---------------------------------------------------------------------------

    async def _set_up(self) -> None:
        """Start the emulated systems and the relay, configure the nodes and create the clients."""
        world = self.script.world
        self.book.listen()
        self.discovery.listen()
        keys = Clients(
            {}, self.observer, self.seed, world.keys, world.requests_per_s, classes=self.classes
        ).keys()
        for n in range(world.boxes):
            box = CacheBox(
                f"s{n}",
                (HOST, 0),
                self.book.address,
                BoxSpec(cores=world.cores),
                self.observer,
                False,
            )
            box.warm(keys)
            self._add_box(box, n)
        node_addresses: list[Address] = []
        for slot in range(world.nodes):
            listen, admin = self.ports.take(), self.ports.take()
            # The address encodes the reserved port, so that it is unique too.
            node_addresses.append((f"127.77.{listen >> 8}.{listen & 255}", PEER_PORT))
            self.nodes.append(
                Node(slot, (HOST, listen), (HOST, admin), {}, self.folder / f"n{slot}.json")
            )
        self.relay = Relay(world.nodes, node_addresses, self.seed)
        await self.relay.start()
        for node in self.nodes:
            self._configure(node)
        self.clients = Clients(
            {node.name: node.listen for node in self.nodes},
            self.observer,
            self.seed,
            world.keys,
            world.requests_per_s,
            classes=self.classes,
        )
        self.clients.is_down = self._is_known_down
        self.observer.is_excused = self._is_excused

    def _add_box(self, box: CacheBox, n: int) -> None:
        box.listen()
        self.book.invalidations.append(box.invalidate)
        if n < len(self.boxes):
            self.boxes[n] = box
        else:
            self.boxes.append(box)
        self.discovery.entries[box.name] = DiscoveryServer.entry(
            box.name, box.address, box.started_ms
        )

    def _configure(self, node: Node, extra_peers: int = 0) -> None:
        world = self.script.world
        config: dict[str, Any] = {
            "name": node.name,
            "listen": f"{HOST}:{node.listen[1]}",
            "admin_addr": f"{HOST}:{node.admin[1]}",
            "discovery": f"{HOST}:{self.discovery.address[1]}",
            "seed": f"{self.rng.getrandbits(48):x}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
            "known": {
                "generation": 1,
                "reset": True,
                "instances": list(self.discovery.entries.values()),
            },
            "settings": settings(self.classes, world.ask_within_ms),
        }
        if world.tier != "off":
            peers = self.relay.peer_addresses(node.slot) + [
                f"127.99.0.{n + 1}:{PEER_PORT}" for n in range(extra_peers)
            ]
            host, port = self.relay.node_addresses[node.slot]
            config |= peer_config(config["settings"], node.slot, peers, f"{host}:{port}")
        node.config = config
        node.config_path.write_text(json.dumps(config))

    async def start_node(self, node: Node) -> None:
        """Start a process of a node under its name and addresses, unless one is running."""
        if node.running_process is not None or node.starting:
            return  # two faults of one node may both restart it
        node.starting = True
        try:
            await self._spawn_node(node)
        finally:
            node.starting = False

    async def _spawn_node(self, node: Node) -> None:
        environ = {
            **os.environ,
            "PROXY_CONFIG": str(node.config_path),
            "PYTHONPATH": str(ROOT),
            "TMPDIR": str(self.folder),
        }
        environ["GRADESHIFT_OPERATOR"] = str(self.operator_path)
        with open(self.folder / f"{node.name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "corkshift",
                cwd=ROOT,
                env=environ,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=die_with_parent,
            )
        node.processes.append(NodeProcess(process, now_ms()))
        self.note(f"{node.name} starts")

    async def _wait_ready(self, node: Node) -> None:
        """Wait until a node answers.

        Raises RuntimeError where its process has ended, TimeoutError after READY_TIMEOUT_S.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while await fetch_body(node.listen, "/up") is None:
                node_process = node.processes[-1]
                if node_process.process.returncode is not None:
                    raise RuntimeError(
                        f"{node.name} ended with {node_process.process.returncode}: "
                        f"{self.log_tail(node)}"
                    )
                await asyncio.sleep(0.05)

    def log_tail(self, node: Node) -> str:
        """Return the end of a node's log."""
        return (self.folder / f"{node.name}.log").read_text()[-800:]

    # -- observation ---------------------------------------------------------------------

    def note(self, event: str) -> None:
        """Record an event with its time, in s."""
        self.notes.append((round((now_ms() - self._started_ms) / 1000.0, 3), event))

    def _is_known_down(self, name: str) -> bool:
        """Return whether clients know that a node is down.

        They do before its first process starts, and CRASH_DETECTION_MS after the end of the last.
        """
        node = self.nodes[int(name[1:])]
        if not node.processes:
            return True
        return (
            node.running_process is None
            and now_ms() - node.processes[-1].ended_ms > CRASH_DETECTION_MS
        )

    def _is_excused(self, request: ClientRequest) -> bool:
        """Return whether a request may stay unanswered because of an outage of its node.

        That is so if an outage overlaps the time from MAX_REQUEST_MS before the request was sent
        until now.
        """
        since, now = request.sent_ms - MAX_REQUEST_MS, now_ms()
        return any(
            begin <= now and end >= since
            for begin, end in self.nodes[int(request.node[1:])].outages
        )

    async def _poll_views(self) -> None:
        """Read the view of every running node periodically."""
        while True:
            for node in self.nodes:
                node_process = node.running_process
                if node_process is not None:
                    self._spawn(self._poll_view(node, node_process))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll_view(self, node: Node, node_process: NodeProcess) -> None:
        """Read the view of a process and record its leases.

        The next process of the node answers at the same admin port. If the process has ended since,
        a view with another token than that of its earlier views comes from the next one, and is
        dropped.
        """
        body = await fetch_body(node.admin, "/admin/tier")
        if body is None:
            return
        view = json.loads(body)
        if node.running_process is not node_process and node_process.token not in (
            0,
            view["token"],
        ):
            return
        node_process.token, node_process.view = view["token"], view
        for limit, shares, since, until in view["taken"]:
            node_process.leases[limit, since] = limit, shares, since, until

    def lease_spans(self) -> list[LeaseInterval]:
        """Return all leases that nodes took, as far as their views showed them."""
        spans: list[LeaseInterval] = []
        for node in self.nodes:
            for node_process in node.processes:
                spans += lease_intervals(
                    node.slot,
                    node_process.token,
                    node_process.leases.values(),
                    node_process.ended_ms,
                )
        return spans

    # -- run -----------------------------------------------------------------------------

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run_script(self) -> dict[str, Any]:
        """Run the script and return the report."""
        world = self.script.world
        started_s = time.monotonic()
        try:
            await self._set_up()
            joining_slots = {
                n
                for fault in self.script.fault
                if fault.kind == "node_join"
                for n in fault.nodes or [fault.target]
            }
            initial_nodes = [node for node in self.nodes if node.slot not in joining_slots]
            await asyncio.gather(*map(self.start_node, initial_nodes))
            await asyncio.gather(*map(self._wait_ready, initial_nodes))
            self._started_ms = now_ms()
            if world.tier != "off":
                self._spawn(self._poll_views())
            for fault in self.script.fault:
                for single_fault in split_by_node(fault):
                    self._spawn(self._run_at(single_fault.at_ms, self._apply_fault, single_fault))
            assert self.clients is not None
            await self.clients.run(world.seconds)
            await asyncio.sleep(2.0 * POLL_INTERVAL_S)
            return self._report(time.monotonic() - started_s)
        finally:
            await self._close()

    async def _close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        if self.clients is not None:
            self.clients.close()
        for node in self.nodes:
            if node.running_process is not None:
                with suppress(ProcessLookupError):
                    node.running_process.process.kill()
                await node.processes[-1].process.wait()
        self.relay.close()
        for server in (*self.boxes, self.discovery, self.book):
            server.close()
        self.ports.close()

    async def _run_at(self, at_ms: float, action: Callable[..., Any], *args: Any) -> None:
        await asyncio.sleep(max(0.0, self._started_ms + at_ms - now_ms()) / 1000.0)
        result = action(*args)
        if result is not None:
            await result

    def _after_fault(self, fault: Fault, action: Callable[..., Any], *args: Any) -> None:
        """Run an action when a fault ends; a fault without `for_ms` is permanent and never ends."""
        if fault.for_ms:
            self._spawn(self._run_at(now_ms() - self._started_ms + fault.for_ms, action, *args))

    def _apply_fault(self, fault: Fault) -> Any:
        self.note(
            f"{fault.kind} {fault.nodes or fault.target} for {fault.for_ms:g} ms, {fault.value:g}"
        )
        return getattr(self, f"_do_{fault.kind}")(fault)

    # -- faults of nodes -----------------------------------------------------------------

    async def _kill_node(self, node: Node) -> None:
        node_process = node.running_process
        if node_process is None:
            return
        node.outages.append((now_ms(), now_ms() + CRASH_DETECTION_MS))
        with suppress(ProcessLookupError):
            node_process.process.kill()
        await node_process.process.wait()
        node_process.ended_ms = now_ms()

    async def _restart_node(self, node: Node) -> None:
        await self.start_node(node)
        if self.script.fault:
            node.outages.append((now_ms(), now_ms() + CRASH_DETECTION_MS))

    async def _do_node_kill(self, fault: Fault) -> None:
        node = self.nodes[fault.target]
        await self._kill_node(node)
        self._after_fault(fault, self._restart_node, node)

    async def _do_node_join(self, fault: Fault) -> None:
        await self.start_node(self.nodes[fault.target])

    async def _do_node_other(self, fault: Fault) -> None:
        """Restart a node with one more peer in its configuration, until the fault ends."""
        node = self.nodes[fault.target]
        if not node.processes:
            return
        await self._kill_node(node)
        self._configure(node, 1)
        await self.start_node(node)

        async def restore_config() -> None:
            await self._kill_node(node)
            self._configure(node)
            await self.start_node(node)

        self._after_fault(fault, restore_config)

    def _do_node_pause(self, fault: Fault) -> None:
        node = self.nodes[fault.target]
        node_process = node.running_process
        if node_process is None:
            return
        for_ms = fault.for_ms or 200.0
        node.outages.append((now_ms(), now_ms() + for_ms))
        node_process.process.send_signal(signal.SIGSTOP)

        def resume() -> None:
            with suppress(ProcessLookupError):
                node_process.process.send_signal(signal.SIGCONT)

        self._spawn(self._run_at(now_ms() - self._started_ms + for_ms, resume))

    async def _do_node_term(self, fault: Fault) -> None:
        """Restart a node as planned: SIGTERM, and a new process once the old one has ended."""
        node = self.nodes[fault.target]
        node_process = node.running_process
        if node_process is None:
            return
        # It still serves at first. The outage counts until CRASH_DETECTION_MS after the latest time
        # at which the process may end.
        node.outages.append(
            (now_ms() + 300.0, now_ms() + 1000.0 * SHUTDOWN_LIMIT_S + CRASH_DETECTION_MS)
        )
        node_process.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(SHUTDOWN_LIMIT_S):
                await node_process.process.wait()
        except TimeoutError:
            self.observer.record_failure(
                f"{node.name} has not ended {SHUTDOWN_LIMIT_S} s after SIGTERM"
            )
            node_process.process.kill()
            await node_process.process.wait()
        node_process.ended_ms = now_ms()
        await self.start_node(node)

    def _do_node_hup(self, fault: Fault) -> None:
        node_process = self.nodes[fault.target].running_process
        if node_process is not None:
            node_process.process.send_signal(signal.SIGHUP)

    # -- faults of links between nodes ---------------------------------------------------

    def _do_peer_cut(self, fault: Fault, both_directions: bool = True) -> None:
        links = self.relay.links_across(fault.nodes, both_directions)
        for link in links:
            link.cuts += 1

        def restore() -> None:
            for link in links:
                link.cuts -= 1

        self._after_fault(fault, restore)

    def _do_peer_oneway(self, fault: Fault) -> None:
        self._do_peer_cut(fault, both_directions=False)

    def _set_links(self, fault: Fault, **values: float) -> None:
        """Set these attributes of the links that a fault affects; reset them to 0 at its end."""
        links: list[Link] = self.relay.links_across(fault.nodes, True)

        def apply(values: dict[str, float]) -> None:
            for link in links:
                for name, value in values.items():
                    setattr(link, name, value)

        apply(values)
        self._after_fault(fault, apply, dict.fromkeys(values, 0.0))

    def _do_peer_loss(self, fault: Fault) -> None:
        self._set_links(fault, loss=fault.value)

    def _do_peer_double(self, fault: Fault) -> None:
        self._set_links(fault, double=fault.value)

    def _do_peer_late(self, fault: Fault) -> None:
        # A third of the datagrams are late, by up to the fault's value or 500 ms.
        self._set_links(fault, late=0.33, late_ms=fault.value or 500.0)

    def _do_peer_junk(self, fault: Fault) -> None:
        for data in INVALID_DATAGRAMS:
            for by in ((fault.target + 1) % len(self.nodes), None):
                self.relay.forge(fault.target, data, by)

    # -- faults of boxes, order book, load and discovery ---------------------------------

    def _do_box_kill(self, fault: Fault) -> None:
        self._stop_box(fault.target)
        self._after_fault(fault, self._start_cold_box, fault.target)

    def _do_box_quick_restart(self, fault: Fault) -> None:
        self._stop_box(fault.target)
        self._start_cold_box(fault.target)

    def _stop_box(self, n: int) -> None:
        box = self.boxes[n]
        box.close()
        self.discovery.update(self.discovery.entries[box.name], "terminated")

    def _start_cold_box(self, n: int) -> None:
        """Start a cold box under the name of the old one; discovery reports it at once."""
        old = self.boxes[n]
        box = CacheBox(old.name, (HOST, 0), self.book.address, old.spec, self.observer, True)
        self._add_box(box, n)
        self.observer.cold_boxes[box.name] = ColdBox(
            box.name, box.spec.cold_share, box.spec.cold_ms, box.full_speed, now_ms()
        )
        self.discovery.update(self.discovery.entries[box.name])

    def _do_box_slow(self, fault: Fault) -> None:
        box = self.boxes[fault.target]
        box.slow = fault.value or 5.0
        self._after_fault(fault, setattr, box, "slow", 1.0)

    def _do_box_errors(self, fault: Fault) -> None:
        self.boxes[fault.target].errors_left += int(fault.value) or 1

    def _do_box_turn_away(self, fault: Fault) -> None:
        box = self.boxes[fault.target]
        box.full = True
        self._after_fault(fault, setattr, box, "full", False)

    def _do_book_slow(self, fault: Fault) -> None:
        self.book.service_ms = 15.0 * (fault.value or 5.0)
        self._after_fault(fault, setattr, self.book, "service_ms", 15.0)

    def _do_book_down(self, fault: Fault) -> None:
        self.book.down = True
        self._after_fault(fault, setattr, self.book, "down", False)

    def _do_load_step(self, fault: Fault) -> None:
        assert self.clients is not None
        self.clients.rate = self.script.world.requests_per_s * (fault.value or 2.0)
        self._after_fault(fault, setattr, self.clients, "rate", self.script.world.requests_per_s)

    def _do_flush(self, fault: Fault) -> None:
        for box in self.boxes:
            for key in self.rng.sample(
                sorted(box._values), int(len(box._values) * (fault.value or 1.0))
            ):
                box.invalidate(key)

    def _do_discovery_silent(self, fault: Fault) -> None:
        self.discovery.silent = True
        self._after_fault(fault, setattr, self.discovery, "silent", False)

    def _do_discovery_down(self, fault: Fault) -> None:
        self.discovery.down = True
        self.discovery.drop_watches()
        self._after_fault(fault, setattr, self.discovery, "down", False)

    # -- report --------------------------------------------------------------------------

    def _report(self, real_s: float) -> dict[str, Any]:
        assert self.clients is not None
        totals, spans = self.clients.totals, self.lease_spans()
        failures = list(self.observer.failures)
        max_held = max_shares_held(spans)
        for limit, (shares, at) in max_held.items():
            if shares > TOTAL_SHARES:
                holders = {
                    f"n{node}": held_shares
                    for node, held_shares in shares_held_at(spans, limit, at).items()
                }
                failures.append(
                    f"shares add up: of bound {limit} {shares} parts of {TOTAL_SHARES} "
                    f"at {(at - self._started_ms) / 1000.0:.3f} s: {holders}"
                )
        for name, cold in self.observer.cold_boxes.items():
            if cold.peak_budget_use() > 1.0:
                failures.append(
                    f"no cold server pushed over: {name} got {cold.peak_budget_use():.2f} "
                    "of its budget from all nodes together"
                )
        for node in self.nodes:
            for node_process in node.processes:
                code = node_process.process.returncode
                if code not in (None, 0, -signal.SIGKILL):
                    failures.append(f"{node.name} ended with {code}: {self.log_tail(node)}")
            if "Traceback" in (self.folder / f"{node.name}.log").read_text():
                failures.append(f"{node.name} logs an exception: {self.log_tail(node)}")
        # The views name the limits of cold boxes only; "" stands for the limit on fetches, id 0.
        limit_names = {"0": ""}
        for node in self.nodes:
            for node_process in node.processes:
                limit_names |= node_process.view.get("names", {})
        views = {
            node.name: node.running_process.view
            for node in self.nodes
            if node.running_process is not None and node.running_process.view
        }
        return {
            "seed": self.seed,
            "seconds": self.script.world.seconds,
            "real_s": round(real_s, 2),
            "failures": failures,
            "requests": {
                "asked": totals.asked,
                "served": totals.served,
                "in_time": totals.in_time,
                "refused": totals.refused,
                "failed": totals.failed,
                "unanswered": totals.unanswered,
            },
            "work_ms": {
                box: {node: round(work) for node, work in sorted(by_node.items())}
                for box, by_node in sorted(self.observer.work_ms.items())
            },
            "cold": {
                name: {"worst": round(cold.peak_budget_use(), 3), "work_ms": cold.work_by_node()}
                for name, cold in sorted(self.observer.cold_boxes.items())
            },
            "usual": round(majority_box_share(self.observer.reads), 4),
            "fetches": self.book.fetches,
            "lines": {
                name: view["line"] and view["line"]["digest"] for name, view in views.items()
            },
            "leases": len(spans),
            "most_held": {
                limit_names.get(str(limit), str(limit)) or "fetches": shares
                for limit, (shares, _) in sorted(max_held.items())
            },
            "whole": TOTAL_SHARES,
            "held": [
                [
                    round((s.start_ms - self._started_ms) / 1000.0, 3),
                    round((s.end_ms - self._started_ms) / 1000.0, 3),
                    f"n{s.node}",
                    s.limit,
                    s.shares,
                ]
                for s in sorted(spans, key=lambda span: span.start_ms)[:MAX_REPORTED_LEASES]
            ],
            "keepers": sorted(name for name, view in views.items() if view["keeps"]),
            "members": {
                name: [m["slot"] for m in view["members"] if m["state"] in ("alive", "suspect")]
                for name, view in views.items()
            },
            "datagrams": {
                name: {
                    **view["counts"],
                    "bytes_out_per_s": round(
                        view["counts"]["bytes_out"] / max(1.0, self.script.world.seconds)
                    ),
                }
                for name, view in views.items()
            },
            "carried": sum(link.delivered for link in self.relay.links.values()),
            "dropped": sum(link.dropped for link in self.relay.links.values()),
            "notes": self.notes,
        }


def run(script: Script, seed: int, folder: Optional[Path] = None) -> dict[str, Any]:
    """Run a script with real processes and return the report, with violations in `failures`.

    Raises UnsupportedFaults where the script has faults that cannot be injected here.
    """
    with tempfile.TemporaryDirectory(prefix="gradeshift-tier-") as scratch:
        return asyncio.run(Rig(script, seed, folder or Path(scratch)).run_script())
