"""The node's configuration: the file named by PROXY_CONFIG and the other environment variables."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any, Optional

import orjson

from corkshift import seam
from corkshift.seam import Address
from forkweir import Settings
from forkweir.adapter import settings_of, value_or_default

_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
# Matches the one form that IPv4Address accepts, ten times as fast.
_IPV4 = re.compile(rf"{_OCTET}(?:\.{_OCTET}){{3}}")


class BadConfig(Exception):
    """The configuration is missing or malformed."""


@dataclass(frozen=True, slots=True)
class TierPeers:
    """The nodes of the tier, where the settings let nodes exchange datagrams."""

    listen: Address  # receives datagrams
    # Each node of the tier, this one included, as this node has to address them.
    peers: tuple[Address, ...]
    slot: int  # index of this node in peers
    tier: int = 0


@dataclass(frozen=True, slots=True)
class Config:
    """The node's configuration at its start."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    memory_mb: int
    known: dict[str, Any]
    settings: Settings
    max_open: int
    dial_timeout_ms: float
    conn_idle_ms: float
    drain_grace_ms: float
    admin: Optional[Address] = None  # the operators' address; None: disabled
    socket_fd: Optional[int] = None  # the clients' listening socket, where it is inherited
    tier_peers: Optional[TierPeers] = None  # None: no datagrams to other nodes


def address_of(text: str) -> Address:
    """Split host:port. ValueError if it is malformed."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) < 65_536):
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


def ipv4_of(text: str) -> Address:
    """Split an IPv4 address and its port. ValueError for anything else.

    A host that is not an address would be a name, and connecting to it would look it up.
    """
    host, port = address_of(text)
    return host if _IPV4.fullmatch(host) else str(IPv4Address(host)), port


def load(environ: Mapping[str, str]) -> Config:
    """Read the configuration. BadConfig, with a one-line message for the operator, if it fails."""
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise BadConfig("PROXY_CONFIG is not set")
    try:
        data = orjson.loads(seam.read_file(path))
    except OSError as error:
        raise BadConfig(f"cannot read {path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise BadConfig(f"{path} is not JSON: {error}") from None
    try:
        return config_of(data, environ)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise BadConfig(f"{path}: {type(error).__name__}: {error}") from None


def config_of(data: dict[str, Any], environ: Mapping[str, str]) -> Config:
    """The configuration from parsed JSON and environment variables.

    Raises AttributeError, KeyError, TypeError or ValueError if it is malformed.
    """
    options = data["settings"]
    allowed, contract = options.get("allowed") or {}, options.get("contract") or {}
    limits = data.get("limits") or {}
    seed = data.get("seed", 0)
    known = data.get("known") or {}
    admin = environ.get("PROXY_ADMIN_ADDR") or data.get("admin_addr")
    descriptor = environ.get("PROXY_SOCKET_FD")
    if not isinstance(known, dict):
        raise TypeError("known is not a JSON object")
    return Config(
        name=environ.get("PROXY_NAME") or data.get("name") or "node",
        listen=address_of(environ.get("PROXY_LISTEN") or data["listen"]),
        # The file has precedence: a reload replaces it, while the environment never changes.
        discovery=address_of(data.get("discovery") or environ["PROXY_DISCOVERY"]),
        seed=seed if isinstance(seed, int) else int(seed, 16),
        sockets=int(limits.get("sockets") or 1024),
        memory_mb=int(limits.get("memory_mb") or 128),
        known=known,
        settings=settings_of(options),
        max_open=int(allowed.get("maxOpen") or 10_000),
        # A connect timeout of 0 is not meaningful and means the default. An idle time or a grace
        # period of 0 is kept.
        dial_timeout_ms=float(allowed.get("dialTimeoutMs") or 250.0),
        conn_idle_ms=float(value_or_default(allowed, "connIdleMs", 15_000.0)),
        drain_grace_ms=float(value_or_default(contract, "stopSendingWithinMs", 250.0)),
        admin=address_of(admin) if admin else None,
        socket_fd=_descriptor(descriptor) if descriptor else None,
        tier_peers=_tier_peers(data, options)
        if allowed.get("peers") and data.get("peer_listen") and data.get("peers")
        else None,
    )


def _tier_peers(data: dict[str, Any], options: dict[str, Any]) -> TierPeers:
    """The nodes of this node's tier.

    Raises ValueError if an address is not IPv4 or is listed twice, or if this node is not listed.
    """
    peers = tuple(ipv4_of(text) for text in data["peers"])
    slot = int(options.get("slotNo") or 0)
    if not 0 <= slot < len(peers):
        raise ValueError(f"slotNo: {slot} is not an index of the {len(peers)} peers")
    if len(set(peers)) < len(peers):
        raise ValueError("peers: an address is listed twice")
    return TierPeers(ipv4_of(data["peer_listen"]), peers, slot, int(options.get("tier") or 0))


def _descriptor(text: str) -> int:
    """The number of an inherited file descriptor (0 to 2 are the standard streams)."""
    if not (text.isascii() and text.isdigit() and 2 < int(text) < 1 << 20):
        raise ValueError(f"PROXY_SOCKET_FD is not a descriptor: {text!r}")
    return int(text)
