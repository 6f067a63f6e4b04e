"""Classification of outcomes, as the table in the module's docstring states it."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from forkweir.known.outcomes import (
    CATEGORIES,
    MIN_AIM_FRACTION,
    NOT_EXECUTED,
    OUTCOME_TYPES,
    QUICK_ERROR_FRACTION,
    AttemptOutcome,
)
from forkweir.settings import ClassSpec

READ = ClassSpec("read", aim_ms=800.0, deadline_ms=2500.0)
STATUSES = (
    "success",
    "overloaded",
    "failure",
    "absent",
    "timed_out",
    "withdrawn",
    "unreachable",
    "broken",
    "spoilt",
    "void",
)


def seen(
    status: str, elapsed_ms: float = 500.0, cache_result: int = 0, **more: Any
) -> AttemptOutcome:
    return OUTCOME_TYPES[status](cache_result, elapsed_ms, READ, **more)


@pytest.mark.parametrize("status", STATUSES)
def test_each_outcome_follows_the_table(status: str) -> None:
    one = seen(status)
    assert one.alive == (status in ("success", "overloaded", "failure", "absent"))
    assert one.response_received == (
        status in ("success", "overloaded", "failure", "absent", "broken", "spoilt")
    )
    assert one.fault == (status in ("unreachable", "broken", "spoilt"))
    assert one.rejection_sample == {"success": False, "overloaded": True}.get(status)
    assert one.adverse == {
        "success": False,
        "failure": True,
        "timed_out": True,
        "withdrawn": True,
    }.get(status)
    assert one.exceeded_capacity == (status in ("overloaded", "timed_out"))
    assert one.may_have_run == (status not in ("overloaded", "absent", "unreachable", "void"))
    assert one.fetch_ended == (status in ("success", "timed_out", "failure"))
    assert (one.zone_answers is None) == (status in ("withdrawn", "void", "broken"))
    assert (one.zone_answers is False) == (status in ("timed_out", "unreachable"))


@pytest.mark.parametrize("status", ["timed_out", "withdrawn"])
def test_a_brief_attempt_is_no_evidence_about_its_server(status: str) -> None:
    brief, long = (
        seen(status, 0.99 * MIN_AIM_FRACTION * READ.aim_ms, miss_probability=1.0),
        seen(status, MIN_AIM_FRACTION * READ.aim_ms, miss_probability=1.0),
    )
    assert brief.brief and not long.brief
    assert brief.adverse is None and long.adverse is True


def test_a_late_answer_is_adverse_and_a_sign_of_overload() -> None:
    late = seen("success", 801.0, 1)
    assert late.adverse and late.exceeded_capacity and not late.in_time
    assert (
        late.reveals_cost
        and not seen("success", 801.0, 2).reveals_cost
        and not seen("success", 801.0, 1, work_ms=5.0).reveals_cost
    )


def test_a_read_shows_whether_its_key_was_cached_and_a_write_the_state_of_the_origin() -> None:
    assert (
        seen("success", cache_result=1).missed(False) is False
        and seen("success", cache_result=2).missed(True) is True
    )
    assert seen("timed_out").missed(False) is True and seen("timed_out").missed(True) is None
    assert seen("success", write=True).missed(False) is None and seen("success", write=True).fetched
    assert seen("failure").missed(False) is None and seen("failure").fetch_failed(0.9)
    assert seen("timed_out", miss_probability=0.2).fetch_failed(0.15) and not seen(
        "timed_out", miss_probability=0.1
    ).fetch_failed(0.15)


def test_an_error_is_quick_within_a_fraction_of_the_aim() -> None:
    assert seen("failure", 0.9 * QUICK_ERROR_FRACTION * READ.aim_ms).quick_error(READ.aim_ms)
    assert not seen("failure", 1.1 * QUICK_ERROR_FRACTION * READ.aim_ms).quick_error(READ.aim_ms)
    assert not seen("overloaded", 1.0).quick_error(READ.aim_ms)


FLAG = st.booleans()


@given(
    st.sampled_from(STATUSES),
    st.integers(0, 3),
    st.floats(0.0, 5_000.0),
    FLAG,
    FLAG,
    st.floats(0.0, 1.0),
    FLAG,
)
def test_no_outcome_contradicts_itself(
    status: str,
    cache_result: int,
    elapsed_ms: float,
    write: bool,
    served_last: bool,
    miss_probability: float,
    cold: bool,
) -> None:
    one = seen(
        status,
        elapsed_ms,
        cache_result,
        write=write,
        served_last=served_last,
        miss_probability=miss_probability,
        cold=cold,
    )
    request_over = OUTCOME_TYPES[status](cache_result, elapsed_ms, None)
    assert one.alive <= one.response_received and not (one.alive and one.fault)
    assert not (one.in_time and one.exceeded_capacity) and one.category in CATEGORIES
    assert one.adverse is not True or not one.in_time
    assert not (one.brief and (one.served or one.adverse))
    assert one.longer_than(1.0) is None or one.longer_than(1.0) == (
        one.timed_out or not one.in_time
    )
    # An outcome of a request that is over only shows that its server and zone answer.
    assert (
        request_over.adverse is None
        and request_over.longer_than(0.0) is None
        and not request_over.brief
    )
    assert (request_over.alive, request_over.response_received, request_over.zone_answers) == (
        one.alive,
        one.response_received,
        one.zone_answers,
    )


def test_every_status_of_the_wire_has_its_class() -> None:
    assert set(OUTCOME_TYPES) == set(STATUSES) and NOT_EXECUTED == {
        "overloaded",
        "unreachable",
        "void",
        "absent",
    }
