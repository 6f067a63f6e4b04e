"""Relay of datagrams between real nodes, with one socket for each ordered pair.

Datagrams are lost, delayed, duplicated or reordered, and links are cut, drawn from a seed.

Node a knows node b by the address of socket (a, b), and what it sends there comes to b from socket
(b, a), by which b knows a. So each node sees the others under addresses of its own, as the
deployment has it, and nothing goes from one to another but through here.
"""

from __future__ import annotations

import asyncio
import random
import socket
from dataclasses import dataclass
from typing import Any, Optional

Address = tuple[str, int]

SHORT = 5.0  # ms: the latest that a datagram comes that is not late


@dataclass(slots=True)
class Link:
    """What happens to datagrams one way. late_ms: the most by which the share `late` of them is."""

    cuts: int = 0
    loss: float = 0.0
    double: float = 0.0
    late: float = 0.0
    late_ms: float = 0.0
    passed: int = 0
    bytes: int = 0
    dropped: int = 0


class _Wire(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, a: int, b: int) -> None:
        self.relay, self.a, self.b = relay, a, b

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.relay.carry(self.a, self.b, data, (addr[0], addr[1]))


class Relay:
    """All links between so many nodes. places: where each node's datagrams arrive."""

    def __init__(self, count: int, places: list[Address], seed: int) -> None:
        self.count = count
        self.places = places
        self.links = {(a, b): Link() for a in range(count) for b in range(count) if a != b}
        self.strangers = 0
        self._random = random.Random(f"relay/{seed}")
        self._wires: dict[tuple[int, int], asyncio.DatagramTransport] = {}

    async def start(self) -> None:
        """Open a socket for each pair, on ports that the system chooses."""
        loop = asyncio.get_running_loop()
        for a, b in self.links:
            transport, _ = await loop.create_datagram_endpoint(
                lambda a=a, b=b: _Wire(self, a, b),  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            self._wires[a, b] = transport

    def close(self) -> None:
        """Close all."""
        for transport in self._wires.values():
            transport.abort()

    def peers(self, node: int) -> list[str]:
        """The addresses by which a node knows all, itself by where it listens."""
        names = []
        for other in range(self.count):
            host, port = (
                self.places[node]
                if other == node
                else self._wires[node, other].get_extra_info("sockname")
            )
            names.append(f"{host}:{port}")
        return names

    def between(self, side: list[int], both: bool) -> list[Link]:
        """The links from one side to the others, and back; all links where there is no side."""
        inside = set(side)
        return [
            link for (a, b), link in self.links.items() if not side or ((a in inside) != (b in inside) and (both or a in inside))
        ]  # fmt: skip

    def carry(self, a: int, b: int, data: bytes, sender: Address) -> None:
        """A datagram came from node a that is meant for node b."""
        if sender != self.places[a]:
            self.strangers += 1
            return
        link, rng = self.links[a, b], self._random
        for _ in range(1 + (link.double > 0.0 and rng.random() < link.double)):
            if link.cuts or (link.loss and rng.random() < link.loss):
                link.dropped += 1
                continue
            if link.late and rng.random() < link.late:
                delay = rng.uniform(SHORT, max(SHORT, link.late_ms))
                asyncio.get_running_loop().call_later(delay / 1000.0, self.deliver, a, b, data)
            else:
                self.deliver(a, b, data)

    def deliver(self, a: int, b: int, data: bytes) -> None:
        """Hand a datagram to node b as from node a."""
        wire = self._wires.get((b, a))
        if wire is not None and not wire.is_closing():
            self.links[a, b].passed += 1
            self.links[a, b].bytes += len(data)
            wire.sendto(data, self.places[b])

    def forge(self, to: int, data: bytes, by: Optional[int]) -> None:
        """Send a forged datagram: as from one of the nodes, or (None) from an unknown sender."""
        if by is not None:
            self.deliver(by, to, data)
            return
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(data, self.places[to])
