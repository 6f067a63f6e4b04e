"""The program: a node configured by the environment or, with arguments, a command-line command."""

from __future__ import annotations

import sys

from corkshift.paced_import import prepare


def main() -> int:
    """Entry point of `python -m corkshift` and of the script `gradeshift`."""
    if len(sys.argv) > 1:
        from corkshift.cli import command

        return command(sys.argv[1:])
    prepare()
    from corkshift.start import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
