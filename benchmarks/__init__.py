"""Benchmarks. Each prints a Markdown table, and compares with a baseline that is measured in the same run."""
