"""DNS messages: queries made, answers checked against them. Sans-I/O; dnspython has the message format (RFC 1035, 6891).

Bytes in, an `Answer` out. An answer is taken only where id, question (with its 0x20 case: draft-vixie-dnsext-dns0x20) and opcode are those
of the query; everything else is foreign and says nothing of the server. Bounds: `MOST_RECORDS` by the header's own counts, before
anything is parsed; `MOST_CHAIN` CNAMEs.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rdtypes.ANY.CNAME
import dns.rdtypes.ANY.SOA
import dns.rdtypes.IN.A
import dns.rdtypes.IN.SRV

EDNS_PAYLOAD_BYTES = 1_232  # bytes of a datagram that we ask for (DNS flag day 2020)
MAX_RECORDS = 1_024  # of one answer, in all its sections
MAX_CNAMES = 8  # CNAMEs from the name that was asked for
MAX_MESSAGE_BYTES = 65_535  # bytes of a message
ALLOWED_RECORD_TYPES = frozenset(  # of records that an answer to us may hold, wherever they stand; each costs a module on its first sight
    int(dns.rdatatype.from_text(kind))
    for kind in "A NS CNAME SOA PTR MX TXT AAAA SRV NAPTR DNAME OPT DS RRSIG NSEC DNSKEY NSEC3".split()
)
_HEADER = struct.Struct("!HHHHHH")


class ForeignMessage(Exception):
    """Not an answer to this query: stray, late, or forged."""


class UnusableAnswer(Exception):
    """The server's answer to this query, and of no use: another one is to be asked."""


class TruncatedAnswer(Exception):
    """The answer did not fit: it is to be asked for over TCP."""


@dataclass(frozen=True, slots=True)
class SrvRecord:
    """One SRV record (RFC 2782). target: absolute, lower case; "." alone is not offered here."""

    priority: int
    weight: int
    port: int
    target: str


@dataclass(frozen=True, slots=True)
class Answer:
    """What a name has. ttl_s as the records say, the smallest of the chain; negative: of the SOA (RFC 2308), 0 without one.

    extra: addresses of other names that came along (the additional section), with their lifetimes.
    """

    ttl_s: int
    srv_records: tuple[SrvRecord, ...] = ()
    addresses: tuple[str, ...] = ()
    alias: str = ""  # the end of a CNAME chain that the answer does not resolve
    exists: bool = True
    aaaa_records: int = 0  # AAAA records: this node speaks IPv4 alone
    additional_addresses: dict[str, tuple[int, tuple[str, ...]]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Query:
    """A query as it goes out. id: 0 to 65,535."""

    id: int
    name: dns.name.Name
    record_type: str
    wire: bytes


def make_query(name: str, record_type: str, query_id: int, case_bits: int) -> Query:
    """A query for SRV or A records. case: random bits, one for each letter (0x20). ValueError for what is no name."""
    try:
        query_name = dns.name.from_text(_randomize_case(name, case_bits))
    except (dns.exception.DNSException, UnicodeError) as error:
        raise ValueError(f"no DNS name: {name!r:.80} ({error})") from None
    message = dns.message.make_query(
        query_name, record_type, use_edns=0, payload=EDNS_PAYLOAD_BYTES, id=query_id
    )
    return Query(query_id, query_name, record_type, message.to_wire())


def _randomize_case(name: str, case_bits: int) -> str:
    letters = []
    for letter in name.lower():
        if letter.isascii() and letter.isalpha():
            letters.append(letter.upper() if case_bits & 1 else letter)
            case_bits >>= 1
        else:
            letters.append(letter)
    return "".join(letters)


def parse_answer(wire: bytes, query: Query, over_tcp: bool = False) -> Answer:
    """The answer in a message. stream: it came over TCP, where nothing is truncated.

    Foreign, Truncated, or Unusable with what is wrong.
    """
    if not 12 <= len(wire) <= MAX_MESSAGE_BYTES:
        raise ForeignMessage("no message")
    message_id, flags, questions, *record_counts = _HEADER.unpack_from(wire)
    if message_id != query.id or not flags & dns.flags.QR:
        raise ForeignMessage("another query's")
    if flags & 0x7800 or questions > 1:
        raise ForeignMessage("no answer to a query")
    if not questions:
        # A server that does not even read questions answers so; nobody can tell whose question it was, but id, port and server are right.
        if flags & 0xF:
            raise UnusableAnswer(_rcode_text(flags & 0xF))
        raise ForeignMessage("no question")
    if sum(record_counts) > MAX_RECORDS:
        raise UnusableAnswer(f"{sum(record_counts)} records, at most {MAX_RECORDS} are read")
    _check_record_types(wire, questions, sum(record_counts))
    try:
        message = dns.message.from_wire(wire, ignore_trailing=True)
    except (dns.exception.DNSException, ValueError, IndexError, struct.error) as error:
        _check_raw_question(wire, query)
        if flags & dns.flags.TC and not over_tcp:
            raise TruncatedAnswer from None
        raise UnusableAnswer(f"not readable: {type(error).__name__}") from None
    question = message.question[0]
    if (
        question.name.labels != query.name.labels
        or dns.rdatatype.to_text(question.rdtype) != query.record_type
        or question.rdclass != 1
    ):
        raise ForeignMessage("another question")
    if flags & dns.flags.TC:
        if over_tcp:
            raise UnusableAnswer("truncated over TCP")
        raise TruncatedAnswer
    code = message.rcode()
    if code not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
        raise UnusableAnswer(_rcode_text(code))
    return _answer_from_message(message, query, code == dns.rcode.NXDOMAIN)


def _check_record_types(wire: bytes, questions: int, records: int) -> None:
    """Unusable where a record is of another class or type than we may meet; what can't be walked is left to the parser.

    Guards against memory that grows: dnspython remembers each pair of class and type that it has ever met, 2^32 of them.
    """
    offset = 12
    try:
        for n in range(questions + records):
            while (length := wire[offset]) and length < 0xC0:
                offset += 1 + length
            offset += 2 if length else 1
            record_type, record_class = struct.unpack_from("!HH", wire, offset)
            offset += 4
            if n < questions:
                continue
            if record_type not in ALLOWED_RECORD_TYPES or (
                record_class != dns.rdataclass.IN and record_type != dns.rdatatype.OPT
            ):
                raise UnusableAnswer(f"a record of class {record_class} and type {record_type}")
            offset += 6 + struct.unpack_from("!H", wire, offset + 4)[0]
    except (IndexError, struct.error):
        return


def _check_raw_question(wire: bytes, query: Query) -> None:
    """Foreign where an unreadable message does not even repeat the question."""
    length = sum(len(label) + 1 for label in query.name.labels) + 4
    if wire[12 : 12 + length] != query.wire[12 : 12 + length]:
        raise ForeignMessage("another question")


def _rcode_text(code: int) -> str:
    return dns.rcode.to_text(dns.rcode.Rcode.make(code)) if code < 4096 else f"code {code}"


def _answer_from_message(message: dns.message.Message, query: Query, nxdomain: bool) -> Answer:
    name, ttl, cnames = query.name.canonicalize(), -1, 0
    rrsets = {
        (rrset.name.canonicalize(), rrset.rdtype): rrset
        for rrset in message.answer
        if rrset.rdclass == dns.rdataclass.IN
    }
    seen = {name}
    record_type = dns.rdatatype.from_text(query.record_type)
    while (
        (name, record_type) not in rrsets
        and (alias := rrsets.get((name, dns.rdatatype.CNAME))) is not None
        and alias
    ):
        record = alias[0]
        assert isinstance(record, dns.rdtypes.ANY.CNAME.CNAME)
        name, cnames = record.target.canonicalize(), cnames + 1
        ttl = alias.ttl if ttl < 0 else min(ttl, alias.ttl)
        if name in seen or cnames > MAX_CNAMES:
            raise UnusableAnswer("a CNAME loop" if name in seen else f"over {MAX_CNAMES} CNAMEs")
        seen.add(name)
    found = rrsets.get((name, record_type))
    if found is None or not found:
        if cnames and not nxdomain and not _negative_ttl_s(message):
            return Answer(ttl, alias=name.to_text())
        return Answer(_negative_ttl_s(message), exists=not nxdomain)
    ttl = found.ttl if ttl < 0 else min(ttl, found.ttl)
    if record_type == dns.rdatatype.A:
        return Answer(
            ttl,
            addresses=tuple(sorted(r.address for r in found if isinstance(r, dns.rdtypes.IN.A.A))),
        )
    srv_records = tuple(
        SrvRecord(r.priority, r.weight, r.port, r.target.canonicalize().to_text())
        for r in found
        if isinstance(r, dns.rdtypes.IN.SRV.SRV)
    )
    targets = {service.target for service in srv_records}
    additional_addresses: dict[str, tuple[int, tuple[str, ...]]] = {}
    aaaa_records = 0
    for rrset in message.additional:
        target = rrset.name.canonicalize().to_text()
        if (
            target in targets and rrset.rdclass == dns.rdataclass.IN
        ):  # only what the records name: anybody's address could stand here
            if rrset.rdtype == dns.rdatatype.A:
                additional_addresses[target] = (
                    rrset.ttl,
                    tuple(sorted(r.address for r in rrset if isinstance(r, dns.rdtypes.IN.A.A))),
                )
            elif rrset.rdtype == dns.rdatatype.AAAA:
                aaaa_records += len(rrset)
    return Answer(
        ttl,
        srv_records=srv_records,
        additional_addresses=additional_addresses,
        aaaa_records=aaaa_records,
    )


def _negative_ttl_s(message: dns.message.Message) -> int:
    """How long a negative answer holds, in s: the smaller of the SOA's lifetime and its minimum (RFC 2308, 5)."""
    for rrset in message.authority:
        if rrset.rdtype == dns.rdatatype.SOA and rrset:
            record = rrset[0]
            assert isinstance(record, dns.rdtypes.ANY.SOA.SOA)
            return min(rrset.ttl, record.minimum)
    return 0
