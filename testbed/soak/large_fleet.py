"""One node process with a share of a core beside up to thousands of cache servers, while servers are replaced; the rules are the soak's.

    python -m testbed.soak.large_fleet --servers 200,3200 --shares 1.0,0.1 [--seconds 18] [--replace-every 1.5] [--json FILE]
    python -m testbed.soak.large_fleet --seeds 1-50        # sizes, shares, replacements and faults of discovery drawn from each seed

One listener serves all cache servers: each has an address of its own in 127.64.0.0/10 and all have one port. The node's process gets
its share from the preloaded library of `shim`. Clients ask before the first list is written. Ends by itself.
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
from testbed.systems.clients import CLASSES, Ask, Clients, settings
from testbed.systems.serving import Connection, Message, Server, fetch
from testbed.systems.standins import BoxSpec
from testbed.tier.books import ColdBox
from testbed.tier.processes import HOST, Ports, die_with_parent

ROOT = Path(__file__).parents[2]
NODE = "n0"
LOOPBACK_DEVICE = b"lo"
FIRST_ADDRESS = (127 << 24) + (64 << 16) + 1
SERVICE_TIME_S = 0.02  # of one request at a cache server
DEADLINE_MS = 1_100.0
AIM_MS = 800.0
ANSWER_SLACK_MS = 500.0  # a later answer is a lost request
ATTEMPT_SLACK_MS = 100.0  # past its client's time an attempt may begin for so long
POLL_WITHIN_MS = 10_000.0
MEMORY_MB = 80
SOCKETS = 1_024
READY_TIMEOUT_S = 30.0
SHUTDOWN_LIMIT_S = (
    DEADLINE_MS / 1000.0 + 0.7 + 0.5
)  # after SIGTERM: when SIGKILL may come, and half a second for the harness
FIRST_LIST_DELAY_S = 0.6  # from the clients' start to the first list
SAMPLE_INTERVAL_S = 0.25  # between two looks at the node's memory
MAX_COLD_BUDGETS = 1_500  # servers for which the oracle keeps a budget of cold work
RUN_CLASSES = tuple(replace(kind, aim_ms=AIM_MS, deadline_ms=DEADLINE_MS) for kind in CLASSES)


class WatchFault(StrEnum):
    """What befalls the node's watch."""

    RESET = "reset"
    CUT = "cut"  # the next line, in its middle
    SILENT = "silent"  # for good
    WHOLE_LIST = "whole-list"  # discovery counts anew: the next call gets the whole list


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is played."""

    servers: int
    core_share: float = 1.0
    seconds: float = 18.0
    requests_per_s: float = 30.0
    replace_every_s: float = 1.5
    replaced_part: float = 0.02  # of the servers in service, each time
    drain: bool = (
        True  # the leaving ones are listed as terminating first; otherwise they are gone at once
    )
    seed: int = 1
    idle_clients: int = 0  # connections on which nothing is asked
    faults: tuple[tuple[float, WatchFault], ...] = ()  # of the watch, in s after the first list


@dataclass(frozen=True, slots=True)
class Result:
    """What came of it."""

    scenario: Scenario
    violations: list[str]
    asked: int
    served: int
    refused: int
    failed: int
    unanswered: int
    late_attempts: int  # begun over ATTEMPT_SLACK_MS past their clients' time
    served_by_third: tuple[int, int, int]
    first_served_s: Optional[float]  # from when discovery began to write the first list
    ended_s: Optional[float]  # from SIGTERM; None where it had to be killed
    memory_mb: tuple[float, float]  # resident at the run's half and at its end
    decisions_failed: int  # by the node's log
    harness_late_ms: float

    @property
    def kept(self) -> bool:
        """Whether no rule was broken and the node ended in its time."""
        return not (
            self.violations or self.late_attempts or self.decisions_failed or self.ended_s is None
        )


SIZES = (200, 400, 800, 1_600, 3_200)
CORE_SHARES = (1.0, 0.5, 0.3, 0.2, 0.1)
DRAWN_LOAD_S = 12.0  # of load in a drawn scenario
LAST_FAULT_AT_S = 8.0


def draw(seed: int) -> Scenario:
    """The scenario of a seed."""
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
    """All cache servers behind one listener on the loopback device. Each answers every request after the same time."""

    def __init__(self, oracle: Oracle) -> None:
        super().__init__(("0.0.0.0", 0), backlog=4_096)
        self.oracle = oracle
        self.late_attempts = 0
        self._names: dict[str, str] = {}  # by host and port, as requests have them
        self._deadlines_ms: dict[str, float] = {}  # by request id

    def listen(self) -> None:
        """Begin to accept, from this machine alone."""
        sock = seam.tcp_socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, LOOPBACK_DEVICE)
        seam.limit_buffers(sock, KERNEL_BUFFER_BYTES)
        sock.bind(self.address)
        sock.listen(self._backlog)
        self.address = (self.address[0], sock.getsockname()[1])
        self._listener = sock
        asyncio.get_running_loop().add_reader(sock, self._accept)

    def start_server(self, cold: bool) -> Entry:
        """One more cache server; its entry in the list."""
        number = len(self._names)
        name = f"s{number}"
        address: Address = (
            socket.inet_ntoa((FIRST_ADDRESS + number).to_bytes(4, "big")),
            self.address[1],
        )
        self._names[f"{address[0]}:{address[1]}"] = name
        if cold and len(self.oracle.cold) < MAX_COLD_BUDGETS:
            spec = BoxSpec()
            self.oracle.cold[name] = ColdBox(
                name, spec.cold_from, spec.cold_ms, float("inf"), now_ms()
            )
        return in_service_entry(name, address, cold)

    def note_deadline(self, ask: Ask) -> None:
        """A client has sent this request."""
        self._deadlines_ms[ask.txn] = ask.sent_ms + ask.budget_ms

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
        await connection.answer(200, body, {"X-Found": "hit"})


class ObservedEndpoint(DiscoveryEndpoint):
    """Discovery that notes when it first answered a call with the list."""

    first_answer_ms: Optional[float] = None
    send_full_list = False  # the next call gets the whole list, whatever it asks for

    async def serve(self, connection: Connection, request: Message) -> None:
        if self.first_answer_ms is None and not self.down:
            self.first_answer_ms = now_ms()
        if self.send_full_list and not self.down:
            self.send_full_list = False
            request = replace(request, target=request.target.partition("&after=")[0])
        await super().serve(connection, request)


class LargeFleetOracle(Oracle):
    """The soak's oracle, which tells the servers of each request."""

    servers: ServerRange

    def asked(self, ask: Ask) -> None:
        super().asked(ask)
        self.servers.note_deadline(ask)


class LargeFleet:
    """One play of a scenario."""

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
        self._clients.slack_ms = ANSWER_SLACK_MS
        self._shim = Shim(build(folder), folder / "node.shim")
        self._listen: Address = (HOST, self._ports.take())
        self._memory_samples_mb: list[float] = []
        self._served_samples: list[
            tuple[float, int]
        ] = []  # (s after the first list, served so far)
        self._first_list_ms = 0.0
        self._log = folder / "node.log"

    async def run_scenario(self) -> Result:
        """Play it."""
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
        process = await self._start()
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
                for task in (self._replace(), self._sample(process.pid), self._inject_faults())
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
                self._oracle.record_violation(Rule.CRASH, f"the rig itself failed: {error!r}")
        return self._make_result(ended_s)

    async def _start(self) -> asyncio.subprocess.Process:
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
                sys.executable, "-m", "corkshift", cwd=ROOT, env=environ, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
                preexec_fn=die_with_parent,
            )  # fmt: skip
        async with asyncio.timeout(READY_TIMEOUT_S):
            while await fetch(self._listen, "/up") is None:
                await asyncio.sleep(0.02)
        self._shim.limit_core_share(self.scenario.core_share)
        return process

    async def _replace(self) -> None:
        """Some servers leave and as many start, over and over; those that drained are gone a round later."""
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
        """Faults of the watch, each at its time."""
        for at_s, fault in self.scenario.faults:
            await asyncio.sleep(max(0.0, at_s - (now_ms() - self._first_list_ms) / 1000.0))
            if fault is WatchFault.SILENT:
                self._endpoint.silence()
            elif fault is WatchFault.CUT:
                self._endpoint.cuts = 1
            else:
                if fault is WatchFault.WHOLE_LIST:
                    self._endpoint.send_full_list = True
                self._endpoint.reset()

    async def _open_idle_clients(self) -> list[socket.socket]:
        """Connections on which nothing is asked."""
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
                ((now_ms() - self._first_list_ms) / 1000.0, self._clients.figures.served)
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
        self._oracle.finish()
        figures, log = self._clients.figures, self._log.read_text()
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
        asked_s = (
            (self._endpoint.first_answer_ms or self._first_list_ms) - self._first_list_ms
        ) / 1000.0
        return next((round(at - asked_s, 2) for at, served in self._served_samples if served), None)

    def _served_by_third(self, served: int) -> tuple[int, int, int]:
        third = self.scenario.seconds / 3.0
        marks = [
            max((count for at, count in self._served_samples if at <= third * part), default=0)
            for part in (1, 2)
        ]
        return marks[0], marks[1] - marks[0], served - marks[1]


def run(scenario: Scenario, log_folder: Optional[Path] = None) -> Result:
    """Play a scenario in a folder of its own; `keep` names one in which the node's log stays."""
    if log_folder is not None:
        log_folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(LargeFleet(scenario, log_folder).run_scenario())
    with tempfile.TemporaryDirectory(prefix="gradeshift-large-") as folder:
        return asyncio.run(LargeFleet(scenario, Path(folder)).run_scenario())


def summary_line(result: Result) -> str:
    """One result in one line."""
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
        f"seed {scenario.seed}: {scenario.servers} servers, {scenario.core_share:g} of a core: {state}; asked {result.asked}",
        f"served {result.served} {result.served_by_third}, refused {result.refused}, failed {result.failed}",
        f"unanswered {result.unanswered}, late attempts {result.late_attempts}, first served {result.first_served_s} s",
        f"ended {result.ended_s} s, memory {result.memory_mb} MB, decisions failed {result.decisions_failed}",
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
@click.option("--replaced-part", default=0.02, show_default=True, help="Of the servers, each time.")
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
    help="One seed or a span of them: draw the scenarios, whatever else is given.",
)
@click.option("--json", "file", type=click.Path(path_type=Path), help="Write all results there.")
@click.option(
    "--logs", type=click.Path(path_type=Path), help="Keep the nodes' logs in folders there."
)
def main(
    servers: str, shares: str, seconds: float, replace_every: float, replaced_part: float, drain: bool, seed: int, seeds: str,
    file: Optional[Path], logs: Optional[Path],
) -> None:  # fmt: skip
    """Play each number of servers with each share, or what seeds draw; exits with 1 where a rule was broken."""
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
