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

WHOLE = 60_000  # parts of each bound
DRIFT = 0.05  # of a clock, either way
HELD = (1.0 - DRIFT) / (1.0 + DRIFT)
MOST_BOUNDS = 512
ECHOES = 16

Who = tuple[int, int]
"""A process: its node's number, and its token."""


def majority(count: int) -> int:
    """How many votes are more than half (see `weight`)."""
    return (count + (count % 2 == 0)) // 2 + 1


def weight(slot: int, count: int) -> int:
    """How many votes a node has: of an even number of nodes the first has two, so that there is always more than half."""
    return 2 if slot == 0 and count % 2 == 0 else 1


class Voter:
    """One node's promise."""

    __slots__ = ("vote_ms", "promised", "until_ms", "number")

    def __init__(self, vote_ms: float, now: float) -> None:
        self.vote_ms = vote_ms
        self.promised: Optional[Who] = None
        self.until_ms = now + vote_ms
        self.number = 0  # the highest of the calls for which it is promised

    def ask(self, who: Who, number: int, now: float) -> bool:
        """A process asks for the vote by a call of this number; whether it is promised to it from now on."""
        if now < self.until_ms and who != self.promised:
            return False
        self.number = max(self.number, number) if who == self.promised else number
        self.promised, self.until_ms = who, now + self.vote_ms
        return True

    def release(self, who: Who, number: int, now: float) -> None:
        """A process has stood back, and counts no vote for its calls up to this number.

        Guards against a split vote that binds everybody for a whole span. A word of this that is late harms nothing: a promise for a
        later call stands.
        """
        if self.promised == who and self.number <= number:
            self.promised, self.until_ms = None, now

    def refuse(self, now: float) -> None:
        """Promise nobody anything anew for a while; what is promised stands."""
        if now >= self.until_ms:
            self.promised, self.until_ms = None, now + self.vote_ms


class Candidacy:
    """The votes that one process has."""

    __slots__ = ("count", "vote_ms", "_votes", "_calls")

    def __init__(self, count: int, vote_ms: float) -> None:
        self.count = count
        self.vote_ms = vote_ms
        self._votes: dict[int, float] = {}  # by node: until when it counts
        self._calls: dict[int, float] = {}  # by number: when it was sent, oldest first

    def called(self, number: int, now: float) -> None:
        """A call goes out (to one node or more)."""
        self._calls[number] = now
        while self._calls:
            first = next(iter(self._calls))
            if now - self._calls[first] <= self.vote_ms:
                break
            del self._calls[first]

    def drop(self) -> None:
        """Stand no more: no vote for any call so far counts, and the promise of the node to itself is void (`Voter.release`)."""
        self._votes.clear()
        self._calls.clear()

    def voted(self, slot: int, echo: int) -> bool:
        """A node's vote came, in answer to a call; whether that call is known."""
        sent = self._calls.get(echo)
        if sent is None:
            return False
        self._votes[slot] = max(self._votes.get(slot, 0.0), sent + HELD * self.vote_ms)
        return True

    def stands_until(self) -> float:
        """Up to when votes of more than half stand; a time that has passed where they do not."""
        needed, have = majority(self.count), 0
        for slot, until in sorted(self._votes.items(), key=lambda vote: -vote[1]):
            have += weight(slot, self.count)
            if have >= needed:
                return until
        return -1e12


def divide(total: int, wants: Mapping[int, float]) -> dict[int, int]:
    """Deal so many parts by what each wants (in parts): max-min fair, and what is left evenly over all that want any."""
    asking = sorted(((want, slot) for slot, want in wants.items() if want > 0.0))
    dealt: dict[int, int] = {}
    left = total
    for n, (want, slot) in enumerate(asking):
        fair = left // (len(asking) - n)
        dealt[slot] = fair if want >= fair else int(want)
        left -= dealt[slot]
    if asking and left:
        each = left // len(asking)
        for slot in dealt:
            dealt[slot] += each
    return dealt


class Ledger:
    """What a keeper has granted, and what of it may still be spent."""

    __slots__ = ("_out",)

    def __init__(self) -> None:
        self._out: dict[
            int, dict[Who, list[tuple[float, int]]]
        ] = {}  # by bound and holder: until when, how much; both falling or rising

    def holders(self, bound: int, now: float) -> dict[Who, int]:
        """The most that each may spend of a bound by what it was granted."""
        out = self._out.get(bound, {})
        for who in list(out):
            out[who] = [(until, parts) for until, parts in out[who] if until > now]
            if not out[who]:
                del out[who]
        return {who: max(parts for _, parts in grants) for who, grants in out.items()}

    def deal(
        self, bound: int, wants: Mapping[Who, float], hold_ms: float, now: float
    ) -> dict[Who, int]:
        """Grant anew: by holder, how many parts until hold_ms from now. wants: in parts.

        Whoever no longer wants any is granted none, and keeps what it was granted until that ends.
        """
        if bound not in self._out and len(self._out) >= MOST_BOUNDS:
            return {}
        most = self.holders(bound, now)
        taken = sum(most.values())
        by_slot = {who[0]: who for who in wants}
        target = divide(WHOLE, {who[0]: want for who, want in wants.items()})
        granted: dict[Who, int] = {}
        out = self._out.setdefault(bound, {})
        for slot, parts in target.items():
            who = by_slot[slot]
            mine = most.get(who, 0)
            parts = max(0, min(parts, WHOLE - taken + mine))
            granted[who] = parts
            # Earlier grants that are smaller say nothing any more: the holder has this one at most, or a larger one that ends sooner.
            out[who] = [grant for grant in out.get(who, []) if grant[1] > parts] + [
                (now + hold_ms, parts)
            ]
            taken += max(mine, parts) - mine
        return granted

    def forget(self, now: float) -> None:
        """Let go of bounds of which nothing is out."""
        for bound in [b for b in self._out if not self.holders(b, now)]:
            del self._out[bound]


@dataclass(slots=True)
class Lease:
    """Parts of one bound. size: of the whole bound as it was granted, in the unit of the bound."""

    parts: int
    until_ms: float
    size: float
    keeper: Who
    number: int


class Holdings:
    """What one process may spend."""

    __slots__ = ("leases", "on_take", "_sent", "_number")

    def __init__(self) -> None:
        self.leases: dict[int, Lease] = {}
        self.on_take: Callable[[int, Lease, float], None] = lambda bound, lease, now: None
        self._sent: dict[int, float] = {}  # by number of a reply: when it was sent
        self._number = 0

    def replies(self, now: float) -> int:
        """A reply goes out: its number."""
        self._number += 1
        self._sent[self._number] = now
        self._sent.pop(self._number - ECHOES, None)
        return self._number

    def take(
        self,
        keeper: Who,
        number: int,
        echo: int,
        hold_ms: float,
        size: float,
        bound: int,
        parts: int,
        now: float,
    ) -> bool:
        """A grant came; whether it counts. Of two from one keeper the one with the higher number does."""
        sent = self._sent.get(echo)
        if sent is None:
            return False
        until = sent + HELD * hold_ms
        held = self.leases.get(bound)
        if until <= now or (held is not None and held.keeper == keeper and number <= held.number):
            return False
        if held is None and len(self.leases) >= MOST_BOUNDS:
            self.forget(now)
            if len(self.leases) >= MOST_BOUNDS:
                return False
        lease = self.leases[bound] = Lease(min(parts, WHOLE), until, size, keeper, number)
        self.on_take(bound, lease, now)
        return True

    def lease(self, bound: int, now: float) -> Optional[Lease]:
        """What is held of a bound now, if anything is."""
        lease = self.leases.get(bound)
        return lease if lease is not None and now < lease.until_ms else None

    def forget(self, now: float) -> None:
        """Let go of leases that have ended."""
        for bound in [b for b, lease in self.leases.items() if lease.until_ms <= now]:
            del self.leases[bound]


class Dealer:
    """One process's part in all of this: its promise, its candidacy, what it has granted and what it holds.

    What is said to whom is the business of `Tier`, which carries these calls and replies in datagrams, and of the checker of small scopes
    (`testbed/check`), which carries them in every order.
    """

    __slots__ = ("who", "voter", "candidacy", "ledger", "holdings", "number")

    def __init__(self, who: Who, count: int, vote_ms: float, now: float) -> None:
        self.who = who
        self.voter = Voter(vote_ms, now)
        self.candidacy = Candidacy(count, vote_ms)
        self.ledger = Ledger()
        self.holdings = Holdings()
        self.number = 0

    def keeps(self, now: float) -> bool:
        """Whether this process is keeper."""
        return now < self.candidacy.stands_until()

    def call(self, now: float) -> bool:
        """Call the others (by `number`), which takes this node's own vote; whether it has that."""
        if not self.voter.ask(self.who, self.number + 1, now):
            return False
        self.number += 1
        self.candidacy.called(self.number, now)
        self.candidacy.voted(self.who[0], self.number)
        return True

    def hold_ms(self, most_ms: float, now: float) -> int:
        """For how long a keeper may grant now, in whole ms; 0 where it is none."""
        return max(0, int(min(most_ms, self.candidacy.stands_until() - now)))

    def called(self, keeper: Who, number: int, now: float) -> tuple[bool, int]:
        """Another calls; whether it gets this node's vote, and what `stand_back` gives where this one does so for a lower node, else 0."""
        void = 0
        if keeper[0] < self.who[0] and self.voter.promised == self.who and not self.keeps(now):
            void = self.stand_back(now)
        return self.voter.ask(keeper, number, now), void

    def voted(self, slot: int, to: int, echo: int) -> None:
        """A node's vote came, for a call with this number of the process with token `to`."""
        if to == self.who[1]:
            self.candidacy.voted(slot, echo)

    def granted(
        self,
        keeper: Who,
        to: int,
        number: int,
        echo: int,
        hold_ms: float,
        size: float,
        bound: int,
        parts: int,
        now: float,
    ) -> bool:
        """A grant came for the process with token `to`; whether it counts."""
        return to == self.who[1] and self.holdings.take(
            keeper, number, echo, hold_ms, size, bound, parts, now
        )

    def stand_back(self, now: float) -> int:
        """Stand no more; the number up to which no vote for its calls counts, for the others to know (`Voter.release`).

        Of one that is keeper nothing may be granted anew before its grants have ended (see `Tier._stands`).
        """
        self.candidacy.drop()
        self.voter.release(self.who, self.number, now)
        return self.number
