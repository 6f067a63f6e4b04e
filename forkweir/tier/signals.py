"""Evidence about boxes exchanged between nodes, in addition to each node's own evaluation. Pure.

Invariant: one member alone, whatever it reports, can neither exclude a box nor bring one back; what
a node observed itself weighs more than what it receives; and a drain or a removal is never among
what is received (a node sends only to boxes that its own list names).

A report holds the state of a node's own test of a box (`known/outlier_detection`: the log odds that
it is bad), not a change of it, so that a datagram that comes twice, late or never does no harm: of
each member the latest report counts, by its number, and it expires REPORT_TTL_MS after it came.
Only boxes that a node considers bad are reported, and for RECOVERY_REPORT_MS those that it
considered bad and that have answered well.

A node adds up what others report against a box, as log odds of independent tests add up, except the
highest report (one member may lie or be faulty), each as at most MAX_ODDS_PER_PEER over the prior,
and counts PEER_EVIDENCE_WEIGHT of the sum, at most MAX_PEER_ODDS.

| what a node receives about a box | what it does |
|---|---|
| one member considers it bad | nothing |
| some do, and its own evidence included it is more likely bad than good | excludes and probes it |
| MIN_RECOVERY_REPORTS report recovery, and nobody considers it bad | probes it if excluded |

An exclusion by evidence of peers is handled like one by the node's own evidence. After reported
recovery an excluded box is probed at once.

Bounds: MAX_REPORTED_BOXES boxes a report, to REPORT_RECIPIENTS participants, drawn anew for each
report; reports of MAX_REPORTERS members about each box.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from forkweir.known.outlier_detection import PRIOR_LOG_ODDS

MAX_REPORTED_BOXES = 36
REPORT_RECIPIENTS = 16
REPORT_TTL_MS = 4_000.0
# How long a recovered box is reported.
RECOVERY_REPORT_MS = 3_000.0
PEER_EVIDENCE_WEIGHT = 0.5
MAX_ODDS_PER_PEER = 4.0
# A good answer to this node itself outweighs it for some 15 s.
MAX_PEER_ODDS = 4.0
MIN_RECOVERY_REPORTS = 2
MAX_REPORTERS = 256
ODDS_STEP = 0.05  # of the log odds, on the wire


@dataclass(slots=True)
class PeerReport:
    """What a member reported of a box, as log odds, and when that came."""

    odds: float
    received_ms: float


@dataclass(frozen=True, slots=True)
class PeerEvidence:
    """The peers' evidence about a box.

    odds: to be added to the log odds of this node's own test; recovered: whether peers have had
    good answers from it again.
    """

    odds: float
    recovered: bool


def pack(reports: Iterable[tuple[int, float]]) -> bytes:
    """Encode ids of boxes and log odds in four bytes and one."""
    return b"".join(
        box.to_bytes(4, "big") + bytes([min(255, max(0, round(odds / ODDS_STEP) + 128))])
        for box, odds in reports
    )


def unpack(data: bytes) -> list[tuple[int, float]]:
    """Decode the result of `pack`; an incomplete entry at the end is ignored."""
    return [
        (int.from_bytes(data[n : n + 4], "big"), (data[n + 4] - 128) * ODDS_STEP)
        for n in range(0, len(data) - 4, 5)
    ]


class Signals:
    """One node's state: what it has to report, and the reports received."""

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
        """Update the state of the node's own tests.

        bad: log odds of the boxes that it considers bad; odds: those of all boxes that it knows.
        """
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
        """The entries of the next report, the most certain first."""
        bad = sorted(self._bad.items(), key=lambda row: (-row[1], row[0]))
        good = [(box, min(0.0, odds)) for box, (_, odds) in sorted(self._recovered.items())]
        return (bad + good)[:MAX_REPORTED_BOXES]

    def on_report(
        self, slot: int, token: int, number: int, reports: Iterable[tuple[int, float]], now: float
    ) -> bool:
        """Process a member's report; return whether it is newer than its last one.

        It replaces all that the member reported before.
        """
        last = self._last_reports.get(slot)
        if last is not None and last[0] == token and number <= last[1]:
            return False
        self._last_reports[slot] = token, number
        for by_slot in self._reports.values():
            by_slot.pop(slot, None)
        for box, odds in reports:
            by_slot = self._reports.setdefault(box, {})
            if len(by_slot) < MAX_REPORTERS:
                by_slot[slot] = PeerReport(odds, now)
        return True

    def evidence(self, now: float) -> dict[int, PeerEvidence]:
        """The current evidence of the peers by box."""
        result = {}
        for box, by_slot in list(self._reports.items()):
            for slot in [
                s for s, report in by_slot.items() if now - report.received_ms > REPORT_TTL_MS
            ]:
                del by_slot[slot]
            if not by_slot:
                del self._reports[box]
                continue
            reports = [report.odds for report in by_slot.values()]
            excess = sorted(
                min(MAX_ODDS_PER_PEER, odds - PRIOR_LOG_ODDS) for odds in reports if odds > 0.0
            )[:-1]
            recovered = sum(odds <= 0.0 for odds in reports) >= MIN_RECOVERY_REPORTS and not any(
                odds > 0.0 for odds in reports
            )
            result[box] = PeerEvidence(
                min(MAX_PEER_ODDS, PEER_EVIDENCE_WEIGHT * sum(excess)), recovered
            )
        return result
