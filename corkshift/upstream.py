"""Cache server side of the node: the connection pool and the exchange of one attempt."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Optional, Protocol

import h11

from corkshift import seam
from corkshift.bodies import (
    CRLF,
    BodyDecoder,
    MalformedBody,
    decoder_of,
    next_piece,
)
from corkshift.budget import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, SmallPieceDetector
from corkshift.heads import (
    Fields,
    ResponseHead,
    ResponseHeadParser,
    TooManyInformationalResponses,
)
from corkshift.loop_lag import LoopLagMonitor
from corkshift.messages import ClientRequest, Response
from corkshift.metrics import Metrics
from corkshift.plain import response_head
from corkshift.relay import BodyAborted, BodyPipe
from corkshift.seam import Address, now_ms
from corkshift.seam.errors import LOCAL_ERRNOS, error_name
from corkshift.stream import KERNEL_BUFFER_BYTES, READ_BYTES, Stream
from forkweir.limits.lifecycle import shared_limit
from forkweir.limits.response_end import ResponseEnd
from forkweir.limits.response_start import PassOnTimes, pass_on_times
from forkweir.send_guard import Denial, announced_wait_ms

# Reads of an error response's body, which is read only to keep the connection.
MAX_ERROR_BODY_READS = 8
# Bytes read at once of a response too large to buffer.
LARGE_BODY_READ_BYTES = 32_768
# A server that sends or reads nothing of a large body for this long fails the attempt.
STALL_TIMEOUT_S = 10.0
# A server that has taken nothing of a large body for this long is at fault if its time runs out.
SERVER_STALL_S = 0.5
# A connection is not reused after this share of the servers' idle timeout.
IDLE_TIMEOUT_SHARE = 0.7
# Idle time before a connection is reused. Surplus bytes behind a response are assumed to arrive by
# then: the connection is closed, and they are not taken for the next response.
MIN_IDLE_MS = 2.0
# Interval at which connections near the idle timeout are closed.
SWEEP_INTERVAL_S = 0.5
# First delay before connecting again after a shortage on this machine; doubles up to the maximum.
LOCAL_RETRY_DELAY_S = 0.01
MAX_LOCAL_RETRY_DELAY_S = 0.08
# Turns of the event loop for which an attempt lets unread bytes from discovery be read first; each
# turn reads one chunk.
MAX_DISCOVERY_TURNS = 8
# Share of an attempt's time for connecting again after a shortage on this machine; the rest is left
# for another attempt.
LOCAL_RETRY_SHARE = 0.7
LAST_CHUNK = b"0\r\n\r\n"
# Values of the X-Found header, as the balancer counts them; 0 stands for unknown. "pending": the
# object was not in the cache, and was already being fetched for another request.
CACHE_RESULTS = {b"hit": 1, b"miss": 2, b"pending": 3}


class MalformedResponse(Exception):
    """A response that violates HTTP or the node's limits.

    The request may have run if all of it was sent.
    """


class NotSent(Exception):
    """The attempt ended without an outcome of the cache server, which is not at fault.

    The request was not sent completely, or its response is no longer wanted.
    """


@dataclass(eq=False, slots=True)
class CacheServer:
    """A cache server as listed by discovery, and its idle connections."""

    name: str
    address: Address
    # When this node was notified that the server drains or was removed. Its grace period, in which
    # requests may still be sent to it, starts then (`forkweir.send_guard`).
    leaving_ms: Optional[float] = None
    # Idle connections and the time from which each is idle, oldest first.
    idle: list[tuple[float, Stream]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended.

    status: a key of `forkweir.known.outcomes.OUTCOME_TYPES`. Of these, "void" means that the
    attempt ended without an outcome of the server (`NotSent`), "withdrawn" that the node cancelled
    it, and "spoilt" that the response was malformed. cache_result: a value of CACHE_RESULTS, or 0.
    """

    status: str
    cache_result: int = 0
    body: bytes = b""


class Pool:
    """Connections to all cache servers, at most `limit` at once.

    dial_timeout_ms: time limit of a connect. conn_idle_ms: idle timeout of the cache servers.
    """

    def __init__(
        self,
        limit: int,
        dial_timeout_ms: float,
        conn_idle_ms: float,
        metrics: Metrics,
        loop_lag: Optional[LoopLagMonitor] = None,
    ) -> None:
        self._limit = limit
        self.metrics = metrics
        self.loop_lag = loop_lag or LoopLagMonitor()
        self._dial_s = dial_timeout_ms / 1000.0
        self._idle_ms = conn_idle_ms * IDLE_TIMEOUT_SHARE
        self._open = 0
        self.peer_connections = 0  # of the node's other processes
        self._idle: dict[Stream, CacheServer] = {}  # longest idle first
        self._sweep_timer: Optional[asyncio.TimerHandle] = None

    async def connect(self, server: CacheServer, until_s: float = 0.0) -> Stream:
        """Return the most recently used idle connection to a server, or a new one.

        A connection that became idle less than MIN_IDLE_MS ago is skipped. If this machine has no
        port, buffer, descriptor or route for a new one, it retries until `until_s` (on the loop's
        clock) and then raises NotSent.
        """
        now = now_ms()
        idle_before_ms, expired_before_ms = now - MIN_IDLE_MS, now - self._idle_ms
        for since_ms, stream in reversed(list(server.idle)):
            if since_ms > idle_before_ms:
                continue
            self._remove_idle(stream)
            # With short idle timeouts the periodic sweep alone would be too late.
            if since_ms >= expired_before_ms and stream.open_without_input:
                return stream
            self.drop(stream)
        pause_s = LOCAL_RETRY_DELAY_S
        while True:
            try:
                return await self._dial(server)
            except OSError as error:
                if error.errno not in LOCAL_ERRNOS:
                    raise
                self.metrics.count_local_error(error_name(error))
                if asyncio.get_running_loop().time() + pause_s > until_s:
                    raise NotSent(
                        f"cannot connect from this machine: {error_name(error)}"
                    ) from None
            await asyncio.sleep(pause_s)
            pause_s = min(2.0 * pause_s, MAX_LOCAL_RETRY_DELAY_S)

    async def _dial(self, server: CacheServer) -> Stream:
        if self._open >= shared_limit(self._limit, self.peer_connections):
            if not self._idle:
                raise NotSent("all sockets for cache servers are in use")
            oldest = next(iter(self._idle))
            self._remove_idle(oldest)
            self.drop(oldest)
        sock = seam.tcp_socket()
        self._open += 1
        try:
            seam.limit_buffers(sock, KERNEL_BUFFER_BYTES)
            async with self.loop_lag.timeout(self._dial_s):
                await seam.connect(sock, server.address)
            return Stream(sock)
        except BaseException:
            sock.close()
            self._open -= 1
            raise

    def keep(self, server: CacheServer, stream: Stream) -> None:
        """Keep a connection idle for the next attempt; close it if the server sends or closes."""
        if server.leaving_ms is not None or not stream.open_without_input:
            self.drop(stream)
            return
        server.idle.append((now_ms(), stream))
        self._idle[stream] = server
        stream.on_input = lambda: self._close_idle(stream)
        if self._sweep_timer is None:
            self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def drop(self, stream: Stream) -> None:
        """Close a connection that no attempt uses any more."""
        if not stream.closed:
            self._open -= 1
            stream.abort()

    @property
    def open(self) -> int:
        """The number of open connections."""
        return self._open

    def close(self) -> None:
        """Close all idle connections."""
        for stream in list(self._idle):
            self._close_idle(stream)

    def close_idle_of(self, server: CacheServer) -> None:
        """Close the idle connections to a server that drains, was removed or has a new address."""
        for _, stream in list(server.idle):
            self._remove_idle(stream)
            self.drop(stream)

    def _close_idle(self, stream: Stream) -> None:
        self._remove_idle(stream)
        self.drop(stream)

    def _remove_idle(self, stream: Stream) -> None:
        server = self._idle.pop(stream)
        server.idle[:] = [pair for pair in server.idle if pair[1] is not stream]
        stream.on_input = None

    def _sweep(self) -> None:
        """Close connections near the servers' idle timeout.

        Otherwise a request could be written just as its server closes the connection.
        """
        self._sweep_timer = None
        before = now_ms() - self._idle_ms
        for stream, server in list(self._idle.items()):
            if server.idle[0][0] > before:
                break
            self._remove_idle(stream)
            self.drop(stream)
        if self._idle:
            self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)


class AttemptOwner(Protocol):
    """The owner of an attempt, with the calls that an attempt makes to it before its end."""

    def may_send(
        self, request: ClientRequest, server: CacheServer, announced_ms: int
    ) -> Optional[Denial]:
        """Return the denial if a request may not be sent to a server now, else None.

        announced_ms: the remaining time announced in the request's head; 0 if there is none yet.
        """

    def may_repeat(self, request: ClientRequest) -> bool:
        """Whether a request may be sent again or refused whatever has run."""

    def list_unread(self) -> bool:
        """Whether bytes from discovery, perhaps a drain, may be unread after event loop lag."""

    def on_last_byte_written(
        self, request: ClientRequest, server: CacheServer, announced_ms: int
    ) -> None:
        """Called when the last byte of a request has been written."""

    def on_body_consumed(self, request: ClientRequest) -> None:
        """Called when bytes of an unbuffered body are consumed: it can't be sent again."""

    def read_limit(self, most: int) -> int:
        """Return how much of a message may be read at once, before its length is known.

        most: the upper limit, in bytes.
        """

    @property
    def buffer_limit(self) -> int:
        """The largest response that is buffered completely, in bytes."""

    def transfer_read_limit(self, most: int) -> int:
        """Return how much of a body that is streamed may be read at once, `most` at most."""

    def on_response_started(self, attempt: Attempt, response: Response, cache_result: int) -> bool:
        """Called when a response too large to buffer begins; returns whether it is still wanted."""


class Attempt:
    """One exchange with a cache server, with exactly one outcome. It never resends anything."""

    def __init__(
        self,
        pool: Pool,
        server: CacheServer,
        request: ClientRequest,
        within_ms: float,
        owner: AttemptOwner,
    ) -> None:
        self.server = server
        # For a request too large to buffer, set again when its last byte has been written.
        self._started_ms = pool.loop_lag.active_ms()
        self._pool = pool
        self.request = request
        self._within_ms = within_ms
        self._owner = owner
        self._timeout = asyncio.timeout(within_ms / 1000.0)
        self._deadline_timer: Optional[asyncio.TimerHandle] = None  # while a large body is sent
        self._body_progress_s = 0.0  # when the server last took a part of a large body
        self._response_pipe: Optional[BodyPipe] = None  # passes on a response too large to buffer
        self._stream: Optional[Stream] = None
        self._response_end: Optional[ResponseEnd] = None  # of a response with status 200
        self._announced_ms = 0  # remaining time announced to the server
        # The response is complete, with no bytes behind it, and another one may follow.
        self._response_complete = False
        self.cause = ""  # why the attempt failed, in short; empty if it did not
        self.streamed_bytes = 0  # of the body of a response too large to buffer
        self._any_sent = False  # a byte of the request may have been sent
        self._all_sent = False  # all of its bytes have been written

    @property
    def response_started(self) -> bool:
        """Whether a response too large to buffer has begun to be passed on."""
        return self._response_pipe is not None

    @property
    def elapsed_ms(self) -> float:
        """The attempt's duration less event loop lag, which says nothing about the server."""
        return self._pool.loop_lag.active_ms() - self._started_ms

    def abort_response(self) -> None:
        """Let the client see that a streamed response is incomplete, unless it has ended."""
        if self._response_pipe is not None:
            self._response_pipe.fail()

    async def run(self) -> Outcome:
        """Send the request and read the complete response."""
        outcome, cause = Outcome("withdrawn"), "cancelled"
        try:
            async with self._timeout:
                outcome, cause = await self._exchange(), ""
        except (NotSent, BodyAborted) as error:
            # BodyAborted: the client left or stalled before the last byte of its body, so the
            # request never ran.
            outcome, cause = Outcome("void"), str(error)
        except TimeoutError as error:
            outcome, cause = Outcome(self._timeout_status()), str(error) or "timeout"
        except (h11.RemoteProtocolError, MalformedBody, MalformedResponse) as error:
            # After the complete request, the server's response is malformed, which the balancer
            # distinguishes from a broken connection. Before, the request cannot have run.
            outcome, cause = Outcome("spoilt" if self._all_sent else "unreachable"), str(error)
        except OSError as error:
            outcome, cause = (
                Outcome("broken" if self._all_sent else "unreachable"),
                error_name(error),
            )
        finally:
            self.cause = cause
            self._timeout = asyncio.timeout(None)  # the one that was used refers to the task
            self._pool.metrics.count_attempt(outcome.status, self.server.name, cause)
            self._release()
        return outcome

    def _timeout_status(self) -> str:
        """Return the outcome's status at the end of the time.

        Until its last byte has been written, a request cannot have run. A server that has been
        taking its body is not at fault.
        """
        if self._all_sent:
            return "timed_out"
        stalled_s = asyncio.get_running_loop().time() - self._body_progress_s
        return "unreachable" if stalled_s > SERVER_STALL_S else "void"

    def abort(self) -> None:
        """Reset the connection now, so that nothing more of the request is sent."""
        if self._stream is not None:
            self._pool.drop(self._stream)

    async def _exchange(self) -> Outcome:
        now_s = asyncio.get_running_loop().time()
        self._stream = await self._pool.connect(
            self.server, now_s + LOCAL_RETRY_SHARE * self._within_ms / 1000.0
        )
        self._stream.read_limit = self._owner.read_limit(READ_BYTES)
        send = self._send if self.request.body_rest is None else self._send_large
        early = not await send(self._stream)
        return await self._receive(early)

    def _headers(self, size: Optional[int]) -> list[tuple[bytes, bytes]]:
        """Return the request's headers; `size` is its body's length, None if unknown."""
        request = self.request
        if not self._announced_ms:  # computed once, when the head is written
            self._announced_ms = announced_wait_ms(self._left_ms(), self.request.left_ms())
        headers = [
            (b"Host", b"%s:%d" % (self.server.address[0].encode(), self.server.address[1])),
            (b"X-Txn", request.txn),
            (b"X-Remaining-Ms", b"%d" % self._announced_ms),
        ]
        if request.idempotency_key is not None:
            headers.append((b"Idempotency-Key", request.idempotency_key))
        if size is None:
            headers.append((b"Transfer-Encoding", b"chunked"))
        elif size or request.method == b"PUT":
            headers.append((b"Content-Length", b"%d" % size))
        return headers

    def _left_ms(self) -> float:
        """Return how long this attempt will still wait."""
        when = self._timeout.when()
        return (
            self._within_ms if when is None else 1000.0 * (when - asyncio.get_running_loop().time())
        )

    def _head(self, size: Optional[int]) -> bytes:
        """Return the request's head; `size` as in `_headers`.

        The node made all parts of it itself or checked them when it read the client's request.
        """
        fields = b"".join([b"%b: %b\r\n" % field for field in self._headers(size)])
        return b"%b %b HTTP/1.1\r\n%b\r\n" % (self.request.method, self.request.target, fields)

    async def _send(self, stream: Stream) -> bool:
        """Write the request; return False if the server responded before its last byte."""
        request = self.request
        size = sum(map(len, request.body))
        head = self._head(size)
        pieces: list[bytes | bytearray] = [head, *request.body]
        if len(head) + size <= READ_BYTES:
            pieces = [b"".join(pieces)]
        else:
            # Checked before the first byte, whose time counts for a drain, and before the last.
            self._check_may_send()
            # The last byte is sent separately, so that it is not sent before the final check.
            pieces[-1:] = [pieces[-1][:-1], pieces[-1][-1:]]
        for piece in pieces[:-1]:
            self._any_sent = True
            if not await stream.write(piece, until_input=True):
                return False
        return await self._send_last(stream, pieces[-1], len(pieces) > 1)

    async def _send_large(self, stream: Stream) -> bool:
        """Stream a request too large to buffer; return False as `_send` does.

        Raises BodyAborted if the client leaves or stalls, and TimeoutError at the client's deadline
        or if the server takes nothing for STALL_TIMEOUT_S. From the last byte on, the attempt's own
        time limit runs as well.
        """
        self._timeout.reschedule(None)
        self._end_at_deadline()
        try:
            sent = await self._send_body(stream)
        finally:
            if self._deadline_timer is not None:  # the time may be over before the first byte
                self._deadline_timer.cancel()
        left_ms = self.request.left_ms()
        if sent:
            self._started_ms = self._pool.loop_lag.active_ms()
            left_ms = min(left_ms, self._within_ms)
        self._timeout.reschedule(asyncio.get_running_loop().time() + max(0.0, left_ms) / 1000.0)
        return sent

    def _end_at_deadline(self) -> None:
        """Time the attempt out at the client's deadline, which moves on while its body comes in."""
        loop, left_s = asyncio.get_running_loop(), self.request.left_ms() / 1000.0
        if left_s > 0.0:
            self._deadline_timer = loop.call_later(left_s, self._end_at_deadline)
        elif self._timeout.when() is None:
            self._timeout.reschedule(loop.time())

    async def _send_body(self, stream: Stream) -> bool:
        """Write head and body of a request too large to buffer; return False as `_send` does."""
        request, body_rest = self.request, self.request.body_rest
        assert body_rest is not None
        ahead: list[bytes | bytearray] = [self._head(request.length)]
        # No variable of this function keeps a part, so that each is freed once it is written.
        ahead += [part for kept in request.body for part in self._body_parts(kept)]
        self._check_may_send()
        while (piece := await body_rest.get()) is not None:
            if not request.body_consumed:
                request.body_consumed = True
                request.body.clear()  # no retry is possible, so `ahead` alone keeps it
                self._owner.on_body_consumed(request)
            self._any_sent = True
            if not await self._write_parts(stream, ahead):
                body_rest.close()
                return False
            request.release_body(request)
            ahead = self._body_parts(piece)
            del piece
        end = b"".join([*ahead, LAST_CHUNK if request.length is None else b""])
        ahead.clear()
        self._any_sent = True
        if not await self._write_parts(stream, [end[:-1]]):
            return False
        return await self._send_last(stream, end[-1:], True)

    def _body_parts(self, piece: bytes | bytearray) -> list[bytes | bytearray]:
        """Return what is written for a piece of a large body; the piece itself is not copied."""
        return [piece] if self.request.length is not None else [b"%x\r\n" % len(piece), piece, CRLF]

    async def _write_parts(self, stream: Stream, parts: list[bytes | bytearray]) -> bool:
        """Write parts of a large body and drop them; return False if the server responds first."""
        while parts:
            if not await stream.write_within(STALL_TIMEOUT_S, parts[0], until_input=True):
                return False
            del parts[0]
            self._body_progress_s = asyncio.get_running_loop().time()
        return True

    def _check_may_send(self) -> None:
        """Raise NotSent if the request may not be sent now (`Denial` lists the reasons).

        For example, the client may have left, or the grace for a draining server or another time
        limit may have passed, during a slow connect or a long body.
        """
        denial = self._owner.may_send(self.request, self.server, self._announced_ms)
        if denial is not None:
            raise NotSent(denial)

    async def _let_discovery_read(self) -> None:
        """After event loop lag, let pending bytes from discovery be read first.

        Otherwise the request could go to a server whose drain is still unread. The number of turns
        is bounded, as discovery may go on writing; the grace period of a drain that it writes
        during these turns also starts later.
        """
        for _ in range(MAX_DISCOVERY_TURNS):
            if not self._owner.list_unread():
                return
            await asyncio.sleep(0.0)

    async def _send_last(self, stream: Stream, piece: bytes | bytearray, until_input: bool) -> bool:
        await self._let_discovery_read()
        self._check_may_send()
        if self.request.first_attempt_sent_ms is None:
            self.request.first_attempt_sent_ms = now_ms()
        self._any_sent = True
        if not await stream.write(piece, until_input=until_input):
            return False
        self._all_sent = True
        self._pool.metrics.attempts_sent += 1
        self._owner.on_last_byte_written(self.request, self.server, self._announced_ms)
        return True

    async def _receive(self, early: bool) -> Outcome:
        data = await self._read()
        if not early and (outcome := await self._receive_simple(data)) is not None:
            return outcome
        head, decoder = await self._read_head(data)
        del data  # the decoder has it; it would be held for the whole of a long transfer
        if head.status != 200:
            # The head alone decides; the body is read only to keep the connection.
            await self._read_error_body(head, decoder)
            return _error_outcome(head.status, head.fields)
        if early:
            raise ConnectionResetError("response with status 200 before the request was complete")
        length = _content_length(head)
        self._response_end = ResponseEnd(_loop_ms(), maybe_large=length is None)
        body, complete = await self._buffer_body(decoder, length)
        if complete:
            self._note_complete(head, decoder)
            return Outcome("success", _cache_result(head.fields), bytes(body))
        pipe = BodyPipe()
        await pipe.put(bytes(body))  # the pipe is empty, so this doesn't wait; no bytes, no piece
        del body  # held by the pipe alone, so that it is freed once it is written
        return await self._stream_response(pipe, head, decoder, length)

    async def _read_head(self, data: bytes) -> tuple[ResponseHead, BodyDecoder]:
        """Read the head of the final response; return it with the decoder of its body.

        data: what was read of it. The decoder has got what was read behind the head.
        """
        parser = ResponseHeadParser()
        try:
            while (head := parser.receive(data)) is None:
                if not parser.can_begin_response:
                    raise MalformedResponse("not HTTP")
                data = await self._read()
        except TooManyInformationalResponses:
            raise MalformedResponse("too many 1xx responses") from None
        length = _content_length(head) if head.has_body else 0
        decoder = decoder_of(length, head.chunked and head.has_body, until_close=True)
        if parser.surplus:
            decoder.receive(parser.surplus)
        return head, decoder

    def _note_complete(self, head: ResponseHead, decoder: BodyDecoder) -> None:
        """Note whether the connection can be kept after a complete response."""
        self._response_complete = (
            head.keep_alive and decoder.ends_within_connection and not decoder.surplus
        )

    async def _next_piece(self, decoder: BodyDecoder) -> bytes:
        """Return the next bytes of a response's body, b"" at its end."""
        return await next_piece(decoder, self._read_body_input)

    async def _read_body_input(self) -> bytes:
        assert self._stream is not None
        data = await self._stream.read()
        if self._response_end is not None:
            self._response_end.record_read(_loop_ms(), len(data))
        return data

    async def _buffer_body(
        self, decoder: BodyDecoder, length: Optional[int]
    ) -> tuple[bytearray, bool]:
        """Read a response's body to its end, or until it has to be streamed.

        Returns what was read, and whether it is complete.
        """
        times = self._pass_on_times(length)

        async def read() -> bytes:
            at_rest_ms = None if times is None else times.at_rest_ms
            async with asyncio.timeout_at(None if at_rest_ms is None else at_rest_ms / 1000.0):
                return await self._read_body_input()

        body, pieces = bytearray(), SmallPieceDetector()
        try:
            while piece := await next_piece(decoder, read):
                body += piece
                if pieces.too_small(len(piece), decoder.chunks):
                    raise MalformedResponse("body in too small pieces")
                if len(body) > self._owner.buffer_limit or (
                    times is not None and _loop_ms() >= times.with_input_ms
                ):
                    return body, decoder.complete
        except TimeoutError:
            return body, False
        return body, True

    def _pass_on_times(self, length: Optional[int]) -> Optional[PassOnTimes]:
        """When the response is passed on before it is complete, on the loop's clock.

        None for one that is small enough to be buffered.
        """
        if length is not None and length <= self._owner.buffer_limit:
            return None
        repeatable = self._owner.may_repeat(self.request)
        return pass_on_times(_loop_ms(), self._left_ms(), length is not None, repeatable)

    async def _receive_simple(self, data: bytes) -> Optional[Outcome]:
        """Return the outcome of a short response in simple form; None leaves `data` to h11."""
        head = response_head(data)
        if head is None or head.length is None:
            return None
        body, left = data[head.end :], head.length - (len(data) - head.end)
        if left > 0 and (head.status != 200 or head.length > self._owner.buffer_limit):
            # The head alone decides, even if the body is cut off, or the body is streamed.
            return None
        if left > 0:
            parts = [body]
            while left > 0:
                parts.append(await self._read())
                left -= len(parts[-1])
            body = b"".join(parts)
        self._response_complete = left == 0
        if head.status != 200:
            return _error_outcome(head.status, head.fields)
        return Outcome("success", _cache_result(head.fields), body[: head.length] if left else body)

    async def _read(self) -> bytes:
        """Return the next bytes. Raises ConnectionResetError at the end of the connection."""
        assert self._stream is not None
        if not (data := await self._stream.read()):
            raise ConnectionResetError("connection closed before the end of the response")
        return data

    async def _stream_response(
        self, pipe: BodyPipe, head: ResponseHead, decoder: BodyDecoder, length: Optional[int]
    ) -> Outcome:
        """Pass on what the pipe holds, then the rest as it arrives.

        From here on the response can only be completed or cut off, never replaced.
        """
        assert self._stream is not None and self._response_end is not None
        cache_result = _cache_result(head.fields)
        if not self._owner.on_response_started(
            self, Response(200, body_rest=pipe, length=length), cache_result
        ):
            raise NotSent("response no longer wanted")
        self._response_pipe = pipe
        self._timeout.reschedule(None)
        pieces = SmallPieceDetector()
        while True:
            self._stream.read_limit = self._owner.transfer_read_limit(LARGE_BODY_READ_BYTES)
            piece = await self._next_streamed_piece(decoder, length)
            self.streamed_bytes = decoder.decoded_bytes
            if not piece:
                break
            if decoder.decoded_bytes > MAX_BODY_BYTES or pieces.too_small(
                len(piece), decoder.chunks
            ):
                raise MalformedResponse("body over the size limit or in too small pieces")
            read_ms = _loop_ms()
            if not await pipe.put(piece):
                raise ConnectionAbortedError("the client has left")
            del piece  # the pipe has it
            self._response_end.record_client_wait(_loop_ms() - read_ms)
        self._note_complete(head, decoder)
        pipe.end()
        return Outcome("success", cache_result)

    async def _next_streamed_piece(self, decoder: BodyDecoder, length: Optional[int]) -> bytes:
        """Return the next bytes of a response that is passed on, b"" at its end.

        Raises TimeoutError if the response has rested for too long, or if it is small, as far as is
        known, and the client's time is over.
        """
        if max(length or 0, decoder.decoded_bytes) > MAX_BUFFERED_BODY_BYTES:
            async with asyncio.timeout(STALL_TIMEOUT_S):
                return await self._next_piece(decoder)
        return await next_piece(decoder, self._read_in_time)

    async def _read_in_time(self) -> bytes:
        """Read more of a response that may be small; raise TimeoutError once its time is over."""
        assert self._stream is not None and self._response_end is not None
        while True:
            wait_ms = self._response_end.wait_ms(_loop_ms(), self.request.left_ms())
            try:
                async with self._pool.loop_lag.timeout(max(0.0, wait_ms) / 1000.0):
                    return await self._read_body_input()
            except TimeoutError:
                if self._stream.open_without_input or self._stream.ended:
                    raise
                # More had arrived, and the timer ran before the socket was read.

    async def _read_error_body(self, head: ResponseHead, decoder: BodyDecoder) -> None:
        """Read a short error response to its end, so that the connection can be kept.

        The head alone decides the outcome, so a long or incomplete body is given up.
        """
        if not decoder.ends_within_connection:
            return
        with suppress(OSError, MalformedBody):
            for _ in range(MAX_ERROR_BODY_READS):
                if not await self._next_piece(decoder):
                    self._note_complete(head, decoder)
                    return

    def _release(self) -> None:
        """Keep the connection if both sides completed the exchange, else close it."""
        stream = self._stream
        # The pool owns the connection from here on. `abort` may still be called until the end of
        # this task is noticed, and must not close a connection that is idle or that another
        # attempt uses by then.
        self._stream = None
        if stream is None or stream.closed:
            return
        if not self._any_sent or (self._all_sent and self._response_complete):
            self._pool.keep(self.server, stream)
        else:
            self._pool.drop(stream)


def _loop_ms() -> float:
    """The event loop's clock in ms."""
    return 1000.0 * asyncio.get_running_loop().time()


def _error_outcome(status: int, headers: Fields) -> Outcome:
    """Return the outcome for a response other than 200, from its status and X-Turned-Away.

    That header has the value 1 where the server rejected the request for overload and did not run
    it.
    """
    turned_away = status in (503, 504) and headers.get(b"x-turned-away", b"").strip() == b"1"
    return Outcome("overloaded" if turned_away else "failure")


def _cache_result(headers: Fields) -> int:
    """Return the cache result that the server reports, 0 if it reports none."""
    return CACHE_RESULTS.get(headers.get(b"x-found", b"").strip().lower(), 0)


def _content_length(head: ResponseHead) -> Optional[int]:
    """Return a response's length in bytes (RFC 9112, 6.3).

    None stands for a response that is chunked or ends with its connection.
    Raises MalformedResponse for a length over MAX_BODY_BYTES, since the body would keep coming,
    and for a length together with chunks, which leaves the end of the body ambiguous.
    """
    content_length = head.fields.get(b"content-length")
    if content_length is not None and (head.chunked or int(content_length) > MAX_BODY_BYTES):
        raise MalformedResponse("Content-Length over the limit or with Transfer-Encoding")
    return None if content_length is None else int(content_length)
