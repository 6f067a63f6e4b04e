"""When a node calls discovery again. Pure, no I/O, no clock.

A call that failed, or a watch that ended between two lines, has lost nothing that discovery wrote: the next call waits, longer each time,
and each wait is drawn (guards against all nodes asking the small list service at once, over and over).

A watch that ended in the middle of a line, or carried what can't be read, may have lost a change, and the rule on drains gives it 250 ms:
the next call goes out at once, spread by a few ms. Where that call fails, what was lost is still lost: another goes out after AGAIN_MS to
twice that (guards against the last urgent call meeting the same refusal a few ms later). Only the nodes that lost something ask, and each
has URGENT_MOST such calls, with one more every URGENT_MS, so that a service that spoils every line is not asked faster for it. Past that
they wait like any other.

Sum over a fleet of N nodes: N * URGENT_MOST calls in the first moment, N / URGENT_MS from then on.

Where lists are pushed, who is called is an agent on the node's own machine that answers at once and at no cost, and whatever it has counts
as told, whether or not a watch is open: the next call goes out at once, but not more than one in AGENT_MS.

Whatever time the settings give for asking and however many calls failed, no wait is over SOON_MS times 1.3: a change counts as notified 6 s
after discovery had it and could be reached, and several refused calls have to fit into that (incident of 2026-12-02: waits that doubled to
10.4 s). None is under LEAST_MS (guards against settings that give no time at all). A fleet of N nodes whose calls are all refused makes
N / (0.8 SOON_MS) calls a second; a refused call costs the service little.
Calls beside one that waits for its turn are made by `corkshift.discovery` (BESIDE_S).
"""

from __future__ import annotations

import random

BASE_WAIT_FRACTION = 0.05  # of the time within which the site wants discovery asked: the shortest wait, doubled from the first on
MAX_DOUBLINGS = 4  # doublings
INITIAL_WAIT_FRACTION = 0.3  # of the time within which the site wants discovery asked: the longest wait of a node that starts,
MAX_INITIAL_WAIT_MS = 3_000.0  # and its bound
URGENT_REFILL_MS = 4_000.0
MAX_URGENT_CALLS = 2.0
URGENT_JITTER_MS = 5.0  # over which urgent calls are spread
URGENT_RETRY_MS = (
    40.0  # after an urgent call that failed; two fit into the time in which a drain is to be heeded
)
AGENT_INTERVAL_MS = 40.0  # between two calls to an agent that did not answer
MAX_WAIT_MS = 1_000.0
MIN_WAIT_MS = 20.0


class PollSchedule:
    """How long until the next call."""

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
        """within_ms: the time that the settings give for asking; agent: lists are pushed to one on the node's own machine."""
        self._within_ms = within_ms
        self._agent = agent
        self._random = rng
        self._failures = 0
        self._urgent_calls = MAX_URGENT_CALLS
        self._updated_ms = 0.0
        self._urgent_call_made = False  # at once, and nothing was read whole since

    def initial_wait(self) -> float:
        """How long a node that starts waits, in ms."""
        return (
            min(self._within_ms * INITIAL_WAIT_FRACTION, MAX_INITIAL_WAIT_MS)
            * self._random.random()
        )

    def record_line(self) -> None:
        """A line was read whole."""
        self._failures = 0
        self._urgent_call_made = False

    def reset(self) -> None:
        """Discovery is at another place: what calls to the old one met says nothing of it."""
        self._failures = 0
        self._urgent_call_made = False
        self._urgent_calls = MAX_URGENT_CALLS

    def next_wait(self, lost: bool, now: float) -> float:
        """A call failed or a watch ended. How long to wait, in ms.

        lost: in the middle of a line, or with one that can't be read, and no line was read whole since.
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
