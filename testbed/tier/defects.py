"""Defects planted in the tier's cores, to check the checkers of the invariant.

Used by tests/tier and `benchmarks.tier`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Optional
from unittest.mock import patch

from forkweir.tier import leases
from forkweir.tier.leases import Allocator, Candidacy, HeldLeases, Lease, Ledger, ProcessId, Voter

Patch = Callable[[], Any]


def _never_given_back() -> Any:
    """A lease that has ended is still held."""

    def lease(self: HeldLeases, bound: int, now: float) -> Optional[Lease]:
        return self.leases.get(bound)

    return patch.object(HeldLeases, "lease", lease)


def _spent_twice() -> Any:
    """Shares taken back are granted at once, though their holder may not have been notified."""

    def holders(self: Ledger, bound: int, now: float) -> dict[ProcessId, int]:
        return {
            who: grants[-1][1]
            for who, grants in self._grants.get(bound, {}).items()
            if grants[-1][0] > now
        }

    return patch.object(Ledger, "outstanding", holders)


def _votes_at_once() -> Any:
    """A process that has begun promises its vote though the one before it may have."""
    usual = Voter.__init__

    def begin(self: Voter, vote_ms: float, now: float) -> None:
        usual(self, vote_ms, now)
        self.until_ms = now

    return patch.object(Voter, "__init__", begin)


def _counts_from_its_coming() -> Any:
    """A grant counts from when it comes, and not from when the reply that it answers was sent."""
    usual = HeldLeases.accept_grant

    def take(
        self: HeldLeases,
        keeper: ProcessId,
        number: int,
        echo: int,
        hold_ms: float,
        size: float,
        bound: int,
        parts: int,
        now: float,
    ) -> bool:
        if echo in self._replies_sent_ms:
            self._replies_sent_ms[echo] = now
        return usual(self, keeper, number, echo, hold_ms, size, bound, parts, now)

    return patch.object(HeldLeases, "accept_grant", take)


def _trusts_clocks() -> Any:
    """Nothing is taken off for clocks that run apart."""
    return patch.object(leases, "CLOCK_SAFETY_FACTOR", 1.0)


def _votes_for_two() -> Any:
    """A promise is forgotten when another asks."""

    def ask(self: Voter, who: ProcessId, number: int, now: float) -> bool:
        self.voted_for, self.until_ms = who, now + self.vote_ms
        return True

    return patch.object(Voter, "request_vote", ask)


def _late_word() -> Any:
    """A step-down releases all votes for a candidate, whichever call they were for."""

    def release(self: Voter, who: ProcessId, number: int, now: float) -> None:
        if self.voted_for == who:
            self.voted_for, self.until_ms = None, now

    return patch.object(Voter, "release", release)


def _outlasts_its_majority() -> Any:
    """A leader grants for the usual time, however soon its votes expire."""
    usual = Candidacy.majority_until

    def stands_until(self: Candidacy) -> float:
        until = usual(self)
        return until + 4.0 * self.vote_ms if until > 0.0 else until

    return patch.object(Candidacy, "majority_until", stands_until)


def _half_is_enough() -> Any:
    """Half of the votes pass for more than half."""
    return patch.object(leases, "majority", lambda count: max(1, count // 2))


def _any_process() -> Any:
    """A grant for the process before it is taken by the one that has the node's address now."""
    usual = Allocator.on_grant

    def granted(self: Allocator, keeper: ProcessId, to: int, *rest: Any) -> bool:
        return usual(self, keeper, self.process[1], *rest)

    return patch.object(Allocator, "on_grant", granted)


DEFECTS: dict[str, Patch] = {
    "never-given-back": _never_given_back,
    "spent-twice": _spent_twice,
    "votes-at-once": _votes_at_once,
    "counts-from-its-coming": _counts_from_its_coming,
    "trusts-clocks": _trusts_clocks,
    "votes-for-two": _votes_for_two,
    "outlasts-its-majority": _outlasts_its_majority,
    "half-is-enough": _half_is_enough,
    "any-process": _any_process,
    "late-word": _late_word,
}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """With a defect of this name; "" for none. KeyError where there is no such defect."""
    if not name:
        yield
        return
    with DEFECTS[name]():
        yield
