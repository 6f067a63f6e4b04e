"""System interface: the only module through which the node accesses the operating system.

Clocks, sockets, files, the environment and signals are accessed here; timers and socket readiness
go through the running asyncio loop. No other code in `corkshift` or `forkweir` may call the system
directly (tests/test_seam.py scans for it). There are two implementations of `SystemInterface`: the
real one, `System`, and a virtual one in the package `testbed`, which runs the same code on virtual
time. The current implementation is held in a context variable, so that many virtual processes can
share one loop, each with a clock, sockets and files of its own.

Cost: one context look-up and one call for each clock reading and each new socket. Reads and writes
go directly to the socket and cost nothing extra.
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
from typing import TYPE_CHECKING, Any, Optional, Protocol, cast

if TYPE_CHECKING:
    from corkshift.seam.journals import JournalFolder

Address = tuple[str, int]  # IPv4 address and port
# tcpi_last_data_recv of struct tcp_info (linux/tcp.h), in ms.
_LAST_DATA_RECEIVED = struct.Struct("52xI")
# tcpi_state: TCP_ESTABLISHED and TCP_CLOSE_WAIT (include/net/tcp_states.h).
_READABLE_STATES = {1, 8}
_TCP_INFO_SIZE = _LAST_DATA_RECEIVED.size
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# POLLRDHUP reports the end of the stream even while received data is still unread.
_CLOSED_BY_PEER_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR


class Socket(Protocol):
    """The methods of a non-blocking socket that the node uses.

    Names and errors are those of `socket.socket`.
    """

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
    """Access to the operating system, real or virtual."""

    def now_ms(self) -> float:
        """Unix time in ms, which never goes back.

        The wall clock is read once at the process's start; the monotonic clock advances it.
        """
        ...

    def tcp_socket(self) -> Socket:
        """A new non-blocking TCP socket; OSError where no descriptors are left."""
        ...

    def udp_socket(self) -> Socket:
        """A new non-blocking UDP socket; OSError where no descriptors are left."""
        ...

    def inherited_listener(self, descriptor: int) -> Socket:
        """The listening TCP socket that this process inherited from its parent.

        Raises OSError where the descriptor is not a listening TCP socket.
        """
        ...

    def closed_by_peer(self, sock: Any) -> bool:
        """Whether the peer has closed a TCP connection, even if received data is still unread."""
        ...

    def ms_since_last_receive(self, sock: Any) -> Optional[float]:
        """Time since a TCP connection last received data, in ms; None where it is unknown."""
        ...

    def read_file(self, path: str) -> bytes:
        """The content of a file; OSError as raised by `open`."""
        ...

    def environ(self) -> Mapping[str, str]:
        """The environment variables of the process."""
        ...

    def process_id(self) -> int:
        """The number of the process, as logs and operators name it."""
        ...

    def journal_folder(self, name: str) -> Optional[JournalFolder]:
        """The folder that the processes of the node `name` share; None where there is none.

        Raises OSError where it can't be created.
        """
        ...

    def memory_bytes(self) -> Optional[int]:
        """Memory of this process in bytes, without mapped files; None where it is unknown."""
        ...

    def random_bytes(self, size: int) -> bytes:
        """`size` cryptographically secure random bytes."""
        ...

    def unix_listener(self, path: str) -> Socket:
        """A bound Unix socket at a path, accessible by this user only.

        Replaces a socket file left behind by a process that has ended. Raises OSError where the
        path can't be bound or another process listens there.
        """
        ...


class System:
    """The implementation of `SystemInterface` for the real operating system."""

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
            raise OSError(errno.EINVAL, f"descriptor {descriptor} is not a listening TCP socket")
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
            # In other states the kernel's value doesn't describe received data.
            return None
        return float(_LAST_DATA_RECEIVED.unpack_from(info)[0])

    def read_file(self, path: str) -> bytes:
        return Path(path).read_bytes()

    def environ(self) -> Mapping[str, str]:
        return os.environ

    def process_id(self) -> int:
        return os.getpid()

    def journal_folder(self, name: str) -> Optional[JournalFolder]:
        # Imported only where processes share a listening socket.
        from corkshift.seam.locked_files import shared_folder

        return shared_folder(os.environ, name)

    def memory_bytes(self) -> Optional[int]:
        try:
            resident, shared = Path("/proc/self/statm").read_text().split()[1:3]
        except (OSError, ValueError):
            return None
        return (int(resident) - int(shared)) * _PAGE_BYTES

    def random_bytes(self, size: int) -> bytes:
        return os.urandom(size)

    def unix_listener(self, path: str) -> Socket:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe_socket:
            try:
                probe_socket.connect(path)
            except FileNotFoundError:
                pass
            except ConnectionRefusedError:
                os.unlink(path)  # no process listens there any more
            else:
                raise OSError(errno.EADDRINUSE, f"{path}: another process listens on this socket")
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
    """Set the implementation for the current context and the tasks and timers it starts later."""
    CURRENT_SYSTEM.set(system)


def now_ms() -> float:
    """Unix time in ms, which never goes back.

    It is comparable with `startedAtMs` of discovery, and timers hold when the wall clock is set.
    """
    return CURRENT_SYSTEM.get().now_ms()


def tcp_socket() -> Socket:
    """A new non-blocking TCP socket."""
    return CURRENT_SYSTEM.get().tcp_socket()


def udp_socket() -> Socket:
    """A new non-blocking UDP socket."""
    return CURRENT_SYSTEM.get().udp_socket()


def closed_by_peer(sock: Socket) -> bool:
    """Whether the peer has closed a TCP connection, even if received data is still unread."""
    return CURRENT_SYSTEM.get().closed_by_peer(sock)


def ms_since_last_receive(sock: Socket) -> Optional[float]:
    """Time since a TCP connection last received data, in ms; None where it is unknown."""
    return CURRENT_SYSTEM.get().ms_since_last_receive(sock)


def read_file(path: str) -> bytes:
    """The content of a file; OSError as raised by `open`."""
    return CURRENT_SYSTEM.get().read_file(path)


def environ() -> Mapping[str, str]:
    """The environment variables of the process."""
    return CURRENT_SYSTEM.get().environ()


def process_id() -> int:
    """The number of this process."""
    return CURRENT_SYSTEM.get().process_id()


def journal_folder(name: str) -> Optional[JournalFolder]:
    """The folder that the processes of the node `name` share; None where there is none."""
    return CURRENT_SYSTEM.get().journal_folder(name)


def memory_bytes() -> Optional[int]:
    """Memory of this process in bytes, without mapped files; None where it is unknown."""
    return CURRENT_SYSTEM.get().memory_bytes()


def random_bytes(size: int) -> bytes:
    """`size` cryptographically secure random bytes."""
    return CURRENT_SYSTEM.get().random_bytes(size)


def unix_listener(path: str) -> Socket:
    """A bound Unix socket at a path, accessible by this user only."""
    return CURRENT_SYSTEM.get().unix_listener(path)


async def connect(sock: Socket, address: Address) -> None:
    """Connect a socket; OSError when the connection fails.

    There is no time-out: without an answer from the peer it waits until it is cancelled.
    """
    await asyncio.get_running_loop().sock_connect(cast(socket.socket, sock), address)


def bind_listener(address: Address, buffer_bytes: int) -> Socket:
    """A bound TCP socket, whose connections inherit its kernel buffer sizes.

    It does not listen yet: the caller calls `listen`. Raises OSError, with the address in the
    message, where the address can't be bound.
    """
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
    """The listening socket that the platform passed to this process, with limited kernel buffers.

    Raises OSError where the descriptor is not a listening TCP socket.
    """
    sock = CURRENT_SYSTEM.get().inherited_listener(descriptor)
    limit_buffers(sock, buffer_bytes)
    return sock


def limit_buffers(sock: Socket, buffer_bytes: int) -> None:
    """Fix the sizes of a socket's kernel buffers.

    Otherwise the kernel grows them to megabytes, which count as the node's memory.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
