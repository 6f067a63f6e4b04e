"""Membership: states, incarnations, and what a node that is slow itself concludes about others."""

from __future__ import annotations

from forkweir.tier.members import STATES, Members
from testbed.tier.model import Fault, Scenario, Script

ALIVE, SUSPECT, DEAD, LEFT = range(4)


def members(count: int = 5) -> Members:
    return Members(0, count, 1_000, 1, 500.0, 0.0)


def test_states_move_by_newer_incarnations_and_within_one_only_forward() -> None:
    m = members()
    assert m.state(1) == "unknown" and m.participants() == [0]
    m.apply_updates(((1, 50, ALIVE), (9, 1, ALIVE)), 10.0)  # slot 9 is not in this tier
    assert m.state(1) == "alive"
    m.apply_updates(((1, 50, SUSPECT),), 20.0)
    m.apply_updates(((1, 50, ALIVE),), 30.0)  # an older update of the same incarnation
    assert m.state(1) == "suspect" and m.participants() == [0, 1]
    m.apply_updates(((1, 51, ALIVE),), 40.0)  # a refutation
    assert m.state(1) == "alive"
    m.apply_updates(((1, 50, DEAD),), 50.0)
    assert m.state(1) == "alive"
    m.apply_updates(((1, 51, DEAD),), 60.0)
    assert m.state(1) == "dead" and m.participants() == [0]
    assert not m.on_datagram(1, 50, 7, 70.0)  # delayed, of the earlier process
    assert m.on_datagram(1, 51, 7, 80.0) and m.state(1) == "alive"
    m.on_leave(1, 51, 90.0)
    assert m.state(1) == "left"
    assert m.on_datagram(1, 52, 8, 95.0) and m.state(1) == "alive"  # restarted


def test_a_node_refutes_with_an_incarnation_newer_than_any_reported() -> None:
    m = members()
    m.apply_updates(((0, 1_000, SUSPECT),), 10.0)
    assert m.incarnation == 1_001 and m.updates_for(3)[0] == (0, 1_001, ALIVE)
    m.apply_updates(((0, 900, DEAD),), 20.0)
    assert m.incarnation == 1_001
    # From an earlier process of this node, whose clock was ahead.
    m.apply_updates(((0, 5_000, ALIVE),), 30.0)
    assert m.incarnation == 5_001


def test_an_unresponsive_node_is_probed_by_relays_then_suspect_then_dead() -> None:
    m = members(3)
    m.apply_updates(((1, 5, ALIVE), (2, 5, ALIVE)), 0.0)
    probed, relayed, now = set[int](), set[int](), 0.0
    while m.state(1) != "dead":
        for probe in m.tick(now):
            (relayed if probe.relay >= 0 else probed).add(probe.target)
            if probe.target == 2 and probe.relay < 0:
                m.on_ack(probe.number)  # only node 2 answers
        if m.state(1) == "suspect":
            assert (1, 5, SUSPECT) in m.updates_for(1)
        now += 125.0
        assert now < 12_000.0
    assert probed == {1, 2} and relayed == {1} and m.state(2) == "alive"
    # A dead node is still probed from time to time.
    assert any(probe.target == 1 for n in range(40) for probe in m.tick(now + 125.0 * n))


def test_a_stalled_node_suspects_no_other_node_for_its_own_pause() -> None:
    m = members(3)
    m.apply_updates(((1, 5, ALIVE), (2, 5, ALIVE)), 0.0)
    for n in range(4):
        m.tick(125.0 * n)
    m.tick(10_000.0)  # drops the pending probes
    assert {m.state(1), m.state(2)} == {"alive"} and m.slowness == 2
    unstalled_ms = members(3).suspicion_ms
    assert m.suspicion_ms == 2.0 * unstalled_ms


def test_a_death_spreads_soon_and_a_short_pause_is_not_one() -> None:
    """Bounds of docs/tier.md for 37 nodes, in one scenario."""
    script = Script(
        37,
        30.0,
        faults=[Fault(10_000.0, "kill", (5,), 0.0), Fault(20_000.0, "pause", (9,), 1_500.0)],
    )
    scenario = Scenario(script, 1)
    known: dict[tuple[int, str], list[float]] = {}
    scenario.on_change = lambda by, slot, state: known.setdefault((slot, state), []).append(
        scenario.now
    )
    scenario.run()
    died = known[5, "dead"]
    assert len(died) == 36 and max(died) < 17_000.0, died
    assert not [key for key in known if key[1] == "dead" and key[0] != 5]
    assert set(STATES) >= {state for _, state in known}
    assert not scenario.failures
