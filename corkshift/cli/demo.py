"""`demo`: a small installation on loopback, which prints its metrics every second."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from dataclasses import replace
from typing import Optional

from corkshift.cli.operator import BadOperatorFile, DemoTable, load_operator_file
from corkshift.config import config_of
from corkshift.seam import process
from corkshift.service import Service
from testbed.systems.clients import ClientObserver, Clients, settings
from testbed.systems.emulators import BoxSpec, CacheBox, DiscoveryServer, OrderBook, ServerObserver

HOST = "127.0.0.1"


class Installation:
    """Discovery, an order book, cache boxes, a node and clients, on ports chosen by the system."""

    def __init__(self, size: DemoTable) -> None:
        self.size = size
        observer = ServerObserver()
        self.book = OrderBook((HOST, 0), size.book_places, 15.0)
        self.discovery = DiscoveryServer((HOST, 0), observer)
        self.boxes: list[CacheBox] = []
        self.service: Optional[Service] = None
        self.clients: Optional[Clients] = None
        self._observer = observer

    def start(self) -> None:
        """Start everything; OSError where a socket can't be opened."""
        size = self.size
        self.book.listen()
        self.discovery.listen()
        for n in range(size.boxes):
            cold = n < size.cold_boxes
            box = CacheBox(
                f"box-{n}", (HOST, 0), self.book.address, BoxSpec(), self._observer, cold
            )
            box.listen()
            self.book.invalidations.append(box.invalidate)
            self.boxes.append(box)
            self.discovery.entries[box.name] = DiscoveryServer.entry(
                box.name, box.address, box.started_ms
            )
        place = f"{HOST}:{self.discovery.address[1]}"
        config = {
            "name": "demo",
            "listen": place,
            "discovery": place,
            "seed": 1,
            "limits": {},
            "settings": settings(),
        }
        self.service = Service(replace(config_of(config, {}), listen=(HOST, 0)))
        rate, keys = size.requests_per_s, size.keys
        self.clients = Clients(
            {"demo": self.service.frontend.address},
            ClientObserver(),
            1,
            keys,
            rate,
            size.write_share,
        )
        self.clients.max_active = size.clients

    def addresses(self) -> str:
        """The addresses of all parts, one per line."""
        assert self.service is not None
        rows = [
            ("node", self.service.frontend.address),
            ("discovery", self.discovery.address),
            ("order book", self.book.address),
        ]
        rows += [(box.name, box.address) for box in self.boxes]
        return "\n".join(f"  {name:<11} http://{host}:{port}" for name, (host, port) in rows)

    def progress_line(self, second: int, previous: dict[str, int]) -> str:
        """Counts since the previous call, as one line; `previous` is updated."""
        current = self.counts()
        deltas = {name: current[name] - previous.get(name, 0) for name in current}
        previous.update(current)
        columns = "  ".join(f"{name} {value:>4}" for name, value in deltas.items())
        return f"{second:>4} s  {columns}"

    def counts(self) -> dict[str, int]:
        """Totals since the start."""
        assert self.clients is not None
        figures = self.clients.totals
        return {
            "requests": figures.asked,
            "in time": figures.in_time,
            "refused": figures.refused,
            "failed": figures.failed + figures.unanswered,
            "hits": sum(box.hits for box in self.boxes),
            "book fetches": self.book.fetches,
        }

    def summary(self) -> str:
        """Totals since the start, as one line."""
        counts = self.counts()
        asked = max(1, counts["requests"])
        reads = max(1, counts["hits"] + sum(box.misses for box in self.boxes))
        return (
            f"{counts['requests']} requests, "
            f"{100.0 * counts['in time'] / asked:.1f}% served in time, "
            f"{counts['refused']} refused, {counts['failed']} failed, "
            f"{100.0 * counts['hits'] / reads:.1f}% of reads were hits, "
            f"{counts['book fetches']} book fetches"
        )

    async def run(self, seconds: Optional[float]) -> None:
        """Run for some seconds or until SIGINT or SIGTERM; prints a line every second."""
        assert self.service is not None and self.clients is not None
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        node_task = loop.create_task(self.service.run())
        await asyncio.sleep(0)  # the node installs its signal handlers first; these replace them
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, stop.set)
        while len(self.service.node.servers) < len(self.boxes) and not stop.is_set():
            await asyncio.sleep(0.01)  # until discovery has reported all boxes
        if seconds is not None:
            loop.call_later(seconds, stop.set)
        client_task = loop.create_task(self.clients.run(86_400.0 if seconds is None else seconds))
        previous: dict[str, int] = {}
        second = 0
        while not stop.is_set():
            try:
                async with asyncio.timeout(1.0):
                    await stop.wait()
            except TimeoutError:
                second += 1
                print(self.progress_line(second, previous), flush=True)
        self.clients.stop()
        await client_task
        self.clients.close()
        self.service.stop()
        await node_task
        for server in (*self.boxes, self.discovery, self.book):
            server.close()


async def _run_demo(size: DemoTable, seconds: Optional[float]) -> None:
    installation = Installation(size)
    installation.start()
    print(f"A node, {size.boxes} cache boxes, their order book and clients, all on loopback:")
    print(installation.addresses())
    print(
        "Press Ctrl-C to end." if seconds is None else f"Ends after {seconds:g} s.",
        flush=True,
    )
    await installation.run(seconds)
    print(installation.summary())


def demo(seconds: Optional[float], operator: Optional[str]) -> int:
    """Run the demo; the exit code. Sizes come from `[demo]` of the operator's file, if any."""
    path = operator or os.environ.get("GRADESHIFT_OPERATOR")
    try:
        size = (load_operator_file(path).demo if path else None) or DemoTable()
    except BadOperatorFile as error:
        print(f"gradeshift demo: {error}", file=sys.stderr)
        return 2
    if seconds is not None and not 0.0 < seconds <= 86_400.0:
        print(
            f"gradeshift demo: --seconds: must be above 0 and at most 86400, got {seconds:g}",
            file=sys.stderr,
        )
        return 2
    process.prepare()
    logging.getLogger().setLevel(logging.WARNING)
    try:
        process.run(_run_demo(size, seconds if seconds is not None else size.seconds))
    except OSError as error:
        print(f"gradeshift demo: {error.strerror}", file=sys.stderr)
        return 1
    return 0
