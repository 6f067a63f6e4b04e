"""The combined sources of a node, on the virtual network: effects on address book and module."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from types import SimpleNamespace
from typing import Any

import pytest
from virtual import BOXES, DnsFixture, run_virtual

from corkshift import seam
from corkshift.config import address_of
from corkshift.sources.hub import GROUP_CHECK_S, Sources
from corkshift.sources.options import DnsTable, FileTable, GuardTable, SourcesTable
from corkshift.upstream import CacheServer
from forkweir import Server
from forkweir.known.priority_groups import FAILBACK_MS
from testbed.systems.dns import SERVICE, ZONE

FILE = b'[[box]]\naddress = "127.2.0.99:8001"\nname = "spare"\n'


class Node:
    """The parts of a node that sources use. module: the list as the module would have it."""

    def __init__(self) -> None:
        self.servers: dict[str, CacheServer] = {}
        self.list_calls: list[tuple[str, list[Server]]] = []
        self.module: dict[str, Server] = {}
        self.down: set[str] = set()
        self.forgotten: list[str] = []

    def usable(self, name: str) -> bool:
        return name not in self.down

    def on_list(self, form: str, entries: Iterable[Server]) -> None:
        entries = list(entries)
        self.list_calls.append((form, entries))
        for entry in entries:
            self.module[entry.name] = entry
            if entry.state == "gone":
                del self.module[entry.name]

    @property
    def serving(self) -> set[str]:
        assert self.module.keys() == self.servers.keys()
        for name, entry in self.module.items():
            assert (self.servers[name].leaving_ms is None) == (entry.state == "in")
        return {name for name, entry in self.module.items() if entry.state == "in"}


class Discovery:
    """Updates an address book as `corkshift.discovery` does."""

    def __init__(self, sources: Sources) -> None:
        self.box_list = sources.box_list

    def notify(
        self, form: str, *entries: tuple[str, str], to: dict[str, Any] | None = None
    ) -> None:
        places = to or BOXES
        book = self.box_list.servers
        if form in ("full", "saved"):
            for name in book.keys() - {name for name, _ in entries}:
                del book[name]
        servers = []
        for name, state in entries:
            servers.append(Server(name, state=state))
            if state == "gone":
                book.pop(name, None)
                continue
            book[name] = CacheServer(name, places[name], 1.0 if state == "draining" else None)
        self.box_list.on_list(form, servers)


def start_sources(fixture: DnsFixture, **more: Any) -> tuple[Node, Sources, Discovery]:
    node = Node()
    pool: Any = SimpleNamespace(close_idle_of=lambda server: node.forgotten.append(server.name))
    resolvers = [f"{host}:{port}" for host, port in fixture.addresses]
    options = SourcesTable(
        dns=DnsTable(service=SERVICE, resolvers=resolvers, floor_s=1.0, ceiling_s=4.0), **more
    )
    sources = Sources(node, pool, options, 1)  # type: ignore[arg-type]
    sources.start()
    return node, sources, Discovery(sources)


def test_boxes_of_dns_alone_are_used_and_take_the_names_of_the_list_later() -> None:
    async def test(fixture: DnsFixture) -> None:
        node, sources, discovery = start_sources(fixture)
        await asyncio.sleep(0.1)
        assert node.serving == {f"{host}:{port}" for host, port in BOXES.values()}
        discovery.notify("full", *((name, "in") for name in BOXES))
        assert node.serving == set(BOXES) and {
            server.address for server in node.servers.values()
        } == set(BOXES.values())
        sources.close()

    run_virtual(test)


def test_a_drain_of_the_list_is_applied_at_once_while_dns_still_names_the_box() -> None:
    async def test(fixture: DnsFixture) -> None:
        node, sources, discovery = start_sources(fixture)
        await asyncio.sleep(0.1)
        discovery.notify("full", *((name, "in") for name in BOXES))
        discovery.notify("changes", ("s1", "draining"))
        assert node.serving == {"s0", "s2", "s3"} and node.forgotten[-1] == "s1"
        discovery.notify("changes", ("s1", "gone"))
        await asyncio.sleep(10.0)
        assert (
            node.serving == {"s0", "s2", "s3"}
            and "s1" not in node.servers
            and fixture.servers[0].queries
        )
        sources.close()

    run_virtual(test)


def test_boxes_that_only_one_source_names_are_all_used() -> None:
    async def test(fixture: DnsFixture) -> None:
        fixture.zone.set_boxes({"s0": BOXES["s0"], "x": ("127.2.0.77", 8001)})
        node, sources, discovery = start_sources(fixture)
        discovery.notify("full", ("s0", "in"), ("s1", "in"))
        await asyncio.sleep(0.1)
        assert node.serving == {"s0", "s1", "127.2.0.77:8001"}
        sources.close()

    run_virtual(test)


@pytest.mark.parametrize("how", ["empty", "nxdomain", "silent", "refused", "garbage"])
def test_missing_records_and_failed_lookups_leave_the_set_unchanged(how: str) -> None:
    async def test(fixture: DnsFixture) -> None:
        node, sources, _ = start_sources(fixture)
        await asyncio.sleep(0.1)
        for server in fixture.servers:
            server.how = how
        for _ in range(60):
            await asyncio.sleep(2.0)
            assert len(node.serving) == len(BOXES)
        for server in fixture.servers:
            server.how = "good"
        fixture.zone.set_boxes({"s9": ("127.2.0.9", 8001)})
        await asyncio.sleep(60.0)
        assert node.serving == {"127.2.0.9:8001"}
        sources.close()

    run_virtual(test)


def test_records_older_than_old_s_are_dropped_while_the_list_has_boxes() -> None:
    async def test(fixture: DnsFixture) -> None:
        node, sources, discovery = start_sources(fixture, guard=GuardTable(hold_s=5.0))
        sources.reload(replace_dns(sources, old_s=20.0))
        await asyncio.sleep(0.1)
        discovery.notify("full", ("s0", "in"), ("s1", "in"))
        assert len(node.serving) == len(BOXES)
        for server in fixture.servers:
            server.how = "silent"
        await asyncio.sleep(18.0)
        assert len(node.serving) == len(BOXES)
        await asyncio.sleep(90.0)
        assert node.serving == {"s0", "s1"}
        sources.close()

    run_virtual(test)


def test_the_root_as_srv_target_means_that_the_service_is_not_available() -> None:
    async def test(fixture: DnsFixture) -> None:
        node, sources, discovery = start_sources(fixture)
        discovery.notify("full", ("s0", "in"))
        await asyncio.sleep(0.1)
        fixture.zone.set_records(SERVICE, "SRV", 2, ["0 0 0 ."])
        await asyncio.sleep(60.0)
        assert node.serving == {"s0"}
        sources.close()

    run_virtual(test)


def test_the_initial_list_is_used_only_until_a_source_has_boxes() -> None:
    async def test(fixture: DnsFixture) -> None:
        for server in fixture.servers:
            server.how = "silent"
        node, sources, discovery = start_sources(fixture)
        discovery.notify("saved", ("s0", "in"), ("s1", "in"))
        discovery.box_list.on_list("failed", [])
        assert node.serving == {"s0", "s1"} and [
            form for form, _ in node.list_calls if form in ("saved", "failed")
        ] == ["saved", "failed"]
        await asyncio.sleep(5.0)
        assert node.serving == {"s0", "s1"}
        discovery.notify("full", ("s2", "in"))
        assert node.serving == {"s2"}
        sources.close()

    run_virtual(test)


def test_a_lower_priority_group_is_used_only_while_the_higher_one_can_not_serve() -> None:
    async def test(fixture: DnsFixture) -> None:
        fixture.zone.set_records(
            SERVICE, "SRV", 2, [f"{10 * (1 + n // 2)} 10 8001 s{n}.{ZONE}" for n in range(4)]
        )
        node, sources, _ = start_sources(fixture)
        await asyncio.sleep(0.1)
        first, second = ({f"{BOXES[f's{n}'][0]}:8001" for n in pair} for pair in ((0, 1), (2, 3)))
        assert node.serving == first
        node.down = first
        await asyncio.sleep(2 * GROUP_CHECK_S)
        assert node.serving == first | second
        node.down = set()
        await asyncio.sleep(FAILBACK_MS / 2000.0)
        assert node.serving == first | second
        await asyncio.sleep(FAILBACK_MS / 1000.0)
        assert node.serving == first
        sources.close()

    run_virtual(test)


def test_weights_are_relative_to_the_mean_of_their_priority() -> None:
    async def test(fixture: DnsFixture) -> None:
        fixture.zone.set_records(
            SERVICE,
            "SRV",
            2,
            [f"0 {weight} 8001 s{n}.{ZONE}" for n, weight in enumerate((30, 10, 20, 0))],
        )
        node, sources, _ = start_sources(fixture)
        await asyncio.sleep(0.1)
        weights = [node.module[f"{host}:{port}"].weight for host, port in BOXES.values()]
        assert weights == pytest.approx([2.0, 2 / 3, 4 / 3, 0.05])
        sources.close()

    run_virtual(test)


def test_an_address_whose_target_name_changes_stays_in_service() -> None:
    async def test(fixture: DnsFixture) -> None:
        node, sources, _ = start_sources(fixture)
        await asyncio.sleep(0.1)
        before = len(node.list_calls)
        fixture.zone.set_boxes({f"renamed-{name}": address for name, address in BOXES.items()})
        await asyncio.sleep(10.0)
        assert len(node.serving) == len(BOXES) and len(node.list_calls) == before
        sources.close()

    run_virtual(test)


def test_targets_without_additional_addresses_are_looked_up_and_a_failure_removes_none() -> None:
    async def test(fixture: DnsFixture) -> None:
        fixture.zone.glue = False
        node, sources, _ = start_sources(fixture)
        await asyncio.sleep(0.2)
        assert len(node.serving) == len(BOXES)
        assert {kind for server in fixture.servers for _, _, kind in server.queries} == {"SRV", "A"}
        fixture.zone.set_records(f"s2.{ZONE}", "CNAME", 2, [f"s2.{ZONE}"])
        fixture.zone.set_records(f"s2.{ZONE}", "A", 2, [])
        await asyncio.sleep(20.0)
        assert len(node.serving) == len(BOXES)
        sources.close()

    run_virtual(test)


def test_a_reload_changes_the_resolvers_during_a_query() -> None:
    async def test(fixture: DnsFixture) -> None:
        for server in fixture.servers[:2]:
            server.how = "silent"
        node, sources, _ = start_sources(fixture)
        assert sources.dns is not None and node is not None
        options = replace_dns(sources, resolvers=[f"{fixture.addresses[2][0]}:53"])
        first = replace_dns(sources, resolvers=[f"{host}:53" for host, _ in fixture.addresses[:2]])
        sources.reload(first)
        await asyncio.sleep(0.2)  # the first query is pending
        assert not node.servers
        sources.reload(options)
        await asyncio.sleep(0.05)
        assert len(node.serving) == len(BOXES)
        sources.close()

    run_virtual(test, servers=3)


def replace_dns(sources: Sources, **changes: Any) -> SourcesTable:
    import msgspec

    options = sources._options
    assert options.dns is not None
    return msgspec.structs.replace(options, dns=msgspec.structs.replace(options.dns, **changes))


def test_boxes_of_a_file_are_used_as_fallback_and_an_invalid_file_changes_nothing() -> None:
    async def test(fixture: DnsFixture) -> None:
        side = seam.CURRENT_SYSTEM.get()
        files: dict[str, bytes] = side.files  # type: ignore[attr-defined]
        files["boxes.toml"] = FILE
        for server in fixture.servers:
            server.how = "silent"
        node, sources, discovery = start_sources(fixture, file=FileTable(path="boxes.toml"))
        assert node.serving == {"spare"}
        files["boxes.toml"] = FILE + b"[[box]]\naddress = 5\n"
        sources.reload(sources._options)
        assert node.serving == {"spare"} and b"box[1].address" in sources.dump()
        files["boxes.toml"] = FILE.replace(b"spare", b"other")
        sources.reload(sources._options)
        assert node.serving == {"other"}
        discovery.notify("full", ("s0", "in"))
        assert node.serving == {"s0"}
        sources.close()

    run_virtual(test)


def test_the_view_shows_the_rules_and_a_held_removal_of_many_boxes() -> None:
    async def test(fixture: DnsFixture) -> None:
        import orjson

        node, sources, discovery = start_sources(fixture, guard=GuardTable(hold_s=5.0))
        await asyncio.sleep(0.1)
        discovery.notify("full", *((name, "in") for name in BOXES))
        fixture.zone.set_boxes({})
        discovery.notify("full", ("s0", "in"))
        view = orjson.loads(sources.dump())
        assert [source["name"] for source in view["sources"]] == ["list", "dns", "known"]
        assert {box["rule"] for box in view["boxes"]} == {"agreed", "held: fall"}
        assert address_of(view["boxes"][0]["address"]) == BOXES["s0"] and view["boxes"][0][
            "said"
        ] == {"list": "in", "dns": "in"}
        assert view["resolver"]["queries"] >= 1 and node.serving == set(BOXES)
        await asyncio.sleep(60.0)
        assert node.serving == {"s0"}
        sources.close()

    run_virtual(test)


def test_invalid_options_are_named() -> None:
    from corkshift.cli.operator import BadOperatorFile, parse_operator_file

    text = (
        '[sources.dns]\nservice = "a..b"\nresolvers = ["ns.example:53"]\n'
        'floor_s = 9.0\nceiling_s = 1.0\nmay = ["fly"]\n'
    )
    with pytest.raises(BadOperatorFile) as caught:
        parse_operator_file(b"format = 1\n" + text.encode(), "op.toml")
    assert [fault.path for fault in caught.value.faults] == ["sources.dns.may[0]"]
    with pytest.raises(BadOperatorFile) as caught:
        parse_operator_file(b"format = 1\n" + text.replace("fly", "add").encode(), "op.toml")
    assert [fault.path for fault in caught.value.faults] == [
        "sources.dns.resolvers[0]",
        "sources.dns.floor_s",
        "sources.dns.service",
    ]
