"""Where a node's decisions and its tier meet. Pure; the carrier (`corkshift/tier`) and the simulator's wire (`adapter`) both use it."""

from __future__ import annotations

from forkweir.choice import Balancer
from forkweir.tier.demand import limit_id
from forkweir.tier.tier import Tier


class BalancerAdapter:
    """Gives a balancer its parts of the tier's bounds, and the tier what the balancer would take by itself, and what it saw of boxes."""

    def __init__(self, balancer: Balancer, tier: Tier) -> None:
        self.balancer = balancer
        self.tier = tier
        balancer.parts = tier.demand
        tier.update_demand = self._update_demand
        tier.update_signals = self.update_signals

    def update_signals(self, now: float) -> None:
        """Tell the tier what this node holds against boxes, and heed what it hears of them."""
        signals, fleet = self.tier.signals, self.balancer.fleet
        if signals is None:
            return
        boxes = {limit_id(f"{m.info.name}/{m.told_ms:.0f}"): m for m in fleet.placed if m.present}
        bad = {box: m.record.odds for box, m in boxes.items() if m.record.odds > 0.0}
        signals.update_own(bad, {box: m.record.odds for box, m in boxes.items()}, now)
        evidence = signals.evidence(now)
        for box, member in boxes.items():
            box_evidence = evidence.get(box)
            if box_evidence is not None:
                fleet.health.heard(
                    member, box_evidence.odds, box_evidence.recovered, fleet.placed, fleet.live, now
                )
            elif member.record.heard:
                fleet.health.heard(member, 0.0, False, fleet.placed, fleet.live, now)

    def _update_demand(self, now: float) -> None:
        balancer, demand = self.balancer, self.tier.demand
        if demand.allocates_work:
            demand.own_work = (
                balancer.allowances.reference(balancer.fleet.weight)
                if balancer.fleet.weight
                else 0.0
            )
        if demand.allocates_fetches:
            # Also while the order book does not press: a part that is asked for only then comes a second or two late (docs/tier.md).
            demand.own_fetches = balancer.fetches.would_be
