"""The stand-ins: cache boxes, the order book and discovery. Written once, run on real loopback and on the virtual network.

They speak what the protocol page says and nothing of what is inside the node. Each tells a `Witness` what it saw.
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
from testbed.systems.serving import Connection, Ended, Message, Server, dial, while_wanted

TURNED_AWAY = {"X-Turned-Away": "1"}
SPOILS = ("noise", "head", "short", "long", "twice", "behind", "notices")
HEARTBEAT_S = 2.0


class Witness:
    """What the stand-ins report; the rules (testbed/nights/rules.py) are one."""

    def received(self, box: CacheBox, txn: str, method: str, work_ms: float) -> None:
        """A request's last byte has come to a box, which begins it."""

    def turned_away(self, box: CacheBox, txn: str) -> None:
        """A box says that the request never ran."""

    def made(self, box: CacheBox, txn: str, body: bytes) -> None:
        """A box made an answer for a request."""

    def fetched(self, box: str, key: str) -> None:
        """The order book was asked for a key."""

    def told(
        self, node: str, entries: list[dict[str, object]], full: bool, sound: bool = True
    ) -> None:
        """Discovery has written entries to a node; sound: in a line that can be read, on a watch of which all could be."""


def usual_part(reads: Mapping[str, Mapping[str, int]]) -> float:
    """The part of the reads (by key and box) that went to the box to which most of their key's went; keys read once are left out."""
    counts = [boxes.values() for boxes in reads.values() if sum(boxes.values()) > 1]
    return sum(map(max, counts)) / max(1, sum(map(sum, counts)))


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

    def __init__(
        self,
        name: str,
        address: Address,
        book: Address,
        spec: BoxSpec,
        witness: Witness,
        cold: bool,
    ) -> None:
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
        self._done: dict[
            str, tuple[float, bytes]
        ] = {}  # by idempotency key: when, and what was answered
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
            await while_wanted(
                connection.stream, asyncio.get_running_loop().create_task(_set(self.hang))
            )
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
        good = b"HTTP/1.1 200 OK\r\nX-Found: hit\r\nContent-Length: %d\r\n\r\n%s" % (
            len(body),
            body,
        )
        if how == "noise":
            await stream.write(bytes(range(128, 256)) + b"\r\n\r\n")
        elif how == "head":
            await stream.write(good[:30])
        elif how == "short":
            await stream.write(good[:-3])
        elif how == "long":
            await stream.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 20_000
            )
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


SPOILT_BY = (b"\x00\xff noise", b"{", b'"}]}{', b'{"generation":9,"instances":[', b"\xe2\x28" * 40)
SPOIL_HOWS = ("cut", "stop", "before", "inside", "after", "framing")
HISTORY = 64  # changes that a watch is told of in place of the whole list


@dataclass(frozen=True, slots=True)
class Spoil:
    """How the next line of a watch is spoilt.

    cut: its connection breaks after `at` bytes of it. stop: nothing comes after so many, for good. before, inside, after: noise
    in front of it, after `at` bytes, or before its end. framing: it comes as it is, in no chunk.
    """

    how: str
    at: int
    noise: bytes = SPOILT_BY[0]


class Registry(Server):
    """Discovery: the whole list, and watches on it."""

    def __init__(
        self,
        address: Address,
        witness: Witness,
        entries: Optional[dict[str, dict[str, object]]] = None,
    ) -> None:
        super().__init__(address)
        self.entries = (
            entries if entries is not None else {}
        )  # by instanceId; may be shared by two places
        self.generation = 1
        self._speaks = asyncio.Event()
        self._speaks.set()
        self.late_s = 0.0
        self.down = False
        self.refusing = False  # calls are answered 503, and watches go on
        self.mute = False  # calls are taken and not answered
        self.spoils: list[
            Spoil
        ] = []  # of the next lines, each at every watch that it is written to
        self.watches: dict[Connection, str] = {}
        self._unsound: set[Connection] = (
            set()
        )  # a line of theirs could not be read: nothing more can be built on them
        self._begun: dict[Connection, None] = {}  # have had their first line
        self._mute: set[Connection] = set()  # nothing more is written
        self._history: OrderedDict[int, list[dict[str, object]]] = (
            OrderedDict()
        )  # by generation, oldest first
        self._witness = witness

    @property
    def silent(self) -> bool:
        """Whether it writes nothing; what it has to say meanwhile comes after, in its order."""
        return not self._speaks.is_set()

    @silent.setter
    def silent(self, silent: bool) -> None:
        if silent:
            self._speaks.clear()
        else:
            self._speaks.set()

    @staticmethod
    def entry(
        name: str, address: Address, started_ms: float = 0.0, zone: str = "a"
    ) -> dict[str, object]:
        """One server as discovery lists it."""
        place = f"{address[0]}:{address[1]}"
        more = {
            "zone": zone,
            "machineType": "m",
            "cell": 0,
            "lifecycle": "in_service",
            "weight": 1.0,
        }
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
        self._history[self.generation] = entries
        if len(self._history) > HISTORY:
            self._history.popitem(last=False)
        spoil = self.spoils.pop(0) if self.spoils else None
        for connection in list(self.watches):
            asyncio.get_running_loop().create_task(
                self._write(connection, self.generation, entries, False, spoil)
            )

    def tell_raw(self, data: bytes) -> None:
        """Write bytes that need not be a list to every watch that has had its first line."""
        for connection in list(self._begun):
            self._unsound.add(connection)
            asyncio.get_running_loop().create_task(self._send(connection, _chunk(data)))

    def drop(self) -> None:
        """End every watch that has had its first line."""
        for connection in list(self._begun):
            connection.stream.abort()

    async def _send(self, connection: Connection, data: bytes) -> bool:
        if self.late_s:
            await asyncio.sleep(self.late_s)
        await self._speaks.wait()
        if connection in self._mute or connection.stream.closed or connection.stream.ended:
            return False
        try:
            await connection.stream.write(data)
        except OSError:
            return False
        return True

    async def _write(
        self,
        connection: Connection,
        generation: int,
        entries: list[dict[str, object]],
        full: bool,
        spoil: Optional[Spoil] = None,
    ) -> None:
        """Write a line, and tell the witness of what came whole with it.

        generation: of the changes up to here, and not of a later one of the same instant, which a call after it would not be told.
        """
        node = self.watches.get(connection, "")
        text, spans = _line(generation, entries, full)
        sound = connection not in self._unsound
        whole = entries
        data = _chunk(text)
        if spoil is not None:
            sound = False
            at = min(spoil.at, len(text) - 2)  # the line's end is never among what is written
            if spoil.how in ("cut", "stop"):
                data = _chunk(text[:at]) if at else b""
                whole = [entry for entry, (_, end) in zip(entries, spans, strict=True) if end <= at]
            elif spoil.how == "framing":
                data = text
            else:
                at = {"before": 0, "inside": at, "after": len(text) - 1}[spoil.how]
                data = _chunk(text[:at] + spoil.noise + text[at:])
                whole = [
                    entry
                    for entry, (begin, end) in zip(entries, spans, strict=True)
                    if not begin < at < end
                ]
        if not await self._send(connection, data):
            return
        if spoil is not None:
            self._unsound.add(connection)
            if spoil.how == "stop":
                self._mute.add(connection)
            elif spoil.how == "cut":
                connection.stream.abort()
        if node:
            self._witness.told(node, whole, full and sound, sound)

    async def serve(self, connection: Connection, request: Message) -> None:
        if self.mute:
            while await connection.stream.read():
                pass
            raise Ended("nobody answers")
        if self.down or self.refusing:
            await connection.answer(503)
            return
        if "watch=1" not in request.target:
            everything = {
                "generation": self.generation,
                "reset": True,
                "instances": list(self.entries.values()),
            }
            await connection.answer(200, json.dumps(everything).encode())
            return
        stream = connection.stream
        await stream.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches[connection] = self.node_of(connection)
        beat = asyncio.get_running_loop().create_task(self._beat(connection))
        first = asyncio.get_running_loop().create_task(
            self._begin(connection, self.generation, *self._since(request.target))
        )
        try:
            while await stream.read():
                pass
        finally:
            first.cancel()
            beat.cancel()
            del self.watches[connection]
            self._begun.pop(connection, None)
            self._unsound.discard(connection)
            self._mute.discard(connection)
        raise Ended("the watch")

    async def _begin(
        self, connection: Connection, generation: int, entries: list[dict[str, object]], full: bool
    ) -> None:
        await self._write(connection, generation, entries, full)
        self._begun[connection] = None

    def _since(self, target: str) -> tuple[list[dict[str, object]], bool]:
        """What a watch hears first: what changed after the version that it names, or the whole list; and whether it is whole."""
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

    def node_of(self, connection: Connection) -> str:
        """Who watches; the virtual world knows it by the address."""
        return "node"

    async def _beat(self, connection: Connection) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.silent and connection not in self._mute:
                try:
                    await connection.stream.write(_chunk(b"\n"))
                except OSError:
                    return


def _line(
    generation: int, entries: list[dict[str, object]], full: bool
) -> tuple[bytes, list[tuple[int, int]]]:
    """A line of a watch, and from where to where in it each entry stands, in bytes."""
    text = json.dumps({"generation": generation, "reset": full, "instances": []})[:-2].encode()
    spans = []
    for n, entry in enumerate(entries):
        text += b", " if n else b""
        begin = len(text)
        text += json.dumps(entry).encode()
        spans.append((begin, len(text)))
    return text + b"]}\n", spans


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)
