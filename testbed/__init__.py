"""The virtual world: clock, network, stand-ins, faults, rules and explorer (docs/simulation.md). The node never imports it."""
