"""Decides, as the last step before each write, whether a request may be sent to a cache server.

While a first attempt, a retry, a hedged request or a large body waits (for a dial, a connection or
the node itself), a limit that allowed it may have expired. Each limit is applied MAX_STALL_MS
early, since a node may stall for that long between reading its clock and writing. After the write
the limits themselves are checked again (`violated`), so that requests sent too late are counted.

Pure: no I/O and no clock; all times are ms on one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Optional

# How long a node may stall between reading its clock and writing (STANDING.md).
MAX_STALL_MS = 150.0
# Tolerance that the rules add to each time limit where requests go over sockets (PROTOCOL.md).
SOCKET_SLACK_MS = 50.0
# By how much the announced wait may exceed what the client has left (STANDING.md).
DEADLINE_SLACK_MS = 150.0
# The part of DEADLINE_SLACK_MS that may pass between encoding a head and the request's last byte.
HEAD_TO_SEND_MS = 50.0
# Taken off what a client has left: its request's travel time, and rounding to whole ms.
CLIENT_MARGIN_MS = 5.0


class Denial(StrEnum):
    """Why a request may not be sent."""

    CLIENT_GONE = "client-gone"  # it closed its connection, or its request has its final answer
    DRAINING = "draining"  # the server drains or was removed, and the grace for sending is over
    REPEAT_WINDOW = "repeat-window"  # servers may no longer recognize a retry of this request
    OUT_OF_TIME = "out-of-time"  # the client no longer waits
    STALE_DEADLINE = "stale-deadline"  # the announced deadline is later than the client's


@dataclass(frozen=True, slots=True)
class SendState:
    """The state of an attempt just before it is sent."""

    client_waiting: bool  # the request is open and its client is connected
    departure_ms: Optional[float]  # when the server's drain or removal was notified
    first_sent_ms: Optional[float]  # when the request was first sent completely, if it was
    repeat_window_ms: Optional[float]  # of a keyed class; None without such a limit
    deadline_ms: float  # until when the client waits; inf while a large body is being received
    announced_ms: int = 0  # wait announced to the server (X-Remaining-Ms); 0 before the head


class SendGuard:
    """The limits of one site, with counts of denials and violations by cause."""

    __slots__ = ("_grace_ms", "denied", "violations")

    def __init__(self, drain_grace_ms: float) -> None:
        """drain_grace_ms: how long after its notification a draining server may get requests."""
        self._grace_ms = drain_grace_ms
        self.denied = dict.fromkeys(Denial, 0)
        self.violations = dict.fromkeys(Denial, 0)

    def check(self, state: SendState, now: float) -> Optional[Denial]:
        """Return why the next byte may not be sent now, None if it may. Counts each denial."""
        denial = self._exceeded(state, now, MAX_STALL_MS, HEAD_TO_SEND_MS)
        if denial is not None:
            self.denied[denial] += 1
        return denial

    def violated(self, state: SendState, now: float) -> Optional[Denial]:
        """Return which limit was exceeded when a write ended, None if none. Counts violations.

        An absent client or a passed deadline is no violation: the write began before it.
        """
        exceeded = self._exceeded(state, now, -SOCKET_SLACK_MS, DEADLINE_SLACK_MS)
        if exceeded in (None, Denial.CLIENT_GONE, Denial.OUT_OF_TIME):
            return None
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
    """The wait that is announced to a server: at most what the client has left, at least 1 ms."""
    return max(1, int(min(within_ms, client_left_ms - CLIENT_MARGIN_MS)))
