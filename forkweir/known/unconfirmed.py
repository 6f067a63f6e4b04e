"""Entries of list lines that were received only in part. Pure: no I/O, no clock.

When a line from discovery is corrupt or truncated, the notice that a server drains may be lost with
it. The rule on drains counts from the moment at which discovery wrote the line, so whatever can
still be read is applied at once and confirmed by the next complete list:

- a complete entry that says that a server drains or is gone: the server is held back, that is, it
  gets nothing new;
- a complete entry that says that a server is in service and started later than known: it is cold;
- an unreadable entry of a line of changes that names a server: the server is held back for at most
  UNREADABLE_TIMEOUT_MS;
- everything else is ignored. Unconfirmed entries never add a server or bring one back.

An entry must name a server that the node knows, at the address at which the node knows it, which
noise doesn't do by chance. A hostile or garbled line still can't empty the set: the last server in
service is never held back, and at most MAX_UNREADABLE_SHARE of the servers are held back for
unreadable entries. Complete entries have no other bound: noise doesn't produce them, and whoever
can write them can write complete lists as well.

Memory: one entry for each server that is held back.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

# Share of the servers in service that may be held back for unreadable entries.
MAX_UNREADABLE_SHARE = 0.25
# By then the lost change counts as notified in any case, and has been asked for many times.
UNREADABLE_TIMEOUT_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class UnconfirmedEntry:
    """What a corrupt line says about a server that the node knows."""

    name: str
    state: str  # draining, gone, in, or unreadable
    same_address: bool  # the address is the known one, or the entry was unreadable and has none
    started_later: bool = False  # the server started later than known


class UnconfirmedEntries:
    """The servers that are held back because of unconfirmed entries."""

    __slots__ = ("_held",)

    def __init__(self) -> None:
        # Time until which each server is held back; infinite where the entry was complete.
        self._held: dict[str, float] = {}

    @property
    def held_back(self) -> tuple[str, ...]:
        """The servers that get nothing new, in the order in which they were named."""
        return tuple(self._held)

    def apply(
        self, entries: Iterable[UnconfirmedEntry], in_service_count: int, now: float
    ) -> tuple[list[str], list[str]]:
        """Apply entries; return the servers to hold back and the servers that are cold.

        in_service_count: number of servers that are listed as in service and not held back.
        """
        held_back, cold = [], []
        total = in_service_count + len(self._held)
        for entry in entries:
            if not entry.same_address:
                continue
            if entry.state == "in":
                if entry.started_later:
                    cold.append(entry.name)
                continue
            unreadable = entry.state == "unreadable"
            if entry.name in self._held:
                if not unreadable:
                    self._held[entry.name] = float("inf")
                continue
            if in_service_count <= 1 or (
                unreadable and len(self._held) + 1 > max(1.0, MAX_UNREADABLE_SHARE * total)
            ):
                continue
            in_service_count -= 1
            self._held[entry.name] = now + UNREADABLE_TIMEOUT_MS if unreadable else float("inf")
            held_back.append(entry.name)
        return held_back, cold

    def confirm(self, named: Iterable[str], gapless: bool) -> list[str]:
        """Apply a complete line; return servers that are no longer held back.

        The servers that the line names are as it says. The others are released only where the line
        covers everything that was missed (gapless).
        """
        for name in named:
            self._held.pop(name, None)
        if not gapless:
            return []
        released = list(self._held)
        self._held.clear()
        return released

    def expire(self, now: float) -> list[str]:
        """Release and return servers whose time for an unreadable entry is over."""
        released = [name for name, until in self._held.items() if until <= now]
        for name in released:
            del self._held[name]
        return released
