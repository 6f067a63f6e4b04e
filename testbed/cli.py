"""`sim run`, `sim explore`, `sim shrink`, `sim show`."""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any, Optional

from testbed.nights.script import BadScript, Script, parse_script, written

if TYPE_CHECKING:
    from testbed.nights.simulation import Result


def add_sim(commands: Any) -> None:
    """Add the command to a command line."""
    sim = commands.add_parser("sim", help="whole nights on a virtual clock and network, the same every time")
    actions = sim.add_subparsers(dest="action", metavar="ACTION", required=True)
    run = actions.add_parser("run", help="one night; exits with 1 where a rule is broken")
    run.add_argument("--seed", type=int, required=True, metavar="N")
    run.add_argument("--script", metavar="FILE", help="the world and its faults, instead of those that the seed draws")
    run.add_argument("--trace", metavar="FILE", help="write every event (- for standard output)")
    run.add_argument("--write-script", metavar="FILE", help="write the script that was played")
    explore = actions.add_parser("explore", help="many seeds; exits with 1 where one fails")
    explore.add_argument("--seeds", required=True, metavar="A-B", help="both included")
    explore.add_argument("--jobs", type=int, default=1, metavar="J")
    shrink = actions.add_parser("shrink", help="the smallest script that still fails, as TOML")
    shrink.add_argument("--seed", type=int, required=True, metavar="N")
    shrink.add_argument("--script", metavar="FILE")
    shrink.add_argument("--to", metavar="FILE", help="write it here instead of to standard output")
    for parser in (run, explore, shrink):
        parser.add_argument(
            "--defect", default="", metavar="NAME", help="put a deliberate defect into the node (testbed/nights/defects.py)"
        )
    show = actions.add_parser("show", help="a readable timeline out of a trace")
    show.add_argument("trace", metavar="TRACE")
    show.add_argument(
        "--about", default="", metavar="NAME", help="a request (x12), a connection (127.1.0.1:8000), a box or a node"
    )


def sim(args: argparse.Namespace) -> int:
    """Carry out one of the actions; the exit code (2 where the arguments are of no use)."""
    try:
        if getattr(args, "defect", ""):
            from testbed.nights.defects import DEFECTS

            if args.defect not in DEFECTS:
                raise _Unusable(f"no defect of this name; there are {', '.join(DEFECTS)}")
        return {"run": _run, "explore": _explore, "shrink": _shrink, "show": _show}[args.action](args)
    except (_Unusable, BadScript) as error:
        print(f"gradeshift sim: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"gradeshift sim: {error.filename}: {error.strerror}", file=sys.stderr)
        return 2


class _Unusable(Exception):
    """The arguments are of no use."""


def _script(path: Optional[str]) -> Optional[Script]:
    return None if path is None else parse_script(Path(path).read_bytes())


def _run(args: argparse.Namespace) -> int:
    from testbed.nights.defects import patched
    from testbed.nights.simulation import run

    with patched(args.defect):
        result = run(args.seed, _script(args.script), keep=args.trace is not None)
    if args.trace == "-":
        sys.stdout.writelines(result.lines)
    elif args.trace:
        Path(args.trace).write_text("".join(result.lines))
    if args.write_script:
        Path(args.write_script).write_text(written(result.script))
    figures = result.figures
    out = sys.stderr if args.trace == "-" else sys.stdout
    print(
        f"seed {args.seed}: {result.virtual_s:.1f} virtual s in {result.real_s:.2f} s, {len(result.script.fault)} faults, "
        f"{result.events} events, trace {result.digest}\n"
        f"asked {figures.asked}, served {figures.served} ({figures.in_time} in time), refused {figures.refused}, "
        f"failed {figures.failed}, no answer {figures.unanswered}, left {figures.left}",
        file=out,
    )
    print(_against_the_bound(result), file=out)
    for failure in result.failures:
        print(f"BROKEN {failure}", file=out)
    return 1 if result.failed else 0


def _against_the_bound(result: Result) -> str:
    """What was served in time beside the most that could have been (testbed/nights/oracle.py)."""
    from testbed.nights.oracle import served_at_most, worth_at_most

    figures = result.figures
    first = f"first asked {figures.first_tries}, served in time at last {figures.good_tries}"
    try:
        most = sum(served_at_most(result.demands, result.supply).values())
        worth = worth_at_most(result.demands, result.supply).total
    except ImportError:
        return f"{first}; the most that could be: not known without scipy (requirements-dev.txt)"
    return (
        f"{first}, of {most:.0f} at most ({100.0 * figures.good_tries / max(1.0, most):.0f}%); "
        f"worth for work {100.0 * result.worth / max(1e-9, worth):.0f}% of the most that could be"
    )


def _explore(args: argparse.Namespace) -> int:
    from testbed.nights.explore import command_of, explore, seeds_of

    seeds = seeds_of(args.seeds)
    if not seeds or args.jobs < 1:
        raise _Unusable("--seeds wants A-B with A no greater than B, and --jobs at least 1")
    began = last = time.monotonic()
    failed = asked = 0
    virtual = 0.0
    for done, summary in enumerate(explore(seeds, args.jobs, args.defect), 1):
        virtual += summary.virtual_s
        asked += summary.asked
        if summary.failures:
            failed += 1
            print(
                f"seed {summary.seed}: {summary.failures[0]}\n    {command_of(summary.seed, args.defect)}", flush=True
            )
        if time.monotonic() - last > 5.0:
            last = time.monotonic()
            print(f"... {done} of {len(seeds)} seeds, {failed} failed", file=sys.stderr, flush=True)
    real = time.monotonic() - began
    print(
        f"{len(seeds)} seeds in {real:.1f} s on {args.jobs} processes: {failed} failed; "
        f"{virtual / real:.0f} virtual s and {asked / real:.0f} requests in a second"
    )
    return 1 if failed else 0


def _shrink(args: argparse.Namespace) -> int:
    from testbed.nights.explore import kind_of, play, shrink
    from testbed.nights.script import draw

    script = _script(args.script) or draw(args.seed)
    failures = play(args.seed, args.defect, script).failures
    if not failures:
        print(f"seed {args.seed} breaks no rule", file=sys.stderr)
        return 1
    wanted = kind_of(failures[0])
    small, runs = shrink(args.seed, script, wanted, lambda seed, candidate: play(seed, args.defect, candidate).failures)
    text = f"# seed {args.seed} breaks: {wanted}\n" + written(small)
    if args.to:
        Path(args.to).write_text(text)
    else:
        print(text, end="")
    print(f"{len(script.fault)} faults before, {len(small.fault)} after {runs} runs", file=sys.stderr)
    return 0


def _show(args: argparse.Namespace) -> int:
    from testbed.nights.show import timeline

    found = False
    with open(args.trace) as lines:
        for line in timeline(lines, args.about):
            found = True
            print(line)
    if not found:
        print(f"gradeshift sim: nothing in {args.trace} names {args.about!r}", file=sys.stderr)
    return 0 if found else 1
