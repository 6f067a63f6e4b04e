"""A virtual process: an implementation of the system interface.

It has its own clock, descriptors, files, environment and signals.
"""

from __future__ import annotations

import asyncio
import errno
import signal
from collections.abc import Callable, Coroutine, Mapping
from contextlib import suppress
from contextvars import Context, copy_context
from typing import Any, Optional

from corkshift import seam
from testbed.machine.faults import Call, CallFaults
from testbed.machine.files import SharedFiles, VirtualFolder
from testbed.machine.net import Network, VirtualSocket, os_error

EPOCH_MS = 1_764_547_200_000.0  # Unix time at the start of each simulation


class Process:
    """A program on one host, which can be killed, paused and signalled.

    descriptors: the most sockets it may have open. `wall_clock_offset_ms` is the error of its wall
    clock, read when it starts. `state` is one of new, running, paused, ended and killed.
    """

    virtual = True

    def __init__(self, name: str, net: Network, host: str, descriptors: int = 1024) -> None:
        self.name = name
        self.net = net
        self.host = host
        self.descriptors = descriptors
        self.files: dict[str, bytes] = {}
        self.environment: dict[str, str] = {}
        self.wall_clock_offset_ms = 0.0
        self.sockets: dict[VirtualSocket, None] = {}
        self.signal_handlers: dict[int, asyncio.Handle] = {}
        self.state = "new"
        self.paused_spans_us: list[tuple[int, int]] = []  # begin and end of each pause
        self.call_faults = CallFaults()
        # Spans in which it had no free descriptor to accept a connection with.
        self.starved_spans_us: list[tuple[int, int]] = []
        self.exit_error: Optional[BaseException] = None
        self.on_end: Callable[[], None] = lambda: None
        self.context = Context()  # the context of its code, set by start()
        self.task: Optional[asyncio.Task[Any]] = None
        self.tasks: dict[asyncio.Task[Any], None] = {}
        # The address of the listening socket that it was started with, and the files that it shares
        # with other processes of its node.
        self.inherited_address: Optional[tuple[str, int]] = None
        self.shared_files: Optional[SharedFiles] = None
        self._clock_start_ms = 0.0
        self._deferred: list[asyncio.Handle] = []
        self._prune_tasks_at = 64

    # -- system interface ----------------------------------------------------------------

    def now_ms(self) -> float:
        """Return the time of its own wall clock, in ms since the Unix epoch."""
        return self._clock_start_ms + self.net.loop.now_us / 1000.0

    def tcp_socket(self) -> VirtualSocket:
        """Open a TCP socket."""
        self.check_call(Call.SOCKET)
        return self._socket("stream")

    def udp_socket(self) -> VirtualSocket:
        """Open a UDP socket."""
        return self._socket("datagram")

    def inherited_listener(self, descriptor: int) -> VirtualSocket:
        """Return a socket bound to `inherited_address`; OSError (EBADF) if there is none.

        Each process has a queue of its own there: shared queues are not modelled.
        """
        if self.inherited_address is None:
            raise os_error(errno.EBADF)
        sock = self.tcp_socket()
        sock.bind(self.inherited_address)
        return sock

    def journal_folder(self, name: str) -> Optional[VirtualFolder]:
        """Return the folder that it shares with other processes; None if it has none."""
        return None if self.shared_files is None else VirtualFolder(self.shared_files, self)

    def closed_by_peer(self, sock: VirtualSocket) -> bool:
        """Whether a FIN or an RST of the peer was received."""
        return sock.fin_received or sock.reset

    def ms_since_last_receive(self, sock: VirtualSocket) -> float:
        """Return how long ago a socket last received data, in ms."""
        return (self.net.loop.now_us - sock.last_received_us) / 1000.0

    def read_file(self, path: str) -> bytes:
        """Return the content of a virtual file; OSError (ENOENT) if there is none."""
        if path not in self.files:
            raise os_error(errno.ENOENT)
        return self.files[path]

    def environ(self) -> Mapping[str, str]:
        """Return the environment variables."""
        return self.environment

    def process_id(self) -> int:
        """Return 1: virtual processes are told apart by their names."""
        return 1

    def memory_bytes(self) -> Optional[int]:
        """Return None: memory is not modelled."""
        return None

    def random_bytes(self, size: int) -> bytes:
        """Return bytes from the random stream of the network."""
        return self.net.rng.randbytes(size)

    def unix_listener(self, path: str) -> VirtualSocket:
        """Raise OSError (EAFNOSUPPORT)."""
        raise os_error(errno.EAFNOSUPPORT)  # Unix sockets are not modelled

    def _socket(self, kind: str) -> VirtualSocket:
        self.check_descriptors()
        sock = VirtualSocket(self.net, self, self.host, kind)
        self.sockets[sock] = None
        return sock

    def check_call(self, call: Call) -> None:
        """Raise OSError if a fault makes this system call fail now."""
        self.call_faults.check(call, self.net.loop.now_us)

    # -- descriptors ---------------------------------------------------------------------

    def check_descriptors(self) -> None:
        """Raise OSError (EMFILE) if no descriptor is left."""
        if len(self.sockets) >= self.descriptors:
            raise os_error(errno.EMFILE)

    def add_socket(self, sock: VirtualSocket) -> None:
        """Make this process the owner of an accepted connection."""
        sock.process = self
        self.sockets[sock] = None

    def remove_socket(self, sock: VirtualSocket) -> None:
        """Remove a closed socket from the open descriptors."""
        self.sockets.pop(sock, None)

    # -- lifecycle -----------------------------------------------------------------------

    @property
    def running(self) -> bool:
        """Whether its code may run now; False while it is paused."""
        return self.state == "running"

    @property
    def alive(self) -> bool:
        """Whether it has been started and has not ended; True also while it is paused."""
        return self.state in ("running", "paused")

    def start(self, main: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a program in its own context, with this process as its system interface."""
        self.state = "running"
        self._clock_start_ms = EPOCH_MS + self.wall_clock_offset_ms
        context = self.context = copy_context()
        context.run(seam.set_system, self)
        self.task = context.run(asyncio.get_running_loop().create_task, main())
        self.task.add_done_callback(self._on_task_done, context=context)

    def register_task(self, task: asyncio.Task[Any]) -> None:
        """Keep a reference to a new task of this process."""
        self.tasks[task] = None
        if len(self.tasks) > self._prune_tasks_at:
            self.tasks = {task: None for task in self.tasks if not task.done()}
            self._prune_tasks_at = 64 + 2 * len(self.tasks)

    def pending_tasks(self) -> list[asyncio.Task[Any]]:
        """Return the tasks that have not ended, oldest first."""
        return [task for task in self.tasks if not task.done()]

    def discard_tasks(self) -> None:
        """Drop the tasks that never ended, without asyncio warnings, after the simulation."""
        self._close_all()
        for task in self.pending_tasks():
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            with suppress(Exception):
                task.get_coro().close()
        self.tasks.clear()

    def defer(self, handle: asyncio.Handle) -> None:
        """Keep a callback until a paused process resumes; drop it if the process has ended."""
        if self.state == "paused":
            self._deferred.append(handle)

    def pause(self) -> None:
        """SIGSTOP: stop running its code, while its kernel keeps receiving and acknowledging."""
        if self.state == "running":
            self.state = "paused"
            self.paused_spans_us.append((self.net.loop.now_us, 1 << 62))

    def resume(self) -> None:
        """SIGCONT: run the callbacks that were deferred during the pause."""
        if self.state != "paused":
            return
        self.state = "running"
        self.paused_spans_us[-1] = (self.paused_spans_us[-1][0], self.net.loop.now_us)
        held, self._deferred = self._deferred, []
        self.net.loop._ready.extend(held)  # type: ignore[attr-defined]

    def was_paused(self, since_us: int, until_us: int, longer_than_us: int = -1) -> bool:
        """Whether a pause of more than `longer_than_us` overlaps a span of time."""
        return any(
            begin <= until_us and end >= since_us and end - begin > longer_than_us
            for begin, end in self.paused_spans_us
        )

    def was_paused_or_starved(self, since_us: int, until_us: int) -> bool:
        """Whether it was paused, or had no descriptor to accept with, at any time in a span."""
        starved = any(begin <= until_us and end >= since_us for begin, end in self.starved_spans_us)
        return starved or self.was_paused(since_us, until_us)

    def signal(self, number: int) -> None:
        """Deliver a signal: call its handler, or take the default action."""
        if number == signal.SIGKILL:
            self.kill()
        elif not self.alive:
            return
        elif (handler := self.signal_handlers.get(number)) is not None:
            copy = asyncio.Handle(
                handler._callback,  # type: ignore[attr-defined]
                handler._args,
                self.net.loop,
                handler._context,  # type: ignore[attr-defined]
            )
            self.net.loop._ready.append(copy)  # type: ignore[attr-defined]
        elif number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.kill()

    def kill(self) -> None:
        """End at once: reset its connections and run none of its code any more."""
        if self.alive:
            self.state = "killed"
            self._close_all()

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        if self.alive:
            self.state = "ended"
            self.exit_error = None if task.cancelled() else task.exception()
            self._close_all()
            self.on_end()

    def _close_all(self) -> None:
        for sock in list(self.sockets):
            if sock.state == "open":
                sock.linger = sock.linger or self.state == "killed"
            sock.close()
        self._deferred.clear()
