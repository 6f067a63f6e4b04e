"""A TCP connection with a bounded read buffer, unbuffered writes and an immediate abort."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Optional

from corkshift import seam
from corkshift.seam import Socket, now_ms
from corkshift.seam.errors import NO_BUFFER_ERRNOS

# Limit of one read, and of buffered input at which reading pauses.
READ_BYTES = 65_536
# Reads of one connection in one turn of the event loop; a read may be short.
MAX_READS_PER_TURN = 4
# Socket buffer size requested per direction; Linux doubles it for its own overhead.
KERNEL_BUFFER_BYTES = 65_536
# Delay until a read or write is retried after the kernel had no memory for it.
NO_BUFFERS_RETRY_S = 0.01
# Time that a closing connection waits for its peer's FIN, and input discarded meanwhile.
LINGER_TIMEOUT_S = 1.0
MAX_LINGER_BYTES = 262_144
LINGER_READ_BYTES = 4_096

# Value of SO_LINGER with which close() sends a reset.
_RESET = struct.pack("ii", 1, 0)
# Buffer shared by all reads, so that a small read doesn't allocate a large block.
_SCRATCH = memoryview(bytearray(READ_BYTES))


class Stream:
    """One connection.

    It reads by itself until the buffer is full. A write returns when the kernel has all its bytes.
    """

    __slots__ = (
        "_loop", "_sock", "_in", "_buffered_bytes", "_reading", "_reader", "_writer", "ended",
        "_error", "closed", "on_input", "read_limit", "last_read_full", "_expired", "read_ms",
        "times_input", "_resumed",
    )  # fmt: skip

    def __init__(self, sock: Socket) -> None:
        self._loop = asyncio.get_running_loop()
        self._sock = sock
        self._in: deque[tuple[float, bytes]] = deque()  # input, and since when it waits
        # Since when the bytes that `read` returned last had been there, on the node's clock. Kept
        # only with `times_input`, as it costs a look at the clock for each read, and a system call
        # for one behind a pause.
        self.read_ms = 0.0
        self.times_input = False
        self._resumed = False  # reading was paused; what is read now may have waited in the kernel
        self._buffered_bytes = 0
        self._reading = False
        self._reader: Optional[asyncio.Future[None]] = None
        self._writer: Optional[asyncio.Future[None]] = None
        self.ended = False  # FIN or reset received, or a socket error
        # What ended the connection, if it was neither FIN nor this side. It is never raised itself:
        # an exception that was raised refers to the frames it passed, and they to this stream.
        self._error: Optional[OSError] = None
        self.closed = False
        self._expired = False
        # The last read reached its limit: more input, and the peer's FIN, may be unread.
        self.last_read_full = False
        # Limit of one read, and of buffered input at which reading pauses; READ_BYTES at most.
        self.read_limit = READ_BYTES
        self.on_input: Optional[Callable[[], None]] = None  # called when input arrives or ends
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._resume()

    @property
    def error(self) -> Optional[OSError]:
        """What ended the connection, if it was neither FIN nor this side; not to be raised."""
        return self._error

    @property
    def reading(self) -> bool:
        """Whether input and the peer's FIN are noticed; they are not while the buffer is full."""
        return self._reading

    @property
    def end_may_be_unread(self) -> bool:
        """Whether the peer's FIN or reset may lie unread in the kernel.

        That is so while the buffer is full, by however many reads it was filled, and until the read
        after one that reached its limit.
        """
        return not self._reading or self.last_read_full

    @property
    def peer_left(self) -> bool:
        """Whether the peer has sent FIN or reset the connection, also behind unread bytes."""
        return not self.closed and (self.ended or seam.closed_by_peer(self._sock))

    @property
    def unread_ms(self) -> Optional[float]:
        """Time in ms since the peer's last bytes arrived; None if the system can't tell."""
        return None if self.closed else seam.ms_since_last_receive(self._sock)

    @property
    def has_buffered_input(self) -> bool:
        """Whether the buffer holds input; the kernel's buffer is not looked at."""
        return bool(self._in)

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes in the read buffer."""
        return self._buffered_bytes

    @property
    def last_read_bytes(self) -> int:
        """The size of the last read, within `on_input`, if that brought bytes."""
        return len(self._in[-1][1])

    @property
    def keeps_up(self) -> bool:
        """Whether the last read emptied the socket, and input is read as it comes from now on."""
        return self._reading and not self.last_read_full

    @property
    def open_without_input(self) -> bool:
        """Whether the connection is open and has no input, after reading the socket once.

        So input that only the kernel held counts, and so does the peer's FIN.
        """
        if not (self.closed or self.ended or self._in):
            self._receive()
        return not (self.closed or self.ended or self._in)

    async def read(self) -> bytes:
        """Return the next bytes, b"" after the peer's FIN.

        Raises OSError after a reset and TimeoutError after `expire`.
        """
        while not self._in:
            if self._error is not None:
                raise _without_traceback(self._error)
            if self._expired:
                self._expired = False
                raise TimeoutError("peer did not send in time")
            if self.ended:
                return b""
            if self.closed:
                raise ConnectionAbortedError("connection is closed")
            self._reader = self._loop.create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        self.read_ms, data = self._in.popleft()
        self._buffered_bytes -= len(data)
        if self._buffered_bytes < self.read_limit and not self._reading:
            self._resumed = True
            self._resume()
        return data

    def expire(self) -> None:
        """Time out the read that is waiting, or the next one that would wait.

        Bytes in the kernel's buffer arrived in time and are read first: they may complete a
        request.
        """
        self._expired = True
        if not (self.closed or self.ended) and self._reading:
            self._receive()
        self._wake()

    def clear_expired(self) -> None:
        """Withdraw `expire`: the expected bytes have arrived."""
        self._expired = False

    def write_now(self, data: bytes | bytearray | memoryview) -> int:
        """Write what the kernel takes without waiting; return the number of bytes."""
        if self._error is not None:
            raise _without_traceback(self._error)
        if self.closed:
            raise ConnectionAbortedError("connection is closed")
        try:
            return self._sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as error:
            if error.errno in NO_BUFFER_ERRNOS:
                return 0
            self._end(error)
            raise

    async def write(self, data: bytes | bytearray | memoryview, until_input: bool = False) -> bool:
        """Write all bytes to the kernel.

        With `until_input`, stops and returns False when the peer sends or closes first.
        """
        view = memoryview(data)
        while view:
            if self._error is not None:
                raise _without_traceback(self._error)
            if self.closed:
                raise ConnectionAbortedError("connection is closed")
            if until_input and (self._in or self.ended):
                return False
            try:
                sent = self._sock.send(view)
            except (BlockingIOError, InterruptedError):
                await self._writable()
                continue
            except OSError as error:
                if error.errno in NO_BUFFER_ERRNOS:
                    # The socket may count as writable meanwhile, so waiting for that is no help.
                    await asyncio.sleep(NO_BUFFERS_RETRY_S)
                    continue
                self._end(error)
                raise
            view = view[sent:]
        return True

    async def write_within(
        self, seconds: float, data: bytes | bytearray | memoryview, until_input: bool = False
    ) -> bool:
        """Write like `write`; raise TimeoutError if that takes longer than `seconds`.

        No timer is set for what the kernel takes at once, which is nearly always all of it.
        """
        sent = 0 if until_input and (self._in or self.ended) else self.write_now(data)
        if sent == len(data):
            return True
        async with asyncio.timeout(seconds):
            return await self.write(memoryview(data)[sent:], until_input)

    def abort(self) -> None:
        """Reset the connection now, so that the kernel discards bytes it has not sent."""
        if not self.closed:
            with suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.close()

    def close(self) -> None:
        """Close at once; the kernel still sends the bytes that it has."""
        if self.closed:
            return
        self.closed = True
        self._pause()
        if self._writer is not None:
            self._loop.remove_writer(self._sock)
        self._sock.close()
        self.on_input = None  # it refers to the owner, who refers to this stream
        self._in.clear()
        self._buffered_bytes = 0
        self._wake()

    async def close_gracefully(self) -> None:
        """Send FIN and wait briefly for the peer's.

        Closing over unread input would reset the connection and could destroy the last response.
        """
        try:
            self._sock.shutdown(socket.SHUT_WR)
            self.read_limit = min(self.read_limit, LINGER_READ_BYTES)
            left = MAX_LINGER_BYTES
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                while left > 0 and (data := await self.read()):
                    left -= len(data)
        except OSError:
            pass
        self.close()

    async def _writable(self) -> None:
        self._writer = self._loop.create_future()
        self._loop.add_writer(self._sock, self._on_writable)
        try:
            await self._writer
        finally:
            self._writer = None
            if not self.closed:
                self._loop.remove_writer(self._sock)

    def _on_writable(self) -> None:
        # uvloop keeps a closed handle for a socket with an error until its writer is removed, and
        # the handle would refuse a new reader.
        self._loop.remove_writer(self._sock)
        self._wake()

    def _on_readable(self) -> None:
        """Read until the socket is empty or ended, or until the buffer is full.

        uvloop stops watching a socket at the first event with an error, after a single call of this
        function. So a reset directly behind data must be read without another event.
        """
        for _ in range(MAX_READS_PER_TURN):
            if not (self._reading and self._receive()):
                return
        if self._reading:
            self._loop.call_soon(self._on_readable)

    def _receive(self) -> bool:
        """Read once; return whether input arrived."""
        try:
            size = self._sock.recv_into(
                _SCRATCH if self.read_limit == READ_BYTES else _SCRATCH[: self.read_limit]
            )
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            if error.errno in NO_BUFFER_ERRNOS:
                self._pause()  # the kernel keeps the input until the retry
                self._loop.call_later(NO_BUFFERS_RETRY_S, self._resume)
            else:
                self._end(error)
            return False
        if not size:
            self._end(None)
            return False
        self.last_read_full = size == self.read_limit
        since_ms = self._waiting_since_ms() if self.times_input else 0.0
        self._in.append((since_ms, bytes(_SCRATCH[:size])))
        self._buffered_bytes += size
        if self._buffered_bytes >= self.read_limit:
            self._pause()
        self._wake()
        if self.on_input is not None:
            self.on_input()
        return True

    def _waiting_since_ms(self) -> float:
        """Return since when the bytes that were read now have been there, as far as is known.

        What was read as it came has been there since now. Behind a pause of reading, the last bytes
        that the kernel has received tell the least time.
        """
        now = now_ms()
        if not self._resumed:
            return now
        self._resumed = self.last_read_full
        return now - (self.unread_ms or 0.0)

    def _end(self, error: Optional[OSError]) -> None:
        self.ended = True
        self._error = None if error is None else _without_traceback(error)
        self._pause()
        self._wake()
        if self.on_input is not None:
            self.on_input()

    def _wake(self) -> None:
        for waiter in (self._reader, self._writer):
            if waiter is not None and not waiter.done():
                waiter.set_result(None)

    def _resume(self) -> None:
        if not (self._reading or self.ended or self.closed):
            self._reading = True
            self._loop.add_reader(self._sock, self._on_readable)

    def _pause(self) -> None:
        if self._reading:
            self._reading = False
            self._loop.remove_reader(self._sock)


def _without_traceback(error: OSError) -> OSError:
    """Return an equal exception that refers to no frame."""
    return type(error)(*error.args)
