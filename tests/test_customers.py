"""Settings of other deployments: no class, value or limit of accra-orders may be built in.

The sites of `deploy/sites/` pass through the program's own settings; the effect of single settings
is then tested with real connections.
"""

from __future__ import annotations

import asyncio
import os
import tomllib
from pathlib import Path
from typing import Any

import orjson
import pytest
from loopback import (
    OPTIONS,
    CacheBox,
    ScriptedDiscovery,
    entry,
    options_of,
    request,
    rig,
    run_async,
    send_to,
    status,
    until,
)

from corkshift.config import Config, config_of, load
from corkshift.metrics import Metrics
from corkshift.node import Node
from corkshift.service import Service
from corkshift.upstream import IDLE_TIMEOUT_SHARE, Pool
from forkweir import Balancer
from forkweir.adapter import settings_of
from forkweir.limits.lifecycle import ShutdownSchedule
from testbed.systems.ports import reserve_port

ROOT = Path(__file__).parent.parent
SITES = sorted((ROOT / "deploy" / "sites").glob("*/*.toml"))
ACCRA = (
    "menu-read",
    "cart-update",
    "order-place",
    "osu",
    "kaneshie",
    "madina",
    "tema",
    "five-core",
    "seven-core",
    "menu-cache",
    "accra",
)


def lowest(value: Any) -> float:
    """Return a value of a site file, or the lower end of its range."""
    return float(value[0] if isinstance(value, list) else value)


def node_settings(site: dict[str, Any]) -> dict[str, Any]:
    """Return `settings` as a node of a site gets them, at the lower ends of the site's ranges."""
    allow, tier, rules = site["allow"], site["tier"][0], site["rules"]
    return {
        "services": [
            {
                "name": c["name"],
                "promiseMs": c["aim_ms"],
                "deadlineMs": c["deadline_ms"],
                "worth": c["worth"],
                "lateValue": c["late_worth"],
                "idempotency": c["effect"],
                "group": c.get("group", "all"),
                "windowMs": c.get("window_ms", 5000),
            }
            for c in site["class"]
        ],
        "discovery": {"ask": "subscribe", "push": "automatic"}[site["discovery"]["mode"]],
        "granularityMs": site["day"]["tick_ms"],
        "zone": site["net"]["zones"][0],
        "zones": site["net"]["zones"],
        "projects": [
            {"name": t["name"], "share": t["share"], "quotaRps": 50.0}
            for t in site.get("tenant", [])
        ],
        "contract": {
            "stopSendingWithinMs": rules["drain_grace_ms"],
            "fallMultiple": rules["fall_multiple"],
            "overloadForMs": rules["fall_ms"],
            "coldFrom": lowest(tier["kind"][0]["cold_from"]),
            "coldMs": 1000.0 * lowest(tier["kind"][0]["cold_s"]),
            "mustAskInMs": 10_000.0,
        },
        "allowed": {
            "mostTries": allow["max_attempts"],
            "mayCancel": allow["cancel"],
            "probes": allow["probes"],
            "peers": allow["peers"],
            "parallelTries": allow["second_copies"],
            "retryAfter": allow["retry_after"],
            "maxOpen": allow["max_open"],
            "maxRetryAfterMs": site["clients"]["max_retry_after_ms"],
            "connIdleMs": 1000.0 * tier["conn"]["idle_s"],
            "dialTimeoutMs": tier["conn"]["connect_timeout_ms"],
        },
    }


def configured(settings: dict[str, Any], **more: Any) -> Config:
    return config_of(
        {
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:2",
            "seed": "1",
            "settings": settings,
            **more,
        },
        {},
    )


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_the_settings_of_a_site_take_effect_as_stated(path: Path) -> None:
    site = tomllib.loads(path.read_text())
    options = node_settings(site)
    config = configured(options, limits={"cores": 1.0, "memory_mb": 90, "sockets": 300})
    settings, allowed, classes = (
        config.settings,
        options["allowed"],
        {c["name"]: c for c in options["services"]},
    )
    # The classes with all their values.
    assert {spec.name for spec in settings.classes} == set(classes) and len(classes) == len(
        settings.classes
    ) >= 3
    for spec in settings.classes:
        c = classes[spec.name]
        assert (spec.aim_ms, spec.deadline_ms, spec.value) == (
            c["promiseMs"],
            c["deadlineMs"],
            c["worth"],
        )
        assert (spec.repeat, spec.group, spec.repeat_window_ms) == (
            c["idempotency"],
            c["group"],
            c["windowMs"],
        )
        assert spec.late_value == c["lateValue"]
    # The limits.
    assert (settings.max_attempts, settings.may_cancel, settings.parallel_attempts) == (
        allowed["mostTries"],
        allowed["mayCancel"],
        allowed["parallelTries"],
    )
    assert (
        settings.poll_list == (options["discovery"] == "subscribe")
        and settings.poll_within_ms == 10_000.0
    )
    assert (settings.cold_ms, settings.cold_start_capacity) == (
        options["contract"]["coldMs"],
        options["contract"]["coldFrom"],
    )
    assert (
        settings.fall_multiple == options["contract"]["fallMultiple"]
        and settings.zone == options["zones"][0]
    )
    assert settings.backoff_max_ms == allowed["maxRetryAfterMs"]
    assert (config.max_open, config.dial_timeout_ms, config.conn_idle_ms) == (
        allowed["maxOpen"],
        allowed["dialTimeoutMs"],
        allowed["connIdleMs"],
    )
    assert config.drain_grace_ms == options["contract"]["stopSendingWithinMs"] and (
        config.sockets,
        config.memory_mb,
    ) == (300, 90)
    # The values derived from them.
    figures = Metrics(classes)
    pool = Pool(64, config.dial_timeout_ms, config.conn_idle_ms, figures)
    node = Node(config, pool, 64)
    longest = max(c["deadlineMs"] for c in classes.values())
    assert all(node.has_class(name) for name in classes) and not any(
        node.has_class(name) for name in ACCRA
    )
    assert (
        pool._dial_s == allowed["dialTimeoutMs"] / 1000.0
        and pool._idle_ms == IDLE_TIMEOUT_SHARE * allowed["connIdleMs"]
    )
    assert node._id_memory_ms > longest
    assert set(node._windows) == {
        name for name, c in classes.items() if c["idempotency"] == "keyed"
    }
    schedule = ShutdownSchedule(longest)
    assert (
        schedule.accept_ms < schedule.answer_ms < schedule.exit_ms < min(longest, 3_000.0) + 700.0
    )
    assert schedule.accept_ms + longest < schedule.answer_ms or longest > 3_000.0


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_the_values_of_a_site_differ_from_those_of_accra(path: Path) -> None:
    # A value that both deployments share would prove nothing.
    site = tomllib.loads(path.read_text())
    assert not set(ACCRA) & {
        site["name"],
        *site["net"]["zones"],
        *(c["name"] for c in site["class"]),
    }
    assert not {2_500, 2_000} & {c["deadline_ms"] for c in site["class"]} and not {
        750,
        800,
        1_200,
    } & {c["aim_ms"] for c in site["class"]}
    assert (
        site["rules"]["drain_grace_ms"] != 250
        and site["rules"]["fall_multiple"] != 4
        and site["allow"]["max_attempts"] != 3
    )
    conn = site["tier"][0]["conn"]
    assert (
        conn["idle_s"] != 30
        and conn["connect_timeout_ms"] != 250
        and "unsafe" in {c["effect"] for c in site["class"]}
    )


def test_the_program_and_its_deploy_file_contain_no_name_of_a_deployment() -> None:
    names = [*ACCRA]
    for path in SITES:
        site = tomllib.loads(path.read_text())
        names += [
            site["name"],
            *site["net"]["zones"],
            *(c["name"] for c in site["class"]),
            *(t["name"] for t in site.get("tenant", [])),
        ]
    files = [
        *(ROOT / "forkweir").rglob("*.py"),
        *(ROOT / "corkshift").rglob("*.py"),
        ROOT / "deploy" / "balancer.toml",
    ]
    # Whole words only: "tema" is a part of "systematic". The demo is a small deployment of its own.
    found = [
        (path.name, name)
        for path in files
        if path.name != "demo.py"
        for name in names
        if name in path.read_text().replace('"', " ").replace("'", " ").replace(",", " ").split()
    ]
    assert found == []


def test_a_value_of_zero_is_not_taken_for_an_absent_one() -> None:
    # A value of 0 must not be taken for an absent one.
    options = {
        **OPTIONS,
        "contract": {"stopSendingWithinMs": 0, "mustAskInMs": 0, "coldFrom": 0.0},
        "allowed": {"connIdleMs": 0},
    }
    config = configured(options)
    assert (
        config.drain_grace_ms,
        config.conn_idle_ms,
        config.settings.poll_within_ms,
        config.settings.cold_start_capacity,
    ) == (0.0, 0.0, 0.0, 0.0)
    plain = configured({**OPTIONS, "contract": {}, "allowed": {}})
    assert (plain.drain_grace_ms, plain.conn_idle_ms, plain.settings.poll_within_ms) == (
        250.0,
        15_000.0,
        10_000.0,
    )
    # A polling interval of 0 must not cause polling in a busy loop.
    balancer = Balancer(config.settings, 1)
    for _ in range(8):
        ((name, _, due),) = balancer.on_list(0.0, "failed", [])  # type: ignore[misc]
        assert name == "timer" and float(due) >= 20.0


def test_a_hedge_is_sent_only_where_the_site_allows_it() -> None:
    async def test(allowed: bool, copies: int) -> None:
        options = options_of(allowed={"parallelTries": allowed})
        async with rig(
            {"s0": CacheBox(lambda head: None), "s1": CacheBox(lambda head: None)}, options=options
        ) as made:
            balancer = made.node._balancer
            response_task = asyncio.create_task(made.ask("a", class_name="brisk"))
            await until(lambda: sum(len(box.heads) for box in made.boxes.values()) == 1)
            balancer.hedge_share, balancer.hedge_queue[:] = 0.5, [(0.0, 1)]
            made.node._on_timer(3)  # the attempt has been running for long
            assert len(made.node._running) == copies
            response_task.cancel()

    run_async(lambda: test(False, 1))
    run_async(lambda: test(True, 2))


def push_service(discovery_server: ScriptedDiscovery, known: list[dict[str, object]]) -> Service:
    options = {**OPTIONS, "discovery": "automatic"}
    return Service(
        config_of(
            {
                "listen": f"127.0.0.1:{reserve_port()}",
                "discovery": f"127.0.0.1:{discovery_server.port}",
                "seed": "1",
                "known": {"generation": 1, "reset": True, "instances": known},
                "settings": options,
            },
            {},
        )
    )


def test_pushed_lists_are_applied_before_the_node_serves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A node must not go on with the list that it started with and miss a drain.
    monkeypatch.setattr("forkweir.limits.readiness.AGENT_WAIT_MS", 30_000.0)

    async def test() -> None:
        boxes = {"s0": CacheBox(), "s1": CacheBox()}
        for box in boxes.values():
            box.listen()
        discovery_server = ScriptedDiscovery(boxes)
        discovery_server.start()
        known = [entry(name, box.port) for name, box in boxes.items()]
        # The list that the node starts with does not have this change.
        discovery_server.entries["s0"] = entry("s0", boxes["s0"].port, "terminating")
        discovery_server.silent = True
        service = push_service(discovery_server, known)
        running = asyncio.create_task(service.run())
        await until(lambda: bool(discovery_server.requested_targets))
        assert not service.frontend.started
        discovery_server.silent = False
        await until(lambda: service.frontend.started)
        for n in range(8):
            answer = await send_to(
                service.frontend.address, request(f"a{n}", "Connection: close\r\n", f"/api/{n}")
            )
            assert status(answer) == 200
        assert boxes["s0"].heads == [] and len(boxes["s1"].heads) == 8
        # A later change.
        discovery_server.update(entry("s0", boxes["s0"].port))
        discovery_server.update(entry("s1", boxes["s1"].port), "terminating")
        await until(lambda: service.node.servers["s1"].leaving_ms is not None)
        assert (
            status(await send_to(service.frontend.address, request("b", "Connection: close\r\n")))
            == 200
        )
        assert len(boxes["s0"].heads) == 1
        # A watch that ends is opened again at once: the agent may have changes to send.
        call_count = len(discovery_server.requested_targets)
        discovery_server.drop_watches()
        await until(lambda: len(discovery_server.requested_targets) > call_count)
        service.stop()
        await running
        await discovery_server.stop()
        for box in boxes.values():
            box.close()

    run_async(test)


def test_a_failed_call_to_an_agent_is_repeated_at_once_and_then_after_a_delay() -> None:
    balancer = Balancer(settings_of({**OPTIONS, "discovery": "automatic"}), 1)
    assert balancer.on_list(1_000.0, "failed", []) == [("timer", 1, 1_000.0)]
    assert balancer.on_list(1_001.0, "failed", []) == [("timer", 1, 1_041.0)]
    assert balancer.on_list(1_100.0, "lost", []) == [("timer", 1, 1_100.0)]


def test_a_node_that_is_stopped_before_it_serves_exits_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("forkweir.limits.readiness.AGENT_WAIT_MS", 30_000.0)

    async def test() -> None:
        discovery_server = ScriptedDiscovery({})
        discovery_server.start()
        discovery_server.silent = True
        service = push_service(discovery_server, [])
        running = asyncio.create_task(service.run())
        await until(lambda: bool(discovery_server.requested_targets))
        service.reload()  # a SIGHUP before the node is ready makes no difference
        service.stop()
        await running
        assert not service.frontend.started
        discovery_server.silent = False
        await discovery_server.stop()

    run_async(test)


def test_an_unresponsive_agent_does_not_prevent_a_node_from_serving(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("forkweir.limits.readiness.AGENT_WAIT_MS", 50.0)

    async def test() -> None:
        box = CacheBox()
        box.listen()
        discovery_server = ScriptedDiscovery({"s0": box})
        discovery_server.start()
        discovery_server.silent = True
        service = push_service(discovery_server, [entry("s0", box.port)])
        running = asyncio.create_task(service.run())
        await until(lambda: service.frontend.started)
        assert (
            status(await send_to(service.frontend.address, request("a", "Connection: close\r\n")))
            == 200
        )
        discovery_server.silent = False
        service.stop()
        await running
        await discovery_server.stop()
        box.close()

    run_async(test)


def test_requests_open_at_a_planned_shutdown_are_answered_before_exit() -> None:
    # With deadlines of 20 s, SIGKILL comes long before: connections must not close without a
    # response.
    async def test() -> None:
        schedule = ShutdownSchedule(1_000.0)
        schedule.accept_ms, schedule.answer_ms, schedule.exit_ms = 20.0, 100.0, 25_000.0
        async with rig({"s0": CacheBox(lambda head: None)}, shutdown_schedule=schedule) as made:
            response_task = asyncio.create_task(made.send(request("a")))
            await until(lambda: bool(made.boxes["s0"].heads))
            await made.frontend.shut_down()
            assert status(await response_task) == 504

    run_async(test)


def test_the_id_of_an_open_request_is_rejected_however_long_it_is_open() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox(lambda head: None)}) as made:
            response_task = asyncio.create_task(made.send(request("a")))
            await until(lambda: bool(made.boxes["s0"].heads))
            made.node._recent_ids[b"a"] -= 60_000.0  # as if forgotten, by age or by number
            assert status(await made.ask("a")) == 409
            response_task.cancel()

    run_async(test)


def test_settings_load_without_any_of_the_optional_fields() -> None:
    assert (
        settings_of({}).parallel_attempts
        and settings_of({"services": [{"name": "x"}]}).classes[0].repeat == "unsafe"
    )


def test_a_configuration_that_changed_before_signals_are_handled_takes_effect(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        old, new = ScriptedDiscovery({}), ScriptedDiscovery({})
        for discovery_server in (old, new):
            discovery_server.start()
        path = tmp_path / "config.json"
        text = {"listen": f"127.0.0.1:{reserve_port()}", "seed": "1", "settings": OPTIONS}
        monkeypatch.setenv("PROXY_CONFIG", str(path))
        path.write_bytes(orjson.dumps({**text, "discovery": f"127.0.0.1:{old.port}"}))
        service = Service(load(os.environ))
        # The SIGHUP for this change came before the node handled signals.
        path.write_bytes(orjson.dumps({**text, "discovery": f"127.0.0.1:{new.port}"}))
        running = asyncio.create_task(service.run())
        await until(lambda: bool(new.requested_targets))
        assert old.requested_targets == []
        service.stop()
        await running
        for discovery_server in (old, new):
            await discovery_server.stop()

    run_async(test)
