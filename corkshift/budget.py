"""One budget for the bytes of all request bodies that are held at once."""

from __future__ import annotations

MAX_BUFFERED_BODY_BYTES = (
    65_536  # bytes of the longest body that is held whole, in either direction,
)
MAX_SMALL_PIECES = 1_024  # and the pieces it may come in, unless they are of a fair size
MIN_AVERAGE_PIECE_BYTES = 16  # bytes, on average (guards against one-byte chunks, each of which costs a turn of the parser)
MAX_BODY_BYTES = 1 << 25  # bytes of the longest body that is passed on in pieces


class PieceCounter:
    """The pieces that one body came in, of those that shared a read with another one.

    Guards against one-byte chunks, of which one read holds thousands, each a turn of the parser. A piece that is all that one read
    brought is not counted: however short the kernel's reads are, each costs its sender a packet, and time bounds them.
    """

    __slots__ = ("_pieces", "_size", "_reads")

    def __init__(self) -> None:
        self._pieces = 0
        self._size = 0
        self._reads = -1

    def too_small(self, size: int, reads: int) -> bool:
        """Count a piece of so many bytes, come with the so-manieth read; whether they are too small on average."""
        self._size += size
        if reads == self._reads:
            self._pieces += 1
        self._reads = reads
        return (
            self._pieces > MAX_SMALL_PIECES and self._pieces * MIN_AVERAGE_PIECE_BYTES > self._size
        )


class BodyBudget:
    """Counts the bytes of all request bodies that are held.

    Guards against memory filled by many bodies at once. A body that finds no room is turned away and never waits (guards
    against partial bodies that wait for one another).
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.used = 0

    def reserve(self, more: int) -> bool:
        """Whether there is room for this much more; it is taken if so."""
        if self.used + more > self._limit:
            return False
        self.used += more
        return True

    def release(self, held: int) -> None:
        """A body is let go."""
        self.used -= held
