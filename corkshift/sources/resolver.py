"""A small stub resolver on the node's own streams and datagrams: several servers, time-outs, back-off, TCP for what does not fit.

It follows CNAME chains, keeps answers for their lifetimes (with a floor and a ceiling, RFC 2181 section 8 for lifetimes of 2^31 and more),
negative ones by their SOA (RFC 2308), and serves old ones while no server answers (RFC 8767) up to a stated age. What a message may say
is `message`'s; which server is asked next is decided by `Servers`, without a clock or a socket.

Bounds: MOST_KEPT names, MOST_FOREIGN datagrams that are no answer to a query, `queries_per_s` with a burst of twice that, one socket for a
query (a new port each time), TRIES rounds of all servers.
"""

from __future__ import annotations

import asyncio
import ipaddress
import logging
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from typing import Optional

from corkshift import seam
from corkshift.seam import Address, now_ms
from corkshift.sources.message import (
    LONGEST,
    MOST_CHAIN,
    Answer,
    Foreign,
    Query,
    Truncated,
    Unusable,
    query,
    read,
)
from corkshift.sources.options import Limits
from corkshift.stream import Stream

log = logging.getLogger(__name__)

TRIES = 2  # rounds of all servers for one query
FIRST_S = 0.4  # for an answer by datagram; doubled in the second round
STREAM_S = 2.0  # for one by TCP, from the dial on
BACK_OFF_MS = (
    1_000.0  # a server that failed comes last for so long, doubled with each failure in a row,
)
BACK_OFF_MOST_MS = 60_000.0  # up to this
MOST_FOREIGN = 64  # datagrams that are no answer; then TCP, where nobody can guess (guards against forged answers in number)
MOST_KEPT = 4_096  # names


class LookupFailed(Exception):
    """No server has an answer; one line."""


@dataclass(slots=True)
class _Server:
    failures: int = 0
    until_ms: float = 0.0


class Servers:
    """Who is asked next: servers in their order, those that failed lately last. Pure."""

    def __init__(self, addresses: list[Address]) -> None:
        self._servers = {address: _Server() for address in addresses}

    def order(self, now: float) -> list[Address]:
        """All servers, best first; those in back-off by when it ends."""
        return sorted(self._servers, key=lambda address: max(now, self._servers[address].until_ms))

    def failed(self, address: Address, now: float) -> None:
        """It did not answer, or with nothing of use."""
        server = self._servers.get(address)
        if server is not None:
            server.until_ms = now + min(BACK_OFF_MOST_MS, BACK_OFF_MS * 2.0**server.failures)
            server.failures = min(16, server.failures + 1)

    def answered(self, address: Address) -> None:
        """It did."""
        if address in self._servers:
            self._servers[address] = _Server()


@dataclass(slots=True)
class Kept:
    """An answer and when it came. held_s: its lifetime, within floor and ceiling."""

    answer: Answer
    at_ms: float
    held_s: float
    old: bool = False  # served beyond its lifetime, as no server answers

    @property
    def ends_ms(self) -> float:
        return self.at_ms + self.held_s * 1000.0


@dataclass(slots=True)
class Counts:
    """What a resolver has done."""

    queries: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    streams: int = 0
    foreign: int = 0
    failures: dict[str, int] = field(default_factory=dict)  # by cause

    def failed(self, cause: str) -> None:
        if cause in self.failures or len(self.failures) < 32:
            self.failures[cause] = self.failures.get(cause, 0) + 1


class Resolver:
    """Looks names up. One instance for each source."""

    def __init__(
        self, servers: list[Address], limits: Limits, entropy: Callable[[int], bytes]
    ) -> None:
        self.counts = Counts()
        self._servers = Servers(servers)
        self._limits = limits
        self._entropy = entropy
        self._kept: dict[tuple[str, str], Kept] = {}  # longest unused first
        self._tokens = 2.0 * limits.queries_per_s
        self._tokens_ms = now_ms()

    def move(self, servers: list[Address]) -> None:
        """Ask other servers from the next query on; what is kept stays for its lifetime."""
        self._servers = Servers(servers)

    async def look_up(self, name: str, kind: str, ahead: float = 0.0) -> Kept:
        """The SRV or A records of a name, through its aliases. ahead: the share of its lifetime before whose end an answer is renewed.

        LookupFailed where no server has one and none is kept that may still be served. ValueError for what is no name.
        """
        key, now = (name.lower().rstrip(".") + ".", kind), now_ms()
        kept = self._kept.pop(key, None)
        if kept is not None:
            self._kept[key] = kept
            if now < kept.ends_ms - ahead * kept.held_s * 1000.0:
                return kept
        try:
            answer = await self._resolve(key[0], kind)
        except LookupFailed:
            if kept is None or now_ms() >= kept.ends_ms + self._limits.stale_s * 1000.0:
                raise
            kept.old = True
            return kept
        return self._keep(key, answer)

    def _keep(self, key: tuple[str, str], answer: Answer) -> Kept:
        limits = self._limits
        ttl = 0 if answer.ttl_s >= 1 << 31 else answer.ttl_s  # RFC 2181, 8
        kept = Kept(answer, now_ms(), min(limits.ceiling_s, max(limits.floor_s, ttl)))
        self._kept.pop(key, None)
        self._kept[key] = kept
        for target, (life, addresses) in answer.extra.items():
            self._keep((target, "A"), Answer(life, addresses=addresses))
        while len(self._kept) > MOST_KEPT:
            del self._kept[next(iter(self._kept))]
        return kept

    async def _resolve(self, name: str, kind: str) -> Answer:
        ttl, seen = -1, {name}
        for _ in range(MOST_CHAIN + 1):
            answer = await self._ask(name, kind)
            ttl = answer.ttl_s if ttl < 0 else min(ttl, answer.ttl_s)
            if not answer.alias:
                return replace(answer, ttl_s=ttl)
            name = answer.alias.lower()
            if name in seen:
                break
            seen.add(name)
        self.counts.failed("CNAME chain")
        raise LookupFailed(f"{name}: a CNAME loop, or a chain of over {MOST_CHAIN}")

    async def _ask(self, name: str, kind: str) -> Answer:
        """Ask the servers in turn; LookupFailed names what the last of them did."""
        why = "no resolver is named"
        for turn in range(TRIES):
            for server in self._servers.order(now_ms()):
                if not self._take_token():
                    self.counts.failed("too many queries")
                    raise LookupFailed(
                        f"{name} {kind}: more than {self._limits.queries_per_s:g} queries a second"
                    )
                ident, case = (
                    int.from_bytes(self._entropy(2), "big"),
                    int.from_bytes(self._entropy(32), "big"),
                )
                asked = query(name, kind, ident, case)
                try:
                    answer = await self._exchange(server, asked, FIRST_S * 2.0**turn)
                except (OSError, Unusable) as error:
                    cause = (
                        "time-out"
                        if isinstance(error, TimeoutError)
                        else str(error) or type(error).__name__
                    )
                    why = f"{server[0]}:{server[1]}: {cause}"
                    self.counts.failed(cause)
                    self._servers.failed(server, now_ms())
                    continue
                self._servers.answered(server)
                return answer
        raise LookupFailed(f"{name} {kind}: {why}")

    def _take_token(self) -> bool:
        now, rate = now_ms(), self._limits.queries_per_s
        self._tokens = min(2.0 * rate, self._tokens + (now - self._tokens_ms) * rate / 1000.0)
        self._tokens_ms = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    async def _exchange(self, server: Address, asked: Query, within_s: float) -> Answer:
        """One query to one server. OSError (TimeoutError among them) or Unusable."""
        self.counts.queries += 1
        try:
            async with asyncio.timeout(within_s):
                answer = await self._by_datagram(server, asked)
        except Truncated:
            answer = None
        if answer is None:
            async with asyncio.timeout(STREAM_S):
                answer = await self._by_stream(server, asked)
        return answer

    async def _by_datagram(self, server: Address, asked: Query) -> Optional[Answer]:
        """None where too much came that is no answer."""
        loop = asyncio.get_running_loop()
        sock = seam.datagram()  # a port of its own, which the system draws
        try:
            came = asyncio.Event()
            sock.sendto(asked.wire, server)
            self.counts.sent_bytes += len(asked.wire)
            loop.add_reader(sock, came.set)
            for _ in range(MOST_FOREIGN):
                try:
                    data, sender = sock.recvfrom(LONGEST)
                except (BlockingIOError, InterruptedError):
                    came.clear()
                    await came.wait()
                    continue
                self.counts.received_bytes += len(data)
                try:
                    if sender[:2] != server:
                        raise Foreign("another server")
                    return read(data, asked)
                except Foreign:
                    self.counts.foreign += 1
            return None
        finally:
            loop.remove_reader(sock)
            sock.close()

    async def _by_stream(self, server: Address, asked: Query) -> Answer:
        self.counts.streams += 1
        sock = seam.stream()
        stream: Optional[Stream] = None
        try:
            await seam.connect(sock, server)
            stream = Stream(sock)
            await stream.write(len(asked.wire).to_bytes(2, "big") + asked.wire)  # RFC 1035, 4.2.2
            self.counts.sent_bytes += 2 + len(asked.wire)
            data = bytearray()
            while len(data) < 2 or len(data) < 2 + int.from_bytes(data[:2], "big"):
                more = await stream.read()
                if not more:
                    raise Unusable("the connection ended within an answer")
                data += more
                self.counts.received_bytes += len(more)
            try:
                return read(
                    bytes(data[2 : 2 + int.from_bytes(data[:2], "big")]), asked, stream=True
                )
            except Foreign as error:
                raise Unusable(f"over TCP, {error}") from None
        finally:
            if stream is not None:
                stream.close()
            else:
                sock.close()


def servers_of(text: str) -> list[Address]:
    """The IPv4 name servers of a resolv.conf (resolv.conf(5)); others are passed over."""
    found = []
    for line in text.splitlines():
        words = line.split()
        if len(words) >= 2 and words[0] == "nameserver":
            with suppress(ValueError):
                found.append((str(ipaddress.IPv4Address(words[1])), 53))
    return found
