"""The same socket scenarios on the virtual network and on the kernel's give the same results.

Each scenario returns what it observed (bytes, ends, names of errors), but no times. A virtual
network that differs from the kernel would make every test on it unreliable. Loopback does not lose,
reorder or cut: there the scenario itself sends twice, in another order, late, or not at all.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import pytest
import uvloop

from corkshift import seam
from corkshift.seam import Socket
from corkshift.stream import KERNEL_BUFFER_BYTES, Stream
from testbed.machine.loop import VirtualLoop
from testbed.machine.net import Network
from testbed.machine.process import Process

HOST = "127.0.0.1"
Seen = list[object]
Scenario = Callable[[], Coroutine[Any, Any, Seen]]
SCENARIOS: dict[str, Scenario] = {}


def scenario(function: Scenario) -> Scenario:
    SCENARIOS[function.__name__] = function
    return function


def on_kernel(run_scenario: Scenario) -> Seen:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(asyncio.wait_for(run_scenario(), 20.0))


def on_virtual(run_scenario: Scenario, seed: int = 1) -> Seen:
    loop = VirtualLoop(seed)
    net = Network(loop, seed)
    process = Process("p", net, HOST)
    seen: list[Seen] = []

    async def program() -> None:
        seen.append(await run_scenario())

    async def main() -> None:
        process.start(program)
        assert process.task is not None
        await process.task

    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(main())
    return seen[0]


async def result_or_error(what: Awaitable[object]) -> object:
    """Return a result, or the name of the error."""
    try:
        return await what
    except TimeoutError:
        return "timeout"
    except OSError as error:
        return errno.errorcode.get(error.errno or 0, type(error).__name__)


def call_result_or_error(what: Callable[[], object]) -> object:
    try:
        return what()
    except BlockingIOError:
        return "EAGAIN"
    except OSError as error:
        return errno.errorcode.get(error.errno or 0, type(error).__name__)


async def until(true: Callable[[], bool]) -> None:
    while not true():
        await asyncio.sleep(0.002)


async def readable(sock: Socket) -> None:
    loop = asyncio.get_running_loop()
    arrived = loop.create_future()
    loop.add_reader(sock, lambda: None if arrived.done() else arrived.set_result(None))
    try:
        await arrived
    finally:
        loop.remove_reader(sock)


async def accept(listener: Socket) -> Socket:
    await readable(listener)
    sock: Socket = listener.accept()[0]
    sock.setblocking(False)
    return sock


async def raw_pair() -> tuple[Socket, Socket]:
    """Return a connection: the connecting end and the accepted one."""
    listener = seam.bind_listener((HOST, 0), KERNEL_BUFFER_BYTES)
    listener.listen(8)
    dialing = seam.tcp_socket()
    seam.limit_buffers(dialing, KERNEL_BUFFER_BYTES)
    await seam.connect(dialing, listener.getsockname())
    accepted = await accept(listener)
    listener.close()
    return dialing, accepted


async def pair() -> tuple[Stream, Stream]:
    a, b = await raw_pair()
    return Stream(a), Stream(b)


async def read_to_end(stream: Stream) -> tuple[int, object]:
    """Return how many bytes arrive, and how the stream ends."""
    size = 0
    while True:
        data = await result_or_error(stream.read())
        if not isinstance(data, bytes) or not data:
            return size, data
        size += len(data)


@scenario
async def bytes_pass_both_ways() -> Seen:
    a, b = await pair()
    seen: Seen = [await a.write(b"there"), await b.read(), await b.write(b"back"), await a.read()]
    return seen


@scenario
async def nothing_to_read_is_eagain() -> Seen:
    a, b = await raw_pair()
    return [
        call_result_or_error(lambda: a.recv_into(bytearray(10))),
        call_result_or_error(lambda: b.recv_into(bytearray(10))),
    ]


@scenario
async def a_full_buffer_takes_part_of_a_write_and_then_nothing() -> Seen:
    a, b = await raw_pair()
    chunk, taken, last = bytes(1_000_000), 0, 0
    while True:
        got = call_result_or_error(lambda: a.send(chunk))
        if got == "EAGAIN":
            break
        assert isinstance(got, int)
        last, taken = got, taken + got
        await asyncio.sleep(0.02)
    seen: Seen = [0 < last < len(chunk)]
    size = 0
    while size < taken:
        got = call_result_or_error(lambda: b.recv_into(bytearray(65_536)))
        if isinstance(got, int):
            size += got
        else:
            await asyncio.sleep(0.005)
    return [*seen, size == taken, call_result_or_error(lambda: b.recv_into(bytearray(10)))]


@scenario
async def a_write_waits_for_a_slow_reader() -> Seen:
    a, b = await pair()
    job = asyncio.create_task(a.write(bytes(2_000_000)))
    await asyncio.sleep(0.1)
    seen: Seen = [job.done()]
    size = 0
    while size < 2_000_000:
        size += len(await b.read())
    return [*seen, size, await job]


@scenario
async def a_paused_reader_stops_the_flow() -> Seen:
    a, b = await pair()
    job = asyncio.create_task(a.write(bytes(1_000_000)))
    await asyncio.sleep(0.2)
    held = b._buffered_bytes
    job.cancel()
    return [65_536 <= held < 3 * 65_536]


@scenario
async def half_close_ends_one_direction() -> Seen:
    a, b = await raw_pair()
    a.send(b"last words")
    a.shutdown(socket.SHUT_WR)
    other, mine = Stream(b), Stream(a)
    seen: Seen = [await other.read(), await other.read(), other.ended]
    seen += [
        await other.write(b"still here"),
        await mine.read(),
        call_result_or_error(lambda: a.send(b"x")),
    ]
    return seen


@scenario
async def a_close_is_an_end() -> Seen:
    a, b = await pair()
    await a.write(b"bye")
    a.close()
    return [await read_to_end(b)]


@scenario
async def a_close_with_unread_input_is_a_reset() -> Seen:
    a, b = await raw_pair()
    b.send(b"never read")
    await readable(a)
    other = Stream(b)
    a.close()
    return [await read_to_end(other)]


@scenario
async def no_linger_is_a_reset() -> Seen:
    a, b = await pair()
    a.abort()
    return [await read_to_end(b), call_result_or_error(lambda: b.write_now(b"x"))]


@scenario
async def input_before_a_reset_can_still_be_read() -> Seen:
    a, b = await raw_pair()
    a.send(b"before")
    await readable(b)
    a.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    a.close()
    await asyncio.sleep(0.05)
    buffer = bytearray(100)
    return [call_result_or_error(lambda: b.recv_into(buffer)) for _ in range(3)]


@scenario
async def input_on_the_way_to_a_stream_before_a_reset() -> Seen:
    a, b = await raw_pair()
    other = Stream(b)
    a.send(b"before")
    await until(lambda: other.has_buffered_input)
    a.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    a.close()
    await until(lambda: other.ended)
    return [await result_or_error(other.read()), await result_or_error(other.read())]


@scenario
async def a_write_to_a_peer_that_has_closed_is_reset() -> Seen:
    a, b = await raw_pair()
    b.close()
    await readable(a)  # the FIN has arrived
    seen: Seen = [
        call_result_or_error(lambda: a.recv_into(bytearray(10))),
        call_result_or_error(lambda: a.send(b"first")),
    ]
    await asyncio.sleep(0.05)
    return [
        *seen,
        call_result_or_error(lambda: a.send(b"second")),
        call_result_or_error(lambda: a.send(b"third")),
        call_result_or_error(lambda: a.recv_into(bytearray(10))),
    ]


@scenario
async def a_stream_that_writes_to_a_peer_that_has_closed() -> Seen:
    a, b = await pair()
    b.close()
    await until(lambda: a.ended)
    seen: Seen = [
        a.error is None,
        await result_or_error(a.read()),
        call_result_or_error(lambda: a.write_now(b"first")),
    ]
    await asyncio.sleep(0.05)
    return [
        *seen,
        call_result_or_error(lambda: a.write_now(b"second")),
        a.closed,
        type(a.error).__name__,
    ]


@scenario
async def a_dial_that_is_refused() -> Seen:
    listener = seam.bind_listener((HOST, 0), KERNEL_BUFFER_BYTES)
    address = listener.getsockname()
    listener.close()
    return [await result_or_error(seam.connect(seam.tcp_socket(), address))]


@scenario
async def a_bound_socket_that_does_not_listen_refuses() -> Seen:
    listener = seam.bind_listener((HOST, 0), KERNEL_BUFFER_BYTES)
    return [await result_or_error(seam.connect(seam.tcp_socket(), listener.getsockname()))]


@scenario
async def a_backlog_holds_connections_until_they_are_accepted() -> Seen:
    listener = seam.bind_listener((HOST, 0), KERNEL_BUFFER_BYTES)
    listener.listen(8)
    dials = [seam.tcp_socket() for _ in range(4)]
    for n, dial in enumerate(dials):
        await seam.connect(dial, listener.getsockname())
        dial.send(b"early %d" % n)
    seen: Seen = []
    for _ in dials:
        seen.append(await Stream(await accept(listener)).read())
    return [*seen, call_result_or_error(lambda: listener.accept())]


@scenario
async def a_full_backlog_leaves_a_dial_without_answer() -> Seen:
    listener = seam.bind_listener((HOST, 0), KERNEL_BUFFER_BYTES)
    listener.listen(1)
    seen: Seen = []
    kept = []
    for _ in range(4):
        kept.append(seam.tcp_socket())
        seen.append(
            await result_or_error(
                asyncio.wait_for(seam.connect(kept[-1], listener.getsockname()), 0.3)
            )
        )
    return seen


@scenario
async def a_connection_reset_before_it_is_accepted() -> Seen:
    listener = seam.bind_listener((HOST, 0), KERNEL_BUFFER_BYTES)
    listener.listen(8)
    dial = seam.tcp_socket()
    await seam.connect(dial, listener.getsockname())
    dial.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    dial.close()
    await asyncio.sleep(0.05)
    return [await read_to_end(Stream(await accept(listener)))]


@scenario
async def a_listener_that_closes_resets_waiting_connections() -> Seen:
    listener = seam.bind_listener((HOST, 0), KERNEL_BUFFER_BYTES)
    listener.listen(8)
    dial = seam.tcp_socket()
    await seam.connect(dial, listener.getsockname())
    listener.close()
    return [await read_to_end(Stream(dial))]


@scenario
async def an_address_that_is_taken() -> Seen:
    listener = seam.bind_listener((HOST, 0), KERNEL_BUFFER_BYTES)
    listener.listen(8)
    return [
        call_result_or_error(
            lambda: seam.bind_listener(listener.getsockname(), KERNEL_BUFFER_BYTES).listen(8)
        )
    ]


@scenario
async def an_unresponsive_peer_is_a_timeout_and_nothing_else() -> Seen:
    a, b = await pair()
    seen: Seen = [
        await result_or_error(asyncio.wait_for(a.read(), 0.05)),
        a.ended,
        a.open_without_input,
    ]
    a.expire()
    return [*seen, await result_or_error(a.read()), await b.write(b"late"), await a.read()]


@scenario
async def a_finish_waits_for_the_peers_end() -> Seen:
    a, b = await pair()
    await a.write(b"answer")
    job = asyncio.create_task(a.close_gracefully())
    seen: Seen = [await b.read(), await b.read(), job.done()]
    b.close()
    await job
    return [*seen, a.closed]


@scenario
async def a_closed_socket_can_do_nothing() -> Seen:
    a, _ = await raw_pair()
    a.close()
    return [
        call_result_or_error(lambda: a.send(b"x")),
        call_result_or_error(lambda: a.recv_into(bytearray(1))),
        call_result_or_error(lambda: a.shutdown(socket.SHUT_WR)),
        a.fileno(),
    ]


@scenario
async def a_socket_that_was_never_connected() -> Seen:
    sock = seam.tcp_socket()
    return [
        call_result_or_error(lambda: sock.shutdown(socket.SHUT_WR)),
        call_result_or_error(lambda: sock.send(b"x")),
    ]


@scenario
async def a_shutdown_after_a_reset() -> Seen:
    a, b = await pair()
    a.abort()
    await until(lambda: b.ended)
    return [call_result_or_error(lambda: b._sock.shutdown(socket.SHUT_WR)), type(b.error).__name__]


@scenario
async def a_reset_in_the_middle_of_a_write() -> Seen:
    a, b = await pair()
    job = asyncio.create_task(a.write(bytes(2_000_000)))
    await b.read()
    b.abort()
    return [await result_or_error(job), a.error is not None]


@scenario
async def until_input_stops_a_write_when_the_peer_sends() -> Seen:
    a, b = await pair()
    job = asyncio.create_task(a.write(bytes(2_000_000), until_input=True))
    await b.read()
    await b.write(b"enough")
    await until(lambda: a.has_buffered_input)
    while not job.done():
        await b.read()
    return [await job, await a.read()]


@scenario
async def a_connection_closed_at_once_leaves_nothing() -> Seen:
    listener = seam.bind_listener((HOST, 0), KERNEL_BUFFER_BYTES)
    listener.listen(8)
    dial = seam.tcp_socket()
    job = asyncio.create_task(seam.connect(dial, listener.getsockname()))
    await asyncio.sleep(0)
    await job
    dial.close()
    return [await read_to_end(Stream(await accept(listener)))]


async def datagrams(count: int) -> list[Socket]:
    made = [seam.udp_socket() for _ in range(count)]
    for sock in made:
        sock.bind((HOST, 0))
    return made


@scenario
async def datagrams_keep_their_boundaries_and_their_sender() -> Seen:
    a, b = await datagrams(2)
    a.sendto(b"one", b.getsockname())
    a.sendto(b"", b.getsockname())
    a.sendto(b"a longer one", b.getsockname())
    seen: Seen = []
    for size in (100, 100, 8):
        await readable(b)
        data, sender = b.recvfrom(size)
        seen += [data, sender == a.getsockname()]
    return [*seen, call_result_or_error(lambda: b.recvfrom(10))]


@scenario
async def datagrams_duplicated_and_reordered_arrive_as_they_were_sent() -> Seen:
    a, b = await datagrams(2)
    for data in (b"2", b"1", b"1", b"3"):
        a.sendto(data, b.getsockname())
    await asyncio.sleep(0.02)
    seen: Seen = []
    seen += sorted(b.recvfrom(10)[0] for _ in range(4))
    return seen


@scenario
async def a_datagram_to_a_closed_port_is_lost_without_an_error() -> Seen:
    a, b = await datagrams(2)
    address = b.getsockname()
    b.close()
    seen: Seen = [call_result_or_error(lambda: a.sendto(b"x", address))]
    await asyncio.sleep(0.02)
    return [*seen, call_result_or_error(lambda: a.recvfrom(10))]


@scenario
async def a_datagram_that_is_too_long() -> Seen:
    a, b = await datagrams(2)
    return [
        call_result_or_error(lambda: a.sendto(bytes(70_000), b.getsockname())),
        call_result_or_error(lambda: a.sendto(bytes(60_000), b.getsockname())),
    ]


@scenario
async def a_full_datagram_buffer_drops_later_datagrams() -> Seen:
    a, b = await datagrams(2)
    for _ in range(400):
        a.sendto(bytes(8_000), b.getsockname())
    await asyncio.sleep(0.05)
    count = 0
    while call_result_or_error(lambda: b.recvfrom(10)) != "EAGAIN":
        count += 1
    return [0 < count < 400]


@pytest.mark.parametrize("name", SCENARIOS)
def test_the_kernel_and_the_virtual_network_show_the_same(name: str) -> None:
    wanted = on_kernel(SCENARIOS[name])
    for seed in (1, 2, 3):
        assert on_virtual(SCENARIOS[name], seed) == wanted
