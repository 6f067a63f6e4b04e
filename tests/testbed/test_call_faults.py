"""System calls that fail on the virtual clock: the injector itself, and nights that once spun."""

from __future__ import annotations

import errno

import pytest

from testbed.machine.faults import TABLE, Call, CallFaults
from testbed.nights import simulation
from testbed.nights.script import SYSTEM_CALLS_FIRST_SEED, draw

# Accepting that went on without a pause while each accept failed with ECONNABORTED, and calls of every other kind.
ONCE_FAILED = (3, 4, 22, 56, 76, 121, 138)


def test_a_call_fails_for_its_time_or_so_often() -> None:
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
    assert faults.hits == 3


def test_nights_reach_every_call_and_error() -> None:
    drawn = {
        int(fault.value)
        for n in range(400)
        for fault in draw(SYSTEM_CALLS_FIRST_SEED + n).fault
        if fault.kind == "node_calls"
    }
    assert drawn == set(range(len(TABLE)))


@pytest.mark.parametrize("n", ONCE_FAILED)
def test_a_night_on_which_calls_fail_keeps_every_rule(n: int) -> None:
    assert (
        simulation.run(
            SYSTEM_CALLS_FIRST_SEED - 1 + n, draw(SYSTEM_CALLS_FIRST_SEED - 1 + n)
        ).failures
        == []
    )
