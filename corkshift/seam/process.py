"""Set-up of the real process of a node: event loop, log, garbage collector and early SIGHUP."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
from collections.abc import Coroutine
from typing import Any

import uvloop

# Allocations between collections of the youngest generation; collections between older ones.
GC_THRESHOLDS = (10_000, 10, 10)
MAX_LOG_LINES_PER_S = 20
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class LogRateLimit(logging.Filter):
    """Limits the log lines per second.

    Otherwise a burst of faults would make the node spend its time on writing its log.
    """

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(record.created)
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= MAX_LOG_LINES_PER_S


def prepare() -> None:
    """Set up the process; called before anything else.

    Disables io_uring, ignores SIGHUP until a reload handler is installed, and sends a rate-limited
    log to standard error.
    """
    disable_io_uring()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # its default action would end the process
    handler = logging.StreamHandler()
    handler.addFilter(LogRateLimit())
    logging.basicConfig(
        level=logging.INFO,
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
        handlers=[handler],
    )


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine to its end on a uvloop event loop."""
    # Few objects live long, and reference counting frees nearly all of them: frequent searches for
    # cycles would only cost CPU.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run_and_ignore_signals(main))


async def _run_and_ignore_signals(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine, and ignore the handled signals from its end on.

    The loop restores the default actions when it stops, by which another signal would kill the
    process on its way out.
    """
    try:
        await main
    finally:
        for number in HANDLED_SIGNALS:
            asyncio.get_running_loop().remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)


def disable_io_uring() -> None:
    """Keep libuv from setting up io_uring, unless UV_USE_IO_URING is already set.

    libuv reads the variable when the loop is created. Its ring comes with a polling kernel thread,
    which only serves file operations through the loop, and a node does none. The thread sleeps
    until the process is stopped and continued (by a CPU quota enforced that way, a freezer or a
    debugger), then polls for about 14 ms, which count as the node's CPU time: under such a quota
    each stop would cause the next one. This should also save the ring's memory and descriptors, and
    work where io_uring is forbidden.
    """
    os.environ.setdefault("UV_USE_IO_URING", "0")
