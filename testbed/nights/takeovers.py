"""Takeovers on the virtual clock: two processes of one node while a server begins to drain.

    python -m testbed.nights.takeovers --seeds 1-1000 [--jobs 8] [--defect]

Each seed draws an upgrade (a second process beside the first, SIGTERM to the first one some time
after the second one's yes) or a kill with an early start, the moment of the drain, discovery's
delay and trouble, and a watch that falls silent. Checked is the rule on drains for the node, by the
virtual clock and without excuses. Each process has a queue of clients of its own.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import StrEnum
from functools import partial
from math import inf
from typing import Any, Optional

import click

from corkshift import seam, service
from corkshift.config import load
from corkshift.seam import Address
from corkshift.service import Service
from corkshift.stream import Stream
from forkweir.limits.readiness import Readiness
from testbed.machine.files import SharedFiles
from testbed.machine.loop import VirtualLoop
from testbed.machine.net import Network, VirtualSocket
from testbed.machine.process import Process
from testbed.systems.clients import CLASSES, settings
from testbed.systems.emulators import DiscoveryServer, ServerObserver
from testbed.systems.http import Connection, Message
from testbed.systems.scripted import ScriptedBox

SERVERS = 4
POLL_WITHIN_MS = 10_000.0
GRACE_MS = 300.0  # the settings' grace of 250 ms, and 50 ms for sockets
NOTIFIED_MS = 6_000.0
BINDING_MS = 2_000.0
REQUEST_INTERVAL_S = 0.03
BOOT_S = 0.5  # from the start of an interpreter to the program
FIRST_S = 2.0  # when the second process is started, or the first one killed
KILL_DELAY_S = max(kind.deadline_ms for kind in CLASSES) / 1000.0 + 0.7
DISCOVERY_ADDRESS = ("127.4.0.1", 8500)


class Trouble(StrEnum):
    """What discovery does to the calls of the second process."""

    NONE = "none"
    REFUSES = "refuses"  # the first calls
    LOSES = "loses"  # the first call is never answered
    LATE = "late"  # the first call is answered after 2.5 s


@dataclass(frozen=True, slots=True)
class Takeover:
    """One drawn scenario; times in s from the start of the second process or the kill."""

    seed: int
    upgrade: bool
    drain_s: float
    restart_s: float
    term_s: float
    delay_s: float
    trouble: Trouble
    silent: Optional[int]  # the process whose watch falls silent as the server begins to drain


def _now_ms() -> float:
    """The virtual time in ms, for code that runs in no virtual process."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    return loop.now_us / 1000.0


def draw(seed: int) -> Takeover:
    """Draw the scenario of a seed."""
    rng = random.Random(f"takeover/{seed}")
    upgrade = rng.random() < 0.7
    return Takeover(
        seed=seed,
        upgrade=upgrade,
        drain_s=rng.uniform(-1.0, 5.0) if upgrade else 0.0,
        restart_s=0.0 if upgrade else rng.uniform(0.0, 5.0),
        term_s=rng.choice((0.05, rng.uniform(0.05, 1.0), rng.uniform(0.05, 6.0))),
        delay_s=rng.choice((0.0, rng.uniform(0.0, 1.5))),
        trouble=rng.choice(list(Trouble)),
        silent=rng.choice((None, None, 0, 1)) if upgrade else None,
    )


class _ListObserver(ServerObserver):
    """Records when the drain was first written to a process."""

    def __init__(self, discovery: TakeoverDiscovery) -> None:
        self._discovery = discovery

    def list_sent(
        self, node: str, entries: list[dict[str, object]], full: bool, sound: bool = True
    ) -> None:
        if node and any(entry["lifecycle"] == "terminating" for entry in entries):
            self._discovery.notified_ms = min(self._discovery.notified_ms, _now_ms())


class TakeoverDiscovery(DiscoveryServer):
    """Discovery with a delay for each call, and trouble for those of the second process."""

    def __init__(self, scenario: Takeover, entries: dict[str, dict[str, object]]) -> None:
        super().__init__(DISCOVERY_ADDRESS, _ListObserver(self), entries)
        self.notified_ms = inf  # when the drain was first written to a process that still runs
        self.changed_ms = inf
        self.calls = [0, 0]
        self._scenario = scenario

    def node_name(self, connection: Connection) -> str:
        """The name of the process; empty for one that has been killed."""
        n = _process_number(connection)
        return f"p{n}" if n or self._scenario.upgrade else ""

    async def serve(self, connection: Connection, request: Message) -> None:
        n = _process_number(connection)
        self.calls[n] += 1
        delay_s = self._scenario.delay_s
        if n == 1:
            trouble, call = self._scenario.trouble, self.calls[1]
            if trouble is Trouble.REFUSES and call <= 2:
                await connection.send_response(503)
                return
            if trouble is Trouble.LOSES and call == 1:
                delay_s = 3_600.0
            if trouble is Trouble.LATE and call == 1:
                delay_s = 2.5
        await asyncio.sleep(delay_s)
        await super().serve(connection, request)

    def silence(self, n: int) -> None:
        """Write nothing more to the present watches of a process."""
        for connection in self.watches:
            if _process_number(connection) == n:
                self._muted.add(connection)


def _process_number(connection: Connection) -> int:
    """The number of the process that made a connection."""
    sock = connection.stream._sock
    assert isinstance(sock, VirtualSocket)
    return int(sock.remote[0].rpartition(".")[2]) - 1


@dataclass(slots=True)
class Result:
    """What a run showed. Times are in ms after the rule began to bind; positive ones break it."""

    seed: int
    latest_ms: float = -inf  # the latest request at the draining server
    violations: list[str] = field(default_factory=list)
    served: int = 0


class TakeoverRun:
    """Runs one scenario."""

    def __init__(self, scenario: Takeover, loop: VirtualLoop) -> None:
        self._scenario = scenario
        self._net = Network(loop, scenario.seed)
        self._files = SharedFiles()
        self._arrivals: list[tuple[float, bytes]] = []
        self._boxes = [ScriptedBox(address=(f"127.2.0.{n + 1}", 8001)) for n in range(SERVERS)]
        self._entries = {
            f"s{n}": DiscoveryServer.entry(f"s{n}", box.address)
            for n, box in enumerate(self._boxes)
        }
        self._discovery = TakeoverDiscovery(scenario, dict(self._entries))
        self._services: dict[int, Service] = {}
        self._result = Result(scenario.seed)
        self._up_ms = inf
        self._start_ms = inf

    async def run(self) -> Result:
        """Run it and return what it showed."""
        scenario = self._scenario
        answer = self._boxes[0].script

        def record(head: bytes) -> Any:
            self._arrivals.append((_now_ms(), head))
            return answer(head)

        self._boxes[0].script = record
        for server in (*self._boxes, self._discovery):
            process = Process(f"at {server.address[0]}", self._net, server.address[0])
            process.start(server.run)
        first = self._start_process(0)
        clients = Process("clients", self._net, "127.5.0.1")
        clients.start(self._send_to_both)
        await asyncio.sleep(FIRST_S)
        drain = asyncio.create_task(self._drain_after(scenario.drain_s + 1.0))
        await asyncio.sleep(1.0)  # the drain may come before the start
        if scenario.upgrade:
            await self._upgrade(first)
        else:
            await self._restart(first)
        await drain
        await asyncio.sleep((NOTIFIED_MS + 1_500.0) / 1000.0)
        self._judge()
        return self._result

    async def _upgrade(self, first: Process) -> None:
        self._start_ms = _now_ms()
        await asyncio.sleep(BOOT_S)
        self._start_process(1)
        await self._wait_up()
        await asyncio.sleep(self._scenario.term_s)
        first.signal(signal.SIGTERM)
        await asyncio.sleep(KILL_DELAY_S)
        if first.alive:
            self._result.violations.append("the first process had not ended by SIGKILL")
            first.kill()

    async def _restart(self, first: Process) -> None:
        first.kill()
        await asyncio.sleep(self._scenario.restart_s + BOOT_S)
        self._start_process(1)
        await self._wait_up()

    async def _wait_up(self) -> None:
        while not (1 in self._services and self._services[1].frontend.started):
            await asyncio.sleep(0.005)
        self._up_ms = _now_ms()

    async def _drain_after(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if self._scenario.silent is not None:
            self._discovery.silence(self._scenario.silent)
        self._discovery.changed_ms = _now_ms()
        if self._scenario.upgrade:
            self._discovery.notified_ms = inf
        self._discovery.update(self._entries["s0"], "terminating")

    def _start_process(self, n: int) -> Process:
        host = f"127.1.0.{n + 1}"
        process = Process("n0", self._net, host)
        address: Address = (host, 8000)
        process.inherited_address = address
        process.shared_files = self._files
        config = {
            "name": "n0",
            "listen": f"{address[0]}:{address[1]}",
            "discovery": f"{DISCOVERY_ADDRESS[0]}:{DISCOVERY_ADDRESS[1]}",
            "seed": f"{self._scenario.seed * 2 + n:x}",
            "limits": {"memory_mb": 64, "sockets": 256},
            "known": {"generation": 1, "reset": True, "instances": list(self._entries.values())},
            "settings": settings(CLASSES, POLL_WITHIN_MS),
        }
        process.files["c.json"] = json.dumps(config).encode()
        process.environment.update(PROXY_CONFIG="c.json", PROXY_SOCKET_FD="7")

        async def program() -> None:
            self._services[n] = Service(load(seam.environ()))
            await self._services[n].run()

        process.start(program)
        return process

    async def _send_to_both(self) -> None:
        await asyncio.gather(*(self._send(n) for n in range(2)))

    async def _send(self, n: int) -> None:
        """Send requests to one process, one after another on a connection while it is open."""
        stream: Optional[Stream] = None
        number = 0
        while True:
            await asyncio.sleep(REQUEST_INTERVAL_S)
            number += 1
            try:
                if stream is None:
                    sock = seam.tcp_socket()
                    await seam.connect(sock, (f"127.1.0.{n + 1}", 8000))
                    stream = Stream(sock)
                if not await self._ask(stream, f"p{n}-{number}"):
                    stream.abort()
                    stream = None
            except OSError:
                if stream is not None:
                    stream.abort()
                stream = None

    async def _ask(self, stream: Stream, txn: str) -> bool:
        """Send one request and read its response; returns whether the connection stays open."""
        head = (
            f"GET /api/{txn} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\n"
            "X-Lane: menu-read\r\nX-Remaining-Ms: 2000\r\n\r\n"
        )
        await stream.write(head.encode())
        response = b""
        while b"\r\n\r\n" not in response:
            if not (data := await stream.read()):
                return False
            response += data
        length = int(response.partition(b"Content-Length: ")[2].partition(b"\r\n")[0])
        while len(response) < response.index(b"\r\n\r\n") + 4 + length:
            if not (data := await stream.read()):
                return False
            response += data
        self._result.served += response.startswith(b"HTTP/1.1 200")
        return b"Connection: close" not in response

    def _judge(self) -> None:
        """Compare the requests at the draining server with when the drain binds the node."""
        due_ms = min(self._discovery.notified_ms, self._discovery.changed_ms + NOTIFIED_MS)
        for at_ms, head in self._arrivals:
            bound_ms = due_ms
            own = b"X-Txn: p0-" in head and self._scenario.silent != 0
            if self._scenario.upgrade and self._start_ms <= at_ms and not own:
                # What discovery tells the node binds the second process from then on.
                bound_ms = max(due_ms, self._up_ms + BINDING_MS)
            late_ms = at_ms - bound_ms - GRACE_MS
            self._result.latest_ms = max(self._result.latest_ms, late_ms)
            if late_ms > 0.0:
                txn = head.partition(b"X-Txn: ")[2].partition(b"\r\n")[0].decode()
                self._result.violations.append(f"{txn}: {late_ms:.0f} ms too late")


def run(scenario: Takeover) -> Result:
    """Run a scenario on a virtual clock of its own."""
    loop = VirtualLoop(scenario.seed)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(loop.create_task(TakeoverRun(scenario, loop).run()))
    finally:
        loop.discard()
        asyncio.set_event_loop(None)


@contextmanager
def served_saved_list() -> Iterator[None]:
    """The defect of the incident: a process serves at once, and calls discovery up to 3 s later."""
    may_serve, spread_s = Readiness.may_serve, service.FIRST_CALL_SPREAD_S
    Readiness.may_serve = lambda *_, **__: True  # type: ignore[method-assign]
    vars(service)["FIRST_CALL_SPREAD_S"] = 3.0
    try:
        yield
    finally:
        Readiness.may_serve = may_serve  # type: ignore[method-assign]
        vars(service)["FIRST_CALL_SPREAD_S"] = spread_s


def run_seed(seed: int, defect: bool = False) -> Result:
    """Run the scenario of a seed, on request with the defect."""
    if not defect:
        return run(draw(seed))
    with served_saved_list():
        return run(draw(seed))


@click.command()
@click.option("--seeds", default="1-200", show_default=True, help="One seed or a range of them.")
@click.option("--jobs", default=4, show_default=True, type=click.IntRange(1, 64))
@click.option("--defect", is_flag=True, help="Play the defect of the incident.")
def main(seeds: str, jobs: int, defect: bool) -> None:
    """Play takeovers on the virtual clock; exits with 1 where the rule on drains was broken."""
    first, _, last = seeds.partition("-")
    with ProcessPoolExecutor(jobs) as pool:
        results = list(
            pool.map(partial(run_seed, defect=defect), range(int(first), int(last or first) + 1))
        )
    broken = [result for result in results if result.violations]
    for result in broken[:12]:
        click.echo(f"seed {result.seed}: {result.violations[:3]} {draw(result.seed)}")
    latest_ms = max(result.latest_ms for result in results)
    click.echo(
        f"{len(results)} takeovers: {len(broken)} broke the rule; {sum(r.served for r in results)}"
        f" requests served; the latest {latest_ms:.0f} ms after the bound"
    )
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
