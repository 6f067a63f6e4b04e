"""Builds and controls the LD_PRELOAD library of `shim.c`, which makes system calls of a process fail. Needs a C compiler (`cc`)."""

from __future__ import annotations

import ctypes
import errno
import mmap
import shutil
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
FOREVER = -1


class ShimError(Exception):
    """The library cannot be built here."""


class SystemCall(IntEnum):
    """The calls that can be made to fail, in the order of `shim.c`."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    SEND = 3
    RECV = 4


class _Call(ctypes.Structure):
    _fields_ = [
        ("error", ctypes.c_int32),
        ("left", ctypes.c_int32),
        ("hits", ctypes.c_int32),
        ("short_io", ctypes.c_int32),
    ]


class _Control(ctypes.Structure):
    _fields_ = [
        ("calls", _Call * len(SystemCall)),
        ("stall_ms", ctypes.c_int32),
        ("stall_left", ctypes.c_int32),
        ("wall_step_ms", ctypes.c_int64),
        ("core_share_permille", ctypes.c_int32),
    ]


def build(folder: Path) -> Path:
    """Compile the library into a folder; its path. ShimError where there is no compiler or it fails."""
    compiler = shutil.which("cc")
    if compiler is None:
        raise ShimError("no C compiler (cc) is installed")
    library = folder / "shim.so"
    command = [
        compiler,
        "-O1",
        "-Wall",
        "-shared",
        "-fPIC",
        "-o",
        str(library),
        str(SOURCE),
        "-ldl",
    ]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode:
        raise ShimError(done.stderr)
    return library


class Shim:
    """The library in one process: the environment that loads it, and what it does there."""

    def __init__(self, library: Path, control: Path) -> None:
        """control: where the shared settings are kept; one file for each process."""
        control.write_bytes(bytes(ctypes.sizeof(_Control)))
        self._file = control.open("r+b")
        self._map = mmap.mmap(self._file.fileno(), 0)
        self._control = _Control.from_buffer(self._map)
        self.environment = {"LD_PRELOAD": str(library), "GRADESHIFT_SHIM": str(control)}

    def fail(self, call: SystemCall, error: int, times: int = FOREVER) -> None:
        """From now on a call fails with an errno, so many times."""
        slot = self._control.calls[call]
        slot.left = 0
        slot.error = error
        slot.left = times

    def restore(self, call: SystemCall) -> None:
        """The call goes through again."""
        self._control.calls[call].left = 0

    def failure_count(self, call: SystemCall) -> int:
        """How often a call was made to fail."""
        return int(self._control.calls[call].hits)

    def move_single_bytes(self, on: bool) -> None:
        """Let each read and each write move one byte, or as many as it can."""
        for call in (SystemCall.SEND, SystemCall.RECV):
            self._control.calls[call].short_io = on

    def stall_writes(self, stall_ms: int, times: int) -> None:
        """Hold the process up before each of its next writes."""
        self._control.stall_ms = stall_ms
        self._control.stall_left = times

    def step_wall_clock(self, by_ms: int) -> None:
        """Let the wall clock be off by so much; the monotonic clock runs on."""
        self._control.wall_step_ms = by_ms

    def limit_core_share(self, share: float) -> None:
        """From now on the process has this share of a core (above 0, up to 1), its start until the first poll left out."""
        self._control.core_share_permille = max(1, round(1000.0 * share))

    def close(self) -> None:
        """Let the settings go; the process keeps them as they are."""
        del self._control
        self._map.close()
        self._file.close()


LOCAL_CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
"""Errors of connect that are this machine's."""
ACCEPT_ERRORS = (
    errno.ECONNABORTED,
    errno.ENFILE,
    errno.EMFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EINTR,
)
"""Errors of accept that pass."""
