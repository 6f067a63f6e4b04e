"""Fixtures of the tests of sources: name servers and a resolver on the virtual network."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from corkshift import seam
from corkshift.sources.options import Limits
from corkshift.sources.resolver import Resolver
from testbed.machine.loop import VirtualLoop
from testbed.machine.net import Network
from testbed.machine.process import Process
from testbed.systems.dns import SERVICE, NameServer, Zone

HOSTS = ("127.6.0.1", "127.6.0.2", "127.6.0.3")
BOXES = {f"s{n}": (f"127.2.0.{n + 1}", 8001) for n in range(4)}


class DnsFixture:
    """Name servers of one zone, and one process that queries them."""

    def __init__(self, loop: VirtualLoop, servers: int = 2) -> None:
        self.loop = loop
        self.net = Network(loop, 1)
        self.zone = Zone()
        self.zone.set_boxes(BOXES)
        self.servers = [NameServer((host, 53), self.zone) for host in HOSTS[:servers]]
        self.addresses = [server.address for server in self.servers]
        self.server_processes = [
            Process(f"dns-{server.address[0]}", self.net, server.address[0])
            for server in self.servers
        ]
        for process, server in zip(self.server_processes, self.servers, strict=True):
            process.start(server.run)
        self.process = Process("asker", self.net, "127.1.0.1")

    def resolver(self, limits: Limits | None = None) -> Resolver:
        return Resolver(self.addresses, limits or Limits(floor_s=1.0), seam.random_bytes)

    def link(self, host: str) -> Any:
        """The link from the querying process to a server."""
        return self.net.link("127.1.0.1", host)


def run_virtual(test: Callable[[DnsFixture], Coroutine[Any, Any, None]], servers: int = 2) -> None:
    """Run a test in a virtual process of its own; its exceptions are raised here."""
    loop = VirtualLoop(1)
    asyncio.set_event_loop(loop)
    raised: list[BaseException] = []

    async def main() -> None:
        fixture = DnsFixture(loop, servers)
        done = asyncio.Event()

        async def program() -> None:
            try:
                await test(fixture)
            except BaseException as error:
                raised.append(error)
            finally:
                done.set()

        await asyncio.sleep(0.01)
        fixture.process.start(program)
        await done.wait()
        assert raised or not fixture.process.sockets, "sockets are left"
        for process, server in zip(fixture.server_processes, fixture.servers, strict=True):
            process.context.run(server.close)
            process.kill()
            for task in process.pending_tasks():
                task.cancel()
        await asyncio.sleep(0.01)

    try:
        loop.run_until_complete(main())
    finally:
        loop.close()
        asyncio.set_event_loop(None)
    if raised:
        raise raised[0]


__all__ = ["BOXES", "HOSTS", "SERVICE", "DnsFixture", "run_virtual"]
