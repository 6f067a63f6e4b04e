"""Evidence of peers about a box: counts beside a node's own, and needs more than one member."""

from __future__ import annotations

import pytest

from forkweir.choice import Balancer
from forkweir.known.outlier_detection import PRIOR_LOG_ODDS
from forkweir.settings import ClassSpec, Server, Settings
from forkweir.tier.balancer_adapter import BalancerAdapter
from forkweir.tier.demand import limit_id
from forkweir.tier.options import Options
from forkweir.tier.signals import (
    MAX_PEER_ODDS,
    MAX_REPORTED_BOXES,
    RECOVERY_REPORT_MS,
    REPORT_TTL_MS,
    PeerEvidence,
    Signals,
    pack,
    unpack,
)
from forkweir.tier.tier import Tier

BOX = limit_id("s3/0")


def node(slot: int, count: int = 5) -> tuple[Balancer, Tier]:
    balancer = Balancer(
        Settings(classes=(ClassSpec("read", aim_ms=750, deadline_ms=2_500),), max_attempts=3), slot
    )
    balancer.on_list(0.0, "full", [Server(f"s{n}") for n in range(10)])
    return balancer, BalancerAdapter(
        balancer, Tier(slot, count, 100 + slot, 1, 0.0, Options(signals=True))
    ).tier


def test_reports_round_trip_and_malformed_ones_are_harmless() -> None:
    reports = [(0xFFFFFFFF, 2.5), (7, -5.0), (9, 0.05)]
    unpacked = unpack(pack(reports))
    assert [box for box, _ in unpacked] == [box for box, _ in reports]
    assert [odds for _, odds in unpacked] == pytest.approx([odds for _, odds in reports])
    assert unpack(b"\x00" * 9)[0][0] == 0 and len(unpack(b"\x00" * 9)) == 1
    assert len(pack([(n, 1.0) for n in range(MAX_REPORTED_BOXES)])) <= 198


def test_one_member_alone_changes_nothing_and_three_exclude_an_unknown_box() -> None:
    signals = Signals()
    signals.on_report(1, 11, 1, [(5, 2.5)], 0.0)
    assert signals.evidence(1.0) == {5: PeerEvidence(0.0, False)}
    signals.on_report(2, 12, 1, [(5, 2.5)], 0.0)
    # Not enough alone, but together with one bad attempt of this node itself.
    assert PRIOR_LOG_ODDS + signals.evidence(1.0)[5].odds < 0.0
    signals.on_report(3, 13, 1, [(5, 2.5)], 0.0)
    assert PRIOR_LOG_ODDS + signals.evidence(1.0)[5].odds > 0.0
    for member in range(4, 200):
        signals.on_report(member, 13, 1, [(5, 100.0)], 0.0)
    assert signals.evidence(1.0)[5].odds == MAX_PEER_ODDS
    assert signals.evidence(REPORT_TTL_MS + 1.0) == {}


def test_the_latest_report_of_each_member_counts_once() -> None:
    signals = Signals()
    for member in (1, 2, 3):
        assert signals.on_report(member, 10, 2, [(5, 2.5), (6, 2.5)], 0.0)
    before = signals.evidence(1.0)
    # A duplicate, and a late report.
    assert not signals.on_report(1, 10, 2, [(5, 2.5)], 1.0) and not signals.on_report(
        1, 10, 1, [], 1.0
    )
    assert signals.evidence(1.0) == before
    for member in (1, 2, 3):
        signals.on_report(member, 10, 3, [(6, 2.5)], 2.0)
    assert 5 not in signals.evidence(3.0) and signals.evidence(3.0)[6].odds > 0.0
    assert signals.on_report(1, 44, 1, [], 4.0)  # a new process of that node


def test_recovered_boxes_are_reported_for_a_while() -> None:
    signals = Signals()
    signals.update_own({5: 2.0}, {5: 2.0, 6: -4.0}, 0.0)
    assert signals.to_report() == [(5, 2.0)]
    signals.update_own({}, {5: -1.0, 6: -4.0}, 100.0)
    assert signals.to_report() == [(5, -1.0)]
    signals.update_own({}, {5: -1.0}, 100.0 + RECOVERY_REPORT_MS + 1.0)
    assert signals.to_report() == []
    hundred_boxes = {n: 1.0 for n in range(100)}
    signals.update_own(hundred_boxes, hundred_boxes, 9_000.0)
    assert len(signals.to_report()) == MAX_REPORTED_BOXES


def test_peers_evidence_excludes_a_box_but_not_against_an_own_good_answer_or_by_one_report() -> (
    None
):
    balancer, tier = node(0)
    member, other = balancer.fleet.members["s3"], balancer.fleet.members["s4"]
    assert tier.signals is not None
    tier.signals.on_report(1, 11, 1, [(BOX, 2.5), (limit_id("s4/0"), 2.5)], 1_000.0)
    tier.update_signals(1_000.0)
    assert balancer.fleet.usable(member, 1_000.0)
    for n, slot in enumerate((2, 3)):
        tier.signals.on_report(slot, 12 + n, 1, [(BOX, 2.5), (limit_id("s4/0"), 2.5)], 1_000.0)
    other.suspicion.log_odds = -5.0  # a recent good answer to this node itself
    tier.update_signals(1_010.0)
    assert not balancer.fleet.usable(member, 1_010.0) and member.state(1_010.0, False) == "doubted"
    assert balancer.fleet.usable(other, 1_010.0)
    assert tier.signals.to_report() == []  # only its own evidence is reported
    due = member.ejected_until
    for n, slot in enumerate((1, 2, 3)):
        tier.signals.on_report(slot, 11 + n, 2, [(BOX, -1.0)], 1_200.0)
    tier.update_signals(1_210.0)
    # Due for one trial request.
    assert member.ejected_until <= 1_210.0 < due and member.state(1_210.0, False) == "due"
    balancer.on_list(1_300.0, "changes", [Server("s3", state="draining")])
    tier.update_signals(1_310.0)
    assert not balancer.fleet.usable(member, 1_310.0)  # only the list ends a drain


def test_reports_bring_back_no_unresponsive_box_and_exclude_a_third_at_most() -> None:
    balancer, tier = node(0)
    assert tier.signals is not None
    unresponsive = balancer.fleet.members["s0"]
    unresponsive.eject(500.0)
    out = unresponsive.ejected_until
    everything = [(limit_id(f"s{n}/0"), 2.5) for n in range(10)]
    for slot in (1, 2, 3, 4):
        tier.signals.on_report(slot, slot, 1, everything, 600.0)
    tier.update_signals(610.0)
    excluded = [
        name
        for name, member in balancer.fleet.members.items()
        if not balancer.fleet.usable(member, 610.0)
    ]
    assert "s0" in excluded and len(excluded) <= 1 + 4, excluded
    for slot in (1, 2, 3, 4):
        tier.signals.on_report(slot, slot, 2, [(limit_id("s0/0"), -5.0)], 620.0)
    tier.update_signals(630.0)
    assert unresponsive.ejected_until == out


def test_a_box_found_bad_by_three_nodes_is_excluded_by_all() -> None:
    nodes = [node(slot, 6) for slot in range(6)]
    for balancer, _ in nodes[:3]:
        balancer.fleet.members["s3"].suspicion.log_odds = 2.5
    now = 0.0
    while now < 4_000.0:
        now += 125.0
        sends = [(tier.slot, to, data) for _, tier in nodes for to, data in tier.tick(now)]
        while sends:
            sends = [
                (to, recipient, reply)
                for source, to, data in sends
                for recipient, reply in nodes[to][1].receive(source, data, now)
            ]
    assert all(balancer.fleet.members["s3"].suspicion.suspect for balancer, _ in nodes)
    assert [
        not balancer.fleet.usable(balancer.fleet.members["s3"], 1_500.0)
        for balancer, _ in nodes[3:]
    ] == [True] * 3
    assert nodes[5][1].counts["in"] < 400
