"""Merge of several sources: each rule, and the invariants for any updates."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from forkweir.known.membership import (
    FLAP_SUPPRESS,
    MAX_BOXES,
    TOMBSTONE_MS,
    Address,
    Box,
    Claim,
    Guard,
    Membership,
    Rights,
)
from forkweir.known.priority_groups import FAILBACK_MS, PriorityGroups

LIST, DNS, FILE = Rights(0), Rights(10, drain=False, remove=False), Rights(20, fallback=True)
RIGHTS = {"list": LIST, "dns": DNS, "file": FILE}


def at(n: int) -> Address:
    return f"10.0.0.{n}", 8001


def claims(*numbers: int, named: bool = False, draining: tuple[int, ...] = ()) -> list[Claim]:
    return [
        Claim(at(n), "draining" if n in draining else "in", f"s{n}" if named else "")
        for n in numbers
    ]


def made(guard: Guard | None = None) -> Membership:
    return Membership(RIGHTS, guard)


def seen(merged: Membership, now: float) -> dict[int, tuple[str, str]]:
    """Return the state and rule of each box, by its number."""
    return {
        int(box.address[0].rpartition(".")[2]): (box.server.state, box.rule)
        for box in merged.merge(now)
    }


def test_ids_and_weights_come_from_the_best_source_that_gives_them() -> None:
    merged = made()
    merged.update("dns", [Claim(at(1), weight=2.0, priority=3)], 0.0)
    assert merged.merge(0.0)[0].server.name == "10.0.0.1:8001"
    merged.update("list", [Claim(at(1), name="s1", zone="a", started_ms=5.0)], 1.0)
    box = merged.merge(1.0)[0]
    assert (
        box.server.name,
        box.server.zone,
        box.server.weight,
        box.server.started_ms,
        box.priority,
    ) == ("s1", "a", 2.0, 5.0, 3)
    assert box.rule == "agreed" and dict(box.states) == {"list": "in", "dns": "in"}
    merged.update("list", [Claim(at(1), name="s1", weight=1.5)], 2.0)
    assert merged.merge(2.0)[0].server.weight == 1.5


def test_a_box_of_a_single_source_needs_the_right_to_add() -> None:
    merged = Membership({"list": LIST, "dns": Rights(10, add=False)})
    merged.update("list", claims(1), 0.0)
    merged.update("dns", claims(1, 2), 0.0)
    assert seen(merged, 0.0) == {1: ("in", "agreed")}


def test_a_drain_applies_until_its_source_ends_it() -> None:
    merged = made()
    merged.update("list", claims(1, 2, draining=(1,)), 0.0)
    merged.update("dns", claims(1, 2), 1.0)
    assert seen(merged, 1.0)[1] == ("draining", "drain by list")
    merged.mark_failed("list", "gone away")
    assert seen(merged, 1e9)[1][0] == "draining"
    merged.update("list", claims(1, 2), 1e9)
    assert seen(merged, 1e9)[1] == ("in", "agreed")
    merged.update("dns", [Claim(at(2), "draining")], 1e9, full=False)  # without the right
    assert seen(merged, 1e9)[2] == ("in", "agreed")


def test_a_drained_and_removed_box_stays_removed_while_dns_names_it() -> None:
    merged = made()
    merged.update("dns", claims(1, 2, 3), 0.0)
    merged.update("list", claims(1, 2, 3, draining=(1,)), 0.0)
    merged.update("list", claims(2, 3), 10.0)
    merged.update("dns", claims(1, 2, 3), 20.0)
    assert set(seen(merged, 20.0)) == {2, 3}
    # By then it is another box, or the list would report it again.
    assert set(seen(merged, 10.0 + TOMBSTONE_MS)) == {
        1,
        2,
        3,
    }


def test_a_removal_ends_when_the_other_source_names_the_box_anew() -> None:
    merged = made()
    merged.update("dns", claims(1, 2, 3), 0.0)
    merged.update("list", claims(1, 2, 3), 0.0)
    merged.update("list", claims(2, 3), 10.0)
    assert set(seen(merged, 10.0)) == {2, 3}
    merged.update("dns", claims(2, 3), 20.0)
    merged.update("dns", claims(1, 2, 3), 30.0)
    assert set(seen(merged, 30.0)) == {1, 2, 3}
    # After a removal by name no other source brings the box back.
    merged.update("list", [*claims(1), Claim(at(2), "gone")], 40.0, full=False)
    merged.update("dns", claims(1, 3), 50.0)
    merged.update("dns", claims(1, 2, 3), 60.0)
    assert set(seen(merged, 60.0)) == {1, 3}
    merged.update("list", claims(2), 70.0, full=False)
    assert set(seen(merged, 70.0)) == {1, 2, 3}


def test_a_worse_source_or_one_without_the_right_removes_nothing_from_a_better_one() -> None:
    merged = made()
    merged.update("list", claims(1, 2, 3), 0.0)
    merged.update("dns", claims(1, 2, 3), 0.0)
    merged.update("dns", claims(2, 3), 1.0)
    assert seen(merged, 1.0)[1] == ("in", "only list")


def test_a_fall_is_held_and_reported_then_applied() -> None:
    merged = made(Guard(0.5, 10_000.0, 30_000.0))
    merged.update("list", claims(1, 2, 3, 4), 0.0)
    merged.update("list", claims(1), 100.0)
    assert seen(merged, 100.0)[2] == ("in", "held: fall")
    assert (
        any("3 of 4 boxes fell out" in line for line in merged.take_reports())
        and not merged.take_reports()
    )
    assert merged.next_change_ms(100.0) == 30_100.0
    assert set(seen(merged, 30_100.0)) == {1}


def test_slow_removals_and_removals_by_name_are_no_fall() -> None:
    merged = made(Guard(0.5, 10_000.0, 30_000.0))
    merged.update("list", claims(1, 2, 3, 4), 0.0)
    for n, now in ((2, 20_000.0), (3, 40_000.0), (4, 60_000.0)):
        merged.update("list", claims(*range(1, 6 - n)), now)
        assert len(seen(merged, now)) == 5 - n
    merged.update("list", claims(1, 2, 3, 4), 80_000.0)
    merged.update("list", [Claim(at(n), "gone") for n in (2, 3, 4)], 80_001.0, full=False)
    assert set(seen(merged, 80_001.0)) == {1}


def test_an_emptied_source_never_empties_the_set_and_drains_do() -> None:
    merged = made()
    merged.update("dns", claims(1, 2), 0.0)
    merged.update("dns", [], 10.0)
    assert set(seen(merged, 10.0)) == {1, 2}
    assert seen(merged, 1e9) == {1: ("in", "held: last"), 2: ("in", "held: last")}
    merged.update("list", claims(1, 2, draining=(1, 2)), 1e9)
    assert {state for state, _ in seen(merged, 1e9).values()} == {"draining"}
    merged.update("list", claims(3), 1e9)
    assert set(seen(merged, 1e9)) == {3}


def test_a_fallback_counts_while_nothing_else_is_in_service() -> None:
    merged = made()
    merged.update("file", claims(7), 0.0)
    assert seen(merged, 0.0) == {7: ("in", "fallback file")}
    merged.update("list", claims(1), 1.0)
    assert set(seen(merged, 1.0)) == {1}
    merged.update("list", claims(1, draining=(1,)), 2.0)
    assert seen(merged, 2.0)[7][0] == "in"


def test_a_box_that_moves_leaves_its_old_address_at_once() -> None:
    merged = made()
    merged.update("list", claims(1, 2, named=True), 0.0)
    merged.update("list", [Claim(at(9), name="s1"), *claims(2, named=True)], 1.0)
    assert set(seen(merged, 1.0)) == {2, 9}


def test_a_flapping_box_is_kept_for_a_while() -> None:
    merged, now = made(Guard(1.0)), 0.0
    others = (2, 3, 4)
    for _ in range(int(FLAP_SUPPRESS) + 1):
        merged.update("list", claims(1, *others), now)
        merged.update("list", claims(*others), now + 1_000.0)
        now += 2_000.0
    assert seen(merged, now)[1] == ("in", "held: flapping")
    while 1 in seen(merged, now):
        due = merged.next_change_ms(now)
        assert due is not None and now < due < 100_000.0  # the stated cost
        now = due
    assert now > 30_000.0


def test_a_stale_or_failed_source_loses_only_its_influence_on_weights() -> None:
    merged = Membership({"list": Rights(0, stale_ms=1_000.0), "dns": DNS})
    merged.update("list", [Claim(at(1), name="s1", weight=3.0)], 0.0)
    merged.update("dns", [Claim(at(1), weight=0.5)], 0.0)
    assert [box.server.weight for box in (*merged.merge(1_000.0), *merged.merge(1_001.0))] == [
        3.0,
        0.5,
    ]
    assert merged.merge(1e9)[0].server.name == "s1"
    assert [(name, how) for name, how, *_ in merged.source_status(1_001.0)] == [
        ("list", "stale"),
        ("dns", "fresh"),
    ]


Step = tuple[str, tuple[tuple[int, str], ...], bool]
STATEMENTS = st.tuples(st.integers(1, 6), st.sampled_from(["in", "in", "in", "draining", "gone"]))
STEPS = st.lists(
    st.tuples(
        st.sampled_from(sorted(RIGHTS)), st.lists(STATEMENTS, max_size=5).map(tuple), st.booleans()
    ),
    max_size=12,
)


def apply_steps(steps: list[tuple[float, Step]]) -> Membership:
    merged = made(Guard(0.5, 5_000.0, 4_000.0))
    for now, (source, statements, full) in steps:
        merged.update(
            source,
            [
                Claim(at(n), state, f"{source}{n}")  # type: ignore[arg-type]
                for n, state in statements
            ],
            now,
            full,
        )
    return merged


def with_times(steps: list[Step]) -> list[tuple[float, Step]]:
    return [(700.0 * n, step) for n, step in enumerate(steps)]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(STEPS, st.randoms(use_true_random=False))
def test_the_order_in_which_sources_arrive_does_not_matter(
    steps: list[Step], random: object
) -> None:
    order = with_times(steps)
    interleaved: list[tuple[float, Step]] = []
    queues = {name: [step for step in order if step[1][0] == name] for name in RIGHTS}
    while any(queues.values()):
        name = random.choice(  # type: ignore[attr-defined]
            [name for name, queue in queues.items() if queue]
        )
        interleaved.append(queues[name].pop(0))
    end = 700.0 * len(steps)
    assert apply_steps(order).merge(end) == apply_steps(interleaved).merge(end)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(STEPS)
def test_only_drains_empty_the_set_and_it_settles(steps: list[Step]) -> None:
    order = with_times(steps)
    merged, last = (
        made(Guard(0.5, 5_000.0, 4_000.0)),
        {name: dict[Address, str]() for name in RIGHTS},
    )
    named, ever_in = {name: set[Address]() for name in RIGHTS}, set[Address]()
    for now, (source, statements, full) in order:
        states = {at(n): state for n, state in statements}
        merged.update(
            source,
            [Claim(a, state) for a, state in states.items()],  # type: ignore[arg-type]
            now,
            full,
        )
        for address, state in states.items():
            last[source][address] = state
        named[source] = (
            states.keys()  # type: ignore[assignment]
            if full
            else named[source] | states.keys()
        )
        ever_in |= {address for address, state in states.items() if state == "in"}
        boxes = merged.merge(now)
        assert boxes == merged.merge(now)
        reported_away = {
            a
            for n, view in last.items()
            for a, s in view.items()
            if s == "gone" or (s == "draining" and RIGHTS[n].drain)
        }
        if ever_in - reported_away:
            assert any(box.server.state == "in" for box in boxes)
        for box in boxes:  # every box was named by a source, and drains are applied
            assert any(box.address in view for view in last.values())
            if any(
                RIGHTS[n].drain and box.address in named[n] and view[box.address] == "draining"
                for n, view in last.items()
            ):
                assert box.server.state == "draining"
        assert len({box.server.name for box in boxes}) == len(boxes)
    now = 700.0 * len(steps)
    for _ in range(400):  # without further updates the set settles
        merged.merge(now)
        if (due := merged.next_change_ms(now)) is None:
            break
        assert due > now
        now = due
    else:
        raise AssertionError("the merged set does not settle")


def test_memory_is_bounded() -> None:
    merged = Membership({"list": LIST})
    for generation in range(4):
        base = generation * 5_000
        merged.update(
            "list",
            [
                Claim((f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", 1))
                for n in range(base, base + 5_000)
            ],
            generation * 1e6,
        )
        view = merged._views["list"]
        assert (
            max(len(view.claims), len(view.since), len(view.tombstones), len(view.penalties))
            <= MAX_BOXES
        )
        assert len(view.held) <= MAX_BOXES and view.reported_gone <= view.tombstones.keys()
    assert any("more than" in line for line in merged.take_reports())


def test_a_lower_group_serves_only_while_the_higher_can_not() -> None:
    groups = PriorityGroups()
    assert groups.level([(10, True), (20, True)], 0.0) == 10
    assert groups.level([(10, False), (10, True), (20, True)], 1.0) == 10
    assert groups.level([(10, False), (20, True)], 2.0) == 20
    assert groups.level([(10, True), (20, True)], 3.0) == 20  # not at the first success
    assert groups.level([(10, False), (20, True)], 4_000.0) == 20
    assert groups.level([(10, True), (20, True)], 5_000.0) == 20
    assert groups.level([(10, True), (20, True)], 5_000.0 + FAILBACK_MS) == 10
    assert groups.level([(10, False), (20, False)], 20_000.0) == 20
    assert groups.level([(5, True)], 30_000.0) == 5
    assert groups.level([], 40_000.0) == 0


def test_boxes_are_identified_by_address() -> None:
    merged = made()
    merged.update("list", [Claim(at(1), name="x")], 0.0)
    merged.update("dns", [Claim(at(2), name="x")], 0.0)  # another box with the same id
    boxes: list[Box] = merged.merge(0.0)
    assert {box.server.name for box in boxes} == {"x", "10.0.0.2:8001"}
