"""Which servers are bad, judged from few answers each. Pure, no I/O, no clock.

A node among many meets one server of many a few times in ten seconds. What it sees there is held against what it sees
everywhere: an attempt that goes wrong tells much of its server where little goes wrong at large, and next to nothing where
much does. For each server there is one number, the logarithm of the odds that it is bad (Wald's sequential probability
ratio test, 1945), moved by each attempt by log(P(seen | bad) / P(seen | good)):

- P(wrong | bad) is BAD, whatever the server's trouble (it hangs, is slow, or fails what it is asked);
- P(wrong | good) is the part of attempts of the same sort that usually go wrong, pooled over all servers. An attempt counts
  there by how likely its server is good, squared, so that a few bad ones do not pass for what is usual.

The odds begin at PRIOR, are forgotten towards it by e in FORGET_MS, and stay within bounds, so that no past outweighs what is
seen now: a server that turns bad is known by its second or third attempt where 3 in 100 go wrong, and cleared by two good ones.

A server that is probably bad is kept out, and tried by one request at a time after a wait that doubles from TRIAL_MS and is
spread by the seed (guards against all nodes of a fleet trying it at once). Where more than MOST_OUT of the servers seem bad
and the others do badly as well, or more than MOST_ALONE seem bad, it is no trouble of single servers: nobody is kept out for it.

Bounds: four floats a server, two for each sort of attempt; one attempt moves the usual part by less than 1 / STRENGTH.
"""

from __future__ import annotations

import random
from math import exp, log

BAD_SERVER_FAILURE_RATE = 0.8  # part of attempts that go wrong at a bad server
PRIOR_BAD_SHARE = 0.03  # part of servers that are bad
INITIAL_FAILURE_RATE = 0.03  # part of attempts that usually go wrong, until more is seen,
INITIAL_RATE_ATTEMPTS = 50.0  # which weighs as much as so many attempts
MAX_COUNTED_ATTEMPTS = 400.0  # attempts of a sort that are remembered
MIN_BASE_RATE, MAX_BASE_RATE = 0.03, 0.75  # so that one attempt alone finds nobody bad
DECAY_MS = 15_000.0
MAX_LOG_ODDS, MIN_LOG_ODDS = 2.5, -5.0  # bounds of the odds' logarithm
INITIAL_TRIAL_WAIT_MS = 1_500.0  # until a server that was found to be bad is tried again; doubles
MAX_TRIAL_WAIT_MS = 12_000.0
TRIAL_JITTER = 0.5  # of that wait is drawn
MAX_SUSPECT_SHARE = 0.34  # of the servers,
MAX_INDEPENDENT_SHARE = 0.6  # but so many where those that do not seem bad do well:
COMMON_FAILURE_RATE = 0.2  # where less than this part of their attempts goes wrong

PRIOR_LOG_ODDS = log(PRIOR_BAD_SHARE / (1.0 - PRIOR_BAD_SHARE))


class Suspicion:
    """What is held against one server."""

    __slots__ = ("log_odds", "updated_ms", "detections", "peer_log_odds")

    def __init__(self) -> None:
        self.log_odds = PRIOR_LOG_ODDS  # logarithm of the odds that it is bad
        self.updated_ms = 0.0
        self.detections = 0  # times it was found bad with no good answer between
        self.peer_log_odds = 0.0  # what other nodes add to the odds, where nodes talk to one another (`forkweir/tier/signals`)

    def clear(self) -> None:
        """Another process serves under this name: nothing is held against it."""
        self.log_odds, self.detections, self.peer_log_odds = PRIOR_LOG_ODDS, 0, 0.0

    @property
    def suspect(self) -> bool:
        """Whether the server is more likely bad than good."""
        return self.log_odds + self.peer_log_odds > 0.0


class OutlierDetector:
    """What usually goes wrong, and so what an attempt tells of its server."""

    __slots__ = ("_random", "_counts")

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"doubt/{seed}")
        self._counts: dict[str, list[float]] = {}  # by sort: attempts that went wrong, and all

    def base_rate(self, category: str) -> float:
        """The part of attempts of a sort that go wrong at servers that are not bad."""
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
        """Whether it is no trouble of single servers: so large a share seems bad, and the others do badly as well.

        Where the others do well, it is many servers' own trouble, however many (guards against half a fleet that fails and gets
        its keys all the same). Harm: beyond MOST_ALONE what is left could not serve the keys of all.
        """
        return share > MAX_SUSPECT_SHARE and (
            share > MAX_INDEPENDENT_SHARE or self.base_rate(category) > COMMON_FAILURE_RATE
        )

    def update(
        self, suspicion: Suspicion, category: str, adverse: bool, now: float, common: bool = False
    ) -> float:
        """An attempt of a sort ended well, or not; how likely its server is bad, after it.

        common: as many servers seem bad as can't all be: then it is no server's doing, and counts in full as what is usual (guards
        against a trouble of all that passes for many bad servers, from which nothing would be learned).
        """
        base_rate = self.base_rate(category)
        suspicion.log_odds = PRIOR_LOG_ODDS + (suspicion.log_odds - PRIOR_LOG_ODDS) * exp(
            -max(0.0, now - suspicion.updated_ms) / DECAY_MS
        )
        suspicion.updated_ms = now
        evidence = (
            log(BAD_SERVER_FAILURE_RATE / base_rate)
            if adverse
            else log((1.0 - BAD_SERVER_FAILURE_RATE) / (1.0 - base_rate))
        )
        suspicion.log_odds = min(
            MAX_LOG_ODDS, max(MIN_LOG_ODDS, suspicion.log_odds + evidence)
        )  # MOST_USUAL is less than BAD: wrong adds, right takes away
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
        """A server was found to be bad, once more: how long until it is tried, in ms."""
        wait = min(MAX_TRIAL_WAIT_MS, INITIAL_TRIAL_WAIT_MS * 2.0 ** min(8, suspicion.detections))
        suspicion.detections += 1
        return wait * (1.0 - TRIAL_JITTER * self._random.random())
