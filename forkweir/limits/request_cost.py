"""What a request costs: the unit in which load is counted. Pure, no I/O, no clock.

A request's cost is the expected work of a cache server for it, in ms. Where requests bring a hint of their work, that is
their cost. Elsewhere it is learned for each class: the QUANTILE of the times in which warm servers answered it, since the
quick answers waited for nothing and so tell of the work alone. Only proportions matter: what a server is allowed and what
servers were seen to bear are counted in the same unit.

Bounds: one float a class; one answer moves it by at most STEP (FIRST_STEP for the first FIRST answers), so that a spoilt
clock or a server gone slow can't. It follows a change by a factor e upwards in some 80 answers and downwards in some 30;
older evidence is forgotten at that pace and not by time (a class that nobody asks for keeps its cost).
"""

from __future__ import annotations

from math import exp

from forkweir.settings import ClassSpec

INITIAL_AIM_FRACTION = 0.15  # of a class's aim: its cost until answers tell more
QUANTILE = 0.25
MAX_STEP = 0.05  # how far one answer moves a cost, as a part of it
INITIAL_STEP = 0.3
INITIAL_ANSWERS = 20
MIN_COST_MS = 0.01
MERGE_MS = 20.0  # amounts that come within this time of one another are faded as one


class Costs:
    """Expected work of a request in ms, by class."""

    __slots__ = ("_costs", "_answers")

    def __init__(self) -> None:
        self._costs: dict[str, float] = {}
        self._answers: dict[str, int] = {}

    def cost_ms(self, spec: ClassSpec, hint_ms: float) -> float:
        """What a request of a class costs; hint_ms is its own hint, 0 where it has none."""
        return (
            hint_ms
            if hint_ms > 0.0
            else self._costs.get(spec.name) or INITIAL_AIM_FRACTION * spec.aim_ms
        )

    def record_answer(self, spec: ClassSpec, elapsed_ms: float) -> None:
        """A warm server answered a request of this class well, in so many ms."""
        cost = self._costs.get(spec.name) or INITIAL_AIM_FRACTION * spec.aim_ms
        seen = self._answers.get(spec.name, 0)
        step = MAX_STEP
        if seen < INITIAL_ANSWERS:
            self._answers[spec.name] = seen + 1
            step = INITIAL_STEP
        cost *= 1.0 + step * QUANTILE if elapsed_ms > cost else 1.0 - step * (1.0 - QUANTILE)
        self._costs[spec.name] = min(max(MIN_COST_MS, cost), spec.aim_ms)


class DecayingSum:
    """A sum whose parts are forgotten by e in tau_ms, and the time over which it was made, faded alike."""

    __slots__ = ("tau_ms", "total", "span_ms", "_at")

    def __init__(self, tau_ms: float) -> None:
        self.tau_ms = tau_ms
        self.total = 0.0
        self.span_ms = 0.0  # what a steady 1 a ms would have summed to; tau_ms in the long run
        self._at = -1.0

    def add(self, now: float, amount: float, weight: float = 1.0) -> None:
        """Add an amount; the time since the last one counts weight-fold."""
        passed = now - self._at
        if passed >= MERGE_MS or self._at < 0.0:
            if self._at >= 0.0:
                fade = exp(-passed / self.tau_ms)
                self.total *= fade
                self.span_ms = self.span_ms * fade + weight * self.tau_ms * (1.0 - fade)
            self._at = now
        self.total += amount

    def rate(self, least_ms: float) -> float:
        """Amount a ms, with no more trust than least_ms of evidence earn: a first burst does not make a high rate."""
        return self.total / max(self.span_ms, least_ms)
