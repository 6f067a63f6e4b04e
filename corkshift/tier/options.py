"""`[tier]` of the operator's file."""

from __future__ import annotations

from typing import Annotated

import msgspec

from corkshift.cli.schema import Table
from forkweir.tier.options import DEFAULT_FLOOR, DEFAULT_PERIOD_MS, Options


class TierTable(Table, frozen=True, kw_only=True):
    """`[tier]`: what a node shares with the others, where the settings let nodes talk to one another.

    floor and period_ms must be the same at all nodes of a tier.
    """

    on: bool = True
    floor: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = (
        DEFAULT_FLOOR  # of its own part of each bound: what a node has that hears nobody
    )
    period_ms: Annotated[float, msgspec.Meta(ge=50.0, le=10_000.0)] = (
        DEFAULT_PERIOD_MS  # between two questions, and two beats of a keeper
    )
    shares: bool = True  # whether this node has its part of what cold boxes get,
    fetches: bool = False  # and of the fetches in flight while the order book presses,
    line: bool = False  # cuts from the common line,
    signals: bool = (
        False  # and tells and heeds which boxes are bad; of the three that are off see docs/tier.md
    )

    def options(self) -> Options:
        """In the terms of the tier."""
        return Options(
            self.floor, self.period_ms, self.shares, self.fetches, self.line, self.signals
        )
