"""All client connections of the node: their limits, drain and shutdown.

While the node is quiesced, a drain closes idle connections step by step; it can be undone. The
shutdown after SIGTERM ends all connections and cannot be undone. `forkweir.limits.lifecycle` has
the times of both.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from math import ceil, inf
from typing import Optional

from corkshift import seam
from corkshift.budget import BodyBudget
from corkshift.client_connection import REQUEST_TIMEOUT_MS, ClientConnection
from corkshift.listener import Listener
from corkshift.loop_lag import LoopLagMonitor
from corkshift.node import Node
from corkshift.pipelining import PipelineBudget
from corkshift.seam import Address, Socket, now_ms
from forkweir.limits.lifecycle import (
    MAX_COUNTED_DEADLINE_MS,
    Lifecycle,
    ShutdownSchedule,
    shared_limit,
)

log = logging.getLogger(__name__)

# A new connection that has sent nothing for this long is closed.
FIRST_BYTE_TIMEOUT_MS = 2_000.0
# A connection that stays idle after a response for this long is closed.
IDLE_TIMEOUT_MS = 10_000.0
# Largest share of the client connection limit that idle connections may hold, so that the rest is
# left for active clients; see `Frontend._close_surplus`.
MAX_IDLE_SHARE = 1 / 3
# Interval at which the time limits are enforced.
SWEEP_INTERVAL_S = 0.2
# At the connection limit, a new connection that has sent nothing for this long may be evicted.
EVICTION_GRACE_MS = 100.0
# Memory is checked at this interval, and logged while it is over this share of the limit.
MEMORY_CHECK_INTERVAL_MS = 1_000.0
MEMORY_LOG_SHARE = 0.75
MIB = 1 << 20
# Wait during a shutdown in which the connections accepted last deliver their first bytes.
LAST_READ_DELAY_S = 0.02
# Interval at which requests that are read in part are refused at the end of a shutdown.
LAST_REFUSAL_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class MemoryUsage:
    """What a node's memory is used for.

    process_bytes: of the whole process, without mapped files, None if unknown. buffered_bytes: of
    buffered request bodies. transfers: bodies that are streamed, in either direction.
    """

    process_bytes: Optional[int]
    buffered_bytes: int
    transfers: int
    clients: int


class Frontend:
    """All client connections of a node.

    limit: maximum number of connections. body_bytes: memory limit of buffered request bodies.
    shared: whether other processes accept on the same socket. shutdown_schedule: the times at which
    the phases of the shutdown end.
    """

    def __init__(
        self,
        node: Node,
        listener: Socket,
        limit: int,
        body_bytes: int,
        shared: bool = False,
        shutdown_schedule: Optional[ShutdownSchedule] = None,
        loop_lag: Optional[LoopLagMonitor] = None,
    ) -> None:
        self.node = node
        self.loop_lag = loop_lag or LoopLagMonitor()
        self._shutdown_schedule = shutdown_schedule or ShutdownSchedule(MAX_COUNTED_DEADLINE_MS)
        self.body_budget = BodyBudget(body_bytes)
        self.pipeline_budget = PipelineBudget(node.allowance)
        self.lifecycle = Lifecycle()
        self.started = False
        self.peer_connections = 0  # client connections of the node's other processes
        # Whether another process accepts what waits in the queue of the listening socket.
        self.other_accepts: Callable[[], bool] = lambda: shared
        self.claim_id: Callable[[bytes], bool] = lambda txn: True
        self._limit = limit
        self._memory_checked_ms = 0.0
        self._connections: dict[ClientConnection, None] = {}  # oldest first
        # Connections without an open request, in the order in which they were added. That is about
        # longest wait first, but not in `_partial`, where progress of a body renews `since_ms`.
        self._unused: dict[ClientConnection, None] = {}  # nothing received yet
        self._partial: dict[ClientConnection, None] = {}  # a request read in part
        self._idle: dict[ClientConnection, None] = {}  # idle after a response
        # Set when the last connection is removed; meaningful only in `_wait_until_closed`.
        self._all_closed = asyncio.Event()
        self._listener = Listener(listener, self._has_capacity, self._accept, inherited=shared)

    @property
    def address(self) -> Address:
        """The address on which the node listens."""
        return self._listener.address

    def start(self) -> None:
        """Start to accept connections and to enforce their time limits."""
        self.node.allowance.set_process_bytes(seam.memory_bytes())
        self._listener.start()
        self.started = True
        self._sweep()

    @property
    def summary(self) -> str:
        """The lifecycle state and what is open, for the log."""
        return (
            f"{self.lifecycle.state}, {self.node.open} requests and "
            f"{len(self._connections)} client connections open"
        )

    def memory_usage(self) -> MemoryUsage:
        """The process's memory and what takes most of it."""
        return MemoryUsage(
            seam.memory_bytes(),
            self.body_budget.used,
            self.node.open_transfers,
            self.connection_count,
        )

    def _report_memory(self, now: float) -> None:
        """Log the memory while it is over MEMORY_LOG_SHARE of the limit."""
        if now - self._memory_checked_ms < MEMORY_CHECK_INTERVAL_MS:
            return
        self._memory_checked_ms = now
        usage = self.memory_usage()
        limit = self.node.memory_limit_bytes
        if usage.process_bytes is not None and usage.process_bytes > MEMORY_LOG_SHARE * limit:
            log.warning(
                "memory: %.1f of %.1f MiB; %d client connections, %d requests open, %d bytes of "
                "bodies buffered, %d transfers",
                usage.process_bytes / MIB,
                limit / MIB,
                usage.clients,
                self.node.open,
                usage.buffered_bytes,
                usage.transfers,
            )

    @property
    def connection_count(self) -> int:
        """The number of open client connections."""
        return len(self._connections)

    async def shut_down(self) -> None:
        """Accept for a while longer, finish the open requests, then close all connections.

        The phases end at the times of `ShutdownSchedule`. Requests that are still open at its
        `answer_ms` get an error response, and those that are complete later or never are refused:
        there is no time for their answers. Connections that remain at `exit_ms` are closed.
        """
        started_s, schedule = asyncio.get_running_loop().time(), self._shutdown_schedule
        self.lifecycle.end(now_ms())
        if not self.started:
            self._listener.close()  # no connection has been accepted yet
            return
        handed_over = self.other_accepts()
        if handed_over:
            self._listener.close()
        await asyncio.sleep(schedule.accept_ms / 1000.0)
        if not handed_over:
            # Connections in the kernel's queue may hold requests that count as accepted, so all
            # of them are accepted as capacity allows.
            with suppress(TimeoutError):
                async with asyncio.timeout_at(started_s + schedule.answer_ms / 1000.0):
                    await self._listener.accept_queued()
            self._listener.close()
        await asyncio.sleep(LAST_READ_DELAY_S)
        # A partly read request may still be completed; its usual time limit and status 408 apply.
        for connection in list(self._connections):
            if not connection.partial:
                connection.close_if_no_input("ending")
        await self._wait_until_closed(started_s + schedule.answer_ms / 1000.0)
        self.lifecycle.close(now_ms())
        self.node.fail_open_requests()
        await self._refuse_the_rest(started_s + schedule.exit_ms / 1000.0)
        for connection in list(self._connections):
            connection.close_at_exit()

    async def _refuse_the_rest(self, end: float) -> None:
        """Refuse requests that are read in part until `end`, unless all connections close first.

        Their last bytes may come at any time. After the end the node could neither read nor answer
        them, and their clients would see a reset in place of a refusal.
        """
        loop = asyncio.get_running_loop()
        while self._connections and loop.time() < end:
            self._expire_partial()
            await self._wait_until_closed(min(end, loop.time() + LAST_REFUSAL_INTERVAL_S))

    async def _wait_until_closed(self, end: float) -> None:
        """Wait until all connections are closed, at most until `end` on the loop's clock."""
        with suppress(TimeoutError):
            async with asyncio.timeout_at(end):
                while self._connections:
                    self._all_closed.clear()
                    await self._all_closed.wait()

    # -- bookkeeping ---------------------------------------------------------------------

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that a connection has become idle."""
        self.mark_busy(connection)
        self._idle[connection] = None

    def mark_partial(self, connection: ClientConnection) -> None:
        """Record that a request has been read in part."""
        self.mark_busy(connection)
        self._partial[connection] = None

    def mark_busy(self, connection: ClientConnection) -> None:
        """Remove a connection from those without an open request, which exempts it from eviction.

        This is also the first step of the other marks and of `remove`.
        """
        for waiting in (self._unused, self._partial, self._idle):
            waiting.pop(connection, None)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection and resume accepting."""
        self.mark_busy(connection)
        self._connections.pop(connection, None)
        self.node.allowance.set_open_connections(self.connection_count)
        if not self._connections:
            self._all_closed.set()
        self._listener.resume()

    # -- accepting -----------------------------------------------------------------------

    def _has_capacity(self) -> bool:
        limit = shared_limit(self._limit, self.peer_connections)
        return self.connection_count < limit or self._evict_one()

    def _accept(self, sock: Socket) -> None:
        connection = ClientConnection(self, sock, self._listener.queued_ms)
        self._connections[connection] = self._unused[connection] = None
        self.node.allowance.set_open_connections(self.connection_count)

    def _evict_one(self) -> bool:
        """Close one connection without an open request; return whether there was one.

        Idle connections go first, then new and partly read ones older than EVICTION_GRACE_MS.
        """
        before_ms = now_ms() - EVICTION_GRACE_MS
        for waiting in (self._idle, self._unused, self._partial):
            for connection in list(waiting):
                if waiting is not self._idle and connection.since_ms > before_ms:
                    break
                if connection.close_if_no_input("room"):
                    return True
        return False

    def _sweep(self) -> None:
        """Enforce the time limits of connections without an open request; find clients that left.

        Without the limits, clients that send nothing, never complete a request or never disconnect
        would hold descriptors. A client behind a link so slow that its request takes longer than
        REQUEST_TIMEOUT_MS gets status 408. Surplus connections are closed too. Where a client's FIN
        may be unread, the kernel is asked about it.
        """
        now = now_ms()
        for waiting, limit_ms, cause in (
            (self._unused, FIRST_BYTE_TIMEOUT_MS, "silent"),
            (self._idle, IDLE_TIMEOUT_MS, "idle"),
        ):
            for connection in list(waiting):
                if now - connection.since_ms <= limit_ms:
                    break
                connection.close_if_no_input(cause)
        self._close_surplus(now)
        self._report_memory(now)
        for connection in [c for c in self._connections if c.end_may_be_unread]:
            connection.check_departure()
        self._expire_partial(before_ms=now - REQUEST_TIMEOUT_MS)
        asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)

    def _expire_partial(self, before_ms: float = inf) -> None:
        """Time out the requests that are read in part and whose time began before this one."""
        for connection in list(self._partial):
            if connection.since_ms < before_ms:
                del self._partial[connection]
                connection.expire()

    def _close_surplus(self, now: float) -> None:
        """Close idle connections beyond MAX_IDLE_SHARE, longest idle first, and those to drain.

        Connections kept open after a single request count towards the connection limits of the node
        and of the clients, and active clients need them long before IDLE_TIMEOUT_MS is over. This
        also releases sockets after a burst. A client with more connections than it uses has to
        reconnect; connections that became idle within EVICTION_GRACE_MS are kept. During a drain,
        idle connections are closed step by step, and at its end also those that have sent nothing.
        """
        idle = [connection for connection in self._idle if not connection.lingering]
        for connection in idle[: max(0, len(idle) - int(self._limit * MAX_IDLE_SHARE))]:
            if now - connection.since_ms <= EVICTION_GRACE_MS:
                break
            connection.close_if_no_input("share")
        if share := self.lifecycle.share_to_close(now, SWEEP_INTERVAL_S * 1000.0):
            for connection in idle[: ceil(share * len(idle))]:
                connection.close_if_no_input("draining")
        if self.lifecycle.drain_over(now):
            for connection in [c for c in self._unused if now - c.since_ms > EVICTION_GRACE_MS]:
                connection.close_if_no_input("draining")
