"""The operators' address on the node's own loop: each connection carries one call and ends."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from corkshift import seam
from corkshift.admin.protocol import AdminCall, BadCall, CallReader, format_answer
from corkshift.admin.status import Status
from corkshift.listener import Listener
from corkshift.seam import Address, Socket, now_ms
from corkshift.stream import KERNEL_BUFFER, Stream

log = logging.getLogger(__name__)

MAX_CONNECTIONS = (
    16  # connections at once; beyond it the one that has waited longest for its caller makes way,
)
MIN_CONNECTION_AGE_MS = 100.0  # but none as young as this
CALL_TIMEOUT_S = 5.0  # a connection whose call is not whole and answered by then ends


class Admin:
    """Serves the calls of operators, within bounds of its own that clients can't fill."""

    def __init__(self, status: Status, address: Address) -> None:
        self._status = status
        self._connections: dict[asyncio.Task[None], tuple[float, Stream]] = {}  # oldest first
        self._listener = Listener(
            seam.bind_listener(address, KERNEL_BUFFER), self._has_capacity, self._accept
        )
        self._calls: dict[str, tuple[str, Callable[[], tuple[int, str]]]] = {
            "/admin/health": ("GET", self._health),
            "/admin/stats": ("GET", self._stats),
            "/admin/quiesce": ("PUT", self._quiesce),
            "/admin/resume": ("PUT", self._resume),
        }

    @property
    def address(self) -> Address:
        """Where operators call."""
        return self._listener.address

    def add_view(self, path: str, render: Callable[[], bytes]) -> None:
        """One more call that only tells: JSON."""
        self._calls[path] = "GET", lambda: (200, render().decode() + "\n")

    def start(self) -> None:
        """Listen."""
        self._listener.start()

    def close(self) -> None:
        """Take no more calls and end those that wait."""
        self._listener.close()
        for task in list(self._connections):
            task.cancel()

    # -- connections ---------------------------------------------------------------------

    def _has_capacity(self) -> bool:
        """Guards against callers that connect and never call shutting out one that does."""
        if len(self._connections) < MAX_CONNECTIONS:
            return True
        task, (since_ms, stream) = next(iter(self._connections.items()))
        if now_ms() - since_ms < MIN_CONNECTION_AGE_MS:
            return False
        self._connections.pop(task)
        stream.abort()
        task.cancel()
        return True

    def _accept(self, sock: Socket) -> None:
        stream = Stream(sock)
        task = asyncio.create_task(self._serve(stream))
        self._connections[task] = now_ms(), stream
        task.add_done_callback(self._on_connection_done)

    def _on_connection_done(self, task: asyncio.Task[None]) -> None:
        self._connections.pop(task, None)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.error("a call of an operator failed", exc_info=error)
        self._listener.resume()

    async def _serve(self, stream: Stream) -> None:
        reader = CallReader()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                try:
                    reply = self._reply(await _read_call(stream, reader), reader.head_only)
                except BadCall as error:
                    reply = format_answer(error.status, f"{error.reason}\n")
                await stream.write(reply)
                await stream.finish()
        except (OSError, TimeoutError):
            pass
        finally:
            stream.abort()

    # -- calls ---------------------------------------------------------------------------

    def _reply(self, call: AdminCall, head_only: bool) -> bytes:
        entry = self._calls.get(call.path)
        if entry is None:
            return format_answer(
                404,
                f"no call {call.path}; there are: {' '.join(self._calls)}\n",
                head_only=head_only,
            )
        method, handler = entry
        if call.method != method and not (head_only and method == "GET"):
            return format_answer(
                405, f"{call.path} takes {method}\n", allow=method, head_only=head_only
            )
        status, text = handler()
        return format_answer(status, text, head_only=head_only)

    def _health(self) -> tuple[int, str]:
        return (200, "serving\n") if self._status.can_serve() else (503, "not serving yet\n")

    def _stats(self) -> tuple[int, str]:
        return 200, self._status.metrics_text()

    def _quiesce(self) -> tuple[int, str]:
        if not self._status.quiesce():
            return 409, "the process is about to end\n"
        log.info("told to drain")
        return 200, "draining\n"

    def _resume(self) -> tuple[int, str]:
        if not self._status.resume():
            return 409, "the process is about to end\n"
        log.info("told to go back to work")
        return 200, "serving\n"


async def _read_call(stream: Stream, reader: CallReader) -> AdminCall:
    """Read one call; BadCall where none comes, OSError where the caller breaks off."""
    continue_sent = False
    while True:
        data = await stream.read()
        if (call := reader.receive(data)) is not None:
            return call
        if not data:
            raise ConnectionAbortedError("the caller left")
        if reader.expects_continue and not continue_sent:
            continue_sent = True
            await stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
