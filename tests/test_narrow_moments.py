"""Race conditions of one node (listed in docs/narrow-moments.md), each made to happen every time.

What the kernel holds when the node next runs is arranged without giving it a turn in between (plain
sockets, used between two awaits).
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from loopback import (
    CacheBox,
    Rig,
    default_answer,
    ok_response,
    options_of,
    request,
    rig,
    run_async,
    status,
    until,
)
from test_departures import client, delayed_connects, read, requested_paths

from corkshift.frontend import ClientConnection
from corkshift.seam import now_ms
from forkweir.limits.lifecycle import ShutdownSchedule


def only(made: Rig) -> ClientConnection:
    (connection,) = made.frontend._connections
    return connection


def leaving(take_ms: float = 20.0) -> ShutdownSchedule:
    """The schedule of a node that has much time after SIGTERM."""
    leave = ShutdownSchedule(1_000.0)
    leave.accept_ms, leave.answer_ms, leave.exit_ms = take_ms, 20_000.0, 25_000.0
    return leave


# -- a client's connection that is closed, or given up -------------------------------------------


async def half_asked(made: Rig) -> tuple[Any, bytes]:
    """A client of whose request half has been read, and the other half."""
    whole_request = request("a")
    sock = client(made, whole_request[:40])
    await until(lambda: any(connection.partial for connection in made.frontend._connections))
    return sock, whole_request[40:]


def test_room_is_not_made_of_a_request_whose_rest_is_in_the_kernel() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            sock, rest = await half_asked(made)
            only(made).since_ms -= 1_000.0
            sock.sendall(rest)
            assert not made.frontend._evict_one()
            assert status(await read(sock)) == 200
            sock.close()

    run_async(test)


def test_a_request_whose_rest_is_in_the_kernel_is_not_given_up() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            sock, rest = await half_asked(made)
            only(made).since_ms -= 60_000.0
            sock.sendall(rest)
            made.frontend._sweep()
            assert status(await read(sock)) == 200
            sock.setblocking(True)
            sock.sendall(
                request("b")
            )  # and the connection goes on: nothing of that time is held against the next one
            assert status(await read(sock)) == 200
            sock.close()

    run_async(test)


def test_a_request_that_does_not_get_whole_is_given_up_though_it_goes_on() -> None:
    # The other side of the above: a client that sends a byte now and then gets its 408 all the
    # same.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            sock, rest = await half_asked(made)
            only(made).since_ms -= 60_000.0
            sock.sendall(rest[:1])
            made.frontend._sweep()
            assert status(await read(sock)) == 408
            sock.close()

    run_async(test)


def test_a_last_answer_is_not_reset_by_a_close_over_unread_input() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            sock = client(made, b"BREW /pot HTTP/1.1\r\nHost: x\r\n\r\n")
            await until(
                lambda: any(connection.lingering for connection in made.frontend._connections)
            )
            sock.sendall(b"more of it")
            assert not only(made).close_if_no_input("room")
            assert status(await read(sock)) == 501
            assert await read(sock) == b""  # an end, and no reset
            sock.close()

    run_async(test)


# -- SIGTERM -------------------------------------------------------------------------------------


def test_a_request_that_gets_whole_after_the_drain_began_is_answered() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}, leave=leaving()) as made:
            sock, rest = await half_asked(made)
            draining = asyncio.create_task(made.frontend.drain())
            await until(lambda: made.frontend._listener._sock.fileno() == -1)
            idle = (
                asyncio.get_running_loop().time() + 0.1
            )  # beyond the moment at which all idle connections are closed
            await until(lambda: asyncio.get_running_loop().time() > idle)
            sock.sendall(rest)
            assert status(await read(sock)) == 200
            await draining

    run_async(test)


def test_what_waits_for_a_place_when_the_drain_begins_is_taken() -> None:
    async def test() -> None:
        hold = asyncio.Event()

        async def held(head: bytes) -> bytes:
            await hold.wait()
            return default_answer(head)

        async with rig({"s0": CacheBox(held)}, clients=2, leave=leaving()) as made:
            first = [client(made, request(f"a{n}", path=f"/api/{n}")) for n in range(2)]
            await until(lambda: len(requested_paths(made)) == 2)
            waiting = [client(made, request(f"b{n}", path=f"/api/b{n}")) for n in range(3)]
            draining = asyncio.create_task(made.frontend.drain())
            await until(lambda: not made.frontend.lifecycle.keeps_connections)
            taken = (
                asyncio.get_running_loop().time() + 0.8
            )  # the drain has found no place for them, again and again
            await until(lambda: asyncio.get_running_loop().time() > taken)
            hold.set()
            for sock in (*first, *waiting):
                assert status(await read(sock)) == 200
                sock.close()
            await draining

    run_async(test)


def test_what_comes_behind_the_last_answer_is_not_taken_any_more() -> None:
    # The answer says that the connection ends, and takes a while to be written. What comes
    # meanwhile is left unread, and its client asks again elsewhere; taken, it would be sent on and
    # then dropped.
    async def test() -> None:
        box = CacheBox(
            lambda head: (
                ok_response(b"x" * 1_000_000)
                if head.split(b" ")[1] == b"/api/large"
                else default_answer(head)
            )
        )
        async with rig({"s0": box}) as made:
            made.frontend.lifecycle.end(now_ms())
            sock = client(made, request("a", path="/api/large"), 4_096)
            await until(
                lambda: any(c._stream._writer is not None for c in made.frontend._connections)
            )
            connection = only(made)
            sock.sendall(request("b"))
            await until(lambda: connection._stream.has_input or len(requested_paths(made)) == 2)
            got = b""
            while piece := await read(sock):
                got += piece
            assert (
                b"Connection: close" in got and got.endswith(b"x") and got.count(b"HTTP/1.1") == 1
            )
            assert requested_paths(made) == [b"/api/large"]
            sock.close()

    run_async(test)


# -- faults of the module, and in what it asks for -----------------------------------------------


def test_a_failed_decision_costs_its_own_request_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    # Requests behind it on the same connection have been taken, and get their answers.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            on_request = made.node._balancer.on_request

            def faulty(now: float, number: int, *more: Any) -> Any:
                if number == 1:
                    raise RuntimeError("planted")
                return on_request(now, number, *more)

            monkeypatch.setattr(
                type(made.node._balancer), "on_request", lambda self, *more: faulty(*more)
            )
            sock = client(made, request("a") + request("b"))
            got = b""
            while got.count(b"HTTP/1.1") < 2:
                assert (piece := await read(sock))
                got += piece
            assert [int(part[:3]) for part in got.split(b"HTTP/1.1 ")[1:]] == [500, 200]
            sock.close()

    run_async(test)


def test_an_action_that_fails_costs_no_other() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox(lambda head: None)}) as made:
            sock = client(made, request("a"))
            await until(lambda: bool(requested_paths(made)))
            followed: list[bool] = []
            made.node.follow = lambda: followed.append(True)
            made.node._decide(None, lambda: [("refuse", 1, "soon", "gate"), ("follow", True)])  # type: ignore[list-item]
            assert followed == [True]
            assert status(await read(sock)) == 500
            sock.close()

    run_async(test)


# -- attempts ------------------------------------------------------------------------------------


def test_no_byte_of_a_large_body_goes_to_a_server_after_its_grace(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # For drains a send counts from its first byte.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made, delayed_connects(monkeypatch) as come_up:
            received = bytearray()

            async def take(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                while data := await reader.read(65_536):
                    received.extend(data)
                writer.close()
                ended.set()

            ended = asyncio.Event()
            server = await asyncio.start_server(take, "127.0.0.1", 0)
            made.node.servers["s0"].address = server.sockets[0].getsockname()[:2]
            head = request(
                "a",
                "Content-Length: 65500\r\nIdempotency-Key: k\r\n",
                class_name="pay",
                method="PUT",
            )
            asking = asyncio.create_task(made.send(head + b"x" * 65_500))
            await until(lambda: bool(made.node._running))
            made.node.servers["s0"].leaving_ms = (
                now_ms() - 400.0
            )  # its grace of 250 ms is over as the dial comes up
            come_up()
            await until(lambda: not made.node._requests)
            assert received == b""
            asking.cancel()
            server.close()

    run_async(test)


def test_a_repeat_that_waited_for_its_dial_is_not_sent_after_its_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        options = options_of()
        options["services"] = [{**c, "windowMs": 2_000} for c in options["services"]]

        def reset(head: bytes) -> bytes:
            raise ConnectionResetError

        async with rig({"s0": CacheBox(reset), "s1": CacheBox(reset)}, options=options) as made:
            async with delayed_connects(monkeypatch) as come_up:
                asking = asyncio.create_task(
                    made.ask(
                        "a",
                        "Content-Length: 0\r\nIdempotency-Key: k\r\n",
                        class_name="pay",
                        method="PUT",
                    )
                )
                await until(lambda: bool(made.node._running))
                # As if an earlier attempt had gone out: this one is dialed within the window, and
                # comes up when that is over.
                made.node._requests[1].first_attempt_sent_ms = now_ms() - 2_100.0
                come_up()
                await asking
            assert requested_paths(made) == []

    run_async(test)


def test_a_connection_that_has_been_idle_for_too_long_is_not_used_though_nobody_swept() -> None:
    async def test() -> None:
        box = CacheBox()
        async with rig({"s0": box}) as made:
            assert status(await made.ask("a")) == 200
            (stream,) = made.pool._idle
            server = made.node.servers["s0"]
            server.idle[:] = [(now_ms() - made.pool._idle_ms - 1.0, stream)]
            assert status(await made.ask("b")) == 200
            assert stream.closed

    run_async(test)
