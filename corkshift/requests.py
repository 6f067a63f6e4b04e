"""Requests of clients: which heads the node accepts, and what it reads from them. No I/O."""

from __future__ import annotations

import re
from collections.abc import Callable

from corkshift.budget import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES
from corkshift.heads import REQUEST_FIELDS, Fields, RequestHead
from corkshift.messages import ClientRequest

REQUEST_ID_PATTERN = re.compile(rb"[!-~]{1,128}")
# Known methods that the node does not support get status 405; unknown ones get 501.
UNSUPPORTED_METHODS = {b"HEAD", b"POST", b"DELETE", b"OPTIONS", b"PATCH", b"TRACE", b"CONNECT"}


class Rejected(Exception):
    """A request that the node answers with an error status before closing its connection."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def check_framing(head: RequestHead) -> None:
    """Reject a head whose framing is ambiguous (request smuggling; RFC 9112, 6.1 and 11.2).

    Otherwise the next parser could take a part of one request's body for another request, or two
    parsers could use different values of a repeated header. A client that repeats a header by
    mistake is rejected too.
    """
    if head.chunked and (head.length is not None or head.version != b"1.1"):
        raise Rejected(400)
    if not head.repeated.isdisjoint(REQUEST_FIELDS):
        raise Rejected(400)
    if (head.length or 0) > (MAX_BODY_BYTES if head.method == b"PUT" else MAX_BUFFERED_BODY_BYTES):
        raise Rejected(413)


def origin_form(target: bytes) -> bytes:
    """Convert a target in absolute form to origin form (RFC 9112, 3.2.1 and 3.2.2)."""
    if target[:7].lower() != b"http://":
        return target
    _, slash, path = target[7:].partition(b"/")
    return slash + path if slash else b"/"


def parse_request(
    method: bytes, target: bytes, headers: Fields, has_class: Callable[[str], bool]
) -> ClientRequest:
    """Return the request that a head describes; raise Rejected if the node does not support it."""
    if method not in (b"GET", b"PUT"):
        raise Rejected(405 if method in UNSUPPORTED_METHODS else 501)
    txn, class_name = headers.get(b"x-txn", b""), headers.get(b"x-lane", b"").decode("latin-1")
    target = origin_form(target)
    if not target.startswith(b"/"):
        raise Rejected(404)
    if not REQUEST_ID_PATTERN.fullmatch(txn) or not has_class(class_name):
        raise Rejected(400)
    remaining_ms = headers.get(b"x-remaining-ms")
    return ClientRequest(
        method=method,
        target=target,
        txn=txn,
        idempotency_key=headers.get(b"idempotency-key"),
        class_name=class_name,
        org=headers.get(b"x-org", b"").decode("latin-1"),
        key=target.partition(b"?")[0].rpartition(b"/")[2].decode("latin-1") or None,
        client_wait_ms=None if remaining_ms is None else _parse_number(remaining_ms),
        # The header is in microseconds.
        work_ms=_parse_number(headers.get(b"x-estimate", b"0")) / 1000.0,
        repeated=headers.get(b"x-resent") == b"1",
        length=int(headers[b"content-length"]) if b"content-length" in headers else None,
    )


def _parse_number(value: bytes) -> float:
    """Parse a header's decimal number, with an optional fraction.

    The check comes first because float() also accepts signs, exponents, `nan` and `inf`.
    """
    integer, _, fraction = value.partition(b".")
    if not (integer.isdigit() and (fraction.isdigit() or not fraction) and len(value) <= 18):
        raise Rejected(400)
    return float(value)
