"""Lifecycle of a node: serving, draining (quiesced), ending or closing. Pure: no clock, no sockets.

The front end asks five things: whether `/up` answers yes, whether a connection may be accepted,
whether a connection is kept after its answer, which idle connections to close, and whether requests
are still admitted. Which server they go to is decided by the balancer.

| state | requests | connections |
|---|---|---|
| serving | admitted | kept |
| quiesced | admitted | closed after an answer, idle ones step by step; can be undone |
| ending | admitted | closed after an answer, idle ones at once; no new ones after `accept_ms` |
| closing | refused, also those that are read in part; open ones have been answered | closed |
"""

from __future__ import annotations

SERVING, QUIESCED, ENDING, CLOSING = "serving", "quiesced", "ending", "closing"
# Connections and requests are accepted for this long after SIGTERM, as new connections come for 200
# to 400 ms.
ACCEPT_MS = 500.0
# SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as at most
# MAX_COUNTED_DEADLINE_MS, and this.
KILL_MARGIN_MS = 700.0
MAX_COUNTED_DEADLINE_MS = 3_000.0
# Requests that are still open so long before SIGKILL are answered, since a late answer is a lost
# request. From then on no request is admitted, as its answer might come after the end.
ANSWER_MARGIN_MS = 180.0
# The process has ended so long before SIGKILL.
EXIT_MARGIN_MS = 80.0
# Time from the call to drain until the last idle connection is closed. Nothing more may be accepted
# after 2 s.
DRAIN_MS = 1_800.0


def shared_limit(limit: int, peer_connections: int) -> int:
    """Return how many connections this process may have open of a limit of the whole node.

    peer_connections: those of the node's other processes, during an upgrade. Each process may use
    half of the limit whatever the others have open, so that one that starts can serve.
    """
    return max(limit - peer_connections, limit // 2)


class ShutdownSchedule:
    """When a node does what after SIGTERM, in ms.

    The schedule follows from the longest deadline of the settings. A request that came by
    `accept_ms` has its whole deadline: accept_ms + longest_ms is before `answer_ms`, except for
    deadlines over MAX_COUNTED_DEADLINE_MS and for answers by the backstop of the longest deadline.
    """

    __slots__ = ("accept_ms", "answer_ms", "exit_ms")

    def __init__(self, longest_ms: float) -> None:
        kill = min(longest_ms, MAX_COUNTED_DEADLINE_MS) + KILL_MARGIN_MS
        self.accept_ms = ACCEPT_MS
        self.answer_ms = kill - ANSWER_MARGIN_MS
        self.exit_ms = kill - EXIT_MARGIN_MS


class Lifecycle:
    """The state and when it began. Times are in ms on the caller's clock."""

    __slots__ = ("state", "since_ms", "_drained")

    def __init__(self) -> None:
        self.state = SERVING
        self.since_ms = 0.0
        self._drained = False  # quiesced and not resumed, also once the process ends

    def quiesce(self, now: float) -> bool:
        """Start draining; return whether the node now drains.

        A second call doesn't restart the drain. A node that is ending can't be drained.
        """
        if self.state == SERVING:
            self.state, self.since_ms, self._drained = QUIESCED, now, True
        return self.state == QUIESCED

    def resume(self, now: float) -> bool:
        """Return to service after a drain; return whether the node now serves."""
        if self.state == QUIESCED:
            self.state, self.since_ms, self._drained = SERVING, now, False
        return self.state == SERVING

    def end(self, now: float) -> None:
        """Start ending the process, which can't be undone."""
        if self.state not in (ENDING, CLOSING):
            self.state, self.since_ms = ENDING, now

    def close(self, now: float) -> None:
        """Stop to admit requests, as the process ends in a moment, which can't be undone."""
        if self.state != CLOSING:
            self.state, self.since_ms = CLOSING, now

    @property
    def accepts_clients(self) -> bool:
        """Whether clients should still be sent to this node, as `/up` answers.

        A node that is ending answers yes until it is gone: at a planned restart the load balancer
        in front learns of it by other means, and connections that it assigns meanwhile are served.
        One that was drained before goes on to answer no.
        """
        return not self._drained

    @property
    def admits_requests(self) -> bool:
        """Whether a request that has been read may be sent on; otherwise it is refused."""
        return self.state != CLOSING

    @property
    def keeps_connections(self) -> bool:
        """Whether a connection may be kept after its answer."""
        return self.state == SERVING

    def share_to_close(self, now: float, step_ms: float) -> float:
        """Return the share (0 to 1) of idle connections to close in a step of this length.

        Those that have been idle longest are closed first, evenly until DRAIN_MS after the call to
        drain. Closing all at once could make each cross a request on its way, and none may stay
        open. A late step also closes what earlier ones should have closed.
        """
        if self.state != QUIESCED:
            return 0.0
        left = self.since_ms + DRAIN_MS - now
        return 1.0 if left < step_ms else step_ms / left

    def drain_over(self, now: float) -> bool:
        """Return whether every idle connection should have been closed by now."""
        return self.state == QUIESCED and now - self.since_ms >= DRAIN_MS
