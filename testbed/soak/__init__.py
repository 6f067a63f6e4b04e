"""A randomized fault soak on real processes of the node.

    python -m testbed.soak --seeds 1-20 [--nodes 12] [--seconds 12] [--json FILE]

Node processes and emulated peers (clients, cache servers, discovery, origin) run on loopback.
Faults overlap, and an oracle checks the invariants.

`plan` draws the faults and their times from a seed, `rig` runs a plan, `faults` injects its faults,
`world` holds the systems, `discovery` and `servers` emulate discovery and the cache servers,
`oracle` checks what was seen against the rules, and `shim` makes system calls of a node fail and
steps its wall clock. The same seed gives the same plan; how the processes interleave varies.
"""
