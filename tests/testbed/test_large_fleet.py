"""One node process on a share of a core beside up to thousands of cache servers: the rules of the soak, held to the letter."""

from __future__ import annotations

from testbed.soak.large_fleet import Scenario, run

FIRST_LIST_S = (
    3.0  # from when discovery has the first list until a request is served, at a tenth of a core
)


def test_the_first_list_of_3200_servers_breaks_no_rule_at_a_tenth_of_a_core() -> None:
    # The reproduction of the incident of issue 48: the node stood still for seconds over its first list and over each change, requests
    # that stood unread meanwhile got a whole deadline from when they were read, and drains were read after attempts had gone out.
    result = run(Scenario(servers=3_200, core_share=0.1, seconds=9.0))
    assert result.violations == []
    assert result.late_attempts == 0
    assert result.ended_s is not None
    assert result.first_served_s is not None and result.first_served_s <= FIRST_LIST_S


def test_servers_replaced_faster_than_homes_are_dealt_make_no_decision_fail() -> None:
    # Servers that went undrained count on for 30 s, so that 100 servers grow past the 256 for which ranges are doubled within a second.
    result = run(
        Scenario(servers=100, seconds=6.0, replace_every_s=0.07, replaced_part=0.1, drain=False)
    )
    assert result.decisions_failed == 0
    assert result.violations == []
    assert result.late_attempts == 0
    assert result.ended_s is not None
