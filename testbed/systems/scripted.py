"""A cache box that answers by a script, for tests of single answers.

It runs on the same server as the other emulated systems, on real sockets and on virtual ones.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Optional

from corkshift.seam import Address
from testbed.systems.http import Connection, Message, Server, cancel_on_disconnect

Answer = Optional[bytes]
Script = Callable[[bytes], Answer | Awaitable[Answer]]
"""Returns the bytes to write unchanged for a request's head; None never answers the request.

An OSError closes the connection. A returned awaitable is cancelled when the node ends its side.
"""


def request_path(head: bytes) -> bytes:
    """Return the path in a request's head."""
    return head.split(b" ", 2)[1]


def ok_response(body: bytes, head: bytes = b"") -> bytes:
    """Return a 200 answer, with further header lines that each end in CRLF."""
    return b"HTTP/1.1 200 OK\r\nX-Found: hit\r\n%sContent-Length: %d\r\n\r\n%s" % (
        head,
        len(body),
        body,
    )


def default_answer(head: bytes) -> bytes:
    """Return the answer of a healthy cache box, which names the request's path."""
    return ok_response(b"for " + request_path(head))


class ScriptedBox(Server):
    """A cache box without a cache that follows its script and records requests.

    `heads` holds request lines and headers with names in title case, `bodies` the bodies.
    """

    def __init__(
        self, script: Script = default_answer, address: Address = ("127.0.0.1", 0)
    ) -> None:
        super().__init__(address)
        self.script = script
        self.heads: list[bytes] = []
        self.bodies: list[bytes] = []

    @property
    def port(self) -> int:
        """The port it listens at; 0 before it listens, if the system chooses one."""
        return self.address[1]

    @property
    def open_connections(self) -> int:
        """The number of open connections to it."""
        return len(self.connections)

    async def serve(self, connection: Connection, request: Message) -> None:
        """Record a request and write what the script returns for it."""
        lines = [f"{request.method} {request.target} HTTP/1.1".encode()]
        lines += [b"%s: %s" % (name.title(), value) for name, value in request.headers.items()]
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        self.bodies.append(request.body)
        self.heads.append(head)
        answer = self.script(head)
        if isinstance(answer, Awaitable):
            answer = await cancel_on_disconnect(
                connection.stream, asyncio.ensure_future(_await_result(answer))
            )
        if answer is not None:
            await connection.stream.write(answer)


async def _await_result(answer: Awaitable[Answer]) -> Answer:
    return await answer
