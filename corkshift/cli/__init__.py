"""The command line. Each command's code is imported only when it is asked for."""

from __future__ import annotations

import argparse

__all__ = ["command"]


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="gradeshift",
        description="A node between clients and read-through cache servers. With no command it serves as PROXY_CONFIG tells.",
    )
    parser.add_argument("--operator", metavar="FILE", help="the operator's file (or the variable GRADESHIFT_OPERATOR)")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    commands.add_parser("run", help="serve as PROXY_CONFIG tells (the same as no command)")
    check = commands.add_parser("check", help="validate a node's configuration, an operator's file or a script")
    check.add_argument("file", metavar="FILE")
    demo = commands.add_parser("demo", help="a small installation on loopback, with a line of figures a second")
    demo.add_argument("--seconds", type=float, metavar="N", help="end after so long (else at Ctrl-C)")
    from testbed.cli import add_sim

    add_sim(commands)
    return parser


def command(arguments: list[str]) -> int:
    """Carry out one command; the exit code (2 where the arguments are wrong)."""
    parser = _parser()
    args = parser.parse_args(arguments)
    if args.command == "check":
        from corkshift.cli.check import check

        return check(args.file)
    if args.command == "demo":
        from corkshift.cli.demo import demo

        return demo(args.seconds, args.operator)
    if args.command == "sim":
        from testbed.cli import sim

        return sim(args)
    from corkshift.start import serve

    return serve(args.operator)
