"""The node's process on loopback sockets: startup, signals and exit."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest
from loopback import (
    OPTIONS,
    CacheBox,
    ScriptedDiscovery,
    default_answer,
    request,
    run_async,
    status,
    until,
)

from testbed.systems.ports import reserve_port

ROOT = Path(__file__).parent.parent
STOPS = 40


def stat(path: Path) -> list[str]:
    """The fields of /proc/.../stat of a process or thread, from its state on."""
    return (path / "stat").read_text().rpartition(")")[2].split()


def states(pid: int) -> list[str]:
    """The states of a process's threads, kernel threads that work for it included."""
    return [stat(path)[0] for path in Path(f"/proc/{pid}/task").iterdir()]


def cpu_s(pid: int) -> float:
    """The CPU time of all these threads, in seconds."""
    return sum(map(int, stat(Path(f"/proc/{pid}"))[11:13])) / os.sysconf("SC_CLK_TCK")


class Process:
    """A node process, started by `python -m corkshift`."""

    def __init__(
        self, path: Path, discovery_server: ScriptedDiscovery | None, port: int = 0
    ) -> None:
        self.path = path
        self.port = port or reserve_port()
        self.extra_environ: dict[str, str] = {}  # further environment variables
        self.descriptors: tuple[int, ...] = ()  # inherited file descriptors
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_server.port if discovery_server else 1}",
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 128},
            "known": {"generation": 0, "reset": True, "instances": []},
            "settings": OPTIONS,
        }
        self.log: list[str] = []

    def write(self) -> None:
        self.path.write_text(json.dumps(self.config))

    async def start(self) -> None:
        environ = {
            **os.environ,
            "PROXY_CONFIG": str(self.path),
            "PROXY_DISCOVERY": self.config["discovery"],
            **self.extra_environ,
        }
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "corkshift",
            cwd=ROOT,
            env=environ,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=self.descriptors,
        )
        self.reading = asyncio.create_task(self._read_log())

    async def _read_log(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.log.append(line.decode())

    async def send(self, data: bytes) -> bytes:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except ConnectionError:
            return b""
        writer.write(data)
        answer = await reader.read()
        writer.close()
        return answer

    async def ask(self, txn: str, path: str = "/api/k") -> bytes:
        return await self.send(request(txn, "Connection: close\r\n", path))

    async def wait_served(self, name: str) -> None:
        """Send requests until one is served, so that the node has received a list."""
        n = 0
        while status(await self.ask(f"{name}-{n}")) != 200:
            n += 1
            await asyncio.sleep(0.02)


@asynccontextmanager
async def running(
    path: Path,
    box: CacheBox,
    extra_environ: dict[str, str] | None = None,
    descriptors: tuple[int, ...] = (),
    port: int = 0,
) -> AsyncIterator[tuple[Process, ScriptedDiscovery]]:
    box.listen()
    discovery_server = ScriptedDiscovery({"s0": box})
    discovery_server.start()
    process = Process(path, discovery_server, port)
    process.extra_environ, process.descriptors = extra_environ or {}, descriptors
    process.write()
    await process.start()
    try:
        await process.wait_served("start")
        yield process, discovery_server
    finally:
        if process.process.returncode is None:
            process.process.kill()
        await process.process.wait()
        await process.reading


def test_sigstop_and_sigcont_cost_no_cpu(tmp_path: Path) -> None:
    # Guards against a kernel thread that polls for 14 ms after each stop: a node limited to a part
    # of a core is stopped often.
    async def test() -> None:
        async with running(tmp_path / "config.json", CacheBox()) as (process, _):
            pid = process.process.pid
            before = cpu_s(pid)
            for _ in range(STOPS):
                process.process.send_signal(signal.SIGSTOP)
                await until(lambda: set(states(pid)) == {"T"})
                process.process.send_signal(signal.SIGCONT)
                # Kernel threads that poll are idle too.
                await until(lambda: set(states(pid)) == {"S"})
            assert cpu_s(pid) - before < 0.005 * STOPS
            assert status(await process.ask("after")) == 200

    run_async(test)


def test_sighup_moves_discovery_and_keeps_open_requests(tmp_path: Path) -> None:
    # Guards against SIGHUP ending the process, and against a list from the old address.
    async def test() -> None:
        held: list[bytes] = []
        box, fresh = (
            CacheBox(lambda head: held.append(head) if b"/slow" in head else default_answer(head)),
            CacheBox(),
        )
        async with running(tmp_path / "config.json", box) as (process, discovery_server):
            slow = asyncio.create_task(process.ask("slow", "/slow"))
            await until(lambda: len(held) == 1)
            fresh.listen()
            moved = ScriptedDiscovery({"s1": fresh})
            moved.start()
            process.config["discovery"] = f"127.0.0.1:{moved.port}"
            process.write()
            process.process.send_signal(signal.SIGHUP)
            await until(lambda: len(moved.requested_targets) == 1)
            assert "after=" not in moved.requested_targets[0]
            await discovery_server.stop()
            before, n = len(fresh.heads), 0
            while len(fresh.heads) == before:
                n += 1
                await process.ask(f"moved-{n}")
            assert not slow.done() and process.process.returncode is None
            slow.cancel()

    run_async(test)


@pytest.mark.parametrize("text", [None, "{", '{"listen": 5}', "[]"])
def test_a_reload_of_a_bad_file_changes_nothing_but_the_log(
    tmp_path: Path, text: str | None
) -> None:
    # Guards against a mistake in the file that takes a node out of service.
    async def test() -> None:
        async with running(tmp_path / "config.json", CacheBox()) as (process, discovery_server):
            before = len(process.log)
            process.path.unlink() if text is None else process.path.write_text(text)
            process.process.send_signal(signal.SIGHUP)
            await until(lambda: len(process.log) > before)
            assert status(await process.ask("after")) == 200
            assert len(process.log) == before + 1 and "stays in force" in process.log[-1]
            assert len(discovery_server.requested_targets) == 1

    run_async(test)


def test_sigterm_answers_open_requests_and_exits_with_zero(tmp_path: Path) -> None:
    # Guards against a planned restart that loses accepted requests.
    async def test() -> None:
        heads: list[bytes] = []
        release = asyncio.Event()

        async def script(head: bytes) -> bytes | None:
            if b"/slow" in head:
                heads.append(head)
                await release.wait()
            return default_answer(head)

        box = CacheBox(script)
        async with running(tmp_path / "config.json", box) as (process, _):
            slow = asyncio.create_task(process.send(request("slow", path="/slow")))
            await until(lambda: len(heads) == 1)
            process.process.send_signal(signal.SIGTERM)
            # Still accepted, and answered with Connection: close.
            late = await process.send(request("late"))
            assert status(late) == 200 and b"connection: close" in late.lower()
            release.set()
            assert status(await slow) == 200
            assert await process.process.wait() == 0

    run_async(test)


@pytest.mark.parametrize("text", [None, "{", '{"listen": "127.0.0.1:0"}', "[]"])
def test_a_bad_file_at_startup_ends_the_process_with_one_line(
    tmp_path: Path, text: str | None
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        if text is not None:
            path.write_text(text)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "corkshift",
            cwd=ROOT,
            env={**os.environ, "PROXY_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        assert process.returncode not in (0, None) and errors.count(b"\n") == 1

    run_async(test)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signals_in_series_do_not_kill_a_process_on_its_way_out(
    number: signal.Signals, tmp_path: Path
) -> None:
    async def test() -> None:
        async with running(tmp_path / "config.json", CacheBox()) as (process, _):
            process.process.send_signal(signal.SIGTERM)
            while process.process.returncode is None:
                with suppress(ProcessLookupError):
                    os.kill(process.process.pid, number)  # send_signal would take the exit code
                await asyncio.sleep(0.0005)
            assert process.process.returncode == 0

    run_async(test)
