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

PatchFactory = Callable[[], Any]


def _expired_lease_counts() -> Any:
    """A lease that has ended is still held."""

    def lease(self: HeldLeases, limit: int, now: float) -> Optional[Lease]:
        return self.leases.get(limit)

    return patch.object(HeldLeases, "lease", lease)


def _regrants_before_expiry() -> Any:
    """Shares taken back are granted at once, though their holder may not have been notified."""

    def outstanding(self: Ledger, limit: int, now: float) -> dict[ProcessId, int]:
        return {
            process: grants[-1][1]
            for process, grants in self._grants.get(limit, {}).items()
            if grants[-1][0] > now
        }

    return patch.object(Ledger, "outstanding", outstanding)


def _votes_right_after_start() -> Any:
    """A process that has begun promises its vote though the one before it may have."""
    original = Voter.__init__

    def init(self: Voter, vote_ms: float, now: float) -> None:
        original(self, vote_ms, now)
        self.until_ms = now

    return patch.object(Voter, "__init__", init)


def _lease_counts_from_arrival() -> Any:
    """A grant counts from when it comes, and not from when the reply that it answers was sent."""
    original = HeldLeases.accept_grant

    def accept_grant(
        self: HeldLeases,
        leader: ProcessId,
        number: int,
        echo: int,
        lease_ms: float,
        size: float,
        limit: int,
        shares: int,
        now: float,
    ) -> bool:
        if echo in self._replies_sent_ms:
            self._replies_sent_ms[echo] = now
        return original(self, leader, number, echo, lease_ms, size, limit, shares, now)

    return patch.object(HeldLeases, "accept_grant", accept_grant)


def _no_clock_safety_factor() -> Any:
    """Nothing is taken off for clocks that run apart."""
    return patch.object(leases, "CLOCK_SAFETY_FACTOR", 1.0)


def _votes_twice() -> Any:
    """A promise is forgotten when another asks."""

    def request_vote(self: Voter, process: ProcessId, number: int, now: float) -> bool:
        self.voted_for, self.until_ms = process, now + self.vote_ms
        return True

    return patch.object(Voter, "request_vote", request_vote)


def _release_ignores_call_number() -> Any:
    """A step-down releases all votes for a candidate, whichever call they were for."""

    def release(self: Voter, process: ProcessId, number: int, now: float) -> None:
        if self.voted_for == process:
            self.voted_for, self.until_ms = None, now

    return patch.object(Voter, "release", release)


def _grants_beyond_majority() -> Any:
    """A leader grants for the usual time, however soon its votes expire."""
    original = Candidacy.majority_until

    def majority_until(self: Candidacy) -> float:
        until_ms = original(self)
        return until_ms + 4.0 * self.vote_ms if until_ms > 0.0 else until_ms

    return patch.object(Candidacy, "majority_until", majority_until)


def _half_is_majority() -> Any:
    """Half of the votes pass for more than half."""
    return patch.object(leases, "majority", lambda count: max(1, count // 2))


def _accepts_grant_for_predecessor() -> Any:
    """A grant for the process before it is taken by the one that has the node's address now."""
    original = Allocator.on_grant

    def on_grant(self: Allocator, leader: ProcessId, to: int, *arguments: Any) -> bool:
        return original(self, leader, self.process[1], *arguments)

    return patch.object(Allocator, "on_grant", on_grant)


DEFECTS: dict[str, PatchFactory] = {
    "never-given-back": _expired_lease_counts,
    "spent-twice": _regrants_before_expiry,
    "votes-at-once": _votes_right_after_start,
    "counts-from-its-coming": _lease_counts_from_arrival,
    "trusts-clocks": _no_clock_safety_factor,
    "votes-for-two": _votes_twice,
    "outlasts-its-majority": _grants_beyond_majority,
    "half-is-enough": _half_is_majority,
    "any-process": _accepts_grant_for_predecessor,
    "late-word": _release_ignores_call_number,
}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """With a defect of this name; "" for none. KeyError where there is no such defect."""
    if not name:
        yield
        return
    with DEFECTS[name]():
        yield
