"""A cache box that answers by a script, for tests of single answers; the other stand-ins are in `standins`.

It runs on the same server as they do, on both sides of the seam.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Optional

from corkshift.seam import Address
from testbed.systems.http import Connection, Message, Server, cancel_on_disconnect

Answer = Optional[bytes]
Script = Callable[[bytes], Answer | Awaitable[Answer]]
"""From a request's head to the bytes to write as they are; None leaves the request without an answer for good. OSError from
it closes the connection. Where it gives an awaitable, that is given up when the node ends its sending."""


def request_path(head: bytes) -> bytes:
    """The path of a request's head."""
    return head.split(b" ", 2)[1]


def ok_response(body: bytes, head: bytes = b"") -> bytes:
    """A good answer, with further header lines (each with its end) where they are given."""
    return b"HTTP/1.1 200 OK\r\nX-Found: hit\r\n%sContent-Length: %d\r\n\r\n%s" % (
        head,
        len(body),
        body,
    )


def default_answer(head: bytes) -> bytes:
    """The answer of a cache box that is well: it names the request's path."""
    return ok_response(b"for " + request_path(head))


class ScriptedBox(Server):
    """A cache box that keeps nothing and does what its script says. What came is kept in `heads` and `bodies`."""

    def __init__(
        self, script: Script = default_answer, address: Address = ("127.0.0.1", 0)
    ) -> None:
        super().__init__(address)
        self.script = script
        self.heads: list[bytes] = []  # request line and headers, names in title case
        self.bodies: list[bytes] = []

    @property
    def port(self) -> int:
        """Where it listens; 0 before it does, if the system is to choose."""
        return self.address[1]

    @property
    def open_connections(self) -> int:
        """How many connections there are to it."""
        return len(self.connections)

    async def serve(self, connection: Connection, request: Message) -> None:
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


async def _await_result(coming: Awaitable[Answer]) -> Answer:
    return await coming
