"""The client side: the accept loop, client connections, and the drain at a planned restart."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Optional

import h11

from corkshift.budget import LONGEST, BodyBudget
from corkshift.clock import now_ms
from corkshift.config import Address
from corkshift.messages import Answer, Call
from corkshift.node import Node
from corkshift.stream import CHUNK, Stream, bound_buffers

log = logging.getLogger(__name__)

MAX_HEAD = 65_536  # bytes of a request's head, of a chunk's header or of trailers
PIPELINE = 16  # requests written ahead on one connection that are worked on at once
HEAD_S = 5.0  # for a request's head, from its first byte
BODY_STALL_S = 10.0  # a body of which nothing comes, or for which there is no room, for this long is given up
WRITE_STALL_S = 20.0  # a client that takes nothing of its answer for this long is given up
IDLE_MS = 120_000.0  # a connection on which nothing is asked for this long is closed
SILENT_MS = 250.0  # where room is short, a new connection that sent nothing for this long makes way,
SLOW_MS = 2_500.0  # and one that has sent a part of a request for this long
BACKLOG = 4096
ACCEPTS = 64  # in one turn of the loop
RETRY_S = 0.05  # until accepting is tried again where room is short
DRAIN_S = 0.65  # after SIGTERM connections and requests are taken for this long
EXIT_S = 3.55  # and by then the process has ended

OTHER_METHODS = {b"HEAD", b"POST", b"DELETE", b"OPTIONS", b"PATCH", b"TRACE", b"CONNECT"}


class Rejected(Exception):
    """A request that is answered here, and whose connection ends after that."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class ClientConnection:
    """One client: requests are read ahead and answered in their order."""

    def __init__(self, frontend: Frontend, sock: socket.socket) -> None:
        self._frontend = frontend
        self.since_ms = now_ms()  # of its rest, or of its first request's start
        self.partial = False  # a part of a request has come
        self.served = False  # an answer has been given
        self._queue: asyncio.Queue[Optional[tuple[h11.Connection, asyncio.Future[Answer]]]] = asyncio.Queue(PIPELINE)
        self._calls: dict[asyncio.Future[Answer], Call] = {}
        self._pending = 0
        self._stream = Stream(sock)
        self._stream.notice = self._noticed
        self._task = asyncio.create_task(self._serve())

    @property
    def resting(self) -> bool:
        """Whether nothing is asked, begun or owed here."""
        return not (self._pending or self.partial or self._stream.has_input)

    def close_if_unread(self) -> bool:
        """Close between requests, unless one has come meanwhile."""
        if self._pending or not (self.partial or self._stream.quiet):
            return False
        self._stream.close()
        self._task.cancel()
        self._frontend.gone(self)
        return True

    def abort(self) -> None:
        """End now, whatever is under way."""
        self._stream.abort()
        self._task.cancel()

    def _noticed(self) -> None:
        # A client that ends its side has gone away; so have its requests.
        if self._stream.ended:
            self._task.cancel()

    async def _serve(self) -> None:
        reader = asyncio.create_task(self._read_requests())
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
            await self._stream.finish()
        except (OSError, asyncio.CancelledError):
            pass
        except Exception:
            log.exception("a client connection failed")
        finally:
            reader.cancel()
            for call in self._calls.values():
                self._frontend.node.depart(call)
            self._stream.abort()
            self._frontend.gone(self)

    def _rest(self) -> None:
        if self.resting:
            self.since_ms = now_ms()
            self._frontend.rests(self)

    # -- requests ------------------------------------------------------------------------

    async def _read_requests(self) -> None:
        ahead = b""
        status = 0
        try:
            while True:
                parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
                future = await self._read_request(parser, ahead)
                if future is None:
                    break
                await self._enqueue(parser, future)
                if parser.their_state is h11.MUST_CLOSE:
                    break
                ahead = parser.trailing_data[0]
        except Rejected as rejected:
            status = rejected.status
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
        except TimeoutError:
            status = 408
        except OSError:
            pass
        except Exception:
            log.exception("a request could not be read")
            status = 500
        if status:
            await self._enqueue(parser, _done(Answer(status)))
        await self._queue.put(None)

    async def _enqueue(self, parser: h11.Connection, future: asyncio.Future[Answer]) -> None:
        self._pending += 1
        self.partial = False
        await self._queue.put((parser, future))

    async def _read_request(self, parser: h11.Connection, ahead: bytes) -> Optional[asyncio.Future[Answer]]:
        """Read one request and hand it on; None at the client's end."""
        async with asyncio.timeout(None) as limit:
            while True:
                # Empty lines before a request are allowed.
                ahead = ahead.lstrip(b"\r\n") if not self.partial else ahead
                if ahead:
                    if not self.partial:
                        self.partial = True
                        self.since_ms = now_ms()
                        self._frontend.stirs(self)
                        limit.reschedule(asyncio.get_running_loop().time() + HEAD_S)
                    parser.receive_data(ahead)
                event = parser.next_event() if self.partial else h11.NEED_DATA
                if event is not h11.NEED_DATA:
                    break
                self._rest()
                ahead = await self._stream.read()
                if not ahead:
                    return None
        assert isinstance(event, h11.Request)
        return await self._read_body(parser, event)

    async def _read_body(self, parser: h11.Connection, request: h11.Request) -> asyncio.Future[Answer]:
        call = _call_of(request) if request.target != b"/up" else None
        if call is None and request.method != b"GET":
            raise Rejected(405)
        budget, held = self._frontend.budget, 0
        try:
            while not isinstance(event := await self._event(parser), h11.EndOfMessage):
                if not isinstance(event, h11.Data):
                    raise Rejected(400)
                more = len(event.data)
                if held + more > LONGEST:
                    raise Rejected(413)
                try:
                    async with asyncio.timeout(BODY_STALL_S):
                        await budget.take(self, held, more)
                except TimeoutError:
                    raise Rejected(503) from None
                held += more
                if call is not None:
                    _append(call.body, event.data)
        except BaseException:
            budget.give(self, held)
            raise
        if call is None:
            budget.give(self, held)
            return _done(Answer(200, b"ok\n"))
        if self._frontend.node.full:
            budget.give(self, held)
            return _done(Answer(503))
        call.answer.add_done_callback(lambda _: self._let_go(call, held))
        self._calls[call.answer] = call
        self._frontend.node.submit(call)
        return call.answer

    def _let_go(self, call: Call, held: int) -> None:
        call.body.clear()
        self._frontend.budget.give(self, held)

    async def _event(self, parser: h11.Connection) -> object:
        if parser.they_are_waiting_for_100_continue and not self._pending:
            await self._stream.write(parser.send(h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")))
        while (event := parser.next_event()) is h11.NEED_DATA:
            async with asyncio.timeout(BODY_STALL_S):
                data = await self._stream.read()
            parser.receive_data(data)
        return event

    # -- answers -------------------------------------------------------------------------

    async def _send(self, parser: h11.Connection, answer: Answer) -> bool:
        """Write one answer; whether the connection goes on after it."""
        rest = answer.rest
        try:
            headers: list[tuple[bytes, bytes]] = []
            if answer.status != 200 and answer.status != 503 and answer.status != 502 and answer.status != 504:
                headers.append((b"Connection", b"close"))
            elif self._frontend.draining and self._pending == 1 and not self.partial and not self._stream.has_input:
                headers.append((b"Connection", b"close"))
            if answer.retry_after_s:
                headers.append((b"Retry-After", b"%g" % answer.retry_after_s))
            if rest is None or answer.length is not None:
                length = len(answer.body) if rest is None else answer.length
                headers.append((b"Content-Length", b"%d" % (length or 0)))
            data = parser.send(h11.Response(status_code=answer.status, headers=headers)) + parser.send(h11.Data(data=answer.body))
            if rest is None:
                data += parser.send(h11.EndOfMessage())
            await self._write(data)
            while rest is not None:
                more = await rest.read()
                await self._write(parser.send(h11.Data(data=more) if more else h11.EndOfMessage()))
                if not more:
                    break
        except BaseException:
            # A long answer that stops short must not look whole, and its cache server is let go.
            self._stream.abort()
            raise
        finally:
            if rest is not None:
                rest.abandon()
        return parser.our_state is h11.DONE

    async def _write(self, data: bytes) -> None:
        for at in range(0, len(data), CHUNK):
            async with asyncio.timeout(WRITE_STALL_S):
                await self._stream.write(data[at : at + CHUNK])


class Frontend:
    """All client connections, within one budget of sockets."""

    def __init__(self, node: Node, address: Address, limit: int) -> None:
        self.node = node
        self.budget = BodyBudget()
        self.draining = False
        self._limit = limit
        self._connections: dict[ClientConnection, None] = {}  # oldest first
        self._resting: dict[ClientConnection, None] = {}  # longest rest first
        self._accepting = False
        self._empty = asyncio.Event()
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound_buffers(self._listener)  # accepted sockets inherit it
        self._listener.bind(address)

    @property
    def address(self) -> Address:
        """Where the node listens."""
        host, port = self._listener.getsockname()
        return host, port

    def start(self) -> None:
        """Listen."""
        self._listener.listen(BACKLOG)
        self._resume()

    async def drain(self) -> None:
        """Take what still comes for a while, finish what is held, and end."""
        loop = asyncio.get_running_loop()
        end = loop.time() + EXIT_S
        self.draining = True
        await asyncio.sleep(DRAIN_S)
        # What the kernel has accepted may hold requests that count as taken.
        self._accept()
        self._pause()
        self._listener.close()
        await asyncio.sleep(0.02)
        for connection in list(self._connections):
            connection.close_if_unread()
        while self._connections and loop.time() < end:
            self._empty.clear()
            try:
                async with asyncio.timeout_at(end):
                    await self._empty.wait()
            except TimeoutError:
                break
        for connection in list(self._connections):
            connection.abort()

    # -- bookkeeping ---------------------------------------------------------------------

    def rests(self, connection: ClientConnection) -> None:
        """A connection has nothing to do now."""
        self._resting.pop(connection, None)
        self._resting[connection] = None

    def stirs(self, connection: ClientConnection) -> None:
        """A request has begun on a connection."""
        self._resting.pop(connection, None)

    def gone(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        self._resting.pop(connection, None)
        self._connections.pop(connection, None)
        if not self._connections:
            self._empty.set()
        if not self._listener.fileno() == -1:
            self._resume()

    # -- accepting -----------------------------------------------------------------------

    def _accept(self) -> None:
        for _ in range(BACKLOG if self.draining else ACCEPTS):
            if len(self._connections) >= self._limit and not self._make_room():
                self._wait()
                return
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionError:
                continue
            except OSError as error:
                log.warning("cannot accept: %s", error)
                self._wait()
                return
            self._connections[ClientConnection(self, sock)] = None

    def _make_room(self) -> bool:
        """Close the connection that matters least, if any may be closed."""
        now = now_ms()
        while (connection := next((c for c in self._resting if c.served or now - c.since_ms > SILENT_MS), None)) is not None:
            del self._resting[connection]
            if connection.close_if_unread():
                return True
        return any(c.partial and now - c.since_ms > SLOW_MS and c.close_if_unread() for c in list(self._connections))

    def _wait(self) -> None:
        self._pause()
        asyncio.get_running_loop().call_later(RETRY_S, self._resume)

    def _resume(self) -> None:
        if not self._accepting and self._listener.fileno() != -1:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _pause(self) -> None:
        if self._accepting:
            self._accepting = False
            asyncio.get_running_loop().remove_reader(self._listener)


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


def _call_of(request: h11.Request) -> Call:
    """The request that a head describes."""
    headers: dict[bytes, bytes] = dict(request.headers)
    if request.method not in (b"GET", b"PUT"):
        raise Rejected(405 if request.method in OTHER_METHODS else 501)
    txn = headers.get(b"x-txn")
    if not txn or not request.target.startswith(b"/"):
        raise Rejected(404)
    budget = headers.get(b"x-remaining-ms")
    return Call(
        method=request.method,
        target=request.target,
        txn=txn,
        idempotency_key=headers.get(b"idempotency-key"),
        lane=headers.get(b"x-lane", b"").decode("latin-1"),
        org=headers.get(b"x-org", b"").decode("latin-1"),
        key=request.target.partition(b"?")[0].rpartition(b"/")[2].decode("latin-1") or None,
        budget_ms=None if budget is None else _number(budget),
        work_ms=_number(headers.get(b"x-estimate", b"0")) / 1000.0,
        repeated=headers.get(b"x-resent") == b"1",
    )
