"""HTTP/1.1 server and client of the emulated systems.

They use the node's streams, so that they run on real sockets and on virtual ones.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass
from typing import Optional, TypeVar

import h11

from corkshift import seam
from corkshift.seam import Address, Socket
from corkshift.stream import KERNEL_BUFFER_BYTES, Stream

MAX_BODY_BYTES = 1 << 25

Result = TypeVar("Result")


class Ended(Exception):
    """The peer ended the connection before a whole message was received."""


@dataclass(frozen=True, slots=True)
class Message:
    """A whole request or response.

    The status of a request is 0; method and target of a response are empty. Header names are in
    lower case.
    """

    method: str
    target: str
    status: int
    headers: Mapping[bytes, bytes]
    body: bytes

    def header(self, name: bytes) -> str:
        """Return a header by its lower-case name, or an empty string."""
        return self.headers.get(name, b"").decode("latin-1")


class Connection:
    """One end of an HTTP/1.1 connection, which carries one exchange at a time."""

    def __init__(self, stream: Stream, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.stream = stream
        self.exchanges = 0
        self._role = role
        self._parser = h11.Connection(role)
        self._extra_input = b""

    @property
    def has_no_unsolicited_input(self) -> bool:
        """Whether no input has arrived since the last message."""
        return not self._extra_input and self.stream.open_without_input

    def start_next_exchange(self) -> None:
        """Prepare for the next exchange on this connection."""
        self._extra_input = bytes(self._parser.trailing_data[0])
        self._parser = h11.Connection(self._role)
        if self._extra_input:
            self._parser.receive_data(self._extra_input)
            self._extra_input = b""
        self.exchanges += 1

    async def read_message(self) -> Message:
        """Read the next whole message; raises Ended, h11.RemoteProtocolError or OSError."""
        head: Optional[h11.Request | h11.Response] = None
        body = bytearray()
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                data = await self.stream.read()
                if not data and head is None and not self._parser.trailing_data[0]:
                    raise Ended("the connection ended between messages")
                self._parser.receive_data(data)
            elif isinstance(event, (h11.Request, h11.Response)):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise Ended("the body is longer than MAX_BODY_BYTES")
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                if isinstance(head, h11.Request):
                    method, target, status = head.method.decode(), head.target.decode("latin-1"), 0
                else:
                    method, target, status = "", "", head.status_code
                return Message(method, target, status, dict(head.headers), bytes(body))
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                raise Ended("the peer closed the connection")

    @property
    def must_close(self) -> bool:
        """Whether the connection cannot carry another exchange."""
        return (
            h11.MUST_CLOSE in (self._parser.our_state, self._parser.their_state)
            or self.stream.closed
        )

    async def send_response(
        self, status: int, body: bytes = b"", headers: Mapping[str, str] | None = None
    ) -> None:
        """Write a whole response with a Content-Length."""
        fields = [(name, value) for name, value in (headers or {}).items()] + [
            ("Content-Length", str(len(body)))
        ]
        parser = self._parser
        data = parser.send(h11.Response(status_code=status, headers=fields, reason=b"-")) or b""
        data += parser.send(h11.Data(data=body)) or b""
        data += parser.send(h11.EndOfMessage()) or b""
        await self.stream.write(data)

    async def send_request(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes = b""
    ) -> None:
        """Write a whole request; Content-Length is set for a body and for PUT."""
        fields = [("Host", "service.internal"), *headers.items()]
        if body or method == "PUT":
            fields.append(("Content-Length", str(len(body))))
        parser = self._parser
        data = parser.send(h11.Request(method=method, target=target, headers=fields)) or b""
        if body:
            data += parser.send(h11.Data(data=body)) or b""
        data += parser.send(h11.EndOfMessage()) or b""
        await self.stream.write(data)


async def open_connection(address: Address, within_s: float) -> Connection:
    """Connect to a server within a time in s; raises OSError, also TimeoutError, if that fails."""
    sock = seam.tcp_socket()
    try:
        seam.limit_buffers(sock, KERNEL_BUFFER_BYTES)
        async with asyncio.timeout(within_s):
            await seam.connect(sock, address)
        return Connection(Stream(sock), h11.CLIENT)
    except BaseException:
        sock.close()
        raise


async def fetch_body(address: Address, path: str) -> Optional[bytes]:
    """GET a path on a new connection; None unless it is answered 200 within 1.5 s."""
    try:
        connection = await open_connection(address, 0.5)
    except OSError:
        return None
    try:
        async with asyncio.timeout(1.0):
            await connection.send_request("GET", path, {})
            answer = await connection.read_message()
        return answer.body if answer.status == 200 else None
    except (OSError, Ended, h11.ProtocolError):
        return None
    finally:
        connection.stream.abort()


class Program:
    """A program that runs as its own process until it is ended."""

    def listen(self) -> None:
        """Start to accept requests. OSError if the address is taken."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop at once."""
        raise NotImplementedError

    async def run(self) -> None:
        """Serve until cancelled."""
        self.listen()
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            self.close()


class Server(Program):
    """A server at an address, which calls `serve` for each whole request."""

    def __init__(self, address: Address, backlog: int = 256) -> None:
        self.address = address
        self.accepted = 0  # connections accepted since the start
        self.connections: dict[Connection, asyncio.Task[None]] = {}
        self._backlog = backlog
        self._listener: Optional[Socket] = None

    def listen(self) -> None:
        """Start to accept connections. OSError if the address is taken."""
        self._listener = seam.bind_listener(self.address, KERNEL_BUFFER_BYTES)
        self._listener.listen(self._backlog)
        host, port = self._listener.getsockname()
        self.address = (host, port)
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def close(self) -> None:
        """Close the listener and abort every connection."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        for connection, task in list(self.connections.items()):
            connection.stream.abort()
            task.cancel()

    async def serve(self, connection: Connection, request: Message) -> None:
        """Answer one request."""
        raise NotImplementedError

    def _accept(self) -> None:
        assert self._listener is not None
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            try:
                connection = Connection(Stream(sock), h11.SERVER)
            except OSError:
                sock.close()
                continue
            self.connections[connection] = asyncio.get_running_loop().create_task(
                self._run(connection)
            )

    async def _run(self, connection: Connection) -> None:
        try:
            while True:
                await self.serve(connection, await connection.read_message())
                if connection.must_close:
                    return
                connection.start_next_exchange()
        except (
            OSError,
            Ended,
            h11.RemoteProtocolError,
            h11.LocalProtocolError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            with suppress(KeyError):
                del self.connections[connection]
            connection.stream.close()


async def cancel_on_disconnect(stream: Stream, work: asyncio.Task[Result]) -> Result:
    """Wait for a task, and cancel it once the peer ends its side; raises Ended in that case."""

    def on_input() -> None:
        if stream.ended:
            work.cancel()

    before, stream.on_input = stream.on_input, on_input
    try:
        if stream.ended:
            work.cancel()
        return await work
    except asyncio.CancelledError:
        work.cancel()
        if stream.ended:
            raise Ended("the peer ended its side while work was under way") from None
        raise
    finally:
        stream.on_input = before
