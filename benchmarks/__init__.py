"""Benchmarks, one module per subsystem; each exits non-zero if a stated aim is missed."""
