"""Exhaustive check of the leases of three nodes, in a small scope (see `forkweir/tier/leases`).

The nodes are real `Allocator`s. The states are visited breadth first, each once. In any order: time
passes by a unit; a node calls the others; a datagram in flight arrives, or never does (it stays in
flight, so partitions and losses are covered, and it may arrive however late); one datagram arrives
twice; one process is killed and restarts. Each node demands all of each limit. Clocks run at their
own rates, one slow and one fast by MAX_CLOCK_DRIFT.

The scope: so many units of time, a vote of VOTE of them and a lease of HOLD; MOST_OUT datagrams in
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

NODES = 3
VOTE = 3.0
HOLD = 1
UNIT = 1_000.0  # ms
MOST_OUT = 3


class Datagram(NamedTuple):
    """A call with its grants (shares of each limit), a reply with its vote, or a step-down."""

    kind: str
    sender: tuple[int, int]
    to: int
    token: int  # that it is for, 0 for whichever
    number: int
    echo: int
    what: tuple[int, ...]


@dataclass(slots=True)
class State:
    """A moment of the scope."""

    at: int
    dealers: list[Allocator]
    # Of each node: by other node, its token and the number of its last reply.
    known: list[dict[int, tuple[int, int]]]
    keys: list[int]  # of each node: what distinguishes its states
    out: tuple[Datagram, ...]
    calls: int
    doubles: int
    restarts: int
    trail: Optional[Trail]


class Trail(NamedTuple):
    """How a state came about, the last step first."""

    step: str
    before: Optional[Trail]

    def steps(self) -> list[str]:
        """In their order."""
        steps: list[str] = []
        at: Optional[Trail] = self
        while at is not None:
            steps.append(at.step)
            at = at.before
        return steps[::-1]


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a search.

    trail: the fewest steps to a broken invariant; empty where it holds in the whole scope.
    """

    states: int
    trail: tuple[str, ...]
    whole: bool  # whether the scope was walked to its end
    granted: int  # states in which somebody held a part


@dataclass(frozen=True, slots=True)
class Scope:
    """How far to walk."""

    span: int = 4
    calls: int = 3
    doubles: int = 0
    restarts: int = 0
    bounds: int = 1
    callers: tuple[int, ...] = (0, 1)
    rates: tuple[float, float, float] = (1.0 - MAX_CLOCK_DRIFT, 1.0 + MAX_CLOCK_DRIFT, 1.0)
    most_states: int = 2_000_000


def _copied(dealer: Allocator) -> Allocator:
    new = Allocator(dealer.process, NODES, dealer.voter.vote_ms, 0.0)
    new.call_number = dealer.call_number
    new.voter.voted_for, new.voter.until_ms, new.voter.call_number = (
        dealer.voter.voted_for,
        dealer.voter.until_ms,
        dealer.voter.call_number,
    )
    new.candidacy._votes, new.candidacy._calls_sent_ms = (
        dict(dealer.candidacy._votes),
        dict(dealer.candidacy._calls_sent_ms),
    )
    new.ledger._grants = {
        bound: {who: list(grants) for who, grants in out.items()}
        for bound, out in dealer.ledger._grants.items()
    }
    old = dealer.held_leases
    new.held_leases._replies_sent_ms, new.held_leases._reply_number = (
        dict(old._replies_sent_ms),
        old._reply_number,
    )
    new.held_leases.leases = {
        b: Lease(x.shares, x.until_ms, x.size, x.leader, x.number) for b, x in old.leases.items()
    }
    return new


def _key(dealer: Allocator, known: dict[int, tuple[int, int]]) -> int:
    held = tuple(
        (b, x.shares, x.until_ms, x.leader, x.number)
        for b, x in sorted(dealer.held_leases.leases.items())
    )
    out = tuple(
        (b, tuple(sorted((w, tuple(g)) for w, g in o.items())))
        for b, o in sorted(dealer.ledger._grants.items())
    )
    votes, calls, sent = (
        dealer.candidacy._votes.items(),
        dealer.candidacy._calls_sent_ms.items(),
        dealer.held_leases._replies_sent_ms.items(),
    )
    promise = dealer.voter.voted_for, dealer.voter.until_ms, dealer.voter.call_number
    said = tuple(sorted(votes)), tuple(calls), tuple(sent), tuple(sorted(known.items()))
    return hash((dealer.process, dealer.call_number, promise, said, held, out))


class Walk:
    """A walk through one scope."""

    def __init__(self, scope: Scope) -> None:
        self.scope = scope
        self.states = self.granted = 0

    def clock(self, node: int, state: State) -> float:
        """A node's own clock."""
        return state.at * UNIT * self.scope.rates[node]

    def run(self) -> Outcome:
        """Walk until the scope ends, or the invariant breaks."""
        dealers = [Allocator((n, 1), NODES, VOTE * UNIT, -VOTE * UNIT) for n in range(NODES)]
        keys = [_key(dealer, {}) for dealer in dealers]
        first = State(
            0,
            dealers,
            [{} for _ in range(NODES)],
            keys,
            (),
            self.scope.calls,
            self.scope.doubles,
            self.scope.restarts,
            None,
        )
        seen = {self._whole_key(first)}
        queue = deque([first])
        while queue:
            state = queue.popleft()
            self.states += 1
            held = [
                sum(self._held(state, n, bound) for n in range(NODES))
                for bound in range(self.scope.bounds)
            ]
            self.granted += any(held)
            if max(held) > TOTAL_SHARES:
                assert state.trail is not None
                return Outcome(self.states, tuple(state.trail.steps()), False, self.granted)
            if self.states >= self.scope.most_states:
                return Outcome(self.states, (), False, self.granted)
            for following in self._next(state):
                key = self._whole_key(following)
                if key not in seen:
                    seen.add(key)
                    queue.append(following)
        return Outcome(self.states, (), True, self.granted)

    def _whole_key(self, state: State) -> int:
        return hash((state.at, *state.keys, state.out, state.calls, state.doubles, state.restarts))

    def _held(self, state: State, node: int, bound: int) -> int:
        lease = state.dealers[node].held_leases.lease(bound, self.clock(node, state))
        return lease.shares if lease is not None else 0

    def _next(self, state: State) -> Iterator[State]:
        if state.at < self.scope.span:
            following = self._after(state, "a unit passes")
            following.at += 1
            yield following
        if state.calls:
            for node in self.scope.callers:
                following = self._after(state, f"n{node} calls", node)
                following.calls -= 1
                if self._call(following, node):
                    yield self._keyed(following, node)
        for n, datagram in enumerate(state.out):
            if n and datagram in state.out[:n]:
                continue
            rest = state.out[:n] + state.out[n + 1 :]
            following = self._after(
                state,
                f"{datagram.kind} {datagram.number} of {datagram.sender} comes to n{datagram.to}",
                datagram.to,
            )
            following.out = rest
            self._come(following, datagram)
            yield self._keyed(following, datagram.to)
            if state.doubles:
                again = self._after(
                    state,
                    f"a double of {datagram.kind} {datagram.number} comes to n{datagram.to}",
                    datagram.to,
                )
                again.doubles -= 1
                self._come(again, datagram)
                yield self._keyed(again, datagram.to)
        if state.restarts:
            for node in range(NODES):
                following = self._after(state, f"n{node} is killed and begins anew", node)
                following.restarts -= 1
                following.dealers[node] = Allocator(
                    (node, 2), NODES, VOTE * UNIT, self.clock(node, state)
                )
                following.known[node] = {}
                yield self._keyed(following, node)

    def _after(self, state: State, step: str, node: int = -1) -> State:
        """A copy of a state in which one node is about to change."""
        dealers, known = list(state.dealers), list(state.known)
        if node >= 0:
            dealers[node], known[node] = _copied(dealers[node]), dict(known[node])
        trail = Trail(step, state.trail)
        return State(
            state.at,
            dealers,
            known,
            list(state.keys),
            state.out,
            state.calls,
            state.doubles,
            state.restarts,
            trail,
        )

    def _keyed(self, state: State, node: int) -> State:
        state.keys[node] = _key(state.dealers[node], state.known[node])
        return state

    def _put(self, state: State, datagram: Datagram) -> None:
        state.out = (
            tuple(sorted((*state.out, datagram)))[-MOST_OUT:]
            if datagram not in state.out
            else state.out
        )

    def _call(self, state: State, node: int) -> bool:
        dealer, now = state.dealers[node], self.clock(node, state)
        if not dealer.start_call(now):
            return False
        hold = dealer.lease_ms(HOLD * UNIT, now)
        known = state.known[node]
        granted: dict[int, list[int]] = {}
        if hold:
            number = dealer.held_leases.next_reply_number(now)
            wants: dict[tuple[int, int], float] = {
                (other, token): TOTAL_SHARES for other, (token, _) in known.items()
            }
            wants[dealer.process] = TOTAL_SHARES
            for bound in range(self.scope.bounds):
                for who, parts in dealer.ledger.grant(bound, wants, hold, now).items():
                    granted.setdefault(who[0], []).append(parts)
                    if who == dealer.process:
                        dealer.on_grant(
                            dealer.process,
                            dealer.process[1],
                            dealer.call_number,
                            number,
                            hold,
                            1.0,
                            bound,
                            parts,
                            now,
                        )
        for other in range(NODES):
            if other != node:
                token, echo = known.get(other, (0, 0))
                what = (hold, *granted.get(other, ())) if token else (0,)
                self._put(
                    state,
                    Datagram("call", dealer.process, other, token, dealer.call_number, echo, what),
                )
        return True

    def _come(self, state: State, datagram: Datagram) -> None:
        node = datagram.to
        dealer, now = state.dealers[node], self.clock(node, state)
        if datagram.kind == "call":
            hold, *parts = datagram.what
            for bound, some in enumerate(parts):
                dealer.on_grant(
                    datagram.sender,
                    datagram.token,
                    datagram.number,
                    datagram.echo,
                    hold,
                    1.0,
                    bound,
                    some,
                    now,
                )
            vote, void = dealer.on_call(datagram.sender, datagram.number, now)
            for other in range(NODES):
                if void and other != node:
                    self._put(state, Datagram("back", dealer.process, other, 0, void, 0, ()))
            number = dealer.held_leases.next_reply_number(now)
            reply = Datagram(
                "reply",
                dealer.process,
                datagram.sender[0],
                datagram.sender[1],
                number,
                datagram.number,
                (int(vote),),
            )
            self._put(state, reply)
            return
        if datagram.kind == "back":
            dealer.voter.release(datagram.sender, datagram.number, now)
            return
        sender, token = datagram.sender
        if datagram.token != dealer.process[1]:
            return
        if datagram.what[0]:
            dealer.on_vote(sender, datagram.token, datagram.echo)
        known = state.known[node].get(sender)
        if known is None or known[0] != token or known[1] < datagram.number:
            state.known[node][sender] = token, datagram.number


def walk(scope: Scope) -> Outcome:
    """Walk through a scope."""
    return Walk(scope).run()
