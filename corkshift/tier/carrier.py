"""The tier on the node's loop: one UDP socket, one timer; what comes goes to `forkweir/tier`, and what that says goes out.

Bounds: one datagram in and out at a time, READS of them a turn of the loop; a receive buffer of BUFFER bytes, so that a process that stood
still finds no more than that; datagrams that don't go out are counted and not kept. No datagram, whatever it holds, ends anything.
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
from forkweir.tier.lending import WHOLE, Lease
from forkweir.tier.lines import BUCKETS, packed
from forkweir.tier.members import Standing
from forkweir.tier.options import TICKS
from forkweir.tier.tier import Tier
from forkweir.tier.wire import MOST

log = logging.getLogger(__name__)

READS = 64
BUFFER = 65_536
LEASES_TOLD = 512  # that were taken last, for `tier show` and the rig
LOG_MS = 1_000.0  # between two lines of the log on who takes part


class Carrier:
    """Takes part in the tier for one node."""

    def __init__(self, node: Node, neighbours: TierPeers, options: TierTable) -> None:
        """OSError where the address can't be had."""
        now = now_ms()
        seed = int.from_bytes(
            seam.random_bytes(8), "big"
        )  # of this process alone: a configuration may be read by two
        self.tier = Tier(
            neighbours.slot,
            len(neighbours.peers),
            seed,
            int(now / 1000.0),
            now,
            options.options(),
            neighbours.tier,
        )
        self.lost = 0  # datagrams that did not go out
        self._slots = {address: slot for slot, address in enumerate(neighbours.peers)}
        self._peers = neighbours.peers
        self._taken: deque[tuple[int, int, float, float]] = deque(
            maxlen=LEASES_TOLD
        )  # bound, parts, from when, until when
        self._timer: Optional[asyncio.TimerHandle] = None
        self._told: list[str] = []
        self._told_ms = 0.0
        self.tier.dealer.holdings.on_take = self._took
        self.tier.members.on_change = self._changed
        self._disagreed = False
        self._sock = seam.udp_socket()
        try:
            seam.limit_buffers(self._sock, BUFFER)
            self._sock.bind(neighbours.listen)
        except OSError as error:
            self._sock.close()
            raise OSError(
                error.errno, f"{neighbours.listen[0]}:{neighbours.listen[1]}: {error.strerror}"
            ) from None
        node.join(self.tier)

    @property
    def address(self) -> Address:
        """Where datagrams arrive."""
        host, port = self._sock.getsockname()
        return host, port

    def start(self) -> None:
        """Begin."""
        asyncio.get_running_loop().add_reader(self._sock, self._read)
        self._tick()

    def close(self) -> None:
        """End, and tell some of the others."""
        if self._timer is not None:
            self._timer.cancel()
            self._send(self.tier.leave(now_ms()))
            asyncio.get_running_loop().remove_reader(self._sock)
        self._sock.close()

    # -- datagrams -----------------------------------------------------------------------

    def _tick(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            self.tier.options.period_ms / TICKS / 1000.0, self._tick
        )
        now = now_ms()
        self._send(self.tier.tick(now))
        if self._told and now - self._told_ms >= LOG_MS:
            log.info("tier: %s", ", ".join(self._told))
            self._told, self._told_ms = [], now
        if self.tier.disagrees(now) != self._disagreed:
            self._disagreed = not self._disagreed
            if self._disagreed:
                log.warning(
                    "tier: others count the tier otherwise, or have other constants of it: every node keeps to its floor"
                )
            else:
                log.info("tier: nobody disagrees any more")

    def _read(self) -> None:
        for _ in range(READS):
            try:
                data, sender = self._sock.recvfrom(MOST + 1)
            except BlockingIOError:
                return
            except OSError as error:
                log.debug("tier: a datagram that went out came to nothing: %s", error)
                continue
            try:
                self._send(self.tier.receive(self._slots.get(sender, -1), data, now_ms()))
            except Exception:
                log.exception("a datagram could not be dealt with")

    def _send(self, sends: list[tuple[int, bytes]]) -> None:
        for slot, data in sends:
            try:
                self._sock.sendto(data, self._peers[slot])
            except OSError:
                self.lost += 1

    # -- what is told --------------------------------------------------------------------

    def _took(self, bound: int, lease: Lease, now: float) -> None:
        self._taken.append((bound, lease.parts, now, lease.until_ms))

    def _changed(self, slot: int, state: Standing, now: float) -> None:
        if len(self._told) < 8:
            self._told.append(f"n{slot} is {state}")

    def view(self) -> bytes:
        """What this node knows and holds, as JSON, for `tier show`."""
        now, tier = now_ms(), self.tier
        members = [
            {
                "slot": slot,
                "state": entry.state,
                "incarnation": entry.incarnation,
                "heard_ms_ago": _since(entry.heard_ms, now),
            }
            for slot, entry in enumerate(tier.members.entries)
        ]
        leases = [
            {
                "bound": bound,
                "parts": lease.parts,
                "size": lease.size,
                "keeper": lease.keeper[0],
                "ends_in_ms": lease.until_ms - now,
            }
            for bound, lease in sorted(tier.dealer.holdings.leases.items())
            if lease.until_ms > now
        ]
        view: dict[str, Any] = {
            "at_ms": now,
            "slot": tier.slot,
            "count": tier.count,
            "digest": tier.digest,
            "token": tier.token,
            "incarnation": tier.members.incarnation,
            "keeps": tier.keeps(now),
            "follows": tier.followed if tier.dealer.voter.promised is not None else -1,
            "disagrees": tier.disagrees(now),
            "whole": WHOLE,
            "floor": tier.options.floor,
            "sizes": {"work": tier.sizes[0], "fetches": tier.sizes[1]},
            "own": {"work": tier.claims.own_work, "fetches": tier.claims.own_fetches},
            "line": _line(tier, now),
            "members": members,
            "leases": leases,
            "taken": [list(taken) for taken in self._taken],
            "names": tier.claims.names(),
            "counts": {**tier.counts, "bytes_out": tier.bytes_out, "lost": self.lost},
        }
        return orjson.dumps(view)


def _line(tier: Tier, now: float) -> Optional[dict[str, Any]]:
    """The common line as this node has it; none where there is none. digest: the same at nodes that have the same."""
    table = tier.claims.lines.told(now) if tier.claims.lines is not None else None
    if table is None:
        return None
    name, shares = table
    heaviest = [[bucket / BUCKETS, share] for bucket, share in shares[:8]]
    return {
        "table": list(name),
        "digest": f"{crc32(packed(shares)):08x}",
        "told": len(shares),
        "heavy": heaviest,
    }


def _since(at_ms: float, now: float) -> Optional[int]:
    return round(now - at_ms) if at_ms > 0.0 else None
