"""A node's duty: whether it serves, has been told to drain, or is about to end. Pure: no clock, no sockets.

The front asks it four things: does `/up` say yes, may a connection come in, does a connection go on after its answer, and
which idle connections are due to close. What is decided here is only who may stay; requests are the balancer's.
"""

from __future__ import annotations

SERVING, QUIESCED, ENDING = "serving", "quiesced", "ending"
ACCEPT_MS = 500.0  # after SIGTERM connections and requests are taken for this long: new connections come for 200 to 400 ms
KILL_MARGIN_MS = 700.0  # SIGKILL comes no sooner than this and the longest deadline after SIGTERM,
MAX_COUNTED_DEADLINE_MS = 3_000.0  # which is counted as this where it is longer
ANSWER_MARGIN_MS = (
    180.0  # before that whatever is still open is answered (a late answer is a lost request),
)
EXIT_MARGIN_MS = 80.0  # and this long before it the process has ended
DRAIN_MS = 1_800.0  # from the call to drain until the last idle connection is closed: within 2 s nothing more may be taken


class ShutdownSchedule:
    """When a node that has been told to end does what, in ms after SIGTERM, by the longest deadline of its settings.

    A request that came by `take` has its whole deadline: take + longest is before `answer` but for longest deadlines over LONGEST_MS,
    and for answers by the backstop of the longest one.
    """

    __slots__ = ("accept_ms", "answer_ms", "exit_ms")

    def __init__(self, longest_ms: float) -> None:
        kill = min(longest_ms, MAX_COUNTED_DEADLINE_MS) + KILL_MARGIN_MS
        self.accept_ms = ACCEPT_MS
        self.answer_ms = kill - ANSWER_MARGIN_MS
        self.exit_ms = kill - EXIT_MARGIN_MS


class Lifecycle:
    """The state and when it began. Times are in ms on whatever clock the caller has."""

    __slots__ = ("state", "since_ms")

    def __init__(self) -> None:
        self.state = SERVING
        self.since_ms = 0.0

    def quiesce(self, now: float) -> bool:
        """Drain; whether that is so from now on. Told again it goes on as it began; one that ends has no way back."""
        if self.state == SERVING:
            self.state, self.since_ms = QUIESCED, now
        return self.state == QUIESCED

    def resume(self, now: float) -> bool:
        """Back to work; whether that is so from now on."""
        if self.state == QUIESCED:
            self.state, self.since_ms = SERVING, now
        return self.state == SERVING

    def end(self, now: float) -> None:
        """The process ends, for good."""
        if self.state != ENDING:
            self.state, self.since_ms = ENDING, now

    @property
    def accepts_clients(self) -> bool:
        """Whether the front should go on sending clients (what `/up` says).

        One that ends says yes until it is gone: at a planned restart the front hears of it by other ways, and connections
        that it deals meanwhile are served.
        """
        return self.state != QUIESCED

    @property
    def keeps_connections(self) -> bool:
        """Whether a connection may be kept after its answer."""
        return self.state == SERVING

    def share_to_close(self, now: float, step_ms: float) -> float:
        """The part of the idle connections to close in a step of this length, 0 to 1; longest idle first.

        Evenly until SHED_MS after the call to drain. Guards against one instant in which all are closed, each perhaps
        crossing a request, and against any that stays. A step that comes late closes what the earlier ones should have.
        """
        if self.state != QUIESCED:
            return 0.0
        left = self.since_ms + DRAIN_MS - now
        return 1.0 if left < step_ms else step_ms / left

    def drain_over(self, now: float) -> bool:
        """Whether every idle connection should have been closed by now."""
        return self.state == QUIESCED and now - self.since_ms >= DRAIN_MS
