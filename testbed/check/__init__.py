"""Exhaustive checks of the pure cores: every interleaving of events in small scopes."""
