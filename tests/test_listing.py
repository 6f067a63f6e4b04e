"""The list parser on complete, partial and corrupt lines: it finds complete entries only."""

from __future__ import annotations

import json
import random
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkshift.listing import (
    MAX_LINE_BYTES,
    BadList,
    LineParser,
    RecoveredEntry,
    parse,
    unconfirmed_entries,
)
from testbed.systems.emulators import NOISE_SAMPLES, DiscoveryServer


def entry(n: int, lifecycle: str = "terminating") -> dict[str, object]:
    return {
        **DiscoveryServer.entry(f"s{n}", ("127.0.0.1", 8000 + n), 5.0 * n),
        "lifecycle": lifecycle,
    }


def line(entries: list[dict[str, object]], reset: bool = False) -> bytes:
    return json.dumps({"generation": 7, "reset": reset, "instances": entries}).encode() + b"\n"


ENTRIES = [entry(0), entry(1, "terminated"), entry(2, "in_service")]
TEXT = line(ENTRIES)
ENDS = [TEXT.index(json.dumps(one).encode()) + len(json.dumps(one)) for one in ENTRIES]
STATES = ["draining", "gone", "in"]


def states_of(unconfirmed: list[RecoveredEntry]) -> dict[str, str]:
    return {found_entry.server.name: found_entry.server.state for found_entry in unconfirmed}


@pytest.mark.parametrize("reset", [False, True])
def test_complete_entries_of_a_line_cut_at_any_byte_are_found(reset: bool) -> None:
    text = line(ENTRIES, reset)
    ends = [end + len(text) - len(TEXT) for end in ENDS]
    for cut in range(len(text) - 1):
        complete = {f"s{n}": STATES[n] for n in range(3) if ends[n] <= cut}
        found = states_of(unconfirmed_entries(text[:cut]))
        assert {name: state for name, state in found.items() if state != "unreadable"} == complete
        suspects = {name for name, state in found.items() if state == "unreadable"}
        # Only the cut entry is suspect; in a full list, which names every server, not even that.
        assert suspects <= ({f"s{len(complete)}"} if not reset else set())


@pytest.mark.parametrize("noise", NOISE_SAMPLES)
def test_noise_at_any_byte_loses_at_most_the_entry_it_hits(noise: bytes) -> None:
    for at in range(len(TEXT) - 1):
        found = states_of(unconfirmed_entries(TEXT[:at] + noise + TEXT[at:]))
        for n, end in enumerate(ENDS):
            begin = end - len(json.dumps(ENTRIES[n]))
            if not begin < at < end:
                assert found[f"s{n}"] == STATES[n], (at, n)
        # A name altered by noise is no known server; entries of unknown servers are ignored.
        assert all(
            name in {"s0", "s1", "s2"} or state == "unreadable" for name, state in found.items()
        )


@given(st.integers(0, 2**32), st.lists(st.integers(0, 400), max_size=12))
def test_lines_and_entries_do_not_depend_on_how_the_bytes_are_split(
    seed: int, cuts: list[int]
) -> None:
    rng = random.Random(seed)
    full = line([entry(n) for n in range(4)], True)
    body = (
        b"".join(rng.choice((TEXT, b"\n", full)) for _ in range(3))
        + TEXT[: rng.randrange(len(TEXT) - 1)]
    )
    lines, got, unconfirmed = LineParser(), [], []
    at = 0
    for cut in sorted({min(cut, len(body)) for cut in cuts} | {len(body)}):
        got += lines.receive(body[at:cut])
        unconfirmed += lines.unconfirmed_entries()
        at = cut
    *complete, partial = body.split(b"\n")
    assert got == [text.strip() for text in complete] and lines.partial_line() == partial
    assert lines.unfinished == bool(partial)
    expected = [
        found_entry
        for found_entry in unconfirmed_entries(partial)
        if found_entry.server.state != "unreadable"
    ]
    # Earlier ones are of lines that were completed later.
    assert expected == unconfirmed[len(unconfirmed) - len(expected) :]


@given(st.binary(max_size=400), st.integers(0, len(TEXT)), st.integers(0, len(TEXT)))
def test_arbitrary_bytes_raise_nothing_but_bad_list(noise: bytes, begin: int, end: int) -> None:
    text = TEXT[:begin] + noise + TEXT[end:]
    unconfirmed_entries(text)
    lines = LineParser()
    for line_text in lines.receive(text):
        try:
            parse(line_text)
        except BadList:
            pass
    lines.unconfirmed_entries()
    assert len(lines.partial_line()) <= len(text)


def test_an_endless_line_is_rejected_and_costs_linear_time() -> None:
    def cost(text: bytes) -> float:
        begin = time.process_time()
        unconfirmed_entries(text)
        return time.process_time() - begin

    for piece in (b"{", b"{x", b'{"instanceId":"', b"{" + b"x" * 500, b"{}"):
        one, four = piece * (60_000 // len(piece)), piece * (240_000 // len(piece))
        assert cost(four) < 40.0 * max(cost(one), 1e-3)
    lines = LineParser()
    with pytest.raises(BadList):
        for _ in range(MAX_LINE_BYTES // 65_536 + 2):
            lines.receive(b"{" * 65_536)


@pytest.mark.parametrize(
    "text",
    [
        b"[1]",
        b"7",
        b"{}",
        b'{"generation":"x","instances":[]}',
        b'{"generation":1,"instances":7}',
        b"\xff",
    ],
)
def test_text_that_is_no_list_raises_bad_list(text: bytes) -> None:
    with pytest.raises(BadList):
        parse(text)


@pytest.mark.parametrize(
    "host_port",
    ["127{.0.0.1:8001", "box.example.org:8001", "::1:8001", "127.0.0.1:80011", "127.0.0.256:8001"],
)
def test_an_entry_whose_host_is_not_ipv4_is_left_out(host_port: str) -> None:
    # Guards against noise within an address in a line that is still valid JSON: the node would look
    # the host up as a name.
    text = line([entry(0), {**entry(2, "in_service"), "hostPort": host_port}])
    assert [server.name for server, _ in parse(text)[2]] == ["s0"]
    assert states_of(unconfirmed_entries(text[:-2] + b" ")) == {
        "s0": "draining",
        "s2": "unreadable",
    }


@given(
    lists=st.lists(
        st.tuples(
            st.integers(0, 3),
            st.sampled_from([0, 1, 2, 4, "\t", "as the page has it"]),
            st.integers(0, 2),
        ),
        max_size=5,
    ),
    cuts=st.lists(st.integers(1, 400), max_size=12),
    end=st.sampled_from(["\n", "\r\n"]),
)
def test_an_object_may_be_indented_and_arrive_in_any_pieces(
    lists: list[tuple[int, int | str, int]], cuts: list[int], end: str
) -> None:
    text = b""
    expected: list[dict[str, object] | None] = []
    for size, indent, empty_rows in lists:
        data = {
            "generation": len(expected),
            "reset": False,
            "instances": [entry(n) for n in range(size)],
            "note": '} ], {" \\',
        }
        if indent == "as the page has it":
            rows = json.dumps(data).replace(": [{", ": [\n  {").replace("}, {", "},\n  {")
        else:
            rows = json.dumps(data, indent=indent or None)
        text += (rows + "\n" + "\n" * empty_rows).replace("\n", end).encode()
        expected += [data, *[None] * empty_rows]
    lines, parser, at = [], LineParser(), 0
    for cut in [*cuts, len(text)]:
        lines += parser.receive(text[at : at + cut])
        at += cut
    assert [json.loads(one) if one else None for one in lines] == expected
    assert not parser.unfinished


@pytest.mark.parametrize("behind", [b"\n", line([entry(5)])], ids=["heartbeat", "list"])
@pytest.mark.parametrize("cut", [1, 20, 80, 200, 400])
def test_a_partial_indented_object_does_not_swallow_the_next_line(behind: bytes, cut: int) -> None:
    # The next line is read as usual, and complete entries of the partial one are still found.
    text = json.dumps(json.loads(TEXT), indent=2).encode()
    broken = text[: text.rindex(b"\n", 0, cut + 2)] if b"\n" in text[: cut + 2] else text[:cut]
    lines = LineParser().receive(broken + b"\n" + behind)
    assert lines[-1] == behind.strip() and len(lines) == 2
    with pytest.raises(BadList):
        parse(lines[0])


def test_an_endless_indented_object_is_rejected() -> None:
    parser = LineParser()
    parser.receive(b'{"generation": 1, "instances": [\n')
    with pytest.raises(BadList):
        for _ in range(2 * MAX_LINE_BYTES // 20_000):
            parser.receive(b'  {"instanceId": "s1"},\n' * 1_000)
