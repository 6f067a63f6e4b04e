"""The node: translates socket events into calls of the balancer and performs its actions."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import TYPE_CHECKING, Optional

from corkshift import seam
from corkshift.budget import ConnectionAllowance
from corkshift.config import Config
from corkshift.messages import ClientRequest, Response
from corkshift.seam import Address, now_ms
from corkshift.upstream import Attempt, CacheServer, Outcome, Pool
from forkweir import Action, Balancer, Server
from forkweir.choice import REBUILD_TIMER
from forkweir.send_guard import Denial, SendGuard, SendState

if TYPE_CHECKING:
    from forkweir.tier.tier import Tier

log = logging.getLogger(__name__)

# Request ids are remembered for ID_MEMORY_MARGIN_MS beyond the longest deadline, but at least this
# long: a client never uses an id again, and an effect must not happen twice whenever it does.
MIN_ID_MEMORY_MS = 60_000.0
ID_MEMORY_MARGIN_MS = 1_000.0
# Far more than arrive in that time.
MAX_REMEMBERED_IDS = 8_192
# Minimum time between two log lines about refusals.
REFUSAL_LOG_INTERVAL_MS = 5_000.0
# A request sent on within this time has not waited: its client's FIN would be seen in the turn of
# the event loop in which it arrives.
DEPARTURE_CHECK_AFTER_MS = 20.0
# Turns of the event loop from reading a request to its response: connect, write, read, and the
# waits in between.
LOOP_TURNS_PER_REQUEST = 6
# Time past a request's deadline until the node fails it; lies well within the permitted slack.
BACKSTOP_MARGIN_MS = 15.0
# Turns of the event loop for which it waits then, and the delay at which it waits no longer; an
# answer may come 500 ms after the deadline.
MAX_BACKSTOP_TURNS = 8
MAX_BACKSTOP_DELAY_MS = 250.0
# A timer that fires less than this ahead of its time counts as due.
BACKSTOP_TOLERANCE_MS = 2.0
# Clients hold a third of the descriptors at most for requests.
DESCRIPTORS_PER_REQUEST = 3


class Node:
    """Owns the open requests, their attempts and the timers; the balancer makes all decisions.

    max_open: limit of open requests.
    """

    def __init__(self, config: Config, pool: Pool, max_open: int) -> None:
        self._config = config
        self.metrics = pool.metrics
        self.servers_known = False  # whether any cache server has ever been known
        self._pool = pool
        self._loop_lag = pool.loop_lag
        self._max_open = max_open
        self.memory_limit_bytes = config.memory_mb << 20
        self.allowance = ConnectionAllowance(
            self.memory_limit_bytes,
            seam.memory_bytes(),
            config.sockets // DESCRIPTORS_PER_REQUEST,
        )
        self._balancer = Balancer(config.settings, config.seed)
        self.guard = SendGuard(config.drain_grace_ms)
        self._deadlines = {spec.name: spec.deadline_ms for spec in config.settings.classes}
        self._windows = {
            spec.name: spec.repeat_window_ms
            for spec in config.settings.classes
            if spec.repeat == "keyed"
        }
        self._repeatable_classes = {
            spec.name for spec in config.settings.classes if spec.repeat == "safe"
        }
        self._id_memory_ms = max(
            MIN_ID_MEMORY_MS, max(self._deadlines.values(), default=0.0) + ID_MEMORY_MARGIN_MS
        )
        self._requests: dict[int, ClientRequest] = {}
        self._recent_ids: dict[bytes, float] = {}  # arrival time by request id, oldest first
        self.busy_response = Response(503, retry_after_s=config.settings.backoff_max_ms / 1000.0)
        self._attempts: dict[tuple[int, int], asyncio.Task[Outcome]] = {}
        self._running: dict[tuple[int, int], Attempt] = {}
        self._tries: dict[int, int] = {}
        # Requests whose response is being streamed: the balancer has nothing more to decide.
        self._streams: dict[int, ClientRequest] = {}
        self._open_uploads = 0  # requests whose body is too large to buffer
        self._open_ids: set[bytes] = set()  # ids of all open requests, however old
        self._last_id = 0
        self._logged_refusals: dict[str, int] = {}  # refusals by cause at the last log line
        self._logged_ms = 0.0  # time of the last log line about refusals
        self.servers: dict[str, CacheServer] = {}
        self.follow: Callable[[], None] = lambda: None  # starts to follow the server list
        self.list_unread: Callable[[], bool] = lambda: False  # see AttemptOwner
        # Time since discovery last wrote to this process, in ms; None before its first list.
        self.list_age_ms: Callable[[], Optional[float]] = lambda: None

    @property
    def full(self) -> bool:
        """Whether the limit of open requests is reached."""
        return self.open >= self._max_open

    @property
    def open(self) -> int:
        """The number of accepted requests without a complete response."""
        return len(self._requests) + len(self._streams)

    def read_limit(self, most: int) -> int:
        """See AttemptOwner."""
        return self.allowance.read_limit(most)

    @property
    def buffer_limit(self) -> int:
        """See AttemptOwner."""
        return self.allowance.buffer_limit

    def transfer_read_limit(self, most: int) -> int:
        """See AttemptOwner."""
        return self.allowance.transfer_read_limit(most)

    @property
    def open_transfers(self) -> int:
        """The number of bodies that are streamed, in either direction."""
        return len(self._streams) + self._open_uploads

    def join(self, tier: Tier) -> None:
        """Apply this node's shares of the tier-wide limits from now on."""
        from forkweir.tier.balancer_adapter import BalancerAdapter

        BalancerAdapter(self._balancer, tier)

    def ejected_count(self) -> int:
        """Return how many listed cache servers outlier detection currently keeps out of use."""
        return self._balancer.fleet.ejected_count(now_ms())

    def usable(self, name: str) -> bool:
        """Whether a cache server's health permits requests to it; true for an unknown server."""
        fleet = self._balancer.fleet
        member = fleet.members.get(name)
        return member is None or fleet.usable(member, now_ms())

    def health(self) -> dict[str, int]:
        """Return the number of cache servers by health state (see forkweir/known/health.py)."""
        return {str(state): count for state, count in self._balancer.fleet.states(now_ms()).items()}

    # -- events --------------------------------------------------------------------------

    def has_class(self, class_name: str) -> bool:
        """Whether the settings define this request class."""
        return class_name in self._deadlines

    def is_recent_id(self, txn: bytes) -> bool:
        """Whether a request with this id is open or arrived recently.

        Clients use a new id for every request. Responses and retries of two requests with the
        same id could not be distinguished.
        """
        before = now_ms() - self._id_memory_ms
        while self._recent_ids and (
            len(self._recent_ids) > MAX_REMEMBERED_IDS
            or next(iter(self._recent_ids.values())) < before
        ):
            del self._recent_ids[next(iter(self._recent_ids))]
        return txn in self._recent_ids or txn in self._open_ids

    def recent_ids(self) -> list[bytes]:
        """The ids that are remembered, oldest first."""
        return list(self._recent_ids)

    def remember_id(self, txn: bytes) -> None:
        """Remember the id of a request that another process of this node has accepted."""
        self._recent_ids.pop(txn, None)  # the newest one stands last
        self._recent_ids[txn] = now_ms()

    def submit(self, request: ClientRequest, waited_ms: float = 0.0) -> None:
        """Accept a request, complete or with only the first part of a large body.

        From now on the node owes it exactly one response. waited_ms: how long it waited unread.
        """
        now = now_ms()
        self._recent_ids[request.txn] = now
        self._open_ids.add(request.txn)
        self._last_id += 1
        request.id = self._last_id
        # The class's deadline bounds what the client announces; otherwise a request could be held
        # for days.
        longest = self._deadlines[request.class_name]
        request.client_budget_ms = (
            longest if request.client_wait_ms is None else min(request.client_wait_ms, longest)
        )
        request.since_ms = now - waited_ms
        request.deadline_ms = request.since_ms + request.client_budget_ms
        budget = request.left_ms()
        self._requests[request.id] = request
        self._open_uploads += request.body_rest is not None
        self._tries[request.id] = 0
        if budget <= 0.0 or (
            request.body_rest is None
            and self._loop_lag.smoothed_lag_ms * LOOP_TURNS_PER_REQUEST > budget
        ):
            # Its client has given up, or will before this node could serve it. Under overload the
            # node would otherwise work on requests that it can only fail. After a brief pause of
            # the event loop, some are refused that might have been served.
            self.count_refusal("late" if budget <= 0.0 else "behind")
            self._respond(request, self.busy_response)
            return
        self._set_backstop(request, budget)
        self._decide(
            request,
            lambda: self._balancer.on_request(
                now,
                request.id,
                request.class_name,
                request.key,
                budget,
                request.work_ms,
                request.org,
                request.method == b"PUT",
                request.repeated,
            ),
        )

    def cancel_request(self, request: ClientRequest) -> None:
        """Cancel a request whose client has left; nothing more is sent for it."""
        if request.open:
            request.response.cancel()
        if request.id in self._requests or request.id in self._streams:
            self.metrics.departed_clients += 1
        if self._requests.pop(request.id, None) is not None:
            self._close(request)
            self._decide(None, lambda: self._balancer.on_departure(now_ms(), request.id))
        elif self._streams.pop(request.id, None) is not None:
            self._close(request)

    def fail_open_requests(self) -> None:
        """Answer all open requests with status 504: the process is about to end.

        Requests with more time left than the process would otherwise get no response. A refusal
        (503) would state that they have not run, which is unknown.
        """
        for request in list(self._requests.values()):
            self.end(request, Response(504))

    def end(self, request: ClientRequest, response: Response) -> None:
        """Answer a request without a decision of the balancer: it failed, or its time is over."""
        self._respond(request, response)
        self._decide(None, lambda: self._balancer.on_departure(now_ms(), request.id))

    def _set_backstop(self, request: ClientRequest, client_wait_ms: float) -> None:
        """Schedule the timer that fails a request left without a response by any fault."""
        request.backstop = asyncio.get_running_loop().call_later(
            (client_wait_ms + BACKSTOP_MARGIN_MS) / 1000.0, self._on_backstop, request
        )

    def on_list(self, form: str, entries: Iterable[Server]) -> None:
        """Pass a change of the server list, or a failure to read it, to the balancer."""
        self.servers_known = self.servers_known or bool(self.servers)
        self._decide(None, lambda: self._balancer.on_list(now_ms(), form, entries))

    def on_unlisted_departures(self, addresses: list[Address], complete: bool) -> None:
        """Ignore departures of servers that the list never named: there is no other source here."""

    def _on_backstop(self, request: ClientRequest) -> None:
        """Fail a request that is still without a response.

        The deadline of a large body may have moved on. Where the loop was held up, the end of an
        attempt whose time limit has passed is handled a few turns later, and decides first.
        """
        left_ms = request.left_ms()
        late_ms = -left_ms - BACKSTOP_MARGIN_MS
        if late_ms < -BACKSTOP_TOLERANCE_MS:
            self._set_backstop(request, left_ms)
            return
        if request.backstop_turns < MAX_BACKSTOP_TURNS and late_ms < MAX_BACKSTOP_DELAY_MS:
            request.backstop_turns += 1
            request.backstop = asyncio.get_running_loop().call_later(
                0.0, self._on_backstop, request
            )
            return
        self.metrics.backstop_answers += 1
        log.warning("request %d had no answer by its deadline; answering with 504", request.id)
        self.end(request, Response(504))

    def _on_timer(self, token: int) -> None:
        self._decide(None, lambda: self._balancer.on_timer(now_ms(), token))

    # -- actions -------------------------------------------------------------------------

    def _decide(self, request: Optional[ClientRequest], event: Callable[[], list[Action]]) -> None:
        """Pass an event to the balancer and perform the actions that it returns.

        An exception in the balancer affects neither the process nor other requests. An exception
        in one action doesn't keep the next ones from being performed: these may be attempts of
        other requests, or a timer that the balancer needs.
        """
        try:
            actions = event()
        except Exception:
            log.exception("a decision failed")
            self._fail_after_error(request)
            return
        for action in actions:
            try:
                self._perform(action)
            except Exception:
                log.exception("action %r of the balancer failed", action[0])
                self._fail_after_error(
                    self._requests.get(action[1])
                    if action[0] in ("attempt", "refuse", "fail")
                    else None
                )

    def _fail_after_error(self, request: Optional[ClientRequest]) -> None:
        """Answer a request with status 500 after an exception in handling it."""
        if request is not None:
            self._respond(request, Response(500))
            with suppress(Exception):
                self._balancer.on_departure(now_ms(), request.id)

    def _perform(self, action: Action) -> None:
        if action[0] == "attempt":
            self._start(action[1], action[2], action[3])
        elif action[0] == "refuse":
            self.count_refusal(action[3])
            self._respond(
                self._requests.get(action[1]), Response(503, retry_after_s=action[2] / 1000.0)
            )
        elif action[0] == "fail":
            self._respond(self._requests.get(action[1]), Response(502))
        elif action[0] == "cancel":
            self._end_attempt((action[1], action[2]))
        elif action[0] == "timer":
            wait_ms = max(0.0, action[2] - now_ms())
            if action[1] == REBUILD_TIMER:
                # Background work runs at most in every other turn of the event loop, so that a
                # request doesn't wait for a slice of it in each of its turns.
                wait_ms = max(wait_ms, self._loop_lag.smoothed_lag_ms)
            asyncio.get_running_loop().call_later(wait_ms / 1000.0, self._on_timer, action[1])
        elif action[0] == "follow":
            self.follow()
        else:
            log.warning("ignoring action %r of the balancer: not supported by this node", action[0])

    def count_unadmitted(self, class_name: str, cause: str) -> None:
        """Count a request that was refused before it was accepted."""
        self.count_refusal(cause)
        self.metrics.count_response(class_name, 503)

    def count_refusal(self, cause: str) -> None:
        """Count a refusal by its cause and log the counts.

        The first refusal is logged at once, later ones together every REFUSAL_LOG_INTERVAL_MS.
        """
        refusals = self.metrics.refusals
        refusals[cause] += 1
        now = now_ms()
        if now - self._logged_ms >= REFUSAL_LOG_INTERVAL_MS or now < self._logged_ms:
            since = {
                name: count - self._logged_refusals.get(name, 0) for name, count in refusals.items()
            }
            parts = ", ".join(f"{name} {count}" for name, count in since.items() if count)
            log.info("requests refused since the last report: %s", parts)
            if causes := self.metrics.take_failure_causes():
                log.info("attempts failed since the last report: %s", causes)
            self._logged_refusals, self._logged_ms = dict(refusals), now

    def _respond(self, request: Optional[ClientRequest], response: Response) -> None:
        """Give a request its response, unless it has one."""
        if request is not None and self._requests.pop(request.id, None) is not None:
            self.metrics.count_response(request.class_name, response.status)
            if request.open:
                request.response.set_result(response)
            self._close(request)

    def _close(self, request: ClientRequest) -> None:
        """Release what a finished request holds, and end its running attempts."""
        if request.backstop is not None:
            request.backstop.cancel()
        self._open_ids.discard(request.txn)
        if request.body_rest is not None:
            self._open_uploads -= 1
            request.body_rest.close()
        for n in range(self._tries.pop(request.id, 0)):
            self._end_attempt((request.id, n))

    def _end_attempt(self, key: tuple[int, int]) -> None:
        attempt, task = self._running.get(key), self._attempts.get(key)
        if attempt is not None and task is not None:
            # The task ends a moment later, perhaps after the next attempt was sent.
            attempt.abort()
            task.cancel()

    # -- attempts ------------------------------------------------------------------------

    def _start(self, request_id: int, name: str, within_ms: float) -> None:
        request = self._requests.get(request_id)
        if request is None:
            return
        n = self._tries[request_id]
        self._tries[request_id] = n + 1
        server = self.servers.get(name)
        left_ms = request.left_ms()
        within_ms = min(within_ms, left_ms) if within_ms else left_ms
        # A body that is not buffered can be read by one attempt only, and only once.
        body_unavailable = request.body_rest is not None and (
            request.body_consumed
            or any((request_id, earlier) in self._running for earlier in range(n))
        )
        if (
            server is None
            or n >= self._config.settings.max_attempts
            or within_ms <= 0.0
            or body_unavailable
        ):
            asyncio.get_running_loop().call_soon(
                self._report_outcome, request, n, name, 0.0, Outcome("void")
            )
            return
        attempt = Attempt(self._pool, server, request, within_ms, self)
        self._running[request_id, n] = attempt
        task = self._attempts[request_id, n] = asyncio.create_task(attempt.run())
        task.add_done_callback(lambda done: self._on_attempt_done(request, n, attempt, done))

    def may_send(
        self, request: ClientRequest, server: CacheServer, announced_ms: int
    ) -> Optional[Denial]:
        """See AttemptOwner. Called before the first and before the last byte of a request is sent.

        For a request that has waited (to connect, for an earlier attempt, or while the process was
        paused) the socket of its client is checked again: the FIN may be unread in the kernel,
        since the event loop runs timers before it reads sockets. It may also be unread, however new
        the request is, behind the client's further requests while the read buffer is full.
        """
        client = request.client
        waited = now_ms() - request.since_ms > DEPARTURE_CHECK_AFTER_MS
        if client is not None and (waited or client.end_may_be_unread):
            client.check_departure()
        return self.guard.check(self._send_state(request, server, announced_ms), now_ms())

    def may_repeat(self, request: ClientRequest) -> bool:
        """See AttemptOwner."""
        return request.class_name in self._repeatable_classes

    def on_last_byte_written(
        self, request: ClientRequest, server: CacheServer, announced_ms: int
    ) -> None:
        """See AttemptOwner. Counts and logs requests sent after a limit: each is a node defect."""
        self.metrics.count_send(self.list_age_ms())
        violation = self.guard.violated(self._send_state(request, server, announced_ms), now_ms())
        if violation is not None:
            log.error(
                "request %s of class %s went to %s too late: %s",
                request.txn.decode(),
                request.class_name,
                server.name,
                violation,
            )

    def _send_state(
        self, request: ClientRequest, server: CacheServer, announced_ms: int
    ) -> SendState:
        request.renew_deadline()
        return SendState(
            client_waiting=request.open,
            departure_ms=server.leaving_ms,
            first_sent_ms=request.first_attempt_sent_ms,
            repeat_window_ms=self._windows.get(request.class_name),
            deadline_ms=request.deadline_ms,
            # The head of a large request is written long before the last byte, and its time is not
            # announced again.
            announced_ms=announced_ms if request.arrival is None else 0,
        )

    def _on_attempt_done(
        self, request: ClientRequest, n: int, attempt: Attempt, task: asyncio.Task[Outcome]
    ) -> None:
        """Handle the end of an attempt's task, also of one cancelled before it started.

        Otherwise the node would keep the attempt, and the balancer the request, forever.
        """
        del self._running[request.id, n], self._attempts[request.id, n]
        if task.cancelled():
            outcome = Outcome("withdrawn")
        elif (error := task.exception()) is not None:
            log.error("attempt failed with an unexpected exception", exc_info=error)
            attempt.abort()
            outcome = Outcome("broken")
        else:
            outcome = task.result()
        if not attempt.response_started:
            self._report_outcome(request, n, attempt.server.name, attempt.elapsed_ms, outcome)
        elif self._streams.pop(request.id, None) is not None:
            # The streamed response is complete or was cut off; the balancer has its outcome.
            self._close(request)
            self.metrics.count_response(
                request.class_name, 200 if outcome.status == "success" else 502
            )
            if outcome.status != "success":
                self._record_cut_answer(request, attempt, outcome)
        attempt.abort_response()

    def _record_cut_answer(
        self, request: ClientRequest, attempt: Attempt, outcome: Outcome
    ) -> None:
        """Count and log an answer that its client gets incomplete."""
        self.metrics.cut_answers[outcome.status] += 1
        log.info(
            "answer to request %s from %s was cut off after %d bytes: %s (%s)",
            request.txn.decode(),
            attempt.server.name,
            attempt.streamed_bytes,
            outcome.status,
            attempt.cause,
        )

    def on_body_consumed(self, request: ClientRequest) -> None:
        """See AttemptOwner."""
        self._decide(request, lambda: self._balancer.on_body_consumed(now_ms(), request.id))

    def on_response_started(self, attempt: Attempt, response: Response, cache_result: int) -> bool:
        """See AttemptOwner. Reports a success to the balancer and ends the other attempts."""
        request = attempt.request
        if not request.open or self._requests.pop(request.id, None) is None:
            return False
        self._streams[request.id] = request
        if request.backstop is not None:
            request.backstop.cancel()
        winner = 0
        for n in range(self._tries.get(request.id, 0)):
            if self._running.get((request.id, n)) is attempt:
                winner = n
            else:
                self._end_attempt((request.id, n))
        request.response.set_result(response)
        elapsed_ms = attempt.elapsed_ms
        self._decide(
            None,
            lambda: self._balancer.on_outcome(
                now_ms(),
                request.id,
                winner,
                True,
                "success",
                attempt.server.name,
                elapsed_ms,
                cache_result,
            ),
        )
        return True

    def _report_outcome(
        self, request: ClientRequest, n: int, name: str, elapsed_ms: float, outcome: Outcome
    ) -> None:
        if outcome.status == "success":
            self._respond(request, Response(200, outcome.body))
        finished = request.id not in self._requests
        self._decide(
            None if finished else request,
            lambda: self._balancer.on_outcome(
                now_ms(),
                request.id,
                n,
                finished,
                outcome.status,
                name,
                elapsed_ms,
                outcome.cache_result,
            ),
        )
