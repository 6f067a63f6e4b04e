"""Slow start of cold servers, of one bucket and in whole fleets: pauses, floods and classes."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from forkweir.choice import Balancer
from forkweir.limits.request_cost import MAX_STEP, Costs, DecayingSum
from forkweir.limits.slow_start import (
    BURST_MS,
    MAX_BOOST,
    MAX_STARVATION_MS,
    MIN_BURST_REQUESTS,
    MIN_RATE_FACTOR,
    SlowStart,
    TokenBucket,
)
from forkweir.settings import ClassSpec, Server, Settings

READ = ClassSpec("read", aim_ms=750, deadline_ms=2500, value=3)
ORDER = ClassSpec(
    "order", aim_ms=1200, deadline_ms=2500, repeat="keyed", repeat_window_ms=2500, value=8
)
COLD_FROM, COLD_MS, FALL_MS, MULTIPLE = 0.12, 24_000.0, 2_000.0, 4.0


def make(servers: list[Server], seed: int = 1) -> Balancer:
    balancer_settings = Settings(
        classes=(READ, ORDER), max_attempts=3, cold_start_capacity=COLD_FROM, cold_ms=COLD_MS
    )
    balancer = Balancer(balancer_settings, seed)
    balancer.on_list(0.0, "full", servers)
    return balancer


class Simulation:
    """Nodes in front of a fleet in which a warm server does 1 ms of work per ms.

    Every request is served in 20 ms. Strict servers reject what exceeds their capacity.
    """

    def __init__(self, nodes: int, servers: int, strict: bool = False) -> None:
        self.strict = strict
        self.busy_until: dict[str, float] = {}
        self.names = [f"s{n}" for n in range(servers)]
        self.nodes = [
            make([Server(name) for name in self.names], seed) for seed in range(1, nodes + 1)
        ]
        self.started: dict[str, float] = {}
        self.sent: list[tuple[float, str, float]] = []
        self.refused: dict[str, int] = {"read": 0, "order": 0}
        self.asked: dict[str, int] = {"read": 0, "order": 0}
        self.number = 0
        self.out: list[list[tuple[float, int, str, str]]] = [[] for _ in self.nodes]

    def restart(self, now: float, names: list[str]) -> None:
        self.started.update({name: now for name in names})
        for node in self.nodes:
            node.on_list(now, "changes", [Server(name, started_ms=now) for name in names])

    def capacity(self, name: str, now: float) -> float:
        age = now - self.started[name] if name in self.started else COLD_MS
        return min(1.0, COLD_FROM + (1.0 - COLD_FROM) * age / COLD_MS)

    def run(
        self, begin: float, end: float, load: float, work: float = 12.0, paused: int = -1
    ) -> None:
        """Offer load, in units of one warm server; a paused node takes its requests at the end."""
        gap, now, n = work / load, begin, 0
        held: list[tuple[str, str]] = []
        while now < end:
            n += 1
            self.number += 1
            node = self.number % len(self.nodes)
            asks = ("order" if self.number % 21 == 0 else "read", f"k{self.number * 7919 % 500}")
            if node == paused:
                held.append(asks)
            else:
                self._ask(node, now, *asks, work)
            now = begin + n * gap
        for asks in held:
            self._ask(paused, end, *asks, work)

    def _ask(self, n: int, now: float, class_name: str, key: str, work: float) -> None:
        node = self.nodes[n]
        while self.out[n] and self.out[n][0][0] <= now:
            due, number, name, status = self.out[n].pop(0)
            node.on_outcome(due, number, 0, True, status, name, 20.0, status == "success")
        self.number += 1
        self.asked[class_name] += 1
        for action in node.on_request(
            now, self.number, class_name, key, 2500.0, work, "", class_name == "order"
        ):
            if action[0] == "attempt":
                self.sent.append((now, action[2], work))
                self.out[n].append(
                    (now + 20.0, self.number, action[2], self._serve(action[2], now, work))
                )
            elif action[0] == "refuse":
                self.refused[class_name] += 1

    def _serve(self, name: str, now: float, work: float) -> str:
        """Return the status; a strict server rejects what it can't start within 300 ms."""
        begins = max(now, self.busy_until.get(name, 0.0))
        if self.strict and begins > now + 300.0:
            return "overloaded"
        self.busy_until[name] = begins + work / self.capacity(name, now)
        return "success"

    def worst(self) -> float:
        """Return the highest load of a cold server, as a fraction of what makes it fail."""
        worst = 0.0
        for name, since in self.started.items():
            mine = [(at, work) for at, to, work in self.sent if to == name and at >= since]
            total, first = 0.0, 0
            for at, work in mine:
                total += work
                while mine[first][0] <= at - FALL_MS:
                    total -= mine[first][1]
                    first += 1
                worst = max(worst, total / (MULTIPLE * self.capacity(name, at) * FALL_MS))
        return worst


def restart_all_servers(servers: int, strict: bool) -> tuple[float, float]:
    """Restart all servers at once; return the highest load and each one's work per ms in 5 s."""
    sim = Simulation(4, servers, strict)
    sim.run(0.0, 4_000.0, 0.9 * servers)
    sim.restart(4_000.0, sim.names)
    before = len(sim.sent)
    sim.run(4_000.0, 9_000.0, 0.9 * servers)
    return sim.worst(), sum(work for _, _, work in sim.sent[before:]) / 5_000.0 / servers


@pytest.mark.parametrize("servers", [2, 3, 6, 17])
def test_a_completely_cold_fleet_gets_what_it_can_serve_and_no_server_fails(
    servers: int,
) -> None:
    worst, got = restart_all_servers(servers, strict=False)
    assert worst < 0.5
    # The capacity is 0.12 to 0.30 of a warm server's, and these servers accept any load.
    assert 0.08 < got < 0.25 * MAX_BOOST


@pytest.mark.parametrize("servers", [3, 6, 17])
def test_rejections_by_cold_servers_limit_the_boost(servers: int) -> None:
    worst, got = restart_all_servers(servers, strict=True)
    assert worst < 0.5
    assert 0.1 < got < 0.32  # the capacity is 0.12 to 0.30 of a warm server's


def replaced(nodes: int, strict: bool) -> tuple[float, float]:
    """Restart 36 of 60 servers within 7 s, at six tenths of the fleet's capacity.

    Returns the highest load, and the utilization of cold servers in the last 2 s over that of warm
    ones.
    """
    sim = Simulation(nodes, 60, strict)
    sim.run(0.0, 3_000.0, 36.0, 24.0)
    for n, name in enumerate(sim.names[:36]):
        sim.run(3_000.0 + 200.0 * n, 3_200.0 + 200.0 * n, 36.0, 24.0)
        sim.restart(3_200.0 + 200.0 * n, [name])
    sim.run(10_200.0, 12_200.0, 36.0, 24.0)
    late = [(to, work) for at, to, work in sim.sent if at > 10_200.0]
    cold = sum(work for to, work in late if to in sim.started) / sum(
        sim.capacity(name, 11_200.0) for name in sim.started
    )
    warm = sum(work for to, work in late if to not in sim.started) / 24.0
    return sim.worst(), cold / warm


@pytest.mark.parametrize(("nodes", "min_share"), [(10, 0.6), (40, 0.4), (160, 0.2)])
def test_many_nodes_use_36_cold_servers_of_60_without_overloading_one(
    nodes: int, min_share: float
) -> None:
    worst, part = replaced(nodes, strict=True)
    assert worst < 0.5
    # With a bucket of one request and the keys reduced by the ramp as well, 40 nodes gave 0.07.
    assert part > min_share


def test_the_boost_is_pooled_over_cold_servers_and_reduced_by_overload() -> None:
    slow_start = SlowStart(MULTIPLE, 8.0, 1)
    first, second = slow_start.open_bucket(0.0, 30.0), slow_start.open_bucket(0.0, 30.0)
    for _ in range(100):
        slow_start.record_success(first)
    assert slow_start.boost == MAX_BOOST
    slow_start.record_overload(second, 1_000.0)
    assert 1.0 < slow_start.boost < MAX_BOOST and second.rate_factor < first.rate_factor == 1.0
    for n in range(50):
        slow_start.record_overload(second, 2_000.0 + 1_000.0 * n)
    assert slow_start.boost == 1.0


def test_five_cold_servers_of_six_are_not_overloaded() -> None:
    sim = Simulation(4, 6)
    sim.run(0.0, 4_000.0, 4.0)
    sim.restart(4_000.0, sim.names[1:])
    sim.run(4_000.0, 8_000.0, 4.0)
    assert 0.0 < sim.worst() < 0.75


def test_ten_nodes_of_which_three_restart_together_with_the_fleet() -> None:
    sim = Simulation(10, 6)
    sim.run(0.0, 4_000.0, 5.0)
    sim.started = {name: 4_000.0 for name in sim.names}
    for n in (0, 1, 2):
        sim.nodes[n], sim.out[n] = (
            make([Server(name, started_ms=4_000.0) for name in sim.names], 50 + n),
            [],
        )
    sim.restart(4_000.0, sim.names)
    sim.run(4_000.0, 8_000.0, 5.0)
    assert 0.0 < sim.worst() < 0.75


def test_requests_queued_during_a_pause_of_a_node_are_not_sent_at_once() -> None:
    sim = Simulation(2, 4)
    sim.run(0.0, 4_000.0, 3.5)
    sim.restart(4_000.0, sim.names)
    sim.run(4_000.0, 4_500.0, 3.5)
    before = len(sim.sent)
    sim.run(4_500.0, 6_000.0, 3.5, paused=0)
    burst = [work for at, _, work in sim.sent[before:] if at == 6_000.0]
    assert sum(burst) <= 4 * max(2 * 12.0, 0.2 * BURST_MS)
    assert sim.worst() < 0.5


def test_four_times_the_fleets_capacity_does_not_overload_cold_servers() -> None:
    sim = Simulation(3, 5)
    sim.run(0.0, 4_000.0, 4.0)
    sim.restart(4_000.0, sim.names)
    sim.run(4_000.0, 8_000.0, 20.0)
    assert 0.0 < sim.worst() < 0.75


def test_doubling_the_fleet_with_cold_servers_overloads_none() -> None:
    sim = Simulation(3, 6)
    sim.run(0.0, 4_000.0, 5.0)
    sim.names += [f"t{n}" for n in range(6)]
    sim.restart(4_000.0, sim.names[6:])
    sim.run(4_000.0, 8_000.0, 5.0)
    assert 0.0 < sim.worst() < 0.5


def test_removing_half_of_the_fleet_does_not_overload_its_cold_servers() -> None:
    sim = Simulation(3, 12)
    sim.run(0.0, 4_000.0, 9.0)
    sim.restart(4_000.0, sim.names[:3])
    sim.run(4_000.0, 5_000.0, 9.0)
    for node in sim.nodes:
        node.on_list(5_000.0, "changes", [Server(name, state="gone") for name in sim.names[6:]])
    before = len(sim.sent)
    sim.run(5_000.0, 8_000.0, 9.0)
    assert {name for _, name, _ in sim.sent[before:]} <= set(sim.names[:6])
    assert 0.0 < sim.worst() < 0.75


def test_orders_take_precedence_over_reads_and_reads_do_not_starve() -> None:
    sim = Simulation(2, 4)
    sim.run(0.0, 4_000.0, 3.5)
    sim.restart(4_000.0, sim.names)
    sim.refused, sim.asked = {"read": 0, "order": 0}, {"read": 0, "order": 0}
    sim.run(4_000.0, 10_000.0, 3.5)
    part = {
        class_name: 1.0 - sim.refused[class_name] / sim.asked[class_name]
        for class_name in sim.asked
    }
    assert part["order"] > 2.0 * part["read"] > 0.1


def test_a_flooding_class_starves_another_no_longer_than_stated() -> None:
    slow_start = SlowStart(MULTIPLE, 8.0, 1)
    bucket, last, longest = TokenBucket(0.0, 0.0), 0.0, 0.0
    for now in range(0, 20_000, 5):
        if slow_start.may_send(bucket, 0.2, 12.0, 3.0, float(now)):
            slow_start.spend(bucket, 12.0, 3.0, float(now))
            longest, last = max(longest, now - last), float(now)
        if slow_start.may_send(bucket, 0.2, 12.0, 8.0, float(now)):
            slow_start.spend(bucket, 12.0, 8.0, float(now))
    assert 0.0 < longest <= MAX_STARVATION_MS + 12.0 / 0.2 + 5.0


def test_overload_reduces_the_rate_and_good_answers_restore_it() -> None:
    slow_start, bucket = SlowStart(MULTIPLE, 8.0, 1), TokenBucket(0.0, 0.0)
    for n in range(1, 40):
        slow_start.record_overload(bucket, 300.0 * n)
    assert bucket.rate_factor == MIN_RATE_FACTOR
    for _ in range(40):
        slow_start.record_success(bucket)
    assert bucket.rate_factor == 1.0


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.floats(0.0, 400.0), st.floats(1.0, 30.0), st.sampled_from([3.0, 8.0])),
        min_size=1,
        max_size=200,
    )
)
def test_no_time_span_exceeds_its_rate_and_one_burst(
    steps: list[tuple[float, float, float]],
) -> None:
    slow_start, rate = SlowStart(MULTIPLE, 8.0, 1), 0.15
    bucket, now = slow_start.open_bucket(0.0, 30.0), 0.0
    sent: list[tuple[float, float]] = []
    for gap, cost, value in steps:
        now += gap
        if slow_start.may_send(bucket, rate, cost, value, now):
            slow_start.spend(bucket, cost, value, now)
            sent.append((now, cost))
    for n, (begin, _) in enumerate(sent):
        total = 0.0
        for at, cost in sent[n:]:
            total += cost
            assert (
                total
                <= rate * (at - begin) + max(rate * BURST_MS, MIN_BURST_REQUESTS * 30.0) + 1e-6
            )


def test_a_cost_is_learned_from_quick_answers_and_one_bad_answer_moves_it_little() -> None:
    costs = Costs()
    for n in range(400):
        costs.record_answer(READ, 12.0 + 40.0 * (n % 4 > 1))  # half of the answers waited
    learned = costs.cost_ms(READ, 0.0)
    assert 9.0 < learned < 16.0
    costs.record_answer(READ, 1e9)
    assert costs.cost_ms(READ, 0.0) <= learned * (1.0 + MAX_STEP)
    assert costs.cost_ms(READ, 77.0) == 77.0
    assert costs.cost_ms(ORDER, 0.0) == pytest.approx(0.15 * 1200)


def test_a_decaying_rate_is_right_from_the_start_and_after_a_change() -> None:
    sums = DecayingSum(1_000.0)
    for n in range(500):
        sums.add(10.0 * n, 3.0)
    assert sums.rate(1.0) == pytest.approx(0.3, rel=0.05)
    for n in range(500, 1_000):
        sums.add(10.0 * n, 9.0)
    assert sums.rate(1.0) == pytest.approx(0.9, rel=0.05)
    first = DecayingSum(1_000.0)
    first.add(0.0, 100.0)
    assert first.rate(500.0) == 0.2


def test_a_slow_clock_does_not_prolong_the_warm_up() -> None:
    restarted = Server("a", started_ms=3_600_000.0)  # the list's clock is an hour ahead
    balancer = make([Server("a"), Server("b")])
    balancer.on_list(1_000.0, "changes", [restarted])
    balancer.on_list(9_000.0, "full", [restarted, Server("b")])  # the same start again
    member = balancer.fleet.members["a"]
    assert member.info.started_ms == member.cold_since_ms == 1_000.0
    assert balancer.fleet.is_cold(member, 1_000.0 + COLD_MS - 1.0)
    assert not balancer.fleet.is_cold(member, 1_000.0 + COLD_MS)
    # The server has restarted.
    balancer.on_list(40_000.0, "changes", [Server("a", started_ms=3_700_000.0)])
    assert balancer.fleet.is_cold(balancer.fleet.members["a"], 60_000.0)


def test_a_cold_server_with_capacity_takes_keys_of_a_warm_one_that_rejects_many() -> None:
    def homes(turned: float) -> list[str]:
        balancer = make([Server("warm"), Server("cold", started_ms=1.0)])
        balancer.fleet.members["warm"].rejection_rate = turned
        # The strain leaves it no keys of its own.
        (
            balancer.fleet.members["warm"].load_penalty,
            balancer.fleet.members["warm"].load_penalty_ms,
        ) = (
            1e6,
            30_000.0,
        )
        targets = []
        for n in range(160):
            now = 12_001.0 + 62.5 * n
            (sent,) = [
                action
                for action in balancer.on_request(now, n, "read", f"k{n}", 2_500.0, 12.0)
                if action[0] == "attempt"
            ]
            targets.append(sent[2])
            balancer.on_departure(now, n)
        return targets

    assert 0 < homes(0.0).count("cold") < homes(0.5).count("cold")
