"""Membership: the merge of several sources of cache servers ("boxes"). Pure: no I/O, no clock.

Sources may be late, fail or disagree. The latest view of each source is kept apart, and the merged
set follows from the views alone, so that the order in which sources reported doesn't matter. Boxes
are identified by address. Ids come from the best source that gives one. `Box.rule` names the rule
that decided:

    only X          one source names the box, and that source may add
    agreed          several name it; the best rank gives id, zone, kind and start, and the best
                    fresh source with the right to weigh gives the weight
    drain by X      a source with the right says that it drains: applied at once, whatever the
                    others say, until X says otherwise
    gone by X       X reported it as gone or stopped naming it, and outranks all that still name it
    held: fall      X stopped naming more than `most_fall` of its boxes within `fall_ms`: kept for
                    `hold_ms`, and reported
    held: flapping  it came and went FLAP_SUPPRESS times within about a minute: kept until its
                    penalty has decayed
    held: last      no source leaves anything in service: what was last named, up to TOMBSTONE_MS
                    after it went while others served
    fallback X      X counts only while nothing else is in service

A drain, and a box that is reported as gone by name, are never held: the rule on drains takes
precedence over every guard. Only boxes that a source has stopped naming are held. A removal by X
applies only where X may remove, and only against sources of worse rank. It ends when such a source
names the box anew (not if X reported it as gone by name: a drained box that DNS drops and names
again is still gone) or after TOMBSTONE_MS. A source that failed or is stale keeps its boxes and its
drains, and loses its influence on weights.

The guard against falls is that of Envoy's panic threshold and of the self-preservation of Consul
and Eureka, applied to each source. Flap damping is that of RFC 2439 with the opposite effect: a
flapping box is kept. Wrongly keeping a box costs one refused dial, after which health checks avoid
it, and wrongly removing it costs its cache. The cost is that a box that is gone is tried for up to
MAX_FLAP_PENALTY halvings of its penalty, some 80 s at the longest.

Memory: for each source MAX_BOXES views, as many removals, and penalties of at least
MIN_FLAP_PENALTY.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Literal, Optional

from forkweir.settings import Server

Address = tuple[str, int]
BoxState = Literal["in", "draining", "gone"]

MAX_BOXES = 4_096  # of one source
# How long a removal applies to sources that go on naming the box.
TOMBSTONE_MS = 600_000.0
# Each removal adds 1 to a box's penalty, which halves in FLAP_HALF_LIFE_MS. A box is kept from
# FLAP_SUPPRESS on until the penalty has decayed to FLAP_REUSE (the suppress and reuse thresholds of
# RFC 2439).
FLAP_SUPPRESS = 3.0
FLAP_REUSE = 1.0
MAX_FLAP_PENALTY = 6.0
FLAP_HALF_LIFE_MS = 30_000.0
# Lower penalties are forgotten.
MIN_FLAP_PENALTY = 0.05


@dataclass(frozen=True, slots=True)
class Rights:
    """What a source may do. The smaller rank goes first; for equal ranks the name decides."""

    rank: int = 0
    add: bool = True
    drain: bool = True
    remove: bool = True
    weigh: bool = True
    fallback: bool = False  # counts only while no other source has anything in service
    stale_ms: float = float("inf")  # a source without an update for longer is stale


@dataclass(frozen=True, slots=True)
class Guard:
    """Guard against a fall, in which a source stops naming many boxes at once.

    Where more than the share most_fall (0 to 1) of its boxes disappear within fall_ms, they are
    kept for hold_ms.
    """

    most_fall: float = 0.5
    fall_ms: float = 10_000.0
    hold_ms: float = 30_000.0


@dataclass(frozen=True, slots=True)
class Claim:
    """What a source says about the box at an address.

    An empty name or zone, a weight of None and a start of 0 mean that the source doesn't say.
    """

    address: Address
    state: BoxState = "in"
    name: str = ""
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: Optional[float] = None
    priority: int = 0
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Box:
    """A box of the merged set.

    states: each source that names the box, with the state that it gives (in, draining or held).
    """

    server: Server
    address: Address
    priority: int
    rule: str
    states: tuple[tuple[str, str], ...]
    since_ms: float  # since when the deciding source has named it without interruption


@dataclass(slots=True)
class _HeldBox:
    """A box that is kept although its source no longer names it."""

    claim: Claim
    until: float
    reason: str
    since: float


@dataclass(slots=True)
class _View:
    """The latest view of one source. Times are in ms."""

    rights: Rights
    claims: dict[Address, Claim] = field(default_factory=dict)
    # Since when each box has been named without interruption.
    since: dict[Address, float] = field(default_factory=dict)
    held: dict[Address, _HeldBox] = field(default_factory=dict)
    # When the source removed a box that it had named; oldest first.
    tombstones: dict[Address, float] = field(default_factory=dict)
    # Those of the tombstones that the source reported as gone by name.
    reported_gone: set[Address] = field(default_factory=set)
    # Flap penalty of each box, and as of when.
    penalties: dict[Address, tuple[float, float]] = field(default_factory=dict)
    # When boxes disappeared lately.
    removals_ms: list[float] = field(default_factory=list)
    updated_ms: float = float("-inf")
    failure: str = ""  # the reason while the source fails

    def fresh(self, now: float) -> bool:
        return not self.failure and now - self.updated_ms <= self.rights.stale_ms

    def penalty(self, address: Address, now: float) -> float:
        penalty, at = self.penalties.get(address, (0.0, now))
        return float(penalty * 0.5 ** (max(0.0, now - at) / FLAP_HALF_LIFE_MS))


class Membership:
    """The merged set of all sources."""

    def __init__(self, sources: Mapping[str, Rights], guard: Optional[Guard] = None) -> None:
        self._guard = guard or Guard()
        self._views = {
            name: _View(rights)
            for name, rights in sorted(sources.items(), key=lambda pair: (pair[1].rank, pair[0]))
        }
        self._reports: list[str] = []

    # -- updates from sources ------------------------------------------------------------

    def update(self, source: str, claims: Iterable[Claim], now: float, full: bool = True) -> None:
        """Apply a source's view; raises KeyError for an unknown source.

        full: the view names everything that the source knows; otherwise only what has changed.
        Boxes beyond MAX_BOXES are ignored and reported.
        """
        view = self._views[source]
        named: dict[Address, Claim] = {}
        for claim in claims:
            if claim.address not in named and len(named) >= MAX_BOXES:
                self._reports.append(f"{source}: more than {MAX_BOXES} boxes; the rest is ignored")
                break
            named[claim.address] = claim
        view.updated_ms, view.failure = now, ""
        moved = {claim.name for claim in named.values() if claim.name and claim.state != "gone"}
        missing = [address for address in view.claims if full and address not in named]
        for address in [
            a
            for a in view.held
            if a in named or (view.held[a].claim.name and view.held[a].claim.name in moved)
        ]:
            del view.held[address]
        for address, claim in named.items():
            if claim.state == "gone":
                # This also applies to a box that the source never named: another source may name
                # it.
                self._add_tombstone(view, address, now, reported_gone=True)
                continue
            if address not in view.claims and len(view.claims) >= MAX_BOXES:
                continue
            view.claims[address] = claim
            view.since.setdefault(address, now)
            view.tombstones.pop(address, None)
            view.reported_gone.discard(address)
        self._remove_missing(source, view, missing, moved, now)

    def mark_failed(self, source: str, reason: str) -> None:
        """Record that a source can't be reached or read; its last view stays in force.

        Raises KeyError for an unknown source.
        """
        view = self._views[source]
        if not view.failure:
            self._reports.append(
                f"{source}: failed: {reason}; "
                f"its {len(view.claims)} boxes are kept as last reported"
            )
        view.failure = reason

    def _remove_missing(
        self, source: str, view: _View, missing: list[Address], moved: set[str], now: float
    ) -> None:
        """Remove boxes that a full view no longer names, or hold them on a fall or a flap."""
        guard = self._guard
        view.removals_ms = [at for at in view.removals_ms if now - at < guard.fall_ms]
        disappeared = []
        for address in missing:
            claim = view.claims[address]
            if claim.state == "draining" or (claim.name and claim.name in moved):
                self._add_tombstone(view, address, now)  # it drained or moved to a new address
            else:
                disappeared.append(address)
        peak = len(view.claims) + len(view.removals_ms)
        held = disappeared and len(disappeared) + len(view.removals_ms) > guard.most_fall * peak
        if held:
            hold_s = guard.hold_ms / 1000.0
            self._reports.append(
                f"{source}: {len(disappeared)} of {len(view.claims)} boxes fell out at once; "
                f"held for {hold_s:g} s"
            )
        for address in disappeared:
            view.removals_ms.append(now)
            claim, since = view.claims[address], view.since[address]
            self._add_tombstone(view, address, now)
            penalty = min(MAX_FLAP_PENALTY, view.penalty(address, now) + 1.0)
            view.penalties[address] = penalty, now
            if held:
                view.held[address] = _HeldBox(claim, now + guard.hold_ms, "fall", since)
            elif penalty >= FLAP_SUPPRESS:
                view.held[address] = _HeldBox(claim, float("inf"), "flapping", since)
                self._reports.append(f"{source}: {_text(address)} is flapping; kept")
            else:
                # Used only if nothing else is left in service.
                view.held[address] = _HeldBox(claim, now, "last", since)
        while len(view.held) > MAX_BOXES:
            del view.held[next(iter(view.held))]
        for address in [a for a in view.penalties if view.penalty(a, now) < MIN_FLAP_PENALTY]:
            del view.penalties[address]
        while len(view.penalties) > MAX_BOXES:
            del view.penalties[next(iter(view.penalties))]

    def _add_tombstone(
        self, view: _View, address: Address, now: float, reported_gone: bool = False
    ) -> None:
        """Remove a box from a view and leave a tombstone for it."""
        view.claims.pop(address, None)
        view.since.pop(address, None)
        view.held.pop(address, None)
        view.tombstones.pop(address, None)
        view.tombstones[address] = now
        view.reported_gone.discard(address)
        if reported_gone:
            view.reported_gone.add(address)
        while len(view.tombstones) > MAX_BOXES:
            oldest = next(iter(view.tombstones))
            del view.tombstones[oldest]
            view.reported_gone.discard(oldest)

    # -- the merged set ------------------------------------------------------------------

    def merge(self, now: float) -> list[Box]:
        """Return the boxes that are in service or draining, ordered by address."""
        self._expire(now)
        boxes = self._boxes(
            now,
            [name for name, view in self._views.items() if not view.rights.fallback],
            last=False,
        )
        if not _in_service(boxes):
            boxes = self._boxes(now, list(self._views), last=False)
        if not _in_service(boxes):
            return self._boxes(now, list(self._views), last=True)
        for view in self._views.values():
            # Others serve, so boxes whose time is over are dropped. A box of long ago must not come
            # back when the set runs empty later.
            for address in [a for a, held in view.held.items() if held.until + TOMBSTONE_MS <= now]:
                del view.held[address]
        return boxes

    def _expire(self, now: float) -> None:
        """End holds of boxes that no longer flap, and drop old tombstones."""
        for view in self._views.values():
            for address, held in view.held.items():
                if held.reason == "flapping" and view.penalty(address, now) < FLAP_REUSE:
                    held.until = min(held.until, now)
            for address in [a for a, at in view.tombstones.items() if now - at >= TOMBSTONE_MS]:
                del view.tombstones[address]
                view.reported_gone.discard(address)

    def _boxes(self, now: float, names: list[str], last: bool) -> list[Box]:
        """Return the boxes that these sources give.

        last: nothing else is left in service, so boxes whose hold is over count as well.
        """
        addresses: dict[Address, None] = {}
        for name in names:
            view = self._views[name]
            addresses.update(dict.fromkeys(view.claims))
            addresses.update({a: None for a, held in view.held.items() if last or held.until > now})
        boxes: list[Box] = []
        taken: set[str] = set()
        for address in sorted(addresses):
            box = self._box(address, names, now, last, taken)
            if box is not None:
                taken.add(box.server.name)
                boxes.append(box)
        return boxes

    def _box(
        self, address: Address, names: list[str], now: float, last: bool, taken: set[str]
    ) -> Optional[Box]:
        """Return the merged box at an address; None where no source keeps it in the set.

        taken: names of the boxes merged so far.
        """
        statements: list[tuple[str, Claim, float, str]] = []  # source, claim, since, state
        # The best rank that removed the box, and when: sources that have named it since before then
        # don't count.
        removed: Optional[tuple[int, float]] = None
        # A drain is applied whichever sources count.
        draining_source = next(
            (
                n
                for n, v in self._views.items()
                if v.rights.drain and _state(v, address) == "draining"
            ),
            "",
        )
        for name in names:  # best rank first
            view = self._views[name]
            claim, held = view.claims.get(address), view.held.get(address)
            if claim is not None:
                since = view.since[address]
                if (
                    draining_source != name
                    and removed is not None
                    and removed[0] < view.rights.rank
                    and since <= removed[1]
                ):
                    continue
                statements.append((name, claim, since, claim.state))
            elif held is not None and (last or held.until > now):
                if removed is None:
                    statements.append(
                        (
                            name,
                            held.claim,
                            held.since,
                            f"held: {held.reason if held.until > now else 'last'}",
                        )
                    )
            elif view.rights.remove and address in view.tombstones and removed is None:
                removed = (
                    view.rights.rank,
                    float("inf") if address in view.reported_gone else view.tombstones[address],
                )
        if not any(self._views[name].rights.add for name, *_ in statements):
            return None
        source, first, since, state = statements[0]
        rule = (
            f"drain by {draining_source}"
            if draining_source
            else state
            if state.startswith("held")
            else "agreed"
            if len(statements) > 1
            else f"only {source}"
        )
        if rule.startswith("only") and self._views[source].rights.fallback:
            rule = f"fallback {source}"
        name = next(
            (claim.name for _, claim, _, _ in statements if claim.name and claim.name not in taken),
            "",
        )
        weights = [
            c.weight
            for n, c, _, _ in statements
            if c.weight is not None and self._views[n].rights.weigh and self._views[n].fresh(now)
        ]
        server = Server(
            name=name or _text(address),
            zone=next((claim.zone for _, claim, _, _ in statements if claim.zone), ""),
            kind=next((claim.kind for _, claim, _, _ in statements if claim.kind), ""),
            cell=next((claim.cell for _, claim, _, _ in statements if claim.cell), 0),
            state="draining" if draining_source else "in",
            weight=weights[0] if weights else 1.0,
            started_ms=next(
                (claim.started_ms for _, claim, _, _ in statements if claim.started_ms), 0.0
            ),
        )
        priority = next((claim.priority for _, claim, _, _ in statements if claim.priority), 0)
        return Box(
            server,
            address,
            priority,
            rule,
            tuple((n, state) for n, _, _, state in statements),
            since,
        )

    def next_change_ms(self, now: float) -> Optional[float]:
        """Return when the merged set may next change without an update.

        None where nothing is held or removed.
        """
        held = [
            held for view in self._views.values() for held in view.held.values() if held.until > now
        ]
        times = [now + 1_000.0 if one.reason == "flapping" else one.until for one in held]
        times += [
            at + TOMBSTONE_MS for view in self._views.values() for at in view.tombstones.values()
        ]
        return min(times, default=None)

    # -- for operators -------------------------------------------------------------------

    def take_reports(self) -> list[str]:
        """Return and clear the messages on boxes that were held, kept or ignored."""
        reports, self._reports = self._reports, []
        return reports

    def source_status(self, now: float) -> list[tuple[str, str, float, int, int]]:
        """Return the name, status, age in ms, boxes and held boxes of each source, best rank first.

        The status is "never heard", "fresh", "stale" or the reason of a failure.
        """
        rows = []
        for name, view in self._views.items():
            never = view.updated_ms == float("-inf")
            status = view.failure or (
                "never heard" if never else "fresh" if view.fresh(now) else "stale"
            )
            rows.append(
                (
                    name,
                    status,
                    -1.0 if never else now - view.updated_ms,
                    len(view.claims),
                    len(view.held),
                )
            )
        return rows


def _in_service(boxes: list[Box]) -> bool:
    return any(box.server.state == "in" for box in boxes)


def _state(view: _View, address: Address) -> str:
    claim = view.claims.get(address)
    return claim.state if claim is not None else ""


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
