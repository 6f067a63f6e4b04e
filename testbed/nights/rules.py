"""The rules of a scenario, checked against what the testbed observes after every step.

Each rule has the name that its failures print.

1. "one final answer": each request that a running node has accepted gets exactly one final answer,
   made for it, before its deadline.
2. "no effect twice": unsafe work that may have run is neither repeated nor refused. A keyed request
   is repeated only within its window.
3. "nothing after the end": no attempt is sent for a request after its final answer, or after its
   client has left. A node that stalled meanwhile, or was starved (could accept no connection, for
   example without a free file descriptor), may learn of either late. CLEANUP_US after the end
   nothing of the request is left in its node.
   "left while it waited": no attempt, even of such a node, is sent LEAVE_NOTICE_US or longer after
   the client left, as the node's kernel knows by then.
   "deadline told": the remaining time that is announced to a server is at most the time that the
   client still waits and DEADLINE_SLACK_US.
4. "drains kept": no attempt goes to a server later than the drain grace after the node was notified
   that the server drains or was removed. A list entry counts as received when it was written
   whole, from brace to brace, also in a line that is cut or corrupt elsewhere; but such a line may
   not take a node's last server.
5. "no cold server pushed over": no cold server is overloaded. The work sent to it stays within the
   budget of its present capacity.
6. "books": the node's own accounts agree with its sockets after every step, and all are empty at
   the end.

Where nodes use further sources, also:

7. "never empty": a node's server set is never empty while any source named a box that the list did
   not report as draining or removed.
8. "only who is named": no address is dialed that no source ever named.

Where nodes form a tier, also:

9. "shares add up": the shares of a tier-wide limit that its nodes hold, stalled ones included, sum
   to at most the total.

Not numbered: "bad clients" (a malformed or incomplete request gets an error or a close, and is
never served), "no exception" (no unexpected exception reaches the event loop or ends a node) and
"no standstill" (the event loop neither deadlocks nor livelocks; see `simulation`).

The observer, `Rules`, sees what emulated systems, clients and the network show. The accounts,
server sets and leases are read in the nodes themselves.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Optional

from corkshift.discovery import MAX_RETIRING
from corkshift.service import Service
from corkshift.sources.dns import MAX_CONCURRENT_LOOKUPS
from corkshift.tier.transport import UdpTransport
from forkweir.tier.leases import TOTAL_SHARES, Lease
from testbed.machine.net import VirtualSocket
from testbed.machine.protocols import ProcessProtocol
from testbed.systems.clients import ClientObserver, ClientRequest
from testbed.systems.emulators import CacheBox, ServerObserver, majority_box_share
from testbed.systems.http import Message

DRAIN_GRACE_US = 250_000
# The longest time in which a node retries a lost DNS query and receives the answer.
DNS_RETRY_US = 1_500_000
# Added to the drain grace, checked at the sockets of nodes, and to the window of keyed requests,
# checked at the boxes.
TIME_LIMIT_SLACK_US = 50_000
# A cold server is overloaded by more work than this multiple of its present capacity (within
# COLD_BUDGET_WINDOW_US, and with COLD_BUDGET_SLACK). `testbed/tier/books.py` uses it too.
OVERLOAD_MULTIPLE = 4.0
COLD_BUDGET_WINDOW_US = 2_000_000
# Factor on the cold budget for random variation.
COLD_BUDGET_SLACK = 1.3
# A node that stalled for longer may send late to a draining server; the grace covers any shorter
# stall.
MAX_EXPECTED_STALL_US = 150_000
# Added to the remaining time that may be announced to a server.
DEADLINE_SLACK_US = 150_000
# This long after a request's end none of its attempts is running any more.
CLEANUP_US = 60_000
# This long after a client left, no attempt is started for it, even by a node that stalled or was
# starved meanwhile.
LEAVE_NOTICE_US = 100_000
# Covers attempts in transit while the end of their request is notified; on a slow link they queue.
IN_TRANSIT_US = 20_000
# Timers of further sources: the next round, the next check, and running DNS queries.
SOURCES_TIMERS = 2 + MAX_CONCURRENT_LOOKUPS
# Timers of an idle node: two sweeps, the check of what is running, the event loop lag, and up to
# two scheduled calls.
IDLE_TIMERS = 6
# Timers of each watch of discovery. While its call is unanswered: the timeout of the answer and the
# timer that starts a parallel call. Once it is answered: a pause and an idle limit.
DISCOVERY_CALL_TIMERS = 2


@dataclass(frozen=True, slots=True)
class Failure:
    """One violation of a rule."""

    at_us: int
    rule: str
    detail: str
    # Number of callbacks that the loop had run.
    step: int = 0

    def __str__(self) -> str:
        return f"{self.at_us / 1e6:.6f} s: {self.rule}: {self.detail}"


@dataclass(slots=True)
class ObservedAttempt:
    """One attempt, observed when its head leaves a node or its last byte reaches a box.

    turned_away: the box has answered that the request never ran (only of attempts at a box).
    """

    at_us: int
    box: str
    turned_away: bool = False


@dataclass(slots=True)
class RequestRecord:
    """Everything known about one request; times are -1 until they happen."""

    ask: Optional[ClientRequest] = None
    requested_us: int = -1
    answer: Optional[Message] = None
    answered_us: int = -1
    client_left_us: int = -1
    # Attempts whose head has left a node.
    sent: list[ObservedAttempt] = field(default_factory=list)
    # Attempts whose last byte has reached a box.
    received: list[ObservedAttempt] = field(default_factory=list)
    # Node that sent the latest attempt.
    sender: Optional[ProcessProtocol] = None
    # Bodies of the answers that boxes made.
    bodies: list[bytes] = field(default_factory=list)


class Rules(ServerObserver, ClientObserver):
    """Records the events of a scenario and reports violations of the rules."""

    def __init__(
        self,
        now_us: Callable[[], int],
        trace: Callable[[str], None],
        call_after_us: Callable[..., object],
    ) -> None:
        self.failures: list[Failure] = []
        self.records: dict[str, RequestRecord] = {}
        # By host: the process that runs there now.
        self.nodes: dict[str, ProcessProtocol] = {}
        self.services: dict[ProcessProtocol, Service] = {}
        # Names of the boxes by host, for the trace.
        self.boxes: dict[str, str] = {}
        # Whether a request may stay unanswered: its node was killed, stalled or starved, or the
        # network broke its connection.
        self.is_excused: Callable[[ClientRequest], bool] = lambda ask: False
        self.steps: Callable[[], int] = lambda: 0
        self._now = now_us
        self._trace = trace
        self._call_after_us = call_after_us
        # By node and address: time from which the node may start nothing new there.
        self._excluded_since: dict[tuple[ProcessProtocol, str], int] = {}
        # By node: addresses that its list reported as in service.
        self._listed: dict[ProcessProtocol, set[str]] = {}
        # Pairs of a node and a server's host: the server's latest in-service entry that was sent to
        # the node, but for entries of corrupt lines, had a start time (startedAtMs).
        self._started: set[tuple[ProcessProtocol, str]] = set()
        # By node: addresses that its list ever reported as in service.
        self._ever_listed: dict[ProcessProtocol, set[str]] = {}
        # Addresses that DNS ever named.
        self._dns_named: set[str] = set()
        # By node: addresses in the DNS answers to it, with the time of the first.
        self._dns_answered: dict[ProcessProtocol, dict[str, int]] = {}
        # Nodes without a server in service, with the time since which they could have one; a list
        # line may still be in transit.
        self._empty_since: dict[ProcessProtocol, int] = {}
        self._request_heads: dict[VirtualSocket, bytearray] = {}
        self._recent_work: dict[str, deque[tuple[int, float, bool]]] = {}
        self._dialed: dict[ProcessProtocol, int] = {}
        self._accepted: dict[ProcessProtocol, int] = {}
        self._reported: set[tuple[str, str]] = set()
        # Number of reads by key and box.
        self.reads: dict[str, Counter[str]] = defaultdict(Counter)
        # Number of leases that nodes took.
        self.leases = 0
        # By limit: the most shares that all nodes held at once.
        self.max_held: dict[int, int] = {}

    def report(self, rule: str, detail: str) -> None:
        """Record and trace a violation, once per rule and detail."""
        if (rule, detail) not in self._reported:
            self._reported.add((rule, detail))
            self.failures.append(Failure(self._now(), rule, detail, self.steps()))
            self._trace(f"BROKEN {rule}: {detail}")

    def request_record(self, txn: str) -> RequestRecord:
        """Return the record of a request, created at its first use."""
        record = self.records.get(txn)
        if record is None:
            record = self.records[txn] = RequestRecord()
        return record

    # -- clients -------------------------------------------------------------------------

    def request_sent(self, ask: ClientRequest) -> None:
        record = self.request_record(ask.txn)
        record.ask, record.requested_us = ask, self._now()
        self._trace(f"client asks {ask.txn} {ask.request_class.name} {ask.key} of {ask.node}")

    def answer_received(self, ask: ClientRequest, answer: Message) -> None:
        record = self.request_record(ask.txn)
        self._trace(f"client gets {ask.txn} {answer.status} {len(answer.body)}")
        if record.answer is not None:
            self.report("one final answer", f"{ask.txn} is answered twice")
        record.answer, record.answered_us = answer, self._now()
        self._call_after_us(CLEANUP_US, self._check_nothing_running, ask, record.answered_us)
        if answer.status == 200 and answer.body not in record.bodies:
            self.report(
                "one final answer",
                f"{ask.txn} got a body that no box made for it: {answer.body[:40]!r}",
            )
        may_have_run = [attempt for attempt in record.received if not attempt.turned_away]
        if (
            answer.status in (429, 503)
            and ask.request_class.idempotency == "unsafe"
            and may_have_run
        ):
            self.report(
                "no effect twice",
                f"{ask.txn} is refused though it may have run at {may_have_run[0].box}",
            )

    def client_left(self, ask: ClientRequest) -> None:
        self.request_record(ask.txn).client_left_us = self._now()
        self._call_after_us(CLEANUP_US, self._check_nothing_running, ask, self._now())
        self._trace(f"client leaves {ask.txn}")

    def _check_nothing_running(self, ask: ClientRequest, ended_us: int) -> None:
        """Check that nothing of an ended request is left in its node.

        Not checked: a node that is paused or has ended, or was paused or starved since the request
        ended, and so may learn of the end late.
        """
        for process, service in self.services.items():
            if (
                process.name != ask.node
                or not process.running
                or process.was_paused_or_starved(ended_us, self._now())
            ):
                continue
            txn = ask.txn.encode()
            if any(call.txn == txn for call in service.node._requests.values()):
                self.report("nothing after the end", f"{process.name} still holds {ask.txn}")
            if any(attempt.request.txn == txn for attempt in service.node._running.values()):
                self.report(
                    "nothing after the end",
                    f"an attempt of {process.name} for {ask.txn} still runs",
                )

    def no_answer(self, ask: ClientRequest, how: str) -> bool:
        record = self.request_record(ask.txn)
        self._trace(f"client has no answer {ask.txn} {how}")
        if self.is_excused(ask):
            return False
        if how == "no answer":
            self.report("one final answer", f"{ask.txn} has no answer at its deadline")
        elif record.sent:
            self.report(
                "one final answer", f"{ask.txn} was sent to a box, but its connection ended: {how}"
            )
        elif not ask.first_on_connection:
            # A close crossed the request, which is sent once more on a new connection.
            return True
        return False

    def unsolicited_input(self, node: str) -> None:
        self.report("one final answer", f"{node} writes on a connection without a request")

    def bad_client_result(self, node: str, name: str, status: int, waited_ms: float) -> None:
        self._trace(f"rude client {name} {status} of {node}")
        since = self._now() - int(waited_ms * 1000)
        here = [process for process in self.services if process.name == node]
        if any(
            process.was_paused_or_starved(since, self._now()) or not process.alive
            for process in here
        ):
            return
        if status == -1:
            self.report(
                "bad clients", f"{name} got neither an error nor a close in {waited_ms:.0f} ms"
            )
        elif 200 <= status < 400:
            self.report("bad clients", f"{name} was served with {status}")

    # -- boxes ---------------------------------------------------------------------------

    def request_received(self, box: CacheBox, txn: str, method: str, work_ms: float) -> None:
        record, now = self.request_record(txn), self._now()
        self._trace(f"{box.name} receives {txn}")
        earlier = [attempt for attempt in record.received if not attempt.turned_away]
        record.received.append(ObservedAttempt(now, box.name))
        kind = record.ask.request_class if record.ask is not None else None
        if earlier and kind is not None and kind.idempotency == "unsafe":
            self.report(
                "no effect twice",
                f"{txn} may have run at {earlier[0].box} and is sent to {box.name}",
            )
        if earlier and kind is not None and kind.idempotency == "keyed":
            if now - earlier[0].at_us > 1000 * kind.window_ms + TIME_LIMIT_SLACK_US:
                self.report("no effect twice", f"{txn} is sent to {box.name} after the window")
        # Bad clients send a request of this id behind one with two lengths (`BAD_REQUESTS`).
        if method == "PUT" and record.ask is None and txn == "hidden":
            self.report("no effect twice", "a smuggled request was forwarded")
        if method == "GET" and record.ask is not None:
            self.reads[record.ask.key][box.name] += 1
        self._check_cold_budget(box, work_ms, now, record.sender)

    def primary_box_share(self) -> float:
        """Return the fraction of reads that went to the box with most reads of their key.

        Keys that were read once are left out.
        """
        return majority_box_share(self.reads)

    def request_turned_away(self, box: CacheBox, txn: str) -> None:
        self.request_record(txn).received[-1].turned_away = True
        self._trace(f"{box.name} turns away {txn}")

    def answer_made(self, box: CacheBox, txn: str, body: bytes) -> None:
        self.request_record(txn).bodies.append(body)
        self._trace(f"{box.name} answers {txn}")

    def origin_fetched(self, box: str, key: str) -> None:
        self._trace(f"{box} fetches {key}")

    def _check_cold_budget(
        self, box: CacheBox, work_ms: float, now: int, sender: Optional[ProcessProtocol]
    ) -> None:
        """Check the work sent to a cold box against its budget.

        The rule holds only where nodes that knew of the start sent at least two thirds of the work.
        A node that was not notified (discovery was unresponsive or wrong) cannot know, nor can one
        whose wall clock is ahead by as long as a box stays cold, as it has no other clock to
        compare with.
        """
        capacity = box.speed_share()
        if capacity >= 1.0:
            return
        sent = self._recent_work.setdefault(box.name, deque())
        clock_ahead = sender is not None and sender.wall_clock_offset_ms >= box.spec.cold_ms
        notified = (
            sender is not None and (sender, box.address[0]) in self._started and not clock_ahead
        )
        sent.append((now, work_ms, notified))
        while sent[0][0] < now - COLD_BUDGET_WINDOW_US:
            sent.popleft()
        total = sum(work for _, work, _ in sent)
        by_notified = sum(work for _, work, was_notified in sent if was_notified)
        budget = (
            OVERLOAD_MULTIPLE
            * capacity
            * box.full_speed
            * COLD_BUDGET_WINDOW_US
            / 1000.0
            * COLD_BUDGET_SLACK
        )
        if total > budget and by_notified * 3 >= total * 2:
            self.report("no cold server pushed over", f"{box.name} got more work than its budget")

    # -- discovery -----------------------------------------------------------------------

    def on_node_start(
        self, process: ProcessProtocol, saved_entries: list[dict[str, object]]
    ) -> None:
        """Record that a node starts, with the list that it last saved."""
        self.nodes[process.host] = process
        self._listed[process] = {
            str(entry["hostPort"]) for entry in saved_entries if entry["lifecycle"] == "in_service"
        }
        self._ever_listed[process] = set(self._listed[process])

    def list_sent(
        self, node: str, entries: list[dict[str, object]], full: bool, sound: bool = True
    ) -> None:
        now = self._now()
        process = self.nodes.get(node)
        if process is None or not process.alive:
            return
        in_service = set()
        listed = self._listed[process]
        if full:
            listed.clear()
        for entry in entries:
            address = str(entry["hostPort"])
            if entry["lifecycle"] == "in_service":
                self._excluded_since.pop((process, address), None)
                in_service.add(address)
                listed.add(address)
                self._ever_listed[process].add(address)
                instance = process, address.partition(":")[0]
                if not sound:
                    # A node may use the start times of a corrupt line but need not.
                    continue
                if entry.get("startedAtMs"):
                    self._started.add(instance)
                else:
                    self._started.discard(instance)
        for entry in entries:
            address = str(entry["hostPort"])
            if entry["lifecycle"] != "in_service" and address not in in_service:
                if not sound and listed <= {address}:
                    # A corrupt line may not remove the last server.
                    continue
                listed.discard(address)
                self._excluded_since.setdefault((process, address), now)
                self._trace(
                    f"{process.name} is notified that {entry['instanceId']} is {entry['lifecycle']}"
                )

    # -- further sources -----------------------------------------------------------------

    def on_dns_change(self, addresses: Iterable[str]) -> None:
        """Record addresses that DNS names from now on."""
        self._dns_named.update(addresses)

    def on_dns_answer(self, host: str, addresses: Iterable[str]) -> None:
        """Record addresses in a DNS answer to a node."""
        process = self.nodes.get(host)
        if process is not None:
            answered = self._dns_answered.setdefault(process, {})
            for address in addresses:
                answered.setdefault(address, self._now())

    def check_never_empty(self) -> None:
        """Check rule 7 for every node that uses further sources and knows its servers.

        Nodes that are paused are not checked.
        """
        for process, service in self.services.items():
            if service.sources is None or not process.running or not service.node.servers_known:
                continue
            if any(server.leaving_ms is None for server in service.node.servers.values()):
                self._empty_since.pop(process, None)
                continue
            answered = {
                a
                for a, at in self._dns_answered.get(process, {}).items()
                if self._now() - at > DNS_RETRY_US
            }
            candidates = [
                address
                for address in self._ever_listed[process] | answered
                if (process, address) not in self._excluded_since
            ]
            since = self._empty_since.setdefault(process, self._now())
            if not candidates:
                self._empty_since[process] = self._now()
            elif self._now() - since > DRAIN_GRACE_US and not process.was_paused(
                since, self._now()
            ):
                self.report(
                    "never empty",
                    f"{process.name} has no server in service "
                    f"though {min(candidates)} was never removed",
                )

    # -- the tier ------------------------------------------------------------------------

    def on_tier_join(self, process: ProcessProtocol, transport: UdpTransport) -> None:
        """Check rule 9 whenever a node takes a lease, the only moment at which a sum can grow."""
        held_leases, original_on_lease = (
            transport.tier.allocator.held_leases,
            transport.tier.allocator.held_leases.on_lease,
        )

        def record_lease(limit: int, lease: Lease, now: float) -> None:
            original_on_lease(limit, lease, now)
            self.leases += 1
            self._check_shares(limit)

        held_leases.on_lease = record_lease

    def _check_shares(self, limit: int) -> None:
        """Check that the shares of a limit held by live nodes, or paused ones, fit the total."""
        held_shares = {}
        for process, service in self.services.items():
            if process.alive and service.tier is not None:
                lease = service.tier.tier.allocator.held_leases.lease(limit, process.now_ms())
                if lease is not None:
                    held_shares[process.name] = lease.shares
        self.max_held[limit] = max(self.max_held.get(limit, 0), sum(held_shares.values()))
        if sum(held_shares.values()) > TOTAL_SHARES:
            self.report(
                "shares add up",
                f"of limit {limit} {held_shares} are held, of {TOTAL_SHARES} in all",
            )

    # -- bytes on the wire ---------------------------------------------------------------

    def on_bytes_sent(self, sock: VirtualSocket, piece: bytes, asked: int) -> None:
        """Handle bytes that a process sends; called by the network for every send."""
        if (
            sock.remote[0] not in self.boxes
            or sock.process is None
            or sock.process not in self.services
        ):
            return
        head = self._request_heads.get(sock)
        if head is None:
            if not piece.startswith((b"GET ", b"PUT ")):
                return
            head = bytearray()
        head += piece
        if b"\r\n\r\n" not in head:
            self._request_heads[sock] = head
            return
        self._request_heads.pop(sock, None)
        # 9 and 18 are the lengths of the texts that are searched for.
        at = head.find(b"\r\nX-Txn: ")
        txn = head[at + 9 : head.index(b"\r\n", at + 9)].decode("latin-1")
        deadline_at = head.find(b"\r\nX-Remaining-Ms: ")
        self._on_attempt_sent(
            sock,
            txn,
            1000 * int(head[deadline_at + 18 : head.index(b"\r\n", deadline_at + 18)])
            if deadline_at >= 0
            else 0,
        )

    def _on_attempt_sent(self, sock: VirtualSocket, txn: str, announced_us: int) -> None:
        """Check an attempt whose head leaves a node.

        announced_us: the remaining time that the head announces.
        """
        now, process = self._now(), sock.process
        assert process is not None
        record = self.request_record(txn)
        box = self.boxes[sock.remote[0]]
        record.sent.append(ObservedAttempt(now, box))
        record.sender = process
        self._trace(f"{process.name} sends {txn} to {box} #{len(record.sent)}")
        for ended_us, what in (
            (record.answered_us, "its final answer"),
            (record.client_left_us, "its client had left"),
        ):
            if 0 <= ended_us < now - IN_TRANSIT_US and not process.was_paused_or_starved(
                ended_us, now
            ):
                self.report(
                    "nothing after the end", f"{process.name} sends {txn} to {box} after {what}"
                )
        if 0 <= record.client_left_us <= now - LEAVE_NOTICE_US:
            late_ms = (now - record.client_left_us) / 1000
            self.report(
                "left while it waited",
                f"{process.name} sends {txn} to {box} {late_ms:.0f} ms after its client left",
            )
        if record.ask is not None and record.ask.client_wait_ms and record.requested_us >= 0:
            remaining_us = record.requested_us + int(1000 * record.ask.client_wait_ms) - now
            if announced_us > max(
                1_000, remaining_us
            ) + DEADLINE_SLACK_US and not process.was_paused(record.requested_us, now):
                self.report(
                    "deadline told",
                    f"{process.name} tells {box} {announced_us // 1000} ms for {txn}, "
                    f"but {remaining_us // 1000} ms remain",
                )
        address = f"{sock.remote[0]}:{sock.remote[1]}"
        since = self._excluded_since.get((process, address))
        if (
            since is not None
            and now - since > DRAIN_GRACE_US + TIME_LIMIT_SLACK_US
            and not process.was_paused(since, now, MAX_EXPECTED_STALL_US)
        ):
            self.report(
                "drains kept",
                f"{process.name} sends {txn} to {box} {(now - since) / 1000:.0f} ms after the "
                f"notification",
            )

    # -- accounts of the node ------------------------------------------------------------

    def on_socket_event(self, what: str, sock: VirtualSocket) -> None:
        """Count a socket that was dialed, accepted or closed; called by the network."""
        process = sock.process
        if process is None or process not in self.services:
            return
        # 127.4 is discovery and 127.6 the DNS resolvers; their addresses are configured.
        if what == "dial" and not sock.remote[0].startswith(("127.4.", "127.6.")):
            address = f"{sock.remote[0]}:{sock.remote[1]}"
            if address not in self._dns_named and address not in self._ever_listed[process]:
                self.report("only who is named", f"{process.name} dials {address}")
        if what == "dial" and sock.remote[0] in self.boxes:
            self._dialed[process] = self._dialed.get(process, 0) + 1
        elif what in ("close", "abort") and sock.is_initiator and sock.remote[0] in self.boxes:
            self._dialed[process] -= 1
        elif what == "accept":
            self._accepted[process] = self._accepted.get(process, 0) + 1
        elif what in ("close", "abort") and not sock.is_initiator and sock.peer is not None:
            self._accepted[process] -= 1

    def after_step(self, process: ProcessProtocol) -> None:
        """Check the connection counts of a node, paused or not, against its sockets."""
        service = self.services.get(process)
        if service is None or not process.alive:
            return
        dialed, accepted = self._dialed.get(process, 0), self._accepted.get(process, 0)
        if service.pool.open != dialed:
            self.report(
                "books",
                f"{process.name} counts {service.pool.open} connections to servers "
                f"and has {dialed}",
            )
        # The node may count more: a connection whose socket is closed counts until it is removed.
        if accepted > len(service.frontend._connections):
            self.report(
                "books", f"{process.name} has {accepted} client connections and counts fewer"
            )

    def check_idle_timers(self, timers: dict[ProcessProtocol, int]) -> None:
        """Check shortly after the last answer that no timer of a request is left.

        timers: the number of timers by process. Nodes that are paused or have ended are not
        checked.
        """
        for process in self.services:
            discovery = self.services[process].discovery
            allowed = IDLE_TIMERS + (
                SOURCES_TIMERS if self.services[process].sources is not None else 0
            )
            allowed += DISCOVERY_CALL_TIMERS * (len(discovery._calls) + len(discovery._retiring))
            allowed += (discovery.address_book._release_timer is not None) + bool(
                discovery.address_book._superseded
            )
            allowed += self.services[process].tier is not None  # its periodic timer
            if process.state == "running" and timers.get(process, 0) > allowed:
                self.report("books", f"{process.name} though idle holds {timers[process]} timers")

    def check_idle(self, timers: dict[ProcessProtocol, int]) -> None:
        """Check that running nodes, which have no requests, have released everything.

        Nodes that are paused or have ended are not checked.
        """
        self.check_idle_timers(timers)
        for process, service in self.services.items():
            if process.state != "running":
                continue
            node = service.node
            extra_tasks = 0 if service.sources is None else 1 + MAX_CONCURRENT_LOOKUPS
            remaining = {
                "requests": len(node._requests),
                "tries": len(node._tries),
                "attempts": len(node._attempts) + len(node._running),
                # The module is the node's balancer (`forkweir`).
                "requests of the module": len(node._balancer.held),
                "bytes of bodies": service.frontend.body_budget.used,
                "client connections": len(service.frontend._connections),
                # Expected are the program's own task and that of its watch of discovery. A retiring
                # watch, which lost a line, stays open until its replacement has received a complete
                # line. The replacement may be called only after the end of the scenario (seed
                # 10101004).
                "tasks over the expected number": max(
                    0,
                    len(process.pending_tasks())
                    - 2
                    - min(MAX_RETIRING, len(service.discovery._retiring))
                    - extra_tasks,
                ),
                "connections in use": service.pool.open - len(service.pool._idle),
            }
            for what, count in remaining.items():
                if count:
                    self.report("books", f"{process.name} though idle holds {count} {what}")

    def report_exception(self, process: str, message: str) -> None:
        """Report an unexpected exception."""
        self.report("no exception", f"{process}: {message}")
