"""Unresponsive and failing cache servers on loopback sockets: hedged requests and ejections."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Optional

import pytest
from loopback import OPTIONS, CacheBox, Rig, default_answer, rig, run_async, status, until

from corkshift.seam import now_ms
from forkweir.adapter import settings_of
from forkweir.choice import HEDGE_MAX, HEDGE_MIN, Balancer
from forkweir.fleet import Member


def unresponsive_once() -> Callable[[bytes], Optional[bytes]]:
    """A script that leaves the first request unanswered, whichever server gets it."""
    heads: list[bytes] = []

    def script(head: bytes) -> Optional[bytes]:
        heads.append(head)
        return default_answer(head) if len(heads) > 1 else None

    return script


def member(made: Rig, name: str) -> Member:
    return made.node._balancer.fleet.members[name]


def ejections(made: Rig, name: str) -> int:
    """How often a server was ejected, for silence or for errors, since its last good answer."""
    return member(made, name).ejections + member(made, name).suspicion.detections


def use_low_hedge_threshold(made: Rig) -> None:
    """Set the hedge delay as after many quick answers, so that slow requests are hedged early."""
    made.node._balancer.hedge_share = HEDGE_MIN


def received_requests(made: Rig) -> int:
    return sum(len(box.heads) for box in made.boxes.values())


@pytest.mark.parametrize(("class_name", "method"), [("brisk", "GET"), ("pay", "PUT")])
def test_a_retryable_request_is_hedged_before_its_timeout(class_name: str, method: str) -> None:
    # Guards against an attempt that waits for its whole deadline on an unresponsive connection.
    async def test() -> None:
        script = unresponsive_once()
        async with rig({"s0": CacheBox(script), "s1": CacheBox(script)}) as made:
            use_low_hedge_threshold(made)
            answer = await made.ask(
                "a",
                "Idempotency-Key: k\r\nContent-Length: 0\r\n",
                class_name=class_name,
                method=method,
            )
            assert status(answer) == 200 and received_requests(made) == 2
            # The unanswered attempt is cancelled and leaves no state behind.
            await until(lambda: not made.node._attempts and not made.node._balancer.held)
            await until(lambda: sum(box.open_connections for box in made.boxes.values()) == 1)

    run_async(test)


def test_an_unsafe_request_is_sent_once() -> None:
    # Guards against executing one request twice.
    async def test() -> None:
        script = unresponsive_once()
        async with rig({"s0": CacheBox(script), "s1": CacheBox(script)}) as made:
            use_low_hedge_threshold(made)
            assert (
                status(
                    await made.ask("a", "Content-Length: 0\r\n", class_name="once", method="PUT")
                )
                == 502
            )
            assert received_requests(made) == 1

    run_async(test)


def test_an_unresponsive_server_is_ejected_and_probed_with_one_request_at_a_time() -> None:
    # Guards against a listed server that hangs, so that requests for its keys wait for their whole
    # deadline.
    async def test() -> None:
        mute = [True]
        boxes = {
            "s0": CacheBox(lambda head: None if mute[0] else default_answer(head)),
            **{f"s{n}": CacheBox() for n in range(1, 6)},
        }
        async with rig(boxes) as made:
            use_low_hedge_threshold(made)
            n = 0
            while not ejections(made, "s0"):
                keys = range(n, n + 24)
                answers = await asyncio.gather(
                    *(made.ask(f"a{k}", path=f"/api/{k}", class_name="brisk") for k in keys)
                )
                assert {status(answer) for answer in answers} <= {200, 503}
                n += 24
            assert len(boxes["s0"].heads) >= 2 and not any(
                ejections(made, f"s{k}") for k in range(1, 6)
            )
            # When its ejection ends it gets one of many requests, and all of them are served.
            before = len(boxes["s0"].heads)
            until_ms = member(made, "s0").ejected_until
            await until(lambda: now_ms() > until_ms)
            answers = await asyncio.gather(
                *(made.ask(f"b{k}", path=f"/api/{k}", class_name="brisk") for k in range(24))
            )
            assert {status(answer) for answer in answers} == {200}
            assert len(boxes["s0"].heads) == before + 1 and ejections(made, "s0") == 2
            # Once it answers, it is back in use.
            mute[0] = False
            n = 0
            while ejections(made, "s0"):
                n += 1
                await made.ask(f"c{n}", path=f"/api/{n}", class_name="brisk")
                await asyncio.sleep(0.01)
            assert member(made, "s0").ejected_until == 0.0

    run_async(test)


def test_a_failing_server_is_ejected_despite_its_good_history() -> None:
    # Guards against keys that still go to a failing server for as long as its earlier good answers
    # count.
    async def test() -> None:
        bad, count = [False], itertools.count()
        boxes = {
            "s0": CacheBox(
                lambda head: None if bad[0] and next(count) % 3 else default_answer(head)
            ),
            **{f"s{n}": CacheBox() for n in range(1, 6)},
        }
        async with rig(boxes, 512) as made:

            async def batch(name: str) -> int:
                before = len(boxes["s0"].heads)
                await asyncio.gather(
                    *(
                        made.ask(f"{name}{k}", path=f"/api/{k}", class_name="brisk")
                        for k in range(120)
                    )
                )
                return len(boxes["s0"].heads) - before

            typical = [await batch(f"good{n}-") for n in range(10)][-1]
            bad[0] = True
            for n in range(3):
                await batch(f"bad{n}-")
            # It is out until its ejection ends; otherwise it would get more requests than before,
            # as some are hedged.
            until_ms = member(made, "s0").ejected_until
            await until(lambda: now_ms() > until_ms)
            assert 0 < await batch("late") < typical

    run_async(test)


def test_the_hedge_delay_follows_the_typical_latency() -> None:
    # Guards against hedging a large share of all requests when every server has become slow.
    balancer = Balancer(settings_of(OPTIONS), 1)
    balancer.hedge_share = 0.5
    for n in range(400):
        balancer._learn_hedge_share(n % 10 == 0)
    assert balancer.hedge_share > HEDGE_MAX
    for n in range(1_200):
        balancer._learn_hedge_share(n % 100 == 0)
    assert balancer.hedge_share < HEDGE_MIN
