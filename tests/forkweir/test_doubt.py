"""Bad servers are known by few attempts, and a trouble of all is nobody's fault."""

from __future__ import annotations

import random
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from forkweir import Balancer, ClassSpec, Server, Settings
from forkweir.known.doubt import (
    COMMON,
    HIGH,
    LEAST_USUAL,
    LOW,
    MOST_ALONE,
    MOST_OUT,
    MOST_USUAL,
    PRIOR_ODDS,
    SPREAD,
    TRIAL_MOST_MS,
    TRIAL_MS,
    Doubts,
    Record,
)

READ = ClassSpec("read", aim_ms=800.0, deadline_ms=2500.0, value=3.0)


def seasoned(wrong_part: float, seed: int = 1) -> Doubts:
    """After 400 attempts at good servers, of which this part went wrong."""
    doubts, rng = Doubts(seed), random.Random(seed)
    for n in range(400):
        doubts.judge(Record(), "known", rng.random() < wrong_part, float(n))
    return doubts


def test_a_bad_server_is_known_by_its_second_attempt_and_cleared_by_two_good_ones() -> None:
    doubts, record = seasoned(0.02), Record()
    doubts.judge(record, "known", True, 1_000.0)
    assert not record.bad
    doubts.judge(record, "known", True, 2_000.0)
    assert record.bad
    doubts.judge(record, "known", False, 3_000.0)
    doubts.judge(record, "known", False, 3_500.0)
    assert not record.bad


def test_one_wrong_answer_among_good_ones_is_forgiven() -> None:
    doubts, record, rng = seasoned(0.05), Record(), random.Random(3)
    found = 0
    for n in range(2_000):
        wrong = rng.random() < 0.08
        doubts.judge(record, "known", wrong, 300.0 * n)
        found += wrong and record.bad
    assert found < 0.01 * 2_000  # twice in a row, by chance


def test_where_most_goes_wrong_at_large_it_tells_nothing_of_one() -> None:
    doubts, record = seasoned(0.7), Record()
    for n in range(10):
        doubts.judge(record, "known", True, 100.0 * n)
    assert not record.bad


def test_a_few_bad_servers_do_not_pass_for_what_is_usual() -> None:
    doubts, rng = Doubts(1), random.Random(1)
    records = [Record() for _ in range(60)]
    for n in range(1_500):
        server = rng.randrange(60)
        doubts.judge(records[server], "known", server < 9 or rng.random() < 0.02, 33.0 * n)
    assert [record.bad for record in records] == [True] * 9 + [False] * 51
    assert doubts.usual("known") < 0.06


def test_a_common_trouble_counts_in_full_as_what_is_usual() -> None:
    alone, common = Doubts(1), Doubts(1)
    bad = Record()
    bad.odds = HIGH
    for n in range(200):
        alone.judge(bad, "known", True, float(n))
        assert common.judge(bad, "known", True, float(n), True) == 0.0
    assert alone.usual("known") < 0.1 < 0.5 < common.usual("known")


def test_many_bad_servers_are_a_trouble_of_all_only_where_the_others_do_badly_too() -> None:
    well, badly = seasoned(0.02), seasoned(COMMON + 0.1)
    assert not well.common("known", MOST_OUT) and not badly.common("known", MOST_OUT)
    assert not well.common("known", 0.5) and badly.common("known", 0.5)
    assert well.common("known", MOST_ALONE + 0.01)


def test_what_is_held_against_a_server_is_forgotten() -> None:
    doubts, record = seasoned(0.02), Record()
    for n in range(3):
        doubts.judge(record, "known", True, 100.0 * n)
    doubts.judge(record, "known", False, 120_000.0)
    assert record.odds < PRIOR_ODDS


def test_waits_double_to_a_bound_and_are_spread_over_nodes() -> None:
    first = [Doubts(seed).wait(Record()) for seed in range(40)]
    assert TRIAL_MS * (1.0 - SPREAD) <= min(first) < max(first) <= TRIAL_MS
    assert (
        len({round(wait / 50.0) for wait in first}) > 10
    )  # no two dozen nodes try in the same moment
    doubts, record = Doubts(1), Record()
    waits = [doubts.wait(record) for _ in range(12)]
    assert max(waits) <= TRIAL_MOST_MS and max(waits[:1]) <= TRIAL_MS < max(waits[2:])


@given(
    st.lists(
        st.tuples(st.sampled_from(["known", "unknown"]), st.booleans(), st.floats(0, 5_000)),
        max_size=200,
    )
)
@settings(max_examples=60, deadline=None)
def test_all_stays_within_bounds(attempts: list[tuple[str, bool, float]]) -> None:
    doubts, record, now = Doubts(1), Record(), 0.0
    for sort, wrong, later in attempts:
        now += later
        before = record.odds
        likely = doubts.judge(record, sort, wrong, now)
        assert LOW <= record.odds <= HIGH and 0.0 <= likely <= 1.0
        assert LEAST_USUAL <= doubts.usual(sort) <= MOST_USUAL
        if wrong and later == 0.0:
            assert record.odds >= before


def asked(
    balancer: Balancer,
    now: float,
    n: int,
    key: str,
    after_ms: float,
    answer: Callable[[str], tuple[str, int, float]],
) -> bool:
    """One request with all its attempts, each over `after_ms` later with the status, note and time that its server gives.

    Whether it was served.
    """
    action, attempt = balancer.on_request(now, n, "read", key, 2_500.0)[0], 0
    while action[0] == "attempt":
        status, note, elapsed_ms = answer(str(action[2]))
        served = status == "success"
        after = balancer.on_outcome(
            now + after_ms, n, attempt, served, status, str(action[2]), elapsed_ms, note
        )
        if served:
            return True
        action, attempt = after[0], attempt + 1
    return False


def play(failing: set[str], part: float, until_ms: float) -> tuple[Balancer, dict[str, int]]:
    """One node that gets 20 requests a second for 60 servers, some of which fail; how many of each went out in the last half."""
    balancer, rng = Balancer(Settings(classes=(READ,), may_cancel=True), 5), random.Random(5)
    balancer.on_list(0.0, "full", [Server(f"s{n}") for n in range(60)])
    sent = dict.fromkeys((f"s{n}" for n in range(60)), 0)
    now, n = 1_000.0, 0

    def answer(server: str) -> tuple[str, int, float]:
        sent[server] += now > until_ms / 2.0
        wrong = server in failing and rng.random() < part
        return ("failure", 0, 60.0) if wrong else ("success", 1, 60.0)

    while now < until_ms:
        n += 1
        now += rng.expovariate(1 / 50.0)
        asked(balancer, now, n, f"k{rng.randrange(4_000)}", 60.0, answer)
    return balancer, sent


def test_a_node_that_meets_each_server_rarely_leaves_those_that_fail() -> None:
    failing = {f"s{n}" for n in range(0, 54, 6)}
    balancer, sent = play(failing, 0.8, 40_000.0)
    usual = sum(sent[name] for name in sent if name not in failing) / 51.0
    assert sum(sent[name] for name in failing) / 9.0 < 0.45 * usual
    assert balancer.gate.admitted_share == 1.0  # a few bad servers shut no gate


def test_a_trouble_of_all_puts_nobody_out() -> None:
    balancer, _ = play({f"s{n}" for n in range(60)}, 0.9, 20_000.0)
    assert sum(member.record.row > 0 for member in balancer.fleet.placed) <= MOST_OUT * 60
    assert balancer.fleet.health.doubts.usual("unknown") > 0.45


def test_half_a_fleet_that_fails_neither_shuts_the_gate_nor_passes_for_an_origin_in_trouble() -> (
    None
):
    """A node of 20 requests a second before 60 servers, of which 27 fail most of what they are asked, hit or miss."""
    rng = random.Random(11)
    balancer = Balancer(Settings(classes=(READ,)), 1)
    balancer.on_list(0.0, "full", [Server(f"s{i}") for i in range(60)])
    served = refused = 0
    failing = False

    def answer(server: str) -> tuple[str, int, float]:
        bad = failing and int(server[1:]) < 27 and rng.random() < 0.8
        note = 1 + (rng.random() < 0.3)
        return ("failure", 0, 10.0) if bad else ("success", note, 100.0 * note)

    for n in range(500):
        failing = n >= 200  # from 10 s on
        good = asked(balancer, 1_000.0 + 50.0 * n, n, f"k{rng.randrange(400)}", 0.0, answer)
        served += failing and good
        refused += failing and not good
    assert balancer.gate.admitted_share == 1.0
    assert balancer.gate.origin_slowness < 0.6
    assert refused < 0.15 * served, (refused, served)
