"""Injects the faults of a plan into the systems of its world."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from testbed.crowd.clients import Crowd, Kind
from testbed.crowd.process import anonymous_kib
from testbed.soak.discovery import Entry
from testbed.soak.nodes import Node
from testbed.soak.oracle import Rule
from testbed.soak.plan import Event, Fault
from testbed.soak.servers import SoakServer
from testbed.soak.world import MEMORY_MB, World

# Servers that remain in service whatever the faults.
MIN_SERVING = 4
# Servers replaced by one fault.
MAX_REPLACED = 3
# A slow server takes this many times its usual time.
SLOW_FACTOR = 8.0
# Clients of one crowd, and between two looks at the node's memory. None of these kinds completes a
# request, so that servers get nothing which the oracle does not know.
CROWD_CLIENTS = 100
CROWD_KINDS = (Kind.SHORT_FIELDS, Kind.STOPPED_UPLOAD, Kind.SLOW_UPLOAD, Kind.ENDLESS_HEAD)
MEMORY_LOOK_S = 0.05
# Sent by clients that stop in the middle of a request.
TRUNCATED_REQUESTS = (
    b"GET /api/k1 HT",
    b"GET /api/k1 HTTP/1.1\r\nHost: x\r\nX-Txn: stop",
    b"PUT /api/k1 HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\nabc",
)


class FaultInjector:
    """Injects faults, with one handler for each kind."""

    def __init__(self, world: World, notes: list[str]) -> None:
        """Inject into `world`; each fault appends its description to `notes`."""
        self._world = world
        self._notes = notes
        self._handlers: dict[Fault, Callable[[Event], Awaitable[None]]] = {
            Fault.NODE_KILL: lambda event: self._node(event).kill(),
            Fault.NODE_RESTART: lambda event: self._node(event).restart(),
            Fault.NODE_RELOADS: lambda event: self._node(event).reload(int(event.value)),
            Fault.NODE_PAUSE: lambda event: self._node(event).pause(event.value),
            Fault.NODE_STALLS: self._stall,
            Fault.NODE_CLOCK: self._step_clock,
            Fault.NODE_CALLS: self._fail_calls,
            Fault.NODE_SHORT_IO: lambda event: self._node(event).short_io(event.duration_s),
            Fault.DISCOVERY_DOWN: self._discovery_down,
            Fault.DISCOVERY_SLOW: self._discovery_slow,
            Fault.DISCOVERY_REFUSES: self._discovery_refuses,
            Fault.DISCOVERY_SILENT: self._discovery_silent,
            Fault.DISCOVERY_RESETS: self._discovery_resets,
            Fault.DISCOVERY_CUTS: self._discovery_cuts,
            Fault.SERVERS_DRAIN: self._drain_servers,
            Fault.SERVERS_REPLACED: self._replace_servers,
            Fault.SERVER_HANGS: self._server_hangs,
            Fault.SERVER_SLOW: self._server_slow,
            Fault.SERVER_ERRORS: self._server_errors,
            Fault.SERVER_RESETS: self._server_resets,
            Fault.CLIENTS_LEAVE: self._clients_leave,
            Fault.CLIENTS_STOP: self._stop_clients,
            Fault.LOAD_BURST: self._load_burst,
            Fault.NODE_UPGRADE: lambda event: self._node(event).upgrade(
                event.value, event.duration_s
            ),
            Fault.NODE_CROWD: self._crowd,
            Fault.SERVER_READDRESSED: self._readdress_server,
            Fault.NODE_QUIESCE: lambda event: self._node(event).quiesce(event.duration_s),
        }

    async def inject(self, event: Event) -> None:
        """Inject one fault and wait until it has ended."""
        self._notes.append(
            f"{event.at_s:.2f} {event.kind} {event.target} "
            f"for {event.duration_s:.2f} s, {event.value:g}"
        )
        await self._handlers[event.kind](event)

    def _node(self, event: Event) -> Node:
        return self._world.nodes[event.target % len(self._world.nodes)]

    def _server(self, event: Event) -> SoakServer:
        return self._world.servers[event.target % len(self._world.servers)]

    # -- nodes ---------------------------------------------------------------------------

    async def _stall(self, event: Event) -> None:
        self._node(event).stall(int(event.value))

    async def _step_clock(self, event: Event) -> None:
        self._node(event).shim.step_wall_clock(int(event.value))

    async def _fail_calls(self, event: Event) -> None:
        self._notes.append(await self._node(event).fail_calls(int(event.value), event.duration_s))

    async def _crowd(self, event: Event) -> None:
        """Send a crowd to a node, and check that its process stays within its memory limit."""
        node = self._node(event)
        kinds = [CROWD_KINDS[int(event.value) % len(CROWD_KINDS)], Kind.ENDLESS_HEAD]
        crowd = Crowd(node.listen[1], kinds, self._world.plan.seed)
        crowd.start(CROWD_CLIENTS)
        end_s = asyncio.get_running_loop().time() + event.duration_s
        peak_kib = 0
        while asyncio.get_running_loop().time() < end_s:
            if node.process is not None and node.process.returncode is None:
                with suppress(OSError, KeyError):  # it has just ended
                    peak_kib = max(peak_kib, anonymous_kib(node.process.pid))
            await asyncio.sleep(MEMORY_LOOK_S)
        await crowd.close()
        self._world.oracle.counts["crowds"] += 1
        if peak_kib > MEMORY_MB * 1_024:
            self._world.oracle.record_violation(
                Rule.CRASH, f"{node.name} has {peak_kib} KiB of memory beside a crowd of {kinds}"
            )

    # -- discovery -----------------------------------------------------------------------

    async def _discovery_down(self, event: Event) -> None:
        self._world.discovery.go_down()
        await asyncio.sleep(event.duration_s)
        self._world.discovery.recover()

    async def _discovery_slow(self, event: Event) -> None:
        for endpoint in self._world.discovery.all_endpoints():
            endpoint.delay_s, endpoint.refusals = event.value, 0
        await asyncio.sleep(event.duration_s)
        for endpoint in self._world.discovery.all_endpoints():
            endpoint.delay_s = 0.0

    async def _discovery_refuses(self, event: Event) -> None:
        for endpoint in self._world.discovery.all_endpoints():
            # With delays and refusals together no node could keep the time limits.
            if not endpoint.delay_s:
                endpoint.refusals = int(event.value)

    async def _discovery_silent(self, event: Event) -> None:
        for endpoint in self._world.discovery.all_endpoints():
            endpoint.silence()

    async def _discovery_resets(self, event: Event) -> None:
        for endpoint in self._world.discovery.all_endpoints():
            endpoint.reset()

    async def _discovery_cuts(self, event: Event) -> None:
        for endpoint in self._world.discovery.all_endpoints():
            endpoint.cuts = 1

    # -- servers -------------------------------------------------------------------------

    async def _drain_servers(self, event: Event) -> None:
        serving = self._world.in_service_servers()
        leaving = serving[event.target % 2 :: 4][: max(0, len(serving) - MIN_SERVING)]
        entries: list[Entry] = [
            {**self._world.discovery.servers.entries[server.name], "lifecycle": "terminating"}
            for server in leaving
        ]
        if entries:
            await self._world.discovery.change(entries)

    async def _replace_servers(self, event: Event) -> None:
        ending = self._world.in_service_servers()[
            : max(0, min(MAX_REPLACED, len(self._world.in_service_servers()) - MIN_SERVING))
        ]
        entries: list[Entry] = [
            {**self._world.discovery.servers.entries[server.name], "lifecycle": "terminated"}
            for server in ending
        ]
        entries += [self._world.start_server(cold=True) for _ in ending]
        for server in ending:
            server.close()
        if entries:
            await self._world.discovery.change(entries)

    async def _readdress_server(self, event: Event) -> None:
        """End a server and start another one at its address; the list tells of it later."""
        serving = self._world.in_service_servers()
        if len(serving) <= MIN_SERVING:
            return
        ending = serving[event.target % len(serving)]
        old = {**self._world.discovery.servers.entries[ending.name], "lifecycle": "terminated"}
        ending.close()
        try:
            new = self._world.start_server(cold=True, port=ending.address[1])
        except OSError:
            new = self._world.start_server(cold=True)  # a client's connection has taken the port
        self._world.oracle.counts["readdressed"] += 1
        await asyncio.sleep(event.value)
        await self._world.discovery.change([old, new])

    async def _server_hangs(self, event: Event) -> None:
        server = self._server(event)
        gate = server.hang = asyncio.Event()
        await asyncio.sleep(event.duration_s)
        server.hang = None
        gate.set()

    async def _server_slow(self, event: Event) -> None:
        server = self._server(event)
        server.slow = SLOW_FACTOR
        await asyncio.sleep(event.duration_s)
        server.slow = 1.0

    async def _server_errors(self, event: Event) -> None:
        self._server(event).errors_left += int(event.value)

    async def _server_resets(self, event: Event) -> None:
        server = self._server(event)
        server.broken_share = 0.4
        await asyncio.sleep(event.duration_s)
        server.broken_share = 0.0

    # -- clients -------------------------------------------------------------------------

    async def _clients_leave(self, event: Event) -> None:
        clients = self._world.clients
        before = clients.left_share
        clients.left_share, clients.leave_ms, clients.leave_abnormally = 0.4, 400.0, True
        await asyncio.sleep(event.duration_s)
        clients.left_share, clients.leave_ms, clients.leave_abnormally = before, 60.0, False

    async def _stop_clients(self, event: Event) -> None:
        node = self._node(event)
        for n in range(int(event.value)):
            data = TRUNCATED_REQUESTS[n % len(TRUNCATED_REQUESTS)]
            if not node.down:
                self._world.clients.send_bad_request(
                    node.name, f"client that stops after {len(data)} bytes", data
                )

    async def _load_burst(self, event: Event) -> None:
        self._world.clients.rate = 2.0 * self._world.plan.requests_per_s
        await asyncio.sleep(event.duration_s)
        self._world.clients.rate = self._world.plan.requests_per_s
