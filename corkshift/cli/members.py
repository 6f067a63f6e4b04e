"""`members` and `sources check`: the merged set of a running node, or of the sources without one."""

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

from corkshift.cli.operator import BadOperatorFile, read
from corkshift.config import BadConfig, load
from corkshift.listing import BadList
from corkshift.listing import read as read_list
from corkshift.seam import now_ms
from corkshift.sources.boxlist import claim_of
from corkshift.sources.dns import DnsSource
from corkshift.sources.file import FileSource
from corkshift.sources.hub import view_of
from corkshift.sources.options import SourcesTable
from corkshift.sources.resolver import LookupFailed
from forkweir.known.membership import Claim, Membership

WITHIN_S = 5.0
LONGEST = 1 << 24  # bytes of a view
OFF = "[sources] is not in the operator's file (--operator FILE): there is no merged view"


def _options(operator: Optional[str]) -> SourcesTable:
    """`[sources]` of the operator's file; ValueError where there is none."""
    path = operator or os.environ.get("GRADESHIFT_OPERATOR")
    options = read(path).sources if path else None
    if options is None:
        raise ValueError(OFF)
    return options


def members(operator: Optional[str], path: Optional[str], as_json: bool) -> int:
    """Print a running node's merged view; the exit code: 0, 1 where the node does not answer, 2 where no socket is named."""
    try:
        path = path or _options(operator).members_socket
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
        view = orjson.loads(_ask(path))
    except (OSError, orjson.JSONDecodeError) as error:
        why = (
            error.strerror
            if isinstance(error, OSError) and error.strerror
            else str(error) or "no answer"
        )
        print(f"gradeshift members: {path}: {why}", file=sys.stderr)
        return 1
    print(orjson.dumps(view).decode() if as_json else table(view))
    return 0


def _ask(path: str) -> bytes:
    data = bytearray()
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        sock.settimeout(WITHIN_S)
        sock.connect(path)
        while (more := sock.recv(65_536)) and len(data) < LONGEST:
            data += more
    return bytes(data)


def table(view: dict[str, Any]) -> str:
    """A view for people: sources, then boxes, each with the rule that decided."""
    rows = [["source", "state", "heard s ago", "boxes", "held"]]
    for source in view["sources"]:
        age = "-" if source["age_ms"] < 0 else f"{source['age_ms'] / 1000.0:.1f}"
        rows.append(
            [source["name"], source["state"], age, str(source["boxes"]), str(source["held"])]
        )
    text = [_columns(rows), ""]
    rows = [["box", "address", "state", "priority", "weight", "known for s", "rule", "said by"]]
    for box in view["boxes"]:
        state = box["state"] if box["in_use"] or box["state"] != "in" else "in, not in use"
        said = ", ".join(f"{name} ({how})" for name, how in box["said"].items())
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
                said,
            ]
        )
    text.append(_columns(rows))
    return "\n".join(text)


def _columns(rows: list[list[str]]) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    )


class _Collected:
    """A sink that keeps what was told, for one look."""

    def __init__(self, options: SourcesTable) -> None:
        self.merged = Membership(options.rights(), options.guard.guard())
        self.failures: list[tuple[str, str]] = []

    def tell(self, source: str, claims: Iterable[Claim], full: bool = True) -> None:
        self.merged.update(source, claims, now_ms(), full)

    def failed(self, source: str, why: str) -> None:
        self.merged.mark_failed(source, why)
        self.failures.append((source, why))


def check(operator: Optional[str], as_json: bool) -> int:
    """Ask each source once and print the merge; the exit code: 0, 1 where a source failed, 2 where there is nothing to ask."""
    try:
        options = _options(operator)
    except (BadOperatorFile, ValueError) as error:
        print(f"gradeshift sources check: {error}", file=sys.stderr)
        return 2
    sink = _Collected(options)
    _list(sink)
    if options.file is not None:
        FileSource(sink, options.file).start()
    if options.dns is not None:
        dns = options.dns

        async def look() -> None:
            await DnsSource(sink, dns, random.SystemRandom().getrandbits(32)).once()

        try:
            asyncio.run(look())
        except LookupFailed as error:
            sink.failed("dns", str(error))
        except OSError as error:
            sink.failed("dns", f"{dns.resolv_conf}: {error.strerror}")
    now = now_ms()
    view = view_of(sink.merged, sink.merged.merge(now), float("inf"), now)
    print(orjson.dumps(view).decode() if as_json else table(view))
    for source, why in sink.failures:
        print(f"gradeshift sources check: {source}: {why}", file=sys.stderr)
    return 1 if sink.failures else 0


def _list(sink: _Collected) -> None:
    """The box list, where PROXY_CONFIG says where discovery is: one call, no watch."""
    if not os.environ.get("PROXY_CONFIG"):
        return
    try:
        host, port = load(os.environ).discovery
        connection = http.client.HTTPConnection(host, port, timeout=WITHIN_S)
        connection.request("GET", "/discovery/hosts")
        answer = connection.getresponse()
        text = answer.read(1 << 20)
        if answer.status != 200:
            raise BadList(f"answered {answer.status}")
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
    sink.tell(
        "list", [claim_of(server, address) for server, address in pairs if server.state != "gone"]
    )
