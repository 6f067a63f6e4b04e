"""The discovery client: opens calls, decides which of them is the node's watch, and replaces a
watch that breaks or cannot be read.

`watch` handles a single call and `address_book` applies what its lines say. All durations here are
active time (`loop_lag`), except RETIRING_S.
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
from corkshift.watch import SILENCE_TIMEOUT_S, CallCause, Watch

log = logging.getLogger(__name__)

# A change counts as notified 6 s after discovery had it, whatever happened to watches and calls.
# SILENCE_TIMEOUT_S, the pause before a call (`forkweir.known`), PARALLEL_CALL_DELAY_S and the time
# of one answer must fit into that together (see docs/health.md).

# After this time without an answer a second call is made in parallel; the first keeps waiting.
PARALLEL_CALL_DELAY_S = 2.0
# Unanswered calls open at once; a further call cancels the oldest.
MAX_PENDING_CALLS = 4
CALL_TIMEOUT_S = PARALLEL_CALL_DELAY_S * MAX_PENDING_CALLS
# A call to an agent on the node's own machine, which answers at once while discovery is up.
AGENT_CALL_TIMEOUT_S = 0.1
# The removals in a line that has stopped for this long are applied as those of a broken line.
LINE_PAUSE_S = 0.1
MAX_QUEUED_LINES = 1_024  # lines waiting behind one that is applied in slices
# Lossy watches that are still read until another one delivers a complete line.
MAX_RETIRING = 2
RETIRING_S = 10.0  # how long such a watch is read at most


class Discovery:
    """Keeps the node's server list up to date through one watch, opened when the decisions ask.

    A call that is not answered soon gets a parallel one; the first watch to deliver a complete line
    replaces all others. A watch that lost data, or fell silent, is read until then (make before
    break, because what discovery writes to it meanwhile counts as notified), but only entries that
    remove servers are applied (`listing.unconfirmed_entries`).
    """

    def __init__(
        self,
        node: ListObserver,
        pool: Pool,
        address: Address,
        agent: bool = False,
        loop_lag: Optional[LoopLagMonitor] = None,
    ) -> None:
        """agent: lists are pushed to an agent on this machine, so that its list counts as notified
        from the start.
        """
        self.address_book = AddressBook(node, pool)
        self.loop_lag = loop_lag or LoopLagMonitor()
        self._node = node
        self._agent = agent
        self._address = address
        self._cache = EntryCache()
        # The node's watch and the calls that may become it, oldest first.
        self._calls: dict[Watch, asyncio.Task[None]] = {}
        # Watches that lost data, oldest first.
        self._retiring: dict[asyncio.Task[None], Watch] = {}
        # Some changes were lost, and no complete line has arrived since.
        self._changes_lost = False
        self._checked_ms = 0.0  # when all watches were last found to have no unread input
        self.call_counts = dict.fromkeys(CallCause, 0)
        self.failed_calls = 0  # calls that ended before a list had come
        self._started_ms = now_ms()
        self._last_input_ms: Optional[float] = None  # when discovery last wrote to a watch
        self._next_cause = CallCause.START  # why the next call that the decisions ask for is made

    def start(self, known: dict[str, Any]) -> None:
        """Start from the list that this node last saved."""
        try:
            self.address_book.restore(known)
        except BadList as error:
            log.warning("the saved list in `known` is malformed and ignored: %s", error)

    def has_unread_input(self) -> bool:
        """Whether a watch has bytes that are unread because the loop was stalled; a drain may be
        among them.
        """
        if not self.loop_lag.stalled_since(self._checked_ms):
            return False
        if any(watch.has_unread_input for watch in (*self._calls, *self._retiring.values())):
            return True
        self._checked_ms = now_ms()
        return False

    @property
    def first_list_received(self) -> bool:
        """Whether a complete line has been applied in this process."""
        return self.address_book.complete_line_applied

    def list_age_ms(self) -> Optional[float]:
        """Time since discovery last wrote to a watch, in ms; None before the first list."""
        if self._last_input_ms is None or not self.first_list_received:
            return None
        return now_ms() - self._last_input_ms

    def follow(self) -> None:
        """Open a watch, unless a watch or a call is open already."""
        if not self._calls:
            self._call(self._next_cause)

    def move(self, address: Address) -> None:
        """Switch to discovery at another address: call it at once, for the full list.

        Guards against a list that is no longer updated, because a service that has moved lets its
        old watches lapse. Another service need not count generations in the same way, so the
        generation so far is not used to ask for changes only. Until the new address answers, the
        list stays as it is, except for removals that the old one still notifies.
        """
        self._address = address
        self.address_book.generation = None
        for watch in list(self._calls):
            self._retire(watch)
        self._node.on_list("moved", [])
        self._call(CallCause.MOVED)

    def _call(self, cause: CallCause) -> None:
        self.call_counts[cause] += 1
        if not self.first_list_received:
            log.info(
                "call to discovery at %s:%d %.0f ms after the start (%s)",
                *self._address,
                now_ms() - self._started_ms,
                cause,
            )
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
        """Make another call, as one has had no answer for PARALLEL_CALL_DELAY_S.

        Guards against a call, or its answer, that is lost on the way.
        """
        if late.answered or late not in self._calls:
            return
        log.info(
            "discovery has not answered for %g s: making a parallel call", PARALLEL_CALL_DELAY_S
        )
        waiting = [watch for watch in self._calls if not watch.answered]
        for oldest in waiting[: max(0, len(waiting) - MAX_PENDING_CALLS + 1)]:
            self._calls.pop(oldest).cancel()
        self._call(CallCause.PARALLEL)

    def _retire(self, watch: Watch) -> None:
        """Read a watch that is to be replaced for removals only; so too a call not answered yet."""
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
            log.info("watch of discovery at %s:%d ended", *watch.address)
            self._on_end(watch)
        except (OSError, h11.RemoteProtocolError, BadList) as error:
            log.info(
                "watch of discovery at %s:%d failed: %s: %s",
                *watch.address,
                type(error).__name__,
                error,
            )
            self._on_end(watch)
        except Exception:
            log.exception("watch of discovery failed")
            self._on_end(watch)
        finally:
            watch.close()

    async def _read_watch(self, watch: Watch) -> None:
        """Apply what a watch delivers until it ends; once it has lost data, removals only."""
        try:
            await watch.call()
            while data := await self._next_data(watch):
                # Input that was unread during a stall counts as notified since it was written.
                self._last_input_ms = now_ms() - self.loop_lag.unread_ms()
                self.address_book.written_ms = self._last_input_ms
                for line in watch.parser.receive(data):
                    if watch.retiring:
                        self._apply_unconfirmed(line)
                    elif line:
                        self._on_line(watch, line)
                if watch.parser.unfinished and (entries := watch.parser.unconfirmed_entries()):
                    self.address_book.apply_unconfirmed(
                        entries, generation_of(watch.parser.partial_line())
                    )
        except (OSError, h11.RemoteProtocolError, BadList):
            await watch.wait_applied()  # lines that were complete before the failure count
            raise
        await watch.wait_applied()

    async def _next_data(self, watch: Watch) -> bytes:
        """The next bytes, whatever was lost before them; b"" at the watch's end.

        Raises TimeoutError where an agent's watch is silent. The removals in a line that pauses are
        applied as they stand, and after LINE_TIMEOUT_S the watch is replaced. A watch whose framing
        is lost, in whatever state it is, is replaced but still read (guards against one that is
        closed while it delivers a drain).
        """
        paused = False
        while True:
            pausing = watch.parser.unfinished and not watch.retiring and not paused
            try:
                async with self.loop_lag.timeout(LINE_PAUSE_S if pausing else None):
                    return await watch.next_data()
            except TimeoutError:
                if watch.stream is not None and not watch.stream.open_without_input:
                    continue  # input arrived while this node was stalled
                if pausing:
                    self._apply_unconfirmed(watch.parser.partial_line())
                    paused = True
                    continue
                if self._agent and not watch.parser.unfinished:
                    raise
                self._replace(
                    watch,
                    "a line stayed incomplete"
                    if watch.parser.unfinished
                    else f"silent for {SILENCE_TIMEOUT_S:g} s",
                )
            except h11.RemoteProtocolError as error:
                # Without framing line ends are unknown, but entries are still delimited by braces.
                self._apply_unconfirmed(watch.parser.partial_line())
                self._replace(watch, f"chunked framing lost: {error}")

    # -- lines ---------------------------------------------------------------------------

    def _on_line(self, watch: Watch, line: bytes) -> None:
        """Apply a complete line: a short one now, a long one in slices between which the loop runs.

        Lines behind a long one are queued, but their removals are applied at once (guards against a
        drain that waits while a list of thousands of servers is applied).
        """
        if watch.applying is not None:
            self._apply_unconfirmed(line)
            watch.queued_lines.append(line)
            if len(watch.queued_lines) > MAX_QUEUED_LINES:
                self._replace(watch, "too many lines queued behind a long list")
            return
        steps = self._apply_line(watch, line)
        if next(steps, True) is None:
            watch.applying = asyncio.create_task(self._apply_remaining(watch, steps))

    async def _apply_remaining(self, watch: Watch, steps: Iterator[None]) -> None:
        """Apply the rest of a long line, and the lines queued behind it."""
        try:
            while not watch.retiring:
                await asyncio.sleep(0.0)
                if next(steps, True) is None:
                    continue
                if not watch.queued_lines:
                    return
                steps = self._apply_line(watch, watch.queued_lines.popleft())
        except Exception:
            log.exception("a list could not be applied")
            self._replace(watch, "a list could not be applied")
        finally:
            watch.applying = None

    def _apply_line(self, watch: Watch, line: bytes) -> Iterator[None]:
        """Apply a complete line; yields between the slices of a long one.

        The caller stops iterating when the watch is replaced meanwhile.
        """
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
        gapless = raw.full or not watch.complete_line_received
        watch.complete_line_received = True
        self._changes_lost = False
        first = not self.first_list_received
        yield from self.address_book.apply_line(raw.generation, raw.full, pairs, gapless)
        if first:
            log.info(
                "first list of this process: generation %d, %.0f ms after the start",
                raw.generation,
                now_ms() - self._started_ms,
            )

    def _apply_unconfirmed(self, text: bytes) -> None:
        """Apply the removals in a corrupt or partial line, or in a line of a retiring watch."""
        self.address_book.apply_unconfirmed(
            unconfirmed_entries(text, self._cache), generation_of(text)
        )

    def _replace(self, watch: Watch, reason: str) -> None:
        """Replace a watch that lost data: have another opened at once, and retire this one."""
        if watch.retiring or watch not in self._calls:
            return
        log.info("watch of discovery at %s:%d is replaced: %s", *watch.address, reason)
        self._retire(watch)
        self._changes_lost = True
        self._next_cause = CallCause.LOST
        self._node.on_list("lost", [])

    def _on_end(self, watch: Watch) -> None:
        """Handle a watch's end; if nothing replaces it yet, the decisions time the next call."""
        cut = watch.parser.unfinished
        if cut:
            self._apply_unconfirmed(watch.parser.partial_line())
        if not watch.complete_line_received:
            self.failed_calls += 1
        if self._calls.pop(watch, None) is not None:
            self._changes_lost = self._changes_lost or cut
            if not self._calls:
                self._next_cause = CallCause.LOST if self._changes_lost else CallCause.RETRY
                self._node.on_list("lost" if self._changes_lost else "failed", [])
