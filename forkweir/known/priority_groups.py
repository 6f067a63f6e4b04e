"""Priority groups (RFC 2782): a lower group is used only when no higher one can serve. Pure.

Groups are numbered like the priorities of SRV records: the smallest number goes first. The level
is the group up to which boxes are in use. It moves to the next group at once when no box in use
can serve, and back only when a box of a higher group has been able to serve for FAILBACK_MS
without interruption. Otherwise traffic would switch to and fro with a box that fails every other
second. The boxes of higher groups stay in use beside the lower group meanwhile, so that health
checks try them as they try any other.

The module has no I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Optional

FAILBACK_MS = 5_000.0


class PriorityGroups:
    """The level: the priority up to which boxes are in use."""

    __slots__ = ("_level", "_since")

    def __init__(self) -> None:
        self._level: Optional[int] = None
        # By priority: since when a box of that group has been able to serve.
        self._since: dict[int, float] = {}

    def level(self, boxes: Iterable[tuple[int, bool]], now: float) -> int:
        """Update and return the level; 0 where there are no boxes.

        boxes: the priority of each box in service, and whether the box can serve.
        """
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
