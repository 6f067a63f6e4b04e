"""The client side: the accept loop, client connections, and the drain at a planned restart."""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus
from math import ceil
from typing import Optional

import h11

from corkshift.budget import BULK, LONGEST, BodyBudget, PieceCount
from corkshift.listener import Listener
from corkshift.loop_lag import LoopLagMonitor
from corkshift.messages import Answer, Call
from corkshift.node import Node
from corkshift.plain import WHOLE, Whole, request_head
from corkshift.relay import Relay
from corkshift.seam import Address, Socket, now_ms
from corkshift.stream import CHUNK, Stream
from forkweir.limits.duty import LONGEST_MS, Duty, Leave

log = logging.getLogger(__name__)

MAX_HEAD = 16_384  # bytes of a request's head, of a chunk's header or of trailers
PIPELINE = 4  # requests written ahead on one connection that are worked on at once
WRITE_STALL_S = 5.0  # a client that takes nothing of its answer for this long is given up
SILENT_MS = 2_000.0  # a new connection that has sent nothing for this long is closed,
PART_MS = 2_400.0  # one whose head is not whole by then is answered 408 (the first one's time runs from connecting),
PROGRESS = 16_384  # or whose body does not bring so many bytes in this time,
IDLE_MS = 10_000.0  # and one on which nothing more is asked for this long is closed
REST_SHARE = (
    1 / 3
)  # of the places for clients may be held by connections on which nothing more is asked
SWEEP_S = 0.2  # between two looks at who has had its time
SHY_MS = (
    100.0  # where room is short, a new connection that has sent nothing for this long makes way
)
SAY_S = 0.02  # what the last connections to be taken have to say shows by then

ID_FORM = re.compile(rb"[!-~]{1,128}")
SINGLE = {
    b"x-txn",
    b"x-lane",
    b"x-org",
    b"x-remaining-ms",
    b"x-estimate",
    b"x-resent",
    b"idempotency-key",
    b"host",
}
KEPT = {200, 500, 502, 503, 504}  # answers to whole requests after which the connection goes on
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
OTHER_METHODS = {b"HEAD", b"POST", b"DELETE", b"OPTIONS", b"PATCH", b"TRACE", b"CONNECT"}


Parser = h11.Connection | Whole


class Rejected(Exception):
    """A request that is answered here, and whose connection ends after that."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class ClientConnection:
    """One client: requests are read ahead and answered in their order."""

    def __init__(self, frontend: Frontend, sock: Socket, queued_ms: float = 0.0) -> None:
        """queued_ms: the longest that the connection can have waited to be accepted."""
        self._frontend = frontend
        self._queued_ms = queued_ms
        self.since_ms = (
            now_ms()
        )  # of its rest, or of the start of the request that is not whole yet
        self.partial = False  # a part of a request has come
        self.served = False  # an answer has been given
        self.over = False  # the last answer has been given; the client's end is awaited, briefly
        self._queue: asyncio.Queue[Optional[tuple[Parser, asyncio.Future[Answer]]]] = asyncio.Queue(
            PIPELINE
        )
        self._calls: dict[asyncio.Future[Answer], Call] = {}
        self._pending = 0
        self._reads = 0  # of bodies
        self._pumping: Optional[h11.Connection] = (
            None  # a request whose body is still being handed on, or read past
        )
        self._stream = Stream(sock)
        self._stream.notice = self._noticed
        self._reader: Optional[asyncio.Task[None]] = None
        self._task = asyncio.create_task(self._serve())

    @property
    def resting(self) -> bool:
        """Whether nothing is asked, begun or owed here."""
        return not (self._pending or self.partial or self._pumping or self._stream.has_input)

    @property
    def deaf(self) -> bool:
        """Whether an end would not be heard: the buffer is full."""
        return not self._stream.reading

    def close_if_unread(self, cause: str) -> bool:
        """Close between requests, or in the middle of one, unless more has come meanwhile: the kernel is asked too.

        Guards against a request that is closed on with its rest in the socket's buffer: once its last byte is written it is taken.
        And against a last answer that is reset on its way, as a close over unread input does; its lingering is short.
        """
        if (not self.over and (self._pending or self._pumping)) or not self._stream.quiet:
            return False
        self._stream.close()
        self._task.cancel()
        self._frontend.node.figures.closed[cause] += 1
        self._frontend.gone(self)
        return True

    def expire(self) -> None:
        """Give up a request that is not whole by now; what has come of it and was not read yet is read first."""
        self._stream.expire()

    def abort(self) -> None:
        """End now, whatever is under way."""
        self._stream.abort()
        self._task.cancel()

    def _noticed(self) -> None:
        # A client that ends its side has gone away; so have its requests, before anything else of them goes out (guards against
        # an attempt that was begun in the same turn of the loop in which the end came, as after any time the node stood still).
        if self._stream.ended:
            self._depart()
            self._task.cancel()

    def _depart(self) -> None:
        """Nobody waits for what is open here."""
        for call in list(self._calls.values()):
            self._frontend.node.depart(call)
        self._calls.clear()

    def look(self) -> None:
        """Find out whether the client has left, where word of that has not been read: the node stood still, or its buffer is full."""
        stream = self._stream
        if self._calls and not (stream.reading and stream.quiet) and stream.abandoned:
            self._depart()
            self.abort()

    async def _serve(self) -> None:
        reader = self._reader = asyncio.create_task(self._read_requests())
        try:
            while (item := await self._queue.get()) is not None:
                parser, future = item
                answer = await future
                keep = await self._send(parser, answer)
                self._calls.pop(future, None)
                self._pending -= 1
                self.served = True
                if not keep:
                    break
                self._rest()
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)
            self._stream.notice = None
            self._depart()  # none is left but by a fault, and what is left must not be worked on while the connection lingers
            self.over = True
            self._frontend.rests(self)
            await self._stream.finish()
        except (OSError, asyncio.CancelledError):
            pass
        except Exception:
            log.exception("a client connection failed")
        finally:
            reader.cancel()
            self._depart()
            self._stream.abort()
            self._frontend.gone(self)

    def _rest(self) -> None:
        if self.resting and self.served:
            self.since_ms = now_ms()
            self._frontend.rests(self)

    # -- requests ------------------------------------------------------------------------

    async def _read_requests(self) -> None:
        ahead: Optional[bytes] = b""
        status = 0
        try:
            while ahead is not None:
                ahead = await self._read_request(ahead)
        except (Rejected, h11.RemoteProtocolError, TimeoutError) as error:
            status = _status_of(error)
        except OSError:
            pass
        except Exception:
            log.exception("a request could not be read")
            status = 500
        if status:
            answer = self._frontend.node.busy if status == 503 else Answer(status)
            await self._enqueue(
                h11.Connection(h11.SERVER), _done(answer)
            )  # not whole, so that the connection ends
        await self._queue.put(None)

    async def _enqueue(self, parser: Parser, future: asyncio.Future[Answer]) -> None:
        self._pending += 1
        self.partial = False
        self._stream.spare()
        self._frontend.works(self)
        await self._queue.put((parser, future))

    async def _read_request(self, ahead: bytes) -> Optional[bytes]:
        """Read one request and hand it on; what has come of the next one, or None where none may follow."""
        while not (ahead := ahead.lstrip(b"\r\n")):  # empty lines before a request are allowed
            self._rest()
            if not (ahead := await self._stream.read()):
                return None
        if (rest := await self._read_plain(ahead)) is not None:
            return rest
        self.partial = True
        if self.served or self._pending:
            self.since_ms = now_ms()
        self._frontend.stirs(self)
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        parser.receive_data(ahead)
        while (event := parser.next_event()) is h11.NEED_DATA:
            if not (ahead := await self._stream.read()):
                return None
            parser.receive_data(ahead)
        assert isinstance(event, h11.Request)
        _check_framing(event)
        if not await self._read_body(parser, event) or parser.their_state is h11.MUST_CLOSE:
            return None
        return parser.trailing_data[0]

    async def _read_plain(self, data: bytes) -> Optional[bytes]:
        """Hand on the request that stands whole and in plain form at the start of these bytes; what follows it.

        None where none does: h11 reads it then. It spares nearly all requests the larger part of their cost.
        """
        head = request_head(data)
        if head is None or head.target == b"/up":
            return None
        end = head.end + (head.length or 0)
        if len(data) < end:
            return None
        call = _call_of(head.method, head.target, head.fields, self._frontend.node.knows)
        held = end - head.end
        if held:
            self._take_room(call, held)
            call.body.append(bytearray(data[head.end : end]))
        await self._enqueue(WHOLE, self._admit(call, held))
        return data[end:]

    def _take_room(self, call: Optional[Call], size: int) -> None:
        """Take room for so many bytes of a body, or turn its request away."""
        if not self._frontend.budget.take(size):
            if call is not None:
                self._frontend.node.turned_away(call.lane, "no-room")
            raise Rejected(503)

    async def _read_body(self, parser: h11.Connection, request: h11.Request) -> bool:
        call = None
        if _origin_form(request.target) != b"/up":
            call = _call_of(
                request.method, request.target, dict(request.headers), self._frontend.node.knows
            )
        if call is None and request.method != b"GET":
            raise Rejected(405)
        self.since_ms = now_ms()  # the body has a time of its own
        budget, held = self._frontend.budget, 0
        try:
            pieces, marked, rest = PieceCount(), 0, b""
            while not isinstance(event := await self._event(parser), h11.EndOfMessage):
                if not isinstance(event, h11.Data) or pieces.too_small(
                    len(event.data), self._reads
                ):
                    raise Rejected(400)
                more = len(event.data)
                if held + more > LONGEST:
                    if call is None or call.method != b"PUT":
                        raise Rejected(413)
                    rest = bytes(event.data)
                    break
                self._take_room(call, more)
                held += more
                if held - marked >= PROGRESS:
                    marked, self.since_ms = held, now_ms()
                if call is not None:
                    _append(call.body, event.data)
        except BaseException:
            budget.give(held)
            raise
        if call is None:
            budget.give(held)
            await self._enqueue(
                parser,
                _done(
                    Answer(200, b"ok\n")
                    if self._frontend.duty.welcome
                    else Answer(503, b"draining\n")
                ),
            )
        elif rest:
            return await self._pump(parser, call, held, rest)
        else:
            await self._enqueue(parser, self._admit(call, held))
        return True

    def _admit(self, call: Call, held: int) -> asyncio.Future[Answer]:
        """Hand a request on, of whose body so many bytes are held; what answers it."""
        budget = self._frontend.budget
        if self._frontend.node.used(call.txn):
            budget.give(held)
            raise Rejected(409)
        if self._frontend.node.full:
            budget.give(held)
            self._frontend.node.turned_away(call.lane, "full")
            return _done(self._frontend.node.busy)
        # A connection that waited in the backlog may have been given up by now, its end right behind its request (guards
        # against work for clients who have left, when accepting had stopped for want of descriptors). It costs one look at the
        # socket for each new connection. Harm: none, a client that ends its side has gone away.
        # Where more bytes stand before that end than were read, the kernel alone knows of it.
        stream, new = self._stream, not (self.served or self._pending)
        if (stream.crowded or (new and not stream.quiet)) and stream.abandoned:
            budget.give(held)
            raise ConnectionAbortedError("the client has left")
        if held:  # nearly all requests have no body, and nothing to give back
            call.answer.add_done_callback(lambda _: self._let_go(call, held))
        self._calls[call.answer] = call
        call.look = self.look
        self._frontend.node.submit(call, self._waited_ms())
        return call.answer

    def _waited_ms(self) -> float:
        """How long a request stood in the kernel before it was read, because the loop was held up or accepting had stopped.

        Guards against a whole deadline given to a request of which a part is over: its client's time runs. Harm: none; both figures are
        bounds from above, and the smaller one counts.
        """
        queued_ms, self._queued_ms = (
            self._queued_ms,
            0.0,
        )  # only the first request of a connection can have waited to be accepted
        bound_ms = max(queued_ms, self._frontend.presence.unread_ms())
        if not bound_ms:
            return 0.0
        unread_ms = self._stream.unread_ms
        return bound_ms if unread_ms is None else min(bound_ms, unread_ms)

    async def _pump(self, parser: h11.Connection, call: Call, held: int, piece: bytes) -> bool:
        """Hand on a request too large to hold by its beginning, and then the rest as it comes; what nobody wants is read past.

        Guards against memory filled by bodies, and against a client that is answered early and never gets to read it, as its
        connection is reset under what it still sends. Harm: reading past a large body costs its transfer.
        """
        feed = call.feed = Relay()
        answer = self._admit(call, held)
        if answer is not call.answer:
            feed.close()  # it was not let in
        self._pumping = parser
        await self._enqueue(parser, answer)
        size, pieces, marked = held + len(piece), PieceCount(), 0
        loop = asyncio.get_running_loop()
        due = loop.time() + PART_MS / 1000.0
        try:
            await feed.put(piece)
            async with asyncio.timeout_at(due) as limit:
                while not isinstance(event := await self._event(parser), h11.EndOfMessage):
                    if not isinstance(event, h11.Data) or pieces.too_small(
                        len(event.data), self._reads
                    ):
                        raise Rejected(400)
                    size += len(event.data)
                    if size > BULK:
                        raise Rejected(413)
                    limit.reschedule(None)
                    await feed.put(bytes(event.data))
                    if size - marked >= PROGRESS:
                        marked, due = size, loop.time() + PART_MS / 1000.0
                    limit.reschedule(due)
            feed.end()
            self._pumping = None
            self._rest()
            return True
        except (Rejected, h11.RemoteProtocolError, TimeoutError) as error:
            feed.fail()
            self._frontend.node.end(call, Answer(_status_of(error)))
            return False

    def _let_go(self, call: Call, held: int) -> None:
        call.body.clear()
        self._frontend.budget.give(held)

    async def _event(self, parser: h11.Connection) -> object:
        if parser.they_are_waiting_for_100_continue and not self._pending:
            await self._stream.write(
                parser.send(
                    h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
                )
            )
        while (event := parser.next_event()) is h11.NEED_DATA:
            parser.receive_data(await self._stream.read())
            self._reads += 1
        return event

    # -- answers -------------------------------------------------------------------------

    async def _send(self, parser: Parser, answer: Answer) -> bool:
        """Write one answer; whether the connection goes on after it."""
        last = (
            not self._frontend.duty.lasting
            and self._pending == 1
            and not self.partial
            and not self._stream.has_input
        )
        whole = parser.their_state is h11.DONE or parser is self._pumping
        keep = whole and answer.status in KEPT and not last
        if not keep and self._reader is not None:
            # Settled before a write that may take a while: what comes now is left unread, and its client sends it elsewhere
            # (guards against a request that is taken, sent on and then dropped with the connection).
            self._reader.cancel()
        if answer.rest is not None:
            return await self._send_bulk(parser, answer, answer.rest, keep)
        data = _head_of(answer, keep) + answer.body
        try:
            sent = self._stream.push(data)
            if sent < len(data):
                await self._write(data[sent:])
        except BaseException:
            # An answer that stops short must not look whole.
            self._stream.abort()
            raise
        return keep

    async def _write(self, data: bytes) -> None:
        """Give the client bytes; TimeoutError where it takes too long over them."""
        async with asyncio.timeout(WRITE_STALL_S):
            await self._stream.write(data)

    async def _send_bulk(self, parser: Parser, answer: Answer, rest: Relay, keep: bool) -> bool:
        """Write an answer too large to hold as it comes; whether the connection goes on after it."""
        # A client of HTTP/1.0 knows no chunks: where the length is not known the connection's end tells it.
        chunked = answer.length is None and parser.their_http_version != b"1.0"
        keep = keep and (chunked or answer.length is not None)
        piece: Optional[bytes] = answer.body
        head = _head_of(answer, keep, chunked)
        try:
            while piece is not None:
                data = b"%x\r\n%b\r\n" % (len(piece), piece) if chunked and piece else piece
                await self._write(head + data)
                head = b""
                piece = await rest.get()
            if chunked:
                await self._write(b"0\r\n\r\n")
        except BaseException:
            # Broken among them: the client must be able to tell.
            self._stream.abort()
            raise
        finally:
            rest.close()
        return keep


class Frontend:
    """All client connections, within one budget of sockets."""

    def __init__(
        self, node: Node, listener: Socket, limit: int, body_bytes: int, shared: bool = False, leave: Optional[Leave] = None,
        presence: Optional[LoopLagMonitor] = None,
    ) -> None:  # fmt: skip
        self.node = node
        self.presence = presence or LoopLagMonitor()
        self._leave = leave or Leave(LONGEST_MS)
        self.budget = BodyBudget(body_bytes)
        self.duty = Duty()
        self.started = False
        self._shared = shared
        self._limit = limit
        self._connections: dict[ClientConnection, None] = {}  # oldest first
        # Connections on which no request is open, longest wait first: nothing asked yet, a part of a request, nothing more asked.
        self._silent: dict[ClientConnection, None] = {}
        self._partial: dict[ClientConnection, None] = {}
        self._resting: dict[ClientConnection, None] = {}
        self._empty = asyncio.Event()
        self._listener = Listener(listener, self._has_room, self._take)

    @property
    def address(self) -> Address:
        """Where the node listens."""
        return self._listener.address

    def start(self) -> None:
        """Listen."""
        self._listener.start()
        self.started = True
        self._sweep()

    async def drain(self) -> None:
        """Take what still comes for a while, finish what is held, and end."""
        begun, leave = asyncio.get_running_loop().time(), self._leave
        self.duty.end(now_ms())
        if not self.started:
            self._listener.close()  # nobody has been let in yet
            return
        if self._shared:
            # What waits in the queue is the next process's to take.
            self._listener.close()
        await asyncio.sleep(leave.take / 1000.0)
        if not self._shared:
            # What the kernel has accepted may hold requests that count as taken: all of it is taken in, as room comes.
            with suppress(TimeoutError):
                async with asyncio.timeout_at(begun + leave.answer / 1000.0):
                    await self._listener.emptied()
            self._listener.close()
        await asyncio.sleep(SAY_S)
        # A part of a request may become a whole one: it has its time, as ever, and is answered 408 after that.
        for connection in list(self._connections):
            if not connection.partial:
                connection.close_if_unread("ending")
        await self._left(begun + leave.answer / 1000.0)
        self.node.give_up()
        await self._left(begun + leave.exit / 1000.0)
        for connection in list(self._connections):
            connection.abort()

    async def _left(self, end: float) -> None:
        """Until no connection is there, or until then."""
        with suppress(TimeoutError):
            async with asyncio.timeout_at(end):
                while self._connections:
                    self._empty.clear()
                    await self._empty.wait()

    # -- bookkeeping ---------------------------------------------------------------------

    def rests(self, connection: ClientConnection) -> None:
        """A connection has nothing to do now."""
        self.works(connection)
        self._resting[connection] = None

    def stirs(self, connection: ClientConnection) -> None:
        """A request has begun on a connection."""
        self.works(connection)
        self._partial[connection] = None

    def works(self, connection: ClientConnection) -> None:
        """A connection owes an answer, and is in nobody's way."""
        for waiting in (self._silent, self._partial, self._resting):
            waiting.pop(connection, None)

    def gone(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        self.works(connection)
        self._connections.pop(connection, None)
        if not self._connections:
            self._empty.set()
        self._listener.resume()

    # -- accepting -----------------------------------------------------------------------

    def _has_room(self) -> bool:
        return len(self._connections) < self._limit or self._make_room()

    def _take(self, sock: Socket) -> None:
        connection = ClientConnection(self, sock, self._listener.queued_ms)
        self._connections[connection] = self._silent[connection] = None

    def _make_room(self) -> bool:
        """Close the connection that matters least, if any may be closed: what rests, or has had a while to say something."""
        shy = now_ms() - SHY_MS
        for waiting in (self._resting, self._silent, self._partial):
            for connection in list(waiting):
                if waiting is not self._resting and connection.since_ms > shy:
                    break
                if connection.close_if_unread("room"):
                    return True
        return False

    def _sweep(self) -> None:
        """End what has had its time (guards against clients that say nothing, never come to an end, or stay for good).

        It should catch any connection that holds a descriptor with no request open. Harm: a client behind a link so slow that
        its request takes longer than this is answered 408.
        """
        now = now_ms()
        for waiting, limit, cause in (
            (self._silent, SILENT_MS, "silent"),
            (self._resting, IDLE_MS, "idle"),
        ):
            for connection in list(waiting):
                if now - connection.since_ms <= limit:
                    break
                connection.close_if_unread(cause)
        self._thin(now)
        for connection in [c for c in self._connections if c.deaf]:
            connection.look()
        for connection in list(self._partial):
            if now - connection.since_ms > PART_MS:
                del self._partial[connection]
                connection.expire()
        asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)

    def _thin(self, now: float) -> None:
        """Close what rests beyond its share of the places, longest rest first.

        Guards against connections that asked once and are kept for good: they hold places, here and at the clients, that those
        who ask need, long before any has rested its time. It should also keep sockets few after a burst. Harm: a client with
        more connections than it uses dials again; what has rested only a moment is spared.
        """
        kept = [connection for connection in self._resting if not connection.over]
        for connection in kept[: max(0, len(kept) - int(self._limit * REST_SHARE))]:
            if now - connection.since_ms <= SHY_MS:
                break
            connection.close_if_unread("share")
        if part := self.duty.due(now, SWEEP_S * 1000.0):
            for connection in kept[: ceil(part * len(kept))]:
                connection.close_if_unread("draining")
        if self.duty.shed(now):
            for connection in [c for c in self._silent if now - c.since_ms > SHY_MS]:
                connection.close_if_unread("draining")


def _head_of(answer: Answer, keep: bool, chunked: bool = False) -> bytes:
    """An answer's head. All of it is our own words, so it needs no check (one by the parser costs as much as reading a request)."""
    retry = b"Retry-After: %g\r\n" % answer.retry_after_s if answer.retry_after_s else b""
    close = b"" if keep else b"Connection: close\r\n"
    if answer.rest is None:
        length = b"Content-Length: %d\r\n" % len(answer.body)
    elif answer.length is not None:
        length = b"Content-Length: %d\r\n" % answer.length
    else:
        length = b"Transfer-Encoding: chunked\r\n" if chunked else b""
    return b"HTTP/1.1 %d %s\r\n%s%s%s\r\n" % (
        answer.status,
        REASONS[answer.status],
        length,
        retry,
        close,
    )


def _status_of(error: Exception) -> int:
    """What a request is answered that could not be read."""
    if isinstance(error, Rejected):
        return error.status
    return error.error_status_hint if isinstance(error, h11.RemoteProtocolError) else 408


def _done(answer: Answer) -> asyncio.Future[Answer]:
    future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
    future.set_result(answer)
    return future


def _append(body: list[bytearray], data: bytes) -> None:
    """Add to a body in parts of a fair size (guards against one object for each tiny piece)."""
    if body and len(body[-1]) + len(data) <= CHUNK:
        body[-1] += data
    else:
        body.append(bytearray(data))


def _number(value: bytes) -> float:
    """A header's number: digits, with a fraction perhaps."""
    whole, _, part = value.partition(b".")
    if not (whole.isdigit() and (part.isdigit() or not part) and len(value) <= 18):
        raise Rejected(400)
    return float(value)


def _check_framing(request: h11.Request) -> None:
    """Turn away a head whose meaning is open.

    Guards against a request hidden in the body of another, which the next reader takes for one of its own, and against a
    header given twice of which two readers believe different ones. Harm: a client that repeats a header by mistake is told so.
    """
    headers = dict(request.headers)
    if b"transfer-encoding" in headers and (
        b"content-length" in headers or request.http_version != b"1.1"
    ):
        raise Rejected(400)
    if len(headers) < len(request.headers):
        names = [name for name, _ in request.headers]
        if any(names.count(name) > 1 for name in SINGLE):
            raise Rejected(400)
    if int(headers.get(b"content-length", b"0")) > (BULK if request.method == b"PUT" else LONGEST):
        raise Rejected(413)


def _origin_form(target: bytes) -> bytes:
    """A request's target as servers take it: of the absolute form (RFC 9112, 3.2.2) what follows the authority."""
    if target[:7].lower() != b"http://":
        return target
    _, slash, path = target[7:].partition(b"/")
    return slash + path if slash else b"/"


def _call_of(
    method: bytes, target: bytes, headers: dict[bytes, bytes], knows: Callable[[str], bool]
) -> Call:
    """The request that a head describes, of a class that the node knows."""
    if method not in (b"GET", b"PUT"):
        raise Rejected(405 if method in OTHER_METHODS else 501)
    txn, lane = headers.get(b"x-txn", b""), headers.get(b"x-lane", b"").decode("latin-1")
    target = _origin_form(target)
    if not target.startswith(b"/"):
        raise Rejected(404)
    if not ID_FORM.fullmatch(txn) or not knows(lane):
        raise Rejected(400)
    budget = headers.get(b"x-remaining-ms")
    return Call(
        method=method,
        target=target,
        txn=txn,
        idempotency_key=headers.get(b"idempotency-key"),
        lane=lane,
        org=headers.get(b"x-org", b"").decode("latin-1"),
        key=target.partition(b"?")[0].rpartition(b"/")[2].decode("latin-1") or None,
        budget_ms=None if budget is None else _number(budget),
        work_ms=_number(headers.get(b"x-estimate", b"0")) / 1000.0,
        repeated=headers.get(b"x-resent") == b"1",
        length=int(headers[b"content-length"]) if b"content-length" in headers else None,
    )
