"""A tier's script on the virtual clock: the same as `processes`, with exact time and order.

Whole nodes are run, and all rules are checked.
"""

from __future__ import annotations

from typing import Any

from forkweir.tier.leases import TOTAL_SHARES
from testbed.nights.script import Script
from testbed.nights.simulation import run as play


def run(script: Script, seed: int) -> dict[str, Any]:
    """Play a script; return a report in the form of that of real processes, as far as known."""
    result = play(script=script, seed=seed)
    figures = result.figures
    return {
        "seed": seed,
        "seconds": script.world.seconds,
        "real_s": round(result.real_s, 2),
        "failures": [str(failure) for failure in result.failures],
        "requests": {
            "asked": figures.asked, "served": figures.served, "in_time": figures.in_time, "refused": figures.refused,
            "failed": figures.failed, "unanswered": figures.unanswered,
        },
        "usual": round(result.majority_box_share, 4),
        "fetches": result.fetches,
        "leases": result.leases,
        "most_held": {str(bound): parts for bound, parts in sorted(result.max_held.items())},
        "whole": TOTAL_SHARES,
        "trace": result.digest,
        "cold": {},
        "members": result.members,
        "keepers": result.leaders,
        "notes": [(round(fault.at_ms / 1000.0, 3), f"{fault.kind} {fault.nodes or fault.target}") for fault in script.fault],
    }  # fmt: skip
