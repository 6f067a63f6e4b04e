"""State of the node for operators: metrics as lines `name=value`, and its lifecycle changes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from corkshift.discovery import Discovery
from corkshift.frontend import Frontend
from corkshift.loop_lag import STALL_BUCKETS_MS
from corkshift.metrics import KINDS, LIST_AGE_BUCKETS_MS, Metrics
from corkshift.node import Node
from corkshift.seam import now_ms

METRIC_PREFIX = "svc"


@dataclass(slots=True)
class Status:
    """Health, metrics and lifecycle of a node. Values are read at the time of the request."""

    node: Node
    frontend: Frontend
    discovery: Discovery
    metrics: Metrics
    # Called after an operator drained the node or put it back into service.
    on_quiesce: Callable[[], None] = lambda: None
    on_resume: Callable[[], None] = lambda: None

    def can_serve(self) -> bool:
        """Whether the node accepts clients and has received a cache server at least once."""
        return self.frontend.started and self.node.servers_known

    def quiesce(self) -> bool:
        """Start to drain; False where the process is about to end."""
        quiesced = self.frontend.lifecycle.quiesce(now_ms())
        if quiesced:
            self.on_quiesce()
        return quiesced

    def resume(self) -> bool:
        """End the drain; False where the process is about to end."""
        resumed = self.frontend.lifecycle.resume(now_ms())
        if resumed:
            self.on_resume()
        return resumed

    def metrics_text(self) -> str:
        """All metrics, one per line.

        Among them are responses by class and kind, refusals by cause, attempts, open requests and
        servers by health.
        """
        rows = [
            f"{METRIC_PREFIX}.responses.{class_name}.{kind}={count}"
            for class_name, counts in self.metrics.responses.items()
            for kind, count in zip(KINDS, counts, strict=True)
        ]
        rows += [
            f"{METRIC_PREFIX}.refused.{cause}={count}"
            for cause, count in self.metrics.refusals.items()
        ]
        rows += [
            f"{METRIC_PREFIX}.tries={self.metrics.attempts_sent}",
            f"{METRIC_PREFIX}.active={self.node.open}",
            f"{METRIC_PREFIX}.pool_size={len(self.node.servers)}",
            f"{METRIC_PREFIX}.pool_ejected={self.node.ejected_count()}",
        ]
        metrics, guard = self.metrics, self.node.guard
        rows += [
            f"{METRIC_PREFIX}.attempts.{status}={count}"
            for status, count in sorted(metrics.attempt_outcomes.items())
        ]
        rows += [
            f"{METRIC_PREFIX}.local_errors.{cause}={count}"
            for cause, count in sorted(metrics.local_errors.items())
        ]
        rows += [
            f"{METRIC_PREFIX}.closed.{cause}={count}"
            for cause, count in sorted(metrics.closed_connections.items())
        ]
        rows += [f"{METRIC_PREFIX}.denied.{cause}={count}" for cause, count in guard.denied.items()]
        rows += [
            f"{METRIC_PREFIX}.violations.{cause}={count}"
            for cause, count in guard.violations.items()
        ]
        rows += [
            f"{METRIC_PREFIX}.pool.{state}={count}" for state, count in self.node.health().items()
        ]
        rows += [
            f"{METRIC_PREFIX}.discovery.calls.{cause}={count}"
            for cause, count in self.discovery.call_counts.items()
        ]
        ages = [f"{upper:g}" for upper in LIST_AGE_BUCKETS_MS] + ["more"]
        rows += [
            f"{METRIC_PREFIX}.sends.list_age_ms.{bound}={count}"
            for bound, count in zip(ages, metrics.sends_by_list_age, strict=True)
        ]
        rows.append(f"{METRIC_PREFIX}.sends.before_first_list={metrics.sends_before_first_list}")
        rows.append(f"{METRIC_PREFIX}.violations.no_decision={metrics.backstop_answers}")
        rows += [
            f"{METRIC_PREFIX}.cut.{status}={count}"
            for status, count in sorted(metrics.cut_answers.items())
        ]
        rows.append(f"{METRIC_PREFIX}.left={metrics.departed_clients}")
        rows += self._memory_rows()
        loop_lag = self.frontend.loop_lag
        bounds = [f"{upper:g}" for upper in STALL_BUCKETS_MS] + ["more"]
        rows += [
            f"{METRIC_PREFIX}.loop.late_ms.{bound}={count}"
            for bound, count in zip(bounds, loop_lag.stall_counts, strict=True)
        ]
        rows += [
            f"{METRIC_PREFIX}.loop.longest_ms={loop_lag.longest_stall_ms:.0f}",
            f"{METRIC_PREFIX}.loop.turn_ms={loop_lag.smoothed_lag_ms:.0f}",
        ]
        return "\n".join(rows) + "\n"

    def _memory_rows(self) -> list[str]:
        """The process's memory and what takes most of it."""
        usage = self.frontend.memory_usage()
        return [
            f"{METRIC_PREFIX}.memory.process_bytes={usage.process_bytes or 0}",
            f"{METRIC_PREFIX}.memory.buffered_bytes={usage.buffered_bytes}",
            f"{METRIC_PREFIX}.memory.transfers={usage.transfers}",
            f"{METRIC_PREFIX}.memory.clients={usage.clients}",
        ]
