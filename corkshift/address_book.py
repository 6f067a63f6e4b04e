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

from corkshift.listing import Claim, read
from corkshift.seam import Address, now_ms
from corkshift.upstream import CacheServer, Pool
from forkweir import Server
from forkweir.known.departures import Departures
from forkweir.known.start_times import StartTimes
from forkweir.known.unconfirmed import UNREADABLE_TIMEOUT_MS, UnconfirmedEntries, UnconfirmedEntry

log = logging.getLogger(__name__)

REINSTATE_S = 1.0  # between two looks at servers that are out by a departure alone
SLICE_SERVERS = 256  # that are added between two turns of the loop: some 2 ms

Entry = tuple[Server, Address]


class Listener(Protocol):
    """Who hears of the list: a node, or what merges it with other sources (`corkshift/sources`)."""

    servers: dict[str, CacheServer]

    def on_list(self, form: str, entries: Iterable[Server]) -> None:
        """The address book has changed, or could not be brought up to date (`forkweir.Balancer.on_list` has the forms)."""
        ...

    def overheard(self, places: list[Address], whole: bool) -> None:
        """Servers that this list never named drain or are gone; whole: in a line that was read whole (else until the next such line).

        Another source may name them (guards against a drain that is lost on a node because its list lost the addition before it).
        """
        ...


@dataclass(frozen=True, slots=True)
class Overruled:
    """An entry of a list that is older than the departure of its server."""

    server: Server
    address: Address
    generation: int  # of that list


class AddressBook:
    """The servers that discovery listed, who of them leaves, and what is held against older or spoilt lists."""

    def __init__(self, node: Listener, pool: Pool) -> None:
        self.generation: Optional[int] = None  # of the last line that was taken whole
        self.written_ms = inf  # when what is taken now may have been written: the grace of a departure runs from then
        self.read = False  # a whole line has been taken
        self._node = node
        self._pool = pool
        self._known: dict[str, Server] = {}  # each server of the book as a whole line last had it
        self._names_at: dict[Address, dict[str, None]] = {}
        self._hearsay = UnconfirmedEntries()
        self._departures = Departures()
        self._starts = StartTimes()
        self._overruled: dict[
            str, Overruled
        ] = {}  # in service by a list that is older than their departure
        self._lapsing: Optional[asyncio.TimerHandle] = None
        self._to_add: dict[str, Entry] = {}  # of a long list: servers that are still to be added

    def restore(self, saved: dict[str, Any]) -> None:
        """Begin with the list as this node last had it. BadList where it is none; the node is told in any case."""
        entries: list[Server] = []
        try:
            if saved:
                generation, _, pairs = read(saved)
                entries = self._change(pairs)
                self.generation = generation
        finally:
            self._tell("saved", entries)

    # -- whole lines ---------------------------------------------------------------------

    def take(
        self, generation: int, whole: bool, listed: list[Entry], all_missed: bool
    ) -> Iterator[None]:
        """Take a line that was read whole. Yields where the loop may run before more servers are added.

        all_missed: it tells all that was missed since the last line, so that nobody is held back any longer who is not in it.
        """
        vanished = self._vanished(generation, listed) if whole else {}
        large = whole and len(listed) > SLICE_SERVERS
        shared = _shared_addresses(listed) if large else set()
        pairs = self._overrule(generation, self._differing(listed, shared) if large else listed)
        if whole and self._overruled:
            for name in self._overruled.keys() - {server.name for server, _ in listed}:
                del self._overruled[name]
        free = self._hearsay.confirm((server.name for server, _ in pairs), all_missed)
        if self._lapsing is not None and not self._hearsay.held_back:
            self._lapsing.cancel()
            self._lapsing = None
        if not large:
            self._tell(
                "full" if whole else "changes", [*self._back(free), *self._change(pairs, vanished)]
            )
        else:
            now, later = self._split(pairs, shared)
            self._tell(
                "part" if later else "changes", [*self._back(free), *self._change(now, vanished)]
            )
            yield from self._add_in_slices(later)
        self.generation, self.read = generation, True

    def _add_in_slices(self, pairs: list[Entry]) -> Iterator[None]:
        self._to_add = {server.name: (server, address) for server, address in pairs}
        while self._to_add:
            yield
            part = [self._to_add.pop(name) for name in list(islice(self._to_add, SLICE_SERVERS))]
            self._tell("part" if self._to_add else "changes", self._change(part))

    def _differing(self, listed: list[Entry], shared: set[Address]) -> list[Entry]:
        """The entries of a whole list that may not be as they are known.

        An entry that was read before is the same object (`listing.EntryCache`), so that this costs a look-up for each. Which of several
        servers at one address counts is told by all of them together.
        """
        known, held, departures = self._known, set(self._hearsay.held_back), self._departures
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
        book, now, later = self._node.servers, list[Entry](), list[Entry]()
        for pair in pairs:
            server, address = pair
            at_once = server.state == "gone" or server.name in book or address in shared
            (now if at_once else later).append(pair)
        return now, later

    def _vanished(self, generation: int, listed: list[Entry]) -> dict[str, Server]:
        """Servers of the book that a whole list does not name, with what is to be told of them."""
        names = {server.name for server, _ in listed}
        gone = self._unlisted(name for name in self._node.servers if name not in names)
        for name, server in gone.items():
            self._departures.record(name, generation, server.started_ms, now_ms())
        return gone

    def _unlisted(self, names: Iterable[str]) -> dict[str, Server]:
        return {name: replace(self._known[name], state="unlisted") for name in names}

    def _tell(self, form: str, entries: Iterable[Server]) -> None:
        """Hand entries on, with their starts on this node's clock."""
        first, now = not self.read and form != "hearsay", now_ms()
        self._node.on_list(form, [self._starts.localize(server, first, now) for server in entries])

    # -- lines that are not whole --------------------------------------------------------

    def heed(self, claims: list[Claim], generation: Optional[int]) -> None:
        """Claims of a line that is not whole: servers that drain, are gone or may be get nothing new until a whole line settles it.

        generation: of that line; None where it can't be read, and it is taken for the one after the latest.
        """
        book = self._node.servers
        words: list[UnconfirmedEntry] = []
        strangers: list[Address] = []
        for claim in claims:
            name, state = claim.server.name, claim.server.state
            if self._known.get(name) is claim.server and state == "in":
                continue  # as it is known
            if name in self._to_add and state in ("draining", "gone"):
                server, address = self._to_add[name]
                self._to_add[name] = (
                    replace(server, state="draining"),
                    address,
                )  # it is added as one that gets nothing
            if name not in book and claim.address is not None and state in ("draining", "gone"):
                strangers.append(claim.address)
                # Who started there later ends whoever is known there: its end is among what is lost (see `_oust`; seed 20000704).
                begun = claim.server.started_ms
                at_place = [
                    other for other in self._names_at.get(claim.address, ()) if other in self._known
                ]
                words += [
                    UnconfirmedEntry(other, "draining", same_address=True)
                    for other in at_place
                    if self._known[other].started_ms < begun
                ]
            there, known = book.get(name), self._known.get(name)
            if there is not None and known is not None:
                later = state == "in" and claim.server.started_ms > known.started_ms
                words.append(
                    UnconfirmedEntry(name, state, claim.address in (None, there.address), later)
                )
        if strangers:
            self._node.overheard(strangers, whole=False)
        if not words:
            return
        held_before = set(self._hearsay.held_back)
        in_service = sum(server.leaving_ms is None for server in book.values())
        words = [
            word for word in words if word.name in held_before or book[word.name].leaving_ms is None
        ]
        back, cold = self._hearsay.apply(words, in_service, now_ms())
        held = set(self._hearsay.held_back)
        for claim in claims:
            # Only who is held back, so that an older list may still bring back the last server (see `hearsay`).
            if claim.server.name in held and claim.server.state in ("draining", "gone"):
                stated = (self.generation or 0) + 1 if generation is None else generation
                self._departures.record(
                    claim.server.name, stated, claim.server.started_ms, now_ms()
                )
        entries = [replace(self._known[name], state="draining") for name in back]
        starts = {claim.server.name: claim.server.started_ms for claim in claims}
        for name in cold:
            self._known[name] = replace(self._known[name], started_ms=starts[name])
            if name not in self._hearsay.held_back:
                entries.append(self._known[name])
        for name in back:
            self._leave(name, gone=False)
        if back:
            log.info("held back until a whole list comes: %s", ", ".join(back))
            if self._lapsing is not None:
                self._lapsing.cancel()
            self._lapsing = asyncio.get_running_loop().call_later(
                (UNREADABLE_TIMEOUT_MS + 1.0) / 1000.0, self._lapse
            )
        if entries:
            self._tell("hearsay", entries)

    def _lapse(self) -> None:
        """Some servers may have been held back for long enough (the last word on any of them is that old)."""
        self._lapsing = None
        free = self._back(self._hearsay.expire(now_ms()))
        if free:
            self._tell("hearsay", free)

    def _back(self, names: Iterable[str]) -> list[Server]:
        """Servers that are no longer held back, as the module shall hear it."""
        entries = []
        for name in names:
            server, known = self._node.servers.get(name), self._known.get(name)
            if server is not None and known is not None and known.state == "in":
                server.leaving_ms = None
                entries.append(known)
        return entries

    def _overrule(self, generation: int, pairs: list[Entry]) -> list[Entry]:
        """The entries of a list without those that are older than a departure: such a server goes on draining, or stays gone.

        Guards against a replica of discovery that is behind the one asked before, and puts servers back that drain. Harm: where
        another service counts generations otherwise, a server that returned meanwhile is used `departures.HOLD_MS` later.
        """
        taken: list[Entry] = []
        now = now_ms()
        for server, address in pairs:
            if (
                server.state == "in"
                and server.name not in self._departures
                and server.name not in self._overruled
            ):
                taken.append((server, address))
                continue
            if server.state == "in" and self._departures.outranks(
                server.name, generation, server.started_ms, now
            ):
                log.info(
                    "%s stays out: generation %d is older than its departure",
                    server.name,
                    generation,
                )
                if not self._overruled:
                    asyncio.get_running_loop().call_later(REINSTATE_S, self._reinstate)
                self._overruled[server.name] = Overruled(server, address, generation)
                if server.name in self._node.servers:
                    taken.append((replace(server, state="draining"), address))
                continue
            if server.state == "in":
                self._departures.forget(server.name)
            else:
                self._departures.record(server.name, generation, server.started_ms, now)
            self._overruled.pop(server.name, None)
            taken.append((server, address))
        return taken

    def _reinstate(self) -> None:
        """Who is out by a departure alone that has lapsed, and that no later list has confirmed, is in service."""
        now, pairs = now_ms(), []
        for name, entry in list(self._overruled.items()):
            if not self._departures.outranks(name, entry.generation, entry.server.started_ms, now):
                del self._overruled[name]
                self._departures.forget(name)
                pairs.append((entry.server, entry.address))
        if self._overruled:
            asyncio.get_running_loop().call_later(REINSTATE_S, self._reinstate)
        if pairs:
            self._tell("hearsay", self._change(pairs))

    # -- the book ------------------------------------------------------------------------

    def _change(
        self, pairs: list[Entry], vanished: Optional[dict[str, Server]] = None
    ) -> list[Server]:
        """Bring the book up to date, and give the entries in the terms of the decisions.

        vanished: who is no longer listed, where these are of a whole list; None where they are changes alone.
        """
        book = self._node.servers
        strangers = [
            address
            for server, address in pairs
            if server.state == "gone" and server.name not in book
        ]
        if strangers:
            self._node.overheard(strangers, whole=True)
        ousted, kept = self._oust(pairs)
        if vanished is not None and len(kept) < len(pairs):
            names = {server.name for server, _ in kept}
            vanished |= self._unlisted(
                server.name
                for server, _ in pairs
                if server.name in book and server.name not in names
            )
        for server, address in kept:
            known = book.get(server.name)
            if server.state == "gone" or (known is not None and known.address != address):
                self._leave(server.name, gone=True)
                known = None
            if server.state == "gone":
                continue
            if known is None:
                known = book[server.name] = CacheServer(server.name, address)
                self._names_at.setdefault(address, {})[server.name] = None
            self._known[server.name] = server
            if server.state == "draining":
                self._leave(server.name, gone=False)
            else:
                known.leaving_ms = None
        unlisted = [server for name, server in (vanished or {}).items() if name in book]
        for server in unlisted:
            self._leave(server.name, gone=True)
        return ousted + [server for server, _ in kept] + unlisted

    def _oust(self, pairs: list[Entry]) -> tuple[list[Server], list[Entry]]:
        """Who is gone because another serves at its address now, as the decisions shall hear it, and the entries that count.

        Guards against the keys of a server whose end is not told yet going to the cold one that took its place. Harm: a list
        that gives two servers in service one address keeps only the last.
        """
        taken = {address: server.name for server, address in pairs if server.state == "in"}
        there = {server.name: address for server, address in pairs}
        latest: dict[Address, Server] = {}  # who leaves from an address, started last
        for server, address in pairs:
            if server.state == "draining" and server.started_ms > getattr(
                latest.get(address), "started_ms", 0.0
            ):
                latest[address] = server

        def outlived(server: Server, address: Address) -> bool:
            """Whether one that started there later already leaves (guards against its drain broken under the name of the one before it)."""
            after = latest.get(address)
            return (
                after is not None
                and after.name != server.name
                and after.started_ms > server.started_ms
            )

        gone = []
        for address in dict.fromkeys([*taken, *latest]):
            for name in list(self._names_at.get(address, ())):
                another = taken.get(address, name) != name or outlived(self._known[name], address)
                if another and there.get(name, address) == address:
                    self._leave(name, gone=True)
                    gone.append(Server(name, state="gone"))
        serving = sum(server.state == "in" for server, _ in pairs)
        if not gone and not latest and len(taken) == serving:
            return gone, pairs
        named = {server.name for server in gone}
        return gone, [
            (server, address)
            for server, address in pairs
            if server.name not in named
            and (
                server.state != "in"
                or (taken[address] == server.name and not outlived(server, address))
            )
        ]

    def _leave(self, name: str, gone: bool) -> None:
        server = self._node.servers.get(name)
        if server is None:
            return
        if server.leaving_ms is None:
            server.leaving_ms = min(now_ms(), self.written_ms)
        self._pool.close_idle_of(server)
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
