"""A virtual process: one side of the seam, with a clock, descriptors, files, an environment and signals of its own."""

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
from testbed.machine.net import Network, VirtualSocket, os_error

EPOCH_MS = 1_764_547_200_000.0  # Unix time at the start of each world


class Process:
    """What runs as one program on one host. It can be killed, paused and signalled."""

    virtual = True

    def __init__(self, name: str, net: Network, host: str, descriptors: int = 1024) -> None:
        self.name = name
        self.net = net
        self.host = host
        self.descriptors = descriptors
        self.files: dict[str, bytes] = {}
        self.environment: dict[str, str] = {}
        self.wall_clock_offset_ms = (
            0.0  # how wrong the wall clock is; a process reads it as it starts
        )
        self.sockets: dict[VirtualSocket, None] = {}
        self.signal_handlers: dict[int, asyncio.Handle] = {}
        self.state = "new"  # new, running, paused, ended, killed
        self.paused_spans_us: list[tuple[int, int]] = []  # spans in which it stood still
        self.call_faults = CallFaults()
        self.starved_spans_us: list[
            tuple[int, int]
        ] = []  # spans in which it had no descriptor to accept with
        self.exit_error: Optional[BaseException] = None
        self.on_end: Callable[[], None] = lambda: None
        self.context = Context()  # of its code, once it is started
        self.task: Optional[asyncio.Task[Any]] = None
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self._clock_start_ms = 0.0
        self._deferred: list[asyncio.Handle] = []
        self._prune_tasks_at = 64

    # -- the seam ------------------------------------------------------------------------

    def now_ms(self) -> float:
        return self._clock_start_ms + self.net.loop.now_us / 1000.0

    def tcp_socket(self) -> VirtualSocket:
        self.check_call(Call.SOCKET)
        return self._socket("stream")

    def udp_socket(self) -> VirtualSocket:
        return self._socket("datagram")

    def inherited_listener(self, descriptor: int) -> VirtualSocket:
        raise os_error(errno.EBADF)  # no virtual process is started with one

    def closed_by_peer(self, sock: VirtualSocket) -> bool:
        return sock.fin_received or sock.reset

    def ms_since_last_receive(self, sock: VirtualSocket) -> float:
        return (self.net.loop.now_us - sock.last_received_us) / 1000.0

    def read_file(self, path: str) -> bytes:
        if path not in self.files:
            raise os_error(errno.ENOENT)
        return self.files[path]

    def environ(self) -> Mapping[str, str]:
        return self.environment

    def random_bytes(self, size: int) -> bytes:
        return self.net.rng.randbytes(size)

    def unix_listener(self, path: str) -> VirtualSocket:
        raise os_error(errno.EAFNOSUPPORT)  # nobody comes to a Unix socket here

    def _socket(self, kind: str) -> VirtualSocket:
        self.check_descriptors()
        sock = VirtualSocket(self.net, self, self.host, kind)
        self.sockets[sock] = None
        return sock

    def check_call(self, call: Call) -> None:
        """OSError where a system call is to fail now."""
        self.call_faults.check(call, self.net.loop.now_us)

    # -- descriptors ---------------------------------------------------------------------

    def check_descriptors(self) -> None:
        """EMFILE where no descriptor is left."""
        if len(self.sockets) >= self.descriptors:
            raise os_error(errno.EMFILE)

    def add_socket(self, sock: VirtualSocket) -> None:
        """An accepted connection is this process's now."""
        sock.process = self
        self.sockets[sock] = None

    def remove_socket(self, sock: VirtualSocket) -> None:
        """A socket was closed."""
        self.sockets.pop(sock, None)

    # -- its life ------------------------------------------------------------------------

    @property
    def running(self) -> bool:
        """Whether its code may run now."""
        return self.state == "running"

    @property
    def alive(self) -> bool:
        """Whether it has been started and has not ended."""
        return self.state in ("running", "paused")

    def start(self, main: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a program in a context of its own."""
        self.state = "running"
        self._clock_start_ms = EPOCH_MS + self.wall_clock_offset_ms
        context = self.context = copy_context()
        context.run(seam.set_system, self)
        self.task = context.run(asyncio.get_running_loop().create_task, main())
        self.task.add_done_callback(self._on_task_done, context=context)

    def register_task(self, task: asyncio.Task[Any]) -> None:
        """A task of this process was made."""
        self.tasks[task] = None
        if len(self.tasks) > self._prune_tasks_at:
            self.tasks = {task: None for task in self.tasks if not task.done()}
            self._prune_tasks_at = 64 + 2 * len(self.tasks)

    def pending_tasks(self) -> list[asyncio.Task[Any]]:
        """The tasks that have not ended, oldest first."""
        return [task for task in self.tasks if not task.done()]

    def discard_tasks(self) -> None:
        """After the world's end: let go of what never ended, without a word."""
        self._close_all()
        for task in self.pending_tasks():
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            with suppress(Exception):
                task.get_coro().close()
        self.tasks.clear()

    def defer(self, handle: asyncio.Handle) -> None:
        """What would have run while it stands still waits; what it would have done when dead is dropped."""
        if self.state == "paused":
            self._deferred.append(handle)

    def pause(self) -> None:
        """SIGSTOP: nothing of it runs, while its kernel goes on."""
        if self.state == "running":
            self.state = "paused"
            self.paused_spans_us.append((self.net.loop.now_us, 1 << 62))

    def resume(self) -> None:
        """SIGCONT."""
        if self.state != "paused":
            return
        self.state = "running"
        self.paused_spans_us[-1] = (self.paused_spans_us[-1][0], self.net.loop.now_us)
        held, self._deferred = self._deferred, []
        self.net.loop._ready.extend(held)  # type: ignore[attr-defined]

    def was_paused(self, since_us: int, until_us: int, longer_than_us: int = -1) -> bool:
        """Whether it was paused at any time in a span, by a pause that lasted for longer than this."""
        return any(
            begin <= until_us and end >= since_us and end - begin > longer_than_us
            for begin, end in self.paused_spans_us
        )

    def was_paused_or_starved(self, since_us: int, until_us: int) -> bool:
        """Whether it was paused, or could accept nothing for want of descriptors, at any time in a span."""
        starved = any(begin <= until_us and end >= since_us for begin, end in self.starved_spans_us)
        return starved or self.was_paused(since_us, until_us)

    def signal(self, number: int) -> None:
        """Deliver a signal: to its handler, or to what the system does without one."""
        if number == signal.SIGKILL:
            self.kill()
        elif not self.alive:
            return
        elif (handler := self.signal_handlers.get(number)) is not None:
            copy = asyncio.Handle(handler._callback, handler._args, self.net.loop, handler._context)  # type: ignore[attr-defined]
            self.net.loop._ready.append(copy)  # type: ignore[attr-defined]
        elif number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.kill()

    def kill(self) -> None:
        """End at once: its connections are reset, and nothing of its code runs any more."""
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
