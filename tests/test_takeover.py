"""A process that takes over from another of its node: what it may do follows from what either was
notified of.

Processes of the node are real; discovery and servers are emulated in this process.
"""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Optional

import pytest
from loopback import OPTIONS, CacheBox, ScriptedDiscovery, entry, request, run_async, status
from test_list_freshness import send_until
from test_process import Process
from test_upgrade import Successor, health

from corkshift.seam import now_ms
from testbed.systems.http import Connection, Message
from testbed.systems.ports import reserve_port

SLOW_POLLING = {**OPTIONS, "contract": {"mustAskInMs": 10_000, "stopSendingWithinMs": 250}}
BINDING_MS = 2_000.0  # what discovery tells binds so long after the second process is up
NOTIFIED_MS = 6_000.0  # a change counts as notified this long after discovery had it
GRACE_MS = 300.0  # the settings' grace of 250 ms, and 50 ms for sockets
RESTART_DELAY_S = 1.8  # from the kill to the start of the next process
RESTART_LIMIT_MS = 6_000.0  # in which the platform wants a restarted node to be up
LATE_FIRST_CALL_SEED = "34"  # draws nearly the longest wait before the first call


class DelayedDiscovery(ScriptedDiscovery):
    """Discovery that delays the answers of single calls, by their number; None: no answer."""

    def __init__(self, boxes: dict[str, CacheBox]) -> None:
        super().__init__(boxes)
        self.delays_s: dict[int, Optional[float]] = {}
        self.calls_ms: list[float] = []
        self.answered = 0

    async def serve(self, connection: Connection, request: Message) -> None:
        self.calls_ms.append(now_ms())
        delay_s = self.delays_s.get(len(self.calls_ms), 0.0)
        await asyncio.sleep(3_600.0 if delay_s is None else delay_s)
        self.answered += 1
        await super().serve(connection, request)


class Node:
    """One node: the files and sockets that its processes share."""

    def __init__(self, folder: Path, discovery_server: DelayedDiscovery) -> None:
        self.discovery_server = discovery_server
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port: int = self.listening.getsockname()[1]
        self._folder = folder
        (folder / "tmp").mkdir()
        self.processes: list[Successor] = []
        self.seed = "1"

    def saved_list(self) -> dict[str, object]:
        """The present list, as a configuration holds it."""
        return {
            "generation": self.discovery_server.generation,
            "reset": True,
            "instances": list(self.discovery_server.entries.values()),
        }

    async def start(self, saved: Optional[dict[str, object]] = None) -> tuple[Successor, int]:
        """Start a process of the node; returns it with the port of its operators' address.

        saved: its saved list, or None for the present one.
        """
        process, admin_port = (
            Successor(self._folder / "config.json", self.discovery_server, self.port),
            reserve_port(),
        )
        process.config["settings"] = SLOW_POLLING
        process.config["known"] = self.saved_list() if saved is None else saved
        process.config["seed"] = self.seed
        process.write()
        process.extra_environ = {
            "PROXY_SOCKET_FD": str(self.listening.fileno()),
            "PROXY_ADMIN_ADDR": f"127.0.0.1:{admin_port}",
            "TMPDIR": str(self._folder / "tmp"),
        }
        process.descriptors = (self.listening.fileno(),)
        await process.start()
        self.processes.append(process)
        return process, admin_port

    async def wait_up(self, admin_port: int) -> float:
        """Wait until a process says that it is up; returns when."""
        while await health(admin_port) != 200:
            await asyncio.sleep(0.01)
        return now_ms()


@asynccontextmanager
async def node_with_two_servers(
    folder: Path,
) -> AsyncIterator[tuple[Node, CacheBox, Successor]]:
    """A node whose first process serves from the servers s0 (returned) and s1."""
    leaving, staying = CacheBox(), CacheBox()
    leaving.listen()
    staying.listen()
    discovery_server = DelayedDiscovery({"s0": leaving, "s1": staying})
    discovery_server.start()
    node = Node(folder, discovery_server)
    try:
        old, admin_port = await node.start()
        await node.wait_up(admin_port)
        await old.wait_served("start")
        while not discovery_server.answered:
            await asyncio.sleep(0.01)
        yield node, leaving, old
    finally:
        for process in node.processes:
            await process.stop()
        await discovery_server.stop()
        node.listening.close()
        leaving.close()
        staying.close()


def drain(discovery_server: DelayedDiscovery, box: CacheBox) -> None:
    """Let the server s0 begin to drain."""
    discovery_server.update(entry("s0", box.port, "terminating"), "terminating")


@pytest.mark.parametrize("delay_s", [0.0, 1.5])
def test_a_second_process_is_up_once_discovery_has_sent_it_a_list(
    tmp_path: Path, delay_s: float
) -> None:
    # Guards against a process that serves the saved list after an upgrade (incident 2026-12-04).
    async def test() -> None:
        async with node_with_two_servers(tmp_path) as (node, leaving, old):
            discovery_server = node.discovery_server
            discovery_server.delays_s[2] = delay_s
            new, admin_port = await node.start()
            up_ms = await node.wait_up(admin_port)
            answered = discovery_server.answered
            drain(discovery_server, leaving)
            old.process.send_signal(signal.SIGTERM)
            end_ms = up_ms + BINDING_MS + 1_500.0
            latest_ms = await send_until(new, leaving, lambda: now_ms() > end_ms)
            assert answered == 2
            assert latest_ms <= up_ms + BINDING_MS + GRACE_MS

    run_async(test)


@pytest.mark.parametrize("delay_s", [None, 2.5])
def test_a_restarted_process_whose_first_call_is_late_or_lost_honors_a_drain(
    tmp_path: Path, delay_s: Optional[float]
) -> None:
    # Guards against a process that serves the saved list after a kill.
    async def test() -> None:
        async with node_with_two_servers(tmp_path) as (node, leaving, old):
            old.process.kill()
            await old.process.wait()
            node.discovery_server.delays_s[2] = delay_s
            node.seed = LATE_FIRST_CALL_SEED
            saved = node.saved_list()
            drain(node.discovery_server, leaving)
            drained_ms = now_ms()
            await asyncio.sleep(RESTART_DELAY_S)
            new, admin_port = await node.start(saved)
            await node.wait_up(admin_port)
            end_ms = drained_ms + NOTIFIED_MS + GRACE_MS + 1_000.0
            latest_ms = await send_until(new, leaving, lambda: now_ms() > end_ms)
            assert latest_ms <= drained_ms + NOTIFIED_MS + GRACE_MS
            assert node.discovery_server.answered >= 2

    run_async(test)


@pytest.mark.parametrize("refuse", [True, False])
def test_a_restarted_node_serves_within_a_bound_while_discovery_is_down(
    tmp_path: Path, refuse: bool
) -> None:
    async def test() -> None:
        async with node_with_two_servers(tmp_path) as (node, _, old):
            old.process.kill()
            await old.process.wait()
            if refuse:
                await node.discovery_server.stop()
            else:
                node.discovery_server.delays_s.update({n: None for n in range(2, 20)})
            started_ms = now_ms()
            new, admin_port = await node.start()
            up_ms = await node.wait_up(admin_port)
            assert status(await new.ask("again")) == 200
            assert up_ms - started_ms <= RESTART_LIMIT_MS

    run_async(test)


def test_a_drain_that_the_old_process_is_notified_of_binds_the_new_one(tmp_path: Path) -> None:
    # The watch of the new process is silent when the server begins to drain.
    async def test() -> None:
        async with node_with_two_servers(tmp_path) as (node, leaving, old):
            discovery_server = node.discovery_server
            old_watch = next(iter(discovery_server.watches))
            new, admin_port = await node.start()
            up_ms = await node.wait_up(admin_port)
            (new_watch,) = [watch for watch in discovery_server.watches if watch is not old_watch]
            await asyncio.sleep((up_ms + BINDING_MS - now_ms()) / 1000.0)
            discovery_server._muted.add(new_watch)
            drain(discovery_server, leaving)
            notified_ms = now_ms()
            await asyncio.sleep(0.02)
            old.process.send_signal(signal.SIGTERM)
            end_ms = notified_ms + 1_200.0
            latest_ms = await send_until(new, leaving, lambda: now_ms() > end_ms)
            assert latest_ms <= notified_ms + GRACE_MS

    run_async(test)


def test_a_drain_that_the_new_process_is_notified_of_binds_the_old_one(tmp_path: Path) -> None:
    # Clients go on using their connections to the old process, whose watch is silent.
    async def test() -> None:
        async with node_with_two_servers(tmp_path) as (node, leaving, _):
            discovery_server = node.discovery_server
            reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
            old_watch = next(iter(discovery_server.watches))

            async def ask(n: int) -> None:
                writer.write(request(f"kept-{n}", path=f"/api/{n}"))
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
                await reader.readexactly(length)

            await ask(0)
            _, admin_port = await node.start()
            up_ms = await node.wait_up(admin_port)
            await asyncio.sleep((up_ms + BINDING_MS - now_ms()) / 1000.0)
            discovery_server._muted.add(old_watch)
            drain(discovery_server, leaving)
            notified_ms, latest_ms, n = now_ms(), 0.0, 0
            while now_ms() < notified_ms + 1_200.0:
                n, seen = n + 1, len(leaving.heads)
                await ask(n)
                latest_ms = now_ms() if len(leaving.heads) > seen else latest_ms
                await asyncio.sleep(0.005)
            writer.transport.abort()
            assert latest_ms <= notified_ms + GRACE_MS

    run_async(test)


def test_a_drain_by_an_operator_holds_for_both_processes_and_ends_for_both(
    tmp_path: Path,
) -> None:
    async def up(process: Process) -> int:
        return status(
            await process.send(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        )

    async def test() -> None:
        async with node_with_two_servers(tmp_path) as (node, _, old):
            old_port = int(old.extra_environ["PROXY_ADMIN_ADDR"].rpartition(":")[2])
            assert await call(old_port, "PUT", "/admin/quiesce") == 200
            new, admin_port = await node.start()
            await node.wait_up(admin_port)
            answers = [await up(new) for _ in range(40)]
            assert set(answers) == {503}
            assert await call(admin_port, "PUT", "/admin/resume") == 200
            end_ms = now_ms() + 2_000.0
            while set([await up(new) for _ in range(40)]) != {200}:
                assert now_ms() < end_ms
            assert new.process.returncode is None

    run_async(test)


async def call(port: int, method: str, path: str) -> int:
    """Call an operators' address; returns the status."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    try:
        return status(await reader.read())
    finally:
        writer.transport.abort()


@pytest.mark.parametrize("ending", ["alone", "both"])
def test_a_process_that_ends_accepts_while_no_other_one_does(tmp_path: Path, ending: str) -> None:
    # Guards against connections that wait in the shared queue until a later process starts.
    async def test() -> None:
        async with node_with_two_servers(tmp_path) as (node, _, old):
            processes = [old]
            if ending == "both":
                new, admin_port = await node.start()
                await node.wait_up(admin_port)
                processes.append(new)
            for process in processes:
                process.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            assert [status(await old.ask(f"late-{n}")) for n in range(6)] == [200] * 6
            for process in processes:
                assert await process.process.wait() == 0

    run_async(test)


def test_time_in_the_queue_of_an_inherited_socket_counts_towards_the_deadline(
    tmp_path: Path,
) -> None:
    # A request may have waited since before the process began.
    async def test() -> None:
        async with node_with_two_servers(tmp_path) as (node, _, old):
            old.process.kill()
            await old.process.wait()
            boxes = list(node.discovery_server.boxes.values())
            seen = sum(len(box.heads) for box in boxes)
            waiting = asyncio.create_task(old.ask("queued"))  # its client waits 20 s
            sent_ms = now_ms()
            await asyncio.sleep(1.0)
            await node.start()
            assert status(await waiting) == 200
            (head,) = [head for box in boxes for head in box.heads if b"queued" in head]
            assert sum(len(box.heads) for box in boxes) == seen + 1
            announced = int(head.lower().partition(b"x-remaining-ms:")[2].split(b"\r\n")[0])
            assert announced <= 20_000 - 1_000 and now_ms() > sent_ms + 1_000.0

    run_async(test)
