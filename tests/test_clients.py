"""Malformed requests, stalled and excess clients, over loopback sockets.

Each gets an error response or a close, and no server receives anything of it.
"""

from __future__ import annotations

import asyncio

import pytest
from loopback import CacheBox, default_answer, request, rig, run_async, status, until

from corkshift.frontend import IDLE_TIMEOUT_MS, MAX_IDLE_SHARE

HIDDEN = request("hidden")
BAD = {
    # Request smuggling: with both lengths the body may hide a request, which must not be served.
    "two lengths": request("a", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", method="PUT")
    + b"0\r\n\r\n"
    + HIDDEN,
    "chunked in HTTP/1.0": request("a", "Transfer-Encoding: chunked\r\n", method="PUT").replace(
        b"HTTP/1.1", b"HTTP/1.0"
    )
    + b"0\r\n\r\n",
    "lengths that differ": request("a", "Content-Length: 5\r\nContent-Length: 6\r\n", method="PUT")
    + b"hello!",
    "a negative length": request("a", "Content-Length: -5\r\n", method="PUT") + b"hello",
    "a length with a sign": request("a", "Content-Length: +5\r\n", method="PUT") + b"hello",
    # Rejected by the head alone, without reading 60 MB.
    "a huge length": request("a", "Content-Length: 60000000\r\n", method="PUT"),
    "a length of many digits": request(
        "a", "Content-Length: 99999999999999999999999\r\n", method="PUT"
    ),
    "a long chunked body": request("a", "Transfer-Encoding: chunked\r\n")
    + b"10001\r\n"
    + b"x" * 65_537
    + b"\r\n0\r\n\r\n",
    # 64 KiB in one-byte chunks would cost the parser as much as 60,000 bodies.
    "chunks of one byte": request("a", "Transfer-Encoding: chunked\r\n", method="PUT")
    + b"1\r\nx\r\n" * 3000
    + b"0\r\n\r\n",
    "a chunk that can't be read": request("a", "Transfer-Encoding: chunked\r\n", method="PUT")
    + b"zz\r\nhello\r\n",
    "an unknown class": request("a", class_name="nothing"),
    "no class": request("a").replace(b"X-Lane: read\r\n", b""),
    "no id": request("a").replace(b"X-Txn: a\r\n", b""),
    "an id of blanks": request("a b"),
    "an id twice": request("a", "X-Txn: b\r\n"),
    "an id without end": request("a" * 200),
    "a deadline that is no number": request("a").replace(b"20000", b"soon"),
    "a negative deadline": request("a").replace(b"20000", b"-1"),
    "a head without end": b"GET /api/k HTTP/1.1\r\n"
    + b"X-Filler: aaaaaaaaaaaaaaaaaaaaaaaa\r\n" * 2000,
    "noise": bytes(range(128, 256)) * 4 + b"\r\n\r\n",
    "another method": request("a", method="DELETE"),
}


@pytest.mark.parametrize("name", BAD)
def test_a_bad_request_gets_an_error_and_is_not_forwarded(name: str) -> None:
    async def test() -> None:
        box = CacheBox()
        async with rig({"s0": box}) as made:
            answer = await made.send(BAD[name])
            assert 400 <= status(answer) < 600 and answer.count(b"HTTP/1.1") == 1
            assert status(await made.ask("fine")) == 200
            assert [b"X-Txn: fine" in head for head in box.heads] == [True]
            assert made.frontend.body_budget.used == 0

    run_async(test)


@pytest.mark.parametrize(
    "partial_request",
    [b"", b"GET /api/k HT", request("a", "Content-Length: 10\r\n", method="PUT") + b"half"],
)
def test_a_client_that_stops_sending_is_closed_within_three_seconds(partial_request: bytes) -> None:
    # Clients that send nothing, or an incomplete request, must not hold descriptors.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            loop = asyncio.get_running_loop()
            start = loop.time()
            answer = await made.send(partial_request)
            assert loop.time() - start < 3.0
            assert status(answer) == (408 if partial_request else 0)

    run_async(test)


def test_a_client_that_sends_single_bytes_slowly_is_closed_too() -> None:
    # The time limit of a request must not restart with each byte.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            loop = asyncio.get_running_loop()
            reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
            start = loop.time()
            answer = asyncio.create_task(reader.read())
            for byte in request("slow") * 100:
                if answer.done():
                    break
                writer.write(bytes([byte]))
                await asyncio.sleep(0.05)
            assert status(await answer) in (0, 408) and loop.time() - start < 4.0
            writer.transport.abort()

    run_async(test)


def test_the_id_of_an_open_request_is_not_served_again() -> None:
    # Of two requests with the same id only the first may be served.
    async def test() -> None:
        box = CacheBox(lambda head: None)
        async with rig({"s0": box}) as made:
            first = asyncio.create_task(made.ask("same"))
            await until(lambda: len(box.heads) == 1)
            assert status(await made.ask("same")) == 409
            assert len(box.heads) == 1
            first.cancel()
            await until(lambda: not made.frontend._connections)

    run_async(test)


def test_a_body_of_the_maximum_length_is_forwarded_unchanged() -> None:
    async def test() -> None:
        box = CacheBox()
        body = bytes(range(256)) * 256
        async with rig({"s0": box}) as made:
            assert (
                status(
                    await made.ask("a", f"Content-Length: {len(body)}\r\n", method="PUT", body=body)
                )
                == 200
            )
            assert box.bodies == [body]
            await until(lambda: made.frontend.body_budget.used == 0)

    run_async(test)


def test_silent_clients_are_evicted_for_one_that_sends_a_request() -> None:
    # Connections that send nothing must not use up the connection limit.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            crowd = [await asyncio.open_connection("127.0.0.1", made.port) for _ in range(100)]
            assert status(await made.ask("through")) == 200
            for _, writer in crowd:
                writer.transport.abort()

    run_async(test)


def test_sockets_and_state_are_released_after_churn() -> None:
    # State of requests, connections and ids must not leak.
    async def test() -> None:
        slow = CacheBox(lambda head: None if b"/never" in head else default_answer(head))
        async with rig({"s0": slow, "s1": CacheBox()}) as made:
            for lap in range(10):
                tasks = [
                    asyncio.create_task(made.ask(f"{lap}-{n}", path=f"/api/{n}")) for n in range(20)
                ]
                cancelled_tasks = [
                    asyncio.create_task(made.ask(f"{lap}-{n}-gone", path="/api/never"))
                    for n in range(5)
                ]
                assert {status(answer) for answer in await asyncio.gather(*tasks)} == {200}
                for task in cancelled_tasks:
                    task.cancel()
            node, frontend = made.node, made.frontend
            await until(lambda: not frontend._connections)
            await until(lambda: not node._running)
            assert not (
                node._requests
                or node._tries
                or node._attempts
                or node._balancer.held
                or frontend.body_budget.used
            )
            assert not (frontend._unused or frontend._partial or frontend._idle)
            made.pool.close()
            assert made.pool.open == 0
            await until(lambda: slow.open_connections == 0)

    run_async(test)


def test_idle_connections_beyond_their_share_are_closed_before_the_idle_timeout() -> None:
    # Clients that send one request and stay must not use up connections, at the node or at the
    # clients.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            loop = asyncio.get_running_loop()
            start = loop.time()
            connections = [await asyncio.open_connection("127.0.0.1", made.port) for _ in range(24)]
            for n, (reader, writer) in enumerate(connections):
                writer.write(request(f"a{n}"))
                assert status(await reader.readuntil(b"for /api/k")) == 200
            share = int(32 * MAX_IDLE_SHARE)
            assert share < len(connections)
            for reader, _ in connections[:-share]:
                assert await reader.read() == b""
            assert loop.time() - start < IDLE_TIMEOUT_MS / 1000.0 * 0.8
            # The connections used last are still usable.
            for n, (reader, writer) in enumerate(connections[-share:]):
                writer.write(request(f"b{n}"))
                assert status(await reader.readuntil(b"for /api/k")) == 200
            for _, writer in connections:
                writer.transport.abort()

    run_async(test)
