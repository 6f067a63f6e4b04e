"""Bounds of the whole tier, dealt in leases that never sum to more than the whole. Pure, no I/O, no clock of its own.

Invariant: for each bound, the parts that all processes of the tier believe they may spend sum to WHOLE at most, at every moment, whatever
is lost, doubled, delayed, reordered or cut, and whoever is killed, paused or started again; as long as no clock runs faster or slower than
time by more than DRIFT, and all nodes count the same number of nodes (others are told apart by the digest, see `Tier`).

Who may deal is decided by votes that end (as in Gray and Cheriton 1989, and Lampson's leases for a master). There is no log and no disk:

- A node promises its vote to one process at a time, for vote_ms from the moment at which it says so. A process that has begun promises
  nothing for vote_ms, since the one before it may have (`Voter`). A promise is a node's whole duty; it may break no lease by dying.
- Whoever stands calls all others, and counts a vote for HELD x vote_ms from the moment at which it sent the call that the vote answers
  (`Candidacy`). It is keeper as long as votes of more than half stand. Of an even number the lowest node's vote counts twice, so that one
  of two halves can go on. One that stands back for another says so, and whoever promised it the vote is free of that.
- The keeper grants parts for hold_ms, and never beyond the time up to which its majority stands (`Ledger`). What it has granted counts as
  out until hold_ms have passed on its clock: a part is given to another only then. A new keeper need not know what the one before it had
  out: the votes that that one had have ended, and so have its grants.
- A node counts a grant for HELD x hold_ms from the moment at which it sent the reply that the grant answers (`Holdings`), whenever it
  comes. What was long on the way, or waits in a socket while the process is paused, has ended when it is read.

| state of a part | who may spend it | becomes | when |
|---|---|---|---|
| free | nobody | out | the keeper grants it |
| out | its holder, until its lease ends | out | granted again, as much or less |
| | | free | hold_ms after the last grant that held it, on the keeper's clock |
| lost | nobody | free | the same: a grant that never came is not told from one that did |

`HELD = (1 - DRIFT) / (1 + DRIFT)`: a span of HELD x t on a slow clock is no longer than t on a quick one. It begins earlier (a reply is
sent before the grant that answers it) and ends earlier.

Who gets what: the larger of max-min fairness by what each wants (progressive filling, Bertsekas and Gallager 1992, section 6.5.2), and
what is left spread evenly over those that want any. A node that wants without end gets what is over when the others have theirs.

Bounds: MOST_BOUNDS bounds; of each, and each holder, at most as many grants as fall into hold_ms; the last ECHOES replies.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Optional

TOTAL_SHARES = 60_000  # parts of each bound
MAX_CLOCK_DRIFT = 0.05  # of a clock, either way
CLOCK_SAFETY_FACTOR = (1.0 - MAX_CLOCK_DRIFT) / (1.0 + MAX_CLOCK_DRIFT)
MAX_LIMITS = 512
MAX_PENDING_REPLIES = 16

ProcessId = tuple[int, int]
"""A process: its node's number, and its token."""


def majority(count: int) -> int:
    """How many votes are more than half (see `weight`)."""
    return (count + (count % 2 == 0)) // 2 + 1


def vote_weight(slot: int, count: int) -> int:
    """How many votes a node has: of an even number of nodes the first has two, so that there is always more than half."""
    return 2 if slot == 0 and count % 2 == 0 else 1


class Voter:
    """One node's promise."""

    __slots__ = ("vote_ms", "voted_for", "until_ms", "call_number")

    def __init__(self, vote_ms: float, now: float) -> None:
        self.vote_ms = vote_ms
        self.voted_for: Optional[ProcessId] = None
        self.until_ms = now + vote_ms
        self.call_number = 0  # the highest of the calls for which it is promised

    def request_vote(self, process: ProcessId, number: int, now: float) -> bool:
        """A process asks for the vote by a call of this number; whether it is promised to it from now on."""
        if now < self.until_ms and process != self.voted_for:
            return False
        self.call_number = max(self.call_number, number) if process == self.voted_for else number
        self.voted_for, self.until_ms = process, now + self.vote_ms
        return True

    def release(self, process: ProcessId, number: int, now: float) -> None:
        """A process has stood back, and counts no vote for its calls up to this number.

        Guards against a split vote that binds everybody for a whole span. A word of this that is late harms nothing: a promise for a
        later call stands.
        """
        if self.voted_for == process and self.call_number <= number:
            self.voted_for, self.until_ms = None, now

    def withhold(self, now: float) -> None:
        """Promise nobody anything anew for a while; what is promised stands."""
        if now >= self.until_ms:
            self.voted_for, self.until_ms = None, now + self.vote_ms


class Candidacy:
    """The votes that one process has."""

    __slots__ = ("count", "vote_ms", "_votes", "_calls_sent_ms")

    def __init__(self, count: int, vote_ms: float) -> None:
        self.count = count
        self.vote_ms = vote_ms
        self._votes: dict[int, float] = {}  # by node: until when it counts
        self._calls_sent_ms: dict[int, float] = {}  # by number: when it was sent, oldest first

    def call_sent(self, number: int, now: float) -> None:
        """A call goes out (to one node or more)."""
        self._calls_sent_ms[number] = now
        while self._calls_sent_ms:
            first = next(iter(self._calls_sent_ms))
            if now - self._calls_sent_ms[first] <= self.vote_ms:
                break
            del self._calls_sent_ms[first]

    def withdraw(self) -> None:
        """Stand no more: no vote for any call so far counts, and the promise of the node to itself is void (`Voter.release`)."""
        self._votes.clear()
        self._calls_sent_ms.clear()

    def vote_received(self, slot: int, echo: int) -> bool:
        """A node's vote came, in answer to a call; whether that call is known."""
        sent = self._calls_sent_ms.get(echo)
        if sent is None:
            return False
        self._votes[slot] = max(
            self._votes.get(slot, 0.0), sent + CLOCK_SAFETY_FACTOR * self.vote_ms
        )
        return True

    def majority_until(self) -> float:
        """Up to when votes of more than half stand; a time that has passed where they do not."""
        needed, votes = majority(self.count), 0
        for slot, until in sorted(self._votes.items(), key=lambda vote: -vote[1]):
            votes += vote_weight(slot, self.count)
            if votes >= needed:
                return until
        return -1e12


def allocate_fairly(total: int, demand: Mapping[int, float]) -> dict[int, int]:
    """Deal so many parts by what each wants (in parts): max-min fair, and what is left evenly over all that want any."""
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
    """What a keeper has granted, and what of it may still be spent."""

    __slots__ = ("_grants",)

    def __init__(self) -> None:
        self._grants: dict[
            int, dict[ProcessId, list[tuple[float, int]]]
        ] = {}  # by bound and holder: until when, how much; both falling or rising

    def outstanding(self, limit: int, now: float) -> dict[ProcessId, int]:
        """The most that each may spend of a bound by what it was granted."""
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
        """Grant anew: by holder, how many parts until hold_ms from now. wants: in parts.

        Whoever no longer wants any is granted none, and keeps what it was granted until that ends.
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
            # Earlier grants that are smaller say nothing any more: the holder has this one at most, or a larger one that ends sooner.
            by_process[process] = [
                grant for grant in by_process.get(process, []) if grant[1] > shares
            ] + [(now + lease_ms, shares)]
            total_held += max(own, shares) - own
        return granted

    def remove_expired(self, now: float) -> None:
        """Let go of bounds of which nothing is out."""
        for limit in [old for old in self._grants if not self.outstanding(old, now)]:
            del self._grants[limit]


@dataclass(slots=True)
class Lease:
    """Parts of one bound. size: of the whole bound as it was granted, in the unit of the bound."""

    shares: int
    until_ms: float
    size: float
    leader: ProcessId
    number: int


class HeldLeases:
    """What one process may spend."""

    __slots__ = ("leases", "on_lease", "_replies_sent_ms", "_reply_number")

    def __init__(self) -> None:
        self.leases: dict[int, Lease] = {}
        self.on_lease: Callable[[int, Lease, float], None] = lambda limit, lease, now: None
        self._replies_sent_ms: dict[int, float] = {}  # by number of a reply: when it was sent
        self._reply_number = 0

    def next_reply_number(self, now: float) -> int:
        """A reply goes out: its number."""
        self._reply_number += 1
        self._replies_sent_ms[self._reply_number] = now
        self._replies_sent_ms.pop(self._reply_number - MAX_PENDING_REPLIES, None)
        return self._reply_number

    def accept_grant(
        self,
        leader: ProcessId,
        number: int,
        echo: int,
        lease_ms: float,
        size: float,
        limit: int,
        shares: int,
        now: float,
    ) -> bool:
        """A grant came; whether it counts. Of two from one keeper the one with the higher number does."""
        sent = self._replies_sent_ms.get(echo)
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
        """What is held of a bound now, if anything is."""
        lease = self.leases.get(limit)
        return lease if lease is not None and now < lease.until_ms else None

    def remove_expired(self, now: float) -> None:
        """Let go of leases that have ended."""
        for limit in [old for old, lease in self.leases.items() if lease.until_ms <= now]:
            del self.leases[limit]


class Allocator:
    """One process's part in all of this: its promise, its candidacy, what it has granted and what it holds.

    What is said to whom is the business of `Tier`, which carries these calls and replies in datagrams, and of the checker of small scopes
    (`testbed/check`), which carries them in every order.
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
        """Whether this process is keeper."""
        return now < self.candidacy.majority_until()

    def start_call(self, now: float) -> bool:
        """Call the others (by `number`), which takes this node's own vote; whether it has that."""
        if not self.voter.request_vote(self.process, self.call_number + 1, now):
            return False
        self.call_number += 1
        self.candidacy.call_sent(self.call_number, now)
        self.candidacy.vote_received(self.process[0], self.call_number)
        return True

    def lease_ms(self, max_ms: float, now: float) -> int:
        """For how long a keeper may grant now, in whole ms; 0 where it is none."""
        return max(0, int(min(max_ms, self.candidacy.majority_until() - now)))

    def on_call(self, leader: ProcessId, number: int, now: float) -> tuple[bool, int]:
        """Another calls; whether it gets this node's vote, and what `stand_back` gives where this one does so for a lower node, else 0."""
        void_number = 0
        if (
            leader[0] < self.process[0]
            and self.voter.voted_for == self.process
            and not self.is_leader(now)
        ):
            void_number = self.step_down(now)
        return self.voter.request_vote(leader, number, now), void_number

    def on_vote(self, slot: int, to: int, echo: int) -> None:
        """A node's vote came, for a call with this number of the process with token `to`."""
        if to == self.process[1]:
            self.candidacy.vote_received(slot, echo)

    def on_grant(
        self,
        leader: ProcessId,
        to: int,
        number: int,
        echo: int,
        lease_ms: float,
        size: float,
        limit: int,
        shares: int,
        now: float,
    ) -> bool:
        """A grant came for the process with token `to`; whether it counts."""
        return to == self.process[1] and self.held_leases.accept_grant(
            leader, number, echo, lease_ms, size, limit, shares, now
        )

    def step_down(self, now: float) -> int:
        """Stand no more; the number up to which no vote for its calls counts, for the others to know (`Voter.release`).

        Of one that is keeper nothing may be granted anew before its grants have ended (see `Tier._stands`).
        """
        self.candidacy.withdraw()
        self.voter.release(self.process, self.call_number, now)
        return self.call_number
