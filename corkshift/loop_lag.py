"""Event loop lag: how late the node's loop runs, and clocks that leave out the time it was stalled.

A node may have a fiftieth of a core, or its process may be stopped for a while. Time that passes
while the loop does not run says nothing about peers, because what they sent meanwhile is still
unread. A periodic timer measures how late the loop runs. Two readings follow from it:

- Active time: elapsed time minus the time lost to stalls. Timeouts that detect an unresponsive
  peer (a silent watch, an incomplete line, a call, a dial) count active time, and so do the
  durations of attempts by which cache servers are evaluated.
- The longest time for which input may have been unread. The time of a request that is read after a
  stall counts from then.

Deadlines, drain grace periods, repeat windows and the age of the server list count elapsed time
(`seam.now_ms`), whatever the node was doing.

Bounds: one timer every PERIOD_MS, one log line every LOG_INTERVAL_MS.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from types import TracebackType
from typing import Optional

from corkshift.seam import now_ms

log = logging.getLogger(__name__)

PERIOD_MS = 50.0
LAG_SMOOTHING = 0.3  # weight of one tick in the moving average of the lag
# A timer that is later than this was stalled; less is the ordinary jitter of a loop.
STALL_THRESHOLD_MS = 20.0
# A timer of this period cannot tell shorter stalls from none.
MIN_UNREAD_MS = 2.0 * PERIOD_MS + STALL_THRESHOLD_MS
TIMER_TOLERANCE_MS = 1.0  # a timer that fires this much early counts as due
LOG_INTERVAL_MS = 5_000.0
# Upper bounds of the histogram's buckets; the last bucket has none.
STALL_BUCKETS_MS = (50.0, 150.0, 500.0, 1_000.0)


class LoopLagMonitor:
    """Measures how late the running loop is. Before `start` it reports no lag."""

    __slots__ = (
        "stall_counts", "longest_stall_ms", "last_stall_ms", "smoothed_lag_ms",
        "_active_ms", "_last_tick_ms", "_read_until_ms", "_timer", "_last_log_ms",
        "_longest_unlogged_ms",
    )  # fmt: skip

    def __init__(self) -> None:
        # Number of stalls in each bucket of STALL_BUCKETS_MS.
        self.stall_counts = [0] * (len(STALL_BUCKETS_MS) + 1)
        self.longest_stall_ms = 0.0
        self.last_stall_ms = 0.0  # when the last stall was noticed
        # Moving average of how late timers fire: about the duration of one loop iteration.
        self.smoothed_lag_ms = 0.0
        self._active_ms = 0.0  # active time up to the last tick
        self._last_tick_ms: Optional[float] = None
        self._read_until_ms = 0.0  # input that arrived before this time has been read
        self._timer: Optional[asyncio.TimerHandle] = None
        self._last_log_ms = 0.0
        self._longest_unlogged_ms = 0.0  # longest stall since the last log line

    def start(self) -> None:
        """Start measuring the running loop."""
        self._last_tick_ms = self._read_until_ms = now_ms()
        self._timer = asyncio.get_running_loop().call_later(PERIOD_MS / 1000.0, self._tick)

    def close(self) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._last_tick_ms = None

    def _tick(self) -> None:
        now = now_ms()
        last = self._last_tick_ms if self._last_tick_ms is not None else now
        late_ms = now - last - PERIOD_MS
        self.smoothed_lag_ms += LAG_SMOOTHING * (max(0.0, late_ms) - self.smoothed_lag_ms)
        if late_ms > STALL_THRESHOLD_MS:
            self._active_ms += PERIOD_MS
            self._record_stall(late_ms, now)
        else:
            self._active_ms += now - last
            self._read_until_ms = last  # the loop has polled its sockets since then
        self._last_tick_ms = now
        self._timer = asyncio.get_running_loop().call_later(PERIOD_MS / 1000.0, self._tick)

    def _record_stall(self, late_ms: float, now: float) -> None:
        self.last_stall_ms = now
        self.stall_counts[
            next(
                (n for n, upper in enumerate(STALL_BUCKETS_MS) if late_ms <= upper),
                len(STALL_BUCKETS_MS),
            )
        ] += 1
        self.longest_stall_ms = max(self.longest_stall_ms, late_ms)
        self._longest_unlogged_ms = max(self._longest_unlogged_ms, late_ms)
        if self._longest_unlogged_ms > MIN_UNREAD_MS and now - self._last_log_ms >= LOG_INTERVAL_MS:
            log.info(
                "the event loop was held up for up to %.0f ms since the last report",
                self._longest_unlogged_ms,
            )
            self._last_log_ms, self._longest_unlogged_ms = now, 0.0

    # -- readings ------------------------------------------------------------------------

    def active_ms(self) -> float:
        """A clock in ms that stops while the loop is stalled; only differences are meaningful."""
        now = now_ms()
        if self._last_tick_ms is None:
            return now
        passed = now - self._last_tick_ms
        return self._active_ms + (passed if passed <= PERIOD_MS + STALL_THRESHOLD_MS else PERIOD_MS)

    def lag_ms(self) -> float:
        """Lower bound of the loop's lag at this moment."""
        return (
            0.0
            if self._last_tick_ms is None
            else max(0.0, now_ms() - self._last_tick_ms - PERIOD_MS)
        )

    def unread_ms(self) -> float:
        """How long input that is read now may have been unread, in ms.

        0 unless the loop was stalled or its iterations are slow.
        """
        if self._last_tick_ms is None:
            return 0.0
        unread_ms = now_ms() - self._read_until_ms
        if unread_ms > MIN_UNREAD_MS:
            return unread_ms
        return self.smoothed_lag_ms if self.smoothed_lag_ms > STALL_THRESHOLD_MS else 0.0

    def stalled_since(self, checked_ms: float) -> bool:
        """Whether the loop is stalled or was since that time; a check made then is stale."""
        return self.lag_ms() > STALL_THRESHOLD_MS or checked_ms < self.last_stall_ms

    def timeout(self, seconds: Optional[float]) -> ActiveTimeout:
        """Like `asyncio.timeout`, in active time; None sets no limit."""
        return ActiveTimeout(self, seconds)

    def call_later(self, seconds: float, callback: Callable[[], object]) -> ActiveTimer:
        """Like `loop.call_later`, in active time."""
        return ActiveTimer(self, seconds, callback)


class ActiveTimer:
    """Calls a function once after the given active time."""

    __slots__ = ("_loop_lag", "_due_ms", "_callback", "_handle")

    def __init__(
        self, loop_lag: LoopLagMonitor, seconds: float, callback: Callable[[], object]
    ) -> None:
        self._loop_lag = loop_lag
        self._due_ms = loop_lag.active_ms() + 1000.0 * seconds
        self._callback = callback
        self._handle = asyncio.get_running_loop().call_later(seconds, self._check)

    def cancel(self) -> None:
        """Cancel the call."""
        self._handle.cancel()

    def _check(self) -> None:
        left_ms = self._due_ms - self._loop_lag.active_ms()
        if left_ms > TIMER_TOLERANCE_MS:
            self._handle = asyncio.get_running_loop().call_later(left_ms / 1000.0, self._check)
        else:
            self._callback()


class ActiveTimeout:
    """A context manager that raises TimeoutError after the given active time."""

    __slots__ = ("_loop_lag", "_seconds", "_timeout", "_timer")

    def __init__(self, loop_lag: LoopLagMonitor, seconds: Optional[float]) -> None:
        self._loop_lag = loop_lag
        self._seconds = seconds
        self._timeout = asyncio.timeout(None)
        self._timer: Optional[ActiveTimer] = None

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        if self._seconds is not None:
            self._timer = self._loop_lag.call_later(self._seconds, self._expire)

    async def __aexit__(
        self,
        kind: Optional[type[BaseException]],
        error: Optional[BaseException],
        traceback: Optional[TracebackType],
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None  # it refers to this object
        await self._timeout.__aexit__(kind, error, traceback)

    def _expire(self) -> None:
        self._timeout.reschedule(asyncio.get_running_loop().time())
