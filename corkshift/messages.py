"""Requests and responses as they pass between client side, node and cache server side."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Optional, Protocol

from corkshift.body_arrival import BodyArrival
from corkshift.relay import BodyPipe
from corkshift.seam import now_ms


@dataclass(frozen=True, slots=True)
class Response:
    """The final response to a request."""

    status: int
    body: bytes = b""
    retry_after_s: float = 0.0
    # Source of the body if it is too large to buffer; `body` is empty then.
    body_rest: Optional[BodyPipe] = None
    # Length in bytes of the complete body where `body_rest` is set, None if unknown.
    length: Optional[int] = None


class Client(Protocol):
    """The connection of the client that waits for a response."""

    @property
    def end_may_be_unread(self) -> bool:
        """Whether the client may have closed the connection without the node having noticed."""

    def check_departure(self) -> None:
        """Check with the kernel whether the client has left, and cancel its requests if so."""


@dataclass(eq=False, slots=True)
class ClientRequest:
    """A client's request, complete but for the rest of a large body."""

    method: bytes
    target: bytes
    txn: bytes
    idempotency_key: Optional[bytes]
    class_name: str
    org: str
    key: Optional[str]
    client_wait_ms: Optional[float]
    work_ms: float
    repeated: bool
    body: list[bytearray] = field(default_factory=list)
    buffered_bytes: int = 0  # of the body, reserved in the budget of bodies
    # Source of the remaining body if it is too large to buffer; `body` is then its first part, and
    # is emptied once bytes of the rest have been consumed.
    body_rest: Optional[BodyPipe] = None
    # Content-Length of the request, None if it has none.
    length: Optional[int] = None
    # Bytes of `body_rest` have been consumed: the request can't be sent again.
    body_consumed: bool = False
    response: asyncio.Future[Response] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    id: int = 0
    client_budget_ms: float = 0.0  # how long the client waits from the last byte of its request
    since_ms: float = 0.0  # start of its deadline, on the node's clock
    deadline_ms: float = 0.0  # see `renew_deadline`
    # Arrival of a body too large to buffer, on which its deadline depends.
    arrival: Optional[BodyArrival] = None
    # When the last byte of its first attempt was written: from then on it may have run.
    first_attempt_sent_ms: Optional[float] = None
    # Timer that fails the request some time after its deadline.
    backstop: Optional[asyncio.TimerHandle] = None
    backstop_turns: int = 0  # turns of the event loop for which that was put off
    client: Optional[Client] = None  # None for a request that came over no connection
    # Releases the memory reserved for `body`, once nothing holds it any more.
    release_body: Callable[[ClientRequest], None] = lambda request: None

    @property
    def open(self) -> bool:
        """Whether the final response is still outstanding."""
        return not self.response.done()

    def renew_deadline(self) -> None:
        """Move the deadline on as far as the client can't have written its last byte yet.

        Only the deadline of a body too large to buffer moves, until its last byte has been read.
        """
        if self.arrival is not None:
            self.since_ms = self.arrival.not_before_ms(now_ms())
            self.deadline_ms = self.since_ms + self.client_budget_ms

    def left_ms(self) -> float:
        """Return how long the client still waits, in ms."""
        self.renew_deadline()
        return self.deadline_ms - now_ms()
