"""Schema of `[sources]` in the operator's file."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Literal, Optional

import msgspec

from corkshift.cli.schema import Fault, Table
from corkshift.config import ipv4_of
from corkshift.seam import Address
from forkweir.known.membership import Guard, Rights

Right = Literal["add", "drain", "remove", "weigh"]  # what a source may decide about a box
Rank = Annotated[int, msgspec.Meta(ge=0, le=99)]
Seconds = Annotated[float, msgspec.Meta(gt=0.0, le=604_800.0)]
ALL_RIGHTS: tuple[Right, ...] = ("add", "drain", "remove", "weigh")


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a resolver. TTLs, in s, are raised to floor_s and cut to ceiling_s."""

    floor_s: float = 5.0
    ceiling_s: float = 300.0
    stale_s: float = 86_400.0  # how long expired answers are served while no server answers
    queries_per_s: float = 20.0


class _SourceTable(Table, frozen=True, kw_only=True):
    """Keys that all sources have."""

    rank: Rank = 0
    may: list[Right] = msgspec.field(default_factory=lambda: list(ALL_RIGHTS))
    stale_s: Optional[Seconds] = None

    def rights(self, fallback: bool = False) -> Rights:
        """The rights of the source, for the merge."""
        stale_ms = float("inf") if self.stale_s is None else self.stale_s * 1000.0
        may = {right: right in self.may for right in ALL_RIGHTS}
        return Rights(
            self.rank, may["add"], may["drain"], may["remove"], may["weigh"], fallback, stale_ms
        )


class ListTable(_SourceTable, frozen=True, kw_only=True):
    """`[sources.list]`: the server list of discovery, which is always a source."""


class DnsTable(_SourceTable, frozen=True, kw_only=True):
    """`[sources.dns]`: SRV records."""

    # For example _menu._tcp.cache.example.org.
    service: Annotated[str, msgspec.Meta(min_length=1, max_length=253)]
    resolvers: list[str] = []  # host:port; empty: those of resolv_conf
    resolv_conf: str = "/etc/resolv.conf"
    rank: Rank = 10
    may: list[Right] = msgspec.field(default_factory=lambda: list[Right](["add", "weigh"]))
    floor_s: Seconds = 5.0  # of TTLs; parsing an answer with 67 boxes takes about 10 ms
    ceiling_s: Seconds = 300.0
    # How long expired answers are served (RFC 8767).
    old_s: Annotated[float, msgspec.Meta(ge=0.0, le=604_800.0)] = 86_400.0
    queries_per_s: Annotated[float, msgspec.Meta(ge=0.1, le=1_000.0)] = 20.0

    def cross_field_faults(self) -> Iterator[Fault]:
        for n, text in enumerate(self.resolvers):
            try:
                ipv4_of(text)
            except ValueError:
                yield Fault(
                    f"resolvers[{n}]",
                    f"an IPv4 address and a port (10.0.0.2:53), got {text!r:.60}",
                )
        if self.floor_s > self.ceiling_s:
            yield Fault(
                "floor_s", f"must not exceed ceiling_s ({self.ceiling_s:g}), got {self.floor_s:g}"
            )
        if not all(
            0 < len(label) <= 63 and label.isascii()
            for label in self.service.rstrip(".").split(".")
        ):
            yield Fault(
                "service", f"must have labels of 1 to 63 ASCII characters, got {self.service!r:.80}"
            )

    def limits(self) -> Limits:
        """The limits of the resolver."""
        return Limits(self.floor_s, self.ceiling_s, self.old_s, self.queries_per_s)

    def addresses(self) -> list[Address]:
        """The addresses in `resolvers`."""
        return [ipv4_of(text) for text in self.resolvers]


class FileTable(_SourceTable, frozen=True, kw_only=True):
    """`[sources.file]`: boxes listed in a file."""

    path: Annotated[str, msgspec.Meta(min_length=1)]
    rank: Rank = 20
    may: list[Right] = msgspec.field(default_factory=lambda: list[Right](["add"]))
    fallback: bool = True  # used only while no other box is in service


class GuardTable(Table, frozen=True, kw_only=True):
    """`[sources.guard]`: delays the removal of boxes when a source drops many of them at once."""

    most_fall: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.5
    fall_s: Seconds = 10.0
    hold_s: Seconds = 30.0

    def guard(self) -> Guard:
        """The same limits, in ms, for the merge."""
        return Guard(self.most_fall, self.fall_s * 1000.0, self.hold_s * 1000.0)


class SourcesTable(Table, frozen=True, kw_only=True):
    """`[sources]`: sources of boxes beside the server list, and how they are merged."""

    members_socket: Optional[Annotated[str, msgspec.Meta(min_length=1, max_length=100)]] = None
    list: ListTable = ListTable()
    dns: Optional[DnsTable] = None
    file: Optional[FileTable] = None
    guard: GuardTable = GuardTable()

    def rights(self) -> dict[str, Rights]:
        """The rights of each source.

        `known` is the list that the node was started with. It is used only while no other source
        has boxes.
        """
        rights = {
            "list": self.list.rights(),
            "known": Rights(99, True, False, False, False, fallback=True),
        }
        if self.dns is not None:
            rights["dns"] = self.dns.rights()
        if self.file is not None:
            rights["file"] = self.file.rights(self.file.fallback)
        return rights
