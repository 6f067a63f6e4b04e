"""One budget for the bytes of all request bodies that are held at once."""

from __future__ import annotations

LONGEST = 65_536  # bytes of the longest body that is held whole, in either direction,
PIECES = 1_024  # and the pieces it may come in, unless they are of a fair size
FAIR_PIECE = 16  # bytes, on average (guards against one-byte chunks, each of which costs a turn of the parser)
BULK = 1 << 25  # bytes of the longest body that is passed on in pieces


def crumbs(pieces: int, size: int) -> bool:
    """Whether a body of so many bytes comes in too small pieces."""
    return pieces > PIECES and pieces * FAIR_PIECE > size


class BodyBudget:
    """Counts the bytes of all request bodies that are held.

    Guards against memory filled by many bodies at once. A body that finds no room is turned away and never waits (guards
    against partial bodies that wait for one another).
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.used = 0

    def take(self, more: int) -> bool:
        """Whether there is room for this much more; it is taken if so."""
        if self.used + more > self._limit:
            return False
        self.used += more
        return True

    def give(self, held: int) -> None:
        """A body is let go."""
        self.used -= held
