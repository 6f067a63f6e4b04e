"""Scenario scripts: the size of the simulated system and the faults injected into it.

A script is read from TOML or drawn from a seed (docs/simulation.md). The kind of a drawn
scenario follows from the range that its seed lies in.
"""

from __future__ import annotations

import random
import tomllib
from collections.abc import Iterator
from typing import Annotated, Literal

import msgspec

from corkshift.cli.schema import Fault as SchemaError
from corkshift.cli.schema import Table, validate
from testbed.machine.faults import CALL_ERRORS as CALL_TABLE
from testbed.machine.faults import Call

SmallCount = Annotated[int, msgspec.Meta(ge=1, le=64)]
LargeCount = Annotated[int, msgspec.Meta(ge=1, le=250)]
Index = Annotated[int, msgspec.Meta(ge=0, lt=250)]
Fraction = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=600_000.0)]

Kind = Literal[
    "box_slow", "box_hang", "box_kill", "box_rename", "box_quick_restart", "box_spoil",
    "box_errors", "box_turn_away", "box_vanish", "box_drain",
    "node_kill", "node_pause", "node_term", "node_hup", "node_descriptors",
    "link_loss", "link_cut", "link_slow", "reset", "trip_request", "trip_answer", "trip_client",
    "discovery_silent", "discovery_late", "discovery_wrong", "discovery_down",
    "book_slow", "book_down", "clock_jump", "rude",
    "box_lie", "flush", "load_step",
    "discovery_spoil", "discovery_refuse", "discovery_mute", "discovery_drop",
    "dns_how", "dns_stale", "dns_odd", "node_blank",
    "peer_cut", "peer_oneway", "peer_loss", "peer_late", "peer_double", "peer_junk",
    "node_join", "node_other", "node_calls",
]  # fmt: skip
# Faults that every kind of drawn scenario may hold; the other kinds have their own generators.
BASIC_KINDS: tuple[Kind, ...] = Kind.__args__[:30]  # type: ignore[attr-defined]
# Faults of discovery during which a node misses list changes.
DISCOVERY_OUTAGES: tuple[Kind, ...] = (
    "discovery_refuse",
    "discovery_mute",
    "discovery_down",
    "discovery_drop",
    "discovery_silent",
)
# Seeds from this one on draw hard scenarios, in which many components fail at once.
HARD_FIRST_SEED = 20_001
# Seeds from this one on draw scenarios in which discovery sends corrupt list lines.
CORRUPT_LIST_FIRST_SEED = 10_000_001
# Seeds from this one on also corrupt a list line after the watch has already lost a line, or
# while it is in the middle of one.
CORRUPT_PAIR_FIRST_SEED = 10_100_001
# Seeds from this one on draw scenarios in which nodes also use DNS, and sources fail and disagree.
DNS_FIRST_SEED = 20_000_001
# Seeds from this one on draw scenarios in which about a third of the clients leave before
# their answers.
LEAVING_FIRST_SEED = 40_000_001
# Seeds from this one on draw scenarios in which system calls of the nodes fail.
SYSTEM_CALLS_FIRST_SEED = 50_000_001
# Seeds from this one on draw scenarios of many nodes that form a tier over failing links.
TIER_FIRST_SEED = 30_000_001
# Values of `discovery_wrong`: a line that ends early, and a line that is not a list.
PARTIAL_LINE, NOT_A_LIST = 7.0, 0.0
# Index of "framing" in `emulators.CORRUPTION_KINDS`.
FRAMING_CORRUPTION = 5
# Faults of the links between nodes.
NET_KINDS: tuple[Kind, ...] = (
    "peer_cut",
    "peer_oneway",
    "peer_loss",
    "peer_late",
    "peer_double",
)
# What the target of each kind of fault is: a node, a box, or something else.
TARGET_TYPES: dict[str, str] = {
    kind: "node"
    if kind.startswith(("node", "clock", "rude", "trip_client", "peer_junk"))
    else "box"
    if kind.startswith(("box", "trip"))
    else "any"
    for kind in Kind.__args__  # type: ignore[attr-defined]
}


class InvalidScript(Exception):
    """A script is not valid; `errors` holds every error with its path."""

    def __init__(self, errors: list[SchemaError]) -> None:
        super().__init__("\n".join(map(str, errors)))
        self.errors = errors


class World(Table, frozen=True, kw_only=True):
    """The `[world]` table: sizes, load and network of the simulated system."""

    seconds: Annotated[float, msgspec.Meta(gt=0.0, le=3_600.0)] = 4.0
    nodes: LargeCount = 2
    boxes: LargeCount = 5
    # CPU cores of each box.
    cores: SmallCount = 2
    requests_per_s: Annotated[float, msgspec.Meta(gt=0.0, le=5_000.0)] = 60.0
    keys: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 120
    latency_us: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 250
    jitter_us: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 100
    # Bytes per second of each link; 0 means unlimited.
    bandwidth: Annotated[int, msgspec.Meta(ge=0)] = 0
    descriptors: Annotated[int, msgspec.Meta(ge=32, le=65_536)] = 256
    # Values of the request classes: all equal, or those of the site.
    worths: Literal["equal", "site"] = "equal"
    # Time within which a node must poll discovery again.
    ask_within_ms: Annotated[float, msgspec.Meta(gt=0.0, le=60_000.0)] = 2_000.0
    # Sources of the box list: discovery alone, or discovery and DNS SRV records.
    sources: Literal["list", "dns"] = "list"
    # Whether nodes form a tier; "on" enables all of its functions, other values a single one.
    tier: Literal["off", "on", "shares", "fetches", "line", "signals"] = "off"
    # Fraction of requests whose clients leave before the answer.
    leaving: Fraction = 0.03
    # Longest time after which such a client leaves.
    leave_ms: Milliseconds = 60.0
    # Some of them leave by a reset, or after they have sent the start of another request.
    leave_oddly: bool = False
    # Clients leave together at the next multiple of this; 0 means each at its own time.
    leave_together_ms: Milliseconds = 0.0
    # `period_ms` of `[tier]` in the operator's file of the nodes.
    tier_period_ms: Annotated[float, msgspec.Meta(ge=50.0, le=10_000.0)] = 500.0


class Fault(Table, frozen=True, kw_only=True):
    """One `[[fault]]`: kind, time, target, duration and size of an injected fault."""

    at_ms: Milliseconds
    kind: Kind
    # Index of the box or node.
    target: Index = 0
    # Replaces `target` for faults of nodes: all of these nodes. For faults of the links between
    # nodes: the nodes on one side; empty for all links.
    nodes: list[Index] = []
    # Duration; 0 means permanent, where the fault has a duration at all.
    for_ms: Milliseconds = 0.0
    # A fraction, factor, count or byte offset, depending on the kind.
    value: float = 0.0

    def cross_field_faults(self) -> Iterator[SchemaError]:
        if self.kind in ("link_loss", "link_cut") and not self.for_ms:
            yield SchemaError(
                "for_ms", f"a {self.kind} must end, or segments in transit are never delivered"
            )
        if self.kind in NET_KINDS and not self.for_ms:
            yield SchemaError("for_ms", f"a {self.kind} must end")
        if self.kind in ("peer_cut", "peer_oneway") and not self.nodes:
            yield SchemaError("nodes", f"a {self.kind} needs the nodes of one side")
        if self.kind in ("peer_loss", "peer_double") and not 0.0 < self.value <= 1.0:
            yield SchemaError("value", f"a share over 0 and up to 1, got {self.value:g}")
        if self.kind == "link_loss" and not 0.0 <= self.value <= 0.5:
            yield SchemaError(
                "value", f"a share of lost segments from 0 to 0.5, got {self.value:g}"
            )


class Script(Table, frozen=True, kw_only=True):
    """A script: the system and its faults."""

    world: World = World()
    fault: list[Fault] = []

    def cross_field_faults(self) -> Iterator[SchemaError]:
        for n, fault in enumerate(self.fault):
            limit = {"node": self.world.nodes, "box": self.world.boxes}.get(
                TARGET_TYPES[fault.kind], 64
            )
            if fault.target >= limit:
                yield SchemaError(
                    f"fault[{n}].target",
                    f"the world has only {limit} of them, numbered from 0, got {fault.target}",
                )
            for m, node in enumerate(fault.nodes):
                if node >= self.world.nodes:
                    yield SchemaError(
                        f"fault[{n}].nodes[{m}]",
                        f"the world has only {self.world.nodes} of them, "
                        f"numbered from 0, got {node}",
                    )
            if (
                fault.kind in NET_KINDS or fault.kind in ("peer_junk", "node_other")
            ) and self.world.tier == "off":
                yield SchemaError(
                    f"fault[{n}].kind", f'a {fault.kind} needs tier = "on" in [world]'
                )


def parse_script(text: bytes) -> Script:
    """Parse a script; raises InvalidScript with every error and its path."""
    try:
        data = tomllib.loads(text.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidScript([SchemaError("", f"not TOML: {error}")]) from None
    if errors := validate(Script, data):
        raise InvalidScript(errors)
    return msgspec.convert(data, Script)


def split_by_node(fault: Fault) -> list[Fault]:
    """Split a fault of several nodes into one fault per node; other faults are returned as is."""
    if not fault.nodes or TARGET_TYPES[fault.kind] != "node":
        return [fault]
    return [msgspec.structs.replace(fault, target=node, nodes=[]) for node in fault.nodes]


def to_toml(script: Script) -> str:
    """Write a script as TOML; `parse_script` reads an equal script back."""
    lines = ["[world]"]
    lines += [
        f"{key} = {_toml_value(value)}"
        for key, value in msgspec.structs.asdict(script.world).items()
    ]
    for fault in script.fault:
        lines += ["", "[[fault]]"]
        lines += [
            f"{key} = {_toml_value(value)}" for key, value in msgspec.structs.asdict(fault).items()
        ]
    return "\n".join(lines) + "\n"


def _toml_value(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else repr(value)


def draw(seed: int) -> Script:
    """Draw the script of a seed.

    Seeds below HARD_FIRST_SEED draw a small system with up to seven overlapping faults; the
    `*_FIRST_SEED` constants name the other kinds.
    """
    kinds = (
        (SYSTEM_CALLS_FIRST_SEED, _draw_system_calls),
        (LEAVING_FIRST_SEED, _draw_leaving_clients),
        (TIER_FIRST_SEED, _draw_tier),
        (DNS_FIRST_SEED, _draw_dns),
        (CORRUPT_LIST_FIRST_SEED, _draw_corrupt_lists),
        (HARD_FIRST_SEED, _draw_hard),
    )
    return next((kind for first, kind in kinds if seed >= first), _draw_basic)(seed)


def _draw_system_calls(seed: int) -> Script:
    """Draw a basic or leaving-clients scenario in which system calls of the nodes fail.

    A call fails once, or for 50 ms, 0.4 s or 2 s; some fail while the node shuts down.
    """
    rng = random.Random(f"calls/{seed}")
    base = rng.choice((_draw_basic, _draw_basic, _draw_leaving_clients))(seed)
    world = msgspec.structs.replace(base.world, seconds=max(3.0, base.world.seconds))
    faults = list(base.fault)[: rng.choice((0, 2, 4))]
    for _ in range(rng.choice((1, 2, 3))):
        which = rng.randrange(len(CALL_TABLE))
        call = CALL_TABLE[which][0]
        longest = {Call.ACCEPT: 400, Call.SEND: 50, Call.RECV: 50}.get(call, 2_000)
        for_ms = float(rng.choice([span for span in (0, 50, 400, 2_000) if span <= longest]))
        at, node = rng.uniform(100.0, world.seconds * 900.0), rng.randrange(world.nodes)
        if rng.random() < 0.2:
            faults.append(Fault(at_ms=round(max(0.0, at - 20.0), 3), kind="node_term", target=node))
        faults.append(
            Fault(
                at_ms=round(at, 3),
                kind="node_calls",
                target=node,
                for_ms=for_ms,
                value=float(which),
            )
        )
    return Script(world=world, fault=sorted(faults, key=lambda fault: fault.at_ms))


def _draw_leaving_clients(seed: int) -> Script:
    """Draw a scenario in which many clients leave before their answers.

    Meanwhile nodes are paused or cannot accept connections, dials are slow, and boxes hang.
    """
    rng = random.Random(f"leaving/{seed}")
    world = World(
        seconds=rng.choice((2.0, 3.0)),
        nodes=rng.choice((1, 1, 2)),
        boxes=rng.randint(2, 6),
        requests_per_s=float(rng.choice((60, 100, 200))),
        keys=rng.choice((20, 120)),
        latency_us=rng.choice((50, 250, 2_000)),
        jitter_us=rng.choice((0, 100)),
        descriptors=rng.choice((48, 64, 256)),
        leaving=rng.choice((0.2, 0.4)),
        leave_ms=float(rng.choice((20, 60, 400))),
        leave_oddly=rng.random() < 0.7,
        leave_together_ms=float(rng.choice((0, 0, 100, 400))),
    )
    faults = []
    for _ in range(rng.choice((1, 2, 3))):
        kind: Kind = rng.choice(
            (
                "node_pause",
                "node_pause",
                "node_descriptors",
                "link_slow",
                "box_hang",
                "box_slow",
                "box_vanish",
                "node_term",
            )
        )
        of = TARGET_TYPES[kind]
        target = rng.randrange(world.nodes if of == "node" else world.boxes)
        value = {"link_slow": rng.choice((40_000.0, 150_000.0)), "box_slow": 20.0}.get(kind, 0.0)
        for_ms = float(rng.choice((200, 450, 700, 1_200)))
        faults.append(
            Fault(
                at_ms=round(rng.uniform(50.0, world.seconds * 800.0), 3),
                kind=kind,
                target=target,
                for_ms=for_ms,
                value=value,
            )
        )
    faults += [_draw_fault(rng, world) for _ in range(rng.choice((0, 0, 1, 2)))]
    return Script(world=world, fault=sorted(faults, key=lambda fault: fault.at_ms))


def _draw_tier(seed: int) -> Script:
    """Draw six to twelve nodes that share tier-wide limits, cold boxes, and node and link faults.

    All of these faults can also be injected into real processes. The tier's period is a fifth of
    the default, so that a scenario covers many leases.
    """
    rng = random.Random(f"tiered/{seed}")
    world = World(
        seconds=rng.choice((5.0, 7.0)),
        nodes=rng.choice((6, 6, 7, 8, 10, 12)),
        boxes=rng.randint(4, 9),
        cores=rng.choice((1, 2)),
        requests_per_s=float(rng.choice((60, 120, 180))),
        keys=rng.choice((20, 120, 400)),
        latency_us=rng.choice((50, 250, 700)),
        jitter_us=rng.choice((0, 100, 300)),
        tier="on",
        tier_period_ms=100.0,
    )
    last = world.seconds * 800.0
    faults = []
    # These boxes are cold while leases are allocated.
    for box in rng.sample(range(world.boxes), rng.randint(1, world.boxes - 1)):
        at = rng.choice((50.0, 1_500.0, rng.uniform(50.0, last)))
        faults.append(
            Fault(
                at_ms=round(at + rng.uniform(0.0, 400.0), 3), kind="box_quick_restart", target=box
            )
        )
    for _ in range(rng.choice((1, 2, 3, 4, 5))):
        at, for_ms = rng.uniform(200.0, last), float(rng.choice((100, 400, 900, 2_000)))
        some = sorted(rng.sample(range(world.nodes), rng.randint(1, world.nodes // 2)))
        kind: Kind = rng.choice(
            (*NET_KINDS, "peer_junk", "node_kill", "node_pause", "node_term", "node_other")
        )
        value = 0.0
        if kind in ("peer_loss", "peer_double"):
            value = rng.choice((0.05, 0.3, 0.6))
        elif kind == "peer_late":
            value = float(rng.choice((50, 500, 3_000)))
        nodes = (
            [] if kind in ("peer_loss", "peer_late", "peer_double") and rng.random() < 0.5 else some
        )
        faults.append(Fault(at_ms=round(at, 3), kind=kind, nodes=nodes, for_ms=for_ms, value=value))
    if rng.random() < 0.4:
        kind = rng.choice(("book_slow", "book_slow", "load_step", "flush", "box_slow"))
        value = {"book_slow": 10.0, "load_step": 3.0, "flush": 0.9, "box_slow": 5.0}[kind]
        target = rng.randrange(world.boxes) if kind == "box_slow" else 0
        faults.append(
            Fault(
                at_ms=round(rng.uniform(200.0, last), 3),
                kind=kind,
                target=target,
                for_ms=1_500.0,
                value=value,
            )
        )
    if rng.random() < 0.3:
        late = sorted(rng.sample(range(world.nodes), rng.randint(1, 3)))
        faults.append(Fault(at_ms=round(rng.uniform(500.0, last), 3), kind="node_join", nodes=late))
    return Script(world=world, fault=sorted(faults, key=lambda fault: fault.at_ms))


def _draw_dns(seed: int) -> Script:
    """Draw a scenario of another kind in which nodes also poll DNS.

    Name servers fail, name removed boxes, and leave out running ones.
    """
    rng = random.Random(f"sourced/{seed}")
    base = rng.choice((_draw_basic, _draw_corrupt_lists, _draw_corrupt_lists, _draw_hard))(seed)
    world = msgspec.structs.replace(base.world, sources="dns", seconds=max(3.0, base.world.seconds))
    faults = list(base.fault)
    for _ in range(rng.choice((1, 2, 3, 4))):
        kind: Kind = rng.choice(("dns_how", "dns_how", "dns_stale", "dns_odd"))
        at, for_ms = (
            rng.uniform(20.0, world.seconds * 900.0),
            float(rng.choice((300, 1_000, 2_500))),
        )
        faults.append(
            Fault(
                at_ms=round(at, 3),
                kind=kind,
                target=rng.randrange(3),
                for_ms=for_ms,
                value=float(rng.randrange(1, 18)),
            )
        )
    # Discovery is unavailable while boxes die and come back.
    if rng.random() < 0.4:
        at, kind = (
            rng.uniform(300.0, 1_500.0),
            rng.choice(("discovery_down", "discovery_silent", "discovery_refuse")),
        )
        faults.append(Fault(at_ms=round(at, 3), kind=kind, for_ms=1_500.0))
        for box in rng.sample(range(world.boxes), rng.randint(1, world.boxes)):
            at_ms = round(at + rng.uniform(0.0, 300.0), 3)
            faults.append(
                Fault(
                    at_ms=at_ms,
                    kind=rng.choice(("box_kill", "box_rename", "box_drain")),
                    target=box,
                    for_ms=600.0,
                )
            )
    # A node has only DNS as a source, and then loses that too.
    if rng.random() < 0.25:
        at, node = rng.uniform(100.0, 600.0), rng.randrange(world.nodes)
        faults.append(Fault(at_ms=round(at, 3), kind="discovery_down", for_ms=10_000.0))
        faults.append(Fault(at_ms=round(at + 10.0, 3), kind="node_blank", target=node))
        how = float(rng.choice((1, 2, 3, 12, 12, 13)))  # silent, servfail, refused, empty, nxdomain
        faults.append(
            Fault(
                at_ms=round(at + rng.uniform(1_000.0, 1_500.0), 3),
                kind="dns_how",
                target=2,
                value=how,
            )
        )
    return Script(world=world, fault=sorted(faults, key=lambda fault: fault.at_ms))


def _draw_corrupt_lists(seed: int) -> Script:
    """Draw a scenario in which discovery corrupts or loses lines while boxes drain and restart."""
    rng = random.Random(f"told/{seed}")
    world = World(
        seconds=rng.choice((2.0, 3.0)),
        nodes=rng.choice((1, 1, 2, 3)),
        boxes=rng.randint(2, 6),
        requests_per_s=float(rng.choice((60, 100, 150))),
        keys=rng.choice((20, 120)),
        latency_us=rng.choice((50, 250, 2_000)),
        jitter_us=rng.choice((0, 100)),
        ask_within_ms=rng.choice((2_000.0, 10_000.0)),
    )
    # By then every watch is open where nodes must poll within 2 s.
    at = rng.uniform(550.0, 1_200.0)
    faults = []
    for box in rng.sample(range(world.boxes), rng.randint(1, max(1, world.boxes - 1))):
        kind: Kind = rng.choice(
            ("box_drain", "box_drain", "box_drain", "box_rename", "box_quick_restart", "box_kill")
        )
        after = rng.choice((0.0, 0.0, rng.uniform(0.0, 3.0), rng.uniform(0.0, 400.0)))
        faults.append(
            Fault(
                at_ms=round(at + after, 3),
                kind=kind,
                target=box,
                for_ms=float(rng.choice((1, 200, 600))),
            )
        )
    for _ in range(rng.choice((1, 1, 2, 3))):
        early = rng.choice((1.0, 1.0, rng.uniform(0.0, 50.0)))
        how, byte = rng.randrange(64), float(rng.randrange(1, 500))
        faults.append(
            Fault(at_ms=round(at - early, 3), kind="discovery_spoil", target=how, value=byte)
        )
    if seed >= CORRUPT_PAIR_FIRST_SEED:
        faults += _draw_earlier_corruption(rng, at)
    elif rng.random() < 0.3:
        faults.append(
            Fault(at_ms=round(at - 0.5, 3), kind="discovery_wrong", value=float(rng.randrange(8)))
        )
    for kind in rng.sample(DISCOVERY_OUTAGES, rng.choice((0, 1, 1, 2))):
        after = rng.choice((-0.2, 0.2, rng.uniform(0.0, 10.0), rng.uniform(0.0, 300.0)))
        faults.append(
            Fault(
                at_ms=round(at + after, 3),
                kind=kind,
                for_ms=float(rng.choice((40, 200, 375, 1_500))),
            )
        )
    if rng.random() < 0.15:
        faults.append(
            Fault(
                at_ms=round(at + rng.uniform(-100.0, 100.0), 3),
                kind="node_hup",
                target=rng.randrange(world.nodes),
            )
        )
    faults += [_draw_fault(rng, world) for _ in range(rng.choice((0, 0, 0, 1, 2)))]
    return Script(world=world, fault=sorted(faults, key=lambda fault: fault.at_ms))


def _draw_earlier_corruption(rng: random.Random, at: float) -> list[Fault]:
    """Draw what a watch has already lost when the line sent at a time is lost.

    That is a partial line, a line that is not a list, or both. Partial lines are spread over every
    state that they put a watch in: just read, in its pause (0.1 s), after the pause, and given up
    (1 s). Earlier scenarios combined a partial line with lost framing in one of a hundred, and
    only half a millisecond apart.
    """
    gap = rng.choice(
        (
            0.5,
            rng.uniform(0.0, 5.0),
            rng.uniform(5.0, 99.0),
            rng.uniform(101.0, 500.0),
            rng.uniform(1_001.0, 1_900.0),
        )
    )
    gap = min(gap, at - 100.0)
    values = rng.choice(
        (
            (PARTIAL_LINE,),
            (PARTIAL_LINE,),
            (NOT_A_LIST,),
            (NOT_A_LIST, PARTIAL_LINE),
            (float(rng.randrange(8)),),
        )
    )
    pair = [
        Fault(at_ms=round(at - gap / n, 3), kind="discovery_wrong", value=value)
        for n, value in enumerate(values, 1)
    ]
    if rng.random() < 0.6:
        noise = rng.randrange(8)
        pair.append(
            Fault(
                at_ms=round(max(0.0, at - gap - 1.0), 3),
                kind="discovery_spoil",
                target=FRAMING_CORRUPTION + 6 * noise,
                value=20.0,
            )
        )
    return pair


def _draw_hard(seed: int) -> Script:
    """Draw a scenario in which many components fail at once.

    Many boxes are cold together; load steps, flushes and a slow order book come on top, with few
    other faults.
    """
    rng = random.Random(f"hard/{seed}")
    world = World(
        seconds=rng.choice((3.0, 4.0, 5.0)),
        nodes=rng.choice((1, 2, 3, 4)),
        boxes=rng.randint(2, 8),
        cores=rng.choice((1, 1, 2)),
        requests_per_s=float(rng.choice((60, 100, 150, 200))),
        keys=rng.choice((20, 120, 400)),
        latency_us=rng.choice((50, 250, 700)),
        jitter_us=rng.choice((0, 100, 300)),
    )
    at = rng.uniform(100.0, 1_200.0)
    many = rng.sample(range(world.boxes), rng.randint(max(1, world.boxes // 2), world.boxes))
    faults = []
    if rng.random() < 0.75:
        for box in many:
            kind: Kind = rng.choice(
                ("box_quick_restart", "box_quick_restart", "box_kill", "box_rename", "box_lie")
            )
            for_ms = float(rng.choice((1, 200, 600, 1_500)))
            faults.append(
                Fault(
                    at_ms=round(at + rng.uniform(0.0, 900.0), 3),
                    kind=kind,
                    target=box,
                    for_ms=for_ms,
                )
            )
    if rng.random() < 0.35:
        value = float(rng.choice((2, 4)))
        faults.append(
            Fault(
                at_ms=round(at + rng.uniform(0.0, 900.0), 3),
                kind="load_step",
                for_ms=1_200.0,
                value=value,
            )
        )
    if rng.random() < 0.3:
        faults.append(
            Fault(
                at_ms=round(at + rng.uniform(0.0, 900.0), 3),
                kind="flush",
                value=rng.choice((0.3, 0.9, 1.0)),
            )
        )
    if rng.random() < 0.3:
        faults.append(
            Fault(
                at_ms=round(at, 3),
                kind="book_slow",
                for_ms=float(rng.choice((600, 2_500))),
                value=10.0,
            )
        )
    if rng.random() < 0.4:
        for_ms = float(rng.choice((200, 600, 1_500)))
        target = rng.randrange(world.nodes)
        faults.append(
            Fault(
                at_ms=round(at + rng.uniform(0.0, 900.0), 3),
                kind="node_pause",
                target=target,
                for_ms=for_ms,
            )
        )
    if rng.random() < 0.3:
        for node in range(world.nodes):
            if rng.random() < 0.6:
                faults.append(
                    Fault(
                        at_ms=round(at + rng.uniform(0.0, 600.0), 3),
                        kind="node_kill",
                        target=node,
                        for_ms=600.0,
                    )
                )
    faults += [_draw_fault(rng, world) for _ in range(rng.choice((0, 0, 1, 2)))]
    return Script(world=world, fault=sorted(faults, key=lambda fault: fault.at_ms))


def _draw_basic(seed: int) -> Script:
    """Draw a small system with up to seven overlapping faults."""
    rng = random.Random(f"script/{seed}")
    world = World(
        seconds=rng.choice((2.0, 3.0, 4.0)),
        nodes=rng.choice((1, 2, 2, 3)),
        boxes=rng.randint(3, 7),
        cores=rng.choice((1, 2)),
        requests_per_s=float(rng.choice((20, 40, 60, 80, 150))),
        keys=rng.choice((20, 120, 400)),
        latency_us=rng.choice((50, 250, 700)),
        jitter_us=rng.choice((0, 0, 100, 300)),
        bandwidth=rng.choice((0, 0, 0, 2_000_000)),
        descriptors=rng.choice((64, 256, 256)),
    )
    faults = [_draw_fault(rng, world) for _ in range(rng.choice((0, 1, 2, 3, 4, 5, 7)))]
    # A box starts cold under a load that could overload it.
    if rng.random() < 0.05:
        world = msgspec.structs.replace(world, seconds=4.0, cores=1, requests_per_s=150.0)
        faults.append(
            Fault(at_ms=200.0, kind="box_quick_restart", target=rng.randrange(world.boxes))
        )
    return Script(world=world, fault=sorted(faults, key=lambda fault: fault.at_ms))


def _draw_fault(rng: random.Random, world: World) -> Fault:
    """Draw one fault of the basic kinds."""
    kind = rng.choice(BASIC_KINDS)
    of = TARGET_TYPES[kind]
    target = rng.randrange(world.nodes if of == "node" else world.boxes if of == "box" else 2)
    for_ms = float(rng.choice((1, 40, 200, 600, 1_500)))
    value = 0.0
    if kind in ("box_slow", "book_slow"):
        value = float(rng.choice((2, 5, 20)))
    elif kind == "link_loss":
        value = rng.choice((0.01, 0.05, 0.2))
    elif kind == "link_slow":
        value = float(rng.choice((5_000, 40_000, 150_000)))
    elif kind in ("box_spoil", "box_errors", "reset"):
        value = float(rng.choice((1, 3, 10)))
    elif kind.startswith("trip"):
        value = float(rng.choice((1, 20, 60, 120, 200, 400, 1_000, 4_000)))
    elif kind == "clock_jump":
        value = rng.choice((-3_600_000.0, -2_000.0, 2_000.0, 86_400_000.0))
    elif kind in ("rude", "discovery_wrong"):
        value = float(rng.randrange(8))
    return Fault(
        at_ms=round(rng.uniform(50.0, world.seconds * 900.0), 3),
        kind=kind,
        target=target,
        for_ms=for_ms,
        value=value,
    )
