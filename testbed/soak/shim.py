"""Builds and controls the LD_PRELOAD library `shim.c`, which makes system calls fail.

Needs a C compiler (`cc`).
"""

from __future__ import annotations

import ctypes
import errno
import mmap
import shutil
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
# As a number of failures: until the call is restored.
FOREVER = -1


class ShimError(Exception):
    """The library cannot be built on this machine."""


class SystemCall(IntEnum):
    """The calls that can be made to fail; the values are those of the enum in `shim.c`."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    SEND = 3
    RECV = 4


class _Call(ctypes.Structure):
    """The state of one call; the layout is that of `Call` in `shim.c`."""

    _fields_ = [
        ("error", ctypes.c_int32),
        ("remaining", ctypes.c_int32),
        ("failures", ctypes.c_int32),
        ("short_io", ctypes.c_int32),
    ]


class _Control(ctypes.Structure):
    """The shared control block; the layout is that of `Control` in `shim.c`."""

    _fields_ = [
        ("calls", _Call * len(SystemCall)),
        ("stall_ms", ctypes.c_int32),
        ("stalls_remaining", ctypes.c_int32),
        ("wall_step_ms", ctypes.c_int64),
        ("core_share_permille", ctypes.c_int32),
    ]


def build(folder: Path) -> Path:
    """Compile the library into a folder and return its path.

    Raises ShimError where there is no compiler or the compilation fails.
    """
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
    """Controls the library in one process.

    `environment` holds the environment variables that load the library there.
    """

    def __init__(self, library: Path, control: Path) -> None:
        """Create the control block in the file `control`; each process needs its own file."""
        control.write_bytes(bytes(ctypes.sizeof(_Control)))
        self._file = control.open("r+b")
        self._map = mmap.mmap(self._file.fileno(), 0)
        self._control = _Control.from_buffer(self._map)
        self.environment = {"LD_PRELOAD": str(library), "GRADESHIFT_SHIM": str(control)}

    def fail(self, call: SystemCall, error: int, times: int = FOREVER) -> None:
        """Let the next `times` calls fail with the errno `error`."""
        slot = self._control.calls[call]
        slot.remaining = 0
        slot.error = error
        slot.remaining = times

    def restore(self, call: SystemCall) -> None:
        """Let the call succeed again."""
        self._control.calls[call].remaining = 0

    def failure_count(self, call: SystemCall) -> int:
        """How many times a call was made to fail."""
        return int(self._control.calls[call].failures)

    def move_single_bytes(self, on: bool) -> None:
        """Turn on or off that each read and each write moves a single byte."""
        for call in (SystemCall.SEND, SystemCall.RECV):
            self._control.calls[call].short_io = on

    def stall_writes(self, stall_ms: int, times: int) -> None:
        """Delay each of the next `times` writes by `stall_ms`."""
        self._control.stall_ms = stall_ms
        self._control.stalls_remaining = times

    def step_wall_clock(self, by_ms: int) -> None:
        """Offset the wall clock by `by_ms`; the monotonic clock is unaffected."""
        self._control.wall_step_ms = by_ms

    def limit_core_share(self, share: float) -> None:
        """Limit the process to a share of a core, above 0 and up to 1.

        The time until its first poll is not limited.
        """
        self._control.core_share_permille = max(1, round(1000.0 * share))

    def close(self) -> None:
        """Unmap the control block; the process keeps the present settings."""
        del self._control
        self._map.close()
        self._file.close()


LOCAL_CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
"""Errors of connect whose cause is on the local machine."""
ACCEPT_ERRORS = (
    errno.ECONNABORTED,
    errno.ENFILE,
    errno.EMFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EINTR,
)
"""Temporary errors of accept."""
