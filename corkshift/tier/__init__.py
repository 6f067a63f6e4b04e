"""Datagrams between nodes where the settings allow them: runs `forkweir/tier` on the event loop."""
