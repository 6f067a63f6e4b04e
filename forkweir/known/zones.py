"""Links between zones: which other zone is cut off, as far as attempts tell. Pure, no I/O, no clock.

Bounds: a count, a time and a pair for each zone that the list names.
"""

from __future__ import annotations

from forkweir.known.outcomes import AttemptOutcome

MAX_UNANSWERED = 4  # unanswered attempts in a row at one other zone: its links are held to be cut
UNANSWERED_AIMS = (
    2.0  # or as many out with no answer for this many times the aim, while the own zone answers
)
PARTITION_RETRY_MS = 1_000.0  # between two trials of a zone that is held to be cut off


class Zones:
    """What is heard of each zone, and which are held to be cut off."""

    __slots__ = (
        "own",
        "consecutive_unanswered",
        "partitioned_until",
        "since_answer",
        "own_answer_ms",
    )

    def __init__(self, own: str) -> None:
        self.own = own
        self.consecutive_unanswered: dict[
            str, int
        ] = {}  # attempts in a row that nothing in a zone answered
        self.partitioned_until: dict[str, float] = {}
        self.since_answer: dict[
            str, list[float]
        ] = {}  # of a zone: attempts since it last answered, time of the first
        self.own_answer_ms = 0.0  # when the own zone last answered

    def is_partitioned(self, zone: str, now: float) -> bool:
        """Whether a zone is held to be cut off."""
        return self.partitioned_until.get(zone, 0.0) > now

    def may_be_partitioned(self, zone: str) -> bool:
        """Whether another zone has left so many attempts in a row unanswered that it may be cut off."""
        return zone != self.own and self.consecutive_unanswered.get(zone, 0) >= MAX_UNANSWERED

    def record_zone_answer(self, zone: str, outcome: AttemptOutcome, now: float) -> None:
        """Note whether a zone answers (guards against trying each server behind a cut link in turn)."""
        answers = outcome.zone_answers
        if answers is None:
            return
        if answers:
            self.consecutive_unanswered[zone] = 0
            self.since_answer.pop(zone, None)
            if zone == self.own:
                self.own_answer_ms = now
            self.partitioned_until.pop(zone, None)
            return
        self.consecutive_unanswered[zone] = self.consecutive_unanswered.get(zone, 0) + 1
        # Time-outs count, but overload brings them too: only a failed dial declares a cut.
        if (
            self.consecutive_unanswered[zone] >= MAX_UNANSWERED
            and outcome.fault
            and zone != self.own
        ):
            self.partitioned_until[zone] = now + PARTITION_RETRY_MS

    def record_sent(self, zone: str, aim_ms: float, now: float) -> None:
        """Note an attempt at a zone; one silent for long, while the own answers, is held to be cut off.

        Guards against open connections over a cut link, on which each attempt waits for its whole time-out.
        """
        if zone == self.own:
            return
        pending = self.since_answer.setdefault(zone, [0.0, now])
        pending[0] += 1.0
        if (
            pending[0] > MAX_UNANSWERED
            and now - pending[1] > UNANSWERED_AIMS * aim_ms
            and self.own_answer_ms > pending[1]
        ):
            self.partitioned_until[zone] = now + PARTITION_RETRY_MS
