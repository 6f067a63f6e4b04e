"""Datagrams between nodes: MessagePack arrays of at most 256 bytes. Pure: bytes in, messages out, and back.

| kind | from, to | says |
|---|---|---|
| ping, ack | any, any | I am there; news of others (SWIM, Das et al. 2002, section 4.1) |
| relay | any, any | ask that one for me, I had no answer of it (the same, section 3.1) |
| call | who stands for keeper, or is it, to all | vote for me; your parts of the bounds until so long after what you last said |
| reply | any, who called | my vote, or not; what I want of which bound |
| heavy | any, the keeper | what is asked for often here |
| line | the keeper, to all | what is asked for often everywhere |
| seen | any, some | boxes that I hold to be bad, and those that I no longer do |
| back | who stood for keeper, to all | I stand no more: no vote counts for my calls up to this one |
| leave | who drains, to some | I end in order |

Every datagram opens with its kind, FORMAT and the tier's digest (how many nodes it has and the constants that all must share), the
sender's number in the tier, its incarnation and its token (of this one process). Whoever has another digest plays no part (`Tier`).
Amounts travel on a scale of logarithms of 12 bits (`scaled`, within 0.4 percent), parts as whole numbers.

Bounds: 256 bytes (PROTOCOL, "Between nodes"); NEWS entries of news, ENTRIES of wants or grants. A datagram that breaks any of them, has
fields out of range or bytes behind its end is `Malformed`.
"""

from __future__ import annotations

from math import log2
from typing import Annotated

import msgspec

FORMAT_VERSION = 1
MAX_DATAGRAM_BYTES = 256  # bytes
MAX_UPDATES = 14  # 9 bytes each, 11 in tiers of more than 256
MAX_ENTRIES = 18  # 9 to 11 bytes each
MAX_NODES = 4_096
STEPS_PER_DOUBLING = 96.0  # steps for a factor of two
MAX_SCALED = 4_095  # of a scaled amount: 2 ** (4095 / SCALE) - 1, some 7e12 millionths

Number = Annotated[int, msgspec.Meta(ge=0, le=0xFFFFFFFF)]
Slot = Annotated[int, msgspec.Meta(ge=0, lt=MAX_NODES)]
State = Annotated[int, msgspec.Meta(ge=0, le=3)]
Scaled = Annotated[int, msgspec.Meta(ge=0, le=MAX_SCALED)]
ShareCount = Annotated[int, msgspec.Meta(ge=0, le=0xFFFF)]
Page = Annotated[int, msgspec.Meta(ge=0, le=15)]
PackedEntries = Annotated[bytes, msgspec.Meta(max_length=198)]  # three bytes each
Millis = Annotated[int, msgspec.Meta(ge=0, le=0xFFFF)]

MemberUpdate = tuple[Slot, Number, State]
"""Of a node: its number, incarnation, and state (`members.STATES`)."""
DemandEntry = tuple[Number, Scaled]
"""Of a bound: its id, and how much is wanted (`scaled`)."""
Grant = tuple[Number, ShareCount]
"""Of a bound: its id, and so many parts of `lending.WHOLE`."""


class Malformed(ValueError):
    """A datagram breaks the form."""


class _Header(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    format_version: Number
    digest: Number
    slot: Slot
    incarnation: Number
    token: Number


class Ping(_Header, frozen=True, tag=1):
    """Are you there? number: of this question. joining: tell me who else is."""

    number: Number
    joining: bool
    updates: Annotated[tuple[MemberUpdate, ...], msgspec.Meta(max_length=MAX_UPDATES)]


class Ack(_Header, frozen=True, tag=2):
    """I am. number: of the question."""

    number: Number
    updates: Annotated[tuple[MemberUpdate, ...], msgspec.Meta(max_length=MAX_UPDATES)]


class Relay(_Header, frozen=True, tag=3):
    """Ask `target` for me. number: of my question to it."""

    number: Number
    target: Slot
    updates: Annotated[tuple[MemberUpdate, ...], msgspec.Meta(max_length=MAX_UPDATES)]


class Call(_Header, frozen=True, tag=4):
    """A keeper's, or a candidate's, word to one process.

    to: its token, 0 where that is not known (and nothing is granted). number: rises with each call of a caller. answer: whether a reply
    is wanted (further pages of one word want none). echo: the number of the reply from whose sending on `hold_ms` count, 0 where there was
    none. sizes: of the whole tier (`scaled`), of work and of fetches. heavy: whether `Heavy` is wanted too.
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
    """To a call. to: the caller's token; number: of this reply, 0 of a further page; echo: of the call. own: of work and of fetches, what
    the node would take by itself (`scaled`). other: whether it heard itself, lately, of another count or other constants of the tier."""

    to: Number
    number: Number
    echo: Number
    vote: bool
    config_conflict: bool
    own_limits: tuple[Scaled, Scaled]
    demand: Annotated[tuple[DemandEntry, ...], msgspec.Meta(max_length=MAX_ENTRIES)]


class Leave(_Header, frozen=True, tag=6):
    """I end in order."""


class Back(_Header, frozen=True, tag=7):
    """I stand no more. number: of the last of my calls."""

    number: Number


class Heavy(_Header, frozen=True, tag=8):
    """What is asked for often here. number: of the call that it follows; filled: what part of the node's window is arrivals (`scaled`);
    data: `lines.packed`."""

    number: Number
    page: Page
    filled: Scaled
    data: PackedEntries


class Line(_Header, frozen=True, tag=9):
    """What is asked for often at all nodes together. number: of the table, rising; filled: what part of the common window is arrivals."""

    number: Number
    page: Page
    pages: Page
    filled: Scaled
    data: PackedEntries


class Seen(_Header, frozen=True, tag=10):
    """Boxes that I hold to be bad, or did until lately. number: of this word, rising; data: `signals.packed`."""

    number: Number
    data: PackedEntries


Message = Ping | Ack | Relay | Call | Reply | Leave | Back | Heavy | Line | Seen

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """A datagram's bytes, at most MOST of them."""
    data = _encoder.encode(message)
    assert len(data) <= MAX_DATAGRAM_BYTES, f"{type(message).__name__} of {len(data)} bytes"
    return data


def decode(data: bytes) -> Message:
    """The message of a datagram; Malformed where it is none."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise Malformed("too long")
    try:
        message = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise Malformed(str(error)) from None
    if message.format_version != FORMAT_VERSION:
        raise Malformed(f"format {message.format_version}")
    return message


def encode_amount(amount: float) -> int:
    """An amount (0 or more) on a scale of logarithms, from a millionth on; what is beyond it, infinity among it, is its largest step."""
    if not amount > 0.0:
        return 0
    return min(MAX_SCALED, round(STEPS_PER_DOUBLING * log2(1.0 + 1e6 * min(amount, 1e9))))


def decode_amount(step: int) -> float:
    """The amount that a step of the scale stands for."""
    return float(2.0 ** (step / STEPS_PER_DOUBLING) - 1.0) / 1e6
