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

MIN_LATE_MS = 5.0  # ms: the latest that a datagram comes that is not late


@dataclass(slots=True)
class Link:
    """What happens to datagrams one way. late_ms: the most by which the share `late` of them is."""

    cuts: int = 0
    loss: float = 0.0
    double: float = 0.0
    late: float = 0.0
    late_ms: float = 0.0
    delivered: int = 0
    delivered_bytes: int = 0
    dropped: int = 0


class _LinkProtocol(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, source: int, destination: int) -> None:
        self.relay, self.source, self.destination = relay, source, destination

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.relay.forward(self.source, self.destination, data, (addr[0], addr[1]))


class Relay:
    """All links between so many nodes. places: where each node's datagrams arrive."""

    def __init__(self, node_count: int, node_addresses: list[Address], seed: int) -> None:
        self.node_count = node_count
        self.node_addresses = node_addresses
        self.links = {
            (source, destination): Link()
            for source in range(node_count)
            for destination in range(node_count)
            if source != destination
        }
        self.unknown_senders = 0
        self._random = random.Random(f"relay/{seed}")
        self._transports: dict[tuple[int, int], asyncio.DatagramTransport] = {}

    async def start(self) -> None:
        """Open a socket for each pair, on ports that the system chooses."""
        loop = asyncio.get_running_loop()
        for source, destination in self.links:
            transport, _ = await loop.create_datagram_endpoint(
                lambda source=source, destination=destination: _LinkProtocol(
                    self, source, destination
                ),  # type: ignore[misc]
                local_addr=("127.0.0.1", 0),
            )
            self._transports[source, destination] = transport

    def close(self) -> None:
        """Close all."""
        for transport in self._transports.values():
            transport.abort()

    def peer_addresses(self, node: int) -> list[str]:
        """The addresses by which a node knows all, itself by where it listens."""
        addresses = []
        for other in range(self.node_count):
            host, port = (
                self.node_addresses[node]
                if other == node
                else self._transports[node, other].get_extra_info("sockname")
            )
            addresses.append(f"{host}:{port}")
        return addresses

    def links_across(self, side: list[int], both_directions: bool) -> list[Link]:
        """The links from one side to the others, and back; all links where there is no side."""
        inside = set(side)
        return [
            link
            for (source, destination), link in self.links.items()
            if not side
            or (
                (source in inside) != (destination in inside)
                and (both_directions or source in inside)
            )
        ]

    def forward(self, source: int, destination: int, data: bytes, sender: Address) -> None:
        """A datagram came from node a that is meant for node b."""
        if sender != self.node_addresses[source]:
            self.unknown_senders += 1
            return
        link, rng = self.links[source, destination], self._random
        for _ in range(1 + (link.double > 0.0 and rng.random() < link.double)):
            if link.cuts or (link.loss and rng.random() < link.loss):
                link.dropped += 1
                continue
            if link.late and rng.random() < link.late:
                delay = rng.uniform(MIN_LATE_MS, max(MIN_LATE_MS, link.late_ms))
                asyncio.get_running_loop().call_later(
                    delay / 1000.0, self.deliver, source, destination, data
                )
            else:
                self.deliver(source, destination, data)

    def deliver(self, source: int, destination: int, data: bytes) -> None:
        """Hand a datagram to node b as from node a."""
        transport = self._transports.get((destination, source))
        if transport is not None and not transport.is_closing():
            self.links[source, destination].delivered += 1
            self.links[source, destination].delivered_bytes += len(data)
            transport.sendto(data, self.node_addresses[destination])

    def forge(self, destination: int, data: bytes, source: Optional[int]) -> None:
        """Send a forged datagram: as from one of the nodes, or (None) from an unknown sender."""
        if source is not None:
            self.deliver(source, destination, data)
            return
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(data, self.node_addresses[destination])
