"""A Unix socket that serves the node's merged view: each connection is sent the view and closed.

Limits: MAX_CONNECTIONS at a time, WRITE_TIMEOUT_S for each. The socket file is left behind at the
end and replaced at the next start.
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
    """Serves a view on a Unix socket. The constructor raises OSError where it can't be bound."""

    def __init__(self, path: str, render: Callable[[], bytes]) -> None:
        self._render = render
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener = Listener(
            seam.unix_listener(path), lambda: len(self._tasks) < MAX_CONNECTIONS, self._accept
        )

    def start(self) -> None:
        """Start to accept connections."""
        self._listener.start()

    def close(self) -> None:
        """Stop accepting and close open connections."""
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
            log.info("members socket: view not sent: %s", error or "the client reads too slowly")
        finally:
            sock.close()
