"""The simple-form parser against h11: h11 accepts what it accepts, with the same result."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from corkshift.plain import MAX_SIMPLE_BODY_BYTES, SimpleHead, request_head, response_head

NAMES = [
    b"Host", b"host", b"X-Txn", b"X-Lane", b"X-Org", b"X-Remaining-Ms", b"Accept", b"Content-Length",
    b"content-length", b"Transfer-Encoding",
    b"Connection", b"Expect", b"Upgrade",
    b"X Bad", b"", b"X_Y", b"\xffn", b"X-Found", b"X-Turned-Away", b"Keep-Alive", b"TE",
]  # fmt: skip
VALUES = [
    b"x", b"", b" ", b"read", b"5", b"0", b"-1", b"+5", b"5, 5", b"65536", b"65537", b"99999999999999", b"chunked", b"close",
    b"Keep-Alive", b"100-continue", b"a\tb", b" padded ", b"\x00", b"caf\xe9", b"a\rb", b"hit", b"1", b"identity",
]  # fmt: skip
FIELD = st.tuples(
    st.sampled_from(NAMES),
    st.sampled_from([b":", b": ", b" :", b":\t", b""]),
    st.sampled_from(VALUES),
)
ENDS = st.sampled_from([b"\r\n", b"\r\n", b"\r\n", b"\n", b"\r\n ", b""])
STARTS = st.sampled_from(
    [b"GET /api/k HTTP/1.1", b"PUT /api/k?x=1 HTTP/1.1", b"GET  /k HTTP/1.1", b"GET /k HTTP/1.0", b"get /k HTTP/1.1",
    b"GET http://a/k HTTP/1.1",
     b"GET /a b HTTP/1.1", b"GET /k\x7f HTTP/1.1", b"POST /k HTTP/1.1", b"GET /k HTTP/1.1 "]
)  # fmt: skip
STATUS = st.sampled_from(
    [b"HTTP/1.1 200 OK", b"HTTP/1.1 200 ", b"HTTP/1.1 200", b"HTTP/1.1 503 Full", b"HTTP/1.1 504 -", b"HTTP/1.0 200 OK", b"HTTP/1.1 2x0 OK",
     b"HTTP/1.1 100 Continue", b"HTTP/1.1 200 \xff", b"HTTP/1.1 500 No", b"HTTP/1.1 204 No"]
)  # fmt: skip


@st.composite
def heads(draw: st.DrawFn, starts: st.SearchStrategy[bytes], usual: bytes) -> bytes:
    data = draw(starts) + draw(ENDS) + draw(st.sampled_from([usual, usual, b""]))
    for name, colon, value in draw(st.lists(FIELD, max_size=4)):
        data += name + colon + value + draw(ENDS)
    return (
        data
        + draw(st.sampled_from([b"\r\n", b"\r\n", b"\r\n", b"\n", b""]))
        + draw(st.sampled_from([b"", b"abcde", b"GET / HTTP/1.1\r\n"]))
    )


def same(head: SimpleHead, event: object, parser: h11.Connection, data: bytes) -> None:
    assert isinstance(event, (h11.Request, h11.Response))
    assert dict(event.headers) == head.fields and len(event.headers) == len(head.fields)
    assert event.http_version == b"1.1"
    assert parser.trailing_data[0] == data[head.end :]
    stated = head.fields.get(b"content-length")
    assert (
        head.length == (None if stated is None else int(stated))
        and b"transfer-encoding" not in head.fields
    )
    # h11 reads the same body as the length gives.
    body = b""
    while isinstance(event := parser.next_event(), h11.Data):
        body += event.data
    assert body == data[head.end : head.end + (head.length or 0)]


@settings(max_examples=1_500, derandomize=True, deadline=None)
@given(heads(STARTS, b"Host: a\r\n"))
def test_a_request_that_is_plain_is_what_h11_reads(data: bytes) -> None:
    head = request_head(data)
    if head is None:
        return
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(data)
    event = parser.next_event()
    assert isinstance(event, h11.Request) and (event.method, event.target) == (
        head.method,
        head.target,
    )
    assert not parser.they_are_waiting_for_100_continue
    same(head, event, parser, data)


@settings(max_examples=1_500, derandomize=True, deadline=None)
@given(heads(STATUS, b"Content-Length: 5\r\n"))
def test_an_answer_that_is_plain_is_what_h11_reads(data: bytes) -> None:
    head = response_head(data)
    if head is None:
        return
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(data)
    event = parser.next_event()
    assert isinstance(event, h11.Response) and event.status_code == head.status
    same(head, event, parser, data)


@given(st.binary(max_size=300))
def test_noise_is_not_plain(data: bytes) -> None:
    assert request_head(b"\xff" + data) is None and response_head(b"\xff" + data) is None


def test_typical_heads_are_plain() -> None:
    # The pattern must not become so narrow that the typical heads miss the fast path.
    typical = b"GET /api/7f3a?x=1 HTTP/1.1\r\nHost: service.internal\r\nX-Txn: 9b1f\r\nX-Lane: read\r\nX-Remaining-Ms: 480\r\n\r\n"
    head = request_head(typical + b"GET")
    assert (
        head is not None
        and head.end == len(typical)
        and head.fields[b"x-lane"] == b"read"
        and head.length is None
    )
    put = request_head(
        b"PUT /k HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nConnection: keep-alive\r\n\r\nabc"
    )
    assert put is not None and put.method == b"PUT" and put.length == 3
    answer = response_head(b"HTTP/1.1 200 OK\r\nX-Found: hit\r\nContent-Length: 3\r\n\r\nabc")
    assert answer is not None and (answer.status, answer.length, answer.fields[b"x-found"]) == (
        200,
        3,
        b"hit",
    )


@pytest.mark.parametrize(
    "more",
    [b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", b"X-Txn: a\r\nx-txn: b\r\n", b"Expect: 100-continue\r\n",
     b"Connection: close\r\n",
         b"Content-Length: %d\r\n" % (MAX_SIMPLE_BODY_BYTES + 1), b"Content-Length: 04x\r\n", b"Host: b\r\n",
         b"X: " + b"y" * 5_000 + b"\r\n", b"X: a\r\n b\r\n"],
)  # fmt: skip
def test_what_could_mean_two_things_is_left_to_h11(more: bytes) -> None:
    assert request_head(b"PUT /k HTTP/1.1\r\nHost: a\r\n" + more + b"\r\n") is None
