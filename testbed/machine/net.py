"""Virtual network: TCP and UDP as a program sees them through non-blocking sockets, with faults.

Modelled are buffers on both sides with partial writes and EAGAIN, flow control by the receiver's
window, segments in order with latency, jitter, bandwidth and retransmission, FIN and half close,
RST with unread data and with SO_LINGER 0, the accept backlog, connection attempts that are
refused or never answered, hosts that disappear, links cut in one or both directions, and
datagrams that are lost, duplicated, reordered or delayed. Not modelled are congestion control,
Nagle's algorithm, urgent data and the path MTU. The parity tests (tests/testbed/test_parity.py)
compare what the node's stream layer sees here with what it sees on the kernel's sockets.

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

# A socket's buffer in each direction if no size is set. Linux doubles a size that is set.
DEFAULT_BUFFER_BYTES = 131_072
SEGMENT_BYTES = 16_384  # the largest segment
INITIAL_RTO_US = 200_000  # first retransmission timeout; doubles up to MAX_RTO_US
MAX_RTO_US = 3_200_000
INITIAL_SYN_RTO_US = 1_000_000  # before the first repeat of a SYN; doubles each time
UDP_BUFFER_BYTES = 212_992  # receive buffer of a UDP socket
MAX_DATAGRAM_BYTES = 65_507  # payload of an IPv4 UDP datagram
FIRST_EPHEMERAL_PORT = 32_768
LINGER_OFF = struct.pack("ii", 0, 0)


def os_error(number: int) -> OSError:
    """Return the OSError, or its subclass, for an errno."""
    return OSError(number, os.strerror(number))


@dataclass(slots=True)
class Link:
    """One direction of the path between two hosts.

    `loss`, `double` and `late` are probabilities: that a segment or datagram is lost, that a
    datagram is duplicated, and that it is delayed by up to `late_us`, so that others overtake it.
    """

    latency_us: int = 250
    jitter_us: int = 0
    bandwidth: int = 0  # bytes per second; 0: no limit
    loss: float = 0.0
    double: float = 0.0
    late: float = 0.0
    late_us: int = 5_000
    cut: bool = False
    busy_until_us: int = 0  # when everything sent so far has been transmitted
    # Arrival of the last datagram: one overtakes another only if `late` delays the other.
    last_datagram_us: int = 0


@dataclass(slots=True)
class ByteTrigger:
    """A fault in the middle of a write, after a number of bytes in one direction."""

    source: str  # the sending host
    target: str  # the receiving host
    after_bytes: int
    action: Callable[[VirtualSocket], None]
    connections: int = 1  # how many more connections it applies to


class Pipe:
    """Segments in flight in one direction, in order; the arrival of the first is scheduled."""

    __slots__ = ("net", "source", "queue", "last_due_us", "rto_us", "arrival_scheduled")

    def __init__(self, net: Network, source: VirtualSocket) -> None:
        self.net = net
        self.source = source
        self.queue: deque[tuple[int, bytes | str]] = (
            deque()
        )  # arrival time, and bytes, "fin" or "rst"
        self.last_due_us = 0
        self.rto_us = INITIAL_RTO_US
        self.arrival_scheduled = False

    def send(self, what: bytes | str) -> None:
        """Send a segment."""
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
                self.queue.clear()  # the sender no longer retransmits
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
    """A socket of a virtual process, with the methods and errors of `socket.socket`.

    `kind` is stream or datagram; `state` is new, listening, dialing or open.
    """

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
        self.kind = kind
        self.state = "new"
        self.local: Address = ("", 0)
        self.remote: Address = ("", 0)
        self.peer: Optional[VirtualSocket] = None
        self.is_initiator = False
        self.closed = False  # by its own program
        self.send_stopped = False  # nothing is sent or retransmitted any more
        self.rx: deque[bytes] = deque()
        self.last_received_us = net.loop.now_us  # when the last bytes arrived
        self.rx_bytes = 0
        self.fin_received = False
        self.pending_error = 0  # errno, reported once
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
        self.sent_bytes = 0  # accepted from the program
        self.trigger: Optional[ByteTrigger] = None
        self.datagrams: deque[tuple[bytes, Address]] = deque()
        self.queued_datagram_bytes = 0

    # -- calls of the program ------------------------------------------------------------

    def fileno(self) -> int:
        """Return the descriptor number, or -1 once the socket is closed."""
        return -1 if self.closed else self.number

    def setblocking(self, flag: bool) -> None:
        """Accept only False, since virtual sockets never block."""
        if flag:
            raise ValueError("virtual sockets never block")

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        """Apply SO_LINGER, SO_RCVBUF and SO_SNDBUF; other options are ignored."""
        self._check_open()
        if level == socket.SOL_SOCKET and option == socket.SO_LINGER:
            on, seconds = struct.unpack("ii", value)
            self.linger = bool(on) and not seconds
        elif level == socket.SOL_SOCKET and option == socket.SO_RCVBUF:
            self.receive_buffer = 2 * value
        elif level == socket.SOL_SOCKET and option == socket.SO_SNDBUF:
            self.send_buffer = 2 * value

    def bind(self, address: Any) -> None:
        """Bind to an address of the own host; port 0 takes a free one."""
        self._check_open()
        self.net.bind(self, (address[0], address[1]))

    def listen(self, backlog: int = 128) -> None:
        """Start to listen, at a free port if the socket is not bound."""
        self._check_open()
        if not self.local[1]:
            self.net.bind(self, (self.host, 0))
        self.state, self.backlog = "listening", backlog
        self.net.notify_observers("listen", self)

    def accept(self) -> tuple[VirtualSocket, Address]:
        """Accept the oldest waiting connection.

        Raises BlockingIOError if there is none, and OSError (EMFILE) if no descriptor is left.
        """
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
        """Return the local address."""
        self._check_open()
        return self.local

    def connect(self, address: Address, done: asyncio.Future[None]) -> None:
        """Start to connect; the future ends when the connection is established, or with its error.

        Raises OSError if the attempt cannot start.
        """
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
        """Put data into the send buffer and return how much was taken; OSError as in Linux."""
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
        capacity = self.send_buffer - len(self.tx) - self.in_flight_bytes
        if capacity <= 0:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        taken = min(size, capacity)
        fired = None
        if self.trigger is not None and self.sent_bytes + taken >= self.trigger.after_bytes:
            taken = max(0, self.trigger.after_bytes - self.sent_bytes)
            fired, self.trigger = self.trigger, None
        chunk = bytes(memoryview(data)[:taken])
        self.sent_bytes += taken
        self.net.on_send(self, chunk, size)
        self.tx += chunk
        self.transmit()
        if fired is not None:
            fired.action(self)
            if not taken:
                if self.pending_error:
                    number, self.pending_error = self.pending_error, 0
                    raise os_error(number)
                raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        return taken

    def recv_into(self, buffer: Any) -> int:
        """Read received bytes into a buffer; 0 at the end of the input, OSError as in Linux."""
        self._check_open()
        if self.process is not None:
            self.process.check_call(Call.RECV)
        if self.rx:
            view = memoryview(buffer)
            size = 0
            while self.rx and size < len(view):
                chunk = self.rx[0]
                taken = min(len(chunk), len(view) - size)
                view[size : size + taken] = chunk[:taken]
                size += taken
                if taken == len(chunk):
                    self.rx.popleft()
                else:
                    self.rx[0] = chunk[taken:]
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
        """Send a datagram; OSError (EMSGSIZE) if it is too long."""
        self._check_open()
        if len(data) > MAX_DATAGRAM_BYTES:
            raise os_error(errno.EMSGSIZE)
        if not self.local[1]:
            self.net.bind(self, (self.host, 0))
        self.net.send_datagram(self, bytes(data), (address[0], address[1]))
        return len(data)

    def recvfrom(self, size: int) -> tuple[bytes, Address]:
        """Return the oldest received datagram, cut to `size` bytes, and its sender."""
        self._check_open()
        if not self.datagrams:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        data, sender = self.datagrams.popleft()
        self.queued_datagram_bytes -= len(data)
        return data[:size], sender

    def shutdown(self, how: int) -> None:
        """End the sending direction; OSError (ENOTCONN) without a connection."""
        self._check_open()
        if self.state != "open" or self.reset:
            raise os_error(errno.ENOTCONN)
        if how in (socket.SHUT_WR, socket.SHUT_RDWR) and not self.write_closed:
            self.write_closed = True
            self.net.notify_observers("shutdown", self)
            self.transmit()

    def close(self) -> None:
        """Close as the kernel does: RST with SO_LINGER 0 or unread input, else FIN."""
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

    # -- the kernel ----------------------------------------------------------------------

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
        """Whether a third of the send buffer is free, as in Linux, or a write would fail."""
        if self.kind == "datagram" or self.pending_error or self.reset or self.write_closed:
            return True
        return (
            self.state == "open"
            and 3 * (len(self.tx) + self.in_flight_bytes) <= 2 * self.send_buffer
        )

    def transmit(self) -> None:
        """Send what fits into the peer's window, and FIN after the last byte."""
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
            chunk = bytes(self.tx[:size])
            del self.tx[:size]
            self.in_flight_bytes += size
            self.pipe.send(chunk)
        if self.write_closed and not self.fin_sent:
            self.fin_sent = True
            self.pipe.send("fin")

    def send_reset(self) -> None:
        """Send RST and drop what has not been sent."""
        self.tx.clear()
        self.send_stopped = True
        if self.peer is not None:
            self.pipe.send("rst")

    def receive_segment(self, what: bytes | str) -> None:
        """Process a segment that has arrived."""
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
                # Nobody reads the data, and an earlier RST may have been lost.
                self.send_reset()
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
        """Process the acknowledgement of sent bytes; it waits until a cut link is restored."""
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
        """Reset both ends, as a middlebox does."""
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
    """A machine. While it is not up, it neither sends nor receives anything."""

    name: str
    up: bool = True
    next_port: int = FIRST_EPHEMERAL_PORT
    bound: dict[tuple[str, int], VirtualSocket] = field(default_factory=dict)  # by kind and port


class Network:
    """All hosts, links and sockets of a simulation.

    `observers` are called with each socket event; `on_send` is called with each chunk of data that
    a socket accepts and the size that the program asked it to send.
    """

    def __init__(self, loop: VirtualLoop, seed: int) -> None:
        self.loop = loop
        self.rng = random.Random(f"net/{seed}")
        self.hosts: dict[str, Host] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.default_link = Link()
        self.triggers: list[ByteTrigger] = []
        self.observers: list[Callable[[str, VirtualSocket], None]] = []
        self.on_send: Callable[[VirtualSocket, bytes, int], None] = lambda sock, chunk, asked: None
        self._number = 2

    def next_number(self) -> int:
        """Return a descriptor number, which is never used twice."""
        self._number += 1
        return self._number

    def notify_observers(self, what: str, sock: VirtualSocket) -> None:
        """Call the observers with a socket event."""
        for observer in self.observers:
            observer(what, sock)

    def host(self, name: str) -> Host:
        """Return a host by its address, created on first use."""
        got = self.hosts.get(name)
        if got is None:
            got = self.hosts[name] = Host(name)
        return got

    def link(self, source: str, target: str) -> Link:
        """Return the link in one direction, created on first use as a copy of the default."""
        got = self.links.get((source, target))
        if got is None:
            d = self.default_link
            got = self.links[source, target] = Link(
                d.latency_us, d.jitter_us, d.bandwidth, d.loss, d.double, d.late, d.late_us
            )
        return got

    def is_reachable(self, source: str, target: str) -> bool:
        """Whether both hosts are up and the link is not cut."""
        return self.host(source).up and self.host(target).up and not self.link(source, target).cut

    def delay(self, source: str, target: str) -> int:
        """Return the latency in one direction with jitter, in us."""
        link = self.link(source, target)
        return link.latency_us + (self.rng.randrange(link.jitter_us + 1) if link.jitter_us else 0)

    def arrival_us(self, link: Link, size: int) -> int:
        """Return the arrival time of `size` bytes sent on a link now."""
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
        """Bind a socket to an address.

        Raises OSError: EADDRINUSE if the address is taken, EADDRNOTAVAIL for another host's.
        """
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
        """Release the address of a closed socket."""
        bound = self.host(sock.host).bound
        if bound.get((sock.kind, sock.local[1])) is sock:
            del bound[sock.kind, sock.local[1]]

    # -- connecting ----------------------------------------------------------------------

    def send_syn(self, sock: VirtualSocket, repeat_us: int) -> None:
        """Send a SYN, and repeat it while there is no answer."""
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
            return  # dropped; the SYN is repeated
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
            sock.send_reset()  # the program has closed it meanwhile
            return
        if sock.peer.closed or sock.peer.reset:  # reset before it was established
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
        for trigger in self.triggers:
            if trigger.connections > 0 and (trigger.source, trigger.target) == (
                sock.host,
                sock.remote[0],
            ):
                trigger.connections -= 1
                sock.trigger = trigger
                return

    # -- datagrams -----------------------------------------------------------------------

    def send_datagram(self, sock: VirtualSocket, data: bytes, address: Address) -> None:
        """Send a datagram over a link that may lose, duplicate or delay it."""
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
        """Deliver a datagram now, with a sender address that may be forged."""
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
