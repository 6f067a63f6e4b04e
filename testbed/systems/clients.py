"""Emulated clients: open arrivals, kept-alive connections, retries by class, and bad clients.

Each attempt has a new id. Clients keep their connections and open more when all are busy. They
retry a `safe` request after any failure, a `keyed` one likewise within its window, and others only
after a refusal or when the node could not be reached. They run on real sockets and on virtual ones.
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

ANSWER_GRACE_MS = 120.0  # default of `Clients.answer_grace_ms`
# Bytes that clients write before they close. They fit into a kernel's buffer, since the close would
# otherwise not arrive while nobody reads.
PARTIAL_REQUESTS = (
    b"\r\n",
    b"GET /api/k1 HTT",
    b"GET /api/k1 HTTP/1.1\r\nHost: x\r\nX: " + b"x" * 9_000,
    b"\r\n" * 20_000,
)
# A node must answer a bad client with an error or close its connection within 3 s.
BAD_CLIENT_WAIT_S = 3.2


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class with its settings, its share of the requests and its method."""

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
# The same classes with different values, for `worths = "site"`.
SITE_CLASSES = tuple(
    replace(request_class, worth=SITE_VALUES[request_class.name]) for request_class in CLASSES
)


def settings(
    classes: tuple[RequestClass, ...] = CLASSES, poll_within_ms: float = 2_000.0
) -> dict[str, Any]:
    """Return the settings that a node gets for these classes."""
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
    """Return the keys of a node's configuration for peers, and change the settings accordingly.

    listen: the node's own peer address; by default its entry in peers.
    """
    settings |= {
        "slotNo": slot,
        "balancers": len(peers),
        "tier": 0,
        "allowed": {**settings["allowed"], "peers": True},
    }
    return {"peer_listen": listen or peers[slot], "peers": peers}


@dataclass(eq=False, slots=True)
class ClientRequest:
    """One attempt of a request as its client sees it; `client_wait_ms` counts from sending."""

    txn: str
    request_class: RequestClass
    key: str
    idempotency_key: str
    node: str
    body: bytes
    sent_ms: float = 0.0
    first_on_connection: bool = False
    client_wait_ms: float = 0.0


class ClientObserver:
    """Receives what clients report, for example for the rules of a scenario."""

    def request_sent(self, request: ClientRequest) -> None:
        """The last byte of a request was written."""

    def answer_received(self, request: ClientRequest, answer: Message) -> None:
        """A whole answer was received."""

    def client_left(self, request: ClientRequest) -> None:
        """The client has left before its answer."""

    def no_answer(self, request: ClientRequest, how: str) -> bool:
        """The connection or the client's wait ended without an answer.

        how: "no answer" when the time is up, else the name of the exception. Returns whether the
        client may send the request once more on a new connection.
        """
        return False

    def unsolicited_input(self, node: str) -> None:
        """Input arrived on an idle connection."""

    def bad_client_result(self, node: str, name: str, status: int, waited_ms: float) -> None:
        """Result of a bad client: the status of its answer, 0 for a close, -1 for neither."""


@dataclass(slots=True)
class ClientCounts:
    """Counts of what the clients saw.

    `served_first_attempts` are first attempts that they themselves or a retry served in time.
    """

    asked: int = 0
    served: int = 0
    in_time: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    left: int = 0
    first_attempts: int = 0
    served_first_attempts: int = 0
    by_status: Counter[int] = field(default_factory=Counter)


class Clients:
    """All clients of an installation, behind a front end that spreads connections over its nodes.

    left_share: share of the requests whose clients leave before the answer, within `leave_ms`.
    leave_abnormally: some of these reset the connection, and some first send the start of a further
    request. leave_together_ms: if positive, clients leave only at its next multiple.
    answer_grace_ms: how long after its deadline an answer is awaited before it counts as missing.
    max_active: the most requests at once; beyond it no new ones arrive.
    on_first_attempt: called for each first attempt. on_served: called with the value that it
    returned once that attempt or a retry is served in time.
    is_down: whether the front end has noticed that a node is dead.
    """

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
        self.left_share = 0.03
        self.leave_ms = 60.0
        self.leave_abnormally = False
        self.leave_together_ms = 0.0
        self.answer_grace_ms = ANSWER_GRACE_MS
        self.max_active = 10_000
        self.on_first_attempt: Callable[[RequestClass, str], int] = lambda request_class, key: 0
        self.on_served: Callable[[int], None] = lambda number: None
        self.is_down: Callable[[str], bool] = lambda node: False
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
        """Return all keys, the most popular first."""
        return self._keys

    async def run(self, seconds: float) -> None:
        """Send requests for a time, then wait for those that are under way."""
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
        """Send no new requests."""
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
        request_class = self._random.choices(self._classes, self._shares)[0]
        key = self._random.choices(self._keys, cum_weights=self._cumulative)[0]
        return request_class, key

    async def _first_attempt(self) -> None:
        request_class, key = self._draw_request()
        rng = self._random
        self._number += 1
        token = f"t{self._number}" if request_class.idempotency == "keyed" else ""
        body = (
            rng.randbytes(rng.choice((0, 40, 400, 5_000))) if request_class.method == "PUT" else b""
        )
        self.totals.first_attempts += 1
        number = self.on_first_attempt(request_class, key)
        started_ms = now_ms()
        for attempt in range(3):
            budget = request_class.deadline_ms - (now_ms() - started_ms)
            if budget < 50.0 or (
                attempt
                and request_class.idempotency == "keyed"
                and now_ms() - started_ms > request_class.window_ms
            ):
                return
            status, wait_ms = await self._attempt(
                request_class, key, token, body, budget, attempt > 0
            )
            if status == 200:
                in_time = now_ms() - started_ms <= request_class.target_ms
                self.totals.served_first_attempts += in_time
                if in_time:
                    self.on_served(number)
                return
            retry = (
                status in (429, 503)
                or (status != -2 and request_class.idempotency != "unsafe")
                or status == -3
            )
            if not retry or rng.random() < 0.3:
                return
            await asyncio.sleep((wait_ms or rng.uniform(30.0, 240.0)) / 1000.0)

    async def _connect(self, node: str) -> Connection:
        """Return an idle connection to a node, or a new one."""
        idle = self._idle.setdefault(node, [])
        while idle:
            connection = idle.pop()
            if connection.has_no_unsolicited_input:
                return connection
            if connection.stream.has_buffered_input:
                self._observer.unsolicited_input(node)
            connection.stream.close()
        return await open_connection(self.nodes[node], 1.0)

    async def _attempt(
        self,
        request_class: RequestClass,
        key: str,
        token: str,
        body: bytes,
        client_wait_ms: float,
        retry: bool,
    ) -> tuple[int, float]:
        """Send one attempt. Return its status and how long to wait before a retry, in ms.

        Status 0: the connection ended; -1: no answer in time; -2: the client left; -3: the node
        could not be reached.
        """
        rng = self._random
        up_nodes = [name for name in self.nodes if not self.is_down(name)] or list(self.nodes)
        node = rng.choice(up_nodes)
        leaves = rng.random() < self.left_share
        self._number += 1
        request = ClientRequest(f"x{self._number}", request_class, key, token, node, body)
        for connection_number in range(2):
            try:
                connection = (
                    await self._connect(node)
                    if not connection_number
                    else await open_connection(self.nodes[node], 1.0)
                )
            except OSError:
                return -3, 0.0
            status, wait_ms = await self._exchange(
                connection, request, client_wait_ms, retry, leaves
            )
            if status != -4:
                return status, wait_ms
        return 0, 0.0

    async def _exchange(
        self,
        connection: Connection,
        request: ClientRequest,
        client_wait_ms: float,
        retry: bool,
        leaves: bool,
    ) -> tuple[int, float]:
        headers = {
            "X-Txn": request.txn,
            "X-Lane": request.request_class.name,
            "X-Org": "stalls",
            "X-Remaining-Ms": str(int(client_wait_ms)),
        }
        if retry:
            headers["X-Resent"] = "1"
        if request.idempotency_key:
            headers["Idempotency-Key"] = request.idempotency_key
        request.first_on_connection = connection.exchanges == 0
        request.client_wait_ms = client_wait_ms
        totals, observer = self.totals, self._observer
        totals.asked += 1
        try:
            async with asyncio.timeout(client_wait_ms / 1000.0):
                await connection.send_request(
                    request.request_class.method, f"/api/{request.key}", headers, request.body
                )
        except OSError:
            connection.stream.abort()
            totals.failed += 1
            return -3, 0.0
        request.sent_ms = now_ms()
        observer.request_sent(request)
        try:
            async with asyncio.timeout(
                self._leave_after_s()
                if leaves
                else (client_wait_ms + self.answer_grace_ms) / 1000.0
            ):
                answer = await connection.read_message()
        except TimeoutError:
            if leaves and self.leave_abnormally:
                await self._leave_abnormally(connection)
            connection.stream.close()
            if leaves:
                totals.left += 1
                observer.client_left(request)
                return -2, 0.0
            totals.unanswered += 1
            observer.no_answer(request, "no answer")
            return -1, 0.0
        except (OSError, Ended, h11.RemoteProtocolError) as error:
            connection.stream.abort()
            if observer.no_answer(request, type(error).__name__):
                return -4, 0.0
            totals.failed += 1
            return 0, 0.0
        observer.answer_received(request, answer)
        totals.by_status[answer.status] += 1
        if answer.status == 200:
            totals.served += 1
            totals.in_time += now_ms() - request.sent_ms <= request.request_class.target_ms
        elif answer.status in (429, 503):
            totals.refused += 1
        else:
            totals.failed += 1
        if connection.must_close or answer.header(b"connection").lower() == "close":
            connection.stream.close()
        else:
            connection.start_next_exchange()
            self._idle.setdefault(request.node, []).append(connection)
        wait = answer.header(b"retry-after")
        return answer.status, float(wait) * 1000.0 if wait else 0.0

    # -- clients that leave --------------------------------------------------------------

    def _leave_after_s(self) -> float:
        """Draw after how long a client leaves, in s."""
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
        """Reset one connection in three, and write extra bytes on another one in three."""
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
        """Send a bad request on a new connection; the node must answer with an error or close."""
        self._spawn(self._bad_client(node, name, data))

    async def _bad_client(self, node: str, name: str, data: bytes) -> None:
        started_ms = now_ms()
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
        self._observer.bad_client_result(node, name, status, now_ms() - started_ms)


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
    "huge": b"PUT /api/k1 HTTP/1.1\r\nHost: x\r\nX-Txn: huge\r\nX-Lane: order-place\r\n"
    b"Content-Length: 60000000\r\n\r\n",
    "half a body": b"PUT /api/k1 HTTP/1.1\r\nHost: x\r\nX-Txn: body\r\nX-Lane: order-place\r\n"
    b"Content-Length: 50\r\n\r\nhalf",
}
