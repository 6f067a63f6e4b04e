"""Health states: random sequences of lists, requests and outcomes against the state table.

Planted defects show that the checks detect deviations.
"""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from forkweir.known.health import (
    EJECT_MS,
    MAX_CONSECUTIVE_FAULTS,
    MAX_EJECT_MS,
    MAX_UNANSWERED,
    MAX_UNRESPONSIVE_SHARE,
    PRESUMED_RESTART_MS,
    STATES,
    Health,
    HealthTable,
)
from forkweir.known.outcomes import OUTCOME_TYPES, AttemptOutcome
from forkweir.known.outlier_detection import (
    MAX_INDEPENDENT_SHARE,
    MAX_TRIAL_WAIT_MS,
    OutlierDetector,
    Suspicion,
)
from forkweir.settings import ClassSpec

AIM_MS = 800.0
READ = ClassSpec("read", aim_ms=AIM_MS, deadline_ms=2500.0)
OUTCOMES = ("success",) * 3 + (
    "overloaded",
    "failure",
    "timed_out",
    "timed_out",
    "unreachable",
    "broken",
    "spoilt",
    "withdrawn",
)
LISTS = ("in", "in", "in", "draining", "gone", "restarted")
USABLE = {"in_service", "cold", "due"}


class RandomWalk:
    """Random steps on some servers, each checked against the state table."""

    def __init__(self, seed: int, server_count: int) -> None:
        self.rng = random.Random(seed)
        self.servers = [Health(True, False) for _ in range(server_count)]
        self.table = HealthTable(seed)
        self.now = 1_000.0
        self.ids = 0
        self.listed = ["in"] * server_count  # the latest list

    @property
    def live(self) -> int:
        return self.listed.count("in")

    def out(self) -> int:
        return sum(server.present and server.ejected_until > self.now for server in self.servers)

    def step(self) -> None:
        rng = self.rng
        self.now += rng.choice((0.0, 1.0, 30.0, 400.0, 2_500.0))
        n = rng.randrange(len(self.servers))
        rng.choice((self.list, self.send, self.outcome, self.outcome, self.outcome, self.wait))(
            n, self.servers[n]
        )
        self.hold()

    def list(self, n: int, server: Health) -> None:
        list_state = self.rng.choice(LISTS)
        if list_state == "restarted":
            server.record_restart()
            assert (
                not server.on_probation
                and server.ejected_until == 0.0
                and server.trial_request == -1
            )
            assert server.suspicion.log_odds == Suspicion().log_odds
            return
        self.listed[n] = list_state
        server.present, server.draining = list_state == "in", list_state == "draining"

    def send(self, n: int, server: Health) -> None:
        if not server.may_get_requests(self.now):
            return
        self.ids += 1
        tried = server.on_probation
        server.record_sent(self.ids, AIM_MS, self.now)
        assert (server.trial_request == self.ids) == tried
        if tried:  # no other request may go before the aim is over
            assert (
                not server.may_get_requests(self.now + 0.99 * AIM_MS)
                and server.state(self.now, False) == "on_trial"
            )

    def wait(self, n: int, server: Health) -> None:
        for _ in range(self.rng.randint(1, MAX_UNANSWERED + 1)):
            row, ejections, out = server.unanswered, server.ejections, self.out()
            found = self.table.record_unanswered(
                server, self.now - 2 * AIM_MS, AIM_MS, self.servers, self.live, self.now
            )
            assert server.unanswered == row + 1
            assert not found or (
                not ejections
                and row + 1 >= MAX_UNANSWERED
                and out < MAX_UNRESPONSIVE_SHARE * self.live
            )
            if found:
                server.eject(self.now)

    def outcome(self, n: int, server: Health) -> None:
        status, elapsed_ms = self.rng.choice(OUTCOMES), self.rng.choice((10.0, 100.0, 500.0, 900.0))
        trial = server.trial_request >= 0 and self.rng.random() < 0.7
        outcome = OUTCOME_TYPES[status](0, elapsed_ms, READ, trial=trial)
        ejections, faults, log_odds, ejected_until = (
            server.ejections,
            server.consecutive_faults,
            server.suspicion.log_odds,
            server.ejected_until,
        )
        ejected_ms = self.now - server.ejected_since
        presumed_restart = self.table.record_outcome(server, outcome, self.now)
        if outcome.alive:
            assert (server.ejections, server.consecutive_faults, server.trial_request) == (0, 0, -1)
            assert not ejections or server.ejected_until == 0.0
            assert presumed_restart == bool(
                ejections and ejected_until and ejected_ms > PRESUMED_RESTART_MS
            )
        elif status in MAX_CONSECUTIVE_FAULTS:
            assert server.consecutive_faults == faults + 1 and not presumed_restart
            assert server.ejections == ejections + (faults + 1 >= MAX_CONSECUTIVE_FAULTS[status])
        elif status == "timed_out" and trial and ejections and elapsed_ms > AIM_MS:
            assert server.ejections == ejections + 1
        if server.ejections > ejections:
            assert server.ejected_until == self.now + min(
                MAX_EJECT_MS, EJECT_MS * 2.0 ** (server.ejections - 1)
            )
        bad = self.table.update_suspicion(server, outcome, self.servers, self.live, self.now)
        assert 0.0 <= bad <= 1.0
        informative = {
            "success": True,
            "failure": True,
            "timed_out": elapsed_ms >= 500.0,
            "withdrawn": elapsed_ms >= 500.0,
        }.get(status, False)
        # An outcome without information changes nothing.
        assert informative or server.suspicion.log_odds == log_odds
        if status == "failure" or (status == "timed_out" and elapsed_ms > AIM_MS):
            # An adverse outcome never lowers the log odds, apart from their decay.
            assert server.suspicion.log_odds >= min(log_odds, Suspicion().log_odds)
        if not outcome.adverse and informative and not server.ejections:
            assert server.ejected_until == 0.0

    def hold(self) -> None:
        """Check the invariants of every server."""
        for n, server in enumerate(self.servers):
            state = server.state(self.now, cold=False)
            assert state in STATES
            if self.listed[n] != "in":
                assert state == self.listed[n] and not server.may_get_requests(self.now)
                continue
            assert server.may_get_requests(self.now) == (state in USABLE), state
            assert server.on_probation or state == "in_service"
            assert server.ejected_until <= self.now + max(MAX_EJECT_MS, MAX_TRIAL_WAIT_MS, AIM_MS)
            assert 0.0 <= server.rejection_rate <= 1.0
        suspect = sum(
            s.present
            and not s.ejections
            and s.suspicion.detections > 0
            and s.ejected_until > self.now
            for s in self.servers
        )
        assert suspect <= MAX_INDEPENDENT_SHARE * len(self.servers) + 2


def walk(seed: int, server_count: int = 8, steps: int = 300) -> None:
    walker = RandomWalk(seed, server_count)
    for _ in range(steps):
        walker.step()


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 24))
def test_every_sequence_follows_the_state_table(seed: int, server_count: int) -> None:
    walk(seed, server_count)


def test_servers_that_all_become_suspect_at_once_are_used_again() -> None:
    servers, table, now = [Health(True, False) for _ in range(10)], HealthTable(1), 0.0
    for _ in range(12):
        for server in servers:
            now += 10.0
            table.update_suspicion(
                server, OUTCOME_TYPES["failure"](0, 20.0, READ), servers, 10, now
            )
    assert sum(server.may_get_requests(now) for server in servers) >= 4


def test_an_answer_to_a_trial_does_not_end_a_drain() -> None:
    server, table = Health(True, False), HealthTable(1)
    server.eject(0.0)
    server.record_sent(7, AIM_MS, 1_000.0)
    server.present, server.draining = False, True
    table.record_outcome(server, OUTCOME_TYPES["success"](1, 50.0, READ, trial=True), 1_050.0)
    assert server.state(1_050.0, False) == "draining" and not server.may_get_requests(1_050.0)
    server.present, server.draining = True, False
    assert server.state(1_051.0, False) == "in_service"


def test_a_node_paused_during_a_trial_sends_another_one() -> None:
    server = Health(True, False)
    server.eject(0.0)
    server.record_sent(7, AIM_MS, 1_000.0)
    # 1.5 s later the trial's aim is over, and another request may go.
    assert server.state(2_500.0, True) == "due"
    server.record_sent(8, AIM_MS, 2_500.0)
    assert server.state(2_501.0, True) == "on_trial" and server.trial_request == 8


# -- planted defects ----------------------------------------------------------------


def eject_flat(self: Health, now: float) -> None:
    self.ejections += 1
    self.trial_request, self.ejected_until = -1, now + EJECT_MS


def answer_keeps_ejections(self: Health, now: float) -> bool:
    self.consecutive_faults, self.trial_request = 0, -1
    return False


def answer_keeps_trial(self: Health, now: float) -> bool:
    presumed_restart = (
        bool(self.ejections and self.ejected_until)
        and now - self.ejected_since > PRESUMED_RESTART_MS
    )
    self.consecutive_faults = 0
    if self.ejections:
        self.ejections, self.ejected_until = 0, 0.0
    return presumed_restart


def restart_keeps_suspicion(self: Health) -> None:
    self.ejections, self.unanswered, self.trial_request, self.ejected_until = 0, 0, -1, 0.0


def state_of_the_drained_by_health(self: Health, now: float, cold: bool) -> str:
    if self.on_probation and self.ejected_until > now:
        return "silent"
    return "in_service" if self.present else "draining" if self.draining else "gone"


def sent_lets_all_through(self: Health, request_id: int, aim_ms: float, now: float) -> None:
    if self.on_probation:
        self.trial_request = request_id


def unanswered_without_bound(
    self: Any, server: Health, sent_ms: float, aim_ms: float, servers: Any, live: int, now: float
) -> bool:
    if not server.unanswered:
        server.unanswered_since_ms = sent_ms
    server.unanswered += 1
    return (
        not server.ejections
        and server.unanswered >= MAX_UNANSWERED
        and now - server.unanswered_since_ms > aim_ms
    )


def fault_at_once(self: Health, status: str, now: float) -> None:
    self.consecutive_faults += 1
    self.eject(now)


ADVERSE = vars(AttemptOutcome)["adverse"].fget
DEFECTS: dict[str, tuple[Any, str, Any]] = {
    "an ejection does not double": (Health, "eject", eject_flat),
    "an answer does not end an ejection": (Health, "record_answer", answer_keeps_ejections),
    "an answer does not end a trial": (Health, "record_answer", answer_keeps_trial),
    "a restart keeps the suspicion": (Health, "record_restart", restart_keeps_suspicion),
    "a server that the list removed is usable": (
        Health,
        "may_get_requests",
        lambda self, now: self.ejected_until <= now,
    ),
    "health takes precedence over the list": (Health, "state", state_of_the_drained_by_health),
    "a trial lets every request through": (Health, "record_sent", sent_lets_all_through),
    "ejection of unresponsive servers has no bound": (
        HealthTable,
        "record_unanswered",
        unanswered_without_bound,
    ),
    "one fault ejects a server": (Health, "record_fault", fault_at_once),
    "suspicion has no bound": (
        OutlierDetector,
        "is_common_cause",
        lambda self, category, share: False,
    ),
    "brief time-outs count against their server": (
        AttemptOutcome,
        "adverse",
        property(lambda self: True if self.timed_out else ADVERSE(self)),
    ),
    "rejections count against their server": (
        AttemptOutcome,
        "adverse",
        property(lambda self: True if self.rejected_for_overload else ADVERSE(self)),
    ),
    "a trial that hangs ejects nobody": (AttemptOutcome, "hung", property(lambda self: False)),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_every_planted_defect_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, key, value = DEFECTS[name]
    monkeypatch.setattr(owner, key, value)
    with pytest.raises(AssertionError):
        for seed in range(40):
            walk(seed)
            test_servers_that_all_become_suspect_at_once_are_used_again()


@pytest.mark.parametrize("seed", range(40))
def test_without_a_defect_the_same_walks_pass(seed: int) -> None:
    walk(seed)
