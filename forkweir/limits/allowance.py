"""What a cold server is allowed: work, paid for before a request goes to it. Pure, no I/O, no clock.

A server that has started can do only a part of its work (`contract.coldFrom` of its capacity, rising to all of it within
`coldMs`) and falls over for good when all nodes together send it more than `fallMultiple` times that within
`overloadForMs`. Its capacity is told to nobody, and nodes do not talk to one another. Each node takes its part by one
rule: **a cold server may get from me its capacity's part of what a warm server gets from me.** Where every node keeps
to it, all together send a cold server at most the same part of what all send a warm one, and that is known to be borne.

What a warm server gets from this node, in work a ms for each unit of weight, is

- `proven`: what warm servers answered in time, over the time that they were there (forgotten by e in PROVEN_MS of it: a
  fleet that is cold as a whole adds no such time, so what its servers could do before is remembered), or
- UNPROVEN of the node's own share of what clients ask for, spread over the fleet, where nothing is proven yet, and at most
  BEYOND times what is proven: what is asked for may be far more than the fleet can do.

What is still too much shows at the server: each time it turns a request away, or leaves one without an answer in time, its
allowance is cut by PRESSED (once in PRESSED_MS, to LEAST_TRUST at the least), and each good answer gives EASED of it back.
So a node also makes room where others take more than their part.

What is too little shows as well: the stated ramp is the least that a server does, and most do more. A node among many hears
too little of one cold server to judge it alone, so what it finds is pooled over all of them: each good answer of a cold
server adds MORE to a boost of all their allowances, up to MOST_BOOST (half of what makes one fall at the usual multiple),
and each one that is too much takes a tenth of it away.

The allowance is a token bucket: it fills with time and is paid at dispatch by every attempt alike, whether read, write,
repeat or second request. It holds BURST_MS of its rate (or DEPTH requests, where that is more: a node that has a request for
a server every few seconds finds a bucket of one empty as often as not), so what queued up while the node stood still is not
let out at once. It begins with a part of one request drawn from the seed: of any number of nodes that hear of a start in the
same moment, the first requests come at the pace of all their rates together, and none at once.

Who goes first: a class that is worth less leaves a part of the bucket to those that are worth more, for STARVED_MS at the
longest. Bounds: five floats a server.
"""

from __future__ import annotations

import random

from forkweir.limits.work import Faded

ASKED_MS = 5_000.0  # forgetting time of what clients ask for
PROVEN_MS = 30_000.0  # and of what warm servers bore
EVIDENCE_MS = 1_000.0  # of a warm server's time before anything counts as proven
FIRST_MS = 300.0  # what is asked for counts as spread over no less time
UNPROVEN = 0.5
BEYOND = 2.0
PRESSED = 0.7
PRESSED_MS = 200.0
EASED = 0.03
LEAST_TRUST = 0.1
BURST_MS = 250.0
DEPTH = 2.0  # requests
MOST_BOOST = 2.0  # of a multiple of 4 or more that makes one fall
MORE = 0.08  # of the boost for one good answer: some 13 of them, all cold servers together, make the most of it
LESS = 0.9  # times the boost for each answer that is too much, once in PRESSED_MS a server
RESERVE = 0.5  # of the bucket is left to the class worth most by one worth nothing
STARVED_MS = 1_000.0
SAFE_MULTIPLE = 4.0  # the multiple for which the whole part is taken; a stricter one takes less


class Account:
    """One cold server's bucket."""

    __slots__ = ("level", "at", "taken_ms", "trust", "pressed_ms")

    def __init__(self, level: float, now: float) -> None:
        self.level = level  # work in ms
        self.at = now
        self.taken_ms = now  # when a request of a class that has to leave a part last took from it
        self.trust = 1.0  # the part of its allowance that it gets, as it bears less
        self.pressed_ms = now  # when that was last cut


class Allowances:
    """What cold servers may get from this node."""

    __slots__ = ("part", "boost", "_asked", "_borne", "_most_worth", "_random")

    def __init__(self, fall_multiple: float, most_worth: float, seed: int) -> None:
        self._random = random.Random(f"allowance/{seed}")
        self.part = min(1.0, fall_multiple / SAFE_MULTIPLE)
        self.boost = 1.0  # of all allowances, as cold servers bear more than they must
        self._asked = Faded(ASKED_MS)
        self._borne = Faded(PROVEN_MS)
        self._most_worth = max(most_worth, 1e-9)

    def asked(self, now: float, cost: float, warm_weight: float) -> None:
        """A client asked for so much work (ms). warm_weight: the weight of all servers that are warm and in use now."""
        self._asked.add(now, cost)
        self._borne.add(now, 0.0, warm_weight)

    def borne(self, cost: float) -> None:
        """A warm server answered so much work (ms) in time."""
        self._borne.total += cost

    def reference(self, weight: float) -> float:
        """Work a ms that a warm server of weight 1 gets from this node. weight: that of the whole fleet."""
        asked = self._asked.rate(FIRST_MS) / max(weight, 1e-9)
        if self._borne.spread_ms < EVIDENCE_MS or self._borne.total <= 0.0:
            return UNPROVEN * asked
        proven = self._borne.rate(EVIDENCE_MS)
        return max(proven, min(asked, BEYOND * proven))

    def open(self, now: float, cost: float, rate: float = 0.0, since: float = 0.0) -> Account:
        """The account of a server of whose start the node heard at `since`: it has filled from then on, at a rate that grew evenly.

        Guards against accounts that begin with the first request for a server, at a node that has one every few seconds.
        """
        filled = 0.5 * rate * self.part * max(0.0, now - since)
        return Account(min(DEPTH * cost, self._random.random() * cost + filled), now)

    def has(self, account: Account, rate: float, cost: float, worth: float, now: float) -> bool:
        """Whether a request may be sent. rate: what the server may get now, in work a ms."""
        rate *= self.part * account.trust * self.boost
        most = max(rate * BURST_MS, DEPTH * cost)
        account.level = min(most, account.level + rate * max(0.0, now - account.at))
        account.at = now
        left = min(RESERVE * (1.0 - worth / self._most_worth) * most, most - cost)
        waited = now - account.taken_ms
        if left > 0.0 and waited > 0.0:
            left *= max(0.0, 1.0 - waited / STARVED_MS)
        return account.level >= cost + left

    def opens_in(self, account: Account, rate: float, cost: float, now: float) -> float:
        """How long until the bucket holds a request's cost, in ms, if nobody else takes from it."""
        rate *= self.part * account.trust * self.boost
        level = account.level + rate * max(0.0, now - account.at)
        return max(0.0, cost - level) / rate if rate > 0.0 else 1e9

    def pay(self, account: Account, cost: float, worth: float, now: float) -> None:
        """A request goes out."""
        account.level -= cost
        if worth < self._most_worth:
            account.taken_ms = now

    def pressed(self, account: Account, now: float) -> None:
        """The server turned a request away, or left one without an answer in time."""
        if now - account.pressed_ms >= PRESSED_MS:
            account.pressed_ms = now
            account.trust = max(LEAST_TRUST, PRESSED * account.trust)
            self.boost = max(1.0, LESS * self.boost)

    def eased(self, account: Account) -> None:
        """The server answered in time."""
        account.trust = min(1.0, account.trust + EASED)
        self.boost = min(MOST_BOOST, self.boost + MORE)
