"""The node's counters: preallocated integers, so that an event costs one addition."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from typing import Optional

from forkweir.retry_after import REFUSAL_CAUSES

OK, SHED, ERRORS = range(3)  # indices of KINDS
REFUSALS = (*REFUSAL_CAUSES, "full", "no-room", "unclaimed", "late", "behind", "closing")
"""Causes of refusals: those of the balancer (forkweir/retry_after.py), then the node's own.

full: limit of open requests reached; no-room: body budget used up; unclaimed: the node's other
process could not be told of its id; late: deadline passed before the request was read; behind: too
little time left for the present event loop lag.
"""
# Distinct causes kept between two log lines, and causes named in one log line.
MAX_FAILURE_CAUSES = 512
MAX_CAUSES_LOGGED = 8
KINDS = ("ok", "shed", "errors")
# Upper bounds of the age of the server list at the send of an attempt; see `count_send`.
LIST_AGE_BUCKETS_MS = (250.0, 1_000.0, 2_500.0, 6_000.0)


def response_kind(status: int) -> int:
    """Return the kind as which a final response counts: OK, SHED (refused) or ERRORS."""
    if status == 200:
        return OK
    return SHED if status in (429, 503) else ERRORS


class Metrics:
    """Counters since the start of the process.

    `responses` holds final responses by class and kind, `refusals` refusals by cause, and
    `attempts_sent` the attempts whose request was written completely.
    """

    __slots__ = (
        "responses",
        "attempts_sent",
        "refusals",
        "attempt_outcomes",
        "local_errors",
        "failure_causes",
        "closed_connections",
        "sends_by_list_age",
        "backstop_answers",
        "sends_before_first_list",
        "cut_answers",
        "departed_clients",
    )

    def __init__(self, classes: Iterable[str]) -> None:
        self.responses: dict[str, list[int]] = {name: [0] * len(KINDS) for name in classes}
        self.attempts_sent = 0
        self.refusals = dict.fromkeys(REFUSALS, 0)
        self.attempt_outcomes: Counter[str] = Counter()  # attempts by outcome
        # Failures to connect for lack of a resource of this machine, by errno.
        self.local_errors: Counter[str] = Counter()
        # Client connections closed by this node, by cause.
        self.closed_connections: Counter[str] = Counter()
        # Failed attempts since the last log line, by status, server and cause.
        self.failure_causes: Counter[tuple[str, str, str]] = Counter()
        # Attempts by the age of the server list: one count for each of LIST_AGE_BUCKETS_MS and one
        # for older lists.
        self.sends_by_list_age = [0] * (len(LIST_AGE_BUCKETS_MS) + 1)
        self.sends_before_first_list = 0
        # Answers that were cut off after their first bytes had been passed on, by outcome.
        self.cut_answers: Counter[str] = Counter()
        self.departed_clients = 0  # requests whose client left before their answer was complete
        self.backstop_answers = 0  # requests that no decision answered by their deadline

    def count_send(self, list_age_ms: Optional[float]) -> None:
        """Count an attempt that was sent, by the time since discovery last wrote to the node.

        list_age_ms: None if discovery has not sent this process a list yet.
        """
        if list_age_ms is None:
            self.sends_before_first_list += 1
        else:
            self.sends_by_list_age[bisect_left(LIST_AGE_BUCKETS_MS, list_age_ms)] += 1

    def count_attempt(self, status: str, server: str, cause: str) -> None:
        """Count the end of an attempt. cause: why it failed, in short; empty if it did not."""
        self.attempt_outcomes[status] += 1
        if cause and len(self.failure_causes) < MAX_FAILURE_CAUSES:
            self.failure_causes[status, server, cause] += 1

    def count_local_error(self, cause: str) -> None:
        """Count a failure to connect for lack of a resource of this machine."""
        self.local_errors[cause] += 1

    def take_failure_causes(self) -> str:
        """Return and reset the most frequent causes of failed attempts, as text for the log.

        The text is empty if there were none since the last call.
        """
        most = self.failure_causes.most_common(MAX_CAUSES_LOGGED)
        self.failure_causes.clear()
        return ", ".join(
            f"{count} {status} at {server} ({cause})" for (status, server, cause), count in most
        )

    def count_response(self, class_name: str, status: int) -> None:
        """Count a final response to a request of a configured class."""
        self.responses[class_name][response_kind(status)] += 1
