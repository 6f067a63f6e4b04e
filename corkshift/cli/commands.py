"""The command line, built with click. The code of a command is imported only when it runs.

Exit codes: 0 success; 1 a fault was found or a rule was broken; 2 invalid arguments or files.
"""

from __future__ import annotations

import sys
from typing import Optional

import click

from testbed.cli import sim


@click.group(
    name="gradeshift",
    invoke_without_command=True,
    context_settings={"help_option_names": ["-h", "--help"]},
)
@click.option(
    "--operator", metavar="FILE", help="The operator's file (or the variable GRADESHIFT_OPERATOR)."
)
@click.pass_context
def _root(context: click.Context, operator: Optional[str]) -> int:
    """A node between clients and cache servers. Without a command it serves as in PROXY_CONFIG."""
    context.obj = operator
    return 0 if context.invoked_subcommand else _serve(operator)


def _serve(operator: Optional[str]) -> int:
    from corkshift.start import serve

    return serve(operator)


@_root.command()
@click.pass_obj
def run(operator: Optional[str]) -> int:
    """Serve as configured by PROXY_CONFIG (the same as no command)."""
    return _serve(operator)


@_root.command()
@click.argument("file")
def check(file: str) -> int:
    """Validate a node's configuration, an operator's file or a script of a scenario."""
    from corkshift.cli.check import check

    return check(file)


@_root.command()
@click.option(
    "--seconds", type=float, metavar="N", help="End after N seconds (default: at Ctrl-C)."
)
@click.pass_obj
def demo(operator: Optional[str], seconds: Optional[float]) -> int:
    """Run a small installation on loopback and print its metrics every second."""
    from corkshift.cli.demo import demo

    return demo(seconds, operator)


@_root.command()
@click.option(
    "--socket",
    "path",
    metavar="PATH",
    help="The node's socket, instead of members_socket of the operator's file.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_obj
def members(operator: Optional[str], path: Optional[str], as_json: bool) -> int:
    """Show the boxes that a running node knows, their sources and the deciding rules."""
    from corkshift.cli.members import members

    return members(operator, path, as_json)


@_root.group()
def sources() -> None:
    """Sources of known cache servers."""


@sources.command("check")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_obj
def sources_check(operator: Optional[str], as_json: bool) -> int:
    """Query each source once and show the merged set; exit code 1 if one failed."""
    from corkshift.cli.members import check

    return check(operator, as_json)


@_root.group()
def tier() -> None:
    """Tiers of cooperating nodes: members and shares of the tier-wide limits."""


@tier.command("show")
@click.argument("addresses", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def tier_show(addresses: tuple[str, ...], as_json: bool) -> int:
    """Show the tier as seen by running nodes, at their operators' addresses (admin_addr).

    Exit code 1 if a node does not answer or if shares add up to more than the whole.
    """
    from corkshift.cli.tier import show

    return show(addresses, as_json)


@tier.command("run")
@click.argument("script")
@click.option("--seed", type=int, default=1, show_default=True, metavar="N")
@click.option("--virtual", is_flag=True, help="Use the virtual clock instead of real processes.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--logs", metavar="DIR", help="Keep logs and configurations of the nodes in DIR.")
def tier_run(script: str, seed: int, virtual: bool, as_json: bool, logs: Optional[str]) -> int:
    """Run a script with real nodes on loopback and faults; exit code 1 if a rule is broken."""
    from corkshift.cli.tier import run

    return run(script, seed, virtual, as_json, logs)


_root.add_command(sim)


def command(arguments: list[str]) -> int:
    """Run one command; its exit code (2 where the arguments are wrong)."""
    try:
        code = _root.main(arguments, prog_name="gradeshift", standalone_mode=False)
    except click.ClickException as error:
        error.show(file=sys.stderr)
        return error.exit_code
    except click.Abort:
        return 130
    return int(code or 0)
