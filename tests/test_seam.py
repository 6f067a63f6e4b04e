"""Scans the code of the node for system access that bypasses the seam, and tests the scan."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
REAL_SYSTEM = {
    ROOT / "corkshift" / "seam" / "__init__.py",
    ROOT / "corkshift" / "seam" / "process.py",
    ROOT / "corkshift" / "seam" / "locked_files.py",
    ROOT / "corkshift" / "paced_import.py",  # runs before the seam is loaded
}
# Commands run outside of a node, never on virtual time.
CLI_PACKAGE = ROOT / "corkshift" / "cli"
BANNED_MODULES = {
    "time",
    "os",
    "select",
    "selectors",
    "signal",
    "subprocess",
    "threading",
    "multiprocessing",
    "secrets",
    "uuid",
    "tempfile",
    "uvloop",
}
BANNED_NAMES = {"open", "input", "exec", "eval", "breakpoint"}
BANNED_CALLS = {
    "socket.socket",
    "socket.create_connection",
    "socket.create_server",
    "socket.socketpair",
    "socket.getaddrinfo",
    "socket.gethostbyname",
    "asyncio.open_connection",
    "asyncio.start_server",
    "asyncio.run",
    "asyncio.to_thread",
    "asyncio.create_subprocess_exec",
    "random.random",
    "random.randrange",
    "random.choice",
    "random.shuffle",
    "random.uniform",
    "random.seed",
    "random.SystemRandom",
    "datetime.now",
    "datetime.utcnow",
    "Path.read_bytes",
    "Path.read_text",
    "Path.write_bytes",
    "Path.write_text",
    "Path.open",
}
SIGNAL_NUMBERS = {"SIGHUP", "SIGTERM", "SIGINT"}


def dotted(node: ast.AST) -> str:
    if isinstance(node, ast.Attribute):
        return f"{dotted(node.value)}.{node.attr}"
    return node.id if isinstance(node, ast.Name) else "?"


def system_access(code: str) -> list[str]:
    """Imports and calls in a module's code that access the system directly."""
    found = []
    for node in ast.walk(ast.parse(code)):
        if isinstance(node, ast.Import):
            found += [
                alias.name
                for alias in node.names
                if alias.name.split(".")[0] in BANNED_MODULES - {"signal"}
            ]
        elif (
            isinstance(node, ast.ImportFrom) and (node.module or "").split(".")[0] in BANNED_MODULES
        ):
            found.append(str(node.module))
        elif (
            isinstance(node, ast.Attribute)
            and dotted(node).startswith("signal.")
            and node.attr not in SIGNAL_NUMBERS
        ):
            found.append(dotted(node))
        elif isinstance(node, ast.Call):
            name = dotted(node.func)
            last = ".".join(name.split(".")[-2:])
            if (
                name in BANNED_NAMES | BANNED_CALLS
                or (last in BANNED_CALLS and not last.startswith("random."))
                or name.endswith((".read_bytes", ".read_text", ".write_bytes", ".write_text"))
            ):
                found.append(name)
            if last == "random.Random" and not node.args:
                found.append("random.Random without a seed")
    return found


def test_the_node_accesses_the_system_through_the_seam_only() -> None:
    files = [
        path
        for package in ("corkshift", "forkweir")
        for path in sorted((ROOT / package).rglob("*.py"))
    ]
    assert len(files) > 15
    scanned = [
        path for path in files if path not in REAL_SYSTEM and CLI_PACKAGE not in path.parents
    ]
    assert {
        str(path.relative_to(ROOT)): found
        for path in scanned
        if (found := system_access(path.read_text()))
    } == {}


@pytest.mark.parametrize(
    "code",
    [
        "import time",
        "from time import monotonic",
        "import os",
        "import socket\nsocket.socket()",
        "import asyncio\nasyncio.start_server(f)",
        "open('x')",
        "from pathlib import Path\nPath('x').read_bytes()",
        "import random\nrandom.random()",
        "import random\nrandom.Random()",
        "import signal\nsignal.signal(1, 2)",
        "from datetime import datetime\ndatetime.now()",
    ],
)
def test_the_scan_finds_direct_system_access(code: str) -> None:
    assert system_access(code)
