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

from forkweir.known.doubt import PRIOR_ODDS

MAX_REPORTED_BOXES = 36
REPORT_RECIPIENTS = 16
REPORT_TTL_MS = 4_000.0
RECOVERY_REPORT_MS = 3_000.0  # how long a good answer of one that was bad is told
PEER_EVIDENCE_WEIGHT = 0.5
MAX_ODDS_PER_PEER = 4.0
MAX_PEER_ODDS = 4.0  # one good answer of one's own outweighs it for some 15 s
MIN_RECOVERY_REPORTS = 2
MAX_REPORTERS = 256
ODDS_STEP = 0.05  # of the logarithm, on the wire


@dataclass(slots=True)
class PeerReport:
    """What a member said of a box, and when that came."""

    odds: float
    received_ms: float


@dataclass(frozen=True, slots=True)
class PeerEvidence:
    """What is heard of a box. odds: to be added to those of one's own test; back: whether others had good answers of it again."""

    odds: float
    recovered: bool


def pack(reports: Iterable[tuple[int, float]]) -> bytes:
    """Ids of boxes and odds, as they travel: four bytes and one."""
    return b"".join(
        box.to_bytes(4, "big") + bytes([min(255, max(0, round(odds / ODDS_STEP) + 128))])
        for box, odds in reports
    )


def unpack(data: bytes) -> list[tuple[int, float]]:
    """The same again; bytes that make no whole entry are left out."""
    return [
        (int.from_bytes(data[n : n + 4], "big"), (data[n + 4] - 128) * ODDS_STEP)
        for n in range(0, len(data) - 4, 5)
    ]


class Signals:
    """One node's side: what it has to tell, and what it heard."""

    __slots__ = ("_bad", "_recovered", "_reports", "_last_reports")

    def __init__(self) -> None:
        self._bad: dict[int, float] = {}  # boxes that it holds to be bad,
        self._recovered: dict[
            int, tuple[float, float]
        ] = {}  # and those that it no longer does: since when, and its odds
        self._reports: dict[int, dict[int, PeerReport]] = {}  # by box and member
        self._last_reports: dict[
            int, tuple[int, int]
        ] = {}  # of each member: its token, and the number of its last word

    def update_own(self, bad: Mapping[int, float], odds: Mapping[int, float], now: float) -> None:
        """Where the node's own tests stand now. bad: the odds of the boxes that it holds to be bad; odds: of all that it knows."""
        for box in self._bad:
            if box not in bad and box in odds:
                self._recovered[box] = now, odds[box]
        self._bad = dict(bad)
        for box in [
            old
            for old, (at, _) in self._recovered.items()
            if old in bad or now - at > RECOVERY_REPORT_MS
        ]:
            del self._recovered[box]

    def to_report(self) -> list[tuple[int, float]]:
        """What there is to tell, the surest first."""
        bad = sorted(self._bad.items(), key=lambda row: (-row[1], row[0]))
        good = [(box, min(0.0, odds)) for box, (_, odds) in sorted(self._recovered.items())]
        return (bad + good)[:MAX_REPORTED_BOXES]

    def on_report(
        self, member: int, token: int, number: int, reports: Iterable[tuple[int, float]], now: float
    ) -> bool:
        """A member's word; whether it is newer than its last one. What it said before and does not repeat is forgotten."""
        last = self._last_reports.get(member)
        if last is not None and last[0] == token and number <= last[1]:
            return False
        self._last_reports[member] = token, number
        for by_member in self._reports.values():
            by_member.pop(member, None)
        for box, odds in reports:
            by_member = self._reports.setdefault(box, {})
            if len(by_member) < MAX_REPORTERS:
                by_member[member] = PeerReport(odds, now)
        return True

    def evidence(self, now: float) -> dict[int, PeerEvidence]:
        """What is heard of each box now."""
        result = {}
        for box, by_member in list(self._reports.items()):
            for member in [
                m for m, report in by_member.items() if now - report.received_ms > REPORT_TTL_MS
            ]:
                del by_member[member]
            if not by_member:
                del self._reports[box]
                continue
            reports = [report.odds for report in by_member.values()]
            excess = sorted(
                min(MAX_ODDS_PER_PEER, odds - PRIOR_ODDS) for odds in reports if odds > 0.0
            )[:-1]
            recovered = sum(odds <= 0.0 for odds in reports) >= MIN_RECOVERY_REPORTS and not any(
                odds > 0.0 for odds in reports
            )
            result[box] = PeerEvidence(
                min(MAX_PEER_ODDS, PEER_EVIDENCE_WEIGHT * sum(excess)), recovered
            )
        return result
