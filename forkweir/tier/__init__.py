"""Cooperation of many nodes: membership (`members`) and tier-wide limits with leases (`leases`).

Pure: no I/O, no clock, no randomness but the seed. `tier` combines the parts; `wire` has the
datagrams; `demand` is what the decision module sees. Design and bounds: docs/tier.md. Nothing here
is imported where nodes may not talk to one another.
"""
