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

BAD = 0.8  # part of attempts that go wrong at a bad server
PRIOR = 0.03  # part of servers that are bad
USUAL = 0.03  # part of attempts that usually go wrong, until more is seen,
STRENGTH = 50.0  # which weighs as much as so many attempts
MEMORY = 400.0  # attempts of a sort that are remembered
LEAST_USUAL, MOST_USUAL = 0.03, 0.75  # so that one attempt alone finds nobody bad
FORGET_MS = 15_000.0
HIGH, LOW = 2.5, -5.0  # bounds of the odds' logarithm
TRIAL_MS = 1_500.0  # until a server that was found to be bad is tried again; doubles
TRIAL_MOST_MS = 12_000.0
SPREAD = 0.5  # of that wait is drawn
MOST_OUT = 0.34  # of the servers,
MOST_ALONE = 0.6  # but so many where those that do not seem bad do well:
COMMON = 0.2  # where less than this part of their attempts goes wrong

PRIOR_ODDS = log(PRIOR / (1.0 - PRIOR))


class Record:
    """What is held against one server."""

    __slots__ = ("odds", "at", "row", "heard")

    def __init__(self) -> None:
        self.odds = PRIOR_ODDS  # logarithm of the odds that it is bad
        self.at = 0.0
        self.row = 0  # times it was found bad with no good answer between
        self.heard = 0.0  # what other nodes add to the odds, where nodes talk to one another (`forkweir/tier/signals`)

    def clear(self) -> None:
        """Another process serves under this name: nothing is held against it."""
        self.odds, self.row, self.heard = PRIOR_ODDS, 0, 0.0

    @property
    def bad(self) -> bool:
        """Whether the server is more likely bad than good."""
        return self.odds + self.heard > 0.0


class Doubts:
    """What usually goes wrong, and so what an attempt tells of its server."""

    __slots__ = ("_random", "_seen")

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"doubt/{seed}")
        self._seen: dict[str, list[float]] = {}  # by sort: attempts that went wrong, and all

    def usual(self, sort: str) -> float:
        """The part of attempts of a sort that go wrong at servers that are not bad."""
        wrong, all_ = self._seen.get(sort, (0.0, 0.0))
        return min(MOST_USUAL, max(LEAST_USUAL, (USUAL * STRENGTH + wrong) / (STRENGTH + all_)))

    def common(self, sort: str, share: float) -> bool:
        """Whether it is no trouble of single servers: so large a share seems bad, and the others do badly as well.

        Where the others do well, it is many servers' own trouble, however many (guards against half a fleet that fails and gets
        its keys all the same). Harm: beyond MOST_ALONE what is left could not serve the keys of all.
        """
        return share > MOST_OUT and (share > MOST_ALONE or self.usual(sort) > COMMON)

    def judge(
        self, record: Record, sort: str, wrong: bool, now: float, common: bool = False
    ) -> float:
        """An attempt of a sort ended well, or not; how likely its server is bad, after it.

        common: as many servers seem bad as can't all be: then it is no server's doing, and counts in full as what is usual (guards
        against a trouble of all that passes for many bad servers, from which nothing would be learned).
        """
        usual = self.usual(sort)
        record.odds = PRIOR_ODDS + (record.odds - PRIOR_ODDS) * exp(
            -max(0.0, now - record.at) / FORGET_MS
        )
        record.at = now
        more = log(BAD / usual) if wrong else log((1.0 - BAD) / (1.0 - usual))
        record.odds = min(
            HIGH, max(LOW, record.odds + more)
        )  # MOST_USUAL is less than BAD: wrong adds, right takes away
        bad = 0.0 if common else 1.0 / (1.0 + exp(-record.odds))
        if not wrong and record.odds <= 0.0:
            record.row = 0
        seen = self._seen.setdefault(sort, [0.0, 0.0])
        weight = (1.0 - bad) ** 2
        if seen[1] >= MEMORY:
            seen[0] *= 1.0 - weight / MEMORY
            seen[1] *= 1.0 - weight / MEMORY
        seen[0] += weight * wrong
        seen[1] += weight
        return bad

    def wait(self, record: Record) -> float:
        """A server was found to be bad, once more: how long until it is tried, in ms."""
        wait = min(TRIAL_MOST_MS, TRIAL_MS * 2.0 ** min(8, record.row))
        record.row += 1
        return wait * (1.0 - SPREAD * self._random.random())
