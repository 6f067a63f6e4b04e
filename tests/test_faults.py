"""Regression tests of the balancer, one for each fault found."""

from forkweir.choice import Balancer
from forkweir.gate import ORIGIN_SLOW_LEVEL
from forkweir.known.zones import MAX_UNANSWERED
from forkweir.settings import ClassSpec, Server, Settings

READ = ClassSpec("read", aim_ms=300, deadline_ms=1000)


def make(servers: list[Server], **more: object) -> Balancer:
    balancer = Balancer(
        Settings(classes=(READ,), max_attempts=3, zone="a", **more),  # type: ignore[arg-type]
        seed=1,
    )
    balancer.on_list(0.0, "full", servers)
    return balancer


def ask(balancer: Balancer, now: float, request_id: int, key: str) -> str:
    action = balancer.on_request(now, request_id, "read", key, 1000.0)[0]
    assert action[0] == "attempt"
    return str(action[2])


def homes(balancer: Balancer, keys: int = 400, now: float = 1.0) -> list[str]:
    return [ask(balancer, now, 10_000 + n, f"k{n}") for n in range(keys)]


def test_a_replaced_server_moves_few_keys_of_others() -> None:
    before = homes(make([Server(f"s{i}") for i in range(20)]))
    after = homes(make([Server(f"s{i}") for i in range(1, 21)]))
    moved = [b for b, a in zip(before, after, strict=True) if a != b and b != "s0" and a != "s20"]
    assert len(moved) < 0.12 * len(before)


def test_a_node_restarted_on_its_list_agrees_with_its_peers() -> None:
    servers = [Server(f"s{i}") for i in range(20)]
    old, new = make(servers), make(list(reversed(servers)))
    for n in range(300):
        old.on_request(1.0, n, "read", f"w{n}", 1000.0)
    same = sum(a == b for a, b in zip(homes(old), homes(new), strict=True))
    assert same > 380


def test_a_crashed_server_keeps_its_ranges_and_gets_its_keys_back() -> None:
    servers = [Server(f"s{i}") for i in range(10)]
    balancer = make(servers)
    before = homes(balancer)
    balancer.on_list(100.0, "changes", [Server("s3", state="gone")])
    down = [ask(balancer, 101.0, 30_000 + n, f"k{n}") for n in range(400)]
    assert "s3" not in down
    assert all(a == b for a, b in zip(down, before, strict=True) if b != "s3")
    balancer.on_list(9000.0, "changes", [Server("s3")])
    assert [ask(balancer, 9001.0, 20_000 + n, f"k{n}") for n in range(400)] == before


def test_a_cold_server_takes_only_a_part_of_its_keys_and_none_of_others() -> None:
    servers = [Server(f"s{i}") for i in range(10)]
    warm = homes(make(servers, cold_start_capacity=0.2, cold_ms=10_000.0))
    servers[3] = Server("s3", started_ms=1.0)
    balancer = make(servers, cold_start_capacity=0.2, cold_ms=10_000.0)
    # One request per ms: a cold server's allowance grows with time.
    cold = [ask(balancer, 2.0 + n, 10_000 + n, f"k{n}") for n in range(400)]
    assert 0 < cold.count("s3") < 0.5 * warm.count("s3")
    assert all(b == "s3" for a, b in zip(cold, warm, strict=True) if a == "s3")


def test_a_cut_zone_is_left_alone_but_for_trials() -> None:
    balancer = make([Server(f"s{i}", zone="ab"[i % 2]) for i in range(10)])
    far = {f"s{i}" for i in range(1, 10, 2)}
    lost = 0
    for n in range(200):
        now = 10.0 + n
        server = ask(balancer, now, n, f"k{n}")
        if server in far:
            lost += 1
            balancer.on_outcome(now, n, 0, True, "unreachable", server, 120.0)
    assert lost == MAX_UNANSWERED
    assert any(ask(balancer, 5000.0, 5000 + n, f"k{n}") in far for n in range(40))


def test_strain_moves_some_keys_of_a_server_that_times_out() -> None:
    balancer = make([Server(f"s{i}") for i in range(10)])
    before = homes(balancer)
    for _ in range(2):
        balancer.on_outcome(2.0, 10_000 + before.index("s3"), 0, False, "timed_out", "s3", 300.0)
    balancer.gate.admitted_share = 1.0  # the gate has a test of its own
    after = [ask(balancer, 3.0, 20_000 + n, f"k{n}") for n in range(400)]
    assert after.count("s3") < 0.6 * before.count("s3")


def test_the_gate_shuts_by_time_outs_and_opens_again() -> None:
    balancer = make([Server(f"s{i}", zone="a") for i in range(30)])
    for n in range(60):
        now = 1000.0 + 300.0 * n
        action = balancer.on_request(now, n, "read", f"k{n}", 1000.0)[0]
        if action[0] == "attempt":
            balancer.on_outcome(now, n, 0, False, "timed_out", str(action[2]), 300.0)
            # Otherwise the origin's expected load would include its retries forever.
            balancer.on_departure(now, n)
    assert balancer.gate.admitted_share <= 0.6
    for n in range(100, 400):
        now = 50_000.0 + 20.0 * n
        action = balancer.on_request(now, n, "read", f"k{n}", 1000.0)[0]
        if action[0] == "attempt":
            balancer.on_outcome(now + 10.0, n, 0, True, "success", str(action[2]), 10.0, 1)
    assert balancer.gate.admitted_share == 1.0


def test_a_write_goes_to_a_quicker_kind_and_a_read_stays_home() -> None:
    balancer = make([Server(f"s{i}", kind="fq"[i % 2]) for i in range(10)])
    before = homes(balancer)
    for n, home in enumerate(before):
        # Kind "q" (odd servers) serves hits in half the time of kind "f".
        balancer.on_outcome(
            90.0, 10_000 + n, 0, True, "success", home, 60.0 if int(home[1:]) % 2 else 120.0, 1
        )
    assert not balancer.held
    balancer.fleet.speeds.served = {"f": [9000.0, 9000.0], "q": [9000.0, 6000.0]}
    sent = [
        balancer.on_request(100.0, 50_000 + n, "read", f"k{n}", 1000.0, write=True)[0]
        for n in range(400)
    ]
    writes = [action[2] for action in sent if action[0] == "attempt"]
    assert len(writes) == 400
    assert all(int(server[1:]) % 2 for server in writes)
    assert [ask(balancer, 101.0, 60_000 + n, f"k{n}") for n in range(400)] == before


def test_a_repeat_past_its_aim_goes_first_at_a_shut_gate_and_is_served_at_an_open_one() -> None:
    balancer = make([Server(f"s{i}") for i in range(10)])
    # 400 ms of the deadline of 1000 ms are left: 600 ms have passed, more than the aim of 300 ms.
    late = balancer.on_request(0.0, 1, "read", "k", 400.0, repeated=True)[0]
    assert late[0] == "attempt" and isinstance(late[3], float) and late[3] == 400.0
    early = balancer.on_request(0.0, 2, "read", "k", 900.0, repeated=True)[0]
    assert early[0] == "attempt" and isinstance(early[3], float) and 190.0 < early[3] <= 200.0
    balancer.gate.admitted_share = 0.95
    names = [
        balancer.on_request(1.0, n, "read", f"k{n}", 400.0, repeated=True)[0][0]
        for n in range(10, 60)
    ]
    assert set(names) == {"refuse"}
    first = [balancer.on_request(1.0, n, "read", f"k{n}", 400.0)[0][0] for n in range(100, 150)]
    assert first.count("attempt") > 40


def test_strain_is_slight_where_all_servers_do_as_badly() -> None:
    def moved(others_fail: bool) -> int:
        balancer = make([Server(f"s{i}") for i in range(10)])
        before = homes(balancer)
        for n, home in enumerate(before):
            bad = others_fail or home == "s3"
            balancer.on_outcome(
                2.0,
                10_000 + n,
                0,
                True,
                "timed_out" if bad else "success",
                home,
                300.0 if bad else 20.0,
                0 if bad else 1,
            )
        balancer.gate.admitted_share = 1.0
        balancer.fetches.limiting = False  # the origin's budget has tests of its own
        after = [ask(balancer, 3.0, 20_000 + n, f"k{n}") for n in range(400)]
        return sum(a != b for a, b in zip(after, before, strict=True) if b == "s3")

    assert moved(others_fail=True) < moved(others_fail=False)


def test_time_outs_behind_a_cut_link_do_not_shut_the_gate() -> None:
    balancer = make([Server(f"s{i}", zone="ab"[i % 2]) for i in range(30)])
    balancer.gate.failure_share = 0.5  # a high failure rate, so that a timeout may shut the gate
    shut = []
    for n in range(60):
        now = 1000.0 + 300.0 * n
        action = balancer.on_request(now, n, "read", f"k{n}", 1000.0)[0]
        if action[0] == "attempt" and int(str(action[2])[1:]) % 2:
            balancer.on_outcome(now, n, 0, False, "timed_out", str(action[2]), 300.0)
            shut.append(balancer.gate.admitted_share)
    # Only the first few timeouts count, until the zone is known to be unresponsive.
    assert len(shut) > 10 and shut[0] < 1.0 and shut[-1] == shut[MAX_UNANSWERED - 2]


def test_a_few_time_outs_among_good_answers_do_not_shut_the_gate() -> None:
    balancer = make([Server(f"s{i}", zone="a") for i in range(30)])
    for n in range(600):
        now = 1000.0 + 300.0 * n
        action = balancer.on_request(now, n, "read", f"k{n}", 1000.0)[0]
        assert action[0] == "attempt"
        bad = n % 25 == 0
        balancer.on_outcome(
            now + 20.0,
            n,
            0,
            True,
            "timed_out" if bad else "success",
            str(action[2]),
            300.0 if bad else 20.0,
            0 if bad else 1,
        )
    assert balancer.gate.admitted_share == 1.0


def test_a_busy_node_opens_its_gate_no_faster_than_a_quiet_one_while_much_goes_wrong() -> None:
    def opened(requests: int) -> float:
        balancer = make([Server(f"s{i}", zone="a") for i in range(30)])
        for n in range(requests):
            balancer.gate.failure_share, now = 0.5, 1000.0 + 1000.0 * n / requests
            if n < 2:
                balancer.gate.admitted_share = 0.3
            action = balancer.on_request(now, n, "read", f"k{n}", 1000.0)[0]
            if action[0] == "attempt":
                balancer.on_outcome(now, n, 0, True, "success", str(action[2]), 20.0, 1)
        return balancer.gate.admitted_share

    assert 0.3 < opened(1000) < 0.3 + 0.25
    assert opened(100) < opened(1000) + 0.1


def test_writes_wait_while_the_origin_fails_and_go_on_when_misses_are_served_again() -> None:
    balancer = make([Server(f"s{i}") for i in range(10)])
    balancer.gate.hit_share = 50.0  # full caches: the gate has its own test

    def misses(first: int, status: str, took: float) -> None:
        for n in range(first, first + 40):
            balancer.fetches.limiting = False  # the origin's budget has tests of its own
            server = ask(balancer, float(n), n, f"k{n}")
            balancer.on_outcome(float(n), n, 0, True, status, server, took, 2)

    def written(first: int) -> int:
        balancer.fetches.limiting = False
        names = [
            balancer.on_request(100.0, n, "read", f"w{n}", 1000.0, write=True)[0][0]
            for n in range(first, first + 200)
        ]
        return names.count("attempt")

    assert written(1000) == 200
    misses(0, "failure", 250.0)
    assert 1 <= written(2000) <= 40  # a few go on as trials, even without any read
    misses(100, "success", 60.0)
    assert written(3000) == 200


def test_a_zone_that_is_silent_while_the_own_answers_is_left_but_for_trials() -> None:
    def far(own_answers: bool) -> int:
        balancer = make([Server(f"s{i}", zone="ab"[i % 2]) for i in range(10)])
        sent = 0
        for n in range(200):
            now = 20.0 * n
            server = ask(balancer, now, n, f"k{n}")
            if int(server[1:]) % 2:
                sent += now > 1000.0
            elif own_answers:
                balancer.on_outcome(now + 10.0, n, 0, True, "success", server, 10.0, 1)
        return sent

    assert 1 <= far(True) <= 4
    assert far(False) > 40  # if no server responds at all, the zone is not cut off


def test_the_gate_keeps_a_floor_while_hits_are_quick() -> None:
    def shut(slow: float) -> float:
        balancer = make([Server(f"s{i}", zone="a") for i in range(10)])
        balancer.gate.failure_share, balancer.gate.slow_hit_share = 0.5, slow
        for n in range(2000):
            action = balancer.on_request(250.0 * n, n, "read", f"k{n}", 1000.0)[0]
            if action[0] == "attempt":
                balancer.fleet.members[
                    str(action[2])
                ].load_penalty = 0.0  # as if the server were not avoided yet
                balancer.on_outcome(
                    250.0 * n + 200.0, n, 0, True, "timed_out", str(action[2]), 200.0
                )
        return balancer.gate.admitted_share

    # The floor of docs/cold-and-full.md: a floor of 0.4 refused requests that warm caches serve.
    assert 0.59 < shut(0.0) < 0.61
    assert 0.09 < shut(0.5) < 0.11


def test_time_outs_at_avoided_servers_shut_the_gate_only_while_hits_are_slow() -> None:
    def gate(slow: float) -> float:
        balancer = make([Server(f"s{i}", zone="a") for i in range(10)])
        balancer.gate.failure_share, balancer.gate.slow_hit_share = 0.5, slow
        for member in balancer.fleet.members.values():
            member.load_penalty, member.load_penalty_ms = 5.0, 1000.0
        server = ask(balancer, 1000.0, 1, "k")
        balancer.on_outcome(1300.0, 1, 0, False, "timed_out", server, 300.0)
        return balancer.gate.admitted_share

    assert gate(slow=0.0) == 1.0
    assert gate(slow=0.6) < 1.0


def test_a_late_answer_does_not_open_the_gate() -> None:
    def gate(elapsed_ms: float) -> float:
        balancer = make([Server(f"s{i}") for i in range(10)])
        server = ask(balancer, 1000.0, 1, "k")
        balancer.gate.admitted_share = 0.5
        balancer.on_outcome(1000.0 + elapsed_ms, 1, 0, True, "success", server, elapsed_ms, 1)
        return balancer.gate.admitted_share

    assert gate(100.0) > 0.5
    assert gate(900.0) == 0.5


def test_a_release_deals_homes_once_a_second_and_a_draining_server_gets_nothing_meanwhile() -> None:
    balancer = make([Server(f"s{i}") for i in range(10)])
    homes(balancer, now=5000.0)
    balancer.on_list(6000.0, "changes", [Server("s9", state="draining")])
    before = homes(balancer, now=6000.0)
    assert "s9" not in before
    dealt = balancer.fleet.placement
    balancer.on_list(6100.0, "changes", [Server("s3", state="draining"), Server("s10")])
    soon = homes(balancer, now=6200.0)
    assert dealt is not None and balancer.fleet.placement is dealt
    assert "s3" not in soon and "s10" not in soon
    assert all(a == b for a, b in zip(soon, before, strict=True) if b != "s3")
    later = homes(balancer, now=7100.0)
    assert "s3" not in later and "s10" in later
    fresh = homes(make([Server(f"s{i}") for i in (10, 8, 7, 6, 5, 4, 2, 1, 0)]), now=7100.0)
    assert later == fresh


def test_a_down_origin_behind_empty_caches_shuts_the_gate_and_gets_no_repeats() -> None:
    def fail_requests(hits: float) -> tuple[float, str]:
        balancer = make([Server(f"s{i}") for i in range(10)])
        balancer.gate.hit_share, last = hits, ""
        for n in range(60):
            action = balancer.on_request(1000.0, n, "read", f"k{n}", 1000.0)[0]
            if action[0] == "attempt":
                last = str(
                    balancer.on_outcome(1100.0, n, 0, False, "failure", str(action[2]), 100.0)[0][0]
                )
        return balancer.gate.admitted_share, last

    assert fail_requests(hits=0.2) == (0.1, "refuse")
    assert fail_requests(hits=50.0) == (1.0, "refuse")
    healthy = make([Server(f"s{i}") for i in range(10)])
    server = ask(healthy, 1000.0, 1, "k")
    assert healthy.on_outcome(1020.0, 1, 0, False, "failure", server, 20.0)[0][0] == "attempt"


def test_the_errors_of_one_server_shut_no_gate_for_the_others() -> None:
    balancer = make([Server(f"s{i}") for i in range(10)])
    balancer.gate.hit_share = 0.2  # a low hit rate, so that the origin matters
    for n in range(600):
        now = 1000.0 + 5.0 * n
        action = balancer.on_request(now, n, "read", f"k{n}", 1000.0)[0]
        assert action[0] == "attempt"
        if action[2] == "s3":
            balancer.on_outcome(now + 5.0, n, 0, True, "failure", "s3", 5.0)
        elif not 200 < n < 260:  # for a while only s3 responds
            balancer.on_outcome(now + 60.0, n, 0, True, "success", str(action[2]), 60.0, 2)
    assert balancer.gate.admitted_share == 1.0


def test_what_a_part_of_the_fleet_turns_away_goes_to_the_rest() -> None:
    balancer = make([Server(f"s{i}") for i in range(12)])
    served = 0
    for n in range(3000):
        now = 1000.0 + 5.0 * n
        first = balancer.on_request(now, n, "read", f"k{n}", 1000.0)[0]
        if first[0] != "attempt":
            continue
        server = str(first[2])
        for attempt in range(3):
            # Most servers refuse nearly all requests, for example all misses.
            if int(server[1:]) < 9 and n % 10:
                action = balancer.on_outcome(
                    now + 60.0, n, attempt, False, "overloaded", server, 60.0
                )[0]
                if action[0] != "attempt":
                    break
                server = str(action[2])
            else:
                balancer.on_outcome(now + 60.0, n, attempt, True, "success", server, 20.0, 1)
                served += 1
                break
    assert served > 2800


def test_a_time_out_of_a_likely_miss_strains_no_server_and_one_of_a_likely_hit_does() -> None:
    def strain(known: bool) -> float:
        balancer = make([Server(f"s{i}", zone="a") for i in range(10)])
        # Misses are served slowly; for quick ones see tests/forkweir/test_gate.py.
        balancer.gate.origin_slowness = 0.95 * ORIGIN_SLOW_LEVEL
        server = ask(balancer, 1000.0, 1, "k")
        if known:
            balancer.on_outcome(1020.0, 1, 0, True, "success", server, 20.0, 1)
            assert ask(balancer, 1030.0, 2, "k") == server
        else:
            balancer.fetches.unknown_miss_rate = 0.9
            balancer.on_departure(1010.0, 1)
            assert ask(balancer, 1030.0, 2, "k") == server
        balancer.on_outcome(1330.0, 2, 0, False, "timed_out", server, 300.0)
        return balancer.fleet.members[server].load_penalty

    assert strain(True) > 10.0 * strain(False) > 0.0


def test_full_queues_close_the_gate_below_its_fast_hit_minimum_higher_values_last() -> None:
    balancer = make([Server(f"s{i}", zone="a") for i in range(10)])
    balancer.gate.failure_share = 0.5
    for n in range(400):
        now, attempt = 250.0 * n, 0
        actions = balancer.on_request(now, n, "read", f"k{n}", 1000.0)
        while actions and actions[0][0] == "attempt":
            actions = balancer.on_outcome(
                now + attempt, n, attempt, False, "overloaded", str(actions[0][2]), 1.0
            )
            attempt += 1
        balancer.gate.failure_share = 0.5
    admitted_share = balancer.gate.admitted_share
    assert admitted_share < 0.2
    keys = [n / 997.0 for n in range(997)]
    admitted = [
        sum(balancer.gate.admits(key, relative_value) for key in keys)
        for relative_value in (1.0, 1.5, 2.0)
    ]
    assert admitted[0] < admitted[1] < admitted[2]
    assert all(balancer.gate.admits(key, 2.0) for key in keys if balancer.gate.admits(key, 1.0))
