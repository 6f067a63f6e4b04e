"""The upper bound of a scenario, on scenarios whose bound is known."""

from __future__ import annotations

import pytest

from testbed.nights.oracle import SLICE_MS, Demand, Supply, max_served, max_value
from testbed.nights.script import Fault, Script, World
from testbed.nights.simulation import run


def steady(work: float, slices: int, fetches: float = 1.0) -> Supply:
    supply = Supply()
    for n in range(slices):
        supply.add_sample(n * SLICE_MS, work, fetches)
    return supply


def reads(
    count: int, class_value: float = 3.0, class_name: str = "read", write: bool = False
) -> list[Demand]:
    return [Demand(0.0, class_name, 10.0, 199.0, class_value, write) for _ in range(count)]


def test_demand_is_served_up_to_the_capacity() -> None:
    assert max_served(reads(15), steady(1.0, 5)) == pytest.approx({"read": 15.0})
    assert max_served(reads(100), steady(1.0, 5)) == pytest.approx({"read": 20.0})
    assert max_served([], steady(1.0, 5)) == {}


def test_higher_values_are_served_first_and_writes_need_places_of_the_order_book() -> None:
    served = max_served(reads(50) + reads(50, 8.0, "order", True), steady(1.0, 5, 0.05))
    assert served == pytest.approx({"order": 10.0, "read": 10.0})


def test_a_slice_without_a_sample_is_like_the_one_before() -> None:
    supply = steady(2.0, 1)
    assert supply.slice_capacity(7) == (200.0, 100.0) and Supply().slice_capacity(3) == (0.0, 0.0)


def test_no_scenario_serves_more_than_its_bound_and_a_calm_one_serves_nearly_that() -> None:
    calm = run(3, Script(world=World(seconds=2.0)))
    bound = sum(max_served(calm.demands, calm.supply).values())
    assert bound == pytest.approx(calm.figures.first_attempts)
    assert calm.figures.served_first_attempts > 0.93 * bound  # some clients leave
    cold = [Fault(at_ms=300.0, kind="box_quick_restart", target=n) for n in range(2)]
    hard = run(
        1,
        Script(
            world=World(seconds=4.0, nodes=1, boxes=2, cores=1, requests_per_s=150.0), fault=cold
        ),
    )
    bound = sum(max_served(hard.demands, hard.supply).values())
    assert (
        0.3 * bound < hard.figures.served_first_attempts < bound < 0.6 * hard.figures.first_attempts
    )


def test_value_per_cost_prefers_no_cheap_requests_and_respects_the_order_book() -> None:
    heavy = [Demand(0.0, "read", 40.0, 199.0, 3.0, False) for _ in range(10)]
    # 200 ms of work fit, whichever requests they are.
    best = max_value(heavy + reads(40), steady(1.0, 5))
    assert best.total == pytest.approx(3.0 * 200.0) and best.by_class == pytest.approx(
        {"read": 600.0}
    )
    orders = reads(50, 8.0, "order", True)
    best = max_value(reads(50) + orders, steady(1.0, 5, 0.05))  # ten places of the order book
    assert best.by_class == pytest.approx({"order": 8.0 * 100.0, "read": 3.0 * 100.0})
    late = [Demand(300.0, "read", 10.0, 99.0, 3.0, False)]
    assert max_value(late, steady(1.0, 5)).by_slice == pytest.approx([0.0, 0.0, 0.0, 30.0])
    assert max_value([], steady(1.0, 5)).total == 0.0


def test_no_scenario_has_more_value_than_its_bound() -> None:
    overload = run(5, Script(world=World(seconds=3.0, boxes=2, cores=1, requests_per_s=300.0)))
    best = max_value(overload.demands, overload.supply)
    assert (
        0.3 * best.total
        < overload.served_value
        < best.total
        < sum(d.value for d in overload.demands)
    )
    assert sum(best.by_slice) == pytest.approx(best.total)
