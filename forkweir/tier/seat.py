"""Where a node's decisions and its tier meet. Pure; the carrier (`corkshift/tier`) and the simulator's wire (`adapter`) both use it."""

from __future__ import annotations

from forkweir.choice import Balancer
from forkweir.tier.claims import id_of
from forkweir.tier.tier import Tier


class Seat:
    """Gives a balancer its parts of the tier's bounds, and the tier what the balancer would take by itself, and what it saw of boxes."""

    def __init__(self, balancer: Balancer, tier: Tier) -> None:
        self.balancer = balancer
        self.tier = tier
        balancer.parts = tier.claims
        tier.prepare = self._prepare
        tier.attend = self.attend

    def attend(self, now: float) -> None:
        """Tell the tier what this node holds against boxes, and heed what it hears of them."""
        signals, fleet = self.tier.signals, self.balancer.fleet
        if signals is None:
            return
        boxes = {
            id_of(f"{m.info.name}/{m.listed_start_ms:.0f}"): m for m in fleet.placed if m.present
        }
        bad = {box: m.suspicion.log_odds for box, m in boxes.items() if m.suspicion.log_odds > 0.0}
        signals.saw(bad, {box: m.suspicion.log_odds for box, m in boxes.items()}, now)
        heard = signals.hearsay(now)
        for box, member in boxes.items():
            word = heard.get(box)
            if word is not None:
                fleet.health.apply_peer_report(
                    member, word.odds, word.back, fleet.placed, fleet.in_service, now
                )
            elif member.suspicion.peer_log_odds:
                fleet.health.apply_peer_report(
                    member, 0.0, False, fleet.placed, fleet.in_service, now
                )

    def _prepare(self, now: float) -> None:
        balancer, claims = self.balancer, self.tier.claims
        if claims.shares:
            claims.own_work = (
                balancer.allowances.reference(balancer.fleet.weight)
                if balancer.fleet.weight
                else 0.0
            )
        if claims.deals_fetches:
            # Also while the order book does not press: a part that is asked for only then comes a second or two late (docs/tier.md).
            claims.own_fetches = balancer.fetches.prospective_limit
