"""Size limits of bodies, and the memory budgets of buffered and of streamed ones."""

from __future__ import annotations

from typing import Optional

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
# Memory of the process where the system can't tell it.
PROCESS_BYTES = 20 << 20
# Share of the free memory for what connections hold, and of the limit if hardly any is free.
BUFFER_SHARE = 0.4
MIN_BUFFER_SHARE = 1 / 16
# The same for the answers of requests that wait behind another one on their connection.
PIPELINE_SHARE = 0.1
MIN_PIPELINE_SHARE = 1 / 64
# Shares of a connection's bytes for its buffered body, and for each of two reads: one that waits
# and one that is being parsed.
BODY_SHARE = 1 / 2
READ_SHARE = 1 / 4
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


class ConnectionAllowance:
    """How much each client connection may make the node hold, whatever it is used for.

    One budget, a share of what the memory limit leaves beside the process itself, is divided by the
    number of connections that may hold something at once. So any mix of partly read messages,
    buffered bodies and transfers stays within it. Another one is for answers that wait behind an
    earlier one of their connection (`pipelining`). The rest of the limit is for the objects of the
    connections. What a connection may not hold waits with its sender (TCP flow control): nothing
    is refused for it.
    """

    def __init__(self, limit: int, process_bytes: Optional[int], connections: int) -> None:
        """limit: of the process's memory, in bytes. process_bytes: what it uses without
        connections, None if unknown. connections: that may hold something at once.
        """
        self._limit = limit
        self._process_bytes = PROCESS_BYTES if process_bytes is None else process_bytes
        self._connections = max(1, connections)
        self._open_connections = 0
        self._other_processes = 0
        # Limits of a read, a buffered body and a piece of a transfer, kept because each request
        # needs them.
        self._read_bytes = self._piece_bytes = MIN_READ_BYTES
        self.buffer_limit = MIN_READ_BYTES  # largest body that is buffered completely
        self._update()

    @property
    def total(self) -> int:
        """Bytes for all connections together."""
        return max(int(BUFFER_SHARE * self._free), int(MIN_BUFFER_SHARE * self._limit))

    @property
    def pipeline_total(self) -> int:
        """Bytes for the answers of all requests that wait behind another one together."""
        return max(int(PIPELINE_SHARE * self._free), int(MIN_PIPELINE_SHARE * self._limit))

    @property
    def _free(self) -> int:
        return self._limit - self._process_bytes * (1 + self._other_processes)

    @property
    def each(self) -> int:
        """Bytes for one connection."""
        return max(MIN_READ_BYTES, self.total // max(self._connections, self._open_connections))

    def set_process_bytes(self, process_bytes: Optional[int]) -> None:
        """Set what the process uses without connections; None leaves it as it is."""
        if process_bytes is not None:
            self._process_bytes = process_bytes
            self._update()

    def set_open_connections(self, count: int) -> None:
        """Set the number of open client connections."""
        most = max(self._connections, self._open_connections)
        self._open_connections = count
        if max(self._connections, count) != most:
            self._update()

    def set_other_processes(self, count: int) -> None:
        """Set the number of the node's other processes, which share its limit."""
        self._other_processes = count
        self._update()

    def _update(self) -> None:
        each = self.each
        self._read_bytes = max(MIN_READ_BYTES, int(each * READ_SHARE))
        self._piece_bytes = max(MIN_READ_BYTES, each // PIECES_PER_TRANSFER)
        self.buffer_limit = min(
            MAX_BUFFERED_BODY_BYTES, max(MIN_READ_BYTES, int(each * BODY_SHARE))
        )

    def read_limit(self, most: int) -> int:
        """Return the limit of one read of a message whose size isn't known, `most` at most."""
        return min(most, self._read_bytes)

    def transfer_read_limit(self, most: int) -> int:
        """Return the limit of one read of a body that is streamed, `most` at most."""
        return min(most, self._piece_bytes)
