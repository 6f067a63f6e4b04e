"""The real process round a node: its loop, its log, its memory and its first signal."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
from collections.abc import Coroutine
from typing import Any

import uvloop

GC_THRESHOLDS = (10_000, 10, 10)  # objects, and rounds, between two searches
MAX_LOG_LINES_PER_S = 20  # of the log


class LogRateLimit(logging.Filter):
    """Lets through a bounded number of lines a second (guards against a flood of faults drowning the node in its log)."""

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
    """Before anything else: no ring, no death by an early SIGHUP, and a bounded log on standard error."""
    disable_io_uring()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload
    handler = logging.StreamHandler()
    handler.addFilter(LogRateLimit())
    logging.basicConfig(
        level=logging.INFO,
        format="%(asctime)s %(levelname)s %(name)s: %(message)s",
        handlers=[handler],
    )


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run to the end on a loop of the real system."""
    # Few objects live long here, and nearly all go by their counts (guards against CPU spent on looking for cycles).
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)


def disable_io_uring() -> None:
    """Keep libuv from setting up io_uring, which it reads from the environment as the loop is made.

    Guards against CPU spent for nothing: its ring comes with a kernel thread that polls, for files that a node never opens
    through the loop. The thread sleeps until the process is stopped and continued (by a quota that is enforced so, a freezer, a
    debugger), then polls for some 14 ms, which count as the node's own: under a quota each stop so brings the next. It should
    also spare the ring's memory and descriptors, and hold where io_uring is barred. Harm: none as long as files are not
    read through the loop; whoever wants the ring sets the variable.
    """
    os.environ.setdefault("UV_USE_IO_URING", "0")
