"""The systems of one soak: node processes, cache servers, origin, discovery and clients.

All of them report to one oracle.
"""

from __future__ import annotations

import asyncio
import random
import signal
import socket
from pathlib import Path
from typing import Any, Optional

from corkshift.seam import now_ms
from testbed.soak.discovery import Discovery, Entry, in_service_entry
from testbed.soak.nodes import READY_TIMEOUT_S, Node
from testbed.soak.oracle import Intervals, Oracle, Rule
from testbed.soak.plan import Plan
from testbed.soak.servers import SoakServer
from testbed.soak.shim import Shim, build
from testbed.systems.clients import CLASSES, Clients, settings
from testbed.systems.emulators import BoxSpec, OrderBook
from testbed.tier.books import ColdBox
from testbed.tier.processes import HOST, Ports

# The setting `mustAskInMs` of the nodes.
POLL_WITHIN_MS = 10_000.0
# A request whose answer is later than this after its deadline counts as lost.
ANSWER_SLACK_MS = 500.0
MEMORY_MB = 64
SOCKETS = 512
KEY_COUNT = 400
# Texts in a node's log that show a defect.
DEFECT_MARKERS = ("Traceback", "too late", "had no answer by its deadline")


class World:
    """All systems that a plan needs, on 127.0.0.1."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        """Prepare the systems of a plan; files and logs go into `folder`.

        Raises ShimError where the library of `shim` cannot be built.
        """
        self.plan = plan
        self.folder = folder
        self.oracle = Oracle(grace_ms=250.0)
        self.servers: list[SoakServer] = []
        self.nodes: list[Node] = []
        self.discovery = Discovery([f"n{n}" for n in range(plan.nodes)], self.oracle)
        self.clients = Clients({}, self.oracle, plan.seed, KEY_COUNT, plan.requests_per_s)
        self._rng = random.Random(f"rig/{plan.seed}")
        self._ports = Ports()
        self._origin = OrderBook((HOST, 0), 8, 15.0)
        self._library = build(folder)

    async def open(self) -> None:
        """Start all systems and wait until every node answers."""
        self._origin.listen()
        self.discovery.listen()
        await self.discovery.change(
            [self.start_server(cold=False) for _ in range(self.plan.servers)]
        )
        for n in range(self.plan.nodes):
            self.nodes.append(self._make_node(n))
        await asyncio.gather(*(node.start() for node in self.nodes))
        await asyncio.gather(*(node.wait_ready() for node in self.nodes))
        self.clients.nodes.update({node.name: node.listen for node in self.nodes})
        self.clients.is_down = lambda name: self.nodes[int(name[1:])].down
        self.clients.answer_grace_ms = ANSWER_SLACK_MS

    async def wait_for_restarts(self) -> None:
        """Wait for restarts in progress, so that exit codes are known.

        Raises TimeoutError after READY_TIMEOUT_S.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while any(node.restarting for node in self.nodes):
                await asyncio.sleep(0.05)

    async def close(self) -> None:
        """Stop all systems."""
        self.clients.close()
        for node in self.nodes:
            await node.stop()
        self.discovery.close()
        for server in (*self.servers, self._origin):
            server.close()
        self._ports.close()

    def start_server(self, cold: bool, port: int = 0) -> Entry:
        """Start a server under a new name and return its entry in the list.

        port: where it listens; 0: the system chooses one.
        """
        name = f"s{len(self.servers)}"
        spec = BoxSpec(cores=2, cache_capacity=400)
        server = SoakServer(
            name, self._origin.address, spec, self.oracle, self.oracle, cold, self.plan.seed, port
        )
        server.unframed_share = self.plan.unframed_share
        if not cold:
            server.warm(self.clients.keys())
        server.listen()
        self._origin.invalidations.append(server.invalidate)
        self.servers.append(server)
        if cold:
            self.oracle.cold_servers[name] = ColdBox(
                name, spec.cold_share, spec.cold_ms, server.full_speed, now_ms()
            )
        return in_service_entry(name, server.address, cold)

    def in_service_servers(self) -> list[SoakServer]:
        """The servers that discovery lists as in service."""
        listed = self.discovery.servers.entries
        return [
            server
            for server in self.servers
            if listed.get(server.name, {}).get("lifecycle") == "in_service"
        ]

    def _make_node(self, n: int) -> Node:
        name = f"n{n}"
        listening: Optional[socket.socket] = None
        if self.plan.upgrades:
            listening = socket.create_server((HOST, 0), backlog=4_096)
        listen = listening.getsockname()[1] if listening is not None else self._ports.take()
        admin, second_admin = self._ports.take(), self._ports.take()
        for table in (
            self.oracle.discovery_unreachable,
            self.oracle.exempt,
            self.oracle.stalled,
            self.oracle.slow_io,
            self.oracle.takeovers,
        ):
            table[name] = Intervals()
        config: dict[str, Any] = {
            "name": name,
            "listen": f"{HOST}:{listen}",
            "admin_addr": f"{HOST}:{admin}",
            "seed": f"{self._rng.getrandbits(48):x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "settings": settings(CLASSES, POLL_WITHIN_MS),
        }
        shim = Shim(self._library, self.folder / f"{name}.shim")
        return Node(
            name,
            (HOST, listen),
            self.folder,
            shim,
            config,
            self.discovery,
            self.oracle,
            listening=listening,
            admin_ports=(admin, second_admin),
        )

    def check_node_processes(self) -> None:
        """Record defects that nodes logged, and unexpected exit codes, as violations."""
        for node in self.nodes:
            text = node.log
            for sign in DEFECT_MARKERS:
                if sign in text:
                    at = text.index(sign)
                    self.oracle.record_violation(
                        Rule.CRASH,
                        f"{node.name} logged a defect: {text[max(0, at - 200) : at + 400]}",
                    )
            for code in node.exit_codes:
                if code not in (0, -signal.SIGKILL):
                    self.oracle.record_violation(
                        Rule.CRASH, f"{node.name} ended with exit code {code}"
                    )
