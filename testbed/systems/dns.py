"""Emulated DNS server of one zone, over UDP and TCP, with scripted faults.

It answers SRV, A and CNAME queries from its records. BEHAVIOURS lists the good behaviour and the
faults, each named by what the server does. It runs on real sockets and on virtual ones.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, Optional

import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdatatype
import dns.rrset

from corkshift import seam
from corkshift.seam import Address
from corkshift.stream import KERNEL_BUFFER_BYTES, Stream
from testbed.systems.http import Program

SERVICE = "_menu._tcp.cache.example.org."
ZONE = "cache.example.org."
SOA = "ns.cache.example.org. admin.cache.example.org. 1 60 60 600 5"
MAX_UDP_BYTES = 1_232
_SERVICE_WIRE = b"".join(
    bytes([len(label)]) + label.encode() for label in SERVICE.rstrip(".").split(".")
)
MANY_RECORDS = 4_000  # about as many A records as one message over TCP holds

BEHAVIOURS = (
    "good", "silent", "servfail", "refused", "garbage", "another question", "another case",
    "forged id", "forged sender", "truncated", "truncated over tcp", "hangs over tcp", "empty",
    "nxdomain", "loop", "many", "flood", "late",
)  # fmt: skip


@dataclass(slots=True)
class Zone:
    """The records of a zone: TTL in s and texts, by name and type.

    glue: answers with SRV records contain the addresses of the targets. Several servers may share
    a zone.
    """

    records: dict[tuple[str, str], tuple[int, list[str]]] = field(default_factory=dict)
    glue: bool = True

    def set_records(self, name: str, kind: str, ttl: int, texts: list[str]) -> None:
        """Set the records of a name and type; no texts remove them."""
        if texts:
            self.records[name.lower(), kind] = ttl, texts
        else:
            self.records.pop((name.lower(), kind), None)

    def set_boxes(self, boxes: dict[str, Address], ttl: int = 2, priority: int = 0) -> None:
        """Replace the boxes that the service record names, given by id."""
        for name, kind in [key for key in self.records if key[1] == "A"]:
            del self.records[name, kind]
        self.set_records(
            SERVICE,
            "SRV",
            ttl,
            [f"{priority} 10 {port} {name}.{ZONE}" for name, (_, port) in boxes.items()],
        )
        for name, (host, _) in boxes.items():
            self.set_records(f"{name}.{ZONE}", "A", ttl, [host])


class NameServer(Program):
    """A DNS server of a zone.

    how: its current behaviour, one of BEHAVIOURS. on_service_answer: called with the querying host
    and the targets when it answers a query for the service over UDP. queries: for each query its
    transport, the name as it was received, and the type.
    """

    def __init__(self, address: Address, zone: Zone, how: str = "good") -> None:
        self.address = address
        self.zone = zone
        self.how = how
        self.delay_s = 1.0
        self.on_service_answer: Callable[[str, list[str]], None] = lambda host, targets: None
        self.queries: list[tuple[str, str, str]] = []
        self._udp: Any = None
        self._tcp: Any = None
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self) -> None:
        """Start to answer on one port over UDP and TCP. OSError if it is taken."""
        loop = asyncio.get_running_loop()
        self._tcp = seam.bind_listener(self.address, KERNEL_BUFFER_BYTES)
        self._tcp.listen(64)
        self.address = self._tcp.getsockname()[:2]
        self._udp = seam.udp_socket()
        self._udp.bind(self.address)
        loop.add_reader(self._udp, self._read_datagrams)
        loop.add_reader(self._tcp, self._accept)

    def close(self) -> None:
        """Stop at once."""
        if self._udp is None:
            return
        loop = asyncio.get_running_loop()
        for sock in (self._udp, self._tcp):
            loop.remove_reader(sock)
            sock.close()
        self._udp = self._tcp = None
        for task in self._tasks:
            task.cancel()

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _read_datagrams(self) -> None:
        while True:
            try:
                data, sender = self._udp.recvfrom(65_535)
            except OSError:
                return
            if self.how == "good" and data[12:].lower().startswith(_SERVICE_WIRE):
                self.on_service_answer(
                    sender[0],
                    [
                        text.split()[3]
                        for text in self.zone.records.get((SERVICE, "SRV"), (0, []))[1]
                    ],
                )
            if self.how == "late":
                asyncio.get_running_loop().call_later(
                    self.delay_s, self._send, self.answers(data, False), sender
                )
            else:
                self._send(self.answers(data, False), sender)

    def _send(self, answers: list[bytes], sender: Address) -> None:
        if self._udp is None:
            return
        for answer in answers:
            with suppress(OSError):
                self._udp.sendto(answer, sender)
        if self.how == "forged sender":
            other = seam.udp_socket()
            with suppress(OSError):
                other.sendto(self._response(self._last_query, False), sender)
            other.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._tcp.accept()
            except OSError:
                return
            self._spawn(self._serve_tcp(Stream(sock)))

    async def _serve_tcp(self, stream: Stream) -> None:
        data = b""
        try:
            while len(data) < 2 or len(data) < 2 + int.from_bytes(data[:2], "big"):
                more = await stream.read()
                if not more:
                    return
                data += more
            if self.how == "hangs over tcp":
                await asyncio.sleep(30.0)
            for answer in self.answers(data[2:], True):
                await stream.write(len(answer).to_bytes(2, "big") + answer)
            await stream.close_gracefully()
        except OSError:
            pass
        finally:
            stream.close()

    # -- responses -----------------------------------------------------------------------

    def answers(self, data: bytes, stream: bool) -> list[bytes]:
        """Return the messages that are sent for a query."""
        query = dns.message.from_wire(data)
        question = query.question[0]
        self.queries.append(
            (
                "tcp" if stream else "udp",
                question.name.to_text(),
                dns.rdatatype.to_text(question.rdtype),
            )
        )
        self._last_query = query
        how = self.how
        if how in ("silent", "forged sender"):
            return []
        if how == "garbage":
            return [data[:2] + b"\x81\x80" + data[4:6] + b"\x00\x05" + data[8:] + bytes(range(200))]
        if how == "flood":
            return (
                [b"\x00\x01" + data[2:] for _ in range(100)]
                if not stream
                else [self._response(query, stream)]
            )
        response = self._response(query, stream)
        if how == "forged id":
            return [
                ((query.id + 1) % 65_536).to_bytes(2, "big") + self._forged_response(query)[2:],
                response,
            ]
        if how == "another question":
            other = dns.message.make_query("elsewhere.example.org.", "A", id=query.id)
            return [dns.message.make_response(other).to_wire()]
        if how == "another case":
            lower = dns.message.make_query(
                question.name.to_text().swapcase(), question.rdtype, id=query.id
            )
            return [dns.message.make_response(lower).to_wire()]
        return [response]

    def _forged_response(self, query: dns.message.Message) -> bytes:
        """Return a response with a false target or address."""
        answer = dns.message.make_response(query)
        name, kind = query.question[0].name, query.question[0].rdtype
        text = "0 1 9 forged.example.net." if kind == dns.rdatatype.SRV else "127.9.9.9"
        answer.answer.append(dns.rrset.from_text(name, 300, "IN", kind, text))
        return bytes(answer.to_wire())

    def _response(self, query: dns.message.Message, stream: bool) -> bytes:
        answer = dns.message.make_response(query)
        question, how = query.question[0], self.how
        if how in ("servfail", "refused"):
            answer.set_rcode(dns.rcode.from_text(how.upper()))
        elif how == "nxdomain":
            answer.set_rcode(dns.rcode.NXDOMAIN)
            self._add_soa(answer)
        elif how == "empty":
            self._add_soa(answer)
        elif how == "loop":
            answer.answer.append(dns.rrset.from_text(question.name, 5, "IN", "CNAME", f"a.{ZONE}"))
            answer.answer.append(dns.rrset.from_text(f"a.{ZONE}", 5, "IN", "CNAME", f"b.{ZONE}"))
            answer.answer.append(dns.rrset.from_text(f"b.{ZONE}", 5, "IN", "CNAME", f"a.{ZONE}"))
        elif how == "many" and stream:
            texts = [f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}" for n in range(MANY_RECORDS)]
            answer.answer.append(dns.rrset.from_text(question.name, 5, "IN", "A", *texts))
        elif how == "many":
            answer.flags |= dns.flags.TC
        else:
            self._add_records(answer, question.name, question.rdtype)
        if how in ("truncated", "truncated over tcp") and (
            not stream or how == "truncated over tcp"
        ):
            answer.answer.clear()
            answer.additional.clear()
            answer.flags |= dns.flags.TC
        wire = bytes(answer.to_wire(max_size=65_535))
        if not stream and len(wire) > MAX_UDP_BYTES:
            answer.answer.clear()
            answer.additional.clear()
            answer.flags |= dns.flags.TC
            wire = bytes(answer.to_wire())
        return wire

    def _add_records(
        self, answer: dns.message.Message, asked: dns.name.Name, kind: dns.rdatatype.RdataType
    ) -> None:
        name: Optional[str] = asked.to_text().lower()
        shown = asked.to_text()
        for _ in range(16):
            assert name is not None
            found = self.zone.records.get((name, dns.rdatatype.to_text(kind)))
            if found is not None:
                answer.answer.append(dns.rrset.from_text(shown, found[0], "IN", kind, *found[1]))
                if kind == dns.rdatatype.SRV and self.zone.glue:
                    self._add_glue(answer, found[1])
                return
            alias = self.zone.records.get((name, "CNAME"))
            if alias is None:
                break
            answer.answer.append(dns.rrset.from_text(shown, alias[0], "IN", "CNAME", alias[1][0]))
            name = shown = alias[1][0].lower()
        if not answer.answer:
            if not any(known == name for known, _ in self.zone.records):
                answer.set_rcode(dns.rcode.NXDOMAIN)
            self._add_soa(answer)

    def _add_glue(self, answer: dns.message.Message, texts: list[str]) -> None:
        for text in texts:
            target = text.split()[3].lower()
            for kind in ("A", "AAAA"):
                found = self.zone.records.get((target, kind))
                if found is not None:
                    answer.additional.append(
                        dns.rrset.from_text(target, found[0], "IN", kind, *found[1])
                    )

    @staticmethod
    def _add_soa(answer: dns.message.Message) -> None:
        answer.authority.append(dns.rrset.from_text(ZONE, 60, "IN", "SOA", SOA))
