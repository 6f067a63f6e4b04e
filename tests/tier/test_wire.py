"""Datagrams: round trips, the limit of 256 bytes, and rejection of anything malformed."""

from __future__ import annotations

import random

import pytest

from forkweir.tier import wire
from forkweir.tier.demand import FETCHES_LIMIT_ID, Demand, limit_id
from forkweir.tier.leases import TOTAL_SHARES, HeldLeases
from forkweir.tier.options import Options
from forkweir.tier.tier import Tier

TOP = 0xFFFFFFFF
HEAD = (wire.FORMAT_VERSION, TOP, wire.MAX_NODES - 1, TOP, TOP)
UPDATES = tuple((wire.MAX_NODES - 1, TOP, 3) for _ in range(wire.MAX_UPDATES))
DEMAND = tuple((TOP, wire.MAX_SCALED) for _ in range(wire.MAX_ENTRIES))
GRANTS = tuple((TOP, 0xFFFF) for _ in range(wire.MAX_ENTRIES))
SCALE = (wire.MAX_SCALED, wire.MAX_SCALED)
LARGEST: list[wire.Message] = [
    wire.Ping(*HEAD, TOP, True, UPDATES),
    wire.Ack(*HEAD, TOP, UPDATES),
    wire.Relay(*HEAD, TOP, wire.MAX_NODES - 1, UPDATES),
    wire.Call(*HEAD, TOP, TOP, True, TOP, 0xFFFF, SCALE, True, GRANTS),
    wire.Reply(*HEAD, TOP, TOP, TOP, True, True, SCALE, DEMAND),
    wire.Leave(*HEAD),
    wire.Back(*HEAD, TOP),
    wire.Heavy(*HEAD, TOP, 15, wire.MAX_SCALED, bytes(198)),
    wire.Line(*HEAD, TOP, 15, 15, wire.MAX_SCALED, bytes(198)),
]


@pytest.mark.parametrize("message", LARGEST, ids=lambda message: type(message).__name__)
def test_the_largest_message_fits_and_round_trips(message: wire.Message) -> None:
    data = wire.encode(message)
    assert len(data) <= wire.MAX_DATAGRAM_BYTES and wire.decode(data) == message
    for size in range(len(data)):
        with pytest.raises(wire.Malformed):
            wire.decode(data[:size])
    with pytest.raises(wire.Malformed):
        wire.decode(data + b"\x00")


def test_mutated_datagrams_raise_malformed_or_decode() -> None:
    rng = random.Random(5)
    tier = Tier(0, 4, 1, 1, 0.0)
    seeds = [wire.encode(message) for message in LARGEST] + [
        data for _, data in Tier(1, 4, 2, 9, 0.0).tick(0.0)
    ]
    valid = 0
    for _ in range(20_000):
        data = bytearray(rng.choice(seeds))
        for _ in range(rng.choice((1, 1, 2, 5))):
            at = rng.randrange(len(data))
            data[at : at + rng.choice((0, 1, 1, 3))] = rng.randbytes(rng.choice((0, 1, 1, 2)))
        try:
            wire.decode(bytes(data))
            valid += 1
        except wire.Malformed:
            pass
        tier.receive(rng.randrange(-1, 5), bytes(data), 10.0)  # must not raise
    assert 1_000 < valid < 19_000
    assert tier.counts["in"] == 20_000
    assert min(tier.counts[why] for why in ("malformed", "foreign", "stranger")) > 500


def test_encoded_amounts_are_close_and_bounded() -> None:
    for amount in (1e-5, 0.003, 0.7, 12.0, 5e4, 3e6):
        assert wire.decode_amount(wire.encode_amount(amount)) == pytest.approx(
            amount, rel=0.05 if amount < 1e-4 else 0.004
        )
    assert wire.encode_amount(float("inf")) == wire.encode_amount(1e300) == wire.MAX_SCALED
    assert (
        wire.encode_amount(float("nan")) == wire.encode_amount(-1.0) == wire.encode_amount(0.0) == 0
    )


def test_another_configuration_is_recognized_and_stops_grants() -> None:
    tier = Tier(0, 4, 1, 1, 0.0)
    for other in (
        Tier(1, 5, 2, 1, 0.0),
        Tier(1, 4, 2, 1, 0.0, Options(floor=0.25)),
        Tier(1, 4, 2, 1, 0.0, tier=1),
    ):
        tier.receive(1, other.tick(0.0)[0][1], 10.0)
    assert (
        tier.counts["foreign"] == 3
        and tier.has_config_conflict(20.0)
        and not tier.has_config_conflict(20.0 + tier.vote_ms)
    )
    # From an address that belongs to another node by our list.
    tier.receive(2, Tier(1, 4, 2, 1, 0.0).tick(0.0)[0][1], 9_000.0)
    assert tier.counts["impostor"] == 1 and tier.has_config_conflict(9_001.0)


def demand_and_leases(floor: float = 0.5) -> tuple[Demand, HeldLeases]:
    held_leases = HeldLeases()
    return Demand(floor, held_leases), held_leases


def test_a_node_without_leases_has_its_floor_and_with_one_its_share_of_the_total() -> None:
    demand, held_leases = demand_and_leases()
    demand.record_work_demand("box-1", 40.0, 0.0)
    assert demand.work_limit("box-1", 0.8, 0.0) == pytest.approx(0.4) and demand.fetch_limit(
        20.0, 0.0
    ) == pytest.approx(10.0)
    number = held_leases.next_reply_number(0.0)
    held_leases.accept_grant(
        (3, 1), 1, number, 2_000.0, 4.0, limit_id("box-1"), TOTAL_SHARES // 4, 10.0
    )
    held_leases.accept_grant(
        (3, 1), 2, number, 2_000.0, 80.0, FETCHES_LIMIT_ID, TOTAL_SHARES // 2, 10.0
    )
    assert demand.work_limit("box-1", 0.8, 20.0) == pytest.approx(0.4 + 0.5 * 0.25 * 4.0)
    assert demand.fetch_limit(20.0, 20.0) == pytest.approx(10.0 + 0.5 * 0.5 * 80.0)
    assert demand.work_limit("box-2", 0.8, 20.0) == pytest.approx(0.4)
    assert demand.work_limit("box-1", 0.8, 2_000.0) == pytest.approx(0.4)


def test_demand_above_the_floor_is_reported_in_the_unit_of_the_own_limit_and_fades() -> None:
    demand, _ = demand_and_leases()
    demand.own_work = 0.01
    for n in range(100):
        demand.record_work_demand("box-1", 20.0, 30.0 * n)  # 0.667 a ms
        demand.record_fetch_demand(0.5, 200.0, 30.0 * n)  # 3.3 in flight
    reported = dict(demand.above_floor(3_000.0))
    assert reported[limit_id("box-1")] == pytest.approx(0.667 - 0.005, rel=0.15)
    assert reported[FETCHES_LIMIT_ID] == pytest.approx(3.3, rel=0.15)
    assert demand.server_names()[str(limit_id("box-1"))] == "box-1"
    assert demand.above_floor(60_000.0) == [] and demand.server_names() == {}


def test_two_servers_with_one_id_get_no_shares(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("forkweir.tier.demand.limit_id", lambda server: 5)
    demand, held_leases = demand_and_leases()
    demand.record_work_demand("a", 20.0, 0.0)
    demand.record_work_demand("b", 20.0, 0.0)
    held_leases.accept_grant(
        (3, 1), 1, held_leases.next_reply_number(0.0), 2_000.0, 4.0, 5, TOTAL_SHARES, 10.0
    )
    assert demand.above_floor(100.0) == []
    assert (
        demand.work_limit("a", 1.0, 100.0)
        == demand.work_limit("b", 1.0, 100.0)
        == pytest.approx(0.5)
    )
