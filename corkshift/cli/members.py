"""`members` and `sources check`: the merged boxes of a node, or of its sources without a node."""

from __future__ import annotations

import asyncio
import http.client
import os
import random
import socket
import sys
from collections.abc import Iterable
from typing import Any, Optional

import orjson

from corkshift.cli.operator import BadOperatorFile, load_operator_file
from corkshift.config import BadConfig, load
from corkshift.listing import BadList
from corkshift.listing import read as read_list
from corkshift.seam import now_ms
from corkshift.sources.boxlist import claim_of
from corkshift.sources.dns import DnsSource
from corkshift.sources.file import FileSource
from corkshift.sources.hub import merged_view
from corkshift.sources.options import SourcesTable
from corkshift.sources.resolver import LookupFailed
from forkweir.known.membership import Claim, Membership

TIMEOUT_S = 5.0
MAX_VIEW_BYTES = 1 << 24
SOURCES_OFF = "no [sources] in the operator's file (--operator FILE), so there is no merged view"


def _load_sources_table(operator: Optional[str]) -> SourcesTable:
    """`[sources]` of the operator's file; ValueError where it is missing."""
    path = operator or os.environ.get("GRADESHIFT_OPERATOR")
    options = load_operator_file(path).sources if path else None
    if options is None:
        raise ValueError(SOURCES_OFF)
    return options


def members(operator: Optional[str], path: Optional[str], as_json: bool) -> int:
    """Print the merged view of a running node.

    Exit code: 0, 1 where the node does not answer, 2 where no socket is configured.
    """
    try:
        path = path or _load_sources_table(operator).members_socket
    except (BadOperatorFile, ValueError) as error:
        print(f"gradeshift members: {error}", file=sys.stderr)
        return 2
    if not path:
        print(
            "gradeshift members: members_socket is not set in [sources], and no --socket is given",
            file=sys.stderr,
        )
        return 2
    try:
        view = orjson.loads(_read_view(path))
    except (OSError, orjson.JSONDecodeError) as error:
        reason = (
            error.strerror
            if isinstance(error, OSError) and error.strerror
            else str(error) or "no answer"
        )
        print(f"gradeshift members: {path}: {reason}", file=sys.stderr)
        return 1
    print(orjson.dumps(view).decode() if as_json else format_view(view))
    return 0


def _read_view(path: str) -> bytes:
    data = bytearray()
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(TIMEOUT_S)
        sock.connect(path)
        while (chunk := sock.recv(65_536)) and len(data) < MAX_VIEW_BYTES:
            data += chunk
    return bytes(data)


def format_view(view: dict[str, Any]) -> str:
    """A view as text: sources, then boxes, each with the rule that decided its state."""
    rows = [["source", "state", "last received s ago", "boxes", "held"]]
    for source in view["sources"]:
        age = "-" if source["age_ms"] < 0 else f"{source['age_ms'] / 1000.0:.1f}"
        rows.append(
            [source["name"], source["state"], age, str(source["boxes"]), str(source["held"])]
        )
    text = [_align_columns(rows), ""]
    rows = [["box", "address", "state", "priority", "weight", "known for s", "rule", "said by"]]
    for box in view["boxes"]:
        state = box["state"] if box["in_use"] or box["state"] != "in" else "in, not in use"
        stated_by = ", ".join(f"{name} ({stated})" for name, stated in box["said"].items())
        age = f"{box['known_for_ms'] / 1000.0:.1f}"
        rows.append(
            [
                box["name"],
                box["address"],
                state,
                str(box["priority"]),
                f"{box['weight']:g}",
                age,
                box["rule"],
                stated_by,
            ]
        )
    text.append(_align_columns(rows))
    return "\n".join(text)


def _align_columns(rows: list[list[str]]) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    )


class _CollectingSink:
    """A sink that merges one view of each source and collects failures."""

    def __init__(self, options: SourcesTable) -> None:
        self.merged = Membership(options.rights(), options.guard.guard())
        self.failures: list[tuple[str, str]] = []

    def update(self, source: str, claims: Iterable[Claim], full: bool = True) -> None:
        self.merged.update(source, claims, now_ms(), full)

    def failed(self, source: str, reason: str) -> None:
        self.merged.mark_failed(source, reason)
        self.failures.append((source, reason))


def check(operator: Optional[str], as_json: bool) -> int:
    """Query each source once and print the merged set.

    Exit code: 0, 1 where a source failed, 2 where no source is configured.
    """
    try:
        options = _load_sources_table(operator)
    except (BadOperatorFile, ValueError) as error:
        print(f"gradeshift sources check: {error}", file=sys.stderr)
        return 2
    sink = _CollectingSink(options)
    _check_list(sink)
    if options.file is not None:
        FileSource(sink, options.file).start()
    if options.dns is not None:
        dns = options.dns

        async def refresh_dns() -> None:
            await DnsSource(sink, dns, random.SystemRandom().getrandbits(32)).refresh()

        try:
            asyncio.run(refresh_dns())
        except LookupFailed as error:
            sink.failed("dns", str(error))
        except OSError as error:
            sink.failed("dns", f"{dns.resolv_conf}: {error.strerror}")
    now = now_ms()
    view = merged_view(sink.merged, sink.merged.merge(now), float("inf"), now)
    print(orjson.dumps(view).decode() if as_json else format_view(view))
    for source, reason in sink.failures:
        print(f"gradeshift sources check: {source}: {reason}", file=sys.stderr)
    return 1 if sink.failures else 0


def _check_list(sink: _CollectingSink) -> None:
    """Read the server list once, without a watch, if PROXY_CONFIG is set."""
    if not os.environ.get("PROXY_CONFIG"):
        return
    try:
        host, port = load(os.environ).discovery
        connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
        connection.request("GET", "/discovery/hosts")
        answer = connection.getresponse()
        text = answer.read(1 << 20)
        if answer.status != 200:
            raise BadList(f"answered with status {answer.status}")
        _, _, pairs = read_list(orjson.loads(text))
    except (
        BadConfig,
        BadList,
        OSError,
        http.client.HTTPException,
        orjson.JSONDecodeError,
    ) as error:
        sink.failed("list", str(error) or type(error).__name__)
        return
    sink.update(
        "list", [claim_of(server, address) for server, address in pairs if server.state != "gone"]
    )
