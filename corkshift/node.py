"""The node: turns what happens on sockets into the module's events, and carries out its actions."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from contextlib import suppress
from math import inf
from typing import TYPE_CHECKING, Optional

from corkshift.config import Config
from corkshift.messages import Answer, Call
from corkshift.seam import Address, now_ms
from corkshift.upstream import Attempt, CacheServer, Outcome, Pool
from forkweir import Action, Balancer, Server
from forkweir.choice import REBUILD_TIMER
from forkweir.send_guard import Denial, SendGuard, SendState

if TYPE_CHECKING:
    from forkweir.tier.tier import Tier

log = logging.getLogger(__name__)

ID_MEMORY_MS = 5_000.0  # at the least, and ID_MORE_MS longer than any request is open
ID_MORE_MS = 1_000.0
IDS_MOST = 8_192  # far more than come in that time
TELL_MS = 5_000.0  # between two lines in the log on refusals
LOOK_MS = 20.0  # a request that is sent on within this has not waited; its client's end is heard in the turn in which it comes
TURNS = 6  # of the loop that a request takes from when it is read to its answer: dial, write, read, and what waits in between
BACKSTOP_MS = 15.0  # past the deadline, well within the slack that the rules grant


class Node:
    """Owns the open requests, their attempts and the timers. Every decision is the module's."""

    def __init__(self, config: Config, pool: Pool, max_open: int) -> None:
        self._config = config
        self.figures = pool.figures
        self.informed = False  # whether a cache server has been known
        self._pool = pool
        self._presence = pool.presence
        self._max_open = max_open
        self._balancer = Balancer(config.settings, config.seed)
        self.guard = SendGuard(config.drain_grace_ms)
        self._deadlines = {spec.name: spec.deadline_ms for spec in config.settings.classes}
        self._windows = {
            spec.name: spec.repeat_window_ms
            for spec in config.settings.classes
            if spec.repeat == "keyed"
        }
        self._id_memory_ms = max(
            ID_MEMORY_MS, max(self._deadlines.values(), default=0.0) + ID_MORE_MS
        )
        self._calls: dict[int, Call] = {}
        self._ids: dict[bytes, float] = {}  # of late requests: when each came, oldest first
        self.busy = Answer(503, retry_after_s=config.settings.backoff_max_ms / 1000.0)
        self._attempts: dict[tuple[int, int], asyncio.Task[Outcome]] = {}
        self._running: dict[tuple[int, int], Attempt] = {}
        self._tries: dict[int, int] = {}
        self._streams: dict[
            int, Call
        ] = {}  # whose answers have begun and not ended: nothing is left to decide about them
        self._open_ids: set[bytes] = set()  # of open requests, whatever is remembered of late ones
        self._last_id = 0
        self._told: dict[str, int] = {}  # refusals by cause as the log last had them,
        self._told_ms = 0.0  # and when
        self.servers: dict[str, CacheServer] = {}
        self.follow: Callable[[], None] = lambda: None
        self.list_unread: Callable[[], bool] = lambda: False  # see Owner

    @property
    def full(self) -> bool:
        """Whether as many requests are open as the node may hold."""
        return self.open >= self._max_open

    @property
    def open(self) -> int:
        """How many requests have been taken and have no final answer yet."""
        return len(self._calls) + len(self._streams)

    def join(self, tier: Tier) -> None:
        """From now on this node has its parts of the bounds of a tier."""
        from forkweir.tier.balancer_adapter import BalancerAdapter

        BalancerAdapter(self._balancer, tier)

    def avoided(self) -> int:
        """How many of the listed cache servers get nothing now because of how they did."""
        return self._balancer.fleet.avoided(now_ms())

    def usable(self, name: str) -> bool:
        """Whether a cache server may get requests as far as its health goes; one that is not known may."""
        fleet = self._balancer.fleet
        member = fleet.members.get(name)
        return member is None or fleet.usable(member, now_ms())

    def health(self) -> dict[str, int]:
        """How many cache servers are in each state of health (forkweir/known/health.py has the table)."""
        return {str(state): count for state, count in self._balancer.fleet.states(now_ms()).items()}

    # -- events --------------------------------------------------------------------------

    def knows(self, lane: str) -> bool:
        """Whether the settings have this class of requests."""
        return lane in self._deadlines

    def used(self, txn: bytes) -> bool:
        """Whether a request with this id is open, or was a short while ago (ids are new with every request).

        Guards against two requests that share an id, whose answers and repeats nobody could tell apart.
        """
        before = now_ms() - self._id_memory_ms
        while self._ids and (len(self._ids) > IDS_MOST or next(iter(self._ids.values())) < before):
            del self._ids[next(iter(self._ids))]
        return txn in self._ids or txn in self._open_ids

    def submit(self, call: Call, waited_ms: float = 0.0) -> None:
        """A whole request has come, or the beginning of one too large to hold; its final answer is owed from now on.

        waited_ms: for so long it has stood unread.
        """
        now = now_ms()
        self._ids[call.txn] = now
        self._open_ids.add(call.txn)
        self._last_id += 1
        call.id = self._last_id
        # No client waits longer than its class allows (guards against requests that are held for days).
        longest = self._deadlines[call.lane]
        budget = longest if call.budget_ms is None else min(call.budget_ms, longest)
        if call.feed is None:
            budget -= waited_ms
        call.since_ms, call.deadline_ms = now - waited_ms, now + budget
        self._calls[call.id] = call
        self._tries[call.id] = 0
        if budget <= 0.0 or (call.feed is None and self._presence.turn_ms * TURNS > budget):
            # Its client has gone, or will have before this node could serve it (guards against a node that can't keep up with what
            # comes, and works on requests that it can only fail). Harm: where the loop was held up a moment ago, some are refused that
            # might have been served.
            self.refused("late" if budget <= 0.0 else "behind")
            self._answer(call, self.busy)
            return
        if call.feed is None:
            self._guard(call, budget)
        self._decide(
            call,
            lambda: self._balancer.on_request(
                now,
                call.id,
                call.lane,
                call.key,
                budget,
                call.work_ms,
                call.org,
                call.method == b"PUT",
                call.repeated,
            ),
        )

    def depart(self, call: Call) -> None:
        """The client has gone: nothing more is sent for its request."""
        if call.open:
            call.answer.cancel()
        if self._calls.pop(call.id, None) is not None:
            self._close(call)
            self._decide(None, lambda: self._balancer.on_departure(now_ms(), call.id))
        elif self._streams.pop(call.id, None) is not None:
            self._close(call)

    def give_up(self) -> None:
        """Fail whatever is still open: this process is about to be ended (guards against requests with more time than it has left).

        Harm: none of them would get an answer otherwise; a refusal instead would say that none has run.
        """
        for call in list(self._calls.values()):
            self.end(call, Answer(504))

    def end(self, call: Call, answer: Answer) -> None:
        """A request is answered without the module: it came to no good end, or its time is over."""
        self._answer(call, answer)
        self._decide(None, lambda: self._balancer.on_departure(now_ms(), call.id))

    def _guard(self, call: Call, budget_ms: float) -> None:
        """Guards against a request left without its answer, whatever goes wrong."""
        call.backstop = asyncio.get_running_loop().call_later(
            (budget_ms + BACKSTOP_MS) / 1000.0, self._overdue, call
        )

    def on_list(self, form: str, entries: Iterable[Server]) -> None:
        """Discovery told of the cache servers, or failed to."""
        self.informed = self.informed or bool(self.servers)
        self._decide(None, lambda: self._balancer.on_list(now_ms(), form, entries))

    def overheard(self, places: list[Address], whole: bool) -> None:
        """Servers that the list never named drain or are gone: nothing to do where it is the one source."""

    def _overdue(self, call: Call) -> None:
        log.warning("request %d had no answer by its deadline", call.id)
        self.end(call, Answer(504))

    def _due(self, token: int) -> None:
        self._decide(None, lambda: self._balancer.on_timer(now_ms(), token))

    # -- actions -------------------------------------------------------------------------

    def _decide(self, call: Optional[Call], event: Callable[[], list[Action]]) -> None:
        """Give the module an event and do what it says. A fault in it ends neither the process nor another request.

        Nor does one in carrying out an action cost the actions behind it (they may be other requests' attempts, or a timer on which
        the module waits).
        """
        try:
            actions = event()
        except Exception:
            log.exception("a decision failed")
            self._fault(call)
            return
        for action in actions:
            try:
                self._act(action)
            except Exception:
                log.exception("an action failed: %s", action[0])
                self._fault(
                    self._calls.get(action[1])
                    if action[0] in ("attempt", "refuse", "fail")
                    else None
                )

    def _fault(self, call: Optional[Call]) -> None:
        """A request about which something here failed is failed."""
        if call is not None:
            self._answer(call, Answer(500))
            with suppress(Exception):
                self._balancer.on_departure(now_ms(), call.id)

    def _act(self, action: Action) -> None:
        if action[0] == "attempt":
            self._start(action[1], action[2], action[3])
        elif action[0] == "refuse":
            self.refused(action[3])
            self._answer(self._calls.get(action[1]), Answer(503, retry_after_s=action[2] / 1000.0))
        elif action[0] == "fail":
            self._answer(self._calls.get(action[1]), Answer(502))
        elif action[0] == "cancel":
            self._end_attempt((action[1], action[2]))
        elif action[0] == "timer":
            wait_ms = max(0.0, action[2] - now_ms())
            if action[1] == REBUILD_TIMER:
                # Work in the background takes every other turn (guards against requests that wait for a slice in each of their turns).
                wait_ms = max(wait_ms, self._presence.turn_ms)
            asyncio.get_running_loop().call_later(wait_ms / 1000.0, self._due, action[1])
        elif action[0] == "follow":
            self.follow()
        else:
            log.warning("the module asks for %s, which this site does not have", action[0])

    def turned_away(self, lane: str, cause: str) -> None:
        """A request of a class was refused before it was taken: count it."""
        self.refused(cause)
        self.figures.answered(lane, 503)

    def refused(self, cause: str) -> None:
        """Count a refusal by its cause, and tell of them in the log: of the first at once, then of all that came in TELL_MS."""
        refused = self.figures.refused
        refused[cause] += 1
        now = now_ms()
        if now - self._told_ms >= TELL_MS or now < self._told_ms:
            since = {name: count - self._told.get(name, 0) for name, count in refused.items()}
            parts = ", ".join(f"{name} {count}" for name, count in since.items() if count)
            log.info("refused since it was last told: %s", parts)
            if causes := self.figures.take_causes():
                log.info("attempts that failed since then: %s", causes)
            self._told, self._told_ms = dict(refused), now

    def _answer(self, call: Optional[Call], answer: Answer) -> None:
        """Give the final answer; the first one counts."""
        if call is not None and self._calls.pop(call.id, None) is not None:
            self.figures.answered(call.lane, answer.status)
            if call.open:
                call.answer.set_result(answer)
            self._close(call)

    def _close(self, call: Call) -> None:
        """A request is over: what is still out for it ends."""
        if call.backstop is not None:
            call.backstop.cancel()
        self._open_ids.discard(call.txn)
        if call.feed is not None:
            call.feed.close()
        for n in range(self._tries.pop(call.id, 0)):
            self._end_attempt((call.id, n))

    def _end_attempt(self, which: tuple[int, int]) -> None:
        attempt, task = self._running.get(which), self._attempts.get(which)
        if attempt is not None and task is not None:
            attempt.abort()  # at once: the task ends a moment later, perhaps after a successor was sent
            task.cancel()

    # -- attempts ------------------------------------------------------------------------

    def _start(self, call_id: int, name: str, within_ms: float) -> None:
        call = self._calls.get(call_id)
        if call is None:
            return
        n = self._tries[call_id]
        self._tries[call_id] = n + 1
        server = self.servers.get(name)
        left_ms = (
            call.deadline_ms - now_ms()
            if call.feed is None or call.sent
            else call.deadline_ms - call.since_ms
        )
        within_ms = min(within_ms, left_ms) if within_ms else left_ms
        # Two attempts can't read one body that is not kept, nor can a second one once it flows.
        twice = call.feed is not None and (
            call.spent or any((call_id, earlier) in self._running for earlier in range(n))
        )
        if server is None or n >= self._config.settings.max_attempts or within_ms <= 0.0 or twice:
            asyncio.get_running_loop().call_soon(self._ended, call, n, name, 0.0, Outcome("void"))
            return
        attempt = Attempt(self._pool, server, call, within_ms, self)
        self._running[call_id, n] = attempt
        task = self._attempts[call_id, n] = asyncio.create_task(attempt.run())
        task.add_done_callback(lambda done: self._done(call, n, attempt, done))

    def may_send(self, call: Call, server: CacheServer, told_ms: int) -> Optional[Denial]:
        """See Owner. Why a request may not go out to a server now: asked before its first byte and before its last one.

        What has waited (for a dial, a connection, an earlier attempt, or for the node, which stood still) is looked at once more: its
        client's end may stand unread in the kernel, as timers come before sockets.
        """
        if now_ms() - call.since_ms > LOOK_MS:
            call.look()
        return self.guard.check(self._send_state(call, server, told_ms), now_ms())

    def went_out(self, call: Call, server: CacheServer, told_ms: int) -> None:
        """See Owner. Count and log what went out although its bound was over: each is a defect of this node."""
        violation = self.guard.violated(self._send_state(call, server, told_ms), now_ms())
        if violation is not None:
            log.error(
                "request %s of class %s went to %s too late: %s",
                call.txn.decode(),
                call.lane,
                server.name,
                violation,
            )

    def _send_state(self, call: Call, server: CacheServer, told_ms: int) -> SendState:
        flowing = call.feed is not None and not call.sent  # its time runs from its last byte
        return SendState(
            wanted=call.open,
            leaving_ms=server.leaving_ms,
            first_sent_ms=call.ran_ms,
            repeat_window_ms=self._windows.get(call.lane),
            deadline_ms=inf if flowing else call.deadline_ms,
            told_ms=told_ms,
        )

    def _done(self, call: Call, n: int, attempt: Attempt, task: asyncio.Task[Outcome]) -> None:
        """An attempt's task has ended, in whatever way; this is called even for one that was cancelled before it began.

        Guards against attempts that the node, and requests that the module, would hold for ever.
        """
        del self._running[call.id, n], self._attempts[call.id, n]
        if task.cancelled():
            outcome = Outcome("withdrawn")
        elif (error := task.exception()) is not None:
            log.error("an attempt failed", exc_info=error)
            attempt.abort()
            outcome = Outcome("broken")
        else:
            outcome = task.result()
        if not attempt.begun:
            self._ended(call, n, attempt.server.name, attempt.elapsed_ms, outcome)
        elif self._streams.pop(call.id, None) is not None:
            # An answer that had begun is whole, or broke off; the module has heard of it.
            self._close(call)
            self.figures.answered(call.lane, 200 if outcome.status == "success" else 502)
        attempt.cut()

    def spent(self, call: Call) -> None:
        """See Owner."""
        self._decide(call, lambda: self._balancer.on_spent(now_ms(), call.id))

    def sent(self, call: Call) -> None:
        """See Owner."""
        if call.id in self._calls:
            budget = call.deadline_ms - call.since_ms
            call.since_ms, call.sent = now_ms(), True
            call.deadline_ms = call.since_ms + budget
            self._guard(call, budget)

    def begun(self, attempt: Attempt, answer: Answer, note: int) -> bool:
        """See Owner. The module hears of a success; other attempts end, and what is left is only to carry."""
        call = attempt.call
        if not call.open or self._calls.pop(call.id, None) is None:
            return False
        self._streams[call.id] = call
        if call.backstop is not None:
            call.backstop.cancel()
        winner = 0
        for n in range(self._tries.get(call.id, 0)):
            if self._running.get((call.id, n)) is attempt:
                winner = n
            else:
                self._end_attempt((call.id, n))
        call.answer.set_result(answer)
        elapsed_ms = attempt.elapsed_ms
        self._decide(
            None,
            lambda: self._balancer.on_outcome(
                now_ms(), call.id, winner, True, "success", attempt.server.name, elapsed_ms, note
            ),
        )
        return True

    def _ended(self, call: Call, n: int, name: str, elapsed_ms: float, outcome: Outcome) -> None:
        if outcome.status == "success":
            self._answer(call, Answer(200, outcome.body))
        finished = call.id not in self._calls
        self._decide(
            None if finished else call,
            lambda: self._balancer.on_outcome(
                now_ms(), call.id, n, finished, outcome.status, name, elapsed_ms, outcome.note
            ),
        )
