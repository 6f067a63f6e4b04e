"""The process: configuration, signals and the exit code."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from corkshift.config import BadConfig, Config, load
from corkshift.discovery import Discovery
from corkshift.frontend import Frontend
from corkshift.node import Node
from corkshift.upstream import Pool

log = logging.getLogger("corkshift")

GC_EVERY = (10_000, 10, 10)  # objects, and rounds, between two searches
LINES_PER_S = 20  # of the log
BODY_SHARE = (1 << 20) // 8  # bytes of request bodies for each megabyte of the memory limit


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


def reload(config: Config, discovery: Discovery) -> None:
    """Read the file again and go where discovery is now; a file that is of no use changes nothing.

    Guards against SIGHUP, which ends a process that does not handle it. Only `discovery` can change in a running node; the
    rest (limits, settings, where it listens) is what open requests were decided by, and waits for the next start.
    """
    try:
        fresh = load(os.environ)
    except BadConfig as error:
        log.error("reload: %s; the old configuration stays in force", error)
        return
    log.info("reload: discovery is at %s:%d", *fresh.discovery)
    if fresh.known != config.known or fresh.settings != config.settings or fresh.listen != config.listen:
        log.info("reload: what else has changed waits for the next start")
    discovery.move(fresh.discovery)


async def run(config: Config) -> None:
    """Serve until SIGTERM or SIGINT, then drain."""
    # Descriptors: seven sixteenths for cache servers, nine for clients, after a reserve for all else (a dozen are in use).
    # Each open request holds one of either kind, and clients have others that rest.
    sockets = max(16, config.sockets - min(24, config.sockets // 4))
    upstream = sockets * 7 // 16
    pool = Pool(upstream, config.dial_timeout_ms, config.conn_idle_ms)
    node = Node(config, pool, min(config.max_open, upstream))
    frontend = Frontend(node, config.listen, sockets - upstream, config.memory_mb * BODY_SHARE)
    discovery = Discovery(node, pool, config.discovery)
    node.follow = discovery.follow
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload, config, discovery)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    discovery.start(config.known)
    frontend.start()
    await stop.wait()
    await frontend.drain()


def forgo_rings() -> None:
    """Keep libuv from setting up io_uring, which it reads from the environment as the loop is made.

    Guards against CPU spent for nothing: its ring comes with a kernel thread that polls, for files that a node never opens
    through the loop. The thread sleeps until the process is stopped and continued (by a quota that is enforced so, a freezer, a
    debugger), then polls for some 14 ms, which count as the node's own: under a quota each stop so brings the next. It should
    also spare the ring's memory and descriptors, and hold where io_uring is barred. Harm: none as long as files are not
    read through the loop; whoever wants the ring sets the variable.
    """
    os.environ.setdefault("UV_USE_IO_URING", "0")


def main() -> int:
    """Run one node as the environment tells."""
    forgo_rings()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload
    handler = logging.StreamHandler()
    handler.addFilter(Bounded())
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(name)s: %(message)s", handlers=[handler])
    try:
        config = load(os.environ)
    except BadConfig as error:
        print(f"corkshift: {error}", file=sys.stderr)
        return 2
    try:
        # Few objects live long here, and nearly all go by their counts (guards against CPU spent on looking for cycles).
        gc.freeze()
        gc.set_threshold(*GC_EVERY)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run(config))
    except OSError as error:
        print(f"corkshift: cannot listen on {config.listen[0]}:{config.listen[1]}: {error.strerror}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
