"""Virtual journals: files that several virtual processes share, in memory."""

from __future__ import annotations

import errno
from typing import Protocol

from testbed.machine.net import os_error


class Owner(Protocol):
    """The process that appends to a file."""

    @property
    def alive(self) -> bool:
        """Whether it has not ended."""
        ...


class SharedFile:
    """One journal."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        self.data = bytearray()
        self.closed = False


class SharedFiles:
    """The journals of one node, by name. `failing` makes every write fail."""

    def __init__(self) -> None:
        self.files: dict[str, SharedFile] = {}
        self.failing = False


class VirtualFolder:
    """See `corkshift.seam.journals.JournalFolder`."""

    def __init__(self, shared: SharedFiles, process: Owner) -> None:
        self._shared = shared
        self._process = process

    def names(self) -> list[str]:
        """See JournalFolder."""
        return list(self._shared.files)

    def create(self, token: str) -> VirtualOwnFile:
        """See JournalFolder."""
        self._shared.files[token] = SharedFile(self._process)
        return VirtualOwnFile(self._shared, token)

    def open(self, name: str) -> VirtualReadFile:
        """See JournalFolder."""
        if name not in self._shared.files:
            raise os_error(errno.ENOENT)
        return VirtualReadFile(self._shared, name)


class VirtualOwnFile:
    """See `corkshift.seam.journals.OwnJournal`."""

    def __init__(self, shared: SharedFiles, name: str) -> None:
        self.name = name
        self._shared = shared
        self._file = shared.files[name]

    def append(self, data: bytes) -> int:
        """See OwnJournal."""
        if self._shared.failing:
            raise os_error(errno.ENOSPC)
        self._file.data += data
        return len(data)

    def close(self) -> None:
        """See OwnJournal."""
        self._file.closed = True
        self._shared.files.pop(self.name, None)


class VirtualReadFile:
    """See `corkshift.seam.journals.PeerJournal`."""

    def __init__(self, shared: SharedFiles, name: str) -> None:
        self._shared = shared
        self._name = name
        self._file = shared.files[name]
        self._position = 0

    @property
    def owner_alive(self) -> bool:
        """See PeerJournal."""
        return self._file.owner.alive and not self._file.closed

    def read(self) -> bytes:
        """See PeerJournal."""
        data = bytes(self._file.data[self._position :])
        self._position += len(data)
        return data

    def close(self, remove: bool) -> None:
        """See PeerJournal."""
        if remove:
            self._shared.files.pop(self._name, None)
