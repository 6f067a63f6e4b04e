"""Ids that come again while two processes of one node serve, after their client has left."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Optional

from testbed.crowd.clients import READ_BYTES, connect, request_head, status_of
from testbed.crowd.run import World, world

LEAVE_S = 0.06
RETURN_S = 3.0
# SIGKILL comes the longest deadline and 0.7 s after SIGTERM.
KILL_AFTER_S = 3.7


@dataclass(slots=True)
class RepeatReport:
    """What became of ids that came twice. twice: how many ran more than once."""

    ids: int = 0
    twice: int = 0
    second_statuses: Counter[int] = field(default_factory=Counter)

    def __str__(self) -> str:
        return f"{self.twice} of {self.ids} ids ran twice; second: {dict(self.second_statuses)}"


async def repeat_ids(
    count: int, seed: int, upgrades: int = 1, folder: Optional[Path] = None
) -> RepeatReport:
    """Send `count` writes in each of some upgrades; each client leaves, and its id comes again."""
    report = RepeatReport()
    rng = random.Random(f"repeats/{seed}")
    async with world(192, 1024, shared_socket=True, folder=folder) as made:
        for number in range(upgrades):
            old = made.node.processes[-1]
            await made.node.start_successor()
            await asyncio.sleep(0.3)
            tasks = []
            for n in range(count):
                txn = f"u{number}-{n}"
                tasks.append(asyncio.create_task(_come_again(made, rng, txn, report)))
                await asyncio.sleep(0.005)
            await asyncio.gather(*tasks)
            await made.node.end_process(old, KILL_AFTER_S)
        report.twice = sum(count > 1 for count in made.runs.values())
    return report


async def _come_again(made: World, rng: random.Random, txn: str, report: RepeatReport) -> None:
    leave_s, return_s = rng.uniform(0.0, LEAVE_S), rng.uniform(0.0, RETURN_S)
    await _write(made, txn, leave_s)
    await asyncio.sleep(return_s)
    report.ids += 1
    report.second_statuses[await _write(made, txn, 4.0)] += 1


async def _write(made: World, txn: str, leave_s: float) -> int:
    """Send a write and leave after a time; return the status that came until then."""
    loop = asyncio.get_running_loop()
    with suppress(OSError):
        with await connect(made.node.port) as sock:
            head = request_head(txn, f"k{txn}", "stall-note", 2_000, length=5)
            async with asyncio.timeout(leave_s):
                await loop.sock_sendall(sock, head + b"value")
                return status_of(await loop.sock_recv(sock, READ_BYTES))
    return 0
