"""Parser of discovery's lists: JSON lines, and the entries of a corrupt or partial line. Sans-I/O.

Bytes go in; complete lines and unconfirmed entries come out. Everything that depends on discovery's
format is in this module. `forkweir.known` decides whether an unconfirmed entry is applied, and
`address_book` what a full list changes. A full list names all servers, a line of changes only
some.

An unconfirmed entry is complete, from brace to brace, in bytes that are not yet a complete line or
never will be. It is what can still be used of a line whose rest is lost, since by the protocol a
change counts as notified once discovery has written it. From an entry that is cut or overwritten at
most its server's name can be read (state "unreadable").

Bounds: MAX_LINE_BYTES for a line and MAX_UNCONFIRMED_ENTRIES of one line. Each byte is scanned once
for line ends. For entries it is scanned as it arrives (with the MAX_ENTRY_BYTES before it), once
more where the line pauses, and once where the line is given up.
"""

from __future__ import annotations

import logging
import re
from collections.abc import Iterable
from dataclasses import dataclass
from math import isfinite
from typing import Any, Optional

import orjson

from corkshift.config import ipv4_of
from corkshift.seam import Address
from forkweir import Server

log = logging.getLogger(__name__)

MAX_LINE_BYTES = 1 << 20
MAX_SERVERS = 4_096  # in one list
MAX_UNCONFIRMED_ENTRIES = 4_096  # in one line
MAX_WEIGHT = 1_000.0
STATES = {"in_service": "in", "terminating": "draining", "terminated": "gone"}
NAME_PATTERN = re.compile(r"[!-~]{1,128}")
MAX_CACHED_ENTRIES = 2 * MAX_SERVERS
MAX_ENTRY_BYTES = 4_096
_ENTRY = re.compile(rb"\{[^{}]{2,%d}\}" % MAX_ENTRY_BYTES)  # entries contain no objects
_INSTANCE_ID = re.compile(rb'"instanceId"\s*:\s*"([!-~]{1,128}?)"')
_GENERATION = re.compile(rb'"generation"\s*:\s*([0-9]{1,18})(?=[\s,}])')
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
_OPENING_BRACKETS, _CLOSING_BRACKETS = (b"{", b"["), (b"}", b"]")
# Ends of a row after which an indented object continues in the next row.
_CONTINUED_ROW_ENDS = (b"{", b"[", b",")
_FULL_LIST = re.compile(rb'"reset"\s*:\s*true')


class BadList(Exception):
    """Discovery's answer or line is not a valid list."""


@dataclass(frozen=True, slots=True)
class RecoveredEntry:
    """The entry of one server in a corrupt or partial line."""

    server: Server  # its state may also be "unreadable"
    address: Address | None  # None where it cannot be read


class EntryCache:
    """Cache of parsed entries, so that a repeated entry costs one lookup.

    Most entries of a full list are unchanged, and each is first read from the unfinished line.
    Equal fields give the same `Server` object.

    Bound: MAX_CACHED_ENTRIES; a full cache is cleared.
    """

    __slots__ = ("_read",)

    def __init__(self) -> None:
        self._read: dict[tuple[Any, ...], tuple[Server, Address]] = {}

    def read(self, entry: dict[str, Any]) -> tuple[Server, Address]:
        """The server and address of an entry.

        Raises AttributeError, KeyError, OverflowError, TypeError or ValueError if it is malformed.
        """
        get = entry.get
        fields = (
            get("instanceId"), get("hostPort"), get("lifecycle"), get("startedAtMs"),
            get("weight"), get("zone"), get("machineType"), get("cell"),
        )  # fmt: skip
        try:
            known = self._read.get(fields)
        except TypeError:  # a field that is not a scalar is not hashable
            return _server_of(entry), ipv4_of(entry["hostPort"])
        if known is None:
            known = _server_of(entry), ipv4_of(entry["hostPort"])
            if len(self._read) >= MAX_CACHED_ENTRIES:
                self._read.clear()
            self._read[fields] = known
        return known


class LineParser:
    """Splits the body of one watch into lines, and finds complete entries in the unfinished line.

    An object may be indented over several rows, which then form one line. It begins with a row that
    ends as an indented one does and leaves brackets open, and ends where they are closed. An empty
    row, or one that begins with a brace in its first column, starts the next line even if brackets
    are open (guards against one partial line that swallows all those after it).
    """

    __slots__ = (
        "_buffer",
        "_row_start",
        "_depth",
        "_searched_end",
        "_reported_end",
        "_scanned_end",
        "_cache",
    )

    def __init__(self, cache: Optional[EntryCache] = None) -> None:
        self._cache = cache or EntryCache()
        self._buffer = bytearray()
        self._row_start = 0  # start of the unfinished row
        self._depth = 0  # brackets that are open before that row
        self._searched_end = 0  # no line ends before this byte
        self._reported_end = 0  # end of the last entry that was found
        self._scanned_end = 0  # length of the buffer when entries were last searched

    @property
    def unfinished(self) -> bool:
        """Whether a line has begun and not ended yet."""
        return bool(self._buffer)

    def receive(self, data: bytes) -> list[bytes]:
        """The lines completed by these bytes, stripped. BadList if one exceeds MAX_LINE_BYTES."""
        buffer = self._buffer
        buffer += data
        lines = []
        line_start, row_start = 0, self._row_start
        while (row_end := buffer.find(b"\n", max(row_start, self._searched_end))) >= 0:
            text = bytes(buffer[row_start:row_end]).strip()
            if self._depth and (not text or buffer.startswith(b"{", row_start)):
                lines.append(bytes(buffer[line_start:row_start]).strip())
                line_start, self._depth = row_start, 0
            if self._depth or text.endswith(_CONTINUED_ROW_ENDS):
                self._depth = max(0, self._depth + _net_brackets(text))
            row_start = row_end + 1
            if not self._depth:
                lines.append(bytes(buffer[line_start:row_end]).strip())
                line_start = row_start
        if line_start:
            del buffer[:line_start]
            self._reported_end = self._scanned_end = 0
        self._row_start = row_start - line_start
        self._searched_end = len(buffer)
        if len(buffer) > MAX_LINE_BYTES:
            raise BadList(f"a line of over {MAX_LINE_BYTES} bytes")
        return lines

    def unconfirmed_entries(self) -> list[RecoveredEntry]:
        """The entries that were completed in the unfinished line since the last call."""
        found = []
        begin = max(self._reported_end, self._scanned_end - MAX_ENTRY_BYTES - 2)
        self._scanned_end = len(self._buffer)
        for match in _ENTRY.finditer(self._buffer, begin):
            self._reported_end = match.end()
            if (entry := _unconfirmed_entry(match[0], self._cache)) is not None:
                found.append(entry)
        return found[:MAX_UNCONFIRMED_ENTRIES]

    def partial_line(self) -> bytes:
        """The unfinished line so far."""
        return bytes(self._buffer)


def _net_brackets(row: bytes) -> int:
    """The number of brackets that a row of JSON opens, less those that it closes."""
    unquoted = _STRING.sub(b"", row)
    return sum(map(unquoted.count, _OPENING_BRACKETS)) - sum(map(unquoted.count, _CLOSING_BRACKETS))


def unconfirmed_entries(text: bytes, cache: Optional[EntryCache] = None) -> list[RecoveredEntry]:
    """The complete entries of a corrupt or partial line, and in a line of changes the servers that
    broken entries name.

    A full list names every server, so a broken entry in one gives no information.
    """
    cache = cache or EntryCache()
    found = []
    remainder = bytearray()
    position = 0
    for match in _ENTRY.finditer(text):
        entry = _unconfirmed_entry(match[0], cache)
        remainder += text[position : match.start() if entry is not None else match.end()]
        position = match.end()
        if entry is not None:
            found.append(entry)
    remainder += text[position:]
    if not _FULL_LIST.search(remainder):
        known = {entry.server.name for entry in found}
        names = dict.fromkeys(match[1].decode() for match in _INSTANCE_ID.finditer(remainder))
        found += [
            RecoveredEntry(Server(name, state="unreadable"), None)
            for name in names
            if name not in known
        ]
    return found[:MAX_UNCONFIRMED_ENTRIES]


def generation_of(text: bytes) -> int | None:
    """The generation stated in a line, complete or not; None where it cannot be read."""
    match = _GENERATION.search(text)
    return int(match[1]) if match is not None else None


@dataclass(frozen=True, slots=True)
class RawList:
    """A complete line whose entries are not parsed yet."""

    generation: int  # version number of discovery's list
    full: bool  # names every server; otherwise the line holds changes
    entries: list[Any]


def parse_raw_list(line: bytes) -> RawList:
    """Parse the JSON of a complete line. BadList if it is malformed."""
    try:
        data = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise BadList(f"not JSON: {error}") from None
    if not isinstance(data, dict):
        raise BadList("not an object")
    return raw_list_of(data)


def raw_list_of(data: dict[str, Any]) -> RawList:
    """A list from an object in discovery's format.

    Raises BadList if it is malformed or has more than MAX_SERVERS entries.
    """
    try:
        generation, entries = int(data["generation"]), list(data["instances"])
    except (KeyError, TypeError, ValueError) as error:
        raise BadList(f"{type(error).__name__}: {error}") from None
    if len(entries) > MAX_SERVERS:
        raise BadList(f"{len(entries)} servers, more than the {MAX_SERVERS} allowed")
    return RawList(generation, bool(data.get("reset")), entries)


def read_entries(entries: Iterable[Any], cache: EntryCache) -> list[tuple[Server, Address]]:
    """The servers and addresses of entries, without malformed ones.

    Guards against one malformed entry that discards all others.
    """
    pairs = []
    for entry in entries:
        try:
            pairs.append(cache.read(entry))
        except (AttributeError, KeyError, OverflowError, TypeError, ValueError) as error:
            log.warning(
                "malformed entry of the server list ignored: %s: %s", type(error).__name__, error
            )
    return pairs


def parse(line: bytes) -> tuple[int, bool, list[tuple[Server, Address]]]:
    """The generation of a line, whether it is a full list, and its entries.

    Raises BadList if it is malformed.
    """
    raw = parse_raw_list(line)
    return raw.generation, raw.full, read_entries(raw.entries, EntryCache())


def read(data: dict[str, Any]) -> tuple[int, bool, list[tuple[Server, Address]]]:
    """As `parse`, for an object in discovery's format."""
    raw = raw_list_of(data)
    return raw.generation, raw.full, read_entries(raw.entries, EntryCache())


def _unconfirmed_entry(text: bytes, cache: EntryCache) -> RecoveredEntry | None:
    try:
        return RecoveredEntry(*cache.read(orjson.loads(text)))
    except (AttributeError, KeyError, OverflowError, TypeError, ValueError):
        return None


def _unix_ms(stated: Any) -> float:
    """A time in ms by discovery's clock.

    `forkweir.known.start_times` converts it to this node's clock.

    Raises ValueError if it is not finite.
    """
    time_ms = float(stated or 0.0)
    if not isfinite(time_ms):
        raise ValueError(f"not a finite time: {stated!r}")
    return max(0.0, time_ms)


def _server_of(entry: dict[str, Any]) -> Server:
    name = entry["instanceId"]
    if not NAME_PATTERN.fullmatch(name):
        raise ValueError(f"not a valid instanceId: {name!r:.150}")
    return Server(
        name=name,
        zone=str(entry.get("zone") or ""),
        kind=str(entry.get("machineType") or ""),
        cell=int(entry.get("cell") or 0),
        state=STATES[entry["lifecycle"]],
        weight=min(
            MAX_WEIGHT, max(0.0, float(1.0 if entry.get("weight") is None else entry["weight"]))
        ),
        started_ms=_unix_ms(entry.get("startedAtMs")),
    )
