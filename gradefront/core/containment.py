"""Steps of a sequence whose exceptions must not prevent the steps that follow."""

from __future__ import annotations

import logging
from collections.abc import Callable

from .counters import Counters

log = logging.getLogger("gradefront.core")


def run_contained(counters: Counters, step_name: str, step: Callable[[], object]) -> None:
    """Run a step. An exception of it is logged with `step_name`, counted as `exceptions`, and not raised."""
    try:
        step()
    except Exception:
        log.exception("%s: exception contained", step_name)
        counters.add("exceptions")
