"""Where a node learns of cache servers: the box list, DNS SRV records, a file, and the one set that follows from them.

A source tells a `Sink` full views or changes, and says when it fails. What is believed is decided in `forkweir/known/membership.py`.
Off unless an operator's file has `[sources]` (docs/sources.md).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from forkweir.known.membership import Claim


class Sink(Protocol):
    """Whom sources tell."""

    def update(self, source: str, claims: Iterable[Claim], full: bool = True) -> None:
        """All boxes that a source knows of, or (not full) only some, the others as before."""
        ...

    def failed(self, source: str, reason: str) -> None:
        """The source can't be asked, or made no sense; one line."""
        ...


class Source(Protocol):
    """What a node learns of boxes from, on its own time."""

    def start(self) -> None:
        """Begin to tell, on the running loop."""
        ...

    def close(self) -> None:
        """End: nothing is told any more, and nothing of it is left running."""
        ...
