"""Health states of cache servers and their transitions. Pure: no I/O, no clock.

The server list and the outcomes of attempts are combined into one state for each server. The state
alone decides whether the server may get a request.

| state | meaning | receives | left when |
|---|---|---|---|
| in_service | listed, nothing against it | its keys (fewer if strained) | drained, gone, ejected |
| cold | the same, but started recently | what its slow start allows | its warm-up has ended |
| silent | ejected: faults or unanswered requests | nothing | the ejection is over |
| doubted | ejected: suspect (`outlier_detection`) | nothing | the wait for a trial is over |
| due | was ejected and that time is over | one trial request | the trial request is sent |
| on_trial | the trial request is in flight | nothing for one aim | see below |
| draining | the list says so | nothing | the list says otherwise |
| gone | the list says so or leaves it out | nothing | the list names it again |

A server is ejected as silent after MAX_CONSECUTIVE_FAULTS or MAX_UNANSWERED, for EJECT_MS, doubled
up to MAX_EJECT_MS. A suspect server waits for 0.75 to 1.5 s, doubled up to 12 s. Any answer to a
trial request brings the server back into service; without one it is ejected again.

Transitions are caused by the list (`present`, `record_restart`), by outcomes
(`HealthTable.record_outcome`, `HealthTable.update_suspicion`), by requests that have long been
unanswered (`HealthTable.record_unanswered`, `Health.eject`) and by requests that are sent
(`Health.record_sent`). Draining and gone take precedence over every other state: no outcome brings
back a server that the list has taken away. A restart reported by the list clears whatever was held
against the server.

Fleet-wide bounds: at most MAX_UNRESPONSIVE_SHARE of the servers are ejected for leaving requests
unanswered. Where MAX_SUSPECT_SHARE of the servers are suspect and the others do badly as well, or
where MAX_INDEPENDENT_SHARE are suspect, no server is ejected for suspicion
(`OutlierDetector.is_common_cause`). Faults have no such bound, since they mean that nothing answers
at that address. Memory: eleven numbers and a `Suspicion` for each server.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal

from forkweir.known.outcomes import AttemptOutcome
from forkweir.known.outlier_detection import OutlierDetector, Suspicion

# Duration of the first ejection. Each further one is twice as long, up to MAX_EJECT_MS.
EJECT_MS = 1_000.0
MAX_EJECT_MS = 8_000.0
# Number of faults of a kind in a row, without an answer in between, after which a server is
# ejected.
MAX_CONSECUTIVE_FAULTS = {
    "unreachable": 2,
    "broken": 3,
    "spoilt": 4,
}
# Weight of one outcome in the moving average of rejected attempts.
REJECTION_WEIGHT = 0.1
# A server that rejects a smaller share of attempts than this has capacity.
LOW_REJECTION_RATE = 0.15
# A server is unresponsive when so many requests in a row have been out for long without any answer
# in between, over more than a whole aim.
MAX_UNANSWERED = 4
# Share of the servers that may be ejected as unresponsive at the same time.
MAX_UNRESPONSIVE_SHARE = 0.25
# Where more than this share of the servers is suspect, reports of peers eject no further server.
MAX_PEER_SUSPECT_SHARE = 0.34
# A server that was ejected for longer than this may have restarted before the list said so.
PRESUMED_RESTART_MS = 2_000.0

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
    """The health of one server, which decides what the server may get. Times are in ms."""

    __slots__ = (
        "present",
        "draining",
        "ejections",
        "consecutive_faults",
        "rejection_rate",
        "unanswered",
        "unanswered_since_ms",
        "last_answer_ms",
        "trial_request",
        "ejected_until",
        "ejected_since",
        "suspicion",
    )

    def __init__(self, present: bool, draining: bool) -> None:
        self.present = present  # listed as in service
        self.draining = draining
        self.ejections = 0  # since the last answer
        self.consecutive_faults = 0
        self.rejection_rate = 0.0  # moving average of the share of attempts that it rejected
        self.unanswered = 0  # requests in a row that have been out for long
        self.unanswered_since_ms = 0.0  # when the first of these was sent
        self.last_answer_ms = 0.0
        self.trial_request = -1  # id of the latest trial request; -1 after an answer or an ejection
        self.ejected_until = 0.0
        self.ejected_since = 0.0
        self.suspicion = Suspicion()

    def state(self, now: float, cold: bool) -> State:
        """Return the state; cold: whether the server may still be in its warm-up."""
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
        """Return whether health permits sending the server any request."""
        return self.present and self.ejected_until <= now

    @property
    def on_probation(self) -> bool:
        """Whether the server gets one trial request at a time: silent, doubted, due or on_trial."""
        return bool(self.ejections or self.suspicion.detections)

    @property
    def rejects_little(self) -> bool:
        """Whether the server has lately rejected few attempts, and so has capacity."""
        return self.rejection_rate < LOW_REJECTION_RATE

    def record_restart(self) -> None:
        """Clear what was held against the server: the list says that it has restarted."""
        self.ejections = 0
        self.unanswered, self.trial_request = 0, -1
        self.suspicion.clear()
        self.ejected_until = 0.0

    def record_sent(self, request_id: int, aim_ms: float, now: float) -> None:
        """Record a request that is sent to the server.

        A server on probation gets one request at a time until it answers. Otherwise all its keys
        would go to a server that is still dead each time an ejection ends.
        """
        if self.on_probation:
            self.trial_request = request_id
            self.ejected_until = max(self.ejected_until, now + aim_ms)

    def eject(self, now: float) -> None:
        """Eject the server; each ejection without an answer in between lasts twice as long."""
        if not self.ejections:
            self.ejected_since = now
        self.ejections += 1
        self.trial_request = -1
        self.ejected_until = now + min(MAX_EJECT_MS, EJECT_MS * 2.0 ** min(8, self.ejections - 1))

    def record_fault(self, status: str, now: float) -> None:
        """Record a failed connection or an answer that could not be read.

        A few faults among good answers point to the network or to the connection: the server is
        alive and its cache is worth keeping. Ejecting it for one bad attempt in many would also
        treat it as cold afterwards. A server that is dead or sends only noise is soon ejected,
        since no good answer comes in between. The cost is a few more attempts, which are retried
        on another server.
        """
        self.consecutive_faults += 1
        if self.consecutive_faults >= MAX_CONSECUTIVE_FAULTS[status]:
            self.eject(now)

    def record_answer(self, now: float) -> bool:
        """Record an answered attempt; return whether the server may have restarted unannounced.

        A server that answers after a long ejection may have restarted before the list said so, and
        may therefore be cold.
        """
        self.consecutive_faults = 0
        self.trial_request = -1
        if not self.ejections:
            return False
        may_have_restarted = (
            bool(self.ejected_until) and now - self.ejected_since > PRESUMED_RESTART_MS
        )
        self.ejections = 0
        self.ejected_until = 0.0
        return may_have_restarted


class HealthTable:
    """Health decisions that depend on all servers of a node.

    The parameter `servers` holds those that may be home to ranges; `in_service_count` is how many
    of them are in service.
    """

    __slots__ = ("detector",)

    def __init__(self, seed: int) -> None:
        self.detector = OutlierDetector(seed)

    def record_outcome(self, server: Health, outcome: AttemptOutcome, now: float) -> bool:
        """Record what an outcome shows of a server's reachability and capacity.

        Returns whether the server may have restarted unannounced (see `Health.record_answer`).
        """
        may_have_restarted = False
        if outcome.alive:
            may_have_restarted = server.record_answer(now)
        elif outcome.fault:
            server.record_fault(outcome.status, now)
        elif outcome.hung and outcome.trial and server.ejections:
            server.eject(now)
        if outcome.response_received:
            server.unanswered, server.last_answer_ms = 0, now
        if outcome.rejection_sample is not None:
            server.rejection_rate += REJECTION_WEIGHT * (
                outcome.rejection_sample - server.rejection_rate
            )
        return may_have_restarted

    def record_unanswered(
        self,
        server: Health,
        sent_ms: float,
        aim_ms: float,
        servers: Sequence[Health],
        in_service_count: int,
        now: float,
    ) -> bool:
        """Record a request that has long been unanswered; return whether to eject the server.

        This detects a server that has vanished or hangs while the list still names it. Its
        connections stay open, so nothing fails and each attempt waits for its whole time. Whatever
        stops a process or cuts the path to it should be caught. The cost is that a pause longer
        than an aim takes the server's keys away for a second. Overload of the whole fleet, or an
        origin that delays every miss, must not eject all servers: only MAX_UNRESPONSIVE_SHARE of
        them may be ejected for this reason.
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
            < MAX_UNRESPONSIVE_SHARE * in_service_count
        )

    def update_suspicion(
        self,
        server: Health,
        outcome: AttemptOutcome,
        servers: Sequence[Health],
        in_service_count: int,
        now: float,
    ) -> float:
        """Update a server's suspicion by an outcome; return the probability that it is bad.

        A suspect server gets trial requests only, unless most servers are suspect.
        """
        category, adverse = outcome.category, outcome.adverse
        if adverse is None:
            return 0.0
        common = adverse and self.detector.is_common_cause(
            category,
            sum(other.present and other.suspicion.suspect for other in servers)
            / max(1, in_service_count),
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
        recovered: bool,
        servers: Sequence[Health],
        in_service_count: int,
        now: float,
    ) -> None:
        """Apply what other nodes report of a server (`forkweir/tier/signals`).

        log_odds is added to the result of this node's own test; recovered means that the server
        answers again. A server that is more likely bad than good by both is ejected and then tried,
        as after an attempt of this node, unless so many servers are suspect that the cause must be
        common. A suspect server that answers other nodes is tried at once. Reports of peers never
        change the state of a server that drains, is gone or is unresponsive.
        """
        server.suspicion.peer_log_odds = log_odds
        if not server.present or server.ejections:
            return
        if server.suspicion.suspect and log_odds and not server.suspicion.detections:
            if sum(
                other.present and other.suspicion.suspect for other in servers
            ) <= MAX_PEER_SUSPECT_SHARE * max(1, in_service_count):
                server.ejected_until = max(
                    server.ejected_until, now + self.detector.next_trial_wait(server.suspicion)
                )
        elif recovered and server.suspicion.detections and server.trial_request < 0:
            server.ejected_until = min(server.ejected_until, now)
