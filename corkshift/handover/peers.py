"""The other processes of this node: finds them, reads their journals and writes its own."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Optional, Protocol

from corkshift import seam
from corkshift.handover.messages import (
    Departure,
    Drain,
    DrainCall,
    Greeting,
    Message,
    MessageReader,
    ProcessState,
    RequestIds,
    State,
    Usage,
    encode,
)
from corkshift.seam.journals import JournalFolder, OwnJournal

log = logging.getLogger(__name__)

# Between two reads of the other journals; the grace period of a drain is several of these.
POLL_S = 0.04
# Between two searches for further processes while none is known.
SEARCH_S = 0.2
# A process that starts waits this long for the greeting of one that serves. A process of an older
# release writes none.
GREETING_TIMEOUT_S = 1.5
IDS_PER_MESSAGE = 24  # so that a message stays under the longest line
# A journal that has grown to this is not appended to, except for departures, drains and ids.
MAX_USAGE_BYTES = 262_144
MAX_UNWRITTEN_BYTES = 1_048_576


class PeerObserver(Protocol):
    """What the processes of a node tell one another about, at this process."""

    def departures(self) -> Iterable[Departure]:
        """The departures that this process was notified of, for a process that starts."""
        ...

    def recent_ids(self) -> list[bytes]:
        """The ids of requests that this process remembers, for a process that starts."""
        ...

    def usage(self) -> Usage:
        """The connections of this process."""
        ...

    def on_departures(self, departures: list[Departure]) -> None:
        """Another process was notified of departures."""
        ...

    def on_drain_call(self, call: Drain) -> None:
        """An operator called another process."""
        ...

    def on_ids(self, ids: list[bytes]) -> None:
        """Another process has accepted requests with these ids."""
        ...

    def on_processes(self, others: int) -> None:
        """The number of all other processes has changed."""
        ...

    def on_usage(self, usage: Usage) -> None:
        """The sum of the connections of all other processes has changed."""
        ...


class Peer:
    """Another process of this node, as its journal shows it."""

    def __init__(self, folder: JournalFolder, name: str) -> None:
        """Open its journal. Raises OSError."""
        self.journal = folder.open(name)
        self.usage = Usage(0, 0)
        self.greeted = False  # it has told this process all that it knew when it noticed it
        self.found_s = asyncio.get_running_loop().time()
        self.state: Optional[ProcessState] = None
        self._reader = MessageReader()

    def receive(self) -> list[Message]:
        """The messages written since the last call. Raises OSError."""
        messages: list[Message] = []
        while data := self.journal.read():
            messages += self._reader.receive(data)
        return messages


class Peers:
    """The other processes of this node and the journal of this one."""

    def __init__(self, folder: JournalFolder, observer: PeerObserver) -> None:
        self._folder = folder
        self._observer = observer
        self._peers: dict[str, Peer] = {}
        self._own: Optional[OwnJournal] = None
        self._unwritten = b""  # the end of the journal, where a write failed
        self._written_bytes = 0
        self._usage = Usage(0, 0)
        self._timer: Optional[asyncio.TimerHandle] = None
        self._next_search_s = 0.0
        self._failing = False  # the last access to the folder failed

    @property
    def other_serves(self) -> bool:
        """Whether another process of this node accepts clients, as of the last poll."""
        return any(peer.state is ProcessState.SERVING for peer in self._peers.values())

    def check_other_serves(self) -> bool:
        """Search for other processes and read their journals; return whether one serves."""
        self._refresh()
        return self.other_serves

    @property
    def caught_up(self) -> bool:
        """Whether each process that serves has told this one what it knows, or is long overdue."""
        overdue_s = asyncio.get_running_loop().time() - GREETING_TIMEOUT_S
        return all(
            peer.greeted or peer.state is not ProcessState.SERVING or peer.found_s < overdue_s
            for peer in self._peers.values()
        )

    def claim_id(self, txn: bytes) -> bool:
        """Tell the other processes of the id of a request, and learn which ones they have.

        Both write before they read, so of two processes that get the same id at once, one at least
        learns of the other. Returns whether the id is written: if not, they can't know it.
        """
        if not self._peers:
            return True
        self._append(RequestIds([txn.decode("ascii")]))
        self._read_all()
        return not self._unwritten

    def start(self) -> None:
        """Find the other processes, read their journals and create this one's."""
        self._attempt(self._create)
        self._poll()

    def _create(self) -> None:
        self._own = self._folder.create(seam.random_bytes(8).hex())

    def close(self) -> None:
        """Remove this process's journal and close the others."""
        if self._timer is not None:
            self._timer.cancel()
        for peer in self._peers.values():
            peer.journal.close(remove=False)
        self._peers.clear()
        if self._own is not None:
            self._own.close()

    # -- what this process was notified of -------------------------------------------------

    def on_departure(self, server: str, generation: int, started_ms: float) -> None:
        """Tell the other processes that a server drains or is gone."""
        if self._peers:
            self._append(Departure(server, generation, started_ms))

    def on_serving(self) -> None:
        """Tell the other processes that this one accepts clients."""
        self._append(State(ProcessState.SERVING))

    def on_ending(self) -> None:
        """Tell the other processes that this one is about to end."""
        self._append(State(ProcessState.ENDING))

    def on_quiesce(self) -> None:
        """Tell the other processes, and those that start later, that the node drains."""
        self._append(DrainCall(Drain.QUIESCE))

    def on_resume(self) -> None:
        """Tell the other processes, and those that start later, that the drain is over."""
        self._append(DrainCall(Drain.RESUME))

    def _append(self, *messages: Message) -> None:
        self._unwritten += b"".join(encode(message) for message in messages)
        if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            log.error("journal of this process is given up: %d bytes not written",
                len(self._unwritten))  # fmt: skip
            self._unwritten = b"\n"  # ends a line that was written in part
        self._attempt(self._flush)

    def _flush(self) -> None:
        """Write what is not written yet; a write may be short. Raises OSError."""
        while self._unwritten and self._own is not None:
            written = self._own.append(self._unwritten)
            self._unwritten = self._unwritten[written:]
            self._written_bytes += written

    # -- what the others were notified of --------------------------------------------------

    def _poll(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(POLL_S if self._peers else SEARCH_S, self._poll)
        if self._own is None:
            self._attempt(self._create)
        if loop.time() >= self._next_search_s:
            self._next_search_s = loop.time() + SEARCH_S
            self._refresh()
        else:
            self._read_all()
        if self._peers:
            self._publish_usage()

    def _refresh(self) -> None:
        """Search for further processes and read all journals."""
        self._attempt(self._search)
        self._read_all()

    def _read_all(self) -> None:
        for name in list(self._peers):
            self._attempt(lambda: self._read(name))  # noqa: B023

    def _search(self) -> None:
        own = self._own.name if self._own is not None else ""
        for name in self._folder.names():
            if name != own and name not in self._peers:
                self._peers[name] = Peer(self._folder, name)
                log.info("another process of this node runs: its journal is %s", name)
                self._append(*self._observer.departures(), *self._id_messages(), Greeting(name))
                self._observer.on_processes(len(self._peers))
                self._read(name)

    def _id_messages(self) -> list[RequestIds]:
        """The ids that this process remembers, as messages of bounded length."""
        ids = [txn.decode("ascii") for txn in self._observer.recent_ids()]
        return [
            RequestIds(ids[first : first + IDS_PER_MESSAGE])
            for first in range(0, len(ids), IDS_PER_MESSAGE)
        ]

    def _read(self, name: str) -> None:
        """Apply what another process has written. Raises OSError."""
        peer = self._peers[name]
        alive = peer.journal.owner_alive  # before its end is read
        messages = peer.receive()
        if not alive:
            log.info("the other process of this node has ended: its journal was %s", name)
            peer.journal.close(remove=True)
            del self._peers[name]
            self._observer.on_processes(len(self._peers))
        departures = [message for message in messages if isinstance(message, Departure)]
        if departures:
            self._observer.on_departures(departures)
        for message in messages:
            # A process that has ended leaves no drain behind: a restart ends it.
            if isinstance(message, DrainCall) and alive:
                self._observer.on_drain_call(message.call)
            elif isinstance(message, RequestIds):
                self._observer.on_ids([txn.encode("ascii", "replace") for txn in message.ids])
            elif isinstance(message, Greeting):
                own = self._own
                peer.greeted = peer.greeted or (own is not None and message.name == own.name)
            elif isinstance(message, Usage):
                peer.usage = message
            elif isinstance(message, State):
                peer.state = message.state
        if messages or not alive:
            self._report_usage()

    def _report_usage(self) -> None:
        """Report the sum of the connections of all other processes."""
        self._observer.on_usage(
            Usage(
                sum(other.usage.clients for other in self._peers.values()),
                sum(other.usage.servers for other in self._peers.values()),
            )
        )

    def _publish_usage(self) -> None:
        usage = self._observer.usage()
        if self._unwritten:
            self._attempt(self._flush)
        elif usage != self._usage and self._written_bytes < MAX_USAGE_BYTES:
            self._usage = usage
            self._append(usage)

    def _attempt(self, step: Callable[[], None]) -> None:
        """Run a step that accesses the folder; log the first of several failures in a row."""
        try:
            step()
        except OSError as error:
            if not self._failing:
                log.warning("journals in %s: %s; trying again", self._folder, error)
            self._failing = True
        else:
            self._failing = False
