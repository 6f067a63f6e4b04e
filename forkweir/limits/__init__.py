"""Limits: the unit of work, allowances, budgets, patience, duty. Pure, no I/O, no clock."""
