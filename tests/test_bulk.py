"""Bodies too large to buffer, in both directions: completeness, aborts and backpressure."""

from __future__ import annotations

import asyncio
import random

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

from corkshift.budget import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES
from corkshift.client_connection import ClientConnection
from corkshift.relay import BodyAborted, BodyPipe
from testbed.systems.http import Connection, Message

BODY = random.Random(1).randbytes(1 << 20)


class TwoPartServer(CacheBox):
    """A box that writes its response in two parts, the second after `go` is set.

    `written` counts the bytes written.
    """

    def __init__(self, first: bytes, second: bytes, closes: bool = False) -> None:
        """closes: the connection ends behind the second part."""
        super().__init__()
        self.parts = first, second
        self.closes = closes
        self.go = asyncio.Event()
        self.written = 0
        self.disconnected = asyncio.Event()

    async def serve(self, connection: Connection, request: Message) -> None:
        self.heads.append(request.target.encode())
        try:
            await self._write(connection, self.parts[0])
            await self.go.wait()
            await self._write(connection, self.parts[1])
            if self.closes:
                connection.stream.close()
        except OSError:
            self.disconnected.set()
            raise

    async def _write(self, connection: Connection, data: bytes) -> None:
        for at in range(0, len(data), 16_384):
            await connection.stream.write(data[at : at + 16_384])
            self.written += len(data[at : at + 16_384])


def sized(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nX-Found: hit\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def chunks(body: bytes, size: int = 30_000) -> bytes:
    return (
        b"".join(
            b"%x\r\n%b\r\n" % (len(body[at : at + size]), body[at : at + size])
            for at in range(0, len(body), size)
        )
        + b"0\r\n\r\n"
    )


def chunked(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nX-Found: hit\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body)


def unchunked(data: bytes) -> bytes:
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        body, data = body + data[: int(size, 16)], data[int(size, 16) + 2 :]
    return body


def put_head(txn: str, more: str, class_name: str = "order") -> bytes:
    return request(txn, more, class_name=class_name, method="PUT")


async def answer_on(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
    return status(head), await reader.readexactly(length)


async def until_idle(made: Rig) -> None:
    await until(
        lambda: (
            not made.node._attempts and not made.node.open and not made.frontend.body_budget.used
        )
    )


@pytest.mark.parametrize("form", [sized, chunked])
def test_a_large_response_is_streamed_from_its_first_bytes_and_arrives_complete(
    form: object,
) -> None:
    # A large response must be streamed, not held until it is complete.
    async def test() -> None:
        data = sized(BODY) if form is sized else chunked(BODY)
        box = TwoPartServer(data[:200_000], data[200_000:])
        async with rig({"s0": box}) as made:
            reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
            writer.write(request("a", "Connection: close\r\n"))
            head = await reader.readuntil(b"\r\n\r\n")
            early = await reader.readexactly(100_000)
            assert status(head) == 200 and not box.go.is_set() and made.node.open == 1
            box.go.set()
            body = early + await reader.read(-1)
            assert (body if form is sized else unchunked(body)) == BODY
            await until_idle(made)
            assert made.metrics.responses["read"] == [1, 0, 0] and made.metrics.attempts_sent == 1
            writer.transport.abort()

    run_async(test)


def test_an_interrupted_large_response_arrives_truncated_and_is_not_retried() -> None:
    async def test() -> None:
        box = TwoPartServer(sized(BODY)[:300_000], b"")
        async with rig({"s0": box, "s1": TwoPartServer(sized(BODY)[:300_000], b"")}) as made:
            response_task = asyncio.create_task(made.ask("a"))
            boxes = list(made.boxes.values())
            await until(
                lambda: (
                    any(each.heads for each in boxes)
                    and made.node.open == 1
                    and bool(made.node._streams)
                )
            )
            for each in boxes:
                each.close()
            answer = await response_task
            assert len(answer.partition(b"\r\n\r\n")[2]) < len(BODY)
            await until_idle(made)
            assert sum(len(each.heads) for each in boxes) == 1 and made.metrics.responses[
                "read"
            ] == [
                0,
                0,
                1,
            ]

    run_async(test)


def test_a_client_that_reads_slowly_applies_backpressure_to_its_server() -> None:
    # Backpressure: a response must not pile up in memory between a fast server and a slow client.
    async def test() -> None:
        data = sized(bytes(8 << 20))
        box = TwoPartServer(data, b"")
        box.go.set()
        async with rig({"s0": box}) as made:
            reader, writer = await asyncio.open_connection("127.0.0.1", made.port, limit=4_096)
            writer.write(request("a"))
            await reader.readuntil(b"\r\n\r\n")
            before = -1
            while before != box.written:  # until the box is blocked
                before = box.written
                await asyncio.sleep(0.25)
            assert box.written < 3 << 20
            size = 0
            while size < 8 << 20:
                size += len(await reader.read(1 << 16))
            assert size == 8 << 20
            await until_idle(made)
            writer.transport.abort()

    run_async(test)


def test_an_attempt_ends_when_its_client_disconnects_during_the_response() -> None:
    async def test() -> None:
        data = sized(bytes(8 << 20))
        box = TwoPartServer(data, b"")
        async with rig({"s0": box}) as made:
            reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
            writer.write(request("a"))
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.abort()
            await box.disconnected.wait()
            await until_idle(made)
            assert made.pool.open == 0

    run_async(test)


def test_an_endless_response_is_cut_off_at_the_maximum_body_size() -> None:
    async def test() -> None:
        chunk = b"10000\r\n" + bytes(65_536) + b"\r\n"
        box = TwoPartServer(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk * (MAX_BODY_BYTES // 65_536 + 20),
            b"",
        )
        async with rig({"s0": box}) as made:
            answer = await made.ask("a")
            assert not answer.endswith(b"0\r\n\r\n") and len(answer) < MAX_BODY_BYTES + 400_000
            await until_idle(made)
            assert made.metrics.responses["read"] == [0, 0, 1]

    run_async(test)


@pytest.mark.parametrize("form", ["sized", "chunked"])
def test_a_large_body_reaches_its_server_complete_and_the_connection_stays_open(form: str) -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
            more = (
                f"Content-Length: {len(BODY)}\r\n"
                if form == "sized"
                else "Transfer-Encoding: chunked\r\n"
            )
            data = put_head("a", more) + (BODY if form == "sized" else chunks(BODY)) + request("b")
            for at in range(0, len(data), 50_001):
                writer.write(data[at : at + 50_001])
                await writer.drain()
            assert (await answer_on(reader))[0] == 200 and (await answer_on(reader))[0] == 200
            assert sorted(made.boxes["s0"].bodies) == [b"", BODY]
            await until_idle(made)
            writer.transport.abort()

    run_async(test)


def test_a_large_body_goes_to_another_server_where_the_first_refuses_connections() -> None:
    # Nothing beyond the buffered first 64 KiB has been consumed, so a second attempt can send it
    # all.
    async def test() -> None:
        boxes = {f"s{n}": CacheBox() for n in range(2)}
        async with rig(boxes) as made:
            more = f"Content-Length: {len(BODY)}\r\n"
            boxes["s0"].close()
            for n in range(4):
                answer = await made.ask(f"a{n}", more, f"/api/k{n}", "order", "PUT", BODY)
                assert status(answer) == 200
            assert boxes["s1"].bodies == [BODY] * 4 and made.metrics.attempts_sent == 4

    run_async(test)


def test_a_large_request_whose_server_resets_mid_body_is_refused_as_not_run() -> None:
    class Breaker(CacheBox):
        async def _run(self, connection: Connection) -> None:
            await connection.stream.read()
            del self.connections[connection]
            connection.stream.abort()

    async def test() -> None:
        async with rig({"s0": Breaker(), "s1": Breaker()}) as made:
            reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
            writer.write(put_head("a", f"Content-Length: {len(BODY)}\r\n") + BODY)
            assert (await answer_on(reader))[0] == 503
            # The rest of the body was read and discarded, so the connection is still usable.
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            assert await answer_on(reader) == (200, b"ok\n")
            await until_idle(made)
            assert made.metrics.attempts_sent == 0
            writer.transport.abort()

    run_async(test)


def test_a_large_body_is_not_sent_twice_where_its_server_failed_after_reading_it() -> None:
    async def test() -> None:
        def bad(head: bytes) -> bytes:
            return b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"

        async with rig({"s0": CacheBox(bad), "s1": CacheBox(bad)}) as made:
            assert status(
                await made.ask(
                    "a",
                    f"Content-Length: {len(BODY)}\r\n",
                    class_name="pay",
                    method="PUT",
                    body=BODY,
                )
            ) in (502, 503)
            assert (
                status(
                    await made.ask(
                        "b",
                        f"Content-Length: {len(BODY)}\r\n",
                        class_name="order",
                        method="PUT",
                        body=BODY,
                    )
                )
                == 502
            )
            assert (
                made.metrics.attempts_sent == 2
                and sum(len(box.bodies) for box in made.boxes.values()) == 2
            )

    run_async(test)


def test_a_client_that_stops_in_the_middle_of_a_large_body_is_answered_within_three_seconds() -> (
    None
):
    # A client that never completes its body must not hold a connection to a server.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            began = asyncio.get_running_loop().time()
            answer = await made.send(
                put_head("a", f"Content-Length: {len(BODY)}\r\n")
                + BODY[: 3 * MAX_BUFFERED_BODY_BYTES]
            )
            assert status(answer) == 408 and asyncio.get_running_loop().time() - began < 3.0
            await until_idle(made)
            assert made.boxes["s0"].bodies == [] and made.pool.open == 0

    run_async(test)


def test_a_slow_client_within_the_limits_is_served() -> None:
    # Two seconds for the head, then a body as slow as permitted: a slow client within the limits
    # must not be cut off.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
            data = put_head("a", f"Content-Length: {2 * MAX_BUFFERED_BODY_BYTES}\r\n")
            for piece in (data[:20], data[20:50], data[50:]):
                writer.write(piece)
                await asyncio.sleep(0.7)
            for at in range(0, 2 * MAX_BUFFERED_BODY_BYTES, 16_384):
                writer.write(BODY[at : at + 16_384])
                await asyncio.sleep(0.25)
            assert (await answer_on(reader))[0] == 200 and made.boxes["s0"].bodies == [
                BODY[: 2 * MAX_BUFFERED_BODY_BYTES]
            ]
            writer.transport.abort()

    run_async(test)


@pytest.mark.parametrize(
    ("more", "body", "expected"),
    [
        (f"Content-Length: {MAX_BODY_BYTES + 1}\r\n", b"", 413),
        (
            "Transfer-Encoding: chunked\r\n",
            chunks(bytes(3 * MAX_BUFFERED_BODY_BYTES))[:-5] + b"zz\r\n",
            400,
        ),
        (
            "Transfer-Encoding: chunked\r\n",
            (b"10000\r\n" + bytes(65_536) + b"\r\n") * (MAX_BODY_BYTES // 65_536 + 1),
            413,
        ),
        (
            "Transfer-Encoding: chunked\r\n",
            chunks(bytes(MAX_BUFFERED_BODY_BYTES + 1))[:-5] + b"1\r\nx\r\n" * 20_000,
            400,
        ),
    ],
)
def test_an_invalid_large_body_gets_an_error_and_is_not_executed(
    more: str, body: bytes, expected: int
) -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            assert status(await made.send(put_head("a", more) + body)) in (expected, 0)
            await until_idle(made)
            assert made.boxes["s0"].bodies == [] and made.boxes["s0"].heads == []
            assert status(await made.ask("b")) == 200

    run_async(test)


def test_the_id_of_a_large_request_in_progress_is_rejected() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
            writer.write(
                put_head("a", f"Content-Length: {len(BODY)}\r\n")
                + BODY[: 2 * MAX_BUFFERED_BODY_BYTES]
            )
            await until(lambda: made.node.open == 1)
            made.node._recent_ids.clear()  # as if it had been open longer than ids are remembered
            assert status(await made.ask("a")) == 409
            writer.write(BODY[2 * MAX_BUFFERED_BODY_BYTES :])
            assert (await answer_on(reader))[0] == 200
            writer.transport.abort()

    run_async(test)


def test_a_target_in_absolute_form_is_forwarded_as_its_path() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            answer = await made.ask("a", path="http://service.internal/api/k?x=1")
            assert answer.endswith(b"for /api/k?x=1")
            assert (
                status(
                    await made.send(
                        b"GET http://service.internal/up HTTP/1.1\r\n"
                        b"Host: x\r\nConnection: close\r\n\r\n"
                    )
                )
                == 200
            )

    run_async(test)


def test_a_small_response_is_checked_completely_before_any_of_it_is_forwarded() -> None:
    async def test() -> None:
        truncated = iter([ok_response(b"x" * 5_000)[:-10]])
        box = CacheBox(lambda head: next(truncated, None) or default_answer(head))
        async with rig({"s0": box}) as made:
            response_task = asyncio.create_task(made.ask("a"))
            await until(lambda: len(box.heads) == 1)
            for connection in list(box.connections):
                connection.stream.close()
            assert (await response_task).endswith(b"for /api/k") and len(box.heads) == 2

    run_async(test)


@pytest.mark.parametrize("seed", range(40))
def test_a_body_pipe_returns_data_in_order_whichever_side_waits(seed: int) -> None:
    # Each side pauses at points drawn from the seed: no wake-up may be lost between two waits.
    async def test() -> None:
        rng = random.Random(seed)
        relay, sent, received = BodyPipe(), [b"%d" % n for n in range(60)], []
        end = rng.choice(("end", "fail", "close"))

        async def write() -> bool:
            for piece in sent:
                for _ in range(rng.randrange(3)):
                    await asyncio.sleep(0)
                if not await relay.put(piece):
                    return False
            relay.fail() if end == "fail" else relay.end()
            return True

        async def read() -> bool:
            while (piece := await relay.get()) is not None:
                received.append(piece)
                for _ in range(rng.randrange(3)):
                    await asyncio.sleep(0)
                if end == "close" and len(received) == 30:
                    relay.close()
                    return True
            return True

        write_result, read_result = await asyncio.gather(write(), read(), return_exceptions=True)
        if end == "close":
            assert write_result is False and received == sent[:30]
        else:
            assert (
                write_result is True
                and received == sent
                and (isinstance(read_result, BodyAborted) if end == "fail" else read_result is True)
            )

    run_async(test)


def test_an_answer_that_is_cut_off_is_counted_and_logged_with_id_bytes_and_cause(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        box = TwoPartServer(sized(BODY)[:300_000], b"")
        async with rig({"s0": box}) as made:
            with caplog.at_level("INFO", "corkshift.node"):
                response_task = asyncio.create_task(made.ask("cut-1"))
                await until(lambda: bool(made.node._streams))
                box.close()
                await response_task
                await until_idle(made)
            lines = [line for line in caplog.messages if "cut off" in line]
            assert len(lines) == 1 and "cut-1" in lines[0] and "s0" in lines[0]
            assert "bytes" in lines[0] and "broken" in lines[0]
            assert made.metrics.cut_answers == {"broken": 1}

    run_async(test)


class StallingServer(CacheBox):
    """A box that begins a large response and writes on until `stop` is set, then nothing more."""

    def __init__(self) -> None:
        super().__init__()
        self.stop = asyncio.Event()

    async def serve(self, connection: Connection, request: Message) -> None:
        await connection.stream.write(sized(bytes(8 << 20))[:200])
        while not self.stop.is_set():
            await connection.stream.write(bytes(4_096))
            await asyncio.sleep(0.005)
        await asyncio.get_running_loop().create_future()


def test_a_client_that_reads_nothing_sees_the_end_of_a_broken_response_at_once() -> None:
    async def test() -> None:
        box = StallingServer()
        async with rig({"s0": box}) as made:
            reader, writer = await asyncio.open_connection("127.0.0.1", made.port, limit=4_096)
            writer.write(request("a"))
            await reader.readuntil(b"\r\n\r\n")
            connection = next(iter(made.frontend._connections))
            assert isinstance(connection, ClientConnection)
            await until(lambda: connection._stream._writer is not None)
            box.stop.set()
            await asyncio.sleep(0.1)
            assert connection._stream._writer is not None
            box.close()
            async with asyncio.timeout(0.2):
                await until(lambda: made.frontend.connection_count == 0)
            writer.transport.abort()

    run_async(test)


@pytest.mark.parametrize("form", ["sized", "chunked", "until close"])
@pytest.mark.parametrize("first_bytes", [0, 9_000, 60_000])
def test_a_large_response_is_passed_on_while_its_server_rests(form: str, first_bytes: int) -> None:
    # The server rests until long after the attempt's time, which is that of the client.
    async def test() -> None:
        body = BODY[:160_000]
        head = {
            "sized": b"Content-Length: %d\r\n" % len(body),
            "chunked": b"Transfer-Encoding: chunked\r\n",
            "until close": b"",
        }[form]
        if form == "chunked":
            first = chunks(body[:first_bytes])[:-5]
            second = chunks(body[first_bytes:])
        else:
            first, second = body[:first_bytes], body[first_bytes:]
        closes = form == "until close"
        box = TwoPartServer(b"HTTP/1.1 200 OK\r\n%b\r\n" % head + first, second, closes)
        async with rig({"s0": box}, options=options_of(allowed={"mostTries": 1})) as made:
            reader, writer = await asyncio.open_connection("127.0.0.1", made.port)
            writer.write(request("a", "Connection: close\r\n", class_name="brisk", within_ms=1_000))
            async with asyncio.timeout(1.0):
                assert status(await reader.readuntil(b"\r\n\r\n")) == 200
            await asyncio.sleep(0.5)
            box.go.set()
            data = await reader.read(-1)
            assert (body if form == "sized" else unchunked(data)) == body
            writer.transport.abort()

    run_async(test)
