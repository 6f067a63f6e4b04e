"""The four rules, asserted on the balancer's actions for random valid sequences of events.

The checker is tested too: deliberately wrong decisions must make it fail.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Optional, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from forkweir.choice import Balancer
from forkweir.known.outcomes import NOT_EXECUTED
from forkweir.settings import Action, ClassSpec, Server, Settings

CLASSES = (
    ClassSpec("read", aim_ms=300, deadline_ms=1000, repeat="safe"),
    ClassSpec(
        "keyed", aim_ms=400, deadline_ms=1000, repeat="keyed", group="cell", repeat_window_ms=500
    ),
    ClassSpec(
        "keyed-all", aim_ms=400, deadline_ms=1000, repeat="keyed", group="all", repeat_window_ms=500
    ),
    ClassSpec("unsafe", aim_ms=300, deadline_ms=1000, repeat="unsafe"),
)
STATUSES = ("success", "failure", "overloaded", "timed_out", "unreachable", "broken", "spoilt")
GRACE_MS = 250.0


class BrokenRule(AssertionError):
    """An action broke a rule."""


class RequestState:
    """The state of one request as seen from outside the balancer."""

    def __init__(self, spec: ClassSpec, deadline: float) -> None:
        self.spec = spec
        self.deadline = deadline
        self.answered = False
        self.attempts: list[
            tuple[float, str, str]
        ] = []  # time sent, server, status ("" while running)
        self.due = 0.0  # when the last attempt times out


class World:
    """Feeds events to a balancer and checks its actions against the rules."""

    def __init__(self, seed: int, balancer: Optional[Balancer] = None) -> None:
        self.random = random.Random(seed)
        self.now = 1000.0
        self.balancer = balancer or Balancer(
            Settings(classes=CLASSES, max_attempts=3, backoff_max_ms=500), seed
        )
        self.state = {f"s{i}": "in" for i in range(6)}
        self.notified_ms = {name: 0.0 for name in self.state}
        self.requests: dict[int, RequestState] = {}
        self.next_id = 1
        self.apply(self.balancer.on_list(self.now, "saved", [self.entry(n) for n in self.state]))

    def entry(self, name: str) -> Server:
        return Server(name, zone="a", cell=int(name[1:]) % 2, state=self.state[name])

    def apply(self, actions: list[Action]) -> None:
        for action in actions:
            if action[0] == "attempt":
                self.attempt(action[1], action[2], action[3])
            elif action[0] == "refuse" or action[0] == "fail":
                self.answer(action[1], refused=action[0] == "refuse")

    def attempt(self, request_id: int, server: str, within: float) -> None:
        track = self.requests[request_id]
        if track.answered:
            raise BrokenRule("attempt after the end")
        if self.state[server] != "in" and self.now > self.notified_ms[server] + GRACE_MS:
            raise BrokenRule("attempt at a drained server")
        if any(status == "" for _, _, status in track.attempts):
            raise BrokenRule("two attempts out")
        ran = [a for a in track.attempts if a[2] not in NOT_EXECUTED]
        if ran and track.spec.repeat == "unsafe":
            raise BrokenRule("unsafe repeat")
        if ran and track.spec.repeat == "keyed":
            if self.now - ran[0][0] > track.spec.repeat_window_ms:
                raise BrokenRule("keyed repeat too late")
            if track.spec.group == "cell" and int(server[1:]) % 2 != int(ran[0][1][1:]) % 2:
                raise BrokenRule("keyed repeat elsewhere")
        assert within > 0
        track.attempts.append((self.now, server, ""))
        track.due = min(self.now + within, track.deadline)

    def answer(self, request_id: int, refused: bool) -> None:
        track = self.requests[request_id]
        if track.answered:
            raise BrokenRule("two answers")
        ran = any(status not in NOT_EXECUTED for _, _, status in track.attempts)
        binding = track.spec.repeat == "unsafe" or (
            track.spec.repeat == "keyed" and track.spec.group != "all"
        )
        if refused and ran and binding:
            raise BrokenRule("refused what may have run")
        if self.now > track.deadline + 20.0:
            raise BrokenRule("answered too late")
        track.answered = True

    def arrive(self) -> None:
        request_id, self.next_id = self.next_id, self.next_id + 1
        spec = self.random.choice(CLASSES)
        self.requests[request_id] = RequestState(spec, self.now + 1000.0)
        key = None if self.random.random() < 0.1 else f"k{self.random.randrange(20)}"
        self.apply(self.balancer.on_request(self.now, request_id, spec.name, key, 1000.0))

    def end_attempt(self) -> None:
        waiting = self.waiting()
        if waiting:
            self.outcome(self.random.choice(waiting), self.random.choice(STATUSES))

    def waiting(self) -> list[int]:
        return [i for i, t in self.requests.items() if t.attempts and t.attempts[-1][2] == ""]

    def outcome(self, request_id: int, status: str) -> None:
        track = self.requests[request_id]
        number = len(track.attempts) - 1
        sent, server, _ = track.attempts[number]
        track.attempts[number] = (sent, server, status)
        if status == "success" and not track.answered:
            track.answered = True
            self.balancer.on_outcome(
                self.now, request_id, number, True, status, server, self.now - sent, 1
            )
        else:
            self.apply(
                self.balancer.on_outcome(
                    self.now, request_id, number, track.answered, status, server, self.now - sent
                )
            )

    def advance(self, until: float) -> None:
        """Advance the clock and deliver each timeout when it is due."""
        while True:
            due = min(((self.requests[i].due, i) for i in self.waiting()), default=(until + 1.0, 0))
            if due[0] > until:
                break
            self.now = max(self.now, due[0])
            self.outcome(due[1], "timed_out")
        self.now = until

    def change(self) -> None:
        name = self.random.choice(sorted(self.state))
        self.state[name] = self.random.choice(("in", "draining", "gone"))
        self.notified_ms[name] = self.now
        self.apply(self.balancer.on_list(self.now, "changes", [self.entry(name)]))

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.advance(self.now + self.random.choice((0.0, 5.0, 40.0)))
            self.random.choice(
                (self.arrive, self.arrive, self.end_attempt, self.end_attempt, self.change)
            )()
        self.advance(self.now + 5000.0)
        if any(not t.answered for t in self.requests.values()):
            raise BrokenRule("a request was lost")


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_random_valid_event_sequences_break_no_rule(seed: int) -> None:
    World(seed).run(150)


def always(value: bool) -> Callable[..., bool]:
    return lambda *_: value


def test_the_checker_detects_a_repeat_that_is_not_allowed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Balancer, "_may_retry", always(True))
    with pytest.raises(BrokenRule):
        for seed in range(40):
            World(seed).run(150)


def test_the_checker_detects_a_refusal_that_is_not_allowed(monkeypatch: pytest.MonkeyPatch) -> None:
    def refuse(self: Balancer, request: object, now: float) -> Action:
        request_id = cast(int, getattr(request, "id"))  # noqa: B009
        del self.held[request_id]
        return ("refuse", request_id, 0.0, "tries")

    monkeypatch.setattr(Balancer, "_give_up", refuse)
    with pytest.raises(BrokenRule, match="refused"):
        for seed in range(40):
            World(seed).run(150)


def test_the_checker_detects_a_lost_request(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Balancer, "_give_up", lambda self, request, now: ("log", "dropped"))
    with pytest.raises(BrokenRule, match="lost"):
        for seed in range(40):
            World(seed).run(150)


def test_the_checker_detects_an_ignored_drain() -> None:
    world = World(3)
    for name in world.state:
        world.state[name] = "draining"  # the balancer is not notified, so it goes on sending
    with pytest.raises(BrokenRule, match="drained"):
        world.run(60)


def test_requests_are_refused_where_every_listed_server_drains() -> None:
    balancer = Balancer(Settings(classes=CLASSES), 1)
    balancer.on_list(0.0, "full", [Server("a", state="draining")])
    assert balancer.on_request(1.0, 5, "read", "k", 100.0)[0][:2] == ("refuse", 5)
    empty = Balancer(Settings(classes=CLASSES), 1)
    assert empty.on_request(1.0, 5, "read", None, 100.0)[0][:2] == ("refuse", 5)


def test_events_of_unknown_requests_are_ignored() -> None:
    balancer = Balancer(Settings(classes=CLASSES), 1)
    balancer.on_list(0.0, "full", [Server("a")])
    assert balancer.on_outcome(1.0, 9, 0, True, "success", "a", 1.0) == []
    assert balancer.on_departure(1.0, 9) == []
    assert balancer.on_timer(1.0, 99) == []
