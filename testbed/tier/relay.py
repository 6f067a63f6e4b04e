"""Relay for datagrams between real nodes, with one socket for each ordered pair.

Datagrams are lost, delayed, duplicated or reordered at random, drawn from a seed, and links can be
cut.

Node a knows node b by the address of socket (a, b). What a sends there reaches b from socket
(b, a), by which b knows a. So each node has its own addresses for the other nodes, as in the
deployment, and no datagram reaches a node from another without passing the relay.
"""

from __future__ import annotations

import asyncio
import random
import socket
from dataclasses import dataclass
from typing import Any, Optional

Address = tuple[str, int]

# The shortest delay of a late datagram; any other is assumed to arrive sooner.
MIN_LATE_MS = 5.0


@dataclass(slots=True)
class Link:
    """One direction between two nodes.

    `loss`, `double` and `late` are probabilities: that a datagram is lost, that it is duplicated,
    and that it is delayed by up to `late_ms`. `cuts` counts the active faults that cut the link.
    """

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
    """All links between the nodes. node_addresses: where each node receives its datagrams."""

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
        """Open a socket for each ordered pair, on ports that the system chooses."""
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
        """Close all sockets."""
        for transport in self._transports.values():
            transport.abort()

    def peer_addresses(self, node: int) -> list[str]:
        """Return the addresses by which a node knows all nodes; its own is where it listens."""
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
        """Return the links from the nodes of one side to all others; without a side, all links.

        both_directions adds the links back.
        """
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
        """Forward a datagram that the source sent to the destination, subject to the link's faults.

        One from an unknown sender is counted and dropped.
        """
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
        """Send a datagram to the destination from the address by which it knows the source."""
        transport = self._transports.get((destination, source))
        if transport is not None and not transport.is_closing():
            self.links[source, destination].delivered += 1
            self.links[source, destination].delivered_bytes += len(data)
            transport.sendto(data, self.node_addresses[destination])

    def forge(self, destination: int, data: bytes, source: Optional[int]) -> None:
        """Send a forged datagram as from the source, or from an unknown sender if that is None."""
        if source is not None:
            self.deliver(source, destination, data)
            return
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(data, self.node_addresses[destination])
