"""The tier as the decision module sees it: own limits turned into shares of tier-wide ones. Pure.

There are two kinds of limits: the work that each cold server may get (`limits/slow_start`), and the
fetches in flight while the origin is under pressure (`limits/fetch_budget`). Of each a node has

    floor x own + (1 - floor) x (shares that it holds / TOTAL_SHARES) x size

where `own` is the limit that it would apply by itself, and `size` the sum of that over all nodes,
as computed by the leader. So all nodes together have at most the sum of their own limits, those
with more demand get what others do not need, and a node without contact to a leader has `floor` of
its own limit.

Demand is counted where the decision module asks whether there is capacity, whatever the answer, and
fades with a time constant of DEMAND_DECAY_MS. For a cold server it is reported as the work that it
would be at full capacity, the unit of `own`, so that it can be compared with `size`.

Bounds: one sum and one name for each cold server, until its demand is next to nothing.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Optional

from forkweir.limits.request_cost import DecayingSum
from forkweir.tier.leases import TOTAL_SHARES, HeldLeases
from forkweir.tier.shared_line import LineTable, SharedLineState

FETCHES_LIMIT_ID = 0
"""The id of the limit on fetches; those of cold servers are 1 and more (`limit_id`)."""
DEMAND_DECAY_MS = 1_500.0
DEMAND_EVIDENCE_MS = 500.0
MAX_SERVERS = 256  # cold servers with a limit


def limit_id(server: str) -> int:
    """The id of the limit on a cold server's work: the same at all nodes, 1 to 2 ** 32 - 1."""
    return (
        int.from_bytes(blake2b(server.encode(), digest_size=4, person=b"tier").digest(), "big") or 1
    )


class Demand:
    """One node's demand for tier-wide limits, and its current limits."""

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
        held_leases: HeldLeases,
        shares: bool = True,
        fetches: bool = True,
        line: bool = True,
    ) -> None:
        self.floor = floor
        self.held_leases = held_leases
        self.allocates_work = shares  # whether work to cold servers has tier-wide limits
        self.allocates_fetches = fetches  # whether fetches have one
        # None: this node uses its own line.
        self.shared_line = SharedLineState() if line else None
        # Work per ms that a warm server of weight 1 gets from this node.
        self.own_work = 0.0
        # Fetches in flight that this node would allow by itself.
        self.own_fetches = 0.0
        self._requested: dict[int, DecayingSum] = {}
        # By limit; "" where two servers have one id: neither gets shares.
        self._server_names: dict[int, str] = {}
        self._fetch_ms = 0.0  # duration of a fetch

    # -- demand, from the decision module ------------------------------------------------

    def record_work_demand(self, server: str, work: float, now: float) -> None:
        """Record demand for capacity of a cold server.

        work: in ms, divided by the fraction of its full capacity that the server has now.
        """
        if not self.allocates_work:
            return
        limit = limit_id(server)
        known = self._server_names.get(limit)
        if known is None:
            if len(self._server_names) >= MAX_SERVERS:
                return
            self._server_names[limit] = server
        elif known != server:
            self._server_names[limit] = ""
            return
        self._record(limit, work, now)

    def record_fetch_demand(self, fetches: float, flight_ms: float, now: float) -> None:
        """Record demand for so many expected fetches, of flight_ms each."""
        if not self.allocates_fetches:
            return
        self._fetch_ms = flight_ms
        self._record(FETCHES_LIMIT_ID, fetches, now)

    def _record(self, limit: int, amount: float, now: float) -> None:
        requested = self._requested.get(limit)
        if requested is None:
            requested = self._requested[limit] = DecayingSum(DEMAND_DECAY_MS)
        requested.add(now, amount)

    def server_names(self) -> dict[str, str]:
        """The names of the servers with a limit, by the limit's id."""
        return {str(limit): server_name for limit, server_name in self._server_names.items()}

    def record_arrival(self, position: float, range_count: int, now: float) -> Optional[LineTable]:
        """Record a request at `position`; return the shared line, if there is one."""
        if self.shared_line is None:
            return None
        self.shared_line.sketch.add(position)
        return self.shared_line.table(range_count, now)

    # -- limits, for the decision module -------------------------------------------------

    def work_limit(self, server: str, own: float, now: float) -> float:
        """Work per ms and unit of weight that a cold server may get from this node.

        own: what this node would allow by itself.
        """
        if not self.allocates_work:
            return own
        self.own_work = own
        limit = limit_id(server)
        return (
            self._limit(limit, own, now)
            if self._server_names.get(limit) == server
            else self.floor * own
        )

    def fetch_limit(self, own: float, now: float) -> float:
        """Fetches in flight that this node may have while the origin is under pressure.

        own: what this node would allow by itself.
        """
        if not self.allocates_fetches:
            return own
        self.own_fetches = own
        return self._limit(FETCHES_LIMIT_ID, own, now)

    def _limit(self, limit: int, own: float, now: float) -> float:
        lease = self.held_leases.lease(limit, now)
        held = lease.shares / TOTAL_SHARES * lease.size if lease is not None else 0.0
        return self.floor * own + (1.0 - self.floor) * held

    # -- demand, for the leader ----------------------------------------------------------

    def above_floor(self, now: float) -> list[tuple[int, float]]:
        """The demand above the floor by limit, the largest first, in the unit of its `own`."""
        demand = []
        for limit, requested in list(self._requested.items()):
            requested.add(now, 0.0)
            rate = requested.rate(DEMAND_EVIDENCE_MS)
            if rate * DEMAND_DECAY_MS < 1e-6:
                del self._requested[limit]
                self._server_names.pop(limit, None)
                continue
            if limit == FETCHES_LIMIT_ID:
                excess = rate * self._fetch_ms - self.floor * self.own_fetches
            else:
                excess = rate - self.floor * self.own_work
            if excess > 0.0 and self._server_names.get(limit) != "":
                demand.append((limit, excess))
        return sorted(demand, key=lambda entry: (-entry[1], entry[0]))
