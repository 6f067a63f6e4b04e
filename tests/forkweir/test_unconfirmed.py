"""Entries of corrupt lines: they never empty the set or add servers, and the next list confirms."""

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
entries = st.builds(
    UnconfirmedEntry,
    st.sampled_from(NAMES),
    st.sampled_from(["draining", "gone", "in", "unreadable"]),
    st.booleans(),
    st.booleans(),
)
steps = st.lists(
    st.tuples(st.sampled_from(["apply", "line", "list", "expire"]), st.lists(entries, max_size=12)),
    max_size=30,
)


@given(st.integers(1, 12), steps)
def test_whatever_is_received_some_server_stays_in_service(
    server_count: int, plan: list[tuple[str, list[UnconfirmedEntry]]]
) -> None:
    unconfirmed, serving, now = UnconfirmedEntries(), set(NAMES[:server_count]), 0.0
    for what, received in plan:
        now += 1_000.0
        held = set(unconfirmed.held_back)
        if what == "apply":
            known = [entry for entry in received if entry.name in NAMES[:server_count]]
            added, cold = unconfirmed.apply(known, len(serving - held), now)
            assert set(added) == set(unconfirmed.held_back) - held and len(added) == len(set(added))
            suspects = {entry.name for entry in known if entry.state == "unreadable"} - {
                entry.name for entry in known if entry.state in ("draining", "gone")
            }
            assert len(set(added) & suspects) <= max(1.0, MAX_UNREADABLE_SHARE * server_count)
            assert all(
                any(w.name == name and w.same_address and w.state not in ("in",) for w in known)
                for name in added
            )
            assert all(
                any(w.name == name and w.same_address and w.started_later for w in known)
                for name in cold
            )
        elif what == "expire":
            free = unconfirmed.expire(now)
            assert set(free) | set(unconfirmed.held_back) == held
        else:
            named = [entry.name for entry in received]
            free = unconfirmed.confirm(named, what == "list")
            assert not set(unconfirmed.held_back) & set(named)
            assert set(free) == (held - set(named) if what == "list" else set())
        assert len(set(unconfirmed.held_back)) < server_count or not unconfirmed.held_back
        assert serving - set(unconfirmed.held_back)


def test_a_complete_entry_holds_until_a_list_and_an_unreadable_one_for_a_while() -> None:
    unconfirmed = UnconfirmedEntries()
    received = [
        UnconfirmedEntry("s0", "draining", True),
        UnconfirmedEntry("s1", "unreadable", True),
        UnconfirmedEntry("s2", "unreadable", True),
        UnconfirmedEntry("s3", "gone", False),
    ]
    # Of six servers one may be held back for unreadable entries, and one is held back.
    assert unconfirmed.apply(received, 6, 0.0) == (
        ["s0"],
        [],
    )
    unconfirmed.confirm([], True)
    assert unconfirmed.apply(received[1:], 8, 0.0) == (["s1", "s2"], [])
    assert unconfirmed.expire(UNREADABLE_TIMEOUT_MS - 1.0) == []
    # The suspicion is confirmed.
    assert unconfirmed.apply([UnconfirmedEntry("s2", "gone", True)], 6, 1.0) == (
        [],
        [],
    )
    assert unconfirmed.expire(UNREADABLE_TIMEOUT_MS) == ["s1"]
    assert unconfirmed.expire(1e12) == [] and unconfirmed.held_back == ("s2",)
    assert unconfirmed.confirm(["s5"], False) == [] and unconfirmed.confirm([], True) == ["s2"]


def test_a_restart_in_a_corrupt_line_makes_the_server_cold() -> None:
    received = [
        UnconfirmedEntry("s0", "in", True, True),
        UnconfirmedEntry("s1", "in", True),
        UnconfirmedEntry("s2", "in", False, True),
    ]
    assert UnconfirmedEntries().apply(received, 3, 0.0) == ([], ["s0"])
