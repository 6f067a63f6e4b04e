"""What the decision module asks where many nodes act as one: its part of bounds, and the line. Pure; `forkweir/tier/claims` is one."""

from __future__ import annotations

from typing import Optional, Protocol

from forkweir.line import SharedLine


class Parts(Protocol):
    """This node's part of what all nodes have together. Times in ms."""

    def wants_work(self, server: str, work: float, now: float) -> None:
        """There is a request for a cold server: work in ms, over the part of its full capacity that the server has now."""
        ...

    def work(self, server: str, own: float, now: float) -> float:
        """Work a ms for each unit of weight that it may get from here. own: what this node would give it by itself."""
        ...

    def wants_fetches(self, fetches: float, flight_ms: float, now: float) -> None:
        """There is a request that is expected to cost so many fetches, of flight_ms each."""
        ...

    def fetches(self, own: float, now: float) -> float:
        """Fetches that may be in flight from here. own: the limit that this node would keep to by itself."""
        ...

    def line(self, position: float, ranges: int, now: float) -> Optional[SharedLine]:
        """A request for a position on the line has come; the common line of all nodes in so many ranges, if there is one.

        The same object until it changes.
        """
        ...
