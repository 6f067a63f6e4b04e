"""Schema of a node's configuration (the file that PROXY_CONFIG names), for `check`.

All keys that the node reads are here. Other keys are ignored, as the protocol requires.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated, Any, Literal, Optional

import msgspec

from corkshift.cli.schema import Fault, Table
from corkshift.config import address_of, ipv4_of

Millis = Annotated[float, msgspec.Meta(ge=0.0, le=86_400_000.0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
NonEmptyStr = Annotated[str, msgspec.Meta(min_length=1)]


class ServiceTable(Table, frozen=True, kw_only=True, rename="camel"):
    """`settings.services[]`: one request class."""

    name: NonEmptyStr
    idempotency: Literal["safe", "keyed", "unsafe"] = "unsafe"
    group: Literal["", "all", "zone", "cell"] = ""
    promise_ms: Millis = 0.0
    deadline_ms: Millis = 0.0
    window_ms: Millis = 0.0
    late_value: float = 0.0
    worth: float = 1.0
    aim_stretch: float = 0.0

    def cross_field_faults(self) -> Iterator[Fault]:
        if self.deadline_ms and self.promise_ms > self.deadline_ms:
            yield Fault(
                "promiseMs",
                f"must not exceed deadlineMs ({self.deadline_ms:g}), got {self.promise_ms:g}",
            )
        if self.idempotency == "keyed" and not (self.group and self.window_ms):
            yield Fault(
                "idempotency",
                "a keyed class needs group and windowMs, otherwise repeats are never dropped",
            )


class AllowedTable(Table, frozen=True, kw_only=True, rename="camel"):
    """`settings.allowed`: features that the site permits."""

    most_tries: PositiveInt = 1
    max_open: PositiveInt = 10_000
    may_cancel: bool = False
    probes: bool = False
    retry_after: bool = False
    max_retry_after_ms: Millis = 0.0
    dial_timeout_ms: Millis = 250.0
    conn_idle_ms: Millis = 15_000.0
    peers: bool = False


class ContractTable(Table, frozen=True, kw_only=True, rename="camel"):
    """`settings.contract`: limits of the platform's four rules."""

    must_ask_in_ms: Millis = 10_000.0
    stop_sending_within_ms: Millis = 250.0
    cold_from: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.1
    cold_ms: Millis = 30_000.0


class SettingsTable(Table, frozen=True, kw_only=True):
    """`settings`."""

    services: Annotated[list[ServiceTable], msgspec.Meta(min_length=1)]
    discovery: str = ""
    allowed: Optional[AllowedTable] = None
    contract: Optional[ContractTable] = None
    slot_no: Annotated[int, msgspec.Meta(ge=0)] = msgspec.field(name="slotNo", default=0)

    def cross_field_faults(self) -> Iterator[Fault]:
        names = [service.name for service in self.services]
        for n, name in enumerate(names):
            if name in names[:n]:
                yield Fault(f"services[{n}].name", f"duplicate class name: {name}")


class LimitsTable(Table, frozen=True, kw_only=True):
    """`limits`."""

    cores: Annotated[float, msgspec.Meta(gt=0.0)] = 1.0
    memory_mb: PositiveInt = 128
    sockets: PositiveInt = 1_024


class NodeFile(Table, frozen=True, kw_only=True):
    """The complete file of a node."""

    listen: str
    admin_addr: Optional[str] = None
    discovery: Optional[str] = None
    name: str = "node"
    seed: int | str = 0
    limits: Optional[LimitsTable] = None
    known: Optional[dict[str, Any]] = None
    settings: SettingsTable
    peer_listen: Optional[str] = None
    peers: list[str] = []
    peers_all: Optional[str] = None

    def _peer_faults(self) -> Iterator[Fault]:
        for key, text in (
            ("peer_listen", self.peer_listen),
            *((f"peers[{n}]", text) for n, text in enumerate(self.peers)),
        ):
            if text is not None:
                try:
                    ipv4_of(text)
                except ValueError:
                    yield Fault(
                        key, f"an IPv4 address and a port (10.0.0.4:7946), got {text!r:.60}"
                    )
        for n, text in enumerate(self.peers):
            if text in self.peers[:n]:
                yield Fault(f"peers[{n}]", f"stands there twice: {text}")
        if self.peers and self.settings.slot_no >= len(self.peers):
            yield Fault(
                "settings.slotNo",
                f"must be one of the {len(self.peers)} peers, from 0, got {self.settings.slot_no}",
            )

    def cross_field_faults(self) -> Iterator[Fault]:
        if self.settings.allowed is not None and self.settings.allowed.peers:
            yield from self._peer_faults()
        for key, text in (
            ("listen", self.listen),
            ("admin_addr", self.admin_addr),
            ("discovery", self.discovery),
        ):
            if text is not None:
                try:
                    address_of(text)
                except ValueError:
                    yield Fault(key, f"must be host:port with a port from 1 to 65535, got {text!r}")
        if isinstance(self.seed, str):
            try:
                int(self.seed, 16)
            except ValueError:
                yield Fault("seed", f"must be a number or hex digits, got {self.seed!r}")
        if self.listen == self.discovery:
            yield Fault("discovery", "must differ from listen, the address of the node itself")
        if self.listen == self.admin_addr:
            yield Fault("admin_addr", "must differ from listen, the address for clients")
