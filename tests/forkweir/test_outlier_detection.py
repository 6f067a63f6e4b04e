"""Outlier detection: few attempts reveal a bad server, and a common cause blames none."""

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

READ = ClassSpec("read", aim_ms=800.0, deadline_ms=2500.0, value=3.0)


def trained(adverse_share: float, seed: int = 1) -> OutlierDetector:
    """Return a detector after 400 attempts at good servers, of which this share failed."""
    detector, rng = OutlierDetector(seed), random.Random(seed)
    for n in range(400):
        detector.update(Suspicion(), "known", rng.random() < adverse_share, float(n))
    return detector


def test_two_failures_make_a_server_suspect_and_two_good_answers_clear_it() -> None:
    detector, suspicion = trained(0.02), Suspicion()
    detector.update(suspicion, "known", True, 1_000.0)
    assert not suspicion.suspect
    detector.update(suspicion, "known", True, 2_000.0)
    assert suspicion.suspect
    detector.update(suspicion, "known", False, 3_000.0)
    detector.update(suspicion, "known", False, 3_500.0)
    assert not suspicion.suspect


def test_single_failures_among_good_answers_are_tolerated() -> None:
    detector, suspicion, rng = trained(0.05), Suspicion(), random.Random(3)
    found = 0
    for n in range(2_000):
        adverse = rng.random() < 0.08
        detector.update(suspicion, "known", adverse, 300.0 * n)
        found += adverse and suspicion.suspect
    assert found < 0.01 * 2_000  # two failures in a row by chance


def test_a_high_base_rate_makes_no_server_suspect() -> None:
    detector, suspicion = trained(0.7), Suspicion()
    for n in range(10):
        detector.update(suspicion, "known", True, 100.0 * n)
    assert not suspicion.suspect


def test_a_few_bad_servers_do_not_raise_the_base_rate() -> None:
    detector, rng = OutlierDetector(1), random.Random(1)
    records = [Suspicion() for _ in range(60)]
    for n in range(1_500):
        server = rng.randrange(60)
        detector.update(records[server], "known", server < 9 or rng.random() < 0.02, 33.0 * n)
    assert [suspicion.suspect for suspicion in records] == [True] * 9 + [False] * 51
    assert detector.base_rate("known") < 0.06


def test_a_common_cause_counts_in_full_towards_the_base_rate() -> None:
    alone, common = OutlierDetector(1), OutlierDetector(1)
    bad = Suspicion()
    bad.log_odds = MAX_LOG_ODDS
    for n in range(200):
        alone.update(bad, "known", True, float(n))
        assert common.update(bad, "known", True, float(n), True) == 0.0
    assert alone.base_rate("known") < 0.1 < 0.5 < common.base_rate("known")


def test_many_suspect_servers_have_a_common_cause_only_if_the_others_do_badly() -> None:
    well, badly = trained(0.02), trained(COMMON_FAILURE_RATE + 0.1)
    assert not well.is_common_cause("known", MAX_SUSPECT_SHARE) and not badly.is_common_cause(
        "known", MAX_SUSPECT_SHARE
    )
    assert not well.is_common_cause("known", 0.5) and badly.is_common_cause("known", 0.5)
    assert well.is_common_cause("known", MAX_INDEPENDENT_SHARE + 0.01)


def test_evidence_against_a_server_decays() -> None:
    detector, suspicion = trained(0.02), Suspicion()
    for n in range(3):
        detector.update(suspicion, "known", True, 100.0 * n)
    detector.update(suspicion, "known", False, 120_000.0)
    assert suspicion.log_odds < PRIOR_LOG_ODDS


def test_trial_waits_double_up_to_a_bound_with_jitter() -> None:
    first = [OutlierDetector(seed).next_trial_wait(Suspicion()) for seed in range(40)]
    assert (
        INITIAL_TRIAL_WAIT_MS * (1.0 - TRIAL_JITTER)
        <= min(first)
        < max(first)
        <= INITIAL_TRIAL_WAIT_MS
    )
    # At least a dozen different moments.
    assert len({round(wait / 50.0) for wait in first}) > 10
    detector, suspicion = OutlierDetector(1), Suspicion()
    waits = [detector.next_trial_wait(suspicion) for _ in range(12)]
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
def test_log_odds_and_base_rates_stay_within_bounds(
    attempts: list[tuple[str, bool, float]],
) -> None:
    detector, suspicion, now = OutlierDetector(1), Suspicion(), 0.0
    for category, adverse, later in attempts:
        now += later
        before = suspicion.log_odds
        likely = detector.update(suspicion, category, adverse, now)
        assert MIN_LOG_ODDS <= suspicion.log_odds <= MAX_LOG_ODDS and 0.0 <= likely <= 1.0
        assert MIN_BASE_RATE <= detector.base_rate(category) <= MAX_BASE_RATE
        if adverse and later == 0.0:
            assert suspicion.log_odds >= before


def send_request(
    balancer: Balancer,
    now: float,
    n: int,
    key: str,
    after_ms: float,
    answer: Callable[[str], tuple[str, int, float]],
) -> bool:
    """Send a request; each attempt ends `after_ms` later as its server's `answer` says.

    answer gives the status, cache result and elapsed time. Returns whether the request was served.
    """
    action, attempt = balancer.on_request(now, n, "read", key, 2_500.0)[0], 0
    while action[0] == "attempt":
        status, cache_result, elapsed_ms = answer(str(action[2]))
        served = status == "success"
        after = balancer.on_outcome(
            now + after_ms, n, attempt, served, status, str(action[2]), elapsed_ms, cache_result
        )
        if served:
            return True
        action, attempt = after[0], attempt + 1
    return False


def simulate(failing: set[str], part: float, until_ms: float) -> tuple[Balancer, dict[str, int]]:
    """Simulate a node with 20 requests a second and 60 servers, some of which fail.

    Returns the balancer and the attempts at each server in the second half.
    """
    balancer, rng = Balancer(Settings(classes=(READ,), may_cancel=True), 5), random.Random(5)
    balancer.on_list(0.0, "full", [Server(f"s{n}") for n in range(60)])
    sent = dict.fromkeys((f"s{n}" for n in range(60)), 0)
    now, n = 1_000.0, 0

    def answer(server: str) -> tuple[str, int, float]:
        sent[server] += now > until_ms / 2.0
        adverse = server in failing and rng.random() < part
        return ("failure", 0, 60.0) if adverse else ("success", 1, 60.0)

    while now < until_ms:
        n += 1
        now += rng.expovariate(1 / 50.0)
        send_request(balancer, now, n, f"k{rng.randrange(4_000)}", 60.0, answer)
    return balancer, sent


def test_a_node_with_few_requests_per_server_avoids_failing_servers() -> None:
    failing = {f"s{n}" for n in range(0, 54, 6)}
    balancer, sent = simulate(failing, 0.8, 40_000.0)
    mean_at_others = sum(sent[name] for name in sent if name not in failing) / 51.0
    assert sum(sent[name] for name in failing) / 9.0 < 0.45 * mean_at_others
    assert balancer.gate.admitted_share == 1.0  # a few bad servers don't close the gate


def test_a_failure_of_all_servers_ejects_none() -> None:
    balancer, _ = simulate({f"s{n}" for n in range(60)}, 0.9, 20_000.0)
    assert (
        sum(member.suspicion.detections > 0 for member in balancer.fleet.home_candidates)
        <= MAX_SUSPECT_SHARE * 60
    )
    assert balancer.fleet.health.detector.base_rate("unknown") > 0.45


def test_a_failing_half_of_the_fleet_closes_no_gate_and_blames_no_origin() -> None:
    """A node has 20 requests a second and 60 servers, 27 of which fail most hits and misses."""
    rng = random.Random(11)
    balancer = Balancer(Settings(classes=(READ,)), 1)
    balancer.on_list(0.0, "full", [Server(f"s{i}") for i in range(60)])
    served = refused = 0
    failing = False

    def answer(server: str) -> tuple[str, int, float]:
        bad = failing and int(server[1:]) < 27 and rng.random() < 0.8
        cache_result = 1 + (rng.random() < 0.3)
        return ("failure", 0, 10.0) if bad else ("success", cache_result, 100.0 * cache_result)

    for n in range(500):
        failing = n >= 200  # from 10 s on
        succeeded = send_request(
            balancer, 1_000.0 + 50.0 * n, n, f"k{rng.randrange(400)}", 0.0, answer
        )
        served += failing and succeeded
        refused += failing and not succeeded
    assert balancer.gate.admitted_share == 1.0
    assert balancer.gate.origin_slowness < 0.6
    assert refused < 0.15 * served, (refused, served)
