"""The command line of the soak: prints a line for each seed, followed by its violations."""

from __future__ import annotations

import dataclasses
import json
import sys
from pathlib import Path
from typing import Optional

import click

from testbed.soak.plan import draw
from testbed.soak.rig import Report, run


def parse_seeds(text: str) -> range:
    """Parse one seed (`7`) or an inclusive range (`1-20`); raises ValueError."""
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def summary_line(report: Report) -> str:
    """A one-line summary of a report."""
    totals = report.counts
    shown = ["asked", "served", "refused", "failed", "left", "unframed", "unframed served"]
    shown += [
        name for name in ("upgrades", "operator drains", "crowds", "readdressed") if name in totals
    ]
    counts = ", ".join(f"{name} {totals.get(name, 0)}" for name in shown)
    state = f"{len(report.violations)} VIOLATIONS" if report.violations else "kept"
    return (
        f"seed {report.seed}: {state}; {counts}; "
        f"harness late {report.harness_late_ms:g} ms; {report.real_s:g} s"
    )


@click.command()
@click.option("--seeds", default="1-5", show_default=True, help="One seed or a range of them.")
@click.option(
    "--nodes",
    default=12,
    show_default=True,
    type=click.IntRange(1, 40),
    help="Number of node processes.",
)
@click.option(
    "--seconds",
    default=14.0,
    show_default=True,
    type=click.FloatRange(4.0, 600.0),
    help="Duration of the load in each run.",
)
@click.option("--upgrades", is_flag=True, help="Upgrade nodes and let operators drain them.")
@click.option("--crowd", is_flag=True, help="Send crowds of demanding clients; reuse addresses.")
@click.option(
    "--json", "file", type=click.Path(path_type=Path), help="Write all reports to this file."
)
@click.option(
    "--logs", type=click.Path(path_type=Path), help="Keep the files of each run in a folder there."
)
def main(
    seeds: str,
    nodes: int,
    seconds: float,
    upgrades: bool,
    crowd: bool,
    file: Optional[Path],
    logs: Optional[Path],
) -> None:
    """Inject random faults into real processes and check the rules.

    Exits with 1 where a rule was broken.
    """
    reports = []
    for seed in parse_seeds(seeds):
        report = run(
            draw(seed, nodes, seconds, upgrades, crowd), logs / str(seed) if logs else None
        )
        reports.append(report)
        click.echo(summary_line(report))
        for violation in report.violations[:8]:
            click.echo(f"    {violation}")
    if file is not None:
        file.write_text(json.dumps([dataclasses.asdict(report) for report in reports], indent=1))
    sys.exit(any(report.violations for report in reports))


if __name__ == "__main__":
    main()
