"""Shared parts of the cases 6 to 10: a node as its own process, and small stand-ins around it.

Standard library only. All addresses are on loopback. Times in records are seconds since the start.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any, Optional

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
# Without the disruption, a case has to pass.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MOST_SECONDS = 115.0
BROKEN, HELD, CANNOT_RUN = 1, 0, 2
STARTED_S = time.monotonic()


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, case_file: str) -> None:
        self.folder = Path(case_file).resolve().parent
        self._file = (self.folder / "record.txt").open("w", encoding="utf-8")
        self.broken: list[str] = []

    def line(self, text: str) -> None:
        """Write one line, with the time."""
        self._file.write(f"{time.monotonic() - STARTED_S:8.3f} {text}\n")
        self._file.flush()

    def rule_broken(self, text: str) -> None:
        """Write that the rule was broken."""
        self.broken.append(text)
        self.line(f"BROKEN: {text}")

    def verdict(self, judged: int) -> int:
        """Write the verdict and return the exit status. judged: how much the rule applied to."""
        word = "broken" if self.broken else "held"
        text = f"rule {word}: {len(self.broken)} breaks, {judged} judged, trouble {int(TROUBLE)}"
        self.line(text)
        print(text)
        return BROKEN if self.broken else HELD


def now() -> float:
    """Seconds on the monotonic clock."""
    return time.monotonic()


def free_port() -> int:
    """A TCP port on loopback that was free just now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def request_class(
    name: str,
    aim_ms: float,
    deadline_ms: float,
    effect: str,
    worth: float,
    window_ms: float,
) -> dict[str, Any]:
    """One class of the settings, answered late without worth."""
    return {
        "name": name,
        "promiseMs": aim_ms,
        "deadlineMs": deadline_ms,
        "idempotency": effect,
        "group": "all",
        "windowMs": window_ms,
        "worth": worth,
        "lateValue": 0.0,
        "streaming": False,
    }


def settings(nodes: int = 1) -> dict[str, Any]:
    """Settings of a small deployment, with the limits and classes of accra-orders."""
    return {
        "allowed": {
            "connIdleMs": 30_000.0,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 30_000,
            "dialTimeoutMs": 250.0,
            "maxOpen": 10_000,
            "maxRetryAfterMs": 1_200.0,
            "mayCancel": True,
            "mostTries": 3,
            "parallelTries": True,
            "peers": False,
            "probes": False,
            "retryAfter": True,
            "streamsPerConn": 1,
        },
        "balancers": nodes,
        "clients": {"marksRetry": True},
        "contract": {
            "answerSlackMs": 20.0,
            "coldFrom": 0.12,
            "coldMs": 24_000.0,
            "fallMultiple": 4.0,
            "mustAskInMs": 10_000.0,
            "overloadForMs": 2_000.0,
            "stopSendingWithinMs": 250.0,
        },
        "discovery": "subscribe",
        "granularityMs": 5.0,
        "kinds": ["five-core"],
        "layers": ["menu-cache"],
        "loadReport": {"columns": [], "how": "off"},
        "projects": [],
        "services": [
            request_class("menu-read", 750.0, 2_500.0, "safe", 3.0, 5_000.0),
            request_class("cart-update", 800.0, 2_000.0, "keyed", 5.0, 4_000.0),
            request_class("order-place", 1_200.0, 2_500.0, "keyed", 8.0, 2_500.0),
        ],
        "slotNo": 0,
        "specifics": {"mode": "through", "originKind": -1},
        "tier": 0,
        "weights": "rough",
        "worthBy": "work",
        "zone": "osu",
        "zones": ["osu"],
    }


# -- the node ----------------------------------------------------------------------------


class Node:
    """One node, started by the line `run` of the deploy file."""

    def __init__(self, folder: Path, name: str, config: dict[str, Any]) -> None:
        self.folder = folder / name
        self.folder.mkdir(parents=True, exist_ok=True)
        self.name = name
        self.port = free_port()
        self.config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            **config,
        }
        self.process: Optional[subprocess.Popen[bytes]] = None
        self.starts = 0

    def start(self) -> None:
        """Start the process, with a temporary folder of its own and a new seed."""
        self.starts += 1
        temporary = self.folder / f"tmp-{self.starts}"
        temporary.mkdir()
        file = self.folder / "config.json"
        seed = f"{random.SystemRandom().getrandbits(64):016x}"
        file.write_text(json.dumps({**self.config, "seed": seed}))
        environment = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith(("PROXY_", "GRADESHIFT_"))
        }
        environment |= {"PROXY_CONFIG": str(file), "TMPDIR": str(temporary)}
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with (self.folder / "log.txt").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_up(self, seconds: float = 20.0, path: str = "/up") -> None:
        """Wait until `GET /up` is answered 200. Raises CannotRun."""
        until = now() + seconds
        while now() < until:
            if self.process is not None and self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended: {self.log()[-400:]}")
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
                if await self.ask_up(path) == 200:
                    return
            await asyncio.sleep(0.02)
        raise CannotRun(f"{self.name} is not up: {self.log()[-400:]}")

    async def ask_up(self, path: str = "/up") -> int:
        """The status of one call on a new connection. OSError where it is not answered."""
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(HOST, self.port)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
                return (await read_answer(reader)).status
            finally:
                writer.transport.abort()

    def send_signal(self, number: int) -> None:
        """Send a signal to the program (`run` replaces its shell by it)."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    def log(self) -> str:
        """What the node has logged."""
        with suppress(OSError):
            return (self.folder / "log.txt").read_text(errors="replace")
        return ""


# -- messages ----------------------------------------------------------------------------


class Message:
    """A request or an answer: its first line, its fields by lower-case name, and its body."""

    def __init__(self, first_line: str, fields: dict[str, str], body: bytes) -> None:
        self.first_line = first_line
        self.fields = fields
        self.body = body

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first_line.split(" ")[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first_line.split(" ")[1]


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """The first line and the fields of a head."""
    first_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first_line, fields


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message. asyncio.IncompleteReadError where the connection ends before its end."""
    first_line, fields = parse_head(await reader.readuntil(b"\r\n\r\n"))
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Message(first_line, fields, body)


read_answer = read_message

_ids = itertools.count(1)


def new_id() -> str:
    """An id that no request had before."""
    return f"{next(_ids):06x}{random.SystemRandom().getrandbits(40):010x}"


def request_bytes(
    txn: str,
    lane: str,
    key: str,
    wait_ms: int,
    body: Optional[bytes] = None,
) -> bytes:
    """A request as the protocol page shows it: a read, or with a body a write."""
    method = "GET" if body is None else "PUT"
    lines = [
        f"{method} /api/{key} HTTP/1.1",
        "Host: service.internal",
        f"X-Txn: {txn}",
        f"X-Lane: {lane}",
        f"X-Remaining-Ms: {wait_ms}",
    ]
    if body is not None:
        lines += [f"Idempotency-Key: k-{txn}", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + (body or b"")


# -- stand-ins ---------------------------------------------------------------------------


class Discovery:
    """Discovery, asked: the whole list, and watches with changes and an empty line every 2 s."""

    def __init__(self, record: Record) -> None:
        self.entries: dict[str, dict[str, Any]] = {}
        self.generation = 1
        self.port = 0
        self._record = record
        self._watches: dict[asyncio.StreamWriter, None] = {}
        self._server: Optional[asyncio.Server] = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def add(self, name: str, port: int) -> None:
        """List a server that started long ago, without a change."""
        self.entries[name] = {
            "instanceId": name,
            "hostPort": f"{HOST}:{port}",
            "zone": "osu",
            "machineType": "five-core",
            "cell": 0,
            "lifecycle": "in_service",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def change(self, name: str, lifecycle: str) -> None:
        """Change a server's lifecycle and tell all watches."""
        self.generation += 1
        self.entries[name] = {**self.entries[name], "lifecycle": lifecycle}
        self._record.line(f"discovery: {name} is {lifecycle}, generation {self.generation}")
        for writer in self._watches:
            self._write(writer, [self.entries[name]], False)

    def list(self, full: bool = True) -> dict[str, Any]:
        """The whole list as an object, as a node would save it."""
        return {
            "generation": self.generation,
            "reset": full,
            "instances": list(self.entries.values()),
        }

    def _write(self, writer: asyncio.StreamWriter, some: list[dict[str, Any]], full: bool) -> None:
        line = {"generation": self.generation, "reset": full, "instances": some}
        self._chunk(writer, json.dumps(line).encode() + b"\n")

    def _chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        with suppress(OSError, RuntimeError):
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request = await read_message(reader)
            self._record.line(f"discovery: called with {request.target}")
            if "watch=1" not in request.target:
                body = json.dumps(self.list()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._write(writer, list(self.entries.values()), True)
            self._watches[writer] = None
            end = asyncio.ensure_future(reader.read())
            end.add_done_callback(lambda done: done.cancelled() or done.exception())
            while not end.done():
                await asyncio.wait([end], timeout=2.0)
                if not end.done():
                    self._chunk(writer, b"\n")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._watches.pop(writer, None)
            writer.transport.abort()


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]


class CacheServer:
    """A cache server: one request at a time on a connection, as many connections as come.

    `handle` answers a request and returns whether the connection stays open. `seen` is called with
    each whole request as its last byte has come.
    """

    def __init__(self, name: str, handle: Handler, seen: Callable[[Message], None]) -> None:
        self.name = name
        self.port = 0
        self._handle = handle
        self._seen = seen
        self._server: Optional[asyncio.Server] = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                self._seen(request)
                if not await self._handle(request, writer):
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()


async def send_answer(writer: asyncio.StreamWriter, body: bytes, status: str = "200 OK") -> None:
    """Write an answer with a length."""
    writer.write(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
    await writer.drain()


# -- running a case ----------------------------------------------------------------------


def play(
    case_file: str, case: Callable[[Record, Path, list[Node]], Coroutine[Any, Any, int]]
) -> int:
    """Run a case in a temporary folder; end all nodes; return the exit status.

    The case gets a list to which it adds each node that it makes.
    """
    record = Record(case_file)
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    nodes: list[Node] = []

    async def bounded() -> int:
        async with asyncio.timeout(MOST_SECONDS):
            return await case(record, folder, nodes)

    try:
        return asyncio.run(bounded())
    except (CannotRun, TimeoutError, OSError) as error:
        record.line(f"cannot run: {type(error).__name__}: {error}")
        print(f"cannot run: {type(error).__name__}: {error}", file=sys.stderr)
        return CANNOT_RUN
    finally:
        for node in nodes:
            node.kill()
            (record.folder / f"log-{node.name}.txt").unlink(missing_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
