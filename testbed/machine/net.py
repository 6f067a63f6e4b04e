"""A virtual network: TCP and UDP as a program sees them through non-blocking sockets, with links that can be hurt.

What is modelled: buffers on both sides with partial writes and EAGAIN, flow control by the receiver's window, segments in
order with latency, jitter, bandwidth and retransmission, FIN and half close, RST with unread data and with SO_LINGER 0,
the accept backlog, dials that are refused or never answered, hosts that vanish, links cut one way or both, and datagrams
that are lost, doubled, reordered or late. What is not: congestion control, Nagle, urgent data, path MTU. The parity suite
(tests/testbed/test_parity.py) holds what the node's stream layer sees here against the kernel's sockets.

Units: microseconds and bytes.
"""

from __future__ import annotations

import asyncio
import errno
import os
import random
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Optional

from corkshift.seam import Address
from testbed.machine.faults import Call
from testbed.machine.loop import VirtualLoop
from testbed.machine.protocols import ProcessProtocol

DEFAULT_BUFFER_BYTES = 131_072  # bytes of a socket's buffer in each direction where nothing is asked (a kernel doubles what is asked)
SEGMENT_BYTES = 16_384  # bytes carried at once
INITIAL_RTO_US = 200_000  # the first retransmission; doubles up to the longest
MAX_RTO_US = 3_200_000
INITIAL_SYN_RTO_US = 1_000_000  # the first repeat of a SYN; doubles
UDP_BUFFER_BYTES = 212_992  # bytes that wait to be read from a UDP socket
MAX_DATAGRAM_BYTES = 65_507
FIRST_EPHEMERAL_PORT = 32_768
LINGER_OFF = struct.pack("ii", 0, 0)


def os_error(number: int) -> OSError:
    """The OSError that the kernel's errno makes (with its proper subclass)."""
    return OSError(number, os.strerror(number))


@dataclass(slots=True)
class Link:
    """One direction between two hosts."""

    latency_us: int = 250
    jitter_us: int = 0
    bandwidth: int = 0  # bytes a second; 0 has no limit
    loss: float = 0.0  # of segments and datagrams
    double: float = 0.0  # of datagrams
    late: float = 0.0  # of datagrams, which others overtake
    late_us: int = 5_000
    cut: bool = False
    busy_until_us: int = 0  # when the line has carried what was put on it
    last_datagram_us: int = (
        0  # when the last datagram arrives: none overtakes another but where it is drawn so
    )


@dataclass(slots=True)
class ByteTrigger:
    """A fault that waits for a byte: after so many bytes one way on a connection, something happens in mid-write."""

    source: str  # host that writes
    target: str  # host that is written to
    after_bytes: int  # bytes
    action: Callable[[VirtualSocket], None]
    connections: int = 1  # how many connections it catches


class Pipe:
    """What is on the way from one end to the other: segments in order, the head's arrival scheduled."""

    __slots__ = ("net", "source", "queue", "last_due_us", "rto_us", "arrival_scheduled")

    def __init__(self, net: Network, source: VirtualSocket) -> None:
        self.net = net
        self.source = source
        self.queue: deque[tuple[int, bytes | str]] = deque()  # when due, bytes or "fin" or "rst"
        self.last_due_us = 0
        self.rto_us = INITIAL_RTO_US
        self.arrival_scheduled = False

    def send(self, what: bytes | str) -> None:
        """Send a segment on its way."""
        net, source = self.net, self.source
        assert source.peer is not None
        link = net.link(source.host, source.peer.host)
        due = max(
            net.arrival_us(link, len(what) if isinstance(what, bytes) else 40), self.last_due_us
        )
        if link.loss and net.rng.random() < link.loss:
            due += INITIAL_RTO_US
        self.last_due_us = due
        self.queue.append((due, what))
        if not self.arrival_scheduled:
            self._schedule_arrival(due)

    def _schedule_arrival(self, due: int) -> None:
        self.arrival_scheduled = True
        self.net.loop.after_us(max(0, due - self.net.loop.now_us), self._deliver)

    def _deliver(self) -> None:
        self.arrival_scheduled = False
        if not self.queue:
            return
        net, source = self.net, self.source
        target = source.peer
        assert target is not None
        _, what = self.queue[0]
        if not net.is_reachable(source.host, target.host):
            if source.send_stopped:
                self.queue.clear()  # nobody is left to send it again
                return
            self._schedule_arrival(net.loop.now_us + self.rto_us)
            self.rto_us = min(MAX_RTO_US, self.rto_us * 2)
            return
        self.rto_us = INITIAL_RTO_US
        self.queue.popleft()
        if self.queue:
            self._schedule_arrival(max(net.loop.now_us, self.queue[0][0]))
        target.receive_segment(what)


class VirtualSocket:
    """One socket of a virtual process, in the words and with the errors of the standard library's."""

    __slots__ = (
        "net",
        "process",
        "host",
        "number",
        "kind",
        "state",
        "local",
        "remote",
        "peer",
        "is_initiator",
        "closed",
        "send_stopped",
        "rx",
        "rx_bytes",
        "fin_received",
        "pending_error",
        "reset",
        "tx",
        "in_flight_bytes",
        "write_closed",
        "fin_sent",
        "pipe",
        "receive_buffer",
        "send_buffer",
        "linger",
        "backlog",
        "accept_queue",
        "connect_future",
        "sent_bytes",
        "trigger",
        "datagrams",
        "queued_datagram_bytes",
        "last_received_us",
    )

    def __init__(
        self, net: Network, process: Optional[ProcessProtocol], host: str, kind: str
    ) -> None:
        self.net = net
        self.process = process
        self.host = host
        self.number = net.next_number()
        self.kind = kind  # stream or datagram
        self.state = "new"  # new, listening, dialing, open
        self.local: Address = ("", 0)
        self.remote: Address = ("", 0)
        self.peer: Optional[VirtualSocket] = None
        self.is_initiator = False
        self.closed = False  # by its program
        self.send_stopped = False  # nothing more is sent, not even again
        self.rx: deque[bytes] = deque()
        self.last_received_us = net.loop.now_us  # when the last bytes came in
        self.rx_bytes = 0
        self.fin_received = False  # the peer's FIN has come
        self.pending_error = 0  # told once
        self.reset = False
        self.tx = bytearray()
        self.in_flight_bytes = 0
        self.write_closed = False
        self.fin_sent = False
        self.pipe = Pipe(net, self)
        self.receive_buffer = DEFAULT_BUFFER_BYTES
        self.send_buffer = DEFAULT_BUFFER_BYTES
        self.linger = False
        self.backlog = 0
        self.accept_queue: deque[VirtualSocket] = deque()
        self.connect_future: Optional[asyncio.Future[None]] = None
        self.sent_bytes = 0  # bytes taken from the program
        self.trigger: Optional[ByteTrigger] = None
        self.datagrams: deque[tuple[bytes, Address]] = deque()
        self.queued_datagram_bytes = 0

    # -- the program's side --------------------------------------------------------------

    def fileno(self) -> int:
        return -1 if self.closed else self.number

    def setblocking(self, flag: bool) -> None:
        if flag:
            raise ValueError("virtual sockets never block")

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        self._check_open()
        if level == socket.SOL_SOCKET and option == socket.SO_LINGER:
            on, seconds = struct.unpack("ii", value)
            self.linger = bool(on) and not seconds
        elif level == socket.SOL_SOCKET and option == socket.SO_RCVBUF:
            self.receive_buffer = 2 * value
        elif level == socket.SOL_SOCKET and option == socket.SO_SNDBUF:
            self.send_buffer = 2 * value

    def bind(self, address: Any) -> None:
        self._check_open()
        self.net.bind(self, (address[0], address[1]))

    def listen(self, backlog: int = 128) -> None:
        self._check_open()
        if not self.local[1]:
            self.net.bind(self, (self.host, 0))
        self.state, self.backlog = "listening", backlog
        self.net.notify_observers("listen", self)

    def accept(self) -> tuple[VirtualSocket, Address]:
        """The oldest connection that waits. BlockingIOError where none does, EMFILE where there is no descriptor for it."""
        self._check_open()
        if self.state != "listening":
            raise os_error(errno.EINVAL)
        if not self.accept_queue:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        assert self.process is not None
        self.process.check_call(Call.ACCEPT)
        self.process.check_descriptors()
        sock = self.accept_queue.popleft()
        self.process.add_socket(sock)
        self.net.notify_observers("accept", sock)
        return sock, sock.remote

    def getsockname(self) -> Address:
        self._check_open()
        return self.local

    def connect(self, address: Address, done: asyncio.Future[None]) -> None:
        """Begin to connect; the future ends when the connection is up, or with its error. OSError where it can't begin."""
        self._check_open()
        if self.process is not None:
            self.process.check_call(Call.CONNECT)
        if not self.local[1]:
            self.net.bind(self, (self.host, 0))
        self.state, self.remote, self.connect_future, self.is_initiator = (
            "dialing",
            (address[0], address[1]),
            done,
            True,
        )
        self.net.notify_observers("dial", self)
        self.net.send_syn(self, INITIAL_SYN_RTO_US)

    def send(self, data: Any) -> int:
        self._check_open()
        if self.process is not None:
            self.process.check_call(Call.SEND)
        if self.pending_error:
            number, self.pending_error = self.pending_error, 0
            raise os_error(number)
        if self.write_closed or self.reset:
            raise os_error(errno.EPIPE)
        if self.state != "open":
            raise os_error(errno.EPIPE if self.state == "new" else errno.EAGAIN)
        size = len(data)
        if not size:
            return 0
        room = self.send_buffer - len(self.tx) - self.in_flight_bytes
        if room <= 0:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        taken = min(size, room)
        tripped = None
        if self.trigger is not None and self.sent_bytes + taken >= self.trigger.after_bytes:
            taken = max(0, self.trigger.after_bytes - self.sent_bytes)
            tripped, self.trigger = self.trigger, None
        piece = bytes(memoryview(data)[:taken])
        self.sent_bytes += taken
        self.net.on_send(self, piece, size)
        self.tx += piece
        self.transmit()
        if tripped is not None:
            tripped.action(self)
            if not taken:
                if self.pending_error:
                    number, self.pending_error = self.pending_error, 0
                    raise os_error(number)
                raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        return taken

    def recv_into(self, buffer: Any) -> int:
        self._check_open()
        if self.process is not None:
            self.process.check_call(Call.RECV)
        if self.rx:
            view = memoryview(buffer)
            size = 0
            while self.rx and size < len(view):
                piece = self.rx[0]
                taken = min(len(piece), len(view) - size)
                view[size : size + taken] = piece[:taken]
                size += taken
                if taken == len(piece):
                    self.rx.popleft()
                else:
                    self.rx[0] = piece[taken:]
            self.rx_bytes -= size
            if self.peer is not None and self.peer.tx:
                self.net.loop.after_us(
                    self.net.delay(self.host, self.peer.host), self.peer.transmit
                )
            return size
        if self.fin_received:
            return 0
        if self.pending_error:
            number, self.pending_error = self.pending_error, 0
            raise os_error(number)
        if self.reset:
            return 0
        if self.state != "open":
            raise os_error(errno.ENOTCONN)
        raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))

    def sendto(self, data: Any, address: Any) -> int:
        self._check_open()
        if len(data) > MAX_DATAGRAM_BYTES:
            raise os_error(errno.EMSGSIZE)
        if not self.local[1]:
            self.net.bind(self, (self.host, 0))
        self.net.send_datagram(self, bytes(data), (address[0], address[1]))
        return len(data)

    def recvfrom(self, size: int) -> tuple[bytes, Address]:
        self._check_open()
        if not self.datagrams:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        data, sender = self.datagrams.popleft()
        self.queued_datagram_bytes -= len(data)
        return data[:size], sender

    def shutdown(self, how: int) -> None:
        self._check_open()
        if self.state != "open" or self.reset:
            raise os_error(errno.ENOTCONN)
        if how in (socket.SHUT_WR, socket.SHUT_RDWR) and not self.write_closed:
            self.write_closed = True
            self.net.notify_observers("shutdown", self)
            self.transmit()

    def close(self) -> None:
        """End the socket as the kernel does: an RST where it lingers for no time or holds unread input, else a FIN."""
        if self.closed:
            return
        hard = self.linger or bool(self.rx)
        self.closed = True
        self.net.loop.unregister(self)
        if self.process is not None:
            self.process.remove_socket(self)
        self.net.unbind(self)
        self.net.notify_observers("abort" if hard else "close", self)
        if self.state == "listening":
            for sock in self.accept_queue:
                sock.linger = True
                sock.close()
            self.accept_queue.clear()
        elif self.state == "open" and not self.reset:
            if hard:
                self.send_reset()
            else:
                self.write_closed = True
                self.transmit()
        elif self.state == "dialing":
            self.send_stopped = True
        self.rx.clear()

    # -- the kernel's side ---------------------------------------------------------------

    @property
    def readable(self) -> bool:
        """Whether a read or an accept would not block."""
        return bool(
            self.rx
            or self.fin_received
            or self.pending_error
            or self.reset
            or self.accept_queue
            or self.datagrams
        )

    @property
    def writable(self) -> bool:
        """Whether a third of the send buffer is free, as the kernel has it, or a write would fail."""
        if self.kind == "datagram" or self.pending_error or self.reset or self.write_closed:
            return True
        return (
            self.state == "open"
            and 3 * (len(self.tx) + self.in_flight_bytes) <= 2 * self.send_buffer
        )

    def transmit(self) -> None:
        """Send what the peer has room for, and the end after the last byte."""
        peer = self.peer
        if peer is None or self.send_stopped or self.state != "open":
            return
        while self.tx:
            size = min(
                SEGMENT_BYTES,
                len(self.tx),
                peer.receive_buffer - peer.rx_bytes - self.in_flight_bytes,
            )
            if size <= 0:
                return
            piece = bytes(self.tx[:size])
            del self.tx[:size]
            self.in_flight_bytes += size
            self.pipe.send(piece)
        if self.write_closed and not self.fin_sent:
            self.fin_sent = True
            self.pipe.send("fin")

    def send_reset(self) -> None:
        """End the connection at once: what has not been sent is dropped."""
        self.tx.clear()
        self.send_stopped = True
        if self.peer is not None:
            self.pipe.send("rst")

    def receive_segment(self, what: bytes | str) -> None:
        """A segment has come."""
        peer = self.peer
        assert peer is not None
        if what == "rst":
            if not self.reset and not self.send_stopped:
                self.net.notify_observers("reset", self)
                self.reset = self.send_stopped = True
                self.pending_error = errno.EPIPE if self.fin_received else errno.ECONNRESET
                self.tx.clear()
                self.net.loop.mark_ready(self)
            return
        if isinstance(what, bytes):
            self.net.loop.after_us(
                self.net.delay(self.host, peer.host), peer.on_acknowledged, len(what)
            )
        if self.closed or self.send_stopped:
            if what != "fin":
                self.send_reset()  # there is nobody to read it, and an earlier word of that may have been lost
            return
        if self.reset:
            return
        if what == "fin":
            self.fin_received = True
        elif isinstance(what, bytes):
            self.rx.append(what)
            self.last_received_us = self.net.loop.now_us
            self.rx_bytes += len(what)
        self.net.loop.mark_ready(self)

    def on_acknowledged(self, size: int) -> None:
        """The peer's kernel has these bytes. Over a cut link the word does not come, until it is healed."""
        peer = self.peer
        assert peer is not None
        if not self.net.is_reachable(peer.host, self.host):
            if not self.send_stopped:
                self.net.loop.after_us(INITIAL_RTO_US, self.on_acknowledged, size)
            return
        self.in_flight_bytes -= size
        self.transmit()
        if not self.closed:
            self.net.loop.mark_ready(self)

    def reset_both_ends(self) -> None:
        """Reset both ends, as a middle box does."""
        for sock in (self, self.peer):
            if sock is not None and not (sock.reset or sock.send_stopped):
                sock.reset = sock.send_stopped = True
                sock.pending_error = errno.ECONNRESET
                sock.tx.clear()
                sock.pipe.queue.clear()
                if not sock.closed:
                    self.net.loop.mark_ready(sock)
        self.net.notify_observers("hurt", self)

    def _check_open(self) -> None:
        if self.closed:
            raise os_error(errno.EBADF)


@dataclass(slots=True)
class Host:
    """A machine: it may vanish, and then says nothing."""

    name: str
    up: bool = True
    next_port: int = FIRST_EPHEMERAL_PORT
    bound: dict[tuple[str, int], VirtualSocket] = field(default_factory=dict)  # by kind and port


class Network:
    """All hosts, links and sockets of a world."""

    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        self.loop = loop
        self.rng = random.Random(f"net/{seed}")
        self.hosts: dict[str, Host] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.default_link = Link()
        self.triggers: list[ByteTrigger] = []
        self.observers: list[Callable[[str, VirtualSocket], None]] = []
        self.on_send: Callable[[VirtualSocket, bytes, int], None] = lambda sock, piece, asked: None
        self._number = 2

    def next_number(self) -> int:
        """A descriptor's number, never used twice."""
        self._number += 1
        return self._number

    def notify_observers(self, what: str, sock: VirtualSocket) -> None:
        """Tell the observers what happened to a socket."""
        for observer in self.observers:
            observer(what, sock)

    def host(self, name: str) -> Host:
        """A host by its address; made when first named."""
        got = self.hosts.get(name)
        if got is None:
            got = self.hosts[name] = Host(name)
        return got

    def link(self, source: str, target: str) -> Link:
        """The link one way; made like the default when first used."""
        got = self.links.get((source, target))
        if got is None:
            d = self.default_link
            got = self.links[source, target] = Link(
                d.latency_us, d.jitter_us, d.bandwidth, d.loss, d.double, d.late, d.late_us
            )
        return got

    def is_reachable(self, source: str, target: str) -> bool:
        """Whether anything sent now arrives."""
        return self.host(source).up and self.host(target).up and not self.link(source, target).cut

    def delay(self, source: str, target: str) -> int:
        """Latency of one way now, jitter included."""
        link = self.link(source, target)
        return link.latency_us + (self.rng.randrange(link.jitter_us + 1) if link.jitter_us else 0)

    def arrival_us(self, link: Link, size: int) -> int:
        """When something put on a link now arrives."""
        now = self.loop.now_us
        if link.bandwidth:
            now = link.busy_until_us = (
                max(now, link.busy_until_us) + size * 1_000_000 // link.bandwidth
            )
        return (
            now
            + link.latency_us
            + (self.rng.randrange(link.jitter_us + 1) if link.jitter_us else 0)
        )

    # -- addresses -----------------------------------------------------------------------

    def bind(self, sock: VirtualSocket, address: Address) -> None:
        """Give a socket an address; EADDRINUSE where one has it, EADDRNOTAVAIL where it is another host's."""
        if address[0] != sock.host:
            raise os_error(errno.EADDRNOTAVAIL)
        host, port = self.host(sock.host), address[1]
        while not port:
            port = host.next_port
            host.next_port = FIRST_EPHEMERAL_PORT + (host.next_port + 1 - FIRST_EPHEMERAL_PORT) % (
                65_536 - FIRST_EPHEMERAL_PORT
            )
            if (sock.kind, port) in host.bound:
                port = 0
        if (sock.kind, port) in host.bound:
            raise os_error(errno.EADDRINUSE)
        host.bound[sock.kind, port] = sock
        sock.local = (sock.host, port)

    def unbind(self, sock: VirtualSocket) -> None:
        """Free a closed socket's address."""
        bound = self.host(sock.host).bound
        if bound.get((sock.kind, sock.local[1])) is sock:
            del bound[sock.kind, sock.local[1]]

    # -- connecting ----------------------------------------------------------------------

    def send_syn(self, sock: VirtualSocket, repeat_us: int) -> None:
        """Ask for a connection, and again while nothing answers."""
        if sock.closed or sock.state != "dialing":
            return
        link = self.link(sock.host, sock.remote[0])
        if self.is_reachable(sock.host, sock.remote[0]) and not (
            link.loss and self.rng.random() < link.loss
        ):
            self.loop.after_us(
                self.arrival_us(link, 40) - self.loop.now_us, self._syn_arrives, sock
            )
        self.loop.after_us(repeat_us, self.send_syn, sock, 2 * repeat_us)

    def _syn_arrives(self, sock: VirtualSocket) -> None:
        if (
            sock.closed
            or sock.state != "dialing"
            or sock.peer is not None
            or not self.is_reachable(sock.host, sock.remote[0])
        ):
            return
        listener = self.host(sock.remote[0]).bound.get(("stream", sock.remote[1]))
        if listener is None or listener.state != "listening":
            self.loop.after_us(self.delay(sock.remote[0], sock.host), self._refused, sock)
            return
        if len(listener.accept_queue) > listener.backlog:
            return  # dropped; the SYN comes again
        other = VirtualSocket(self, None, listener.host, "stream")
        other.state, other.local, other.remote, other.peer = (
            "open",
            listener.local,
            sock.local,
            sock,
        )
        other.receive_buffer, other.send_buffer = listener.receive_buffer, listener.send_buffer
        sock.peer = other
        listener.accept_queue.append(other)
        self.loop.mark_ready(listener)
        self._answer_syn(sock, INITIAL_RTO_US)

    def _answer_syn(self, sock: VirtualSocket, repeat_us: int) -> None:
        if sock.state != "dialing" or sock.peer is None:
            return
        if self.is_reachable(sock.remote[0], sock.host):
            self.loop.after_us(self.delay(sock.remote[0], sock.host), self._connected, sock)
        else:
            self.loop.after_us(repeat_us, self._answer_syn, sock, 2 * repeat_us)

    def _refused(self, sock: VirtualSocket) -> None:
        if sock.state != "dialing" or not self.is_reachable(sock.remote[0], sock.host):
            return
        sock.state = "new"
        if sock.connect_future is not None and not sock.connect_future.done():
            sock.connect_future.set_exception(os_error(errno.ECONNREFUSED))

    def _connected(self, sock: VirtualSocket) -> None:
        if sock.state != "dialing" or sock.peer is None:
            return
        sock.state = "open"
        if sock.closed:
            sock.send_reset()  # nobody waits for it any more
            return
        if sock.peer.closed or sock.peer.reset:  # reset before it was up
            sock.state = "new"
            if sock.connect_future is not None and not sock.connect_future.done():
                sock.connect_future.set_exception(os_error(errno.ECONNRESET))
            return
        self._attach_trigger(sock)
        self._attach_trigger(sock.peer)
        self.notify_observers("open", sock)
        if sock.connect_future is not None and not sock.connect_future.done():
            sock.connect_future.set_result(None)
        self.loop.mark_ready(sock)

    def _attach_trigger(self, sock: VirtualSocket) -> None:
        for trip in self.triggers:
            if trip.connections > 0 and (trip.source, trip.target) == (sock.host, sock.remote[0]):
                trip.connections -= 1
                sock.trigger = trip
                return

    # -- datagrams -----------------------------------------------------------------------

    def send_datagram(self, sock: VirtualSocket, data: bytes, address: Address) -> None:
        """Send a datagram over a link that may lose, double or delay it."""
        link, rng = self.link(sock.host, address[0]), self.rng
        copies = 1 + (link.double > 0.0 and rng.random() < link.double)
        for _ in range(copies):
            due = link.last_datagram_us = max(
                self.arrival_us(link, len(data)), link.last_datagram_us + 1
            )
            if link.loss and rng.random() < link.loss:
                continue
            if link.late and rng.random() < link.late:
                due += rng.randrange(link.late_us + 1)
            self.loop.after_us(
                due - self.loop.now_us, self._deliver_datagram, data, sock.local, address
            )

    def inject_datagram(self, sender: Address, address: Address, data: bytes) -> None:
        """A datagram of whoever forges its sender arrives now."""
        self._deliver_datagram(data, sender, address)

    def _deliver_datagram(self, data: bytes, sender: Address, address: Address) -> None:
        target = self.host(address[0]).bound.get(("datagram", address[1]))
        if (
            target is None
            or not self.is_reachable(sender[0], address[0])
            or target.queued_datagram_bytes + len(data) > UDP_BUFFER_BYTES
        ):
            return
        target.datagrams.append((data, sender))
        target.queued_datagram_bytes += len(data)
        self.loop.mark_ready(target)
