"""Fast parser for HTTP heads in a simple form, which nearly all have; h11 parses all others.

Sans-I/O: bytes in, a head or None out. h11 must accept every head accepted here, with the same
result; tests/test_plain.py compares the two. None is always permitted and only costs time. So the
simple form is narrow: HTTP/1.1, printable ASCII, no repeated header name, and no header on the
connection or the transfer except Content-Length and `Connection: keep-alive`.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Optional

MAX_SIMPLE_HEAD_BYTES = 4_096
MAX_SIMPLE_BODY_BYTES = 65_536

# Possessive quantifiers rule out backtracking, whatever the input.
_FIELDS = rb"((?:[A-Za-z0-9-]++:[ -~]*+\r\n)*+)\r\n"
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


@dataclass(frozen=True, slots=True)
class SimpleHead:
    """A head in simple form."""

    method: bytes  # empty for a response
    target: bytes  # empty for a response
    status: int  # 0 for a request
    fields: Fields
    length: Optional[int]  # Content-Length in bytes, None if absent
    end: int  # offset of the first byte behind the head


def request_head(data: bytes) -> Optional[SimpleHead]:
    """Return the complete request head in simple form at the start of `data`, else None."""
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
    """Return the complete response head in simple form at the start of `data`, else None.

    A response without Content-Length is not in simple form.
    """
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
    """Return the header fields by lower-case name.

    Returns None if a name is repeated or a field concerns the connection or the transfer.
    """
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
    """Return the Content-Length, None if absent, -1 if it is malformed or too large."""
    content_length = fields.get(b"content-length")
    if content_length is None:
        return None
    return (
        int(content_length)
        if _LENGTH.fullmatch(content_length) and int(content_length) <= MAX_SIMPLE_BODY_BYTES
        else -1
    )
