"""Requests sent at once on one connection, while memory for their answers is short."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import (
    CacheBox,
    Rig,
    connect_socket,
    default_answer,
    request,
    request_path,
    rig,
    run_async,
    until,
)

from corkshift.budget import ConnectionAllowance
from corkshift.pipelining import REQUEST_OBJECT_BYTES, PipelineBudget, Reservation
from corkshift.seam import now_ms

COUNT = 8
WITHIN_MS = 20_000


@pytest.fixture
def no_room(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """No request may be sent on before the answers ahead of it have been written."""
    with monkeypatch.context() as patch:
        patch.setattr(ConnectionAllowance, "pipeline_total", property(lambda self: 0))
        yield


async def send_at_once(made: Rig, count: int = COUNT) -> socket.socket:
    """A client that has sent `count` requests on one connection."""
    sock = await connect_socket(made.port)
    data = b"".join(request(f"a{n}", path=f"/api/{n}", within_ms=WITHIN_MS) for n in range(count))
    await asyncio.get_running_loop().sock_sendall(sock, data)
    return sock


async def read_answers(sock: socket.socket, count: int = COUNT) -> bytes:
    """The bytes up to the end of the last of `count` answers of `default_answer`."""
    loop, data = asyncio.get_running_loop(), b""
    while data.count(b"for /api/") < count and (piece := await loop.sock_recv(sock, 65_536)):
        data += piece
    return data


def announced_ms(head: bytes) -> int:
    """The remaining time that a cache server is told."""
    return int(head.lower().partition(b"x-remaining-ms: ")[2].partition(b"\r\n")[0])


def test_requests_without_room_are_answered_one_after_the_other(no_room: None) -> None:
    async def test() -> None:
        most = 0
        made: Rig

        async def counted(head: bytes) -> bytes:
            nonlocal most
            most = max(most, made.node.open)
            return default_answer(head)

        async with rig({"s0": CacheBox(counted)}) as made:
            with await send_at_once(made) as sock:
                answers = await read_answers(sock)
            order = [answers.index(b"for /api/%d" % n) for n in range(COUNT)]
            assert order == sorted(order)
            assert most == 1 and not made.frontend.pipeline_budget.waiting

    run_async(test)


def test_the_time_of_a_request_runs_while_it_waits_for_room(no_room: None) -> None:
    async def test() -> None:
        started_ms = now_ms()
        last_ms: list[float] = []

        async def slow(head: bytes) -> bytes:
            await asyncio.sleep(0.1)
            last_ms.append(now_ms())
            return default_answer(head)

        box = CacheBox(slow)
        async with rig({"s0": box}) as made:
            with await send_at_once(made, 2) as sock:
                await read_answers(sock, 2)
            assert [request_path(head) for head in box.heads] == [b"/api/0", b"/api/1"]
            for head, earlier_ms in zip(box.heads[1:], last_ms, strict=False):
                assert announced_ms(head) <= WITHIN_MS - (earlier_ms - started_ms) + 50.0

    run_async(test)


@pytest.mark.parametrize("size", [0, 3_000], ids=["in-the-buffer", "and-in-the-kernel"])
def test_the_time_of_a_request_runs_while_it_waits_unparsed(size: int) -> None:
    # Guards against requests that get their whole time anew, as they are parsed only once those
    # before them are answered (review/7).
    async def test() -> None:
        count, service_s, within_ms = 30, 0.1, 250
        loop = asyncio.get_running_loop()
        arrivals_s: list[float] = []

        async def slow(head: bytes) -> bytes:
            arrivals_s.append(loop.time())
            await asyncio.sleep(service_s)
            return default_answer(head)

        box = CacheBox(slow)
        async with rig({"s0": box}, 256) as made:
            sock = await connect_socket(made.port)
            more = "X-Padding: " + "x" * size + "\r\n"
            data = b"".join(
                request(f"a{n}", more, path=f"/api/{n}", within_ms=within_ms) for n in range(count)
            )
            sent_s = loop.time()
            await loop.sock_sendall(sock, data)
            answers = b""
            while answers.count(b"HTTP/1.1 ") < count:
                answers += await loop.sock_recv(sock, 65_536)
            # An answer may come half a second after its time, and 0.05 s more over sockets.
            assert loop.time() - sent_s <= within_ms / 1000.0 + 0.55
            sock.close()
            for head, arrived_s in zip(box.heads, arrivals_s, strict=True):
                left_ms = within_ms - 1000.0 * (arrived_s - sent_s)
                # Servers may be told 0.15 s more than is left, and 0.05 s more over sockets.
                assert announced_ms(head) <= left_ms + 200.0

    run_async(test)


def test_a_request_that_waits_for_room_keeps_its_connection_during_a_drain(no_room: None) -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            made.frontend.lifecycle.quiesce(now_ms())
            with await send_at_once(made) as sock:
                answers = await read_answers(sock)
            assert answers.count(b"HTTP/1.1 200") == COUNT
            assert answers.lower().count(b"connection: close") == 1

    run_async(test)


def test_a_client_that_leaves_gives_back_its_room() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox(lambda head: None)}, 256) as made:
            budget = made.frontend.pipeline_budget
            with await send_at_once(made):
                await until(lambda: made.node.open > 1)
                assert budget.used > 0
            await until(lambda: not made.frontend.connection_count)
            assert budget.used == 0 and not budget.waiting

    run_async(test)


def test_complete_answers_reserve_their_size_and_then_nothing() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def first_last(head: bytes) -> bytes:
            if request_path(head) == b"/api/0":
                await release.wait()
            return default_answer(head)

        async with rig({"s0": CacheBox(first_last)}, 256) as made:
            budget = made.frontend.pipeline_budget
            with await send_at_once(made) as sock:
                await until(lambda: made.node.metrics.responses["read"][0] >= 4)
                await until(lambda: 0 < budget.used <= 5 * len(b"for /api/0"))
                release.set()
                await read_answers(sock)
                await until(lambda: budget.used == 0)

    run_async(test)


@given(st.lists(st.integers(0, 6), max_size=60), st.integers(32, 256))
def test_reservations_stay_within_the_budget_and_waiters_are_woken(
    steps: list[int], limit_mb: int
) -> None:
    async def test() -> None:
        allowance = ConnectionAllowance(limit_mb << 20, (limit_mb - 8) << 20, 8)
        budget = PipelineBudget(allowance)
        held: list[Reservation] = []
        waiters: list[asyncio.Future[None]] = []

        def reserve() -> None:
            if (reservation := budget.reserve()) is None:
                waiters.append(budget.add_waiter())
            else:
                held.append(reservation)

        for step in steps:
            if step < 4:
                reserve()
            elif held:
                reservation = held.pop(0)
                reservation.shrink(allowance.each // 3)
                reservation.release()
                reservation.release()
            while woken := [waiter for waiter in waiters if waiter.done()]:
                waiters.remove(woken[0])
                budget.remove_waiter(woken[0])
                reserve()
            assert 0 <= budget.used <= allowance.pipeline_total
            room = budget.used + allowance.each + REQUEST_OBJECT_BYTES <= allowance.pipeline_total
            assert not (room and budget.waiting)
        for reservation in held:
            reservation.release()
        assert budget.used == 0
        for waiter in waiters:
            budget.remove_waiter(waiter)
        assert not budget.waiting

    asyncio.run(test())
