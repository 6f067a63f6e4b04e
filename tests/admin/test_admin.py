"""The operators' address over loopback: requests, metrics, invalid requests, idle connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from loopback import CacheBox, Rig, default_answer, request, rig, run_async, send_to, status, until

from corkshift.admin import Admin, Status
from corkshift.admin.server import MAX_CONNECTIONS
from forkweir.limits.lifecycle import DRAIN_MS


class AdminFixture:
    """A node with an operators' address."""

    def __init__(self, node: Rig) -> None:
        self.rig = node
        self.admin = Admin(
            Status(node.node, node.frontend, node.discovery, node.metrics), ("127.0.0.1", 0)
        )
        self.admin.start()

    async def send(self, data: bytes) -> bytes:
        return await send_to(self.admin.address, data)

    async def call(self, path: str, method: str = "GET") -> int:
        return status(await self.send(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()))

    async def figures(self) -> dict[str, int]:
        answer = await self.send(b"GET /admin/stats HTTP/1.1\r\nHost: x\r\n\r\n")
        assert status(answer) == 200
        pairs = (line.split("=") for line in answer.partition(b"\r\n\r\n")[2].decode().splitlines())
        return {name: int(value) for name, value in pairs}


@asynccontextmanager
async def admin_fixture(
    boxes: dict[str, CacheBox], sockets: int = 64
) -> AsyncIterator[AdminFixture]:
    async with rig(boxes, sockets) as node:
        fixture = AdminFixture(node)
        try:
            yield fixture
        finally:
            fixture.admin.close()


def test_metrics_count_answers_by_kind_and_attempts() -> None:
    async def test() -> None:
        def script(head: bytes) -> bytes:
            if b"/bad" in head:
                return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
            if b"/full" in head:
                return b"HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
            return default_answer(head)

        async with admin_fixture({"s1": CacheBox(script)}) as fixture:
            for n in range(3):
                assert status(await fixture.rig.ask(f"ok-{n}")) == 200
            assert status(await fixture.rig.ask("bad", path="/api/bad", class_name="order")) == 502
            assert (
                status(await fixture.rig.ask("full", path="/api/full", class_name="order")) == 503
            )
            seen = await fixture.figures()
            assert (
                seen["svc.responses.read.ok"],
                seen["svc.responses.read.shed"],
                seen["svc.responses.read.errors"],
            ) == (3, 0, 0)
            assert (
                seen["svc.responses.order.ok"],
                seen["svc.responses.order.shed"],
                seen["svc.responses.order.errors"],
            ) == (0, 1, 1)
            assert seen["svc.tries"] == len(fixture.rig.boxes["s1"].heads)
            assert (seen["svc.active"], seen["svc.pool_size"], seen["svc.pool_ejected"]) == (
                0,
                1,
                0,
            )
            refused = {
                name: count for name, count in seen.items() if name.startswith("svc.refused.")
            }
            assert len(refused) == 12 and refused["svc.refused.tries"] == sum(refused.values()) == 1

    run_async(test)


def test_metrics_count_open_requests_and_avoided_servers() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def slow(head: bytes) -> bytes:
            await release.wait()
            return default_answer(head)

        box, dead = CacheBox(slow), CacheBox()
        async with admin_fixture({"s1": box, "s2": dead}) as fixture:
            tasks = [
                asyncio.create_task(fixture.rig.ask(f"t{n}", path=f"/api/k{n}", class_name="order"))
                for n in range(8)
            ]
            await until(
                lambda: (
                    fixture.rig.node.open + sum(task.done() for task in tasks) == 8
                    and len(box.heads) > 0
                )
            )
            assert (await fixture.figures())["svc.active"] == fixture.rig.node.open > 0
            release.set()
            await asyncio.gather(*tasks)
            dead.close()  # connections to it are refused from now on, so it will be avoided
            n = 0
            while (await fixture.figures())["svc.pool_ejected"] == 0:
                n += 1
                await fixture.rig.ask(f"again-{n}", path=f"/api/j{n}")
            seen = await fixture.figures()
            assert (seen["svc.pool_size"], seen["svc.pool_ejected"], seen["svc.active"]) == (
                2,
                1,
                0,
            )
            assert (
                seen["svc.pool.in_service"],
                seen["svc.pool.silent"],
                seen["svc.pool.draining"],
            ) == (1, 1, 0)

    run_async(test)


def test_health_answers_503_until_a_cache_server_is_known() -> None:
    async def test() -> None:
        async with admin_fixture({}) as fixture:
            assert await fixture.call("/admin/health") == 503
        async with admin_fixture({"s1": CacheBox()}) as fixture:
            assert await fixture.call("/admin/health") == 200

    run_async(test)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"GET /admin/nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"GET /admin/quiesce HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        (b"PUT /admin/stats HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 400),
        (b"GET /admin/stats HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 20_000, 431),
        (
            b"PUT /admin/quiesce HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n"
            + b"z" * 70_000,
            413,
        ),
        (
            b"PUT /admin/quiesce HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nno\r\n",
            400,
        ),
    ],
)
def test_invalid_requests_get_an_error_and_change_nothing(data: bytes, expected: int) -> None:
    async def test() -> None:
        async with admin_fixture({"s1": CacheBox()}) as fixture:
            assert status(await fixture.send(data)) == expected
            assert fixture.rig.frontend.lifecycle.accepts_clients
            assert await fixture.call("/admin/health") == 200

    run_async(test)


def test_a_request_with_a_body_is_answered() -> None:
    async def test() -> None:
        async with admin_fixture({"s1": CacheBox()}) as fixture:
            head = (
                b"PUT /admin/quiesce HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"
            )
            reader, writer = await asyncio.open_connection(*fixture.admin.address)
            writer.write(head)
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            writer.write(b"{}")
            assert (
                status(await reader.read()) == 200
                and not fixture.rig.frontend.lifecycle.accepts_clients
            )
            writer.transport.abort()

    run_async(test)


def test_idle_connections_do_not_lock_operators_out() -> None:
    # A few idle connections could use up the connection limit of the operators' address.
    async def test() -> None:
        async with admin_fixture({"s1": CacheBox()}) as fixture:
            silent = [
                await asyncio.open_connection(*fixture.admin.address)
                for _ in range(3 * MAX_CONNECTIONS)
            ]
            assert await fixture.call("/admin/health") == 200
            for _, writer in silent:
                writer.transport.abort()

    run_async(test)


def test_a_drain_closes_every_connection_within_two_seconds_and_resume_accepts_clients() -> None:
    # No client may stay connected to a node that is taken out for maintenance, and none may lose
    # a request in progress.
    async def test() -> None:
        release = asyncio.Event()

        async def script(head: bytes) -> bytes:
            if b"/slow" in head:
                await release.wait()
            return default_answer(head)

        async with admin_fixture({"s1": CacheBox(script)}) as fixture:
            loop, node = asyncio.get_running_loop(), fixture.rig
            idle = [await asyncio.open_connection("127.0.0.1", node.port) for _ in range(6)]
            for n, (reader, writer) in enumerate(idle):
                writer.write(request(f"idle-{n}"))
                await reader.readuntil(b"\r\n\r\n")
            busy_reader, busy = await asyncio.open_connection("127.0.0.1", node.port)
            busy.write(request("busy", path="/slow"))
            await until(lambda: node.node.open == 1)
            assert await fixture.call("/admin/quiesce", "PUT") == 200
            began = loop.time()
            assert status(await node.send(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")) == 503
            # A client that was directed here just before the drain is served, then disconnected.
            late = await node.send(request("late"))
            assert status(late) == 200 and b"connection: close" in late.lower()
            ends = []
            for reader, _ in idle:
                await reader.read()
                ends.append(loop.time() - began)
            # The connections are closed spread over time, not all at once.
            assert ends[-1] < DRAIN_MS / 1000.0 + 0.2 and ends[0] < ends[-1] - 0.5
            release.set()
            answer = await busy_reader.read()
            assert status(answer) == 200 and b"connection: close" in answer.lower()
            assert await fixture.call("/admin/resume", "PUT") == 200
            reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
            for n in range(2):  # connections are kept again
                writer.write(request(f"back-{n}"))
                assert b"close" not in (await reader.readuntil(b"\r\n\r\n")).lower()
                await reader.read(1 << 16)
            for _, each in (*idle, (reader, writer)):
                each.transport.abort()
            busy.transport.abort()

    run_async(test)
