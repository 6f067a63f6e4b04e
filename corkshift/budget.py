"""Size limits of bodies, and the memory budgets of buffered and of streamed ones."""

from __future__ import annotations

# Largest body that is buffered completely, in either direction. Larger ones are streamed.
MAX_BUFFERED_BODY_BYTES = 65_536
# A body in more pieces than this must have pieces of the minimum average size, since each one-byte
# chunk costs a call of the parser.
MAX_SMALL_PIECES = 1_024
MIN_AVERAGE_PIECE_BYTES = 16
# Largest body that is streamed.
MAX_BODY_BYTES = 1 << 25
# Pieces of one streamed body that the node holds at most: read, parsed, queued and being written.
PIECES_PER_TRANSFER = 5
# Smallest limit of one read, below which each byte would cost too much processor time.
MIN_READ_BYTES = 4_096


class SmallPieceDetector:
    """Detects a body that comes in too many small pieces.

    Counts the pieces that arrived together with another one. One read may hold thousands of
    one-byte chunks. The first piece of a read is not counted: however short the reads are, each
    costs its sender a packet, and the time limits bound their number.
    """

    __slots__ = ("_pieces", "_size")

    def __init__(self) -> None:
        self._pieces = 0
        self._size = 0

    def too_small(self, size: int, pieces: int) -> bool:
        """Count `size` bytes that came in `pieces` pieces at once.

        Returns whether the pieces are too small on average.
        """
        self._size += size
        self._pieces += max(0, pieces - 1)
        return (
            self._pieces > MAX_SMALL_PIECES and self._pieces * MIN_AVERAGE_PIECE_BYTES > self._size
        )


class BodyBudget:
    """Limits the bytes of all buffered request bodies.

    Without a limit, many bodies at once could fill the node's memory.
    A body that exceeds the budget is refused rather than made to wait: partly read bodies could
    otherwise wait for one another forever.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.used = 0

    def reserve(self, more: int) -> bool:
        """Reserve `more` bytes; return False, reserving nothing, if the limit would be exceeded."""
        if self.used + more > self._limit:
            return False
        self.used += more
        return True

    def release(self, size: int) -> None:
        """Return `size` reserved bytes to the budget."""
        self.used -= size


class TransferBudget:
    """Limits the bytes of messages on their way between sockets, by the size of single reads.

    The more transfers are open, the less is read at once for each of them. The rest waits with the
    sender (TCP flow control), so that no request has to be refused for it.
    """

    def __init__(self, limit: int) -> None:
        """limit: bytes for all open transfers together."""
        self._limit = limit

    def read_limit(self, most: int, open_transfers: int) -> int:
        """Return the limit of one read, `most` at most."""
        share = self._limit // (PIECES_PER_TRANSFER * max(1, open_transfers))
        return min(most, max(MIN_READ_BYTES, share))
