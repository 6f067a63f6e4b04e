"""Faults of the virtual network that loopback cannot show.

These are latency, bandwidth, loss, links cut in one direction, hosts that disappear, and datagrams
that are lost, duplicated or delayed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from corkshift import seam
from corkshift.seam import Socket
from corkshift.stream import Stream
from testbed.machine.loop import VirtualLoop
from testbed.machine.net import Network
from testbed.machine.process import EPOCH_MS, Process

A, B = "127.1.0.1", "127.2.0.1"


class Pair:
    """Two processes on two hosts, with a connection from the first to the second."""

    def __init__(self, seed: int = 1) -> None:
        self.loop = VirtualLoop(seed)
        self.net = Network(self.loop, seed)
        self.a, self.b = Process("a", self.net, A), Process("b", self.net, B)
        self.near: Stream
        self.far: Stream

    def run_test(self, test: Callable[[Pair], Coroutine[Any, Any, None]]) -> None:
        async def main() -> None:
            self.b.start(self._accept)
            self.a.start(self._dial)
            assert self.a.task is not None and self.b.task is not None
            await self.a.task
            await self.b.task
            self.a.state = self.b.state = "running"
            await test(self)

        with asyncio.Runner(loop_factory=lambda: self.loop) as runner:
            runner.run(main())

    async def _accept(self) -> None:
        listener = seam.bind_listener((B, 80), 65_536)
        listener.listen(8)
        arrived = self.loop.create_future()
        self.loop.add_reader(listener, lambda: None if arrived.done() else arrived.set_result(None))
        await arrived
        self.loop.remove_reader(listener)
        self.far = Stream(listener.accept()[0])
        self.b.sockets.clear()  # keeps them open when the program ends

    async def _dial(self) -> None:
        sock = seam.tcp_socket()
        await seam.connect(sock, (B, 80))
        self.near = Stream(sock)
        self.a.sockets.clear()


def now_us(pair: Pair) -> int:
    return pair.loop.now_us


def test_latency_is_exact() -> None:
    async def test(pair: Pair) -> None:
        pair.net.link(A, B).latency_us = 7_000
        before = now_us(pair)
        await pair.near.write(b"x")
        assert await pair.far.read() == b"x" and now_us(pair) - before == 7_000

    Pair().run_test(test)


def test_bandwidth_delays_by_size() -> None:
    async def test(pair: Pair) -> None:
        pair.net.link(A, B).bandwidth = 1_000_000
        before, size = now_us(pair), 0
        await pair.near.write(bytes(100_000))
        while size < 100_000:
            size += len(await pair.far.read())
        assert 100_000 <= now_us(pair) - before < 101_000

    Pair().run_test(test)


@pytest.mark.parametrize("seed", range(1, 6))
def test_loss_delays_data_and_keeps_its_order(seed: int) -> None:
    async def test(pair: Pair) -> None:
        pair.net.link(A, B).loss = 0.3
        sent = bytes(range(256)) * 2_000
        before, got = now_us(pair), bytearray()
        job = asyncio.get_running_loop().create_task(pair.near.write(sent))
        while len(got) < len(sent):
            got += await pair.far.read()
        await job
        assert bytes(got) == sent and now_us(pair) - before >= 200_000

    Pair(seed).run_test(test)


def test_a_link_cut_in_one_direction() -> None:
    async def test(pair: Pair) -> None:
        pair.net.link(B, A).cut = True
        await pair.near.write(b"there")
        assert await pair.far.read() == b"there"  # this direction is not cut
        await pair.far.write(b"back")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(pair.near.read(), 5.0)
        pair.net.link(B, A).cut = False
        assert await asyncio.wait_for(pair.near.read(), 5.0) == b"back"  # retransmitted

    Pair().run_test(test)


def test_a_host_that_is_down_sends_nothing_and_resets_when_it_is_up_again() -> None:
    async def test(pair: Pair) -> None:
        pair.net.host(B).up = False
        pair.far.abort()  # the RST is lost
        await pair.near.write(b"x")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(pair.near.read(), 30.0)
        pair.net.host(B).up = True
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(pair.near.read(), 30.0)

    Pair().run_test(test)


def send_over_faulty_link(loss: float = 0.0, double: float = 0.0, late: float = 0.0) -> list[int]:
    """Send 500 numbered datagrams over a link and return the numbers as they arrive."""
    loop = VirtualLoop(5)
    net = Network(loop, 5)
    link = net.link(A, B)
    link.loss, link.double, link.late = loss, double, late
    receiver, sender = Process("b", net, B), Process("a", net, A)
    got: list[int] = []

    async def receive() -> None:
        sock: Socket = seam.udp_socket()
        sock.bind((B, 9))
        asyncio.get_running_loop().add_reader(sock, lambda: got.append(int(sock.recvfrom(20)[0])))
        await asyncio.sleep(2.0)

    async def send() -> None:
        sock = seam.udp_socket()
        for n in range(500):
            sock.sendto(b"%d" % n, (B, 9))
            await asyncio.sleep(0.001)

    async def main() -> None:
        receiver.start(receive)
        sender.start(send)
        assert receiver.task is not None
        await receiver.task

    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(main())
    return got


def test_datagrams_are_lost_duplicated_and_reordered_as_the_link_is_set() -> None:
    assert send_over_faulty_link() == list(range(500))
    lost = send_over_faulty_link(loss=0.2)
    assert lost == sorted(set(lost)) and 350 < len(lost) < 450
    doubled = send_over_faulty_link(double=0.2)
    assert set(doubled) == set(range(500)) and 560 < len(doubled) < 640
    late = send_over_faulty_link(late=0.2)
    assert sorted(late) == list(range(500)) and late != sorted(late)


def test_a_process_reads_its_own_clock_files_and_environment() -> None:
    loop = VirtualLoop(1)
    net = Network(loop, 1)
    process = Process("p", net, A, descriptors=1)
    process.wall_clock_offset_ms = 5_000.0
    process.files["f"] = b"text"
    process.environment["V"] = "1"
    seen: list[object] = []

    async def program() -> None:
        await asyncio.sleep(1.0)
        seen.extend([seam.now_ms() - EPOCH_MS, seam.read_file("f"), seam.environ()["V"]])
        with pytest.raises(FileNotFoundError):
            seam.read_file("g")
        seam.tcp_socket()
        with pytest.raises(OSError, match="Too many open files"):
            seam.tcp_socket()

    async def main() -> None:
        process.start(program)
        assert process.task is not None
        await process.task

    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(main())
    assert seen == [6_000.0, b"text", "1"]
