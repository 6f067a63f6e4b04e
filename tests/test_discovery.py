"""What discovery tells, over loopback sockets: servers and addresses that change places, and entries of no use."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from loopback import CacheBox, entry, rig, run_async, status, until

from corkshift import discovery
from forkweir.choice import Balancer
from forkweir.fleet import HOLD_MS
from forkweir.settings import Server, Settings


def test_an_id_that_moves_is_asked_at_its_new_address_alone() -> None:
    async def test() -> None:
        old, new = CacheBox(), CacheBox()
        async with rig({"s0": old}) as made:
            assert status(await made.ask("before")) == 200
            new.listen()
            made.registry.publish([entry("s0", new.port)])
            await until(lambda: made.node.servers["s0"].address[1] == new.port)
            assert status(await made.ask("after")) == 200
            assert len(old.heads) == 1 and len(new.heads) == 1
            await until(lambda: old.open_connections == 0)  # what rested there is closed

    run_async(test)


def test_an_address_that_goes_to_another_id_is_no_longer_the_old_ones() -> None:
    # Guards against a gone server's keys, before its end is told, falling on the cold one at its address.
    async def test() -> None:
        box = CacheBox()
        async with rig({"s0": box}) as made:
            made.registry.publish([entry("s1", box.port)])
            await until(lambda: "s1" in made.node.servers)
            assert list(made.node.servers) == ["s1"]
            members = made.node._balancer.fleet.members
            assert members["s1"].present and not members["s0"].present
            made.registry.publish([entry("s1", box.port), entry("s2", box.port, "terminating")])
            await until(lambda: "s2" in made.node.servers)
            assert "s1" in made.node.servers  # one that leaves takes nobody's place
            assert status(await made.ask("a")) == 200

    run_async(test)


def test_an_entry_of_no_use_does_not_cost_the_rest_of_the_list() -> None:
    async def test() -> None:
        box, fresh = CacheBox(), CacheBox()
        async with rig({"s0": box}) as made:
            fresh.listen()
            entries: list[Any] = [
                {"instanceId": "bad", "hostPort": "nowhere", "lifecycle": "in_service"},
                {"instanceId": 7, "hostPort": "127.0.0.1:1", "lifecycle": "in_service"},
                {"instanceId": "odd", "hostPort": "127.0.0.1:1", "lifecycle": "asleep"},
                "noise",
                {
                    "instanceId": "s1",
                    "hostPort": f"127.0.0.1:{fresh.port}",
                    "lifecycle": "in_service",
                },
            ]
            entries[-1].update({"startedAtMs": 9e15, "weight": 1e300})
            text = (
                json.dumps({"generation": 2, "reset": False, "instances": entries}).encode() + b"\n"
            )
            made.registry.publish_raw(text)
            await until(lambda: "s1" in made.node.servers)
            assert sorted(made.node.servers) == ["s0", "s1"]
            assert len(made.registry.asked) == 1
            info = made.node._balancer.fleet.members["s1"].info
            assert info.weight <= 1000.0 and info.started_ms < 9e15

    run_async(test)


def test_a_draining_server_that_a_whole_list_leaves_out_is_forgotten() -> None:
    # Guards against the module keeping one member for each server that ever drained.
    balancer = Balancer(Settings(), seed=1)
    balancer.on_list(0.0, "full", [Server("s0"), Server("s1")])
    balancer.on_list(1.0, "changes", [Server("s1", state="draining")])
    balancer.on_list(2.0, "full", [Server("s0")])
    balancer.on_list(HOLD_MS + 3.0, "full", [Server("s0")])
    assert list(balancer.fleet.members) == ["s0"]


@pytest.mark.parametrize(
    ("turn_s", "calls"), [(0.05, 1), (0.15, 2), (0.25, 3), (0.35, 4), (0.75, 8)]
)
def test_a_busy_service_is_not_hung_up_on_before_its_turn(
    monkeypatch: pytest.MonkeyPatch, turn_s: float, calls: int
) -> None:
    # Guards against a fleet whose nodes all hang up on one overbooked service, ask anew, and are never told anything. Further calls go
    # beside the first, at most MOST_CALLS at once, and the first answer ends the others.
    monkeypatch.setattr(discovery, "BESIDE_S", 0.1)
    monkeypatch.setattr(discovery, "CALL_S", 0.1 * discovery.MOST_CALLS)
    hung_up = 0
    open_now = most_open = begun = 0

    class Told:
        def __init__(self) -> None:
            self.servers: dict[str, Any] = {}
            self.forms: list[str] = []

        def on_list(self, form: str, entries: list[Server]) -> None:
            self.forms.append(form)

    async def turn(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal hung_up, open_now, most_open, begun
        await reader.readuntil(b"\r\n\r\n")
        begun += 1
        open_now += 1
        most_open = max(most_open, open_now)
        end = asyncio.create_task(reader.read())
        await asyncio.wait([end], timeout=turn_s)  # the others' turns
        if end.done():
            hung_up += 1
        else:
            line = (
                json.dumps({"generation": 1, "reset": True, "instances": [entry("s0", 1)]}).encode()
                + b"\n"
            )
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n"
                % (len(line), line)
            )
            await end
        open_now -= 1
        writer.close()

    async def test() -> None:
        service = await asyncio.start_server(turn, "127.0.0.1", 0)
        told = Told()
        asking = discovery.Discovery(told, None, service.sockets[0].getsockname()[:2])  # type: ignore[arg-type]
        asking.follow()
        if turn_s < discovery.CALL_S:
            await until(lambda: "full" in told.forms)
            assert told.forms == ["full"]  # no call failed, none was hung up on before its turn
            await until(lambda: open_now == 1)
            assert len(asking._calls) == 1 and not asking._fading and begun <= calls
        else:
            # A turn that takes longer than MOST_CALLS calls wait: the oldest is given up for a further one, and none is added beyond.
            await until(lambda: begun >= calls)
            assert told.forms == [] and hung_up >= calls - discovery.MOST_CALLS - 1
        assert (
            most_open <= discovery.MOST_CALLS + 1
        )  # the one given up may be seen to end a moment later
        for task in asking._calls.values():
            task.cancel()

    run_async(test)


def test_a_list_that_comes_indented_is_read_as_one() -> None:
    # Over several rows, as the protocol's page shows it and as printers of JSON write it; in one piece or row by row.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            calls = len(made.registry.asked)
            for n, together in enumerate((True, True, False)):
                one = json.dumps(entry(f"x{n}", 1000 + n))
                text = (
                    json.dumps(
                        {"generation": 2 + n, "reset": False, "instances": [json.loads(one)]},
                        indent=2 if n else None,
                    )
                    + "\n"
                )
                if not n:
                    text = text.replace("[{", "[\n  {")
                rows = [text] if together else text.splitlines(keepends=True)
                for row in rows:
                    made.registry.publish_raw(row.encode())
                    await asyncio.sleep(0)
                await until(lambda: f"x{n}" in made.node.servers)  # noqa: B023
            assert len(made.registry.asked) == calls  # nothing was lost, and nobody asked anew
            last = {
                "generation": 9,
                "reset": False,
                "instances": [entry("x1", 1001, "terminating")],
            }
            made.registry.publish_raw(json.dumps(last, indent=1).encode() + b"\n")
            await until(lambda: made.node.servers["x1"].leaving_ms is not None)

    run_async(test)
