"""`check FILE`: validates a node's configuration (JSON), an operator's file or a script (TOML)."""

from __future__ import annotations

import sys

import orjson

from corkshift import seam
from corkshift.cli.nodefile import NodeFile
from corkshift.cli.operator import BadOperatorFile, parse_operator_file
from corkshift.cli.schema import Fault, validate


def faults_of(path: str) -> list[Fault]:
    """Every fault of a file, in order; an empty list means that the file is valid."""
    try:
        text = seam.read_file(path)
    except OSError as error:
        return [Fault("", f"cannot read: {error.strerror}")]
    if path.endswith(".json") or text.lstrip()[:1] == b"{":
        return _node_file_faults(text)
    if any(line.strip() in (b"[world]", b"[[fault]]") for line in text.splitlines()):
        from testbed.nights.script import InvalidScript, parse_script

        try:
            parse_script(text)
        except InvalidScript as error:
            return error.errors
        return []
    try:
        parse_operator_file(text, path)
    except BadOperatorFile as error:
        return error.faults
    return []


def _node_file_faults(text: bytes) -> list[Fault]:
    try:
        data = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        return [Fault("", f"not JSON: {error}")]
    return validate(NodeFile, data, reject_unknown_keys=False)


def check(path: str) -> int:
    """Print every fault of a file; exit code 0 if there is none, else 1."""
    faults = faults_of(path)
    for fault in faults:
        print(f"{path}: {fault}", file=sys.stderr)
    if not faults:
        print(f"{path}: valid")
    return 1 if faults else 0
