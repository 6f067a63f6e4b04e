"""A small caching DNS stub resolver on the node's own sockets.

It queries several name servers with time-outs and back-off, falls back to TCP for truncated
answers and follows CNAME chains. Answers are cached for their TTL, within a floor and a ceiling
(RFC 2181 section 8 for a TTL of 2^31 and more), negative ones by their SOA record (RFC 2308).
While no server answers, expired answers are served up to a configured age (RFC 8767). Messages are
parsed by `message`; `NameServers` chooses the next server, without a clock or a socket.

Limits: MAX_CACHED_NAMES cache entries, MAX_FOREIGN_DATAGRAMS foreign datagrams per query,
`queries_per_s` with a burst of twice that, one socket per query (a new port each time), MAX_ROUNDS
rounds over all servers.
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
    MAX_CNAMES,
    MAX_MESSAGE_BYTES,
    Answer,
    ForeignMessage,
    Query,
    TruncatedAnswer,
    UnusableAnswer,
    make_query,
    parse_answer,
)
from corkshift.sources.options import Limits
from corkshift.stream import Stream

log = logging.getLogger(__name__)

MAX_ROUNDS = 2  # over all servers, for one query
UDP_TIMEOUT_S = 0.4  # for an answer over UDP; doubled in the second round
TCP_TIMEOUT_S = 2.0  # for connecting and an answer over TCP
# How long a failed server is tried last, doubled with each consecutive failure up to the maximum.
BACKOFF_MS = 1_000.0
MAX_BACKOFF_MS = 60_000.0
# After this many foreign datagrams a query is repeated over TCP: a flood of forged answers might
# guess the ID and the case of the name, but can't be sent over a TCP connection.
MAX_FOREIGN_DATAGRAMS = 64
MAX_CACHED_NAMES = 4_096


class LookupFailed(Exception):
    """No name server has a usable answer; the message is one line."""


@dataclass(slots=True)
class _ServerBackoff:
    failures: int = 0
    until_ms: float = 0.0


class NameServers:
    """The order in which name servers are queried: as configured, those in back-off last."""

    def __init__(self, addresses: list[Address]) -> None:
        self._servers = {address: _ServerBackoff() for address in addresses}

    def order(self, now: float) -> list[Address]:
        """All servers, best first; those in back-off by the end of their back-off. now: ms."""
        return sorted(self._servers, key=lambda address: max(now, self._servers[address].until_ms))

    def failed(self, address: Address, now: float) -> None:
        """Record that a server did not answer, or not usably."""
        server = self._servers.get(address)
        if server is not None:
            server.until_ms = now + min(MAX_BACKOFF_MS, BACKOFF_MS * 2.0**server.failures)
            server.failures = min(16, server.failures + 1)

    def answered(self, address: Address) -> None:
        """Record a usable answer, which ends the back-off."""
        if address in self._servers:
            self._servers[address] = _ServerBackoff()


@dataclass(slots=True)
class CachedAnswer:
    """An answer and when it was received. lifetime_s: its TTL, within floor and ceiling."""

    answer: Answer
    received_ms: float
    lifetime_s: float
    stale: bool = False  # served after it expired, as no server answers

    @property
    def expires_ms(self) -> float:
        """When the answer expires."""
        return self.received_ms + self.lifetime_s * 1000.0


@dataclass(slots=True)
class Counts:
    """Counters of a resolver. `members` shows them under the names of the fields."""

    queries: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    streams: int = 0
    foreign: int = 0
    failures: dict[str, int] = field(default_factory=dict)  # by cause

    def failed(self, cause: str) -> None:
        """Count a failure. The number of different causes is limited."""
        if cause in self.failures or len(self.failures) < 32:
            self.failures[cause] = self.failures.get(cause, 0) + 1


class Resolver:
    """Looks up names. Each source has its own instance."""

    def __init__(
        self, servers: list[Address], limits: Limits, random_bytes: Callable[[int], bytes]
    ) -> None:
        self.counts = Counts()
        self._servers = NameServers(servers)
        self._limits = limits
        self._random_bytes = random_bytes
        self._cache: dict[tuple[str, str], CachedAnswer] = {}  # least recently used first
        self._tokens = 2.0 * limits.queries_per_s
        self._tokens_ms = now_ms()

    def set_servers(self, servers: list[Address]) -> None:
        """Use other name servers from the next query on; cached answers stay valid."""
        self._servers = NameServers(servers)

    async def lookup(self, name: str, record_type: str, refresh_ahead: float = 0.0) -> CachedAnswer:
        """The SRV or A records of a name; CNAMEs are followed.

        refresh_ahead: an answer is renewed in the last part of its lifetime; this is the size of
        that part, as a share of the lifetime.

            Raises LookupFailed where no server answers and no cached answer may be served, and
            ValueError where the name is not a valid DNS name.
        """
        key, now = (name.lower().rstrip(".") + ".", record_type), now_ms()
        cached = self._cache.pop(key, None)
        if cached is not None:
            self._cache[key] = cached
            if now < cached.expires_ms - refresh_ahead * cached.lifetime_s * 1000.0:
                return cached
        try:
            answer = await self._resolve(key[0], record_type)
        except LookupFailed:
            if cached is None or now_ms() >= cached.expires_ms + self._limits.stale_s * 1000.0:
                raise
            cached.stale = True
            return cached
        return self._store(key, answer)

    def _store(self, key: tuple[str, str], answer: Answer) -> CachedAnswer:
        limits = self._limits
        ttl = 0 if answer.ttl_s >= 1 << 31 else answer.ttl_s  # RFC 2181, section 8
        cached = CachedAnswer(answer, now_ms(), min(limits.ceiling_s, max(limits.floor_s, ttl)))
        self._cache.pop(key, None)
        self._cache[key] = cached
        for target, (ttl_s, addresses) in answer.additional_addresses.items():
            self._store((target, "A"), Answer(ttl_s, addresses=addresses))
        while len(self._cache) > MAX_CACHED_NAMES:
            del self._cache[next(iter(self._cache))]
        return cached

    async def _resolve(self, name: str, record_type: str) -> Answer:
        ttl, seen = -1, {name}
        for _ in range(MAX_CNAMES + 1):
            answer = await self._query_servers(name, record_type)
            ttl = answer.ttl_s if ttl < 0 else min(ttl, answer.ttl_s)
            if not answer.alias:
                return replace(answer, ttl_s=ttl)
            name = answer.alias.lower()
            if name in seen:
                break
            seen.add(name)
        self.counts.failed("CNAME chain")
        raise LookupFailed(f"{name}: a CNAME loop, or a chain of over {MAX_CNAMES}")

    async def _query_servers(self, name: str, record_type: str) -> Answer:
        """Query the servers in turn; LookupFailed states the failure of the last one."""
        reason = "no name server is configured"
        for round_number in range(MAX_ROUNDS):
            for server in self._servers.order(now_ms()):
                if not self._take_token():
                    self.counts.failed("too many queries")
                    raise LookupFailed(
                        f"{name} {record_type}: more than {self._limits.queries_per_s:g} "
                        "queries a second"
                    )
                query_id, case_bits = (
                    int.from_bytes(self._random_bytes(2), "big"),
                    int.from_bytes(self._random_bytes(32), "big"),
                )
                query = make_query(name, record_type, query_id, case_bits)
                try:
                    answer = await self._query_server(
                        server, query, UDP_TIMEOUT_S * 2.0**round_number
                    )
                except (OSError, UnusableAnswer) as error:
                    cause = (
                        "time-out"
                        if isinstance(error, TimeoutError)
                        else str(error) or type(error).__name__
                    )
                    reason = f"{server[0]}:{server[1]}: {cause}"
                    self.counts.failed(cause)
                    self._servers.failed(server, now_ms())
                    continue
                self._servers.answered(server)
                return answer
        raise LookupFailed(f"{name} {record_type}: {reason}")

    def _take_token(self) -> bool:
        now, rate = now_ms(), self._limits.queries_per_s
        self._tokens = min(2.0 * rate, self._tokens + (now - self._tokens_ms) * rate / 1000.0)
        self._tokens_ms = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    async def _query_server(self, server: Address, query: Query, timeout_s: float) -> Answer:
        """Query one server. Raises OSError (TimeoutError included) or UnusableAnswer."""
        self.counts.queries += 1
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._query_udp(server, query)
        except TruncatedAnswer:
            answer = None
        if answer is None:
            async with asyncio.timeout(TCP_TIMEOUT_S):
                answer = await self._query_tcp(server, query)
        return answer

    async def _query_udp(self, server: Address, query: Query) -> Optional[Answer]:
        """Query over UDP; None after too many foreign datagrams."""
        loop = asyncio.get_running_loop()
        sock = seam.udp_socket()  # a new port, chosen at random by the system
        try:
            readable = asyncio.Event()
            sock.sendto(query.wire, server)
            self.counts.sent_bytes += len(query.wire)
            loop.add_reader(sock, readable.set)
            for _ in range(MAX_FOREIGN_DATAGRAMS):
                try:
                    data, sender = sock.recvfrom(MAX_MESSAGE_BYTES)
                except (BlockingIOError, InterruptedError):
                    readable.clear()
                    await readable.wait()
                    continue
                self.counts.received_bytes += len(data)
                try:
                    if sender[:2] != server:
                        raise ForeignMessage("another server")
                    return parse_answer(data, query)
                except ForeignMessage:
                    self.counts.foreign += 1
            return None
        finally:
            loop.remove_reader(sock)
            sock.close()

    async def _query_tcp(self, server: Address, query: Query) -> Answer:
        self.counts.streams += 1
        sock = seam.tcp_socket()
        stream: Optional[Stream] = None
        try:
            await seam.connect(sock, server)
            stream = Stream(sock)
            # Over TCP a message is preceded by its length (RFC 1035, section 4.2.2).
            await stream.write(len(query.wire).to_bytes(2, "big") + query.wire)
            self.counts.sent_bytes += 2 + len(query.wire)
            data = bytearray()
            while len(data) < 2 or len(data) < 2 + int.from_bytes(data[:2], "big"):
                chunk = await stream.read()
                if not chunk:
                    raise UnusableAnswer("the connection ended within an answer")
                data += chunk
                self.counts.received_bytes += len(chunk)
            try:
                return parse_answer(
                    bytes(data[2 : 2 + int.from_bytes(data[:2], "big")]), query, over_tcp=True
                )
            except ForeignMessage as error:
                raise UnusableAnswer(f"over TCP, {error}") from None
        finally:
            if stream is not None:
                stream.close()
            else:
                sock.close()


def parse_resolv_conf(text: str) -> list[Address]:
    """The IPv4 name servers of a resolv.conf (resolv.conf(5)); others are skipped."""
    found = []
    for line in text.splitlines():
        words = line.split()
        if len(words) >= 2 and words[0] == "nameserver":
            with suppress(ValueError):
                found.append((str(ipaddress.IPv4Address(words[1])), 53))
    return found
