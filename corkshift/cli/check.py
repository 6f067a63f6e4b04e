"""`check FILE`: validates a node's configuration (JSON), an operator's file or a simulation's script (TOML)."""

from __future__ import annotations

import sys

import orjson

from corkshift import seam
from corkshift.cli.nodefile import NodeFile
from corkshift.cli.operator import BadOperatorFile, parse
from corkshift.cli.schema import Fault, examine


def faults_of(path: str) -> list[Fault]:
    """Every fault of a file, in order; an empty list means that the program takes it."""
    try:
        text = seam.read_file(path)
    except OSError as error:
        return [Fault("", f"cannot read it: {error.strerror}")]
    if path.endswith(".json") or text.lstrip()[:1] == b"{":
        return _node(text)
    if any(line.strip() in (b"[world]", b"[[fault]]") for line in text.splitlines()):
        from testbed.nights.script import InvalidScript, parse_script

        try:
            parse_script(text)
        except InvalidScript as error:
            return error.errors
        return []
    try:
        parse(text, path)
    except BadOperatorFile as error:
        return error.faults
    return []


def _node(text: bytes) -> list[Fault]:
    try:
        data = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        return [Fault("", f"not JSON: {error}")]
    return examine(NodeFile, data, closed=False)


def check(path: str) -> int:
    """Print every fault of a file; the exit code: 0 where there is none, else 1."""
    faults = faults_of(path)
    for fault in faults:
        print(f"{path}: {fault}", file=sys.stderr)
    if not faults:
        print(f"{path}: good")
    return 1 if faults else 0
