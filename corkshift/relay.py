"""A body too large to hold, on its way from the side that reads it to the side that writes it: one piece waits between them."""

from __future__ import annotations

import asyncio
from typing import Optional


class BodyAborted(ConnectionAbortedError):
    """The side that reads the body gave up before its end."""


class Relay:
    """One body. Its writer awaits room, its reader awaits a piece; either may give up, and the other one learns it at once.

    At most one piece waits here, whatever its size: bounding pieces is the writer's matter.
    """

    __slots__ = ("_piece", "_complete", "_broken", "_closed", "_writable", "_readable")

    def __init__(self) -> None:
        self._piece: Optional[bytes] = None
        self._complete = False
        self._broken = False
        self._closed = False
        # One for each side: who is woken runs only later, when the other side may wait already.
        self._writable: Optional[asyncio.Future[None]] = None
        self._readable: Optional[asyncio.Future[None]] = None

    # -- the writing side ----------------------------------------------------------------

    async def put(self, piece: bytes) -> bool:
        """Hand a piece on, waiting while one is there already; False where nobody wants it any more."""
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
        """The body is whole."""
        self._complete = True
        _wake(self._readable)

    def fail(self) -> None:
        """The body breaks off here, unless it was whole."""
        self._broken = not self._complete
        _wake(self._readable)

    # -- the reading side ----------------------------------------------------------------

    async def get(self) -> Optional[bytes]:
        """The next piece, None at the end. Broken where it breaks off; what came before that is given first."""
        while self._piece is None:
            if self._broken:
                raise BodyAborted("the body breaks off")
            if self._complete:
                return None
            self._readable = asyncio.get_running_loop().create_future()
            await self._readable
        piece, self._piece = self._piece, None
        _wake(self._writable)
        return piece

    def close(self) -> None:
        """Want no more of it."""
        self._closed = True
        self._piece = None
        _wake(self._writable)


def _wake(waiter: Optional[asyncio.Future[None]]) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
