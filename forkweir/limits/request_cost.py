"""Cost of a request: the unit in which load is counted. Pure: no I/O, no clock.

The cost of a request is the work in ms that a cache server is expected to do for it. Where
requests carry a hint of their work, the hint is the cost. Elsewhere the cost is learned for each
class as the QUANTILE of the times in which warm servers answered, since quick answers did not wait
and so show the work alone. Only proportions matter: the budgets of servers and the load that
servers were seen to bear are counted in the same unit.

Memory: one float for each class. One answer moves a cost by at most MAX_STEP (INITIAL_STEP for the
first INITIAL_ANSWERS answers), so that a faulty clock or a server that turned slow can't move it
far. A cost follows a change by a factor of e upwards in some 80 answers and downwards in some 30.
Older evidence is forgotten at that pace and not by time: a class without requests keeps its cost.
"""

from __future__ import annotations

from math import exp

from forkweir.settings import ClassSpec

# Cost of a class before any answer, as a fraction of its aim.
INITIAL_AIM_FRACTION = 0.15
QUANTILE = 0.25
# Largest change of a cost by one answer, as a fraction of the cost.
MAX_STEP = 0.05
INITIAL_STEP = 0.3
INITIAL_ANSWERS = 20
MIN_COST_MS = 0.01
# Amounts added within this time of one another decay as one.
MERGE_MS = 20.0


class Costs:
    """Expected work of a request in ms, by class."""

    __slots__ = ("_costs", "_answers")

    def __init__(self) -> None:
        self._costs: dict[str, float] = {}
        self._answers: dict[str, int] = {}

    def cost_ms(self, spec: ClassSpec, hint_ms: float) -> float:
        """Return the cost of a request of a class. hint_ms: its own hint, 0 for none."""
        return (
            hint_ms
            if hint_ms > 0.0
            else self._costs.get(spec.name) or INITIAL_AIM_FRACTION * spec.aim_ms
        )

    def record_answer(self, spec: ClassSpec, elapsed_ms: float) -> None:
        """Record a good answer of a warm server to a request of this class."""
        cost = self._costs.get(spec.name) or INITIAL_AIM_FRACTION * spec.aim_ms
        seen = self._answers.get(spec.name, 0)
        step = MAX_STEP
        if seen < INITIAL_ANSWERS:
            self._answers[spec.name] = seen + 1
            step = INITIAL_STEP
        cost *= 1.0 + step * QUANTILE if elapsed_ms > cost else 1.0 - step * (1.0 - QUANTILE)
        self._costs[spec.name] = min(max(MIN_COST_MS, cost), spec.aim_ms)


class DecayingSum:
    """A sum that decays by a factor of e in tau_ms, with the time it covers decaying alike."""

    __slots__ = ("tau_ms", "total", "span_ms", "_at")

    def __init__(self, tau_ms: float) -> None:
        self.tau_ms = tau_ms
        self.total = 0.0
        self.span_ms = 0.0  # what a steady 1 per ms would sum to; tau_ms in the long run
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
        """Return the amount per ms over at least least_ms, so that a first burst counts little."""
        return self.total / max(self.span_ms, least_ms)
