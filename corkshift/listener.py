"""Accepts connections on one listening socket, with pauses while node or system lack capacity."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Optional

from corkshift.seam import Address, Socket, now_ms

log = logging.getLogger(__name__)

# Length of the kernel's queue of connections not yet accepted.
BACKLOG = 4096
MAX_ACCEPTS_PER_TURN = 64  # per turn of the event loop
# Connections that ended before they were accepted; at this number accepting pauses, so that the
# loop doesn't spin on them.
MAX_ABORTED_PER_TURN = 16
# Delay until accepting is retried after a lack of capacity.
ACCEPT_RETRY_S = 0.05


class Listener:
    """A listening socket on the running event loop.

    `has_capacity` returns whether one more connection may be accepted; `on_accept` gets its socket.
    """

    def __init__(
        self,
        sock: Socket,
        has_capacity: Callable[[], bool],
        on_accept: Callable[[Any], None],
        inherited: bool = False,
    ) -> None:
        """inherited: connections may have waited in its queue since before this process began."""
        self._sock = sock
        self._has_capacity = has_capacity
        self._on_accept = on_accept
        self._accepting = False
        # Since when connections have had to wait in the queue.
        self._blocked_since_ms: Optional[float] = 0.0 if inherited else None

    @property
    def queued_ms(self) -> float:
        """Upper bound in ms of the time that a connection accepted now waited in the queue."""
        return (
            0.0 if self._blocked_since_ms is None else max(0.0, now_ms() - self._blocked_since_ms)
        )

    @property
    def address(self) -> Address:
        """The address of the socket."""
        host, port = self._sock.getsockname()
        return host, port

    def start(self) -> None:
        """Start to listen and to accept connections."""
        self._sock.listen(BACKLOG)
        self.resume()

    def close(self) -> None:
        """Stop accepting and close the socket.

        If other processes share the socket, it stays open there, and so does its queue.
        """
        self.pause()
        self._sock.close()

    async def accept_queued(self) -> None:
        """Accept all queued connections, as capacity allows."""
        while not self.accept(BACKLOG):
            await asyncio.sleep(ACCEPT_RETRY_S / 5.0)

    def accept(self, most: int = MAX_ACCEPTS_PER_TURN) -> bool:
        """Accept up to `most` queued connections; return whether the queue is empty."""
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
                log.warning("cannot accept: %s; accepting is retried after a pause", error)
                self._pause_and_retry()
                return False
            try:
                self._on_accept(sock)
            except OSError:
                sock.close()  # reset by the peer before it was set up
        return False

    def resume(self) -> None:
        """Resume accepting if the socket is open."""
        if not self._accepting and self._sock.fileno() != -1:
            self._accepting = True
            asyncio.get_running_loop().add_reader(self._sock, self.accept)

    def pause(self) -> None:
        """Pause accepting; new connections wait in the socket's queue."""
        if self._accepting:
            self._accepting = False
            asyncio.get_running_loop().remove_reader(self._sock)

    def _pause_and_retry(self) -> None:
        if self._blocked_since_ms is None:
            self._blocked_since_ms = now_ms()
        self.pause()
        asyncio.get_running_loop().call_later(ACCEPT_RETRY_S, self.resume)
