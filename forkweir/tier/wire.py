"""Datagrams between nodes: MessagePack arrays of at most 256 bytes. Pure: bytes in, messages out.

| kind | from, to | content |
|---|---|---|
| ping, ack | any, any | failure detection, membership updates (Das et al. 2002, section 4.1) |
| relay | any, any | request to ping a third node that did not answer (the same, section 3.1) |
| call | candidate or leader, to all | request for the vote; grants of shares |
| reply | any, the caller | the vote or its refusal; demand by limit |
| heavy | any, the leader | the most requested buckets of the line at this node |
| line | the leader, to all | the most requested buckets of the line at all nodes |
| seen | any, some | boxes that the sender considers bad, and those that it no longer does |
| back | a former candidate, to all | the candidacy ended: votes up to this call do not count |
| leave | a node that drains, to some | orderly shutdown |

Every datagram begins with its kind, FORMAT_VERSION and the tier's digest (the number of nodes and
the constants on which all must agree), the sender's slot, its incarnation and its token (of this
process alone). A node with another digest is ignored (`Tier`). Amounts are encoded on a logarithmic
scale of 12 bits (`encode_amount`, within 0.4 percent), shares as integers.

Bounds: 256 bytes (PROTOCOL, "Between nodes"); MAX_UPDATES membership updates, MAX_ENTRIES entries
of demand or grants. A datagram that violates any of them, has fields out of range or trailing bytes
is `Malformed`.
"""

from __future__ import annotations

from math import log2
from typing import Annotated

import msgspec

FORMAT_VERSION = 1
MAX_DATAGRAM_BYTES = 256
# 9 bytes each, 11 in tiers of more than 256 nodes.
MAX_UPDATES = 14
# Of demand or grants, 9 to 11 bytes each.
MAX_ENTRIES = 18
MAX_NODES = 4_096
STEPS_PER_DOUBLING = 96.0
# 12 bits: 2 ** (4095 / STEPS_PER_DOUBLING) - 1, some 7e12 millionths.
MAX_SCALED = 4_095

Number = Annotated[int, msgspec.Meta(ge=0, le=0xFFFFFFFF)]
Slot = Annotated[int, msgspec.Meta(ge=0, lt=MAX_NODES)]
State = Annotated[int, msgspec.Meta(ge=0, le=3)]
Scaled = Annotated[int, msgspec.Meta(ge=0, le=MAX_SCALED)]
ShareCount = Annotated[int, msgspec.Meta(ge=0, le=0xFFFF)]
Page = Annotated[int, msgspec.Meta(ge=0, le=15)]
PackedEntries = Annotated[bytes, msgspec.Meta(max_length=198)]  # three or five bytes an entry
Millis = Annotated[int, msgspec.Meta(ge=0, le=0xFFFF)]

MemberUpdate = tuple[Slot, Number, State]
"""A node's slot, incarnation and state (index into `members.STATES`)."""
DemandEntry = tuple[Number, Scaled]
"""The id of a limit, and the demand for it (`encode_amount`)."""
Grant = tuple[Number, ShareCount]
"""The id of a limit, and shares of it, out of `leases.TOTAL_SHARES`."""


class Malformed(ValueError):
    """A datagram violates the format."""


class _Header(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The fields with which every datagram begins.

    slot: the sender's place in `peers`; incarnation: of its node (see `members`); token: a random
    number that identifies the sending process.
    """

    format_version: Number
    digest: Number
    slot: Slot
    incarnation: Number
    token: Number


class Ping(_Header, frozen=True, tag=1):
    """A SWIM ping. number: of this ping; joining: asks for the whole membership in the acks."""

    number: Number
    joining: bool
    updates: Annotated[tuple[MemberUpdate, ...], msgspec.Meta(max_length=MAX_UPDATES)]


class Ack(_Header, frozen=True, tag=2):
    """The answer to a ping. number: of the ping."""

    number: Number
    updates: Annotated[tuple[MemberUpdate, ...], msgspec.Meta(max_length=MAX_UPDATES)]


class Relay(_Header, frozen=True, tag=3):
    """Requests a ping of `target` on behalf of the sender. number: of the sender's own ping."""

    number: Number
    target: Slot
    updates: Annotated[tuple[MemberUpdate, ...], msgspec.Meta(max_length=MAX_UPDATES)]


class Call(_Header, frozen=True, tag=4):
    """A heartbeat of the leader, or of a candidate, to one process.

    to: token of that process, 0 where unknown (nothing is granted then). number: rises with each
    call of a caller. reply_wanted: false for further pages of a call. echo: the number of the last
    reply from that process, at whose sending `lease_ms` start, 0 for none. lease_ms: how long the
    granted leases last. limit_totals: work and fetches of the whole tier (`encode_amount`).
    heavy_wanted: whether the caller also wants `Heavy`.
    """

    to: Number
    number: Number
    reply_wanted: bool
    echo: Number
    lease_ms: Millis
    limit_totals: tuple[Scaled, Scaled]
    heavy_wanted: bool
    grants: Annotated[tuple[Grant, ...], msgspec.Meta(max_length=MAX_ENTRIES)]


class Reply(_Header, frozen=True, tag=5):
    """The answer to a call.

    to: the caller's token; number: of this reply, 0 for a further page; echo: the number of the
    call that it answers; vote: whether the caller gets the sender's vote, for vote_ms;
    own_limits: the node's own limits of work and fetches (`encode_amount`); config_conflict:
    whether the sender itself has lately received another digest.
    """

    to: Number
    number: Number
    echo: Number
    vote: bool
    config_conflict: bool
    own_limits: tuple[Scaled, Scaled]
    demand: Annotated[tuple[DemandEntry, ...], msgspec.Meta(max_length=MAX_ENTRIES)]


class Leave(_Header, frozen=True, tag=6):
    """Announces an orderly shutdown."""


class Back(_Header, frozen=True, tag=7):
    """Ends a candidacy. number: of the sender's last call, up to which votes do not count."""

    number: Number


class Heavy(_Header, frozen=True, tag=8):
    """The heavy buckets of one node.

    number: of the call that it answers; filled: the fraction of the node's window that consists of
    arrivals (`encode_amount`); data: `shared_line.pack`.
    """

    number: Number
    page: Page
    filled: Scaled
    data: PackedEntries


class Line(_Header, frozen=True, tag=9):
    """The merged heavy buckets of all nodes, from the leader.

    number: of the table, rising; filled: the fraction of the shared window that consists of
    arrivals (`encode_amount`); data: `shared_line.pack`.
    """

    number: Number
    page: Page
    pages: Page
    filled: Scaled
    data: PackedEntries


class Seen(_Header, frozen=True, tag=10):
    """Boxes that the sender considers bad, or did until lately.

    number: of this report, rising; data: `signals.pack`.
    """

    number: Number
    data: PackedEntries


Message = Ping | Ack | Relay | Call | Reply | Leave | Back | Heavy | Line | Seen

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """The bytes of a datagram, at most MAX_DATAGRAM_BYTES."""
    data = _encoder.encode(message)
    assert len(data) <= MAX_DATAGRAM_BYTES, f"{type(message).__name__} of {len(data)} bytes"
    return data


def decode(data: bytes) -> Message:
    """Decode a datagram. Malformed if it is not a valid message."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise Malformed("datagram longer than 256 bytes")
    try:
        message = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise Malformed(str(error)) from None
    if message.format_version != FORMAT_VERSION:
        raise Malformed(f"unsupported format version {message.format_version}")
    return message


def encode_amount(amount: float) -> int:
    """An amount (0 or more) as a step of a logarithmic scale that starts at one millionth.

    Amounts beyond the scale, including infinity, become MAX_SCALED; NaN and less than 0 become 0.
    """
    if not amount > 0.0:
        return 0
    return min(MAX_SCALED, round(STEPS_PER_DOUBLING * log2(1.0 + 1e6 * min(amount, 1e9))))


def decode_amount(step: int) -> float:
    """The amount of a step of `encode_amount`."""
    return float(2.0 ** (step / STEPS_PER_DOUBLING) - 1.0) / 1e6
