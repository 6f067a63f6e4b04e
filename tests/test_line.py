"""Cuts of the line and their blending, against values computed by hand."""

from array import array

from forkweir.line import ALPHA, UPDATE_INTERVAL, Line, equal_cuts, position_of


def test_cuts_of_the_papers_example() -> None:
    # Section 4 of the DEMB paper: with 10 servers and WS 500 the first cut lies midway between
    # points 50 and 51.
    window = [float(i) for i in range(1, 501)]
    assert equal_cuts(window, 10) == [50.5, 100.5, 150.5, 200.5, 250.5, 300.5, 350.5, 400.5, 450.5]


def test_update_blends_new_cuts_into_old_ones() -> None:
    line = Line(4)
    old = list(line.cuts)
    line.window = array("d", [0.1 * x for x in line.window])
    line.update()
    for before, after in zip(old, line.cuts, strict=True):
        assert abs(after - (ALPHA * 0.1 * before + (1 - ALPHA) * before)) < 1e-12


def test_new_nodes_agree_and_a_few_arrivals_hardly_move_the_cuts() -> None:
    quiet, fresh = Line(512), Line(512)
    assert quiet.cuts == fresh.cuts
    for n in range(UPDATE_INTERVAL):
        quiet.record_arrival(position_of(f"k{n}"), f"k{n}")
    shift = max(abs(a - b) for a, b in zip(quiet.cuts, fresh.cuts, strict=True))
    assert 0.0 < shift < 0.25 / 512


def test_window_keeps_its_size_and_its_order() -> None:
    line = Line(8)
    size = len(line.window)
    for n in range(5 * size):
        line.record_arrival(position_of(f"k{n % 97}"), f"k{n % 97}")
    assert len(line.window) == size and list(line.window) == sorted(line.window)
    assert not line.initial_points and sorted(line.arrivals) == list(line.window)


def test_a_hot_key_is_spread_over_the_servers_that_its_load_needs() -> None:
    line = Line(64)
    for n in range(512):
        key = "hot" if n % 4 == 0 else f"k{n}"
        line.record_arrival(position_of(key), key)
    assert line.server_count_for_key("hot", 8) == 2
    assert line.server_count_for_key("k1", 8) == 1


def test_a_key_seen_three_times_is_not_hot() -> None:
    line = Line(64)
    for _ in range(3):
        line.record_arrival(position_of("a"), "a")
    assert line.server_count_for_key("a", 50) == 1
