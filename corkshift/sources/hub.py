"""The sources of one node put together: what they say goes to the merge, and what follows from it to the address book and the module."""

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
from corkshift.sources.window import Window
from corkshift.upstream import CacheServer, Pool
from forkweir import Server
from forkweir.known.membership import Box, Claim, Membership
from forkweir.known.priority_groups import PriorityGroups

log = logging.getLogger(__name__)

LOOK_S = 0.25  # between two looks at whether a group can serve, where there is more than one


class Sources:
    """Owns the merged set, and the address book of the node from then on."""

    def __init__(self, node: Node, pool: Pool, options: SourcesTable, seed: int) -> None:
        """OSError where resolvers can't be read, or the Unix socket can't be bound."""
        self._node = node
        self._pool = pool
        self._options = options
        self._merged = Membership(options.rights(), options.guard.guard())
        self._groups = PriorityGroups()
        self._told: dict[str, Server] = {}
        self._boxes: list[Box] = []
        self._level = 0
        self._timer: Optional[asyncio.TimerHandle] = None
        self.box_list = BoxList(self, self._ask, self._others)
        self.dns = DnsSource(self, options.dns, seed) if options.dns is not None else None
        self.file = FileSource(self, options.file) if options.file is not None else None
        self._window = Window(options.members_socket, self.dump) if options.members_socket else None
        self._closed = False

    def start(self) -> None:
        """Begin; the box list has begun with the node's own."""
        for part in (self._window, self.file, self.dns):
            if part is not None:
                part.start()

    def close(self) -> None:
        """End everything that runs."""
        self._closed = True
        for part in (self._window, self.file, self.dns):
            if part is not None:
                part.close()
        if self._timer is not None:
            self._timer.cancel()

    def reload(self, options: SourcesTable) -> None:
        """The operator's file was read again. Resolvers, bounds, service and the file's path change; the rest waits for the next start."""
        same = options.rights() == self._options.rights() and options.guard == self._options.guard
        if not same or options.members_socket != self._options.members_socket:
            log.info(
                "reload: ranks, rights, guards and new or absent sources wait for the next start"
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
                "reload: %s: %s; the resolvers stay as they are",
                options.dns and options.dns.resolv_conf,
                error.strerror,
            )
            return
        if self.file is not None and options.file is not None:
            self.file.reload(options.file)
        self._options = options

    # -- what sources say ----------------------------------------------------------------

    def tell(self, source: str, claims: Iterable[Claim], full: bool = True) -> None:
        """A source's view (see `Membership.tell`)."""
        self._merged.update(source, claims, now_ms(), full)
        self._apply({"known": "saved", "list": "changes"}.get(source, "hearsay"))

    def failed(self, source: str, why: str) -> None:
        """A source failed: what it said stays."""
        self._merged.mark_failed(source, why)
        self._apply("hearsay")

    def _ask(self, form: str) -> None:
        self._node.on_list(form, [])

    def _others(self, place: Address) -> bool:
        return any(
            server.leaving_ms is None and server.address != place
            for server in self._node.servers.values()
        )

    # -- what follows --------------------------------------------------------------------

    def _apply(self, form: str) -> None:
        """Bring address book and module up to what the merge says now. form: as `Balancer.on_list` has it."""
        now = now_ms()
        self._boxes = self._merged.merge(now)
        for line in self._merged.take_reports():
            log.info("sources: %s", line)
        serving = [box for box in self._boxes if box.server.state == "in"]
        level = self._groups.level(
            ((box.priority, self._node.usable(box.server.name)) for box in serving), now
        )
        if level != self._level:
            log.info("sources: boxes up to priority %d are in use (%d before)", level, self._level)
            self._level = level
        entries = self._entries(
            {box.server.name: (self._in_use(box), box.address) for box in self._boxes}, now
        )
        if entries or form != "hearsay":
            self._node.on_list(form, entries)
        self._look_again(now, len({box.priority for box in serving}) > 1)

    def _in_use(self, box: Box) -> Server:
        """A box as the module shall have it: one of a group that is not in use gets nothing new, as one that drains."""
        return replace(box.server, state="draining") if box.priority > self._level else box.server

    def _entries(self, wanted: dict[str, tuple[Server, Address]], now: float) -> list[Server]:
        """Change the address book, and give what is new of it in the module's terms."""
        book, entries = self._node.servers, []
        for name in list(book):
            if name not in wanted or wanted[name][1] != book[name].address:
                self._leave(book.pop(name), now)
                self._told.pop(name, None)
                if name not in wanted:
                    entries.append(Server(name, state="gone"))
        for name, (server, address) in wanted.items():
            known = book.get(name)
            if known is None:
                known = book[name] = CacheServer(name, address)
            if server.state == "draining":
                self._leave(known, now)
            else:
                known.leaving_ms = None
            if self._told.get(name) != server:
                self._told[name] = server
                entries.append(server)
        return entries

    def _leave(self, server: CacheServer, now: float) -> None:
        if server.leaving_ms is None:
            server.leaving_ms = now
        self._pool.forget(server)

    def _look_again(self, now: float, groups: bool) -> None:
        """A timer for when the merge may change by itself, or a group may no longer serve."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._closed:
            return
        due = self._merged.next_change_ms(now)
        wait_s = LOOK_S if groups else None
        if due is not None:
            wait_s = min(max(0.0, due - now) / 1000.0 + 0.001, wait_s or float("inf"))
        if wait_s is not None:
            self._timer = asyncio.get_running_loop().call_later(wait_s, self._apply, "hearsay")

    # -- for operators -------------------------------------------------------------------

    def dump(self) -> bytes:
        """The merged view as JSON, for `members`."""
        now = now_ms()
        view = {
            "at_ms": round(now),
            "level": self._level,
            **view_of(self._merged, self._boxes, self._level, now),
        }
        if self.dns is not None:
            counts = self.dns.resolver.counts
            view["resolver"] = {name: getattr(counts, name) for name in counts.__slots__}
        return orjson.dumps(view) + b"\n"


def view_of(merged: Membership, boxes: list[Box], level: float, now: float) -> dict[str, Any]:
    """Sources and boxes as `members` and `sources check` show them. level: up to which priority boxes are in use."""
    names = ("name", "state", "age_ms", "boxes", "held")
    return {
        "sources": [dict(zip(names, row, strict=True)) for row in merged.source_status(now)],
        "boxes": [_row_of(box, box.priority <= level, now) for box in boxes],
    }


def _row_of(box: Box, in_use: bool, now: float) -> dict[str, object]:
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
