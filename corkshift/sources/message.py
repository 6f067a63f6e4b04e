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

PAYLOAD = 1_232  # bytes of a datagram that we ask for (DNS flag day 2020)
MOST_RECORDS = 1_024  # of one answer, in all its sections
MOST_CHAIN = 8  # CNAMEs from the name that was asked for
LONGEST = 65_535  # bytes of a message
KINDS = frozenset(  # of records that an answer to us may hold, wherever they stand; each costs a module on its first sight
    int(dns.rdatatype.from_text(kind))
    for kind in "A NS CNAME SOA PTR MX TXT AAAA SRV NAPTR DNAME OPT DS RRSIG NSEC DNSKEY NSEC3".split()
)
_HEADER = struct.Struct("!HHHHHH")


class Foreign(Exception):
    """Not an answer to this query: stray, late, or forged."""


class Unusable(Exception):
    """The server's answer to this query, and of no use: another one is to be asked."""


class Truncated(Exception):
    """The answer did not fit: it is to be asked for over TCP."""


@dataclass(frozen=True, slots=True)
class Service:
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
    services: tuple[Service, ...] = ()
    addresses: tuple[str, ...] = ()
    alias: str = ""  # the end of a CNAME chain that the answer does not resolve
    exists: bool = True
    foreign_family: int = 0  # AAAA records: this node speaks IPv4 alone
    extra: dict[str, tuple[int, tuple[str, ...]]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Query:
    """A query as it goes out. id: 0 to 65,535."""

    id: int
    name: dns.name.Name
    kind: str
    wire: bytes


def query(name: str, kind: str, ident: int, case: int) -> Query:
    """A query for SRV or A records. case: random bits, one for each letter (0x20). ValueError for what is no name."""
    try:
        asked = dns.name.from_text(_cased(name, case))
    except (dns.exception.DNSException, UnicodeError) as error:
        raise ValueError(f"no DNS name: {name!r:.80} ({error})") from None
    message = dns.message.make_query(asked, kind, use_edns=0, payload=PAYLOAD, id=ident)
    return Query(ident, asked, kind, message.to_wire())


def _cased(name: str, case: int) -> str:
    letters = []
    for letter in name.lower():
        if letter.isascii() and letter.isalpha():
            letters.append(letter.upper() if case & 1 else letter)
            case >>= 1
        else:
            letters.append(letter)
    return "".join(letters)


def read(wire: bytes, asked: Query, stream: bool = False) -> Answer:
    """The answer in a message. stream: it came over TCP, where nothing is truncated.

    Foreign, Truncated, or Unusable with what is wrong.
    """
    if not 12 <= len(wire) <= LONGEST:
        raise Foreign("no message")
    ident, flags, questions, *counts = _HEADER.unpack_from(wire)
    if ident != asked.id or not flags & dns.flags.QR:
        raise Foreign("another query's")
    if flags & 0x7800 or questions > 1:
        raise Foreign("no answer to a query")
    if not questions:
        # A server that does not even read questions answers so; nobody can tell whose question it was, but id, port and server are right.
        if flags & 0xF:
            raise Unusable(_rcode(flags & 0xF))
        raise Foreign("no question")
    if sum(counts) > MOST_RECORDS:
        raise Unusable(f"{sum(counts)} records, at most {MOST_RECORDS} are read")
    _check_kinds(wire, questions, sum(counts))
    try:
        message = dns.message.from_wire(wire, ignore_trailing=True)
    except (dns.exception.DNSException, ValueError, IndexError, struct.error) as error:
        _same_question(wire, asked)
        if flags & dns.flags.TC and not stream:
            raise Truncated from None
        raise Unusable(f"not readable: {type(error).__name__}") from None
    question = message.question[0]
    if (
        question.name.labels != asked.name.labels
        or dns.rdatatype.to_text(question.rdtype) != asked.kind
        or question.rdclass != 1
    ):
        raise Foreign("another question")
    if flags & dns.flags.TC:
        if stream:
            raise Unusable("truncated over TCP")
        raise Truncated
    code = message.rcode()
    if code not in (dns.rcode.NOERROR, dns.rcode.NXDOMAIN):
        raise Unusable(_rcode(code))
    return _answer(message, asked, code == dns.rcode.NXDOMAIN)


def _check_kinds(wire: bytes, questions: int, records: int) -> None:
    """Unusable where a record is of another class or type than we may meet; what can't be walked is left to the parser.

    Guards against memory that grows: dnspython remembers each pair of class and type that it has ever met, 2^32 of them.
    """
    at = 12
    try:
        for n in range(questions + records):
            while (length := wire[at]) and length < 0xC0:
                at += 1 + length
            at += 2 if length else 1
            kind, group = struct.unpack_from("!HH", wire, at)
            at += 4
            if n < questions:
                continue
            if kind not in KINDS or (group != dns.rdataclass.IN and kind != dns.rdatatype.OPT):
                raise Unusable(f"a record of class {group} and type {kind}")
            at += 6 + struct.unpack_from("!H", wire, at + 4)[0]
    except (IndexError, struct.error):
        return


def _same_question(wire: bytes, asked: Query) -> None:
    """Foreign where an unreadable message does not even repeat the question."""
    length = sum(len(label) + 1 for label in asked.name.labels) + 4
    if wire[12 : 12 + length] != asked.wire[12 : 12 + length]:
        raise Foreign("another question")


def _rcode(code: int) -> str:
    return dns.rcode.to_text(dns.rcode.Rcode.make(code)) if code < 4096 else f"code {code}"


def _answer(message: dns.message.Message, asked: Query, missing: bool) -> Answer:
    name, ttl, chain = asked.name.canonicalize(), -1, 0
    sets = {
        (rrset.name.canonicalize(), rrset.rdtype): rrset
        for rrset in message.answer
        if rrset.rdclass == dns.rdataclass.IN
    }
    seen = {name}
    wanted = dns.rdatatype.from_text(asked.kind)
    while (
        (name, wanted) not in sets
        and (alias := sets.get((name, dns.rdatatype.CNAME))) is not None
        and alias
    ):
        record = alias[0]
        assert isinstance(record, dns.rdtypes.ANY.CNAME.CNAME)
        name, chain = record.target.canonicalize(), chain + 1
        ttl = alias.ttl if ttl < 0 else min(ttl, alias.ttl)
        if name in seen or chain > MOST_CHAIN:
            raise Unusable("a CNAME loop" if name in seen else f"over {MOST_CHAIN} CNAMEs")
        seen.add(name)
    found = sets.get((name, wanted))
    if found is None or not found:
        if chain and not missing and not _soa(message):
            return Answer(ttl, alias=name.to_text())
        return Answer(_soa(message), exists=not missing)
    ttl = found.ttl if ttl < 0 else min(ttl, found.ttl)
    if wanted == dns.rdatatype.A:
        return Answer(
            ttl,
            addresses=tuple(sorted(r.address for r in found if isinstance(r, dns.rdtypes.IN.A.A))),
        )
    services = tuple(
        Service(r.priority, r.weight, r.port, r.target.canonicalize().to_text())
        for r in found
        if isinstance(r, dns.rdtypes.IN.SRV.SRV)
    )
    targets = {service.target for service in services}
    extra: dict[str, tuple[int, tuple[str, ...]]] = {}
    foreign = 0
    for rrset in message.additional:
        target = rrset.name.canonicalize().to_text()
        if (
            target in targets and rrset.rdclass == dns.rdataclass.IN
        ):  # only what the records name: anybody's address could stand here
            if rrset.rdtype == dns.rdatatype.A:
                extra[target] = (
                    rrset.ttl,
                    tuple(sorted(r.address for r in rrset if isinstance(r, dns.rdtypes.IN.A.A))),
                )
            elif rrset.rdtype == dns.rdatatype.AAAA:
                foreign += len(rrset)
    return Answer(ttl, services=services, extra=extra, foreign_family=foreign)


def _soa(message: dns.message.Message) -> int:
    """How long a negative answer holds, in s: the smaller of the SOA's lifetime and its minimum (RFC 2308, 5)."""
    for rrset in message.authority:
        if rrset.rdtype == dns.rdatatype.SOA and rrset:
            record = rrset[0]
            assert isinstance(record, dns.rdtypes.ANY.SOA.SOA)
            return min(rrset.ttl, record.minimum)
    return 0
