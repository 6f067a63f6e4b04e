"""Cache servers of the soak: those of `testbed.systems`, with answers that have no length and answers that break off."""

from __future__ import annotations

import random
from typing import Protocol

from corkshift.seam import Address
from testbed.systems.serving import Connection, Message
from testbed.systems.standins import BoxSpec, CacheBox, Witness

UNFRAMED = "unframed"  # no length, ended by the connection's end
BROKEN = "broken"  # a length, and a reset in the middle
UNFRAMED_BROKEN = "unframed-broken"  # no length, and a reset in the middle


class ArrivalObserver(Protocol):
    """Who hears of each request in the moment in which it has come whole."""

    def arrived(self, server: str, txn: str, remaining_ms: float | None) -> None:
        """remaining_ms: what the request says of how long its node will wait."""

    def completed_unframed(self, txn: str) -> None:
        """An answer with no length was written whole, and its connection ended."""


class SoakServer(CacheBox):
    """One cache server."""

    def __init__(
        self,
        name: str,
        origin: Address,
        spec: BoxSpec,
        witness: Witness,
        arrivals: ArrivalObserver,
        cold: bool,
        seed: int,
    ) -> None:
        super().__init__(name, ("127.0.0.1", 0), origin, spec, witness, cold)
        self.unframed_share = 0.0
        self.broken_share = 0.0
        self._arrival_observer = arrivals
        self._rng = random.Random(f"server/{seed}/{name}")

    async def serve(self, connection: Connection, request: Message) -> None:
        remaining = request.header(b"x-remaining-ms")
        txn = request.header(b"x-txn")
        self._arrival_observer.arrived(
            self.name, txn, float(remaining) if remaining.isdigit() else None
        )
        draw = self._rng.random()
        if draw < self.broken_share:
            self.spoil[:] = [self._rng.choice((BROKEN, UNFRAMED_BROKEN))]
        elif draw < self.broken_share + self.unframed_share:
            self.spoil[:] = [UNFRAMED]
        await super().serve(connection, request)

    async def _spoilt(self, how: str, connection: Connection, body: bytes) -> None:
        stream = connection.stream
        if how == BROKEN:
            await stream.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body[:-2])
            )
            stream.abort()
            return
        await stream.write(b"HTTP/1.1 200 OK\r\nX-Found: hit\r\n\r\n")
        await stream.write(body)
        if how == UNFRAMED_BROKEN:
            stream.abort()
            return
        # Its id is the body's second word: the answer that was spoilt need not be the one of the latest request.
        self._arrival_observer.completed_unframed(body.split(b" ")[1].decode())
        stream.close()
