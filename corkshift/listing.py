"""What a watch of discovery carries: lines of JSON, and what can still be read of a line that is spoilt or cut. Sans-I/O.

Bytes in; whole lines and claims out. Everything that knows discovery's form lives here; whether a claim is heeded is decided
in `forkweir/known/hearsay.py`, and what a whole list does to the node's address book in `discovery`.

A claim is an entry that stands whole, from brace to brace, in bytes that are no whole line yet or never will be. It is what a line
may still tell whose rest is lost (PROTOCOL: a change is told once discovery has written it). An entry that is cut or overwritten
tells one thing at the most: which server it was about (state "unreadable").

Bounds: a line of MAX_LINE; each byte is looked at once for whole lines, and for claims as it comes (LONGEST_ENTRY bytes before it anew),
once more where the line pauses, and once where it is given up; MOST_CLAIMS of one line.
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

MAX_LINE_BYTES = 1 << 20  # bytes
MAX_SERVERS = 4_096  # of one list
MAX_UNCONFIRMED_ENTRIES = 4_096  # of one line
MAX_WEIGHT = 1_000.0
STATES = {"in_service": "in", "terminating": "draining", "terminated": "gone"}
NAME_PATTERN = re.compile(r"[!-~]{1,128}")
MAX_CACHED_ENTRIES = 2 * MAX_SERVERS  # entries that have been read
MAX_ENTRY_BYTES = 4_096  # bytes
_ENTRY = re.compile(rb"\{[^{}]{2,%d}\}" % MAX_ENTRY_BYTES)  # entries hold no objects
_INSTANCE_ID = re.compile(rb'"instanceId"\s*:\s*"([!-~]{1,128}?)"')
_GENERATION = re.compile(rb'"generation"\s*:\s*([0-9]{1,18})(?=[\s,}])')
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
_OPENING_BRACKETS, _CLOSING_BRACKETS = (b"{", b"["), (b"}", b"]")
_CONTINUED_ROW_ENDS = (b"{", b"[", b",")  # what a row ends with behind which an object goes on
_WHOLE_LIST = re.compile(rb'"reset"\s*:\s*true')


class BadList(Exception):
    """Discovery wrote what is no list."""


@dataclass(frozen=True, slots=True)
class UnconfirmedEntry:
    """What a spoilt line says of one server. address: None where it can't be read."""

    server: Server  # its state may be "unreadable" as well
    address: Address | None


class EntryCache:
    """Entries that were read before, so that one which comes again costs one look-up (a whole list that has hardly changed is nearly all
    such entries, and each of its entries stands in the unfinished line first). The same fields give the same `Server` object.

    Bound: MOST_CACHED entries; when they are full all are forgotten.
    """

    __slots__ = ("_read",)

    def __init__(self) -> None:
        self._read: dict[tuple[Any, ...], tuple[Server, Address]] = {}

    def read(self, entry: dict[str, Any]) -> tuple[Server, Address]:
        """A server and its address; AttributeError, KeyError, OverflowError, TypeError or ValueError where the entry is none."""
        get = entry.get
        fields = (
            get("instanceId"), get("hostPort"), get("lifecycle"), get("startedAtMs"), get("weight"), get("zone"), get("machineType"),
            get("cell"),
        )  # fmt: skip
        try:
            known = self._read.get(fields)
        except TypeError:  # a field that is no scalar can't be looked up
            return _server_of(entry), ipv4_of(entry["hostPort"])
        if known is None:
            known = _server_of(entry), ipv4_of(entry["hostPort"])
            if len(self._read) >= MAX_CACHED_ENTRIES:
                self._read.clear()
            self._read[fields] = known
        return known


class LineParser:
    """The body of one watch: whole lines, and what stands whole in the one that has begun.

    An object may come indented, over several rows. It begins with a row that breaks where an indented one does and leaves brackets open,
    and ends where they are closed. An empty row, or one that begins with a brace at its margin, is the next line: what is open before
    it broke off (guards against one cut line that swallows all that come after it).
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
        self._row_start = 0  # where the row begins that is under way,
        self._depth = 0  # and how many brackets are open before it
        self._searched_end = 0  # no line ends before this byte,
        self._reported_end = 0  # and no entry that is not told yet begins before this one
        self._scanned_end = 0  # how much there was when claims were last asked for

    @property
    def unfinished(self) -> bool:
        """Whether a line has begun and not ended."""
        return bool(self._buffer)

    def receive(self, data: bytes) -> list[bytes]:
        """The lines that these bytes end, without their ends; BadList for one that is longer than any list."""
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
            raise BadList("a line without end")
        return lines

    def unconfirmed_entries(self) -> list[UnconfirmedEntry]:
        """The entries that have come to stand whole in the unfinished line since this was last asked."""
        found = []
        begin = max(self._reported_end, self._scanned_end - MAX_ENTRY_BYTES - 2)
        self._scanned_end = len(self._buffer)
        for match in _ENTRY.finditer(self._buffer, begin):
            self._reported_end = match.end()
            if (entry := _unconfirmed_entry(match[0], self._cache)) is not None:
                found.append(entry)
        return found[:MAX_UNCONFIRMED_ENTRIES]

    def rest(self) -> bytes:
        """The unfinished line, as far as it came."""
        return bytes(self._buffer)


def _net_brackets(row: bytes) -> int:
    """How many more brackets a row of JSON opens than it closes."""
    unquoted = _STRING.sub(b"", row)
    return sum(map(unquoted.count, _OPENING_BRACKETS)) - sum(map(unquoted.count, _CLOSING_BRACKETS))


def unconfirmed_entries(text: bytes, cache: Optional[EntryCache] = None) -> list[UnconfirmedEntry]:
    """What can be read of a line that is spoilt or cut: entries that stand whole, and of changes also which server a broken one names.

    A whole list names every server, so that one broken entry of it tells nothing.
    """
    cache = cache or EntryCache()
    found = []
    rest = bytearray()
    position = 0
    for match in _ENTRY.finditer(text):
        entry = _unconfirmed_entry(match[0], cache)
        rest += text[position : match.start() if entry is not None else match.end()]
        position = match.end()
        if entry is not None:
            found.append(entry)
    rest += text[position:]
    if not _WHOLE_LIST.search(rest):
        known = {entry.server.name for entry in found}
        names = dict.fromkeys(match[1].decode() for match in _INSTANCE_ID.finditer(rest))
        found += [
            UnconfirmedEntry(Server(name, state="unreadable"), None)
            for name in names
            if name not in known
        ]
    return found[:MAX_UNCONFIRMED_ENTRIES]


def generation_of(text: bytes) -> int | None:
    """The generation that a line states, whole or not, as far as it can be read."""
    match = _GENERATION.search(text)
    return int(match[1]) if match is not None else None


@dataclass(frozen=True, slots=True)
class RawList:
    """A whole line whose entries are still to be read."""

    generation: int
    whole: bool  # it names every server; else it tells changes
    entries: list[Any]


def parse_raw_list(line: bytes) -> RawList:
    """A whole line as JSON has it. BadList where it is none."""
    try:
        data = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise BadList(f"not JSON: {error}") from None
    if not isinstance(data, dict):
        raise BadList("not an object")
    return raw_list_of(data)


def raw_list_of(data: dict[str, Any]) -> RawList:
    """An object in discovery's form. BadList where it is no list, or longer than MOST_SERVERS."""
    try:
        generation, entries = int(data["generation"]), list(data["instances"])
    except (KeyError, TypeError, ValueError) as error:
        raise BadList(f"{type(error).__name__}: {error}") from None
    if len(entries) > MAX_SERVERS:
        raise BadList(f"{len(entries)} servers")
    return RawList(generation, bool(data.get("reset")), entries)


def read_entries(entries: Iterable[Any], cache: EntryCache) -> list[tuple[Server, Address]]:
    """What entries say; one that can't be read is left out (guards against one costing the whole list)."""
    pairs = []
    for entry in entries:
        try:
            pairs.append(cache.read(entry))
        except (AttributeError, KeyError, OverflowError, TypeError, ValueError) as error:
            log.warning("an entry of the list is of no use: %s: %s", type(error).__name__, error)
    return pairs


def parse(line: bytes) -> tuple[int, bool, list[tuple[Server, Address]]]:
    """A whole line: its generation, whether it is the whole list, and its entries. BadList where it is none."""
    raw = parse_raw_list(line)
    return raw.generation, raw.whole, read_entries(raw.entries, EntryCache())


def read(data: dict[str, Any]) -> tuple[int, bool, list[tuple[Server, Address]]]:
    """What an object in discovery's form holds (see `parse`)."""
    raw = raw_list_of(data)
    return raw.generation, raw.whole, read_entries(raw.entries, EntryCache())


def _unconfirmed_entry(text: bytes, cache: EntryCache) -> UnconfirmedEntry | None:
    try:
        return UnconfirmedEntry(*cache.read(orjson.loads(text)))
    except (AttributeError, KeyError, OverflowError, TypeError, ValueError):
        return None


def _unix_ms(stated: Any) -> float:
    """A time as the list states it; ValueError where it is none (what it means on this clock: `forkweir.known.starts`)."""
    time_ms = float(stated or 0.0)
    if not isfinite(time_ms):
        raise ValueError("no time")
    return max(0.0, time_ms)


def _server_of(entry: dict[str, Any]) -> Server:
    name = entry["instanceId"]
    if not NAME_PATTERN.fullmatch(name):
        raise ValueError("no name")
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
