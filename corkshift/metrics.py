"""The node's own counts: integers in slots laid out at the start; each event costs one addition and allocates nothing."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from forkweir.advice import CAUSES

OK, SHED, ERRORS = range(3)
REFUSALS = (*CAUSES, "full", "no-room", "late", "behind")
"""Why a request was refused: the module's causes (forkweir/advice.py), as many open as the node may hold, no room for
bodies, out of time before it was read, too little time left for how slowly the loop turns."""
MAX_FAILURE_CAUSES = 512  # kept between two lines of the log
MAX_CAUSES_LOGGED = 8  # of them in one line
KINDS = ("ok", "shed", "errors")


def response_kind(status: int) -> int:
    """What a final answer counts as: served, refused or failed."""
    if status == 200:
        return OK
    return SHED if status in (429, 503) else ERRORS


class Metrics:
    """Final answers by class and kind, refusals by cause, and attempts written whole. All count from the process's start."""

    __slots__ = (
        "responses",
        "attempts_sent",
        "refusals",
        "attempt_outcomes",
        "local_errors",
        "failure_causes",
        "closed_connections",
    )

    def __init__(self, classes: Iterable[str]) -> None:
        self.responses: dict[str, list[int]] = {name: [0] * len(KINDS) for name in classes}
        self.attempts_sent = 0
        self.refusals = dict.fromkeys(REFUSALS, 0)
        self.attempt_outcomes: Counter[str] = Counter()  # by how they ended
        self.local_errors: Counter[str] = (
            Counter()
        )  # dials that this machine could not begin, by errno
        self.closed_connections: Counter[str] = (
            Counter()
        )  # client connections that this node closed, by cause
        self.failure_causes: Counter[tuple[str, str, str]] = (
            Counter()
        )  # of attempts that failed since the log last told of them

    def count_attempt(self, status: str, server: str, cause: str) -> None:
        """An attempt ended. cause: in short, why it failed; empty where it did not."""
        self.attempt_outcomes[status] += 1
        if cause and len(self.failure_causes) < MAX_FAILURE_CAUSES:
            self.failure_causes[status, server, cause] += 1

    def count_local_error(self, cause: str) -> None:
        """A dial could not begin for a shortage of this machine."""
        self.local_errors[cause] += 1

    def take_failure_causes(self) -> str:
        """The most frequent causes of failed attempts since this was last asked, for the log; empty where there were none."""
        most = self.failure_causes.most_common(MAX_CAUSES_LOGGED)
        self.failure_causes.clear()
        return ", ".join(
            f"{count} {status} at {server} ({cause})" for (status, server, cause), count in most
        )

    def count_response(self, class_name: str, status: int) -> None:
        """A final answer was given to a request of a class that the settings have."""
        self.responses[class_name][response_kind(status)] += 1
