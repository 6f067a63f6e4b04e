"""System calls of a virtual process that fail as Linux documents them (accept(2), socket(2), connect(2), send(2), recv(2)).

EINTR is not among them: the standard library makes such a call again by itself (PEP 475), so that a program never sees it.
"""

from __future__ import annotations

import errno
import os
from dataclasses import dataclass
from enum import StrEnum


class Call(StrEnum):
    """The calls that can be made to fail."""

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
"""Every call with every error, by number: the value of a `node_calls` fault."""


@dataclass(slots=True)
class _Failure:
    error: int
    until_us: int
    remaining: int  # how often at most; below 0: without a bound


class CallFaults:
    """Which calls of one process fail now."""

    def __init__(self) -> None:
        self._failures: dict[Call, _Failure] = {}
        self.injected = 0

    def fail(self, call: Call, error: int, until_us: int, times: int = -1) -> None:
        """From now on a call fails, until then or so often."""
        self._failures[call] = _Failure(error, until_us, times)

    def check(self, call: Call, now_us: int) -> None:
        """OSError where the call fails now."""
        failure = self._failures.get(call)
        if failure is None:
            return
        if now_us >= failure.until_us or not failure.remaining:
            del self._failures[call]
            return
        failure.remaining -= 1
        self.injected += 1
        raise OSError(failure.error, os.strerror(failure.error))
