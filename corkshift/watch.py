"""One call to discovery: its connection, its answer, and the bytes of the watch that follows.

Silence, pauses and the timeout of a call are counted in active time (`loop_lag`), because time in
which this node was stalled says nothing about discovery. What discovery writes to a watch counts as
notified, so a watch that has lost data is read until it is replaced.
"""

from __future__ import annotations

import asyncio
from collections import deque
from enum import StrEnum
from typing import Optional

import h11

from corkshift import seam
from corkshift.listing import BadList, EntryCache, LineParser
from corkshift.loop_lag import ActiveTimer, LoopLagMonitor
from corkshift.seam import Address
from corkshift.stream import Stream

# A watch without input for this long is unresponsive: the heartbeat's 2 s and 0.15 s for a stall.
SILENCE_TIMEOUT_S = 2.15
LINE_TIMEOUT_S = 1.0  # the same, in the middle of a line
# Bytes; room for a size of 16 digits and a short extension (RFC 9112, section 7.1).
MAX_CHUNK_HEADER = 64


class CallCause(StrEnum):
    """Why the node calls discovery; the values are names of metrics."""

    START = "start"  # the first call of the process
    RETRY = "retry"  # the call before failed, or the watch ended
    LOST = "lost"  # the watch lost data
    PARALLEL = "parallel"  # the call before is not answered yet
    MOVED = "moved"  # discovery has another address


class Watch:
    """One call to discovery, from its connection to its end."""

    def __init__(
        self,
        address: Address,
        generation: Optional[int],
        answer_timeout_s: float,
        loop_lag: LoopLagMonitor,
        cache: Optional[EntryCache] = None,
    ) -> None:
        """generation: of the node's list; None asks for a full list.

        answer_timeout_s: how long the answer may take, in active time.
        """
        self.address = address
        self.generation = generation
        self.answer_timeout_s = answer_timeout_s
        self.answered = False
        self.complete_line_received = False
        # Data was lost and another watch is to replace this one: only removals are applied.
        self.retiring = False
        # Starts a parallel call while this one is unanswered.
        self.parallel_call_timer: Optional[ActiveTimer] = None
        self.parser = LineParser(cache)
        # Applies a long line in slices.
        self.applying: Optional[asyncio.Task[None]] = None
        self.queued_lines: deque[bytes] = deque()  # complete lines behind the one being applied
        self._loop_lag = loop_lag
        self.stream: Optional[Stream] = None
        self._http = h11.Connection(h11.CLIENT)
        self._framed = True
        # The bytes last given to the HTTP parser, after those that it still held.
        self._last_input = b""
        # The part of them that is read again as plain bytes once the framing is lost.
        self._unparsed = b""

    async def call(self) -> None:
        """Connect, send the request and read the answer's head.

        Raises OSError (TimeoutError included), h11.RemoteProtocolError or BadList where that fails.
        """
        sock = seam.tcp_socket()
        try:
            # The service answers all nodes in turn, and a closed call still takes its turn. A long
            # timeout guards against a fleet that keeps repeating calls about to be answered.
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
            raise BadList(f"discovery answered not 200 but {event!r:.80}")

    async def _event(self) -> object:
        assert self.stream is not None
        while (event := self._http.next_event()) is h11.NEED_DATA:
            pending = self._http.trailing_data[0]
            if self.answered and len(pending) > MAX_CHUNK_HEADER:
                # The parser waits for the end of a chunk header, which may never arrive (guards
                # against a change that stays unread meanwhile).
                raise h11.RemoteProtocolError(f"chunk header of over {MAX_CHUNK_HEADER} bytes")
            data = await self.stream.read()
            self._last_input = pending + data
            self._http.receive_data(data)
        return event

    async def next_data(self) -> bytes:
        """The next bytes of the body, or raw bytes once its framing is lost; b"" at the end.

        Raises TimeoutError where the watch is unresponsive, and h11.RemoteProtocolError once where
        the framing is lost.
        """
        # A retiring watch is read until Discovery closes it, however silent it is.
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
        """Whether bytes are unread in the kernel or in the stream's buffer; asks the kernel."""
        stream = self.stream
        return (
            self.answered
            and stream is not None
            and not stream.closed
            and not stream.open_without_input
            and stream.has_buffered_input
        )

    def cancel_parallel_call(self) -> None:
        """Cancel the timer of the parallel call, which is no longer needed."""
        if self.parallel_call_timer is not None:
            self.parallel_call_timer.cancel()
            self.parallel_call_timer = None

    async def wait_applied(self) -> None:
        """Wait until all complete lines have been applied."""
        if self.applying is not None:
            await asyncio.wait([self.applying])

    def close(self) -> None:
        """Close the connection and cancel the timer and task of this watch."""
        if self.applying is not None:
            self.applying.cancel()
        self.cancel_parallel_call()
        if self.stream is not None:
            self.stream.abort()
