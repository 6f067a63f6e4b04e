"""Injected system call failures: the injector, and seeds on which the node once spun in a loop."""

from __future__ import annotations

import errno

import pytest

from testbed.machine.faults import CALL_ERRORS, Call, CallFaults
from testbed.nights import simulation
from testbed.nights.script import SYSTEM_CALLS_FIRST_SEED, draw

# On some of these seeds the node retried accept without a pause while each call failed with
# ECONNABORTED; the others make calls of every other kind fail.
ONCE_FAILING_SEEDS = (3, 4, 22, 56, 76, 121, 138)


def test_a_call_fails_until_a_time_or_a_number_of_times() -> None:
    faults = CallFaults()
    faults.fail(Call.SEND, errno.ENOBUFS, until_us=1_000)
    faults.fail(Call.ACCEPT, errno.EMFILE, until_us=1_000, times=1)
    for now in (0, 999):
        with pytest.raises(OSError) as raised:
            faults.check(Call.SEND, now)
        assert raised.value.errno == errno.ENOBUFS
    with pytest.raises(OSError):
        faults.check(Call.ACCEPT, 0)
    faults.check(Call.ACCEPT, 1)
    faults.check(Call.SEND, 1_000)
    faults.check(Call.RECV, 0)
    assert faults.injected == 3


def test_scenarios_draw_every_call_and_error() -> None:
    drawn = {
        int(fault.value)
        for n in range(400)
        for fault in draw(SYSTEM_CALLS_FIRST_SEED + n).fault
        if fault.kind == "node_calls"
    }
    assert drawn == set(range(len(CALL_ERRORS)))


@pytest.mark.parametrize("n", ONCE_FAILING_SEEDS)
def test_a_scenario_with_failing_calls_keeps_every_rule(n: int) -> None:
    assert (
        simulation.run(
            SYSTEM_CALLS_FIRST_SEED - 1 + n, draw(SYSTEM_CALLS_FIRST_SEED - 1 + n)
        ).failures
        == []
    )
