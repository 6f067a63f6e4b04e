"""When the client of a streamed body can have written the last byte, from the node's side.

A request's time counts from the moment at which its client has written the last byte (PROTOCOL,
"Figures"). While the node reads a body as fast as it comes, that is the time of the read. While a
cache server takes the body slowly, or not at all, the node stops reading, and the rest may lie
complete in the buffers of the client's machine and of this one. Nothing tells the node of it, so
the deadline runs from the latest time at which the body is known to have been incomplete:

- While the node keeps up with the client, and the last byte has not come, it has not been written.
  After a pause in reading, the node keeps up again once it has found the socket empty for a while,
  since the client's machine sends what it holds as soon as it may.
- A client can't have written a byte that lies further ahead than buffers can hold.

Where a body has no length, the node knows that the last byte has not come only while it has parsed
all input.

Pure: no I/O and no clock. Bounded memory.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Optional

# The most that a client can have written beyond what was read: the default limit of a send buffer
# on Linux (tcp_wmem), whose own overhead leaves room for this machine's receive buffer.
MAX_UNREAD_BYTES = 4 << 20
# A client's machine sends all that it holds in this time once the node reads again.
CATCH_UP_MS = 100.0


class BodyArrival:
    """A lower bound of the time at which the last byte of one body was written.

    All times are in ms on one monotonic clock.
    """

    __slots__ = (
        "_length", "_unread_ms", "_bound_ms", "_received_bytes", "_keeping_up_since_ms",
        "_parsed_all", "_checkpoint_bytes", "_checkpoint_ms",
    )  # fmt: skip

    def __init__(
        self,
        not_before_ms: float,
        length: Optional[int],
        received_bytes: int,
        unread_ms: Callable[[], float],
        keeps_up: bool = True,
    ) -> None:
        """not_before_ms: the first bound. length: of the body, None if it is unknown.
        received_bytes: how much of it was read from the socket. unread_ms: returns how long input
        that is read now may have been unread. keeps_up: the last read emptied the socket, and input
        is read as it comes.
        """
        self._length = length
        self._unread_ms = unread_ms
        self._bound_ms = not_before_ms
        self._received_bytes = received_bytes
        # Since when each read has emptied the socket with no pause in reading; None while not.
        self._keeping_up_since_ms: Optional[float] = -inf if keeps_up else None
        # All input has been parsed, and more is needed.
        self._parsed_all = False
        # For a body without a length: a number of bytes, and when they had been read.
        self._checkpoint_bytes = received_bytes
        self._checkpoint_ms = self._bound_ms

    def record_read(self, now: float, size: int, keeps_up: bool) -> None:
        """Record a read of `size` bytes from the socket.

        keeps_up: the read emptied the socket, and input is read as it comes from now on; it is not
        while the read buffer is full.
        """
        self._update(now)
        self._parsed_all = False
        self._received_bytes += size
        if not keeps_up:
            self._keeping_up_since_ms = None
        elif self._keeping_up_since_ms is None:
            self._keeping_up_since_ms = now
        self._apply_buffer_limit(now)

    def record_parsed_all(self) -> None:
        """Record that all input so far has been parsed, and that more is needed."""
        self._parsed_all = True

    def not_before_ms(self, now: float) -> float:
        """Return the time before which the last byte was not written."""
        self._update(now)
        return self._bound_ms

    def _update(self, now: float) -> None:
        """Raise the bound if the node keeps up with a body that has not come to its end."""
        incomplete = self._parsed_all or (
            self._length is not None and self._received_bytes < self._length
        )
        since_ms = self._keeping_up_since_ms
        if incomplete and since_ms is not None and now - since_ms >= CATCH_UP_MS:
            self._raise_bound(now - self._unread_ms())

    def _apply_buffer_limit(self, now: float) -> None:
        """Raise the bound if the last byte lies further ahead than buffers can hold."""
        if self._length is not None:
            if self._length - self._received_bytes > MAX_UNREAD_BYTES:
                self._raise_bound(now)
        elif self._received_bytes - self._checkpoint_bytes > MAX_UNREAD_BYTES:
            # The bytes of this read were written after those at the checkpoint had been read. The
            # last byte may be among them.
            self._raise_bound(self._checkpoint_ms)
            self._checkpoint_bytes, self._checkpoint_ms = self._received_bytes, now

    def _raise_bound(self, bound_ms: float) -> None:
        self._bound_ms = max(self._bound_ms, bound_ms)
