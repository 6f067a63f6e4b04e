"""One node's life: its parts put together, reload on SIGHUP, drain on SIGTERM. Runs on either side of the seam."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING, Optional

from corkshift import seam
from corkshift.config import BadConfig, Config, load
from corkshift.discovery import Discovery
from corkshift.figures import Figures
from corkshift.frontend import Frontend
from corkshift.node import Node
from corkshift.presence import Presence
from corkshift.stream import KERNEL_BUFFER
from corkshift.upstream import Pool
from forkweir.limits.duty import Leave

if TYPE_CHECKING:
    from corkshift.admin import Admin
    from corkshift.sources.hub import Sources
    from corkshift.sources.options import SourcesTable
    from corkshift.tier.options import TierTable
    from corkshift.tier.transport import UdpTransport

log = logging.getLogger("corkshift")

BODY_SHARE = (1 << 20) // 8  # bytes of request bodies for each megabyte of the memory limit
FIRST_LIST_S = 1.0  # an agent that has not told its list by then is down: a node that starts serves by the list as it last was


class Service:
    """A node and what belongs to it, from its start to the end of its drain."""

    def __init__(
        self,
        config: Config,
        sources: Optional[SourcesTable] = None,
        reread: Callable[[], Optional[SourcesTable]] = lambda: None,
        tier: Optional[TierTable] = None,
    ) -> None:
        """sources: what an operator's file has of them, and reread: the same when the file is read again (ValueError if it is bad).
        tier: what it has of other nodes."""
        # Descriptors: seven sixteenths for cache servers, nine for clients, after a reserve for all else (a dozen are in use).
        # Each open request holds one of either kind, and clients have others that rest.
        sockets = max(16, config.sockets - min(24, config.sockets // 4))
        upstream = sockets * 7 // 16
        self.config = config
        self.figures = Figures(spec.name for spec in config.settings.classes)
        self.presence = Presence()
        self.pool = Pool(
            upstream, config.dial_timeout_ms, config.conn_idle_ms, self.figures, self.presence
        )
        self.node = Node(config, self.pool, min(config.max_open, upstream))
        longest_ms = max((spec.deadline_ms for spec in config.settings.classes), default=0.0)
        self.frontend = Frontend(
            self.node, self._listener(), sockets - upstream, config.memory_mb * BODY_SHARE, self._shared, Leave(longest_ms),
            self.presence,
        )  # fmt: skip
        self.sources: Optional[Sources] = None
        self._reread = reread
        if sources is not None:
            # Only where an operator's file has them: what is off costs nothing.
            from corkshift.sources.hub import Sources

            self.sources = Sources(self.node, self.pool, sources, config.seed)
        book = self.sources.box_list if self.sources else self.node
        self.discovery = Discovery(
            book,
            self.pool,
            config.discovery,
            agent=not config.settings.asked,
            presence=self.presence,
        )
        self.node.follow = self.discovery.follow
        self.node.list_unread = self.discovery.unread
        self.tier: Optional[UdpTransport] = None
        if config.neighbours is not None and (tier is None or tier.on):
            # Only where the settings let nodes talk to one another: what is off costs nothing.
            from corkshift.tier.options import TierTable
            from corkshift.tier.transport import UdpTransport

            self.tier = UdpTransport(self.node, config.neighbours, tier or TierTable())
        self.admin: Optional[Admin] = None
        if config.admin is not None:
            # Only where there is an address: what is off costs nothing.
            from corkshift.admin import Admin, Status

            self.admin = Admin(
                Status(self.node, self.frontend, self.discovery, self.figures), config.admin
            )
            if self.tier is not None:
                self.admin.offer("/admin/tier", self.tier.view)
        self._stop = asyncio.Event()

    @property
    def _shared(self) -> bool:
        """Whether other processes may hold the clients' listening socket too."""
        return self.config.socket_fd is not None

    def _listener(self) -> seam.Socket:
        """The clients' listening socket: the platform's, or one of our own. OSError where there is none to be had."""
        if self.config.socket_fd is not None:
            return seam.inherited(self.config.socket_fd, KERNEL_BUFFER)
        return seam.listen(self.config.listen, KERNEL_BUFFER)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        self.presence.start()
        self.discovery.start(self.config.known)
        self._catch_up()
        if self.sources is not None:
            self.sources.start()
        if self.tier is not None:
            self.tier.start()
        if not self.config.settings.asked:
            # Lists are pushed to an agent on this machine, and what it has counts as told from the first moment on.
            self.discovery.follow()
            await self._first_list()
        if not self._stop.is_set():
            self.frontend.start()
            if self.admin is not None:
                self.admin.start()
        await self._stop.wait()
        await self.frontend.drain()
        self.presence.close()
        if self.sources is not None:
            self.sources.close()
        if self.tier is not None:
            self.tier.close()
        if self.admin is not None:
            self.admin.close()

    def _catch_up(self) -> None:
        """Go where discovery is, if the file has changed since it was read: a SIGHUP between then and now was ignored."""
        try:
            fresh = load(seam.environ())
        except BadConfig:
            return
        if fresh.discovery != self.config.discovery:
            self.reload()

    async def _first_list(self) -> None:
        """Until the agent has told its list, or this node is to end, or FIRST_LIST_S are over."""
        waits = [asyncio.create_task(self.discovery.told()), asyncio.create_task(self._stop.wait())]
        await asyncio.wait(waits, timeout=FIRST_LIST_S, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()

    def stop(self) -> None:
        """Begin the drain."""
        self._stop.set()

    def reload(self) -> None:
        """Read the file again and go where discovery is now; a file that is of no use changes nothing.

        Guards against SIGHUP, which ends a process that does not handle it. Only `discovery` can change in a running node; the
        rest (limits, settings, where it listens) is what open requests were decided by, and waits for the next start.
        """
        config = self.config
        try:
            fresh = load(seam.environ())
        except BadConfig as error:
            log.error("reload: %s; the old configuration stays in force", error)
            return
        log.info("reload: discovery is at %s:%d", *fresh.discovery)
        if any(
            getattr(fresh, name) != getattr(config, name)
            for name in ("known", "settings", "listen", "admin", "neighbours")
        ):
            log.info("reload: what else has changed waits for the next start")
        self.discovery.move(fresh.discovery)
        if self.sources is not None:
            try:
                options = self._reread()
            except ValueError as error:
                log.error("reload: %s; the sources stay as they are", error)
                return
            if options is not None:
                self.sources.reload(options)


async def run(
    config: Config,
    sources: Optional[SourcesTable] = None,
    reread: Callable[[], Optional[SourcesTable]] = lambda: None,
    tier: Optional[TierTable] = None,
) -> None:
    """Serve until SIGTERM or SIGINT, then drain. OSError where it cannot listen. The rest as `Service` has it."""
    await Service(config, sources, reread, tier).run()
