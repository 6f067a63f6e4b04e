"""One run of the soak: injects the faults of a plan at their times under load and reports.

Nodes die with this process, and a run is bounded in time.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Awaitable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Optional

from corkshift.seam import now_ms
from testbed.soak.faults import FaultInjector
from testbed.soak.oracle import Rule
from testbed.soak.plan import Event, Plan
from testbed.soak.world import World


@dataclass(frozen=True, slots=True)
class Report:
    """The result of a run; fields are the keys of the JSON output.

    `harness_late_ms` is the longest event loop lag of this process, `real_s` the run's duration.
    """

    seed: int
    violations: list[str]
    counts: dict[str, int]
    notes: list[str]
    harness_late_ms: float
    real_s: float


class Rig:
    """Runs one plan."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.world = World(plan, folder)
        self.notes: list[str] = []
        self._faults = FaultInjector(self.world, self.notes)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._started_ms = now_ms()

    async def run_plan(self) -> Report:
        """Run the plan and return the report."""
        began, world = time.monotonic(), self.world
        try:
            await world.open()
            self._started_ms = now_ms()
            self._spawn(world.oracle.lag.measure())
            for event in self.plan.events:
                self._spawn(self._inject_at(event))
            await world.clients.run(self.plan.seconds)
            await world.wait_for_restarts()
        finally:
            await self._close()
        world.oracle.check_totals()
        world.check_node_processes()
        return self._make_report(time.monotonic() - began)

    def _make_report(self, real_s: float) -> Report:
        oracle, figures = self.world.oracle, self.world.clients.totals
        counts = {
            **oracle.counts,
            "asked": figures.asked,
            "served": figures.served,
            "refused": figures.refused,
        }
        counts |= {"failed": figures.failed, "unanswered": figures.unanswered, "left": figures.left}
        return Report(
            seed=self.plan.seed,
            violations=[str(violation) for violation in oracle.violations],
            counts=counts,
            notes=self.notes,
            harness_late_ms=round(oracle.lag.worst_ms, 1),
            real_s=round(real_s, 1),
        )

    async def _close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.world.close()

    async def _inject_at(self, event: Event) -> None:
        await asyncio.sleep(max(0.0, self._started_ms / 1000.0 + event.at_s - now_ms() / 1000.0))
        await self._faults.inject(event)

    def _spawn(self, awaitable: Awaitable[Any]) -> None:
        task: asyncio.Task[Any] = asyncio.ensure_future(awaitable)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.world.oracle.record_violation(
                Rule.CRASH, f"a task of the test rig failed: {error!r}"
            )


def run(plan: Plan, log_folder: Optional[Path] = None) -> Report:
    """Run a plan in `log_folder`, where its files are kept, or in a temporary folder."""
    if log_folder is not None:
        log_folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(Rig(plan, log_folder).run_plan())
    with tempfile.TemporaryDirectory(prefix="gradeshift-soak-") as folder:
        return asyncio.run(Rig(plan, Path(folder)).run_plan())
