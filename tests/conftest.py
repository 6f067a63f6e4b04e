"""Known failures.

Tests listed in KNOWN-RED.txt are expected to fail and are printed; they must be removed from the
list once they pass.
"""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST_KNOWN_RED = 3  # entries


def known_failures(text: str) -> dict[str, str]:
    """Causes by pytest node id.

    Lines have the form `tests/test_x.py::test_y | cause | issue N`; ValueError for anything else.
    """
    known: dict[str, str] = {}
    for line in text.splitlines():
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"KNOWN-RED.txt: not `test | cause | issue`: {line!r}")
        known[parts[0]] = f"{parts[1]} ({parts[2]})"
    if len(known) > MOST_KNOWN_RED:
        raise ValueError(f"KNOWN-RED.txt lists {len(known)} tests; {MOST_KNOWN_RED} at most")
    return known


def _listed() -> dict[str, str]:
    return known_failures(KNOWN_RED.read_text()) if KNOWN_RED.exists() else {}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as strict xfail: one that passes fails the run."""
    known = _listed()
    for item in items:
        cause = known.get(item.nodeid) or known.get(item.nodeid.partition("[")[0])
        if cause is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list after every run."""
    for name, cause in _listed().items():
        terminalreporter.write_line(f"KNOWN RED: {name}: {cause}")
