"""The command line and the operator's file. Nothing of the command line is imported by a node that reads such a file."""

from __future__ import annotations

__all__ = ["command"]


def command(arguments: list[str]) -> int:
    """Carry out one command; the exit code (2 where the arguments are wrong)."""
    from corkshift.cli import commands

    return commands.command(arguments)
