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
TURN_STEP = 0.3  # weight of one tick in how late timers come lately
LATE_MS = (
    20.0  # a timer that comes this late has been held up; less is the ordinary scatter of a loop
)
UNREAD_MS = (
    2.0 * PERIOD_MS + LATE_MS
)  # shorter holds can't be told from none by a timer of this period
LEAST_LEFT_MS = 1.0  # a timer that comes so much early has come in time
LOG_MS = 5_000.0
HOLDS_MS = (
    50.0,
    150.0,
    500.0,
    1_000.0,
)  # upper bounds of the histogram's buckets; the last bucket has none


class Presence:
    """Follows how late the running loop is. Before `start` it always passes for present."""

    __slots__ = (
        "holds", "longest_ms", "held_until_ms", "turn_ms", "_present_ms", "_last_ms", "_read_until_ms", "_timer", "_logged_ms", "_worst_ms",
    )  # fmt: skip

    def __init__(self) -> None:
        self.holds = [0] * (len(HOLDS_MS) + 1)  # how often the loop was late, by by how much
        self.longest_ms = 0.0
        self.held_until_ms = 0.0  # when the last hold was noticed
        self.turn_ms = (
            0.0  # how late timers come lately, which is about as long as a turn of the loop takes
        )
        self._present_ms = 0.0  # up to the last tick
        self._last_ms: Optional[float] = None  # when that was
        self._read_until_ms = 0.0  # what came before this has been read
        self._timer: Optional[asyncio.TimerHandle] = None
        self._logged_ms = 0.0
        self._worst_ms = 0.0  # since the log last told

    def start(self) -> None:
        """Follow the running loop from now on."""
        self._last_ms = self._read_until_ms = now_ms()
        self._timer = asyncio.get_running_loop().call_later(PERIOD_MS / 1000.0, self._tick)

    def close(self) -> None:
        """Follow it no more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._last_ms = None

    def _tick(self) -> None:
        now = now_ms()
        last = self._last_ms if self._last_ms is not None else now
        late_ms = now - last - PERIOD_MS
        self.turn_ms += TURN_STEP * (max(0.0, late_ms) - self.turn_ms)
        if late_ms > LATE_MS:
            self._present_ms += PERIOD_MS
            self._note_hold(late_ms, now)
        else:
            self._present_ms += now - last
            self._read_until_ms = last  # the loop has polled since then
        self._last_ms = now
        self._timer = asyncio.get_running_loop().call_later(PERIOD_MS / 1000.0, self._tick)

    def _note_hold(self, late_ms: float, now: float) -> None:
        self.held_until_ms = now
        self.holds[
            next((n for n, most in enumerate(HOLDS_MS) if late_ms <= most), len(HOLDS_MS))
        ] += 1
        self.longest_ms = max(self.longest_ms, late_ms)
        self._worst_ms = max(self._worst_ms, late_ms)
        if self._worst_ms > UNREAD_MS and now - self._logged_ms >= LOG_MS:
            log.info(
                "the loop was held up for up to %.0f ms since this was last told", self._worst_ms
            )
            self._logged_ms, self._worst_ms = now, 0.0

    # -- readings ------------------------------------------------------------------------

    def present_ms(self) -> float:
        """A clock that stands still while the loop is held up, in ms; differences alone have a meaning."""
        now = now_ms()
        if self._last_ms is None:
            return now
        passed = now - self._last_ms
        return self._present_ms + (passed if passed <= PERIOD_MS + LATE_MS else PERIOD_MS)

    def lag_ms(self) -> float:
        """By how much the loop is late at this moment, at the least."""
        return 0.0 if self._last_ms is None else max(0.0, now_ms() - self._last_ms - PERIOD_MS)

    def unread_ms(self) -> float:
        """For how long input that is read now can have stood unread because the loop was held up, or turns slowly; 0 where it was not."""
        if self._last_ms is None:
            return 0.0
        unread_ms = now_ms() - self._read_until_ms
        if unread_ms > UNREAD_MS:
            return unread_ms
        return self.turn_ms if self.turn_ms > LATE_MS else 0.0

    def stale(self, looked_ms: float) -> bool:
        """Whether what was last looked at then may have changed unnoticed: the loop is, or was since, held up."""
        return self.lag_ms() > LATE_MS or looked_ms < self.held_until_ms

    def timeout(self, seconds: Optional[float]) -> PresentTimeout:
        """As `asyncio.timeout`, in present time; None: no limit."""
        return PresentTimeout(self, seconds)

    def call_later(self, seconds: float, call: Callable[[], object]) -> PresentTimer:
        """As `loop.call_later`, in present time."""
        return PresentTimer(self, seconds, call)


class PresentTimer:
    """Calls something once so much present time has passed."""

    __slots__ = ("_presence", "_due_ms", "_call", "_handle")

    def __init__(self, presence: Presence, seconds: float, call: Callable[[], object]) -> None:
        self._presence = presence
        self._due_ms = presence.present_ms() + 1000.0 * seconds
        self._call = call
        self._handle = asyncio.get_running_loop().call_later(seconds, self._check)

    def cancel(self) -> None:
        """It is not called any more."""
        self._handle.cancel()

    def _check(self) -> None:
        left_ms = self._due_ms - self._presence.present_ms()
        if left_ms > LEAST_LEFT_MS:
            self._handle = asyncio.get_running_loop().call_later(left_ms / 1000.0, self._check)
        else:
            self._call()


class PresentTimeout:
    """A scope that ends with TimeoutError once so much present time has passed in it."""

    __slots__ = ("_presence", "_seconds", "_timeout", "_timer")

    def __init__(self, presence: Presence, seconds: Optional[float]) -> None:
        self._presence = presence
        self._seconds = seconds
        self._timeout = asyncio.timeout(None)
        self._timer: Optional[PresentTimer] = None

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        if self._seconds is not None:
            self._timer = self._presence.call_later(self._seconds, self._expire)

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
