"""What happens in one run of the soak: sizes, load and faults drawn from a seed. Pure; times are seconds after the start."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import StrEnum

FAULT_FREE_START_S = 1.5  # before the first fault
MIN_FAULTS, MAX_FAULTS = 8, 16
RELOAD_INTERVALS_S = (0.3, 0.4, 0.9)  # between the reloads of one burst


class Fault(StrEnum):
    """The kinds of fault."""

    NODE_KILL = "node-kill"  # SIGKILL, started again a moment later
    NODE_RESTART = "node-restart"  # SIGTERM, started again once it has ended
    NODE_RELOADS = "node-reloads"  # several SIGHUP in a row, each moving discovery
    NODE_PAUSE = "node-pause"  # stopped for up to 150 ms
    NODE_STALLS = "node-stalls"  # held up before its next writes
    NODE_CLOCK = "node-clock"  # its wall clock steps by up to an hour
    NODE_CALLS = "node-calls"  # one of its system calls fails
    NODE_SHORT_IO = "node-short-io"  # its reads and writes move single bytes
    DISCOVERY_DOWN = "discovery-down"
    DISCOVERY_SLOW = "discovery-slow"  # calls are answered late
    DISCOVERY_REFUSES = "discovery-refuses"  # the next calls of each node are answered 503
    DISCOVERY_SILENT = "discovery-silent"  # every open watch falls silent for good
    DISCOVERY_RESETS = "discovery-resets"  # every open watch is reset
    DISCOVERY_CUTS = "discovery-cuts"  # the next line of each watch is cut in its middle
    SERVERS_DRAIN = "servers-drain"  # a quarter of the servers; they stay
    SERVERS_REPLACED = "servers-replaced"  # some end without a word, others start cold
    SERVER_HANGS = "server-hangs"
    SERVER_SLOW = "server-slow"
    SERVER_ERRORS = "server-errors"
    SERVER_RESETS = "server-resets"  # answers break off by a reset, unframed ones among them
    CLIENTS_LEAVE = "clients-leave"
    CLIENTS_STOP = "clients-stop"  # in the middle of a request, and stay
    LOAD_BURST = "load-burst"


PAUSE_MS = (40, 90, 150)
DISCOVERY_DELAYS_S = (
    1.0,
    2.0,
    3.0,
)  # a call may be late by so much and still tell a change within 6 s of a silence
WALL_CLOCK_STEPS_MS = (-3_600_000, -5_000, 5_000, 3_600_000)
CALL_FAULT_DURATIONS_S = (0.05, 0.4, 2.0)


@dataclass(frozen=True, slots=True)
class Event:
    """One fault: when, to whom, for how long and how much."""

    at_s: float
    kind: Fault
    target: int = 0  # node or server, modulo how many there are
    duration_s: float = 0.0
    value: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """One run."""

    seed: int
    nodes: int
    servers: int
    seconds: float
    requests_per_s: float
    unframed_share: float  # of the good answers end with their connection, with no length
    events: list[Event] = field(default_factory=list)


def draw(seed: int, nodes: int, seconds: float) -> Plan:
    """The plan of a seed."""
    rng = random.Random(f"soak/{seed}")
    servers = rng.randint(8, 16)
    events: list[Event] = []
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        events.append(_draw_event(rng, seconds))
    if rng.random() < 0.5:
        events += _draw_incident(rng, seconds)
    return Plan(
        seed=seed,
        nodes=nodes,
        servers=servers,
        seconds=seconds,
        requests_per_s=12.0 * nodes,
        unframed_share=rng.choice((0.0, 0.1, 0.3)),
        events=sorted(events, key=lambda event: event.at_s),
    )


def _draw_event(rng: random.Random, seconds: float) -> Event:
    kind = rng.choice(list(Fault))
    at_s = rng.uniform(FAULT_FREE_START_S, max(FAULT_FREE_START_S + 1.0, seconds - 4.0))
    target = rng.randrange(1_000)
    spans: dict[Fault, float] = {
        Fault.DISCOVERY_DOWN: rng.uniform(1.0, 6.0),
        Fault.DISCOVERY_SLOW: rng.uniform(3.0, 8.0),
        Fault.SERVER_HANGS: rng.uniform(1.0, 6.0),
        Fault.SERVER_SLOW: rng.uniform(1.0, 4.0),
        Fault.SERVER_RESETS: rng.uniform(1.0, 4.0),
        Fault.CLIENTS_LEAVE: rng.uniform(1.0, 4.0),
        Fault.LOAD_BURST: rng.uniform(1.0, 3.0),
        Fault.NODE_CALLS: rng.choice(CALL_FAULT_DURATIONS_S),
        Fault.NODE_SHORT_IO: rng.uniform(0.5, 2.0),
    }
    values: dict[Fault, float] = {
        Fault.NODE_PAUSE: rng.choice(PAUSE_MS),
        Fault.NODE_STALLS: rng.randint(1, 20),
        Fault.NODE_CLOCK: rng.choice(WALL_CLOCK_STEPS_MS),
        Fault.NODE_CALLS: rng.randrange(1_000),
        Fault.NODE_RELOADS: rng.randint(1, 4),
        Fault.DISCOVERY_SLOW: rng.choice(DISCOVERY_DELAYS_S),
        Fault.DISCOVERY_REFUSES: rng.randint(1, 2),
        Fault.SERVER_ERRORS: rng.randint(5, 40),
        Fault.CLIENTS_STOP: rng.randint(1, 8),
    }
    return Event(at_s, kind, target, spans.get(kind, 0.0), values.get(kind, 0.0))


def _draw_incident(rng: random.Random, seconds: float) -> list[Event]:
    """The shape of the incident of 2026-12-02: discovery down for long, reloads of all nodes, refused calls, and a drain."""
    at_s = rng.uniform(FAULT_FREE_START_S, max(FAULT_FREE_START_S + 0.5, seconds - 10.0))
    down_s = rng.uniform(2.0, 4.0)
    back_s = at_s + down_s
    reloads = [
        Event(back_s + 0.2 * n, Fault.NODE_RELOADS, n, value=float(rng.randint(1, 4)))
        for n in range(3)
    ]
    return [
        Event(at_s, Fault.DISCOVERY_DOWN, duration_s=down_s),
        *reloads,
        Event(back_s + 0.3, Fault.DISCOVERY_REFUSES, value=2.0),
        Event(back_s + rng.uniform(0.3, 1.5), Fault.SERVERS_DRAIN, rng.randrange(1_000)),
    ]
