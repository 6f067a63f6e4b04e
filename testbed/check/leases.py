"""Exhaustive check of the lease protocol (`forkweir/tier/leases`) for three nodes in small scopes.

Three real `Allocator`s exchange emulated datagrams. All reachable states are visited breadth first,
each once, and the check fails at the first state in which the valid leases of one limit sum to more
than TOTAL_SHARES. Each step from a state is one of these:

- a unit of time passes;
- a node calls the others: a call is a heartbeat, a request for votes and, where its sender is the
  leader, grants of shares;
- a datagram in flight arrives, in any order and however late. A datagram that stays in flight to
  the end stands for a lost one, so losses and partitions are covered;
- a datagram arrives, and its duplicate stays in flight;
- a node's process is killed and restarts.

Each node demands all shares of each limit. The clocks run at different rates: one is slow and one
fast by MAX_CLOCK_DRIFT.

A `Scope` bounds the time that passes and the calls, duplicates and restarts. Votes last VOTE_UNITS
and leases LEASE_UNITS units of time, and at most MAX_IN_FLIGHT datagrams are in flight at once: of
one more, the first by sort order is lost (see `Datagram`).

Not covered: more than three nodes, more than one restart, longer schedules of calls, and progress
(whether shares are granted in the end). A scope larger than its max_states is covered only as far
as a breadth-first search gets with that many states. States are recognized by a 64-bit hash, so a
state that collides with one visited earlier is skipped, with all states behind it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple, Optional

from forkweir.tier.leases import MAX_CLOCK_DRIFT, TOTAL_SHARES, Allocator, Lease

NODE_COUNT = 3
VOTE_UNITS = 3.0  # how long a vote is valid, in units of time
LEASE_UNITS = 1  # how long a lease lasts at most
UNIT_MS = 1_000.0
MAX_IN_FLIGHT = 3


class Datagram(NamedTuple):
    """A datagram in flight.

    kind: "call" (with grants of a leader), "reply" (with or without a vote) or "back" (the sender
    steps down: its candidacy has ended).
    sender: the ProcessId of the sender: its slot and token.
    to_slot: the slot of the node that it is for.
    to_token: the token of the process that it is for; 0 for any process of the node.
    number: that of the call or reply; in "back" the last call up to which no vote counts.
    answered_number: the number of the message that this one answers, 0 for none.
    payload: of a call, the lease duration in ms and the shares granted of each limit, in order;
    of a reply, 1 with the vote and 0 without.

    The order of the fields decides which datagram is lost where too many are in flight (see
    `ScopeChecker._send`).
    """

    kind: str
    sender: tuple[int, int]
    to_slot: int
    to_token: int
    number: int
    answered_number: int
    payload: tuple[int, ...]


@dataclass(slots=True)
class State:
    """A state of the three nodes and their network, and what the scope still allows."""

    elapsed: int  # units of time since the start
    allocators: list[Allocator]  # by slot
    # By slot, and by slot of another node: the token and number of the last reply received from it.
    last_replies: list[dict[int, tuple[int, int]]]
    node_fingerprints: list[int]  # by slot (see `_node_fingerprint`)
    in_flight: tuple[Datagram, ...]
    calls_left: int
    duplicates_left: int
    restarts_left: int
    trace: Optional[Trace]


class Trace(NamedTuple):
    """The steps that lead to a state, as a linked list from the last one back."""

    step: str
    previous: Optional[Trace]

    def steps(self) -> list[str]:
        """The steps, first to last."""
        steps: list[str] = []
        trace: Optional[Trace] = self
        while trace is not None:
            steps.append(trace.step)
            trace = trace.previous
        return steps[::-1]


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of checking a scope.

    states: the number of states visited.
    counterexample: the fewest steps that violate the invariant; empty if no visited state does.
    exhausted: whether all states of the scope were visited.
    states_with_leases: the number of visited states in which any node holds a valid lease.
    Shows that the check is not vacuous: the invariant can't fail where no lease is held.
    """

    states: int
    counterexample: tuple[str, ...]
    exhausted: bool
    states_with_leases: int


@dataclass(frozen=True, slots=True)
class Scope:
    """The bounds of a search.

    limits: the number of tier-wide limits.
    callers: the slots of the nodes that make calls.
    clock_rates: the rate of each node's clock, relative to real time.
    max_states: the number of visited states at which the search ends unexhausted.
    """

    time_units: int = 4
    calls: int = 3
    duplicates: int = 0
    restarts: int = 0
    limits: int = 1
    callers: tuple[int, ...] = (0, 1)
    clock_rates: tuple[float, float, float] = (1.0 - MAX_CLOCK_DRIFT, 1.0 + MAX_CLOCK_DRIFT, 1.0)
    max_states: int = 2_000_000


def _copy_allocator(allocator: Allocator) -> Allocator:
    """A copy that shares no mutable state with the original."""
    new = Allocator(allocator.process, NODE_COUNT, allocator.voter.vote_ms, 0.0)
    new.call_number = allocator.call_number
    new.voter.voted_for, new.voter.until_ms, new.voter.call_number = (
        allocator.voter.voted_for,
        allocator.voter.until_ms,
        allocator.voter.call_number,
    )
    new.candidacy._votes, new.candidacy._calls_sent_ms = (
        dict(allocator.candidacy._votes),
        dict(allocator.candidacy._calls_sent_ms),
    )
    new.ledger._grants = {
        limit: {process: list(grants) for process, grants in by_process.items()}
        for limit, by_process in allocator.ledger._grants.items()
    }
    held_leases = allocator.held_leases
    new.held_leases._replies_sent_ms, new.held_leases._reply_number = (
        dict(held_leases._replies_sent_ms),
        held_leases._reply_number,
    )
    new.held_leases.leases = {
        limit: Lease(lease.shares, lease.until_ms, lease.size, lease.leader, lease.number)
        for limit, lease in held_leases.leases.items()
    }
    return new


def _node_fingerprint(allocator: Allocator, last_replies: dict[int, tuple[int, int]]) -> int:
    """A hash of all that determines how a node behaves from here on.

    Left out: the `size` of leases, which is the same in all, and `_reply_number`, which is also the
    last number in `_replies_sent_ms`.
    """
    leases = tuple(
        (limit, lease.shares, lease.until_ms, lease.leader, lease.number)
        for limit, lease in sorted(allocator.held_leases.leases.items())
    )
    outstanding_grants = tuple(
        (limit, tuple(sorted((process, tuple(grants)) for process, grants in by_process.items())))
        for limit, by_process in sorted(allocator.ledger._grants.items())
    )
    votes, calls_sent, replies_sent = (
        allocator.candidacy._votes.items(),
        allocator.candidacy._calls_sent_ms.items(),
        allocator.held_leases._replies_sent_ms.items(),
    )
    vote_given = allocator.voter.voted_for, allocator.voter.until_ms, allocator.voter.call_number
    exchanged = (
        tuple(sorted(votes)),
        tuple(calls_sent),
        tuple(replies_sent),
        tuple(sorted(last_replies.items())),
    )
    return hash(
        (
            allocator.process,
            allocator.call_number,
            vote_given,
            exchanged,
            leases,
            outstanding_grants,
        )
    )


class ScopeChecker:
    """A breadth-first search of one scope."""

    def __init__(self, scope: Scope) -> None:
        self.scope = scope
        self.states = self.states_with_leases = 0

    def clock(self, slot: int, state: State) -> float:
        """The time of a node's own clock in ms."""
        return state.elapsed * UNIT_MS * self.scope.clock_rates[slot]

    def run(self) -> Outcome:
        """Search until all states are visited, max_states is reached or the invariant fails."""
        # A process that starts gives no vote for vote_ms. These started that long ago, so that they
        # vote from the beginning.
        allocators = [
            Allocator((slot, 1), NODE_COUNT, VOTE_UNITS * UNIT_MS, -VOTE_UNITS * UNIT_MS)
            for slot in range(NODE_COUNT)
        ]
        fingerprints = [_node_fingerprint(allocator, {}) for allocator in allocators]
        initial = State(
            0,
            allocators,
            [{} for _ in range(NODE_COUNT)],
            fingerprints,
            (),
            self.scope.calls,
            self.scope.duplicates,
            self.scope.restarts,
            None,
        )
        seen = {self._state_fingerprint(initial)}
        queue = deque([initial])
        while queue:
            state = queue.popleft()
            self.states += 1
            held_shares = [
                sum(self._held_shares(state, slot, limit) for slot in range(NODE_COUNT))
                for limit in range(self.scope.limits)
            ]
            self.states_with_leases += any(held_shares)
            if max(held_shares) > TOTAL_SHARES:
                assert state.trace is not None
                return Outcome(
                    self.states, tuple(state.trace.steps()), False, self.states_with_leases
                )
            if self.states >= self.scope.max_states:
                return Outcome(self.states, (), False, self.states_with_leases)
            for successor in self._successors(state):
                fingerprint = self._state_fingerprint(successor)
                if fingerprint not in seen:
                    seen.add(fingerprint)
                    queue.append(successor)
        return Outcome(self.states, (), True, self.states_with_leases)

    def _state_fingerprint(self, state: State) -> int:
        return hash(
            (
                state.elapsed,
                *state.node_fingerprints,
                state.in_flight,
                state.calls_left,
                state.duplicates_left,
                state.restarts_left,
            )
        )

    def _held_shares(self, state: State, slot: int, limit: int) -> int:
        """The shares that a node holds by a lease that is valid on its own clock."""
        lease = state.allocators[slot].held_leases.lease(limit, self.clock(slot, state))
        return lease.shares if lease is not None else 0

    def _successors(self, state: State) -> Iterator[State]:
        """The states that one step leads to."""
        if state.elapsed < self.scope.time_units:
            successor = self._copy_state(state, "a unit of time passes")
            successor.elapsed += 1
            yield successor
        if state.calls_left:
            for slot in self.scope.callers:
                successor = self._copy_state(state, f"n{slot} calls", slot)
                successor.calls_left -= 1
                if self._start_call(successor, slot):
                    yield self._update_node_fingerprint(successor, slot)
        for index, datagram in enumerate(state.in_flight):
            if index and datagram in state.in_flight[:index]:
                continue
            remaining = state.in_flight[:index] + state.in_flight[index + 1 :]
            successor = self._copy_state(
                state,
                f"{datagram.kind} {datagram.number} of {datagram.sender} "
                f"arrives at n{datagram.to_slot}",
                datagram.to_slot,
            )
            successor.in_flight = remaining
            self._deliver(successor, datagram)
            yield self._update_node_fingerprint(successor, datagram.to_slot)
            if state.duplicates_left:
                after_duplicate = self._copy_state(
                    state,
                    f"a duplicate of {datagram.kind} {datagram.number} "
                    f"arrives at n{datagram.to_slot}",
                    datagram.to_slot,
                )
                after_duplicate.duplicates_left -= 1
                self._deliver(after_duplicate, datagram)
                yield self._update_node_fingerprint(after_duplicate, datagram.to_slot)
        if state.restarts_left:
            for slot in range(NODE_COUNT):
                successor = self._copy_state(state, f"n{slot} is killed and restarts", slot)
                successor.restarts_left -= 1
                successor.allocators[slot] = Allocator(
                    (slot, 2), NODE_COUNT, VOTE_UNITS * UNIT_MS, self.clock(slot, state)
                )
                successor.last_replies[slot] = {}
                yield self._update_node_fingerprint(successor, slot)

    def _copy_state(self, state: State, step: str, slot: int = -1) -> State:
        """A copy of a state, with its trace one step longer, in which one node may be changed.

        Only that node is copied: the others are shared with the original state.
        """
        allocators, last_replies = list(state.allocators), list(state.last_replies)
        if slot >= 0:
            allocators[slot], last_replies[slot] = (
                _copy_allocator(allocators[slot]),
                dict(last_replies[slot]),
            )
        trace = Trace(step, state.trace)
        return State(
            state.elapsed,
            allocators,
            last_replies,
            list(state.node_fingerprints),
            state.in_flight,
            state.calls_left,
            state.duplicates_left,
            state.restarts_left,
            trace,
        )

    def _update_node_fingerprint(self, state: State, slot: int) -> State:
        """Hash a changed node again; return the state."""
        state.node_fingerprints[slot] = _node_fingerprint(
            state.allocators[slot], state.last_replies[slot]
        )
        return state

    def _send(self, state: State, datagram: Datagram) -> None:
        """Put a datagram in flight, unless an equal one is.

        Of more than MAX_IN_FLIGHT the first by sort order is lost.
        """
        state.in_flight = (
            tuple(sorted((*state.in_flight, datagram)))[-MAX_IN_FLIGHT:]
            if datagram not in state.in_flight
            else state.in_flight
        )

    def _start_call(self, state: State, slot: int) -> bool:
        """Call the other nodes, with grants if the node is the leader.

        Returns whether the node has its own vote, which a call needs.
        """
        allocator, now = state.allocators[slot], self.clock(slot, state)
        if not allocator.start_call(now):
            return False
        lease_ms = allocator.lease_ms(LEASE_UNITS * UNIT_MS, now)
        last_replies = state.last_replies[slot]
        granted: dict[int, list[int]] = {}
        if lease_ms:
            # The leader grants shares to itself as if it had just replied to its own call.
            reply_number = allocator.held_leases.next_reply_number(now)
            demand: dict[tuple[int, int], float] = {
                (other_slot, token): TOTAL_SHARES for other_slot, (token, _) in last_replies.items()
            }
            demand[allocator.process] = TOTAL_SHARES
            for limit in range(self.scope.limits):
                for process, shares in allocator.ledger.grant(limit, demand, lease_ms, now).items():
                    granted.setdefault(process[0], []).append(shares)
                    if process == allocator.process:
                        allocator.on_grant(
                            allocator.process,
                            allocator.process[1],
                            allocator.call_number,
                            reply_number,
                            lease_ms,
                            1.0,  # size
                            limit,
                            shares,
                            now,
                        )
        for other_slot in range(NODE_COUNT):
            if other_slot != slot:
                token, answered_number = last_replies.get(other_slot, (0, 0))
                payload = (lease_ms, *granted.get(other_slot, ())) if token else (0,)
                self._send(
                    state,
                    Datagram(
                        "call",
                        allocator.process,
                        other_slot,
                        token,
                        allocator.call_number,
                        answered_number,
                        payload,
                    ),
                )
        return True

    def _deliver(self, state: State, datagram: Datagram) -> None:
        """Process a datagram at the node that it is for."""
        slot = datagram.to_slot
        allocator, now = state.allocators[slot], self.clock(slot, state)
        if datagram.kind == "call":
            lease_ms, *shares_by_limit = datagram.payload
            for limit, shares in enumerate(shares_by_limit):
                allocator.on_grant(
                    datagram.sender,
                    datagram.to_token,
                    datagram.number,
                    datagram.answered_number,
                    lease_ms,
                    1.0,  # size
                    limit,
                    shares,
                    now,
                )
            vote, step_down_number = allocator.on_call(datagram.sender, datagram.number, now)
            for other_slot in range(NODE_COUNT):
                if step_down_number and other_slot != slot:
                    self._send(
                        state,
                        Datagram("back", allocator.process, other_slot, 0, step_down_number, 0, ()),
                    )
            reply_number = allocator.held_leases.next_reply_number(now)
            reply = Datagram(
                "reply",
                allocator.process,
                datagram.sender[0],
                datagram.sender[1],
                reply_number,
                datagram.number,
                (int(vote),),
            )
            self._send(state, reply)
            return
        if datagram.kind == "back":
            allocator.voter.release(datagram.sender, datagram.number, now)
            return
        sender_slot, sender_token = datagram.sender
        if datagram.to_token != allocator.process[1]:
            return
        if datagram.payload[0]:
            allocator.on_vote(sender_slot, datagram.to_token, datagram.answered_number)
        last_reply = state.last_replies[slot].get(sender_slot)
        if last_reply is None or last_reply[0] != sender_token or last_reply[1] < datagram.number:
            state.last_replies[slot][sender_slot] = sender_token, datagram.number


def check_scope(scope: Scope) -> Outcome:
    """Check the invariant in all states of a scope."""
    return ScopeChecker(scope).run()
