"""One call to discovery: its dial, its answer, and the bytes of the watch that follows, until its end.

Silence, pauses and the patience of a call are counted in present time (`presence`): time in which this node itself was held up says nothing
of discovery. What discovery writes to a watch counts as notified, so that one that has lost something is read on until it is replaced.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Optional

import h11

from corkshift import seam
from corkshift.listing import BadList, EntryCache, LineParser
from corkshift.loop_lag import ActiveTimer, LoopLagMonitor
from corkshift.seam import Address
from corkshift.stream import Stream

SILENCE_TIMEOUT_S = (
    2.15  # the heartbeat (2 s) and as long as a node may be held up: the watch has fallen silent,
)
LINE_TIMEOUT_S = 1.0  # or has stopped in the middle of a line
MAX_CHUNK_HEADER = 64  # bytes; a size of 16 digits and a short extension (RFC 9112, 7.1)


class Watch:
    """One call to discovery, from its dial to its end."""

    def __init__(
        self,
        address: Address,
        generation: Optional[int],
        answer_timeout_s: float,
        loop_lag: LoopLagMonitor,
        cache: Optional[EntryCache] = None,
    ) -> None:
        """generation: of the list that the node has, None for a whole one; patience_s: how long the answer may take, in present time."""
        self.address = address
        self.generation = generation
        self.answer_timeout_s = answer_timeout_s
        self.answered = False  # discovery has answered
        self.has_whole_line = False  # a whole line has come
        self.retiring = False  # something of it is lost, and another is to take its place: only what takes away is heeded
        self.parallel_call_timer: Optional[ActiveTimer] = (
            None  # of a call that may need another one beside it
        )
        self.parser = LineParser(cache)
        self.applying: Optional[asyncio.Task[None]] = (
            None  # of a long line that is being taken in slices,
        )
        self.queued_lines: deque[bytes] = deque()  # and whole lines behind it
        self._loop_lag = loop_lag
        self.stream: Optional[Stream] = None
        self._http = h11.Connection(h11.CLIENT)
        self._framed = True
        self._last_input = b""  # what the parser was last given, and what it then still held
        self._unparsed = b""  # of that, what is to be looked at again, once the framing is lost

    async def call(self) -> None:
        """Dial and ask; OSError (TimeoutError among them), h11.RemoteProtocolError or BadList where there is no watch."""
        sock = seam.stream()
        try:
            # One service answers all nodes in turn, and a call that is hung up on keeps its turn (guards against a fleet that
            # asks anew, over and over, for what each of its nodes would have been told a moment later).
            async with self._loop_lag.timeout(self.answer_timeout_s):
                await seam.connect(sock, self.address)
                self.stream = Stream(sock)
                after = "" if self.generation is None else f"&after={self.generation}"
                target = f"/discovery/hosts?watch=1{after}"
                host = f"{self.address[0]}:{self.address[1]}"
                request = h11.Request(method="GET", target=target, headers=[("Host", host)])
                await self.stream.write(
                    self._http.send(request) + self._http.send(h11.EndOfMessage())
                )
                while isinstance(event := await self._event(), h11.InformationalResponse):
                    pass
        except BaseException:
            if self.stream is None:
                sock.close()
            raise
        self.answered = True
        self.cancel_parallel_call()
        if not isinstance(event, h11.Response) or event.status_code != 200:
            raise BadList(f"answered {event!r:.80}")

    async def _event(self) -> object:
        assert self.stream is not None
        while (event := self._http.next_event()) is h11.NEED_DATA:
            pending = self._http.trailing_data[0]
            if self.answered and len(pending) > MAX_CHUNK_HEADER:
                # The parser waits for a line's end that may never come (guards against a change that stands there meanwhile).
                raise h11.RemoteProtocolError(f"chunk header of over {MAX_CHUNK_HEADER} bytes")
            data = await self.stream.read()
            self._last_input = pending + data
            self._http.receive_data(data)
        return event

    async def next_data(self) -> bytes:
        """The next bytes of the body, or of whatever comes once its framing is lost; none at the end.

        TimeoutError where the watch has fallen silent, h11.RemoteProtocolError once, where the framing is lost.
        """
        # One that is replaced is read on for as long as Discovery has use for it, however silent it is.
        async with self._loop_lag.timeout(
            None
            if self.retiring
            else LINE_TIMEOUT_S
            if self.parser.unfinished
            else SILENCE_TIMEOUT_S
        ):
            if self._framed:
                try:
                    event = await self._event()
                except h11.RemoteProtocolError:
                    self._framed = False
                    self._unparsed = self._last_input
                    raise
                return bytes(event.data) if isinstance(event, h11.Data) else b""
            if self._unparsed:
                left, self._unparsed = self._unparsed, b""
                return left
            assert self.stream is not None
            return await self.stream.read()

    @property
    def has_unread_input(self) -> bool:
        """Whether bytes stand in the kernel or here that nobody has looked at; asks the kernel."""
        stream = self.stream
        return (
            self.answered
            and stream is not None
            and not stream.closed
            and not stream.quiet
            and stream.has_input
        )

    def cancel_parallel_call(self) -> None:
        """No further call is needed beside this one."""
        if self.parallel_call_timer is not None:
            self.parallel_call_timer.cancel()
            self.parallel_call_timer = None

    async def wait_applied(self) -> None:
        """Until all lines that came whole have been taken."""
        if self.applying is not None:
            await asyncio.wait([self.applying])

    def close(self) -> None:
        """Hang up."""
        if self.applying is not None:
            self.applying.cancel()
        self.cancel_parallel_call()
        if self.stream is not None:
            self.stream.abort()
