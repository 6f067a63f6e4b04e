"""When servers started, on this node's clock, from starts that the list states in Unix time. Pure, no I/O, no clock.

The two wall clocks may differ by any amount, at the start of this process or later. What is relied on:

- a start that lies ahead of this node's clock counts from when it was first read, and stays there however often it is read again
  (guards against a fleet that is cold for ever where this machine's clock is behind);
- a server, or a start of it, that first appears in a later list than the first one started at most NEWS_MS before, unless this clock
  has been seen to agree with starts so announced (guards against a cold server that passes for warm where this clock is ahead).

Harm: where no start has been announced lately, a server that is old and joins the list late is spared like a cold one once.
Bounds: MOST servers, the ones first read longest ago are forgotten.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from forkweir.settings import Server

# a start is announced within this: seconds until a server is ready, and discovery may be down meanwhile
MAX_ANNOUNCEMENT_DELAY_MS = 15_000.0
MAX_SERVERS = 8_192


@dataclass(frozen=True, slots=True)
class _Start:
    stated_ms: float  # Unix time, as the list has it
    local_ms: float  # the same on this node's clock


class StartTimes:
    """The start of each server that was listed."""

    __slots__ = ("_known", "_clock_agrees")

    def __init__(self) -> None:
        self._known: dict[str, _Start] = {}
        self._clock_agrees = False  # a start was announced that this clock has just behind it

    def localize(self, server: Server, first_list: bool, now: float) -> Server:
        """A listed server with its start on this node's clock. first_list: in the first list that this process has read."""
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
            return stated  # long ago, as the list says
        age = now - stated
        if age <= 0.0:
            return now
        if first_list or self._clock_agrees:
            return stated
        if age <= MAX_ANNOUNCEMENT_DELAY_MS:
            self._clock_agrees = True
            return stated
        return now
