"""The simulated environment of the node: clock, network, stand-ins, faults, rules and exploration.

docs/simulation.md describes it. The node never imports it.
"""
