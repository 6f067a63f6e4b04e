"""Memory for the answers of requests that wait behind another one on their client's connection.

The first unanswered request of a connection always has the connection's share
(`budget.ConnectionAllowance`). Those behind it are sent on ahead of their turn, and their answers
wait complete, or as transfers that nobody takes, until the client has taken the answers before
them. What they may hold is one budget of the node. A request that finds no room waits with its
client's time running, until there is room or it is the first of its connection: nothing is refused.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Optional

from corkshift.budget import ConnectionAllowance

# Objects of a request that is sent on: its task, its attempt and the connection to its server.
REQUEST_OBJECT_BYTES = 16_384


class Reservation:
    """What the answer to one request may hold until its turn, in bytes."""

    __slots__ = ("_budget", "_size")

    def __init__(self, budget: PipelineBudget, size: int) -> None:
        self._budget = budget
        self._size = size

    def shrink(self, size: int) -> None:
        """Return what is reserved beyond `size` bytes: the answer is complete and holds these."""
        if size < self._size:
            self._budget.give_back(self._size - size)
            self._size = size

    def release(self) -> None:
        """Return all that is reserved; does nothing the second time."""
        self.shrink(0)


class PipelineBudget:
    """The budget of all requests behind the first ones of their connections.

    A request whose answer isn't known yet reserves the share of a whole connection, which is what
    the largest answer may hold, and its objects.
    """

    def __init__(self, allowance: ConnectionAllowance) -> None:
        self._allowance = allowance
        self._waiters: deque[asyncio.Future[None]] = deque()
        self.used = 0

    @property
    def _answer_bytes(self) -> int:
        """What one request may hold while its answer isn't known."""
        return self._allowance.each + REQUEST_OBJECT_BYTES

    @property
    def waiting(self) -> int:
        """The number of requests that wait for room."""
        return len(self._waiters)

    def reserve(self) -> Optional[Reservation]:
        """Reserve room for one answer; None if there is none."""
        size = self._answer_bytes
        if self.used + size > self._allowance.pipeline_total:
            return None
        self.used += size
        return Reservation(self, size)

    def give_back(self, size: int) -> None:
        """Return reserved bytes, and wake as many of the longest waiting requests as they serve."""
        self.used -= size
        self._wake()

    def add_waiter(self) -> asyncio.Future[None]:
        """Return a future that is done once it is worth to try again."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        return waiter

    def remove_waiter(self, waiter: asyncio.Future[None]) -> None:
        """Forget a request that doesn't wait any more; the next one gets its room."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        else:
            self._wake()

    def _wake(self) -> None:
        room = (self._allowance.pipeline_total - self.used) // self._answer_bytes
        while self._waiters and room > 0:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                room -= 1
