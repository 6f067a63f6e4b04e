"""The terms of the decision module: its settings, the servers, and the actions that it gives back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from forkweir.retry_after import RefusalCause

Attempt = tuple[Literal["attempt"], int, str, float]  # request, server, time-out in ms
Refuse = tuple[
    Literal["refuse"], int, float, RefusalCause
]  # request, advice when to come back in ms, why
Fail = tuple[Literal["fail"], int]  # request
Cancel = tuple[Literal["cancel"], int, int]  # request, which attempt (from 0)
Timer = tuple[Literal["timer"], int, float]  # token, when due in ms
Probe = tuple[Literal["probe"], str]  # server
Follow = tuple[Literal["follow"], bool]  # ask for the server list's changes
Publish = tuple[
    Literal["publish"], int, str
]  # to which node of the tier, hex digits; on the simulator's wire alone
Action = Attempt | Refuse | Fail | Cancel | Timer | Probe | Follow | Publish
"""What the node must do, name first."""


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """One class of requests, as the settings state it."""

    name: str
    aim_ms: float = 1000.0
    deadline_ms: float = 1000.0
    repeat: str = "safe"  # safe, keyed or unsafe
    group: str = "all"  # for keyed: who discards repeats (all, zone or cell)
    repeat_window_ms: float = 0.0
    late_value: float = 0.0
    value: float = 1.0
    aim_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told at its start."""

    classes: tuple[ClassSpec, ...] = ()
    zone: str = ""
    poll_list: bool = False  # the server list must be asked for
    poll_within_ms: float = 10_000.0
    max_attempts: int = 3
    may_cancel: bool = False
    parallel_attempts: bool = True  # two attempts of one request may be out together
    may_probe: bool = False
    backoff_max_ms: float = 0.0
    cold_start_capacity: float = 0.2
    cold_ms: float = 20_000.0
    fall_multiple: float = (
        4.0  # of its present capacity, sent for a while: a cold server falls over
    )
    tick_ms: float = 1.0
    cache_aside: bool = False
    origin_kind: str = ""
    use_weights: bool = True
    load_columns: tuple[str, ...] = ()  # of load reports
    load_reports: str = "off"  # inline, on_probe or off


@dataclass(frozen=True, slots=True)
class Server:
    """One entry of the server list."""

    name: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "in"  # in, draining, gone, or unlisted (a later list does not name it)
    weight: float = 1.0
    started_ms: float = 0.0
