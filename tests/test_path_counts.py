"""Limits of a request's cost: counts on the virtual clock (benchmarks/path_counts.json)."""

from __future__ import annotations

import json

import pytest

from benchmarks.path_counts import CASES, COUNTS_FILE, measure, regressions

REFERENCE: dict[str, dict[str, float]] = json.loads(COUNTS_FILE.read_text())


@pytest.mark.parametrize("case", CASES)
def test_no_count_of_a_request_has_risen(case: str) -> None:
    assert regressions({case: measure(case)}, {case: REFERENCE[case]}) == []


def test_a_regression_is_reported_with_its_count_and_value() -> None:
    measured = {"get": {**REFERENCE["get"], "tasks": REFERENCE["get"]["tasks"] + 1.0, "fsync": 1.0}}
    assert [line.split(",")[0] for line in regressions(measured, {"get": REFERENCE["get"]})] == [
        "get: fsync 1",
        f"get: tasks {measured['get']['tasks']:g}",
    ]


def test_the_counts_are_the_same_every_time() -> None:
    assert measure("get, 16 clients") == measure("get, 16 clients")
