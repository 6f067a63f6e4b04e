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

MAX_CONNECTIONS = 4
WRITE_TIMEOUT_S = 2.0


class ViewSocket:
    """Listens at a path. OSError from the start on where it can't."""

    def __init__(self, path: str, render: Callable[[], bytes]) -> None:
        self._render = render
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener = Listener(
            seam.unix_listener(path), lambda: len(self._tasks) < MAX_CONNECTIONS, self._accept
        )

    def start(self) -> None:
        """Listen."""
        self._listener.start()

    def close(self) -> None:
        """Listen no more, and end what is open."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()

    def _accept(self, sock: Any) -> None:
        task = asyncio.create_task(self._write(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write(self, sock: Any) -> None:
        try:
            sock.setblocking(False)
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await asyncio.get_running_loop().sock_sendall(sock, self._render())
        except OSError as error:
            log.info("the members were not shown: %s", error or "too slow")
        finally:
            sock.close()
