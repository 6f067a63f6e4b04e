"""Datagrams between nodes, where the settings allow them: carries `forkweir/tier` on the node's loop (docs/tier.md)."""
