"""The program: a node as the environment tells, or, with arguments, a command of the command line."""

from __future__ import annotations

import sys

from corkshift.start import serve


def main() -> int:
    """The entry of `python -m corkshift` and of the script `gradeshift`."""
    if len(sys.argv) > 1:
        from corkshift.cli import command

        return command(sys.argv[1:])
    return serve()


if __name__ == "__main__":
    sys.exit(main())
