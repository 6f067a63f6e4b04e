"""The node's clock: Unix time fixed at the start, carried on by the monotonic clock."""

from __future__ import annotations

import time

_START_MS = time.time() * 1000.0 - time.monotonic() * 1000.0


def now_ms() -> float:
    """Unix time in milliseconds that never goes back (so `startedAtMs` compares and timers hold)."""
    return _START_MS + time.monotonic() * 1000.0
