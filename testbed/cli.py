"""Commands `sim run`, `sim explore`, `sim shrink` and `sim show`."""

from __future__ import annotations

import functools
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Optional, ParamSpec

import click

from testbed.nights.script import InvalidScript, Script, parse_script, to_toml

if TYPE_CHECKING:
    from testbed.nights.simulation import Result

P = ParamSpec("P")


@click.group()
def sim() -> None:
    """Play scenarios on a virtual clock and network, the same every time."""


class _InvalidArguments(Exception):
    """The arguments are not valid."""


def _action(body: Callable[P, int]) -> Callable[P, int]:
    """Wrap a command of `sim`: the exit code is its result, or 2 for invalid arguments."""

    @functools.wraps(body)
    def guarded(*args: P.args, **kwargs: P.kwargs) -> int:
        try:
            return body(*args, **kwargs)
        except (_InvalidArguments, InvalidScript) as error:
            print(f"gradeshift sim: {error}", file=sys.stderr)
        except OSError as error:
            print(f"gradeshift sim: {error.filename}: {error.strerror}", file=sys.stderr)
        return 2

    return guarded


def _check_defect_name(context: click.Context, parameter: click.Parameter, name: str) -> str:
    """Check the name of a planted defect; exits with 2 for an unknown name."""
    if name:
        from testbed.nights.defects import DEFECTS

        if name not in DEFECTS:
            print(
                f"gradeshift sim: unknown defect {name!r}; the defects are {', '.join(DEFECTS)}",
                file=sys.stderr,
            )
            context.exit(2)
    return name


_seed = click.option("--seed", type=int, required=True, metavar="N")
_script_file = click.option(
    "--script",
    metavar="FILE",
    help="The script to play, instead of the one drawn from the seed.",
)
_defect = click.option(
    "--defect",
    default="",
    metavar="NAME",
    callback=_check_defect_name,
    help="Plant a defect in the node (testbed/nights/defects.py).",
)


def _script(path: Optional[str]) -> Optional[Script]:
    return None if path is None else parse_script(Path(path).read_bytes())


@sim.command("run")
@_seed
@_script_file
@click.option(
    "--trace", metavar="FILE", help="Write every event to this file (- for standard output)."
)
@click.option("--write-script", metavar="FILE", help="Write the played script to this file.")
@_defect
@_action
def _run(
    seed: int, script: Optional[str], trace: Optional[str], write_script: Optional[str], defect: str
) -> int:
    """Play one scenario; exits with 1 if a rule is broken."""
    from testbed.nights.defects import patched
    from testbed.nights.simulation import run

    with patched(defect):
        result = run(seed, _script(script), keep_trace=trace is not None)
    if trace == "-":
        sys.stdout.writelines(result.lines)
    elif trace:
        Path(trace).write_text("".join(result.lines))
    if write_script:
        Path(write_script).write_text(to_toml(result.script))
    figures = result.figures
    out = sys.stderr if trace == "-" else sys.stdout
    print(
        f"seed {seed}: {result.virtual_s:.1f} virtual s in {result.real_s:.2f} s, "
        f"{len(result.script.fault)} faults, "
        f"{result.events} events, trace {result.digest}\n"
        f"asked {figures.asked}, served {figures.served} ({figures.in_time} in time), "
        f"refused {figures.refused}, "
        f"failed {figures.failed}, no answer {figures.unanswered}, left {figures.left}",
        file=out,
    )
    print(_compare_with_bound(result), file=out)
    for failure in result.failures:
        print(f"BROKEN {failure}", file=out)
    return 1 if result.failed else 0


def _compare_with_bound(result: Result) -> str:
    """Compare what was served in time with its upper bound (testbed/nights/oracle.py)."""
    from testbed.nights.oracle import max_served, max_value

    figures = result.figures
    first = (
        f"first requests {figures.first_attempts}, served in time {figures.served_first_attempts}"
    )
    try:
        maximum = sum(max_served(result.demands, result.supply).values())
        value = max_value(result.demands, result.supply).total
    except ImportError:
        return f"{first}; the upper bound needs scipy (requirements-dev.txt)"
    return (
        f"{first}, of {maximum:.0f} at most "
        f"({100.0 * figures.served_first_attempts / max(1.0, maximum):.0f}%); "
        f"value of work {100.0 * result.served_value / max(1e-9, value):.0f}% of its upper bound"
    )


@sim.command("explore")
@click.option(
    "--seeds",
    "seed_range",
    required=True,
    metavar="A-B",
    help="Range of seeds, both ends included.",
)
@click.option("--jobs", type=int, default=1, metavar="J")
@_defect
@_action
def _explore(seed_range: str, jobs: int, defect: str) -> int:
    """Play many seeds; exits with 1 if one fails."""
    from testbed.nights.explore import explore, parse_seed_range, replay_command

    seeds = parse_seed_range(seed_range)
    if not seeds or jobs < 1:
        raise _InvalidArguments(
            "--seeds must be A-B with A no greater than B, and --jobs at least 1"
        )
    began = last = time.monotonic()
    failed = asked = 0
    virtual = 0.0
    for done, summary in enumerate(explore(seeds, jobs, defect), 1):
        virtual += summary.virtual_s
        asked += summary.asked
        if summary.failures:
            failed += 1
            print(
                f"seed {summary.seed}: {summary.failures[0]}\n"
                f"    {replay_command(summary.seed, defect)}",
                flush=True,
            )
        if time.monotonic() - last > 5.0:
            last = time.monotonic()
            print(f"... {done} of {len(seeds)} seeds, {failed} failed", file=sys.stderr, flush=True)
    real = time.monotonic() - began
    print(
        f"{len(seeds)} seeds in {real:.1f} s on {jobs} processes: {failed} failed; "
        f"{virtual / real:.0f} virtual s and {asked / real:.0f} requests per second"
    )
    return 1 if failed else 0


@sim.command("shrink")
@_seed
@_script_file
@click.option(
    "--to", metavar="FILE", help="Write the script to this file instead of to standard output."
)
@_defect
@_action
def _shrink(seed: int, script: Optional[str], to: Optional[str], defect: str) -> int:
    """Reduce a script to the smallest that still fails, as TOML."""
    from testbed.nights.explore import run_seed, shrink, violated_rule
    from testbed.nights.script import draw

    scenario = _script(script) or draw(seed)
    failures = run_seed(seed, defect, scenario).failures
    if not failures:
        print(f"seed {seed} breaks no rule", file=sys.stderr)
        return 1
    wanted = violated_rule(failures[0])
    smallest, runs = shrink(
        seed, scenario, wanted, lambda seed, candidate: run_seed(seed, defect, candidate).failures
    )
    text = f"# seed {seed} breaks: {wanted}\n" + to_toml(smallest)
    if to:
        Path(to).write_text(text)
    else:
        print(text, end="")
    print(
        f"{len(scenario.fault)} faults before, {len(smallest.fault)} after {runs} runs",
        file=sys.stderr,
    )
    return 0


@sim.command("show")
@click.argument("trace")
@click.option(
    "--about",
    default="",
    metavar="NAME",
    help="A request (x12), a connection (127.1.0.1:8000), a box or a node.",
)
@_action
def _show(trace: str, about: str) -> int:
    """Print a readable timeline of a trace."""
    from testbed.nights.show import timeline

    found = False
    with open(trace) as lines:
        for line in timeline(lines, about):
            found = True
            print(line)
    if not found:
        print(f"gradeshift sim: nothing in {trace} names {about!r}", file=sys.stderr)
    return 0 if found else 1
