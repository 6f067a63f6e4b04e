"""Parses one HTTP/1.1 request of an operator and formats the answer, without I/O.

Only the request head is used. A body is read and discarded up to a limit, so that a client that
sends one receives its answer instead of a reset.
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import Optional

import h11

MAX_HEAD_BYTES = 8_192
MAX_BODY_BYTES = 65_536  # read and discarded


class BadCall(Exception):
    """The request is invalid. status: HTTP status of the answer; reason: its text."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(frozen=True, slots=True)
class AdminCall:
    """A complete request. path: without the query string."""

    method: str
    path: str


class CallReader:
    """Parser of one connection: feed it bytes until it returns a request."""

    def __init__(self) -> None:
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._call: Optional[AdminCall] = None
        self._body_bytes = 0

    def receive(self, data: bytes) -> Optional[AdminCall]:
        """Feed received bytes (empty at the end of the stream); the request once it is complete.

        Raises BadCall where the bytes are not a valid request.
        """
        try:
            self._parser.receive_data(data)
            while (event := self._parser.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Request):
                    self._call = AdminCall(
                        event.method.decode("ascii"),
                        event.target.partition(b"?")[0].decode("ascii"),
                    )
                elif isinstance(event, h11.Data):
                    self._body_bytes += len(event.data)
                    if self._body_bytes > MAX_BODY_BYTES:
                        raise BadCall(413, f"request body larger than {MAX_BODY_BYTES} bytes")
                elif isinstance(event, h11.EndOfMessage):
                    return self._call
                else:
                    raise BadCall(400, "not an HTTP/1.1 request")
        except h11.RemoteProtocolError as error:
            raise BadCall(error.error_status_hint, str(error)) from None
        return None

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for `100 Continue` before it sends its body."""
        return self._parser.they_are_waiting_for_100_continue

    @property
    def head_only(self) -> bool:
        """Whether the answer must have no body."""
        return self._call is not None and self._call.method == "HEAD"


def format_answer(status: int, text: str, allow: str = "", head_only: bool = False) -> bytes:
    """The bytes of an answer, after which the connection is closed."""
    body = text.encode()
    lines = [
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}",
        "Content-Type: text/plain; charset=utf-8",
        f"Content-Length: {len(body)}",
        "Cache-Control: no-store",
        "Connection: close",
    ]
    if allow:
        lines.append(f"Allow: {allow}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("ascii")
    return head if head_only else head + body
