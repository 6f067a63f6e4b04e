"""Protocols through which the event loop, the network and the processes use one another.

The loop uses sockets and processes through these protocols, and the network uses processes
through them. So the imports go one way: `net` imports `loop`, and `process` imports `net`.
"""

from __future__ import annotations

import asyncio
from typing import Any, Optional, Protocol

from testbed.machine.faults import Call


class ProcessProtocol(Protocol):
    """A process as the event loop and the network see it."""

    name: str
    host: str
    wall_clock_offset_ms: float
    state: str
    signal_handlers: dict[int, asyncio.Handle]

    @property
    def running(self) -> bool:
        """Whether its code may run now; False while it is paused."""
        ...

    @property
    def alive(self) -> bool:
        """Whether it has been started and has not ended; True also while it is paused."""
        ...

    def now_ms(self) -> float:
        """The time of its own wall clock, in ms since the Unix epoch."""
        ...

    def defer(self, handle: asyncio.Handle) -> None:
        """Take over a callback that cannot run now, since the process is not running."""
        ...

    def register_task(self, task: asyncio.Task[Any]) -> None:
        """Keep a reference to a new task of this process."""
        ...

    def pending_tasks(self) -> list[asyncio.Task[Any]]:
        """Return the tasks that have not ended, oldest first."""
        ...

    def check_call(self, call: Call) -> None:
        """Raise OSError if a fault makes this system call fail now."""
        ...

    def check_descriptors(self) -> None:
        """Raise OSError (EMFILE) if the process cannot open another descriptor."""
        ...

    def add_socket(self, sock: Any) -> None:
        """Make this process the owner of an accepted connection."""
        ...

    def remove_socket(self, sock: Any) -> None:
        """Remove a closed socket from the open descriptors."""
        ...

    def was_paused(self, since_us: int, until_us: int, longer_than_us: int = -1) -> bool:
        """Whether a pause of more than `longer_than_us` overlaps a span of time."""
        ...

    def was_paused_or_starved(self, since_us: int, until_us: int) -> bool:
        """Whether it was paused, or had no descriptor to accept with, at any time in a span."""
        ...


class SocketProtocol(Protocol):
    """A socket as the event loop sees it."""

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
