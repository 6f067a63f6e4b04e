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

from forkweir.limits.request_cost import DecayingSum
from forkweir.tier.lending import WHOLE, Holdings
from forkweir.tier.lines import Lines, Table

FETCHES = 0
"""The id of the bound on fetches; those of cold servers are 1 and more (`id_of`)."""
WANTED_MS = 1_500.0
EVIDENCE_MS = 500.0
MOST = 256  # cold servers


def id_of(server: str) -> int:
    """The id of the bound on a cold server's work: the same at all nodes, 1 to 2 ** 32 - 1."""
    return (
        int.from_bytes(blake2b(server.encode(), digest_size=4, person=b"tier").digest(), "big") or 1
    )


class Claims:
    """One node's wants, and what it has of them."""

    __slots__ = (
        "floor",
        "holdings",
        "shares",
        "deals_fetches",
        "lines",
        "own_work",
        "own_fetches",
        "_wanted",
        "_names",
        "_flight_ms",
    )

    def __init__(
        self,
        floor: float,
        holdings: Holdings,
        shares: bool = True,
        fetches: bool = True,
        line: bool = True,
    ) -> None:
        self.floor = floor
        self.holdings = holdings
        self.shares = shares  # whether work to cold servers is dealt here,
        self.deals_fetches = fetches  # and fetches
        self.lines = Lines() if line else None  # none: this node has its own line
        self.own_work = 0.0  # work a ms that a warm server of weight 1 gets from this node
        self.own_fetches = 0.0  # in flight, as it would bound them by itself
        self._wanted: dict[int, DecayingSum] = {}
        self._names: dict[int, str] = {}  # "" where two have one id: neither is dealt
        self._flight_ms = 0.0  # how long a fetch is in flight

    # -- what the module says ------------------------------------------------------------

    def wants_work(self, server: str, work: float, now: float) -> None:
        """The module asks for room at a cold server, for work (ms) that counts by what part of it the server can do now."""
        if not self.shares:
            return
        bound = id_of(server)
        name = self._names.get(bound)
        if name is None:
            if len(self._names) >= MOST:
                return
            self._names[bound] = server
        elif name != server:
            self._names[bound] = ""
            return
        self._wants(bound, work, now)

    def wants_fetches(self, fetches: float, flight_ms: float, now: float) -> None:
        """The module asks for room for so many expected fetches, each of which takes so long."""
        if not self.deals_fetches:
            return
        self._flight_ms = flight_ms
        self._wants(FETCHES, fetches, now)

    def _wants(self, bound: int, amount: float, now: float) -> None:
        wanted = self._wanted.get(bound)
        if wanted is None:
            wanted = self._wanted[bound] = DecayingSum(WANTED_MS)
        wanted.add(now, amount)

    def names(self) -> dict[str, str]:
        """The servers that bounds are about, by id."""
        return {str(bound): name for bound, name in self._names.items()}

    def line(self, position: float, ranges: int, now: float) -> Optional[Table]:
        """See `Parts`."""
        if self.lines is None:
            return None
        self.lines.sketch.arrive(position)
        return self.lines.table(ranges, now)

    # -- what the module gets ------------------------------------------------------------

    def work(self, server: str, own: float, now: float) -> float:
        """Work a ms for each unit of weight that a cold server may get from this node. own: by itself."""
        if not self.shares:
            return own
        self.own_work = own
        bound = id_of(server)
        return self._part(bound, own, now) if self._names.get(bound) == server else self.floor * own

    def fetches(self, own: float, now: float) -> float:
        """Fetches in flight that this node may have while the order book presses. own: by itself."""
        if not self.deals_fetches:
            return own
        self.own_fetches = own
        return self._part(FETCHES, own, now)

    def _part(self, bound: int, own: float, now: float) -> float:
        lease = self.holdings.lease(bound, now)
        held = lease.parts / WHOLE * lease.size if lease is not None else 0.0
        return self.floor * own + (1.0 - self.floor) * held

    # -- what the keeper is told ---------------------------------------------------------

    def wanted(self, now: float) -> list[tuple[int, float]]:
        """Of each bound what is wanted of it beyond the floor, the most first, in the unit of its `own`."""
        wants = []
        for bound, faded in list(self._wanted.items()):
            faded.add(now, 0.0)
            rate = faded.rate(EVIDENCE_MS)
            if rate * WANTED_MS < 1e-6:
                del self._wanted[bound]
                self._names.pop(bound, None)
                continue
            if bound == FETCHES:
                beyond = rate * self._flight_ms - self.floor * self.own_fetches
            else:
                beyond = rate - self.floor * self.own_work
            if beyond > 0.0 and self._names.get(bound) != "":
                wants.append((bound, beyond))
        return sorted(wants, key=lambda want: (-want[1], want[0]))
