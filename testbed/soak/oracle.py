"""The oracle of the soak: checks what clients, servers and discovery saw against the rules.

Times are in milliseconds on the clock of this process, which runs all emulated systems. An
observation may be late by the time for which this process's event loop was blocked.
`EventLoopLag` measures that time, and each limit is extended by it.
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

# A node counts as notified of a change once it could reach discovery without interruption for
# this long after the change.
NOTIFICATION_LIMIT_MS = 6_000.0
# Allowance for the delay between a socket operation and its observation by the peer.
SOCKET_SLACK_MS = 50.0
# Attempts that arrive later than this after the client left break a rule.
CLIENT_LEFT_SLACK_MS = 100.0
# Allowance for the remaining time that a node states to a server.
DEADLINE_SLACK_MS = 150.0
# With fewer complete answers without a length, the share that was served is not checked.
MIN_UNFRAMED_ANSWERS = 20
MIN_UNFRAMED_SERVED_SHARE = 0.5


class Rule(StrEnum):
    """The rules that the oracle checks; the values appear in reports."""

    # A request got no answer, or more than one.
    LOST = "lost"
    # A request was repeated, or refused after it may have run, against its idempotency.
    DUPLICATE = "duplicate"
    # A node sent a request to a server after its departure and the grace.
    DRAIN = "drain"
    # A node did not answer `/up` as an operator's call asks for.
    DRAIN_CALL = "operator's drain"
    # A cold server got more work than its budget.
    FAILBACK = "failback"
    # An attempt began after the client had left.
    LEFT = "sent after its client left"
    # A server was given more time than the client's deadline leaves.
    DEADLINE = "deadline told"
    # Too few complete answers without a length reached their clients.
    UNFRAMED = "responses without a length"
    # An invalid or incomplete request got neither an error nor a close.
    BAD_CLIENT = "bad client"
    # A client or server received something that was not meant for it.
    WRONG_ANSWER = "wrong answer"
    # A node logged a defect or exited unexpectedly, or the test rig failed.
    CRASH = "crash"


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule; `at_s` is in seconds since the oracle was created."""

    at_s: float
    rule: Rule
    description: str

    def __str__(self) -> str:
        return f"{self.at_s:.3f} s: {self.rule}: {self.description}"


@dataclass(slots=True)
class Arrival:
    """One attempt that a server received completely."""

    server: str
    at_ms: float
    turned_away: bool = False


@dataclass(slots=True)
class RequestRecord:
    """Everything the oracle knows about one request.

    `left_ms` is when the client left, `bodies` the answer bodies that servers made for it.
    """

    ask: ClientRequest
    answered: bool = False
    left_ms: float = inf
    arrivals: list[Arrival] = field(default_factory=list)
    bodies: set[bytes] = field(default_factory=set)

    @property
    def may_have_run(self) -> list[Arrival]:
        """The attempts that no server reported as not executed."""
        return [arrival for arrival in self.arrivals if not arrival.turned_away]


class Intervals:
    """Time intervals in ms during which a condition held; the last one may still be open."""

    def __init__(self) -> None:
        self._intervals: list[tuple[float, float]] = []
        self._open = 0

    def begin(self) -> None:
        """Open an interval now; calls may nest."""
        if not self._open:
            self._intervals.append((now_ms(), inf))
        self._open += 1

    def end(self, after_ms: float = 0.0) -> None:
        """Close the open interval `after_ms` from now, once called as often as `begin`."""
        self._open = max(0, self._open - 1)
        if not self._open and self._intervals and self._intervals[-1][1] == inf:
            self._intervals[-1] = (self._intervals[-1][0], now_ms() + after_ms)

    def end_of(self, at_ms: float) -> float:
        """The end of the interval that contains a moment, or the moment itself."""
        return max((end for begin, end in self._intervals if begin <= at_ms < end), default=at_ms)

    def add(self, since: float, until: float) -> None:
        """Add an interval; its end may lie in the future."""
        self._intervals.append((since, until))

    def overlaps(self, since: float, until: float) -> bool:
        """Whether the condition held at any moment between `since` and `until`."""
        return any(begin <= until and end >= since for begin, end in self._intervals)

    def end_of_first_gap(self, since: float, span_ms: float) -> float:
        """The first moment from `since` on at which the condition had not held for `span_ms`.

        inf where the last interval is still open and no such moment came before it.
        """
        start = since
        for begin, end in sorted(self._intervals):
            if start + span_ms <= begin:
                break
            start = max(start, end)
        return start + span_ms


class EventLoopLag:
    """Measures how late this process's event loop runs, and so how late observations may be."""

    INTERVAL_S = 0.005

    def __init__(self) -> None:
        self.worst_ms = 0.0
        self._samples: list[tuple[float, float]] = []

    async def measure(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(self.INTERVAL_S)
            late_ms = 1000.0 * (loop.time() - before - self.INTERVAL_S)
            if late_ms > 2.0:
                self._samples.append((now_ms(), late_ms))
                self.worst_ms = max(self.worst_ms, late_ms)

    def worst_since(self, at_ms: float) -> float:
        """The longest lag in ms measured since `at_ms`, plus a margin of 5 ms."""
        return max((late for when, late in self._samples if when >= at_ms), default=0.0) + 5.0


class Oracle(ClientObserver, ServerObserver):
    """Collects observations and records those that break a rule.

    Receives reports of clients (`ClientObserver`), cache servers (`ServerObserver`,
    `servers.ArrivalObserver`) and discovery (`discovery.DiscoveryObserver`). The tables of
    `Intervals` are keyed by the name of a node and state when a node is excused from some of the
    rules.
    """

    def __init__(self, grace_ms: float) -> None:
        """Create an empty oracle.

        grace_ms: how long a node may still send to a server after it was notified of its departure.
        """
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self.lag = EventLoopLag()
        # The node cannot reach discovery.
        self.discovery_unreachable: dict[str, Intervals] = {}
        # The node was killed, has just been restarted, or stalls for longer than the rules allow
        # for, so requests may be lost.
        self.exempt: dict[str, Intervals] = {}
        # The process is stopped, or delayed before its writes.
        self.stalled: dict[str, Intervals] = {}
        # The node cannot read as fast as its peers write to it.
        self.slow_io: dict[str, Intervals] = {}
        # From the start of a second process until what discovery tells binds the node.
        self.takeovers: dict[str, Intervals] = {}
        # When the process of each node was started; an upgrade does not count.
        self.started_ms: dict[str, float] = {}
        # Work that each server received since its cold start.
        self.cold_servers: dict[str, ColdBox] = {}
        self._grace_ms = grace_ms
        self._started_at_ms = now_ms()
        self._records: dict[str, RequestRecord] = {}
        # By server: when its departure was entered into discovery.
        self._departed_ms: dict[str, float] = {}
        # By node and server: when the departure was written to the node.
        self._notified_ms: dict[tuple[str, str], float] = {}
        # Node and server, where the node was notified of the server's start time.
        self._start_known: set[tuple[str, str]] = set()
        # Requests that got a complete answer without a length, and whether it reached the client.
        self._unframed: dict[str, bool] = {}
        # Requests that the node sent again after such an answer.
        self._retried_unframed: set[str] = set()

    def record_violation(self, rule: Rule, description: str) -> None:
        """Record a violation at the present time."""
        self.violations.append(
            Violation((now_ms() - self._started_at_ms) / 1000.0, rule, description)
        )

    # -- clients -------------------------------------------------------------------------

    def request_sent(self, ask: ClientRequest) -> None:
        record = self._records.setdefault(ask.txn, RequestRecord(ask))
        record.ask = ask

    def answer_received(self, ask: ClientRequest, answer: Message) -> None:
        record = self._records[ask.txn]
        if record.answered:
            self.record_violation(Rule.LOST, f"{ask.txn} was answered twice")
        record.answered = True
        if answer.status == 200:
            if answer.body not in record.bodies:
                self.record_violation(
                    Rule.WRONG_ANSWER,
                    f"{ask.txn} was served a body that no server made for it: {answer.body[:40]!r}",
                )
            if ask.txn in self._unframed and ask.txn not in self._retried_unframed:
                self._unframed[ask.txn] = True
        if (
            answer.status in (429, 503)
            and ask.request_class.idempotency == "unsafe"
            and record.may_have_run
        ):
            self.record_violation(
                Rule.DUPLICATE,
                f"{ask.txn} was refused though it may have run at {record.may_have_run[0].server}",
            )

    def client_left(self, ask: ClientRequest) -> None:
        self._records[ask.txn].left_ms = now_ms()

    def no_answer(self, ask: ClientRequest, how: str) -> bool:
        record = self._records[ask.txn]
        if self.exempt[ask.node].overlaps(ask.sent_ms - SOCKET_SLACK_MS, now_ms()):
            return False
        if how == "no answer":
            self.record_violation(Rule.LOST, f"{ask.txn} to {ask.node} got no answer in its time")
            return False
        if record.arrivals:
            self.record_violation(
                Rule.LOST,
                f"{ask.txn} to {ask.node} was forwarded, then its connection ended: {how}",
            )
            return False
        if ask.first_on_connection:
            self.record_violation(
                Rule.LOST,
                f"{ask.txn} to {ask.node} was sent on a new connection, which ended: {how}",
            )
            return False
        # The node closed an idle connection while the request was on its way: the client retries.
        return True

    def bad_client_result(self, node: str, name: str, status: int, waited_ms: float) -> None:
        since = now_ms() - waited_ms
        if self.exempt[node].overlaps(since, now_ms()) or self.stalled[node].overlaps(
            since, now_ms()
        ):
            return
        if status == -1:
            self.record_violation(
                Rule.BAD_CLIENT,
                f"{name} got neither an error nor a close from {node} in {waited_ms:.0f} ms",
            )
        elif 200 <= status < 400:
            self.record_violation(
                Rule.BAD_CLIENT,
                f"{name} was served by {node} with status {status}",
            )

    def unsolicited_input(self, node: str) -> None:
        self.record_violation(
            Rule.WRONG_ANSWER, f"{node} wrote to a connection that carries no request"
        )

    # -- servers -------------------------------------------------------------------------

    def arrived(self, server: str, txn: str, remaining_ms: Optional[float]) -> None:
        """See `servers.ArrivalObserver`."""
        now = now_ms()
        record = self._records.get(txn)
        if record is None:
            self.record_violation(Rule.WRONG_ANSWER, f"{server} got {txn}, which no client sent")
            return
        self.counts["attempts"] += 1
        ask = record.ask
        if txn in self._unframed:
            # The node did not accept the complete answer as such and retried.
            self._retried_unframed.add(txn)
        earlier = record.may_have_run
        record.arrivals.append(Arrival(server, now))
        self._check_repeat(ask, server, earlier, now)
        self._check_departure(ask, server, now)
        if now > record.left_ms + CLIENT_LEFT_SLACK_MS + self.lag.worst_since(
            record.left_ms
        ) and not self._lateness_excused(ask.node, record.left_ms, now):
            self.record_violation(
                Rule.LEFT,
                f"{txn} from {ask.node} arrived at {server} "
                f"{now - record.left_ms:.0f} ms after its client left",
            )
        if remaining_ms is not None and ask.sent_ms:
            expected_ms = ask.sent_ms + ask.client_wait_ms - now
            # A node that stalls several times in a row reads requests late without knowing it.
            late = self.slow_io[ask.node].overlaps(ask.sent_ms, now)
            if (
                not late
                and remaining_ms > 1.0
                and remaining_ms
                > expected_ms + DEADLINE_SLACK_MS + self.lag.worst_since(now - 500.0)
            ):
                self.record_violation(
                    Rule.DEADLINE,
                    f"{server} was given {remaining_ms:.0f} ms for {txn} by {ask.node}, "
                    f"{expected_ms:.0f} ms remain",
                )

    def _lateness_excused(self, node: str, since: float, until: float) -> bool:
        return self.stalled[node].overlaps(since, until) or self.slow_io[node].overlaps(
            since, until
        )

    def _check_repeat(
        self, ask: ClientRequest, server: str, earlier: list[Arrival], now: float
    ) -> None:
        if not earlier:
            return
        self.counts["repeats"] += 1
        if ask.request_class.idempotency == "unsafe":
            self.record_violation(
                Rule.DUPLICATE,
                f"{ask.txn} may have run at {earlier[0].server} and was sent to {server}",
            )
        elif ask.request_class.idempotency == "keyed":
            late_ms = now - earlier[0].at_ms - ask.request_class.window_ms
            if late_ms > SOCKET_SLACK_MS + self.lag.worst_since(earlier[0].at_ms):
                self.record_violation(
                    Rule.DUPLICATE,
                    f"{ask.txn} arrived at {server} {late_ms:.0f} ms after its window",
                )

    def _check_departure(self, ask: ClientRequest, server: str, now: float) -> None:
        due_ms = self._notification_due_ms(ask.node, server)
        if due_ms == inf:
            return
        late_ms = now - due_ms - self._grace_ms - SOCKET_SLACK_MS
        if late_ms > self.lag.worst_since(due_ms) and not self.slow_io[ask.node].overlaps(
            due_ms, now
        ):
            self.record_violation(
                Rule.DRAIN,
                f"{ask.txn} from {ask.node} arrived at {server} "
                f"{now - due_ms:.0f} ms after the node counts as notified",
            )

    def _notification_due_ms(self, node: str, server: str) -> float:
        changed = self._departed_ms.get(server)
        if changed is None:
            return inf
        started = self.started_ms.get(node, 0.0)
        due = self.discovery_unreachable[node].end_of_first_gap(changed, NOTIFICATION_LIMIT_MS)
        written = self._notified_ms.get((node, server), inf)
        return self.takeovers[node].end_of(min(due, written if written >= started else inf))

    def completed_unframed(self, txn: str) -> None:
        """See `servers.ArrivalObserver`."""
        self._unframed.setdefault(txn, False)

    def request_received(self, box: CacheBox, txn: str, method: str, work_ms: float) -> None:
        cold, record = self.cold_servers.get(box.name), self._records.get(txn)
        if (
            cold is not None
            and record is not None
            and (record.ask.node, box.name) in self._start_known
        ):
            cold.received.append((now_ms(), work_ms, record.ask.node))

    def request_turned_away(self, box: CacheBox, txn: str) -> None:
        record = self._records.get(txn)
        if record is not None:
            for arrival in record.arrivals:
                if arrival.server == box.name:
                    arrival.turned_away = True

    def answer_made(self, box: CacheBox, txn: str, body: bytes) -> None:
        self.body_made(txn, body)

    def body_made(self, txn: str, body: bytes) -> None:
        """Record the body of an answer that a server made for a request."""
        if txn in self._records:
            self._records[txn].bodies.add(body)

    # -- discovery -----------------------------------------------------------------------

    def changed(self, entries: Iterable[Entry]) -> None:
        """See `discovery.DiscoveryObserver`."""
        for entry in entries:
            if entry["lifecycle"] != "in_service":
                self._departed_ms.setdefault(str(entry["instanceId"]), now_ms())

    def notified(self, node: str, entries: Iterable[Entry]) -> None:
        """See `discovery.DiscoveryObserver`."""
        for entry in entries:
            name = str(entry["instanceId"])
            if entry["lifecycle"] != "in_service":
                self._notified_ms.setdefault((node, name), now_ms())
            elif entry["startedAtMs"]:
                self._start_known.add((node, name))

    def reachable(self, node: str, now: bool) -> None:
        """See `discovery.DiscoveryObserver`."""
        if now:
            self.discovery_unreachable[node].end()
        else:
            self.discovery_unreachable[node].begin()

    # -- after the run -------------------------------------------------------------------------

    def check_totals(self) -> None:
        """Check the rules that need the observations of the whole run."""
        for name, cold in self.cold_servers.items():
            if cold.peak_budget_use() > 1.0:
                self.record_violation(
                    Rule.FAILBACK,
                    f"{name} got {cold.peak_budget_use():.2f} times its budget of work "
                    "from nodes that were notified of its start",
                )
        served = sum(self._unframed.values())
        self.counts["unframed"], self.counts["unframed served"] = len(self._unframed), served
        if len(self._unframed) >= MIN_UNFRAMED_ANSWERS and served < MIN_UNFRAMED_SERVED_SHARE * len(
            self._unframed
        ):
            self.record_violation(
                Rule.UNFRAMED,
                f"{served} of {len(self._unframed)} complete answers with no length were forwarded",
            )
