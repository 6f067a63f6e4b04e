"""A request that the module holds."""

from __future__ import annotations

from typing import Optional

from forkweir.fleet import Member
from forkweir.settings import ClassSpec


class Request:
    """One request that is held: its attempts and whether one may have run."""

    __slots__ = (
        "id",
        "spec",
        "key",
        "position",
        "aim_at",
        "deadline",
        "tries",
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
        self.work_ms = work  # as hinted, in ms; 0 where it is not
        self.cost_ms = work  # as expected of a server, in ms
        self.expected_fetches: dict[
            int, tuple[float, bool]
        ] = {}  # by attempt: expected of the origin, and whether the key was known
        self.write = write
        self.spec = spec
        self.key = key
        self.position = position
        self.aim_at = aim_at
        self.deadline = deadline
        self.tries = 0
        self.outstanding: set[int] = set()
        self.first_run_server: Optional[Member] = None
        self.first_run_ms = 0.0
        self.servers: list[Member] = []
        self.sent_ms: list[float] = []
        self.streaming = False
        self.body_consumed = False  # its body is gone in part: it can't be sent again
