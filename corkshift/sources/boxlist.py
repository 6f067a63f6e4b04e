"""The box list as one source among others. On the wire nothing changes: `corkshift.discovery` keeps the watch as ever."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from corkshift.seam import Address
from corkshift.sources import Sink
from corkshift.upstream import CacheServer
from forkweir import Server
from forkweir.known.membership import Claim, Said

MOST_OVERHEARD = 4_096


def claim_of(server: Server, address: Address) -> Claim:
    """What the list says of a server that is in service or drains."""
    state: Said = "draining" if server.state == "draining" else "in"
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
    """The address book that discovery writes, turned into claims."""

    def __init__(
        self, sink: Sink, ask: Callable[[str], None], spare: Callable[[Address], bool]
    ) -> None:
        """ask: told "failed" or "lost", upon which the module says when discovery is called again. spare: whether others than the box
        at a place are in service."""
        self.servers: dict[str, CacheServer] = {}
        self._sink = sink
        self._ask = ask
        self._spare = spare
        self._told: dict[str, Server] = {}
        self._places: dict[str, Address] = {}
        self._draining: dict[Address, None] = {}  # overheard, until a line is read whole
        self._gone: list[Claim] = []  # overheard in the line that is being read

    def on_unlisted_departures(self, addresses: list[Address], whole: bool) -> None:
        """See `corkshift.address_book.Listener`. What was not read whole takes nobody's last server."""
        if whole:
            self._gone += [Claim(place, "gone") for place in addresses[:MOST_OVERHEARD]]
            return
        for place in addresses:
            if (
                len(self._draining) < MOST_OVERHEARD
                and place not in self._draining
                and self._spare(place)
            ):
                self._draining[place] = None
                self._sink.tell("list", [Claim(place, "draining")], full=False)

    def on_list(self, form: str, entries: Iterable[Server]) -> None:
        """What `Node.on_list` is told where the box list is the one source."""
        if form in ("failed", "lost", "moved"):
            if form == "failed":
                self._sink.failed("list", "discovery does not answer, or ended the watch")
            self._ask(form)
            return
        gone, self._gone = self._gone, []
        if form in ("full", "part", "changes"):
            self._draining.clear()  # a line that was read whole has told of them anew, where there is anything to tell
        for server in entries:
            if server.state == "gone":
                if server.name in self._places:
                    gone.append(Claim(self._places[server.name], "gone", server.name))
            else:
                self._told[server.name] = server
        claims = []
        for name, known in self.servers.items():
            told = self._told[name]
            self._places[name] = known.address
            claims.append(
                claim_of(
                    replace(told, state="draining") if known.leaving_ms is not None else told,
                    known.address,
                )
            )
        there = {claim.address for claim in claims}
        claims += [Claim(place, "draining") for place in self._draining if place not in there]
        for name in self._told.keys() - self.servers.keys():
            del self._told[name]
        for name in self._places.keys() - self.servers.keys():
            del self._places[name]
        self._sink.tell(
            "known" if form == "saved" else "list",
            [*(claim for claim in gone if claim.address not in there), *claims],
        )
