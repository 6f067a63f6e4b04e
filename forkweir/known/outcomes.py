"""What came back, judged once. Pure, no I/O, no clock.

An attempt ends in an outcome (a word of the wire), after some time, with or without a word on whether it hit. What that tells of the
server, of the origin, of the key and of the load depends on what the attempt had: its aim, how likely it was to miss, whether the
server was cold or on trial. All of that is decided here and nowhere else; gate, doubts, budgets and health take a `Seen`.

| outcome | of the server | of the origin | of the key | of the load |
|---|---|---|---|---|
| success | alive; wrong past its aim | a miss: the part of its aim that it took | hit or missed there | in time or late; its cost |
| overloaded | alive, has no room | nothing | nothing | too much for it now |
| failure | alive; wrong | failed, as far as a miss was likely | nothing | nothing |
| absent | alive | nothing | not there | nothing |
| timed_out | wrong | too slow, as far as a miss was likely | missed, as far as anybody knows | too much for it now |
| timed_out, brief | nothing: it had less time than most answers take | nothing | nothing | nothing |
| withdrawn | wrong, where it was out for long | nothing | nothing | nothing |
| unreachable, broken, spoilt | a fault, of it or of the way to it | nothing | nothing | nothing |
| void | nothing: it was never sent | nothing | nothing | nothing |

Bounds: one object an outcome, kept by nobody.
"""

from __future__ import annotations

from typing import Optional

from forkweir.settings import ClassSpec

MIN_AIM_FRACTION = (
    0.5  # an attempt that had this part of the aim tells of its server, by its time-out too
)
QUICK_ERROR_FRACTION = (
    0.25  # an error that comes within this part of its request's aim has cost next to nothing
)
CATEGORIES = ("write", "cold", "known", "unknown")


class AttemptOutcome:
    """One outcome. Times are in ms; aim_ms is 0 where nothing is known of the request any more.

    What each word of the wire says by itself stands once, as attributes of a class for that word (`WORDS`).
    """

    __slots__ = (
        "elapsed_ms", "aim_ms", "work_ms", "request_open", "write", "served_last", "miss_probability", "cold", "trial", "tries",
        "reported_hit", "reported_miss", "brief",
    )  # fmt: skip

    status = ""
    served = overloaded = error = timed_out = False
    fault = False  # the connection failed, or what came could not be read
    alive = False  # the server itself answered, whatever it said
    response_received = False  # something came back
    may_have_run = True  # the request may have been carried out (rule on duplicates)
    fetch_ended = (
        False  # a fetch of it, if there was one, has ended, as far as anybody waited for it
    )
    may_be_brief = False  # it ended because its time did
    rejected: Optional[bool] = None  # turned away (True) or served (False); None where neither
    zone_answers: Optional[bool] = None  # whether its zone answers; None where that is not told

    def __init__(
        self, note: int, elapsed_ms: float, spec: Optional[ClassSpec], work_ms: float = 0.0, write: bool = False, served_last: bool = False,
        miss_probability: float = 0.0, cold: bool = False, trial: bool = False, tries: int = 0,
    ) -> None:  # fmt: skip
        """spec: of the request, None where it is over. note: 0 nothing, 1 hit, 2 or 3 missed (as the wire says).

        known: whether the server served the key last; likely_miss: how likely it was that it would miss, 0 to 1.
        """
        self.elapsed_ms = elapsed_ms
        self.request_open = spec is not None
        self.aim_ms = aim = spec.aim_ms if spec is not None else 0.0
        self.work_ms = work_ms
        self.write = write
        self.served_last = served_last
        self.miss_probability = miss_probability
        self.cold = cold
        self.trial = trial
        self.tries = tries
        self.reported_hit = note == 1
        self.reported_miss = note >= 2
        # Time that ran out before most answers come tells of nobody (guards against clients that repeat with little time left,
        # whose time-outs pass for overload and get more refused, who repeat).
        self.brief = self.may_be_brief and elapsed_ms < MIN_AIM_FRACTION * aim

    # -- of the server -------------------------------------------------------------------

    @property
    def hung(self) -> bool:
        """Whether it said nothing for as long as it was given."""
        return self.timed_out

    @property
    def category(self) -> str:
        """Among which attempts it is to be held: a member of SORTS."""
        return (
            "write"
            if self.write
            else "cold"
            if self.cold
            else "known"
            if self.served_last
            else "unknown"
        )

    @property
    def adverse(self) -> Optional[bool]:
        """Whether the server did badly; None where it can't be said: one that turned the attempt away, or had little time."""
        if not self.request_open:
            return None
        if self.served:
            return self.elapsed_ms > self.aim_ms
        return True if self.error or (self.may_be_brief and not self.brief) else None

    # -- of the load ---------------------------------------------------------------------

    @property
    def in_time(self) -> bool:
        """Whether it was served within its aim."""
        return self.served and self.elapsed_ms <= self.aim_ms

    @property
    def overload(self) -> bool:
        """Whether it was too much for its server: turned away, or not served in time."""
        return self.overloaded or self.timed_out or (self.served and self.elapsed_ms > self.aim_ms)

    @property
    def reveals_cost(self) -> bool:
        """Whether its time tells the work of its class: no fetch was in it, and no hint says better."""
        return self.served and not self.reported_miss and not self.work_ms

    def longer_than(self, fraction: float) -> Optional[bool]:
        """Whether it took longer than a part of its aim; None where it does not tell how long answers take."""
        if not self.aim_ms or not (self.served or self.timed_out):
            return None
        return self.timed_out or self.elapsed_ms > fraction * self.aim_ms

    # -- of the origin and the key -------------------------------------------------------

    @property
    def fetched(self) -> bool:
        """Whether it was served by way of the origin."""
        return self.reported_miss or (self.write and self.served)

    def missed(self, servers_slow: bool) -> Optional[bool]:
        """Whether a read missed; None where it is not told. jammed: servers are slow by themselves."""
        if self.write or not (self.served or (self.timed_out and not servers_slow)):
            return None
        return self.fetched or self.timed_out

    def fetch_failed(self, threshold: float) -> bool:
        """Whether a fetch came to nothing; a time-out counts from this likelihood of a miss on."""
        return self.error or (self.timed_out and self.miss_probability > threshold)

    # -- whether again -------------------------------------------------------------------

    def quick_error(self, aim_ms: float) -> bool:
        """Whether it is an error that has cost next to nothing."""
        return self.error and self.elapsed_ms < QUICK_ERROR_FRACTION * aim_ms


class Success(AttemptOutcome):
    __slots__ = ()
    status, served, alive, response_received, fetch_ended, rejected, zone_answers = (
        "success",
        True,
        True,
        True,
        True,
        False,
        True,
    )


class Overloaded(AttemptOutcome):
    __slots__ = ()
    status, overloaded, alive, response_received, may_have_run, rejected, zone_answers = (
        "overloaded",
        True,
        True,
        True,
        False,
        True,
        True,
    )


class Failure(AttemptOutcome):
    __slots__ = ()
    status, error, alive, response_received, fetch_ended, zone_answers = (
        "failure",
        True,
        True,
        True,
        True,
        True,
    )


class Absent(AttemptOutcome):
    __slots__ = ()
    status, alive, response_received, may_have_run, zone_answers = "absent", True, True, False, True


class TimedOut(AttemptOutcome):
    __slots__ = ()
    status, timed_out, fetch_ended, may_be_brief, zone_answers = (
        "timed_out",
        True,
        True,
        True,
        False,
    )


class Withdrawn(AttemptOutcome):
    __slots__ = ()
    status, may_be_brief = "withdrawn", True


class Unreachable(AttemptOutcome):
    __slots__ = ()
    status, fault, may_have_run, zone_answers = "unreachable", True, False, False


class Broken(AttemptOutcome):
    __slots__ = ()
    status, fault, response_received = "broken", True, True


class Malformed(AttemptOutcome):
    __slots__ = ()
    status, fault, response_received, zone_answers = "spoilt", True, True, True


class NotSent(AttemptOutcome):
    __slots__ = ()
    status, may_have_run = "void", False


OUTCOME_TYPES: dict[str, type[AttemptOutcome]] = {
    word.status: word
    for word in (
        Success,
        Overloaded,
        Failure,
        Absent,
        TimedOut,
        Withdrawn,
        Unreachable,
        Broken,
        Malformed,
        NotSent,
    )
}
NOT_EXECUTED = frozenset(word for word, seen in OUTCOME_TYPES.items() if not seen.may_have_run)
