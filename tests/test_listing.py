"""What a watch carries, whole, cut and spoilt: whatever bytes come, what stands whole is found, and nothing else is."""

from __future__ import annotations

import json
import random
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkshift.listing import MAX_LINE, BadList, Claim, Lines, claims_of, parse
from testbed.systems.emulators import NOISE_SAMPLES, DiscoveryServer


def entry(n: int, lifecycle: str = "terminating") -> dict[str, object]:
    return {
        **DiscoveryServer.entry(f"s{n}", ("127.0.0.1", 8000 + n), 5.0 * n),
        "lifecycle": lifecycle,
    }


def line(entries: list[dict[str, object]], reset: bool = False) -> bytes:
    return json.dumps({"generation": 7, "reset": reset, "instances": entries}).encode() + b"\n"


SOME = [entry(0), entry(1, "terminated"), entry(2, "in_service")]
TEXT = line(SOME)
ENDS = [TEXT.index(json.dumps(one).encode()) + len(json.dumps(one)) for one in SOME]
STATES = ["draining", "gone", "in"]


def told(claims: list[Claim]) -> dict[str, str]:
    return {claim.server.name: claim.server.state for claim in claims}


@pytest.mark.parametrize("reset", [False, True])
def test_of_a_line_cut_at_any_byte_the_whole_entries_are_found(reset: bool) -> None:
    text = line(SOME, reset)
    ends = [end + len(text) - len(TEXT) for end in ENDS]
    for cut in range(len(text) - 1):
        whole = {f"s{n}": STATES[n] for n in range(3) if ends[n] <= cut}
        found = told(claims_of(text[:cut]))
        assert {name: state for name, state in found.items() if state != "unreadable"} == whole
        suspects = {name for name, state in found.items() if state == "unreadable"}
        # The entry that was cut is the only suspect, and in a whole list, which names everybody, not even that one.
        assert suspects <= ({f"s{len(whole)}"} if not reset else set())


@pytest.mark.parametrize("noise", NOISE_SAMPLES)
def test_noise_at_any_byte_costs_at_most_the_entry_that_it_hits(noise: bytes) -> None:
    for at in range(len(TEXT) - 1):
        found = told(claims_of(TEXT[:at] + noise + TEXT[at:]))
        for n, end in enumerate(ENDS):
            begin = end - len(json.dumps(SOME[n]))
            if not begin < at < end:
                assert found[f"s{n}"] == STATES[n], (at, n)
        # What noise makes of a name is no name of a server (who it is not known to is passed over).
        assert all(
            name in {"s0", "s1", "s2"} or state == "unreadable" for name, state in found.items()
        )


@given(st.integers(0, 2**32), st.lists(st.integers(0, 400), max_size=12))
def test_lines_and_claims_are_the_same_however_the_bytes_are_cut(
    seed: int, cuts: list[int]
) -> None:
    rng = random.Random(seed)
    full = line([entry(n) for n in range(4)], True)
    body = (
        b"".join(rng.choice((TEXT, b"\n", full)) for _ in range(3))
        + TEXT[: rng.randrange(len(TEXT) - 1)]
    )
    lines, got, claims = Lines(), [], []
    at = 0
    for cut in sorted({min(cut, len(body)) for cut in cuts} | {len(body)}):
        got += lines.receive(body[at:cut])
        claims += lines.claims()
        at = cut
    *whole, part = body.split(b"\n")
    assert got == [text.strip() for text in whole] and lines.rest() == part
    assert lines.unfinished == bool(part)
    wanted = [claim for claim in claims_of(part) if claim.server.state != "unreadable"]
    assert (
        wanted == claims[len(claims) - len(wanted) :]
    )  # those before are of lines that came whole later


@given(st.binary(max_size=400), st.integers(0, len(TEXT)), st.integers(0, len(TEXT)))
def test_no_bytes_do_harm(noise: bytes, begin: int, end: int) -> None:
    text = TEXT[:begin] + noise + TEXT[end:]
    claims_of(text)
    lines = Lines()
    for whole in lines.receive(text):
        try:
            parse(whole)
        except BadList:
            pass
    lines.claims()
    assert len(lines.rest()) <= len(text)


def test_a_line_without_end_is_given_up_and_costs_time_in_proportion() -> None:
    def cost(text: bytes) -> float:
        begin = time.process_time()
        claims_of(text)
        return time.process_time() - begin

    for piece in (b"{", b"{x", b'{"instanceId":"', b"{" + b"x" * 500, b"{}"):
        one, four = piece * (60_000 // len(piece)), piece * (240_000 // len(piece))
        assert cost(four) < 40.0 * max(cost(one), 1e-3)
    lines = Lines()
    with pytest.raises(BadList):
        for _ in range(MAX_LINE // 65_536 + 2):
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
def test_what_is_no_list_is_told_so(text: bytes) -> None:
    with pytest.raises(BadList):
        parse(text)


@pytest.mark.parametrize(
    "place",
    ["127{.0.0.1:8001", "box.example.org:8001", "::1:8001", "127.0.0.1:80011", "127.0.0.256:8001"],
)
def test_an_entry_whose_place_is_no_ipv4_address_is_left_out(place: str) -> None:
    # Guards against noise within an address, in a line that can be read all the same: the node would look the name up.
    text = line([entry(0), {**entry(2, "in_service"), "hostPort": place}])
    assert [server.name for server, _ in parse(text)[2]] == ["s0"]
    assert told(claims_of(text[:-2] + b" ")) == {"s0": "draining", "s2": "unreadable"}


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
def test_an_object_may_come_indented_and_in_any_pieces(
    lists: list[tuple[int, int | str, int]], cuts: list[int], end: str
) -> None:
    text = b""
    wanted: list[dict[str, object] | None] = []
    for size, indent, beats in lists:
        data = {
            "generation": len(wanted),
            "reset": False,
            "instances": [entry(n) for n in range(size)],
            "note": '} ], {" \\',
        }
        if indent == "as the page has it":
            rows = json.dumps(data).replace(": [{", ": [\n  {").replace("}, {", "},\n  {")
        else:
            rows = json.dumps(data, indent=indent or None)
        text += (rows + "\n" + "\n" * beats).replace("\n", end).encode()
        wanted += [data, *[None] * beats]
    lines, parser, at = [], Lines(), 0
    for cut in [*cuts, len(text)]:
        lines += parser.receive(text[at : at + cut])
        at += cut
    assert [json.loads(one) if one else None for one in lines] == wanted
    assert not parser.unfinished


@pytest.mark.parametrize("behind", [b"\n", line([entry(5)])], ids=["heartbeat", "list"])
@pytest.mark.parametrize("cut", [1, 20, 80, 200, 400])
def test_an_indented_object_that_breaks_off_swallows_nothing(behind: bytes, cut: int) -> None:
    # What comes next is read as ever, and of the broken one each entry that stands whole is still found.
    text = json.dumps(json.loads(TEXT), indent=2).encode()
    broken = text[: text.rindex(b"\n", 0, cut + 2)] if b"\n" in text[: cut + 2] else text[:cut]
    lines = Lines().receive(broken + b"\n" + behind)
    assert lines[-1] == behind.strip() and len(lines) == 2
    with pytest.raises(BadList):
        parse(lines[0])


def test_an_indented_object_without_end_is_bounded() -> None:
    parser = Lines()
    parser.receive(b'{"generation": 1, "instances": [\n')
    with pytest.raises(BadList):
        for _ in range(2 * MAX_LINE // 20_000):
            parser.receive(b'  {"instanceId": "s1"},\n' * 1_000)
