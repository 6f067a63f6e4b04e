"""The node processes of a soak: configuration, start, stop, and faults of a process."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Optional

from corkshift.seam import Address, now_ms
from testbed.soak.discovery import Discovery
from testbed.soak.oracle import Oracle, Rule
from testbed.soak.plan import RELOAD_INTERVALS_S
from testbed.soak.shim import ACCEPT_ERRORS, LOCAL_CONNECT_ERRORS, Shim, SystemCall
from testbed.systems.clients import CLASSES
from testbed.systems.http import fetch_body
from testbed.tier.processes import die_with_parent

ROOT = Path(__file__).parents[2]
READY_TIMEOUT_S = 30.0
# Time from SIGTERM to the end of the process.
SHUTDOWN_LIMIT_S = 4.3
# From SIGTERM to SIGKILL in an upgrade: the longest deadline of the classes and 0.7 s.
KILL_DELAY_S = max(kind.deadline_ms for kind in CLASSES) / 1000.0 + 0.7
# What discovery tells binds so long after the second process of an upgrade is up.
BINDING_MS = 2_000.0
# Time from an operator's call until every process answers accordingly.
DRAIN_ANSWER_LIMIT_S = 2.0
UP_CALLS = 12  # calls of `/up` that have to get the same answer
# Clients use a killed node for this long.
CRASH_DETECTION_S = 0.8
# Clients open new connections to a node for this long after its SIGTERM.
SHUTDOWN_DETECTION_S = 0.35
# Bounded, because the time of a request that waits in the accept queue counts from its last byte.
MAX_ACCEPT_FAULT_MS = 400.0
# Longest fault of reads and writes.
MAX_IO_FAULT_MS = 50.0
CONNECT_ERRORS = (*LOCAL_CONNECT_ERRORS, errno.EHOSTUNREACH, errno.ETIMEDOUT)
SOCKET_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
BUFFER_ERRORS = (errno.ENOBUFS, errno.ENOMEM, errno.EINTR)
CALL_ERRORS: dict[SystemCall, tuple[int, ...]] = {
    SystemCall.ACCEPT: ACCEPT_ERRORS,
    SystemCall.CONNECT: CONNECT_ERRORS,
    SystemCall.SOCKET: SOCKET_ERRORS,
    SystemCall.SEND: BUFFER_ERRORS,
    SystemCall.RECV: BUFFER_ERRORS,
}


def _prepare_child() -> None:
    """Die with the rig; ignore SIGHUP as `run` in the deploy file does."""
    die_with_parent()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


@dataclass(slots=True)
class Node:
    """One node: its configuration, its process and the faults of that process.

    `endpoint_index` selects the discovery address in its configuration. Clients send the node
    nothing from `down_from_s` on (monotonic seconds; 0: it is up). `restarting` is set while the
    process is being stopped or started.
    """

    name: str
    listen: Address
    folder: Path
    shim: Shim
    config: dict[str, Any]
    discovery: Discovery
    oracle: Oracle
    endpoint_index: int = 0
    # The listening socket that its processes share; None: each opens its own.
    listening: Optional[socket.socket] = None
    admin_ports: tuple[int, ...] = ()
    process: Optional[asyncio.subprocess.Process] = None
    # The process that `process` takes over from, until it has ended.
    predecessor: Optional[asyncio.subprocess.Process] = None
    admin_index: int = 0
    down_from_s: float = 0.0
    restarting: bool = False
    exit_codes: list[int] = field(default_factory=list)

    @property
    def down(self) -> bool:
        """Whether clients have noticed that the node is down."""
        return 0.0 < self.down_from_s <= time.monotonic()

    @property
    def log(self) -> str:
        """Everything that all its processes logged."""
        return (self.folder / f"{self.name}.log").read_text()

    # -- lifecycle -----------------------------------------------------------------------

    def write_config(self) -> None:
        """Write its configuration with its discovery address and the current list of servers."""
        host, port = self.discovery.endpoints[self.name][self.endpoint_index].address
        self.config["discovery"] = f"{host}:{port}"
        servers = self.discovery.servers
        self.config["known"] = {
            "generation": servers.latest_version,
            "reset": True,
            "instances": list(servers.entries.values()),
        }
        self._path.write_text(json.dumps(self.config))

    @property
    def _path(self) -> Path:
        return self.folder / f"{self.name}.json"

    async def start(self) -> None:
        """Write the configuration and start a process."""
        self.process = await self._start_process()
        self.oracle.started_ms[self.name] = now_ms()

    async def _start_process(self) -> asyncio.subprocess.Process:
        self.write_config()
        descriptors: tuple[int, ...] = ()
        environ = {
            **os.environ,
            **self.shim.environment,
            "PROXY_CONFIG": str(self._path),
            "TMPDIR": str(self.folder),
        }
        if self.listening is not None:
            descriptors = (self.listening.fileno(),)
            environ["PROXY_SOCKET_FD"] = str(self.listening.fileno())
            environ["PROXY_ADMIN_ADDR"] = f"127.0.0.1:{self.admin_port}"
        with open(self.folder / f"{self.name}.log", "ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "corkshift",
                cwd=ROOT,
                env=environ,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_prepare_child,
                pass_fds=descriptors,
            )

    @property
    def admin_port(self) -> int:
        """The port of the latest process's operators' address."""
        return self.admin_ports[self.admin_index % len(self.admin_ports)]

    async def wait_ready(self) -> None:
        """Wait until the node answers.

        Raises RuntimeError where the process has ended, TimeoutError after READY_TIMEOUT_S.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while await self._health() is None:
                if self.process is None or self.process.returncode is not None:
                    raise RuntimeError(
                        f"{self.name} did not start; end of its log: {self.log[-800:]}"
                    )
                await asyncio.sleep(0.05)

    async def _health(self) -> Optional[bytes]:
        """The answer of the latest process where it is up, else None."""
        if self.listening is None:
            return await fetch_body(self.listen, "/up")
        return await fetch_body(("127.0.0.1", self.admin_port), "/admin/health")

    async def start_again(self) -> None:
        """Start it again; clients use it once it answers."""
        await self.start()
        await self.wait_ready()
        self.down_from_s = 0.0

    async def stop(self) -> None:
        """Kill the process for good and close the shim."""
        if self.predecessor is not None and self.predecessor.returncode is None:
            self.predecessor.kill()
            await self.predecessor.wait()
        if self.listening is not None:
            self.listening.close()
        if self.process is not None:
            if self.process.returncode is None:
                with suppress(ProcessLookupError):
                    self.process.kill()
            elif not self.restarting:
                self.exit_codes.append(self.process.returncode)
            await self.process.wait()
        self.shim.close()

    # -- faults --------------------------------------------------------------------------

    async def kill(self) -> None:
        """Send SIGKILL and start a new process shortly after."""
        if self.restarting or self.process is None:
            return
        self.restarting = True
        try:
            self.oracle.exempt[self.name].begin()
            self.process.kill()
            self.down_from_s = time.monotonic() + CRASH_DETECTION_S
            self.exit_codes.append(await self.process.wait())
            await asyncio.sleep(0.3)
            await self.start_again()
            self.oracle.exempt[self.name].end()
        finally:
            self.restarting = False

    async def restart(self) -> None:
        """Send SIGTERM and start a new process once the old one has exited."""
        if self.restarting or self.process is None:
            return
        self.restarting = True
        try:
            self.process.send_signal(signal.SIGTERM)
            self.down_from_s = time.monotonic() + SHUTDOWN_DETECTION_S
            try:
                async with asyncio.timeout(SHUTDOWN_LIMIT_S):
                    self.exit_codes.append(await self.process.wait())
            except TimeoutError:
                self.oracle.record_violation(
                    Rule.CRASH,
                    f"{self.name} was still running {SHUTDOWN_LIMIT_S} s after SIGTERM, killing it",
                )
                self.process.kill()
                await self.process.wait()
            await self.start_again()
        finally:
            self.restarting = False

    async def upgrade(self, term_delay_s: float, kill_after_s: float) -> None:
        """Start a second process; SIGTERM to the first one `term_delay_s` after it is up.

        kill_after_s: kill the second process so long after its start unless it is up; 0: never.
        """
        if self.restarting or self.process is None:
            return
        self.restarting = True
        try:
            takeover = self.oracle.takeovers[self.name]
            takeover.begin()
            self.admin_index += 1
            new = await self._start_process()
            if kill_after_s and not await self._is_up_within(kill_after_s):
                new.kill()
                self.admin_index -= 1
                self.exit_codes.append(await new.wait())
                takeover.end()
                return
            self.predecessor, self.process = self.process, new
            await self.wait_ready()
            takeover.end(BINDING_MS)
            self.oracle.counts["upgrades"] += 1
            await asyncio.sleep(term_delay_s)
            await self._end_predecessor()
        finally:
            self.restarting = False

    async def _is_up_within(self, limit_s: float) -> bool:
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if await self._health() is not None:
                return True
            await asyncio.sleep(0.02)
        return False

    async def _end_predecessor(self) -> None:
        old = self.predecessor
        assert old is not None
        old.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(KILL_DELAY_S):
                self.exit_codes.append(await old.wait())
        except TimeoutError:
            self.oracle.record_violation(
                Rule.CRASH, f"{self.name} was still running {KILL_DELAY_S} s after SIGTERM"
            )
            old.kill()
            await old.wait()
        self.predecessor = None

    async def quiesce(self, duration_s: float) -> None:
        """Drain the node as an operator does, and put it back into service."""
        if self.listening is None or self.restarting and self.predecessor is None:
            return
        if await self._call("quiesce") != 200:
            return
        self.oracle.counts["operator drains"] += 1
        await self._wait_up_answers(503, "says that it is up")
        if not self.down_from_s:
            self.down_from_s = time.monotonic()
        await asyncio.sleep(duration_s)
        while self.restarting and self.predecessor is None:
            await asyncio.sleep(0.05)
        if await self._call("resume") == 200:
            await self._wait_up_answers(200, "does not say that it is up")
        self.down_from_s = 0.0

    async def _call(self, action: str) -> int:
        """Call the operators' address of the latest process; returns the status, 0 for none."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
        except OSError:
            return 0
        writer.write(f"PUT /admin/{action} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        try:
            words = (await reader.read()).split(b" ", 2)
            return int(words[1]) if len(words) > 1 else 0
        except OSError:
            return 0
        finally:
            writer.transport.abort()

    async def _wait_up_answers(self, expected: int, complaint: str) -> None:
        """Wait until a series of calls of `/up` gets the expected status from every process."""
        process, end_s = self.process, time.monotonic() + DRAIN_ANSWER_LIMIT_S
        while [await self._up_status() for _ in range(UP_CALLS)] != [expected] * UP_CALLS:
            if self.process is not process or process is None or process.returncode is not None:
                return  # killed or replaced meanwhile
            if time.monotonic() > end_s:
                self.oracle.record_violation(
                    Rule.DRAIN_CALL,
                    f"{self.name} {complaint} {DRAIN_ANSWER_LIMIT_S} s after an operator's call",
                )
                return

    async def _up_status(self) -> int:
        body = await fetch_body(self.listen, "/up")
        return 503 if body is None else 200

    async def reload(self, count: int) -> None:
        """Send `count` SIGHUPs in a row, each switching to the other discovery address."""
        for n in range(count):
            if self.process is None or (self.restarting and self.predecessor is None):
                return
            self.endpoint_index = 1 - self.endpoint_index
            self.write_config()
            for process in (self.process, self.predecessor):
                if process is not None:
                    with suppress(ProcessLookupError):
                        process.send_signal(signal.SIGHUP)
            if n < len(RELOAD_INTERVALS_S):
                await asyncio.sleep(RELOAD_INTERVALS_S[n])

    async def pause(self, duration_ms: float) -> None:
        """Stop the process with SIGSTOP for `for_ms`."""
        if self.restarting or self.process is None:
            return
        process, stalled = self.process, self.oracle.stalled[self.name]
        stalled.begin()
        with suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_ms / 1000.0)
            process.send_signal(signal.SIGCONT)
        await asyncio.sleep(0.05)
        stalled.end()

    def stall(self, times: int) -> None:
        """Delay each of its next `times` writes by 0.15 s."""
        span_ms = 150.0 * times + 1_000.0
        self.oracle.stalled[self.name].add(now_ms(), now_ms() + span_ms)
        # The rules do not allow for several stalls in a row.
        if times > 1:
            self.oracle.slow_io[self.name].add(now_ms(), now_ms() + span_ms)
            self.oracle.exempt[self.name].add(now_ms() - 1.0, now_ms() + span_ms)
        self.shim.stall_writes(150, times)

    async def fail_calls(self, selector: int, duration_s: float) -> str:
        """Let one of its system calls fail for a while; return a description.

        `selector` determines the call and the errno.
        """
        call = SystemCall(selector % len(SystemCall))
        error = CALL_ERRORS[call][selector % len(CALL_ERRORS[call])]
        max_ms = {
            SystemCall.ACCEPT: MAX_ACCEPT_FAULT_MS,
            SystemCall.SEND: MAX_IO_FAULT_MS,
            SystemCall.RECV: MAX_IO_FAULT_MS,
        }.get(call, 10_000.0)
        duration_s = min(duration_s, max_ms / 1000.0)
        blocks = call in (SystemCall.CONNECT, SystemCall.SOCKET)
        if blocks:
            self.oracle.reachable(self.name, False)
        self.shim.fail(call, error)
        await asyncio.sleep(duration_s)
        self.shim.restore(call)
        if blocks:
            self.oracle.reachable(self.name, True)
        return (
            f"{self.name}: {call.name.lower()} fails with {errno.errorcode[error]} "
            f"for {duration_s} s"
        )

    async def short_io(self, duration_s: float) -> None:
        """Let each of its reads and writes move a single byte for `for_s`."""
        self.oracle.slow_io[self.name].begin()
        self.shim.move_single_bytes(True)
        await asyncio.sleep(duration_s)
        self.shim.move_single_bytes(False)
        await asyncio.sleep(0.3)
        self.oracle.slow_io[self.name].end()
