"""An asyncio event loop on virtual time.

The loop never sleeps: when nothing is ready, the clock jumps to the next timer. Timers and
sockets that become ready in the same instant run in an order drawn from the seed, so that both
orders of two events are explored. Callbacks passed to call_soon keep their order, as asyncio
guarantees. Time is counted in whole microseconds.

The design follows FoundationDB's Net2/Sim2 and tokio's turmoil. Limits: one thread, no executor,
no name look-ups, no subprocesses.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from contextvars import Context, copy_context
from heapq import heapify, heappop, heappush
from math import ceil
from typing import Any, Optional, TypeVarTuple

from corkshift import seam
from testbed.machine.protocols import ProcessProtocol, SocketProtocol

# A loop that iterates more often than this without advancing the clock is in a livelock.
MAX_ITERATIONS_PER_INSTANT = 20_000
# Cancelled timers that may stay in the heap before it is rebuilt without them.
MAX_CANCELLED_TIMERS = 512

_Ts = TypeVarTuple("_Ts")


class Livelock(RuntimeError):
    """Callbacks keep running while the virtual clock does not advance."""


class Deadlock(RuntimeError):
    """No callback or timer is left, and the main task has not ended."""


class VirtualLoop(asyncio.BaseEventLoop):
    """The event loop of one simulation, shared by all of its processes.

    Each callback belongs to the process in whose context it runs. `now_us` is the virtual time,
    `callbacks_run` counts the callbacks of processes, and `after_callback` is called after each
    of them.
    """

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.now_us = 0
        self.callbacks_run = 0
        self.after_callback: Optional[Callable[[ProcessProtocol], None]] = None
        self._order_random = random.Random(f"order/{seed}")
        self._timer_heap: list[tuple[int, float, int, asyncio.TimerHandle]] = []
        self._timer_number = 0
        self._cancelled_timers = 0
        self._readers: dict[SocketProtocol, asyncio.Handle] = {}
        self._writers: dict[SocketProtocol, asyncio.Handle] = {}
        self._maybe_ready: dict[SocketProtocol, None] = {}  # sockets whose state has changed
        self._iterations = 0  # since the clock last advanced
        self.set_task_factory(_make_task)

    def discard(self) -> None:
        """Close the loop, and drop the tasks that never ended without asyncio's warnings."""
        for task in asyncio.all_tasks(self):
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            with suppress(Exception):
                task.get_coro().close()
        self.close()

    # -- time ----------------------------------------------------------------------------

    def time(self) -> float:
        """Virtual seconds since the start of the simulation."""
        return self.now_us / 1e6

    def call_at(
        self,
        when: float,
        callback: Callable[[*_Ts], object],
        *args: *_Ts,
        context: Optional[Context] = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a virtual time in s, in the context of the caller by default."""
        return self._schedule(ceil(when * 1e6 - 1e-3), callback, args, context)

    def after_us(
        self, delay_us: int, callback: Callable[..., object], *args: Any
    ) -> asyncio.TimerHandle:
        """Schedule a callback of the simulator itself, which belongs to no process."""
        return self._schedule(self.now_us + delay_us, callback, args, _SIMULATOR_CONTEXT)

    def _schedule(
        self, due_us: int, callback: Callable[..., object], args: Any, context: Optional[Context]
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(due_us / 1e6, callback, args, self, context)
        self._timer_number += 1
        heappush(
            self._timer_heap,
            (max(self.now_us, due_us), self._order_random.random(), self._timer_number, handle),
        )
        handle._scheduled = True  # type: ignore[attr-defined]
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        self._cancelled_timers += 1
        if self._cancelled_timers > MAX_CANCELLED_TIMERS and self._cancelled_timers * 2 > len(
            self._timer_heap
        ):
            self._timer_heap = [entry for entry in self._timer_heap if not entry[3].cancelled()]
            heapify(self._timer_heap)
            self._cancelled_timers = 0

    def pending_timers(self) -> list[asyncio.TimerHandle]:
        """Timers that are neither due nor cancelled, in the order in which they will run."""
        return [
            entry[3]
            for entry in sorted(self._timer_heap, key=lambda entry: entry[:3])
            if not entry[3].cancelled()
        ]

    # -- readiness -----------------------------------------------------------------------

    def add_reader(self, fd: Any, callback: Callable[[*_Ts], object], *args: *_Ts) -> None:
        """Call back whenever a virtual socket is readable."""
        self._register(self._readers, fd, callback, args)

    def remove_reader(self, fd: Any) -> bool:
        """Remove the reader of a socket; False if there is none."""
        return self._unregister_one(self._readers, fd)

    def add_writer(self, fd: Any, callback: Callable[[*_Ts], object], *args: *_Ts) -> None:
        """Call back whenever a virtual socket is writable."""
        self._register(self._writers, fd, callback, args)

    def remove_writer(self, fd: Any) -> bool:
        """Remove the writer of a socket; False if there is none."""
        return self._unregister_one(self._writers, fd)

    def mark_ready(self, sock: SocketProtocol) -> None:
        """Check a socket for readiness in the next iteration, since its state has changed."""
        self._maybe_ready[sock] = None

    def unregister(self, sock: SocketProtocol) -> None:
        """Remove the callbacks of a socket that was closed."""
        self._unregister_one(self._readers, sock)
        self._unregister_one(self._writers, sock)
        self._maybe_ready.pop(sock, None)

    def _register(
        self,
        handlers: dict[SocketProtocol, asyncio.Handle],
        sock: SocketProtocol,
        callback: Callable[..., object],
        args: Any,
    ) -> None:
        if sock.closed:
            raise ValueError("cannot watch a closed socket")
        self._unregister_one(handlers, sock)
        handlers[sock] = asyncio.Handle(callback, args, self)
        self.mark_ready(sock)

    def _unregister_one(
        self, handlers: dict[SocketProtocol, asyncio.Handle], sock: SocketProtocol
    ) -> bool:
        handle = handlers.pop(sock, None)
        if handle is None:
            return False
        handle.cancel()
        return True

    async def sock_connect(self, sock: Any, address: Any) -> None:
        """Connect a virtual socket; raises OSError as the kernel does."""
        done: asyncio.Future[None] = self.create_future()
        sock.connect(address, done)
        await done

    def add_signal_handler(self, sig: int, callback: Callable[[*_Ts], object], *args: *_Ts) -> None:
        """Set a signal handler of the calling process; RuntimeError outside a virtual process."""
        process = process_of(copy_context())
        if process is None:
            raise RuntimeError("signal handlers can only be set inside a virtual process")
        process.signal_handlers[sig] = asyncio.Handle(callback, args, self)

    def remove_signal_handler(self, sig: int) -> bool:
        """Remove a signal handler of the calling process; False if there is none."""
        process = process_of(copy_context())
        return process is not None and process.signal_handlers.pop(sig, None) is not None

    # -- iterations ----------------------------------------------------------------------

    def _run_once(self) -> None:
        ready: Any = self._ready  # type: ignore[attr-defined]
        self._collect_ready(ready)
        if not ready:
            while self._timer_heap and self._timer_heap[0][3].cancelled():
                heappop(self._timer_heap)
                self._cancelled_timers -= 1
            if not self._timer_heap:
                raise Deadlock("no callback or timer is left, and the main task has not ended")
            self.now_us = self._timer_heap[0][0]
            self._iterations = 0
            self._collect_ready(ready)
        self._iterations += 1
        if self._iterations > MAX_ITERATIONS_PER_INSTANT:
            raise Livelock(
                f"{MAX_ITERATIONS_PER_INSTANT} iterations at {self.now_us} us; next: {ready[0]!r}"
                if ready
                else "the loop iterates without advancing the clock and without callbacks"
            )
        for _ in range(len(ready)):
            self._run_handle(ready.popleft())

    def _run_handle(self, handle: asyncio.Handle) -> None:
        if handle.cancelled():
            return
        process = process_of(handle._context)  # type: ignore[attr-defined]
        if process is None:
            handle._run()
            return
        if not process.running:
            process.defer(handle)
            return
        self.callbacks_run += 1
        handle._run()
        if self.after_callback is not None:
            self.after_callback(process)

    def _collect_ready(self, ready: Any) -> None:
        """Queue the timers that are due and the sockets that are ready, in a random order."""
        due = self._timer_heap
        handles: list[asyncio.Handle] = []
        while due and due[0][0] <= self.now_us:
            handle = heappop(due)[3]
            if handle.cancelled():
                self._cancelled_timers -= 1
                continue
            handle._scheduled = False  # type: ignore[attr-defined]
            if handle._context is _SIMULATOR_CONTEXT:  # type: ignore[attr-defined]
                # The network and the faults run before the programs, so that what they deliver
                # is ready in this iteration.
                handle._run()
            else:
                handles.append(handle)
        socket_handles: list[asyncio.Handle] = []
        for sock in list(self._maybe_ready):
            if sock.process is not None and not sock.process.running:
                continue  # a paused process does not poll; checked again after it resumes
            reader, writer = self._readers.get(sock), self._writers.get(sock)
            reads, writes = (
                reader is not None and sock.readable,
                writer is not None and sock.writable,
            )
            if reads and reader is not None:
                socket_handles.append(reader)
            if writes and writer is not None:
                socket_handles.append(writer)
            if not (reads or writes):
                del self._maybe_ready[sock]
        if socket_handles and len(handles) + len(socket_handles) > 1:
            handles += socket_handles
            self._order_random.shuffle(handles)
        else:
            handles += socket_handles
        ready.extend(handles)

    # -- hooks of BaseEventLoop ----------------------------------------------------------

    def _process_events(self, event_list: Any) -> None:
        """Do nothing: there is no selector."""

    def _write_to_self(self) -> None:
        """Do nothing: there is no selector to wake up."""


def _make_task(loop: asyncio.AbstractEventLoop, coro: Any, **options: Any) -> asyncio.Task[Any]:
    """Create a task and register it with its process.

    The reference keeps the tasks of a killed process from being garbage-collected, which would
    run their `finally` blocks.
    """
    task: asyncio.Task[Any] = asyncio.Task(coro, loop=loop, **options)
    process = process_of(options.get("context") or copy_context())
    if process is not None:
        process.register_task(task)
    return task


def process_of(context: Context) -> Optional[ProcessProtocol]:
    """Return the virtual process that a context belongs to, or None for the simulator itself."""
    system = context.get(seam.CURRENT_SYSTEM)
    return (
        system  # type: ignore[return-value]
        if system is not None and getattr(system, "virtual", False)
        else None
    )


_SIMULATOR_CONTEXT = Context()
