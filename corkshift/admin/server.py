"""The operators' HTTP server on the node's event loop, one request per connection."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from corkshift import seam
from corkshift.admin.protocol import AdminCall, BadCall, CallReader, format_answer
from corkshift.admin.status import Status
from corkshift.listener import Listener
from corkshift.seam import Address, Socket, now_ms
from corkshift.stream import KERNEL_BUFFER_BYTES, Stream

log = logging.getLogger(__name__)

# At the maximum a new connection replaces the oldest, unless that is younger than the minimum age.
MAX_CONNECTIONS = 16
MIN_CONNECTION_AGE_MS = 100.0
CALL_TIMEOUT_S = 5.0  # for receiving and answering a request


class Admin:
    """Serves operators. Its connection limit is separate from that of clients."""

    def __init__(self, status: Status, address: Address) -> None:
        self._status = status
        self._connections: dict[asyncio.Task[None], tuple[float, Stream]] = {}  # oldest first
        self._listener = Listener(
            seam.bind_listener(address, KERNEL_BUFFER_BYTES), self._has_capacity, self._accept
        )
        self._calls: dict[str, tuple[str, Callable[[], tuple[int, str]]]] = {
            "/admin/health": ("GET", self._health),
            "/admin/stats": ("GET", self._stats),
            "/admin/quiesce": ("PUT", self._quiesce),
            "/admin/resume": ("PUT", self._resume),
        }

    @property
    def address(self) -> Address:
        """The address it listens on."""
        return self._listener.address

    def add_view(self, path: str, render: Callable[[], bytes]) -> None:
        """Add a read-only path that answers with JSON."""
        self._calls[path] = "GET", lambda: (200, render().decode() + "\n")

    def start(self) -> None:
        """Start to accept connections."""
        self._listener.start()

    def close(self) -> None:
        """Stop accepting and cancel open connections."""
        self._listener.close()
        for task in list(self._connections):
            task.cancel()

    # -- connections ---------------------------------------------------------------------

    def _has_capacity(self) -> bool:
        """Whether a connection can be accepted; may close the oldest one to make that possible.

        Otherwise clients that connect and send nothing would keep operators out.
        """
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
            log.error("admin: internal error while answering a request", exc_info=error)
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
                await stream.close_gracefully()
        except (OSError, TimeoutError):
            pass
        finally:
            stream.abort()

    # -- requests ------------------------------------------------------------------------

    def _reply(self, call: AdminCall, head_only: bool) -> bytes:
        entry = self._calls.get(call.path)
        if entry is None:
            return format_answer(
                404,
                f"unknown path {call.path}; available: {' '.join(self._calls)}\n",
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
        log.info("admin: quiesce requested, draining")
        return 200, "draining\n"

    def _resume(self) -> tuple[int, str]:
        if not self._status.resume():
            return 409, "the process is about to end\n"
        log.info("admin: resume requested, serving again")
        return 200, "serving\n"


async def _read_call(stream: Stream, reader: CallReader) -> AdminCall:
    """Read one request; BadCall where it is invalid, OSError where the client disconnects."""
    continue_sent = False
    while True:
        data = await stream.read()
        if (call := reader.receive(data)) is not None:
            return call
        if not data:
            raise ConnectionAbortedError("the client closed the connection")
        if reader.expects_continue and not continue_sent:
            continue_sent = True
            await stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
