"""What loopback can't show: latency, bandwidth, loss, links cut one way, machines that vanish, and hurt datagrams."""

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
    """Two processes on two hosts, and a connection from the first to the second."""

    def __init__(self, seed: int = 1) -> None:
        self.loop = VirtualLoop(seed)
        self.net = Network(self.loop, seed)
        self.a, self.b = Process("a", self.net, A), Process("b", self.net, B)
        self.near: Stream
        self.far: Stream

    def play(self, test: Callable[[Pair], Coroutine[Any, Any, None]]) -> None:
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
        came = self.loop.create_future()
        self.loop.add_reader(listener, lambda: None if came.done() else came.set_result(None))
        await came
        self.loop.remove_reader(listener)
        self.far = Stream(listener.accept()[0])
        self.b.sockets.clear()  # they stay open though the program ends

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

    Pair().play(test)


def test_bandwidth_delays_by_size() -> None:
    async def test(pair: Pair) -> None:
        pair.net.link(A, B).bandwidth = 1_000_000
        before, size = now_us(pair), 0
        await pair.near.write(bytes(100_000))
        while size < 100_000:
            size += len(await pair.far.read())
        assert 100_000 <= now_us(pair) - before < 101_000

    Pair().play(test)


@pytest.mark.parametrize("seed", range(1, 6))
def test_loss_delays_and_keeps_the_order(seed: int) -> None:
    async def test(pair: Pair) -> None:
        pair.net.link(A, B).loss = 0.3
        sent = bytes(range(256)) * 2_000
        before, got = now_us(pair), bytearray()
        job = asyncio.get_running_loop().create_task(pair.near.write(sent))
        while len(got) < len(sent):
            got += await pair.far.read()
        await job
        assert bytes(got) == sent and now_us(pair) - before >= 200_000

    Pair(seed).play(test)


def test_a_link_cut_one_way() -> None:
    async def test(pair: Pair) -> None:
        pair.net.link(B, A).cut = True
        await pair.near.write(b"there")
        assert await pair.far.read() == b"there"  # this way is whole
        await pair.far.write(b"back")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(pair.near.read(), 5.0)
        pair.net.link(B, A).cut = False
        assert await asyncio.wait_for(pair.near.read(), 5.0) == b"back"  # the kernel sends it again

    Pair().play(test)


def test_a_machine_that_vanishes_says_nothing_and_one_that_died_is_reset() -> None:
    async def test(pair: Pair) -> None:
        pair.net.host(B).up = False
        pair.far.abort()  # nobody hears of it
        await pair.near.write(b"x")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(pair.near.read(), 30.0)
        pair.net.host(B).up = True
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(pair.near.read(), 30.0)

    Pair().play(test)


def hurt(loss: float = 0.0, double: float = 0.0, late: float = 0.0) -> list[int]:
    """Numbers sent as datagrams over a link, as they come."""
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


def test_datagrams_are_lost_doubled_and_overtaken_as_the_link_says() -> None:
    assert hurt() == list(range(500))
    lost = hurt(loss=0.2)
    assert lost == sorted(set(lost)) and 350 < len(lost) < 450
    doubled = hurt(double=0.2)
    assert set(doubled) == set(range(500)) and 560 < len(doubled) < 640
    late = hurt(late=0.2)
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
