"""What others saw of a box: evidence beside one's own, that one member alone can't make."""

from __future__ import annotations

import pytest

from forkweir.choice import Balancer
from forkweir.known.outlier_detection import PRIOR_LOG_ODDS
from forkweir.settings import ClassSpec, Server, Settings
from forkweir.tier.claims import id_of
from forkweir.tier.options import Options
from forkweir.tier.seat import Seat
from forkweir.tier.signals import (
    AGED_MS,
    MOST_OF_ALL,
    ON_A_PAGE,
    TOLD_GOOD_MS,
    Hearsay,
    Signals,
    packed,
    unpacked,
)
from forkweir.tier.tier import Tier

BOX = id_of("s3/0")


def node(slot: int, count: int = 5) -> tuple[Balancer, Tier]:
    balancer = Balancer(
        Settings(classes=(ClassSpec("read", aim_ms=750, deadline_ms=2_500),), max_attempts=3), slot
    )
    balancer.on_list(0.0, "full", [Server(f"s{n}") for n in range(10)])
    return balancer, Seat(
        balancer, Tier(slot, count, 100 + slot, 1, 0.0, Options(signals=True))
    ).tier


def test_words_travel_and_spoilt_ones_do_no_harm() -> None:
    words = [(0xFFFFFFFF, 2.5), (7, -5.0), (9, 0.05)]
    back = unpacked(packed(words))
    assert [box for box, _ in back] == [box for box, _ in words]
    assert [odds for _, odds in back] == pytest.approx([odds for _, odds in words])
    assert unpacked(b"\x00" * 9)[0][0] == 0 and len(unpacked(b"\x00" * 9)) == 1
    assert len(packed([(n, 1.0) for n in range(ON_A_PAGE)])) <= 198


def test_one_member_alone_says_nothing_and_three_put_out_what_this_node_has_not_met() -> None:
    signals = Signals()
    signals.heard(1, 11, 1, [(5, 2.5)], 0.0)
    assert signals.hearsay(1.0) == {5: Hearsay(0.0, False)}
    signals.heard(2, 12, 1, [(5, 2.5)], 0.0)
    assert (
        PRIOR_LOG_ODDS + signals.hearsay(1.0)[5].odds < 0.0
    )  # not enough alone, but with one bad attempt of one's own
    signals.heard(3, 13, 1, [(5, 2.5)], 0.0)
    assert PRIOR_LOG_ODDS + signals.hearsay(1.0)[5].odds > 0.0
    for member in range(4, 200):
        signals.heard(member, 13, 1, [(5, 100.0)], 0.0)
    assert signals.hearsay(1.0)[5].odds == MOST_OF_ALL
    assert signals.hearsay(AGED_MS + 1.0) == {}


def test_of_each_member_the_latest_word_counts_once() -> None:
    signals = Signals()
    for member in (1, 2, 3):
        assert signals.heard(member, 10, 2, [(5, 2.5), (6, 2.5)], 0.0)
    before = signals.hearsay(1.0)
    assert not signals.heard(1, 10, 2, [(5, 2.5)], 1.0) and not signals.heard(
        1, 10, 1, [], 1.0
    )  # a double, and one that is late
    assert signals.hearsay(1.0) == before
    for member in (1, 2, 3):
        signals.heard(member, 10, 3, [(6, 2.5)], 2.0)
    assert 5 not in signals.hearsay(3.0) and signals.hearsay(3.0)[6].odds > 0.0
    assert signals.heard(1, 44, 1, [], 4.0)  # another process of that node


def test_boxes_that_answer_again_are_told_for_a_while() -> None:
    signals = Signals()
    signals.saw({5: 2.0}, {5: 2.0, 6: -4.0}, 0.0)
    assert signals.told() == [(5, 2.0)]
    signals.saw({}, {5: -1.0, 6: -4.0}, 100.0)
    assert signals.told() == [(5, -1.0)]
    signals.saw({}, {5: -1.0}, 100.0 + TOLD_GOOD_MS + 1.0)
    assert signals.told() == []
    many = {n: 1.0 for n in range(100)}
    signals.saw(many, many, 9_000.0)
    assert len(signals.told()) == ON_A_PAGE


def test_a_node_keeps_out_what_others_found_bad_but_not_against_its_own_good_answer_or_on_one_word() -> (
    None
):
    balancer, tier = node(0)
    member, other = balancer.fleet.members["s3"], balancer.fleet.members["s4"]
    assert tier.signals is not None
    tier.signals.heard(1, 11, 1, [(BOX, 2.5), (id_of("s4/0"), 2.5)], 1_000.0)
    tier.attend(1_000.0)
    assert balancer.fleet.usable(member, 1_000.0)
    for n, slot in enumerate((2, 3)):
        tier.signals.heard(slot, 12 + n, 1, [(BOX, 2.5), (id_of("s4/0"), 2.5)], 1_000.0)
    other.suspicion.log_odds = -5.0  # a good answer of its own, a moment ago
    tier.attend(1_010.0)
    assert not balancer.fleet.usable(member, 1_010.0) and member.state(1_010.0, False) == "doubted"
    assert balancer.fleet.usable(other, 1_010.0)
    assert tier.signals.told() == []  # it tells what it saw itself, and hears no echo of it
    due = member.ejected_until
    for n, slot in enumerate((1, 2, 3)):
        tier.signals.heard(slot, 11 + n, 2, [(BOX, -1.0)], 1_200.0)
    tier.attend(1_210.0)
    assert (
        member.ejected_until <= 1_210.0 < due and member.state(1_210.0, False) == "due"
    )  # one request, to try it
    balancer.on_list(1_300.0, "changes", [Server("s3", state="draining")])
    tier.attend(1_310.0)
    assert not balancer.fleet.usable(member, 1_310.0)  # a drain is the list's


def test_no_word_brings_back_a_silent_box_and_words_against_all_of_them_put_out_a_third_at_most() -> (
    None
):
    balancer, tier = node(0)
    assert tier.signals is not None
    silent = balancer.fleet.members["s0"]
    silent.eject(500.0)
    out = silent.ejected_until
    everything = [(id_of(f"s{n}/0"), 2.5) for n in range(10)]
    for slot in (1, 2, 3, 4):
        tier.signals.heard(slot, slot, 1, everything, 600.0)
    tier.attend(610.0)
    kept_out = [
        name
        for name, member in balancer.fleet.members.items()
        if not balancer.fleet.usable(member, 610.0)
    ]
    assert "s0" in kept_out and len(kept_out) <= 1 + 4, kept_out
    for slot in (1, 2, 3, 4):
        tier.signals.heard(slot, slot, 2, [(id_of("s0/0"), -5.0)], 620.0)
    tier.attend(630.0)
    assert silent.ejected_until == out


def test_nodes_tell_one_another_and_a_box_found_bad_by_three_is_kept_out_by_all() -> None:
    nodes = [node(slot, 6) for slot in range(6)]
    for balancer, _ in nodes[:3]:
        balancer.fleet.members["s3"].suspicion.log_odds = 2.5
    now = 0.0
    while now < 4_000.0:
        now += 125.0
        sends = [(tier.slot, to, data) for _, tier in nodes for to, data in tier.tick(now)]
        while sends:
            sends = [
                (to, back, more)
                for source, to, data in sends
                for back, more in nodes[to][1].receive(source, data, now)
            ]
    assert all(balancer.fleet.members["s3"].suspicion.suspect for balancer, _ in nodes)
    assert [
        not balancer.fleet.usable(balancer.fleet.members["s3"], 1_500.0)
        for balancer, _ in nodes[3:]
    ] == [True] * 3
    assert nodes[5][1].counts["in"] < 400
