"""Plans of the soak: sizes, load and faults of one run, drawn from a seed without side effects.

Times are in seconds after the start of the load.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import StrEnum

FAULT_FREE_START_S = 1.5
MIN_FAULTS, MAX_FAULTS = 8, 16
# Between consecutive reloads of one burst.
RELOAD_INTERVALS_S = (0.3, 0.4, 0.9)


class Fault(StrEnum):
    """The kinds of fault; the values appear in reports."""

    NODE_KILL = "node-kill"  # SIGKILL, restarted shortly after
    NODE_RESTART = "node-restart"  # SIGTERM, restarted once it has exited
    NODE_RELOADS = "node-reloads"  # several SIGHUPs, each with the other discovery address
    NODE_PAUSE = "node-pause"  # SIGSTOP for up to 150 ms
    NODE_STALLS = "node-stalls"  # delayed before each of its next writes
    NODE_CLOCK = "node-clock"  # a step of its wall clock by up to an hour
    NODE_CALLS = "node-calls"  # one of its system calls fails for a while
    NODE_SHORT_IO = "node-short-io"  # each read and write moves a single byte
    DISCOVERY_DOWN = "discovery-down"
    DISCOVERY_SLOW = "discovery-slow"  # answers are delayed
    DISCOVERY_REFUSES = "discovery-refuses"  # the next calls of each node get 503
    DISCOVERY_SILENT = "discovery-silent"  # open watches stay open but send nothing any more
    DISCOVERY_RESETS = "discovery-resets"  # open watches are reset
    DISCOVERY_CUTS = "discovery-cuts"  # the next line of each watch breaks off in the middle
    SERVERS_DRAIN = "servers-drain"  # a quarter of the servers, which keep running
    SERVERS_REPLACED = "servers-replaced"  # some stop without draining, others start cold
    SERVER_HANGS = "server-hangs"
    SERVER_SLOW = "server-slow"
    SERVER_ERRORS = "server-errors"
    SERVER_RESETS = "server-resets"  # answers, with and without a length, end in a reset
    CLIENTS_LEAVE = "clients-leave"
    CLIENTS_STOP = "clients-stop"  # stop in the middle of a request, stay connected
    LOAD_BURST = "load-burst"
    # Only in plans with upgrades:
    NODE_UPGRADE = "node-upgrade"  # a second process takes over, then SIGTERM to the first
    NODE_QUIESCE = "node-quiesce"  # drained by an operator, and put back later
    # Only in plans with a crowd:
    NODE_CROWD = "node-crowd"  # many clients at once, each of which asks much of the node
    SERVER_READDRESSED = "server-readdressed"  # another server starts at the address of one


# The faults of every plan; the order is part of what a seed draws.
BASIC_FAULTS = tuple(
    fault
    for fault in Fault
    if fault
    not in (
        Fault.NODE_UPGRADE,
        Fault.NODE_QUIESCE,
        Fault.NODE_CROWD,
        Fault.SERVER_READDRESSED,
    )
)
CROWD_FAULTS = (Fault.NODE_CROWD, Fault.SERVER_READDRESSED)
# The list tells of a server at the address of another one this much later than it starts.
READDRESSED_LIST_DELAYS_S = (0.0, 0.2, 1.3)
# Of an upgrade: from the second process's yes to SIGTERM of the first.
MIN_TERM_DELAY_S, MAX_TERM_DELAY_S = 0.05, 6.0
# Share of the upgrades whose second process is killed before it is up.
ABORTED_UPGRADE_SHARE = 0.15
# Servers begin to drain, or start cold, from this long before the start of a second process to
# this long after it.
CHANGE_BEFORE_UPGRADE_S, CHANGE_AFTER_UPGRADE_S = 1.0, 4.5

PAUSE_MS = (40, 90, 150)
# With an answer delayed by at most this, a node still gets a change within 6 s after its watch
# became unresponsive.
DISCOVERY_DELAYS_S = (1.0, 2.0, 3.0)
WALL_CLOCK_STEPS_MS = (-3_600_000, -5_000, 5_000, 3_600_000)
CALL_FAULT_DURATIONS_S = (0.05, 0.4, 2.0)


@dataclass(frozen=True, slots=True)
class Event:
    """One fault. `target` is an index of a node or server, modulo their number.

    `value` depends on the kind: a count, a time, or a selector.
    """

    at_s: float
    kind: Fault
    target: int = 0
    duration_s: float = 0.0
    value: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """One run. `unframed_share` is the share of good answers with no length.

    Such an answer ends with its connection.
    """

    seed: int
    nodes: int
    servers: int
    seconds: float
    requests_per_s: float
    unframed_share: float
    events: list[Event] = field(default_factory=list)
    upgrades: bool = False


def draw(
    seed: int, nodes: int, seconds: float, upgrades: bool = False, crowd: bool = False
) -> Plan:
    """Draw the plan of a seed.

    upgrades: the processes of a node share a listening socket, and some are upgraded. crowd: crowds
    of demanding clients come to some nodes, and servers start at the addresses of others. All else
    is as in the plan without them.
    """
    rng = random.Random(f"soak/{seed}")
    servers = rng.randint(8, 16)
    events: list[Event] = []
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        events.append(_draw_event(rng, seconds))
    if rng.random() < 0.5:
        events += _draw_incident(rng, seconds)
    unframed_share = rng.choice((0.0, 0.1, 0.3))
    if upgrades:
        events += _draw_upgrades(random.Random(f"soak/upgrades/{seed}"), nodes, seconds)
    if crowd:
        events += _draw_crowd(random.Random(f"soak/crowd/{seed}"), seconds)
    return Plan(
        seed=seed,
        nodes=nodes,
        servers=servers,
        seconds=seconds,
        requests_per_s=12.0 * nodes,
        unframed_share=unframed_share,
        events=sorted(events, key=lambda event: event.at_s),
        upgrades=upgrades,
    )


def _draw_crowd(rng: random.Random, seconds: float) -> list[Event]:
    """Draw crowds of demanding clients, and servers that start at the address of another one."""
    latest_s = max(FAULT_FREE_START_S + 1.0, seconds - 4.0)
    events = []
    for _ in range(rng.randint(2, 4)):
        at_s, target = rng.uniform(FAULT_FREE_START_S, latest_s), rng.randrange(1_000)
        if rng.random() < 0.6:
            kind, duration_s = rng.randrange(1_000), rng.uniform(1.0, 4.0)
            events.append(Event(at_s, Fault.NODE_CROWD, target, duration_s, kind))
        else:
            delay_s = rng.choice(READDRESSED_LIST_DELAYS_S)
            events.append(Event(at_s, Fault.SERVER_READDRESSED, target, value=delay_s))
    return events


def _draw_upgrades(rng: random.Random, nodes: int, seconds: float) -> list[Event]:
    """Draw upgrades one node at a time or of all at once, with changes of the list around them."""
    events: list[Event] = []
    at_s, all_at_once = (
        rng.uniform(FAULT_FREE_START_S, FAULT_FREE_START_S + 1.0),
        rng.random() < 0.4,
    )
    last_s = max(FAULT_FREE_START_S + 1.0, seconds - 4.0)
    while at_s < last_s:
        targets = range(nodes) if all_at_once else [rng.randrange(nodes)]
        for target in targets:
            kill_after_s = rng.uniform(0.1, 0.4) if rng.random() < ABORTED_UPGRADE_SHARE else 0.0
            term_delay_s = rng.uniform(MIN_TERM_DELAY_S, MAX_TERM_DELAY_S) ** 2 / MAX_TERM_DELAY_S
            events.append(
                Event(
                    at_s + rng.uniform(0.0, 0.3),
                    Fault.NODE_UPGRADE,
                    target,
                    kill_after_s,
                    max(MIN_TERM_DELAY_S, term_delay_s),
                )
            )
        change = rng.choice((Fault.SERVERS_DRAIN, Fault.SERVERS_DRAIN, Fault.SERVERS_REPLACED))
        change_s = at_s + rng.uniform(-CHANGE_BEFORE_UPGRADE_S, CHANGE_AFTER_UPGRADE_S)
        events.append(Event(min(max(0.5, change_s), seconds - 0.5), change, rng.randrange(1_000)))
        if rng.random() < 0.3:
            events.append(
                Event(
                    max(0.5, at_s + rng.uniform(-1.5, 1.5)),
                    Fault.NODE_QUIESCE,
                    targets[0],
                    rng.uniform(2.0, 4.0),
                )
            )
        if rng.random() < 0.3:
            delay_s = rng.choice(DISCOVERY_DELAYS_S)
            events.append(Event(at_s, Fault.DISCOVERY_SLOW, duration_s=4.0, value=delay_s))
        at_s += rng.uniform(4.0, 7.0) if all_at_once else rng.uniform(1.0, 2.5)
    return events


def _draw_event(rng: random.Random, seconds: float) -> Event:
    kind = rng.choice(BASIC_FAULTS)
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
    """Draw a discovery outage followed by reloads of nodes, refused calls and a drain.

    This reproduces the incident of 2026-12-02.
    """
    at_s = rng.uniform(FAULT_FREE_START_S, max(FAULT_FREE_START_S + 0.5, seconds - 10.0))
    down_s = rng.uniform(2.0, 4.0)
    restored_s = at_s + down_s
    reloads = [
        Event(restored_s + 0.2 * n, Fault.NODE_RELOADS, n, value=float(rng.randint(1, 4)))
        for n in range(3)
    ]
    return [
        Event(at_s, Fault.DISCOVERY_DOWN, duration_s=down_s),
        *reloads,
        Event(restored_s + 0.3, Fault.DISCOVERY_REFUSES, value=2.0),
        Event(restored_s + rng.uniform(0.3, 1.5), Fault.SERVERS_DRAIN, rng.randrange(1_000)),
    ]
