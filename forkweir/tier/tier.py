"""One node's state machine in the tier: datagrams and time in, datagrams out. Pure, no clock.

Combines `members` and `leases`. One node at a time is the leader. It calls all others in each
heartbeat, they reply with their demand, and its next call brings their grants. The lowest slot
among the participants becomes a candidate where no leader has called for a while; the others
follow later by rank, so that a lowest node that reaches nobody blocks nothing. A candidate steps
down for a lower one that calls; one that gets no majority in two vote periods backs off for a
random time.

A node with another digest, or one that is not the node that `peers` has at its address, is
ignored. While a datagram with another digest came from an address in `peers` within a vote period,
this node neither becomes a candidate nor grants its vote, and says so to each caller, which then
does the same: two groups that count the tier differently could each have their own majority.
Leases granted before expire by themselves, and all nodes have only their floors until the change
of configuration is complete.

Bounds: at most MAX_CALL_PAGES pages of MAX_ENTRIES grants to a node in a heartbeat; reported demand
is dropped after REPORT_TTL_HEARTBEATS; a node's own limit counts as at most OUTLIER_FACTOR times
the median in the tier's total.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from statistics import median

from forkweir.tier import signals, wire
from forkweir.tier.demand import FETCHES_LIMIT_ID, Demand
from forkweir.tier.leases import MAX_LIMITS, TOTAL_SHARES, Allocator, ProcessId
from forkweir.tier.members import Members, Probe
from forkweir.tier.options import Options
from forkweir.tier.shared_line import ENTRIES_PER_PAGE, WINDOW_ARRIVALS, merge, pack, unpack
from forkweir.tier.signals import REPORT_RECIPIENTS, Signals
from forkweir.tier.wire import FORMAT_VERSION, MAX_ENTRIES, Message

VOTE_HEARTBEATS = 8.0
LEASE_HEARTBEATS = 5.0
# Without a call from the leader for this long, another node may become a candidate.
ELECTION_TIMEOUT_HEARTBEATS = 2.5
# Added to the election timeout for each rank among the participants.
ELECTION_STAGGER_HEARTBEATS = 0.5
# Delay after the start before this node may become a candidate.
STARTUP_HEARTBEATS = 1.5
# Demand that a node reported is dropped after this time.
REPORT_TTL_HEARTBEATS = 2.5
# A node's own limit counts as at most this multiple of the median in the tier's total.
OUTLIER_FACTOR = 4.0
# Periods between two reports on boxes, if there is anything to report.
SIGNAL_PERIODS = 1.5
# Heartbeats between two distributions of the shared line.
LINE_HEARTBEATS = 4
# Datagrams of MAX_ENTRIES grants to one node in a heartbeat, and of demand in its reply.
MAX_CALL_PAGES = 13

DEFAULT_OPTIONS = Options()

Send = tuple[int, bytes]
"""The slot of the receiving node and the encoded datagram."""


@dataclass(slots=True)
class NodeReport:
    """What the leader knows of one process.

    reply_number: of its last reply; own_limits: work and fetches, as the node would limit them by
    itself; demands: by limit, the amount and when it was reported; filled: the fraction of its
    window that consists of arrivals; heavy_buckets: fraction of the window by bucket;
    heavy_call_number: the call to which heavy_buckets belong.
    """

    token: int
    reply_number: int = 0
    received_ms: float = 0.0
    own_limits: tuple[float, float] = (0.0, 0.0)
    demands: dict[int, tuple[float, float]] = field(default_factory=dict)
    filled: float = 0.0
    heavy_buckets: dict[int, float] = field(default_factory=dict)
    heavy_call_number: int = 0


class Tier:
    """One node's process in the tier. Call `tick` at least TICKS_PER_PERIOD times a period."""

    def __init__(
        self,
        slot: int,
        count: int,
        seed: int,
        incarnation: int,
        now: float,
        options: Options = DEFAULT_OPTIONS,
        tier: int = 0,
    ) -> None:
        """Start as node `slot` of `count`.

        seed: differs at each start; incarnation: Unix seconds of the start; tier: number of the
        tier. ValueError if slot or count is out of range.
        """
        if not 0 <= slot < count <= wire.MAX_NODES:
            raise ValueError(
                f"node {slot} of {count}: a tier has at most {wire.MAX_NODES} nodes, counted from 0"
            )
        self.slot = slot
        self.count = count
        self.options = options
        self.digest = _digest(options, count, tier)
        self._random = random.Random(f"tier/{seed}/{slot}")
        self.token = self._random.getrandbits(32) or 1
        self.heartbeat_ms = options.heartbeat_ms(count)
        self.members = Members(slot, count, incarnation, seed, options.period_ms, now)
        self.vote_ms = VOTE_HEARTBEATS * self.heartbeat_ms
        self.allocator = Allocator((slot, self.token), count, self.vote_ms, now)
        self.demand = Demand(
            options.floor, self.allocator.held_leases, options.shares, options.fetches, options.line
        )
        # None: this node neither sends nor applies evidence about boxes.
        self.signals = Signals() if options.signals else None
        # Callback that updates `signals` and applies the peers' evidence.
        self.update_signals: Callable[[float], None] = lambda now: None
        # Work and fetches of the whole tier, as the leader last computed them.
        self.limit_totals = (0.0, 0.0)
        # Slot of the node to whose calls this one last answered with its vote, -1 for none.
        self.followed_slot = -1
        # Callback that updates `demand` before it is read.
        self.update_demand: Callable[[float], None] = lambda now: None
        self.counts = dict.fromkeys(
            ("in", "out", "malformed", "foreign", "impostor", "stranger", "old"), 0
        )
        self.bytes_out = 0
        self._reports: dict[int, NodeReport] = {}
        # By the number of our ping: the requesting slot and the number of its own ping.
        self._pending_relays: dict[int, tuple[int, int]] = {}
        self._relay_count = 0
        # When a call last arrived that got this node's vote.
        self._last_leader_call_ms = now
        self._next_heartbeat_ms = now + STARTUP_HEARTBEATS * self.heartbeat_ms * (
            1.0 + 0.2 * self._random.random()
        )
        # Start of the candidacy without a majority, -1 for none.
        self._candidate_since_ms = -1.0
        self._backoff_until_ms = 0.0
        # When this node last received another digest, and when a peer last reported one.
        self._conflict_seen_ms = -1e12
        self._conflict_reported_ms = -1e12
        # Slots called since the last heartbeat began, and the number of that call.
        self._called_slots: set[int] = set()
        self._heartbeat_number = 0
        self._heartbeats = 0
        self._next_signals_ms = now
        self._signals_number = 0
        # Whether the last report on boxes was empty.
        self._nothing_reported = True
        # Last call of an ended candidacy that is still to be announced, 0 for none.
        self._step_down_number = 0

    # -- state ---------------------------------------------------------------------------

    def is_leader(self, now: float) -> bool:
        """Whether this process is the leader."""
        return self.allocator.is_leader(now)

    def has_config_conflict(self, now: float) -> bool:
        """Whether a node with another digest was seen or reported within the last vote_ms."""
        return now - max(self._conflict_seen_ms, self._conflict_reported_ms) < self.vote_ms

    # -- time ----------------------------------------------------------------------------

    def tick(self, now: float) -> list[Send]:
        """Advance to `now`; return the datagrams to send."""
        sends = [send for probe in self.members.tick(now) for send in self._send_probe(probe)]
        self.update_signals(now)
        if self.signals is not None and now >= self._next_signals_ms:
            self._next_signals_ms = now + SIGNAL_PERIODS * self.options.period_ms
            sends += self._send_signals()
        if now >= self._next_heartbeat_ms:
            self._next_heartbeat_ms = max(
                self._next_heartbeat_ms + self.heartbeat_ms, now + 0.5 * self.heartbeat_ms
            )
            if self._should_call(now):
                sends += self._call_all(now)
            sends += self._announce_step_down()
        elif self._called_slots and self.is_leader(now):
            sends += self._call_newcomers()
        return self._count_sends(sends)

    def leave(self, now: float) -> list[Send]:
        """Announce an orderly shutdown to a few members, which spread it to the others."""
        others = [slot for slot in self.members.participants() if slot != self.slot]
        recipients = self._random.sample(others, min(len(others), 4))
        return self._count_sends(
            [self._send(slot, wire.Leave(*self._header())) for slot in recipients]
        )

    def _should_call(self, now: float) -> bool:
        """Whether this process calls the others: it is the leader, or no leader seems to exist."""
        if self.has_config_conflict(now):
            # Withheld for a whole vote_ms, by when any lease it granted as leader has expired too.
            self.allocator.voter.withhold(now)
            self.allocator.candidacy.end()
            return False
        if self.is_leader(now):
            self._candidate_since_ms = -1.0
            return self.allocator.start_call(now)
        timeout_heartbeats = (
            ELECTION_TIMEOUT_HEARTBEATS
            + ELECTION_STAGGER_HEARTBEATS * self.members.participants().index(self.slot)
        )
        if (
            now < self._backoff_until_ms
            or now - self._last_leader_call_ms < timeout_heartbeats * self.heartbeat_ms
        ):
            return False
        if self._candidate_since_ms >= 0.0 and now - self._candidate_since_ms > 2.0 * self.vote_ms:
            self._backoff_until_ms = now + self.vote_ms * (1.0 + self._random.random())
            self._candidate_since_ms = -1.0
            self._step_down_number = self.allocator.step_down(now)
            return False
        if not self.allocator.start_call(now):
            return False
        if self._candidate_since_ms < 0.0:
            self._candidate_since_ms = now
        return True

    # -- the leader ----------------------------------------------------------------------

    def _call_all(self, now: float) -> Iterator[Send]:
        """Send a heartbeat: request votes, and grant leases for the demand that was reported."""
        allocator = self.allocator
        number = allocator.call_number
        self._heartbeats += 1
        heavy_wanted = self._heartbeats % LINE_HEARTBEATS == 0
        lease_ms = allocator.lease_ms(LEASE_HEARTBEATS * self.heartbeat_ms, now)
        self._called_slots.clear()
        self._heartbeat_number = number
        self._record_own_report(now)
        allocated = self._allocate(lease_ms, now) if lease_ms else {}
        limit_totals = (
            wire.encode_amount(self.limit_totals[0]),
            wire.encode_amount(self.limit_totals[1]),
        )
        for slot in range(self.count):
            if self.members.state(slot) in ("dead", "left") and slot != self.slot:
                continue
            self._called_slots.add(slot)
            report = self._reports.get(slot)
            grants = list(allocated.get(slot, {}).items())
            if slot == self.slot:
                for limit, shares in grants:
                    total = self._total_of(limit, limit_totals)
                    allocator.on_grant(
                        allocator.process,
                        self.token,
                        number,
                        self._reports[slot].reply_number,
                        lease_ms,
                        total,
                        limit,
                        shares,
                        now,
                    )
                continue
            token, reply_number = (
                (report.token, report.reply_number) if report is not None and grants else (0, 0)
            )
            for page in range(max(1, min(MAX_CALL_PAGES, -(-len(grants) // MAX_ENTRIES)))):
                allocator.call_number += page > 0
                entries = tuple(grants[page * MAX_ENTRIES : (page + 1) * MAX_ENTRIES])
                call = wire.Call(
                    *self._header(),
                    token,
                    allocator.call_number if page else number,
                    not page,
                    reply_number,
                    lease_ms,
                    limit_totals,
                    heavy_wanted,
                    entries,
                )
                yield self._send(slot, call)
        if lease_ms and heavy_wanted:
            yield from self._send_line(number, now)

    def _call_newcomers(self) -> Iterator[Send]:
        """Call nodes that joined since the last heartbeat, so that they get shares one sooner."""
        for slot in self.members.participants():
            if slot != self.slot and slot not in self._called_slots:
                self._called_slots.add(slot)
                limit_totals = (
                    wire.encode_amount(self.limit_totals[0]),
                    wire.encode_amount(self.limit_totals[1]),
                )
                yield self._send(
                    slot,
                    wire.Call(
                        *self._header(),
                        0,
                        self._heartbeat_number,
                        True,
                        0,
                        0,
                        limit_totals,
                        False,
                        (),
                    ),
                )

    def _send_line(self, number: int, now: float) -> Iterator[Send]:
        """Merge the heavy buckets of all nodes into one line and send it to them."""
        lines, oldest = (
            self.demand.shared_line,
            now - 2.0 * LINE_HEARTBEATS * REPORT_TTL_HEARTBEATS * self.heartbeat_ms,
        )
        if lines is None:
            return
        by_slot = {
            slot: (report.filled, report.heavy_buckets)
            for slot, report in self._reports.items()
            if report.received_ms >= oldest and slot != self.slot
        }
        by_slot[self.slot] = (
            lines.sketch.weight / WINDOW_ARRIVALS,
            dict(unpack(pack(lines.sketch.heavy_buckets()))),
        )
        filled, fractions = merge(by_slot)
        filled_step = wire.encode_amount(filled)
        data = pack(fractions)
        pages = _pages(data)
        for page, page_data in enumerate(pages):
            lines.on_page(
                self.token,
                number,
                page,
                len(pages),
                wire.decode_amount(filled_step),
                page_data,
                now,
            )
            for slot in self.members.participants():
                if slot != self.slot:
                    yield self._send(
                        slot,
                        wire.Line(
                            *self._header(), number, page, len(pages), filled_step, page_data
                        ),
                    )

    def _send_heavy(self, leader_slot: int, number: int) -> Iterator[Send]:
        """Send this node's heavy buckets to the leader."""
        if self.demand.shared_line is None:
            return
        sketch = self.demand.shared_line.sketch
        filled = wire.encode_amount(sketch.weight / WINDOW_ARRIVALS)
        for page, page_data in enumerate(_pages(pack(sketch.heavy_buckets()))):
            yield self._send(
                leader_slot, wire.Heavy(*self._header(), number, page, filled, page_data)
            )

    def _announce_step_down(self) -> Iterator[Send]:
        """Announce once to all that this process has ended its candidacy, if it has."""
        step_down_number, self._step_down_number = self._step_down_number, 0
        if step_down_number:
            for slot in self.members.participants():
                if slot != self.slot:
                    yield self._send(slot, wire.Back(*self._header(), step_down_number))

    def _record_own_report(self, now: float) -> None:
        """Record the leader's own demand like that of any other node."""
        self.update_demand(now)
        report = self._reports.get(self.slot)
        if report is None:
            report = self._reports[self.slot] = NodeReport(self.token)
        report.reply_number, report.received_ms = (
            self.allocator.held_leases.next_reply_number(now),
            now,
        )
        report.own_limits = self.demand.own_work, self.demand.own_fetches
        report.demands = {limit: (amount, now) for limit, amount in self.demand.above_floor(now)}

    def _allocate(self, lease_ms: int, now: float) -> dict[int, dict[int, int]]:
        """Renew grants for recently reported demand; return the shares by slot and limit."""
        oldest = now - REPORT_TTL_HEARTBEATS * self.heartbeat_ms
        recent = {
            slot: report for slot, report in self._reports.items() if report.received_ms >= oldest
        }
        self.limit_totals = (
            _limit_total([report.own_limits[0] for report in recent.values()]),
            _limit_total([report.own_limits[1] for report in recent.values()]),
        )
        demand: dict[int, dict[ProcessId, float]] = {}
        for slot, report in recent.items():
            for limit in [old for old, (_, at) in report.demands.items() if at < oldest]:
                del report.demands[limit]
            for limit, (amount, _) in report.demands.items():
                pool = (1.0 - self.options.floor) * self.limit_totals[limit == FETCHES_LIMIT_ID]
                if pool > 0.0:
                    demand.setdefault(limit, {})[slot, report.token] = min(
                        TOTAL_SHARES, TOTAL_SHARES * amount / pool
                    )
        self.allocator.ledger.remove_expired(now)
        allocated: dict[int, dict[int, int]] = {}
        for limit, by_process in demand.items():
            for (slot, _), shares in self.allocator.ledger.grant(
                limit, by_process, lease_ms, now
            ).items():
                allocated.setdefault(slot, {})[limit] = shares
        return allocated

    @staticmethod
    def _total_of(limit: int, limit_totals: tuple[int, int]) -> float:
        return wire.decode_amount(limit_totals[limit == FETCHES_LIMIT_ID])

    # -- datagrams -----------------------------------------------------------------------

    def receive(self, sender_slot: int, data: bytes, now: float) -> list[Send]:
        """Process a datagram; return the datagrams to send.

        sender_slot: the slot of the source address in `peers`, -1 if the address is not there.
        """
        self.counts["in"] += 1
        if sender_slot < 0 or sender_slot >= self.count:
            self.counts["stranger"] += 1
            return []
        try:
            message = wire.decode(data)
        except wire.Malformed:
            self.counts["malformed"] += 1
            return []
        if message.digest != self.digest:
            self.counts["foreign"] += 1
            self._conflict_seen_ms = now
            return []
        if message.slot != sender_slot or sender_slot == self.slot:
            self.counts["impostor"] += 1
            self._conflict_seen_ms = now  # the peers lists differ in their order
            return []
        if not self.members.on_datagram(sender_slot, message.incarnation, message.token, now):
            self.counts["old"] += 1
            return []
        return self._count_sends(list(self._receive(sender_slot, message, now)))

    def _receive(self, sender_slot: int, message: Message, now: float) -> Iterator[Send]:
        if isinstance(message, wire.Ping):
            self.members.apply_updates(message.updates, now)
            yield self._send(
                sender_slot,
                wire.Ack(
                    *self._header(),
                    message.number,
                    self.members.updates_for(sender_slot, full=message.joining),
                ),
            )
        elif isinstance(message, wire.Ack):
            self.members.apply_updates(message.updates, now)
            requester = self._pending_relays.pop(message.number, None)
            if requester is not None:
                yield self._send(requester[0], wire.Ack(*self._header(), requester[1], ()))
            self.members.on_ack(message.number)
        elif isinstance(message, wire.Relay):
            self.members.apply_updates(message.updates, now)
            if message.target < self.count and message.target not in (self.slot, sender_slot):
                self._relay_count = (self._relay_count + 1) % 1_000
                number = 0xFFFF0000 + self._relay_count  # disjoint from our own pings
                self._pending_relays[number] = sender_slot, message.number
                while len(self._pending_relays) > 64:
                    del self._pending_relays[next(iter(self._pending_relays))]
                yield self._send(
                    message.target,
                    wire.Ping(
                        *self._header(), number, False, self.members.updates_for(message.target)
                    ),
                )
        elif isinstance(message, wire.Call):
            yield from self._on_call(sender_slot, message, now)
        elif isinstance(message, wire.Reply):
            self._on_reply(sender_slot, message, now)
        elif isinstance(message, wire.Heavy):
            self._on_heavy(sender_slot, message, now)
        elif isinstance(message, wire.Seen):
            if self.signals is not None:
                self.signals.on_report(
                    sender_slot, message.token, message.number, signals.unpack(message.data), now
                )
        elif isinstance(message, wire.Line):
            if self.demand.shared_line is not None and self.allocator.voter.voted_for == (
                sender_slot,
                message.token,
            ):
                filled = wire.decode_amount(message.filled)
                self.demand.shared_line.on_page(
                    message.token,
                    message.number,
                    message.page,
                    message.pages,
                    filled,
                    message.data,
                    now,
                )
        elif isinstance(message, wire.Back):
            self.allocator.voter.release((sender_slot, message.token), message.number, now)
        else:
            self.members.on_leave(sender_slot, message.incarnation, now)

    def _on_call(self, sender_slot: int, call: wire.Call, now: float) -> Iterator[Send]:
        leader = sender_slot, call.token
        for limit, shares in call.grants:
            total = self._total_of(limit, call.limit_totals)
            self.allocator.on_grant(
                leader, call.to, call.number, call.echo, call.lease_ms, total, limit, shares, now
            )
        if not call.reply_wanted:
            return
        vote, step_down_number = (
            (False, 0)
            if self.has_config_conflict(now)
            else self.allocator.on_call(leader, call.number, now)
        )
        if step_down_number:
            self._step_down_number, self._candidate_since_ms = step_down_number, -1.0
            yield from self._announce_step_down()
        if vote:
            self._last_leader_call_ms, self.followed_slot = now, sender_slot
            self.limit_totals = (
                wire.decode_amount(call.limit_totals[0]),
                wire.decode_amount(call.limit_totals[1]),
            )
        if vote and call.heavy_wanted:
            yield from self._send_heavy(sender_slot, call.number)
        self.update_demand(now)
        demand = [
            (limit, wire.encode_amount(amount)) for limit, amount in self.demand.above_floor(now)
        ][: MAX_CALL_PAGES * MAX_ENTRIES]
        own_limits = (
            wire.encode_amount(self.demand.own_work),
            wire.encode_amount(self.demand.own_fetches),
        )
        config_conflict = now - self._conflict_seen_ms < self.vote_ms
        for page in range(max(1, -(-len(demand) // MAX_ENTRIES))):
            number = self.allocator.held_leases.next_reply_number(now) if not page else 0
            entries = tuple(demand[page * MAX_ENTRIES : (page + 1) * MAX_ENTRIES])
            yield self._send(
                sender_slot,
                wire.Reply(
                    *self._header(),
                    call.token,
                    number,
                    call.number,
                    vote and not page,
                    config_conflict,
                    own_limits,
                    entries,
                ),
            )

    def _on_reply(self, sender_slot: int, reply: wire.Reply, now: float) -> None:
        if reply.to != self.token:
            self.counts["old"] += 1
            return
        if reply.config_conflict:
            self._conflict_reported_ms = now
        if reply.vote:
            self.allocator.on_vote(sender_slot, reply.to, reply.echo)
        report = self._reports.get(sender_slot)
        if report is None or report.token != reply.token:
            report = self._reports[sender_slot] = NodeReport(reply.token)
        if reply.number:
            if reply.number <= report.reply_number:
                self.counts["old"] += 1
                return
            report.reply_number = reply.number
        report.received_ms = now
        report.own_limits = (
            wire.decode_amount(reply.own_limits[0]),
            wire.decode_amount(reply.own_limits[1]),
        )
        for limit, step in reply.demand:
            if limit in report.demands or len(report.demands) < MAX_LIMITS:
                report.demands[limit] = wire.decode_amount(step), now

    def _send_signals(self) -> Iterator[Send]:
        """Report to some members which boxes this node considers bad.

        Once there are none any more, a single empty report withdraws the last one.
        """
        assert self.signals is not None
        reports = self.signals.to_report()
        if not reports and self._nothing_reported:
            return
        self._nothing_reported = not reports
        self._signals_number += 1
        others = [slot for slot in self.members.participants() if slot != self.slot]
        data = signals.pack(reports)
        for slot in self._random.sample(others, min(REPORT_RECIPIENTS, len(others))):
            yield self._send(slot, wire.Seen(*self._header(), self._signals_number, data))

    def _on_heavy(self, sender_slot: int, message: wire.Heavy, now: float) -> None:
        report = self._reports.get(sender_slot)
        if (
            report is None
            or report.token != message.token
            or message.number < report.heavy_call_number
        ):
            self.counts["old"] += 1
            return
        if message.number > report.heavy_call_number:
            report.heavy_buckets, report.heavy_call_number = {}, message.number
        report.filled = wire.decode_amount(message.filled)
        report.heavy_buckets.update(unpack(message.data))

    def _send_probe(self, probe: Probe) -> Iterator[Send]:
        if probe.relay >= 0:
            relay = wire.Relay(
                *self._header(),
                probe.number,
                probe.target,
                self.members.updates_for(probe.relay),
            )
            yield self._send(probe.relay, relay)
        else:
            ping = wire.Ping(
                *self._header(),
                probe.number,
                self.members.joining,
                self.members.updates_for(probe.target),
            )
            yield self._send(probe.target, ping)

    def _header(self) -> tuple[int, int, int, int, int]:
        return FORMAT_VERSION, self.digest, self.slot, self.members.incarnation, self.token

    def _send(self, slot: int, message: Message) -> Send:
        return slot, wire.encode(message)

    def _count_sends(self, sends: list[Send]) -> list[Send]:
        self.counts["out"] += len(sends)
        self.bytes_out += sum(len(data) for _, data in sends)
        return sends


def _digest(options: Options, count: int, tier: int) -> int:
    """A hash of the constants on which all nodes of a tier must agree."""
    text = (
        f"{FORMAT_VERSION}/{tier}/{count}/{options.floor:.6f}/{options.period_ms:.3f}"
        f"/{TOTAL_SHARES}/{VOTE_HEARTBEATS}/{LEASE_HEARTBEATS}"
    )
    return int.from_bytes(blake2b(text.encode(), digest_size=4).digest(), "big")


def _pages(data: bytes) -> list[bytes]:
    """Packed entries split into pages of ENTRIES_PER_PAGE; at least one page."""
    total = 3 * ENTRIES_PER_PAGE
    return [data[at : at + total] for at in range(0, max(1, len(data)), total)]


def _limit_total(own_limits: list[float]) -> float:
    """The sum of the nodes' own limits.

    Each counts as at most OUTLIER_FACTOR times the median of those above 0.
    """
    positive = [own_limit for own_limit in own_limits if own_limit > 0.0]
    if not positive:
        return 0.0
    max_counted = OUTLIER_FACTOR * median(positive)
    return sum(min(own_limit, max_counted) for own_limit in positive)
