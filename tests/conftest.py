"""Hooks for KNOWN-RED.txt, and a hypothesis profile that generates the same examples in every run."""

from hypothesis import settings

from .known_red import (
    pytest_collection_modifyitems,
    pytest_make_collect_report,
    pytest_runtest_makereport,
    pytest_terminal_summary,
)

__all__ = [
    "pytest_collection_modifyitems",
    "pytest_make_collect_report",
    "pytest_runtest_makereport",
    "pytest_terminal_summary",
]

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
