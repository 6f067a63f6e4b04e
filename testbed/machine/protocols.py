"""What the loop, the network and the processes of the virtual machine need of one another.

The loop knows sockets and processes by these, and the network knows processes by them; so that loop, net and process import one another
in that order alone.
"""

from __future__ import annotations

import asyncio
from typing import Any, Optional, Protocol

from testbed.machine.faults import Call


class ProcessProtocol(Protocol):
    """A process, as the loop that runs its code and the network that carries its bytes know it."""

    name: str
    host: str
    wall_clock_offset_ms: float
    state: str
    signal_handlers: dict[int, asyncio.Handle]

    @property
    def running(self) -> bool:
        """Whether its code may run now."""
        ...

    @property
    def alive(self) -> bool:
        """Whether it has been started and has not ended."""
        ...

    def now_ms(self) -> float:
        """Its own clock."""
        ...

    def defer(self, handle: asyncio.Handle) -> None:
        """What would have run while it stands still waits."""
        ...

    def register_task(self, task: asyncio.Task[Any]) -> None:
        """A task of this process was made."""
        ...

    def pending_tasks(self) -> list[asyncio.Task[Any]]:
        """The tasks that have not ended, oldest first."""
        ...

    def check_call(self, call: Call) -> None:
        """OSError where a system call is to fail now."""
        ...

    def check_descriptors(self) -> None:
        """OSError (EMFILE) where it can open no other."""
        ...

    def add_socket(self, sock: Any) -> None:
        """An accepted connection is this process's now."""
        ...

    def remove_socket(self, sock: Any) -> None:
        """A socket was closed."""
        ...

    def was_paused(self, since_us: int, until_us: int, longer_than_us: int = -1) -> bool:
        """Whether it was paused at any time in a span."""
        ...

    def was_paused_or_starved(self, since_us: int, until_us: int) -> bool:
        """Whether it was paused, or could accept nothing for want of descriptors, at any time in a span."""
        ...


class SocketProtocol(Protocol):
    """A socket, as the loop that watches it knows it."""

    closed: bool
    process: Optional[ProcessProtocol]

    @property
    def readable(self) -> bool:
        """Whether a read would not block."""
        ...

    @property
    def writable(self) -> bool:
        """Whether a write would not block."""
        ...
