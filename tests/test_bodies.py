"""Decoders of bodies and parsers of heads, compared with h11, and what one call may cost."""

from __future__ import annotations

import asyncio
import re
import tracemalloc
from collections.abc import Callable, Iterable
from typing import Optional

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkshift.bodies import (
    MAX_CHUNKS_PER_CALL,
    BodyDecoder,
    ChunkedDecoder,
    IncompleteBody,
    LengthDecoder,
    MalformedBody,
    UntilCloseDecoder,
    next_piece,
)
from corkshift.heads import (
    MAX_HEAD_BYTES,
    REQUEST_FIELDS,
    RESPONSE_FIELDS,
    RequestHeadParser,
    ResponseHeadParser,
    TooManyInformationalResponses,
)

FRAMING = {b"connection", b"content-length", b"transfer-encoding", b"expect", b"upgrade"}


def chunk(data: bytes, extension: bytes = b"") -> bytes:
    return b"%x%b\r\n%b\r\n" % (len(data), extension, data)


def decode(decoder: BodyDecoder, pieces: list[bytes]) -> tuple[bytes, str]:
    """The bytes of a body that comes in these pieces, and how it ends: complete, open or wrong."""
    body = b""
    for piece in pieces:
        decoder.receive(piece)
        while True:
            try:
                data = decoder.decode()
            except MalformedBody:
                return body, "wrong"
            body += data
            if decoder.complete:
                return body, "complete"
            if not data and not decoder.has_undecoded_chunks:
                break
    return body, "open"


def decode_by_h11(pieces: list[bytes]) -> tuple[bytes, str]:
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(b"PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
    assert isinstance(parser.next_event(), h11.Request)
    body = b""
    for piece in pieces:
        parser.receive_data(piece)
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError:
                return body, "wrong"
            if event is h11.NEED_DATA:
                break
            if isinstance(event, h11.EndOfMessage):
                return body, "complete"
            assert isinstance(event, h11.Data)
            body += event.data
    return body, "open"


def cut(data: bytes, at: list[int]) -> list[bytes]:
    edges = sorted({0, len(data), *(n % (len(data) + 1) for n in at)})
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


def in_a_row(data: bytes, count: int) -> bytes:
    return chunk(data) * count


CHUNKS = st.one_of(
    st.builds(in_a_row, st.binary(min_size=1, max_size=20), st.integers(15, 60)),
    st.builds(
        chunk,
        st.binary(min_size=1, max_size=40),
        st.sampled_from([b"", b" ", b"\t ", b";a=b", b'; x="y"', b";\rz", b" ;a", b"\n"]),
    ),
)
ENDS = st.sampled_from(
    [
        b"0\r\n\r\n", b"0\r\n\r\nmore", b"0\r\nA: b\r\n\r\n", b"0\r\nA: b\n\n", b"00\r\n\n", b"",
        b"0\r\nA b\r\n\r\n", b"0;x\r\n\r\n", b"zz\r\n", b"\r\n", b"-1\r\n", b"\x80\xff", b"0",
        b"5\r\nabcdefg", b"5\nabcde\r\n", b"0\r\n B\r\n\r\n", b"0x5\r\nabcde\r\n", b"1 2\r\n",
    ]
)  # fmt: skip


@given(st.lists(CHUNKS, max_size=6), ENDS, st.lists(st.integers(0, 3_000), max_size=12))
def test_chunked_bodies_are_decoded_as_h11_decodes_them(
    chunks: list[bytes], end: bytes, at: list[int]
) -> None:
    pieces = cut(b"".join(chunks) + end, at)
    body, how = decode(ChunkedDecoder(), pieces)
    expected_body, expected = decode_by_h11(pieces)
    assert body == expected_body or (how == "wrong" and expected_body.startswith(body))
    # A body that can't go on is rejected without waiting for the end of the line.
    assert how == expected or (how, expected) == ("wrong", "open")


def test_noise_in_place_of_a_chunk_is_rejected_without_a_line_end() -> None:
    decoder = ChunkedDecoder()
    decoder.receive(chunk(b"abc") + bytes(range(128, 256)))
    with pytest.raises(MalformedBody):
        decoder.decode()


@pytest.mark.parametrize("make", [ChunkedDecoder, lambda: LengthDecoder(9)])
def test_the_end_of_the_connection_within_a_body_is_an_error(
    make: Callable[[], BodyDecoder],
) -> None:
    decoder = make()
    decoder.receive(b"3\r\nab")
    decoder.decode()
    with pytest.raises(IncompleteBody):
        decoder.receive(b"")


def test_bodies_with_a_length_and_until_the_end_of_the_connection() -> None:
    assert decode(LengthDecoder(5), [b"ab", b"cdefg"]) == (b"abcde", "complete")
    decoder = UntilCloseDecoder()
    assert decode(decoder, [b"ab", b"c"]) == (b"abc", "open")
    decoder.receive(b"")
    assert decoder.complete


def test_the_smallest_chunks_of_one_read_take_several_turns_of_the_loop() -> None:
    async def test() -> None:
        count = 3 * MAX_CHUNKS_PER_CALL
        decoder = ChunkedDecoder()
        decoder.receive(chunk(b"x") * count + b"0\r\n\r\n")
        turns = 0
        loop = asyncio.get_running_loop()

        def count_turn() -> None:
            nonlocal turns
            turns += 1
            loop.call_soon(count_turn)

        async def no_more() -> bytes:
            raise AssertionError("all of the body was received")

        loop.call_soon(count_turn)
        body, chunk_counts = b"", []
        while piece := await next_piece(decoder, no_more):
            body += piece
            chunk_counts.append(decoder.chunks)
        assert body == b"x" * count and decoder.complete
        assert max(chunk_counts) <= MAX_CHUNKS_PER_CALL and turns >= len(chunk_counts) - 1 == 2

    asyncio.run(test())


NAMES = st.sampled_from(
    [b"X-Txn", b"x-lane", b"Connection", b"Content-Length", b"Transfer-Encoding", b"Expect",
     b"Upgrade", b"Accept", b"a", b"X-Txn-2", b"host2", b"X-Found", b"b!#$", b"bad name", b""]
)  # fmt: skip
VALUES = st.sampled_from(
    [b"", b"close", b"keep-alive, Close", b"5", b"05", b"chunked", b"100-continue", b"a b", b" c\t",
     b"\xe2\x82\xac", b"x\r\n folded", b"\r\n\tfolded: twice\r\n again", b"\x00", b"a\x0bb",
     b"\x01", b"a\rb", b"h2c"]
)  # fmt: skip
LINES = st.builds(
    lambda name, colon, value, end: name + colon + value + end,
    NAMES, st.sampled_from([b":", b": ", b" : ", b""]), VALUES, st.sampled_from([b"\r\n", b"\n"]),
)  # fmt: skip


def reduced(headers: Iterable[tuple[bytes, bytes]], used: tuple[bytes, ...]) -> dict[
    bytes, bytes
]:  # fmt: skip
    return {name: value for name, value in headers if name in {*used, *FRAMING}}


@given(
    st.sampled_from([b"GET / HTTP/1.1\r\n", b"PUT /a HTTP/1.0\n", b"GET /\r\n", b"\r\n", b" x"]),
    st.lists(LINES, max_size=6),
    st.lists(st.integers(0, 400), max_size=6),
)
def test_request_heads_are_parsed_as_h11_parses_them(
    first: bytes, lines: list[bytes], at: list[int]
) -> None:
    data = first + b"Host: x\r\n" + b"".join(lines) + b"\r\nrest"
    expected: Optional[h11.Request] = None
    theirs = h11.Connection(h11.SERVER)
    try:
        theirs.receive_data(data)
        event = theirs.next_event()
        assert isinstance(event, h11.Request)
        expected = event
    except h11.RemoteProtocolError:
        pass
    parser, head = RequestHeadParser(), None
    try:
        for piece in cut(data, at):
            head = head or parser.receive(piece)
            if head is not None:
                break
    except h11.RemoteProtocolError:
        assert expected is None
        return
    assert head is not None and expected is not None
    assert head.fields == reduced(expected.headers, REQUEST_FIELDS)
    assert (head.method, head.target, head.version) == (
        expected.method, expected.target, expected.http_version,
    )  # fmt: skip
    names = [name for name, _ in expected.headers if name in {*REQUEST_FIELDS, *FRAMING}]
    assert head.repeated == {name for name in names if names.count(name) > 1}
    assert head.expects_continue == theirs.they_are_waiting_for_100_continue
    if b"upgrade" not in head.fields:
        assert head.keep_alive == (theirs.states[h11.CLIENT] is not h11.MUST_CLOSE) or (
            theirs.states[h11.CLIENT] is h11.SEND_BODY
        )


@given(
    st.sampled_from([b"HTTP/1.1 200 OK\r\n", b"HTTP/1.0 503\n", b"HTTP/1.1 103 Hi\r\n\r\n", b"x"]),
    st.lists(LINES, max_size=5),
)
def test_response_heads_are_parsed_as_h11_parses_them(first: bytes, lines: list[bytes]) -> None:
    data = first + (b"HTTP/1.1 200 OK\r\n" if b"103" in first else b"") + b"".join(lines) + b"\r\n"
    theirs = h11.Connection(h11.CLIENT)
    theirs.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    theirs.send(h11.EndOfMessage())
    expected: Optional[h11.Response] = None
    try:
        theirs.receive_data(data)
        event = theirs.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = theirs.next_event()
        expected = event if isinstance(event, h11.Response) else None
    except h11.RemoteProtocolError:
        pass
    try:
        head = ResponseHeadParser().receive(data)
    except h11.RemoteProtocolError:
        assert expected is None
        return
    if head is None:
        assert expected is None
        return
    assert expected is not None
    assert head.status == expected.status_code
    assert head.fields == reduced(expected.headers, RESPONSE_FIELDS)


def test_too_many_informational_responses_are_an_error() -> None:
    with pytest.raises(TooManyInformationalResponses):
        ResponseHeadParser().receive(b"HTTP/1.1 103 Hints\r\n\r\n" * 9)


def test_a_head_that_never_ends_is_rejected_at_its_limit() -> None:
    parser = RequestHeadParser()
    parser.receive(b"GET / HTTP/1.1\r\nHost: x\r\n")
    with pytest.raises(h11.RemoteProtocolError) as error:
        for _ in range(MAX_HEAD_BYTES):
            parser.receive(b"a: b\r\n")
    assert error.value.error_status_hint == 431


def test_fields_that_the_node_does_not_use_cost_no_memory() -> None:
    many = b"".join(b"%x:\r\n" % number for number in range(2_200))
    data = b"GET / HTTP/1.1\r\nHost: x\r\nX-Txn: a\r\n" + many + b"\r\n"
    assert re.search(rb"\n0:\r\n", data)
    tracemalloc.start()
    try:
        parser = RequestHeadParser()
        head = parser.receive(data)
        kept_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert head is not None and set(head.fields) == {b"host", b"x-txn"}
    assert kept_bytes < 8_192
