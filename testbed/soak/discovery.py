"""Discovery as the soak needs it: one list of versions, watched by each node at two places of its own, with faults at each of them."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from corkshift.seam import Address, now_ms
from testbed.systems.serving import Connection, Ended, Message, Server
from testbed.systems.standins import HEARTBEAT_S

Entry = dict[str, object]


class DiscoveryObserver(Protocol):
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
class ServerList:
    """What discovery knows, by version."""

    entries: dict[str, Entry] = field(default_factory=dict)
    versions: list[Version] = field(default_factory=list)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    @property
    def latest_version(self) -> int:
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
        self.versions.append(Version(self.latest_version + 1, entries))

    async def notify_watches(self) -> None:
        """Wake every watch."""
        async with self.changed:
            self.changed.notify_all()


class DiscoveryEndpoint(Server):
    """Discovery at one address, for one node."""

    def __init__(self, node: str, servers: ServerList, observer: DiscoveryObserver) -> None:
        super().__init__(("127.0.0.1", 0))
        self.node = node
        self.delay_s = 0.0  # of each call's answer
        self.refusals = 0  # further calls that are answered 503
        self.down = False
        self.cuts = 0  # further lines that are cut in their middle
        self._servers = servers
        self._observer = observer
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
            await connection.answer(503)
            return
        await connection.stream.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._watches[connection] = None
        writing = asyncio.create_task(
            self._write_watch(connection, _requested_generation(request.target))
        )
        try:
            while await connection.stream.read():
                pass
        finally:
            writing.cancel()
            del self._watches[connection]
            self._silent.discard(connection)
        raise Ended("the watch")

    async def _write_watch(self, connection: Connection, after: int | None) -> None:
        servers = self._servers
        sent = servers.latest_version
        if after is None or after > sent:
            await self._write_list(connection, sent, list(servers.entries.values()), whole=True)
        else:
            await self._write_list(
                connection, sent, _latest_entries(servers.versions[after:]), whole=False
            )
        while True:
            try:
                async with asyncio.timeout(HEARTBEAT_S), servers.changed:
                    await servers.changed.wait_for(lambda: servers.latest_version > sent)  # noqa: B023
            except TimeoutError:
                await self._write_chunk(connection, b"\n")
                continue
            changes = _latest_entries(servers.versions[sent:])
            sent = servers.latest_version
            await self._write_list(connection, sent, changes, whole=False)

    async def _write_list(
        self, connection: Connection, number: int, entries: list[Entry], whole: bool
    ) -> None:
        line = (
            json.dumps({"generation": number, "reset": whole, "instances": entries}).encode()
            + b"\n"
        )
        if self.cuts and len(line) > 200:
            self.cuts -= 1
            await self._write_chunk(connection, line[: len(line) // 2])
            connection.stream.abort()
            return
        if await self._write_chunk(connection, line):
            self._observer.notified(self.node, entries)

    async def _write_chunk(self, connection: Connection, data: bytes) -> bool:
        if connection in self._silent or connection.stream.closed or connection.stream.ended:
            return False
        try:
            await connection.stream.write(b"%x\r\n%b\r\n" % (len(data), data))
        except OSError:
            return False
        return True


def _requested_generation(target: str) -> int | None:
    number = target.partition("after=")[2]
    return int(number) if number.isdigit() else None


def _latest_entries(versions: list[Version]) -> list[Entry]:
    last = {str(entry["instanceId"]): entry for version in versions for entry in version.entries}
    return list(last.values())


class Discovery:
    """All places, two for each node, and the faults that they have together."""

    def __init__(self, nodes: list[str], observer: DiscoveryObserver) -> None:
        self.servers = ServerList()
        self.endpoints = {
            node: (
                DiscoveryEndpoint(node, self.servers, observer),
                DiscoveryEndpoint(node, self.servers, observer),
            )
            for node in nodes
        }
        self._observer = observer
        self._outages = 0

    def listen(self) -> None:
        """Begin to answer at every place."""
        for endpoint in self.all_endpoints():
            endpoint.listen()

    def close(self) -> None:
        """End every place."""
        for endpoint in self.all_endpoints():
            endpoint.close()

    def all_endpoints(self) -> list[DiscoveryEndpoint]:
        """Every place."""
        return [endpoint for pair in self.endpoints.values() for endpoint in pair]

    async def change(self, entries: list[Entry]) -> None:
        """Make one change and write it to every watch."""
        self.servers.change(entries)
        self._observer.changed(entries)
        await self.servers.notify_watches()

    def go_down(self) -> None:
        """Watches end and calls fail, until it is back as often as it went down."""
        self._outages += 1
        for endpoint in self.all_endpoints():
            endpoint.down = True
            endpoint.reset()
        for node in self.endpoints:
            self._observer.reachable(node, False)

    def recover(self) -> None:
        """See `go_down`."""
        self._outages -= 1
        if self._outages:
            return
        for endpoint in self.all_endpoints():
            endpoint.down = False
        for node in self.endpoints:
            self._observer.reachable(node, True)


def in_service_entry(name: str, address: Address, cold: bool) -> Entry:
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
