"""The process: configuration, signals and the exit code."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from corkshift.config import BadConfig, Config, load
from corkshift.discovery import Discovery
from corkshift.frontend import Frontend
from corkshift.node import Node
from corkshift.upstream import Pool

LINES_PER_S = 20  # of the log


class Bounded(logging.Filter):
    """Lets through a bounded number of lines a second (guards against a flood of faults drowning the node in its log)."""

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(record.created)
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= LINES_PER_S


async def run(config: Config) -> None:
    """Serve until SIGTERM or SIGINT, then drain."""
    # Descriptors: three eighths for cache servers, five for clients, after a reserve for all else.
    sockets = max(16, config.sockets - min(64, config.sockets // 4))
    upstream = sockets * 3 // 8
    pool = Pool(upstream, config.dial_timeout_ms, config.conn_idle_ms)
    node = Node(config, pool, min(config.max_open, upstream))
    frontend = Frontend(node, config.listen, sockets - upstream)
    discovery = Discovery(node, pool, config.discovery)
    node.follow = discovery.follow
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    discovery.start(config.known)
    frontend.start()
    await stop.wait()
    await frontend.drain()


def main() -> int:
    """Run one node as the environment tells."""
    handler = logging.StreamHandler()
    handler.addFilter(Bounded())
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s", handlers=[handler])
    try:
        config = load(os.environ)
    except BadConfig as error:
        print(f"corkshift: {error}", file=sys.stderr)
        return 2
    try:
        asyncio.run(run(config))
    except OSError as error:
        print(f"corkshift: cannot listen on {config.listen[0]}:{config.listen[1]}: {error.strerror}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
