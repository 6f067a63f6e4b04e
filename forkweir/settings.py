"""Shared types of the decision module: settings, servers, and the actions that it returns."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from forkweir.retry_after import RefusalCause

Attempt = tuple[Literal["attempt"], int, str, float]  # request, server, time-out in ms
# Request, Retry-After in ms (0: none), cause.
Refuse = tuple[Literal["refuse"], int, float, RefusalCause]
Fail = tuple[Literal["fail"], int]  # request
Cancel = tuple[Literal["cancel"], int, int]  # request, which attempt (from 0)
# Token (what the timer is for, see `Balancer.on_timer`), time in ms at which it is due.
Timer = tuple[Literal["timer"], int, float]
Probe = tuple[Literal["probe"], str]  # server
# Poll discovery for changes of the server list; the second element is always True.
Follow = tuple[Literal["follow"], bool]
# Recipient (a node of the tier), datagram in hex; used only on the simulator's wire.
Publish = tuple[Literal["publish"], int, str]
Action = Attempt | Refuse | Fail | Cancel | Timer | Probe | Follow | Publish
"""An instruction to the node: its name, then its arguments."""


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """A class of requests, as configured."""

    name: str
    aim_ms: float = 1000.0  # promised response time, after which an answer counts as late
    deadline_ms: float = 1000.0  # how long clients wait
    repeat: str = "safe"  # whether a request that may have run can be retried: safe, keyed, unsafe
    group: str = "all"  # for keyed: servers that share deduplication of retries (all, zone, cell)
    repeat_window_ms: float = 0.0  # for keyed: how long servers recognize a retry
    late_value: float = 0.0  # value of a late answer, as a share of `value`
    value: float = 1.0
    aim_stretch: float = 0.0  # ms added to the aim for each ms of hinted work


@dataclass(frozen=True, slots=True)
class Settings:
    """The configuration of a node's decisions."""

    classes: tuple[ClassSpec, ...] = ()
    zone: str = ""
    poll_list: bool = False  # changes of the server list must be polled
    poll_within_ms: float = 10_000.0
    max_attempts: int = 3
    may_cancel: bool = False
    parallel_attempts: bool = True  # two attempts of one request may be outstanding at once
    may_probe: bool = False
    backoff_max_ms: float = 0.0
    cold_start_capacity: float = 0.2  # capacity of a server that just started, as a share
    cold_ms: float = 20_000.0  # how long a server takes to reach its full capacity
    # A cold server fails when it gets this multiple of its present capacity for a while.
    fall_multiple: float = 4.0
    tick_ms: float = 1.0
    cache_aside: bool = False  # writes go to the origin directly
    origin_kind: str = ""
    use_weights: bool = True
    load_columns: tuple[str, ...] = ()  # of load reports
    load_reports: str = "off"  # inline, on_probe or off


@dataclass(frozen=True, slots=True)
class Server:
    """An entry of the server list."""

    name: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "in"  # in, draining, gone, or unlisted (missing from a later list)
    weight: float = 1.0
    started_ms: float = 0.0
