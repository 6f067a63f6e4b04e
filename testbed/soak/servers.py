"""Cache servers of the soak.

They extend those of `testbed.systems` with answers that have no length or break off.
"""

from __future__ import annotations

import random
from typing import Protocol

from corkshift.seam import Address
from testbed.systems.emulators import BoxSpec, CacheBox, ServerObserver
from testbed.systems.http import Connection, Message

# No length; the end of the connection ends the answer.
UNFRAMED = "unframed"
# A length, and a reset in the middle.
BROKEN = "broken"
# No length, and a reset in the middle.
UNFRAMED_BROKEN = "unframed-broken"


class ArrivalObserver(Protocol):
    """Receives each request once it has arrived completely."""

    def arrived(self, server: str, txn: str, remaining_ms: float | None) -> None:
        """A request arrived; its node states that it waits `remaining_ms` longer."""

    def completed_unframed(self, txn: str) -> None:
        """A complete answer with no length was written, and its connection ended."""


class SoakServer(CacheBox):
    """A cache server; given shares of its answers have no length or break off."""

    def __init__(
        self,
        name: str,
        origin: Address,
        spec: BoxSpec,
        observer: ServerObserver,
        arrivals: ArrivalObserver,
        cold: bool,
        seed: int,
        port: int = 0,
    ) -> None:
        """port: where it listens; 0: the system chooses one."""
        super().__init__(name, ("127.0.0.1", port), origin, spec, observer, cold)
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
            self.corruptions[:] = [self._rng.choice((BROKEN, UNFRAMED_BROKEN))]
        elif draw < self.broken_share + self.unframed_share:
            self.corruptions[:] = [UNFRAMED]
        await super().serve(connection, request)

    async def _send_corrupt(self, how: str, connection: Connection, body: bytes) -> None:
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
        # The second word of the body is the request's id. Another request may have arrived since.
        self._arrival_observer.completed_unframed(body.split(b" ")[1].decode())
        stream.close()
