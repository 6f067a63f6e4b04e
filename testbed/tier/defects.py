"""Planted defects of the lease protocol, to test that the checks of its invariant find them.

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
    """An expired lease still counts as held."""

    def lease(self: HeldLeases, limit: int, now: float) -> Optional[Lease]:
        return self.leases.get(limit)

    return patch.object(HeldLeases, "lease", lease)


def _regrants_before_expiry() -> Any:
    """Only the last grant to a holder counts as outstanding.

    Shares that it withdrew are granted to others at once, though the holder may not have received
    it and still use an earlier, larger grant.
    """

    def outstanding(self: Ledger, limit: int, now: float) -> dict[ProcessId, int]:
        return {
            process: grants[-1][1]
            for process, grants in self._grants.get(limit, {}).items()
            if grants[-1][0] > now
        }

    return patch.object(Ledger, "outstanding", outstanding)


def _votes_right_after_start() -> Any:
    """A new process gives its vote at once, though its predecessor may have given one."""
    original = Voter.__init__

    def init(self: Voter, vote_ms: float, now: float) -> None:
        original(self, vote_ms, now)
        self.until_ms = now

    return patch.object(Voter, "__init__", init)


def _lease_counts_from_arrival() -> Any:
    """A lease is timed from the arrival of its grant, not from the reply that the grant answers."""
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
    """Leases and votes are not shortened to allow for clock drift."""
    return patch.object(leases, "CLOCK_SAFETY_FACTOR", 1.0)


def _votes_twice() -> Any:
    """A vote is given to any process that requests it, while an earlier one is still valid."""

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
    """A leader counts its majority for 4 x vote_ms too long, so leases may outlast votes."""
    original = Candidacy.majority_until

    def majority_until(self: Candidacy) -> float:
        until_ms = original(self)
        return until_ms + 4.0 * self.vote_ms if until_ms > 0.0 else until_ms

    return patch.object(Candidacy, "majority_until", majority_until)


def _half_is_majority() -> Any:
    """Half of the votes count as a majority."""
    return patch.object(leases, "majority", lambda count: max(1, count // 2))


def _accepts_grant_for_predecessor() -> Any:
    """A grant for an earlier process of the node is accepted by the present one."""
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
    """Plant a defect during a `with` block, or none for an empty name.

    Raises KeyError for an unknown name.
    """
    if not name:
        yield
        return
    with DEFECTS[name]():
        yield
