"""When the node's loop was there to listen: one clock for time-outs of peers, and a bound for how long input can have stood unread.

A node may have a fiftieth of a core, or be stopped for a while. Time that passed while its loop did not run says nothing of its peers: what
they sent meanwhile stands unread. A periodic timer shows how late the loop runs. From it follow

- present time: real time less what was lost to holds. Time-outs that judge a peer (a silent watch, a line that goes no further, a call, a
  dial) count it, and so do the durations of attempts by which servers are judged;
- the moment since which input may stand unread, from which the time of a request counts that was read after a hold.

Deadlines, drain graces, repeat windows and the age of the server list count real time (`seam.now_ms`), whatever the node was busy with.

Bounds: one timer every PERIOD_MS; one line in the log every LOG_MS.
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
LAG_SMOOTHING = 0.3  # weight of one tick in how late timers come lately
STALL_THRESHOLD_MS = (
    20.0  # a timer that comes this late has been held up; less is the ordinary scatter of a loop
)
MIN_UNREAD_MS = (
    2.0 * PERIOD_MS + STALL_THRESHOLD_MS
)  # shorter holds can't be told from none by a timer of this period
TIMER_TOLERANCE_MS = 1.0  # a timer that comes so much early has come in time
LOG_INTERVAL_MS = 5_000.0
STALL_BUCKETS_MS = (
    50.0,
    150.0,
    500.0,
    1_000.0,
)  # upper bounds of the histogram's buckets; the last bucket has none


class LoopLagMonitor:
    """Follows how late the running loop is. Before `start` it always passes for present."""

    __slots__ = (
        "stall_counts", "longest_stall_ms", "last_stall_ms", "smoothed_lag_ms",
        "_active_ms", "_last_tick_ms", "_read_until_ms", "_timer", "_last_log_ms",
        "_longest_unlogged_ms",
    )  # fmt: skip

    def __init__(self) -> None:
        self.stall_counts = [0] * (
            len(STALL_BUCKETS_MS) + 1
        )  # how often the loop was late, by by how much
        self.longest_stall_ms = 0.0
        self.last_stall_ms = 0.0  # when the last hold was noticed
        self.smoothed_lag_ms = (
            0.0  # how late timers come lately, which is about as long as a turn of the loop takes
        )
        self._active_ms = 0.0  # up to the last tick
        self._last_tick_ms: Optional[float] = None  # when that was
        self._read_until_ms = 0.0  # what came before this has been read
        self._timer: Optional[asyncio.TimerHandle] = None
        self._last_log_ms = 0.0
        self._longest_unlogged_ms = 0.0  # since the log last told

    def start(self) -> None:
        """Follow the running loop from now on."""
        self._last_tick_ms = self._read_until_ms = now_ms()
        self._timer = asyncio.get_running_loop().call_later(PERIOD_MS / 1000.0, self._tick)

    def close(self) -> None:
        """Follow it no more."""
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
            self._read_until_ms = last  # the loop has polled since then
        self._last_tick_ms = now
        self._timer = asyncio.get_running_loop().call_later(PERIOD_MS / 1000.0, self._tick)

    def _record_stall(self, late_ms: float, now: float) -> None:
        self.last_stall_ms = now
        self.stall_counts[
            next(
                (n for n, most in enumerate(STALL_BUCKETS_MS) if late_ms <= most),
                len(STALL_BUCKETS_MS),
            )
        ] += 1
        self.longest_stall_ms = max(self.longest_stall_ms, late_ms)
        self._longest_unlogged_ms = max(self._longest_unlogged_ms, late_ms)
        if self._longest_unlogged_ms > MIN_UNREAD_MS and now - self._last_log_ms >= LOG_INTERVAL_MS:
            log.info(
                "the loop was held up for up to %.0f ms since this was last told",
                self._longest_unlogged_ms,
            )
            self._last_log_ms, self._longest_unlogged_ms = now, 0.0

    # -- readings ------------------------------------------------------------------------

    def active_ms(self) -> float:
        """A clock that stands still while the loop is held up, in ms; differences alone have a meaning."""
        now = now_ms()
        if self._last_tick_ms is None:
            return now
        passed = now - self._last_tick_ms
        return self._active_ms + (passed if passed <= PERIOD_MS + STALL_THRESHOLD_MS else PERIOD_MS)

    def lag_ms(self) -> float:
        """By how much the loop is late at this moment, at the least."""
        return (
            0.0
            if self._last_tick_ms is None
            else max(0.0, now_ms() - self._last_tick_ms - PERIOD_MS)
        )

    def unread_ms(self) -> float:
        """For how long input that is read now can have stood unread because the loop was held up, or turns slowly; 0 where it was not."""
        if self._last_tick_ms is None:
            return 0.0
        unread_ms = now_ms() - self._read_until_ms
        if unread_ms > MIN_UNREAD_MS:
            return unread_ms
        return self.smoothed_lag_ms if self.smoothed_lag_ms > STALL_THRESHOLD_MS else 0.0

    def stalled_since(self, checked_ms: float) -> bool:
        """Whether what was last looked at then may have changed unnoticed: the loop is, or was since, held up."""
        return self.lag_ms() > STALL_THRESHOLD_MS or checked_ms < self.last_stall_ms

    def timeout(self, seconds: Optional[float]) -> ActiveTimeout:
        """As `asyncio.timeout`, in present time; None: no limit."""
        return ActiveTimeout(self, seconds)

    def call_later(self, seconds: float, callback: Callable[[], object]) -> ActiveTimer:
        """As `loop.call_later`, in present time."""
        return ActiveTimer(self, seconds, callback)


class ActiveTimer:
    """Calls something once so much present time has passed."""

    __slots__ = ("_loop_lag", "_due_ms", "_callback", "_handle")

    def __init__(
        self, loop_lag: LoopLagMonitor, seconds: float, callback: Callable[[], object]
    ) -> None:
        self._loop_lag = loop_lag
        self._due_ms = loop_lag.active_ms() + 1000.0 * seconds
        self._callback = callback
        self._handle = asyncio.get_running_loop().call_later(seconds, self._check)

    def cancel(self) -> None:
        """It is not called any more."""
        self._handle.cancel()

    def _check(self) -> None:
        left_ms = self._due_ms - self._loop_lag.active_ms()
        if left_ms > TIMER_TOLERANCE_MS:
            self._handle = asyncio.get_running_loop().call_later(left_ms / 1000.0, self._check)
        else:
            self._callback()


class ActiveTimeout:
    """A scope that ends with TimeoutError once so much present time has passed in it."""

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
        await self._timeout.__aexit__(kind, error, traceback)

    def _expire(self) -> None:
        self._timeout.reschedule(asyncio.get_running_loop().time())
