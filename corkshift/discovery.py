"""Discovery: which calls are open, which of them is the node's watch, and what is done when one breaks or can't be read.

One call is `watch`'s, what its lines say is `address_book`'s. All times here are present time (`presence`) but FADING_S, which is a bound.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from typing import Any, Optional

import h11

from corkshift.address_book import SLICE_SERVERS, AddressBook, ListObserver
from corkshift.listing import (
    BadList,
    EntryCache,
    generation_of,
    parse_raw_list,
    read_entries,
    unconfirmed_entries,
)
from corkshift.loop_lag import LoopLagMonitor
from corkshift.seam import Address, now_ms
from corkshift.upstream import Pool
from corkshift.watch import SILENCE_TIMEOUT_S, Watch

log = logging.getLogger(__name__)

# Age of the list: a change counts as notified 6 s after discovery had it, whatever became of watches and calls. SILENT_S, the pause
# before a call (`forkweir.known.asking`), BESIDE_S and the time of one answer have to fit into that together (see docs/health.md).
PARALLEL_CALL_DELAY_S = 2.0  # a call that is not answered by then gets another one beside it, and goes on waiting for its turn
MAX_PENDING_CALLS = 4  # open at once without an answer; the oldest is given up for a further one
CALL_TIMEOUT_S = (
    PARALLEL_CALL_DELAY_S * MAX_PENDING_CALLS
)  # a call that is not answered by then has failed
AGENT_CALL_TIMEOUT_S = 0.1  # a call to an agent on the node's own machine, which answers at once while discovery is there
LINE_PAUSE_S = (
    0.1  # a line that has stopped for so long is taken for a broken one, as far as it takes away
)
MAX_QUEUED_LINES = 1_024  # lines behind one that is being taken in slices
MAX_RETIRING = 2  # broken watches that are read until another one tells a whole line,
RETIRING_S = 10.0  # and for how long


class Discovery:
    """Keeps the node's list by one watch, begun when the module asks.

    A call that is not answered soon gets another one beside it; the first watch to carry a whole line replaces all others. A watch that
    was lost in part, or fell silent, is read on until then (make before break: what discovery writes to it meanwhile counts as notified),
    but only for what takes servers away (`listing.claims_of`, `forkweir.known.hearsay`).
    """

    def __init__(
        self,
        node: ListObserver,
        pool: Pool,
        address: Address,
        agent: bool = False,
        loop_lag: Optional[LoopLagMonitor] = None,
    ) -> None:
        """agent: lists are pushed to one on this machine, and what it has counts as told from the first moment on."""
        self.address_book = AddressBook(node, pool)
        self.loop_lag = loop_lag or LoopLagMonitor()
        self._node = node
        self._agent = agent
        self._first_list_received = asyncio.Event()  # a whole line has come
        self._address = address
        self._cache = EntryCache()
        self._calls: dict[
            Watch, asyncio.Task[None]
        ] = {}  # any of which may become the node's watch, or is it; oldest first
        self._retiring: dict[asyncio.Task[None], Watch] = {}  # that lost something, oldest first
        self._changes_lost = (
            False  # some of what discovery told is lost, and no whole line has come since
        )
        self._checked_ms = 0.0  # when all watches were last found to have nothing unread

    def start(self, known: dict[str, Any]) -> None:
        """Begin with the list as this node last had it."""
        try:
            self.address_book.restore(known)
        except BadList as error:
            log.warning("the known list is of no use: %s", error)

    def has_unread_input(self) -> bool:
        """Whether a watch has bytes that this node has not looked at, because its loop was held up (a drain may stand among them)."""
        if not self.loop_lag.stalled_since(self._checked_ms):
            return False
        if any(watch.has_unread_input for watch in (*self._calls, *self._retiring.values())):
            return True
        self._checked_ms = now_ms()
        return False

    async def wait_first_list(self) -> None:
        """Until the first whole line has come (guards against a new process that serves by an old list with the newer one at hand)."""
        await self._first_list_received.wait()

    def follow(self) -> None:
        """Ask for changes from now on, unless a watch or a call is at it already."""
        if not self._calls:
            self._call()

    def move(self, address: Address) -> None:
        """Discovery is at another address from now on: ask there at once, for the whole list.

        Guards against a list that stands still, as a place that moved lets its old watches lapse. Another service need not
        count generations alike, so what was heard so far is no ground to ask for changes alone. Until the new place answers
        the list stays as it is, but for what the old one still takes away.
        """
        self._address = address
        self.address_book.generation = None
        for watch in list(self._calls):
            self._retire(watch)
        self._node.on_list("moved", [])
        self._call()

    def _call(self) -> None:
        timeout_s = AGENT_CALL_TIMEOUT_S if self._agent else CALL_TIMEOUT_S
        watch = Watch(
            self._address, self.address_book.generation, timeout_s, self.loop_lag, self._cache
        )
        self._calls[watch] = asyncio.create_task(self._run(watch))
        if not self._agent:
            watch.parallel_call_timer = self.loop_lag.call_later(
                PARALLEL_CALL_DELAY_S, lambda: self._call_in_parallel(watch)
            )

    def _call_in_parallel(self, late: Watch) -> None:
        """A call has had no answer for BESIDE_S: make another one (guards against a call, or its answer, that is lost on its way)."""
        if late.answered or late not in self._calls:
            return
        log.info(
            "discovery has not answered for %g s: another call goes beside", PARALLEL_CALL_DELAY_S
        )
        waiting = [watch for watch in self._calls if not watch.answered]
        for oldest in waiting[: max(0, len(waiting) - MAX_PENDING_CALLS + 1)]:
            self._calls.pop(oldest).cancel()
        self._call()

    def _retire(self, watch: Watch) -> None:
        """A watch is to be replaced: it is read on for what takes away, and so is a call whose answer is still to come."""
        task = self._calls.pop(watch)
        if task.done():
            return
        if self._agent and not watch.answered:
            task.cancel()
            return
        watch.retiring = True
        self._retiring[task] = watch
        limit = asyncio.get_running_loop().call_later(RETIRING_S, task.cancel)

        def retired(done: asyncio.Task[None]) -> None:
            limit.cancel()
            del self._retiring[done]

        task.add_done_callback(retired)
        for old in list(self._retiring)[:-MAX_RETIRING]:
            old.cancel()

    # -- one watch -----------------------------------------------------------------------

    async def _run(self, watch: Watch) -> None:
        try:
            await self._read_watch(watch)
            log.info("the watch ended")
            self._on_end(watch)
        except (OSError, h11.RemoteProtocolError, BadList) as error:
            log.info("the watch failed: %s: %s", type(error).__name__, error)
            self._on_end(watch)
        except Exception:
            log.exception("the watch failed")
            self._on_end(watch)
        finally:
            watch.close()

    async def _read_watch(self, watch: Watch) -> None:
        """Take what a watch tells until it ends; from when something of it is lost on, only what it takes away."""
        try:
            await watch.call()
            while data := await self._next_data(watch):
                # What stood unread while the loop was held up counts as notified from when it was written.
                self.address_book.written_ms = now_ms() - self.loop_lag.unread_ms()
                for line in watch.parser.receive(data):
                    if watch.retiring:
                        self._apply_unconfirmed(line)
                    elif line:
                        self._on_line(watch, line)
                if watch.parser.unfinished and (entries := watch.parser.unconfirmed_entries()):
                    self.address_book.apply_unconfirmed(entries, generation_of(watch.parser.rest()))
        except (OSError, h11.RemoteProtocolError, BadList):
            await watch.wait_applied()  # what came whole before that counts
            raise
        await watch.wait_applied()

    async def _next_data(self, watch: Watch) -> bytes:
        """The next bytes, whatever is lost before them; none at the watch's end. TimeoutError where nothing more will come of it.

        A line that stops in its middle is heeded as it is, and given up after STUCK_S. Framing that is lost, in whatever state the
        watch is, costs it its place alone: it is read on (guards against a watch that is hung up on while it tells a drain).
        """
        paused = False
        while True:
            pausing = watch.parser.unfinished and not watch.retiring and not paused
            try:
                async with self.loop_lag.timeout(LINE_PAUSE_S if pausing else None):
                    return await watch.next_data()
            except TimeoutError:
                if watch.stream is not None and not watch.stream.quiet:
                    continue  # it has spoken while this node stood still
                if pausing:
                    self._apply_unconfirmed(watch.parser.rest())
                    paused = True
                    continue
                if self._agent and not watch.parser.unfinished:
                    raise
                self._replace(
                    watch,
                    "a line that goes no further"
                    if watch.parser.unfinished
                    else f"silent for {SILENCE_TIMEOUT_S:g} s",
                )
            except h11.RemoteProtocolError as error:
                # With the framing is lost where lines end; entries can still be told by their braces.
                self._apply_unconfirmed(watch.parser.rest())
                self._replace(watch, f"no chunk: {error}")

    # -- lines ---------------------------------------------------------------------------

    def _on_line(self, watch: Watch, line: bytes) -> None:
        """Take a whole line: a short one now, a long one in slices between which the loop runs and the watch is read on.

        What comes behind a long one waits for it, but what it takes away is heeded at once (guards against a drain that stands behind a
        list of thousands of servers for as long as that takes).
        """
        if watch.applying is not None:
            self._apply_unconfirmed(line)
            watch.queued_lines.append(line)
            if len(watch.queued_lines) > MAX_QUEUED_LINES:
                self._replace(watch, "more lines than can be taken")
            return
        steps = self._apply_line(watch, line)
        if next(steps, True) is None:
            watch.applying = asyncio.create_task(self._apply_rest(watch, steps))

    async def _apply_rest(self, watch: Watch, steps: Iterator[None]) -> None:
        """Take the rest of a long line, and the lines that waited for it."""
        try:
            while not watch.retiring:
                await asyncio.sleep(0.0)
                if next(steps, True) is None:
                    continue
                if not watch.queued_lines:
                    return
                steps = self._apply_line(watch, watch.queued_lines.popleft())
        except Exception:
            log.exception("a list could not be taken")
            self._replace(watch, "a list that could not be taken")
        finally:
            watch.applying = None

    def _apply_line(self, watch: Watch, line: bytes) -> Iterator[None]:
        """Take a whole line; yields between slices of a long one. A watch that is replaced meanwhile is no reason to go on."""
        try:
            raw = parse_raw_list(line)
        except BadList as error:
            self._apply_unconfirmed(line)
            self._replace(watch, f"BadList: {error}")
            return
        pairs = read_entries(raw.entries[:SLICE_SERVERS], self._cache)
        for first in range(SLICE_SERVERS, len(raw.entries), SLICE_SERVERS):
            yield
            pairs += read_entries(raw.entries[first : first + SLICE_SERVERS], self._cache)
        for old in list(self._retiring):
            old.cancel()
        for other in [other for other in self._calls if other is not watch]:
            self._calls.pop(other).cancel()
        complete = raw.whole or not watch.has_whole_line
        watch.has_whole_line = True
        self._changes_lost = False
        yield from self.address_book.apply_line(raw.generation, raw.whole, pairs, complete)
        self._first_list_received.set()

    def _apply_unconfirmed(self, text: bytes) -> None:
        """Heed what can be read of a line that is spoilt or cut, or that came on a watch which is being replaced."""
        self.address_book.apply_unconfirmed(
            unconfirmed_entries(text, self._cache), generation_of(text)
        )

    def _replace(self, watch: Watch, why: str) -> None:
        """Something that a watch told is lost: another one is begun at once, and this one read on for what it still takes away."""
        if watch.retiring or watch not in self._calls:
            return
        log.info("the watch is replaced: %s", why)
        self._retire(watch)
        self._changes_lost = True
        self._node.on_list("lost", [])

    def _on_end(self, watch: Watch) -> None:
        """A watch is over; where nothing replaces it yet, the module says when to ask again."""
        cut = watch.parser.unfinished
        if cut:
            self._apply_unconfirmed(watch.parser.rest())
        if self._calls.pop(watch, None) is not None:
            self._changes_lost = self._changes_lost or cut
            if not self._calls:
                self._node.on_list("lost" if self._changes_lost else "failed", [])
