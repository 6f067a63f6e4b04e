"""What is heeded of a spoilt list: whatever it says, the set is never emptied, nobody is added, and the next whole list settles it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from forkweir.known.unconfirmed import (
    MAX_UNREADABLE_SHARE,
    UNREADABLE_TIMEOUT_MS,
    UnconfirmedEntries,
    UnconfirmedEntry,
)

NAMES = [f"s{n}" for n in range(12)]
words = st.builds(
    UnconfirmedEntry,
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
    many: int, plan: list[tuple[str, list[UnconfirmedEntry]]]
) -> None:
    hearsay, serving, now = UnconfirmedEntries(), set(NAMES[:many]), 0.0
    for what, said in plan:
        now += 1_000.0
        held = set(hearsay.held_back)
        if what == "heed":
            known = [word for word in said if word.name in NAMES[:many]]
            back, cold = hearsay.apply(known, len(serving - held), now)
            assert set(back) == set(hearsay.held_back) - held and len(back) == len(set(back))
            suspects = {word.name for word in known if word.state == "unreadable"} - {
                word.name for word in known if word.state in ("draining", "gone")
            }
            assert len(set(back) & suspects) <= max(1.0, MAX_UNREADABLE_SHARE * many)
            assert all(
                any(w.name == name and w.same_address and w.state not in ("in",) for w in known)
                for name in back
            )
            assert all(
                any(w.name == name and w.same_address and w.started_later for w in known)
                for name in cold
            )
        elif what == "lapse":
            free = hearsay.expire(now)
            assert set(free) | set(hearsay.held_back) == held
        else:
            named = [word.name for word in said]
            free = hearsay.confirm(named, what == "list")
            assert not set(hearsay.held_back) & set(named)
            assert set(free) == (held - set(named) if what == "list" else set())
        assert len(set(hearsay.held_back)) < many or not hearsay.held_back
        assert serving - set(hearsay.held_back)


def test_a_whole_entry_holds_until_a_list_and_a_broken_one_for_a_while() -> None:
    hearsay = UnconfirmedEntries()
    said = [
        UnconfirmedEntry("s0", "draining", True),
        UnconfirmedEntry("s1", "unreadable", True),
        UnconfirmedEntry("s2", "unreadable", True),
        UnconfirmedEntry("s3", "gone", False),
    ]
    assert hearsay.apply(said, 6, 0.0) == (
        ["s0"],
        [],
    )  # of six one may be held back for broken entries, and one is held back
    hearsay.confirm([], True)
    assert hearsay.apply(said[1:], 8, 0.0) == (["s1", "s2"], [])
    assert hearsay.expire(UNREADABLE_TIMEOUT_MS - 1.0) == []
    assert hearsay.apply([UnconfirmedEntry("s2", "gone", True)], 6, 1.0) == (
        [],
        [],
    )  # the suspicion is confirmed
    assert hearsay.expire(UNREADABLE_TIMEOUT_MS) == ["s1"]
    assert hearsay.expire(1e12) == [] and hearsay.held_back == ("s2",)
    assert hearsay.confirm(["s5"], False) == [] and hearsay.confirm([], True) == ["s2"]


def test_a_restart_told_in_a_spoilt_line_is_a_cold_one() -> None:
    said = [
        UnconfirmedEntry("s0", "in", True, True),
        UnconfirmedEntry("s1", "in", True),
        UnconfirmedEntry("s2", "in", False, True),
    ]
    assert UnconfirmedEntries().apply(said, 3, 0.0) == ([], ["s0"])
