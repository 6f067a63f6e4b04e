"""The resolver on the virtual network: failing name servers, lifetimes of answers, and limits."""

from __future__ import annotations

import asyncio

import pytest
from virtual import BOXES, HOSTS, SERVICE, DnsFixture, run_virtual

from corkshift.seam import now_ms
from corkshift.sources.options import Limits
from corkshift.sources.resolver import MAX_BACKOFF_MS, LookupFailed, NameServers, parse_resolv_conf
from testbed.systems.dns import BEHAVIOURS, ZONE

UNUSABLE = [
    "silent",
    "servfail",
    "refused",
    "garbage",
    "another question",
    "another case",
    "forged sender",
    "loop",
    "truncated over tcp",
    "hangs over tcp",
    "late",
]


@pytest.mark.parametrize("how", UNUSABLE)
def test_a_failing_server_is_skipped_and_the_next_one_answers(how: str) -> None:
    async def test(fixture: DnsFixture) -> None:
        fixture.servers[0].how = how
        if how == "hangs over tcp":
            # Too large for a datagram.
            fixture.servers[0].zone.set_boxes(
                {f"box-number-{n}": (f"127.2.1.{n}", 8001) for n in range(60)}
            )
        resolver, begin = fixture.resolver(), now_ms()
        cached = await resolver.lookup(SERVICE, "SRV")
        assert len(cached.answer.srv_records) in (len(BOXES), 60)
        assert now_ms() - begin < 3_000.0 and fixture.servers[1].queries
        before = len(fixture.servers[0].queries)
        await resolver.lookup(
            f"s0.{ZONE}" if how != "hangs over tcp" else f"box-number-0.{ZONE}",
            "A",
            refresh_ahead=1.0,
        )
        assert len(fixture.servers[0].queries) == before  # it is in back-off
        assert sum(resolver.counts.failures.values()) == 1

    run_virtual(test)


@pytest.mark.parametrize(
    "how", [how for how in BEHAVIOURS if how in ("good", "truncated", "forged id", "flood")]
)
def test_an_answer_is_found_despite_truncation_and_forged_datagrams(how: str) -> None:
    async def test(fixture: DnsFixture) -> None:
        fixture.servers[0].how = how
        cached = await fixture.resolver().lookup(SERVICE.rstrip("."), "SRV")
        assert {service.target for service in cached.answer.srv_records} == {
            f"{name}.{ZONE}" for name in BOXES
        }
        assert (
            len(fixture.servers[0].queries) == (2 if how in ("truncated", "flood") else 1)
            and not fixture.servers[1].queries
        )

    run_virtual(test)


def test_a_late_answer_is_not_accepted_for_the_next_query() -> None:
    async def test(fixture: DnsFixture) -> None:
        # Above the first round's time-out, below the second's.
        fixture.servers[0].how, fixture.servers[0].delay_s = "late", 0.5
        resolver = fixture.resolver()
        cached = await resolver.lookup(SERVICE, "SRV")
        assert cached.answer.srv_records and resolver.counts.queries == 2
        await asyncio.sleep(1.0)

    run_virtual(test, servers=1)


def test_without_servers_expired_answers_are_served_up_to_their_limit() -> None:
    async def test(fixture: DnsFixture) -> None:
        resolver = fixture.resolver(Limits(floor_s=1.0, stale_s=60.0))
        assert not (await resolver.lookup(SERVICE, "SRV")).stale
        for server in fixture.servers:
            server.how = "silent"
        await asyncio.sleep(3.0)
        assert (await resolver.lookup(SERVICE, "SRV")).stale
        await asyncio.sleep(60.0)
        with pytest.raises(LookupFailed, match=f"{SERVICE} SRV: 127.6.0.[12]:53: time-out"):
            await resolver.lookup(SERVICE, "SRV")
        fixture.servers[1].how = "good"
        assert not (await resolver.lookup(SERVICE, "SRV")).stale

    run_virtual(test)


@pytest.mark.parametrize(("ttl", "lifetime_s"), [(0, 2.0), (1, 2.0), (7, 7.0), (2**31 - 1, 90.0)])
def test_lifetimes_have_a_floor_and_a_ceiling(ttl: int, lifetime_s: float) -> None:
    async def test(fixture: DnsFixture) -> None:
        fixture.zone.set_boxes(BOXES, ttl)
        resolver = fixture.resolver(Limits(floor_s=2.0, ceiling_s=90.0))
        assert (await resolver.lookup(SERVICE, "SRV")).lifetime_s == lifetime_s
        query_count = len(fixture.servers[0].queries)
        await asyncio.sleep(lifetime_s * 0.9)
        await resolver.lookup(SERVICE.upper(), "SRV")
        assert len(fixture.servers[0].queries) == query_count
        await asyncio.sleep(lifetime_s * 0.2)
        await resolver.lookup(SERVICE, "SRV")
        assert len(fixture.servers[0].queries) == query_count + 1

    run_virtual(test)


def test_a_negative_answer_is_cached_for_the_ttl_of_its_soa() -> None:
    async def test(fixture: DnsFixture) -> None:
        resolver = fixture.resolver()
        cached = await resolver.lookup(f"nobody.{ZONE}", "A")
        assert not cached.answer.exists and cached.lifetime_s == 5.0
        await resolver.lookup(f"nobody.{ZONE}", "A")
        assert len(fixture.servers[0].queries) == 1

    run_virtual(test)


def test_a_cname_chain_across_answers_is_followed() -> None:
    async def test(fixture: DnsFixture) -> None:
        for n in range(3):
            fixture.zone.set_records(f"c{n}.{ZONE}", "CNAME", 5, [f"c{n + 1}.{ZONE}"])
        fixture.zone.set_records(f"c3.{ZONE}", "A", 9, ["10.0.0.3"])
        assert (await fixture.resolver().lookup(f"c0.{ZONE}", "A")).answer.addresses == (
            "10.0.0.3",
        )

    run_virtual(test)


def test_queries_per_second_are_limited() -> None:
    async def test(fixture: DnsFixture) -> None:
        resolver = fixture.resolver(Limits(queries_per_s=5.0))
        for server in fixture.servers:
            server.how = "refused"
        for n in range(40):
            with pytest.raises(LookupFailed):
                await resolver.lookup(f"x{n}.{ZONE}", "A")
        assert resolver.counts.queries <= 2 * 5 + 5 * 2
        assert resolver.counts.failures["too many queries"] > 20

    run_virtual(test)


def test_the_cache_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("corkshift.sources.resolver.MAX_CACHED_NAMES", 8)

    async def test(fixture: DnsFixture) -> None:
        resolver = fixture.resolver(Limits(queries_per_s=1_000.0))
        for n in range(30):
            await resolver.lookup(f"x{n}.{ZONE}", "A")
        assert len(resolver._cache) == 8

    run_virtual(test)


def test_ids_ports_and_case_differ_between_queries() -> None:
    async def test(fixture: DnsFixture) -> None:
        resolver = fixture.resolver(Limits(floor_s=0.1, ceiling_s=0.1))
        for _ in range(12):
            await resolver.lookup(SERVICE, "SRV")
            await asyncio.sleep(0.2)
        assert len({name for _, name, _ in fixture.servers[0].queries}) == 12

    run_virtual(test)


def test_failed_servers_are_tried_last_until_their_back_off_ends() -> None:
    a, b, c = [(host, 53) for host in HOSTS]
    servers = NameServers([a, b, c])
    servers.failed(a, 0.0)
    servers.failed(b, 10.0)
    assert servers.order(20.0) == [c, a, b] and servers.order(2_000.0) == [a, b, c]
    for _ in range(20):
        servers.failed(a, 0.0)
    assert servers.order(MAX_BACKOFF_MS - 1.0) == [b, c, a] and servers.order(MAX_BACKOFF_MS) == [
        a,
        b,
        c,
    ]
    servers.answered(a)
    assert servers.order(0.0)[0] == a


def test_ipv4_servers_of_resolv_conf_are_parsed() -> None:
    text = (
        "# a\nsearch x\nnameserver 10.0.0.1\nnameserver ::1\n"
        "nameserver\n nameserver 10.0.0.2 # b\nnameserver 300.1.1.1\n"
    )
    assert parse_resolv_conf(text) == [("10.0.0.1", 53), ("10.0.0.2", 53)]
