"""An asyncio event loop on virtual time.

It never sleeps: when nothing is ready, the clock jumps to the next timer. What becomes due in one instant (timers and
sockets alike) runs in an order drawn from the seed, so that both orders of two events are explored; what is called soon
keeps its order, as asyncio promises. Time is whole microseconds.

Model: FoundationDB's Net2/Sim2 and tokio's turmoil. Bounds: one thread, no executor, no name look-ups, no subprocesses.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextvars import Context, copy_context
from heapq import heapify, heappop, heappush
from math import ceil
from typing import Any, Optional, TypeVarTuple

from corkshift import seam
from testbed.machine.protocols import ProcessProtocol, SocketProtocol

MAX_ITERATIONS_PER_INSTANT = 20_000  # turns in one instant: something spins without making progress
MAX_CANCELLED_TIMERS = 512  # cancelled timers that may wait in the heap before they are swept out

_Ts = TypeVarTuple("_Ts")


class Livelock(RuntimeError):
    """The clock stands still while callbacks go on: something spins."""


class Deadlock(RuntimeError):
    """Nothing is left to happen, and the main task has not ended."""


class VirtualLoop(asyncio.BaseEventLoop):
    """One world's loop. All of its processes share it; each callback belongs to the process whose context it runs in."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.now_us = 0
        self.callbacks_run = 0  # callbacks run
        self.after_callback: Optional[Callable[[ProcessProtocol], None]] = (
            None  # called after each callback of a process
        )
        self._order_random = random.Random(f"order/{seed}")
        self._timer_heap: list[tuple[int, float, int, asyncio.TimerHandle]] = []
        self._timer_number = 0
        self._cancelled_timers = 0
        self._readers: dict[SocketProtocol, asyncio.Handle] = {}
        self._writers: dict[SocketProtocol, asyncio.Handle] = {}
        self._maybe_ready: dict[SocketProtocol, None] = {}  # sockets that may be ready
        self._iterations = 0  # in this instant
        self.set_task_factory(_make_task)

    # -- time ----------------------------------------------------------------------------

    def time(self) -> float:
        """Virtual seconds since the world began."""
        return self.now_us / 1e6

    def call_at(
        self,
        when: float,
        callback: Callable[[*_Ts], object],
        *args: *_Ts,
        context: Optional[Context] = None,
    ) -> asyncio.TimerHandle:
        return self._schedule(ceil(when * 1e6 - 1e-3), callback, args, context)

    def after_us(
        self, delay_us: int, callback: Callable[..., object], *args: Any
    ) -> asyncio.TimerHandle:
        """Call back after so many microseconds, on behalf of the world and of no process."""
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
        """Every timer that is still to come, in the order in which it will."""
        return [
            entry[3]
            for entry in sorted(self._timer_heap, key=lambda entry: entry[:3])
            if not entry[3].cancelled()
        ]

    # -- readiness -----------------------------------------------------------------------

    def add_reader(self, fd: Any, callback: Callable[[*_Ts], object], *args: *_Ts) -> None:
        self._register(self._readers, fd, callback, args)

    def remove_reader(self, fd: Any) -> bool:
        return self._unregister_one(self._readers, fd)

    def add_writer(self, fd: Any, callback: Callable[[*_Ts], object], *args: *_Ts) -> None:
        self._register(self._writers, fd, callback, args)

    def remove_writer(self, fd: Any) -> bool:
        return self._unregister_one(self._writers, fd)

    def mark_ready(self, sock: SocketProtocol) -> None:
        """A socket's state has changed: it may be ready now."""
        self._maybe_ready[sock] = None

    def unregister(self, sock: SocketProtocol) -> None:
        """A socket is closed: the kernel reports it no more."""
        self._unregister_one(self._readers, sock)
        self._unregister_one(self._writers, sock)
        self._maybe_ready.pop(sock, None)

    def _register(
        self,
        which: dict[SocketProtocol, asyncio.Handle],
        sock: SocketProtocol,
        callback: Callable[..., object],
        args: Any,
    ) -> None:
        if sock.closed:
            raise ValueError("the socket is closed")
        self._unregister_one(which, sock)
        which[sock] = asyncio.Handle(callback, args, self)
        self.mark_ready(sock)

    def _unregister_one(
        self, which: dict[SocketProtocol, asyncio.Handle], sock: SocketProtocol
    ) -> bool:
        handle = which.pop(sock, None)
        if handle is None:
            return False
        handle.cancel()
        return True

    async def sock_connect(self, sock: Any, address: Any) -> None:
        """Connect a virtual socket; OSError as the kernel has it."""
        done: asyncio.Future[None] = self.create_future()
        sock.connect(address, done)
        await done

    def add_signal_handler(self, sig: int, callback: Callable[[*_Ts], object], *args: *_Ts) -> None:
        """A handler of the process whose code calls this."""
        owner = process_of(copy_context())
        if owner is None:
            raise RuntimeError("only a virtual process has signals")
        owner.signal_handlers[sig] = asyncio.Handle(callback, args, self)

    def remove_signal_handler(self, sig: int) -> bool:
        owner = process_of(copy_context())
        return owner is not None and owner.signal_handlers.pop(sig, None) is not None

    # -- turns ---------------------------------------------------------------------------

    def _run_once(self) -> None:
        ready: Any = self._ready  # type: ignore[attr-defined]
        self._collect_ready(ready)
        if not ready:
            while self._timer_heap and self._timer_heap[0][3].cancelled():
                heappop(self._timer_heap)
                self._cancelled_timers -= 1
            if not self._timer_heap:
                raise Deadlock("nothing is left to happen")
            self.now_us = self._timer_heap[0][0]
            self._iterations = 0
            self._collect_ready(ready)
        self._iterations += 1
        if self._iterations > MAX_ITERATIONS_PER_INSTANT:
            raise Livelock(
                f"{MAX_ITERATIONS_PER_INSTANT} turns at {self.now_us} us; the last is {ready[0]!r}"
                if ready
                else "spinning"
            )
        for _ in range(len(ready)):
            self._run_handle(ready.popleft())

    def _run_handle(self, handle: asyncio.Handle) -> None:
        if handle.cancelled():
            return
        owner = process_of(handle._context)  # type: ignore[attr-defined]
        if owner is None:
            handle._run()
            return
        if not owner.running:
            owner.defer(handle)
            return
        self.callbacks_run += 1
        handle._run()
        if self.after_callback is not None:
            self.after_callback(owner)

    def _collect_ready(self, ready: Any) -> None:
        """Queue what is due now and what is ready, in a drawn order."""
        due = self._timer_heap
        fresh: list[asyncio.Handle] = []
        while due and due[0][0] <= self.now_us:
            handle = heappop(due)[3]
            if handle.cancelled():
                self._cancelled_timers -= 1
                continue
            handle._scheduled = False  # type: ignore[attr-defined]
            if handle._context is _SIMULATOR_CONTEXT:  # type: ignore[attr-defined]
                handle._run()  # the network and the faults act below the programs: what they bring is ready in this turn
            else:
                fresh.append(handle)
        hot: list[asyncio.Handle] = []
        for sock in list(self._maybe_ready):
            if sock.process is not None and not sock.process.running:
                continue  # nobody polls; it is asked again when the process goes on
            reader, writer = self._readers.get(sock), self._writers.get(sock)
            reads, writes = (
                reader is not None and sock.readable,
                writer is not None and sock.writable,
            )
            if reads and reader is not None:
                hot.append(reader)
            if writes and writer is not None:
                hot.append(writer)
            if not (reads or writes):
                del self._maybe_ready[sock]
        if hot and len(fresh) + len(hot) > 1:
            fresh += hot
            self._order_random.shuffle(fresh)
        else:
            fresh += hot
        ready.extend(fresh)

    # -- what a loop must have -----------------------------------------------------------

    def _process_events(self, event_list: Any) -> None:
        """Nothing comes from a selector."""

    def _write_to_self(self) -> None:
        """Nobody waits in a selector."""


def _make_task(loop: asyncio.AbstractEventLoop, coro: Any, **options: Any) -> asyncio.Task[Any]:
    """A task that its process keeps: what a killed one leaves behind must not be collected, and so run its last lines."""
    task: asyncio.Task[Any] = asyncio.Task(coro, loop=loop, **options)
    owner = process_of(options.get("context") or copy_context())
    if owner is not None:
        owner.register_task(task)
    return task


def process_of(context: Context) -> Optional[ProcessProtocol]:
    """The virtual process in whose context something runs; None for the world itself."""
    side = context.get(seam.CURRENT_SYSTEM)
    return side if side is not None and getattr(side, "virtual", False) else None  # type: ignore[return-value]


_SIMULATOR_CONTEXT = Context()
