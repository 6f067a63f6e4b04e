"""What the node tells of itself: the figures as lines `name=value`, and the calls that change its duty."""

from __future__ import annotations

from dataclasses import dataclass

from corkshift.discovery import Discovery
from corkshift.figures import KINDS, Figures
from corkshift.frontend import Frontend
from corkshift.loop_lag import STALL_BUCKETS_MS
from corkshift.node import Node
from corkshift.seam import now_ms

PREFIX = "svc"


@dataclass(frozen=True, slots=True)
class Status:
    """A node as operators see it. Everything is read when it is asked for."""

    node: Node
    frontend: Frontend
    discovery: Discovery
    figures: Figures

    def can_serve(self) -> bool:
        """Whether this process has begun to serve: it accepts, and has known of a cache server."""
        return self.frontend.started and self.node.informed

    def quiesce(self) -> bool:
        """Drain; whether that is so now."""
        return self.frontend.duty.quiesce(now_ms())

    def resume(self) -> bool:
        """Back to work; whether that is so now."""
        return self.frontend.duty.resume(now_ms())

    def lines(self) -> str:
        """The figures, one a line: requests by class and kind, refusals by cause, attempts, what is open, servers by health."""
        rows = [
            f"{PREFIX}.responses.{lane}.{kind}={count}"
            for lane, counts in self.figures.answers.items()
            for kind, count in zip(KINDS, counts, strict=True)
        ]
        rows += [
            f"{PREFIX}.refused.{cause}={count}" for cause, count in self.figures.refused.items()
        ]
        rows += [
            f"{PREFIX}.tries={self.figures.tries}",
            f"{PREFIX}.active={self.node.open}",
            f"{PREFIX}.pool_size={len(self.node.servers)}",
            f"{PREFIX}.pool_ejected={self.node.avoided()}",
        ]
        figures, guard = self.figures, self.node.guard
        rows += [
            f"{PREFIX}.attempts.{status}={count}"
            for status, count in sorted(figures.attempts.items())
        ]
        rows += [
            f"{PREFIX}.local_errors.{cause}={count}"
            for cause, count in sorted(figures.local.items())
        ]
        rows += [
            f"{PREFIX}.closed.{cause}={count}" for cause, count in sorted(figures.closed.items())
        ]
        rows += [f"{PREFIX}.denied.{cause}={count}" for cause, count in guard.denied.items()]
        rows += [
            f"{PREFIX}.violations.{cause}={count}" for cause, count in guard.violations.items()
        ]
        rows += [f"{PREFIX}.pool.{state}={count}" for state, count in self.node.health().items()]
        presence = self.frontend.presence
        bounds = [f"{most:g}" for most in STALL_BUCKETS_MS] + ["more"]
        rows += [
            f"{PREFIX}.loop.late_ms.{bound}={count}"
            for bound, count in zip(bounds, presence.stall_counts, strict=True)
        ]
        rows += [
            f"{PREFIX}.loop.longest_ms={presence.longest_stall_ms:.0f}",
            f"{PREFIX}.loop.turn_ms={presence.smoothed_lag_ms:.0f}",
        ]
        return "\n".join(rows) + "\n"
