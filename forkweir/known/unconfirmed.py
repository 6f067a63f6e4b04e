"""What a node heeds of a list that it could not read whole. Pure, no I/O, no clock.

Discovery's line is spoilt or cut, and with it may be lost that a server drains. The rule on drains counts from when discovery wrote
it, so what can still be read is heeded at once, and settled by the next list that is read whole:

- an entry that stands whole and says that a server drains or is gone: the server gets nothing new (it is held back);
- one that says that it is in service and started later than known: it is cold;
- a server that a broken entry of a line of changes names: held back, for SUSPECT_MS at the longest;
- all else is passed over. Nothing is ever added or brought back by hearsay.

Who says so must name a server that the node knows, at the address at which it knows it; noise does not do that by chance. A hostile or
garbled line can't empty the set all the same: the last server in service is never held back, and no more than MOST_SUSPECT of them are
for broken entries. Whole ones have no other bound: noise makes none, and whoever can write them can write whole lists.

Bounds: one entry for each server held back.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MAX_UNREADABLE_SHARE = 0.25  # of the servers in service
UNREADABLE_TIMEOUT_MS = (
    10_000.0  # by when what was to be told counts as told anyway, and has been asked for many times
)


@dataclass(frozen=True, slots=True)
class UnconfirmedEntry:
    """What a spoilt line says of a server that the node knows."""

    name: str
    state: str  # draining, gone, in, or unreadable
    same_address: bool  # the address is the known one (for unreadable: there was none to compare)
    started_later: bool = False  # it started later than known


class UnconfirmedEntries:
    """Who is held back by it."""

    __slots__ = ("_held",)

    def __init__(self) -> None:
        self._held: dict[str, float] = {}  # name: until when, inf where an entry stood whole

    @property
    def held_back(self) -> tuple[str, ...]:
        """The servers that get nothing new because of it, in the order in which they were named."""
        return tuple(self._held)

    def apply(
        self, entries: Iterable[UnconfirmedEntry], in_service: int, now: float
    ) -> tuple[list[str], list[str]]:
        """Who is to be held back, and who is cold, by these words. in_service: servers listed in service and not held back."""
        back, cold = [], []
        whole = in_service + len(self._held)
        for entry in entries:
            if not entry.same_address:
                continue
            if entry.state == "in":
                if entry.started_later:
                    cold.append(entry.name)
                continue
            suspect = entry.state == "unreadable"
            if entry.name in self._held:
                if not suspect:
                    self._held[entry.name] = float("inf")
                continue
            if in_service <= 1 or (
                suspect and len(self._held) + 1 > max(1.0, MAX_UNREADABLE_SHARE * whole)
            ):
                continue
            in_service -= 1
            self._held[entry.name] = now + UNREADABLE_TIMEOUT_MS if suspect else float("inf")
            back.append(entry.name)
        return back, cold

    def confirm(self, named: Iterable[str], complete: bool) -> list[str]:
        """A line was read whole: what it names is as it says. Who else is no longer held back, where it tells all that was missed."""
        for name in named:
            self._held.pop(name, None)
        if not complete:
            return []
        free = list(self._held)
        self._held.clear()
        return free

    def expire(self, now: float) -> list[str]:
        """Who has been held back for long enough on a broken entry alone."""
        free = [name for name, until in self._held.items() if until <= now]
        for name in free:
            del self._held[name]
        return free
