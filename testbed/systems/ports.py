"""TCP ports on loopback for real processes that bind them by themselves."""

from __future__ import annotations

import socket

HOST = "127.0.0.1"

# Bound and not listening, until this process ends. The system gives such a port to nobody who asks
# for any port, while a process that sets SO_REUSEADDR can bind it and listen.
_reservations: list[socket.socket] = []


def reserve_port() -> int:
    """Return a port that only those can bind who name it, for as long as this process runs."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    _reservations.append(sock)
    port: int = sock.getsockname()[1]
    return port
