"""Conversion of listed start times to this node's clock. Pure: no I/O, no clock.

The list states starts in Unix time of another machine, whose clock may differ by any amount, when
this process starts or later. Two rules deal with that:

- A start that lies ahead of this node's clock counts from when it was first read, and stays there
  however often it is read again. Otherwise a node whose clock is behind would see a fleet that is
  cold for ever.
- A server, or a new start of a known server, that first appears after the first list started at
  most MAX_ANNOUNCEMENT_DELAY_MS before, unless this clock has been seen to agree with starts
  announced in that way. Otherwise a cold server would pass for warm where this clock is ahead.

The cost: where no start has been announced lately, an old server that joins the list late is
treated as cold once.

Memory: MAX_SERVERS servers; those first read longest ago are forgotten.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from forkweir.settings import Server

# A start is announced within this time: a server takes seconds to become ready, and discovery may
# be down meanwhile.
MAX_ANNOUNCEMENT_DELAY_MS = 15_000.0
MAX_SERVERS = 8_192


@dataclass(frozen=True, slots=True)
class _Start:
    stated_ms: float  # Unix time as the list states it
    local_ms: float  # the same moment on this node's clock


class StartTimes:
    """The start of each server that was listed."""

    __slots__ = ("_known", "_clock_agrees")

    def __init__(self) -> None:
        self._known: dict[str, _Start] = {}
        self._clock_agrees = False  # a start was announced that lies just behind this clock

    def localize(self, server: Server, first_list: bool, now: float) -> Server:
        """Return a listed server with its start on this node's clock.

        first_list: whether the entry comes from the first list that this process has read.
        """
        if server.state == "gone":
            return server
        stated = server.started_ms
        known = self._known.get(server.name)
        if known is None or known.stated_ms != stated:
            known = self._known[server.name] = _Start(stated, self._local(stated, first_list, now))
            while len(self._known) > MAX_SERVERS:
                del self._known[next(iter(self._known))]
        return replace(server, started_ms=known.local_ms) if known.local_ms != stated else server

    def _local(self, stated: float, first_list: bool, now: float) -> float:
        if stated <= 0.0:
            return stated  # the list says that the start was long ago
        age = now - stated
        if age <= 0.0:
            return now
        if first_list or self._clock_agrees:
            return stated
        if age <= MAX_ANNOUNCEMENT_DELAY_MS:
            self._clock_agrees = True
            return stated
        return now
