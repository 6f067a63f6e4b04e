"""The node's own counts: integers in slots laid out at the start; each event costs one addition and allocates nothing."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from forkweir.retry_after import REFUSAL_CAUSES

OK, SHED, ERRORS = range(3)
REFUSALS = (*REFUSAL_CAUSES, "full", "no-room", "late", "behind")
"""Why a request was refused: the module's causes (forkweir/advice.py), as many open as the node may hold, no room for
bodies, out of time before it was read, too little time left for how slowly the loop turns."""
MOST_CAUSES = 512  # kept between two lines of the log
CAUSES_TOLD = 8  # of them in one line
KINDS = ("ok", "shed", "errors")


def kind_of(status: int) -> int:
    """What a final answer counts as: served, refused or failed."""
    if status == 200:
        return OK
    return SHED if status in (429, 503) else ERRORS


class Figures:
    """Final answers by class and kind, refusals by cause, and attempts written whole. All count from the process's start."""

    __slots__ = ("answers", "tries", "refused", "attempts", "local", "causes", "closed")

    def __init__(self, classes: Iterable[str]) -> None:
        self.answers: dict[str, list[int]] = {name: [0] * len(KINDS) for name in classes}
        self.tries = 0
        self.refused = dict.fromkeys(REFUSALS, 0)
        self.attempts: Counter[str] = Counter()  # by how they ended
        self.local: Counter[str] = Counter()  # dials that this machine could not begin, by errno
        self.closed: Counter[str] = Counter()  # client connections that this node closed, by cause
        self.causes: Counter[tuple[str, str, str]] = (
            Counter()
        )  # of attempts that failed since the log last told of them

    def count_attempt(self, status: str, server: str, cause: str) -> None:
        """An attempt ended. cause: in short, why it failed; empty where it did not."""
        self.attempts[status] += 1
        if cause and len(self.causes) < MOST_CAUSES:
            self.causes[status, server, cause] += 1

    def count_local(self, cause: str) -> None:
        """A dial could not begin for a shortage of this machine."""
        self.local[cause] += 1

    def take_causes(self) -> str:
        """The most frequent causes of failed attempts since this was last asked, for the log; empty where there were none."""
        most = self.causes.most_common(CAUSES_TOLD)
        self.causes.clear()
        return ", ".join(
            f"{count} {status} at {server} ({cause})" for (status, server, cause), count in most
        )

    def answered(self, lane: str, status: int) -> None:
        """A final answer was given to a request of a class that the settings have."""
        self.answers[lane][kind_of(status)] += 1
