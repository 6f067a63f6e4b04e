"""Runs a script of a tier on the virtual clock, as `processes` does with real processes.

Times and order are exact. Complete nodes run, and all rules are checked.
"""

from __future__ import annotations

from typing import Any

from forkweir.tier.leases import TOTAL_SHARES
from testbed.nights.script import Script
from testbed.nights.simulation import run as run_simulation


def run(script: Script, seed: int) -> dict[str, Any]:
    """Run a script; return a report like that of `processes.run`.

    Entries that the simulation does not measure are empty or missing.
    """
    result = run_simulation(script=script, seed=seed)
    totals = result.figures
    return {
        "seed": seed,
        "seconds": script.world.seconds,
        "real_s": round(result.real_s, 2),
        "failures": [str(failure) for failure in result.failures],
        "requests": {
            "asked": totals.asked,
            "served": totals.served,
            "in_time": totals.in_time,
            "refused": totals.refused,
            "failed": totals.failed,
            "unanswered": totals.unanswered,
        },
        "usual": round(result.majority_box_share, 4),
        "fetches": result.fetches,
        "leases": result.leases,
        "most_held": {str(limit): shares for limit, shares in sorted(result.max_held.items())},
        "whole": TOTAL_SHARES,
        "trace": result.digest,
        "cold": {},
        "members": result.members,
        "keepers": result.leaders,
        "notes": [
            (round(fault.at_ms / 1000.0, 3), f"{fault.kind} {fault.nodes or fault.target}")
            for fault in script.fault
        ],
    }
