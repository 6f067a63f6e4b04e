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
from testbed.machine.net import Network, VirtualSocket, failure

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
        self.variables: dict[str, str] = {}
        self.wall_offset_ms = 0.0  # how wrong the wall clock is; a process reads it as it starts
        self.sockets: dict[VirtualSocket, None] = {}
        self.handlers: dict[int, asyncio.Handle] = {}
        self.state = "new"  # new, running, paused, ended, killed
        self.paused_us: list[tuple[int, int]] = []  # spans in which it stood still
        self.calls = CallFaults()
        self.starved_us: list[
            tuple[int, int]
        ] = []  # spans in which it had no descriptor to accept with
        self.exit: Optional[BaseException] = None
        self.on_end: Callable[[], None] = lambda: None
        self.context = Context()  # of its code, once it is started
        self.task: Optional[asyncio.Task[Any]] = None
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self._start_ms = 0.0
        self._held: list[asyncio.Handle] = []
        self._prune_at = 64

    # -- the seam ------------------------------------------------------------------------

    def now_ms(self) -> float:
        return self._start_ms + self.net.loop.now_us / 1000.0

    def tcp_socket(self) -> VirtualSocket:
        self.check_call(Call.SOCKET)
        return self._socket("stream")

    def udp_socket(self) -> VirtualSocket:
        return self._socket("datagram")

    def inherited_listener(self, descriptor: int) -> VirtualSocket:
        raise failure(errno.EBADF)  # no virtual process is started with one

    def closed_by_peer(self, sock: VirtualSocket) -> bool:
        return sock.rx_end or sock.reset

    def ms_since_last_receive(self, sock: VirtualSocket) -> float:
        return (self.net.loop.now_us - sock.received_us) / 1000.0

    def read_file(self, path: str) -> bytes:
        if path not in self.files:
            raise failure(errno.ENOENT)
        return self.files[path]

    def environ(self) -> Mapping[str, str]:
        return self.variables

    def random_bytes(self, size: int) -> bytes:
        return self.net.rng.randbytes(size)

    def unix_listener(self, path: str) -> VirtualSocket:
        raise failure(errno.EAFNOSUPPORT)  # nobody comes to a Unix socket here

    def _socket(self, kind: str) -> VirtualSocket:
        self.check_descriptors()
        sock = VirtualSocket(self.net, self, self.host, kind)
        self.sockets[sock] = None
        return sock

    def check_call(self, call: Call) -> None:
        """OSError where a system call is to fail now."""
        self.calls.check(call, self.net.loop.now_us)

    # -- descriptors ---------------------------------------------------------------------

    def check_descriptors(self) -> None:
        """EMFILE where no descriptor is left."""
        if len(self.sockets) >= self.descriptors:
            raise failure(errno.EMFILE)

    def adopt(self, sock: VirtualSocket) -> None:
        """An accepted connection is this process's now."""
        sock.process = self
        self.sockets[sock] = None

    def release(self, sock: VirtualSocket) -> None:
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
        self._start_ms = EPOCH_MS + self.wall_offset_ms
        context = self.context = copy_context()
        context.run(seam.set_system, self)
        self.task = context.run(asyncio.get_running_loop().create_task, main())
        self.task.add_done_callback(self._ended, context=context)

    def keep(self, task: asyncio.Task[Any]) -> None:
        """A task of this process was made."""
        self.tasks[task] = None
        if len(self.tasks) > self._prune_at:
            self.tasks = {task: None for task in self.tasks if not task.done()}
            self._prune_at = 64 + 2 * len(self.tasks)

    def pending(self) -> list[asyncio.Task[Any]]:
        """The tasks that have not ended, oldest first."""
        return [task for task in self.tasks if not task.done()]

    def bury(self) -> None:
        """After the world's end: let go of what never ended, without a word."""
        self._close_all()
        for task in self.pending():
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            with suppress(Exception):
                task.get_coro().close()
        self.tasks.clear()

    def hold(self, handle: asyncio.Handle) -> None:
        """What would have run while it stands still waits; what it would have done when dead is dropped."""
        if self.state == "paused":
            self._held.append(handle)

    def pause(self) -> None:
        """SIGSTOP: nothing of it runs, while its kernel goes on."""
        if self.state == "running":
            self.state = "paused"
            self.paused_us.append((self.net.loop.now_us, 1 << 62))

    def resume(self) -> None:
        """SIGCONT."""
        if self.state != "paused":
            return
        self.state = "running"
        self.paused_us[-1] = (self.paused_us[-1][0], self.net.loop.now_us)
        held, self._held = self._held, []
        self.net.loop._ready.extend(held)  # type: ignore[attr-defined]

    def stood_still(self, since_us: int, until_us: int, longer_us: int = -1) -> bool:
        """Whether it was paused at any time in a span, by a pause that lasted for longer than this."""
        return any(
            begin <= until_us and end >= since_us and end - begin > longer_us
            for begin, end in self.paused_us
        )

    def hindered(self, since_us: int, until_us: int) -> bool:
        """Whether it was paused, or could accept nothing for want of descriptors, at any time in a span."""
        starved = any(begin <= until_us and end >= since_us for begin, end in self.starved_us)
        return starved or self.stood_still(since_us, until_us)

    def signal(self, number: int) -> None:
        """Deliver a signal: to its handler, or to what the system does without one."""
        if number == signal.SIGKILL:
            self.kill()
        elif not self.alive:
            return
        elif (handler := self.handlers.get(number)) is not None:
            copy = asyncio.Handle(handler._callback, handler._args, self.net.loop, handler._context)  # type: ignore[attr-defined]
            self.net.loop._ready.append(copy)  # type: ignore[attr-defined]
        elif number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.kill()

    def kill(self) -> None:
        """End at once: its connections are reset, and nothing of its code runs any more."""
        if self.alive:
            self.state = "killed"
            self._close_all()

    def _ended(self, task: asyncio.Task[Any]) -> None:
        if self.alive:
            self.state = "ended"
            self.exit = None if task.cancelled() else task.exception()
            self._close_all()
            self.on_end()

    def _close_all(self) -> None:
        for sock in list(self.sockets):
            if sock.state == "open":
                sock.linger = sock.linger or self.state == "killed"
            sock.close()
        self._held.clear()
