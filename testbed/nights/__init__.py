"""Fault scenarios on a virtual clock.

The modules hold scripts and their drawing, the simulated system that runs them, the rules checked
on it, planted defects, and exploration over many seeds.
"""
