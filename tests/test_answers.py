"""Malformed, oversized and surplus responses of cache servers, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest
from loopback import (
    CacheBox,
    default_answer,
    ok_response,
    request_path,
    rig,
    run_async,
    status,
    until,
)

from corkshift.seam import now_ms
from corkshift.upstream import MIN_IDLE_MS

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
MALFORMED = {
    "noise": bytes(range(128, 256)) * 3,
    "a status that is no number": b"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nevil",
    "a line that is no header": (
        b"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\nevil"
    ),
    "a head without end": b"HTTP/1.1 200 OK\r\n" + b"X-Filler: aaaaaaaaaaaaaaaaaaaa\r\n" * 2000,
    "a negative length": b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nevil",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nevil!",
    "a length and chunks": CHUNKED + b"Content-Length: 4\r\n\r\n4\r\nevil\r\n0\r\n\r\n",
    "a chunk that can't be read": CHUNKED + b"\r\nzz\r\nevil\r\n",
    # A response that keeps coming is rejected at its head, or when it exceeds the size limit.
    "three gigabytes": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 100_000,
    "chunks that turn to noise": CHUNKED
    + b"\r\n"
    + (b"4000\r\n" + b"x" * 0x4000 + b"\r\n") * 3
    + b"zz\r\n",
    "chunks of one byte": CHUNKED + b"\r\n" + b"1\r\nx\r\n" * 3000 + b"0\r\n\r\n",
    "1xx without end": b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100,
}
EXTRA_BYTES = {
    "1xx ahead": b"HTTP/1.1 103 Early Hints\r\n\r\n" + ok_response(b"fine"),
    "a second copy behind": ok_response(b"fine") * 2,
    "noise behind": ok_response(b"fine") + bytes(range(256)),
    "a load report that can't be read": ok_response(
        b"fine", b"X-Pressure: TEXT \xff\xfe==,;;q=nan\r\n"
    ),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_a_malformed_response_fails_the_attempt_and_its_server_stays_in_use(name: str) -> None:
    async def test() -> None:
        # A malformed response must not reach the client, and one of them must not eject its server.
        malformed = iter([MALFORMED[name]])
        box = CacheBox(lambda head: next(malformed, None) or default_answer(head))
        async with rig({"s0": box}) as made:
            assert (await made.ask("a", path="/api/one")).endswith(b"for /api/one")
            assert len(box.heads) == 2
            member = made.node._balancer.fleet.members["s0"]
            assert not (member.ejections or member.ejected_until or member.cold_since_ms)
            assert (await made.ask("b", path="/api/two")).endswith(b"for /api/two")

    run_async(test)


def test_a_malformed_response_ends_a_request_that_may_not_be_repeated() -> None:
    # The request may have run, so it must not be repeated, and a refusal (503) would wrongly state
    # that it has not run.
    async def test() -> None:
        box = CacheBox(lambda head: MALFORMED["noise"])
        async with rig({"s0": box, "s1": CacheBox(lambda head: MALFORMED["noise"])}) as made:
            answer = await made.ask(
                "a", "Content-Length: 2\r\n", class_name="order", method="PUT", body=b"hi"
            )
            assert status(answer) == 502
            assert sum(len(each.heads) for each in made.boxes.values()) == 1

    run_async(test)


def test_a_server_that_sends_only_noise_is_ejected() -> None:
    async def test() -> None:
        box = CacheBox(lambda head: MALFORMED["noise"])
        async with rig({"s0": box}) as made:
            for n in range(3):
                assert status(await made.ask(f"a{n}")) == 503
            assert made.node._balancer.fleet.members["s0"].ejections > 0

    run_async(test)


@pytest.mark.parametrize("name", EXTRA_BYTES)
def test_extra_bytes_around_a_valid_response_affect_neither_it_nor_the_next_one(name: str) -> None:
    async def test() -> None:
        # Surplus bytes must not be taken for the response to the next request on the connection.
        box = CacheBox(
            lambda head: (
                default_answer(head) if b"/next" in request_path(head) else EXTRA_BYTES[name]
            )
        )
        async with rig({"s0": box}) as made:
            assert (await made.ask("a")).endswith(b"fine")
            assert (await made.ask("b", path="/next")).endswith(b"for /next")
            assert (
                made.node._balancer.fleet.members["s0"].consecutive_faults == 0
                and len(box.heads) == 2
            )

    run_async(test)


def test_no_connection_to_a_server_is_left_after_malformed_responses() -> None:
    async def test() -> None:
        malformed = iter(list(MALFORMED.values()))
        box = CacheBox(lambda head: next(malformed, None) or default_answer(head))
        async with rig({"s0": box}) as made:
            for n in range(2 * len(MALFORMED)):
                await made.ask(f"a{n}")
            await until(lambda: not made.node._attempts)
            made.pool.close()
            assert made.pool.open == 0
            await until(lambda: box.open_connections == 0)

    run_async(test)


def test_an_incomplete_response_is_given_up_when_its_client_leaves() -> None:
    # A response that never ends must not hold its request after the client has left.
    async def test() -> None:
        box = CacheBox(lambda head: b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
        async with rig({"s0": box}) as made:
            response_task = asyncio.create_task(made.ask("a"))
            await until(lambda: len(box.heads) == 1)
            response_task.cancel()
            await until(lambda: not made.node._attempts and not made.frontend._connections)
            assert made.pool.open == 0 and not made.node._balancer.held

    run_async(test)


def test_a_connection_is_idle_for_a_minimum_time_before_reuse() -> None:
    # A second copy of a response that arrives just behind it must not meet a connection that
    # already waits for the next response.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            server, pool = made.node.servers["s0"], made.pool
            first = await pool.connect(server)
            pool.keep(server, first)
            server.idle[:] = [(now_ms() + 60_000.0, first)]  # as if it had just become idle
            assert await pool.connect(server) is not first
            server.idle[:] = [(now_ms() - MIN_IDLE_MS, first)]
            assert await pool.connect(server) is first

    run_async(test)


def test_occasional_connection_resets_do_not_eject_a_healthy_server() -> None:
    # Resets by the network or another proxy must not eject a live server, which would then count as
    # cold.
    async def test() -> None:
        turn = 0

        def script(head: bytes) -> bytes | None:
            nonlocal turn
            turn += 1
            if turn % 3 == 0:
                raise ConnectionResetError  # the box closes this connection without a response
            return default_answer(head)

        box = CacheBox(script)
        async with rig({"s0": box}) as made:
            member = made.node._balancer.fleet.members["s0"]
            for n in range(30):
                answer = await made.ask(f"a{n}", path=f"/api/{n}")
                assert answer.endswith(b"for /api/%d" % n)
                assert not (member.ejections or member.ejected_until or member.cold_since_ms)
            assert turn > 40

    run_async(test)
