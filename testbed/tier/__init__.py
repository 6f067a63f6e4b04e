"""Many nodes together.

`model` has the protocol alone over a random network; `processes` has real processes with faults
between them.
"""
