"""Messages between the processes of one node: one JSON object a line. Sans-I/O: bytes in, messages
out.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

MAX_LINE_BYTES = 4_096


class Drain(StrEnum):
    """What an operator asked of the node."""

    QUIESCE = "quiesce"
    RESUME = "resume"


class ProcessState(StrEnum):
    """How far a process is; before the first of these it starts."""

    SERVING = "serving"
    ENDING = "ending"


class State(msgspec.Struct, frozen=True, tag="state"):
    """The process has reached a state."""

    state: ProcessState


class Departure(msgspec.Struct, frozen=True, tag="departure"):
    """A server drains or is gone, according to a complete line of discovery.

    generation: that of the line; started_ms: when the server had started, Unix time in ms.
    """

    server: str
    generation: int
    started_ms: float


class DrainCall(msgspec.Struct, frozen=True, tag="drain"):
    """An operator drained the node or put it back into service."""

    call: Drain


class RequestIds(msgspec.Struct, frozen=True, tag="ids"):
    """The process has accepted requests with these ids, which must not run again."""

    ids: list[str]


class Greeting(msgspec.Struct, frozen=True, tag="greeting"):
    """The process has told the one whose journal has this name all that it knows so far."""

    name: str


class Usage(msgspec.Struct, frozen=True, tag="usage"):
    """The connections that the process has open."""

    clients: int
    servers: int


Message = State | Departure | DrainCall | RequestIds | Greeting | Usage
_DECODER = msgspec.json.Decoder(Message)


def encode(message: Message) -> bytes:
    """The line of a message."""
    return msgspec.json.encode(message) + b"\n"


class MessageReader:
    """Reads messages from the bytes of one journal.

    The end of a journal may be cut off by the end of its owner: an unfinished line is never read.
    """

    def __init__(self) -> None:
        self.malformed = 0  # lines that were ignored
        self._unfinished = b""

    def receive(self, data: bytes) -> list[Message]:
        """The messages completed by these bytes; malformed lines are counted and ignored."""
        *lines, self._unfinished = (self._unfinished + data).split(b"\n")
        if len(self._unfinished) > MAX_LINE_BYTES:
            self._unfinished = b""
            self.malformed += 1
        messages: list[Message] = []
        for line in lines:
            try:
                messages.append(_DECODER.decode(line))
            except msgspec.DecodeError:
                self.malformed += 1
        return messages
