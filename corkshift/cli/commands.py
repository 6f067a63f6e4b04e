"""The command line, on click. Each command's code is imported only when it is asked for.

Exit codes: 0 good, 1 a fault was found (or a rule broken), 2 wrong arguments or files that are of no use.
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
    """A node between clients and cache servers. With no command it serves as PROXY_CONFIG tells."""
    context.obj = operator
    return 0 if context.invoked_subcommand else _serve(operator)


def _serve(operator: Optional[str]) -> int:
    from corkshift.start import serve

    return serve(operator)


@_root.command()
@click.pass_obj
def run(operator: Optional[str]) -> int:
    """Serve as PROXY_CONFIG tells (the same as no command)."""
    return _serve(operator)


@_root.command()
@click.argument("file")
def check(file: str) -> int:
    """Validate a node's configuration, an operator's file or a script."""
    from corkshift.cli.check import check

    return check(file)


@_root.command()
@click.option("--seconds", type=float, metavar="N", help="End after so long (else at Ctrl-C).")
@click.pass_obj
def demo(operator: Optional[str], seconds: Optional[float]) -> int:
    """A small installation on loopback, with a line of figures a second."""
    from corkshift.cli.demo import demo

    return demo(seconds, operator)


@_root.command()
@click.option(
    "--socket",
    "path",
    metavar="PATH",
    help="The node's socket, instead of members_socket of the operator's file.",
)
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@click.pass_obj
def members(operator: Optional[str], path: Optional[str], as_json: bool) -> int:
    """Whom a running node believes to be there, who says so, and which rule decided."""
    from corkshift.cli.members import members

    return members(operator, path, as_json)


@_root.group()
def sources() -> None:
    """Where a node learns of cache servers."""


@sources.command("check")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@click.pass_obj
def sources_check(operator: Optional[str], as_json: bool) -> int:
    """Ask each source once and show the merge; exits with 1 where one failed."""
    from corkshift.cli.members import check

    return check(operator, as_json)


@_root.group()
def tier() -> None:
    """Many nodes as one: who takes part, and what each has of their common bounds."""


@tier.command("show")
@click.argument("addresses", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def tier_show(addresses: tuple[str, ...], as_json: bool) -> int:
    """Ask running nodes at their operators' addresses (admin_addr); exits with 1 where one does not answer, or parts sum to too much."""
    from corkshift.cli.tier import show

    return show(addresses, as_json)


@tier.command("run")
@click.argument("script")
@click.option("--seed", type=int, default=1, show_default=True, metavar="N")
@click.option("--virtual", is_flag=True, help="On the virtual clock in place of real processes.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
@click.option("--logs", metavar="DIR", help="Keep the nodes' logs and configurations there.")
def tier_run(script: str, seed: int, virtual: bool, as_json: bool, logs: Optional[str]) -> int:
    """Play a script with real nodes on loopback and faults between them; exits with 1 where a rule is broken."""
    from corkshift.cli.tier import run

    return run(script, seed, virtual, as_json, logs)


_root.add_command(sim)


def command(arguments: list[str]) -> int:
    """Carry out one command; the exit code (2 where the arguments are wrong)."""
    try:
        code = _root.main(arguments, prog_name="gradeshift", standalone_mode=False)
    except click.ClickException as error:
        error.show(file=sys.stderr)
        return error.exit_code
    except click.Abort:
        return 130
    return int(code or 0)
