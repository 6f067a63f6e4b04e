"""Limits of a node: request costs, slow start, budgets for retries and fetches, client waits.

The modules of this package are pure: no I/O and no clock.
"""
