"""Discovery as the soak needs it: one list of versions, watched by each node at two places of its own, with faults at each of them."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from corkshift.seam import Address, now_ms
from testbed.systems.emulators import HEARTBEAT_S
from testbed.systems.http import Connection, Ended, Message, Server

Entry = dict[str, object]


class Told(Protocol):
    """Who hears what discovery has and writes."""

    def changed(self, entries: Iterable[Entry]) -> None:
        """Discovery has a change."""

    def notified(self, node: str, entries: Iterable[Entry]) -> None:
        """A change has been written whole to a node."""

    def reachable(self, node: str, now: bool) -> None:
        """From now on a node can reach discovery, or cannot."""


@dataclass(slots=True)
class Version:
    """One change of the list."""

    number: int
    entries: list[Entry]


@dataclass(slots=True)
class ListOfServers:
    """What discovery knows, by version."""

    entries: dict[str, Entry] = field(default_factory=dict)
    versions: list[Version] = field(default_factory=list)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    @property
    def number(self) -> int:
        """The latest version."""
        return len(self.versions)

    def change(self, entries: list[Entry]) -> None:
        """Make one change."""
        for entry in entries:
            name = str(entry["instanceId"])
            if entry["lifecycle"] == "terminated":
                self.entries.pop(name, None)
            else:
                self.entries[name] = entry
        self.versions.append(Version(self.number + 1, entries))

    async def announce(self) -> None:
        """Wake every watch."""
        async with self.changed:
            self.changed.notify_all()


class Place(Server):
    """Discovery at one address, for one node."""

    def __init__(self, node: str, servers: ListOfServers, told: Told) -> None:
        super().__init__(("127.0.0.1", 0))
        self.node = node
        self.delay_s = 0.0  # of each call's answer
        self.refusals = 0  # further calls that are answered 503
        self.down = False
        self.cuts = 0  # further lines that are cut in their middle
        self._servers = servers
        self._told = told
        self._watches: dict[Connection, None] = {}
        self._silent: set[Connection] = set()

    def silence(self) -> None:
        """Every open watch falls silent for good."""
        self._silent.update(self._watches)

    def reset(self) -> None:
        """Every open watch is reset."""
        for connection in list(self._watches):
            connection.stream.abort()

    async def serve(self, connection: Connection, request: Message) -> None:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.down or self.refusals:
            self.refusals = max(0, self.refusals - 1)
            await connection.send_response(503)
            return
        await connection.stream.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._watches[connection] = None
        writing = asyncio.create_task(self._write(connection, _after(request.target)))
        try:
            while await connection.stream.read():
                pass
        finally:
            writing.cancel()
            del self._watches[connection]
            self._silent.discard(connection)
        raise Ended("the watch")

    async def _write(self, connection: Connection, after: int | None) -> None:
        servers = self._servers
        sent = servers.number
        if after is None or after > sent:
            await self._line(connection, sent, list(servers.entries.values()), whole=True)
        else:
            await self._line(connection, sent, _latest(servers.versions[after:]), whole=False)
        while True:
            try:
                async with asyncio.timeout(HEARTBEAT_S), servers.changed:
                    await servers.changed.wait_for(lambda: servers.number > sent)  # noqa: B023
            except TimeoutError:
                await self._send(connection, b"\n")
                continue
            changes = _latest(servers.versions[sent:])
            sent = servers.number
            await self._line(connection, sent, changes, whole=False)

    async def _line(
        self, connection: Connection, number: int, entries: list[Entry], whole: bool
    ) -> None:
        line = (
            json.dumps({"generation": number, "reset": whole, "instances": entries}).encode()
            + b"\n"
        )
        if self.cuts and len(line) > 200:
            self.cuts -= 1
            await self._send(connection, line[: len(line) // 2])
            connection.stream.abort()
            return
        if await self._send(connection, line):
            self._told.notified(self.node, entries)

    async def _send(self, connection: Connection, data: bytes) -> bool:
        if connection in self._silent or connection.stream.closed or connection.stream.ended:
            return False
        try:
            await connection.stream.write(b"%x\r\n%b\r\n" % (len(data), data))
        except OSError:
            return False
        return True


def _after(target: str) -> int | None:
    number = target.partition("after=")[2]
    return int(number) if number.isdigit() else None


def _latest(versions: list[Version]) -> list[Entry]:
    last = {str(entry["instanceId"]): entry for version in versions for entry in version.entries}
    return list(last.values())


class Discovery:
    """All places, two for each node, and the faults that they have together."""

    def __init__(self, nodes: list[str], told: Told) -> None:
        self.servers = ListOfServers()
        self.places = {
            node: (Place(node, self.servers, told), Place(node, self.servers, told))
            for node in nodes
        }
        self._told = told
        self._downs = 0

    def listen(self) -> None:
        """Begin to answer at every place."""
        for place in self.all():
            place.listen()

    def close(self) -> None:
        """End every place."""
        for place in self.all():
            place.close()

    def all(self) -> list[Place]:
        """Every place."""
        return [place for pair in self.places.values() for place in pair]

    async def change(self, entries: list[Entry]) -> None:
        """Make one change and write it to every watch."""
        self.servers.change(entries)
        self._told.changed(entries)
        await self.servers.announce()

    def go_down(self) -> None:
        """Watches end and calls fail, until it is back as often as it went down."""
        self._downs += 1
        for place in self.all():
            place.down = True
            place.reset()
        for node in self.places:
            self._told.reachable(node, False)

    def come_back(self) -> None:
        """See `go_down`."""
        self._downs -= 1
        if self._downs:
            return
        for place in self.all():
            place.down = False
        for node in self.places:
            self._told.reachable(node, True)


def started_entry(name: str, address: Address, cold: bool) -> Entry:
    """A server in service as discovery lists it."""
    return {
        "instanceId": name,
        "hostPort": f"{address[0]}:{address[1]}",
        "zone": "a",
        "machineType": "m",
        "cell": 0,
        "lifecycle": "in_service",
        "weight": 1.0,
        "startedAtMs": now_ms() if cold else 0,
    }
