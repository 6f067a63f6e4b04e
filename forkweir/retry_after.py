"""When a refused client should come back: `Retry-After`, from each budget's own forecast. Pure, no I/O, no clock.

A refusal names its cause, and the cause knows when it may be over: a bucket fills at a known rate, the gate opens at a known
pace, fetches in flight end as fast as they lately did. What is told is that forecast, where a client that comes then can
still be answered in time; else, and where nothing can be forecast, the longest wait that the settings allow, since coming
sooner would cost the fleet and serve nobody.

Every wait is spread (guards against clients refused in one instant coming back in one): a forecast over the next SPREAD of
itself, the longest wait over its last LAST part. Each node draws from its own seed. Bounds: one generator, no state else; a wait
is never under LEAST_MS, nor over the longest.
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
"""Why the module refuses: no server is listed or usable; those that are left are cold and have no room; the gate keeps the key
out; a likely miss at a jammed origin; a write at an origin that is down; no attempt is left that may be made."""

FORECAST_JITTER = 0.5
MAX_WAIT_JITTER = 0.1
MIN_WAIT_MS = 20.0


class RetryAfter:
    """Spreads what clients are told."""

    __slots__ = ("_max_wait_ms", "_random")

    def __init__(self, max_wait_ms: float, seed: int) -> None:
        self._max_wait_ms = max_wait_ms
        self._random = random.Random(f"advice/{seed}")

    def wait(self, forecast_ms: Optional[float], left_ms: float) -> float:
        """How long a client should stay away, in ms; 0 where the settings allow no advice.

        forecast_ms: when its request may be let in, None where nobody knows. left_ms: how long it can still be answered in time.
        """
        max_wait_ms = self._max_wait_ms
        if max_wait_ms <= 0.0:
            return 0.0
        draw = self._random.random()
        if forecast_ms is None or forecast_ms >= min(left_ms, max_wait_ms):
            return max_wait_ms * (1.0 - MAX_WAIT_JITTER * draw)
        return min(max_wait_ms, max(MIN_WAIT_MS, forecast_ms * (1.0 + FORECAST_JITTER * draw)))
