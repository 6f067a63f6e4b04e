"""Connects a node's balancer to its tier. Pure.

Used by the transport (`corkshift/tier`) and by the simulator's wire (`adapter`).
"""

from __future__ import annotations

from forkweir.choice import Balancer
from forkweir.tier.demand import limit_id
from forkweir.tier.tier import Tier


class BalancerAdapter:
    """Connects a balancer and a tier.

    The balancer gets its shares of tier-wide limits; the tier gets the balancer's own limits and
    its evidence about boxes.
    """

    def __init__(self, balancer: Balancer, tier: Tier) -> None:
        self.balancer = balancer
        self.tier = tier
        balancer.tier_shares = tier.demand
        tier.update_demand = self._update_demand
        tier.update_signals = self.update_signals

    def update_signals(self, now: float) -> None:
        """Pass this node's evidence about boxes to the tier, and apply that of its peers."""
        signals, fleet = self.tier.signals, self.balancer.fleet
        if signals is None:
            return
        boxes = {
            limit_id(f"{m.info.name}/{m.listed_start_ms:.0f}"): m
            for m in fleet.home_candidates
            if m.present
        }
        bad = {box: m.suspicion.log_odds for box, m in boxes.items() if m.suspicion.log_odds > 0.0}
        signals.update_own(bad, {box: m.suspicion.log_odds for box, m in boxes.items()}, now)
        evidence = signals.evidence(now)
        for box, member in boxes.items():
            box_evidence = evidence.get(box)
            if box_evidence is not None:
                fleet.health.apply_peer_report(
                    member,
                    box_evidence.odds,
                    box_evidence.recovered,
                    fleet.home_candidates,
                    fleet.in_service_count,
                    now,
                )
            elif member.suspicion.peer_log_odds:
                fleet.health.apply_peer_report(
                    member, 0.0, False, fleet.home_candidates, fleet.in_service_count, now
                )

    def _update_demand(self, now: float) -> None:
        balancer, demand = self.balancer, self.tier.demand
        if demand.allocates_work:
            demand.own_work = (
                balancer.slow_start.reference(balancer.fleet.total_weight)
                if balancer.fleet.total_weight
                else 0.0
            )
        if demand.allocates_fetches:
            # Also without pressure on the origin: shares requested only under pressure would come a
            # second or two late (docs/tier.md).
            demand.own_fetches = balancer.fetches.prospective_limit
