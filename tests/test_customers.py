"""Settings of other customers: no class, figure or limit of accra-orders is in force where they say otherwise.

The two sites of `deploy/sites/` go through the program's own settings; what each of the settings means is then shown with real connections.
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
    Registry,
    entry,
    options_of,
    play,
    request,
    rig,
    send_to,
    status,
    until,
)
from test_process import free_port

from corkshift.config import Config, config_of, load
from corkshift.figures import Figures
from corkshift.node import Node
from corkshift.service import Service
from corkshift.upstream import IDLE_SHARE, Pool
from forkweir import Balancer
from forkweir.adapter import settings_of
from forkweir.limits.duty import Leave

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


def least(value: Any) -> float:
    """A figure of a site file, or the lower end of its range."""
    return float(value[0] if isinstance(value, list) else value)


def told(site: dict[str, Any]) -> dict[str, Any]:
    """What a node of a site is told at its start (`settings` of its configuration), drawn at the lower ends of the site's ranges."""
    allow, tier, rules = site["allow"], site["tier"][0], site["rules"]
    return {
        "services": [
            {
                "name": c["name"], "promiseMs": c["aim_ms"], "deadlineMs": c["deadline_ms"], "worth": c["worth"],
                "lateValue": c["late_worth"], "idempotency": c["effect"], "group": c.get("group", "all"),
                "windowMs": c.get("window_ms", 5000),
            }
            for c in site["class"]
        ],
        "discovery": {"ask": "subscribe", "push": "automatic"}[site["discovery"]["mode"]],
        "granularityMs": site["day"]["tick_ms"],
        "zone": site["net"]["zones"][0],
        "zones": site["net"]["zones"],
        "projects": [{"name": t["name"], "share": t["share"], "quotaRps": 50.0} for t in site.get("tenant", [])],
        "contract": {
            "stopSendingWithinMs": rules["drain_grace_ms"], "fallMultiple": rules["fall_multiple"], "overloadForMs": rules["fall_ms"],
            "coldFrom": least(tier["kind"][0]["cold_from"]), "coldMs": 1000.0 * least(tier["kind"][0]["cold_s"]), "mustAskInMs": 10_000.0,
        },
        "allowed": {
            "mostTries": allow["max_attempts"], "mayCancel": allow["cancel"], "probes": allow["probes"], "peers": allow["peers"],
            "parallelTries": allow["second_copies"], "retryAfter": allow["retry_after"], "maxOpen": allow["max_open"],
            "maxRetryAfterMs": site["clients"]["max_retry_after_ms"], "connIdleMs": 1000.0 * tier["conn"]["idle_s"],
            "dialTimeoutMs": tier["conn"]["connect_timeout_ms"],
        },
    }  # fmt: skip


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
def test_a_site_is_in_force_as_it_is_stated(path: Path) -> None:
    site = tomllib.loads(path.read_text())
    options = told(site)
    config = configured(options, limits={"cores": 1.0, "memory_mb": 90, "sockets": 300})
    settings, allowed, classes = (
        config.settings,
        options["allowed"],
        {c["name"]: c for c in options["services"]},
    )
    # The classes, each figure of them.
    assert {spec.name for spec in settings.classes} == set(classes) and len(classes) == len(
        settings.classes
    ) >= 3
    for spec in settings.classes:
        c = classes[spec.name]
        assert (spec.aim_ms, spec.deadline_ms, spec.worth) == (
            c["promiseMs"],
            c["deadlineMs"],
            c["worth"],
        )
        assert (spec.repeat, spec.group, spec.repeat_window_ms) == (
            c["idempotency"],
            c["group"],
            c["windowMs"],
        )
        assert spec.late_worth == c["lateValue"]
    # The limits.
    assert (settings.max_attempts, settings.may_cancel, settings.second_copies) == (
        allowed["mostTries"], allowed["mayCancel"], allowed["parallelTries"],
    )  # fmt: skip
    assert (
        settings.asked == (options["discovery"] == "subscribe")
        and settings.ask_within_ms == 10_000.0
    )
    assert (settings.cold_ms, settings.cold_from) == (
        options["contract"]["coldMs"],
        options["contract"]["coldFrom"],
    )
    assert (
        settings.fall_multiple == options["contract"]["fallMultiple"]
        and settings.zone == options["zones"][0]
    )
    assert settings.backoff_max_ms == allowed["maxRetryAfterMs"]
    assert (config.max_open, config.dial_timeout_ms, config.conn_idle_ms) == (
        allowed["maxOpen"], allowed["dialTimeoutMs"], allowed["connIdleMs"],
    )  # fmt: skip
    assert config.drain_grace_ms == options["contract"]["stopSendingWithinMs"] and (
        config.sockets,
        config.memory_mb,
    ) == (300, 90)
    # And what is made of them.
    figures = Figures(classes)
    pool = Pool(64, config.dial_timeout_ms, config.conn_idle_ms, figures)
    node = Node(config, pool, 64)
    longest = max(c["deadlineMs"] for c in classes.values())
    assert all(node.knows(name) for name in classes) and not any(node.knows(name) for name in ACCRA)
    assert (
        pool._dial_s == allowed["dialTimeoutMs"] / 1000.0
        and pool._idle_ms == IDLE_SHARE * allowed["connIdleMs"]
    )
    assert node._id_memory_ms > longest
    assert set(node._windows) == {
        name for name, c in classes.items() if c["idempotency"] == "keyed"
    }
    leave = Leave(longest)
    assert leave.take < leave.answer < leave.exit < min(longest, 3_000.0) + 700.0
    assert leave.take + longest < leave.answer or longest > 3_000.0


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_a_site_is_far_from_accra(path: Path) -> None:
    # A figure that both have alike would show nothing.
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


def test_no_name_of_a_deployment_stands_in_the_program_or_its_deploy_file() -> None:
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
    # Whole words: "tema" is no part of "systematic". The demo is a small installation of its own.
    found = [
        (path.name, name)
        for path in files
        if path.name != "demo.py"
        for name in names
        if name in path.read_text().replace('"', " ").replace("'", " ").replace(",", " ").split()
    ]
    assert found == []


def test_what_is_stated_as_nothing_is_nothing() -> None:
    # Guards against a figure of 0 that is taken for one that is absent.
    options = {
        **OPTIONS,
        "contract": {"stopSendingWithinMs": 0, "mustAskInMs": 0, "coldFrom": 0.0},
        "allowed": {"connIdleMs": 0},
    }
    config = configured(options)
    assert (
        config.drain_grace_ms,
        config.conn_idle_ms,
        config.settings.ask_within_ms,
        config.settings.cold_from,
    ) == (0.0, 0.0, 0.0, 0.0)
    plain = configured({**OPTIONS, "contract": {}, "allowed": {}})
    assert (plain.drain_grace_ms, plain.conn_idle_ms, plain.settings.ask_within_ms) == (
        250.0,
        15_000.0,
        10_000.0,
    )
    # Asking within no time is no reason to ask without end.
    balancer = Balancer(config.settings, 1)
    for _ in range(8):
        ((name, _, due),) = balancer.on_list(0.0, "failed", [])  # type: ignore[misc]
        assert name == "timer" and float(due) >= 20.0


def test_a_second_copy_is_sent_only_where_the_site_allows_it() -> None:
    async def test(allowed: bool, copies: int) -> None:
        options = options_of(allowed={"parallelTries": allowed})
        async with rig(
            {"s0": CacheBox(lambda head: None), "s1": CacheBox(lambda head: None)}, options=options
        ) as made:
            balancer = made.node._balancer
            asking = asyncio.create_task(made.ask("a", lane="brisk"))
            await until(lambda: sum(len(box.heads) for box in made.boxes.values()) == 1)
            balancer.usual, balancer.waits[:] = 0.5, [(0.0, 1)]
            made.node._due(3)  # it has been out for long
            assert len(made.node._running) == copies
            asking.cancel()

    play(lambda: test(False, 1))
    play(lambda: test(True, 2))


def pushed(registry: Registry, known: list[dict[str, object]]) -> Service:
    options = {**OPTIONS, "discovery": "automatic"}
    return Service(
        config_of(
            {
                "listen": f"127.0.0.1:{free_port()}",
                "discovery": f"127.0.0.1:{registry.port}",
                "seed": "1",
                "known": {"generation": 1, "reset": True, "instances": known},
                "settings": options,
            },
            {},
        )
    )


def test_where_lists_are_pushed_they_are_followed_from_the_first_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a node that serves by the list as it last was and never hears of a drain.
    monkeypatch.setattr("corkshift.service.FIRST_LIST_TIMEOUT_S", 30.0)

    async def test() -> None:
        boxes = {"s0": CacheBox(), "s1": CacheBox()}
        for box in boxes.values():
            box.listen()
        registry = Registry(boxes)
        registry.start()
        known = [entry(name, box.port) for name, box in boxes.items()]
        registry.entries["s0"] = entry(
            "s0", boxes["s0"].port, "terminating"
        )  # which the node's list does not know
        registry.silent = True
        service = pushed(registry, known)
        running = asyncio.create_task(service.run())
        await until(lambda: bool(registry.asked))
        assert not service.frontend.started
        registry.silent = False
        await until(lambda: service.frontend.started)
        for n in range(8):
            answer = await send_to(
                service.frontend.address, request(f"a{n}", "Connection: close\r\n", f"/api/{n}")
            )
            assert status(answer) == 200
        assert boxes["s0"].heads == [] and len(boxes["s1"].heads) == 8
        # And a change later on.
        registry.change(entry("s0", boxes["s0"].port))
        registry.change(entry("s1", boxes["s1"].port), "terminating")
        await until(lambda: service.node.servers["s1"].leaving_ms is not None)
        assert (
            status(await send_to(service.frontend.address, request("b", "Connection: close\r\n")))
            == 200
        )
        assert len(boxes["s0"].heads) == 1
        # A watch that ends is opened anew at once: what the agent has counts as told meanwhile.
        calls = len(registry.asked)
        registry.drop()
        await until(lambda: len(registry.asked) > calls)
        service.stop()
        await running
        await registry.stop()
        for box in boxes.values():
            box.close()

    play(test)


def test_an_agent_is_called_again_at_once_but_not_without_end() -> None:
    balancer = Balancer(settings_of({**OPTIONS, "discovery": "automatic"}), 1)
    assert balancer.on_list(1_000.0, "failed", []) == [("timer", 1, 1_000.0)]
    assert balancer.on_list(1_001.0, "failed", []) == [("timer", 1, 1_041.0)]
    assert balancer.on_list(1_100.0, "lost", []) == [("timer", 1, 1_100.0)]


def test_a_node_told_to_end_before_it_serves_ends_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("corkshift.service.FIRST_LIST_TIMEOUT_S", 30.0)

    async def test() -> None:
        registry = Registry({})
        registry.start()
        registry.silent = True
        service = pushed(registry, [])
        running = asyncio.create_task(service.run())
        await until(lambda: bool(registry.asked))
        service.reload()  # a SIGHUP before it is ready changes nothing of that
        service.stop()
        await running
        assert not service.frontend.started
        registry.silent = False
        await registry.stop()

    play(test)


def test_an_agent_that_is_silent_does_not_keep_a_node_from_serving(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("corkshift.service.FIRST_LIST_TIMEOUT_S", 0.05)

    async def test() -> None:
        box = CacheBox()
        box.listen()
        registry = Registry({"s0": box})
        registry.start()
        registry.silent = True
        service = pushed(registry, [entry("s0", box.port)])
        running = asyncio.create_task(service.run())
        await until(lambda: service.frontend.started)
        assert (
            status(await send_to(service.frontend.address, request("a", "Connection: close\r\n")))
            == 200
        )
        registry.silent = False
        service.stop()
        await running
        await registry.stop()
        box.close()

    play(test)


def test_what_outlives_a_planned_restart_is_answered_before_its_end() -> None:
    # Deadlines of 20 s: SIGKILL comes long before. Guards against connections that are closed on with no answer.
    async def test() -> None:
        leave = Leave(1_000.0)
        leave.take, leave.answer, leave.exit = 20.0, 100.0, 25_000.0
        async with rig({"s0": CacheBox(lambda head: None)}, leave=leave) as made:
            asking = asyncio.create_task(made.send(request("a")))
            await until(lambda: bool(made.boxes["s0"].heads))
            await made.frontend.drain()
            assert status(await asking) == 504

    play(test)


def test_an_open_requests_id_is_not_served_however_long_it_is_open() -> None:
    async def test() -> None:
        async with rig({"s0": CacheBox(lambda head: None)}) as made:
            asking = asyncio.create_task(made.send(request("a")))
            await until(lambda: bool(made.boxes["s0"].heads))
            made.node._ids[b"a"] -= 60_000.0  # or pushed out by thousands of others
            assert status(await made.ask("a")) == 409
            asking.cancel()

    play(test)


def test_settings_load_without_any_of_the_optional_parts() -> None:
    assert (
        settings_of({}).second_copies
        and settings_of({"services": [{"name": "x"}]}).classes[0].repeat == "unsafe"
    )


def test_a_configuration_that_changed_before_anybody_heard_a_sighup_is_in_force(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        old, new = Registry({}), Registry({})
        for registry in (old, new):
            registry.start()
        path = tmp_path / "config.json"
        text = {"listen": f"127.0.0.1:{free_port()}", "seed": "1", "settings": OPTIONS}
        monkeypatch.setenv("PROXY_CONFIG", str(path))
        path.write_bytes(orjson.dumps({**text, "discovery": f"127.0.0.1:{old.port}"}))
        service = Service(load(os.environ))
        path.write_bytes(
            orjson.dumps({**text, "discovery": f"127.0.0.1:{new.port}"})
        )  # and a SIGHUP that was ignored
        running = asyncio.create_task(service.run())
        await until(lambda: bool(new.asked))
        assert old.asked == []
        service.stop()
        await running
        for registry in (old, new):
            await registry.stop()

    play(test)
