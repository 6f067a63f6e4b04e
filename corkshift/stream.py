"""A socket with a bounded read buffer, an exact account of what was sent, and an abort that acts at once."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Optional

from corkshift import seam
from corkshift.seam import Socket
from corkshift.seam.errors import NO_BUFFER_ERRNOS

CHUNK = 65_536  # bytes of one read, and of input held before reading pauses
KERNEL_BUFFER = (
    65_536  # asked of the kernel for each direction; it doubles this for its own overhead
)
NO_BUFFERS_S = 0.01  # until a read or write for which the kernel had no memory is tried again
LINGER_S = 1.0  # how long a closing connection waits for its peer's end,
LINGER_BYTES = 262_144  # and how much it throws away meanwhile

_RESET = struct.pack("ii", 1, 0)
_SCRATCH = memoryview(
    bytearray(CHUNK)
)  # all reads land here first (guards against a large block allocated for each small read)


class Stream:
    """One connection. Reads go on by themselves until the buffer is full; writes end when the kernel has the bytes."""

    __slots__ = (
        "_loop", "_sock", "_in", "_held", "_reading", "_reader", "_writer", "ended", "error", "closed", "notice", "most", "crowded",
        "_overdue",
    )  # fmt: skip

    def __init__(self, sock: Socket) -> None:
        self._loop = asyncio.get_running_loop()
        self._sock = sock
        self._in: deque[bytes] = deque()
        self._held = 0
        self._reading = False
        self._reader: Optional[asyncio.Future[None]] = None
        self._writer: Optional[asyncio.Future[None]] = None
        self.ended = False  # the peer sends nothing more
        self.error: Optional[OSError] = None
        self.closed = False
        self._overdue = False
        self.crowded = False  # the last read took as much as it could: more may stand behind it, and the peer's end behind that
        self.most = CHUNK  # bytes of one read, and of input held before reading pauses
        self.notice: Optional[Callable[[], None]] = None  # called when input comes or ends
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._resume()

    @property
    def reading(self) -> bool:
        """Whether the peer's end would be heard; it is not while the buffer is full."""
        return self._reading

    @property
    def abandoned(self) -> bool:
        """Whether the peer has ended its side or reset the connection, also where bytes that nobody has read stand before that end."""
        return not self.closed and (self.ended or seam.closed_by_peer(self._sock))

    @property
    def unread_ms(self) -> Optional[float]:
        """How long ago the peer's last bytes came in; None where the system can't tell."""
        return None if self.closed else seam.ms_since_last_receive(self._sock)

    @property
    def has_input(self) -> bool:
        """Whether bytes wait to be read."""
        return bool(self._in)

    @property
    def quiet(self) -> bool:
        """Whether nothing has come, as it should be on an idle connection; asks the kernel too."""
        if not (self.closed or self.ended or self._in):
            self._readable()
        return not (self.closed or self.ended or self._in)

    async def read(self) -> bytes:
        """The next bytes; none at the end. A reset raises."""
        while not self._in:
            if self.error is not None:
                raise self.error
            if self._overdue:
                self._overdue = False
                raise TimeoutError("the peer is too slow")
            if self.ended:
                return b""
            if self.closed:
                raise ConnectionAbortedError("closed")
            self._reader = self._loop.create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        data = self._in.popleft()
        self._held -= len(data)
        if self._held < self.most:
            self._resume()
        return data

    def expire(self) -> None:
        """Let the read that waits, or else the next one that would wait, fail: the peer has had its time.

        What stands in the kernel's buffer has come in time (guards against a request that is whole there and nobody has looked).
        """
        self._overdue = True
        if not (self.closed or self.ended) and self._reading:
            self._readable()
        self._wake()

    def spare(self) -> None:
        """Hold nothing of that time against the peer any more: what was awaited has come after all."""
        self._overdue = False

    def push(self, data: bytes) -> int:
        """Give the kernel what it takes at once; how much that was."""
        if self.closed or self.error is not None:
            raise self.error or ConnectionAbortedError("closed")
        try:
            return self._sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as error:
            if error.errno in NO_BUFFER_ERRNOS:
                return 0
            self._end(error)
            raise

    async def write(self, data: bytes | bytearray, until_input: bool = False) -> bool:
        """Give all bytes to the kernel. With until_input, stop early (False) when the peer speaks first."""
        view = memoryview(data)
        while view:
            if self.error is not None:
                raise self.error
            if self.closed:
                raise ConnectionAbortedError("closed")
            if until_input and (self._in or self.ended):
                return False
            try:
                sent = self._sock.send(view)
            except (BlockingIOError, InterruptedError):
                await self._writable()
                continue
            except OSError as error:
                if error.errno in NO_BUFFER_ERRNOS:
                    await asyncio.sleep(
                        NO_BUFFERS_S
                    )  # the socket may well count as writable meanwhile
                    continue
                self._end(error)
                raise
            view = view[sent:]
        return True

    def abort(self) -> None:
        """Reset the connection now: what the kernel still holds must not go out after it was given up."""
        if not self.closed:
            with suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.close()

    def close(self) -> None:
        """Close at once; bytes that the kernel has still go out."""
        if self.closed:
            return
        self.closed = True
        self._pause()
        if self._writer is not None:
            self._loop.remove_writer(self._sock)
        self._sock.close()
        self._in.clear()
        self._held = 0
        self._wake()

    async def finish(self) -> None:
        """End our side and wait briefly for the peer's end (a close over unread input would reset the answer)."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
            left = LINGER_BYTES
            async with asyncio.timeout(LINGER_S):
                while left > 0 and (data := await self.read()):
                    left -= len(data)
        except OSError:
            pass
        self.close()

    async def _writable(self) -> None:
        self._writer = self._loop.create_future()
        self._loop.add_writer(self._sock, self._wake)
        try:
            await self._writer
        finally:
            self._writer = None
            if not self.closed:
                self._loop.remove_writer(self._sock)

    def _readable(self) -> None:
        try:
            size = self._sock.recv_into(_SCRATCH if self.most == CHUNK else _SCRATCH[: self.most])
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            if error.errno in NO_BUFFER_ERRNOS:
                self._pause()  # what stands in the kernel is read a little later
                self._loop.call_later(NO_BUFFERS_S, self._resume)
                return
            self._end(error)
            return
        if not size:
            self._end(None)
            return
        self.crowded = size == self.most
        self._in.append(bytes(_SCRATCH[:size]))
        self._held += size
        if self._held >= self.most:
            self._pause()
        self._wake()
        if self.notice is not None:
            self.notice()

    def _end(self, error: Optional[OSError]) -> None:
        self.ended = True
        self.error = error
        self._pause()
        self._wake()
        if self.notice is not None:
            self.notice()

    def _wake(self) -> None:
        for waiter in (self._reader, self._writer):
            if waiter is not None and not waiter.done():
                waiter.set_result(None)

    def _resume(self) -> None:
        if not (self._reading or self.ended or self.closed):
            self._reading = True
            self._loop.add_reader(self._sock, self._readable)

    def _pause(self) -> None:
        if self._reading:
            self._reading = False
            self._loop.remove_reader(self._sock)
