"""Errors of system calls told apart by whose fault they are (socket(2), connect(2), send(2), recv(2), tcp(7))."""

from __future__ import annotations

import errno

LOCAL_ERRNOS = frozenset(
    {
        errno.EADDRNOTAVAIL,  # no local port is free
        errno.EMFILE,
        errno.ENFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,  # no route for the moment
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)
"""Shortages of this machine for the moment: they say nothing of the peer, and the same call may succeed a little later."""

NO_BUFFER_ERRNOS = frozenset({errno.ENOBUFS, errno.ENOMEM})
"""The kernel has no memory for a read or a write now; the connection is as it was."""


def error_name(error: OSError) -> str:
    """A short name for counts and logs: the errno's, or the exception's where it has none."""
    return errno.errorcode.get(error.errno or 0, type(error).__name__)
