"""The state of one open request."""

from __future__ import annotations

from typing import Optional

from forkweir.fleet import Member
from forkweir.settings import ClassSpec


class Request:
    """An open request: its class, its times in ms, its attempts, and which may have run first.

    aim_at: the time after which its response counts as late; deadline: when its client stops
    waiting. `servers` and `sent_ms` are indexed by attempt; `outstanding` holds the attempts that
    are out.
    """

    __slots__ = (
        "id",
        "spec",
        "key",
        "position",
        "aim_at",
        "deadline",
        "attempt_count",
        "outstanding",
        "first_run_server",
        "first_run_ms",
        "servers",
        "streaming",
        "sent_ms",
        "work_ms",
        "cost_ms",
        "expected_fetches",
        "write",
        "body_consumed",
    )

    def __init__(
        self,
        request_id: int,
        spec: ClassSpec,
        key: Optional[str],
        position: float,
        aim_at: float,
        deadline: float,
        work: float,
        write: bool,
    ) -> None:
        self.id = request_id
        self.work_ms = work  # from the client's hint; 0 without one
        self.cost_ms = work  # expected work at a server
        # By attempt that is out: its miss probability (1 for a write), which is its expected number
        # of fetches from the origin, and whether its server was the last to serve the key.
        self.expected_fetches: dict[int, tuple[float, bool]] = {}
        self.write = write
        self.spec = spec
        self.key = key
        self.position = position
        self.aim_at = aim_at
        self.deadline = deadline
        self.attempt_count = 0
        self.outstanding: set[int] = set()
        # The server of the first attempt that may have run, and when that attempt was sent.
        self.first_run_server: Optional[Member] = None
        self.first_run_ms = 0.0
        self.servers: list[Member] = []
        self.sent_ms: list[float] = []
        self.streaming = False
        self.body_consumed = False  # part of the body was sent on and dropped: no retry
