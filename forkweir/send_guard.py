"""Whether a request may go out to a cache server at this moment: the one place that decides it, asked in the last step before a write.

Everything that a first attempt, a retry, a hedged request or a large body has waited for (a dial, a connection, the node itself) may have
outlasted what allowed it. Each bound is used less STALL_MS: a node may be held up for as long between reading its clock and writing.
After the write the bounds themselves are held against the clock once more (`violated`), so that what went out too late is counted.

Pure: no I/O and no clock; all times are ms on one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Optional

MAX_STALL_MS = (
    150.0  # STANDING.md: between reading its clock and writing a node may be held up for so long
)
SOCKET_SLACK_MS = 50.0  # PROTOCOL.md: each time limit of the rules is this much longer on sockets
DEADLINE_SLACK_MS = (
    150.0  # STANDING.md: by so much a server may be told more than its client has left;
)
HEAD_TO_SEND_MS = (
    50.0  # of it, what may pass between the wording of a head and the last byte of its request
)
CLIENT_MARGIN_MS = (
    5.0  # of what is left to a client: the way of its request here, and rounding to whole ms
)


class Denial(StrEnum):
    """Why a request may not go out."""

    CLIENT_GONE = "client-gone"  # it closed its connection, or its request has its final answer
    DRAINING = "draining"  # the server drains or is gone, and the grace for sending is over
    REPEAT_WINDOW = "repeat-window"  # servers may no longer discard a repeat of this request
    OUT_OF_TIME = "out-of-time"  # the client waits no longer
    STALE_DEADLINE = (
        "stale-deadline"  # the deadline that is told to the server is later than the client's
    )


@dataclass(frozen=True, slots=True)
class SendState:
    """What is known of one attempt in the moment in which it is to go out."""

    client_waiting: bool  # the request is open and its client is there
    departure_ms: Optional[float]  # when this node was notified that the server drains or is gone
    first_sent_ms: Optional[float]  # when the request was first sent whole, if it was
    repeat_window_ms: Optional[float]  # of a keyed class; None where there is no such bound
    deadline_ms: float  # until when the client waits; inf while a large body still flows
    announced_ms: int = 0  # how long the server was told that this node waits; 0 before it was


class SendGuard:
    """The bounds of one site, and how often each was met or missed."""

    __slots__ = ("_grace_ms", "denied", "violations")

    def __init__(self, drain_grace_ms: float) -> None:
        """drain_grace_ms: for so long after its notification a draining server may be sent to."""
        self._grace_ms = drain_grace_ms
        self.denied = dict.fromkeys(Denial, 0)
        self.violations = dict.fromkeys(Denial, 0)

    def check(self, state: SendState, now: float) -> Optional[Denial]:
        """Why the next byte may not go out now; None where it may. Counts each refusal."""
        denial = self._exceeded(state, now, MAX_STALL_MS, HEAD_TO_SEND_MS)
        if denial is not None:
            self.denied[denial] += 1
        return denial

    def violated(self, state: SendState, now: float) -> Optional[Denial]:
        """Which bound itself was over when a write had ended; None where none was. Counts each violation."""
        exceeded = self._exceeded(state, now, -SOCKET_SLACK_MS, DEADLINE_SLACK_MS)
        if exceeded in (None, Denial.CLIENT_GONE, Denial.OUT_OF_TIME):
            return None  # neither is a broken rule by itself: the write began while the client was there
        self.violations[exceeded] += 1
        return exceeded

    def _exceeded(
        self, state: SendState, now: float, margin_ms: float, announced_slack_ms: float
    ) -> Optional[Denial]:
        if not state.client_waiting:
            return Denial.CLIENT_GONE
        if state.departure_ms is not None and now - state.departure_ms > self._grace_ms - margin_ms:
            return Denial.DRAINING
        if state.repeat_window_ms is not None and state.first_sent_ms is not None:
            if now - state.first_sent_ms > state.repeat_window_ms - margin_ms:
                return Denial.REPEAT_WINDOW
        if now >= state.deadline_ms:
            return Denial.OUT_OF_TIME
        if state.announced_ms and now + state.announced_ms > state.deadline_ms + announced_slack_ms:
            return Denial.STALE_DEADLINE
        return None


def announced_wait_ms(within_ms: float, client_left_ms: float) -> int:
    """How long a server is told that this node will wait: at most what is left to the client, and 1 ms at the least."""
    return max(1, int(min(within_ms, client_left_ms - CLIENT_MARGIN_MS)))
