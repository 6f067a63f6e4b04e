"""Planted defects of the node, patched in one at a time, to test that the rules find them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

from corkshift import seam, upstream
from corkshift.address_book import AddressBook
from corkshift.budget import BodyBudget
from corkshift.client_connection import ClientConnection
from corkshift.discovery import Discovery
from corkshift.frontend import Frontend
from corkshift.messages import ClientRequest, Response
from corkshift.node import Node
from corkshift.sources import message, resolver
from corkshift.stream import Stream
from corkshift.upstream import Attempt, NotSent, Outcome, Pool
from forkweir.choice import Balancer
from forkweir.fleet import Fleet
from forkweir.known.membership import Membership
from forkweir.limits.slow_start import SlowStart, TokenBucket
from forkweir.send_guard import Denial, SendGuard, SendState

# Owner, attribute and value of a patch.
Patch = tuple[Any, str, Any]
# By name: description, and the function that returns the patches.
DEFECTS: dict[str, tuple[str, Callable[[], list[Patch]]]] = {}


def defect(description: str) -> Callable[[Callable[[], list[Patch]]], Callable[[], list[Patch]]]:
    """Register a defect under its function's name, with hyphens for underscores."""

    def register(function: Callable[[], list[Patch]]) -> Callable[[], list[Patch]]:
        DEFECTS[function.__name__.replace("_", "-")] = (description, function)
        return function

    return register


def _ignores_bounds(self: SendGuard, state: SendState, now: float) -> Denial | None:
    """Replace `SendGuard.check`; only checks that the client is present."""
    return None if state.client_waiting else Denial.CLIENT_GONE


@contextmanager
def patched(name: str) -> Iterator[None]:
    """Plant a defect during a `with` block, or none for an empty name.

    Raises KeyError for an unknown name.
    """
    patches = DEFECTS[name][1]() if name else []
    before = [(owner, key, getattr(owner, key)) for owner, key, _ in patches]
    for owner, key, value in patches:
        setattr(owner, key, value)
    try:
        yield
    finally:
        for owner, key, value in before:
            setattr(owner, key, value)


@defect("a request that may have run is repeated, whatever its class")
def repeats_unsafe_work() -> list[Patch]:
    return [(Balancer, "_may_retry", lambda self, request, target, now: True)]


@defect("a request that may have run is refused as if it had not")
def refuses_what_may_have_run() -> list[Patch]:
    def end(self: Any, request: Any, now: float) -> Any:
        del self.held[request.id]
        return ("refuse", request.id, self.settings.backoff_max_ms, "tries")

    return [(Balancer, "_give_up", end)]


@defect("a drain or a removal in the list is not applied")
def ignores_a_drain() -> list[Patch]:
    take = Fleet.apply_list

    def without_drains(
        self: Any, now: float, entries: Any, full: bool, last_of_series: bool = True
    ) -> None:
        take(self, now, [entry for entry in entries if entry.state == "in"], False, last_of_series)

    return [
        (Fleet, "apply_list", without_drains),
        (AddressBook, "_mark_leaving", lambda self, name, gone: None),
        (SendGuard, "check", _ignores_bounds),
    ]


@defect("a list line that is corrupt in part is discarded whole")
def forgets_a_spoilt_line() -> list[Patch]:
    return [(AddressBook, "apply_unconfirmed", lambda self, claims, generation: None)]


@defect("a watch that lost a line is closed before another has received one")
def hangs_up_before_another_answers() -> list[Patch]:
    def fade(self: Any, watch: Any) -> None:
        self._calls.pop(watch).cancel()

    return [(Discovery, "_retire", fade)]


@defect(
    "the end of a client reaches its request one loop iteration late, and a request that waited "
    "unread counts as new, also where its client's end may be unread"
)
def hears_of_an_end_late() -> list[Patch]:
    def noticed(self: Any) -> None:
        if self._stream.ended:
            asyncio.get_running_loop().call_soon(self._task.cancel)

    # Each guard alone is enough: a request is checked again when it is admitted and before it is
    # sent, if it waited unread or if its client's end may be unread.
    return [
        (ClientConnection, "_on_input", noticed),
        (ClientConnection, "_waited_ms", lambda self: 0.0),
        (Stream, "end_may_be_unread", property(lambda self: self.last_read_full)),
    ]


@defect("a request that waited is not checked again before it is sent")
def never_looks_again() -> list[Patch]:
    return [(ClientConnection, "check_departure", lambda self: None)]


@defect("the grace after a drain is not checked before the last byte")
def sends_after_the_grace() -> list[Patch]:
    return [
        (Fleet, "usable", lambda self, member, now: True),
        (SendGuard, "check", _ignores_bounds),
    ]


@defect("a dial that fails leaves its socket open")
def leaks_a_socket_on_a_failed_dial() -> list[Patch]:
    from corkshift import seam

    async def dial(self: Any, server: Any) -> Stream:
        if self._open >= self._limit:
            raise NotSent("full")
        self._open += 1
        sock = seam.tcp_socket()
        try:
            seam.limit_buffers(sock, 65_536)
            async with asyncio.timeout(self._dial_s):
                await seam.connect(sock, server.address)
            return Stream(sock)
        except BaseException:
            self._open -= 1
            raise

    return [(Pool, "_dial", dial)]


@defect("the close of a dropped connection is counted twice")
def counts_a_connection_twice() -> list[Patch]:
    def drop(self: Any, stream: Stream) -> None:
        self._open -= 1
        stream.abort()

    return [(Pool, "drop", drop)]


@defect("an attempt goes on after its request is over")
def sends_after_a_cancel() -> list[Patch]:
    def depart(self: Any, call: ClientRequest) -> None:
        return None

    return [(Node, "cancel_request", depart)]


@defect("running attempts are not ended with their request")
def forgets_what_is_out() -> list[Patch]:
    return [(Node, "_end_attempt", lambda self, which: None)]


@defect("the timer of a request's deadline is not cancelled")
def forgets_a_timer() -> list[Patch]:
    def close(self: Any, call: ClientRequest) -> None:
        for n in range(self._tries.pop(call.id, 0)):
            self._end_attempt((call.id, n))

    return [(Node, "_close", close)]


@defect("the memory of a body is not released")
def keeps_a_bodys_room() -> list[Patch]:
    return [(BodyBudget, "release", lambda self, held: None)]


@defect("an answer is written twice")
def answers_twice() -> list[Patch]:
    send = ClientConnection._send

    async def twice(self: Any, parser: Any, answer: Response) -> bool:
        keep = await send(self, parser, answer)
        if keep and answer.status == 503:
            await send(self, parser, answer)
        return keep

    return [(ClientConnection, "_send", twice)]


@defect("a broken connection is treated as one on which nothing was sent")
def takes_a_reset_for_no_connection() -> list[Patch]:
    run = Attempt.run

    async def wrong(self: Any) -> Outcome:
        outcome = await run(self)
        return (
            Outcome("unreachable")
            if outcome.status in ("broken", "timed_out", "spoilt")
            else outcome
        )

    return [(Attempt, "run", wrong)]


@defect("surplus bytes after an answer stay on a connection that is kept")
def keeps_a_dirty_connection() -> list[Patch]:
    def release(self: Any) -> None:
        if self._stream is not None and not self._stream.closed:
            self._pool.keep(self.server, self._stream)

    return [
        (Attempt, "_release", release),
        (Stream, "open_without_input", property(lambda self: not (self.closed or self.ended))),
        (upstream, "MIN_IDLE_MS", 0.0),
    ]


@defect("a body that is too short is served as complete")
def serves_a_short_answer() -> list[Patch]:
    receive = Attempt._receive

    async def short(self: Any, early: bool) -> Outcome:
        try:
            return await receive(self, early)
        except (TimeoutError, asyncio.CancelledError):
            raise
        except Exception:
            return Outcome("success", 1, b"")

    return [(Attempt, "_receive", short)]


@defect("a planned restart closes connections at once")
def drops_what_is_held_at_a_drain() -> list[Patch]:
    async def shut_down(self: Any) -> None:
        self.lifecycle.end(seam.now_ms())
        self._listener.close()
        for connection in list(self._connections):
            connection.abort()

    return [(Frontend, "shut_down", shut_down)]


@defect("an idle connection is never closed")
def never_sweeps() -> list[Patch]:
    return [(Frontend, "_sweep", lambda self: None)]


@defect("an attempt that has released its connection may still abort it")
def aborts_a_kept_connection() -> list[Patch]:
    release = Attempt._release

    def remembering(self: Any) -> None:
        stream = self._stream
        release(self)
        self._stream = stream

    return [(Attempt, "_release", remembering)]


@defect("a request has no deadline of the node's own")
def has_no_deadline() -> list[Patch]:
    start = Node._start

    def forever(self: Any, call_id: int, name: str, within_ms: float) -> None:
        call = self._requests.get(call_id)
        if call is not None:
            call.deadline_ms += 60_000.0
            if call.backstop is not None:
                call.backstop.cancel()
        start(self, call_id, name, 60_000.0)

    return [(Node, "_start", forever)]


@defect(
    "a server that starts cold is treated as warm and gets all writes and reads of its neighbours"
)
def pushes_a_cold_server_over() -> list[Patch]:
    def pick(self: Any, request: Any, now: float) -> Any:
        fleet = self.fleet
        if not self._ensure_placement(now):
            return None
        cold = [m for m in fleet.home_candidates if m.present and fleet.is_cold(m, now)]
        return cold[0] if cold else fleet.preference_list(self.line.range_of(request.position))[0]

    return [(Balancer, "_select_server", pick)]


@defect("retries and hedged requests neither check nor use up the allowance of a cold server")
def forgets_the_allowance_of_a_repeat() -> list[Patch]:
    has_capacity, send = Balancer._has_capacity, Balancer._send

    def has_room(self: Any, member: Any, request: Any, now: float) -> bool:
        return request.attempt_count > 0 or has_capacity(self, member, request, now)

    def sends(self: Any, request: Any, member: Any, now: float) -> Any:
        bucket = member.token_bucket
        if request.attempt_count:
            member.token_bucket = None
        try:
            return send(self, request, member, now)
        finally:
            member.token_bucket = bucket

    return [(Balancer, "_has_capacity", has_room), (Balancer, "_send", sends)]


@defect("after a node has stalled, the requests it held go to a cold server as if it were warm")
def lets_out_what_a_pause_held() -> list[Patch]:
    has_capacity = Balancer._has_capacity

    def has_room(self: Any, member: Any, request: Any, now: float) -> bool:
        bucket = member.token_bucket
        if bucket is not None and now - bucket.at > 150.0:
            # 2,000 ms is the window of the rule on cold servers.
            bucket.level += self.slow_start.reference(self.fleet.total_weight) * 2_000.0
        return has_capacity(self, member, request, now)

    def has(
        self: SlowStart, bucket: TokenBucket, rate: float, cost: float, value: float, now: float
    ) -> bool:
        bucket.level += rate * (now - bucket.at)
        bucket.at = now
        return bucket.level >= cost

    return [(Balancer, "_has_capacity", has_room), (SlowStart, "may_send", has)]


@defect("a source that names no server any more empties the set")
def believes_an_emptied_source() -> list[Patch]:
    def remove_missing(
        self: Any, source: str, view: Any, missing: Any, moved: Any, now: float
    ) -> None:
        for address in missing:
            self._add_tombstone(view, address, now)

    return [(Membership, "_remove_missing", remove_missing)]


@defect("a DNS answer is accepted whichever query it is for")
def takes_a_forged_answer() -> list[Patch]:
    def read(wire: bytes, asked: Any, over_tcp: bool = False) -> Any:
        return message.parse_answer(asked.id.to_bytes(2, "big") + wire[2:], asked, over_tcp)

    return [(resolver, "parse_answer", read)]


@defect("a box that one source reports as draining stays in service while another names it")
def asks_dns_about_a_drain() -> list[Patch]:
    box = Membership._box

    def without_drains(
        self: Any, address: Any, names: Any, now: float, last: bool, taken: Any
    ) -> Any:
        found = box(self, address, names, now, last, taken)
        if (
            found is not None
            and found.server.state == "draining"
            and any(how == "in" for _, how in found.states)
        ):
            return replace(found, server=replace(found.server, state="in"))
        return found

    return [(Membership, "_box", without_drains)]
