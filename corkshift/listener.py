"""Accepting connections: one listening socket, paused where there is no room, tried again where the system has none."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Optional

from corkshift.seam import Address, Socket, now_ms

log = logging.getLogger(__name__)

BACKLOG = 4096
MAX_ACCEPTS_PER_TURN = 64  # in one turn of the loop
MAX_ABORTED_PER_TURN = 16  # connections in one turn that ended before they were accepted; then accepting pauses (guards against a spin)
ACCEPT_RETRY_S = 0.05  # until accepting is tried again where room is short


class Listener:
    """A listening socket on the running loop. `room` tells whether one more may come in, `take` gets its socket."""

    def __init__(
        self, sock: Socket, has_capacity: Callable[[], bool], on_accept: Callable[[Any], None]
    ) -> None:
        self._sock = sock
        self._has_capacity = has_capacity
        self._on_accept = on_accept
        self._accepting = False
        self._blocked_since_ms: Optional[float] = (
            None  # since when connections have had to wait in the queue
        )

    @property
    def queued_ms(self) -> float:
        """The longest that a connection taken now can have waited in the queue because nothing was accepted."""
        return (
            0.0 if self._blocked_since_ms is None else max(0.0, now_ms() - self._blocked_since_ms)
        )

    @property
    def address(self) -> Address:
        """Where it listens."""
        host, port = self._sock.getsockname()
        return host, port

    def start(self) -> None:
        """Listen and accept."""
        self._sock.listen(BACKLOG)
        self.resume()

    def close(self) -> None:
        """Accept nothing more. A socket that other processes hold too stays open with them, and so does its queue."""
        self.pause()
        self._sock.close()

    async def accept_queued(self) -> None:
        """Take in all that waits, as room comes."""
        while not self.accept(BACKLOG):
            await asyncio.sleep(ACCEPT_RETRY_S / 5.0)

    def accept(self, most: int = MAX_ACCEPTS_PER_TURN) -> bool:
        """Take in what waits, as far as there is room; whether nothing is left."""
        aborted = 0
        for _ in range(most):
            if not self._has_capacity():
                self._pause_and_retry()
                return False
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                self._blocked_since_ms = None  # the queue is empty
                return True
            except ConnectionError:
                aborted += 1
                if aborted >= MAX_ABORTED_PER_TURN:
                    self._pause_and_retry()
                    return False
                continue
            except OSError as error:
                log.warning("cannot accept: %s", error)
                self._pause_and_retry()
                return False
            try:
                self._on_accept(sock)
            except OSError:
                sock.close()  # reset before it was looked at
        return False

    def resume(self) -> None:
        """Accept again, if it is open."""
        if not self._accepting and self._sock.fileno() != -1:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._sock, self.accept)

    def pause(self) -> None:
        """Leave what comes in the socket's queue."""
        if self._accepting:
            self._accepting = False
            asyncio.get_running_loop().remove_reader(self._sock)

    def _pause_and_retry(self) -> None:
        if self._blocked_since_ms is None:
            self._blocked_since_ms = now_ms()
        self.pause()
        asyncio.get_running_loop().call_later(ACCEPT_RETRY_S, self.resume)
