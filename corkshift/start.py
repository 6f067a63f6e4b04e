"""Runs one node: `python -m corkshift` without a command, or the command `run`."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Optional

from corkshift import seam
from corkshift.config import BadConfig, load
from corkshift.seam import process
from corkshift.service import run

if TYPE_CHECKING:
    from corkshift.sources.options import SourcesTable
    from corkshift.tier.options import TierTable

OPERATOR_VARIABLE = "GRADESHIFT_OPERATOR"


def serve(operator: Optional[str] = None) -> int:
    """Run one node configured by the environment, with an operator's file if one is named.

    Returns the exit code: 0 after a drain, 1 if it cannot listen, 2 for a malformed file.
    """
    process.prepare()
    environ = seam.environ()
    try:
        config = load(environ)
    except BadConfig as error:
        print(f"corkshift: {error}", file=sys.stderr)
        return 2
    operator = operator or environ.get(OPERATOR_VARIABLE)
    sources: Optional[SourcesTable] = None
    tier: Optional[TierTable] = None
    if operator:
        # Imported only where there is a file, so that a disabled feature costs nothing.
        from corkshift.cli.operator import BadOperatorFile, load_operator_file

        try:
            file = load_operator_file(operator)
            sources, tier = file.sources, file.tier
        except BadOperatorFile as error:
            print(f"corkshift: {error}", file=sys.stderr)
            return 2

    def reread_sources() -> Optional[SourcesTable]:
        from corkshift.cli.operator import load_operator_file

        return load_operator_file(operator).sources if operator else None

    try:
        process.run(run(config, sources, reread_sources, tier))
    except OSError as error:
        print(f"corkshift: cannot listen: {error.strerror or error}", file=sys.stderr)
        return 1
    return 0
