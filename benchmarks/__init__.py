"""Measurements: each prints a table, and compares with a baseline in the same run."""
