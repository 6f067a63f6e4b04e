"""The command line of the crowds: prints a line for each play.

Exits with 1 where the node passed its memory limit or ended by itself.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Optional

import click
import uvloop

from testbed.crowd.clients import Kind
from testbed.crowd.run import CrowdPlan, play

KINDS = [*(kind.value for kind in Kind), "mixed", "all"]


@click.command()
@click.option(
    "--kind", "kinds", multiple=True, type=click.Choice(KINDS),
    default=["all"], show_default=True, help="Kinds of clients; `all` plays each and the mix.",
)  # fmt: skip
@click.option("--clients", default=330, show_default=True, help="Demanding clients at once.")
@click.option("--memory", default=[80], multiple=True, show_default=True, help="Limits in MB.")
@click.option("--sockets", default=[1024], multiple=True, show_default=True, help="Descriptors.")
@click.option("--seconds", default=20.0, show_default=True, help="Duration of each play.")
@click.option("--seed", default=1, show_default=True, help="Seed of keys and arrivals.")
@click.option("--logs", type=click.Path(path_type=Path), help="Keep the node's files there.")
def main(
    kinds: tuple[str, ...],
    clients: int,
    memory: tuple[int, ...],
    sockets: tuple[int, ...],
    seconds: float,
    seed: int,
    logs: Optional[Path],
) -> None:
    """Play crowds of demanding clients before one real node."""
    plays: list[tuple[Kind, ...]] = []
    for kind in kinds:
        if kind in ("mixed", "all"):
            plays += [(each,) for each in Kind] if kind == "all" else []
            plays.append(tuple(Kind))
        else:
            plays.append((Kind(kind),))
    failed = False
    if logs is not None:
        logs.mkdir(parents=True, exist_ok=True)
    for memory_mb in memory:
        for descriptors in sockets:
            for play_kinds in plays:
                plan = CrowdPlan(play_kinds, clients, memory_mb, descriptors, seconds, seed=seed)
                report = uvloop.run(play(plan, logs))
                failed = failed or report.over_limit
                click.echo(str(report))
    sys.exit(failed)


if __name__ == "__main__":
    main()
