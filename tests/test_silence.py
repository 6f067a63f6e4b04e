"""Cache servers that say nothing or turn bad, over loopback sockets: what is asked once more, and who is put out or spared."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Optional

import pytest
from loopback import OPTIONS, CacheBox, Rig, default_answer, rig, run_async, status, until

from corkshift.seam import now_ms
from forkweir.adapter import settings_of
from forkweir.choice import HEDGE_LEAST, HEDGE_MOST, Balancer
from forkweir.fleet import Member


def silent_once() -> Callable[[bytes], Optional[bytes]]:
    """Leaves the first request without an answer, whichever server gets it."""
    heads: list[bytes] = []

    def script(head: bytes) -> Optional[bytes]:
        heads.append(head)
        return default_answer(head) if len(heads) > 1 else None

    return script


def member(made: Rig, name: str) -> Member:
    return made.node._balancer.fleet.members[name]


def out(made: Rig, name: str) -> int:
    """How many times a server was put out, for silence or for how it did, since it last answered well."""
    return member(made, name).strikes + member(made, name).record.row


def settled(made: Rig) -> None:
    """As after many quick answers: what is out for long stands out early."""
    made.node._balancer.usual = HEDGE_LEAST


def asked(made: Rig) -> int:
    return sum(len(box.heads) for box in made.boxes.values())


@pytest.mark.parametrize(("lane", "method"), [("brisk", "GET"), ("pay", "PUT")])
def test_what_may_be_repeated_is_asked_once_more_before_its_time_is_up(
    lane: str, method: str
) -> None:
    # Guards against an attempt that waits for its whole time on a connection gone silent.
    async def test() -> None:
        script = silent_once()
        async with rig({"s0": CacheBox(script), "s1": CacheBox(script)}) as made:
            settled(made)
            answer = await made.ask(
                "a", "Idempotency-Key: k\r\nContent-Length: 0\r\n", class_name=lane, method=method
            )
            assert status(answer) == 200 and asked(made) == 2
            # The one that has not answered is given up, and nothing of it stays.
            await until(lambda: not made.node._attempts and not made.node._balancer.held)
            await until(lambda: sum(box.open_connections for box in made.boxes.values()) == 1)

    run_async(test)


def test_what_may_not_be_repeated_is_asked_once() -> None:
    # Guards against one effect twice.
    async def test() -> None:
        script = silent_once()
        async with rig({"s0": CacheBox(script), "s1": CacheBox(script)}) as made:
            settled(made)
            assert (
                status(
                    await made.ask("a", "Content-Length: 0\r\n", class_name="once", method="PUT")
                )
                == 502
            )
            assert asked(made) == 1

    run_async(test)


def test_a_server_gone_silent_is_put_out_and_tried_with_one_request_at_a_time() -> None:
    # Guards against a server that hangs while the list names it, whose keys all wait for their whole time.
    async def test() -> None:
        mute = [True]
        boxes = {
            "s0": CacheBox(lambda head: None if mute[0] else default_answer(head)),
            **{f"s{n}": CacheBox() for n in range(1, 6)},
        }
        async with rig(boxes) as made:
            settled(made)
            n = 0
            while not out(made, "s0"):
                keys = range(n, n + 24)
                answers = await asyncio.gather(
                    *(made.ask(f"a{k}", path=f"/api/{k}", class_name="brisk") for k in keys)
                )
                assert {status(answer) for answer in answers} <= {200, 503}
                n += 24
            assert len(boxes["s0"].heads) >= 2 and not any(out(made, f"s{k}") for k in range(1, 6))
            # When its time is up it gets one of many requests, and all of them are served.
            before = len(boxes["s0"].heads)
            until_ms = member(made, "s0").out_until
            await until(lambda: now_ms() > until_ms)
            answers = await asyncio.gather(
                *(made.ask(f"b{k}", path=f"/api/{k}", class_name="brisk") for k in range(24))
            )
            assert {status(answer) for answer in answers} == {200}
            assert len(boxes["s0"].heads) == before + 1 and out(made, "s0") == 2
            # Once it answers, it is in use again.
            mute[0] = False
            n = 0
            while out(made, "s0"):
                n += 1
                await made.ask(f"c{n}", path=f"/api/{n}", class_name="brisk")
                await asyncio.sleep(0.01)
            assert member(made, "s0").out_until == 0.0

    run_async(test)


def test_a_server_that_turns_bad_does_not_live_on_its_good_name() -> None:
    # Guards against keys that go on to a server in trouble for as long as its many good answers before are remembered.
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

            usual = [await batch(f"good{n}-") for n in range(10)][-1]
            bad[0] = True
            for n in range(3):
                await batch(f"bad{n}-")
            # Found to be bad it is out until its time is up; without that it gets more than before, as some are asked again.
            until_ms = member(made, "s0").out_until
            await until(lambda: now_ms() > until_ms)
            assert 0 < await batch("late") < usual

    run_async(test)


def test_the_time_after_which_more_is_asked_follows_what_is_usual() -> None:
    # Guards against second requests for a good part of all, when everything has become slow.
    balancer = Balancer(settings_of(OPTIONS), 1)
    balancer.usual = 0.5
    for n in range(400):
        balancer._learn(n % 10 == 0)
    assert balancer.usual > HEDGE_MOST
    for n in range(1_200):
        balancer._learn(n % 100 == 0)
    assert balancer.usual < HEDGE_LEAST
