"""What many nodes do as one: who takes part (`members`), and bounds of the whole tier that are dealt in leases (`lending`).

Pure: no I/O, no clock, no randomness but the seed. `tier` puts the parts together; `wire` has the datagrams; `claims` is what the
decision module sees. Design and bounds: docs/tier.md. Nothing here is imported where nodes may not talk to one another.
"""
