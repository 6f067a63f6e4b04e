"""What nodes saw of each box, told to one another: more evidence for the judgement that each makes by itself. Pure.

Invariant: one member, whatever it tells, can put no box out and bring none back; what a node saw itself weighs more than what it hears; and
a drain or a death is never among what is heard (a node sends only to boxes that its own list names).

What is told of a box is where a node's own test stands (`known/doubt`: the logarithm of the odds that it is bad), not what changed, so that
a datagram that comes twice, late or never does no harm: of each member the latest word counts, by its number, and it is forgotten AGED_MS
after it came. Only boxes that a node holds to be bad are told, and for a while those that it held to be bad and that have answered well.

A node adds up what others say against a box, as the logarithms of independent tests add up, but for the highest word (one member may lie or
be ill) and each no more than MOST_OF_ONE over the prior, and counts WEIGHT of it, at most MOST_OF_ALL.

| what a node hears of a box | what it does |
|---|---|
| one member holds it to be bad | nothing |
| some do, and with what it saw itself it is more likely bad than good | keeps it out and tries it, as if it had seen that itself |
| BACK members that held it to be bad had good answers since, and nobody holds it to be bad | tries it at once, if it is out |

Bounds: ON_A_PAGE boxes told a round, to RECEIVERS members of those that take part, drawn anew each round; MOST_MEMBERS members' words of
each box.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from forkweir.known.outlier_detection import PRIOR_LOG_ODDS

ON_A_PAGE = 36
RECEIVERS = 16
AGED_MS = 4_000.0
TOLD_GOOD_MS = 3_000.0  # how long a good answer of one that was bad is told
WEIGHT = 0.5
MOST_OF_ONE = 4.0
MOST_OF_ALL = 4.0  # one good answer of one's own outweighs it for some 15 s
BACK = 2
MOST_MEMBERS = 256
STEP = 0.05  # of the logarithm, on the wire


@dataclass(slots=True)
class Word:
    """What a member said of a box, and when that came."""

    odds: float
    at_ms: float


@dataclass(frozen=True, slots=True)
class Hearsay:
    """What is heard of a box. odds: to be added to those of one's own test; back: whether others had good answers of it again."""

    odds: float
    back: bool


def packed(words: Iterable[tuple[int, float]]) -> bytes:
    """Ids of boxes and odds, as they travel: four bytes and one."""
    return b"".join(
        box.to_bytes(4, "big") + bytes([min(255, max(0, round(odds / STEP) + 128))])
        for box, odds in words
    )


def unpacked(data: bytes) -> list[tuple[int, float]]:
    """The same again; bytes that make no whole entry are left out."""
    return [
        (int.from_bytes(data[n : n + 4], "big"), (data[n + 4] - 128) * STEP)
        for n in range(0, len(data) - 4, 5)
    ]


class Signals:
    """One node's side: what it has to tell, and what it heard."""

    __slots__ = ("_own", "_good_ms", "_words", "_numbers")

    def __init__(self) -> None:
        self._own: dict[int, float] = {}  # boxes that it holds to be bad,
        self._good_ms: dict[
            int, tuple[float, float]
        ] = {}  # and those that it no longer does: since when, and its odds
        self._words: dict[int, dict[int, Word]] = {}  # by box and member
        self._numbers: dict[
            int, tuple[int, int]
        ] = {}  # of each member: its token, and the number of its last word

    def saw(self, bad: Mapping[int, float], odds: Mapping[int, float], now: float) -> None:
        """Where the node's own tests stand now. bad: the odds of the boxes that it holds to be bad; odds: of all that it knows."""
        for box in self._own:
            if box not in bad and box in odds:
                self._good_ms[box] = now, odds[box]
        self._own = dict(bad)
        for box in [
            b for b, (at, _) in self._good_ms.items() if b in bad or now - at > TOLD_GOOD_MS
        ]:
            del self._good_ms[box]

    def told(self) -> list[tuple[int, float]]:
        """What there is to tell, the surest first."""
        bad = sorted(self._own.items(), key=lambda row: (-row[1], row[0]))
        good = [(box, min(0.0, odds)) for box, (_, odds) in sorted(self._good_ms.items())]
        return (bad + good)[:ON_A_PAGE]

    def heard(
        self, member: int, token: int, number: int, words: Iterable[tuple[int, float]], now: float
    ) -> bool:
        """A member's word; whether it is newer than its last one. What it said before and does not repeat is forgotten."""
        last = self._numbers.get(member)
        if last is not None and last[0] == token and number <= last[1]:
            return False
        self._numbers[member] = token, number
        for of_box in self._words.values():
            of_box.pop(member, None)
        for box, odds in words:
            of_box = self._words.setdefault(box, {})
            if len(of_box) < MOST_MEMBERS:
                of_box[member] = Word(odds, now)
        return True

    def hearsay(self, now: float) -> dict[int, Hearsay]:
        """What is heard of each box now."""
        result = {}
        for box, of_box in list(self._words.items()):
            for member in [m for m, word in of_box.items() if now - word.at_ms > AGED_MS]:
                del of_box[member]
            if not of_box:
                del self._words[box]
                continue
            words = [word.odds for word in of_box.values()]
            over = sorted(min(MOST_OF_ONE, odds - PRIOR_LOG_ODDS) for odds in words if odds > 0.0)[
                :-1
            ]
            back = sum(odds <= 0.0 for odds in words) >= BACK and not any(
                odds > 0.0 for odds in words
            )
            result[box] = Hearsay(min(MOST_OF_ALL, WEIGHT * sum(over)), back)
        return result
