"""Whether a time-out counts against its server or against the origin."""

from __future__ import annotations

from forkweir.fleet import Fleet
from forkweir.gate import ORIGIN_SLOW_LEVEL, Gate
from forkweir.known.outcomes import OUTCOME_TYPES
from forkweir.settings import ClassSpec, Server, Settings

READ = ClassSpec("read", aim_ms=800.0, deadline_ms=2500.0)


def penalty_of_timeout(origin_slowness: float, miss_probability: float) -> float:
    """The load penalty of one time-out; origin_slowness: mean time of misses over their aim."""
    fleet = Fleet(Settings(classes=(READ,)), 1)
    fleet.apply_list(0.0, [Server("s0")], True)
    gate, member = Gate(fleet), fleet.members["s0"]
    gate.origin_slowness = origin_slowness
    gate.record_outcome(
        member,
        OUTCOME_TYPES["timed_out"](0, 800.0, READ, miss_probability=miss_probability),
        0.0,
        1_000.0,
    )
    return member.load_penalty


def test_a_time_out_of_a_likely_miss_spares_its_server_only_as_far_as_misses_are_slow() -> None:
    # Throttled servers must not be spared as if their origin were overloaded.
    hit, quick, slowish, slow = (
        penalty_of_timeout(0.0, 0.0),
        penalty_of_timeout(0.1, 0.9),
        penalty_of_timeout(0.35, 0.9),
        penalty_of_timeout(0.95 * ORIGIN_SLOW_LEVEL, 0.9),
    )
    assert hit > 0.0 and quick > 0.9 * hit
    assert hit > slowish > slow > 0.0 and slow < 0.1 * hit


def test_time_outs_move_no_keys_while_the_origin_is_slow() -> None:
    assert penalty_of_timeout(ORIGIN_SLOW_LEVEL, 0.0) == 0.0
