"""Exhaustive check of the leases of three nodes, in a small scope (see `forkweir/tier/leases`).

The nodes are real `Allocator`s. The states are visited breadth first, each once. In any order: time
passes by a unit; a node calls the others; a datagram in flight arrives, or never does (it stays in
flight, so partitions and losses are covered, and it may arrive however late); one datagram arrives
twice; one process is killed and restarts. Each node demands all of each limit. Clocks run at their
own rates, one slow and one fast by MAX_CLOCK_DRIFT.

The scope: so many units of time, a vote of VOTE_UNITS of them and a lease of LEASE_UNITS;
MAX_IN_FLIGHT datagrams in
flight at once (what does not fit is lost); so many calls in all, by `callers`. What it can't show:
more than three nodes, more than one restart, schedules of more calls, and progress. A scope that is
not exhausted has been searched breadth first up to so many states.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple, Optional

from forkweir.tier.leases import MAX_CLOCK_DRIFT, TOTAL_SHARES, Allocator, Lease

NODE_COUNT = 3
VOTE_UNITS = 3.0
LEASE_UNITS = 1
UNIT_MS = 1_000.0  # ms
MAX_IN_FLIGHT = 3


class Datagram(NamedTuple):
    """A call with its grants (shares of each limit), a reply with its vote, or a step-down."""

    kind: str
    sender: tuple[int, int]
    to: int
    token: int  # that it is for, 0 for whichever
    number: int
    echo: int
    payload: tuple[int, ...]


@dataclass(slots=True)
class State:
    """A moment of the scope."""

    elapsed: int
    allocators: list[Allocator]
    # Of each node: by other node, its token and the number of its last reply.
    last_replies: list[dict[int, tuple[int, int]]]
    node_keys: list[int]  # of each node: what distinguishes its states
    in_flight: tuple[Datagram, ...]
    calls_left: int
    duplicates_left: int
    restarts_left: int
    trace: Optional[Trace]


class Trace(NamedTuple):
    """How a state came about, the last step first."""

    step: str
    previous: Optional[Trace]

    def steps(self) -> list[str]:
        """In their order."""
        steps: list[str] = []
        trace: Optional[Trace] = self
        while trace is not None:
            steps.append(trace.step)
            trace = trace.previous
        return steps[::-1]


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a search.

    counterexample: the fewest steps to a broken invariant; empty where it holds in the whole scope.
    """

    states: int
    counterexample: tuple[str, ...]
    exhausted: bool  # whether the scope was walked to its end
    states_with_leases: int  # states in which somebody held a part


@dataclass(frozen=True, slots=True)
class Scope:
    """How far to walk."""

    time_units: int = 4
    calls: int = 3
    duplicates: int = 0
    restarts: int = 0
    limits: int = 1
    callers: tuple[int, ...] = (0, 1)
    clock_rates: tuple[float, float, float] = (1.0 - MAX_CLOCK_DRIFT, 1.0 + MAX_CLOCK_DRIFT, 1.0)
    max_states: int = 2_000_000


def _copy_allocator(allocator: Allocator) -> Allocator:
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


def _node_key(allocator: Allocator, last_replies: dict[int, tuple[int, int]]) -> int:
    held = tuple(
        (limit, lease.shares, lease.until_ms, lease.leader, lease.number)
        for limit, lease in sorted(allocator.held_leases.leases.items())
    )
    outstanding = tuple(
        (limit, tuple(sorted((process, tuple(grants)) for process, grants in by_process.items())))
        for limit, by_process in sorted(allocator.ledger._grants.items())
    )
    votes, calls_sent, replies_sent = (
        allocator.candidacy._votes.items(),
        allocator.candidacy._calls_sent_ms.items(),
        allocator.held_leases._replies_sent_ms.items(),
    )
    vote_given = allocator.voter.voted_for, allocator.voter.until_ms, allocator.voter.call_number
    messages = (
        tuple(sorted(votes)),
        tuple(calls_sent),
        tuple(replies_sent),
        tuple(sorted(last_replies.items())),
    )
    return hash((allocator.process, allocator.call_number, vote_given, messages, held, outstanding))


class ScopeChecker:
    """A walk through one scope."""

    def __init__(self, scope: Scope) -> None:
        self.scope = scope
        self.states = self.states_with_leases = 0

    def clock(self, node: int, state: State) -> float:
        """A node's own clock."""
        return state.elapsed * UNIT_MS * self.scope.clock_rates[node]

    def run(self) -> Outcome:
        """Walk until the scope ends, or the invariant breaks."""
        allocators = [
            Allocator((n, 1), NODE_COUNT, VOTE_UNITS * UNIT_MS, -VOTE_UNITS * UNIT_MS)
            for n in range(NODE_COUNT)
        ]
        keys = [_node_key(allocator, {}) for allocator in allocators]
        initial = State(
            0,
            allocators,
            [{} for _ in range(NODE_COUNT)],
            keys,
            (),
            self.scope.calls,
            self.scope.duplicates,
            self.scope.restarts,
            None,
        )
        seen = {self._state_key(initial)}
        queue = deque([initial])
        while queue:
            state = queue.popleft()
            self.states += 1
            held = [
                sum(self._held_shares(state, n, limit) for n in range(NODE_COUNT))
                for limit in range(self.scope.limits)
            ]
            self.states_with_leases += any(held)
            if max(held) > TOTAL_SHARES:
                assert state.trace is not None
                return Outcome(
                    self.states, tuple(state.trace.steps()), False, self.states_with_leases
                )
            if self.states >= self.scope.max_states:
                return Outcome(self.states, (), False, self.states_with_leases)
            for successor in self._successors(state):
                key = self._state_key(successor)
                if key not in seen:
                    seen.add(key)
                    queue.append(successor)
        return Outcome(self.states, (), True, self.states_with_leases)

    def _state_key(self, state: State) -> int:
        return hash(
            (
                state.elapsed,
                *state.node_keys,
                state.in_flight,
                state.calls_left,
                state.duplicates_left,
                state.restarts_left,
            )
        )

    def _held_shares(self, state: State, node: int, limit: int) -> int:
        lease = state.allocators[node].held_leases.lease(limit, self.clock(node, state))
        return lease.shares if lease is not None else 0

    def _successors(self, state: State) -> Iterator[State]:
        if state.elapsed < self.scope.time_units:
            successor = self._copy_state(state, "a unit passes")
            successor.elapsed += 1
            yield successor
        if state.calls_left:
            for node in self.scope.callers:
                successor = self._copy_state(state, f"n{node} calls", node)
                successor.calls_left -= 1
                if self._start_call(successor, node):
                    yield self._update_node_key(successor, node)
        for n, datagram in enumerate(state.in_flight):
            if n and datagram in state.in_flight[:n]:
                continue
            remaining = state.in_flight[:n] + state.in_flight[n + 1 :]
            successor = self._copy_state(
                state,
                f"{datagram.kind} {datagram.number} of {datagram.sender} comes to n{datagram.to}",
                datagram.to,
            )
            successor.in_flight = remaining
            self._deliver(successor, datagram)
            yield self._update_node_key(successor, datagram.to)
            if state.duplicates_left:
                duplicate = self._copy_state(
                    state,
                    f"a double of {datagram.kind} {datagram.number} comes to n{datagram.to}",
                    datagram.to,
                )
                duplicate.duplicates_left -= 1
                self._deliver(duplicate, datagram)
                yield self._update_node_key(duplicate, datagram.to)
        if state.restarts_left:
            for node in range(NODE_COUNT):
                successor = self._copy_state(state, f"n{node} is killed and begins anew", node)
                successor.restarts_left -= 1
                successor.allocators[node] = Allocator(
                    (node, 2), NODE_COUNT, VOTE_UNITS * UNIT_MS, self.clock(node, state)
                )
                successor.last_replies[node] = {}
                yield self._update_node_key(successor, node)

    def _copy_state(self, state: State, step: str, node: int = -1) -> State:
        """A copy of a state in which one node is about to change."""
        allocators, last_replies = list(state.allocators), list(state.last_replies)
        if node >= 0:
            allocators[node], last_replies[node] = (
                _copy_allocator(allocators[node]),
                dict(last_replies[node]),
            )
        trace = Trace(step, state.trace)
        return State(
            state.elapsed,
            allocators,
            last_replies,
            list(state.node_keys),
            state.in_flight,
            state.calls_left,
            state.duplicates_left,
            state.restarts_left,
            trace,
        )

    def _update_node_key(self, state: State, node: int) -> State:
        state.node_keys[node] = _node_key(state.allocators[node], state.last_replies[node])
        return state

    def _send(self, state: State, datagram: Datagram) -> None:
        state.in_flight = (
            tuple(sorted((*state.in_flight, datagram)))[-MAX_IN_FLIGHT:]
            if datagram not in state.in_flight
            else state.in_flight
        )

    def _start_call(self, state: State, node: int) -> bool:
        allocator, now = state.allocators[node], self.clock(node, state)
        if not allocator.start_call(now):
            return False
        lease_ms = allocator.lease_ms(LEASE_UNITS * UNIT_MS, now)
        last_replies = state.last_replies[node]
        granted: dict[int, list[int]] = {}
        if lease_ms:
            number = allocator.held_leases.next_reply_number(now)
            demand: dict[tuple[int, int], float] = {
                (other, token): TOTAL_SHARES for other, (token, _) in last_replies.items()
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
                            number,
                            lease_ms,
                            1.0,
                            limit,
                            shares,
                            now,
                        )
        for other in range(NODE_COUNT):
            if other != node:
                token, echo = last_replies.get(other, (0, 0))
                payload = (lease_ms, *granted.get(other, ())) if token else (0,)
                self._send(
                    state,
                    Datagram(
                        "call",
                        allocator.process,
                        other,
                        token,
                        allocator.call_number,
                        echo,
                        payload,
                    ),
                )
        return True

    def _deliver(self, state: State, datagram: Datagram) -> None:
        node = datagram.to
        allocator, now = state.allocators[node], self.clock(node, state)
        if datagram.kind == "call":
            lease_ms, *shares_by_limit = datagram.payload
            for limit, shares in enumerate(shares_by_limit):
                allocator.on_grant(
                    datagram.sender,
                    datagram.token,
                    datagram.number,
                    datagram.echo,
                    lease_ms,
                    1.0,
                    limit,
                    shares,
                    now,
                )
            vote, void_number = allocator.on_call(datagram.sender, datagram.number, now)
            for other in range(NODE_COUNT):
                if void_number and other != node:
                    self._send(
                        state, Datagram("back", allocator.process, other, 0, void_number, 0, ())
                    )
            number = allocator.held_leases.next_reply_number(now)
            reply = Datagram(
                "reply",
                allocator.process,
                datagram.sender[0],
                datagram.sender[1],
                number,
                datagram.number,
                (int(vote),),
            )
            self._send(state, reply)
            return
        if datagram.kind == "back":
            allocator.voter.release(datagram.sender, datagram.number, now)
            return
        sender, token = datagram.sender
        if datagram.token != allocator.process[1]:
            return
        if datagram.payload[0]:
            allocator.on_vote(sender, datagram.token, datagram.echo)
        last_reply = state.last_replies[node].get(sender)
        if last_reply is None or last_reply[0] != token or last_reply[1] < datagram.number:
            state.last_replies[node][sender] = token, datagram.number


def check_scope(scope: Scope) -> Outcome:
    """Walk through a scope."""
    return ScopeChecker(scope).run()
