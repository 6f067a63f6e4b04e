"""Connects the processes of one node with the list, the lifecycle and the limits of this one."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from corkshift.discovery import Discovery
from corkshift.frontend import Frontend
from corkshift.handover.messages import Departure, Drain, Usage
from corkshift.seam import now_ms
from corkshift.upstream import Pool
from forkweir import Server

log = logging.getLogger(__name__)


class NodeObserver:
    """Implements `PeerObserver` for the node in this process."""

    def __init__(self, discovery: Discovery, frontend: Frontend, pool: Pool) -> None:
        self._discovery = discovery
        self._frontend = frontend
        self._pool = pool

    def departures(self) -> Iterable[Departure]:
        """See PeerObserver."""
        return [
            Departure(name, departure.generation, departure.started_ms)
            for name, departure in self._discovery.address_book.departures()
        ]

    def recent_ids(self) -> list[bytes]:
        """See PeerObserver."""
        return self._frontend.node.recent_ids()

    def on_ids(self, ids: list[bytes]) -> None:
        """See PeerObserver."""
        for txn in ids:
            self._frontend.node.remember_id(txn)

    def on_processes(self, others: int) -> None:
        """See PeerObserver."""
        self._frontend.node.allowance.set_other_processes(others)

    def usage(self) -> Usage:
        """See PeerObserver."""
        return Usage(self._frontend.connection_count, self._pool.open)

    def on_departures(self, departures: list[Departure]) -> None:
        """See PeerObserver."""
        by_generation: dict[int, list[Server]] = {}
        for departure in departures:
            server = Server(departure.server, state="draining", started_ms=departure.started_ms)
            by_generation.setdefault(departure.generation, []).append(server)
        for generation, servers in by_generation.items():
            self._discovery.address_book.apply_peer_departures(generation, servers)

    def on_drain_call(self, call: Drain) -> None:
        """See PeerObserver."""
        log.info("another process of this node: %s", call)
        if call is Drain.QUIESCE:
            self._frontend.lifecycle.quiesce(now_ms())
        else:
            self._frontend.lifecycle.resume(now_ms())

    def on_usage(self, usage: Usage) -> None:
        """See PeerObserver."""
        self._frontend.peer_connections = usage.clients
        self._pool.peer_connections = usage.servers
