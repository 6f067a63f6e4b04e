"""One node process on a share of a core with up to thousands of cache servers being replaced.

The rules are those of the soak.

    python -m testbed.soak.large_fleet --servers 200,3200 --shares 1.0,0.1 [--seconds 18]
        [--replace-every 1.5] [--json FILE]
    python -m testbed.soak.large_fleet --seeds 1-50

With `--seeds`, each seed draws the size, share, replacements and faults of discovery. One listener
emulates all cache servers: each has its own address in 127.64.0.0/10, and all share one port. The
preloaded library of `shim` limits the node's process to its share of a core. Clients send requests
before the first list is written.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import random
import signal
import socket
import sys
import tempfile
from contextlib import suppress
from dataclasses import dataclass, replace
from enum import StrEnum
from pathlib import Path
from typing import Any, Optional

import click

from corkshift import seam
from corkshift.seam import Address, now_ms
from corkshift.stream import KERNEL_BUFFER_BYTES
from testbed.soak.__main__ import parse_seeds
from testbed.soak.discovery import DiscoveryEndpoint, Entry, ServerList, in_service_entry
from testbed.soak.oracle import Intervals, Oracle, Rule
from testbed.soak.shim import Shim, build
from testbed.systems.clients import CLASSES, ClientRequest, Clients, settings
from testbed.systems.emulators import BoxSpec
from testbed.systems.http import Connection, Message, Server, fetch_body
from testbed.tier.books import ColdBox
from testbed.tier.processes import HOST, Ports, die_with_parent

ROOT = Path(__file__).parents[2]
NODE = "n0"
LOOPBACK_DEVICE = b"lo"
# Address of the first cache server, 127.64.0.1.
FIRST_ADDRESS = (127 << 24) + (64 << 16) + 1
# Time a cache server takes for a request.
SERVICE_TIME_S = 0.02
DEADLINE_MS = 1_100.0
AIM_MS = 800.0
# A request whose answer is later than this after its deadline counts as lost.
ANSWER_SLACK_MS = 500.0
# An attempt that begins later than this after its client's deadline counts as late.
ATTEMPT_SLACK_MS = 100.0
# The setting `mustAskInMs` of the node.
POLL_WITHIN_MS = 10_000.0
MEMORY_MB = 80
SOCKETS = 1_024
READY_TIMEOUT_S = 30.0
# Time from SIGTERM to a possible SIGKILL, plus half a second for the test harness.
SHUTDOWN_LIMIT_S = DEADLINE_MS / 1000.0 + 0.7 + 0.5
# From the clients' start to the first list.
FIRST_LIST_DELAY_S = 0.6
# Between two samples of the node's memory and of the served requests.
SAMPLE_INTERVAL_S = 0.25
# Servers for which the oracle keeps a budget of cold work.
MAX_COLD_BUDGETS = 1_500
RUN_CLASSES = tuple(replace(kind, target_ms=AIM_MS, deadline_ms=DEADLINE_MS) for kind in CLASSES)


class WatchFault(StrEnum):
    """Faults of the node's watch; the values appear in reports."""

    RESET = "reset"
    CUT = "cut"  # the next line breaks off in the middle
    SILENT = "silent"  # the watch stays open but sends nothing any more
    FULL_LIST = "whole-list"  # a reset; the next call gets the whole list


@dataclass(frozen=True, slots=True)
class Scenario:
    """The parameters of a run; fields are keys of the JSON output.

    `replaced_part` is the share of the servers in service that is replaced each time. With `drain`,
    leaving servers are listed as terminating first, otherwise they are removed at once.
    `idle_clients` is the number of connections that carry no requests. `faults` are the faults of
    the watch with their times in seconds after the first list.
    """

    servers: int
    core_share: float = 1.0
    seconds: float = 18.0
    requests_per_s: float = 30.0
    replace_every_s: float = 1.5
    replaced_part: float = 0.02
    drain: bool = True
    seed: int = 1
    idle_clients: int = 0
    faults: tuple[tuple[float, WatchFault], ...] = ()


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a run; fields are keys of the JSON output.

    `late_attempts` began over ATTEMPT_SLACK_MS after their clients' deadlines. `first_served_s`
    counts from when discovery began to write the first list. `ended_s` counts from SIGTERM and is
    None where the process had to be killed. `memory_mb` is the resident memory halfway through the
    run and at its end. `decisions_failed` is counted in the node's log.
    """

    scenario: Scenario
    violations: list[str]
    asked: int
    served: int
    refused: int
    failed: int
    unanswered: int
    late_attempts: int
    served_by_third: tuple[int, int, int]
    first_served_s: Optional[float]
    ended_s: Optional[float]
    memory_mb: tuple[float, float]
    decisions_failed: int
    harness_late_ms: float

    @property
    def kept(self) -> bool:
        """Whether no rule was broken and the process exited in time."""
        return not (
            self.violations or self.late_attempts or self.decisions_failed or self.ended_s is None
        )


SIZES = (200, 400, 800, 1_600, 3_200)
CORE_SHARES = (1.0, 0.5, 0.3, 0.2, 0.1)
# Duration of the load in a drawn scenario.
DRAWN_LOAD_S = 12.0
LAST_FAULT_AT_S = 8.0


def draw(seed: int) -> Scenario:
    """Draw the scenario of a seed."""
    rng = random.Random(f"large/{seed}")
    faults = [
        (round(rng.uniform(1.0, LAST_FAULT_AT_S), 2), rng.choice(list(WatchFault)))
        for _ in range(rng.randint(0, 3))
    ]
    every_s = rng.choice((0.5, 1.5, 3.0))
    return Scenario(
        servers=rng.choice(SIZES),
        core_share=rng.choice(CORE_SHARES),
        seconds=DRAWN_LOAD_S,
        requests_per_s=rng.choice((15.0, 30.0)),
        replace_every_s=every_s,
        replaced_part=rng.choice((0.01, 0.02)) * every_s,
        drain=rng.random() < 0.8,
        seed=seed,
        idle_clients=rng.choice((0, 0, 300)),
        faults=tuple(sorted(faults)),
    )


class ServerRange(Server):
    """All cache servers behind one listener on the loopback device.

    Each answers every request after SERVICE_TIME_S.
    """

    def __init__(self, oracle: Oracle) -> None:
        super().__init__(("0.0.0.0", 0), backlog=4_096)
        self.oracle = oracle
        self.late_attempts = 0
        # Server names by the value of the Host header.
        self._names: dict[str, str] = {}
        # Clients' deadlines by request id.
        self._deadlines_ms: dict[str, float] = {}

    def listen(self) -> None:
        """Accept connections, from this machine only."""
        sock = seam.tcp_socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, LOOPBACK_DEVICE)
        seam.limit_buffers(sock, KERNEL_BUFFER_BYTES)
        sock.bind(self.address)
        sock.listen(self._backlog)
        self.address = (self.address[0], sock.getsockname()[1])
        self._listener = sock
        asyncio.get_running_loop().add_reader(sock, self._accept)

    def start_server(self, cold: bool) -> Entry:
        """Add a cache server and return its entry in the list."""
        number = len(self._names)
        name = f"s{number}"
        address: Address = (
            socket.inet_ntoa((FIRST_ADDRESS + number).to_bytes(4, "big")),
            self.address[1],
        )
        self._names[f"{address[0]}:{address[1]}"] = name
        if cold and len(self.oracle.cold_servers) < MAX_COLD_BUDGETS:
            spec = BoxSpec()
            self.oracle.cold_servers[name] = ColdBox(
                name, spec.cold_share, spec.cold_ms, float("inf"), now_ms()
            )
        return in_service_entry(name, address, cold)

    def note_deadline(self, ask: ClientRequest) -> None:
        """Record the deadline of a request that a client sent."""
        self._deadlines_ms[ask.txn] = ask.sent_ms + ask.client_wait_ms

    async def serve(self, connection: Connection, request: Message) -> None:
        name, txn = self._names[request.header(b"host")], request.header(b"x-txn")
        remaining = request.header(b"x-remaining-ms")
        deadline_ms = self._deadlines_ms.get(txn)
        if (
            deadline_ms is not None
            and now_ms() > deadline_ms + ATTEMPT_SLACK_MS + self.oracle.lag.worst_since(deadline_ms)
        ):
            self.late_attempts += 1
        self.oracle.arrived(name, txn, float(remaining) if remaining.isdigit() else None)
        await asyncio.sleep(SERVICE_TIME_S)
        body = f"for {txn} by {name}".encode()
        self.oracle.body_made(txn, body)
        await connection.send_response(200, body, {"X-Found": "hit"})


class ObservedEndpoint(DiscoveryEndpoint):
    """Discovery that records when it first answered a call with the list."""

    first_answer_ms: Optional[float] = None
    # The next call gets the whole list, whichever version it asks for.
    send_full_list = False

    async def serve(self, connection: Connection, request: Message) -> None:
        if self.first_answer_ms is None and not self.down:
            self.first_answer_ms = now_ms()
        if self.send_full_list and not self.down:
            self.send_full_list = False
            request = replace(request, target=request.target.partition("&after=")[0])
        await super().serve(connection, request)


class LargeFleetOracle(Oracle):
    """The soak's oracle, which also passes the deadlines of requests to the servers."""

    servers: ServerRange

    def request_sent(self, ask: ClientRequest) -> None:
        super().request_sent(ask)
        self.servers.note_deadline(ask)


class LargeFleet:
    """Runs one scenario."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        self.scenario = scenario
        self._folder = folder
        self._oracle = LargeFleetOracle(grace_ms=250.0)
        self._servers = self._oracle.servers = ServerRange(self._oracle)
        self._server_list = ServerList()
        self._endpoint = ObservedEndpoint(NODE, self._server_list, self._oracle)
        self._ports = Ports()
        self._clients = Clients(
            {},
            self._oracle,
            scenario.seed,
            2_000,
            scenario.requests_per_s,
            classes=RUN_CLASSES,
        )
        self._clients.answer_grace_ms = ANSWER_SLACK_MS
        self._shim = Shim(build(folder), folder / "node.shim")
        self._listen: Address = (HOST, self._ports.take())
        self._memory_samples_mb: list[float] = []
        self._served_samples: list[tuple[float, int]] = []  # (s after first list, total)
        self._first_list_ms = 0.0
        self._log = folder / "node.log"

    async def run_scenario(self) -> Result:
        """Run the scenario and return the result."""
        self._servers.listen()
        self._endpoint.listen()
        self._endpoint.down = True
        for table in (
            self._oracle.discovery_unreachable,
            self._oracle.exempt,
            self._oracle.stalled,
            self._oracle.slow_io,
        ):
            table[NODE] = Intervals()
        process = await self._start_node()
        measuring = asyncio.create_task(self._oracle.lag.measure())
        background = [measuring]
        idle_clients = await self._open_idle_clients()
        try:
            self._clients.nodes[NODE] = self._listen
            load = asyncio.create_task(
                self._clients.run(FIRST_LIST_DELAY_S + self.scenario.seconds)
            )
            await asyncio.sleep(FIRST_LIST_DELAY_S)
            self._server_list.change(
                [self._servers.start_server(cold=False) for _ in range(self.scenario.servers)]
            )
            self._endpoint.down = False
            self._first_list_ms = now_ms()
            background += [
                asyncio.create_task(task)
                for task in (
                    self._replace_servers(),
                    self._sample(process.pid),
                    self._inject_faults(),
                )
            ]
            await load
            for task in background[1:]:
                task.cancel()
            ended_s = await self._terminate(process)
        finally:
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
            self._clients.close()
            for sock in idle_clients:
                sock.close()
            if process.returncode is None:
                process.kill()
            await process.wait()
            self._endpoint.close()
            self._servers.close()
            self._ports.close()
            self._shim.close()
        for task in background:
            if not task.cancelled() and (error := task.exception()) is not None:
                self._oracle.record_violation(
                    Rule.CRASH, f"a task of the test rig failed: {error!r}"
                )
        return self._make_result(ended_s)

    async def _start_node(self) -> asyncio.subprocess.Process:
        config: dict[str, Any] = {
            "name": NODE,
            "listen": f"{HOST}:{self._listen[1]}",
            "discovery": f"{HOST}:{self._endpoint.address[1]}",
            "seed": "1",
            "limits": {
                "cores": self.scenario.core_share,
                "memory_mb": MEMORY_MB,
                "sockets": SOCKETS,
            },
            "settings": settings(RUN_CLASSES, POLL_WITHIN_MS),
        }
        path = self._folder / "node.json"
        path.write_text(json.dumps(config))
        environ = {**os.environ, **self._shim.environment, "PROXY_CONFIG": str(path)}
        with open(self._log, "wb") as log:
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
        async with asyncio.timeout(READY_TIMEOUT_S):
            while await fetch_body(self._listen, "/up") is None:
                await asyncio.sleep(0.02)
        self._shim.limit_core_share(self.scenario.core_share)
        return process

    async def _replace_servers(self) -> None:
        """Replace servers periodically; those that drain are removed one round later."""
        leaving: list[Entry] = []
        serving = list(self._server_list.entries.values())
        count = max(1, round(self.scenario.replaced_part * self.scenario.servers))
        while True:
            await asyncio.sleep(self.scenario.replace_every_s)
            removed: list[Entry] = [{**entry, "lifecycle": "terminated"} for entry in leaving]
            leaving, serving = serving[:count], serving[count:]
            if not self.scenario.drain:
                removed, leaving = [{**entry, "lifecycle": "terminated"} for entry in leaving], []
            started = [self._servers.start_server(cold=True) for _ in range(count)]
            serving += started
            change: list[Entry] = [
                *removed,
                *({**entry, "lifecycle": "terminating"} for entry in leaving),
                *started,
            ]
            self._server_list.change(change)
            self._oracle.changed(change)
            await self._server_list.notify_watches()

    async def _inject_faults(self) -> None:
        """Inject the faults of the watch at their times."""
        for at_s, fault in self.scenario.faults:
            await asyncio.sleep(max(0.0, at_s - (now_ms() - self._first_list_ms) / 1000.0))
            if fault is WatchFault.SILENT:
                self._endpoint.silence()
            elif fault is WatchFault.CUT:
                self._endpoint.cuts = 1
            else:
                if fault is WatchFault.FULL_LIST:
                    self._endpoint.send_full_list = True
                self._endpoint.reset()

    async def _open_idle_clients(self) -> list[socket.socket]:
        """Open connections that carry no requests."""
        idle_clients = []
        for _ in range(self.scenario.idle_clients):
            sock = socket.socket()
            sock.setblocking(False)
            idle_clients.append(sock)
            with suppress(OSError):
                await asyncio.wait_for(
                    asyncio.get_running_loop().sock_connect(sock, self._listen), 1.0
                )
        return idle_clients

    async def _sample(self, pid: int) -> None:
        while True:
            status = Path(f"/proc/{pid}/status").read_text()
            self._memory_samples_mb.append(int(status.partition("VmRSS:")[2].split()[0]) / 1024.0)
            self._served_samples.append(
                ((now_ms() - self._first_list_ms) / 1000.0, self._clients.totals.served)
            )
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _terminate(self, process: asyncio.subprocess.Process) -> Optional[float]:
        begun = now_ms()
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(SHUTDOWN_LIMIT_S):
                await process.wait()
        except TimeoutError:
            return None
        return round((now_ms() - begun) / 1000.0, 2)

    def _make_result(self, ended_s: Optional[float]) -> Result:
        self._oracle.check_totals()
        figures, log = self._clients.totals, self._log.read_text()
        if "Traceback" in log:
            at = log.index("Traceback")
            self._oracle.record_violation(Rule.CRASH, log[max(0, at - 200) : at + 600])
        return Result(
            scenario=self.scenario,
            violations=[str(violation) for violation in self._oracle.violations],
            asked=figures.asked,
            served=figures.served,
            refused=figures.refused,
            failed=figures.failed,
            unanswered=figures.unanswered,
            late_attempts=self._servers.late_attempts,
            served_by_third=self._served_by_third(figures.served),
            first_served_s=self._first_served_s(),
            ended_s=ended_s,
            memory_mb=(
                round(self._memory_samples_mb[len(self._memory_samples_mb) // 2], 1),
                round(self._memory_samples_mb[-1], 1),
            ),
            decisions_failed=log.count("a decision failed"),
            harness_late_ms=round(self._oracle.lag.worst_ms, 1),
        )

    def _first_served_s(self) -> Optional[float]:
        first_answer_s = (
            (self._endpoint.first_answer_ms or self._first_list_ms) - self._first_list_ms
        ) / 1000.0
        return next(
            (round(at - first_answer_s, 2) for at, served in self._served_samples if served), None
        )

    def _served_by_third(self, served: int) -> tuple[int, int, int]:
        third = self.scenario.seconds / 3.0
        marks = [
            max((count for at, count in self._served_samples if at <= third * part), default=0)
            for part in (1, 2)
        ]
        return marks[0], marks[1] - marks[0], served - marks[1]


def run(scenario: Scenario, log_folder: Optional[Path] = None) -> Result:
    """Run a scenario in `log_folder`, where its files are kept, or in a temporary folder."""
    if log_folder is not None:
        log_folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(LargeFleet(scenario, log_folder).run_scenario())
    with tempfile.TemporaryDirectory(prefix="gradeshift-large-") as folder:
        return asyncio.run(LargeFleet(scenario, Path(folder)).run_scenario())


def summary_line(result: Result) -> str:
    """A one-line summary of a result."""
    scenario = result.scenario
    state = "kept" if result.kept else f"{len(result.violations)} VIOLATIONS"
    drawn = [
        f"{scenario.replaced_part:g} replaced every {scenario.replace_every_s:g} s",
        f"drain {scenario.drain}",
    ]
    drawn += [
        f"idle {scenario.idle_clients}",
        *(f"{fault} at {at_s:g} s" for at_s, fault in scenario.faults),
    ]
    parts = [
        f"seed {scenario.seed}: {scenario.servers} servers, {scenario.core_share:g} of a core: "
        f"{state}; asked {result.asked}",
        f"served {result.served} {result.served_by_third}, "
        f"refused {result.refused}, failed {result.failed}",
        f"unanswered {result.unanswered}, late attempts {result.late_attempts}, "
        f"first served {result.first_served_s} s",
        f"ended {result.ended_s} s, memory {result.memory_mb} MB, "
        f"decisions failed {result.decisions_failed}",
        f"harness late {result.harness_late_ms:g} ms; {', '.join(drawn)}",
    ]
    return ", ".join(parts)


def _parse_numbers(text: str) -> list[float]:
    return [float(part) for part in text.split(",")]


@click.command()
@click.option(
    "--servers", default="200,800,1600,3200", show_default=True, help="Numbers of cache servers."
)
@click.option("--shares", default="1.0,0.3,0.1", show_default=True, help="Shares of a core.")
@click.option("--seconds", default=18.0, show_default=True, type=click.FloatRange(2.0, 600.0))
@click.option(
    "--replace-every", default=1.5, show_default=True, help="Seconds between two replacements."
)
@click.option(
    "--replaced-part",
    default=0.02,
    show_default=True,
    help="Share of the servers replaced each time.",
)
@click.option(
    "--drain/--no-drain",
    default=True,
    show_default=True,
    help="Whether leaving servers drain first.",
)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--seeds",
    default="",
    help="One seed or a range: draw the scenarios, ignoring the other parameters.",
)
@click.option(
    "--json", "file", type=click.Path(path_type=Path), help="Write all results to this file."
)
@click.option(
    "--logs", type=click.Path(path_type=Path), help="Keep the files of each run in a folder there."
)
def main(
    servers: str,
    shares: str,
    seconds: float,
    replace_every: float,
    replaced_part: float,
    drain: bool,
    seed: int,
    seeds: str,
    file: Optional[Path],
    logs: Optional[Path],
) -> None:
    """Run each number of servers with each share, or the scenarios that seeds draw.

    Exits with 1 where a rule was broken.
    """
    if seeds:
        scenarios = [draw(number) for number in parse_seeds(seeds)]
    else:
        scenarios = [
            Scenario(
                count,
                share,
                seconds,
                replace_every_s=replace_every,
                replaced_part=replaced_part,
                drain=drain,
                seed=seed,
            )
            for count in map(int, _parse_numbers(servers))
            for share in _parse_numbers(shares)
        ]
    results = []
    for scenario in scenarios:
        result = run(
            scenario,
            logs / f"{scenario.seed}-{scenario.servers}-{scenario.core_share:g}" if logs else None,
        )
        results.append(result)
        click.echo(summary_line(result))
        for violation in result.violations[:6]:
            click.echo(f"    {violation}")
    if file is not None:
        file.write_text(json.dumps([dataclasses.asdict(result) for result in results], indent=1))
    sys.exit(any(not result.kept for result in results))


if __name__ == "__main__":
    main()
