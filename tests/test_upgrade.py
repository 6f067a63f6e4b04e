"""An upgrade under load: two processes share one listening socket, and no connection is lost."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path

import pytest
from loopback import CacheBox, default_answer, request, run_async, status
from test_process import Process, running

from testbed.systems.ports import reserve_port


class Successor(Process):
    """The process that takes over, with the same file and socket and another operators' address."""

    async def stop(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.reading


async def health(port: int) -> int:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionError:
        return 0
    writer.write(b"GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n")
    try:
        return status(await reader.read())
    finally:
        writer.transport.abort()


class Load:
    """Clients that send sequential requests on persistent connections.

    A reused connection that ends before any byte of an answer is not counted as a failure.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.answers: dict[str, int] = {}
        self.unanswered: list[str] = []
        self.stopped = False

    async def client(self, name: str) -> None:
        n, reader, writer, fresh = 0, None, None, True
        while not self.stopped:
            n += 1
            if writer is None or reader is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                fresh = True
            txn = f"{name}-{n}"
            head = b""
            try:
                writer.write(request(txn, path=f"/api/k{n % 7}"))
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
                await reader.readexactly(length)
                self.answers[txn] = status(head)
            except (ConnectionError, asyncio.IncompleteReadError):
                if fresh or head:
                    self.unanswered.append(txn)
            if not head or b"connection: close" in head.lower():
                writer.transport.abort()
                writer = None
            fresh = False
            await asyncio.sleep(0.004)
        if writer is not None:
            writer.transport.abort()


def test_an_upgrade_under_load_loses_nothing_and_ends_the_old_process_alone(tmp_path: Path) -> None:
    # Guards against connections left in the accept queue of the ending process, or closed by it.
    async def test() -> None:
        async def script(head: bytes) -> bytes:
            await asyncio.sleep(0.02)
            return default_answer(head)

        with socket.create_server(("127.0.0.1", 0), backlog=256) as listening:
            port: int = listening.getsockname()[1]
            admin_ports = [reserve_port(), reserve_port()]
            more = {"PROXY_SOCKET_FD": str(listening.fileno()), "PROXY_LISTEN": f"127.0.0.1:{port}"}
            box = CacheBox(script)
            old_more = {**more, "PROXY_ADMIN_ADDR": f"127.0.0.1:{admin_ports[0]}"}
            async with running(
                tmp_path / "config.json", box, old_more, (listening.fileno(),), port
            ) as (old, discovery_server):
                load = Load(port)
                clients = [asyncio.create_task(load.client(f"c{n}")) for n in range(24)]
                new = Successor(tmp_path / "config.json", discovery_server)
                new.extra_environ, new.descriptors = (
                    {**more, "PROXY_ADMIN_ADDR": f"127.0.0.1:{admin_ports[1]}"},
                    (listening.fileno(),),
                )
                await new.start()
                try:
                    while await health(admin_ports[1]) != 200:
                        await asyncio.sleep(0.02)
                    await asyncio.sleep(0.3)
                    old.process.send_signal(signal.SIGTERM)
                    assert await old.process.wait() == 0
                    before = len(load.answers)
                    while len(load.answers) < before + 200:
                        await asyncio.sleep(0.02)
                    load.stopped = True
                    await asyncio.gather(*clients)
                    assert load.unanswered == [] and set(load.answers.values()) == {200}
                    assert new.process.returncode is None
                finally:
                    await new.stop()

    run_async(test)


def test_a_descriptor_that_is_not_listening_ends_startup_with_one_line(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        with socket.socket() as sock:
            process = Process(tmp_path / "config.json", None)
            process.write()
            process.extra_environ, process.descriptors = (
                {"PROXY_SOCKET_FD": str(sock.fileno())},
                (sock.fileno(),),
            )
            await process.start()
            assert await process.process.wait() == 1
            await process.reading
            assert len(process.log) == 1 and "is not a listening TCP socket" in process.log[0]

    run_async(test)


@pytest.mark.parametrize(
    ("more", "message"),
    [
        ({"PROXY_SOCKET_FD": "1"}, "PROXY_SOCKET_FD is not a descriptor: '1'"),
        ({"PROXY_SOCKET_FD": "seven"}, "PROXY_SOCKET_FD is not a descriptor: 'seven'"),
        ({"PROXY_ADMIN_ADDR": "9800"}, "not an address: '9800'"),
    ],
)
def test_an_invalid_variable_ends_startup_with_one_line(
    tmp_path: Path, more: dict[str, str], message: str
) -> None:
    async def test() -> None:
        process = Process(tmp_path / "config.json", None)
        process.write()
        process.extra_environ = more
        await process.start()
        assert await process.process.wait() == 2
        await process.reading
        assert len(process.log) == 1 and message in process.log[0]

    run_async(test)


def test_an_operators_address_in_use_is_named(tmp_path: Path) -> None:
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            process = Process(tmp_path / "config.json", None)
            process.config["admin_addr"] = f"127.0.0.1:{taken.getsockname()[1]}"
            process.write()
            await process.start()
            assert await process.process.wait() == 1
            await process.reading
            assert len(process.log) == 1 and process.config["admin_addr"] in process.log[0]

    run_async(test)
