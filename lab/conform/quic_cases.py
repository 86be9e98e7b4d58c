"""The cases of the QUIC suite, by area. Each case names the requirement that it verifies.

The order of the imports is the order of the cases in the report.
"""

from __future__ import annotations

# isort: off
from . import cases_packets, cases_backends, cases_validation, cases_paths

# isort: on

__all__ = ["cases_backends", "cases_packets", "cases_paths", "cases_validation"]
