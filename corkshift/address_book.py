"""The address book: which cache servers discovery has listed, as the node and its decisions are to have them.

Whole lines are taken here, and what can still be read of lines that are not whole (`listing.claims_of`, `forkweir.known.hearsay`), with
departures that outrank older lists (`forkweir.known.departures`) and starts on this node's clock (`forkweir.known.starts`).

A change costs in proportion to the entries that differ from what is known. A long list is taken in slices: who leaves or changes in the
first, at once; servers that are new in slices of SLICE_SERVERS, between which the caller lets the loop run.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from itertools import islice
from math import inf
from typing import Any, Optional, Protocol

from corkshift.listing import UnconfirmedEntry, read
from corkshift.seam import Address, now_ms
from corkshift.upstream import CacheServer, Pool
from forkweir import Server
from forkweir.known.departures import Departures
from forkweir.known.hearsay import SUSPECT_MS, Hearsay, Word
from forkweir.known.starts import Starts

log = logging.getLogger(__name__)

REINSTATE_INTERVAL_S = 1.0  # between two looks at servers that are out by a departure alone
SLICE_SERVERS = 256  # that are added between two turns of the loop: some 2 ms

Entry = tuple[Server, Address]


class ListObserver(Protocol):
    """Who hears of the list: a node, or what merges it with other sources (`corkshift/sources`)."""

    servers: dict[str, CacheServer]

    def on_list(self, form: str, entries: Iterable[Server]) -> None:
        """The address book has changed, or could not be brought up to date (`forkweir.Balancer.on_list` has the forms)."""
        ...

    def on_unlisted_departures(self, addresses: list[Address], whole: bool) -> None:
        """Servers that this list never named drain or are gone; whole: in a line that was read whole (else until the next such line).

        Another source may name them (guards against a drain that is lost on a node because its list lost the addition before it).
        """
        ...


@dataclass(frozen=True, slots=True)
class SupersededEntry:
    """An entry of a list that is older than the departure of its server."""

    server: Server
    address: Address
    generation: int  # of that list


class AddressBook:
    """The servers that discovery listed, who of them leaves, and what is held against older or spoilt lists."""

    def __init__(self, node: ListObserver, pool: Pool) -> None:
        self.generation: Optional[int] = None  # of the last line that was taken whole
        self.written_ms = inf  # when what is taken now may have been written: the grace of a departure runs from then
        self.has_whole_list = False  # a whole line has been taken
        self._node = node
        self._pool = pool
        self._known: dict[str, Server] = {}  # each server of the book as a whole line last had it
        self._names_at: dict[Address, dict[str, None]] = {}
        self._unconfirmed = Hearsay()
        self._departures = Departures()
        self._starts = Starts()
        self._superseded: dict[
            str, SupersededEntry
        ] = {}  # in service by a list that is older than their departure
        self._release_timer: Optional[asyncio.TimerHandle] = None
        self._pending_additions: dict[
            str, Entry
        ] = {}  # of a long list: servers that are still to be added

    def restore(self, saved: dict[str, Any]) -> None:
        """Begin with the list as this node last had it. BadList where it is none; the node is told in any case."""
        entries: list[Server] = []
        try:
            if saved:
                generation, _, pairs = read(saved)
                entries = self._update(pairs)
                self.generation = generation
        finally:
            self._notify("saved", entries)

    # -- whole lines ---------------------------------------------------------------------

    def apply_line(
        self, generation: int, whole: bool, listed: list[Entry], complete: bool
    ) -> Iterator[None]:
        """Take a line that was read whole. Yields where the loop may run before more servers are added.

        all_missed: it tells all that was missed since the last line, so that nobody is held back any longer who is not in it.
        """
        missing = self._missing(generation, listed) if whole else {}
        large = whole and len(listed) > SLICE_SERVERS
        shared = _shared_addresses(listed) if large else set()
        pairs = self._without_superseded(
            generation, self._differing(listed, shared) if large else listed
        )
        if whole and self._superseded:
            for name in self._superseded.keys() - {server.name for server, _ in listed}:
                del self._superseded[name]
        released = self._unconfirmed.settle((server.name for server, _ in pairs), complete)
        if self._release_timer is not None and not self._unconfirmed.held:
            self._release_timer.cancel()
            self._release_timer = None
        if not large:
            self._notify(
                "full" if whole else "changes",
                [*self._release(released), *self._update(pairs, missing)],
            )
        else:
            urgent, deferred = self._split(pairs, shared)
            self._notify(
                "part" if deferred else "changes",
                [*self._release(released), *self._update(urgent, missing)],
            )
            yield from self._add_in_slices(deferred)
        self.generation, self.has_whole_list = generation, True

    def _add_in_slices(self, pairs: list[Entry]) -> Iterator[None]:
        self._pending_additions = {server.name: (server, address) for server, address in pairs}
        while self._pending_additions:
            yield
            part = [
                self._pending_additions.pop(name)
                for name in list(islice(self._pending_additions, SLICE_SERVERS))
            ]
            self._notify("part" if self._pending_additions else "changes", self._update(part))

    def _differing(self, listed: list[Entry], shared: set[Address]) -> list[Entry]:
        """The entries of a whole list that may not be as they are known.

        An entry that was read before is the same object (`listing.EntryCache`), so that this costs a look-up for each. Which of several
        servers at one address counts is told by all of them together.
        """
        known, held, departures = self._known, set(self._unconfirmed.held), self._departures
        return [
            (server, address)
            for server, address in listed
            if known.get(server.name) is not server
            or server.state != "in"
            or address in shared
            or server.name in held
            or server.name in departures
        ]

    def _split(self, pairs: list[Entry], shared: set[Address]) -> tuple[list[Entry], list[Entry]]:
        """The entries that count at once, and the new servers that may be added later: nothing else stands at their addresses."""
        book, urgent, deferred = self._node.servers, list[Entry](), list[Entry]()
        for pair in pairs:
            server, address = pair
            is_urgent = server.state == "gone" or server.name in book or address in shared
            (urgent if is_urgent else deferred).append(pair)
        return urgent, deferred

    def _missing(self, generation: int, listed: list[Entry]) -> dict[str, Server]:
        """Servers of the book that a whole list does not name, with what is to be told of them."""
        names = {server.name for server, _ in listed}
        missing = self._unlisted(name for name in self._node.servers if name not in names)
        for name, server in missing.items():
            self._departures.note(name, generation, server.started_ms, now_ms())
        return missing

    def _unlisted(self, names: Iterable[str]) -> dict[str, Server]:
        return {name: replace(self._known[name], state="unlisted") for name in names}

    def _notify(self, form: str, entries: Iterable[Server]) -> None:
        """Hand entries on, with their starts on this node's clock."""
        first, now = not self.has_whole_list and form != "hearsay", now_ms()
        self._node.on_list(form, [self._starts.read(server, first, now) for server in entries])

    # -- lines that are not whole --------------------------------------------------------

    def apply_unconfirmed(
        self, unconfirmed: list[UnconfirmedEntry], generation: Optional[int]
    ) -> None:
        """Claims of a line that is not whole: servers that drain, are gone or may be get nothing new until a whole line settles it.

        generation: of that line; None where it can't be read, and it is taken for the one after the latest.
        """
        book = self._node.servers
        reports: list[Word] = []
        unknown: list[Address] = []
        for entry in unconfirmed:
            name, state = entry.server.name, entry.server.state
            if self._known.get(name) is entry.server and state == "in":
                continue  # as it is known
            if name in self._pending_additions and state in ("draining", "gone"):
                server, address = self._pending_additions[name]
                self._pending_additions[name] = (
                    replace(server, state="draining"),
                    address,
                )  # it is added as one that gets nothing
            if name not in book and entry.address is not None and state in ("draining", "gone"):
                unknown.append(entry.address)
                # Who started there later ends whoever is known there: its end is among what is lost (see `_oust`; seed 20000704).
                started_ms = entry.server.started_ms
                same_address = [
                    other for other in self._names_at.get(entry.address, ()) if other in self._known
                ]
                reports += [
                    Word(other, "draining", same_place=True)
                    for other in same_address
                    if self._known[other].started_ms < started_ms
                ]
            current, known = book.get(name), self._known.get(name)
            if current is not None and known is not None:
                later = state == "in" and entry.server.started_ms > known.started_ms
                reports.append(Word(name, state, entry.address in (None, current.address), later))
        if unknown:
            self._node.on_unlisted_departures(unknown, whole=False)
        if not reports:
            return
        held_before = set(self._unconfirmed.held)
        in_service = sum(server.leaving_ms is None for server in book.values())
        reports = [
            report
            for report in reports
            if report.name in held_before or book[report.name].leaving_ms is None
        ]
        held_back, restarted = self._unconfirmed.heed(reports, in_service, now_ms())
        held = set(self._unconfirmed.held)
        for entry in unconfirmed:
            # Only who is held back, so that an older list may still bring back the last server (see `hearsay`).
            if entry.server.name in held and entry.server.state in ("draining", "gone"):
                stated = (self.generation or 0) + 1 if generation is None else generation
                self._departures.note(entry.server.name, stated, entry.server.started_ms, now_ms())
        entries = [replace(self._known[name], state="draining") for name in held_back]
        started_ms_of = {entry.server.name: entry.server.started_ms for entry in unconfirmed}
        for name in restarted:
            self._known[name] = replace(self._known[name], started_ms=started_ms_of[name])
            if name not in self._unconfirmed.held:
                entries.append(self._known[name])
        for name in held_back:
            self._mark_leaving(name, gone=False)
        if held_back:
            log.info("held back until a whole list comes: %s", ", ".join(held_back))
            if self._release_timer is not None:
                self._release_timer.cancel()
            self._release_timer = asyncio.get_running_loop().call_later(
                (SUSPECT_MS + 1.0) / 1000.0, self._release_expired
            )
        if entries:
            self._notify("hearsay", entries)

    def _release_expired(self) -> None:
        """Some servers may have been held back for long enough (the last word on any of them is that old)."""
        self._release_timer = None
        released = self._release(self._unconfirmed.lapse(now_ms()))
        if released:
            self._notify("hearsay", released)

    def _release(self, names: Iterable[str]) -> list[Server]:
        """Servers that are no longer held back, as the module shall hear it."""
        entries = []
        for name in names:
            server, known = self._node.servers.get(name), self._known.get(name)
            if server is not None and known is not None and known.state == "in":
                server.leaving_ms = None
                entries.append(known)
        return entries

    def _without_superseded(self, generation: int, pairs: list[Entry]) -> list[Entry]:
        """The entries of a list without those that are older than a departure: such a server goes on draining, or stays gone.

        Guards against a replica of discovery that is behind the one asked before, and puts servers back that drain. Harm: where
        another service counts generations otherwise, a server that returned meanwhile is used `departures.HOLD_MS` later.
        """
        kept: list[Entry] = []
        now = now_ms()
        for server, address in pairs:
            if (
                server.state == "in"
                and server.name not in self._departures
                and server.name not in self._superseded
            ):
                kept.append((server, address))
                continue
            if server.state == "in" and self._departures.outranks(
                server.name, generation, server.started_ms, now
            ):
                log.info(
                    "%s stays out: generation %d is older than its departure",
                    server.name,
                    generation,
                )
                if not self._superseded:
                    asyncio.get_running_loop().call_later(REINSTATE_INTERVAL_S, self._reinstate)
                self._superseded[server.name] = SupersededEntry(server, address, generation)
                if server.name in self._node.servers:
                    kept.append((replace(server, state="draining"), address))
                continue
            if server.state == "in":
                self._departures.returned(server.name)
            else:
                self._departures.note(server.name, generation, server.started_ms, now)
            self._superseded.pop(server.name, None)
            kept.append((server, address))
        return kept

    def _reinstate(self) -> None:
        """Who is out by a departure alone that has lapsed, and that no later list has confirmed, is in service."""
        now, pairs = now_ms(), []
        for name, entry in list(self._superseded.items()):
            if not self._departures.outranks(name, entry.generation, entry.server.started_ms, now):
                del self._superseded[name]
                self._departures.returned(name)
                pairs.append((entry.server, entry.address))
        if self._superseded:
            asyncio.get_running_loop().call_later(REINSTATE_INTERVAL_S, self._reinstate)
        if pairs:
            self._notify("hearsay", self._update(pairs))

    # -- the book ------------------------------------------------------------------------

    def _update(
        self, pairs: list[Entry], missing: Optional[dict[str, Server]] = None
    ) -> list[Server]:
        """Bring the book up to date, and give the entries in the terms of the decisions.

        vanished: who is no longer listed, where these are of a whole list; None where they are changes alone.
        """
        book = self._node.servers
        unknown = [
            address
            for server, address in pairs
            if server.state == "gone" and server.name not in book
        ]
        if unknown:
            self._node.on_unlisted_departures(unknown, whole=True)
        replaced, kept = self._remove_replaced(pairs)
        if missing is not None and len(kept) < len(pairs):
            names = {server.name for server, _ in kept}
            missing |= self._unlisted(
                server.name
                for server, _ in pairs
                if server.name in book and server.name not in names
            )
        for server, address in kept:
            known = book.get(server.name)
            if server.state == "gone" or (known is not None and known.address != address):
                self._mark_leaving(server.name, gone=True)
                known = None
            if server.state == "gone":
                continue
            if known is None:
                known = book[server.name] = CacheServer(server.name, address)
                self._names_at.setdefault(address, {})[server.name] = None
            self._known[server.name] = server
            if server.state == "draining":
                self._mark_leaving(server.name, gone=False)
            else:
                known.leaving_ms = None
        unlisted = [server for name, server in (missing or {}).items() if name in book]
        for server in unlisted:
            self._mark_leaving(server.name, gone=True)
        return replaced + [server for server, _ in kept] + unlisted

    def _remove_replaced(self, pairs: list[Entry]) -> tuple[list[Server], list[Entry]]:
        """Who is gone because another serves at its address now, as the decisions shall hear it, and the entries that count.

        Guards against the keys of a server whose end is not told yet going to the cold one that took its place. Harm: a list
        that gives two servers in service one address keeps only the last.
        """
        owner_of = {address: server.name for server, address in pairs if server.state == "in"}
        address_of = {server.name: address for server, address in pairs}
        latest_leaving: dict[Address, Server] = {}  # who leaves from an address, started last
        for server, address in pairs:
            if server.state == "draining" and server.started_ms > getattr(
                latest_leaving.get(address), "started_ms", 0.0
            ):
                latest_leaving[address] = server

        def succeeded(server: Server, address: Address) -> bool:
            """Whether one that started there later already leaves (guards against its drain broken under the name of the one before it)."""
            successor = latest_leaving.get(address)
            return (
                successor is not None
                and successor.name != server.name
                and successor.started_ms > server.started_ms
            )

        removed = []
        for address in dict.fromkeys([*owner_of, *latest_leaving]):
            for name in list(self._names_at.get(address, ())):
                is_replaced = owner_of.get(address, name) != name or succeeded(
                    self._known[name], address
                )
                if is_replaced and address_of.get(name, address) == address:
                    self._mark_leaving(name, gone=True)
                    removed.append(Server(name, state="gone"))
        serving = sum(server.state == "in" for server, _ in pairs)
        if not removed and not latest_leaving and len(owner_of) == serving:
            return removed, pairs
        named = {server.name for server in removed}
        return removed, [
            (server, address)
            for server, address in pairs
            if server.name not in named
            and (
                server.state != "in"
                or (owner_of[address] == server.name and not succeeded(server, address))
            )
        ]

    def _mark_leaving(self, name: str, gone: bool) -> None:
        server = self._node.servers.get(name)
        if server is None:
            return
        if server.leaving_ms is None:
            server.leaving_ms = min(now_ms(), self.written_ms)
        self._pool.forget(server)
        if gone:
            del self._node.servers[name]
            self._known.pop(name, None)
            names = self._names_at.get(server.address, {})
            names.pop(name, None)
            if not names:
                self._names_at.pop(server.address, None)


def _shared_addresses(listed: list[Entry]) -> set[Address]:
    """The addresses that more than one entry has."""
    seen: set[Address] = set()
    shared: set[Address] = set()
    for _, address in listed:
        (shared if address in seen else seen).add(address)
    return shared
