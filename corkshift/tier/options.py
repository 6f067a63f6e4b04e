"""`[tier]` of the operator's file."""

from __future__ import annotations

from typing import Annotated

import msgspec

from corkshift.cli.schema import Table
from forkweir.tier.options import DEFAULT_FLOOR, DEFAULT_PERIOD_MS, Options


class TierTable(Table, frozen=True, kw_only=True):
    """`[tier]`: how a node cooperates with others, where the settings let nodes communicate.

    floor and period_ms must be the same at all nodes of a tier.
    """

    on: bool = True
    # Fraction of its own limits that a node has without a lease.
    floor: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = DEFAULT_FLOOR
    # Between two probes of other nodes, and two heartbeats of a leader.
    period_ms: Annotated[float, msgspec.Meta(ge=50.0, le=10_000.0)] = DEFAULT_PERIOD_MS
    # Whether this node takes part in the tier-wide limits on work to cold boxes.
    shares: bool = True
    # The same for fetches in flight. For why these three are off, see docs/tier.md.
    fetches: bool = False
    # Whether it cuts its ranges from the shared line.
    line: bool = False
    # Whether it sends and applies evidence about bad boxes.
    signals: bool = False

    def options(self) -> Options:
        """Convert to the options of `forkweir.tier`."""
        return Options(
            self.floor, self.period_ms, self.shares, self.fetches, self.line, self.signals
        )
