"""Injected failures of a virtual process's system calls.

The errors are those that Linux documents for accept(2), socket(2), connect(2), send(2) and
recv(2). EINTR is not among them: the standard library retries such a call itself (PEP 475), so
that a program never sees it.
"""

from __future__ import annotations

import errno
import os
from dataclasses import dataclass
from enum import StrEnum


class Call(StrEnum):
    """System calls that can be made to fail."""

    ACCEPT = "accept"
    SOCKET = "socket"
    CONNECT = "connect"
    SEND = "send"
    RECV = "recv"


_RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
ERRORS: dict[Call, tuple[int, ...]] = {
    Call.ACCEPT: (errno.ECONNABORTED, *_RESOURCE_ERRORS),
    Call.SOCKET: _RESOURCE_ERRORS,
    Call.CONNECT: (
        errno.EADDRNOTAVAIL,
        errno.ENETUNREACH,
        errno.ENOBUFS,
        errno.EHOSTUNREACH,
        errno.ETIMEDOUT,
    ),
    Call.SEND: (errno.ENOBUFS, errno.ENOMEM),
    Call.RECV: (errno.ENOBUFS, errno.ENOMEM),
}
CALL_ERRORS: tuple[tuple[Call, int], ...] = tuple(
    (call, error) for call, errors in ERRORS.items() for error in errors
)
"""Every pair of call and error; the value of a `node_calls` fault is an index into it."""


@dataclass(slots=True)
class _InjectedFailure:
    error: int
    until_us: int
    remaining: int  # calls that still fail at most; negative: no limit


class CallFaults:
    """Injected system call failures of one process; `injected` counts the calls that failed."""

    def __init__(self) -> None:
        self._failures: dict[Call, _InjectedFailure] = {}
        self.injected = 0

    def fail(self, call: Call, error: int, until_us: int, times: int = -1) -> None:
        """Make a call fail until a time, at most `times` times (negative: no limit)."""
        self._failures[call] = _InjectedFailure(error, until_us, times)

    def check(self, call: Call, now_us: int) -> None:
        """Raise the injected OSError if the call is to fail at this time."""
        failure = self._failures.get(call)
        if failure is None:
            return
        if now_us >= failure.until_us or not failure.remaining:
            del self._failures[call]
            return
        failure.remaining -= 1
        self.injected += 1
        raise OSError(failure.error, os.strerror(failure.error))
