"""One real node process with given limits, and its memory."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any, Optional

from corkshift.seam import Address
from testbed.systems.clients import CLASSES, settings
from testbed.systems.http import fetch_body
from testbed.systems.ports import reserve_port
from testbed.tier.processes import die_with_parent

ROOT = Path(__file__).parents[2]
HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0
POLL_WITHIN_MS = 10_000.0


def anonymous_kib(pid: int) -> int:
    """Memory of a process in KiB without mapped files, which other processes could share."""
    rows = Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = dict(row.split(":", 1) for row in rows)
    return sum(int(fields[name].split()[0]) for name in ("RssAnon", "RssShmem"))


def processor_s(pid: int) -> float:
    """Processor time that a process has used, in s."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return sum(map(int, fields[11:13])) / os.sysconf("SC_CLK_TCK")


class NodeProcess:
    """A node with a listening socket of its own, or several processes on an inherited one.

    memory_mb, sockets: its limits. instances: the cache servers, as entries of discovery.
    """

    def __init__(
        self,
        folder: Path,
        discovery: Address,
        instances: list[dict[str, object]],
        memory_mb: int,
        sockets: int,
        shared_socket: bool = False,
        name: str = "n0",
    ) -> None:
        self.folder = folder
        self.name = name
        self._listener = socket.create_server((HOST, 0), backlog=4_096) if shared_socket else None
        self.port = self._listener.getsockname()[1] if self._listener else reserve_port()
        self.admin_port = reserve_port()
        self.processes: list[asyncio.subprocess.Process] = []
        self.config: dict[str, Any] = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "admin_addr": f"{HOST}:{self.admin_port}",
            "discovery": f"{discovery[0]}:{discovery[1]}",
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": {"generation": 0, "reset": True, "instances": instances},
            "settings": settings(CLASSES, POLL_WITHIN_MS),
        }

    @property
    def log_path(self) -> Path:
        """The file with everything that its processes logged."""
        return self.folder / f"{self.name}.log"

    @property
    def pid(self) -> int:
        """The process id of the latest process."""
        return self.processes[-1].pid

    @property
    def ended(self) -> bool:
        """Whether the latest process has ended."""
        return self.processes[-1].returncode is not None

    async def start(self) -> asyncio.subprocess.Process:
        """Start a process of the node."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        environ = {**os.environ, "PROXY_CONFIG": str(path), "TMPDIR": str(self.folder)}
        descriptors: tuple[int, ...] = ()
        if self._listener is not None:
            descriptors = (self._listener.fileno(),)
            environ["PROXY_SOCKET_FD"] = str(self._listener.fileno())
            environ["PROXY_ADMIN_ADDR"] = f"{HOST}:{self.admin_port}"
        with open(self.log_path, "ab") as log:
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
                pass_fds=descriptors,
            )
        self.processes.append(process)
        return process

    async def start_successor(self) -> asyncio.subprocess.Process:
        """Start a further process on the same socket, and wait until it serves."""
        self.admin_port = reserve_port()
        process = await self.start()
        await self.wait_ready()
        return process

    async def wait_ready(self) -> None:
        """Wait until the latest process serves. Raises RuntimeError or TimeoutError."""
        until_s = time.monotonic() + READY_TIMEOUT_S
        while await fetch_body((HOST, self.admin_port), "/admin/health") is None:
            if self.ended or time.monotonic() > until_s:
                raise RuntimeError(f"the node did not start: {self.log_path.read_text()[-800:]}")
            await asyncio.sleep(0.05)

    async def end_process(self, process: asyncio.subprocess.Process, kill_after_s: float) -> None:
        """Send SIGTERM, and SIGKILL if the process is still there after a time."""
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(kill_after_s):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()

    async def stop(self) -> None:
        """Kill all processes and close the listening socket."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        if self._listener is not None:
            self._listener.close()

    async def stats(self) -> dict[str, str]:
        """The figures of the operators' address; empty if it does not answer."""
        body = await fetch_body((HOST, self.admin_port), "/admin/stats")
        rows = (body or b"").decode().splitlines()
        return {name: value for name, _, value in (row.partition("=") for row in rows)}


class MemorySampler:
    """Samples the anonymous memory of a process while it runs."""

    INTERVAL_S = 0.02

    def __init__(self, node: NodeProcess) -> None:
        self._node = node
        self.peak_kib = 0
        self._task: Optional[asyncio.Task[None]] = None

    def start(self) -> None:
        """Start to sample."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop sampling."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while not self._node.ended:
            try:
                self.peak_kib = max(self.peak_kib, anonymous_kib(self._node.pid))
            except (OSError, KeyError):
                return  # it has just ended
            await asyncio.sleep(self.INTERVAL_S)
