"""Exploration of many seeds, and reduction of a failing script."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Optional

import msgspec

from testbed.nights.defects import patched
from testbed.nights.script import Fault, Script, World
from testbed.nights.simulation import run

# Limit of runs while one script is reduced.
MAX_SHRINK_RUNS = 400


@dataclass(frozen=True, slots=True)
class Summary:
    """Summary of the scenario of one seed."""

    seed: int
    failures: tuple[str, ...]
    digest: str
    virtual_s: float
    real_s: float
    asked: int
    steps: int
    # Callbacks until the first violation; 0 without one.
    first_failure_step: int


def run_seed(seed: int, defect: str = "", script: Optional[Script] = None) -> Summary:
    """Run one seed, with a planted defect in the node if one is named."""
    with patched(defect):
        result = run(seed, script)
    first = result.failures[0].step if result.failures else 0
    failures = tuple(map(str, result.failures))
    return Summary(
        seed,
        failures,
        result.digest,
        result.virtual_s,
        result.real_s,
        result.figures.asked,
        result.steps,
        first,
    )


def parse_seed_range(text: str) -> range:
    """Return the seeds from A to B of a text "A-B"; empty if it has another form."""
    match = re.fullmatch(r"(\d+)-(\d+)", text)
    return range(int(match[1]), int(match[2]) + 1) if match else range(0)


def explore(seeds: Iterable[int], jobs: int, defect: str = "") -> Iterator[Summary]:
    """Run seeds on several processes and yield their summaries in the order of the seeds."""
    if jobs <= 1:
        for seed in seeds:
            yield run_seed(seed, defect)
        return
    with ProcessPoolExecutor(jobs) as pool:
        futures = [pool.submit(run_seed, seed, defect) for seed in seeds]
        for future in futures:
            yield future.result()


def violated_rule(failure: str) -> str:
    """Return the rule that a failure names, without time and numbers."""
    return re.sub(r"\d+", "#", failure.split(": ", 2)[1])


def shrink(
    seed: int, script: Script, rule: str, run_script: Callable[[int, Script], tuple[str, ...]]
) -> tuple[Script, int]:
    """Reduce a script while it still breaks a rule; return it and the number of runs.

    Delta debugging (Zeller and Hildebrandt 2002): first fewer faults, then a smaller and shorter
    system, then milder faults. run_script runs a script and returns its failures.
    """
    runs = 0

    def still_fails(candidate: Script) -> bool:
        nonlocal runs
        if runs >= MAX_SHRINK_RUNS:
            return False
        runs += 1
        return any(violated_rule(failure) == rule for failure in run_script(seed, candidate))

    script = _remove_faults(script, still_fails)
    changed = True
    while changed and runs < MAX_SHRINK_RUNS:
        changed = False
        for candidate in _simplified_scripts(script):
            if still_fails(candidate):
                script, changed = candidate, True
                break
    return script, runs


def _remove_faults(script: Script, still_fails: Callable[[Script], bool]) -> Script:
    """Remove faults that the failure does not need (ddmin)."""
    faults, parts = list(script.fault), 2
    if faults and still_fails(msgspec.structs.replace(script, fault=[])):
        return msgspec.structs.replace(script, fault=[])
    while len(faults) >= 2:
        size = max(1, len(faults) // parts)
        for at in range(0, len(faults), size):
            remaining = faults[:at] + faults[at + size :]
            if remaining and still_fails(msgspec.structs.replace(script, fault=remaining)):
                faults, parts = remaining, max(2, parts - 1)
                break
        else:
            if size == 1:
                break
            parts = min(len(faults), parts * 2)
    return msgspec.structs.replace(script, fault=faults)


def _simplified_scripts(script: Script) -> Iterator[Script]:
    """Yield scripts with a smaller system or one milder fault."""
    world = script.world
    nodes = max(
        [1]
        + [
            f.target + 1
            for f in script.fault
            if f.kind.startswith(("node", "clock", "rude", "trip_client"))
        ]
    )
    boxes = max(
        [1]
        + [
            f.target + 1
            for f in script.fault
            if f.kind.startswith(("box", "trip_request", "trip_answer"))
        ]
    )
    for change in (
        {"seconds": max(0.25, round(world.seconds / 2, 3))},
        {"seconds": max(0.25, round(world.seconds * 0.8, 3))},
        {"nodes": max(nodes, world.nodes - 1)},
        {"boxes": max(boxes, world.boxes // 2)},
        {"boxes": max(boxes, world.boxes - 1)},
        {"requests_per_s": max(2.0, world.requests_per_s / 2)},
        {"jitter_us": 0},
        {"bandwidth": 0},
        {"keys": max(1, world.keys // 4)},
    ):
        smaller: World = msgspec.structs.replace(world, **change)
        if smaller != world:
            yield msgspec.structs.replace(script, world=smaller)
    for n, fault in enumerate(script.fault):
        for milder in _milder_faults(fault):
            yield msgspec.structs.replace(
                script, fault=[*script.fault[:n], milder, *script.fault[n + 1 :]]
            )


def _milder_faults(fault: Fault) -> Iterator[Fault]:
    """Yield the fault with a shorter duration, or earlier."""
    if fault.for_ms > 50.0:
        yield msgspec.structs.replace(fault, for_ms=float(int(fault.for_ms / 2)))
    if fault.at_ms > 100.0:
        yield msgspec.structs.replace(fault, at_ms=float(int(fault.at_ms / 2)))


def replay_command(seed: int, defect: str = "") -> str:
    """Return the command line that runs the scenario of a seed again."""
    return f"gradeshift sim run --seed {seed}" + (f" --defect {defect}" if defect else "")
