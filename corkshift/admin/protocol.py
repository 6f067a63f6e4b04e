"""One call of an operator, sans-I/O: bytes in, a call or an error out, and the answer's bytes back. It opens no socket.

Only the head counts; a body is read past, up to a bound, so that a client that sends one gets its answer and no reset.
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import Optional

import h11

MAX_HEAD_BYTES = 8_192  # bytes
MAX_BODY_BYTES = 65_536  # bytes that are read past


class BadCall(Exception):
    """What came is no call; `status` answers it."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(frozen=True, slots=True)
class AdminCall:
    """A whole call."""

    method: str
    path: str


class CallReader:
    """One connection: give it bytes until it returns a call."""

    def __init__(self) -> None:
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._call: Optional[AdminCall] = None
        self._body_bytes = 0

    def receive(self, data: bytes) -> Optional[AdminCall]:
        """Take bytes (none at the client's end); the call once it is whole. BadCall where it can't become one."""
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
                        raise BadCall(413, f"a body of more than {MAX_BODY_BYTES} bytes")
                elif isinstance(event, h11.EndOfMessage):
                    return self._call
                else:
                    raise BadCall(400, "no call")
        except h11.RemoteProtocolError as error:
            raise BadCall(error.error_status_hint, str(error)) from None
        return None

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for a word before it sends its body."""
        return self._parser.they_are_waiting_for_100_continue

    @property
    def head_only(self) -> bool:
        """Whether an answer has no body."""
        return self._call is not None and self._call.method == "HEAD"


def format_answer(status: int, text: str, allow: str = "", head_only: bool = False) -> bytes:
    """The bytes of an answer, after which the connection ends."""
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
