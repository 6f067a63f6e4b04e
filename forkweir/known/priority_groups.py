"""Priority groups (RFC 2782): a lower group is used only when the higher one can't serve. Pure, no I/O, no clock.

Groups are numbered as SRV priorities are: the smallest goes first. The level is the group up to which boxes are in use. It falls to the
next group at once when no box of those in use can serve, and goes back only when one of a higher group could for RETURN_MS without a break
(guards against traffic that goes to and fro with a box that fails every other second). The boxes of higher groups stay in use beside the
lower one meanwhile, so that health tries them as it tries any other.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Optional

FAILBACK_MS = 5_000.0


class PriorityGroups:
    """Up to which group boxes are in use."""

    __slots__ = ("_level", "_since")

    def __init__(self) -> None:
        self._level: Optional[int] = None
        self._since: dict[
            int, float
        ] = {}  # of higher groups: since when one of their boxes could serve

    def level(self, boxes: Iterable[tuple[int, bool]], now: float) -> int:
        """boxes: of each box in service its priority, and whether it can serve. The level; 0 where there is no box."""
        can: dict[int, bool] = {}
        for priority, serves in boxes:
            can[priority] = can.get(priority, False) or serves
        if not can:
            self._level, self._since = None, {}
            return 0
        order = sorted(can)
        wanted = next((priority for priority in order if can[priority]), order[-1])
        self._since = {p: self._since.get(p, now) for p in order if can[p]}
        if self._level is None or self._level not in can:
            self._level = wanted
        elif wanted > self._level:
            self._level = wanted
        elif wanted < self._level and now - self._since[wanted] >= FAILBACK_MS:
            self._level = wanted
        return self._level
