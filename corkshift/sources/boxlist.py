"""The server list of discovery as one source among others.

The protocol is unchanged: `corkshift.discovery` still keeps the watch.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from corkshift.seam import Address
from corkshift.sources import Sink
from corkshift.upstream import CacheServer
from forkweir import Server
from forkweir.known.membership import BoxState, Claim

MAX_UNCONFIRMED = 4_096  # addresses of servers that the list never named


def claim_of(server: Server, address: Address) -> Claim:
    """The claim for a listed server that is in service or drains."""
    state: BoxState = "draining" if server.state == "draining" else "in"
    return Claim(
        address,
        state,
        server.name,
        server.zone,
        server.kind,
        server.cell,
        server.weight,
        started_ms=server.started_ms,
    )


class BoxList:
    """The address book that discovery writes to; its entries become claims."""

    def __init__(
        self,
        sink: Sink,
        report_state: Callable[[str], None],
        has_alternative: Callable[[Address], bool],
    ) -> None:
        """A source that sends its claims to `sink`.

        report_state: called with "failed", "lost" or "moved"; the module then decides when
        discovery is called again. has_alternative: whether any box other than the one at an
        address is in service.
        """
        self.servers: dict[str, CacheServer] = {}
        self._sink = sink
        self._report_state = report_state
        self._has_alternative = has_alternative
        self._entries: dict[str, Server] = {}
        self._addresses: dict[str, Address] = {}
        self._unconfirmed_drains: dict[Address, None] = {}  # until a complete line is read
        self._unconfirmed_removals: list[Claim] = []  # of the line being read

    def on_unlisted_departures(self, addresses: list[Address], complete: bool) -> None:
        """Receive addresses of servers that drain or are removed but that the list never named.

        Another source may name them (see `corkshift.address_book.ListObserver`). complete: whether
        the line was read to its end. Entries of a partial line never drain the last server in
        service.
        """
        if complete:
            self._unconfirmed_removals += [
                Claim(address, "gone") for address in addresses[:MAX_UNCONFIRMED]
            ]
            return
        for address in addresses:
            if (
                len(self._unconfirmed_drains) < MAX_UNCONFIRMED
                and address not in self._unconfirmed_drains
                and self._has_alternative(address)
            ):
                self._unconfirmed_drains[address] = None
                self._sink.update("list", [Claim(address, "draining")], full=False)

    def on_list(self, form: str, entries: Iterable[Server]) -> None:
        """Receive what goes to `Node.on_list` where the server list is the only source."""
        if form in ("failed", "lost", "moved"):
            if form == "failed":
                self._sink.failed("list", "discovery does not answer or ended the watch")
            self._report_state(form)
            return
        removals, self._unconfirmed_removals = self._unconfirmed_removals, []
        if form in ("full", "part", "changes"):
            # A complete line states these drains again if they still hold.
            self._unconfirmed_drains.clear()
        for server in entries:
            if server.state == "gone":
                if server.name in self._addresses:
                    removals.append(Claim(self._addresses[server.name], "gone", server.name))
            else:
                self._entries[server.name] = server
        claims = []
        for name, known in self.servers.items():
            entry = self._entries[name]
            self._addresses[name] = known.address
            claims.append(
                claim_of(
                    replace(entry, state="draining") if known.leaving_ms is not None else entry,
                    known.address,
                )
            )
        listed = {claim.address for claim in claims}
        claims += [
            Claim(address, "draining")
            for address in self._unconfirmed_drains
            if address not in listed
        ]
        for name in self._entries.keys() - self.servers.keys():
            del self._entries[name]
        for name in self._addresses.keys() - self.servers.keys():
            del self._addresses[name]
        self._sink.update(
            "known" if form == "saved" else "list",
            [*(claim for claim in removals if claim.address not in listed), *claims],
        )
