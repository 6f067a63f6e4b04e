"""The invariants of the soak: what clients, servers and discovery saw, held against the rules of the platform's pages.

Times are ms on the one clock of this process, in which all stand-ins run. What they see may be late by as much as this process stood
still meanwhile, which `Lag` measures; each limit is allowed that much more.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf
from typing import Optional

from corkshift.seam import now_ms
from testbed.soak.discovery import Entry
from testbed.systems.clients import ClientObserver, ClientRequest
from testbed.systems.emulators import CacheBox, ServerObserver
from testbed.systems.http import Message
from testbed.tier.books import ColdBox

NOTIFIED_MS = 6_000.0  # after discovery had a change and could be reached it counts as notified
STARTING_MS = (
    10_000.0  # a new process is held to the list that it was given for so long (`mustAskInMs`)
)
SOCKET_SLACK_MS = 50.0  # of each limit of the rules
LEFT_MS = 100.0  # after its client closed no attempt of a request may begin
DEADLINE_SLACK_MS = 150.0  # of the deadline that a server is told
LEAST_UNFRAMED = 20  # complete answers with no length, from which on their share is looked at,
UNFRAMED_SHARE = 0.5  # and that share


class Rule(StrEnum):
    """What may be broken."""

    LOST = "lost"
    DUPLICATE = "duplicate"
    DRAIN = "drain"
    FAILBACK = "failback"
    LEFT = "sent after its client left"
    DEADLINE = "deadline told"
    UNFRAMED = "responses without a length"
    BAD_CLIENT = "bad client"
    WRONG_ANSWER = "wrong answer"
    CRASH = "crash"


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule."""

    at_s: float
    rule: Rule
    what: str

    def __str__(self) -> str:
        return f"{self.at_s:.3f} s: {self.rule}: {self.what}"


@dataclass(slots=True)
class Arrival:
    """One attempt, come whole to a server."""

    server: str
    at_ms: float
    turned_away: bool = False


@dataclass(slots=True)
class Record:
    """All that is known of one request."""

    ask: ClientRequest
    answered: bool = False
    left_ms: float = inf
    arrivals: list[Arrival] = field(default_factory=list)
    bodies: set[bytes] = field(default_factory=set)

    @property
    def may_have_run(self) -> list[Arrival]:
        """The attempts that no server disowned."""
        return [arrival for arrival in self.arrivals if not arrival.turned_away]


class Spans:
    """When something was so, as spans of time; the last one may be open."""

    def __init__(self) -> None:
        self._spans: list[tuple[float, float]] = []
        self._open = 0

    def begin(self) -> None:
        """It is so from now on."""
        if not self._open:
            self._spans.append((now_ms(), inf))
        self._open += 1

    def end(self) -> None:
        """It is no longer so, if it has ended as often as it began."""
        self._open = max(0, self._open - 1)
        if not self._open and self._spans and self._spans[-1][1] == inf:
            self._spans[-1] = (self._spans[-1][0], now_ms())

    def add(self, since: float, until: float) -> None:
        """It is so from then until then."""
        self._spans.append((since, until))

    def overlap(self, since: float, until: float) -> bool:
        """Whether it was so at any moment between."""
        return any(begin <= until and end >= since for begin, end in self._spans)

    def quiet_for(self, since: float, span_ms: float) -> float:
        """The first moment at which it was not so for this long, from `since` on; inf where none has come."""
        start = since
        for begin, end in sorted(self._spans):
            if start + span_ms <= begin:
                break
            start = max(start, end)
        return start + span_ms


class Lag:
    """How late this process runs: the stand-ins see what happens by so much later."""

    STEP_S = 0.005

    def __init__(self) -> None:
        self.worst_ms = 0.0
        self._late: list[tuple[float, float]] = []

    async def measure(self) -> None:
        """Go on until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(self.STEP_S)
            late_ms = 1000.0 * (loop.time() - before - self.STEP_S)
            if late_ms > 2.0:
                self._late.append((now_ms(), late_ms))
                self.worst_ms = max(self.worst_ms, late_ms)

    def since(self, at_ms: float) -> float:
        """The longest that this process stood still since then."""
        return max((late for when, late in self._late if when >= at_ms), default=0.0) + 5.0


class Oracle(ClientObserver, ServerObserver):
    """Collects what was seen, and what of it breaks a rule."""

    def __init__(self, grace_ms: float) -> None:
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self.lag = Lag()
        self.unreachable: dict[str, Spans] = {}  # by node: discovery can't be reached
        self.hurt: dict[
            str, Spans
        ] = {}  # by node: killed, or just started again: nothing is owed by it
        self.held_up: dict[str, Spans] = {}  # by node: stopped, or held up before writes
        self.deaf: dict[str, Spans] = {}  # by node: it can't read as fast as it is written to
        self.started_ms: dict[str, float] = {}  # by node: when its process began
        self.cold: dict[str, ColdBox] = {}
        self._grace_ms = grace_ms
        self._began = now_ms()
        self._records: dict[str, Record] = {}
        self._changed_ms: dict[str, float] = {}  # by server: when discovery had its departure
        self._notified_ms: dict[tuple[str, str], float] = {}
        self._knows_start: set[tuple[str, str]] = set()
        self._unframed: dict[
            str, bool
        ] = {}  # by request with a complete answer without a length: whether that one was served
        self._asked_again: set[str] = set()

    def broken(self, rule: Rule, what: str) -> None:
        """Note a violation."""
        self.violations.append(Violation((now_ms() - self._began) / 1000.0, rule, what))

    # -- clients -------------------------------------------------------------------------

    def request_sent(self, ask: ClientRequest) -> None:
        record = self._records.setdefault(ask.txn, Record(ask))
        record.ask = ask

    def answer_received(self, ask: ClientRequest, answer: Message) -> None:
        record = self._records[ask.txn]
        if record.answered:
            self.broken(Rule.LOST, f"{ask.txn} is answered twice")
        record.answered = True
        if answer.status == 200:
            if answer.body not in record.bodies:
                self.broken(
                    Rule.WRONG_ANSWER,
                    f"{ask.txn} is served with what was not made for it: {answer.body[:40]!r}",
                )
            if ask.txn in self._unframed and ask.txn not in self._asked_again:
                self._unframed[ask.txn] = True
        if (
            answer.status in (429, 503)
            and ask.request_class.idempotency == "unsafe"
            and record.may_have_run
        ):
            self.broken(
                Rule.DUPLICATE,
                f"{ask.txn} is refused though it may have run at {record.may_have_run[0].server}",
            )

    def client_left(self, ask: ClientRequest) -> None:
        self._records[ask.txn].left_ms = now_ms()

    def no_answer(self, ask: ClientRequest, how: str) -> bool:
        record = self._records[ask.txn]
        if self.hurt[ask.node].overlap(ask.sent_ms - SOCKET_SLACK_MS, now_ms()):
            return False
        if how == "no answer":
            self.broken(Rule.LOST, f"{ask.txn} of {ask.node} has no answer when its time is up")
            return False
        if record.arrivals:
            self.broken(
                Rule.LOST, f"{ask.txn} of {ask.node} was sent on, and its connection ended: {how}"
            )
            return False
        if ask.first_on_connection:
            self.broken(
                Rule.LOST, f"{ask.txn} of {ask.node} was on a new connection, which ended: {how}"
            )
            return False
        return True  # a close that crossed the request: it is sent once more on a new connection

    def bad_client_result(self, node: str, name: str, status: int, waited_ms: float) -> None:
        since = now_ms() - waited_ms
        if self.hurt[node].overlap(since, now_ms()) or self.held_up[node].overlap(since, now_ms()):
            return
        if status == -1:
            self.broken(
                Rule.BAD_CLIENT,
                f"{name} got neither an error nor a close of {node} in {waited_ms:.0f} ms",
            )
        elif 200 <= status < 400:
            self.broken(Rule.BAD_CLIENT, f"{name} was served by {node} with {status}")

    def unsolicited_input(self, node: str) -> None:
        self.broken(Rule.WRONG_ANSWER, f"{node} writes on a connection on which nothing is asked")

    # -- servers -------------------------------------------------------------------------

    def arrived(self, server: str, txn: str, told_ms: Optional[float]) -> None:
        """See `servers.Arrivals`."""
        now = now_ms()
        record = self._records.get(txn)
        if record is None:
            self.broken(Rule.WRONG_ANSWER, f"{server} got {txn}, which no client sent")
            return
        self.counts["attempts"] += 1
        ask = record.ask
        if txn in self._unframed:
            self._asked_again.add(txn)  # its complete answer was not taken for one
        earlier = record.may_have_run
        record.arrivals.append(Arrival(server, now))
        self._check_repeat(ask, server, earlier, now)
        self._check_departure(ask, server, now)
        if now > record.left_ms + LEFT_MS + self.lag.since(
            record.left_ms
        ) and not self._excused_late(ask.node, record.left_ms, now):
            self.broken(
                Rule.LEFT,
                f"{txn} of {ask.node} came to {server} {now - record.left_ms:.0f} ms after its client left",
            )
        if told_ms is not None and ask.sent_ms:
            left_ms = ask.sent_ms + ask.client_wait_ms - now
            # A node that is held up several times in a row reads requests late, and can't know how late.
            late = self.deaf[ask.node].overlap(ask.sent_ms, now)
            if (
                not late
                and told_ms > 1.0
                and told_ms > left_ms + DEADLINE_SLACK_MS + self.lag.since(now - 500.0)
            ):
                self.broken(
                    Rule.DEADLINE,
                    f"{server} was told {told_ms:.0f} ms for {txn} of {ask.node}, {left_ms:.0f} are left",
                )

    def _excused_late(self, node: str, since: float, until: float) -> bool:
        return self.held_up[node].overlap(since, until) or self.deaf[node].overlap(since, until)

    def _check_repeat(
        self, ask: ClientRequest, server: str, earlier: list[Arrival], now: float
    ) -> None:
        if not earlier:
            return
        self.counts["repeats"] += 1
        if ask.request_class.idempotency == "unsafe":
            self.broken(
                Rule.DUPLICATE,
                f"{ask.txn} may have run at {earlier[0].server} and came to {server}",
            )
        elif ask.request_class.idempotency == "keyed":
            late_ms = now - earlier[0].at_ms - ask.request_class.window_ms
            if late_ms > SOCKET_SLACK_MS + self.lag.since(earlier[0].at_ms):
                self.broken(
                    Rule.DUPLICATE, f"{ask.txn} came to {server} {late_ms:.0f} ms after its window"
                )

    def _check_departure(self, ask: ClientRequest, server: str, now: float) -> None:
        told = self._told_ms(ask.node, server)
        if told == inf:
            return
        late_ms = now - told - self._grace_ms - SOCKET_SLACK_MS
        if late_ms > self.lag.since(told) and not self.deaf[ask.node].overlap(told, now):
            self.broken(
                Rule.DRAIN,
                f"{ask.txn} of {ask.node} came to {server} {now - told:.0f} ms after it counts as notified",
            )

    def _told_ms(self, node: str, server: str) -> float:
        changed = self._changed_ms.get(server)
        if changed is None:
            return inf
        started = self.started_ms.get(node, 0.0)
        due = self.unreachable[node].quiet_for(changed, NOTIFIED_MS)
        if started > changed:
            due = max(due, started + STARTING_MS)
        written = self._notified_ms.get((node, server), inf)
        return min(due, written if written >= started else inf)

    def completed_unframed(self, txn: str) -> None:
        """See `servers.Arrivals`."""
        self._unframed.setdefault(txn, False)

    def request_received(self, box: CacheBox, txn: str, method: str, work_ms: float) -> None:
        cold, record = self.cold.get(box.name), self._records.get(txn)
        if (
            cold is not None
            and record is not None
            and (record.ask.node, box.name) in self._knows_start
        ):
            cold.got.append((now_ms(), work_ms, record.ask.node))

    def request_turned_away(self, box: CacheBox, txn: str) -> None:
        record = self._records.get(txn)
        if record is not None:
            for arrival in record.arrivals:
                if arrival.server == box.name:
                    arrival.turned_away = True

    def answer_made(self, box: CacheBox, txn: str, body: bytes) -> None:
        self.body_made(txn, body)

    def body_made(self, txn: str, body: bytes) -> None:
        """A server has made the body of an answer to this request."""
        if txn in self._records:
            self._records[txn].bodies.add(body)

    # -- discovery -----------------------------------------------------------------------

    def changed(self, entries: Iterable[Entry]) -> None:
        """See `discovery.Told`."""
        for entry in entries:
            if entry["lifecycle"] != "in_service":
                self._changed_ms.setdefault(str(entry["instanceId"]), now_ms())

    def notified(self, node: str, entries: Iterable[Entry]) -> None:
        """See `discovery.Told`."""
        for entry in entries:
            name = str(entry["instanceId"])
            if entry["lifecycle"] != "in_service":
                self._notified_ms.setdefault((node, name), now_ms())
            elif entry["startedAtMs"]:
                self._knows_start.add((node, name))

    def reachable(self, node: str, now: bool) -> None:
        """See `discovery.Told`."""
        if now:
            self.unreachable[node].end()
        else:
            self.unreachable[node].begin()

    # -- the end -------------------------------------------------------------------------

    def finish(self) -> None:
        """Hold what only the whole run shows against the rules."""
        for name, cold in self.cold.items():
            if cold.worst() > 1.0:
                self.broken(
                    Rule.FAILBACK,
                    f"{name} got {cold.worst():.2f} of its budget from nodes that knew of its start",
                )
        served = sum(self._unframed.values())
        self.counts["unframed"], self.counts["unframed served"] = len(self._unframed), served
        if len(self._unframed) >= LEAST_UNFRAMED and served < UNFRAMED_SHARE * len(self._unframed):
            self.broken(Rule.UNFRAMED, f"{served} of {len(self._unframed)} were forwarded")
