"""Files that processes on one machine share: each is appended to by one owner, which locks it.

The kernel releases the lock (flock(2)) when the owner ends, however it ends. Only the node's
process on the real system uses this module.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Optional

from corkshift.paced_import import FOLDER_PREFIX

READ_BYTES = 65_536
FILE_SUFFIX = ".journal"


def shared_folder(environ: Mapping[str, str], name: str) -> Optional[Path]:
    """The folder that the processes of one node share in `$TMPDIR`, created where it is missing.

    None where `$TMPDIR` is not set. Raises OSError where the folder can't be created.
    """
    temporary = environ.get("TMPDIR")
    if not temporary:
        return None
    folder = Path(temporary) / f"{FOLDER_PREFIX}{name.replace('/', '_')}"
    folder.mkdir(mode=0o700, exist_ok=True)
    return folder


def journals(folder: Path) -> list[str]:
    """The names of the journals in a folder. Raises OSError."""
    return [name for name in os.listdir(folder) if name.endswith(FILE_SUFFIX)]


class OwnJournal:
    """The journal of this process."""

    def __init__(self, folder: Path, token: str) -> None:
        """Create and lock it. token: a random name. Raises OSError.

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
        """Append bytes and return how many were written. Raises OSError."""
        return os.write(self._descriptor, data)

    def close(self) -> None:
        """Release the lock and remove the journal; other processes that have it open still can
        read it.
        """
        remove_journal(self._path)
        os.close(self._descriptor)


class PeerJournal:
    """The journal of another process, read from its start."""

    def __init__(self, folder: Path, name: str) -> None:
        """Open it. Raises OSError."""
        self._path = folder / name
        self._descriptor = os.open(self._path, os.O_RDONLY | os.O_CLOEXEC)

    @property
    def owner_alive(self) -> bool:
        """Whether its owner still runs; true where the system can't tell."""
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        fcntl.flock(self._descriptor, fcntl.LOCK_UN)
        return False

    def read(self) -> bytes:
        """The bytes appended since the last read, at most READ_BYTES. Raises OSError."""
        return os.read(self._descriptor, READ_BYTES)

    def close(self, remove: bool) -> None:
        """Close it; remove: its owner has ended without removing it."""
        if remove:
            remove_journal(self._path)
        os.close(self._descriptor)


def remove_journal(path: Path) -> None:
    """Remove a journal; one that is gone or can't be removed is left."""
    try:
        os.unlink(path)
    except OSError:
        return
