"""The health of servers: one state for each, and who may move it. Pure, no I/O, no clock.

What the list says and how a server did come together in one state. It is the only answer to "may this server get this request".

| state | who is in it | gets | left when |
|---|---|---|---|
| in service | listed, and nothing is held against it | its keys (a part of them where it strains) | it drains, goes, or is put out |
| cold | likewise, started a short while ago | what its allowance has | its warm-up is over |
| silent | FAULTS_ROW faults in a row, or SILENT_ROW requests out over an aim | nothing | EJECT_MS, doubled to EJECT_MAX_MS, is over |
| doubted | more likely bad than good (`doubt`) | nothing | 0.75 to 1.5 s, doubled to 12 s, are over |
| due | put out before, and its time is over | one request, to try it | that request goes out |
| on trial | that one request is out | nothing more until its aim is over | an answer of any kind: in service; none: put out again |
| draining | the list says so | nothing | the list says otherwise |
| gone | the list says so, or leaves it out | nothing | the list names it again |

Who may move it: the list (`present`, `restarted`), an outcome (`HealthTable.judge`, `doubted`), a request that is out for long
(`silent_for`, `strike`), and one that is sent (`sent`). Draining and gone come before all others: no outcome brings a server back
that the list has taken away. A restart told by the list ends whatever was held against it.

Bounds over the fleet: no more than SILENT_MOST of the servers are put out for silence; where MOST_OUT of them seem bad and the others do
badly as well, or MOST_ALONE seem bad, nobody is kept out for doubt (`Doubts.common`). Faults of a dead process have no such bound:
nothing answers there. Eleven numbers and a `Record` a server.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal

from forkweir.known.outcomes import AttemptOutcome
from forkweir.known.outlier_detection import OutlierDetector, Suspicion

EJECT_MS = 1_000.0  # first ejection; doubles up to the longest
MAX_EJECT_MS = 8_000.0
MAX_CONSECUTIVE_FAULTS = {
    "unreachable": 2,
    "broken": 3,
    "spoilt": 4,
}  # so many faults in a row, with no answer between: the server is out
REJECTION_WEIGHT = 0.1  # weight of one outcome in the part of attempts that a server turns away
LOW_REJECTION_RATE = 0.15  # a server that turns away less than this lately has room
MAX_UNANSWERED = 4  # so many requests out for that long in a row, with no answer between, over a whole aim: the server is silent
MAX_UNRESPONSIVE_SHARE = 0.25  # of the servers that may be put out for silence at once
MAX_PEER_SUSPECT_SHARE = 0.34  # of the servers seem bad: no more are put out by what others say
PRESUMED_RESTART_MS = (
    2_000.0  # out for longer than this it may have started anew without word from the list
)

State = Literal["in_service", "cold", "silent", "doubted", "due", "on_trial", "draining", "gone"]
STATES: tuple[State, ...] = (
    "in_service",
    "cold",
    "silent",
    "doubted",
    "due",
    "on_trial",
    "draining",
    "gone",
)


class Health:
    """What is held against one server, and what it may get because of it."""

    __slots__ = (
        "present", "draining", "ejections", "consecutive_faults", "rejection_rate", "unanswered", "unanswered_since_ms",
        "last_answer_ms", "trial_request", "ejected_until", "ejected_since", "suspicion",
    )  # fmt: skip

    def __init__(self, present: bool, draining: bool) -> None:
        self.present = present  # listed in service
        self.draining = draining
        self.ejections = 0  # times it was put out, with no answer between
        self.consecutive_faults = 0  # in a row
        self.rejection_rate = 0.0  # part of late attempts that it turned away
        self.unanswered = 0  # requests out for long, in a row,
        self.unanswered_since_ms = 0.0  # and when the first of them was sent
        self.last_answer_ms = 0.0  # when it last answered
        self.trial_request = -1  # the one request that a server that was put out gets at a time
        self.ejected_until = 0.0
        self.ejected_since = 0.0
        self.suspicion = Suspicion()  # of how it did

    def state(self, now: float, cold: bool) -> State:
        """Its state; cold: whether its warm-up may be going on."""
        if not self.present:
            return "draining" if self.draining else "gone"
        if self.on_probation:
            if self.ejected_until <= now:
                return "due"
            return (
                "on_trial" if self.trial_request >= 0 else "silent" if self.ejections else "doubted"
            )
        return "cold" if cold else "in_service"

    def may_get_requests(self, now: float) -> bool:
        """Whether it may get a request at all, as far as its health goes."""
        return self.present and self.ejected_until <= now

    @property
    def on_probation(self) -> bool:
        """Whether it gets one request at a time, to try it."""
        return bool(self.ejections or self.suspicion.detections)

    @property
    def rejects_little(self) -> bool:
        """Whether it turns away little."""
        return self.rejection_rate < LOW_REJECTION_RATE

    def record_restart(self) -> None:
        """The list says that it has started anew: whatever was held against it is over."""
        self.ejections = 0
        self.unanswered, self.trial_request = 0, -1
        self.suspicion.clear()
        self.ejected_until = 0.0

    def record_sent(self, request_id: int, aim_ms: float, now: float) -> None:
        """A request goes out to it. One at a time goes to a server that was put out, until it answers (guards against all its keys
        falling on one that is still dead each time its time is up)."""
        if self.on_probation:
            self.trial_request = request_id
            self.ejected_until = max(self.ejected_until, now + aim_ms)

    def eject(self, now: float) -> None:
        """Note an attempt that found no working server; eject after repeated ones."""
        if not self.ejections:
            self.ejected_since = now
        self.ejections += 1
        self.trial_request = -1
        self.ejected_until = now + min(MAX_EJECT_MS, EJECT_MS * 2.0 ** min(8, self.ejections - 1))

    def record_fault(self, status: str, now: float) -> None:
        """Note a connection that failed, or an answer that could not be read.

        A few of them among good answers tell of the network or of the connection: the server is alive, and its cache is worth
        keeping (guards against ejections, and a warm-up that never was, for a fault of one attempt in many). A server that is
        dead, or speaks nothing but noise, is soon struck: nothing good comes between. Harm: it costs a few more attempts,
        which are made again elsewhere.
        """
        self.consecutive_faults += 1
        if self.consecutive_faults >= MAX_CONSECUTIVE_FAULTS[status]:
            self.eject(now)

    def record_answer(self, now: float) -> bool:
        """Note an attempt that it answered. Whether it is back from the dead without word from the list, and so may be cold."""
        self.consecutive_faults = 0
        self.trial_request = -1
        if not self.ejections:
            return False
        back = bool(self.ejected_until) and now - self.ejected_since > PRESUMED_RESTART_MS
        self.ejections = 0
        self.ejected_until = 0.0
        return back


class HealthTable:
    """What is decided over all servers of a node together. servers: those that may be home to keys."""

    __slots__ = ("detector",)

    def __init__(self, seed: int) -> None:
        self.detector = OutlierDetector(seed)

    def record_outcome(self, server: Health, outcome: AttemptOutcome, now: float) -> bool:
        """Note what an outcome tells of whether a server is there and has room; whether it is back from the dead (see `proved`)."""
        back = False
        if outcome.alive:
            back = server.record_answer(now)
        elif outcome.fault:
            server.record_fault(outcome.status, now)
        elif outcome.hung and outcome.trial and server.ejections:
            server.eject(now)
        if outcome.response_received:
            server.unanswered, server.last_answer_ms = 0, now
        if outcome.rejected is not None:
            server.rejection_rate += REJECTION_WEIGHT * (outcome.rejected - server.rejection_rate)
        return back

    def record_unanswered(
        self,
        server: Health,
        sent_ms: float,
        aim_ms: float,
        servers: Sequence[Health],
        live: int,
        now: float,
    ) -> bool:
        """Note a request out for long; whether the server is to be put out for saying nothing.

        Guards against a server that has vanished or hangs while the list still names it: its connections stay open, so nothing
        fails, and each attempt waits for its whole time. It should catch whatever silences a process or the way to it. Harm:
        a pause longer than an aim costs a second of its keys; so that overload of all, or an origin that keeps every miss
        waiting, can't empty the fleet, only a part of it may be out for this.
        """
        if not server.unanswered:
            server.unanswered_since_ms = sent_ms
        server.unanswered += 1
        if (
            server.ejections
            or server.unanswered < MAX_UNANSWERED
            or now - server.unanswered_since_ms <= aim_ms
        ):
            return False
        return (
            sum(1 for other in servers if other.present and other.ejected_until > now)
            < MAX_UNRESPONSIVE_SHARE * live
        )

    def update_suspicion(
        self,
        server: Health,
        outcome: AttemptOutcome,
        servers: Sequence[Health],
        live: int,
        now: float,
    ) -> float:
        """Note how an attempt went; how likely its server is bad. One that is is kept out, but for trials, where most are not."""
        category, adverse = outcome.category, outcome.adverse
        if adverse is None:
            return 0.0
        common = adverse and self.detector.is_common_cause(
            category,
            sum(other.present and other.suspicion.suspect for other in servers) / max(1, live),
        )
        bad = self.detector.update(server.suspicion, category, adverse, now, common)
        if common:
            for other in servers:
                if other.suspicion.detections and not other.ejections:
                    other.ejected_until, other.suspicion.detections = 0.0, 0
        elif (
            adverse
            and server.suspicion.suspect
            and (outcome.trial or not server.suspicion.detections)
        ):
            server.ejected_until = max(
                server.ejected_until, now + self.detector.next_trial_wait(server.suspicion)
            )
        elif not adverse and not server.ejections:
            server.ejected_until = 0.0
        return bad

    def apply_peer_report(
        self,
        server: Health,
        log_odds: float,
        back: bool,
        servers: Sequence[Health],
        live: int,
        now: float,
    ) -> None:
        """Other nodes say this of a server (`forkweir/tier/signals`). odds: to be added to those of our own test; back: it answers again.

        One that is more likely bad than good by both is kept out and tried, as by an attempt of our own; not where so many seem bad that
        it is no trouble of single servers. One that is out for doubt and answers others is tried at once. Whoever drains, is gone or is
        silent stays so: no word of others moves that.
        """
        server.suspicion.peer_log_odds = log_odds
        if not server.present or server.ejections:
            return
        if server.suspicion.suspect and log_odds and not server.suspicion.detections:
            if sum(
                other.present and other.suspicion.suspect for other in servers
            ) <= MAX_PEER_SUSPECT_SHARE * max(1, live):
                server.ejected_until = max(
                    server.ejected_until, now + self.detector.next_trial_wait(server.suspicion)
                )
        elif back and server.suspicion.detections and server.trial_request < 0:
            server.ejected_until = min(server.ejected_until, now)
