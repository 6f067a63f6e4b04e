"""Notified drains and removals, held against lists that are older. Pure: no I/O, no clock.

A replica of discovery may be behind the one that a node asked before, or after a reload be another
service altogether. A list received later can therefore be an older version. A departure is believed
until a list of the same or a later generation, or of a server that has started since, says
otherwise. Another service need not count generations the same way, so a departure expires after
HOLD_MS.

Memory: at most MAX_DEPARTURES departures; the oldest are forgotten first.
"""

from __future__ import annotations

from dataclasses import dataclass

# Changes count as notified after 6 s, so a replica that is further behind than this is out of
# service.
HOLD_MS = 10_000.0
# As many as a list may have servers.
MAX_DEPARTURES = 4_096


@dataclass(frozen=True, slots=True)
class Departure:
    """One notification that a server drains or is gone."""

    generation: int  # of the list that said so
    started_ms: float  # when the server that left had started, Unix time
    at_ms: float  # when this node was notified


class Departures:
    """The latest departure of each server."""

    __slots__ = ("_latest",)

    def __init__(self) -> None:
        self._latest: dict[str, Departure] = {}

    def __contains__(self, name: object) -> bool:
        """Return whether a departure of this server is remembered."""
        return name in self._latest

    def generation_of(self, name: str) -> int:
        """Return the generation of a server's departure, -1 if none is remembered."""
        known = self._latest.get(name)
        return -1 if known is None else known.generation

    def items(self) -> list[tuple[str, Departure]]:
        """Return all departures that are remembered, by server."""
        return list(self._latest.items())

    def record(self, name: str, generation: int, started_ms: float, now: float) -> None:
        """Record that a server drains or is gone, according to a list of this generation."""
        known = self._latest.pop(name, None)
        if known is not None and known.generation >= generation:
            generation = known.generation
        self._latest[name] = Departure(
            generation,
            started_ms,
            now if known is None or generation > known.generation else known.at_ms,
        )
        while len(self._latest) > MAX_DEPARTURES:
            del self._latest[next(iter(self._latest))]

    def outranks(self, name: str, generation: int, started_ms: float, now: float) -> bool:
        """Return whether a departure is newer than a list that has the server in service.

        generation and started_ms are those that the list gives.
        """
        known = self._latest.get(name)
        if known is None or now - known.at_ms > HOLD_MS:
            return False
        return generation < known.generation and started_ms <= known.started_ms

    def forget(self, name: str) -> None:
        """Forget the departure of a server that is in service again."""
        self._latest.pop(name, None)
