"""Tier-wide limits, granted as leases of shares that never exceed the total. Pure, no I/O.

Invariant: for each limit, the shares that all processes of the tier hold by leases valid on their
own clocks sum to at most TOTAL_SHARES at every moment. It holds whatever messages are lost,
duplicated, delayed, reordered or truncated, and whichever processes are killed, paused or
restarted, provided that no clock runs faster or slower than real time by more than MAX_CLOCK_DRIFT
and that all nodes agree on the number of nodes. Nodes that do not agree are recognized by their
digest (see `Tier`).

A slot is a node's place in `peers`, the same at all nodes, and a token is a random number that
identifies one process of that node (`ProcessId`). Each limit has an id; its size is the amount that
TOTAL_SHARES of it stand for. vote_ms and lease_ms are how long a vote and a lease last.

The leader, which alone may grant, is decided by votes that expire (as in the leases of Gray and
Cheriton 1989, and Lampson's leases for a master). There is no log and nothing is stored on disk:

- A node gives its vote to one process at a time, for vote_ms from the moment at which it replies. A
  process that has just started gives no vote for vote_ms, since its predecessor may have given one
  (`Voter`). The vote is a node's only obligation, so no lease is violated when a node fails.
- A candidate calls all other nodes but those known to be dead or to have left, and counts a vote
  for CLOCK_SAFETY_FACTOR x vote_ms from the moment at which it sent the call that the vote answers
  (`Candidacy`). It is the leader as long as the votes of more than half of all nodes are valid.
  With an even number of nodes, the vote of the node with slot 0 counts twice, so that one of two
  halves has a majority. A candidate that steps down, for a lower slot or because it got no majority
  in time, announces it, which releases those that gave it their vote.
- The leader grants shares for lease_ms, which never reach beyond the time at which its majority
  ends: `Allocator.lease_ms` limits them, `Ledger` does not check them. A grant counts as
  outstanding until lease_ms have passed on the leader's clock, and its shares are granted to
  another only then. A new leader need not know the grants of its predecessor: the votes of the
  predecessor have expired, and its grants with them.
- A process uses a grant until CLOCK_SAFETY_FACTOR x lease_ms after it sent the reply that the grant
  answers (`HeldLeases`), no matter when the grant arrives. A grant that was delayed on the network,
  or waited in a socket while the process was paused, has expired when it is read.

| state of a share | who may use it | becomes | when |
|---|---|---|---|
| free | nobody | granted | the leader grants it |
| granted | its holder, until its lease ends | granted | a new grant to its holder includes it |
| | | free | lease_ms after the last grant that included it, on the leader's clock |
| grant lost | nobody | free | as above: the leader can't tell a lost grant from one that arrived |

A new grant to a holder may be larger or smaller than its last one.

`CLOCK_SAFETY_FACTOR = (1 - MAX_CLOCK_DRIFT) / (1 + MAX_CLOCK_DRIFT)`: in real time, a span of
CLOCK_SAFETY_FACTOR x t on a slow clock is no longer than a span of t on a fast one. The holder's
span of a lease also starts before the leader's, as the holder sends its reply before the leader
sends the grant that answers it, so it also ends before the leader's. The same holds for votes.

Allocation: max-min fairness by demand (progressive filling, Bertsekas and Gallager 1992, section
6.5.2), plus an even part of what is left for each node with any demand. Nodes with unlimited
demand share what the others leave.

Bounds: MAX_LIMITS limits; for each limit and holder, at most as many grants as fall into lease_ms;
the last MAX_PENDING_REPLIES replies. Times are in ms of the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Optional

TOTAL_SHARES = 60_000  # of each limit
MAX_CLOCK_DRIFT = 0.05  # relative error of a clock, in either direction
CLOCK_SAFETY_FACTOR = (1.0 - MAX_CLOCK_DRIFT) / (1.0 + MAX_CLOCK_DRIFT)
MAX_LIMITS = 512
MAX_PENDING_REPLIES = 16

ProcessId = tuple[int, int]
"""A process: the slot of its node, and the token that it drew at its start."""


def majority(count: int) -> int:
    """The number of votes that is more than half (see `vote_weight`)."""
    return (count + (count % 2 == 0)) // 2 + 1


def vote_weight(slot: int, count: int) -> int:
    """The number of votes of a node.

    Of an even number of nodes the first has two, so that the total is odd and can't be halved.
    """
    return 2 if slot == 0 and count % 2 == 0 else 1


class Voter:
    """The vote of one node, given to one process at a time."""

    __slots__ = ("vote_ms", "voted_for", "until_ms", "call_number")

    def __init__(self, vote_ms: float, now: float) -> None:
        self.vote_ms = vote_ms
        self.voted_for: Optional[ProcessId] = None
        self.until_ms = now + vote_ms
        self.call_number = 0  # the highest call for which the vote was given

    def request_vote(self, process: ProcessId, number: int, now: float) -> bool:
        """A process requests the vote by a call of this number; return whether it is granted."""
        if now < self.until_ms and process != self.voted_for:
            return False
        self.call_number = max(self.call_number, number) if process == self.voted_for else number
        self.voted_for, self.until_ms = process, now + self.vote_ms
        return True

    def release(self, process: ProcessId, number: int, now: float) -> None:
        """A process has stepped down, and counts no vote for its calls up to this number.

        Prevents a split vote from blocking all nodes for a whole vote_ms. A late announcement does
        no harm: a vote given for a later call stays valid.
        """
        if self.voted_for == process and self.call_number <= number:
            self.voted_for, self.until_ms = None, now

    def withhold(self, now: float) -> None:
        """Give no vote to any process for vote_ms from now.

        Has no effect while a vote is valid, which stays so, or while votes are withheld already.
        """
        if now >= self.until_ms:
            self.voted_for, self.until_ms = None, now + self.vote_ms


class Candidacy:
    """The votes that one process has received."""

    __slots__ = ("count", "vote_ms", "_votes", "_calls_sent_ms")

    def __init__(self, count: int, vote_ms: float) -> None:
        self.count = count
        self.vote_ms = vote_ms
        self._votes: dict[int, float] = {}  # by slot: when the vote expires
        self._calls_sent_ms: dict[int, float] = {}  # by number: when sent, oldest first

    def call_sent(self, number: int, now: float) -> None:
        """Record that a call is sent, to one node or more.

        Forgets the calls sent more than vote_ms ago, as any vote for them has expired.
        """
        self._calls_sent_ms[number] = now
        while self._calls_sent_ms:
            first = next(iter(self._calls_sent_ms))
            if now - self._calls_sent_ms[first] <= self.vote_ms:
                break
            del self._calls_sent_ms[first]

    def end(self) -> None:
        """End the candidacy: no vote for any call so far counts.

        The node's vote for itself is left as it is; `Allocator.step_down` releases it as well.
        """
        self._votes.clear()
        self._calls_sent_ms.clear()

    def vote_received(self, slot: int, call_number: int) -> bool:
        """Record a node's vote in reply to a call; return whether that call is known.

        call_number: of this process's call that the vote answers.
        """
        sent = self._calls_sent_ms.get(call_number)
        if sent is None:
            return False
        self._votes[slot] = max(
            self._votes.get(slot, 0.0), sent + CLOCK_SAFETY_FACTOR * self.vote_ms
        )
        return True

    def majority_until(self) -> float:
        """When the majority of votes expires; a time in the past where there is no majority."""
        needed, votes = majority(self.count), 0
        for slot, until in sorted(self._votes.items(), key=lambda vote: -vote[1]):
            votes += vote_weight(slot, self.count)
            if votes >= needed:
                return until
        return -1e12


def allocate_fairly(total: int, demand: Mapping[int, float]) -> dict[int, int]:
    """Divide `total` shares by demand (in shares), max-min fair.

    What is left is divided evenly among all with any demand.
    """
    requesting = sorted(((amount, slot) for slot, amount in demand.items() if amount > 0.0))
    allocated: dict[int, int] = {}
    remaining = total
    for n, (amount, slot) in enumerate(requesting):
        fair = remaining // (len(requesting) - n)
        allocated[slot] = fair if amount >= fair else int(amount)
        remaining -= allocated[slot]
    if requesting and remaining:
        each = remaining // len(requesting)
        for slot in allocated:
            allocated[slot] += each
    return allocated


class Ledger:
    """The outstanding grants that one process has made as the leader."""

    __slots__ = ("_grants",)

    def __init__(self) -> None:
        # By limit and holder: expiry and shares of each grant, with shares descending.
        self._grants: dict[int, dict[ProcessId, list[tuple[float, int]]]] = {}

    def outstanding(self, limit: int, now: float) -> dict[ProcessId, int]:
        """The most shares of a limit that each holder may still use by its unexpired grants.

        Deletes the expired grants of the limit.
        """
        by_process = self._grants.get(limit, {})
        for process in list(by_process):
            by_process[process] = [
                (until, shares) for until, shares in by_process[process] if until > now
            ]
            if not by_process[process]:
                del by_process[process]
        return {
            process: max(shares for _, shares in grants) for process, grants in by_process.items()
        }

    def grant(
        self, limit: int, demand: Mapping[ProcessId, float], lease_ms: float, now: float
    ) -> dict[ProcessId, int]:
        """Grant shares for lease_ms from now; return them by holder. demand: in shares.

        A holder without demand is granted nothing, and keeps its earlier grants until they expire.
        """
        if limit not in self._grants and len(self._grants) >= MAX_LIMITS:
            return {}
        held = self.outstanding(limit, now)
        total_held = sum(held.values())
        by_slot = {process[0]: process for process in demand}
        target = allocate_fairly(
            TOTAL_SHARES, {process[0]: amount for process, amount in demand.items()}
        )
        granted: dict[ProcessId, int] = {}
        by_process = self._grants.setdefault(limit, {})
        for slot, shares in target.items():
            process = by_slot[slot]
            own = held.get(process, 0)
            shares = max(0, min(shares, TOTAL_SHARES - total_held + own))
            granted[process] = shares
            # Earlier grants of as many shares or fewer are dropped: the holder has at most this
            # one, or a larger earlier one until that expires.
            by_process[process] = [
                grant for grant in by_process.get(process, []) if grant[1] > shares
            ] + [(now + lease_ms, shares)]
            total_held += max(own, shares) - own
        return granted

    def remove_expired(self, now: float) -> None:
        """Remove limits without an outstanding grant."""
        for limit in [old for old in self._grants if not self.outstanding(old, now)]:
            del self._grants[limit]


@dataclass(slots=True)
class Lease:
    """Shares of one limit.

    size: what all TOTAL_SHARES of the limit stood for at the time of the grant, in the unit of the
    limit (work per ms, or fetches in flight); leader and number: of the call that granted it.
    """

    shares: int
    until_ms: float
    size: float
    leader: ProcessId
    number: int


class HeldLeases:
    """The leases that one process holds."""

    __slots__ = ("leases", "on_lease", "_replies_sent_ms", "_reply_number")

    def __init__(self) -> None:
        self.leases: dict[int, Lease] = {}
        self.on_lease: Callable[[int, Lease, float], None] = lambda limit, lease, now: None
        self._replies_sent_ms: dict[int, float] = {}  # by reply number
        self._reply_number = 0

    def next_reply_number(self, now: float) -> int:
        """Record that a reply is sent now; return its number."""
        self._reply_number += 1
        self._replies_sent_ms[self._reply_number] = now
        self._replies_sent_ms.pop(self._reply_number - MAX_PENDING_REPLIES, None)
        return self._reply_number

    def accept_grant(
        self,
        leader: ProcessId,
        number: int,
        reply_number: int,
        lease_ms: float,
        size: float,
        limit: int,
        shares: int,
        now: float,
    ) -> bool:
        """Process a grant; return whether it is accepted.

        number: of the leader's call that has the grant; reply_number: of this process's reply that
        the call answers, from whose sending the lease counts.

        Of two grants from one leader, the one with the higher number counts.
        """
        sent = self._replies_sent_ms.get(reply_number)
        if sent is None:
            return False
        until = sent + CLOCK_SAFETY_FACTOR * lease_ms
        held = self.leases.get(limit)
        if until <= now or (held is not None and held.leader == leader and number <= held.number):
            return False
        if held is None and len(self.leases) >= MAX_LIMITS:
            self.remove_expired(now)
            if len(self.leases) >= MAX_LIMITS:
                return False
        lease = self.leases[limit] = Lease(min(shares, TOTAL_SHARES), until, size, leader, number)
        self.on_lease(limit, lease, now)
        return True

    def lease(self, limit: int, now: float) -> Optional[Lease]:
        """The unexpired lease of a limit, if there is one."""
        lease = self.leases.get(limit)
        return lease if lease is not None and now < lease.until_ms else None

    def remove_expired(self, now: float) -> None:
        """Remove expired leases."""
        for limit in [old for old, lease in self.leases.items() if lease.until_ms <= now]:
            del self.leases[limit]


class Allocator:
    """The lease protocol of one process: its vote, candidacy, ledger and held leases.

    Messages are exchanged by `Tier`, which sends calls and replies in datagrams, and by the
    exhaustive checker (`testbed/check`), which delivers them in every order.
    """

    __slots__ = ("process", "voter", "candidacy", "ledger", "held_leases", "call_number")

    def __init__(self, process: ProcessId, count: int, vote_ms: float, now: float) -> None:
        self.process = process
        self.voter = Voter(vote_ms, now)
        self.candidacy = Candidacy(count, vote_ms)
        self.ledger = Ledger()
        self.held_leases = HeldLeases()
        self.call_number = 0

    def is_leader(self, now: float) -> bool:
        """Whether this process is the leader."""
        return now < self.candidacy.majority_until()

    def start_call(self, now: float) -> bool:
        """Begin a call numbered `call_number`, which needs this node's own vote.

        Returns whether it has that vote.
        """
        if not self.voter.request_vote(self.process, self.call_number + 1, now):
            return False
        self.call_number += 1
        self.candidacy.call_sent(self.call_number, now)
        self.candidacy.vote_received(self.process[0], self.call_number)
        return True

    def lease_ms(self, max_ms: float, now: float) -> int:
        """How long a lease may last now, in whole ms; 0 if this process is not the leader."""
        return max(0, int(min(max_ms, self.candidacy.majority_until() - now)))

    def on_call(self, leader: ProcessId, number: int, now: float) -> tuple[bool, int]:
        """Process another process's call; return whether it gets the node's vote, and a number.

        The number is the one that `step_down` returned if this process, a candidate without a
        majority, has stepped down for a process of a lower slot; else 0.
        """
        step_down_number = 0
        if (
            leader[0] < self.process[0]
            and self.voter.voted_for == self.process
            and not self.is_leader(now)
        ):
            step_down_number = self.step_down(now)
        return self.voter.request_vote(leader, number, now), step_down_number

    def on_vote(self, slot: int, to_token: int, call_number: int) -> None:
        """Process a node's vote for a call of the process with token `to_token`."""
        if to_token == self.process[1]:
            self.candidacy.vote_received(slot, call_number)

    def on_grant(
        self,
        leader: ProcessId,
        to_token: int,
        number: int,
        reply_number: int,
        lease_ms: float,
        size: float,
        limit: int,
        shares: int,
        now: float,
    ) -> bool:
        """Process a grant for the process with token `to_token`; return whether it is accepted."""
        return to_token == self.process[1] and self.held_leases.accept_grant(
            leader, number, reply_number, lease_ms, size, limit, shares, now
        )

    def step_down(self, now: float) -> int:
        """End the candidacy; return the number of the last call, up to which no vote counts.

        The caller announces the number to the others (`Voter.release`).

        Called only while this process is not the leader and its grants have expired: none lasts
        longer than its majority, and a leader that withdraws for a conflict of configurations
        neither calls nor votes for vote_ms (see `Tier._should_call`).
        """
        self.candidacy.end()
        self.voter.release(self.process, self.call_number, now)
        return self.call_number
