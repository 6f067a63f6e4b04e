"""The stand-ins: cache boxes, the order book and discovery. Written once, run on real loopback and on the virtual network.

They speak what the protocol page says and nothing of what is inside the node. Each tells a `Witness` what it saw.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Optional

from corkshift.seam import Address, now_ms
from corkshift.stream import Stream
from testbed.serving import Connection, Ended, Message, Server, dial, while_wanted

TURNED_AWAY = {"X-Turned-Away": "1"}
SPOILS = ("noise", "head", "short", "long", "twice", "behind", "notices")
HEARTBEAT_S = 2.0


class Witness:
    """What the stand-ins report; the rules (testbed/rules.py) are one."""

    def received(self, box: CacheBox, txn: str, method: str, work_ms: float) -> None:
        """A request's last byte has come to a box, which begins it."""

    def turned_away(self, box: CacheBox, txn: str) -> None:
        """A box says that the request never ran."""

    def made(self, box: CacheBox, txn: str, body: bytes) -> None:
        """A box made an answer for a request."""

    def fetched(self, box: str, key: str) -> None:
        """The order book was asked for a key."""

    def told(self, node: str, entries: list[dict[str, object]], full: bool) -> None:
        """Discovery has written entries to a node."""


@dataclass(slots=True)
class BoxSpec:
    """A cache box's size. Work is in ms of one core of the yardstick."""

    cores: int = 2
    speed: float = 1.0
    queue: int = 24
    kept: int = 400  # keys
    cold_from: float = 0.12
    cold_ms: float = 24_000.0
    drops_ms: float = 4_000.0  # how long repeats of a key are dropped


def work_of(key: str, method: str) -> float:
    """The work of a request in ms, the same at every box."""
    return (12.0 if method == "GET" else 18.0) * (0.6 + 0.8 * random.Random(key).random())


class CacheBox(Server):
    """Reads through to the order book, keeps what it read, and works on a bounded number of requests."""

    def __init__(self, name: str, address: Address, book: Address, spec: BoxSpec, witness: Witness, cold: bool) -> None:
        super().__init__(address)
        self.name = name
        self.spec = spec
        self.hits = self.misses = self.turned = 0
        # Faults, each off at first.
        self.slow = 1.0
        self.hang: Optional[asyncio.Event] = None
        self.spoil: list[str] = []  # of the next answers
        self.errors = 0  # next answers that are 500
        self.full = False
        self.draining = False
        self._book = book
        self._witness = witness
        self._since_ms = now_ms() if cold else 0.0
        self._cores = asyncio.Semaphore(spec.cores)
        self._held = 0
        self._values: OrderedDict[str, bytes] = OrderedDict()
        self._fetches: dict[str, asyncio.Future[bytes]] = {}
        self._done: dict[str, tuple[float, bytes]] = {}  # by idempotency key: when, and what was answered
        self._links: list[Connection] = []

    @property
    def started_ms(self) -> float:
        """When it started cold, as discovery tells it; 0 for long ago."""
        return self._since_ms

    def capacity(self) -> float:
        """The part of its full speed that it has now."""
        return self.capacity_at(now_ms())

    def capacity_at(self, at_ms: float) -> float:
        """The part of its full speed that it has at a time: it grows evenly from the cold share."""
        age = at_ms - self._since_ms
        if not self._since_ms or age >= self.spec.cold_ms:
            return 1.0
        return self.spec.cold_from + (1.0 - self.spec.cold_from) * age / self.spec.cold_ms

    @property
    def full_speed(self) -> float:
        """Work in ms that it does in one ms when warm."""
        return self.spec.cores * self.spec.speed

    def warm(self, keys: list[str]) -> None:
        """Keep these keys from the start."""
        for key in keys[: self.spec.kept]:
            self._values[key] = b"v0"

    def void(self, key: str) -> None:
        """A write was carried out: a kept copy is worth nothing."""
        self._values.pop(key, None)

    async def serve(self, connection: Connection, request: Message) -> None:
        txn = request.header(b"x-txn")
        key = request.target.partition("?")[0].rpartition("/")[2]
        if not txn:
            await connection.answer(404)
            return
        if self.hang is not None:
            await while_wanted(connection.stream, asyncio.get_running_loop().create_task(_set(self.hang)))
        work = work_of(key, request.method)
        if self.draining or self.full or self._held >= self.spec.cores + self.spec.queue:
            self.turned += 1
            self._witness.received(self, txn, request.method, work)
            self._witness.turned_away(self, txn)
            await connection.answer(503, b"", TURNED_AWAY)
            return
        self._witness.received(self, txn, request.method, work)
        self._held += 1
        try:
            job = asyncio.get_running_loop().create_task(self._work(request, key, work))
            status, found, body = await while_wanted(connection.stream, job)
        finally:
            self._held -= 1
        if self.errors:
            self.errors -= 1
            await connection.answer(500, b"broken")
            return
        if status == 200:
            body = b"%s %s %s\n" % (self.name.encode(), txn.encode(), body)
            self._witness.made(self, txn, body)
        if self.spoil and status == 200:
            await self._spoilt(self.spoil.pop(0), connection, body)
            return
        await connection.answer(status, body, {"X-Found": found} if found else {})

    async def _work(self, request: Message, key: str, work: float) -> tuple[int, str, bytes]:
        async with self._cores:
            await asyncio.sleep(work * self.slow / (self.spec.speed * self.capacity()) / 1000.0)
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
            fetch.add_done_callback(lambda done: self._fetched(key, done))
        try:
            return 200, found, await asyncio.shield(fetch)
        except (OSError, Ended):
            return 500, "", b""

    async def _write(self, request: Message, key: str) -> tuple[int, str, bytes]:
        token = request.header(b"idempotency-key")
        before = now_ms() - self.spec.drops_ms
        while self._done and next(iter(self._done.values()))[0] < before:
            del self._done[next(iter(self._done))]
        if token and token in self._done:
            return 200, "", self._done[token][1]
        try:
            value = await self._fetch("PUT", key, request.body)
        except (OSError, Ended):
            return 500, "", b""
        if token:
            self._done[token] = (now_ms(), value)
        return 200, "", value

    def _fetched(self, key: str, done: asyncio.Future[bytes]) -> None:
        self._fetches.pop(key, None)
        if not done.cancelled() and done.exception() is None:
            self._values[key] = done.result()
            while len(self._values) > self.spec.kept:
                self._values.popitem(last=False)

    async def _fetch(self, method: str, key: str, body: bytes) -> bytes:
        """Ask the order book; OSError or Ended where it does not serve."""
        self._witness.fetched(self.name, key)
        link = self._links.pop() if self._links else None
        if link is not None and not link.clean:
            link.stream.abort()
            link = None
        link = link or await dial(self._book, 0.5)
        try:
            await link.ask(method, f"/book/{key}", {}, body)
            async with asyncio.timeout(2.0):
                answer = await link.read()
        except BaseException:
            link.stream.abort()
            raise
        link.renew()
        self._links.append(link)
        if answer.status != 200:
            raise Ended(f"the order book answers {answer.status}")
        return answer.body

    async def _spoilt(self, how: str, connection: Connection, body: bytes) -> None:
        """Write an answer that is wrong, or good with more than belongs to it. The connection stays open."""
        stream: Stream = connection.stream
        good = b"HTTP/1.1 200 OK\r\nX-Found: hit\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        if how == "noise":
            await stream.write(bytes(range(128, 256)) + b"\r\n\r\n")
        elif how == "head":
            await stream.write(good[:30])
        elif how == "short":
            await stream.write(good[:-3])
        elif how == "long":
            await stream.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 20_000)
        elif how == "twice":
            await stream.write(good + good)
        elif how == "behind":
            await stream.write(good + b"\x00noise")
        else:
            await stream.write(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + good)
        await asyncio.get_running_loop().create_future()


async def _set(event: asyncio.Event) -> None:
    await event.wait()


class OrderBook(Server):
    """The origin: slow, with a bounded number of places; it turns away beyond them."""

    def __init__(self, address: Address, places: int, service_ms: float) -> None:
        super().__init__(address)
        self.places = places
        self.service_ms = service_ms
        self.fetches = self.writes = self.refused = 0
        self.down = False
        self.voids: list[Callable[[str], None]] = []
        self._held = 0
        self._free = asyncio.Semaphore(places)

    async def serve(self, connection: Connection, request: Message) -> None:
        key = request.target.rpartition("/")[2]
        if self.down or self._held >= 4 * self.places:
            self.refused += 1
            await connection.answer(503)
            return
        self._held += 1
        try:
            async with self._free:
                await asyncio.sleep(self.service_ms / 1000.0)
        finally:
            self._held -= 1
        if request.method == "PUT":
            self.writes += 1
            for void in self.voids:
                void(key)
        else:
            self.fetches += 1
        await connection.answer(200, b"v%d %s" % (self.writes, key.encode()))


class Registry(Server):
    """Discovery: the whole list, and watches on it."""

    def __init__(
        self, address: Address, witness: Witness, entries: Optional[dict[str, dict[str, object]]] = None
    ) -> None:
        super().__init__(address)
        self.entries = entries if entries is not None else {}  # by instanceId; may be shared by two places
        self.generation = 1
        self.silent = False  # writes nothing
        self.late_s = 0.0
        self.down = False
        self.watches: dict[Connection, str] = {}
        self._witness = witness

    @staticmethod
    def entry(name: str, address: Address, started_ms: float = 0.0, zone: str = "a") -> dict[str, object]:
        """One server as discovery lists it."""
        place = f"{address[0]}:{address[1]}"
        more = {"zone": zone, "machineType": "m", "cell": 0, "lifecycle": "in_service", "weight": 1.0}
        return {"instanceId": name, "hostPort": place, "startedAtMs": started_ms, **more}

    def change(self, entry: dict[str, object], lifecycle: str = "in_service") -> None:
        """A server's entry is new, or another: every watch hears of it."""
        entry = {**entry, "lifecycle": lifecycle}
        if lifecycle == "terminated":
            self.entries.pop(str(entry["instanceId"]), None)
        else:
            self.entries[str(entry["instanceId"])] = entry
        self.tell([entry])

    def tell(self, entries: list[dict[str, object]]) -> None:
        """Write changes to every watch."""
        self.generation += 1
        line = self._line(entries, False)
        for connection, node in list(self.watches.items()):
            asyncio.get_running_loop().create_task(self._write(connection, line, node, entries, False))

    def tell_raw(self, data: bytes) -> None:
        """Write bytes that need not be a list to every watch."""
        for connection in list(self.watches):
            if not data.endswith(b"\n"):
                self.watches[connection] = ""  # what comes next belongs to this line, and tells nothing
            asyncio.get_running_loop().create_task(
                self._write(connection, b"%x\r\n%s\r\n" % (len(data), data), "", [], False)
            )

    def drop(self) -> None:
        """End every watch."""
        for connection in list(self.watches):
            connection.stream.abort()

    def _line(self, entries: list[dict[str, object]], full: bool) -> bytes:
        data = {"generation": self.generation, "reset": full, "instances": entries}
        text = json.dumps(data).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(text), text)

    async def _write(
        self, connection: Connection, data: bytes, node: str, entries: list[dict[str, object]], full: bool
    ) -> None:
        if self.late_s:
            await asyncio.sleep(self.late_s)
        if self.silent or connection.stream.closed:
            return
        try:
            await connection.stream.write(data)
        except OSError:
            return
        if node:
            self._witness.told(node, entries, full)

    async def serve(self, connection: Connection, request: Message) -> None:
        if self.down:
            await connection.answer(503)
            return
        if "watch=1" not in request.target:
            everything = {"generation": self.generation, "reset": True, "instances": list(self.entries.values())}
            await connection.answer(200, json.dumps(everything).encode())
            return
        stream = connection.stream
        node = self.node_of(connection)
        await stream.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        entries = list(self.entries.values())
        await self._write(connection, self._line(entries, True), node, entries, True)
        self.watches[connection] = node
        beat = asyncio.get_running_loop().create_task(self._beat(connection))
        try:
            while await stream.read():
                pass
        finally:
            beat.cancel()
            del self.watches[connection]
        raise Ended("the watch")

    def node_of(self, connection: Connection) -> str:
        """Who watches; the virtual world knows it by the address."""
        return "node"

    async def _beat(self, connection: Connection) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.silent:
                try:
                    await connection.stream.write(b"1\r\n\n\r\n")
                except OSError:
                    return
