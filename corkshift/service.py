"""Lifecycle of one node: builds its components, reloads on SIGHUP and shuts down on SIGTERM.

Runs on the real system and on the simulated one (`corkshift.seam`).
"""

from __future__ import annotations

import asyncio
import logging
import random
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING, Optional

from corkshift import seam
from corkshift.config import BadConfig, Config, load
from corkshift.discovery import Discovery
from corkshift.frontend import Frontend
from corkshift.loop_lag import LoopLagMonitor
from corkshift.metrics import Metrics
from corkshift.node import Node
from corkshift.seam.errors import LOCAL_ERRNOS, error_name
from corkshift.stream import KERNEL_BUFFER_BYTES
from corkshift.upstream import Pool
from forkweir.limits.lifecycle import ShutdownSchedule
from forkweir.limits.readiness import Readiness

if TYPE_CHECKING:
    from corkshift.admin import Admin
    from corkshift.handover import Peers
    from corkshift.sources.hub import Sources
    from corkshift.sources.options import SourcesTable
    from corkshift.tier.options import TierTable
    from corkshift.tier.transport import UdpTransport

log = logging.getLogger("corkshift")

# Between two checks whether a starting process may serve.
READINESS_CHECK_S = 0.01
# First calls of processes that share a listening socket, of a fleet that is upgraded at once.
FIRST_CALL_SPREAD_S = 0.6
# A process that starts while this machine is short of sockets tries again at this interval, and
# gives up after the wait below.
SOCKET_RETRY_S = 0.05
MAX_SOCKET_WAIT_S = 10.0


class Service:
    """A node and its components, from its start to the end of its shutdown."""

    def __init__(
        self,
        config: Config,
        sources: Optional[SourcesTable] = None,
        reread_sources: Callable[[], Optional[SourcesTable]] = lambda: None,
        tier: Optional[TierTable] = None,
    ) -> None:
        """sources: the sources of the operator's file. reread_sources: reads them from the file
        again; raises ValueError if it is malformed. tier: the file's settings for other nodes.
        """
        # Descriptors, less a reserve for everything else (about a dozen are in use): 7/16 for cache
        # servers and 9/16 for clients. Each open request uses one of either kind, and clients also
        # have idle connections.
        sockets = max(16, config.sockets - min(24, config.sockets // 4))
        upstream = sockets * 7 // 16
        self.config = config
        self.metrics = Metrics(spec.name for spec in config.settings.classes)
        self.loop_lag = LoopLagMonitor()
        self.pool = Pool(
            upstream, config.dial_timeout_ms, config.conn_idle_ms, self.metrics, self.loop_lag
        )
        self.node = Node(config, self.pool, min(config.max_open, upstream))
        longest_ms = max((spec.deadline_ms for spec in config.settings.classes), default=0.0)
        self.frontend = Frontend(
            self.node, self._listener(), sockets - upstream, self.node.allowance.total,
            self._shared_socket, ShutdownSchedule(longest_ms), self.loop_lag,
        )  # fmt: skip
        self.sources: Optional[Sources] = None
        self._reread_sources = reread_sources
        if sources is not None:
            # Imported only where an operator's file has sources, so that a disabled feature costs
            # nothing.
            from corkshift.sources.hub import Sources

            self.sources = Sources(self.node, self.pool, sources, config.seed)
        book = self.sources.box_list if self.sources else self.node
        self.discovery = Discovery(
            book,
            self.pool,
            config.discovery,
            agent=not config.settings.poll_list,
            loop_lag=self.loop_lag,
        )
        self.node.follow = self.discovery.follow
        self.node.list_unread = self.discovery.has_unread_input
        self.node.list_age_ms = self.discovery.list_age_ms
        self.tier: Optional[UdpTransport] = None
        if config.tier_peers is not None and (tier is None or tier.on):
            # Imported only where the settings let nodes exchange datagrams, so that a disabled
            # feature costs nothing.
            from corkshift.tier.options import TierTable
            from corkshift.tier.transport import UdpTransport

            self.tier = UdpTransport(self.node, config.tier_peers, tier or TierTable())
        self.peers: Optional[Peers] = self._peers() if self._shared_socket else None
        self.admin: Optional[Admin] = None
        if config.admin is not None:
            # Imported only where an operators' address is set, so that a disabled feature costs
            # nothing.
            from corkshift.admin import Admin, Status

            status = Status(self.node, self.frontend, self.discovery, self.metrics)
            if self.peers is not None:
                status.on_quiesce, status.on_resume = self.peers.on_quiesce, self.peers.on_resume
            self.admin = Admin(status, config.admin)
            if self.tier is not None:
                self.admin.add_view("/admin/tier", self.tier.view)
        self._stop = asyncio.Event()

    def _peers(self) -> Optional[Peers]:
        """The node's other processes; None without a folder to share with them."""
        # Imported only where the platform holds the listening socket, so that a disabled feature
        # costs nothing.
        from corkshift.handover import NodeObserver, Peers

        try:
            folder = seam.journal_folder(self.config.name)
        except OSError as error:
            log.warning("no folder to share with other processes of this node: %s", error)
            return None
        if folder is None:
            return None
        peers = Peers(folder, NodeObserver(self.discovery, self.frontend, self.pool))
        self.discovery.address_book.on_departure = peers.on_departure
        self.frontend.other_accepts = peers.check_other_serves
        self.frontend.claim_id = peers.claim_id
        return peers

    @property
    def _shared_socket(self) -> bool:
        """Whether other processes may also have the clients' listening socket open."""
        return self.config.socket_fd is not None

    def _listener(self) -> seam.Socket:
        """The clients' listening socket, inherited or new. OSError if it cannot be opened."""
        if self.config.socket_fd is not None:
            return seam.inherited_listener(self.config.socket_fd, KERNEL_BUFFER_BYTES)
        return seam.bind_listener(self.config.listen, KERNEL_BUFFER_BYTES)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        self.loop_lag.start()
        started_ms = seam.now_ms()
        self.discovery.start(self.config.known)
        log.info(
            "process %d of %s started: saved list of generation %s with %d servers, %s listening "
            "socket",
            seam.process_id(),
            self.config.name,
            self.discovery.address_book.generation,
            len(self.node.servers),
            "inherited" if self._shared_socket else "own",
        )
        self._reload_if_moved()
        if self.peers is not None:
            self.peers.start()
        if self.sources is not None:
            self.sources.start()
        if self.tier is not None:
            self.tier.start()
        if not self.config.settings.poll_list:
            # Lists are pushed to an agent on this machine, so that what it has counts as notified
            # from the start.
            self.discovery.follow()
        elif self._shared_socket:
            # An earlier process of this node may have been notified of more than the saved list.
            spread = random.Random(f"first call/{self.config.seed}").random()
            asyncio.get_running_loop().call_later(
                FIRST_CALL_SPREAD_S * spread, self.discovery.follow
            )
        if self._shared_socket or not self.config.settings.poll_list:
            await self._wait_ready(started_ms)
        if not self._stop.is_set():
            self.frontend.start()
            if self.peers is not None:
                self.peers.on_serving()
            if self.admin is not None:
                self.admin.start()
            log.info(
                "process %d of %s is up after %.0f ms: %s list of generation %s",
                seam.process_id(),
                self.config.name,
                seam.now_ms() - started_ms,
                "received" if self.discovery.first_list_received else "saved",
                self.discovery.address_book.generation,
            )
        await self._stop.wait()
        log.info(
            "process %d of %s ends: %s", seam.process_id(), self.config.name, self.frontend.summary
        )
        if self.peers is not None:
            self.peers.on_ending()
        await self.frontend.shut_down()
        log.info("process %d of %s has ended: closed connections %s", seam.process_id(),
            self.config.name, dict(self.metrics.closed_connections))  # fmt: skip
        self.loop_lag.close()
        if self.peers is not None:
            self.peers.close()
        if self.sources is not None:
            self.sources.close()
        if self.tier is not None:
            self.tier.close()
        if self.admin is not None:
            self.admin.close()

    def _reload_if_moved(self) -> None:
        """Reload if the file names another address of discovery than when it was first read.

        A SIGHUP that arrived before the signal handler was installed was ignored.
        """
        try:
            fresh = load(seam.environ())
        except BadConfig:
            return
        if fresh.discovery != self.config.discovery:
            self.reload()

    async def _wait_ready(self, started_ms: float) -> None:
        """Wait until this process may serve, or is stopped."""
        readiness = Readiness(pushed=not self.config.settings.poll_list)
        while not self._stop.is_set() and not (
            readiness.may_serve(
                waited_ms=seam.now_ms() - started_ms,
                list_received=self.discovery.first_list_received,
                refused_calls=self.discovery.failed_calls,
                predecessor_serves=self.peers is not None and self.peers.other_serves,
            )
            and (self.peers is None or self.peers.caught_up)
        ):
            await asyncio.sleep(READINESS_CHECK_S)

    def stop(self) -> None:
        """Start the shutdown."""
        self._stop.set()

    def reload(self) -> None:
        """Read the file again and switch to discovery's address in it; a malformed file is ignored.

        Without a handler SIGHUP would end the process. Only `discovery` can change in a running
        node; open requests were decided by the rest (limits, settings, listening addresses), which
        takes effect at the next start.
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
            for name in ("known", "settings", "listen", "admin", "tier_peers")
        ):
            log.info("reload: other changes in the file take effect at the next start")
        self.discovery.move(fresh.discovery)
        if self.sources is not None:
            try:
                options = self._reread_sources()
            except ValueError as error:
                log.error("reload: %s; the sources stay unchanged", error)
                return
            if options is not None:
                self.sources.reload(options)


async def run(
    config: Config,
    sources: Optional[SourcesTable] = None,
    reread_sources: Callable[[], Optional[SourcesTable]] = lambda: None,
    tier: Optional[TierTable] = None,
) -> None:
    """Serve until SIGTERM or SIGINT, then shut down. OSError if it cannot listen.

    The parameters are those of `Service`.
    """
    await _wait_for_sockets()
    await Service(config, sources, reread_sources, tier).run()


async def _wait_for_sockets() -> None:
    """Wait while this machine has no descriptor or memory for a socket.

    Raises OSError after MAX_SOCKET_WAIT_S, or for another reason at once.
    """
    loop = asyncio.get_running_loop()
    give_up_s = loop.time() + MAX_SOCKET_WAIT_S
    while True:
        try:
            seam.tcp_socket().close()
            return
        except OSError as error:
            if error.errno not in LOCAL_ERRNOS or loop.time() >= give_up_s:
                raise
            log.warning("cannot open a socket yet: %s", error_name(error))
        await asyncio.sleep(SOCKET_RETRY_S)
