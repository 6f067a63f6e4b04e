"""Clients as the brief describes them: open arrivals, kept connections, retries by class, and some that are rude.

A client asks with a new id each time, keeps its connections, and opens more when all are busy. It repeats a `safe`
request after any failure, a `keyed` one likewise within its window, and others only after a refusal or when the node
could not be reached. Runs on both sides of the seam.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field, replace
from itertools import accumulate
from typing import Any, Optional

import h11

from corkshift.seam import Address, now_ms
from testbed.systems.http import Connection, Ended, Message, open_connection

ANSWER_GRACE_MS = 120.0  # see `Clients.slack_ms`
# What stands before an end; less than a kernel's buffer, or the end could not come while nobody reads.
PARTIAL_REQUESTS = (
    b"\r\n",
    b"GET /api/k1 HTT",
    b"GET /api/k1 HTTP/1.1\r\nHost: x\r\nX: " + b"x" * 9_000,
    b"\r\n" * 20_000,
)
BAD_CLIENT_WAIT_S = 3.2  # a bad client is owed an error or a close within 3 s


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One request class, in the settings' terms."""

    name: str
    target_ms: float
    deadline_ms: float
    idempotency: str
    window_ms: float
    share: float
    method: str
    worth: float = 3.0


CLASSES = (
    RequestClass("menu-read", 750.0, 2500.0, "safe", 0.0, 0.86, "GET"),
    RequestClass("cart-update", 800.0, 2000.0, "keyed", 4000.0, 0.05, "PUT"),
    RequestClass("order-place", 1200.0, 2500.0, "keyed", 2500.0, 0.04, "PUT"),
    RequestClass("stall-note", 900.0, 2000.0, "unsafe", 0.0, 0.05, "PUT"),
)

SITE_VALUES = {"menu-read": 3.0, "cart-update": 5.0, "order-place": 8.0, "stall-note": 3.0}
SITE_CLASSES = tuple(
    replace(kind, worth=SITE_VALUES[kind.name]) for kind in CLASSES
)  # with what the brief's table says they are worth


def settings(
    classes: tuple[RequestClass, ...] = CLASSES, poll_within_ms: float = 2_000.0
) -> dict[str, Any]:
    """The settings object that a node gets for these classes."""
    return {
        "services": [
            {
                "name": c.name,
                "promiseMs": c.target_ms,
                "deadlineMs": c.deadline_ms,
                "idempotency": c.idempotency,
                "group": "all" if c.idempotency == "keyed" else "",
                "windowMs": c.window_ms,
                "worth": c.worth,
            }
            for c in classes
        ],
        "discovery": "subscribe",
        "granularityMs": 1.0,
        "weights": "rough",
        "contract": {
            "mustAskInMs": poll_within_ms,
            "stopSendingWithinMs": 250.0,
            "coldFrom": 0.12,
            "coldMs": 24_000.0,
        },
        "allowed": {
            "mostTries": 3,
            "retryAfter": True,
            "maxRetryAfterMs": 600.0,
            "mayCancel": True,
            "dialTimeoutMs": 250.0,
            "connIdleMs": 10_000.0,
            "maxOpen": 2_000,
        },
    }


def peer_config(
    settings: dict[str, Any], slot: int, peers: list[str], listen: str = ""
) -> dict[str, object]:
    """What a configuration has where nodes may talk to one another; the settings are changed to say so. listen: if not as peers have it."""
    settings |= {
        "slotNo": slot,
        "balancers": len(peers),
        "tier": 0,
        "allowed": {**settings["allowed"], "peers": True},
    }
    return {"peer_listen": listen or peers[slot], "peers": peers}


@dataclass(eq=False, slots=True)
class ClientRequest:
    """One request as a client sees it."""

    txn: str
    request_class: RequestClass
    key: str
    idempotency_key: str
    node: str
    body: bytes
    sent_ms: float = 0.0
    first_on_connection: bool = False  # on its connection
    client_wait_ms: float = 0.0  # how long its client waits, from when it was sent


class ClientObserver:
    """What clients report; the rules are one."""

    def request_sent(self, ask: ClientRequest) -> None:
        """A request's last byte is written."""

    def answer_received(self, ask: ClientRequest, answer: Message) -> None:
        """A whole answer has come."""

    def client_left(self, ask: ClientRequest) -> None:
        """The client has gone away before its answer."""

    def no_answer(self, ask: ClientRequest, how: str) -> bool:
        """The connection ended, or the time did, with no answer. Whether it may be sent once more on a new connection."""
        return False

    def unsolicited_input(self, node: str) -> None:
        """Something came on a connection on which nothing was asked."""

    def bad_client_result(self, node: str, name: str, status: int, waited_ms: float) -> None:
        """How a bad client was met: its answer's status, 0 for a close, -1 for neither."""


@dataclass(slots=True)
class ClientCounts:
    """What the clients saw, by kind of end."""

    asked: int = 0
    served: int = 0
    in_time: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    left: int = 0
    first_attempts: int = 0
    served_first_attempts: int = 0  # first tries that they or a retry served in time
    by_status: Counter[int] = field(default_factory=Counter)


class Clients:
    """All clients of one installation, behind a front that deals connections out to its nodes."""

    def __init__(
        self,
        nodes: dict[str, Address],
        observer: ClientObserver,
        seed: int | str,
        keys: int,
        rate: float,
        write_share: Optional[float] = None,
        classes: tuple[RequestClass, ...] = CLASSES,
    ) -> None:
        self.nodes = nodes
        self.totals = ClientCounts()
        self.rate = rate
        self.left_share = 0.03  # of the requests: their clients leave before the answer,
        self.leave_ms = 60.0  # after up to so long
        self.leave_abnormally = (
            False  # some by a reset, and some behind the beginning of a further request
        )
        self.leave_together_ms = (
            0.0  # over this: all that are to leave do so at the next multiple of it
        )
        self.answer_grace_ms = ANSWER_GRACE_MS  # past its deadline an answer is awaited for this long before it is missing
        self.max_active = 10_000  # requests out at once; beyond them clients wait to ask
        self.on_first_attempt: Callable[[RequestClass, str], int] = lambda kind, key: (
            0
        )  # told of each request that is first asked for,
        self.on_served: Callable[[int], None] = lambda number: (
            None
        )  # and of those served in time at last, by what it returned
        self.is_down: Callable[[str], bool] = lambda node: (
            False
        )  # whether the front has noticed that a node is dead
        self._observer = observer
        self._random = random.Random(f"clients/{seed}")
        self._keys = [f"k{n}" for n in range(keys)]
        self._cumulative = list(accumulate(1.0 / (n + 1) ** 0.9 for n in range(keys)))
        self._classes = classes
        writes = sum(c.share for c in classes if c.method == "PUT")
        share = writes if write_share is None else write_share
        self._shares = [
            c.share * share / writes if c.method == "PUT" else 1.0 - share for c in classes
        ]
        self._idle: dict[str, list[Connection]] = {}
        self._number = 0
        self._stopped = False
        self._tasks: set[asyncio.Task[None]] = set()

    def keys(self) -> list[str]:
        """All keys, the most popular first."""
        return self._keys

    async def run(self, seconds: float) -> None:
        """Ask for so long, and wait for what is out."""
        end = now_ms() + seconds * 1000.0
        while not self._stopped:
            await asyncio.sleep(self._random.expovariate(self.rate))
            if now_ms() >= end:
                break
            if len(self._tasks) < self.max_active:
                self._spawn(self._first_attempt())
        while self._tasks:
            await asyncio.wait(self._tasks)

    def stop(self) -> None:
        """Ask nothing new."""
        self._stopped = True

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for connection in idle:
                connection.stream.close()
        self._idle.clear()

    def _spawn(self, what: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _draw_request(self) -> tuple[RequestClass, str]:
        kind = self._random.choices(self._classes, self._shares)[0]
        key = self._random.choices(self._keys, cum_weights=self._cumulative)[0]
        return kind, key

    async def _first_attempt(self) -> None:
        kind, key = self._draw_request()
        rng = self._random
        self._number += 1
        token = f"t{self._number}" if kind.idempotency == "keyed" else ""
        body = rng.randbytes(rng.choice((0, 40, 400, 5_000))) if kind.method == "PUT" else b""
        self.totals.first_attempts += 1
        number = self.on_first_attempt(kind, key)
        begun = now_ms()
        for attempt in range(3):
            budget = kind.deadline_ms - (now_ms() - begun)
            if budget < 50.0 or (
                attempt and kind.idempotency == "keyed" and now_ms() - begun > kind.window_ms
            ):
                return
            status, wait_ms = await self._attempt(kind, key, token, body, budget, attempt > 0)
            if status == 200:
                good = now_ms() - begun <= kind.target_ms
                self.totals.served_first_attempts += good
                if good:
                    self.on_served(number)
                return
            again = (
                status in (429, 503)
                or (status != -2 and kind.idempotency != "unsafe")
                or status == -3
            )
            if not again or rng.random() < 0.3:
                return
            await asyncio.sleep((wait_ms or rng.uniform(30.0, 240.0)) / 1000.0)

    async def _connect(self, node: str) -> Connection:
        """An idle connection, or a new one."""
        idle = self._idle.setdefault(node, [])
        while idle:
            connection = idle.pop()
            if connection.has_no_unsolicited_input:
                return connection
            if connection.stream.has_input:
                self._observer.unsolicited_input(node)
            connection.stream.close()
        return await open_connection(self.nodes[node], 1.0)

    async def _attempt(
        self, kind: RequestClass, key: str, token: str, body: bytes, budget_ms: float, again: bool
    ) -> tuple[int, float]:
        """One request. Its status (0: the connection ended, -1: no answer in time, -2: left, -3: not reached), and how long to wait."""
        rng = self._random
        live = [name for name in self.nodes if not self.is_down(name)] or list(self.nodes)
        node = rng.choice(live)
        leaves = rng.random() < self.left_share
        self._number += 1
        ask = ClientRequest(f"x{self._number}", kind, key, token, node, body)
        for tries in range(2):
            try:
                connection = (
                    await self._connect(node)
                    if not tries
                    else await open_connection(self.nodes[node], 1.0)
                )
            except OSError:
                return -3, 0.0
            status, wait_ms = await self._exchange(connection, ask, budget_ms, again, leaves)
            if status != -4:
                return status, wait_ms
        return 0, 0.0

    async def _exchange(
        self,
        connection: Connection,
        ask: ClientRequest,
        budget_ms: float,
        again: bool,
        leaves: bool,
    ) -> tuple[int, float]:
        headers = {
            "X-Txn": ask.txn,
            "X-Lane": ask.request_class.name,
            "X-Org": "stalls",
            "X-Remaining-Ms": str(int(budget_ms)),
        }
        if again:
            headers["X-Resent"] = "1"
        if ask.idempotency_key:
            headers["Idempotency-Key"] = ask.idempotency_key
        ask.first_on_connection = connection.exchanges == 0
        ask.client_wait_ms = budget_ms
        figures, observer = self.totals, self._observer
        figures.asked += 1
        try:
            async with asyncio.timeout(budget_ms / 1000.0):
                await connection.send_request(
                    ask.request_class.method, f"/api/{ask.key}", headers, ask.body
                )
        except OSError:
            connection.stream.abort()
            figures.failed += 1
            return -3, 0.0
        ask.sent_ms = now_ms()
        observer.request_sent(ask)
        try:
            async with asyncio.timeout(
                self._leave_after_s() if leaves else (budget_ms + self.answer_grace_ms) / 1000.0
            ):
                answer = await connection.read_message()
        except TimeoutError:
            if leaves and self.leave_abnormally:
                await self._leave_abnormally(connection)
            connection.stream.close()
            if leaves:
                figures.left += 1
                observer.client_left(ask)
                return -2, 0.0
            figures.unanswered += 1
            observer.no_answer(ask, "no answer")
            return -1, 0.0
        except (OSError, Ended, h11.RemoteProtocolError) as error:
            connection.stream.abort()
            if observer.no_answer(ask, type(error).__name__):
                return -4, 0.0
            figures.failed += 1
            return 0, 0.0
        observer.answer_received(ask, answer)
        figures.by_status[answer.status] += 1
        if answer.status == 200:
            figures.served += 1
            figures.in_time += now_ms() - ask.sent_ms <= ask.request_class.target_ms
        elif answer.status in (429, 503):
            figures.refused += 1
        else:
            figures.failed += 1
        if connection.must_close or answer.header(b"connection").lower() == "close":
            connection.stream.close()
        else:
            connection.start_next_exchange()
            self._idle.setdefault(ask.node, []).append(connection)
        wait = answer.header(b"retry-after")
        return answer.status, float(wait) * 1000.0 if wait else 0.0

    # -- clients that leave --------------------------------------------------------------

    def _leave_after_s(self) -> float:
        """After how long a client leaves, in s."""
        after_ms = self._random.uniform(0.0, self.leave_ms)
        if self.leave_together_ms > 0.0:
            now = now_ms()
            after_ms = (
                (now + after_ms) // self.leave_together_ms * self.leave_together_ms
                + self.leave_together_ms
                - now
            )
        return after_ms / 1000.0

    async def _leave_abnormally(self, connection: Connection) -> None:
        """One in three resets its connection, and one in three leaves bytes before its end."""
        how = self._number % 3
        if how == 0:
            connection.stream.abort()
        elif how == 1:
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(0.01):
                    await connection.stream.write(
                        PARTIAL_REQUESTS[self._number // 3 % len(PARTIAL_REQUESTS)]
                    )

    # -- bad clients ---------------------------------------------------------------------

    def send_bad_request(self, node: str, name: str, data: bytes) -> None:
        """Send something bad on a new connection; an error or a close is owed."""
        self._spawn(self._bad_client(node, name, data))

    async def _bad_client(self, node: str, name: str, data: bytes) -> None:
        begun = now_ms()
        try:
            connection = await open_connection(self.nodes[node], 1.0)
        except OSError:
            return
        status = -1
        try:
            async with asyncio.timeout(BAD_CLIENT_WAIT_S):
                if data:
                    await connection.stream.write(data)
                got = await connection.stream.read()
                status = int(got[9:12]) if got.startswith(b"HTTP/1.1 ") else 0
        except TimeoutError:
            pass
        except OSError:
            status = 0
        connection.stream.abort()
        self._observer.bad_client_result(node, name, status, now_ms() - begun)


_VALID_HEAD = (
    b"GET /api/k1 HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: menu-read\r\nX-Remaining-Ms: 2000\r\n"
)
BAD_REQUESTS = {
    "noise": bytes(range(128, 256)) * 2 + b"\r\n\r\n",
    "silence": b"",
    "half a head": b"GET /api/k1 HTTP/1.1\r\nX-Txn: half\r\n",
    "both lengths": b"PUT /api/k1 HTTP/1.1\r\nHost: x\r\nX-Txn: both\r\nX-Lane: order-place\r\n"
    b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    + _VALID_HEAD % b"hidden"
    + b"\r\n",
    "no id": b"GET /api/k1 HTTP/1.1\r\nHost: x\r\nX-Lane: menu-read\r\n\r\n",
    "unknown class": b"GET /api/k1 HTTP/1.1\r\nHost: x\r\nX-Txn: lane\r\nX-Lane: gold\r\n\r\n",
    "huge": b"PUT /api/k1 HTTP/1.1\r\nHost: x\r\nX-Txn: huge\r\nX-Lane: order-place\r\nContent-Length: 60000000\r\n\r\n",
    "half a body": b"PUT /api/k1 HTTP/1.1\r\nHost: x\r\nX-Txn: body\r\nX-Lane: order-place\r\nContent-Length: 50\r\n\r\nhalf",
}
