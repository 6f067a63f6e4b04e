"""Discovery: the watch, and the address book of cache servers."""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import AsyncIterator
from typing import Any, Optional

import h11
import orjson

from corkshift import seam
from corkshift.config import address_of
from corkshift.node import Node
from corkshift.seam import Address, now_ms
from corkshift.stream import Stream
from corkshift.upstream import CacheServer, Pool
from forkweir import Server

log = logging.getLogger(__name__)

STATES = {"in_service": "in", "terminating": "draining", "terminated": "gone"}
CALL_S = 3.2  # a call that is not answered by then has failed; twice as long after each one that was not answered at all,
CALL_MOST_S = 6.4  # and no longer (what it would tell counts as told by then)
SILENT_S = 4.3  # more than two heartbeats: the watch has fallen silent,
STUCK_S = 1.0  # or has stopped in the middle of a line
MAX_LINE = 1 << 20
MOST_SERVERS = 4_096  # of one list
MOST_WEIGHT = 1_000.0
NAME_FORM = re.compile(r"[!-~]{1,128}")


class BadList(Exception):
    """Discovery wrote what is no list."""


class Discovery:
    """Keeps the node's list by one watch, begun when the module asks."""

    def __init__(self, node: Node, pool: Pool, address: Address) -> None:
        self._node = node
        self._pool = pool
        self._address = address
        self._generation: Optional[int] = None
        self._watch: Optional[asyncio.Task[None]] = None
        self._patience_s = CALL_S

    def start(self, known: dict[str, Any]) -> None:
        """Begin with the list as this node last had it."""
        entries: list[Server] = []
        try:
            entries = self._take({**known, "reset": True}) if known else []
        except BadList as error:
            log.warning("the known list is of no use: %s", error)
        self._node.on_list("saved", entries)

    def follow(self) -> None:
        """Ask for changes from now on, unless a watch is at it already."""
        if self._watch is None or self._watch.done():
            self._watch = asyncio.create_task(self._run())

    def move(self, address: Address) -> None:
        """Discovery is at another address from now on: ask there at once, for the whole list.

        Guards against a list that stands still, as a place that moved lets its old watches lapse. Another service need not
        count generations alike, so what was heard so far is no ground to ask for changes alone. Until the new place answers
        the list stays as it is.
        """
        self._address = address
        self._generation = None
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        self.follow()

    async def _run(self) -> None:
        try:
            async for line in self._lines():
                if line:
                    self._line(line)
            log.info("the watch ended")
        except (OSError, h11.RemoteProtocolError, BadList) as error:
            log.info("the watch failed: %s: %s", type(error).__name__, error)
        except Exception:
            log.exception("the watch failed")
        self._node.on_list("failed", [])

    async def _lines(self) -> AsyncIterator[bytes]:
        """The watch's lines as they come whole."""
        sock = seam.stream()
        stream = None
        try:
            # One service answers all nodes in turn, and a call that is hung up on keeps its turn (guards against a fleet that
            # asks anew, over and over, for what each of its nodes would have been told a moment later). Harm: one that is
            # silent for good is found so later.
            try:
                async with asyncio.timeout(self._patience_s):
                    await seam.connect(sock, self._address)
                    stream = Stream(sock)
                    after = "" if self._generation is None else f"&after={self._generation}"
                    parser = h11.Connection(h11.CLIENT)
                    target = f"/discovery/hosts?watch=1{after}"
                    request = h11.Request(method="GET", target=target, headers=[("Host", f"{self._address[0]}:{self._address[1]}")])
                    await stream.write(parser.send(request) + parser.send(h11.EndOfMessage()))
                    while isinstance(event := await _event(parser, stream), h11.InformationalResponse):
                        pass
            except TimeoutError:
                self._patience_s = min(CALL_MOST_S, 2.0 * self._patience_s)
                raise
            self._patience_s = CALL_S
            if not isinstance(event, h11.Response) or event.status_code != 200:
                raise BadList(f"answered {event!r:.80}")
            part = b""
            while True:
                async with asyncio.timeout(STUCK_S if part else SILENT_S):
                    event = await _event(parser, stream)
                if not isinstance(event, h11.Data):
                    return
                *lines, part = (part + bytes(event.data)).split(b"\n")
                for line in lines:
                    yield line.strip()
                if len(part) > MAX_LINE:
                    raise BadList("a line without end")
        finally:
            if stream is not None:
                stream.abort()
            sock.close()

    def _line(self, line: bytes) -> None:
        try:
            data = orjson.loads(line)
        except orjson.JSONDecodeError as error:
            raise BadList(f"not JSON: {error}") from None
        if not isinstance(data, dict):
            raise BadList("not an object")
        self._node.on_list("full" if data.get("reset") else "changes", self._take(data))

    def _take(self, data: dict[str, Any]) -> list[Server]:
        """Bring the address book up to date, and give the entries in the module's terms."""
        generation, pairs = _read(data)
        book = self._node.servers
        ousted = self._oust(pairs)
        for server, address in pairs:
            known = book.get(server.name)
            if server.state == "gone" or (known is not None and known.address != address):
                self._leave(server.name, gone=True)
                known = None
            if server.state == "gone":
                continue
            if known is None:
                known = book[server.name] = CacheServer(server.name, address)
            if server.state == "draining":
                self._leave(server.name, gone=False)
            else:
                known.leaving_ms = None
        if data.get("reset"):
            for name in book.keys() - {server.name for server, _ in pairs}:
                self._leave(name, gone=True)
        self._generation = generation
        return ousted + [server for server, _ in pairs]

    def _oust(self, pairs: list[tuple[Server, Address]]) -> list[Server]:
        """Who is gone because another serves at its address now, as the module shall hear it.

        Guards against the keys of a server whose end is not told yet going to the cold one that took its place. Harm: a list
        that gives two servers in service one address keeps only the last.
        """
        taken = {address: server.name for server, address in pairs if server.state == "in"}
        there = {server.name: address for server, address in pairs}
        gone = []
        for old in list(self._node.servers.values()):
            if taken.get(old.address, old.name) != old.name and there.get(old.name, old.address) == old.address:
                self._leave(old.name, gone=True)
                gone.append(Server(old.name, state="gone"))
        named = {server.name for server in gone}
        pairs[:] = [pair for pair in pairs if pair[0].name not in named and (pair[0].state != "in" or taken[pair[1]] == pair[0].name)]
        return gone

    def _leave(self, name: str, gone: bool) -> None:
        server = self._node.servers.get(name)
        if server is None:
            return
        if server.leaving_ms is None:
            server.leaving_ms = now_ms()
        self._pool.forget(server)
        if gone:
            del self._node.servers[name]


async def _event(parser: h11.Connection, stream: Stream) -> object:
    while (event := parser.next_event()) is h11.NEED_DATA:
        parser.receive_data(await stream.read())
    return event


def _read(data: dict[str, Any]) -> tuple[int, list[tuple[Server, Address]]]:
    """What a line holds; an entry that can't be read is left out (guards against one of them costing the whole list)."""
    try:
        generation, entries = int(data["generation"]), list(data["instances"])
    except (KeyError, TypeError, ValueError) as error:
        raise BadList(f"{type(error).__name__}: {error}") from None
    if len(entries) > MOST_SERVERS:
        raise BadList(f"{len(entries)} servers")
    pairs = []
    for entry in entries:
        try:
            pairs.append((_server_of(entry), address_of(entry["hostPort"])))
        except (AttributeError, KeyError, OverflowError, TypeError, ValueError) as error:
            log.warning("an entry of the list is of no use: %s: %s", type(error).__name__, error)
    return generation, pairs


def _server_of(entry: dict[str, Any]) -> Server:
    name = entry["instanceId"]
    if not NAME_FORM.fullmatch(name):
        raise ValueError("no name")
    return Server(
        name=name,
        zone=str(entry.get("zone") or ""),
        kind=str(entry.get("machineType") or ""),
        cell=int(entry.get("cell") or 0),
        state=STATES[entry["lifecycle"]],
        weight=min(MOST_WEIGHT, max(0.0, float(1.0 if entry.get("weight") is None else entry["weight"]))),
        # A start still to come would keep a server cold until then.
        started_ms=min(now_ms(), float(entry.get("startedAtMs") or 0.0)),
    )
