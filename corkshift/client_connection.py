"""One client connection: its requests in order, their bodies, and the responses to them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Optional, Protocol

import h11

from corkshift.bodies import (
    BodyDecoder,
    IncompleteBody,
    MalformedBody,
    decoder_of,
    next_piece,
)
from corkshift.body_arrival import BodyArrival
from corkshift.budget import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, BodyBudget, SmallPieceDetector
from corkshift.heads import RequestHead, RequestHeadParser
from corkshift.loop_lag import LoopLagMonitor
from corkshift.messages import ClientRequest, Response
from corkshift.node import Node
from corkshift.pipelining import PipelineBudget, Reservation
from corkshift.plain import request_head
from corkshift.relay import BodyPipe
from corkshift.requests import Rejected, check_framing, origin_form, parse_request
from corkshift.seam import Socket, now_ms
from corkshift.stream import READ_BYTES, Stream
from forkweir.limits.lifecycle import Lifecycle

log = logging.getLogger(__name__)

# Pipelined requests of one connection that are handled at once.
MAX_PIPELINED_REQUESTS = 4
# A client that reads nothing of its response for this long is disconnected.
WRITE_TIMEOUT_S = 5.0
# A request whose head is not complete in this time gets status 408. For the first request of a
# connection the time runs from the accept. The same limit holds for each MIN_PROGRESS_BYTES of a
# body.
REQUEST_TIMEOUT_MS = 2_400.0
MIN_PROGRESS_BYTES = 16_384
# Limit of one read of a large body that is discarded, which has no share of the transfer budget.
DISCARD_READ_BYTES = 16_384

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# A connection is kept after these responses if the request was read completely.
KEEP_ALIVE_STATUSES = {200, 500, 502, 503, 504}
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(eq=False, slots=True)
class Exchange:
    """One request of a client connection and its response, once there is one.

    keep_alive: another request may follow on the connection. http_1_0: the client speaks HTTP/1.0.
    reservation: room for the response until its turn, None for the first one of the connection.
    """

    response: asyncio.Future[Response]
    keep_alive: bool = True
    http_1_0: bool = False
    reservation: Optional[Reservation] = None

    def on_response(self, response: asyncio.Future[Response]) -> None:
        """Return what was reserved beyond a buffered response."""
        if self.reservation is None:
            return
        if response.cancelled():
            self.reservation.release()
        elif response.result().body_rest is None:
            self.reservation.shrink(len(response.result().body))

    def release(self) -> None:
        """Return what is reserved: it is this response's turn, or nobody waits for it any more."""
        if self.reservation is not None:
            self.reservation.release()


class ConnectionOwner(Protocol):
    """The owner of all client connections, with what a connection shares with the others."""

    node: Node
    loop_lag: LoopLagMonitor
    lifecycle: Lifecycle
    body_budget: BodyBudget
    pipeline_budget: PipelineBudget
    # Tells the node's other processes of the id of a request that may not be repeated, and reads
    # theirs. Returns whether they can know it.
    claim_id: Callable[[bytes], bool]

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that a connection has become idle."""

    def mark_partial(self, connection: ClientConnection) -> None:
        """Record that a request has been read in part."""

    def mark_busy(self, connection: ClientConnection) -> None:
        """Record that a connection has an open request, which exempts it from eviction."""

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""


class ClientConnection:
    """One client connection: reads pipelined requests ahead and answers them in order."""

    def __init__(self, owner: ConnectionOwner, sock: Socket, queued_ms: float = 0.0) -> None:
        """queued_ms: upper bound of the time that the connection waited to be accepted."""
        self._owner = owner
        self._queued_ms = queued_ms
        # Start of the time limit that applies to the connection. It is set when the connection is
        # accepted and when it becomes idle, at the start of a later request that is read in part,
        # at the start of a body and at each MIN_PROGRESS_BYTES of a buffered one.
        self.since_ms = now_ms()
        self.partial = False  # a request has been read in part
        self.served = False  # a response has been written
        # The last response has been written; the node waits briefly for the client's FIN.
        self.lingering = False
        self._queue: asyncio.Queue[Optional[Exchange]] = asyncio.Queue(MAX_PIPELINED_REQUESTS)
        self._requests: dict[asyncio.Future[Response], ClientRequest] = {}
        self._pending = 0
        self._reserved: set[Exchange] = set()  # those with a reservation
        # A request has been read and waits for room for its answer, and what wakes it.
        self._waiting = False
        self._waiter: Optional[asyncio.Future[None]] = None
        # The exchange whose large request body is still being forwarded or discarded.
        self._large_exchange: Optional[Exchange] = None
        self._arrival: Optional[BodyArrival] = None  # of the large body that is being forwarded
        self._stream = Stream(sock)
        self._stream.read_limit = owner.node.read_limit(READ_BYTES)
        self._stream.times_input = True
        self._stream.on_input = self._on_input
        self._reader: Optional[asyncio.Task[None]] = None
        self._task = asyncio.create_task(self._serve())

    @property
    def idle(self) -> bool:
        """Whether no request is open or partly read, and no input waits."""
        return not (
            self._pending
            or self._waiting
            or self.partial
            or self._large_exchange
            or self._stream.has_buffered_input
        )

    @property
    def end_may_be_unread(self) -> bool:
        """See Client."""
        return self._stream.end_may_be_unread

    def close_if_no_input(self, cause: str) -> bool:
        """Close the connection if it has no open request and no input; return whether it did.

        A request that is partly read does not keep it open, and neither does any request once the
        connection lingers. Input includes what the kernel holds: a request counts as accepted once
        its client has written its last byte, so one whose remaining bytes are in the socket buffer
        must not be dropped. A lingering connection with unread input is left open too, as closing
        it would reset its last response; LINGER_TIMEOUT_S bounds how long it stays.
        """
        if (
            not self.lingering and (self._pending or self._waiting or self._large_exchange)
        ) or not self._stream.open_without_input:
            return False
        self._stream.close()
        self._task.cancel()
        self._owner.node.metrics.closed_connections[cause] += 1
        self._owner.remove(self)
        return True

    def expire(self) -> None:
        """Time out a partly read request, after reading what has already arrived."""
        self._stream.expire()

    def abort(self) -> None:
        """Reset the connection at once, with any request that is open."""
        self._stream.abort()
        self._task.cancel()

    def close_at_exit(self) -> None:
        """Close the connection at the end of the process; a response on its way is still sent."""
        if self.lingering:
            self._stream.close()
        self.abort()

    def _on_input(self) -> None:
        """Cancel the requests at once if the input has ended: the client has left.

        Stream calls this while it reads the socket, before tasks that are ready to run. A task that
        runs in the same turn of the event loop, as happens after a pause of the process, would
        otherwise still send an attempt to a cache server. Input that arrives needs nothing here:
        `_read_requests` reads it.
        """
        if self._stream.ended:
            self._cancel_requests()
            self._task.cancel()
        elif self._arrival is not None:
            self._arrival.record_read(now_ms(), self._stream.last_read_bytes, self._stream.keeps_up)

    def _cancel_requests(self) -> None:
        """Cancel all open requests: their client has left."""
        for request in list(self._requests.values()):
            self._owner.node.cancel_request(request)
        self._requests.clear()

    def check_departure(self) -> None:
        """See Client. A FIN is unread after a pause of the process or behind a full buffer."""
        stream = self._stream
        # An open connection without input whose reading is not paused has no unread FIN, so the
        # kernel is asked about the peer only in all other cases.
        if (
            self._requests
            and not (stream.reading and stream.open_without_input)
            and stream.peer_left
        ):
            self._on_departure()

    def _on_departure(self) -> None:
        """Cancel all requests and reset the connection: its client has left."""
        self._cancel_requests()
        self.abort()

    async def _serve(self) -> None:
        reader = self._reader = asyncio.create_task(self._read_requests())
        try:
            while (exchange := await self._queue.get()) is not None:
                if exchange.reservation is not None:  # the share of the connection is its own now
                    exchange.release()
                    self._reserved.discard(exchange)
                response = await exchange.response
                keep = await self._send(exchange, response)
                self._requests.pop(exchange.response, None)
                self._pending -= 1
                if not self._pending and self._waiter is not None and not self._waiter.done():
                    self._waiter.set_result(None)
                self.served = True
                if not keep:
                    break
                self._mark_idle()
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)
            self._stream.on_input = None
            # Only a fault leaves requests here; they must not go on while the connection lingers.
            self._cancel_requests()
            self.lingering = True
            # Counts as idle, so that it can be evicted.
            self._owner.mark_idle(self)
            await self._stream.close_gracefully()
        except (OSError, asyncio.CancelledError):
            pass
        except Exception:
            log.exception("client connection failed; closing it")
        finally:
            reader.cancel()
            self._reader = None  # a cancelled task refers to its frames, and they to this object
            self._cancel_requests()
            for exchange in self._reserved:
                exchange.release()
            self._stream.abort()
            self._owner.remove(self)

    def _mark_idle(self) -> None:
        if self.idle and self.served:
            self.since_ms = now_ms()
            self._owner.mark_idle(self)

    # -- requests ------------------------------------------------------------------------

    async def _read_requests(self) -> None:
        data: Optional[bytes] = b""
        status = 0
        try:
            while data is not None:
                data = await self._read_request(data)
        except (Rejected, h11.RemoteProtocolError, MalformedBody, TimeoutError) as error:
            status = _error_status(error)
            if isinstance(error, TimeoutError) and not self._owner.lifecycle.admits_requests:
                status = 503  # it had no time to come completely, and has not run
        except OSError:
            pass
        except Exception:
            log.exception("cannot read a client request; answering it with status 500")
            status = 500
        if status:
            response = self._owner.node.busy_response if status == 503 else Response(status)
            await self._enqueue(Exchange(_completed(response), keep_alive=False))
        await self._queue.put(None)

    async def _enqueue(self, exchange: Exchange) -> None:
        self._pending += 1
        self.partial = False
        self._stream.clear_expired()
        self._owner.mark_busy(self)
        await self._queue.put(exchange)

    async def _read_request(self, data: bytes) -> Optional[bytes]:
        """Read one request and submit it.

        Returns the bytes read of the next request, or None if no other request may follow.
        """
        # Empty lines ahead of a request are allowed (RFC 9112, 2.2).
        self._stream.read_limit = self._owner.node.read_limit(READ_BYTES)
        while not (data := data.lstrip(b"\r\n")):
            self._mark_idle()
            if not (data := await self._stream.read()):
                return None
        if (next_data := await self._read_simple(data)) is not None:
            return next_data
        self.partial = True
        if self.served or self._pending:
            self.since_ms = now_ms()
        self._owner.mark_partial(self)
        parser = RequestHeadParser()
        while (head := parser.receive(data)) is None:
            if not (data := await self._stream.read()):
                return None
        check_framing(head)
        decoder = decoder_of(head.length, head.chunked)
        if parser.surplus:
            decoder.receive(parser.surplus)
        del data, parser  # they would be held for the whole of a long body
        if not await self._read_body(decoder, head) or not head.keep_alive:
            return None
        return decoder.surplus

    async def _read_simple(self, data: bytes) -> Optional[bytes]:
        """Submit the request at the start of `data` if it is complete and its head simple.

        Returns the bytes behind it, b"" if there are none, or None if nothing was submitted and h11
        must parse the request: the head is not in the simple form of `plain`, the request is
        incomplete, or it is a health check. Nearly all requests take this path, which saves most of
        the cost of parsing.
        """
        head = request_head(data)
        if head is None or head.target == b"/up":
            return None
        end = head.end + (head.length or 0)
        if len(data) < end:
            return None
        request = parse_request(head.method, head.target, head.fields, self._owner.node.has_class)
        buffered = end - head.end
        if buffered:
            self._reserve_body(request, buffered)
            request.body.append(bytearray(data[head.end : end]))
        await self._enqueue(await self._submit(request, buffered))
        return data[end:]

    async def _submit(
        self,
        request: ClientRequest,
        buffered: int,
        keep_alive: bool = True,
        http_1_0: bool = False,
    ) -> Exchange:
        """Submit a request with `buffered` bytes of body once there is room for its answer.

        Raises as `_admit` does.
        """
        waited_ms = self._waited_ms()
        reservation = None
        if self._pending:
            read_ms = now_ms()
            try:
                reservation = await self._wait_for_room()
            except BaseException:
                self._owner.body_budget.release(buffered)
                raise
            waited_ms += now_ms() - read_ms
        try:
            response = self._admit(request, buffered, waited_ms)
        except BaseException:
            if reservation is not None:
                reservation.release()
            raise
        exchange = Exchange(response, keep_alive, http_1_0, reservation)
        if reservation is not None:
            self._reserved.add(exchange)
            response.add_done_callback(exchange.on_response)
        return exchange

    async def _wait_for_room(self) -> Optional[Reservation]:
        """Wait until a request behind another one may be submitted.

        Returns its reservation, None if it is the first one of the connection by now. Meanwhile the
        request counts as open, so that the connection isn't closed. The caller submits it at once.
        """
        budget = self._owner.pipeline_budget
        self.partial, self._waiting = False, True
        self._stream.clear_expired()
        self._owner.mark_busy(self)
        try:
            while self._pending:
                if (reservation := budget.reserve()) is not None:
                    return reservation
                self._waiter = budget.add_waiter()
                try:
                    await self._waiter
                finally:
                    budget.remove_waiter(self._waiter)
                    self._waiter = None
            return None
        finally:
            self._waiting = False

    def _reserve_body(self, request: Optional[ClientRequest], size: int) -> None:
        """Reserve `size` bytes of the body budget, or reject the request with status 503."""
        if not self._owner.body_budget.reserve(size):
            if request is not None:
                self._owner.node.count_unadmitted(request.class_name, "no-room")
            raise Rejected(503)

    async def _read_body(self, decoder: BodyDecoder, head: RequestHead) -> bool:
        """Read a request's body and submit the request; return whether all of it was read."""
        # None stands for a health check at `/up`, which the front end answers by itself. Its body
        # is read and dropped.
        request = None
        if origin_form(head.target) != b"/up":
            request = parse_request(
                head.method, head.target, head.fields, self._owner.node.has_class
            )
        if request is None and head.method != b"GET":
            raise Rejected(405)
        self.since_ms = now_ms()  # the body has a time limit of its own
        if head.expects_continue and not self._pending and not decoder.surplus:
            await self._stream.write(CONTINUE)
        keep_alive, http_1_0 = head.keep_alive, head.version == b"1.0"
        buffered, body_rest = await self._buffer_body(decoder, request)
        if request is None:
            self._owner.body_budget.release(buffered)
            health = (
                Response(200, b"ok\n")
                if self._owner.lifecycle.accepts_clients
                else Response(503, b"draining\n")
            )
            await self._enqueue(Exchange(_completed(health), keep_alive, http_1_0))
        elif body_rest is not None:
            request.body_rest = body_rest
            self._record_arrival(decoder, request, buffered + body_rest.queued_bytes)
            exchange = await self._submit(request, buffered, keep_alive, http_1_0)
            if exchange.response is not request.response:
                body_rest.close()  # the request was refused
            return await self._read_large_body(decoder, request, body_rest, exchange)
        else:
            await self._enqueue(await self._submit(request, buffered, keep_alive, http_1_0))
        return True

    async def _buffer_body(
        self, decoder: BodyDecoder, request: Optional[ClientRequest]
    ) -> tuple[int, Optional[BodyPipe]]:
        """Read a body to its end, or until it is too large to buffer.

        Returns the bytes buffered, which are reserved in the body budget, and in the second case a
        pipe with the first piece that is not buffered. Raises Rejected.
        """
        body_budget, buffered = self._owner.body_budget, 0
        can_stream = request is not None and request.method == b"PUT"
        limit = self._owner.node.buffer_limit if can_stream else MAX_BUFFERED_BODY_BYTES
        try:
            detector, progress_bytes = SmallPieceDetector(), 0
            while piece := await next_piece(decoder, self._stream.read):
                piece_bytes = len(piece)
                if detector.too_small(piece_bytes, decoder.chunks):
                    raise Rejected(400)
                if can_stream and (
                    buffered + piece_bytes > limit or not body_budget.reserve(piece_bytes)
                ):
                    body_rest = BodyPipe()
                    await body_rest.put(piece)  # it is empty, so this doesn't wait
                    return buffered, body_rest
                if not can_stream:
                    if buffered + piece_bytes > limit:
                        raise Rejected(413)
                    self._reserve_body(request, piece_bytes)
                buffered += piece_bytes
                if buffered - progress_bytes >= MIN_PROGRESS_BYTES:
                    progress_bytes, self.since_ms = buffered, now_ms()
                if request is not None:
                    _append_body(request.body, piece)
        except BaseException:
            body_budget.release(buffered)
            raise
        return buffered, None

    def _admit(
        self, request: ClientRequest, buffered: int, waited_ms: float
    ) -> asyncio.Future[Response]:
        """Submit a request with `buffered` bytes of body, or refuse it while the node is full.

        waited_ms: how long it has waited, in the kernel or for room. Returns the future of its
        response, which is complete already for a refusal. Raises Rejected for a recent id, and
        ConnectionAbortedError if the client has left.
        """
        node = self._owner.node
        try:
            refusal = self._refusal_cause(request)
        except BaseException:
            self._owner.body_budget.release(buffered)
            raise
        if refusal:
            self._owner.body_budget.release(buffered)
            node.count_unadmitted(request.class_name, refusal)
            return _completed(node.busy_response)
        if buffered:  # nearly all requests have no body, so nothing to release
            request.buffered_bytes = buffered
            request.release_body = self._release_body
            request.response.add_done_callback(lambda _: self._release_body(request))
        self._requests[request.response] = request
        request.client = self
        node.submit(request, waited_ms)
        return request.response

    def _refusal_cause(self, request: ClientRequest) -> str:
        """Return why a request is refused before it is submitted, "" if it is not.

        Raises as `_admit` does.
        """
        node = self._owner.node
        if not self._owner.lifecycle.admits_requests:
            return "closing"
        if node.is_recent_id(request.txn):
            raise Rejected(409)
        if node.full:
            return "full"
        # A client may have left while its connection waited in the backlog, as happens when the
        # node cannot accept for lack of descriptors: its FIN follows its request directly. The
        # check costs one socket read for each new connection and keeps the node from working for
        # clients that have left. If more bytes precede the FIN than were read, only the kernel
        # knows of it. So the kernel is asked if the end may be unread, or if a new connection has
        # ended or has more input.
        stream, new = self._stream, not (self.served or self._pending)
        if stream.closed:
            raise ConnectionAbortedError("the connection is closed")
        if (
            stream.end_may_be_unread or (new and not stream.open_without_input)
        ) and stream.peer_left:
            self._on_departure()
            raise ConnectionAbortedError("the client has left")
        if not node.may_repeat(request):
            # The node's other processes must know the id before the request is sent on.
            claimed = self._owner.claim_id(request.txn)
            if node.is_recent_id(request.txn):
                raise Rejected(409)
            if not claimed:
                return "unclaimed"
        return ""

    def _waited_ms(self) -> float:
        """Return an upper bound of the time that the request has waited since its last byte came.

        It waits in the kernel while the event loop lags or accepting is paused, and in the read
        buffer while the requests before it are in work. The client's time ran meanwhile, so the
        request must not get its full deadline. For the kernel there are two bounds: how long the
        node may have left input unread, and how long ago the last bytes of this connection arrived,
        if the system can tell. The smaller one counts.
        """
        # Only the first request of a connection can have waited for the accept.
        queued_ms, self._queued_ms = self._queued_ms, 0.0
        return max(now_ms() - self._stream.read_ms, self._unread_ms(queued_ms))

    def _unread_ms(self, queued_ms: float = 0.0) -> float:
        """Return for how long input that is read now may have been unread in the kernel."""
        bound_ms = max(queued_ms, self._owner.loop_lag.unread_ms())
        if not bound_ms:
            return 0.0
        since_last_receive_ms = self._stream.unread_ms
        return bound_ms if since_last_receive_ms is None else min(bound_ms, since_last_receive_ms)

    def _record_arrival(
        self, decoder: BodyDecoder, request: ClientRequest, received_bytes: int
    ) -> None:
        """Follow the arrival of a body too large to buffer from now on, for its deadline.

        received_bytes: of the body, decoded so far.
        """
        # What waited in the kernel may have filled its buffer, so that the rest came only now.
        waited_ms = max(self._queued_ms, self._owner.loop_lag.unread_ms())
        self._arrival = request.arrival = BodyArrival(
            now_ms() - waited_ms,
            request.length,
            received_bytes + len(decoder.surplus) + self._stream.buffered_bytes,
            self._unread_ms,
            self._stream.keeps_up,
        )

    async def _read_large_body(
        self,
        decoder: BodyDecoder,
        request: ClientRequest,
        body_rest: BodyPipe,
        exchange: Exchange,
    ) -> bool:
        """Forward the rest of a body too large to buffer; return whether all of it was read.

        Forwarding bounds the memory that bodies take. Once no server wants the rest, it is read and
        discarded: a close over unread input would reset the connection before the client has read
        an early response. The cost is the transfer of the whole body.
        """
        size, detector = decoder.decoded_bytes, SmallPieceDetector()
        progress_bytes = 0
        self._large_exchange = exchange
        await self._enqueue(exchange)
        loop = asyncio.get_running_loop()
        due = loop.time() + REQUEST_TIMEOUT_MS / 1000.0
        try:
            async with asyncio.timeout_at(due) as timeout:
                while piece := await next_piece(decoder, self._read_body_input):
                    if detector.too_small(len(piece), decoder.chunks):
                        raise Rejected(400)
                    size += len(piece)
                    if size > MAX_BODY_BYTES:
                        raise Rejected(413)
                    self._stream.read_limit = self._owner.node.transfer_read_limit(
                        READ_BYTES if request.open else DISCARD_READ_BYTES
                    )
                    if body_rest.queued_bytes:  # waits for the server, not for the client
                        timeout.reschedule(None)
                    await body_rest.put(piece)
                    del piece  # the pipe has it
                    if size - progress_bytes >= MIN_PROGRESS_BYTES:
                        progress_bytes, due = size, loop.time() + REQUEST_TIMEOUT_MS / 1000.0
                    if timeout.when() != due:
                        timeout.reschedule(due)
            body_rest.end()
            self._large_exchange = None
            self._mark_idle()
            return True
        except (Rejected, MalformedBody, IncompleteBody, TimeoutError) as error:
            body_rest.fail()
            self._owner.node.end(request, Response(_error_status(error)))
            return False
        finally:
            self._arrival = None
            self._stream.read_limit = self._owner.node.read_limit(READ_BYTES)

    def _release_body(self, request: ClientRequest) -> None:
        request.body.clear()
        buffered, request.buffered_bytes = request.buffered_bytes, 0
        self._owner.body_budget.release(buffered)

    async def _read_body_input(self) -> bytes:
        """Read more of a large body, all input of which has been decoded."""
        if self._arrival is not None and not self._stream.has_buffered_input:
            self._arrival.record_parsed_all()
        return await self._stream.read()

    # -- responses -----------------------------------------------------------------------

    async def _send(self, exchange: Exchange, response: Response) -> bool:
        """Write one response; return whether the connection is kept after it."""
        last = (
            not self._owner.lifecycle.keeps_connections
            and self._pending == 1
            and not (self.partial or self._waiting)
            and not self._stream.has_buffered_input
        )
        # Whether another request can be read behind this one: it is complete, or its large body is
        # still read to its end, forwarded or discarded.
        can_read_on = exchange.keep_alive or exchange is self._large_exchange
        keep = can_read_on and response.status in KEEP_ALIVE_STATUSES and not last
        if not keep and self._reader is not None:
            # Reading stops before the write, which may take a while. A request that arrives from
            # now on stays unread, so its client can send it elsewhere; otherwise it could be
            # accepted, forwarded and then dropped with the connection.
            self._reader.cancel()
        if response.body_rest is not None:
            return await self._send_large(exchange, response, response.body_rest, keep)
        head, body = _response_head(response, keep), response.body
        try:
            sent = self._stream.write_now(head + body)
            # What is left is written without the copy, which a slow client would keep for long.
            if sent < len(head):
                await self._write(head[sent:])
                sent = len(head)
            if sent < len(head) + len(body):
                await self._write(memoryview(body)[sent - len(head) :])
        except BaseException:
            # A response that is cut off must not look complete.
            self._stream.abort()
            raise
        return keep

    async def _write(self, data: bytes | bytearray | memoryview) -> None:
        """Write bytes to the client; raise TimeoutError after WRITE_TIMEOUT_S."""
        await self._stream.write_within(WRITE_TIMEOUT_S, data)

    async def _send_large(
        self, exchange: Exchange, response: Response, body_rest: BodyPipe, keep: bool
    ) -> bool:
        """Stream a response too large to buffer; return whether the connection is kept after it."""
        # HTTP/1.0 has no chunked coding: there a body of unknown length ends with its connection.
        chunked = response.length is None and not exchange.http_1_0
        keep = keep and (chunked or response.length is not None)
        head = _response_head(response, keep, chunked)
        # A write may wait for the client, who must see at once that the rest won't come.
        body_rest.on_fail = self._stream.abort
        try:
            if not body_rest.queued_bytes:  # the server rests behind the head
                await self._write(head)
                head = b""
            while (piece := await body_rest.get()) is not None:
                data = b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece
                if head:
                    data, head = head + data, b""
                del piece  # one copy of it is enough while the client takes it
                await self._write(data)
                del data
            if chunked:
                await self._write(b"0\r\n\r\n")
        except BaseException:
            # This includes BodyAborted: the client must be able to see that the body is incomplete.
            self._stream.abort()
            raise
        finally:
            body_rest.close()
        return keep


def _response_head(response: Response, keep: bool, chunked: bool = False) -> bytes:
    """Return the head of a response.

    The node produces all of it, so it is not checked by h11, which would cost as much as parsing
    a request.
    """
    retry = b"Retry-After: %g\r\n" % response.retry_after_s if response.retry_after_s else b""
    close = b"" if keep else b"Connection: close\r\n"
    if response.body_rest is None:
        length = b"Content-Length: %d\r\n" % len(response.body)
    elif response.length is not None:
        length = b"Content-Length: %d\r\n" % response.length
    else:
        length = b"Transfer-Encoding: chunked\r\n" if chunked else b""
    return b"HTTP/1.1 %d %s\r\n%s%s%s\r\n" % (
        response.status,
        REASON_PHRASES[response.status],
        length,
        retry,
        close,
    )


def _error_status(error: Exception) -> int:
    """Return the status for a request that could not be read."""
    if isinstance(error, Rejected):
        return error.status
    if isinstance(error, (MalformedBody, IncompleteBody)):
        return HTTPStatus.BAD_REQUEST
    return error.error_status_hint if isinstance(error, h11.RemoteProtocolError) else 408


def _completed(response: Response) -> asyncio.Future[Response]:
    future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
    future.set_result(response)
    return future


def _append_body(body: list[bytearray], data: bytes) -> None:
    """Append to a body, merging small pieces so that each does not cost an object."""
    if body and len(body[-1]) + len(data) <= READ_BYTES:
        body[-1] += data
    else:
        body.append(bytearray(data))
