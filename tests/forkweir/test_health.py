"""One health for each server: drawn sequences of lists, sends and outcomes against what the table says, and planted defects found."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from forkweir.known.doubt import MOST_ALONE, TRIAL_MOST_MS, Doubts, Record
from forkweir.known.health import (
    AWAY_MS,
    EJECT_MAX_MS,
    EJECT_MS,
    FAULTS_ROW,
    SILENT_MOST,
    SILENT_ROW,
    STATES,
    Health,
    HealthTable,
)
from forkweir.known.seen import WORDS, Seen
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


class Walk:
    """Drawn steps on some servers, each held against the table."""

    def __init__(self, seed: int, many: int) -> None:
        self.rng = random.Random(seed)
        self.servers = [Health(True, False) for _ in range(many)]
        self.table = HealthTable(seed)
        self.now = 1_000.0
        self.ids = 0
        self.listed = ["in"] * many  # as the list last had it

    @property
    def live(self) -> int:
        return self.listed.count("in")

    def out(self) -> int:
        return sum(server.present and server.out_until > self.now for server in self.servers)

    def step(self) -> None:
        rng = self.rng
        self.now += rng.choice((0.0, 1.0, 30.0, 400.0, 2_500.0))
        n = rng.randrange(len(self.servers))
        rng.choice((self.list, self.send, self.outcome, self.outcome, self.outcome, self.wait))(
            n, self.servers[n]
        )
        self.hold()

    def list(self, n: int, server: Health) -> None:
        said = self.rng.choice(LISTS)
        if said == "restarted":
            server.restarted()
            assert not server.restricted and server.out_until == 0.0 and server.trial == -1
            assert server.record.odds == Record().odds
            return
        self.listed[n] = said
        server.present, server.draining = said == "in", said == "draining"

    def send(self, n: int, server: Health) -> None:
        if not server.free(self.now):
            return
        self.ids += 1
        tried = server.restricted
        server.sent(self.ids, AIM_MS, self.now)
        assert (server.trial == self.ids) == tried
        if tried:  # and the next is not let through before its aim is over
            assert (
                not server.free(self.now + 0.99 * AIM_MS)
                and server.state(self.now, False) == "on_trial"
            )

    def wait(self, n: int, server: Health) -> None:
        for _ in range(self.rng.randint(1, SILENT_ROW + 1)):
            row, struck, out = server.waited, server.strikes, self.out()
            found = self.table.silent_for(
                server, self.now - 2 * AIM_MS, AIM_MS, self.servers, self.live, self.now
            )
            assert server.waited == row + 1
            assert not found or (
                not struck and row + 1 >= SILENT_ROW and out < SILENT_MOST * self.live
            )
            if found:
                server.strike(self.now)

    def outcome(self, n: int, server: Health) -> None:
        status, elapsed_ms = self.rng.choice(OUTCOMES), self.rng.choice((10.0, 100.0, 500.0, 900.0))
        trial = server.trial >= 0 and self.rng.random() < 0.7
        seen = WORDS[status](0, elapsed_ms, READ, trial=trial)
        struck, faults, odds, out_until = (
            server.strikes,
            server.faults,
            server.record.odds,
            server.out_until,
        )
        away_ms = self.now - server.out_since
        back = self.table.judge(server, seen, self.now)
        if seen.alive:
            assert (server.strikes, server.faults, server.trial) == (0, 0, -1)
            assert not struck or server.out_until == 0.0
            assert back == bool(struck and out_until and away_ms > AWAY_MS)
        elif status in FAULTS_ROW:
            assert server.faults == faults + 1 and not back
            assert server.strikes == struck + (faults + 1 >= FAULTS_ROW[status])
        elif status == "timed_out" and trial and struck and elapsed_ms > AIM_MS:
            assert server.strikes == struck + 1
        if server.strikes > struck:
            assert server.out_until == self.now + min(
                EJECT_MAX_MS, EJECT_MS * 2.0 ** (server.strikes - 1)
            )
        bad = self.table.doubted(server, seen, self.servers, self.live, self.now)
        assert 0.0 <= bad <= 1.0
        told = {
            "success": True,
            "failure": True,
            "timed_out": elapsed_ms >= 500.0,
            "withdrawn": elapsed_ms >= 500.0,
        }.get(status, False)
        assert told or server.record.odds == odds  # what tells nothing moves nothing
        if status == "failure" or (status == "timed_out" and elapsed_ms > AIM_MS):
            assert server.record.odds >= min(
                odds, Record().odds
            )  # wrong never speaks for a server, but for what time forgets
        if not seen.wrong and told and not server.strikes:
            assert server.out_until == 0.0

    def hold(self) -> None:
        """What is true of every server after every step."""
        for n, server in enumerate(self.servers):
            state = server.state(self.now, cold=False)
            assert state in STATES
            if self.listed[n] != "in":
                assert state == self.listed[n] and not server.free(self.now)
                continue
            assert server.free(self.now) == (state in USABLE), state
            assert server.restricted or state == "in_service"
            assert server.out_until <= self.now + max(EJECT_MAX_MS, TRIAL_MOST_MS, AIM_MS)
            assert 0.0 <= server.turned <= 1.0
        doubted = sum(
            s.present and not s.strikes and s.record.row > 0 and s.out_until > self.now
            for s in self.servers
        )
        assert doubted <= MOST_ALONE * len(self.servers) + 2


def walk(seed: int, many: int = 8, steps: int = 300) -> None:
    way = Walk(seed, many)
    for _ in range(steps):
        way.step()


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 24))
def test_every_sequence_moves_servers_as_the_table_says(seed: int, many: int) -> None:
    walk(seed, many)


def test_all_doubted_at_once_are_let_in_again() -> None:
    servers, table, now = [Health(True, False) for _ in range(10)], HealthTable(1), 0.0
    for _ in range(12):
        for server in servers:
            now += 10.0
            table.doubted(server, WORDS["failure"](0, 20.0, READ), servers, 10, now)
    assert sum(server.free(now) for server in servers) >= 4


def test_a_trial_whose_answer_comes_after_the_drain_brings_nobody_back() -> None:
    server, table = Health(True, False), HealthTable(1)
    server.strike(0.0)
    server.sent(7, AIM_MS, 1_000.0)
    server.present, server.draining = False, True
    table.judge(server, WORDS["success"](1, 50.0, READ, trial=True), 1_050.0)
    assert server.state(1_050.0, False) == "draining" and not server.free(1_050.0)
    server.present, server.draining = True, False
    assert server.state(1_051.0, False) == "in_service"


def test_a_node_that_stood_still_in_the_middle_of_a_trial_gives_one_more() -> None:
    server = Health(True, False)
    server.strike(0.0)
    server.sent(7, AIM_MS, 1_000.0)
    assert (
        server.state(2_500.0, True) == "due"
    )  # 1.5 s later the trial's aim is over, and one more request may go
    server.sent(8, AIM_MS, 2_500.0)
    assert server.state(2_501.0, True) == "on_trial" and server.trial == 8


# -- the checker is checked ----------------------------------------------------------------


def strike_flat(self: Health, now: float) -> None:
    self.strikes += 1
    self.trial, self.out_until = -1, now + EJECT_MS


def proved_keeps_strikes(self: Health, now: float) -> bool:
    self.faults, self.trial = 0, -1
    return False


def proved_keeps_trial(self: Health, now: float) -> bool:
    back = bool(self.strikes and self.out_until) and now - self.out_since > AWAY_MS
    self.faults = 0
    if self.strikes:
        self.strikes, self.out_until = 0, 0.0
    return back


def restarted_keeps_doubts(self: Health) -> None:
    self.strikes, self.waited, self.trial, self.out_until = 0, 0, -1, 0.0


def state_of_the_drained_by_health(self: Health, now: float, cold: bool) -> str:
    if self.restricted and self.out_until > now:
        return "silent"
    return "in_service" if self.present else "draining" if self.draining else "gone"


def sent_lets_all_through(self: Health, request_id: int, aim_ms: float, now: float) -> None:
    if self.restricted:
        self.trial = request_id


def silent_without_bound(
    self: Any, server: Health, sent_ms: float, aim_ms: float, servers: Any, live: int, now: float
) -> bool:
    if not server.waited:
        server.waited_ms = sent_ms
    server.waited += 1
    return not server.strikes and server.waited >= SILENT_ROW and now - server.waited_ms > aim_ms


def fault_at_once(self: Health, status: str, now: float) -> None:
    self.faults += 1
    self.strike(now)


WRONG = vars(Seen)["wrong"].fget
DEFECTS: dict[str, tuple[Any, str, Any]] = {
    "a strike does not double": (Health, "strike", strike_flat),
    "an answer does not end strikes": (Health, "proved", proved_keeps_strikes),
    "an answer does not end a trial": (Health, "proved", proved_keeps_trial),
    "a restart keeps doubts": (Health, "restarted", restarted_keeps_doubts),
    "a server that the list took away is usable": (
        Health,
        "free",
        lambda self, now: self.out_until <= now,
    ),
    "health goes before the list": (Health, "state", state_of_the_drained_by_health),
    "a trial lets all through": (Health, "sent", sent_lets_all_through),
    "silence has no bound": (HealthTable, "silent_for", silent_without_bound),
    "one fault is enough": (Health, "fault", fault_at_once),
    "doubt has no bound": (Doubts, "common", lambda self, sort, share: False),
    "brief time-outs tell of their server": (
        Seen,
        "wrong",
        property(lambda self: True if self.timed_out else WRONG(self)),
    ),
    "being turned away is held against a server": (
        Seen,
        "wrong",
        property(lambda self: True if self.full else WRONG(self)),
    ),
    "a trial that hangs is no strike": (Seen, "hung", property(lambda self: False)),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_every_planted_defect_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, key, value = DEFECTS[name]
    monkeypatch.setattr(owner, key, value)
    with pytest.raises(AssertionError):
        for seed in range(40):
            walk(seed)
            test_all_doubted_at_once_are_let_in_again()


@pytest.mark.parametrize("seed", range(40))
def test_without_a_defect_the_same_walks_are_good(seed: int) -> None:
    walk(seed)
