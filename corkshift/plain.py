"""Heads in the plain form that nearly all have, read by one pattern; whatever else comes is left to h11, whole.

Sans-I/O: bytes in, a head or None out. Its two rules: what is taken here h11 takes too, with the same outcome (held against
h11 itself in tests/test_plain.py), and None is never wrong, only slower. So it errs on the narrow side: HTTP/1.1, printable
ASCII, no name twice, nothing about the connection or the transfer but a length and `keep-alive`.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Optional

import h11

MAX_SIMPLE_HEAD_BYTES = 4_096  # bytes; a longer head is not plain
MAX_SIMPLE_BODY_BYTES = 65_536

_FIELDS = rb"((?:[A-Za-z0-9-]++:[ -~]*+\r\n)*+)\r\n"  # possessive: no head makes it look twice
_REQUEST = re.compile(rb"(GET|PUT) (/[!-~]*+) HTTP/1\.1\r\n" + _FIELDS)
_RESPONSE = re.compile(rb"HTTP/1\.1 (200|500|503|504) [ -~]*+\r\n" + _FIELDS)
_LENGTH = re.compile(rb"[0-9]{1,7}")
_FRAMING_HEADERS = frozenset(
    {
        b"transfer-encoding",
        b"expect",
        b"upgrade",
        b"te",
        b"trailer",
        b"proxy-connection",
        b"keep-alive",
    }
)

Fields = dict[bytes, bytes]


class CompleteRequest:
    """Stands for h11's parser of a request that was read here: it is whole, and its connection may go on."""

    their_state = h11.DONE
    their_http_version = b"1.1"


COMPLETE_REQUEST = CompleteRequest()


@dataclass(frozen=True, slots=True)
class SimpleHead:
    """A plain head; `end` is where it ends in the bytes that it was read from, `length` of what follows it in bytes."""

    method: bytes  # of a request
    target: bytes
    status: int  # of an answer
    fields: Fields
    length: Optional[int]
    end: int


def request_head(data: bytes) -> Optional[SimpleHead]:
    """The request whose head stands whole and plain at the start of these bytes."""
    match = _REQUEST.match(data, 0, MAX_SIMPLE_HEAD_BYTES)
    if match is None:
        return None
    fields = _fields(match[3])
    if fields is None or not fields.get(b"host"):
        return None
    length = _length(fields)
    if length is not None and length < 0:
        return None
    return SimpleHead(match[1], match[2], 0, fields, length, match.end())


def response_head(data: bytes) -> Optional[SimpleHead]:
    """The answer whose head stands whole and plain, with its length, at the start of these bytes."""
    match = _RESPONSE.match(data, 0, MAX_SIMPLE_HEAD_BYTES)
    if match is None:
        return None
    fields = _fields(match[2])
    if fields is None:
        return None
    length = _length(fields)
    if length is None or length < 0:
        return None
    return SimpleHead(b"", b"", int(match[1]), fields, length, match.end())


def _fields(lines: bytes) -> Optional[Fields]:
    """Names in lower case; None where one stands twice or says anything about the connection or the transfer."""
    fields: Fields = {}
    rows = lines.split(b"\r\n")
    for line in rows[:-1]:
        name, _, value = line.partition(b":")
        fields[name.lower()] = value.strip(b" ")
    if len(fields) < len(rows) - 1 or not _FRAMING_HEADERS.isdisjoint(fields):
        return None
    if fields.get(b"connection", b"keep-alive").lower() != b"keep-alive":
        return None
    return fields


def _length(fields: Fields) -> Optional[int]:
    """The length that is told; -1 where it is not plain."""
    told = fields.get(b"content-length")
    if told is None:
        return None
    return int(told) if _LENGTH.fullmatch(told) and int(told) <= MAX_SIMPLE_BODY_BYTES else -1
