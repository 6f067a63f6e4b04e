"""Emulated cache boxes, order book and discovery.

They run on real loopback sockets and on the virtual network. They follow the documented protocols
and use nothing of the node's internals. Each reports what it sees to a `ServerObserver`.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Optional

from corkshift.seam import Address, now_ms
from corkshift.stream import Stream
from testbed.systems.http import (
    Connection,
    Ended,
    Message,
    Server,
    cancel_on_disconnect,
    open_connection,
)

TURNED_AWAY_HEADERS = {"X-Turned-Away": "1"}
CORRUPT_ANSWERS = ("noise", "head", "short", "long", "twice", "behind", "notices")
HEARTBEAT_S = 2.0


class ServerObserver:
    """Receives what the emulated systems report, for example for the rules of a scenario."""

    def request_received(self, box: CacheBox, txn: str, method: str, work_ms: float) -> None:
        """A box has received a whole request and starts to work on it."""

    def request_turned_away(self, box: CacheBox, txn: str) -> None:
        """A box has answered that the request never ran."""

    def answer_made(self, box: CacheBox, txn: str, body: bytes) -> None:
        """A box has produced the answer to a request."""

    def origin_fetched(self, box: str, key: str) -> None:
        """A box sends the order book a request for a key."""

    def list_sent(
        self, node: str, entries: list[dict[str, object]], full: bool, sound: bool = True
    ) -> None:
        """Discovery has written entries to a node.

        sound: the line is well-formed, and so were all earlier lines of this watch.
        """


def majority_box_share(reads: Mapping[str, Mapping[str, int]]) -> float:
    """Return the share of reads that went to the box with the most reads of their key.

    reads: the number of reads by key and box. Keys that were read once are left out.
    """
    counts = [boxes.values() for boxes in reads.values() if sum(boxes.values()) > 1]
    return sum(map(max, counts)) / max(1, sum(map(sum, counts)))


@dataclass(slots=True)
class BoxSpec:
    """The size of a cache box.

    speed: work done per core and ms, relative to the reference core in whose ms work is measured.
    """

    cores: int = 2
    speed: float = 1.0
    queue_length: int = 24
    cache_capacity: int = 400  # keys
    cold_share: float = 0.12
    cold_ms: float = 24_000.0
    # How long a repeated write with the same idempotency key is answered without a new write.
    deduplication_ms: float = 4_000.0


def request_work_ms(key: str, method: str) -> float:
    """Return the work of a request in ms of a reference core, the same at every box."""
    return (12.0 if method == "GET" else 18.0) * (0.6 + 0.8 * random.Random(key).random())


class CacheBox(Server):
    """A read-through cache in front of the order book, with a bounded number of active requests."""

    def __init__(
        self,
        name: str,
        address: Address,
        book: Address,
        spec: BoxSpec,
        observer: ServerObserver,
        cold: bool,
    ) -> None:
        super().__init__(address)
        self.name = name
        self.spec = spec
        self.hits = self.misses = self.turned_away = 0
        # Faults, none of them active at first.
        self.slow = 1.0
        self.hang: Optional[asyncio.Event] = None
        self.corruptions: list[str] = []  # of the next answers, from CORRUPT_ANSWERS
        self.errors_left = 0  # so many of the next answers are 500
        self.full = False
        self.draining = False
        self._book = book
        self._observer = observer
        self._cold_since_ms = now_ms() if cold else 0.0
        self._core_slots = asyncio.Semaphore(spec.cores)
        self._active = 0
        self._values: OrderedDict[str, bytes] = OrderedDict()
        self._fetches: dict[str, asyncio.Future[bytes]] = {}
        # Time and body of the answer, by idempotency key, oldest first.
        self._completed_writes: dict[str, tuple[float, bytes]] = {}
        self._book_connections: list[Connection] = []

    @property
    def started_ms(self) -> float:
        """When it started cold, as its discovery entry has it; 0 if it is warm."""
        return self._cold_since_ms

    def speed_share(self) -> float:
        """Return its current speed as a share of its full speed."""
        return self.speed_share_at(now_ms())

    def speed_share_at(self, at_ms: float) -> float:
        """Return its speed at a time as a share of its full speed; it grows linearly when cold."""
        age = at_ms - self._cold_since_ms
        if not self._cold_since_ms or age >= self.spec.cold_ms:
            return 1.0
        return self.spec.cold_share + (1.0 - self.spec.cold_share) * age / self.spec.cold_ms

    @property
    def full_speed(self) -> float:
        """Work in ms that it does per ms when warm."""
        return self.spec.cores * self.spec.speed

    def warm(self, keys: list[str]) -> None:
        """Put these keys into the cache."""
        for key in keys[: self.spec.cache_capacity]:
            self._values[key] = b"v0"

    def invalidate(self, key: str) -> None:
        """Remove a key from the cache, since it was written."""
        self._values.pop(key, None)

    async def serve(self, connection: Connection, request: Message) -> None:
        """Answer a read from the cache or the order book, and pass a write on."""
        txn = request.header(b"x-txn")
        key = request.target.partition("?")[0].rpartition("/")[2]
        if not txn:
            await connection.send_response(404)
            return
        if self.hang is not None:
            await cancel_on_disconnect(
                connection.stream,
                asyncio.get_running_loop().create_task(_wait_for_event(self.hang)),
            )
        work = request_work_ms(key, request.method)
        if self.draining or self.full or self._active >= self.spec.cores + self.spec.queue_length:
            self.turned_away += 1
            self._observer.request_received(self, txn, request.method, work)
            self._observer.request_turned_away(self, txn)
            await connection.send_response(503, b"", TURNED_AWAY_HEADERS)
            return
        self._observer.request_received(self, txn, request.method, work)
        self._active += 1
        try:
            job = asyncio.get_running_loop().create_task(self._execute(request, key, work))
            status, found, body = await cancel_on_disconnect(connection.stream, job)
        finally:
            self._active -= 1
        if self.errors_left:
            self.errors_left -= 1
            await connection.send_response(500, b"broken")
            return
        if status == 200:
            body = b"%s %s %s\n" % (self.name.encode(), txn.encode(), body)
            self._observer.answer_made(self, txn, body)
        if self.corruptions and status == 200:
            await self._send_corrupt(self.corruptions.pop(0), connection, body)
            return
        await connection.send_response(status, body, {"X-Found": found} if found else {})

    async def _execute(self, request: Message, key: str, work: float) -> tuple[int, str, bytes]:
        async with self._core_slots:
            await asyncio.sleep(work * self.slow / (self.spec.speed * self.speed_share()) / 1000.0)
        if request.method == "PUT":
            return await self._write(request, key)
        value = self._values.get(key)
        if value is not None:
            self._values.move_to_end(key)
            self.hits += 1
            return 200, "hit", value
        self.misses += 1
        fetch = self._fetches.get(key)
        found = "miss" if fetch is None else "pending"
        if fetch is None:
            fetch = asyncio.get_running_loop().create_task(self._fetch("GET", key, b""))
            self._fetches[key] = fetch
            fetch.add_done_callback(lambda done: self._on_fetched(key, done))
        try:
            return 200, found, await asyncio.shield(fetch)
        except (OSError, Ended):
            return 500, "", b""

    async def _write(self, request: Message, key: str) -> tuple[int, str, bytes]:
        token = request.header(b"idempotency-key")
        before = now_ms() - self.spec.deduplication_ms
        while self._completed_writes and next(iter(self._completed_writes.values()))[0] < before:
            del self._completed_writes[next(iter(self._completed_writes))]
        if token and token in self._completed_writes:
            return 200, "", self._completed_writes[token][1]
        try:
            value = await self._fetch("PUT", key, request.body)
        except (OSError, Ended):
            return 500, "", b""
        if token:
            self._completed_writes[token] = (now_ms(), value)
        return 200, "", value

    def _on_fetched(self, key: str, done: asyncio.Future[bytes]) -> None:
        self._fetches.pop(key, None)
        if not done.cancelled() and done.exception() is None:
            self._values[key] = done.result()
            while len(self._values) > self.spec.cache_capacity:
                self._values.popitem(last=False)

    async def _fetch(self, method: str, key: str, body: bytes) -> bytes:
        """Send a request to the order book; OSError or Ended if it is not answered with 200."""
        self._observer.origin_fetched(self.name, key)
        connection = self._book_connections.pop() if self._book_connections else None
        if connection is not None and not connection.has_no_unsolicited_input:
            connection.stream.abort()
            connection = None
        connection = connection or await open_connection(self._book, 0.5)
        try:
            await connection.send_request(method, f"/book/{key}", {}, body)
            async with asyncio.timeout(2.0):
                answer = await connection.read_message()
        except BaseException:
            connection.stream.abort()
            raise
        connection.start_next_exchange()
        self._book_connections.append(connection)
        if answer.status != 200:
            raise Ended(f"the order book did not answer 200 but {answer.status}")
        return answer.body

    async def _send_corrupt(self, how: str, connection: Connection, body: bytes) -> None:
        """Write a corrupt answer, or a good one with extra data. The connection stays open."""
        stream: Stream = connection.stream
        valid_answer = b"HTTP/1.1 200 OK\r\nX-Found: hit\r\nContent-Length: %d\r\n\r\n%s" % (
            len(body),
            body,
        )
        if how == "noise":
            await stream.write(bytes(range(128, 256)) + b"\r\n\r\n")
        elif how == "head":
            await stream.write(valid_answer[:30])
        elif how == "short":
            await stream.write(valid_answer[:-3])
        elif how == "long":
            await stream.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 20_000
            )
        elif how == "twice":
            await stream.write(valid_answer + valid_answer)
        elif how == "behind":
            await stream.write(valid_answer + b"\x00noise")
        else:
            await stream.write(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + valid_answer)
        await asyncio.get_running_loop().create_future()


async def _wait_for_event(event: asyncio.Event) -> None:
    await event.wait()


class OrderBook(Server):
    """The origin, which works on at most `places` requests at once.

    At most three times as many wait; further requests are answered 503.
    """

    def __init__(self, address: Address, places: int, service_ms: float) -> None:
        super().__init__(address)
        self.places = places
        self.service_ms = service_ms
        self.fetches = self.writes = self.refused = 0
        self.down = False
        self.invalidations: list[Callable[[str], None]] = []
        self._active = 0
        self._slots = asyncio.Semaphore(places)

    async def serve(self, connection: Connection, request: Message) -> None:
        """Answer a read or a write after the service time, and report writes to the boxes."""
        key = request.target.rpartition("/")[2]
        if self.down or self._active >= 4 * self.places:
            self.refused += 1
            await connection.send_response(503)
            return
        self._active += 1
        try:
            async with self._slots:
                await asyncio.sleep(self.service_ms / 1000.0)
        finally:
            self._active -= 1
        if request.method == "PUT":
            self.writes += 1
            for invalidate in self.invalidations:
                invalidate(key)
        else:
            self.fetches += 1
        await connection.send_response(200, b"v%d %s" % (self.writes, key.encode()))


NOISE_SAMPLES = (
    b"\x00\xff noise",
    b"{",
    b'"}]}{',
    b'{"generation":9,"instances":[',
    b"\xe2\x28" * 40,
)
CORRUPTION_KINDS = ("cut", "stop", "before", "inside", "after", "framing")
# Changes that are kept, so that a new watch gets them instead of the whole list.
HISTORY_LENGTH = 64


@dataclass(frozen=True, slots=True)
class LineCorruption:
    """How the next line of a watch is corrupted.

    Kinds: `cut` aborts the connection after `offset` bytes of the line. `stop` writes `offset`
    bytes and nothing more on that watch. `before`, `inside` and `after` add noise in front of the
    line, after `offset` bytes, or before its end. `framing` writes it without a chunk header.
    """

    kind: str
    offset: int
    noise: bytes = NOISE_SAMPLES[0]


class DiscoveryServer(Server):
    """Emulated discovery: answers calls for the whole list, and serves watches.

    `down` and `refusing`: new calls are answered 503, while open watches go on. `mute`: calls are
    read and not answered. `late_s`: delay of each line.
    """

    def __init__(
        self,
        address: Address,
        observer: ServerObserver,
        entries: Optional[dict[str, dict[str, object]]] = None,
    ) -> None:
        super().__init__(address)
        # By instanceId; may be shared by two servers.
        self.entries = entries if entries is not None else {}
        self.generation = 1
        self._writable = asyncio.Event()
        self._writable.set()
        self.late_s = 0.0
        self.down = False
        self.refusing = False
        self.mute = False
        # Of the next lines; each applies to every watch that its line is written to.
        self.corruptions: list[LineCorruption] = []
        self.watches: dict[Connection, str] = {}
        # Watches with a corrupt line: later changes on them no longer make up a known list.
        self._unreadable: set[Connection] = set()
        self._started: dict[Connection, None] = {}  # watches whose first line was written
        self._muted: set[Connection] = set()  # watches on which nothing more is written
        # Changes by generation, oldest first.
        self._history: OrderedDict[int, list[dict[str, object]]] = OrderedDict()
        self._observer = observer

    @property
    def silent(self) -> bool:
        """Whether it writes nothing; lines are held back and written afterwards, in order."""
        return not self._writable.is_set()

    @silent.setter
    def silent(self, silent: bool) -> None:
        if silent:
            self._writable.clear()
        else:
            self._writable.set()

    @staticmethod
    def entry(
        name: str, address: Address, started_ms: float = 0.0, zone: str = "a"
    ) -> dict[str, object]:
        """Return the list entry of a server."""
        host_port = f"{address[0]}:{address[1]}"
        more = {
            "zone": zone,
            "machineType": "m",
            "cell": 0,
            "lifecycle": "in_service",
            "weight": 1.0,
        }
        return {"instanceId": name, "hostPort": host_port, "startedAtMs": started_ms, **more}

    def update(self, entry: dict[str, object], lifecycle: str = "in_service") -> None:
        """Add, change or (terminated) remove the entry of a server, and notify every watch."""
        entry = {**entry, "lifecycle": lifecycle}
        if lifecycle == "terminated":
            self.entries.pop(str(entry["instanceId"]), None)
        else:
            self.entries[str(entry["instanceId"])] = entry
        self.publish([entry])

    def publish(self, entries: list[dict[str, object]]) -> None:
        """Write changed entries to every watch, as a new generation."""
        self.generation += 1
        self._history[self.generation] = entries
        if len(self._history) > HISTORY_LENGTH:
            self._history.popitem(last=False)
        corruption = self.corruptions.pop(0) if self.corruptions else None
        for connection in list(self.watches):
            asyncio.get_running_loop().create_task(
                self._write_line(connection, self.generation, entries, False, corruption)
            )

    def publish_raw(self, data: bytes) -> None:
        """Write raw bytes to every watch whose first line was written."""
        for connection in list(self._started):
            self._unreadable.add(connection)
            asyncio.get_running_loop().create_task(self._send(connection, _encode_chunk(data)))

    def drop_watches(self) -> None:
        """Abort every watch whose first line was written."""
        for connection in list(self._started):
            connection.stream.abort()

    async def _send(self, connection: Connection, data: bytes) -> bool:
        if self.late_s:
            await asyncio.sleep(self.late_s)
        await self._writable.wait()
        if connection in self._muted or connection.stream.closed or connection.stream.ended:
            return False
        try:
            await connection.stream.write(data)
        except OSError:
            return False
        return True

    async def _write_line(
        self,
        connection: Connection,
        generation: int,
        entries: list[dict[str, object]],
        full: bool,
        corruption: Optional[LineCorruption] = None,
    ) -> None:
        """Write a line, and report the entries in it that are whole to the observer.

        generation: that of the changes in this line. The current generation may already be newer,
        and a watch that resumes after it would miss the change of the same instant.
        """
        node = self.watches.get(connection, "")
        text, spans = _encode_line(generation, entries, full)
        readable = connection not in self._unreadable
        delivered = entries
        data = _encode_chunk(text)
        if corruption is not None:
            readable = False
            at = min(corruption.offset, len(text) - 2)  # the end of the line is never written
            if corruption.kind in ("cut", "stop"):
                data = _encode_chunk(text[:at]) if at else b""
                delivered = [
                    entry for entry, (_, end) in zip(entries, spans, strict=True) if end <= at
                ]
            elif corruption.kind == "framing":
                data = text
            else:
                at = {"before": 0, "inside": at, "after": len(text) - 1}[corruption.kind]
                data = _encode_chunk(text[:at] + corruption.noise + text[at:])
                delivered = [
                    entry
                    for entry, (begin, end) in zip(entries, spans, strict=True)
                    if not begin < at < end
                ]
        if not await self._send(connection, data):
            return
        if corruption is not None:
            self._unreadable.add(connection)
            if corruption.kind == "stop":
                self._muted.add(connection)
            elif corruption.kind == "cut":
                connection.stream.abort()
        if node:
            self._observer.list_sent(node, delivered, full and readable, readable)

    async def serve(self, connection: Connection, request: Message) -> None:
        """Answer a call for the whole list, or serve a watch until its peer ends it."""
        if self.mute:
            while await connection.stream.read():
                pass
            raise Ended("the peer closed a connection that is not answered")
        if self.down or self.refusing:
            await connection.send_response(503)
            return
        if "watch=1" not in request.target:
            everything = {
                "generation": self.generation,
                "reset": True,
                "instances": list(self.entries.values()),
            }
            await connection.send_response(200, json.dumps(everything).encode())
            return
        stream = connection.stream
        await stream.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches[connection] = self.node_name(connection)
        heartbeats = asyncio.get_running_loop().create_task(self._send_heartbeats(connection))
        first_line = asyncio.get_running_loop().create_task(
            self._start_watch(connection, self.generation, *self._changes_since(request.target))
        )
        try:
            while await stream.read():
                pass
        finally:
            first_line.cancel()
            heartbeats.cancel()
            del self.watches[connection]
            self._started.pop(connection, None)
            self._unreadable.discard(connection)
            self._muted.discard(connection)
        raise Ended("the peer closed the watch")

    async def _start_watch(
        self, connection: Connection, generation: int, entries: list[dict[str, object]], full: bool
    ) -> None:
        await self._write_line(connection, generation, entries, full)
        self._started[connection] = None

    def _changes_since(self, target: str) -> tuple[list[dict[str, object]], bool]:
        """Return the entries of a watch's first line, and whether they are the whole list.

        They are the changes after the generation that the watch names, or else the whole list.
        """
        after = target.partition("after=")[2]
        if (
            after.isdigit()
            and self._history
            and next(iter(self._history)) <= int(after) + 1 <= self.generation + 1
        ):
            last = {
                str(entry["instanceId"]): entry
                for n, some in self._history.items()
                if n > int(after)
                for entry in some
            }
            return list(last.values()), False
        return list(self.entries.values()), True

    def node_name(self, connection: Connection) -> str:
        """Return the name of the watching node; the simulation derives it from the address."""
        return "node"

    async def _send_heartbeats(self, connection: Connection) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.silent and connection not in self._muted:
                try:
                    await connection.stream.write(_encode_chunk(b"\n"))
                except OSError:
                    return


def _encode_line(
    generation: int, entries: list[dict[str, object]], full: bool
) -> tuple[bytes, list[tuple[int, int]]]:
    """Return a line of a watch, and the begin and end of each entry in it, in bytes."""
    text = json.dumps({"generation": generation, "reset": full, "instances": []})[:-2].encode()
    spans = []
    for n, entry in enumerate(entries):
        text += b", " if n else b""
        begin = len(text)
        text += json.dumps(entry).encode()
        spans.append((begin, len(text)))
    return text + b"]}\n", spans


def _encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)
