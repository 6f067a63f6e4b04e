"""Parsers of message heads (RFC 9112, 2 to 6). Sans-I/O: bytes in, a head out.

A head is reduced to the fields that the node uses before h11 parses it. A head may hold thousands
of fields, and each costs h11 some 150 bytes and a few microseconds. The parser is dropped with the
head: nothing of it lives as long as the body. Nearly all heads take the shorter way of `plain`.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Optional

import h11

# Limit of a head that is incomplete.
MAX_HEAD_BYTES = 16_384
# 1xx responses permitted ahead of the final one.
MAX_INFORMATIONAL_RESPONSES = 8
VERSION_PREFIX = b"HTTP/1."
_BAD_REQUEST, _HEAD_TOO_LARGE = 400, 431
_WITHOUT_BODY = (204, 304)

_FRAMING_FIELDS = (b"connection", b"content-length", b"transfer-encoding", b"expect", b"upgrade")
# Fields of requests, and of responses, beyond those on the connection and the framing.
REQUEST_FIELDS = (
    b"host",
    b"x-txn",
    b"x-lane",
    b"x-org",
    b"x-remaining-ms",
    b"x-estimate",
    b"x-resent",
    b"idempotency-key",
)
RESPONSE_FIELDS = (b"x-found", b"x-turned-away")
_END_OF_HEAD = re.compile(rb"\n\r?\n")
# A head ends behind its last line; the search goes on from this far ahead of new bytes.
_END_OVERLAP_BYTES = 3


def _unused_fields(used: tuple[bytes, ...]) -> re.Pattern[bytes]:
    """Return the pattern of runs of well-formed field lines with other names, folded ones too.

    Malformed lines don't match: they are left for h11, which rejects them. Possessive quantifiers
    rule out backtracking.
    """
    names = b"|".join(re.escape(name) for name in used + _FRAMING_FIELDS)
    return re.compile(
        rb"(?<=\n)(?:"
        rb"(?!(?:" + names + rb"):)[-!#$%&'*+.^_`|~0-9a-z]++:[^\x00\r\n\v\f]*+\r?\n"
        rb"(?:[ \t][^\x00\r\n\v\f]*+\r?\n)*+"
        rb")++",
        re.IGNORECASE,
    )


_UNUSED_REQUEST_FIELDS = _unused_fields(REQUEST_FIELDS)
_UNUSED_RESPONSE_FIELDS = _unused_fields(RESPONSE_FIELDS)

Fields = dict[bytes, bytes]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """A request's head.

    fields: by lower-case name, only those that the node uses. repeated: names that occur more than
    once. keep_alive: another request may follow on the connection. expects_continue: the client
    waits for status 100 before it sends the body.
    """

    method: bytes
    target: bytes
    version: bytes
    fields: Fields
    repeated: frozenset[bytes]
    keep_alive: bool
    expects_continue: bool

    @property
    def chunked(self) -> bool:
        """Whether the body is in chunked coding."""
        return b"transfer-encoding" in self.fields

    @property
    def length(self) -> Optional[int]:
        """The Content-Length, None if there is none."""
        length = self.fields.get(b"content-length")
        return None if length is None else int(length)


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a final response; `fields` as in RequestHead.

    keep_alive: another request may follow on the connection.
    """

    status: int
    fields: Fields
    keep_alive: bool

    @property
    def chunked(self) -> bool:
        """Whether the body is in chunked coding."""
        return b"transfer-encoding" in self.fields

    @property
    def has_body(self) -> bool:
        """Whether the status permits a body."""
        return self.status not in _WITHOUT_BODY


class TooManyInformationalResponses(Exception):
    """More 1xx responses than permitted came ahead of the final one."""


class HeadBuffer:
    """Collects the bytes of a head until it is complete."""

    __slots__ = ("_data", "_searched")

    def __init__(self) -> None:
        self._data = bytearray()
        self._searched = 0  # bytes without an end of a head

    @property
    def received(self) -> bytes:
        """What was received and not taken."""
        return bytes(self._data)

    def starts_with(self, prefix: bytes) -> bool:
        """Whether what was received can be the start of a message that begins like this."""
        start = self._data[: len(prefix)]
        return start == prefix[: len(start)]

    def receive(self, data: bytes) -> None:
        """Add input."""
        self._data += data

    def take(self) -> Optional[bytes]:
        """Return the complete head at the start of the input, None while it is incomplete.

        Raises h11.RemoteProtocolError if it can't become one, or is over MAX_HEAD_BYTES.
        """
        data = self._data
        end = _END_OF_HEAD.search(data, max(0, self._searched - _END_OVERLAP_BYTES))
        if end is not None:
            head = bytes(data[: end.end()])
            self._data, self._searched = data[end.end() :], 0
            return head
        self._searched = len(data)
        if data and data[0] < 0x21:  # as h11 checks it
            raise h11.RemoteProtocolError("illegal first line", error_status_hint=_BAD_REQUEST)
        if len(data) > MAX_HEAD_BYTES:
            raise h11.RemoteProtocolError("head too large", error_status_hint=_HEAD_TOO_LARGE)
        return None


class RequestHeadParser:
    """Parses one request head."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = HeadBuffer()

    @property
    def surplus(self) -> bytes:
        """The bytes received behind a complete head."""
        return self._buffer.received

    def receive(self, data: bytes) -> Optional[RequestHead]:
        """Add input; return the head once it is complete. Raises h11.RemoteProtocolError."""
        self._buffer.receive(data)
        head = self._buffer.take()
        if head is None:
            return None
        parser = h11.Connection(h11.SERVER)
        event = _next_event(parser, _UNUSED_REQUEST_FIELDS.sub(b"", head))
        if not isinstance(event, h11.Request):
            raise h11.RemoteProtocolError("not a request", error_status_hint=_BAD_REQUEST)
        fields = dict(event.headers)
        return RequestHead(
            bytes(event.method),
            bytes(event.target),
            bytes(event.http_version),
            fields,
            _repeated(event) if len(fields) < len(event.headers) else frozenset(),
            _keeps_alive(event) and b"upgrade" not in fields,
            parser.they_are_waiting_for_100_continue,
        )


class ResponseHeadParser:
    """Parses the head of one final response, and skips informational ones ahead of it."""

    __slots__ = ("_buffer", "_informational")

    def __init__(self) -> None:
        self._buffer = HeadBuffer()
        self._informational = 0

    @property
    def surplus(self) -> bytes:
        """The bytes received behind a complete head."""
        return self._buffer.received

    @property
    def can_begin_response(self) -> bool:
        """Whether the first bytes received can begin a response.

        Otherwise the node would read on through random bytes for the end of a status line.
        """
        return self._buffer.starts_with(VERSION_PREFIX)

    def receive(self, data: bytes) -> Optional[ResponseHead]:
        """Add input; return the final head once it is complete.

        Raises h11.RemoteProtocolError or TooManyInformationalResponses.
        """
        self._buffer.receive(data)
        while (head := self._buffer.take()) is not None:
            event = _parse_response(head)
            if isinstance(event, h11.Response):
                return ResponseHead(event.status_code, dict(event.headers), _keeps_alive(event))
            self._informational += 1
            if self._informational > MAX_INFORMATIONAL_RESPONSES:
                raise TooManyInformationalResponses
        return None


def _next_event(parser: h11.Connection, head: bytes) -> object:
    """Return the event of a complete head. Raises h11.RemoteProtocolError."""
    try:
        parser.receive_data(head)
        return parser.next_event()
    except h11.RemoteProtocolError as error:
        message, status = str(error), error.error_status_hint
        # One of h11's frames refers to the exception. With the traceback, that would be a cycle
        # which keeps the message until the next collection.
        error.__traceback__ = None
    raise h11.RemoteProtocolError(message, error_status_hint=status)


def _parse_response(head: bytes) -> h11.Response | h11.InformationalResponse:
    """Parse one head. Raises h11.RemoteProtocolError."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "-")]))
    parser.send(h11.EndOfMessage())
    event = _next_event(parser, _UNUSED_RESPONSE_FIELDS.sub(b"", head))
    if not isinstance(event, (h11.Response, h11.InformationalResponse)):
        raise h11.RemoteProtocolError("not a response")
    return event


def _repeated(event: h11.Request) -> frozenset[bytes]:
    """Return the names that occur more than once."""
    names = [bytes(name) for name, _ in event.headers]
    return frozenset(name for name in names if names.count(name) > 1)


def _keeps_alive(event: h11.Request | h11.Response) -> bool:
    """Whether another message may follow on the connection (RFC 9112, 9.3)."""
    values = [value.lower() for name, value in event.headers if name == b"connection"]
    options = [option.strip() for value in values for option in value.split(b",")]
    return event.http_version >= b"1.1" and b"close" not in options
