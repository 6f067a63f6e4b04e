"""What the node tells of itself: the figures as lines `name=value`, and the calls that change its duty."""

from __future__ import annotations

from dataclasses import dataclass

from corkshift.discovery import Discovery
from corkshift.frontend import Frontend
from corkshift.metrics import KINDS, Metrics
from corkshift.node import Node
from corkshift.presence import HOLDS_MS
from corkshift.seam import now_ms

PREFIX = "svc"


@dataclass(frozen=True, slots=True)
class Status:
    """A node as operators see it. Everything is read when it is asked for."""

    node: Node
    frontend: Frontend
    discovery: Discovery
    figures: Metrics

    def can_serve(self) -> bool:
        """Whether this process has begun to serve: it accepts, and has known of a cache server."""
        return self.frontend.started and self.node.servers_known

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
            for lane, counts in self.figures.responses.items()
            for kind, count in zip(KINDS, counts, strict=True)
        ]
        rows += [
            f"{PREFIX}.refused.{cause}={count}" for cause, count in self.figures.refusals.items()
        ]
        rows += [
            f"{PREFIX}.tries={self.figures.attempts_sent}",
            f"{PREFIX}.active={self.node.open}",
            f"{PREFIX}.pool_size={len(self.node.servers)}",
            f"{PREFIX}.pool_ejected={self.node.ejected_count()}",
        ]
        figures, guard = self.figures, self.node.guard
        rows += [
            f"{PREFIX}.attempts.{status}={count}"
            for status, count in sorted(figures.attempt_outcomes.items())
        ]
        rows += [
            f"{PREFIX}.local_errors.{cause}={count}"
            for cause, count in sorted(figures.local_errors.items())
        ]
        rows += [
            f"{PREFIX}.closed.{cause}={count}"
            for cause, count in sorted(figures.closed_connections.items())
        ]
        rows += [f"{PREFIX}.denied.{cause}={count}" for cause, count in guard.denied.items()]
        rows += [
            f"{PREFIX}.violations.{cause}={count}" for cause, count in guard.violations.items()
        ]
        rows += [f"{PREFIX}.pool.{state}={count}" for state, count in self.node.health().items()]
        presence = self.frontend.loop_lag
        bounds = [f"{most:g}" for most in HOLDS_MS] + ["more"]
        rows += [
            f"{PREFIX}.loop.late_ms.{bound}={count}"
            for bound, count in zip(bounds, presence.holds, strict=True)
        ]
        rows += [
            f"{PREFIX}.loop.longest_ms={presence.longest_ms:.0f}",
            f"{PREFIX}.loop.turn_ms={presence.turn_ms:.0f}",
        ]
        return "\n".join(rows) + "\n"
