"""The soak: its oracle against planted defects, its plans, and a short run of real processes."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

import pytest

from testbed.soak import oracle as oracle_module
from testbed.soak.oracle import Intervals, Oracle, Rule
from testbed.soak.plan import BASIC_FAULTS, CROWD_FAULTS, Fault, draw
from testbed.soak.rig import run
from testbed.systems.clients import CLASSES, ClientRequest
from testbed.systems.http import Message

KINDS = {kind.idempotency: kind for kind in CLASSES}
GRACE_MS = 250.0


class OracleHarness:
    """An oracle on a manual clock (`now`, in ms) and helpers that report events to it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 1_000_000.0
        monkeypatch.setattr(oracle_module, "now_ms", lambda: self.now)
        self.oracle = Oracle(GRACE_MS)
        for table in (
            self.oracle.discovery_unreachable,
            self.oracle.exempt,
            self.oracle.stalled,
            self.oracle.slow_io,
            self.oracle.takeovers,
        ):
            table["n0"] = Intervals()

    def ask(
        self,
        repeat: str = "safe",
        txn: str = "x1",
        first: bool = True,
        client_wait_ms: float = 2_000.0,
    ) -> ClientRequest:
        ask = ClientRequest(
            txn,
            KINDS[repeat],
            "k",
            "",
            "n0",
            b"",
            sent_ms=self.now,
            first_on_connection=first,
            client_wait_ms=client_wait_ms,
        )
        self.oracle.request_sent(ask)
        return ask

    def announce_departure(self, server: str) -> None:
        self.oracle.changed([{"instanceId": server, "lifecycle": "terminating", "startedAtMs": 0}])

    def notify_node(self, server: str) -> None:
        self.oracle.notified(
            "n0", [{"instanceId": server, "lifecycle": "terminating", "startedAtMs": 0}]
        )

    @property
    def rules(self) -> list[Rule]:
        return [violation.rule for violation in self.oracle.violations]


def answer(status: int, body: bytes = b"") -> Message:
    return Message("", "", status, {}, body)


def after_the_grace(harness: OracleHarness) -> None:
    harness.announce_departure("s0")
    harness.notify_node("s0")
    harness.now += GRACE_MS + 50.0 + 6.0
    harness.ask()
    harness.oracle.arrived("s0", "x1", None)


def after_six_seconds(harness: OracleHarness) -> None:
    harness.announce_departure("s0")
    harness.now += 6_000.0 + GRACE_MS + 50.0 + 6.0
    harness.ask()
    harness.oracle.arrived("s0", "x1", None)


def unsafe_twice(harness: OracleHarness) -> None:
    harness.ask("unsafe")
    harness.oracle.arrived("s0", "x1", None)
    harness.oracle.arrived("s1", "x1", None)


def unsafe_refused(harness: OracleHarness) -> None:
    ask = harness.ask("unsafe")
    harness.oracle.arrived("s0", "x1", None)
    harness.oracle.answer_received(ask, answer(503))


def keyed_after_its_window(harness: OracleHarness) -> None:
    ask = harness.ask("keyed")
    harness.oracle.arrived("s0", "x1", None)
    harness.now += ask.request_class.window_ms + 60.0
    harness.oracle.arrived("s1", "x1", None)


def no_answer(harness: OracleHarness) -> None:
    harness.oracle.no_answer(harness.ask(), "no answer")


def closed_after_it_was_sent_on(harness: OracleHarness) -> None:
    ask = harness.ask(first=False)
    harness.oracle.arrived("s0", "x1", None)
    assert not harness.oracle.no_answer(ask, "Ended")


def closed_on_a_new_connection(harness: OracleHarness) -> None:
    assert not harness.oracle.no_answer(harness.ask(first=True), "Ended")


def sent_after_the_client_left(harness: OracleHarness) -> None:
    ask = harness.ask()
    harness.oracle.client_left(ask)
    harness.now += 106.0
    harness.oracle.arrived("s0", "x1", None)


def too_long_a_deadline(harness: OracleHarness) -> None:
    harness.ask(client_wait_ms=1_000.0)
    harness.now += 500.0
    harness.oracle.arrived("s0", "x1", 656.0)


def not_its_answer(harness: OracleHarness) -> None:
    harness.oracle.answer_received(harness.ask(), answer(200, b"something"))


def unframed_not_forwarded(harness: OracleHarness) -> None:
    for n in range(oracle_module.MIN_UNFRAMED_ANSWERS):
        harness.ask(txn=f"x{n}")
        harness.oracle.arrived("s0", f"x{n}", None)
        harness.oracle.completed_unframed(f"x{n}")
    harness.oracle.check_totals()


def a_bad_client_without_an_end(harness: OracleHarness) -> None:
    harness.oracle.bad_client_result("n0", "half a head", -1, 3_200.0)


DEFECTS: dict[str, tuple[Callable[[OracleHarness], None], Rule]] = {
    "after the grace": (after_the_grace, Rule.DRAIN),
    "after six seconds": (after_six_seconds, Rule.DRAIN),
    "unsafe twice": (unsafe_twice, Rule.DUPLICATE),
    "unsafe refused": (unsafe_refused, Rule.DUPLICATE),
    "keyed after its window": (keyed_after_its_window, Rule.DUPLICATE),
    "no answer": (no_answer, Rule.LOST),
    "closed after it was sent on": (closed_after_it_was_sent_on, Rule.LOST),
    "closed on a new connection": (closed_on_a_new_connection, Rule.LOST),
    "sent after the client left": (sent_after_the_client_left, Rule.LEFT),
    "too long a deadline": (too_long_a_deadline, Rule.DEADLINE),
    "not its answer": (not_its_answer, Rule.WRONG_ANSWER),
    "unframed not forwarded": (unframed_not_forwarded, Rule.UNFRAMED),
    "a bad client without an end": (a_bad_client_without_an_end, Rule.BAD_CLIENT),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_the_oracle_finds_each_defect(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    harness = OracleHarness(monkeypatch)
    defect, rule = DEFECTS[name]
    defect(harness)
    assert harness.rules == [rule]


def test_the_oracle_accepts_permitted_events(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = OracleHarness(monkeypatch)
    harness.announce_departure("s0")
    harness.notify_node("s0")
    harness.now += GRACE_MS + 50.0
    for n, repeat in enumerate(("safe", "keyed", "unsafe")):
        ask = harness.ask(repeat, txn=f"x{n}", first=False)
        harness.oracle.arrived("s0", f"x{n}", 1_995.0)
        harness.oracle.answer_made(None, f"x{n}", b"value")  # type: ignore[arg-type]
        harness.oracle.answer_received(ask, answer(200, b"value"))
    crossed = harness.ask(txn="x9", first=False)
    # The node closed an idle connection while the request was on its way, so the client retries.
    assert harness.oracle.no_answer(crossed, "Ended")
    # While discovery is unreachable, a change does not count as notified. The six seconds start
    # again once discovery is reachable.
    harness.oracle.reachable("n0", False)
    harness.announce_departure("s1")
    harness.now += 8_000.0
    harness.oracle.reachable("n0", True)
    harness.now += 5_900.0
    harness.ask(txn="x10")
    harness.oracle.arrived("s1", "x10", None)
    # A request that was turned away has not run, so it may be refused.
    ask = harness.ask("unsafe", txn="x11")
    harness.oracle.arrived("s2", "x11", None)
    harness.oracle._records["x11"].arrivals[0].turned_away = True
    harness.oracle.answer_received(ask, answer(503))
    harness.oracle.check_totals()
    assert harness.rules == []


def test_intervals_of_time() -> None:
    intervals = Intervals()
    intervals.add(1_000.0, 2_000.0)
    assert (
        intervals.overlaps(1_500.0, 1_600.0)
        and intervals.overlaps(0.0, 1_000.0)
        and not intervals.overlaps(2_001.0, 3_000.0)
    )
    # This gap ends before the first interval begins.
    assert intervals.end_of_first_gap(0.0, 500.0) == 500.0
    assert intervals.end_of_first_gap(0.0, 1_500.0) == 3_500.0
    intervals.add(3_000.0, inf)
    assert intervals.end_of_first_gap(1_500.0, 1_500.0) == inf


def test_plans_are_drawn_from_their_seed_alone_and_reach_every_fault() -> None:
    assert draw(7, 12, 14.0) == draw(7, 12, 14.0) != draw(8, 12, 14.0)
    plans = [draw(seed, 12, 14.0) for seed in range(60)]
    assert {event.kind for plan in plans for event in plan.events} == set(BASIC_FAULTS)
    with_upgrades = [draw(seed, 12, 14.0, upgrades=True) for seed in range(60)]
    assert {event.kind for plan in with_upgrades for event in plan.events} == set(Fault) - set(
        CROWD_FAULTS
    )
    with_crowds = [draw(seed, 12, 14.0, crowd=True) for seed in range(60)]
    assert {event.kind for plan in with_crowds for event in plan.events} == {
        *BASIC_FAULTS,
        *CROWD_FAULTS,
    }
    for plan, crowded in zip(plans, with_crowds, strict=True):
        assert [event for event in crowded.events if event in plan.events] == plan.events
    for plan, upgraded in zip(plans, with_upgrades, strict=True):
        assert [event for event in upgraded.events if event in plan.events] == plan.events
    plans += with_upgrades + with_crowds
    assert all(0.0 < event.at_s < 14.0 for plan in plans for event in plan.events)


def test_a_short_run_keeps_every_rule() -> None:
    # Three processes for five seconds; `python -m testbed.soak` does longer runs.
    report = run(draw(3, 3, 5.0))
    assert report.violations == []
    assert report.counts["served"] > 0.8 * report.counts["asked"] > 0


@pytest.mark.parametrize("seed", [1, 4])
def test_a_short_run_with_upgrades_keeps_every_rule(seed: int) -> None:
    # Three nodes for eight seconds; `python -m testbed.soak --upgrades` does longer runs.
    report = run(draw(seed, 3, 8.0, upgrades=True))
    assert report.violations == []
    assert report.counts["upgrades"] > 0
    assert report.counts["served"] > 0.5 * report.counts["asked"] > 0


def test_a_short_run_with_a_crowd_keeps_every_rule() -> None:
    # Three nodes for six seconds; `python -m testbed.soak --crowd` does longer runs.
    report = run(draw(2, 3, 6.0, crowd=True))
    assert report.violations == []
    assert report.counts["crowds"] > 0
    assert report.counts["served"] > 0.5 * report.counts["asked"] > 0
