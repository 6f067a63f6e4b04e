"""The box list as one source among others. On the wire nothing changes: `corkshift.discovery` keeps the watch as ever."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from corkshift.sources import Sink
from corkshift.upstream import CacheServer
from forkweir import Server
from forkweir.known.membership import Claim


class BoxList:
    """The address book that discovery writes, turned into claims."""

    def __init__(self, sink: Sink, ask: Callable[[str], None]) -> None:
        """ask: told "failed" or "lost", upon which the module says when discovery is called again."""
        self.servers: dict[str, CacheServer] = {}
        self._sink = sink
        self._ask = ask
        self._told: dict[str, Server] = {}
        self._places: dict[str, tuple[str, int]] = {}

    def on_list(self, form: str, entries: Iterable[Server]) -> None:
        """What `Node.on_list` is told where the box list is the one source."""
        if form in ("failed", "lost"):
            if form == "failed":
                self._sink.failed("list", "discovery does not answer, or ended the watch")
            self._ask(form)
            return
        gone = []
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
            state = "draining" if known.leaving_ms is not None or told.state == "draining" else "in"
            claims.append(
                Claim(
                    known.address, "draining" if state == "draining" else "in", name, told.zone, told.kind, told.cell, told.weight,
                    started_ms=told.started_ms,
                )
            )  # fmt: skip
        there = {claim.address for claim in claims}
        for name in self._told.keys() - self.servers.keys():
            del self._told[name]
        for name in self._places.keys() - self.servers.keys():
            del self._places[name]
        self._sink.tell("known" if form == "saved" else "list", [*(claim for claim in gone if claim.address not in there), *claims])
