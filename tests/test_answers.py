"""Cache servers that misbehave, over loopback sockets: spoilt, over-long and overfull answers."""

from __future__ import annotations

import asyncio

import pytest
from loopback import CacheBox, good, path_of, play, rig, status, until, whole

from corkshift.seam import now_ms
from corkshift.upstream import REST_MS

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
SPOILT = {
    "noise": bytes(range(128, 256)) * 3,
    "a status that is no number": b"HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nevil",
    "a line that is no header": b"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\nevil",
    "a head without end": b"HTTP/1.1 200 OK\r\n" + b"X-Filler: aaaaaaaaaaaaaaaaaaaa\r\n" * 2000,
    "a negative length": b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nevil",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nevil!",
    "a length and chunks": CHUNKED + b"Content-Length: 4\r\n\r\n4\r\nevil\r\n0\r\n\r\n",
    "a chunk that can't be read": CHUNKED + b"\r\nzz\r\nevil\r\n",
    # Guards against an answer that keeps coming: it is given up at its head, or once it is longer than any may be.
    "three gigabytes": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 100_000,
    "chunks that turn to noise": CHUNKED
    + b"\r\n"
    + (b"4000\r\n" + b"x" * 0x4000 + b"\r\n") * 3
    + b"zz\r\n",
    "chunks of one byte": CHUNKED + b"\r\n" + b"1\r\nx\r\n" * 3000 + b"0\r\n\r\n",
    "1xx without end": b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100,
}
SURPLUS = {
    "1xx ahead": b"HTTP/1.1 103 Early Hints\r\n\r\n" + whole(b"fine"),
    "a second copy behind": whole(b"fine") * 2,
    "noise behind": whole(b"fine") + bytes(range(256)),
    "a load report that can't be read": whole(b"fine", b"X-Pressure: TEXT \xff\xfe==,;;q=nan\r\n"),
}


@pytest.mark.parametrize("name", SPOILT)
def test_a_spoilt_answer_is_a_failed_attempt_and_its_server_stays_in_use(name: str) -> None:
    async def test() -> None:
        # Guards against spoilt bytes in an answer, and against a good server put out of use for one of them.
        spoil = iter([SPOILT[name]])
        box = CacheBox(lambda head: next(spoil, None) or good(head))
        async with rig({"s0": box}) as made:
            assert (await made.ask("a", path="/api/one")).endswith(b"for /api/one")
            assert len(box.heads) == 2
            member = made.node._balancer.fleet.members["s0"]
            assert not (member.strikes or member.out_until or member.cold_since_ms)
            assert (await made.ask("b", path="/api/two")).endswith(b"for /api/two")

    play(test)


def test_a_spoilt_answer_to_a_request_that_may_not_be_repeated_ends_it() -> None:
    # A spoilt answer may have run (guards against one effect twice, and against a refusal, which promises that it has not).
    async def test() -> None:
        box = CacheBox(lambda head: SPOILT["noise"])
        async with rig({"s0": box, "s1": CacheBox(lambda head: SPOILT["noise"])}) as made:
            answer = await made.ask(
                "a", "Content-Length: 2\r\n", lane="order", method="PUT", body=b"hi"
            )
            assert status(answer) == 502
            assert sum(len(each.heads) for each in made.boxes.values()) == 1

    play(test)


def test_a_server_that_speaks_nothing_but_noise_is_put_out_of_use() -> None:
    async def test() -> None:
        box = CacheBox(lambda head: SPOILT["noise"])
        async with rig({"s0": box}) as made:
            for n in range(3):
                assert status(await made.ask(f"a{n}")) == 503
            assert made.node._balancer.fleet.members["s0"].strikes > 0

    play(test)


@pytest.mark.parametrize("name", SURPLUS)
def test_what_comes_beside_a_good_answer_does_not_spoil_it_or_the_next_one(name: str) -> None:
    async def test() -> None:
        # Guards against surplus bytes taken for the answer to the next request on that connection.
        box = CacheBox(lambda head: good(head) if b"/next" in path_of(head) else SURPLUS[name])
        async with rig({"s0": box}) as made:
            assert (await made.ask("a")).endswith(b"fine")
            assert (await made.ask("b", path="/next")).endswith(b"for /next")
            assert made.node._balancer.fleet.members["s0"].faults == 0 and len(box.heads) == 2

    play(test)


def test_no_connection_to_a_server_is_left_after_spoilt_answers() -> None:
    async def test() -> None:
        spoil = iter(list(SPOILT.values()))
        box = CacheBox(lambda head: next(spoil, None) or good(head))
        async with rig({"s0": box}) as made:
            for n in range(2 * len(SPOILT)):
                await made.ask(f"a{n}")
            await until(lambda: not made.node._attempts)
            made.pool.close()
            assert made.pool.open == 0
            await until(lambda: box.open == 0)

    play(test)


def test_an_answer_that_stops_part_way_is_given_up_in_time() -> None:
    # Guards against a request held for an answer that never ends: the client's own time bounds it.
    async def test() -> None:
        box = CacheBox(lambda head: b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
        async with rig({"s0": box}) as made:
            asked = asyncio.create_task(made.ask("a"))
            await until(lambda: len(box.heads) == 1)
            asked.cancel()
            await until(lambda: not made.node._attempts and not made.frontend._connections)
            assert made.pool.open == 0 and not made.node._balancer.held

    play(test)


def test_a_connection_rests_before_it_is_used_again() -> None:
    # Guards against a second copy that comes just behind an answer, on a connection that already waits for the next one.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            server, pool = made.node.servers["s0"], made.pool
            first = await pool.connect(server)
            pool.keep(server, first)
            server.idle[:] = [(now_ms() + 60_000.0, first)]  # as if it had only just come to rest
            assert await pool.connect(server) is not first
            server.idle[:] = [(now_ms() - REST_MS, first)]
            assert await pool.connect(server) is first

    play(test)


def test_connections_that_break_now_and_then_do_not_put_a_good_server_out() -> None:
    # Guards against a live server ejected, and then taken for a cold one, for resets that the network or a proxy makes.
    async def test() -> None:
        turn = 0

        def script(head: bytes) -> bytes | None:
            nonlocal turn
            turn += 1
            if turn % 3 == 0:
                raise ConnectionResetError  # the box closes this connection with no answer
            return good(head)

        box = CacheBox(script)
        async with rig({"s0": box}) as made:
            member = made.node._balancer.fleet.members["s0"]
            for n in range(30):
                answer = await made.ask(f"a{n}", path=f"/api/{n}")
                assert answer.endswith(b"for /api/%d" % n)
                assert not (member.strikes or member.out_until or member.cold_since_ms)
            assert turn > 40

    play(test)
