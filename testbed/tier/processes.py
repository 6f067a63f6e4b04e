"""A tier of real processes, run by a script.

It has N times `python -m corkshift`, with discovery, an order book, boxes and clients on loopback.

The script is that of a simulated scenario (`testbed/nights/script.py`), so that the same one plays
here and on the virtual clock. Of its kinds of fault those in PLAYED can be carried out on real
processes. Between every ordered pair of nodes stands a relay (`relay`).

Everything ends by itself: the nodes die with this process, however it ends (PR_SET_PDEATHSIG), and
all else runs in it. Ports are those that the system chooses; datagrams arrive at an address of
127.0.0.0/8 that follows from one of them, which is held as long as the rig runs.
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
from testbed.nights.simulation import MALFORMED_DATAGRAMS as SMALL_JUNK
from testbed.nights.simulation import tier_table
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
LOOK_S = 0.1  # between two looks at each node
READY_S = 30.0
END_S = 4.3  # after SIGTERM
EXCUSED_MS = 2_600.0  # the longest that a request is open
FRONT_MS = 800.0  # until clients know that a node has died
JUNK = (*SMALL_JUNK, b"\xff" * 65_507)
PR_SET_PDEATHSIG = 1
MOST_TOLD = 20_000  # leases that the report lists: from when, until when (s), who, bound, parts
PLAYED = {
    *NET_KINDS, "peer_junk", "node_kill", "node_pause", "node_term", "node_hup", "node_join", "node_other", "box_quick_restart", "box_kill",
    "box_slow", "box_errors", "box_turn_away", "book_slow", "book_down", "load_step", "flush", "discovery_silent", "discovery_down",
}  # fmt: skip


class Unplayable(Exception):
    """A script has faults that real processes can't be given."""


def unplayable(script: Script) -> list[str]:
    """The kinds of fault in a script that this rig has not."""
    return sorted({fault.kind for fault in script.fault} - PLAYED)


def die_with_parent() -> None:
    """In the child: the kernel kills it when its parent has died."""
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Watch(ServerObserver, ClientObserver):
    """What clients and boxes saw."""

    def __init__(self) -> None:
        self.failures: list[str] = []
        self.cold: dict[str, ColdBox] = {}
        self.excused: Callable[[ClientRequest], bool] = lambda ask: False
        self.work: dict[str, Counter[str]] = defaultdict(Counter)  # by box and node, in ms
        self.reads: dict[str, Counter[str]] = defaultdict(Counter)  # by key and box
        self._asks: dict[str, ClientRequest] = {}
        self._begun: dict[str, list[str]] = defaultdict(list)  # by id: boxes where it may have run
        self._bodies: dict[str, set[bytes]] = defaultdict(set)
        self._answered: set[str] = set()

    def broken(self, what: str) -> None:
        self.failures.append(what)

    def request_sent(self, ask: ClientRequest) -> None:
        self._asks[ask.txn] = ask

    def answer_received(self, ask: ClientRequest, answer: Message) -> None:
        if ask.txn in self._answered:
            self.broken(f"one final answer: {ask.txn} is answered twice")
        self._answered.add(ask.txn)
        if answer.status == 200 and answer.body not in self._bodies[ask.txn]:
            self.broken(f"one final answer: {ask.txn} is served with what was not made for it")
        if (
            answer.status in (429, 503)
            and ask.request_class.idempotency == "unsafe"
            and self._begun[ask.txn]
        ):
            self.broken(
                f"no effect twice: {ask.txn} is refused though it may have run at {self._begun[ask.txn][0]}"
            )

    def no_answer(self, ask: ClientRequest, how: str) -> bool:
        if self.excused(ask):
            return False
        if how == "no answer":
            self.broken(f"one final answer: {ask.txn} of {ask.node} has none when its time is up")
        elif self._begun[ask.txn]:
            self.broken(
                f"one final answer: {ask.txn} of {ask.node} was sent on, and its connection ended: {how}"
            )
        return not ask.first_on_connection

    def request_received(self, box: CacheBox, txn: str, method: str, work_ms: float) -> None:
        ask = self._asks.get(txn)
        node = ask.node if ask is not None else "?"
        self.work[box.name][node] += work_ms  # type: ignore[assignment]
        if ask is not None and method == "GET":
            self.reads[ask.key][box.name] += 1
        if ask is not None and ask.request_class.idempotency == "unsafe" and self._begun[txn]:
            self.broken(
                f"no effect twice: {txn} may have run at {self._begun[txn][0]} and is sent to {box.name}"
            )
        self._begun[txn].append(box.name)
        cold = self.cold.get(box.name)
        if cold is not None:
            cold.received.append((now_ms(), work_ms, node))

    def request_turned_away(self, box: CacheBox, txn: str) -> None:
        self._begun[txn].pop()

    def answer_made(self, box: CacheBox, txn: str, body: bytes) -> None:
        self._bodies[txn].add(body)


@dataclass(slots=True)
class Life:
    """One process of a node."""

    process: asyncio.subprocess.Process
    began: float
    ended: float = float("inf")
    token: int = 0
    taken: dict[tuple[int, float], tuple[int, int, float, float]] = field(default_factory=dict)
    view: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class NodePlace:
    """One node: its addresses, its configuration, and the processes that it has had."""

    slot: int
    listen: Address
    admin: Address
    config: dict[str, Any]
    path: Path
    lives: list[Life] = field(default_factory=list)
    starting: bool = False
    hurt: list[tuple[float, float]] = field(
        default_factory=list
    )  # spans in which it was killed, stood still, or ended

    @property
    def name(self) -> str:
        return f"n{self.slot}"

    @property
    def life(self) -> Optional[Life]:
        """The process that runs, if one does."""
        return self.lives[-1] if self.lives and self.lives[-1].process.returncode is None else None


class Ports:
    """TCP ports of the system's choosing, held without listening.

    So a node that reuses addresses can bind them, and no other process is given them.
    """

    def __init__(self) -> None:
        self._held: list[socket.socket] = []

    def take(self) -> int:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, 0))
        self._held.append(sock)
        return int(sock.getsockname()[1])

    def close(self) -> None:
        for sock in self._held:
            sock.close()


class Rig:
    """One play of a script with real processes."""

    def __init__(self, script: Script, seed: int, folder: Path) -> None:
        if kinds := unplayable(script):
            raise Unplayable(
                f"not on real processes: {', '.join(kinds)}; there are {', '.join(sorted(PLAYED))}"
            )
        self.script = script
        self.folder = folder
        self.operator = folder / "operator.toml"
        table = msgspec.structs.asdict(tier_table(script.world))
        self.operator.write_text(
            "format = 1\n[tier]\n"
            + "".join(f"{key} = {json.dumps(value)}\n" for key, value in table.items())
        )
        self.watch = Watch()
        self.rng = random.Random(f"rig/{seed}")
        self.seed = seed
        w = script.world
        self.classes = SITE_CLASSES if w.worths == "site" else CLASSES
        self.ports = Ports()
        self.book = OrderBook((HOST, 0), 8, 15.0)
        self.registry = DiscoveryServer((HOST, 0), self.watch)
        self.boxes: list[CacheBox] = []
        self.nodes: list[NodePlace] = []
        self.relay: Relay = Relay(0, [], seed)
        self.clients: Optional[Clients] = None
        self.notes: list[tuple[float, str]] = []
        self._began = now_ms()
        self._tasks: set[asyncio.Task[Any]] = set()

    # -- its parts -----------------------------------------------------------------------

    async def _open(self) -> None:
        w = self.script.world
        self.book.listen()
        self.registry.listen()
        keys = Clients(
            {}, self.watch, self.seed, w.keys, w.requests_per_s, classes=self.classes
        ).keys()
        for n in range(w.boxes):
            box = CacheBox(
                f"s{n}", (HOST, 0), self.book.address, BoxSpec(cores=w.cores), self.watch, False
            )
            box.warm(keys)
            self._add(box, n)
        places: list[Address] = []
        for slot in range(w.nodes):
            listen, admin = self.ports.take(), self.ports.take()
            places.append((f"127.77.{listen >> 8}.{listen & 255}", PEER_PORT))
            self.nodes.append(
                NodePlace(slot, (HOST, listen), (HOST, admin), {}, self.folder / f"n{slot}.json")
            )
        self.relay = Relay(w.nodes, places, self.seed)
        await self.relay.start()
        for node in self.nodes:
            self._configure(node)
        self.clients = Clients(
            {node.name: node.listen for node in self.nodes},
            self.watch,
            self.seed,
            w.keys,
            w.requests_per_s,
            classes=self.classes,
        )
        self.clients.is_down = self._down
        self.watch.excused = self._excused

    def _add(self, box: CacheBox, n: int) -> None:
        box.listen()
        self.book.invalidations.append(box.invalidate)
        if n < len(self.boxes):
            self.boxes[n] = box
        else:
            self.boxes.append(box)
        self.registry.entries[box.name] = DiscoveryServer.entry(
            box.name, box.address, box.started_ms
        )

    def _configure(self, node: NodePlace, others: int = 0) -> None:
        w = self.script.world
        config: dict[str, Any] = {
            "name": node.name,
            "listen": f"{HOST}:{node.listen[1]}",
            "admin_addr": f"{HOST}:{node.admin[1]}",
            "discovery": f"{HOST}:{self.registry.address[1]}",
            "seed": f"{self.rng.getrandbits(48):x}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
            "known": {
                "generation": 1,
                "reset": True,
                "instances": list(self.registry.entries.values()),
            },
            "settings": settings(self.classes, w.ask_within_ms),
        }
        if w.tier != "off":
            peers = self.relay.peers(node.slot) + [
                f"127.99.0.{n + 1}:{PEER_PORT}" for n in range(others)
            ]
            host, port = self.relay.places[node.slot]
            config |= peer_config(config["settings"], node.slot, peers, f"{host}:{port}")
        node.config = config
        node.path.write_text(json.dumps(config))

    async def start_node(self, node: NodePlace) -> None:
        """Start a process of a node, under its name and addresses."""
        if node.life is not None or node.starting:
            return  # two faults of one node may both want it back
        node.starting = True
        try:
            await self._spawn_node(node)
        finally:
            node.starting = False

    async def _spawn_node(self, node: NodePlace) -> None:
        environ = {
            **os.environ,
            "PROXY_CONFIG": str(node.path),
            "PYTHONPATH": str(ROOT),
            "TMPDIR": str(self.folder),
        }
        environ["GRADESHIFT_OPERATOR"] = str(self.operator)
        with open(self.folder / f"{node.name}.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "corkshift", cwd=ROOT, env=environ, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                preexec_fn=die_with_parent,
            )  # fmt: skip
        node.lives.append(Life(process, now_ms()))
        self.note(f"{node.name} starts")

    async def _ready(self, node: NodePlace) -> None:
        """Until a node serves; it is an error where it does not in READY_S."""
        async with asyncio.timeout(READY_S):
            while await fetch_body(node.listen, "/up") is None:
                life = node.lives[-1]
                if life.process.returncode is not None:
                    raise RuntimeError(
                        f"{node.name} ended with {life.process.returncode}: {self.log_of(node)}"
                    )
                await asyncio.sleep(0.05)

    def log_of(self, node: NodePlace) -> str:
        """The last lines of a node's log."""
        return (self.folder / f"{node.name}.log").read_text()[-800:]

    # -- what is seen --------------------------------------------------------------------

    def note(self, what: str) -> None:
        """What happened, and when."""
        self.notes.append((round((now_ms() - self._began) / 1000.0, 3), what))

    def _down(self, name: str) -> bool:
        node = self.nodes[int(name[1:])]
        if not node.lives:
            return True
        return node.life is None and now_ms() - node.lives[-1].ended > FRONT_MS

    def _excused(self, ask: ClientRequest) -> bool:
        since, now = ask.sent_ms - EXCUSED_MS, now_ms()
        return any(
            begin <= now and end >= since for begin, end in self.nodes[int(ask.node[1:])].hurt
        )

    async def _look(self) -> None:
        """Read every node's own view, again and again."""
        while True:
            for node in self.nodes:
                life = node.life
                if life is not None:
                    self._spawn(self._look_at(node, life))
            await asyncio.sleep(LOOK_S)

    async def _look_at(self, node: NodePlace, life: Life) -> None:
        body = await fetch_body(node.admin, "/admin/tier")
        if body is None:
            return
        view = json.loads(body)
        if node.life is not life and life.token not in (0, view["token"]):
            return
        life.token, life.view = view["token"], view
        for bound, parts, since, until in view["taken"]:
            life.taken[bound, since] = bound, parts, since, until

    def spans(self) -> list[LeaseInterval]:
        """All leases that were taken, as far as they were seen."""
        spans: list[LeaseInterval] = []
        for node in self.nodes:
            for life in node.lives:
                spans += lease_intervals(node.slot, life.token, life.taken.values(), life.ended)
        return spans

    # -- the play ------------------------------------------------------------------------

    def _spawn(self, what: Any) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def play(self) -> dict[str, Any]:
        """Play the script; the report."""
        w = self.script.world
        began = time.monotonic()
        try:
            await self._open()
            late = {
                n
                for fault in self.script.fault
                if fault.kind == "node_join"
                for n in fault.nodes or [fault.target]
            }
            first = [node for node in self.nodes if node.slot not in late]
            await asyncio.gather(*map(self.start_node, first))
            await asyncio.gather(*map(self._ready, first))
            self._began = now_ms()
            if w.tier != "off":
                self._spawn(self._look())
            for fault in self.script.fault:
                for one in split_by_node(fault):
                    self._spawn(self._at(one.at_ms, self._fault, one))
            assert self.clients is not None
            await self.clients.run(w.seconds)
            await asyncio.sleep(2.0 * LOOK_S)
            return self._report(time.monotonic() - began)
        finally:
            await self._close()

    async def _close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        if self.clients is not None:
            self.clients.close()
        for node in self.nodes:
            if node.life is not None:
                with suppress(ProcessLookupError):
                    node.life.process.kill()
                await node.lives[-1].process.wait()
        self.relay.close()
        for server in (*self.boxes, self.registry, self.book):
            server.close()
        self.ports.close()

    async def _at(self, at_ms: float, action: Callable[..., Any], *args: Any) -> None:
        await asyncio.sleep(max(0.0, self._began + at_ms - now_ms()) / 1000.0)
        result = action(*args)
        if result is not None:
            await result

    def _later(self, fault: Fault, action: Callable[..., Any], *args: Any) -> None:
        if fault.for_ms:
            self._spawn(self._at(now_ms() - self._began + fault.for_ms, action, *args))

    def _fault(self, fault: Fault) -> Any:
        self.note(
            f"{fault.kind} {fault.nodes or fault.target} for {fault.for_ms:g} ms, {fault.value:g}"
        )
        return getattr(self, f"_do_{fault.kind}")(fault)

    # -- faults of nodes -----------------------------------------------------------------

    async def _kill(self, node: NodePlace) -> None:
        life = node.life
        if life is None:
            return
        node.hurt.append((now_ms(), now_ms() + FRONT_MS))
        with suppress(ProcessLookupError):
            life.process.kill()
        await life.process.wait()
        life.ended = now_ms()

    async def _start_again(self, node: NodePlace) -> None:
        await self.start_node(node)
        if self.script.fault:
            node.hurt.append((now_ms(), now_ms() + FRONT_MS))

    async def _do_node_kill(self, fault: Fault) -> None:
        node = self.nodes[fault.target]
        await self._kill(node)
        self._later(fault, self._start_again, node)

    async def _do_node_join(self, fault: Fault) -> None:
        await self.start_node(self.nodes[fault.target])

    async def _do_node_other(self, fault: Fault) -> None:
        """A node comes back with one peer more in its configuration, until the fault is over."""
        node = self.nodes[fault.target]
        if not node.lives:
            return
        await self._kill(node)
        self._configure(node, 1)
        await self.start_node(node)

        async def back() -> None:
            await self._kill(node)
            self._configure(node)
            await self.start_node(node)

        self._later(fault, back)

    def _do_node_pause(self, fault: Fault) -> None:
        node = self.nodes[fault.target]
        life = node.life
        if life is None:
            return
        for_ms = fault.for_ms or 200.0
        node.hurt.append((now_ms(), now_ms() + for_ms))
        life.process.send_signal(signal.SIGSTOP)

        def go_on() -> None:
            with suppress(ProcessLookupError):
                life.process.send_signal(signal.SIGCONT)

        self._spawn(self._at(now_ms() - self._began + for_ms, go_on))

    async def _do_node_term(self, fault: Fault) -> None:
        """A planned restart."""
        node = self.nodes[fault.target]
        life = node.life
        if life is None:
            return
        node.hurt.append((now_ms() + 300.0, now_ms() + 1000.0 * END_S + FRONT_MS))
        life.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(END_S):
                await life.process.wait()
        except TimeoutError:
            self.watch.broken(f"{node.name} has not ended {END_S} s after SIGTERM")
            life.process.kill()
            await life.process.wait()
        life.ended = now_ms()
        await self.start_node(node)

    def _do_node_hup(self, fault: Fault) -> None:
        life = self.nodes[fault.target].life
        if life is not None:
            life.process.send_signal(signal.SIGHUP)

    # -- faults between nodes ------------------------------------------------------------

    def _do_peer_cut(self, fault: Fault, both: bool = True) -> None:
        links = self.relay.between(fault.nodes, both)
        for link in links:
            link.cuts += 1

        def join() -> None:
            for link in links:
                link.cuts -= 1

        self._later(fault, join)

    def _do_peer_oneway(self, fault: Fault) -> None:
        self._do_peer_cut(fault, both=False)

    def _set(self, fault: Fault, **values: float) -> None:
        links: list[Link] = self.relay.between(fault.nodes, True)

        def put(values: dict[str, float]) -> None:
            for link in links:
                for name, value in values.items():
                    setattr(link, name, value)

        put(values)
        self._later(fault, put, dict.fromkeys(values, 0.0))

    def _do_peer_loss(self, fault: Fault) -> None:
        self._set(fault, loss=fault.value)

    def _do_peer_double(self, fault: Fault) -> None:
        self._set(fault, double=fault.value)

    def _do_peer_late(self, fault: Fault) -> None:
        self._set(fault, late=0.33, late_ms=fault.value or 500.0)

    def _do_peer_junk(self, fault: Fault) -> None:
        for data in JUNK:
            for by in ((fault.target + 1) % len(self.nodes), None):
                self.relay.forge(fault.target, data, by)

    # -- faults of all else --------------------------------------------------------------

    def _do_box_kill(self, fault: Fault) -> None:
        self._end_box(fault.target)
        self._later(fault, self._begin_box, fault.target)

    def _do_box_quick_restart(self, fault: Fault) -> None:
        self._end_box(fault.target)
        self._begin_box(fault.target)

    def _end_box(self, n: int) -> None:
        box = self.boxes[n]
        box.close()
        self.registry.update(self.registry.entries[box.name], "terminated")

    def _begin_box(self, n: int) -> None:
        """A box begins, cold, under its name, and discovery says so at once."""
        old = self.boxes[n]
        box = CacheBox(old.name, (HOST, 0), self.book.address, old.spec, self.watch, True)
        self._add(box, n)
        self.watch.cold[box.name] = ColdBox(
            box.name, box.spec.cold_share, box.spec.cold_ms, box.full_speed, now_ms()
        )
        self.registry.update(self.registry.entries[box.name])

    def _do_box_slow(self, fault: Fault) -> None:
        box = self.boxes[fault.target]
        box.slow = fault.value or 5.0
        self._later(fault, setattr, box, "slow", 1.0)

    def _do_box_errors(self, fault: Fault) -> None:
        self.boxes[fault.target].errors_left += int(fault.value) or 1

    def _do_box_turn_away(self, fault: Fault) -> None:
        box = self.boxes[fault.target]
        box.full = True
        self._later(fault, setattr, box, "full", False)

    def _do_book_slow(self, fault: Fault) -> None:
        self.book.service_ms = 15.0 * (fault.value or 5.0)
        self._later(fault, setattr, self.book, "service_ms", 15.0)

    def _do_book_down(self, fault: Fault) -> None:
        self.book.down = True
        self._later(fault, setattr, self.book, "down", False)

    def _do_load_step(self, fault: Fault) -> None:
        assert self.clients is not None
        self.clients.rate = self.script.world.requests_per_s * (fault.value or 2.0)
        self._later(fault, setattr, self.clients, "rate", self.script.world.requests_per_s)

    def _do_flush(self, fault: Fault) -> None:
        for box in self.boxes:
            for key in self.rng.sample(
                sorted(box._values), int(len(box._values) * (fault.value or 1.0))
            ):
                box.invalidate(key)

    def _do_discovery_silent(self, fault: Fault) -> None:
        self.registry.silent = True
        self._later(fault, setattr, self.registry, "silent", False)

    def _do_discovery_down(self, fault: Fault) -> None:
        self.registry.down = True
        self.registry.drop_watches()
        self._later(fault, setattr, self.registry, "down", False)

    # -- the report ----------------------------------------------------------------------

    def _report(self, real_s: float) -> dict[str, Any]:
        assert self.clients is not None
        figures, spans = self.clients.totals, self.spans()
        failures = list(self.watch.failures)
        held = max_shares_held(spans)
        for bound, (parts, at) in held.items():
            if parts > TOTAL_SHARES:
                who = {f"n{node}": some for node, some in shares_held_at(spans, bound, at).items()}
                failures.append(
                    f"shares add up: of bound {bound} {parts} parts of {TOTAL_SHARES} at {(at - self._began) / 1000.0:.3f} s: {who}"
                )
        for name, cold in self.watch.cold.items():
            if cold.peak_budget_use() > 1.0:
                failures.append(
                    f"no cold server pushed over: {name} got {cold.peak_budget_use():.2f} of its budget from all nodes together"
                )
        for node in self.nodes:
            for life in node.lives:
                code = life.process.returncode
                if code not in (None, 0, -signal.SIGKILL):
                    failures.append(f"{node.name} ended with {code}: {self.log_of(node)}")
            if "Traceback" in (self.folder / f"{node.name}.log").read_text():
                failures.append(f"{node.name} logs an exception: {self.log_of(node)}")
        names = {"0": ""}
        for node in self.nodes:
            for life in node.lives:
                names |= life.view.get("names", {})
        views = {
            node.name: node.life.view
            for node in self.nodes
            if node.life is not None and node.life.view
        }
        return {
            "seed": self.seed,
            "seconds": self.script.world.seconds,
            "real_s": round(real_s, 2),
            "failures": failures,
            "requests": {
                "asked": figures.asked, "served": figures.served, "in_time": figures.in_time, "refused": figures.refused,
                "failed": figures.failed, "unanswered": figures.unanswered,
            },
            "work_ms": {box: {node: round(work) for node, work in sorted(by.items())} for box, by in sorted(self.watch.work.items())},
            "cold": {
                name: {"worst": round(cold.peak_budget_use(), 3), "work_ms": cold.work_by_node()}
                for name, cold in sorted(self.watch.cold.items())
            },
            "usual": round(majority_box_share(self.watch.reads), 4),
            "fetches": self.book.fetches,
            "lines": {name: view["line"] and view["line"]["digest"] for name, view in views.items()},
            "leases": len(spans),
            "most_held": {names.get(str(bound), str(bound)) or "fetches": parts for bound, (parts, _) in sorted(held.items())},
            "whole": TOTAL_SHARES,
            "held": [
                [
                    round((s.start_ms - self._began) / 1000.0, 3), round((s.end_ms - self._began) / 1000.0, 3),
                    f"n{s.node}", s.limit, s.shares,
                ]
                for s in sorted(spans, key=lambda span: span.start_ms)[:MOST_TOLD]
            ],
            "keepers": sorted(name for name, view in views.items() if view["keeps"]),
            "members": {name: [m["slot"] for m in view["members"] if m["state"] in ("alive", "suspect")] for name, view in views.items()},
            "datagrams": {
                name: {**view["counts"], "bytes_out_per_s": round(view["counts"]["bytes_out"] / max(1.0, self.script.world.seconds))}
                for name, view in views.items()
            },
            "carried": sum(link.passed for link in self.relay.links.values()),
            "dropped": sum(link.dropped for link in self.relay.links.values()),
            "notes": self.notes,
        }  # fmt: skip


def run(script: Script, seed: int, folder: Optional[Path] = None) -> dict[str, Any]:
    """Play a script with real processes; the report (failures in `failures`).

    Unplayable where it has other faults.
    """
    with tempfile.TemporaryDirectory(prefix="gradeshift-tier-") as scratch:
        return asyncio.run(Rig(script, seed, folder or Path(scratch)).play())
