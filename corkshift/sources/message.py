"""Builds DNS queries and parses the answers to them, without I/O (RFC 1035, RFC 6891).

dnspython implements the message format. An answer is accepted only where its ID, opcode and
question, including the letter case of the name (0x20 encoding: draft-vixie-dnsext-dns0x20), are
those of the query; any other message is foreign and says nothing about the server.

Limits: `MAX_RECORDS`, checked by the counts of the header before anything is parsed, and
`MAX_CNAMES`.
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

EDNS_PAYLOAD_BYTES = 1_232  # advertised size of UDP answers (DNS flag day 2020)
MAX_RECORDS = 1_024  # in all sections of one answer
MAX_CNAMES = 8  # followed from the queried name
MAX_MESSAGE_BYTES = 65_535
# Record types accepted in any section of an answer. dnspython imports a module for each type when
# it first parses one, so the set is closed.
ALLOWED_RECORD_TYPES = frozenset(
    int(dns.rdatatype.from_text(kind))
    for kind in (
        "A NS CNAME SOA PTR MX TXT AAAA SRV NAPTR DNAME OPT DS RRSIG NSEC DNSKEY NSEC3"
    ).split()
)
_HEADER = struct.Struct("!HHHHHH")  # ID, flags and four counts (RFC 1035, section 4.1.1)


class ForeignMessage(Exception):
    """The message is not an answer to this query: it is stray, late or forged."""


class UnusableAnswer(Exception):
    """The server answered this query, but not usably: the next server should be queried."""


class TruncatedAnswer(Exception):
    """The answer did not fit into a datagram: the query should be repeated over TCP."""


@dataclass(frozen=True, slots=True)
class SrvRecord:
    """One SRV record (RFC 2782).

    target: absolute name in lower case; "." means that the service is not available.
    """

    priority: int
    weight: int
    port: int
    target: str


@dataclass(frozen=True, slots=True)
class Answer:
    """The records of a name.

    ttl_s: smallest TTL of the records and the CNAMEs that lead to them; for a negative answer, that
    of its SOA record (RFC 2308), 0 without one.

    additional_addresses: TTL and addresses of the SRV targets, from the additional section.
    """

    ttl_s: int
    srv_records: tuple[SrvRecord, ...] = ()
    addresses: tuple[str, ...] = ()
    alias: str = ""  # last target of a CNAME chain that the answer does not resolve
    exists: bool = True
    aaaa_records: int = 0  # their number; the node supports IPv4 only
    additional_addresses: dict[str, tuple[int, tuple[str, ...]]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Query:
    """An encoded query. id: 0 to 65,535."""

    id: int
    name: dns.name.Name
    record_type: str
    wire: bytes


def make_query(name: str, record_type: str, query_id: int, case_bits: int) -> Query:
    """A query for SRV or A records.

    case_bits: random bits, one for each letter of the name (0x20 encoding). Raises ValueError where
    the name is not a valid DNS name.
    """
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
    """The answer in a message. over_tcp: it was received over TCP, where truncation is an error.

    Raises ForeignMessage, TruncatedAnswer, or UnusableAnswer with the reason.
    """
    if not 12 <= len(wire) <= MAX_MESSAGE_BYTES:
        raise ForeignMessage("no message")
    message_id, flags, questions, *record_counts = _HEADER.unpack_from(wire)
    if message_id != query.id or not flags & dns.flags.QR:
        raise ForeignMessage("another query's")
    if flags & 0x7800 or questions > 1:
        raise ForeignMessage("no answer to a query")
    if not questions:
        # Some servers answer errors without the question. ID, port and server match, so it is taken
        # as an answer to this query.
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
    """Raises UnusableAnswer where a record has a class or type that is not allowed.

    A message whose records can't be walked is left to the parser.

    dnspython caches each pair of class and type that it has ever parsed: without this check forged
    answers could make that cache grow to 2^32 entries.
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
    """Raises ForeignMessage where a message that can't be parsed does not repeat the question."""
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
        # Addresses of other names are ignored: the server may have no authority over them.
        if target in targets and rrset.rdclass == dns.rdataclass.IN:
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
    """The TTL of a negative answer, in s: the smaller of the SOA's TTL and its minimum field.

    RFC 2308, section 5.
    """
    for rrset in message.authority:
        if rrset.rdtype == dns.rdatatype.SOA and rrset:
            record = rrset[0]
            assert isinstance(record, dns.rdtypes.ANY.SOA.SOA)
            return min(rrset.ttl, record.minimum)
    return 0
