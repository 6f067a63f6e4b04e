"""Race conditions of one node (listed in docs/narrow-moments.md), each reproduced in every run.

The tests use plain sockets between two awaits, so that the node does not run in between. What the
kernel holds when the node next runs is therefore the same in every run.
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

from corkshift.client_connection import ClientConnection
from corkshift.seam import now_ms
from forkweir.limits.lifecycle import ENDING, ShutdownSchedule


def only_connection(made: Rig) -> ClientConnection:
    """The node's only client connection."""
    (connection,) = made.frontend._connections
    return connection


def shutdown_schedule(accept_ms: float = 20.0) -> ShutdownSchedule:
    """A schedule that accepts connections briefly and leaves much time for open requests."""
    schedule = ShutdownSchedule(1_000.0)
    schedule.accept_ms, schedule.answer_ms, schedule.exit_ms = accept_ms, 20_000.0, 25_000.0
    return schedule


# -- client connections that are closed or time out ----------------------------------------------


async def send_partial_request(made: Rig) -> tuple[Any, bytes]:
    """A client whose request the node has read in part, and the rest of that request."""
    complete_request = request("a")
    sock = client(made, complete_request[:40])
    await until(lambda: any(connection.partial for connection in made.frontend._connections))
    return sock, complete_request[40:]


def test_eviction_spares_a_partial_request_whose_rest_is_in_the_kernel() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            sock, rest = await send_partial_request(made)
            only_connection(made).since_ms -= 1_000.0
            sock.sendall(rest)
            assert not made.frontend._evict_one()
            assert status(await read(sock)) == 200
            sock.close()

    run_async(test)


def test_a_partial_request_whose_rest_is_in_the_kernel_does_not_time_out() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            sock, rest = await send_partial_request(made)
            only_connection(made).since_ms -= 60_000.0
            sock.sendall(rest)
            made.frontend._sweep()
            assert status(await read(sock)) == 200
            sock.setblocking(True)
            # The time that the first request took does not count against the next one.
            sock.sendall(request("b"))
            assert status(await read(sock)) == 200
            sock.close()

    run_async(test)


def test_a_request_that_stays_incomplete_times_out_though_bytes_arrive() -> None:
    # Reading what has arrived before the timeout must not let a client that sends a byte now and
    # then hold its connection for ever: it gets status 408.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            sock, rest = await send_partial_request(made)
            only_connection(made).since_ms -= 60_000.0
            sock.sendall(rest[:1])
            made.frontend._sweep()
            assert status(await read(sock)) == 408
            sock.close()

    run_async(test)


def test_the_last_response_is_not_lost_to_a_reset_for_unread_input() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            sock = client(made, b"BREW /pot HTTP/1.1\r\nHost: x\r\n\r\n")
            await until(
                lambda: any(connection.lingering for connection in made.frontend._connections)
            )
            sock.sendall(b"more of it")
            assert not only_connection(made).close_if_no_input("room")
            assert status(await read(sock)) == 501
            assert await read(sock) == b""  # closed, not reset
            sock.close()

    run_async(test)


# -- SIGTERM -------------------------------------------------------------------------------------


def test_a_request_completed_after_the_shutdown_began_is_answered() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}, shutdown_schedule=shutdown_schedule()) as made:
            sock, rest = await send_partial_request(made)
            shutting_down = asyncio.create_task(made.frontend.shut_down())
            await until(lambda: made.frontend._listener._sock.fileno() == -1)
            # By then the shutdown has closed all idle connections.
            idle_closed_at = asyncio.get_running_loop().time() + 0.1
            await until(lambda: asyncio.get_running_loop().time() > idle_closed_at)
            sock.sendall(rest)
            assert status(await read(sock)) == 200
            await shutting_down

    run_async(test)


PARTIAL_REQUESTS = {
    "head": request("a")[:40],
    "body": request(
        "a", "Content-Length: 9\r\nIdempotency-Key: k\r\n", class_name="pay", method="PUT"
    )
    + b"half",
}


@pytest.mark.parametrize("form", PARTIAL_REQUESTS)
def test_a_request_that_is_read_in_part_when_no_answer_is_possible_any_more_is_refused(
    form: str,
) -> None:
    # Guards against requests that are completed, sent on and closed on with no answer in the last
    # moments of a shutdown (review/9).
    async def test() -> None:
        box = CacheBox()
        schedule = shutdown_schedule()
        schedule.answer_ms, schedule.exit_ms = 200.0, 1_000.0
        async with rig({"s0": box}, shutdown_schedule=schedule) as made:
            sock = client(made, PARTIAL_REQUESTS[form])
            await until(
                lambda: any(connection.partial for connection in made.frontend._connections)
            )
            shutting_down = asyncio.create_task(made.frontend.shut_down())
            assert status(await read(sock)) == 503
            sock.setblocking(True)
            sock.sendall(b"more" * 10)
            sock.close()
            await shutting_down
            assert not box.heads

    run_async(test)


def test_requests_behind_the_last_answers_of_a_shutdown_are_refused_and_not_sent_on() -> None:
    # Guards against the same for requests that a client has sent at once (review/9).
    async def test() -> None:
        box = CacheBox(lambda head: None)
        schedule = shutdown_schedule()
        schedule.answer_ms, schedule.exit_ms = 200.0, 1_000.0
        async with rig({"s0": box}, 256, shutdown_schedule=schedule) as made:
            sock = client(made, b"".join(request(f"a{n}", path=f"/api/{n}") for n in range(20)))
            await until(lambda: len(box.heads) >= 5 and len(box.heads) == len(made.node._running))
            sent = len(box.heads)
            shutting_down = asyncio.create_task(made.frontend.shut_down())
            answers = b""
            while piece := await read(sock):
                answers += piece
            await shutting_down
            sock.close()
            assert answers.count(b"HTTP/1.1 504 ") == sent
            assert answers.count(b"HTTP/1.1 503 ") == 20 - sent
            assert len(box.heads) == sent
            assert made.metrics.refusals["closing"] == 20 - sent

    run_async(test)


def test_a_drained_node_that_ends_goes_on_to_refuse_new_clients() -> None:
    # Guards against a front that sends clients again to a node that is drained and about to end.
    async def test() -> None:
        async with rig({"s0": CacheBox()}, shutdown_schedule=shutdown_schedule(500.0)) as made:
            check = b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            assert status(await made.send(check)) == 200
            made.frontend.lifecycle.quiesce(now_ms())
            assert status(await made.send(check)) == 503
            shutting_down = asyncio.create_task(made.frontend.shut_down())
            await until(lambda: made.frontend.lifecycle.state == ENDING)
            assert status(await made.send(check)) == 503
            await shutting_down

    run_async(test)


def test_connections_queued_when_the_shutdown_begins_are_served() -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def respond_late(head: bytes) -> bytes:
            await release.wait()
            return default_answer(head)

        async with rig(
            {"s0": CacheBox(respond_late)}, clients=2, shutdown_schedule=shutdown_schedule()
        ) as made:
            admitted = [client(made, request(f"a{n}", path=f"/api/{n}")) for n in range(2)]
            await until(lambda: len(requested_paths(made)) == 2)
            queued = [client(made, request(f"b{n}", path=f"/api/b{n}")) for n in range(3)]
            shutting_down = asyncio.create_task(made.frontend.shut_down())
            await until(lambda: not made.frontend.lifecycle.keeps_connections)
            # By then the shutdown has tried several times to accept them, without capacity.
            retried_until = asyncio.get_running_loop().time() + 0.8
            await until(lambda: asyncio.get_running_loop().time() > retried_until)
            release.set()
            for sock in (*admitted, *queued):
                assert status(await read(sock)) == 200
                sock.close()
            await shutting_down

    run_async(test)


def test_a_request_behind_the_last_response_is_not_forwarded() -> None:
    # The response has `Connection: close` and takes a while to write. A request that arrives
    # meanwhile stays unread, so that its client can repeat it elsewhere. If the node read it, it
    # would forward it and then drop its response.
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
                lambda: any(
                    connection._stream._writer is not None
                    for connection in made.frontend._connections
                )
            )
            connection = only_connection(made)
            sock.sendall(request("b"))
            await until(
                lambda: connection._stream.has_buffered_input or len(requested_paths(made)) == 2
            )
            received = b""
            while chunk := await read(sock):
                received += chunk
            assert (
                b"Connection: close" in received
                and received.endswith(b"x")
                and received.count(b"HTTP/1.1") == 1
            )
            assert requested_paths(made) == [b"/api/large"]
            sock.close()

    run_async(test)


# -- exceptions in the balancer and in its actions -----------------------------------------------


def test_a_failed_decision_affects_only_its_own_request(monkeypatch: pytest.MonkeyPatch) -> None:
    # Requests behind it on the same connection have been accepted and still get their responses.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            on_request = made.node._balancer.on_request

            def fail_first(now: float, request_id: int, *args: Any) -> Any:
                if request_id == 1:
                    raise RuntimeError("planted")
                return on_request(now, request_id, *args)

            monkeypatch.setattr(
                type(made.node._balancer), "on_request", lambda self, *args: fail_first(*args)
            )
            sock = client(made, request("a") + request("b"))
            received = b""
            while received.count(b"HTTP/1.1") < 2:
                assert (chunk := await read(sock))
                received += chunk
            assert [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]] == [500, 200]
            sock.close()

    run_async(test)


def test_a_failed_action_does_not_prevent_the_next_one() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox(lambda head: None)}) as made:
            sock = client(made, request("a"))
            await until(lambda: bool(requested_paths(made)))
            follow_calls: list[bool] = []
            made.node.follow = lambda: follow_calls.append(True)
            # "soon" is no valid delay, so the first action fails.
            made.node._decide(
                None,
                lambda: [
                    ("refuse", 1, "soon", "gate"),  # type: ignore[list-item]
                    ("follow", True),
                ],
            )
            assert follow_calls == [True]
            assert status(await read(sock)) == 500
            sock.close()

    run_async(test)


# -- attempts ------------------------------------------------------------------------------------


def test_no_byte_of_a_large_body_is_sent_after_the_drain_grace(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The drain rule counts a request as sent when its first byte is written.
    async def test() -> None:
        async with (
            rig({"s0": CacheBox()}) as made,
            delayed_connects(monkeypatch) as complete_connects,
        ):
            received = bytearray()

            async def receive(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                while data := await reader.read(65_536):
                    received.extend(data)
                writer.close()
                ended.set()

            ended = asyncio.Event()
            listener = await asyncio.start_server(receive, "127.0.0.1", 0)
            made.node.servers["s0"].address = listener.sockets[0].getsockname()[:2]
            head = request(
                "a",
                "Content-Length: 65500\r\nIdempotency-Key: k\r\n",
                class_name="pay",
                method="PUT",
            )
            request_task = asyncio.create_task(made.send(head + b"x" * 65_500))
            await until(lambda: bool(made.node._running))
            # The server's drain grace of 250 ms is over when the connect completes.
            made.node.servers["s0"].leaving_ms = now_ms() - 400.0
            complete_connects()
            await until(lambda: not made.node._requests)
            assert received == b""
            request_task.cancel()
            listener.close()

    run_async(test)


def test_a_repeat_delayed_by_its_connect_is_not_sent_after_the_repeat_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        options = options_of()
        options["services"] = [{**service, "windowMs": 2_000} for service in options["services"]]

        def reset(head: bytes) -> bytes:
            raise ConnectionResetError

        async with rig({"s0": CacheBox(reset), "s1": CacheBox(reset)}, options=options) as made:
            async with delayed_connects(monkeypatch) as complete_connects:
                request_task = asyncio.create_task(
                    made.ask(
                        "a",
                        "Content-Length: 0\r\nIdempotency-Key: k\r\n",
                        class_name="pay",
                        method="PUT",
                    )
                )
                await until(lambda: bool(made.node._running))
                # As if an earlier attempt had been sent: this one starts its connect within the
                # repeat window of 2 s, which is over when the connect completes.
                made.node._requests[1].first_attempt_sent_ms = now_ms() - 2_100.0
                complete_connects()
                await request_task
            assert requested_paths(made) == []

    run_async(test)


def test_a_connection_idle_for_too_long_is_not_used_though_no_sweep_has_run() -> None:
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
