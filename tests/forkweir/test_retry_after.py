"""The waits and the causes that refused clients get."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from forkweir.choice import Balancer
from forkweir.gate import ORIGIN_DOWN_LEVEL
from forkweir.retry_after import (
    FORECAST_JITTER,
    MAX_WAIT_JITTER,
    MIN_WAIT_MS,
    REFUSAL_CAUSES,
    RetryAfter,
)
from forkweir.settings import ClassSpec, Refuse, Server, Settings

READ = ClassSpec("read", aim_ms=750, deadline_ms=2500, value=3)
ORDER = ClassSpec(
    "order", aim_ms=1200, deadline_ms=2500, repeat="keyed", repeat_window_ms=2500, value=8
)
ONCE = ClassSpec("once", aim_ms=900, deadline_ms=2000, repeat="unsafe", value=3)


def make(servers: list[Server], now: float = 1_000.0) -> Balancer:
    configured = Settings(
        classes=(READ, ORDER, ONCE),
        max_attempts=2,
        backoff_max_ms=1_200.0,
        cold_start_capacity=0.12,
        cold_ms=24_000.0,
    )
    balancer = Balancer(configured, 1)
    balancer.on_list(now, "full", servers)
    return balancer


def refusals(
    balancer: Balancer, now: float, count: int, class_name: str = "read", gap: float = 1.0
) -> list[Refuse]:
    refused: list[Refuse] = []
    for n in range(count):
        actions = balancer.on_request(
            now + gap * n, n, class_name, f"k{n}", 2000.0, 12.0, "", class_name != "read"
        )
        refused += [action for action in actions if action[0] == "refuse"]
    return refused


@given(st.one_of(st.none(), st.floats(0.0, 1e9)), st.floats(0.0, 5_000.0), st.integers(0, 99))
def test_a_wait_stays_within_its_bounds(forecast: float | None, left: float, seed: int) -> None:
    wait = RetryAfter(1_200.0, seed).wait(forecast, left)
    assert MIN_WAIT_MS <= wait <= 1_200.0
    if forecast is None or forecast >= min(left, 1_200.0):
        assert wait >= 1_200.0 * (1.0 - MAX_WAIT_JITTER)
    else:
        assert forecast <= wait <= max(MIN_WAIT_MS, forecast * (1.0 + FORECAST_JITTER))
    assert RetryAfter(0.0, seed).wait(forecast, left) == 0.0


def test_clients_refused_at_one_instant_get_different_waits_also_from_different_nodes() -> None:
    waits = [RetryAfter(1_200.0, seed).wait(None, 0.0) for seed in range(37)]
    assert len(set(waits)) == 37 and max(waits) - min(waits) > 100.0
    one = RetryAfter(1_200.0, 1)
    assert len({one.wait(300.0, 700.0) for _ in range(50)}) == 50


def test_without_servers_the_cause_is_no_server() -> None:
    got = refusals(make([]), 1_000.0, 5)
    assert [refuse[3] for refuse in got] == ["no-server"] * 5 and min(
        refuse[2] for refuse in got
    ) >= 1_080.0


def test_cold_servers_without_capacity_have_their_own_cause_and_the_bucket_forecasts() -> None:
    servers = [Server(f"s{n}", started_ms=1_000.0) for n in range(2)]
    got = refusals(make(servers), 1_010.0, 200)
    assert {refuse[3] for refuse in got} == {"cold"} and len(got) > 100
    # The bucket fills about as fast as requests arrive, so its forecast is below the longest wait.
    assert min(refuse[2] for refuse in got) < 600.0


def test_a_closed_gate_forecasts_by_the_rate_at_which_it_opens() -> None:
    balancer = make([Server(f"s{n}") for n in range(4)])
    balancer.gate.admitted_share = 0.1
    got = refusals(balancer, 1_010.0, 200)
    assert {refuse[3] for refuse in got} == {"gate"} and len(got) > 100
    # Requests without value wait longest.
    assert balancer.gate.opens_in(0.3, 0.0) == balancer.gate.opens_in(0.3, 1e-200) > 1_200.0
    waits = sorted(refuse[2] for refuse in got)
    assert waits[0] < 0.5 * waits[-1] <= 1_200.0  # a key just beyond the admitted share waits less


def test_causes_of_refusals_by_the_origin() -> None:
    balancer = make([Server(f"s{n}") for n in range(4)])
    balancer.fetches.limiting, balancer.fetches.limit = True, 1.0
    assert {refuse[3] for refuse in refusals(balancer, 1_010.0, 50)} == {"origin"}
    balancer = make([Server(f"s{n}") for n in range(4)])
    balancer.gate.origin_slowness = ORIGIN_DOWN_LEVEL + 0.1
    assert {refuse[3] for refuse in refusals(balancer, 1_010.0, 50, "order")} == {"origin-down"}


def test_a_request_without_attempts_left_is_refused_with_the_cause_tries() -> None:
    balancer = make([Server("a"), Server("b")])
    now, actions = 1_010.0, balancer.on_request(1_010.0, 1, "once", "k", 2000.0, 12.0, "", True)
    for attempt in range(2):
        (sent,) = [action for action in actions if action[0] == "attempt"]
        actions = balancer.on_outcome(now, 1, attempt, False, "unreachable", sent[2], 1.0)
    (refuse,) = actions
    assert refuse[0] == "refuse" and refuse[3] == "tries"


def test_the_list_of_causes_has_no_duplicates() -> None:
    assert len(set(REFUSAL_CAUSES)) == len(REFUSAL_CAUSES) == 6
