"""Packages of another revision of this repository, for benchmarks that compare with it."""

from __future__ import annotations

import subprocess
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).parent.parent


@contextmanager
def packages_of(revision: str, *names: str) -> Iterator[Path]:
    """Yield a temporary folder that holds these packages as they are at a revision.

    Raises CalledProcessError if the revision does not exist.
    """
    with tempfile.TemporaryDirectory() as folder:
        tree = subprocess.run(
            ["git", "archive", revision, *names], cwd=ROOT, capture_output=True, check=True
        )
        subprocess.run(["tar", "-x", "-C", folder], input=tree.stdout, check=True)
        yield Path(folder)
