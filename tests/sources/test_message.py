"""Parsing of DNS messages: what is accepted, and that any bytes raise only documented errors."""

from __future__ import annotations

import random

import dns.message
import dns.rrset
import pytest

from benchmarks.membership import mutated
from corkshift.sources.message import (
    MAX_RECORDS,
    Answer,
    ForeignMessage,
    Query,
    SrvRecord,
    TruncatedAnswer,
    UnusableAnswer,
    make_query,
    parse_answer,
)
from testbed.systems.dns import SERVICE, ZONE, NameServer, Zone

MUTATIONS = 4_000  # longer: `python -m benchmarks.membership --mutations 1000000`


def query_for(name: str = SERVICE, kind: str = "SRV") -> Query:
    return make_query(name, kind, 4711, 0b1010110)


def wire_answer(
    how: str = "good",
    name: str = SERVICE,
    kind: str = "SRV",
    zone: Zone | None = None,
    stream: bool = False,
) -> bytes:
    if zone is None:
        zone = Zone()
        zone.set_boxes({"s0": ("10.0.0.1", 8001), "s1": ("10.0.0.2", 8002)}, ttl=30)
    return NameServer(("127.0.0.1", 53), zone, how).answers(query_for(name, kind).wire, stream)[0]


def test_srv_records_and_additional_addresses() -> None:
    answer = parse_answer(wire_answer(), query_for())
    assert answer.ttl_s == 30 and answer.exists
    assert set(answer.srv_records) == {
        SrvRecord(0, 10, 8001, f"s0.{ZONE}"),
        SrvRecord(0, 10, 8002, f"s1.{ZONE}"),
    }
    assert answer.additional_addresses == {
        f"s0.{ZONE}": (30, ("10.0.0.1",)),
        f"s1.{ZONE}": (30, ("10.0.0.2",)),
    }


def test_the_case_of_the_query_name_is_random_and_checked_in_the_answer() -> None:
    one = query_for()
    assert one.name.to_text() != SERVICE and one.name.to_text().lower() == SERVICE
    with pytest.raises(ForeignMessage):
        parse_answer(wire_answer("another case"), one)


@pytest.mark.parametrize("how", ["another question", "forged id"])
def test_a_message_that_does_not_match_the_query_is_foreign(how: str) -> None:
    with pytest.raises(ForeignMessage):
        parse_answer(wire_answer(how), query_for())


@pytest.mark.parametrize(
    ("how", "words"),
    [
        ("servfail", "SERVFAIL"),
        ("refused", "REFUSED"),
        ("garbage", "readable|of class"),
        ("loop", "loop"),
    ],
)
def test_an_unusable_answer_states_the_reason(how: str, words: str) -> None:
    with pytest.raises(UnusableAnswer, match=words):
        parse_answer(wire_answer(how), query_for())


def test_truncation_is_an_error_over_tcp() -> None:
    with pytest.raises(TruncatedAnswer):
        parse_answer(wire_answer("truncated"), query_for())
    with pytest.raises(UnusableAnswer, match="truncated over TCP"):
        parse_answer(wire_answer("truncated over tcp"), query_for(), over_tcp=True)


def test_too_many_records_are_refused_before_they_are_parsed() -> None:
    wire = wire_answer("many", kind="A", stream=True)
    with pytest.raises(UnusableAnswer, match=f"4001 records, at most {MAX_RECORDS}"):
        parse_answer(wire, query_for(kind="A"), over_tcp=True)


@pytest.mark.parametrize(("how", "exists"), [("empty", True), ("nxdomain", False)])
def test_the_ttl_of_a_negative_answer_is_that_of_its_soa(how: str, exists: bool) -> None:
    assert parse_answer(wire_answer(how), query_for()) == Answer(5, exists=exists)


def test_cnames_are_followed_with_the_smallest_ttl_up_to_a_limit() -> None:
    zone = Zone()
    zone.set_records("a.cache.example.org.", "CNAME", 7, ["b.cache.example.org."])
    zone.set_records("b.cache.example.org.", "A", 90, ["10.0.0.9"])
    answer = parse_answer(
        wire_answer(name="a.cache.example.org.", kind="A", zone=zone),
        query_for("a.cache.example.org.", "A"),
    )
    assert (answer.ttl_s, answer.addresses) == (7, ("10.0.0.9",))
    one = query_for("a.cache.example.org.", "A")
    message = dns.message.make_response(dns.message.from_wire(one.wire))
    message.answer.append(dns.rrset.from_text(one.name, 7, "IN", "CNAME", "elsewhere.example.net."))
    assert parse_answer(message.to_wire(), one) == Answer(7, alias="elsewhere.example.net.")
    for n in range(10):
        zone.set_records(f"c{n}.{ZONE}", "CNAME", 7, [f"c{n + 1}.{ZONE}"])
    with pytest.raises(UnusableAnswer, match="over 8 CNAMEs"):
        parse_answer(
            wire_answer(name=f"c0.{ZONE}", kind="A", zone=zone), query_for(f"c0.{ZONE}", "A")
        )


def test_a_ttl_of_2_to_the_31_or_more_is_left_to_the_resolver() -> None:
    zone = Zone()
    zone.set_records(f"s0.{ZONE}", "A", 0x7FEEDDCC, ["10.0.0.1"])
    wire = wire_answer(name=f"s0.{ZONE}", kind="A", zone=zone)
    assert wire.count(b"\x7f\xee\xdd\xcc") == 1
    for top in (b"\x80\x00\x00\x00", b"\xff\xff\xff\xff"):  # RFC 2181, section 8
        answer = parse_answer(wire.replace(b"\x7f\xee\xdd\xcc", top), query_for(f"s0.{ZONE}", "A"))
        assert answer.addresses == ("10.0.0.1",) and (answer.ttl_s == 0 or answer.ttl_s >= 1 << 31)


def test_additional_addresses_of_other_names_and_ipv6_addresses_are_ignored() -> None:
    zone = Zone()
    zone.set_boxes({"s0": ("10.0.0.1", 8001)})
    zone.set_records(f"s0.{ZONE}", "AAAA", 5, ["::1", "::2"])
    one = query_for()
    message = dns.message.from_wire(wire_answer(zone=zone))
    message.additional.append(dns.rrset.from_text("bank.example.net.", 300, "IN", "A", "10.6.6.6"))
    answer = parse_answer(message.to_wire(), one)
    assert set(answer.additional_addresses) == {f"s0.{ZONE}"} and answer.aaaa_records == 2


@pytest.mark.parametrize("name", ["", "a..b", "x" * 64 + ".org", ".".join(["abcdefg"] * 40)])
def test_an_invalid_name_is_a_value_error(name: str) -> None:
    if name:
        with pytest.raises(ValueError, match="no DNS name"):
            make_query(name, "A", 1, 0)


@pytest.mark.parametrize(("kind", "group"), [(65_280, 1), (1, 77), (41, 1)])
def test_records_of_unknown_types_and_classes_are_not_parsed(kind: int, group: int) -> None:
    # dnspython caches every pair of class and type that it has parsed, without a limit.
    import dns.rdata

    wire = bytearray(wire_answer(kind="A", name=f"s0.{ZONE}"))
    at = wire.index(b"\xc0\x0c", 12) + 2
    wire[at : at + 4] = kind.to_bytes(2, "big") + group.to_bytes(2, "big")
    before = len(dns.rdata._rdata_classes)
    with pytest.raises(UnusableAnswer):
        parse_answer(bytes(wire), query_for(f"s0.{ZONE}", "A"))
    assert len(dns.rdata._rdata_classes) <= before + 1


def test_mutated_messages_raise_only_the_documented_errors() -> None:
    rng, seeds = (
        random.Random(5),
        [
            wire_answer(),
            wire_answer("empty"),
            wire_answer("loop"),
            wire_answer(kind="A", name=f"s0.{ZONE}"),
        ],
    )
    asks = [query_for(), query_for(), query_for(), query_for(f"s0.{ZONE}", "A")]
    taken = 0
    for n in range(MUTATIONS):
        data = mutated(rng, seeds[n % 4])
        try:
            taken += isinstance(parse_answer(data, asks[n % 4], over_tcp=bool(n & 4)), Answer)
        except (ForeignMessage, TruncatedAnswer, UnusableAnswer):
            pass
    assert taken > MUTATIONS // 50  # otherwise the headers alone would be checked
