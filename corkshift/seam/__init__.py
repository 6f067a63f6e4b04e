"""The seam: the one place through which the node touches the system.

Clocks, sockets, files, the environment and signals are reached here, timers and readiness through the running asyncio
loop, and nothing in `corkshift` or `forkweir` goes past either (tests/test_seam.py scans for it). There is a real side,
`System`, and a virtual one in the package `testbed`, on which the same code runs on virtual time. Which side is in force
is a context variable, so that many virtual processes share one loop, each with a clock, sockets and files of its own.

Bounds: the seam adds one look-up and one call to each reading of the clock and each new socket, and nothing to a read or
a write, which go to the socket itself.
"""

from __future__ import annotations

import asyncio
import errno
import os
import select
import socket
import struct
import time
from collections.abc import Mapping
from contextvars import ContextVar
from pathlib import Path
from typing import Any, Optional, Protocol, cast

Address = tuple[str, int]
_LAST_DATA_RECEIVED = struct.Struct(
    "52xI"
)  # tcpi_last_data_recv of struct tcp_info (linux/tcp.h), in ms
_READABLE_STATES = {
    1,
    8,
}  # tcpi_state: TCP_ESTABLISHED and TCP_CLOSE_WAIT (include/net/tcp_states.h)
_TCP_INFO_SIZE = _LAST_DATA_RECEIVED.size
_CLOSED_BY_PEER_EVENTS = (
    getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR
)  # the peer's end counts before what it sent is read


class Socket(Protocol):
    """What the node uses of a non-blocking socket, in the words and with the errors of the standard library."""

    def fileno(self) -> int: ...
    def setblocking(self, flag: bool, /) -> None: ...
    def setsockopt(self, level: int, option: int, value: Any, /) -> None: ...
    def bind(self, address: Any, /) -> None: ...
    def listen(self, backlog: int = ..., /) -> None: ...
    def accept(self) -> tuple[Any, Any]: ...
    def getsockname(self) -> Any: ...
    def send(self, data: Any, /) -> int: ...
    def recv_into(self, buffer: Any, /) -> int: ...
    def sendto(self, data: Any, address: Any, /) -> int: ...
    def recvfrom(self, size: int, /) -> tuple[bytes, Any]: ...
    def shutdown(self, how: int, /) -> None: ...
    def close(self) -> None: ...


class SystemInterface(Protocol):
    """One side of the seam."""

    def now_ms(self) -> float:
        """Unix time in ms, fixed at the process's start and carried on by the monotonic clock: it never goes back."""
        ...

    def tcp_socket(self) -> Socket:
        """A new non-blocking TCP socket; OSError where there are no descriptors left."""
        ...

    def udp_socket(self) -> Socket:
        """A new non-blocking UDP socket; OSError as above."""
        ...

    def inherited_listener(self, descriptor: int) -> Socket:
        """The listening TCP socket that this process was started with; OSError where the descriptor is none."""
        ...

    def closed_by_peer(self, sock: Any) -> bool:
        """Whether the other side of a TCP connection has ended it, whatever stands unread before that end."""
        ...

    def ms_since_last_receive(self, sock: Any) -> Optional[float]:
        """How long ago the last bytes of a TCP connection came in; None where the system can't tell."""
        ...

    def read_file(self, path: str) -> bytes:
        """A file's content; OSError as `open` raises it."""
        ...

    def environ(self) -> Mapping[str, str]:
        """The process's environment."""
        ...

    def random_bytes(self, size: int) -> bytes:
        """So many bytes that nobody can guess."""
        ...

    def unix_listener(self, path: str) -> Socket:
        """A bound Unix socket at a path, for this user alone; one left behind by a process that is gone is replaced. OSError."""
        ...


class System:
    """The real side: the operating system."""

    __slots__ = ("_start_ms",)

    def __init__(self) -> None:
        self._start_ms = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now_ms(self) -> float:
        return self._start_ms + time.monotonic() * 1000.0

    def tcp_socket(self) -> Socket:
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

    def udp_socket(self) -> Socket:
        return socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)

    def inherited_listener(self, descriptor: int) -> Socket:
        sock = socket.socket(fileno=descriptor)
        if sock.type != socket.SOCK_STREAM or not sock.getsockopt(
            socket.SOL_SOCKET, socket.SO_ACCEPTCONN
        ):
            sock.detach()
            raise OSError(errno.EINVAL, f"descriptor {descriptor} is no listening TCP socket")
        sock.setblocking(False)
        sock.set_inheritable(False)
        return sock

    def closed_by_peer(self, sock: Any) -> bool:
        poll = select.poll()
        poll.register(sock, _CLOSED_BY_PEER_EVENTS)
        return any(event & _CLOSED_BY_PEER_EVENTS for _, event in poll.poll(0))

    def ms_since_last_receive(self, sock: Any) -> Optional[float]:
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_SIZE)
        except OSError:
            return None
        if len(info) < _TCP_INFO_SIZE or info[0] not in _READABLE_STATES:
            return None  # not the state of a connection from which there is something to read: the figures are not its own
        return float(_LAST_DATA_RECEIVED.unpack_from(info)[0])

    def read_file(self, path: str) -> bytes:
        return Path(path).read_bytes()

    def environ(self) -> Mapping[str, str]:
        return os.environ

    def random_bytes(self, size: int) -> bytes:
        return os.urandom(size)

    def unix_listener(self, path: str) -> Socket:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe_socket:
            try:
                probe_socket.connect(path)
            except FileNotFoundError:
                pass
            except ConnectionRefusedError:
                os.unlink(path)  # nobody listens there any more
            else:
                raise OSError(errno.EADDRINUSE, f"{path}: another process listens there")
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        previous_mask = os.umask(0o177)
        try:
            sock.bind(path)
        except OSError as error:
            sock.close()
            raise OSError(error.errno, f"{path}: {error.strerror}") from None
        finally:
            os.umask(previous_mask)
        return sock


_SYSTEM: SystemInterface = System()
CURRENT_SYSTEM: ContextVar[SystemInterface] = ContextVar("corkshift_seam", default=_SYSTEM)


def set_system(system: SystemInterface) -> None:
    """Put a side in force for the current context, and for the tasks and timers that it starts from here on."""
    CURRENT_SYSTEM.set(system)


def now_ms() -> float:
    """Unix time in milliseconds that never goes back (so `startedAtMs` compares and timers hold)."""
    return CURRENT_SYSTEM.get().now_ms()


def tcp_socket() -> Socket:
    """A new non-blocking TCP socket."""
    return CURRENT_SYSTEM.get().tcp_socket()


def udp_socket() -> Socket:
    """A new non-blocking UDP socket."""
    return CURRENT_SYSTEM.get().udp_socket()


def closed_by_peer(sock: Socket) -> bool:
    """Whether the other side of a TCP connection has ended it, whatever stands unread before that end."""
    return CURRENT_SYSTEM.get().closed_by_peer(sock)


def ms_since_last_receive(sock: Socket) -> Optional[float]:
    """How long ago the last bytes of a TCP connection came in; None where the system can't tell."""
    return CURRENT_SYSTEM.get().ms_since_last_receive(sock)


def read_file(path: str) -> bytes:
    """A file's content."""
    return CURRENT_SYSTEM.get().read_file(path)


def environ() -> Mapping[str, str]:
    """The process's environment."""
    return CURRENT_SYSTEM.get().environ()


def random_bytes(size: int) -> bytes:
    """So many bytes that nobody can guess."""
    return CURRENT_SYSTEM.get().random_bytes(size)


def unix_listener(path: str) -> Socket:
    """A bound Unix socket at a path."""
    return CURRENT_SYSTEM.get().unix_listener(path)


async def connect(sock: Socket, address: Address) -> None:
    """Connect a socket; OSError when it is refused. Never answered, it waits until it is cancelled."""
    await asyncio.get_running_loop().sock_connect(cast(socket.socket, sock), address)


def bind_listener(address: Address, buffer_bytes: int) -> Socket:
    """A bound TCP socket whose connections inherit these buffer sizes (bytes); it listens once told to. OSError if taken."""
    sock = tcp_socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        limit_buffers(sock, buffer_bytes)
        sock.bind(address)
    except OSError as error:
        sock.close()
        raise OSError(error.errno, f"{address[0]}:{address[1]}: {error.strerror}") from None
    return sock


def inherited_listener(descriptor: int, buffer_bytes: int) -> Socket:
    """The listening socket that the platform holds and this process was started with; as `listen` otherwise."""
    sock = CURRENT_SYSTEM.get().inherited_listener(descriptor)
    limit_buffers(sock, buffer_bytes)
    return sock


def limit_buffers(sock: Socket, buffer_bytes: int) -> None:
    """Keep the kernel from growing a socket's buffers to megabytes (they count as the node's memory)."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
