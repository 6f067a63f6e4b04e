"""A Unix socket on which a node shows its merged view: whoever connects is written it, and the connection ends.

Bounds: MOST connections at a time, each for WITHIN_S. The socket's file is left behind, and replaced at the next start.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from corkshift import seam
from corkshift.listener import Listener

log = logging.getLogger(__name__)

MOST = 4
WITHIN_S = 2.0


class Window:
    """Listens at a path. OSError from the start on where it can't."""

    def __init__(self, path: str, show: Callable[[], bytes]) -> None:
        self._show = show
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener = Listener(
            seam.unix_listener(path), lambda: len(self._tasks) < MOST, self._take
        )

    def start(self) -> None:
        """Listen."""
        self._listener.start()

    def close(self) -> None:
        """Listen no more, and end what is open."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()

    def _take(self, sock: Any) -> None:
        task = asyncio.create_task(self._write(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write(self, sock: Any) -> None:
        try:
            sock.setblocking(False)
            async with asyncio.timeout(WITHIN_S):
                await asyncio.get_running_loop().sock_sendall(sock, self._show())
        except OSError as error:
            log.info("the members were not shown: %s", error or "too slow")
        finally:
            sock.close()
