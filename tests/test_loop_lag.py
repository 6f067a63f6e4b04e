"""Stalls of the event loop: their time does not count against peers, but does against the deadlines
of requests that were unread meanwhile.
"""

from __future__ import annotations

import asyncio
import json
import socket
import time

import pytest
from loopback import CacheBox, Rig, default_answer, entry, request, rig, run_async, status, until

from corkshift import loop_lag
from corkshift.loop_lag import MIN_UNREAD_MS, PERIOD_MS, STALL_THRESHOLD_MS, LoopLagMonitor
from corkshift.seam import now_ms


def stall(seconds: float) -> None:
    """Block the loop, as a long callback or a small share of a core does."""
    time.sleep(seconds)


def test_a_running_loop_has_no_lag() -> None:
    async def test() -> None:
        monitor = LoopLagMonitor()
        assert monitor.unread_ms() == 0.0 and monitor.lag_ms() == 0.0  # before it is started
        monitor.start()
        before, began = monitor.active_ms(), now_ms()
        await asyncio.sleep(0.3)
        assert abs(monitor.active_ms() - before - (now_ms() - began)) < STALL_THRESHOLD_MS
        assert (
            sum(monitor.stall_counts) == 0
            and monitor.unread_ms() < MIN_UNREAD_MS
            and not monitor.stalled_since(began)
        )
        monitor.close()

    run_async(test)


def test_a_stall_is_not_active_time_and_may_leave_input_unread() -> None:
    async def test() -> None:
        monitor = LoopLagMonitor()
        monitor.start()
        await asyncio.sleep(0.12)
        looked_ms, before = now_ms(), monitor.active_ms()
        stall(0.6)
        assert monitor.lag_ms() > 600.0 - PERIOD_MS - STALL_THRESHOLD_MS and monitor.stalled_since(
            looked_ms
        )
        assert 600.0 <= monitor.unread_ms() < 600.0 + 3.0 * PERIOD_MS
        assert monitor.active_ms() - before <= PERIOD_MS + STALL_THRESHOLD_MS
        await asyncio.sleep(0.0)
        assert monitor.unread_ms() >= 600.0  # one loop iteration may not have read everything
        await asyncio.sleep(0.4)
        assert (
            monitor.unread_ms() < MIN_UNREAD_MS
            and monitor.stall_counts[-2] == 1
            and monitor.longest_stall_ms > 500.0
        )
        assert monitor.stalled_since(looked_ms) and not monitor.stalled_since(now_ms())
        monitor.close()

    run_async(test)


def test_an_active_timeout_is_extended_by_a_stall_only() -> None:
    async def test() -> None:
        monitor = LoopLagMonitor()
        monitor.start()
        began = now_ms()
        with pytest.raises(TimeoutError):
            async with monitor.timeout(0.3):
                await asyncio.sleep(0.05)
                stall(0.5)
                await asyncio.sleep(10.0)
        assert 700.0 <= now_ms() - began < 1_000.0
        async with monitor.timeout(0.3):
            stall(0.5)
            await asyncio.sleep(0.05)  # 0.1 s of the 0.3 s are active time
        async with monitor.timeout(None):
            await asyncio.sleep(0.01)
        called: list[float] = []
        timer = monitor.call_later(0.05, lambda: called.append(now_ms()))
        monitor.call_later(0.05, lambda: called.append(now_ms()))
        timer.cancel()
        await asyncio.sleep(0.2)
        assert len(called) == 1
        monitor.close()

    run_async(test)


def open_client(made: Rig, data: bytes) -> socket.socket:
    """A plain client that has sent these bytes; the kernel accepts it without the loop."""
    sock = socket.create_connection(("127.0.0.1", made.port))
    sock.sendall(data)
    sock.setblocking(False)
    return sock


async def read_status(sock: socket.socket) -> int:
    answer = await asyncio.get_running_loop().sock_recv(sock, 65_536)
    sock.close()
    return status(answer)


def write_drain(made: Rig, name: str) -> None:
    """Have discovery write a server's drain to every watch at once."""
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
    for connection in made.discovery_server.watches:
        assert connection.stream.write_now(b"%x\r\n%b\r\n" % (len(line), line)) > len(line)


def test_the_time_a_request_was_unread_is_deducted_from_its_budget() -> None:
    # Incident of issue 48: the deadline of such requests counted from when they were read, so they
    # were forwarded after their clients had left.
    async def test() -> None:
        box = CacheBox(default_answer)
        async with rig({"s0": box}) as made:
            made.loop_lag.start()
            assert status(await made.ask("first")) == 200
            await asyncio.sleep(0.15)
            clients = [
                open_client(made, request(f"held{budget}", within_ms=budget))
                for budget in (400, 5_000)
            ]
            before = len(box.heads)
            stall(0.7)
            assert await asyncio.gather(*map(read_status, clients)) == [503, 200]
            assert (
                made.metrics.refusals["late"] + made.metrics.refusals["behind"] == 1
                and len(box.heads) == before + 1
            )
            remaining_ms = int(box.heads[-1].partition(b"X-Remaining-Ms: ")[2].split(b"\r\n")[0])
            assert 3_500 < remaining_ms <= 5_000 - 690
            made.loop_lag.close()

    run_async(test)


@pytest.mark.parametrize("stall_s", [0.2, 0.4])
def test_an_unread_drain_is_applied_before_unread_requests(
    stall_s: float,
) -> None:
    # Incident of issue 48: requests went to servers whose drain was written while the node was
    # stalled. The grace period of a drain counts from when it was written.
    async def test() -> None:
        boxes = {f"s{n}": CacheBox(default_answer) for n in range(2)}
        async with rig(boxes) as made:
            made.loop_lag.start()
            for n in range(20):
                assert status(await made.ask(f"warm{n}", path=f"/api/{n}")) == 200
            await asyncio.sleep(0.2)
            before = len(boxes["s0"].heads)
            assert before and boxes["s1"].heads
            clients = [open_client(made, request(f"held{n}", path=f"/api/{n}")) for n in range(20)]
            write_drain(made, "s0")
            written_ms = now_ms()
            stall(stall_s)
            assert set(await asyncio.gather(*map(read_status, clients))) == {200}
            leaving_ms = made.node.servers["s0"].leaving_ms
            assert leaving_ms is not None and leaving_ms <= written_ms
            assert len(boxes["s0"].heads) == before
            made.loop_lag.close()

    run_async(test)


def test_an_attempt_waits_for_unread_list_changes_and_is_then_checked_again() -> None:
    async def test() -> None:
        box = CacheBox(default_answer)
        async with rig({"s0": box}) as made:
            checks = 0

            def unread() -> bool:
                nonlocal checks
                checks += 1
                # The unread input is a drain that was written long ago, read in the next iteration.
                if checks == 1:
                    asyncio.get_running_loop().call_soon(
                        setattr, made.node.servers["s0"], "leaving_ms", now_ms() - 1_000.0
                    )
                return checks == 1

            made.node.list_unread = unread
            assert status(await made.ask("held")) == 503
            assert checks > 1 and not box.heads

    run_async(test)


def test_discovery_input_is_checked_only_after_a_stall() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox(default_answer)}) as made:
            made.loop_lag.start()
            await asyncio.sleep(0.2)
            write_drain(made, "s0")
            assert not made.discovery.has_unread_input()  # the running loop will read it
            stall(0.3)
            assert made.discovery.has_unread_input()
            await until(lambda: made.node.servers["s0"].leaving_ms is not None)
            await asyncio.sleep(0.2)
            assert not made.discovery.has_unread_input()
            made.loop_lag.close()

    run_async(test)


def test_a_node_whose_loop_is_too_slow_refuses_requests_it_would_fail() -> None:
    async def test() -> None:
        box = CacheBox(default_answer)
        async with rig({"s0": box}) as made:
            made.loop_lag.smoothed_lag_ms = 100.0
            assert status(await made.ask("short", within_ms=400)) == 503
            assert status(await made.ask("long", within_ms=5_000)) == 200
            assert made.metrics.refusals["behind"] == 1 and len(box.heads) == 1

    run_async(test)


def test_a_stall_of_the_node_does_not_count_against_a_server() -> None:
    async def test() -> None:
        box = CacheBox(default_answer)
        async with rig({"s0": box}) as made:
            made.loop_lag.start()
            await asyncio.sleep(0.1)
            response_task = asyncio.create_task(made.ask("held"))
            while not made.node._running:
                await asyncio.sleep(0.0)
            attempt = next(iter(made.node._running.values()))
            stall(0.6)
            assert attempt.elapsed_ms < 200.0
            assert status(await response_task) == 200
            made.loop_lag.close()

    run_async(test)


def test_stalls_are_logged_at_a_bounded_rate(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(loop_lag, "LOG_INTERVAL_MS", 60_000.0)

    async def test() -> None:
        monitor = LoopLagMonitor()
        monitor.start()
        for _ in range(3):
            await asyncio.sleep(0.06)
            stall(0.25)
        await asyncio.sleep(0.1)
        monitor.close()

    with caplog.at_level("INFO"):
        run_async(test)
    assert sum("held up for up to" in record.message for record in caplog.records) == 1


def test_a_request_whose_deadline_passes_in_a_stall_ends_by_a_decision_not_by_the_backstop(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox(lambda head: None)}) as made:
            waiting = asyncio.create_task(made.ask("x1", within_ms=300))
            await until(lambda: bool(made.boxes["s0"].heads))
            stall(0.4)
            assert status(await waiting) in (502, 503, 504)
            assert made.metrics.backstop_answers == 0
            assert "had no answer by its deadline" not in caplog.text

    run_async(test)
