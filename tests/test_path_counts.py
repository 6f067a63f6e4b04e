"""Limits of what a request costs: counts on the virtual clock (benchmarks/path_counts.json)."""

from __future__ import annotations

import json

import pytest

from benchmarks.path_counts import CASES, FILE, measure, risen

HELD: dict[str, dict[str, float]] = json.loads(FILE.read_text())


@pytest.mark.parametrize("case", CASES)
def test_no_count_of_a_request_has_risen(case: str) -> None:
    assert risen({case: measure(case)}, {case: HELD[case]}) == []


def test_a_risen_count_is_named_with_how_much() -> None:
    now = {"get": {**HELD["get"], "tasks": HELD["get"]["tasks"] + 1.0, "fsync": 1.0}}
    assert [line.split(",")[0] for line in risen(now, {"get": HELD["get"]})] == [
        "get: fsync 1",
        f"get: tasks {now['get']['tasks']:g}",
    ]


def test_the_counts_are_the_same_every_time() -> None:
    assert measure("get, 16 clients") == measure("get, 16 clients")
