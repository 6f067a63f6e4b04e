"""Tests of the tier: many nodes together.

`model` runs the protocol alone over a faulty network, `processes` runs real processes with faults
between them, and `virtual` runs the same scripts on the virtual clock.
"""
