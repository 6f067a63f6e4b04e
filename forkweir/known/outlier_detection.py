"""Detection of bad servers from few answers each. Pure: no I/O, no clock.

One node among many sends a given server only a few requests in ten seconds. Each outcome is
therefore compared with what the node sees everywhere: a failed attempt says much about its server
where few attempts fail overall, and next to nothing where many do. Each server has one number, the
logarithm of the odds that it is bad (the sequential probability ratio test, A. Wald, 1945). Each
attempt adds log(P(outcome | bad) / P(outcome | good)):

- P(adverse | bad) is BAD_SERVER_FAILURE_RATE, whatever is wrong with the server (it hangs, is slow
  or fails requests);
- P(adverse | good) is the base rate: the share of attempts of the same category that fail, pooled
  over all servers. An attempt counts towards it by the square of the probability that its server is
  good, so that a few bad servers don't raise the base rate.

The log odds start at PRIOR_LOG_ODDS, decay towards it by a factor of e in DECAY_MS, and are
bounded, so that the past never outweighs the present. Where 3 in 100 attempts fail, a server that
turns bad is detected at its second or third attempt and cleared by two good ones.

A suspect server gets one trial request at a time, after a wait that doubles from
INITIAL_TRIAL_WAIT_MS and has seeded jitter, so that the nodes of a fleet don't all try it at once.
Where more than MAX_SUSPECT_SHARE of the servers are suspect and the others do badly as well, or
where more than MAX_INDEPENDENT_SHARE are suspect, the cause isn't in single servers and none is
ejected for it.

Memory: four floats for each server and two for each category. One attempt moves the base rate by
less than 1 / INITIAL_RATE_ATTEMPTS.
"""

from __future__ import annotations

import random
from math import exp, log

# Share of attempts that fail at a bad server.
BAD_SERVER_FAILURE_RATE = 0.8
# Share of servers that are bad, before any attempt.
PRIOR_BAD_SHARE = 0.03
# Base rate before any attempt, and the number of attempts that it counts for.
INITIAL_FAILURE_RATE = 0.03
INITIAL_RATE_ATTEMPTS = 50.0
# Attempts of a category that the base rate remembers.
MAX_COUNTED_ATTEMPTS = 400.0
# Bounds of the base rate, chosen so that no single attempt makes a server suspect.
MIN_BASE_RATE, MAX_BASE_RATE = 0.03, 0.75
DECAY_MS = 15_000.0
MAX_LOG_ODDS, MIN_LOG_ODDS = 2.5, -5.0
# Wait until a suspect server is tried again. It doubles up to MAX_TRIAL_WAIT_MS, and TRIAL_JITTER
# is the fraction of it that is drawn at random.
INITIAL_TRIAL_WAIT_MS = 1_500.0
MAX_TRIAL_WAIT_MS = 12_000.0
TRIAL_JITTER = 0.5
# Where more than this share of the servers is suspect, the cause may be common to all of them.
MAX_SUSPECT_SHARE = 0.34
# Share up to which suspect servers are ejected where the others do well.
MAX_INDEPENDENT_SHARE = 0.6
# The others do well where a smaller share of their attempts than this fails.
COMMON_FAILURE_RATE = 0.2

PRIOR_LOG_ODDS = log(PRIOR_BAD_SHARE / (1.0 - PRIOR_BAD_SHARE))


class Suspicion:
    """The evidence held against one server."""

    __slots__ = ("log_odds", "updated_ms", "detections", "peer_log_odds")

    def __init__(self) -> None:
        self.log_odds = PRIOR_LOG_ODDS  # logarithm of the odds that the server is bad
        self.updated_ms = 0.0
        self.detections = 0  # times it was found bad without a good answer in between
        # Added by reports of other nodes, where nodes exchange them (`forkweir/tier/signals`).
        self.peer_log_odds = 0.0

    def clear(self) -> None:
        """Clear the evidence: another process now serves under this name."""
        self.log_odds, self.detections, self.peer_log_odds = PRIOR_LOG_ODDS, 0, 0.0

    @property
    def suspect(self) -> bool:
        """Whether the server is more likely bad than good."""
        return self.log_odds + self.peer_log_odds > 0.0


class OutlierDetector:
    """The base rates of failure, and from them what an attempt says about its server."""

    __slots__ = ("_random", "_counts")

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"doubt/{seed}")
        # By category: weighted numbers of adverse attempts and of all attempts.
        self._counts: dict[str, list[float]] = {}

    def base_rate(self, category: str) -> float:
        """Return the share of attempts of a category that fail at servers that are not bad."""
        adverse, total = self._counts.get(category, (0.0, 0.0))
        return min(
            MAX_BASE_RATE,
            max(
                MIN_BASE_RATE,
                (INITIAL_FAILURE_RATE * INITIAL_RATE_ATTEMPTS + adverse)
                / (INITIAL_RATE_ATTEMPTS + total),
            ),
        )

    def is_common_cause(self, category: str, share: float) -> bool:
        """Return whether so large a share of suspect servers points to a common cause.

        Where the other servers do well, the suspect ones have trouble of their own, however many
        they are: half of a fleet that fails must not keep its keys. Beyond MAX_INDEPENDENT_SHARE
        the remaining servers could not serve the keys of all.
        """
        return share > MAX_SUSPECT_SHARE and (
            share > MAX_INDEPENDENT_SHARE or self.base_rate(category) > COMMON_FAILURE_RATE
        )

    def update(
        self, suspicion: Suspicion, category: str, adverse: bool, now: float, common: bool = False
    ) -> float:
        """Update a server's log odds by an attempt; return the probability that it is bad.

        common: more servers are suspect than can be bad by themselves. The attempt then isn't
        attributed to its server and counts in full towards the base rate. Otherwise a common cause
        would look like many bad servers, and the base rate would never follow it.
        """
        base_rate = self.base_rate(category)
        suspicion.log_odds = PRIOR_LOG_ODDS + (suspicion.log_odds - PRIOR_LOG_ODDS) * exp(
            -max(0.0, now - suspicion.updated_ms) / DECAY_MS
        )
        suspicion.updated_ms = now
        # MAX_BASE_RATE is less than BAD_SERVER_FAILURE_RATE: an adverse outcome always raises the
        # log odds, and a good one lowers them.
        evidence = (
            log(BAD_SERVER_FAILURE_RATE / base_rate)
            if adverse
            else log((1.0 - BAD_SERVER_FAILURE_RATE) / (1.0 - base_rate))
        )
        suspicion.log_odds = min(MAX_LOG_ODDS, max(MIN_LOG_ODDS, suspicion.log_odds + evidence))
        bad = 0.0 if common else 1.0 / (1.0 + exp(-suspicion.log_odds))
        if not adverse and suspicion.log_odds <= 0.0:
            suspicion.detections = 0
        counts = self._counts.setdefault(category, [0.0, 0.0])
        weight = (1.0 - bad) ** 2
        if counts[1] >= MAX_COUNTED_ATTEMPTS:
            counts[0] *= 1.0 - weight / MAX_COUNTED_ATTEMPTS
            counts[1] *= 1.0 - weight / MAX_COUNTED_ATTEMPTS
        counts[0] += weight * adverse
        counts[1] += weight
        return bad

    def next_trial_wait(self, suspicion: Suspicion) -> float:
        """Record a detection; return the wait in ms until the server is tried."""
        wait = min(MAX_TRIAL_WAIT_MS, INITIAL_TRIAL_WAIT_MS * 2.0 ** min(8, suspicion.detections))
        suspicion.detections += 1
        return wait * (1.0 - TRIAL_JITTER * self._random.random())
