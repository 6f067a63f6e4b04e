"""Crowds and slow answers before one real node: the failures of the incident of 2026-12-05."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import pytest
import uvloop

from testbed.crowd.answers import AnswerResult, ask_all, broken_answers, slow_answers
from testbed.crowd.clients import Kind
from testbed.crowd.run import CrowdPlan, CrowdReport, play, world
from testbed.crowd.servers import AnswerSpec
from testbed.crowd.upgrades import repeat_ids

TEST_TIMEOUT_S = 60.0
SECONDS = 5.0
# The end of an answer that breaks off reaches its client within this.
END_LIMIT_MS = 200.0

Result = TypeVar("Result")


def run_bounded(what: Coroutine[Any, Any, Result]) -> Result:
    async def bounded() -> Result:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            return await what

    return uvloop.run(bounded())


def play_crowd(*kinds: Kind, memory_mb: int = 80, clients: int = 330) -> CrowdReport:
    plan = CrowdPlan(kinds, clients, memory_mb, seconds=SECONDS)
    return run_bounded(play(plan))


@pytest.mark.parametrize("memory_mb", [32, 80])
@pytest.mark.parametrize("kind", Kind)
def test_a_crowd_does_not_push_the_process_over_its_memory_limit(
    kind: Kind, memory_mb: int
) -> None:
    report = play_crowd(kind, memory_mb=memory_mb)
    assert not report.over_limit, str(report)


def test_uploads_that_fit_are_not_refused_for_bytes_that_nobody_holds() -> None:
    report = play_crowd(Kind.SLOW_UPLOAD, clients=300)
    assert report.stats["svc.refused.no-room"] == "0", str(report)
    assert report.crowd[Kind.SLOW_UPLOAD].statuses.total() == 0, str(report)


def test_large_answers_are_not_cut_off_while_their_servers_rest() -> None:
    async def test() -> list[AnswerResult]:
        async with world(192, 1024) as made:
            return await ask_all(made, slow_answers() * 3, "s")

    cut = [str(result) for result in run_bounded(test()) if not result.whole]
    assert cut == []


@pytest.mark.parametrize("chunk_bytes", [20, 4_000])
def test_the_end_of_a_broken_answer_reaches_its_client(chunk_bytes: int) -> None:
    async def test() -> list[AnswerResult]:
        specs: list[AnswerSpec] = broken_answers(24, 1, chunk_bytes)
        async with world(192, 1024) as made:
            return await ask_all(made, specs, "b", at_once=4)

    late = [
        str(result)
        for result in run_bounded(test())
        if result.status == 200
        and (result.seen_after_ms is None or result.seen_after_ms > END_LIMIT_MS)
    ]
    assert late == []


def test_an_id_that_comes_again_in_an_upgrade_does_not_run_twice() -> None:
    report = run_bounded(repeat_ids(100, 1))
    assert report.ids == 100 and report.twice == 0, str(report)
