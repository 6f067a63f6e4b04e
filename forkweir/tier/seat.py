"""Where a node's decisions and its tier meet. Pure; the carrier (`corkshift/tier`) and the simulator's wire (`adapter`) both use it."""

from __future__ import annotations

from forkweir.choice import Balancer
from forkweir.tier.tier import Tier


class Seat:
    """Gives a balancer its parts of the tier's bounds, and the tier what the balancer would take by itself."""

    def __init__(self, balancer: Balancer, tier: Tier) -> None:
        self.balancer = balancer
        self.tier = tier
        balancer.parts = tier.claims
        tier.prepare = self._prepare

    def _prepare(self, now: float) -> None:
        balancer, claims = self.balancer, self.tier.claims
        claims.own_work = balancer.allowances.reference(balancer.fleet.weight) if balancer.fleet.weight else 0.0
        claims.own_fetches = balancer.fetches.limit if balancer.fetches.pressed else 0.0
