"""Which cache servers there are, out of several sources that may be late, fail, or disagree. Pure, no I/O, no clock.

Each source's latest view is kept apart, and the merged set follows from the views alone, so that it does not matter in which order
sources spoke. Boxes are told apart by address; ids come from the best source that names one. The rules, by the names that `rule` gives:

    only X          one source names it, and that source may add
    agreed          several name it; the best rank gives id, zone, kind and start, the best fresh one with the right to weigh the weight
    drain by X      any source with the right says that it drains: obeyed at once, whatever the others say, until X says otherwise
    gone by X       X said so in so many words, or no longer names what it named, and goes before all that still name it
    held: fall      X stopped naming more than `most_fall` of its boxes within `fall_ms`: kept for `hold_ms`, and reported
    held: flapping  it came and went FLAP_AT times within about a minute: kept until its penalty has faded
    held: last      no source would leave anything in service: what was last named, up to TOMB_MS after it went while others served
    fallback X      X counts only while nothing else is in service

A drain, and a box that is said to be gone by name, are never held: the rule on drains goes before every guard. What is held is what a
source does not name any more. A removal by X holds against worse ranks only, only where X may remove, and until they name the box anew
(not where X said so by name: a drained box that DNS drops and names again is still gone) or TOMB_MS have passed. A source that failed or
is stale keeps its boxes and its drains, and loses its say in weights.

The fall guard is that of Envoy's panic threshold and of Consul's and Eureka's self-preservation, per source; the damping of flaps is that
of RFC 2439 with the sense turned round: a flapping box is kept, as what is kept wrongly costs one refused dial (health avoids it then),
and what is removed wrongly its cache. Its cost: FLAP_MOST halvings, some 80 s at the longest, in which a box that is gone is tried.

Bounds: MOST_BOXES views of each source, as many removals remembered, and no penalty under PENALTY_LEAST.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Literal, Optional

from forkweir.settings import Server

Address = tuple[str, int]
BoxState = Literal["in", "draining", "gone"]

MAX_BOXES = 4_096  # of one source
TOMBSTONE_MS = 600_000.0  # how long a removal holds against sources that go on naming the box
FLAP_SUPPRESS = 3.0  # removals, each fading by half in FLAP_HALF_MS, from which on a box is kept,
FLAP_REUSE = 1.0  # until so much is left
MAX_FLAP_PENALTY = 6.0  # and no more is ever counted
FLAP_HALF_LIFE_MS = 30_000.0
MIN_FLAP_PENALTY = 0.05


@dataclass(frozen=True, slots=True)
class Rights:
    """What a source may do. rank: the smaller goes first; of equal ranks the name decides."""

    rank: int = 0
    add: bool = True
    drain: bool = True
    remove: bool = True
    weigh: bool = True
    fallback: bool = False  # counts only while no other source has anything in service
    stale_ms: float = float("inf")  # without a word for so long it is stale


@dataclass(frozen=True, slots=True)
class Guard:
    """When a fall of one source is held back. most_fall: a share of its boxes, 0 to 1."""

    most_fall: float = 0.5
    fall_ms: float = 10_000.0
    hold_ms: float = 30_000.0


@dataclass(frozen=True, slots=True)
class Claim:
    """What a source says of the box at an address. Absent id, weight or start: it says nothing of that."""

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
    """A box of the merged set. said: each source that names it, and how (in, draining, held)."""

    server: Server
    address: Address
    priority: int
    rule: str
    states: tuple[tuple[str, str], ...]
    since_ms: float  # when the source that decides first named it without a break


@dataclass(slots=True)
class _Held:
    claim: Claim
    until: float
    reason: str
    since: float


@dataclass(slots=True)
class _View:
    rights: Rights
    claims: dict[Address, Claim] = field(default_factory=dict)
    since: dict[Address, float] = field(default_factory=dict)  # named from then on without a break
    held: dict[Address, _Held] = field(default_factory=dict)
    tombstones: dict[Address, float] = field(
        default_factory=dict
    )  # when it removed what it had named, oldest first
    by_name: set[Address] = field(default_factory=set)  # of these, what it said to be gone by name
    penalties: dict[Address, tuple[float, float]] = field(
        default_factory=dict
    )  # how much, as of when
    removals_ms: list[float] = field(default_factory=list)  # when boxes lately fell out
    updated_ms: float = float("-inf")
    failure: str = ""  # why, while it fails

    def fresh(self, now: float) -> bool:
        return not self.failure and now - self.updated_ms <= self.rights.stale_ms

    def penalty(self, address: Address, now: float) -> float:
        much, at = self.penalties.get(address, (0.0, now))
        return float(much * 0.5 ** (max(0.0, now - at) / FLAP_HALF_LIFE_MS))


class Membership:
    """The merged set of all sources."""

    def __init__(self, sources: Mapping[str, Rights], guard: Optional[Guard] = None) -> None:
        self._guard = guard or Guard()
        self._views = {
            name: _View(rights)
            for name, rights in sorted(sources.items(), key=lambda pair: (pair[1].rank, pair[0]))
        }
        self._reports: list[str] = []

    # -- what sources say ----------------------------------------------------------------

    def update(self, source: str, claims: Iterable[Claim], now: float, full: bool = True) -> None:
        """A source's view. full: it names everything that it knows of; else only what changed. KeyError for an unknown source.

        More than MOST_BOXES are cut off, and reported.
        """
        view = self._views[source]
        named: dict[Address, Claim] = {}
        for claim in claims:
            if claim.address not in named and len(named) >= MAX_BOXES:
                self._reports.append(f"{source}: more than {MAX_BOXES} boxes; the rest is left out")
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
                self._bury(
                    view, address, now, by_name=True
                )  # also one that it never named: another source may
                continue
            if address not in view.claims and len(view.claims) >= MAX_BOXES:
                continue
            view.claims[address] = claim
            view.since.setdefault(address, now)
            view.tombstones.pop(address, None)
            view.by_name.discard(address)
        self._fall(source, view, missing, moved, now)

    def mark_failed(self, source: str, why: str) -> None:
        """A source can't be asked or made no sense: what it last said stays. KeyError for an unknown one."""
        view = self._views[source]
        if not view.failure:
            self._reports.append(
                f"{source}: failed: {why}; {len(view.claims)} boxes stay as it last named them"
            )
        view.failure = why

    def _fall(
        self, source: str, view: _View, missing: list[Address], moved: set[str], now: float
    ) -> None:
        """A full view no longer names some boxes: they go, or are held where too many fall or one flaps."""
        guard = self._guard
        view.removals_ms = [at for at in view.removals_ms if now - at < guard.fall_ms]
        sudden = []
        for address in missing:
            claim = view.claims[address]
            if claim.state == "draining" or (claim.name and claim.name in moved):
                self._bury(view, address, now)  # it had said so, or the box is elsewhere now
            else:
                sudden.append(address)
        peak = len(view.claims) + len(view.removals_ms)
        held = sudden and len(sudden) + len(view.removals_ms) > guard.most_fall * peak
        if held:
            hold_s = guard.hold_ms / 1000.0
            self._reports.append(
                f"{source}: {len(sudden)} of {len(view.claims)} boxes fell out at once; held for {hold_s:g} s"
            )
        for address in sudden:
            view.removals_ms.append(now)
            claim, since = view.claims[address], view.since[address]
            self._bury(view, address, now)
            penalty = min(MAX_FLAP_PENALTY, view.penalty(address, now) + 1.0)
            view.penalties[address] = penalty, now
            if held:
                view.held[address] = _Held(claim, now + guard.hold_ms, "fall", since)
            elif penalty >= FLAP_SUPPRESS:
                view.held[address] = _Held(claim, float("inf"), "flapping", since)
                self._reports.append(f"{source}: {_text(address)} comes and goes; kept")
            else:
                view.held[address] = _Held(
                    claim, now, "last", since
                )  # of use only if nothing else is left
        while len(view.held) > MAX_BOXES:
            del view.held[next(iter(view.held))]
        for address in [a for a in view.penalties if view.penalty(a, now) < MIN_FLAP_PENALTY]:
            del view.penalties[address]
        while len(view.penalties) > MAX_BOXES:
            del view.penalties[next(iter(view.penalties))]

    def _bury(self, view: _View, address: Address, now: float, by_name: bool = False) -> None:
        view.claims.pop(address, None)
        view.since.pop(address, None)
        view.held.pop(address, None)
        view.tombstones.pop(address, None)
        view.tombstones[address] = now
        view.by_name.discard(address)
        if by_name:
            view.by_name.add(address)
        while len(view.tombstones) > MAX_BOXES:
            oldest = next(iter(view.tombstones))
            del view.tombstones[oldest]
            view.by_name.discard(oldest)

    # -- the merged set ------------------------------------------------------------------

    def merge(self, now: float) -> list[Box]:
        """The set as it is now, by address. In service, or draining; what is gone is not in it."""
        self._expire(now)
        ordinary = self._boxes(
            now,
            [name for name, view in self._views.items() if not view.rights.fallback],
            last=False,
        )
        if not _in_service(ordinary):
            ordinary = self._boxes(now, list(self._views), last=False)
        if not _in_service(ordinary):
            return self._boxes(now, list(self._views), last=True)
        for view in self._views.values():
            # Others serve: what was held has had its time (guards against a box of long ago that comes back when the set runs empty).
            for address in [a for a, held in view.held.items() if held.until + TOMBSTONE_MS <= now]:
                del view.held[address]
        return ordinary

    def _expire(self, now: float) -> None:
        for view in self._views.values():
            for address, held in view.held.items():
                if held.reason == "flapping" and view.penalty(address, now) < FLAP_REUSE:
                    held.until = min(held.until, now)
            for address in [a for a, at in view.tombstones.items() if now - at >= TOMBSTONE_MS]:
                del view.tombstones[address]
                view.by_name.discard(address)

    def _boxes(self, now: float, names: list[str], last: bool) -> list[Box]:
        """The boxes that these sources make. last: also what was held for its time, as nothing else is left in service."""
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
        says: list[tuple[str, Claim, float, str]] = []  # source, claim, since, how
        removed: Optional[tuple[int, float]] = (
            None  # by the best rank that removed it: rank, until when naming it was before that
        )
        drained = next(
            (
                n
                for n, v in self._views.items()
                if v.rights.drain and _state(v, address) == "draining"
            ),
            "",
        )  # whoever counts
        for name in names:  # best first
            view = self._views[name]
            claim, held = view.claims.get(address), view.held.get(address)
            if claim is not None:
                since = view.since[address]
                if (
                    drained != name
                    and removed is not None
                    and removed[0] < view.rights.rank
                    and since <= removed[1]
                ):
                    continue
                says.append((name, claim, since, claim.state))
            elif held is not None and (last or held.until > now):
                if removed is None:
                    says.append(
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
                    float("inf") if address in view.by_name else view.tombstones[address],
                )
        if not any(self._views[name].rights.add for name, *_ in says):
            return None
        source, first, since, how = says[0]
        rule = (
            f"drain by {drained}"
            if drained
            else how
            if how.startswith("held")
            else "agreed"
            if len(says) > 1
            else f"only {source}"
        )
        if rule.startswith("only") and self._views[source].rights.fallback:
            rule = f"fallback {source}"
        name = next(
            (claim.name for _, claim, _, _ in says if claim.name and claim.name not in taken), ""
        )
        weights = [
            c.weight
            for n, c, _, _ in says
            if c.weight is not None and self._views[n].rights.weigh and self._views[n].fresh(now)
        ]
        server = Server(
            name=name or _text(address),
            zone=next((claim.zone for _, claim, _, _ in says if claim.zone), ""),
            kind=next((claim.kind for _, claim, _, _ in says if claim.kind), ""),
            cell=next((claim.cell for _, claim, _, _ in says if claim.cell), 0),
            state="draining" if drained else "in",
            weight=weights[0] if weights else 1.0,
            started_ms=next((claim.started_ms for _, claim, _, _ in says if claim.started_ms), 0.0),
        )
        priority = next((claim.priority for _, claim, _, _ in says if claim.priority), 0)
        return Box(server, address, priority, rule, tuple((n, how) for n, _, _, how in says), since)

    def next_change_ms(self, now: float) -> Optional[float]:
        """When the merged set may next change by itself; None where nothing is held, removed or faded."""
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
        """What was held back, kept or lost since this was last asked."""
        reports, self._reports = self._reports, []
        return reports

    def source_status(self, now: float) -> list[tuple[str, str, float, int, int]]:
        """Of each source, best first: its name, how it is (never heard, fresh, stale, or why it failed), its age in ms, boxes, held."""
        rows = []
        for name, view in self._views.items():
            never = view.updated_ms == float("-inf")
            how = view.failure or (
                "never heard" if never else "fresh" if view.fresh(now) else "stale"
            )
            rows.append(
                (
                    name,
                    how,
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
