"""What the decision module sees of the tier: its own bounds turned into this node's part of all nodes' together. Pure.

Two bounds are dealt so far: the work that each cold server may get (`limits/allowance`), and the fetches in flight while the order book
presses (`limits/fetches`). Of each a node has

    floor x own + (1 - floor) x (parts that it holds / WHOLE) x size

where `own` is what it would take by itself today, and `size` the sum of that over all nodes, as the keeper had it. So all nodes together
have at most what they take today, those that want more have what others do not want, and one that hears nobody has `floor` of today's.

What a node wants is counted where the module asks whether there is room, whether there was any or not, and forgotten in WANTED_MS. Of a
cold server it is told as the work that it would be at full capacity, the unit of `own`, so that it can be held against `size`.

Bounds: one sum a cold server, and its name, until next to nothing is wanted of it any more.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Optional

from forkweir.limits.work import Faded
from forkweir.tier.leases import TOTAL_SHARES, HeldLeases
from forkweir.tier.shared_line import LineTable, SharedLineState

FETCHES_LIMIT_ID = 0
"""The id of the bound on fetches; those of cold servers are 1 and more (`id_of`)."""
DEMAND_DECAY_MS = 1_500.0
DEMAND_EVIDENCE_MS = 500.0
MAX_SERVERS = 256  # cold servers


def limit_id(server: str) -> int:
    """The id of the bound on a cold server's work: the same at all nodes, 1 to 2 ** 32 - 1."""
    return (
        int.from_bytes(blake2b(server.encode(), digest_size=4, person=b"tier").digest(), "big") or 1
    )


class Demand:
    """One node's wants, and what it has of them."""

    __slots__ = (
        "floor",
        "held_leases",
        "allocates_work",
        "allocates_fetches",
        "shared_line",
        "own_work",
        "own_fetches",
        "_requested",
        "_server_names",
        "_fetch_ms",
    )

    def __init__(
        self,
        floor: float,
        holdings: HeldLeases,
        shares: bool = True,
        fetches: bool = True,
        line: bool = True,
    ) -> None:
        self.floor = floor
        self.held_leases = holdings
        self.allocates_work = shares  # whether work to cold servers is dealt here,
        self.allocates_fetches = fetches  # and fetches
        self.shared_line = SharedLineState() if line else None  # none: this node has its own line
        self.own_work = 0.0  # work a ms that a warm server of weight 1 gets from this node
        self.own_fetches = 0.0  # in flight, as it would bound them by itself
        self._requested: dict[int, Faded] = {}
        self._server_names: dict[int, str] = {}  # "" where two have one id: neither is dealt
        self._fetch_ms = 0.0  # how long a fetch is in flight

    # -- what the module says ------------------------------------------------------------

    def wants_work(self, server: str, work: float, now: float) -> None:
        """The module asks for room at a cold server, for work (ms) that counts by what part of it the server can do now."""
        if not self.allocates_work:
            return
        limit = limit_id(server)
        server_name = self._server_names.get(limit)
        if server_name is None:
            if len(self._server_names) >= MAX_SERVERS:
                return
            self._server_names[limit] = server
        elif server_name != server:
            self._server_names[limit] = ""
            return
        self._record(limit, work, now)

    def wants_fetches(self, fetches: float, flight_ms: float, now: float) -> None:
        """The module asks for room for so many expected fetches, each of which takes so long."""
        if not self.allocates_fetches:
            return
        self._fetch_ms = flight_ms
        self._record(FETCHES_LIMIT_ID, fetches, now)

    def _record(self, limit: int, amount: float, now: float) -> None:
        requested = self._requested.get(limit)
        if requested is None:
            requested = self._requested[limit] = Faded(DEMAND_DECAY_MS)
        requested.add(now, amount)

    def server_names(self) -> dict[str, str]:
        """The servers that bounds are about, by id."""
        return {str(limit): server_name for limit, server_name in self._server_names.items()}

    def line(self, position: float, ranges: int, now: float) -> Optional[LineTable]:
        """See `Parts`."""
        if self.shared_line is None:
            return None
        self.shared_line.sketch.add(position)
        return self.shared_line.table(ranges, now)

    # -- what the module gets ------------------------------------------------------------

    def work(self, server: str, own: float, now: float) -> float:
        """Work a ms for each unit of weight that a cold server may get from this node. own: by itself."""
        if not self.allocates_work:
            return own
        self.own_work = own
        limit = limit_id(server)
        return (
            self._limit(limit, own, now)
            if self._server_names.get(limit) == server
            else self.floor * own
        )

    def fetches(self, own: float, now: float) -> float:
        """Fetches in flight that this node may have while the order book presses. own: by itself."""
        if not self.allocates_fetches:
            return own
        self.own_fetches = own
        return self._limit(FETCHES_LIMIT_ID, own, now)

    def _limit(self, limit: int, own: float, now: float) -> float:
        lease = self.held_leases.lease(limit, now)
        held = lease.shares / TOTAL_SHARES * lease.size if lease is not None else 0.0
        return self.floor * own + (1.0 - self.floor) * held

    # -- what the keeper is told ---------------------------------------------------------

    def above_floor(self, now: float) -> list[tuple[int, float]]:
        """Of each bound what is wanted of it beyond the floor, the most first, in the unit of its `own`."""
        demand = []
        for limit, faded in list(self._requested.items()):
            faded.add(now, 0.0)
            rate = faded.rate(DEMAND_EVIDENCE_MS)
            if rate * DEMAND_DECAY_MS < 1e-6:
                del self._requested[limit]
                self._server_names.pop(limit, None)
                continue
            if limit == FETCHES_LIMIT_ID:
                beyond = rate * self._fetch_ms - self.floor * self.own_fetches
            else:
                beyond = rate - self.floor * self.own_work
            if beyond > 0.0 and self._server_names.get(limit) != "":
                demand.append((limit, beyond))
        return sorted(demand, key=lambda want: (-want[1], want[0]))
