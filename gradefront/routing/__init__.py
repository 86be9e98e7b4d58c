"""Admission control and rate limits in front of the decision module. No I/O, and no clock of its own."""
