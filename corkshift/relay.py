"""Passes a body too large to buffer from the task that reads it to the task that writes it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Optional


class BodyAborted(ConnectionAbortedError):
    """The producer of the body failed before its end."""


class BodyPipe:
    """A queue of one piece of a body, between its producer and its consumer.

    `put` waits while a piece is queued, and `get` waits for one. Either side may give up, which
    wakes the other at once. The producer bounds the size of the pieces. `on_fail` is called when
    the producer gives up, whatever the consumer is doing with an earlier piece.
    """

    __slots__ = ("_piece", "_complete", "_broken", "_closed", "_writable", "_readable", "on_fail")

    def __init__(self) -> None:
        self._piece: Optional[bytes] = None
        self._complete = False
        self._broken = False
        self._closed = False
        self.on_fail: Optional[Callable[[], None]] = None
        # One future per side: a woken task runs later, when the other side may be waiting already.
        self._writable: Optional[asyncio.Future[None]] = None
        self._readable: Optional[asyncio.Future[None]] = None

    @property
    def queued_bytes(self) -> int:
        """The size of the queued piece, 0 if there is none."""
        return 0 if self._piece is None else len(self._piece)

    # -- producer ------------------------------------------------------------------------

    async def put(self, piece: bytes) -> bool:
        """Queue a piece, waiting while another is queued; return False if the consumer closed."""
        while self._piece is not None and not self._closed:
            self._writable = asyncio.get_running_loop().create_future()
            await self._writable
        if self._closed:
            return False
        if piece:
            self._piece = piece
            _wake(self._readable)
        return True

    def end(self) -> None:
        """Mark the body as complete."""
        self._complete = True
        _wake(self._readable)

    def fail(self) -> None:
        """Mark the body as aborted, unless it is complete."""
        self._broken = not self._complete
        _wake(self._readable)
        if self._broken and not self._closed and self.on_fail is not None:
            self.on_fail()

    # -- consumer ------------------------------------------------------------------------

    async def get(self) -> Optional[bytes]:
        """Return the next piece, None at the end.

        Raises BodyAborted if the body was aborted, after a piece queued before that.
        """
        while self._piece is None:
            if self._broken:
                raise BodyAborted("body aborted before its end")
            if self._complete:
                return None
            self._readable = asyncio.get_running_loop().create_future()
            await self._readable
        piece, self._piece = self._piece, None
        _wake(self._writable)
        return piece

    def close(self) -> None:
        """Discard the rest of the body; `put` returns False from now on."""
        self._closed = True
        self._piece = None
        _wake(self._writable)


def _wake(waiter: Optional[asyncio.Future[None]]) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
