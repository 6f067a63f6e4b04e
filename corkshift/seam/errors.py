"""Classifies errors of system calls into local shortages and failures of the peer.

See socket(2), connect(2), send(2), recv(2) and tcp(7).
"""

from __future__ import annotations

import errno

LOCAL_ERRNOS = frozenset(
    {
        errno.EADDRNOTAVAIL,  # no free local port
        errno.EMFILE,
        errno.ENFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,  # no route at the moment
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)
"""Temporary shortages on this machine.

They say nothing about the peer, and the same call may succeed a little later.
"""

NO_BUFFER_ERRNOS = frozenset({errno.ENOBUFS, errno.ENOMEM})
"""The kernel has no memory for a read or a write at the moment; the connection is unaffected."""


def error_name(error: OSError) -> str:
    """A short name for metrics and logs: the errno's name, or the exception's class without one."""
    return errno.errorcode.get(error.errno or 0, type(error).__name__)
