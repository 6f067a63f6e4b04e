"""Emulated discovery of the soak.

One versioned list of servers, which each node watches at two endpoints of its own. Faults are set
for each endpoint.
"""

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


class DiscoveryObserver(Protocol):
    """Receives what discovery contains and what it writes to nodes."""

    def changed(self, entries: Iterable[Entry]) -> None:
        """A change was entered into discovery."""

    def notified(self, node: str, entries: Iterable[Entry]) -> None:
        """A change was completely written to a node."""

    def reachable(self, node: str, now: bool) -> None:
        """From now on the node can reach discovery (`now` is true) or cannot."""


@dataclass(slots=True)
class Version:
    """One change of the list; `entries` are those that changed."""

    number: int
    entries: list[Entry]


@dataclass(slots=True)
class ServerList:
    """The list of servers and its history of changes; `changed` wakes the watches."""

    entries: dict[str, Entry] = field(default_factory=dict)
    versions: list[Version] = field(default_factory=list)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    @property
    def latest_version(self) -> int:
        """The number of the latest version."""
        return len(self.versions)

    def change(self, entries: list[Entry]) -> None:
        """Apply one change; entries with the lifecycle `terminated` are removed."""
        for entry in entries:
            name = str(entry["instanceId"])
            if entry["lifecycle"] == "terminated":
                self.entries.pop(name, None)
            else:
                self.entries[name] = entry
        self.versions.append(Version(self.latest_version + 1, entries))

    async def notify_watches(self) -> None:
        """Wake all watches, so that they write the change."""
        async with self.changed:
            self.changed.notify_all()


class DiscoveryEndpoint(Server):
    """Discovery at one address, for one node.

    Faults: `delay_s` delays each answer, `refusals` further calls get 503, `down` refuses all
    calls, and `cuts` further lines break off in the middle and reset their connection.
    """

    def __init__(self, node: str, servers: ServerList, observer: DiscoveryObserver) -> None:
        super().__init__(("127.0.0.1", 0))
        self.node = node
        self.delay_s = 0.0
        self.refusals = 0
        self.down = False
        self.cuts = 0
        self._servers = servers
        self._observer = observer
        self._watches: dict[Connection, None] = {}
        self._silent: set[Connection] = set()

    def silence(self) -> None:
        """Write nothing more to the open watches, which stay open."""
        self._silent.update(self._watches)

    def reset(self) -> None:
        """Reset all open watches."""
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
        raise Ended("the watch was closed by its client")

    async def _write_watch(self, connection: Connection, after: int | None) -> None:
        servers = self._servers
        sent = servers.latest_version
        if after is None or after > sent:
            await self._write_list(connection, sent, list(servers.entries.values()), full=True)
        else:
            await self._write_list(
                connection, sent, _latest_entries(servers.versions[after:]), full=False
            )
        while True:
            try:
                async with asyncio.timeout(HEARTBEAT_S), servers.changed:
                    await servers.changed.wait_for(
                        lambda: servers.latest_version > sent,  # noqa: B023
                    )
            except TimeoutError:
                await self._write_chunk(connection, b"\n")
                continue
            changes = _latest_entries(servers.versions[sent:])
            sent = servers.latest_version
            await self._write_list(connection, sent, changes, full=False)

    async def _write_list(
        self, connection: Connection, number: int, entries: list[Entry], full: bool
    ) -> None:
        line = (
            json.dumps({"generation": number, "reset": full, "instances": entries}).encode() + b"\n"
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
    """All endpoints, two for each node, and their common faults."""

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
        """Accept calls at every endpoint."""
        for endpoint in self.all_endpoints():
            endpoint.listen()

    def close(self) -> None:
        """Close every endpoint."""
        for endpoint in self.all_endpoints():
            endpoint.close()

    def all_endpoints(self) -> list[DiscoveryEndpoint]:
        """The endpoints of all nodes."""
        return [endpoint for pair in self.endpoints.values() for endpoint in pair]

    async def change(self, entries: list[Entry]) -> None:
        """Apply one change and write it to every watch."""
        self.servers.change(entries)
        self._observer.changed(entries)
        await self.servers.notify_watches()

    def go_down(self) -> None:
        """Reset watches and refuse calls until `recover` was called as often as this method."""
        self._outages += 1
        for endpoint in self.all_endpoints():
            endpoint.down = True
            endpoint.reset()
        for node in self.endpoints:
            self._observer.reachable(node, False)

    def recover(self) -> None:
        """End one outage; see `go_down`."""
        self._outages -= 1
        if self._outages:
            return
        for endpoint in self.all_endpoints():
            endpoint.down = False
        for node in self.endpoints:
            self._observer.reachable(node, True)


def in_service_entry(name: str, address: Address, cold: bool) -> Entry:
    """The list entry of a server in service; only a cold server has a start time."""
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
