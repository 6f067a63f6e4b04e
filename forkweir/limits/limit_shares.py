"""Interface by which the balancer gets its shares of tier-wide limits and the common line.

`forkweir/tier/demand` implements it. Pure: no I/O, no clock.
"""

from __future__ import annotations

from typing import Optional, Protocol

from forkweir.line import SharedLine


class TierShares(Protocol):
    """This node's shares of the limits that all nodes of a tier have together. Times are in ms."""

    def record_work_demand(self, server: str, work: float, now: float) -> None:
        """Record demand for a cold server.

        work: the request's work in ms, divided by the fraction of its full capacity that the server
        has now.
        """
        ...

    def work_limit(self, server: str, own: float, now: float) -> float:
        """Return the work per ms and unit of weight that a server may get from this node.

        own: what this node would allow without the tier.
        """
        ...

    def record_fetch_demand(self, fetches: float, flight_ms: float, now: float) -> None:
        """Record demand for a request with so many expected fetches, each taking flight_ms."""
        ...

    def fetch_limit(self, own: float, now: float) -> float:
        """Return the number of fetches that this node may have in flight.

        own: the limit that this node would use without the tier.
        """
        ...

    def record_arrival(self, position: float, range_count: int, now: float) -> Optional[SharedLine]:
        """Record a request for a position; return the common line of all nodes, if there is one.

        range_count: of that line. The same object is returned until it changes.
        """
        ...
