"""Schedule of calls to discovery. Pure: no I/O, no clock.

A call that failed, or a watch that ended between two lines, has lost nothing that discovery wrote.
The next call waits, longer after each failure, and each wait is drawn at random, so that the nodes
of a fleet don't call the small list service at the same moment again and again.

A watch that ended in the middle of a line, or that carried something unreadable, may have lost a
change, and the rule on drains allows 250 ms for it. The next call goes out at once, spread over a
few ms. If that call fails the change is still lost: another one goes out after URGENT_RETRY_MS to
twice that, so that the last urgent call doesn't meet the same refusal a few ms later. Only nodes
that lost something make urgent calls. Each has MAX_URGENT_CALLS of them and gets one more every
URGENT_REFILL_MS, so that a service that corrupts every line isn't called faster for it. After that
a node waits as after any other failure.

A fleet of N nodes makes at most N * MAX_URGENT_CALLS urgent calls in the first moment, and
N / URGENT_REFILL_MS from then on.

Where lists are pushed, the peer is an agent on the node's own machine. It answers at once and at no
cost, and a change counts as notified as soon as the agent has it, whether or not a watch is open.
The next call goes out at once, but at most one every AGENT_INTERVAL_MS.

No wait exceeds 1.3 * MAX_WAIT_MS, whatever interval the settings give and however many calls have
failed. A change counts as notified 6 s after discovery had it and could be reached, and several
refused calls must fit into that time: waits that doubled up to 10.4 s did not (incident of
2026-12-02). No wait is shorter than MIN_WAIT_MS, which covers settings that give no interval at
all. A fleet of N nodes whose calls are all refused makes N / (0.8 * MAX_WAIT_MS) calls a second; a
refused call costs the service little. `corkshift.discovery` makes further calls beside one that
waits for its turn (PARALLEL_CALL_DELAY_S).
"""

from __future__ import annotations

import random

# Fraction of the polling interval of the settings. The shortest wait is twice this, as waits double
# from the first failure on.
BASE_WAIT_FRACTION = 0.05
MAX_DOUBLINGS = 4
# Longest wait of a node that starts, as a fraction of the polling interval, and its upper bound.
INITIAL_WAIT_FRACTION = 0.3
MAX_INITIAL_WAIT_MS = 3_000.0
URGENT_REFILL_MS = 4_000.0
MAX_URGENT_CALLS = 2.0
# Time over which the first urgent calls of a fleet are spread.
URGENT_JITTER_MS = 5.0
# Wait after an urgent call that failed; two of them fit into the time allowed for a drain.
URGENT_RETRY_MS = 40.0
# Time between two calls to an agent that did not answer.
AGENT_INTERVAL_MS = 40.0
MAX_WAIT_MS = 1_000.0
MIN_WAIT_MS = 20.0


class PollSchedule:
    """Computes the time until the next call to discovery. Times are in ms."""

    __slots__ = (
        "_within_ms",
        "_random",
        "_agent",
        "_failures",
        "_urgent_calls",
        "_updated_ms",
        "_urgent_call_made",
    )

    def __init__(self, within_ms: float, rng: random.Random, agent: bool = False) -> None:
        """within_ms: polling interval of the settings; agent: lists are pushed to a local agent."""
        self._within_ms = within_ms
        self._agent = agent
        self._random = rng
        self._failures = 0
        self._urgent_calls = MAX_URGENT_CALLS  # urgent calls left
        self._updated_ms = 0.0
        self._urgent_call_made = False  # since the last complete line

    def initial_wait(self) -> float:
        """Return how long a node that starts waits before its first call, in ms."""
        return (
            min(self._within_ms * INITIAL_WAIT_FRACTION, MAX_INITIAL_WAIT_MS)
            * self._random.random()
        )

    def record_complete_line(self) -> None:
        """Record a line that was read completely."""
        self._failures = 0
        self._urgent_call_made = False

    def reset(self) -> None:
        """Forget past failures: discovery has moved to another address."""
        self._failures = 0
        self._urgent_call_made = False
        self._urgent_calls = MAX_URGENT_CALLS

    def next_wait(self, lost: bool, now: float) -> float:
        """Return the wait in ms after a call that failed or a watch that ended.

        lost: it ended in the middle of a line or with an unreadable one, and no line has been read
        completely since.
        """
        self._failures = min(self._failures + 1, MAX_DOUBLINGS)
        if self._agent:
            wait = AGENT_INTERVAL_MS if now - self._updated_ms < AGENT_INTERVAL_MS else 0.0
            self._updated_ms = now + wait
            return wait
        if lost:
            self._urgent_calls = min(
                MAX_URGENT_CALLS,
                self._urgent_calls + max(0.0, now - self._updated_ms) / URGENT_REFILL_MS,
            )
            self._updated_ms = now
            if self._urgent_calls >= 1.0:
                self._urgent_calls -= 1.0
                if self._urgent_call_made:
                    return URGENT_RETRY_MS * (1.0 + self._random.random())
                self._urgent_call_made = True
                return URGENT_JITTER_MS * self._random.random()
        wait = min(self._within_ms * BASE_WAIT_FRACTION * 2.0**self._failures, MAX_WAIT_MS)
        return max(MIN_WAIT_MS, wait * (0.3 + self._random.random()))
