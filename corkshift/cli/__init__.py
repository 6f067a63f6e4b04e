"""Command line and operator's file.

A node that reads an operator's file imports no code of the command line.
"""

from __future__ import annotations

__all__ = ["command"]


def command(arguments: list[str]) -> int:
    """Run one command; its exit code (2 where the arguments are wrong)."""
    from corkshift.cli import commands

    return commands.command(arguments)
