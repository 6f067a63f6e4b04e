"""Combines the sources of a node.

The claims of all sources are merged; the address book and the module follow the merged set.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import replace
from typing import Any, Optional

import orjson

from corkshift.node import Node
from corkshift.seam import Address, now_ms
from corkshift.sources.boxlist import BoxList
from corkshift.sources.dns import DnsSource
from corkshift.sources.file import FileSource
from corkshift.sources.options import SourcesTable
from corkshift.sources.view_socket import ViewSocket
from corkshift.upstream import CacheServer, Pool
from forkweir import Server
from forkweir.known.membership import Box, Claim, Membership
from forkweir.known.priority_groups import PriorityGroups

log = logging.getLogger(__name__)

GROUP_CHECK_S = 0.25  # between checks which priority group can serve, if there are several


class Sources:
    """Owns the merged set of boxes and, once created, the address book of the node."""

    def __init__(self, node: Node, pool: Pool, options: SourcesTable, seed: int) -> None:
        """Raises OSError where resolv.conf can't be read or the Unix socket can't be bound."""
        self._node = node
        self._pool = pool
        self._options = options
        self._membership = Membership(options.rights(), options.guard.guard())
        self._groups = PriorityGroups()
        self._reported: dict[str, Server] = {}
        self._boxes: list[Box] = []
        self._level = 0
        self._timer: Optional[asyncio.TimerHandle] = None
        self.box_list = BoxList(self, self._report_list_state, self._has_alternative)
        self.dns = DnsSource(self, options.dns, seed) if options.dns is not None else None
        self.file = FileSource(self, options.file) if options.file is not None else None
        self._view_socket = (
            ViewSocket(options.members_socket, self.dump) if options.members_socket else None
        )
        self._closed = False

    def start(self) -> None:
        """Start all sources but the server list, which the node starts itself."""
        for source in (self._view_socket, self.file, self.dns):
            if source is not None:
                source.start()

    def close(self) -> None:
        """Stop all sources and timers."""
        self._closed = True
        for source in (self._view_socket, self.file, self.dns):
            if source is not None:
                source.close()
        if self._timer is not None:
            self._timer.cancel()

    def reload(self, options: SourcesTable) -> None:
        """Apply the reloaded operator's file.

        Resolvers, their limits, the service and the path of the file change now; everything else
        changes at the next start.
        """
        same_rules = (
            options.rights() == self._options.rights() and options.guard == self._options.guard
        )
        if not same_rules or options.members_socket != self._options.members_socket:
            log.info(
                "reload: changes of sources, ranks, rights, guard and members_socket need a restart"
            )
        try:
            if (
                self.dns is not None
                and options.dns is not None
                and options.dns != self._options.dns
            ):
                self.dns.reload(options.dns)
        except OSError as error:
            log.error(
                "reload: cannot read %s: %s; the resolvers stay unchanged",
                options.dns and options.dns.resolv_conf,
                error.strerror,
            )
            return
        if self.file is not None and options.file is not None:
            self.file.reload(options.file)
        self._options = options

    # -- sink ----------------------------------------------------------------------------

    def update(self, source: str, claims: Iterable[Claim], full: bool = True) -> None:
        """See `Sink.update`."""
        self._membership.update(source, claims, now_ms(), full)
        self._apply_merge({"known": "saved", "list": "changes"}.get(source, "hearsay"))

    def failed(self, source: str, reason: str) -> None:
        """See `Sink.failed`. The last view of the source stays in use."""
        self._membership.mark_failed(source, reason)
        self._apply_merge("hearsay")

    def _report_list_state(self, form: str) -> None:
        self._node.on_list(form, [])

    def _has_alternative(self, address: Address) -> bool:
        return any(
            server.leaving_ms is None and server.address != address
            for server in self._node.servers.values()
        )

    # -- merge ---------------------------------------------------------------------------

    def _apply_merge(self, form: str) -> None:
        """Update address book and module to the merged set. form: as in `Balancer.on_list`."""
        now = now_ms()
        self._boxes = self._membership.merge(now)
        for report in self._membership.take_reports():
            log.info("sources: %s", report)
        serving = [box for box in self._boxes if box.server.state == "in"]
        level = self._groups.level(
            ((box.priority, self._node.usable(box.server.name)) for box in serving), now
        )
        if level != self._level:
            log.info("sources: now using boxes up to priority %d (before: %d)", level, self._level)
            self._level = level
        entries = self._update_address_book(
            {box.server.name: (self._effective_server(box), box.address) for box in self._boxes},
            now,
        )
        if entries or form != "hearsay":
            self._node.on_list(form, entries)
        self._schedule_merge(now, len({box.priority for box in serving}) > 1)

    def _effective_server(self, box: Box) -> Server:
        """A box as the module sees it: one of a group that is not in use counts as draining."""
        return replace(box.server, state="draining") if box.priority > self._level else box.server

    def _update_address_book(
        self, target: dict[str, tuple[Server, Address]], now: float
    ) -> list[Server]:
        """Update the address book; the changed entries for `Balancer.on_list`."""
        address_book, entries = self._node.servers, []
        for name in list(address_book):
            if name not in target or target[name][1] != address_book[name].address:
                self._start_drain(address_book.pop(name), now)
                self._reported.pop(name, None)
                if name not in target:
                    entries.append(Server(name, state="gone"))
        for name, (server, address) in target.items():
            known = address_book.get(name)
            if known is None:
                known = address_book[name] = CacheServer(name, address)
            if server.state == "draining":
                self._start_drain(known, now)
            else:
                known.leaving_ms = None
            if self._reported.get(name) != server:
                self._reported[name] = server
                entries.append(server)
        return entries

    def _start_drain(self, server: CacheServer, now: float) -> None:
        if server.leaving_ms is None:
            server.leaving_ms = now
        self._pool.close_idle_of(server)

    def _schedule_merge(self, now: float, several_groups: bool) -> None:
        """Set a timer for the next time-based change of the merge or the next check of groups."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._closed:
            return
        due = self._membership.next_change_ms(now)
        wait_s = GROUP_CHECK_S if several_groups else None
        if due is not None:
            wait_s = min(max(0.0, due - now) / 1000.0 + 0.001, wait_s or float("inf"))
        if wait_s is not None:
            self._timer = asyncio.get_running_loop().call_later(
                wait_s, self._apply_merge, "hearsay"
            )

    # -- operators -----------------------------------------------------------------------

    def dump(self) -> bytes:
        """The merged view as JSON, for `members`."""
        now = now_ms()
        view = {
            "at_ms": round(now),
            "level": self._level,
            **merged_view(self._membership, self._boxes, self._level, now),
        }
        if self.dns is not None:
            counts = self.dns.resolver.counts
            view["resolver"] = {name: getattr(counts, name) for name in counts.__slots__}
        return orjson.dumps(view) + b"\n"


def merged_view(merged: Membership, boxes: list[Box], level: float, now: float) -> dict[str, Any]:
    """Sources and boxes as `members` and `sources check` show them.

    level: boxes up to this priority are in use.
    """
    names = ("name", "state", "age_ms", "boxes", "held")
    return {
        "sources": [dict(zip(names, row, strict=True)) for row in merged.source_status(now)],
        "boxes": [_box_row(box, box.priority <= level, now) for box in boxes],
    }


def _box_row(box: Box, in_use: bool, now: float) -> dict[str, object]:
    return {
        "name": box.server.name,
        "address": f"{box.address[0]}:{box.address[1]}",
        "state": box.server.state,
        "in_use": in_use and box.server.state == "in",
        "priority": box.priority,
        "weight": round(box.server.weight, 3),
        "rule": box.rule,
        "said": dict(box.states),
        "known_for_ms": round(now - box.since_ms),
    }
