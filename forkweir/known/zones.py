"""Links between zones: which other zone is cut off, as far as attempts tell. Pure, no I/O, no clock.

Bounds: a count, a time and a pair for each zone that the list names.
"""

from __future__ import annotations

from forkweir.known.seen import Seen

CUT_AFTER = 4  # unanswered attempts in a row at one other zone: its links are held to be cut
SILENT_AIMS = (
    2.0  # or as many out with no answer for this many times the aim, while the own zone answers
)
CUT_MS = 1_000.0  # between two trials of a zone that is held to be cut off


class Zones:
    """What is heard of each zone, and which are held to be cut off."""

    __slots__ = ("own", "unheard", "cut_until", "silent", "heard_ms")

    def __init__(self, own: str) -> None:
        self.own = own
        self.unheard: dict[str, int] = {}  # attempts in a row that nothing in a zone answered
        self.cut_until: dict[str, float] = {}
        self.silent: dict[
            str, list[float]
        ] = {}  # of a zone: attempts since it last answered, time of the first
        self.heard_ms = 0.0  # when the own zone last answered

    def cut(self, zone: str, now: float) -> bool:
        """Whether a zone is held to be cut off."""
        return self.cut_until.get(zone, 0.0) > now

    def quiet(self, zone: str) -> bool:
        """Whether another zone has left so many attempts in a row unanswered that it may be cut off."""
        return zone != self.own and self.unheard.get(zone, 0) >= CUT_AFTER

    def heard(self, zone: str, seen: Seen, now: float) -> None:
        """Note whether a zone answers (guards against trying each server behind a cut link in turn)."""
        answers = seen.zone_answers
        if answers is None:
            return
        if answers:
            self.unheard[zone] = 0
            self.silent.pop(zone, None)
            if zone == self.own:
                self.heard_ms = now
            self.cut_until.pop(zone, None)
            return
        self.unheard[zone] = self.unheard.get(zone, 0) + 1
        # Time-outs count, but overload brings them too: only a failed dial declares a cut.
        if self.unheard[zone] >= CUT_AFTER and seen.fault and zone != self.own:
            self.cut_until[zone] = now + CUT_MS

    def sent(self, zone: str, aim_ms: float, now: float) -> None:
        """Note an attempt at a zone; one silent for long, while the own answers, is held to be cut off.

        Guards against open connections over a cut link, on which each attempt waits for its whole time-out.
        """
        if zone == self.own:
            return
        silent = self.silent.setdefault(zone, [0.0, now])
        silent[0] += 1.0
        if (
            silent[0] > CUT_AFTER
            and now - silent[1] > SILENT_AIMS * aim_ms
            and self.heard_ms > silent[1]
        ):
            self.cut_until[zone] = now + CUT_MS
