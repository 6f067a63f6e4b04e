"""`Retry-After` of refused requests (RFC 9110, section 10.2.3). Pure, no I/O, no clock.

Each cause of refusal has its own forecast: a token bucket fills at a known rate, the gate opens
at a known rate, fetches in flight complete at a recently observed rate. The wait is that forecast
if a request that is retried then can still be answered in time. Otherwise, and where there is no
forecast, it is the longest wait that the settings allow, since an earlier retry would cost the
fleet work and could not be served.

Waits are jittered so that clients refused at one instant don't return at one instant: a forecast
is lengthened by up to FORECAST_JITTER of itself, the longest wait is shortened by up to
MAX_WAIT_JITTER. Each node draws from its own seed. Bounds: one random generator and no other
state; a wait is at least MIN_WAIT_MS and at most the longest wait.
"""

from __future__ import annotations

import random
from typing import Literal, Optional

RefusalCause = Literal["no-server", "cold", "gate", "origin", "origin-down", "tries"]
REFUSAL_CAUSES: tuple[RefusalCause, ...] = (
    "no-server",
    "cold",
    "gate",
    "origin",
    "origin-down",
    "tries",
)
"""Why the module refuses a request, in this order: no server is listed or usable; the remaining
servers are cold and without capacity; the gate does not admit the key; it would probably miss at an
overloaded origin; it is a write and the origin is down; no further attempt is allowed."""

FORECAST_JITTER = 0.5
MAX_WAIT_JITTER = 0.1
MIN_WAIT_MS = 20.0


class RetryAfter:
    """Computes jittered waits for refused clients."""

    __slots__ = ("_max_wait_ms", "_random")

    def __init__(self, max_wait_ms: float, seed: int) -> None:
        self._max_wait_ms = max_wait_ms
        self._random = random.Random(f"advice/{seed}")

    def wait(self, forecast_ms: Optional[float], left_ms: float) -> float:
        """How long a client should wait before it retries, in ms; 0 where Retry-After is off.

        forecast_ms: in how long its request may be admitted, None if unknown. left_ms: how long it
        can still be answered in time.
        """
        max_wait_ms = self._max_wait_ms
        if max_wait_ms <= 0.0:
            return 0.0
        draw = self._random.random()
        if forecast_ms is None or forecast_ms >= min(left_ms, max_wait_ms):
            return max_wait_ms * (1.0 - MAX_WAIT_JITTER * draw)
        return min(max_wait_ms, max(MIN_WAIT_MS, forecast_ms * (1.0 + FORECAST_JITTER * draw)))
