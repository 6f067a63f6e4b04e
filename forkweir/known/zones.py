"""Detection of zones that are partitioned from this node. Pure: no I/O, no clock.

Memory: a count, a time and a pair for each zone that the list names.
"""

from __future__ import annotations

from forkweir.known.outcomes import AttemptOutcome

# After so many unanswered attempts in a row, another zone is considered partitioned.
MAX_UNANSWERED = 4
# A zone is also considered partitioned when more than MAX_UNANSWERED attempts have had no answer
# for this many times the aim while this node's own zone answered.
UNANSWERED_AIMS = 2.0
# Time until a partitioned zone is tried again.
PARTITION_RETRY_MS = 1_000.0


class Zones:
    """How each zone answers, and which zones are considered partitioned. Times are in ms."""

    __slots__ = (
        "own",
        "consecutive_unanswered",
        "partitioned_until",
        "since_answer",
        "own_answer_ms",
    )

    def __init__(self, own: str) -> None:
        self.own = own
        # Attempts in a row that no server of a zone answered.
        self.consecutive_unanswered: dict[str, int] = {}
        self.partitioned_until: dict[str, float] = {}
        # By zone: number of attempts since the zone last answered, and the time of the first.
        self.since_answer: dict[str, list[float]] = {}
        self.own_answer_ms = 0.0  # when the own zone last answered

    def is_partitioned(self, zone: str, now: float) -> bool:
        """Return whether a zone is considered partitioned."""
        return self.partitioned_until.get(zone, 0.0) > now

    def may_be_partitioned(self, zone: str) -> bool:
        """Return whether another zone has left MAX_UNANSWERED attempts in a row unanswered."""
        return zone != self.own and self.consecutive_unanswered.get(zone, 0) >= MAX_UNANSWERED

    def record_zone_answer(self, zone: str, outcome: AttemptOutcome, now: float) -> None:
        """Record whether a zone answered, so that not every server behind a cut link is tried."""
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
        # Time-outs are counted, but overload causes them too: only a failed dial is taken as proof
        # of a partition.
        if (
            self.consecutive_unanswered[zone] >= MAX_UNANSWERED
            and outcome.fault
            and zone != self.own
        ):
            self.partitioned_until[zone] = now + PARTITION_RETRY_MS

    def record_sent(self, zone: str, aim_ms: float, now: float) -> None:
        """Record an attempt at a zone, which is partitioned if it has long been unresponsive.

        This covers open connections over a cut link, on which each attempt waits for its whole
        time-out. The own zone must have answered meanwhile.
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
