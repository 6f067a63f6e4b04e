"""Interface of journals: files that the processes of a node share, each written by its owner."""

from __future__ import annotations

from typing import Protocol


class OwnJournal(Protocol):
    """The journal of this process."""

    @property
    def name(self) -> str:
        """Its name in the folder."""
        ...

    def append(self, data: bytes) -> int:
        """Append bytes and return how many were written. Raises OSError."""
        ...

    def close(self) -> None:
        """Remove it; other processes that have it open still can read it."""
        ...


class PeerJournal(Protocol):
    """The journal of another process, read from its start."""

    @property
    def owner_alive(self) -> bool:
        """Whether its owner still runs; true where the system can't tell."""
        ...

    def read(self) -> bytes:
        """The bytes appended since the last read, b"" where there are none. Raises OSError."""
        ...

    def close(self, remove: bool) -> None:
        """Close it; remove: its owner has ended without removing it."""
        ...


class JournalFolder(Protocol):
    """The folder that the processes of a node share."""

    def names(self) -> list[str]:
        """The names of all journals. Raises OSError."""
        ...

    def create(self, token: str) -> OwnJournal:
        """Create the journal of this process. token: a random name. Raises OSError."""
        ...

    def open(self, name: str) -> PeerJournal:
        """Open the journal of another process. Raises OSError."""
        ...
