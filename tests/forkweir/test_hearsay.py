"""What is heeded of a spoilt list: whatever it says, the set is never emptied, nobody is added, and the next whole list settles it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from forkweir.known.hearsay import MOST_SUSPECT, SUSPECT_MS, Hearsay, Word

NAMES = [f"s{n}" for n in range(12)]
words = st.builds(
    Word,
    st.sampled_from(NAMES),
    st.sampled_from(["draining", "gone", "in", "unreadable"]),
    st.booleans(),
    st.booleans(),
)
steps = st.lists(
    st.tuples(st.sampled_from(["heed", "line", "list", "lapse"]), st.lists(words, max_size=12)),
    max_size=30,
)


@given(st.integers(1, 12), steps)
def test_whatever_is_said_somebody_stays_in_service(
    many: int, plan: list[tuple[str, list[Word]]]
) -> None:
    hearsay, serving, now = Hearsay(), set(NAMES[:many]), 0.0
    for what, said in plan:
        now += 1_000.0
        held = set(hearsay.held)
        if what == "heed":
            known = [word for word in said if word.name in NAMES[:many]]
            back, cold = hearsay.heed(known, len(serving - held), now)
            assert set(back) == set(hearsay.held) - held and len(back) == len(set(back))
            suspects = {word.name for word in known if word.state == "unreadable"} - {
                word.name for word in known if word.state in ("draining", "gone")
            }
            assert len(set(back) & suspects) <= max(1.0, MOST_SUSPECT * many)
            assert all(
                any(w.name == name and w.same_place and w.state not in ("in",) for w in known)
                for name in back
            )
            assert all(
                any(w.name == name and w.same_place and w.later_start for w in known)
                for name in cold
            )
        elif what == "lapse":
            free = hearsay.lapse(now)
            assert set(free) | set(hearsay.held) == held
        else:
            named = [word.name for word in said]
            free = hearsay.settle(named, what == "list")
            assert not set(hearsay.held) & set(named)
            assert set(free) == (held - set(named) if what == "list" else set())
        assert len(set(hearsay.held)) < many or not hearsay.held
        assert serving - set(hearsay.held)


def test_a_whole_entry_holds_until_a_list_and_a_broken_one_for_a_while() -> None:
    hearsay = Hearsay()
    said = [
        Word("s0", "draining", True),
        Word("s1", "unreadable", True),
        Word("s2", "unreadable", True),
        Word("s3", "gone", False),
    ]
    assert hearsay.heed(said, 6, 0.0) == (
        ["s0"],
        [],
    )  # of six one may be held back for broken entries, and one is held back
    hearsay.settle([], True)
    assert hearsay.heed(said[1:], 8, 0.0) == (["s1", "s2"], [])
    assert hearsay.lapse(SUSPECT_MS - 1.0) == []
    assert hearsay.heed([Word("s2", "gone", True)], 6, 1.0) == (
        [],
        [],
    )  # the suspicion is confirmed
    assert hearsay.lapse(SUSPECT_MS) == ["s1"]
    assert hearsay.lapse(1e12) == [] and hearsay.held == ("s2",)
    assert hearsay.settle(["s5"], False) == [] and hearsay.settle([], True) == ["s2"]


def test_a_restart_told_in_a_spoilt_line_is_a_cold_one() -> None:
    said = [Word("s0", "in", True, True), Word("s1", "in", True), Word("s2", "in", False, True)]
    assert Hearsay().heed(said, 3, 0.0) == ([], ["s0"])
