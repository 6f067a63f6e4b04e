"""One budget for the bytes of all request bodies that are held at once."""

from __future__ import annotations

import asyncio

SMALL = 65_536  # bytes of a body that never wait
LONGEST = 33 << 20  # bytes of the longest body taken
SHARED = 32 << 20  # bytes that all bodies together hold before reading of long ones pauses


class BodyBudget:
    """Bodies draw on a shared part; once that is used up, one of them at a time may go on, out of a reserve.

    Guards against memory filled by many long bodies, and against many partial ones that wait for one another.
    """

    def __init__(self) -> None:
        self._used = 0
        self._front: object = None
        self._freed = asyncio.Event()

    async def take(self, holder: object, held: int, more: int) -> None:
        """Wait until a body that has this much may hold more."""
        while held + more > SMALL and self._used + more > SHARED and self._front is not holder:
            if self._front is None:
                self._front = holder
                break
            self._freed.clear()
            await self._freed.wait()
        self._used += more

    def give(self, holder: object, held: int) -> None:
        """A body is let go."""
        self._used -= held
        if self._front is holder:
            self._front = None
        self._freed.set()
