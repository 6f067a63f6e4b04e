"""The address book: the cache servers that discovery lists, as the node and its decisions use them.

Applies complete lines, and the unconfirmed entries of corrupt or partial lines
(`listing.unconfirmed_entries`). Departures outrank older lists (`forkweir.known.departures`), and
start times are converted to this node's clock (`forkweir.known.start_times`).

A full list names all servers. One of more than SLICE_SERVERS servers costs a few lookups for each
entry, and beyond that in proportion to the entries that differ from the known ones. It is applied
in slices: at once the servers that leave, change or share an address, then new servers in slices of
SLICE_SERVERS, between which the caller lets the loop run. A shorter list, or a line of changes, is
applied at once.

Terms:

- generation: discovery's version number of its list, which grows with each change
- held back: a server gets no new requests until a complete line confirms or clears what a partial
  one said of it (`forkweir.known.unconfirmed`)
- unreadable: state of a server of whose entry only the name could be read
- unlisted: state of a server that a full list no longer names
- grace period: the time after the notification of a departure in which requests may still be sent
  to the server (`forkweir.send_guard`)
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from itertools import islice
from math import inf
from typing import Any, Optional, Protocol

from corkshift.listing import RecoveredEntry, read
from corkshift.seam import Address, now_ms
from corkshift.upstream import CacheServer, Pool
from forkweir import Server
from forkweir.known.departures import Departure, Departures
from forkweir.known.start_times import StartTimes
from forkweir.known.unconfirmed import UNREADABLE_TIMEOUT_MS, UnconfirmedEntries, UnconfirmedEntry

log = logging.getLogger(__name__)

# Between checks whether a departure that is newer than its server's entry has expired.
REINSTATE_INTERVAL_S = 1.0
SLICE_SERVERS = 256  # added per iteration of the event loop, which takes about 2 ms

Entry = tuple[Server, Address]


class ListObserver(Protocol):
    """Is notified of the list: a node, or the merger of several sources (`corkshift/sources`)."""

    servers: dict[str, CacheServer]

    def on_list(self, form: str, entries: Iterable[Server]) -> None:
        """The address book has changed, or could not be updated.

        `forkweir.Balancer.on_list` describes the forms.
        """
        ...

    def on_unlisted_departures(self, addresses: list[Address], complete: bool) -> None:
        """Servers that are not in the address book drain or are removed.

        complete: a complete line says that they are removed. Otherwise a partial or corrupt line
        says that they drain or are removed, and this holds until the next complete line. Another
        source may name these servers: without this notification, a node would lose a drain if its
        list had lost the server's addition before it.
        """
        ...


@dataclass(frozen=True, slots=True)
class SupersededEntry:
    """An entry in state "in" of a list that is older than the departure of its server."""

    server: Server
    address: Address
    generation: int  # the list's


class AddressBook:
    """The servers that discovery lists, and what overrides older or partial lists."""

    def __init__(self, node: ListObserver, pool: Pool) -> None:
        self.generation: Optional[int] = None  # of the last complete line, or of the saved list
        # When the input being applied may have been written. The grace period of a departure
        # starts then.
        self.written_ms = inf
        self.complete_line_applied = False
        self._node = node
        self._pool = pool
        # The entry of each server in the address book: that of the last complete line which named
        # it, "draining" instead of "in" if its departure is newer than the line, and with the start
        # time of a later unconfirmed entry.
        self._known: dict[str, Server] = {}
        self._names_at: dict[Address, dict[str, None]] = {}
        self._unconfirmed = UnconfirmedEntries()
        self._departures = Departures()
        self._starts = StartTimes()
        # The entries that were overridden by a later departure, until it expires.
        self._superseded: dict[str, SupersededEntry] = {}
        self._release_timer: Optional[asyncio.TimerHandle] = None
        # Called with name, generation and start time of each server that a complete line removes
        # from service, before the line is applied.
        self.on_departure: Callable[[str, int, float], None] = lambda *_: None
        # New servers of a long list that are still to be added.
        self._pending_additions: dict[str, Entry] = {}

    def restore(self, saved: dict[str, Any]) -> None:
        """Start from the list that this node last saved. BadList if it is malformed.

        The node is notified in either case.
        """
        entries: list[Server] = []
        try:
            if saved:
                generation, _, pairs = read(saved)
                entries = self._update(pairs)
                self.generation = generation
        finally:
            self._notify("saved", entries)

    # -- complete lines ------------------------------------------------------------------

    def apply_line(
        self, generation: int, full: bool, listed: list[Entry], gapless: bool
    ) -> Iterator[None]:
        """Apply a complete line. Yields where the loop may run between slices.

        full: it is a full list, not a line of changes. gapless: it includes every change since the
        last line, so that servers which unconfirmed entries hold back and which it does not name
        are released.
        """
        missing = self._missing(generation, listed) if full else {}
        large = full and len(listed) > SLICE_SERVERS
        shared = _shared_addresses(listed) if large else set()
        pairs = self._without_superseded(
            generation, self._differing(listed, shared) if large else listed
        )
        if full and self._superseded:
            for name in self._superseded.keys() - {server.name for server, _ in listed}:
                del self._superseded[name]
        released = self._unconfirmed.confirm((server.name for server, _ in pairs), gapless)
        if self._release_timer is not None and not self._unconfirmed.held_back:
            self._release_timer.cancel()
            self._release_timer = None
        if not large:
            self._notify(
                "full" if full else "changes",
                [*self._release(released), *self._update(pairs, missing)],
            )
        else:
            urgent, deferred = self._split(pairs, shared)
            # In form "changes", since "full" would remove every server that is not passed on, and
            # unchanged servers are not. Removed servers are among `missing`.
            self._notify(
                "part" if deferred else "changes",
                [*self._release(released), *self._update(urgent, missing)],
            )
            yield from self._add_in_slices(deferred)
        self.generation, self.complete_line_applied = generation, True

    def _add_in_slices(self, pairs: list[Entry]) -> Iterator[None]:
        """Add the new servers of a long list; yields before each slice.

        The last slice is passed on in form "changes", which ends a series in form "part".
        """
        self._pending_additions = {server.name: (server, address) for server, address in pairs}
        while self._pending_additions:
            yield
            part = [
                self._pending_additions.pop(name)
                for name in list(islice(self._pending_additions, SLICE_SERVERS))
            ]
            self._notify("part" if self._pending_additions else "changes", self._update(part))

    def _differing(self, listed: list[Entry], shared: set[Address]) -> list[Entry]:
        """The entries of a full list that may differ from the known ones.

        An unchanged entry is the same object (`listing.EntryCache`), so each costs one lookup. All
        entries that share an address are included, as they decide together which of them counts.
        """
        known, held, departures = self._known, set(self._unconfirmed.held_back), self._departures
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
        """The entries to apply at once, and the new servers that may be added later.

        The latter share their addresses with no other entry.
        """
        book, urgent, deferred = self._node.servers, list[Entry](), list[Entry]()
        for pair in pairs:
            server, address = pair
            is_urgent = server.state == "gone" or server.name in book or address in shared
            (urgent if is_urgent else deferred).append(pair)
        return urgent, deferred

    def _missing(self, generation: int, listed: list[Entry]) -> dict[str, Server]:
        """Record the departure of each known server that a full list does not name.

        Returns these servers as entries in state "unlisted".
        """
        names = {server.name for server, _ in listed}
        missing = self._unlisted(name for name in self._node.servers if name not in names)
        for server in missing.values():
            self._confirm_departure(server, generation)
        return missing

    def _unlisted(self, names: Iterable[str]) -> dict[str, Server]:
        return {name: replace(self._known[name], state="unlisted") for name in names}

    def _notify(self, form: str, entries: Iterable[Server]) -> None:
        """Pass entries on, with their start times on this node's clock.

        Form `hearsay` is the outward name for entries that no complete line has confirmed; they
        never count as those of the first list.
        """
        first, now = not self.complete_line_applied and form != "hearsay", now_ms()
        self._node.on_list(form, [self._starts.localize(server, first, now) for server in entries])

    # -- incomplete lines ----------------------------------------------------------------

    def apply_unconfirmed(
        self, unconfirmed: list[RecoveredEntry], generation: Optional[int]
    ) -> None:
        """Apply the entries of a partial or corrupt line.

        Servers that drain, are removed or are unreadable in it are held back, that is, they get no
        new requests, until a complete line names them or is gapless (see `apply_line`). Those that
        are unreadable are released after UNREADABLE_TIMEOUT_MS at the earliest (see
        `_release_expired`). The limits of `UnconfirmedEntries` apply.

        generation: that of the partial or corrupt line. If it is None, it could not be read, and
        the generation after that of the last complete line is assumed.
        """
        book = self._node.servers
        reports: list[UnconfirmedEntry] = []
        unknown: list[Address] = []
        for entry in unconfirmed:
            name, state = entry.server.name, entry.server.state
            if self._known.get(name) is entry.server and state == "in":
                continue  # unchanged
            if name in self._pending_additions and state in ("draining", "gone"):
                server, address = self._pending_additions[name]
                # It is added later as a draining server, which gets no new requests.
                self._pending_additions[name] = (replace(server, state="draining"), address)
            if name not in book and state in ("draining", "gone"):
                # The list that adds it may still be applied, and is older than this entry.
                self._record_departure(entry.server, generation)
            if name not in book and entry.address is not None and state in ("draining", "gone"):
                unknown.append(entry.address)
                # A server that started later at an address replaces the one known there, whose
                # removal is among the lost changes (see `_remove_replaced`; seed 20000704,
                # tests/regressions/drain-under-the-next-name-in-a-lost-line.toml).
                started_ms = entry.server.started_ms
                same_address = [
                    other for other in self._names_at.get(entry.address, ()) if other in self._known
                ]
                reports += [
                    UnconfirmedEntry(other, "draining", same_address=True)
                    for other in same_address
                    if self._known[other].started_ms < started_ms
                ]
            current, known = book.get(name), self._known.get(name)
            if current is not None and known is not None:
                later = state == "in" and entry.server.started_ms > known.started_ms
                reports.append(
                    UnconfirmedEntry(name, state, entry.address in (None, current.address), later)
                )
        if unknown:
            self._node.on_unlisted_departures(unknown, complete=False)
        if not reports:
            return
        held_before = set(self._unconfirmed.held_back)
        in_service_count = sum(server.leaving_ms is None for server in book.values())
        reports = [
            report
            for report in reports
            if report.name in held_before or book[report.name].leaving_ms is None
        ]
        held_back, restarted = self._unconfirmed.apply(reports, in_service_count, now_ms())
        held = set(self._unconfirmed.held_back)
        for entry in unconfirmed:
            # Only for held-back servers, so that an older list can still reinstate the last server,
            # which is never held back (see `forkweir.known`).
            if entry.server.name in held and entry.server.state in ("draining", "gone"):
                self._record_departure(entry.server, generation)
        entries = [replace(self._known[name], state="draining") for name in held_back]
        started_ms_of = {entry.server.name: entry.server.started_ms for entry in unconfirmed}
        for name in restarted:
            self._known[name] = replace(self._known[name], started_ms=started_ms_of[name])
            if name not in self._unconfirmed.held_back:
                entries.append(self._known[name])
        for name in held_back:
            self._mark_leaving(name, gone=False)
        if held_back:
            log.info("held back until a whole list comes: %s", ", ".join(held_back))
            if self._release_timer is not None:
                self._release_timer.cancel()
            self._release_timer = asyncio.get_running_loop().call_later(
                (UNREADABLE_TIMEOUT_MS + 1.0) / 1000.0, self._release_expired
            )
        if entries:
            self._notify("hearsay", entries)

    def departures(self) -> list[tuple[str, Departure]]:
        """The departures that are remembered, by server."""
        return self._departures.items()

    def apply_peer_departures(self, generation: int, servers: Iterable[Server]) -> None:
        """Apply the departures in a line of which another process of this node was notified.

        Ignored where the list of this process is as new. The servers are held back until a complete
        line of this process names them.
        """
        if self.generation is None or generation > self.generation:
            self.apply_unconfirmed([RecoveredEntry(server, None) for server in servers], generation)

    def _confirm_departure(self, server: Server, generation: int) -> None:
        """Record a departure that a complete line of this generation states."""
        is_new = self._departures.generation_of(server.name) < generation
        self._departures.record(server.name, generation, server.started_ms, now_ms())
        if is_new:
            self.on_departure(server.name, generation, server.started_ms)

    def _record_departure(self, server: Server, generation: Optional[int]) -> None:
        """Record an unconfirmed departure; generation as for `apply_unconfirmed`."""
        stated = (self.generation or 0) + 1 if generation is None else generation
        self._departures.record(server.name, stated, server.started_ms, now_ms())

    def _release_expired(self) -> None:
        """Release the servers whose time for an unreadable entry is over.

        The timer starts again whenever servers are held back, so that a server may be released
        later than UNREADABLE_TIMEOUT_MS after its own entry. Notifies in form `hearsay`.
        """
        self._release_timer = None
        released = self._release(self._unconfirmed.expire(now_ms()))
        if released:
            self._notify("hearsay", released)

    def _release(self, names: Iterable[str]) -> list[Server]:
        """Mark servers as no longer leaving, and return their entries for the decisions."""
        entries = []
        for name in names:
            server, known = self._node.servers.get(name), self._known.get(name)
            if server is not None and known is not None and known.state == "in":
                server.leaving_ms = None
                entries.append(known)
        return entries

    def _without_superseded(self, generation: int, pairs: list[Entry]) -> list[Entry]:
        """Return the entries of a list as they apply, given the departures; update the departures.

        An entry in state "in" that is older than its server's departure is kept for `_reinstate`.
        For now the server drains, or stays removed if it is not in the address book. Guards against
        a replica of discovery that lags behind the one called before and would put draining servers
        back. Drawback: if discovery is another service by now, with lower generations, a server
        that has returned to service is not used until `departures.HOLD_MS` after its departure.
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
                    "%s stays out of service: generation %d is older than its departure",
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
                self._departures.forget(server.name)
            else:
                self._confirm_departure(server, generation)
            self._superseded.pop(server.name, None)
            kept.append((server, address))
        return kept

    def _reinstate(self) -> None:
        """Put servers back in service whose departure expired without confirmation by a list.

        Notifies in form `hearsay`.
        """
        now, pairs = now_ms(), []
        for name, entry in list(self._superseded.items()):
            if not self._departures.outranks(name, entry.generation, entry.server.started_ms, now):
                del self._superseded[name]
                self._departures.forget(name)
                pairs.append((entry.server, entry.address))
        if self._superseded:
            asyncio.get_running_loop().call_later(REINSTATE_INTERVAL_S, self._reinstate)
        if pairs:
            self._notify("hearsay", self._update(pairs))

    # -- the book ------------------------------------------------------------------------

    def _update(
        self, pairs: list[Entry], missing: Optional[dict[str, Server]] = None
    ) -> list[Server]:
        """Update the address book, and return the entries for the decisions.

        missing: the servers that a full list no longer names, as entries; empty for a line of
        changes. To it are added the servers in the address book whose entries in `pairs` do not
        count by `_remove_replaced`; all of these are removed. None: such servers are left as they
        are (the saved list, slices of new servers and reinstated servers).
        """
        book = self._node.servers
        unknown = [
            address
            for server, address in pairs
            if server.state == "gone" and server.name not in book
        ]
        if unknown:
            self._node.on_unlisted_departures(unknown, complete=True)
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
        """Remove servers that another one at their address replaces.

        That one is in service according to `pairs`, or started later and drains. Returns the
        removed ones as entries for the decisions, and the entries of `pairs` that count. Otherwise,
        until the removal of a server is notified, its keys would go to the cold server that took
        its address. Drawback: of two servers in service at one address, only the last in `pairs`
        counts.
        """
        owner_of = {address: server.name for server, address in pairs if server.state == "in"}
        address_of = {server.name: address for server, address in pairs}
        # At each address the draining server that started last, of those with a start time.
        latest_leaving: dict[Address, Server] = {}
        for server, address in pairs:
            if server.state == "draining" and server.started_ms > getattr(
                latest_leaving.get(address), "started_ms", 0.0
            ):
                latest_leaving[address] = server

        def succeeded(server: Server, address: Address) -> bool:
            """Whether another server, which started later at the address, already drains.

            Otherwise requests for the earlier server would reach the later one during its drain.
            """
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
        self._pool.close_idle_of(server)
        if gone:
            del self._node.servers[name]
            self._known.pop(name, None)
            names = self._names_at.get(server.address, {})
            names.pop(name, None)
            if not names:
                self._names_at.pop(server.address, None)


def _shared_addresses(listed: list[Entry]) -> set[Address]:
    """The addresses that more than one entry shares."""
    seen: set[Address] = set()
    shared: set[Address] = set()
    for _, address in listed:
        (shared if address in seen else seen).add(address)
    return shared
