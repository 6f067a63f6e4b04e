"""The tier on the node's event loop: one UDP socket and one timer for the core in `forkweir/tier`.

Bounds: one datagram in and out at a time, MAX_READS_PER_TURN of them in a turn of the loop; a
receive buffer of RECEIVE_BUFFER_BYTES, so that a process that was stalled finds no more than that;
datagrams that can't be sent are counted and not kept. No content of a datagram stops the node.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import Any, Optional
from zlib import crc32

import orjson

from corkshift import seam
from corkshift.config import TierPeers
from corkshift.node import Node
from corkshift.seam import Address, now_ms
from corkshift.tier.options import TierTable
from forkweir.tier.leases import TOTAL_SHARES, Lease
from forkweir.tier.members import MemberState
from forkweir.tier.options import TICKS_PER_PERIOD
from forkweir.tier.shared_line import BUCKETS, pack
from forkweir.tier.tier import Tier
from forkweir.tier.wire import MAX_DATAGRAM_BYTES

log = logging.getLogger(__name__)

MAX_READS_PER_TURN = 64
RECEIVE_BUFFER_BYTES = 65_536
# Leases last accepted, for `tier show` and the test systems.
MAX_RECENT_LEASES = 512
# Between two log lines on changes of membership.
LOG_INTERVAL_MS = 1_000.0


class UdpTransport:
    """Runs one node's part in the tier over UDP."""

    def __init__(self, node: Node, tier_peers: TierPeers, options: TierTable) -> None:
        """Bind the socket and join `node` to the tier. OSError where the address can't be bound."""
        now = now_ms()
        # Random for each process, as two processes may read one configuration.
        seed = int.from_bytes(seam.random_bytes(8), "big")
        self.tier = Tier(
            tier_peers.slot,
            len(tier_peers.peers),
            seed,
            int(now / 1000.0),
            now,
            options.options(),
            tier_peers.tier,
        )
        self.send_failures = 0  # datagrams that could not be sent
        self._slots = {address: slot for slot, address in enumerate(tier_peers.peers)}
        self._peers = tier_peers.peers
        # Limit, shares, time of acceptance, expiry.
        self._recent_leases: deque[tuple[int, int, float, float]] = deque(maxlen=MAX_RECENT_LEASES)
        self._timer: Optional[asyncio.TimerHandle] = None
        self._changes: list[str] = []
        self._changes_logged_ms = 0.0
        self.tier.allocator.held_leases.on_lease = self._on_lease
        self.tier.members.on_change = self._on_member_change
        self._in_conflict = False
        self._sock = seam.udp_socket()
        try:
            seam.limit_buffers(self._sock, RECEIVE_BUFFER_BYTES)
            self._sock.bind(tier_peers.listen)
        except OSError as error:
            self._sock.close()
            raise OSError(
                error.errno, f"{tier_peers.listen[0]}:{tier_peers.listen[1]}: {error.strerror}"
            ) from None
        node.join(self.tier)

    @property
    def address(self) -> Address:
        """The local address of the socket."""
        host, port = self._sock.getsockname()
        return host, port

    def start(self) -> None:
        """Start to receive datagrams and to run the timer."""
        asyncio.get_running_loop().add_reader(self._sock, self._read)
        self._tick()

    def close(self) -> None:
        """Close the socket; announce the shutdown to some other nodes."""
        if self._timer is not None:
            self._timer.cancel()
            self._send(self.tier.leave(now_ms()))
            asyncio.get_running_loop().remove_reader(self._sock)
        self._sock.close()

    # -- datagrams -----------------------------------------------------------------------

    def _tick(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            self.tier.options.period_ms / TICKS_PER_PERIOD / 1000.0, self._tick
        )
        now = now_ms()
        self._send(self.tier.tick(now))
        if self._changes and now - self._changes_logged_ms >= LOG_INTERVAL_MS:
            log.info("tier: %s", ", ".join(self._changes))
            self._changes, self._changes_logged_ms = [], now
        if self.tier.has_config_conflict(now) != self._in_conflict:
            self._in_conflict = not self._in_conflict
            if self._in_conflict:
                log.warning(
                    "tier: received datagrams of another configuration of the tier (number of "
                    "nodes or constants): every node is limited to its floor until it is resolved"
                )
            else:
                log.info("tier: no node with another configuration is known any more")

    def _read(self) -> None:
        for _ in range(MAX_READS_PER_TURN):
            try:
                data, sender_address = self._sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError as error:
                log.debug("tier: receive failed, probably for a datagram sent earlier: %s", error)
                continue
            try:
                self._send(self.tier.receive(self._slots.get(sender_address, -1), data, now_ms()))
            except Exception:
                log.exception("tier: failed to process a datagram, which is dropped")

    def _send(self, sends: list[tuple[int, bytes]]) -> None:
        for slot, data in sends:
            try:
                self._sock.sendto(data, self._peers[slot])
            except OSError:
                self.send_failures += 1

    # -- state for operators -------------------------------------------------------------

    def _on_lease(self, limit: int, lease: Lease, now: float) -> None:
        self._recent_leases.append((limit, lease.shares, now, lease.until_ms))

    def _on_member_change(self, slot: int, state: MemberState, now: float) -> None:
        if len(self._changes) < 8:
            self._changes.append(f"n{slot} is {state}")

    def view(self) -> bytes:
        """What this node knows and which leases it holds, as JSON for `tier show`."""
        now, tier = now_ms(), self.tier
        members = [
            {
                "slot": slot,
                "state": entry.state,
                "incarnation": entry.incarnation,
                "heard_ms_ago": _elapsed_ms(entry.last_contact_ms, now),
            }
            for slot, entry in enumerate(tier.members.entries)
        ]
        leases = [
            {
                "bound": limit,
                "parts": lease.shares,
                "size": lease.size,
                "keeper": lease.leader[0],
                "ends_in_ms": lease.until_ms - now,
            }
            for limit, lease in sorted(tier.allocator.held_leases.leases.items())
            if lease.until_ms > now
        ]
        view: dict[str, Any] = {
            "at_ms": now,
            "slot": tier.slot,
            "count": tier.count,
            "digest": tier.digest,
            "token": tier.token,
            "incarnation": tier.members.incarnation,
            "keeps": tier.is_leader(now),
            "follows": tier.followed_slot if tier.allocator.voter.voted_for is not None else -1,
            "disagrees": tier.has_config_conflict(now),
            "whole": TOTAL_SHARES,
            "floor": tier.options.floor,
            "sizes": {"work": tier.limit_totals[0], "fetches": tier.limit_totals[1]},
            "own": {"work": tier.demand.own_work, "fetches": tier.demand.own_fetches},
            "line": _line_view(tier, now),
            "members": members,
            "leases": leases,
            "taken": [list(recent) for recent in self._recent_leases],
            "names": tier.demand.server_names(),
            "counts": {**tier.counts, "bytes_out": tier.bytes_out, "lost": self.send_failures},
        }
        return orjson.dumps(view)


def _line_view(tier: Tier, now: float) -> Optional[dict[str, Any]]:
    """The shared line of this node, or None. digest: equal at nodes with equal lines."""
    table = (
        tier.demand.shared_line.current_entries(now)
        if tier.demand.shared_line is not None
        else None
    )
    if table is None:
        return None
    name, shares = table
    heaviest = [[bucket / BUCKETS, share] for bucket, share in shares[:8]]
    return {
        "table": list(name),
        "digest": f"{crc32(pack(shares)):08x}",
        "told": len(shares),
        "heavy": heaviest,
    }


def _elapsed_ms(at_ms: float, now: float) -> Optional[int]:
    return round(now - at_ms) if at_ms > 0.0 else None
