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

LONG = 0.5  # an attempt that had this part of the aim tells of its server, by its time-out too
QUICK = 0.25  # an error that comes within this part of its request's aim has cost next to nothing
SORTS = ("write", "cold", "known", "unknown")


class Seen:
    """One outcome. Times are in ms; aim_ms is 0 where nothing is known of the request any more.

    What each word of the wire says by itself stands once, as attributes of a class for that word (`WORDS`).
    """

    __slots__ = (
        "elapsed_ms", "aim_ms", "work_ms", "held", "write", "known", "likely_miss", "cold", "trial", "tries", "told_hit", "told_miss",
        "brief",
    )  # fmt: skip

    status = ""
    served = full = error = timed_out = False
    fault = False  # the connection failed, or what came could not be read
    alive = False  # the server itself answered, whatever it said
    heard = False  # something came back
    may_have_run = True  # the request may have been carried out (rule on duplicates)
    fetch_over = (
        False  # a fetch of it, if there was one, has ended, as far as anybody waited for it
    )
    may_be_brief = False  # it ended because its time did
    away: Optional[bool] = None  # turned away (True) or served (False); None where neither
    zone_answers: Optional[bool] = None  # whether its zone answers; None where that is not told

    def __init__(
        self, note: int, elapsed_ms: float, spec: Optional[ClassSpec], work_ms: float = 0.0, write: bool = False, known: bool = False,
        likely_miss: float = 0.0, cold: bool = False, trial: bool = False, tries: int = 0,
    ) -> None:  # fmt: skip
        """spec: of the request, None where it is over. note: 0 nothing, 1 hit, 2 or 3 missed (as the wire says).

        known: whether the server served the key last; likely_miss: how likely it was that it would miss, 0 to 1.
        """
        self.elapsed_ms = elapsed_ms
        self.held = spec is not None
        self.aim_ms = aim = spec.aim_ms if spec is not None else 0.0
        self.work_ms = work_ms
        self.write = write
        self.known = known
        self.likely_miss = likely_miss
        self.cold = cold
        self.trial = trial
        self.tries = tries
        self.told_hit = note == 1
        self.told_miss = note >= 2
        # Time that ran out before most answers come tells of nobody (guards against clients that repeat with little time left,
        # whose time-outs pass for overload and get more refused, who repeat).
        self.brief = self.may_be_brief and elapsed_ms < LONG * aim

    # -- of the server -------------------------------------------------------------------

    @property
    def hung(self) -> bool:
        """Whether it said nothing for as long as it was given."""
        return self.timed_out

    @property
    def sort(self) -> str:
        """Among which attempts it is to be held: a member of SORTS."""
        return (
            "write" if self.write else "cold" if self.cold else "known" if self.known else "unknown"
        )

    @property
    def wrong(self) -> Optional[bool]:
        """Whether the server did badly; None where it can't be said: one that turned the attempt away, or had little time."""
        if not self.held:
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
    def pressed(self) -> bool:
        """Whether it was too much for its server: turned away, or not served in time."""
        return self.full or self.timed_out or (self.served and self.elapsed_ms > self.aim_ms)

    @property
    def cost_told(self) -> bool:
        """Whether its time tells the work of its class: no fetch was in it, and no hint says better."""
        return self.served and not self.told_miss and not self.work_ms

    def longer_than(self, part: float) -> Optional[bool]:
        """Whether it took longer than a part of its aim; None where it does not tell how long answers take."""
        if not self.aim_ms or not (self.served or self.timed_out):
            return None
        return self.timed_out or self.elapsed_ms > part * self.aim_ms

    # -- of the origin and the key -------------------------------------------------------

    @property
    def fetched(self) -> bool:
        """Whether it was served by way of the origin."""
        return self.told_miss or (self.write and self.served)

    def missed(self, jammed: bool) -> Optional[bool]:
        """Whether a read missed; None where it is not told. jammed: servers are slow by themselves."""
        if self.write or not (self.served or (self.timed_out and not jammed)):
            return None
        return self.fetched or self.timed_out

    def fetch_lost(self, least: float) -> bool:
        """Whether a fetch came to nothing; a time-out counts from this likelihood of a miss on."""
        return self.error or (self.timed_out and self.likely_miss > least)

    # -- whether again -------------------------------------------------------------------

    def quick_error(self, aim_ms: float) -> bool:
        """Whether it is an error that has cost next to nothing."""
        return self.error and self.elapsed_ms < QUICK * aim_ms


class Served(Seen):
    __slots__ = ()
    status, served, alive, heard, fetch_over, away, zone_answers = (
        "success",
        True,
        True,
        True,
        True,
        False,
        True,
    )


class Full(Seen):
    __slots__ = ()
    status, full, alive, heard, may_have_run, away, zone_answers = (
        "overloaded",
        True,
        True,
        True,
        False,
        True,
        True,
    )


class Failed(Seen):
    __slots__ = ()
    status, error, alive, heard, fetch_over, zone_answers = "failure", True, True, True, True, True


class Absent(Seen):
    __slots__ = ()
    status, alive, heard, may_have_run, zone_answers = "absent", True, True, False, True


class TimedOut(Seen):
    __slots__ = ()
    status, timed_out, fetch_over, may_be_brief, zone_answers = "timed_out", True, True, True, False


class Withdrawn(Seen):
    __slots__ = ()
    status, may_be_brief = "withdrawn", True


class Unreachable(Seen):
    __slots__ = ()
    status, fault, may_have_run, zone_answers = "unreachable", True, False, False


class Broken(Seen):
    __slots__ = ()
    status, fault, heard = "broken", True, True


class Spoilt(Seen):
    __slots__ = ()
    status, fault, heard, zone_answers = "spoilt", True, True, True


class Void(Seen):
    __slots__ = ()
    status, may_have_run = "void", False


WORDS: dict[str, type[Seen]] = {
    word.status: word
    for word in (
        Served,
        Full,
        Failed,
        Absent,
        TimedOut,
        Withdrawn,
        Unreachable,
        Broken,
        Spoilt,
        Void,
    )
}
NEVER_RAN = frozenset(word for word, seen in WORDS.items() if not seen.may_have_run)
