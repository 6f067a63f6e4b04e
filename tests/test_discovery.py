"""The discovery client on loopback sockets: moved servers, reused addresses, malformed entries."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from loopback import CacheBox, entry, rig, run_async, status, until

from corkshift import discovery
from forkweir.choice import Balancer
from forkweir.fleet import DEPARTED_HOLD_MS
from forkweir.settings import Server, Settings


def test_an_id_that_moves_is_used_only_at_its_new_address() -> None:
    async def test() -> None:
        old, new = CacheBox(), CacheBox()
        async with rig({"s0": old}) as made:
            assert status(await made.ask("before")) == 200
            new.listen()
            made.discovery_server.publish([entry("s0", new.port)])
            await until(lambda: made.node.servers["s0"].address[1] == new.port)
            assert status(await made.ask("after")) == 200
            assert len(old.heads) == 1 and len(new.heads) == 1
            await until(lambda: old.open_connections == 0)  # the idle connection there is closed

    run_async(test)


def test_an_address_reused_by_another_id_no_longer_belongs_to_the_old_one() -> None:
    # Guards against keys of a removed server, whose end is not notified yet, going to the cold
    # server at its address.
    async def test() -> None:
        box = CacheBox()
        async with rig({"s0": box}) as made:
            made.discovery_server.publish([entry("s1", box.port)])
            await until(lambda: "s1" in made.node.servers)
            assert list(made.node.servers) == ["s1"]
            members = made.node._balancer.fleet.members
            assert members["s1"].present and not members["s0"].present
            made.discovery_server.publish(
                [entry("s1", box.port), entry("s2", box.port, "terminating")]
            )
            await until(lambda: "s2" in made.node.servers)
            assert "s1" in made.node.servers  # a draining server replaces none at its address
            assert status(await made.ask("a")) == 200

    run_async(test)


def test_a_malformed_entry_does_not_discard_the_rest_of_the_list() -> None:
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
            made.discovery_server.publish_raw(text)
            await until(lambda: "s1" in made.node.servers)
            assert sorted(made.node.servers) == ["s0", "s1"]
            assert len(made.discovery_server.requested_targets) == 1
            info = made.node._balancer.fleet.members["s1"].info
            assert info.weight <= 1000.0 and info.started_ms < 9e15

    run_async(test)


def test_a_draining_server_missing_from_a_full_list_is_removed() -> None:
    # Guards against the fleet keeping one member for each server that ever drained.
    balancer = Balancer(Settings(), seed=1)
    balancer.on_list(0.0, "full", [Server("s0"), Server("s1")])
    balancer.on_list(1.0, "changes", [Server("s1", state="draining")])
    balancer.on_list(2.0, "full", [Server("s0")])
    balancer.on_list(DEPARTED_HOLD_MS + 3.0, "full", [Server("s0")])
    assert list(balancer.fleet.members) == ["s0"]


@pytest.mark.parametrize(
    ("answer_delay_s", "calls"), [(0.05, 1), (0.15, 2), (0.25, 3), (0.35, 4), (0.75, 8)]
)
def test_calls_to_a_slow_service_are_not_closed_early(
    monkeypatch: pytest.MonkeyPatch, answer_delay_s: float, calls: int
) -> None:
    # Guards against a fleet whose nodes all close their calls to one overloaded service, call again
    # and never get an answer. Further calls are made in parallel to the first, at most
    # MAX_PENDING_CALLS at once, and the first answer ends the others.
    monkeypatch.setattr(discovery, "PARALLEL_CALL_DELAY_S", 0.1)
    monkeypatch.setattr(discovery, "CALL_TIMEOUT_S", 0.1 * discovery.MAX_PENDING_CALLS)
    closed_early = 0
    open_now = max_open = calls_made = 0

    class RecordingNode:
        def __init__(self) -> None:
            self.servers: dict[str, Any] = {}
            self.forms: list[str] = []

        def on_list(self, form: str, entries: list[Server]) -> None:
            self.forms.append(form)

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal closed_early, open_now, max_open, calls_made
        await reader.readuntil(b"\r\n\r\n")
        calls_made += 1
        open_now += 1
        max_open = max(max_open, open_now)
        end = asyncio.create_task(reader.read())
        await asyncio.wait([end], timeout=answer_delay_s)  # while other nodes are answered
        if end.done():
            closed_early += 1
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
        service = await asyncio.start_server(answer, "127.0.0.1", 0)
        node = RecordingNode()
        client = discovery.Discovery(
            node,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            service.sockets[0].getsockname()[:2],
        )
        client.follow()
        if answer_delay_s < discovery.CALL_TIMEOUT_S:
            await until(lambda: "full" in node.forms)
            assert node.forms == ["full"]  # no call failed, none was closed before its answer
            await until(lambda: open_now == 1)
            assert len(client._calls) == 1 and not client._retiring and calls_made <= calls
        else:
            # The answer takes longer than MAX_PENDING_CALLS calls wait: a further call replaces the
            # oldest, and the number of open calls does not grow.
            await until(lambda: calls_made >= calls)
            assert node.forms == [] and closed_early >= calls - discovery.MAX_PENDING_CALLS - 1
        # The server may see the end of the cancelled call a moment later.
        assert max_open <= discovery.MAX_PENDING_CALLS + 1
        for task in client._calls.values():
            task.cancel()

    run_async(test)


def test_an_indented_list_is_read_as_one_line() -> None:
    # Over several rows, as in the protocol's description and as JSON tools print it; in one piece
    # or row by row.
    async def test() -> None:
        async with rig({"s0": CacheBox()}) as made:
            calls = len(made.discovery_server.requested_targets)
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
                    made.discovery_server.publish_raw(row.encode())
                    await asyncio.sleep(0)
                await until(lambda: f"x{n}" in made.node.servers)  # noqa: B023
            assert (
                len(made.discovery_server.requested_targets) == calls
            )  # nothing was lost, and no new call was made
            last = {
                "generation": 9,
                "reset": False,
                "instances": [entry("x1", 1001, "terminating")],
            }
            made.discovery_server.publish_raw(json.dumps(last, indent=1).encode() + b"\n")
            await until(lambda: made.node.servers["x1"].leaving_ms is not None)

    run_async(test)
