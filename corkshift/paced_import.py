"""Imports the program in steps with pauses, for a process that starts beside another of its node.

Loading the program takes some 0.3 s of processor time. During an upgrade the processes of a node
share a core, and the one that serves would be slow meanwhile; the one that starts has time.
Imports nothing that is costly itself.
"""

from __future__ import annotations

import fcntl
import importlib
import os
import time
from collections.abc import Mapping

FOLDER_PREFIX = "gradeshift-"  # of the folder in `$TMPDIR` that the processes of a node share
# Pause after each step, as a multiple of the processor time that it took, and the sum of all.
PAUSE_FACTOR = 7.0
MAX_PAUSES_S = 5.0
# In an order in which none loads much more than itself.
STEPS = (
    "logging",
    "asyncio.events",
    "ssl",
    "asyncio",
    "h11",
    "orjson",
    "msgspec",
    "uvloop",
    "corkshift.seam",
    "forkweir.line",
    "forkweir.placement",
    "forkweir.known.health",
    "forkweir.known.outcomes",
    "forkweir.fleet",
    "forkweir.choice",
    "forkweir.adapter",
    "corkshift.config",
    "corkshift.listing",
    "corkshift.upstream",
    "corkshift.address_book",
    "corkshift.discovery",
    "corkshift.client_connection",
    "corkshift.frontend",
    "corkshift.handover",
    "corkshift.admin",
    "corkshift.service",
    "corkshift.seam.process",
)


def is_locked(descriptor: int) -> bool:
    """Whether another process holds the lock of an open file; true where the system can't tell."""
    try:
        fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except OSError:
        return True
    fcntl.flock(descriptor, fcntl.LOCK_UN)
    return False


def _is_locked_file(path: str) -> bool:
    descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    try:
        return is_locked(descriptor)
    finally:
        os.close(descriptor)


def starts_beside_another(environ: Mapping[str, str]) -> bool:
    """Whether the platform holds the listening socket and another process of the node runs, which
    has locked its journal (`corkshift.handover`).
    """
    temporary = environ.get("TMPDIR")
    if not temporary or "PROXY_SOCKET_FD" not in environ:
        return False
    try:
        return any(
            _is_locked_file(os.path.join(temporary, folder, name))
            for folder in os.listdir(temporary)
            if folder.startswith(FOLDER_PREFIX)
            for name in os.listdir(os.path.join(temporary, folder))
        )
    except OSError:
        return False


def import_in_steps() -> None:
    """Import the modules of the program, with pauses between them."""
    pauses_left_s = MAX_PAUSES_S
    for name in STEPS:
        began_s = time.process_time()
        importlib.import_module(name)
        pause_s = min(pauses_left_s, PAUSE_FACTOR * (time.process_time() - began_s))
        pauses_left_s -= pause_s
        time.sleep(pause_s)


def prepare() -> None:
    """Import in steps where this process starts beside another one of its node."""
    if starts_beside_another(os.environ):
        import_in_steps()
