"""The cache server side: kept connections, and the exchange of one attempt."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Optional, Protocol

import h11

from corkshift import seam
from corkshift.budget import BULK, LONGEST, PieceCount
from corkshift.figures import Figures
from corkshift.loop_lag import LoopLagMonitor
from corkshift.messages import Answer, Call
from corkshift.plain import response_head
from corkshift.relay import Broken, Relay
from corkshift.seam import Address, now_ms
from corkshift.seam.errors import LOCAL, name_of
from corkshift.stream import CHUNK, KERNEL_BUFFER, Stream
from forkweir.send_guard import Denial, deadline_told_ms

MAX_HEAD = 16_384  # bytes of an answer's head, of a chunk's header or of trailers
MOST_NOTICES = 8  # 1xx answers ahead of the final one
BULK_READ = 32_768  # bytes read at once of an answer too large to hold
STALL_S = 10.0  # a server that gives or takes nothing of a large body for this long is given up
VERSION = b"HTTP/1."
IDLE_SHARE = 0.7  # of the stated idle time; a connection that rested longer is not used again
REST_MS = 2.0  # before a connection is used again: what comes behind an answer, and is not the next one's, shows by then
SWEEP_S = 0.5
LOCAL_RETRY_S = (
    0.01  # before a dial that this machine could not begin is tried again, doubled each time,
)
LOCAL_RETRY_MOST_S = 0.08  # up to this
MOST_TURNS = 8  # of the loop, in which an attempt lets discovery's bytes go first: a chunk of them is read in each
LOCAL_SHARE = 0.7  # of an attempt's time may pass so; then another attempt may have better luck
NOTES = {b"hit": 1, b"miss": 2, b"pending": 3}


class Spoilt(Exception):
    """An answer that can't be taken for the one to its request. The request may have run."""


class NotSent(Exception):
    """Nothing went out, and the cache server is not to blame."""


@dataclass(eq=False, slots=True)
class CacheServer:
    """A cache server as discovery told of it, and the connections to it that rest."""

    name: str
    address: Address
    leaving_ms: Optional[float] = None  # when this node was told that it drains or is gone
    idle: list[tuple[float, Stream]] = field(default_factory=list)  # oldest first


@dataclass(frozen=True, slots=True)
class Outcome:
    """How an attempt ended, in the words of the module."""

    status: str
    note: int = 0
    body: bytes = b""


class Pool:
    """Connections to all cache servers within one budget of sockets."""

    def __init__(
        self,
        limit: int,
        dial_timeout_ms: float,
        conn_idle_ms: float,
        figures: Figures,
        presence: Optional[LoopLagMonitor] = None,
    ) -> None:
        self._limit = limit
        self.figures = figures
        self.presence = presence or LoopLagMonitor()
        self._dial_s = dial_timeout_ms / 1000.0
        self._idle_ms = conn_idle_ms * IDLE_SHARE
        self._open = 0
        self._resting: dict[Stream, CacheServer] = {}  # longest rest first
        self._sweeper: Optional[asyncio.TimerHandle] = None

    async def connect(self, server: CacheServer, until_s: float = 0.0) -> Stream:
        """A connection to a server: the one that rested least, but long enough, or a new one.

        Where this machine has no port, buffer, descriptor or route for one, it is tried again until then (on the loop's clock).
        """
        now = now_ms()
        rested, old = now - REST_MS, now - self._idle_ms
        for since_ms, stream in reversed(list(server.idle)):
            if since_ms > rested:
                continue
            self._unrest(stream)
            # The sweep comes seldom, for settings with short idle times too seldom.
            if since_ms >= old and stream.quiet:
                return stream
            self.drop(stream)
        pause_s = LOCAL_RETRY_S
        while True:
            try:
                return await self._dial(server)
            except OSError as error:
                if error.errno not in LOCAL:
                    raise
                self.figures.count_local(name_of(error))
                if asyncio.get_running_loop().time() + pause_s > until_s:
                    raise NotSent(f"no connection for want of {name_of(error)}") from None
            await asyncio.sleep(pause_s)
            pause_s = min(2.0 * pause_s, LOCAL_RETRY_MOST_S)

    async def _dial(self, server: CacheServer) -> Stream:
        if self._open >= self._limit:
            if not self._resting:
                raise NotSent("every socket for cache servers is in use")
            oldest = next(iter(self._resting))
            self._unrest(oldest)
            self.drop(oldest)
        sock = seam.stream()
        self._open += 1
        try:
            seam.bound_buffers(sock, KERNEL_BUFFER)
            async with self.presence.timeout(self._dial_s):
                await seam.connect(sock, server.address)
            return Stream(sock)
        except BaseException:
            sock.close()
            self._open -= 1
            raise

    def keep(self, server: CacheServer, stream: Stream) -> None:
        """Let a connection rest for the next attempt; drop it when the server speaks or ends."""
        if server.leaving_ms is not None or not stream.quiet:
            self.drop(stream)
            return
        server.idle.append((now_ms(), stream))
        self._resting[stream] = server
        stream.notice = lambda: self._disturbed(stream)
        if self._sweeper is None:
            self._sweeper = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)

    def drop(self, stream: Stream) -> None:
        """Close a connection that no attempt uses any more."""
        if not stream.closed:
            self._open -= 1
            stream.abort()

    @property
    def open(self) -> int:
        """How many connections there are."""
        return self._open

    def close(self) -> None:
        """Close all that rests."""
        for stream in list(self._resting):
            self._disturbed(stream)

    def forget(self, server: CacheServer) -> None:
        """Close what rests of a server that drains, is gone or has moved."""
        for _, stream in list(server.idle):
            self._unrest(stream)
            self.drop(stream)

    def _disturbed(self, stream: Stream) -> None:
        self._unrest(stream)
        self.drop(stream)

    def _unrest(self, stream: Stream) -> None:
        server = self._resting.pop(stream)
        server.idle[:] = [pair for pair in server.idle if pair[1] is not stream]
        stream.notice = None

    def _sweep(self) -> None:
        """Close what has rested too long (guards against a request written as its server closes the connection)."""
        self._sweeper = None
        before = now_ms() - self._idle_ms
        for stream, server in list(self._resting.items()):
            if server.idle[0][0] > before:
                break
            self._unrest(stream)
            self.drop(stream)
        if self._resting:
            self._sweeper = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)


class Owner(Protocol):
    """Who has an attempt made, as far as it must hear of it before its end."""

    def may_send(self, call: Call, server: CacheServer, told_ms: int) -> Optional[Denial]:
        """Why a request may not go out to a server now; None where it may. told_ms: what its head tells of its deadline."""

    def list_unread(self) -> bool:
        """Whether what discovery wrote may stand unread, because this node was held up: a drain may be among it."""

    def went_out(self, call: Call, server: CacheServer, told_ms: int) -> None:
        """The last byte of a request has been written."""

    def spent(self, call: Call) -> None:
        """The request's body has begun to flow past: it can't be sent again."""

    def sent(self, call: Call) -> None:
        """The last byte of a request too large to hold has gone out: its time runs from now on."""

    def begun(self, attempt: Attempt, answer: Answer, note: int) -> bool:
        """An answer too large to hold has begun; whether its client still wants it."""


class Attempt:
    """One exchange with a cache server. It ends in exactly one outcome, and nothing is ever sent again."""

    def __init__(
        self, pool: Pool, server: CacheServer, call: Call, within_ms: float, owner: Owner
    ) -> None:
        self.server = server
        self._started_ms = (
            pool.presence.active_ms()
        )  # or, of a request too large to hold, when its last byte went out
        self._pool = pool
        self.call = call
        self._within_ms = within_ms
        self._owner = owner
        self._limit = asyncio.timeout(within_ms / 1000.0)
        self._relay: Optional[Relay] = None  # what carries an answer too large to hold
        self._stream: Optional[Stream] = None
        self._parser: Optional[h11.Connection] = (
            None  # made where an exchange leaves the plain form
        )
        self._until_close = False  # the answer has neither a length nor chunks: the end of its connection completes it
        self._reads = 0  # of an answer that is not plain
        self._told_ms = 0  # how long the server was told that this node waits
        self._clean = False  # the plain answer is whole, and nothing has come behind it
        self._touched = False  # a byte may have gone out
        self._written = False  # all of them have

    @property
    def begun(self) -> bool:
        """Whether an answer too large to hold has begun to be passed on."""
        return self._relay is not None

    @property
    def elapsed_ms(self) -> float:
        """How long it has been out, less what this node itself was held up: that says nothing of the server."""
        return self._pool.presence.active_ms() - self._started_ms

    def cut(self) -> None:
        """Let the client see that its answer breaks off here, unless it is whole."""
        if self._relay is not None:
            self._relay.fail()

    async def run(self) -> Outcome:
        """Send the request and read the whole answer."""
        outcome, cause = Outcome("withdrawn"), "given up"
        try:
            async with self._limit:
                outcome, cause = await self._exchange(), ""
        except (NotSent, Broken) as error:
            outcome, cause = (
                Outcome("void"),
                str(error),
            )  # Broken: the client gave up before its last byte, so it never ran
        except TimeoutError as error:
            # Until its last byte has left our buffer a request cannot have run.
            outcome, cause = (
                Outcome("timed_out" if self._written else "unreachable"),
                str(error) or "time-out",
            )
        except (h11.RemoteProtocolError, Spoilt) as error:
            # The server is there and speaks: the module tells this from a connection that broke.
            outcome, cause = Outcome("spoilt" if self._written else "unreachable"), str(error)
        except OSError as error:
            outcome, cause = Outcome("broken" if self._written else "unreachable"), name_of(error)
        finally:
            self._pool.figures.count_attempt(outcome.status, self.server.name, cause)
            self._release()
        return outcome

    def abort(self) -> None:
        """Give the attempt up now, so that nothing of it goes out any more."""
        if self._stream is not None:
            self._pool.drop(self._stream)

    async def _exchange(self) -> Outcome:
        now_s = asyncio.get_running_loop().time()
        self._stream = await self._pool.connect(
            self.server, now_s + LOCAL_SHARE * self._within_ms / 1000.0
        )
        send = self._send if self.call.feed is None else self._send_bulk
        early = not await send(self._stream)
        return await self._receive(early)

    def _headers(self, size: Optional[int]) -> list[tuple[bytes, bytes]]:
        """The request's headers; its body has so many bytes, or an unknown number."""
        call = self.call
        if not self._told_ms:  # worded once, as the head is written
            self._told_ms = deadline_told_ms(self._left_ms(), self._client_left_ms())
        headers = [
            (b"Host", b"%s:%d" % (self.server.address[0].encode(), self.server.address[1])),
            (b"X-Txn", call.txn),
            (b"X-Remaining-Ms", b"%d" % self._told_ms),
        ]
        if call.idempotency_key is not None:
            headers.append((b"Idempotency-Key", call.idempotency_key))
        if size is None:
            headers.append((b"Transfer-Encoding", b"chunked"))
        elif size or call.method == b"PUT":
            headers.append((b"Content-Length", b"%d" % size))
        return headers

    def _left_ms(self) -> float:
        """How long this attempt will still wait."""
        when = self._limit.when()
        return (
            self._within_ms if when is None else 1000.0 * (when - asyncio.get_running_loop().time())
        )

    def _client_left_ms(self) -> float:
        """How long the client will still wait; of a body too large to hold that time runs from its last byte."""
        call = self.call
        if call.feed is not None and not call.sent:
            return call.deadline_ms - call.since_ms
        return call.deadline_ms - now_ms()

    def _head(self, parser: h11.Connection, size: Optional[int]) -> bytes:
        """The request's head by the parser."""
        return (
            parser.send(
                h11.Request(
                    method=self.call.method, target=self.call.target, headers=self._headers(size)
                )
            )
            or b""
        )

    def _make_parser(self) -> h11.Connection:
        """The parser, for a request that has been sent already."""
        parser = self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD)
        self._head(parser, sum(map(len, self.call.body)))
        for part in self.call.body:
            parser.send_with_data_passthrough(h11.Data(data=bytes(part)))
        parser.send(h11.EndOfMessage())
        return parser

    async def _send(self, stream: Stream) -> bool:
        """Write the request; False when the server answered before all of it was out."""
        call = self.call
        size = sum(map(len, call.body))
        # All of it is our own words or was checked as it came in, so it needs no second check by the parser.
        fields = b"".join([b"%b: %b\r\n" % field for field in self._headers(size)])
        head = b"%b %b HTTP/1.1\r\n%b\r\n" % (call.method, call.target, fields)
        pieces: list[bytes | bytearray] = [head, *call.body]
        if len(head) + size <= CHUNK:
            pieces = [b"".join(pieces)]
        else:
            self._check_wanted()  # for drains its first byte counts
            # The last byte goes alone, so that it has not left while others still wait to.
            pieces[-1:] = [pieces[-1][:-1], pieces[-1][-1:]]
        for piece in pieces[:-1]:
            self._touched = True
            if not await stream.write(piece, until_input=True):
                return False
        return await self._send_last(stream, pieces[-1], len(pieces) > 1)

    async def _send_bulk(self, stream: Stream) -> bool:
        """Write a request too large to hold as its body comes; False as above. Broken where the client gives up.

        Its time runs from its last byte: until then only standing still ends it, here or on the client's side.
        """
        call, feed = self.call, self.call.feed
        assert feed is not None
        self._limit.reschedule(None)
        parser = self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD)
        parts = [self._head(parser, call.length)]
        for kept in call.body:
            parts += parser.send_with_data_passthrough(h11.Data(data=bytes(kept))) or ()
        ahead = b"".join(parts)
        self._check_wanted()
        while (piece := await feed.get()) is not None:
            if not call.spent:
                call.spent = True
                self._owner.spent(call)
            self._touched = True
            async with asyncio.timeout(STALL_S):
                if not await stream.write(ahead, until_input=True):
                    feed.close()
                    return False
            ahead = b"".join(parser.send_with_data_passthrough(h11.Data(data=piece)) or ())
        ahead += parser.send(h11.EndOfMessage()) or b""
        self._touched = True
        async with asyncio.timeout(STALL_S):
            if not await stream.write(ahead[:-1], until_input=True):
                return False
        if not await self._send_last(stream, ahead[-1:], True):
            return False
        self._started_ms = self._pool.presence.active_ms()
        self._owner.sent(call)
        self._limit.reschedule(asyncio.get_running_loop().time() + self._within_ms / 1000.0)
        return True

    def _check_wanted(self) -> None:
        """A slow dial or a long body takes time: the client may have left, the server may drain. NotSent where it is so."""
        denial = self._owner.may_send(self.call, self.server, self._told_ms)
        if denial is not None:
            raise NotSent(denial)

    async def _catch_up(self) -> None:
        """After a hold, let what discovery wrote meanwhile be read first (guards against a request to a server whose drain stands unread).

        Bounded, as discovery may go on writing: what it writes later counts from later.
        """
        for _ in range(MOST_TURNS):
            if not self._owner.list_unread():
                return
            await asyncio.sleep(0.0)

    async def _send_last(self, stream: Stream, piece: bytes | bytearray, until_input: bool) -> bool:
        await self._catch_up()
        self._check_wanted()
        if self.call.ran_ms is None:
            self.call.ran_ms = now_ms()
        self._touched = True
        if not await stream.write(piece, until_input=until_input):
            return False
        self._written = True
        self._pool.figures.tries += 1
        self._owner.went_out(self.call, self.server, self._told_ms)
        return True

    async def _receive(self, early: bool) -> Outcome:
        if self._parser is None:
            data = await self._read()
            if not early and (outcome := await self._receive_plain(data)) is not None:
                return outcome
            self._make_parser().receive_data(data)
        response = await self._event()
        for _ in range(MOST_NOTICES):
            if not isinstance(response, h11.InformationalResponse):
                break
            response = await self._event()
        if not isinstance(response, h11.Response):
            raise Spoilt("notices without end")
        headers = dict(response.headers)
        length = _length_of(headers)
        self._until_close = length is None and b"transfer-encoding" not in headers
        if response.status_code != 200:
            if not self._until_close:  # the head says it all, and its connection can't be kept
                await self._drain()
            return _declined(response.status_code, headers)
        if early:
            raise ConnectionResetError("served before the request was whole")
        note = _note_of(headers)
        half_ms = now_ms() + self._within_ms / 2.0
        body, pieces = bytearray(), PieceCount()
        while isinstance(event := await self._event(), h11.Data):
            body += event.data
            if pieces.too_small(len(event.data), self._reads):
                raise Spoilt("in too small pieces")
            if (
                len(body) > LONGEST
                or (length is not None and length > LONGEST)
                or (length is None and now_ms() > half_ms)
            ):
                return await self._pass_on(bytes(body), length, note)
        return Outcome("success", note, bytes(body))

    async def _receive_plain(self, data: bytes) -> Optional[Outcome]:
        """The outcome of an answer in plain form that is short enough to be held; None leaves what has come to the parser."""
        head = response_head(data)
        if head is None or head.length is None:
            return None
        body, left = data[head.end :], head.length - (len(data) - head.end)
        if left > 0 and head.status != 200:
            return None  # its head says it all, whatever becomes of the rest
        if left > 0:
            parts = [body]
            while left > 0:
                parts.append(await self._read())
                left -= len(parts[-1])
            body = b"".join(parts)
        self._clean = left == 0
        if head.status != 200:
            return _declined(head.status, head.fields)
        return Outcome("success", _note_of(head.fields), body[: head.length] if left else body)

    async def _read(self, may_end: bool = False) -> bytes:
        """The next bytes; none at the connection's end, which is one before the answer's unless that may end so."""
        assert self._stream is not None
        if not (data := await self._stream.read()) and not may_end:
            raise ConnectionResetError("ended before its answer did")
        return data

    async def _pass_on(self, body: bytes, length: Optional[int], note: int) -> Outcome:
        """Give the client what has come, and the rest as it comes. From here on the answer can only be whole or broken off."""
        assert self._stream is not None
        relay = Relay()
        if not self._owner.begun(self, Answer(200, body, rest=relay, length=length), note):
            raise NotSent("no longer wanted")
        self._relay = relay
        self._limit.reschedule(None)
        self._stream.most = BULK_READ
        size, pieces = len(body), PieceCount()
        while True:
            async with asyncio.timeout(STALL_S):
                event = await self._event()
            if not isinstance(event, h11.Data):
                break
            size += len(event.data)
            if size > BULK or pieces.too_small(len(event.data), self._reads):
                raise Spoilt("longer than any body may be, or in too small pieces")
            if not await relay.put(bytes(event.data)):
                raise ConnectionAbortedError("the client has left")
        relay.end()
        return Outcome("success", note)

    async def _drain(self) -> None:
        """Read a short answer to its end, to keep the connection; a long or broken one says no more than its head."""
        with suppress(OSError, h11.RemoteProtocolError):
            for _ in range(8):
                if not isinstance(await self._event(), h11.Data):
                    return

    async def _event(self) -> h11.Event | type[h11.PAUSED]:
        assert self._parser is not None
        while (event := self._parser.next_event()) is h11.NEED_DATA:
            if self._parser.their_state is h11.SEND_RESPONSE:
                _check_start(self._parser.trailing_data[0])
            # Where the answer has neither a length nor chunks, the end of its connection completes it; a reset raises.
            ended = self._until_close and self._parser.their_state is h11.SEND_BODY
            self._parser.receive_data(await self._read(may_end=ended))
            self._reads += 1
        return event  # type: ignore[return-value]

    def _release(self) -> None:
        """Keep the connection if both sides are through with this exchange and want another, or close it."""
        stream, parser = self._stream, self._parser
        # It is the pool's from here on: an abort that comes before the task's end is noticed must not end a connection that
        # rests, or that another attempt has taken meanwhile.
        self._stream = None
        if stream is None or stream.closed:
            return
        if parser is None:
            clean = self._clean
        else:
            clean = (
                parser.our_state is h11.DONE
                and parser.their_state is h11.DONE
                and not parser.trailing_data[0]
            )
        if not self._touched or (self._written and clean):
            self._pool.keep(self.server, stream)
        else:
            self._pool.drop(stream)


def _declined(status: int, headers: dict[bytes, bytes]) -> Outcome:
    """What an answer other than 200 means."""
    away = status in (503, 504) and headers.get(b"x-turned-away", b"").strip() == b"1"
    return Outcome("overloaded" if away else "failure")


def _note_of(headers: dict[bytes, bytes]) -> int:
    """How the read went, where the server tells."""
    return NOTES.get(headers.get(b"x-found", b"").strip().lower(), 0)


def _check_start(head: bytes) -> None:
    """Tell from its first bytes what can't become an answer (guards against waiting for the end of a line of noise)."""
    if head[: len(VERSION)] != VERSION[: len(head)]:
        raise Spoilt("not HTTP")


def _length_of(headers: dict[bytes, bytes]) -> Optional[int]:
    """An answer's length in bytes, None where it comes in chunks or ends with its connection (RFC 9112, 6.3).

    A length is believed only where it is told once and not beyond all bounds. Guards against an answer that is said to have gigabytes
    and keeps coming, and against one with both a length and chunks, whose end is a guess.
    """
    told, chunked = headers.get(b"content-length"), b"transfer-encoding" in headers
    if told is not None and (chunked or int(told) > BULK):
        raise Spoilt("the length can't be believed")
    return None if told is None else int(told)
