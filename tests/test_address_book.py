"""The address book: a list applied in slices has the same result as one applied at once."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback import CacheBox, entry, rig, run_async, until

from corkshift import address_book
from corkshift.address_book import AddressBook
from corkshift.listing import (
    EntryCache,
    generation_of,
    parse_raw_list,
    read_entries,
    unconfirmed_entries,
)
from corkshift.seam import Address
from corkshift.upstream import CacheServer
from forkweir import Balancer, Server, Settings

NOW_MS = 1_000_000.0
LIFECYCLES = ("in_service", "terminating", "terminated")


class Node:
    """Receives the book's notifications and applies them to a balancer."""

    def __init__(self) -> None:
        self.servers: dict[str, CacheServer] = {}
        self.balancer = Balancer(Settings(), 1)
        self.notified = 0
        self.forms: list[str] = []

    def on_list(self, form: str, entries: Iterable[Server]) -> None:
        listed = list(entries)
        self.notified += len(listed)
        self.forms.append(form)
        self.balancer.on_list(1_000.0, form, listed)

    def on_unlisted_departures(self, addresses: list[Address], complete: bool) -> None:
        pass

    def view(self) -> dict[str, tuple[object, ...]]:
        """The state of each server in the book and in the decisions."""
        members = self.balancer.fleet.members
        listed = {name: (s.address, s.leaving_ms is not None) for name, s in self.servers.items()}
        here = [
            (name, member) for name, member in members.items() if member.present or member.draining
        ]
        member_states = {
            name: (m.present, m.draining, m.info.zone, m.info.weight, m.listed_start_ms)
            for name, m in here
        }
        placed = [
            member.info.name for member in self.balancer.fleet.home_candidates if member.present
        ]
        return {
            "listed": (listed,),
            "members": (member_states,),
            "placed": (placed, self.balancer.fleet.in_service_count),
        }


class Pool:
    """A pool without connections to close."""

    def close_idle_of(self, server: CacheServer) -> None:
        pass


def line_of(generation: int, full: bool, entries: list[dict[str, Any]]) -> bytes:
    return json.dumps({"generation": generation, "reset": full, "instances": entries}).encode()


def listed(
    name: int, place: int, lifecycle: str = "in_service", started: int = 0
) -> dict[str, Any]:
    return {
        "instanceId": f"s{name}",
        "hostPort": f"127.0.0.{place + 1}:9",
        "lifecycle": lifecycle,
        "startedAtMs": started,
        "zone": "a",
    }


class BookUnderTest:
    """An address book with its cache and a slice size of its own."""

    def __init__(self, slice_servers: int) -> None:
        self.node = Node()
        self.book = AddressBook(self.node, Pool())  # type: ignore[arg-type]
        self.cache = EntryCache()
        self._slice_servers = slice_servers

    @contextmanager
    def _bounds(self) -> Iterator[None]:
        """Set the slice size, and the same clock for all books (new start times count from now)."""
        names = vars(address_book)
        before = names["SLICE_SERVERS"], names["now_ms"]
        names["SLICE_SERVERS"], names["now_ms"] = self._slice_servers, lambda: NOW_MS
        try:
            yield
        finally:
            names["SLICE_SERVERS"], names["now_ms"] = before

    def apply_line(self, line: bytes) -> int:
        """Apply a complete line and return the number of slices."""
        with self._bounds():
            raw = parse_raw_list(line)
            return sum(
                1
                for _ in self.book.apply_line(
                    raw.generation, raw.full, read_entries(raw.entries, self.cache), raw.full
                )
            )

    def apply_unconfirmed(self, text: bytes) -> None:
        with self._bounds():
            self.book.apply_unconfirmed(unconfirmed_entries(text, self.cache), generation_of(text))


entries_of = st.lists(
    st.tuples(
        st.integers(0, 11), st.integers(0, 13), st.sampled_from(LIFECYCLES), st.integers(0, 2)
    ),
    max_size=12,
    unique_by=lambda e: e[0],
)


@given(
    st.lists(
        st.tuples(st.sampled_from(["whole", "whole", "changes", "cut"]), entries_of), max_size=12
    )
)
@settings(max_examples=200, deadline=None)
def test_a_list_applied_in_slices_equals_one_applied_at_once(
    lines: list[tuple[str, list[tuple[int, int, str, int]]]],
) -> None:
    async def test() -> None:
        at_once, sliced = BookUnderTest(1_000), BookUnderTest(2)
        for generation, (kind, drawn) in enumerate(lines, 1):
            line = line_of(
                generation,
                kind == "whole",
                [listed(name, place, state, started) for name, place, state, started in drawn],
            )
            for tested in (at_once, sliced):
                if kind == "cut":
                    tested.apply_unconfirmed(line[: len(line) * 2 // 3])
                else:
                    tested.apply_line(line)
            assert sliced.node.view() == at_once.node.view()
            assert sliced.book._unconfirmed.held_back == at_once.book._unconfirmed.held_back

    run_async(test)


def test_an_unchanged_full_list_notifies_nothing() -> None:
    tested = BookUnderTest(100)
    entries = [
        listed(n, n % 200, started=n) | {"hostPort": f"127.1.{n >> 8}.{n & 255}:9"}
        for n in range(1_000)
    ]
    assert tested.apply_line(line_of(1, True, entries)) == 10
    assert tested.node.notified == 1_000 and tested.node.forms == ["part"] * 10 + ["changes"]
    tested.node.notified = 0
    assert tested.apply_line(line_of(2, True, list(reversed(entries)))) == 0
    assert tested.node.notified == 0
    assert (
        tested.apply_line(
            line_of(3, True, [{**entries[5], "lifecycle": "terminating"}, *entries[6:]])
        )
        == 0
    )
    # One drains, and five are no longer listed.
    assert tested.node.notified == 6 and tested.node.balancer.fleet.in_service_count == 994


def test_a_pending_server_that_drains_meanwhile_is_added_as_draining(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(address_book, "SLICE_SERVERS", 2)
    tested = BookUnderTest(2)
    raw = parse_raw_list(line_of(1, True, [listed(n, n) for n in range(9)]))
    steps = tested.book.apply_line(
        raw.generation, True, read_entries(raw.entries, tested.cache), True
    )
    next(steps)
    assert len(tested.node.servers) == 0
    tested.apply_unconfirmed(
        line_of(2, False, [listed(7, 7, "terminating"), listed(8, 8, "terminated")])
    )
    for _ in steps:
        pass
    leaving = {
        name for name, server in tested.node.servers.items() if server.leaving_ms is not None
    }
    assert leaving == {"s7", "s8"} and tested.node.balancer.fleet.in_service_count == 7


@pytest.mark.parametrize("count", [600, 3_000])
def test_a_drain_behind_a_long_list_is_applied_before_the_list(count: int) -> None:
    # Guards against a drain that waits until thousands of servers are applied.
    async def test() -> None:
        boxes = {f"s{n}": CacheBox() for n in range(2)}
        async with rig(boxes) as made:
            box = boxes["s0"]
            entries = [
                *(entry(name, known.port) for name, known in boxes.items()),
                *(entry(f"x{n}", 1 + n) for n in range(count)),
            ]
            full = line_of(2, True, entries) + b"\n"
            drain = line_of(3, False, [entry("s0", box.port, "terminating")]) + b"\n"
            seen: list[int] = []
            on_list = made.node.on_list

            def recording_on_list(form: str, notified: Iterable[Server]) -> None:
                on_list(form, notified)
                if made.node.servers["s0"].leaving_ms is not None:
                    seen.append(len(made.node.servers))

            made.node.on_list = recording_on_list  # type: ignore[method-assign, assignment]
            for connection in made.discovery_server.watches:
                data = full + drain
                await connection.stream.write(b"%x\r\n%b\r\n" % (len(data), data))
            await until(lambda: len(made.node.servers) == count + 2)
            await until(lambda: made.discovery.address_book.generation == 3)
            assert seen[0] < count + 2  # it was out of service before the last server was added
            await asyncio.sleep(0)
            assert not made.node._balancer.fleet.members["s0"].present

    run_async(test)


def test_a_drain_read_before_the_list_that_adds_its_server_is_kept() -> None:
    # The list of thousands of servers is read in slices; a line behind it is read before them.
    async def test() -> None:
        subject = BookUnderTest(256)
        subject.apply_unconfirmed(line_of(8, False, [listed(1, 1, "terminating")]))
        servers = [listed(0, 0), listed(1, 1)]
        subject.apply_line(line_of(7, True, servers))
        assert "s1" not in subject.node.servers
        subject.apply_line(line_of(9, True, servers))
        assert subject.node.servers["s1"].leaving_ms is None

    run_async(test)
