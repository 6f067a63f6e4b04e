"""Stand-ins and helpers shared by the cases: platform, discovery, cache servers and clients.

All of it uses loopback addresses and free ports. Discovery and clients run inside the script of a
case; a cache server runs inside it too, or as a process of its own that can be stopped and
continued (`python rig.py server ...`).
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import termios
import threading
import time
import tomllib
from collections.abc import Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"

# The settings of a small deployment, as in the example of WIRE ("The settings").
SERVICES = [
    {
        "name": "menu-read",
        "idempotency": "safe",
        "group": "all",
        "promiseMs": 750.0,
        "deadlineMs": 2500.0,
        "windowMs": 5000.0,
        "worth": 3.0,
        "lateValue": 0.0,
        "streaming": False,
    },
    {
        "name": "cart-update",
        "idempotency": "keyed",
        "group": "all",
        "promiseMs": 800.0,
        "deadlineMs": 2000.0,
        "windowMs": 4000.0,
        "worth": 5.0,
        "lateValue": 0.0,
        "streaming": False,
    },
    {
        "name": "order-place",
        "idempotency": "keyed",
        "group": "all",
        "promiseMs": 1200.0,
        "deadlineMs": 2500.0,
        "windowMs": 2500.0,
        "worth": 8.0,
        "lateValue": 0.0,
        "streaming": False,
    },
]


def settings(discovery: str = "subscribe", services: list | None = None) -> dict:
    """The object that the simulator's first message gives an instance."""
    return {
        "allowed": {
            "connIdleMs": 30000.0,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 30136,
            "dialTimeoutMs": 250.0,
            "maxOpen": 40181,
            "maxRetryAfterMs": 1200.0,
            "mayCancel": True,
            "mostTries": 3,
            "parallelTries": True,
            "peers": False,
            "probes": True,
            "retryAfter": True,
            "streamsPerConn": 1,
        },
        "balancers": 1,
        "clients": {"marksRetry": True},
        "contract": {
            "answerSlackMs": 20.0,
            "coldFrom": 0.12,
            "coldMs": 24000.0,
            "fallMultiple": 4.0,
            "mustAskInMs": 10000.0,
            "overloadForMs": 2000.0,
            "stopSendingWithinMs": 250.0,
        },
        "discovery": discovery,
        "goal": {"whole": 0.55, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.15},
        "granularityMs": 5.0,
        "kinds": ["five-core", "seven-core"],
        "layers": ["menu-cache"],
        "loadReport": {"columns": [], "how": "off"},
        "prices": {},
        "projects": [],
        "serviceType": "cache",
        "services": services or SERVICES,
        "slotNo": 0,
        "specifics": {"mode": "through", "originKind": -1},
        "tier": 0,
        "weights": "rough",
        "worthBy": "work",
        "zone": "tema",
        "zones": ["osu", "kaneshie", "madina", "tema"],
    }


def now_ms() -> float:
    """Milliseconds on the monotonic clock, which all processes of the machine share."""
    return time.monotonic() * 1000.0


def free_port() -> int:
    """A free port on the loopback address, below those that the system gives out by itself."""
    while True:
        port = random.randrange(12_000, 30_000)
        with socket.socket() as sock, suppress(OSError):
            sock.bind((HOST, port))
            return port


def listening_socket() -> socket.socket:
    """A listening socket on a free port of the loopback address."""
    return socket.create_server((HOST, 0), backlog=256)


def entry(name: str, port: int, state: str = "in_service", started_ms: float = 0.0) -> dict:
    """An entry of discovery's list."""
    return {
        "instanceId": name,
        "hostPort": f"{HOST}:{port}",
        "zone": "tema",
        "machineType": "five-core",
        "cell": 0,
        "lifecycle": state,
        "weight": 1.0,
        "startedAtMs": started_ms,
    }


class Record:
    """The record of a case: a line for each thing sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self._file = open(path, "w")
        self._start = now_ms()

    def write(self, text: str) -> None:
        """Write a line with the time since the start, in ms."""
        self._file.write(f"{now_ms() - self._start:10.1f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Node:
    """One real node, started by the `run` line of the deploy file."""

    def __init__(self, folder: Path, discovery_port: int, known: dict | None, options: dict):
        self.folder, self.port = folder, free_port()
        self.config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery_port}",
            "seed": f"{random.getrandbits(63):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known or {},
            "settings": options,
        }
        self.process: subprocess.Popen | None = None

    def write_config(self) -> None:
        """Replace the configuration's file."""
        path = self.folder / "config.json"
        draft = self.folder / "config.new"
        draft.write_text(json.dumps(self.config))
        draft.replace(path)

    def start(self) -> None:
        """Start the node's process."""
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        scratch = self.folder / "tmp"
        shutil.rmtree(scratch, ignore_errors=True)
        scratch.mkdir()
        environ = dict(
            os.environ,
            PROXY_NAME=self.config["name"],
            PROXY_LISTEN=self.config["listen"],
            PROXY_CONFIG=str(self.folder / "config.json"),
            TMPDIR=str(scratch),
        )
        environ.pop("PROXY_DISCOVERY", None)
        with open(self.folder / "node.log", "a") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environ,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number: int) -> None:
        """Send the node's process a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_up(self, limit_s: float = 30.0) -> None:
        """Wait until `GET /up` answers 200. Raises TimeoutError."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n")
                head = await asyncio.wait_for(reader.read(64), 1.0)
                writer.close()
                if head.startswith(b"HTTP/1.1 200"):
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise TimeoutError("the node did not answer /up")

    def end(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a head: its first line and its fields, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *rows = head.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for row in rows:
        name, _, value = row.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Read the body that a head announces."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(fields.get("content-length", "0")))


async def discard_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> int:
    """Read a body and keep nothing of it; return its length."""
    if "content-length" not in fields:
        return len(await read_body(reader, fields))
    left = size = int(fields["content-length"])
    while left:
        if not (piece := await reader.read(min(left, 65_536))):
            raise ConnectionResetError("the connection ended within a body")
        left -= len(piece)
    return size


class Discovery:
    """Discovery, asked for its list: whole lists and watches, with a line for each change."""

    def __init__(self, entries: list[dict]) -> None:
        self.generation = 41
        self.entries = {item["instanceId"]: item for item in entries}
        self._changed = dict.fromkeys(self.entries, 41)
        self._watches: dict[asyncio.Queue, None] = {}
        self.answer_delay_s = 0.0
        self.port = 0
        self._server: asyncio.Server | None = None
        self.told: list[tuple[float, str, str]] = []  # time, server, state: written to a node

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def whole(self) -> dict:
        """The whole list."""
        return {
            "generation": self.generation,
            "reset": True,
            "instances": [e for e in self.entries.values() if e["lifecycle"] != "terminated"],
        }

    def change(self, item: dict) -> None:
        """Change an entry, and tell it to all watches."""
        self.generation += 1
        self.entries[item["instanceId"]] = item
        self._changed[item["instanceId"]] = self.generation
        for queue in self._watches:
            queue.put_nowait(
                {"generation": self.generation, "reset": False, "instances": [dict(item)]}
            )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        queue: asyncio.Queue = asyncio.Queue()
        try:
            while (head := await read_head(reader)) is not None:
                path, _, query = head[0].split()[1].partition("?")
                options = dict(part.split("=") for part in query.split("&") if "=" in part)
                if self.answer_delay_s:
                    await asyncio.sleep(self.answer_delay_s)
                if path != "/discovery/hosts":
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                if options.get("watch") != "1":
                    body = json.dumps(self.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
                    writer.write(body)
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                after = options.get("after", "")
                first = self.whole()
                if after.isdigit() and 0 < int(after) <= self.generation:
                    first = {
                        "generation": self.generation,
                        "reset": False,
                        "instances": [
                            item
                            for name, item in self.entries.items()
                            if self._changed[name] > int(after)
                        ],
                    }
                self._watches[queue] = None
                self._write_line(writer, first)
                while not writer.is_closing():
                    try:
                        self._write_line(writer, await asyncio.wait_for(queue.get(), 2.0))
                    except TimeoutError:
                        writer.write(b"1\r\n\n\r\n")
                    await writer.drain()
        except (OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._watches.pop(queue, None)
            writer.close()

    def _write_line(self, writer: asyncio.StreamWriter, line: dict) -> None:
        data = json.dumps(line).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        for item in line["instances"]:
            self.told.append((now_ms(), item["instanceId"], item["lifecycle"]))


class CacheServer:
    """A cache server: it begins a request when its last byte has come, and answers after its work.

    late_share: share of the answers behind which a second copy follows some ms later, when nothing
    else waits on the connection. late_ms: how much later. large_bytes: length of the answers to
    reads of keys that begin with "large".
    """

    def __init__(
        self,
        name: str,
        work_ms: tuple[float, float],
        seed: int = 0,
        log: Callable[[dict], None] = lambda event: None,
        late_share: float = 0.0,
        late_ms: tuple[float, float] = (3.0, 8.0),
        large_bytes: int = 0,
    ) -> None:
        self.name, self.work_ms, self.log = name, work_ms, log
        self.late_share, self.late_ms = late_share, late_ms
        self.large_bytes = large_bytes
        self.random = random.Random(f"{name}/{seed}")
        self.port = 0

    async def start(self, listener: socket.socket | None = None) -> None:
        """Listen on a socket, by default on a free port."""
        listener = listener or listening_socket()
        self._server = await asyncio.start_server(self._serve, sock=listener, limit=1 << 16)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        received = [0]  # requests begun on this connection
        try:
            while (head := await read_head(reader)) is not None:
                received[0] += 1
                first, fields = head
                size = await discard_body(reader, fields)
                method, target, _ = first.split()
                txn = fields.get("x-txn", "")
                told = int(fields.get("x-remaining-ms", "0"))
                self._log("run", txn, method=method, bytes=size, told=told)
                await asyncio.sleep(self.random.uniform(*self.work_ms) / 1000.0)
                if method == "GET" and self.large_bytes and "/large" in target:
                    await write_large(writer, self.large_bytes)
                    self._log("large answer", txn)
                    continue
                answer = answer_bytes(txn, target)
                writer.write(answer)
                await writer.drain()
                self._log("answer", txn)
                if self.random.random() < self.late_share:
                    asyncio.get_running_loop().call_later(
                        self.random.uniform(*self.late_ms) / 1000.0,
                        self._write_copy,
                        (reader, writer, txn, answer, received, received[0]),
                    )
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _write_copy(self, state: tuple) -> None:
        """Write an answer once more, unless something else waits on its connection."""
        reader, writer, txn, answer, received, number = state
        if writer.is_closing() or reader.at_eof():
            return
        unread = fcntl.ioctl(writer.get_extra_info("socket").fileno(), termios.FIONREAD, b"\0" * 4)
        if received[0] != number or reader._buffer or any(unread):
            return
        writer.write(answer)
        self._log("second copy", txn)

    def _log(self, event: str, txn: str, **more: object) -> None:
        self.log({"at": now_ms(), "server": self.name, "event": event, "txn": txn, **more})


def start_link(listener: socket.socket, target: int, delay_ms: float) -> None:
    """Relay connections to a port of this machine, with a delay each way, in threads."""

    def pump(source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65_536):
                time.sleep(delay_ms / 1000.0)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for sock in (source, sink):
                with suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def accept() -> None:
        while True:
            near, _ = listener.accept()
            far = socket.create_connection((HOST, target))
            for sock in (near, far):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=pump, args=(near, far), daemon=True).start()
            threading.Thread(target=pump, args=(far, near), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


async def write_large(writer: asyncio.StreamWriter, size: int) -> None:
    """Write an answer of `size` bytes as fast as it is taken."""
    writer.write(b"HTTP/1.1 200 OK\r\nX-Found: hit\r\nContent-Length: %d\r\n\r\n" % size)
    piece = bytes(32_768)
    while size > 0:
        writer.write(piece[:size])
        size -= len(piece)
        await writer.drain()


def answer_bytes(txn: str, target: str) -> bytes:
    """The answer to a request: its body names the request that it was made for."""
    body = f"value of {target} for {txn}".encode()
    return b"HTTP/1.1 200 OK\r\nX-Found: hit\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class ServerProcess:
    """A cache server in a process of its own. `options` are those of `CacheServer`.

    link_ms: delay each way of the network before it, 0 for none.
    """

    def __init__(self, folder: Path, name: str, link_ms: float = 0.0, **options: object) -> None:
        self.name = name
        self.log_path = folder / f"{name}.log"
        with listening_socket() as listener:
            self.port = listener.getsockname()[1]
            descriptor = listener.fileno()
            arguments = dict(
                options, name=name, descriptor=descriptor, path=str(self.log_path), link=link_ms
            )
            self.process = subprocess.Popen(
                [sys.executable, str(Path(__file__).resolve()), json.dumps(arguments)],
                stdin=subprocess.DEVNULL,
                pass_fds=[descriptor],
            )

    def events(self) -> list[dict]:
        """What the server has logged so far."""
        if not self.log_path.exists():
            return []
        return [json.loads(row) for row in self.log_path.read_text().splitlines()]

    def signal(self, number: int) -> None:
        """Send the server's process a signal."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


async def wait_listening(port: int, limit_s: float = 10.0) -> None:
    """Wait until a port accepts connections. Raises TimeoutError."""
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        try:
            _, writer = await asyncio.open_connection(HOST, port)
            writer.close()
            return
        except OSError:
            await asyncio.sleep(0.02)
    raise TimeoutError(f"nothing listens on port {port}")


def new_id() -> str:
    """A new request id."""
    return f"{random.getrandbits(64):016x}"


def request_head(
    txn: str, lane: str, key: str, remaining_ms: int, length: int | None = None, extra: str = ""
) -> bytes:
    """The head of a client's request, as in PROTOCOL."""
    method = "GET" if length is None else "PUT"
    head = (
        f"{method} /api/{key} HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {txn}\r\n"
        f"X-Lane: {lane}\r\nX-Remaining-Ms: {remaining_ms}\r\n{extra}"
    )
    if length is not None:
        head += f"Idempotency-Key: {txn}\r\nContent-Length: {length}\r\n"
    return (head + "\r\n").encode()


def run_case(case: Callable[[Path, Record], Coroutine[Any, Any, bool]], path: Path) -> int:
    """Run a case; return its exit code: 1 if the rule was broken, 0 if it held, 2 if neither.

    path: of the record. The case gets a temporary folder and its record, and returns whether the
    rule held.
    """
    scratch, record = Path(tempfile.mkdtemp(prefix="review-")), Record(path)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(case(scratch, record))
        record.say("the rule held" if held else "the rule was broken")
        return 0 if held else 1
    except Exception as error:
        record.say(f"the case could not run: {type(error).__name__}: {error}")
        return 2
    finally:
        log = scratch / "node.log"
        if log.exists():
            record.write("log of the node:\n" + log.read_text())
        record.close()
        shutil.rmtree(scratch, ignore_errors=True)


async def _serve_alone(arguments: dict) -> None:
    path, link = arguments.pop("path"), arguments.pop("link")
    listener = socket.socket(fileno=arguments.pop("descriptor"))
    with open(path, "w", buffering=1) as file:
        server = CacheServer(log=lambda event: print(json.dumps(event), file=file), **arguments)
        await server.start(None if link else listener)
        if link:
            start_link(listener, server.port, link)
        parent = os.getppid()
        while os.getppid() == parent:  # ends with the script that started it
            await asyncio.sleep(0.5)


if __name__ == "__main__":
    asyncio.run(_serve_alone(json.loads(sys.argv[1])))
