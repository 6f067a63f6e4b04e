"""Journals on the real system: files in `$TMPDIR`, each locked by its owner.

The kernel releases the lock (flock(2)) when the owner ends, however it ends.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Optional

from corkshift.paced_import import FOLDER_PREFIX, is_locked

READ_BYTES = 65_536
FILE_SUFFIX = ".journal"


class LockedFolder:
    """A folder of journals; see `journals.JournalFolder`."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def __str__(self) -> str:
        return str(self._path)

    def names(self) -> list[str]:
        """See JournalFolder."""
        return [name for name in os.listdir(self._path) if name.endswith(FILE_SUFFIX)]

    def create(self, token: str) -> LockedFile:
        """See JournalFolder."""
        return LockedFile(self._path, token)

    def open(self, name: str) -> ReadFile:
        """See JournalFolder."""
        return ReadFile(self._path / name)


def shared_folder(environ: Mapping[str, str], name: str) -> Optional[LockedFolder]:
    """The folder that the processes of one node share in `$TMPDIR`, created where it is missing.

    None where `$TMPDIR` is not set. Raises OSError where the folder can't be created.
    """
    temporary = environ.get("TMPDIR")
    if not temporary:
        return None
    folder = Path(temporary) / f"{FOLDER_PREFIX}{name.replace('/', '_')}"
    folder.mkdir(mode=0o700, exist_ok=True)
    return LockedFolder(folder)


class LockedFile:
    """The journal of this process; see `journals.OwnJournal`."""

    def __init__(self, folder: Path, token: str) -> None:
        """Create and lock it. Raises OSError.

        It gets its name once it is locked, since an unlocked journal is taken for that of a process
        that has ended.
        """
        self.name = token + FILE_SUFFIX
        self._path = folder / self.name
        hidden = folder / token
        self._descriptor = os.open(
            hidden, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600
        )
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.rename(hidden, self._path)
        except OSError:
            os.close(self._descriptor)
            raise

    def append(self, data: bytes) -> int:
        """See OwnJournal."""
        return os.write(self._descriptor, data)

    def close(self) -> None:
        """See OwnJournal. Releases the lock."""
        _remove(self._path)
        os.close(self._descriptor)


class ReadFile:
    """The journal of another process; see `journals.PeerJournal`."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)

    @property
    def owner_alive(self) -> bool:
        """See PeerJournal."""
        return is_locked(self._descriptor)

    def read(self) -> bytes:
        """See PeerJournal; at most READ_BYTES."""
        return os.read(self._descriptor, READ_BYTES)

    def close(self, remove: bool) -> None:
        """See PeerJournal."""
        if remove:
            _remove(self._path)
        os.close(self._descriptor)


def _remove(path: Path) -> None:
    """Remove a journal; one that is gone or can't be removed is left."""
    try:
        os.unlink(path)
    except OSError:
        return
