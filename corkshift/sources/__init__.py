"""Sources of known cache servers: the server list, DNS SRV records and a file, merged into one set.

A source sends a `Sink` complete views or changes, and reports its failures. The merge rules are in
`forkweir/known/membership.py`. Everything here is off unless the operator's file has `[sources]`
(docs/sources.md).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from forkweir.known.membership import Claim


class Sink(Protocol):
    """Receives the views of sources."""

    def update(self, source: str, claims: Iterable[Claim], full: bool = True) -> None:
        """Replace the view of a source by `claims`; where not full, only change the named boxes."""
        ...

    def failed(self, source: str, reason: str) -> None:
        """Report that a source failed or sent invalid data. reason: one line."""
        ...


class Source(Protocol):
    """A source of known boxes, which runs in the background."""

    def start(self) -> None:
        """Start to report, on the running event loop."""
        ...

    def close(self) -> None:
        """Stop reporting and cancel all background work."""
        ...
