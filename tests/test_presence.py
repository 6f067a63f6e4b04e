"""Time in which the node's loop was held up: it counts against no peer, and against the time of requests that stood unread."""

from __future__ import annotations

import asyncio
import json
import socket
import time

import pytest
from loopback import CacheBox, Rig, default_answer, entry, request, rig, run_async, status, until

from corkshift import presence
from corkshift.presence import LATE_MS, PERIOD_MS, UNREAD_MS, Presence
from corkshift.seam import now_ms


def hold(seconds: float) -> None:
    """Hold the loop up, as a long callback or a small share of a core does."""
    time.sleep(seconds)


def test_a_loop_that_runs_is_present() -> None:
    async def test() -> None:
        seen = Presence()
        assert seen.unread_ms() == 0.0 and seen.lag_ms() == 0.0  # before it is started
        seen.start()
        before, began = seen.present_ms(), now_ms()
        await asyncio.sleep(0.3)
        assert abs(seen.present_ms() - before - (now_ms() - began)) < LATE_MS
        assert sum(seen.holds) == 0 and seen.unread_ms() < UNREAD_MS and not seen.stale(began)
        seen.close()

    run_async(test)


def test_a_hold_is_no_present_time_and_may_have_left_input_unread() -> None:
    async def test() -> None:
        seen = Presence()
        seen.start()
        await asyncio.sleep(0.12)
        looked_ms, before = now_ms(), seen.present_ms()
        hold(0.6)
        assert seen.lag_ms() > 600.0 - PERIOD_MS - LATE_MS and seen.stale(looked_ms)
        assert 600.0 <= seen.unread_ms() < 600.0 + 3.0 * PERIOD_MS
        assert seen.present_ms() - before <= PERIOD_MS + LATE_MS
        await asyncio.sleep(0.0)
        assert (
            seen.unread_ms() >= 600.0
        )  # the loop has turned once, and may not have read everything
        await asyncio.sleep(0.4)
        assert seen.unread_ms() < UNREAD_MS and seen.holds[-2] == 1 and seen.longest_ms > 500.0
        assert seen.stale(looked_ms) and not seen.stale(now_ms())
        seen.close()

    run_async(test)


def test_a_timeout_in_present_time_outlasts_a_hold_and_no_more() -> None:
    async def test() -> None:
        seen = Presence()
        seen.start()
        began = now_ms()
        with pytest.raises(TimeoutError):
            async with seen.timeout(0.3):
                await asyncio.sleep(0.05)
                hold(0.5)
                await asyncio.sleep(10.0)
        assert 700.0 <= now_ms() - began < 1_000.0
        async with seen.timeout(0.3):
            hold(0.5)
            await asyncio.sleep(0.05)  # present for 0.1 s of the 0.3
        async with seen.timeout(None):
            await asyncio.sleep(0.01)
        called: list[float] = []
        timer = seen.call_later(0.05, lambda: called.append(now_ms()))
        seen.call_later(0.05, lambda: called.append(now_ms()))
        timer.cancel()
        await asyncio.sleep(0.2)
        assert len(called) == 1
        seen.close()

    run_async(test)


def sent(made: Rig, data: bytes) -> socket.socket:
    """A plain client that has sent these bytes; the kernel takes the connection whether or not the loop runs."""
    sock = socket.create_connection(("127.0.0.1", made.port))
    sock.sendall(data)
    sock.setblocking(False)
    return sock


async def answered(sock: socket.socket) -> int:
    answer = await asyncio.get_running_loop().sock_recv(sock, 65_536)
    sock.close()
    return status(answer)


def write_drain(made: Rig, name: str) -> None:
    """Discovery writes that a server drains, in this moment, to every watch."""
    line = (
        json.dumps(
            {
                "generation": 9,
                "reset": False,
                "instances": [entry(name, made.boxes[name].port, "terminating")],
            }
        ).encode()
        + b"\n"
    )
    for connection in made.registry.watches:
        assert connection.stream.write_now(b"%x\r\n%b\r\n" % (len(line), line)) > len(line)


def test_the_time_that_a_request_stood_unread_is_taken_from_its_budget() -> None:
    # Incident of issue 48: such requests got a whole deadline from when they were read, and were forwarded after their clients had gone.
    async def test() -> None:
        box = CacheBox(default_answer)
        async with rig({"s0": box}) as made:
            made.loop_lag.start()
            assert status(await made.ask("first")) == 200
            await asyncio.sleep(0.15)
            asked = [
                sent(made, request(f"held{budget}", within_ms=budget)) for budget in (400, 5_000)
            ]
            before = len(box.heads)
            hold(0.7)
            assert await asyncio.gather(*map(answered, asked)) == [503, 200]
            assert (
                made.metrics.refusals["late"] + made.metrics.refusals["behind"] == 1
                and len(box.heads) == before + 1
            )
            told = int(box.heads[-1].partition(b"X-Remaining-Ms: ")[2].split(b"\r\n")[0])
            assert 3_500 < told <= 5_000 - 690
            made.loop_lag.close()

    run_async(test)


@pytest.mark.parametrize("hold_s", [0.2, 0.4])
def test_a_drain_that_stands_unread_goes_before_the_requests_that_stand_beside_it(
    hold_s: float,
) -> None:
    # Incident of issue 48: requests went to draining servers whose drain had been written while the node was held up. Its grace counts
    # from when it was written.
    async def test() -> None:
        boxes = {f"s{n}": CacheBox(default_answer) for n in range(2)}
        async with rig(boxes) as made:
            made.loop_lag.start()
            for n in range(20):
                assert status(await made.ask(f"warm{n}", path=f"/api/{n}")) == 200
            await asyncio.sleep(0.2)
            before = len(boxes["s0"].heads)
            assert before and boxes["s1"].heads
            asked = [sent(made, request(f"held{n}", path=f"/api/{n}")) for n in range(20)]
            write_drain(made, "s0")
            written_ms = now_ms()
            hold(hold_s)
            assert set(await asyncio.gather(*map(answered, asked))) == {200}
            leaving_ms = made.node.servers["s0"].leaving_ms
            assert leaving_ms is not None and leaving_ms <= written_ms
            assert len(boxes["s0"].heads) == before
            made.loop_lag.close()

    run_async(test)


def test_an_attempt_lets_what_discovery_wrote_be_read_first_and_is_asked_about_after_that() -> None:
    async def test() -> None:
        box = CacheBox(default_answer)
        async with rig({"s0": box}) as made:
            looks = 0

            def unread() -> bool:
                nonlocal looks
                looks += 1
                if (
                    looks == 1
                ):  # what stands unread is a drain that was written long ago; it is read in the next turn
                    asyncio.get_running_loop().call_soon(
                        setattr, made.node.servers["s0"], "leaving_ms", now_ms() - 1_000.0
                    )
                return looks == 1

            made.node.list_unread = unread
            assert status(await made.ask("held")) == 503
            assert looks > 1 and not box.heads

    run_async(test)


def test_only_after_a_hold_is_discovery_looked_at_once_more() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox(default_answer)}) as made:
            made.loop_lag.start()
            await asyncio.sleep(0.2)
            write_drain(made, "s0")
            assert not made.discovery.unread()  # the loop is there to read it
            hold(0.3)
            assert made.discovery.unread()
            await until(lambda: made.node.servers["s0"].leaving_ms is not None)
            await asyncio.sleep(0.2)
            assert not made.discovery.unread()
            made.loop_lag.close()

    run_async(test)


def test_a_node_that_turns_too_slowly_refuses_what_it_could_only_fail() -> None:
    async def test() -> None:
        box = CacheBox(default_answer)
        async with rig({"s0": box}) as made:
            made.loop_lag.turn_ms = 100.0
            assert status(await made.ask("short", within_ms=400)) == 503
            assert status(await made.ask("long", within_ms=5_000)) == 200
            assert made.metrics.refusals["behind"] == 1 and len(box.heads) == 1

    run_async(test)


def test_a_server_is_not_judged_by_the_time_that_the_node_was_held_up() -> None:
    async def test() -> None:
        box = CacheBox(default_answer)
        async with rig({"s0": box}) as made:
            made.loop_lag.start()
            await asyncio.sleep(0.1)
            asked = asyncio.create_task(made.ask("held"))
            while not made.node._running:
                await asyncio.sleep(0.0)
            attempt = next(iter(made.node._running.values()))
            hold(0.6)
            assert attempt.elapsed_ms < 200.0
            assert status(await asked) == 200
            made.loop_lag.close()

    run_async(test)


def test_holds_are_logged_at_a_bounded_rate(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(presence, "LOG_MS", 60_000.0)

    async def test() -> None:
        seen = Presence()
        seen.start()
        for _ in range(3):
            await asyncio.sleep(0.06)
            hold(0.25)
        await asyncio.sleep(0.1)
        seen.close()

    with caplog.at_level("INFO"):
        run_async(test)
    assert sum("held up for up to" in record.message for record in caplog.records) == 1
