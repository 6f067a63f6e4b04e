"""What passes between the client side, the node and the cache server side."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Optional

from corkshift.relay import Relay


@dataclass(frozen=True, slots=True)
class Response:
    """The final answer to a request."""

    status: int
    body: bytes = b""
    retry_after_s: float = 0.0
    body_rest: Optional[Relay] = (
        None  # of the body, where it is too large to hold: `body` is its beginning,
    )
    length: Optional[int] = None  # and this its whole length, if that is known


@dataclass(eq=False, slots=True)
class ClientRequest:
    """One request of a client, whole."""

    method: bytes
    target: bytes
    txn: bytes
    idempotency_key: Optional[bytes]
    class_name: str
    org: str
    key: Optional[str]
    budget_ms: Optional[float]
    work_ms: float
    repeated: bool
    body: list[bytearray] = field(default_factory=list)
    body_rest: Optional[Relay] = (
        None  # the rest of a body too large to hold: `body` is its beginning,
    )
    length: Optional[int] = None  # and this its whole length, if that is known
    body_consumed: bool = False  # the rest has begun to flow: the request can't be sent again
    response: asyncio.Future[Response] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    id: int = 0
    since_ms: float = 0.0  # from when its time counts
    deadline_ms: float = 0.0
    fully_sent: bool = False  # of one too large to hold: its last byte has gone out
    first_attempt_sent_ms: Optional[float] = (
        None  # when the last byte of its first attempt began to go out: from then on it may have run
    )
    backstop: Optional[asyncio.TimerHandle] = None
    check_departure: Callable[[], None] = lambda: (
        None
    )  # asks the system whether the client is still there; one that has left is departed at once

    @property
    def open(self) -> bool:
        """Whether the final answer is still owed."""
        return not self.response.done()
