"""Bad servers are known by few attempts, and a trouble of all is nobody's fault."""

from __future__ import annotations

import random
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from forkweir import Balancer, ClassSpec, Server, Settings
from forkweir.known.outlier_detection import (
    COMMON_FAILURE_RATE,
    INITIAL_TRIAL_WAIT_MS,
    MAX_BASE_RATE,
    MAX_INDEPENDENT_SHARE,
    MAX_LOG_ODDS,
    MAX_SUSPECT_SHARE,
    MAX_TRIAL_WAIT_MS,
    MIN_BASE_RATE,
    MIN_LOG_ODDS,
    PRIOR_LOG_ODDS,
    TRIAL_JITTER,
    OutlierDetector,
    Suspicion,
)

READ = ClassSpec("read", aim_ms=800.0, deadline_ms=2500.0, worth=3.0)


def seasoned(wrong_part: float, seed: int = 1) -> OutlierDetector:
    """After 400 attempts at good servers, of which this part went wrong."""
    doubts, rng = OutlierDetector(seed), random.Random(seed)
    for n in range(400):
        doubts.update(Suspicion(), "known", rng.random() < wrong_part, float(n))
    return doubts


def test_a_bad_server_is_known_by_its_second_attempt_and_cleared_by_two_good_ones() -> None:
    doubts, record = seasoned(0.02), Suspicion()
    doubts.update(record, "known", True, 1_000.0)
    assert not record.suspect
    doubts.update(record, "known", True, 2_000.0)
    assert record.suspect
    doubts.update(record, "known", False, 3_000.0)
    doubts.update(record, "known", False, 3_500.0)
    assert not record.suspect


def test_one_wrong_answer_among_good_ones_is_forgiven() -> None:
    doubts, record, rng = seasoned(0.05), Suspicion(), random.Random(3)
    found = 0
    for n in range(2_000):
        wrong = rng.random() < 0.08
        doubts.update(record, "known", wrong, 300.0 * n)
        found += wrong and record.suspect
    assert found < 0.01 * 2_000  # twice in a row, by chance


def test_where_most_goes_wrong_at_large_it_tells_nothing_of_one() -> None:
    doubts, record = seasoned(0.7), Suspicion()
    for n in range(10):
        doubts.update(record, "known", True, 100.0 * n)
    assert not record.suspect


def test_a_few_bad_servers_do_not_pass_for_what_is_usual() -> None:
    doubts, rng = OutlierDetector(1), random.Random(1)
    records = [Suspicion() for _ in range(60)]
    for n in range(1_500):
        server = rng.randrange(60)
        doubts.update(records[server], "known", server < 9 or rng.random() < 0.02, 33.0 * n)
    assert [record.suspect for record in records] == [True] * 9 + [False] * 51
    assert doubts.base_rate("known") < 0.06


def test_a_common_trouble_counts_in_full_as_what_is_usual() -> None:
    alone, common = OutlierDetector(1), OutlierDetector(1)
    bad = Suspicion()
    bad.log_odds = MAX_LOG_ODDS
    for n in range(200):
        alone.update(bad, "known", True, float(n))
        assert common.update(bad, "known", True, float(n), True) == 0.0
    assert alone.base_rate("known") < 0.1 < 0.5 < common.base_rate("known")


def test_many_bad_servers_are_a_trouble_of_all_only_where_the_others_do_badly_too() -> None:
    well, badly = seasoned(0.02), seasoned(COMMON_FAILURE_RATE + 0.1)
    assert not well.is_common_cause("known", MAX_SUSPECT_SHARE) and not badly.is_common_cause(
        "known", MAX_SUSPECT_SHARE
    )
    assert not well.is_common_cause("known", 0.5) and badly.is_common_cause("known", 0.5)
    assert well.is_common_cause("known", MAX_INDEPENDENT_SHARE + 0.01)


def test_what_is_held_against_a_server_is_forgotten() -> None:
    doubts, record = seasoned(0.02), Suspicion()
    for n in range(3):
        doubts.update(record, "known", True, 100.0 * n)
    doubts.update(record, "known", False, 120_000.0)
    assert record.log_odds < PRIOR_LOG_ODDS


def test_waits_double_to_a_bound_and_are_spread_over_nodes() -> None:
    first = [OutlierDetector(seed).next_trial_wait(Suspicion()) for seed in range(40)]
    assert (
        INITIAL_TRIAL_WAIT_MS * (1.0 - TRIAL_JITTER)
        <= min(first)
        < max(first)
        <= INITIAL_TRIAL_WAIT_MS
    )
    assert (
        len({round(wait / 50.0) for wait in first}) > 10
    )  # no two dozen nodes try in the same moment
    doubts, record = OutlierDetector(1), Suspicion()
    waits = [doubts.next_trial_wait(record) for _ in range(12)]
    assert max(waits) <= MAX_TRIAL_WAIT_MS and max(waits[:1]) <= INITIAL_TRIAL_WAIT_MS < max(
        waits[2:]
    )


@given(
    st.lists(
        st.tuples(st.sampled_from(["known", "unknown"]), st.booleans(), st.floats(0, 5_000)),
        max_size=200,
    )
)
@settings(max_examples=60, deadline=None)
def test_all_stays_within_bounds(attempts: list[tuple[str, bool, float]]) -> None:
    doubts, record, now = OutlierDetector(1), Suspicion(), 0.0
    for sort, wrong, later in attempts:
        now += later
        before = record.log_odds
        likely = doubts.update(record, sort, wrong, now)
        assert MIN_LOG_ODDS <= record.log_odds <= MAX_LOG_ODDS and 0.0 <= likely <= 1.0
        assert MIN_BASE_RATE <= doubts.base_rate(sort) <= MAX_BASE_RATE
        if wrong and later == 0.0:
            assert record.log_odds >= before


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
    assert balancer.gate.part == 1.0  # a few bad servers shut no gate


def test_a_trouble_of_all_puts_nobody_out() -> None:
    balancer, _ = play({f"s{n}" for n in range(60)}, 0.9, 20_000.0)
    assert (
        sum(member.suspicion.detections > 0 for member in balancer.fleet.placed)
        <= MAX_SUSPECT_SHARE * 60
    )
    assert balancer.fleet.health.detector.base_rate("unknown") > 0.45


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
    assert balancer.gate.part == 1.0
    assert balancer.gate.origin_slow < 0.6
    assert refused < 0.15 * served, (refused, served)
