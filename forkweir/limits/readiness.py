"""When a process that starts may serve. Pure: no I/O, no clock. Times are in ms.

A process starts from the saved list of its configuration, which may be older than what this node
has been notified of: by an earlier process under its name, or by one that still runs beside it (an
upgrade). A change counts as notified for the node, whichever process learned of it. So a process
that inherits its listening socket, or to which lists are pushed, does not serve before discovery
has sent it a list, or it has waited for one within these limits:

| discovery | limit |
|---|---|
| pushes lists to an agent on this machine | AGENT_WAIT_MS: one that does not answer is down |
| is asked, another process of this node serves | LIVE_PREDECESSOR_WAIT_MS: no client waits |
| is asked, and refused MAX_REFUSED_CALLS calls | none further: it is down and notifies nobody |
| is asked | MAX_WAIT_MS |
"""

from __future__ import annotations

AGENT_WAIT_MS = 1_000.0
# The spread of the first calls and the time of one slow answer; with the start of the interpreter
# it is well below the 6 s in which a restarted node may have to be up.
MAX_WAIT_MS = 4_000.0
# Below the 30 s in which any process has to be up.
LIVE_PREDECESSOR_WAIT_MS = 12_000.0
MAX_REFUSED_CALLS = 3


class Readiness:
    """Decides when a starting process may serve."""

    __slots__ = ("_pushed",)

    def __init__(self, pushed: bool) -> None:
        """pushed: lists are pushed to an agent on this machine."""
        self._pushed = pushed

    def may_serve(
        self,
        waited_ms: float,
        list_received: bool,
        refused_calls: int,
        predecessor_serves: bool,
    ) -> bool:
        """Return whether the process may serve now.

        waited_ms: since it was ready to call discovery. refused_calls: calls that failed so far.
        predecessor_serves: another process of this node serves its clients.
        """
        if list_received:
            return True
        if self._pushed:
            return waited_ms >= AGENT_WAIT_MS
        if predecessor_serves:
            return waited_ms >= LIVE_PREDECESSOR_WAIT_MS
        return refused_calls >= MAX_REFUSED_CALLS or waited_ms >= MAX_WAIT_MS
