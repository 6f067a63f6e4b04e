"""The module of another revision of this repository, for benchmarks that compare with it."""

from __future__ import annotations

import subprocess
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).parent.parent


@contextmanager
def module_of(revision: str) -> Iterator[Path]:
    """A folder that holds `forkweir` as it is at a revision; CalledProcessError where there is none of this name."""
    with tempfile.TemporaryDirectory() as folder:
        tree = subprocess.run(["git", "archive", revision, "forkweir"], cwd=ROOT, capture_output=True, check=True)
        subprocess.run(["tar", "-x", "-C", folder], input=tree.stdout, check=True)
        yield Path(folder)
