"""Due time and actual time of each step of a planned stop, for the log.

The two times distinguish a late event loop from a step that waits for peers.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

log = logging.getLogger("gradefront.stop")

US_PER_MS = 1_000


class StopStep(NamedTuple):
    """One step of a stop.

    Times are clock readings in microseconds; `due_us` is None for a step without a due time.
    """

    name: str
    at_us: int
    due_us: int | None


class StopTimeline:
    """The steps of one planned stop, with times relative to the signal that requested it."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.signalled_us = 0
        self.steps: list[StopStep] = []

    def begin(self, signalled_us: int) -> None:
        """Record that the reactor now handles the signal, which was received at `signalled_us`."""
        self.signalled_us = signalled_us
        self.record("handled", signalled_us)

    def record(self, name: str, due_us: int | None = None) -> None:
        """Record that a step runs now."""
        self.steps.append(StopStep(name, self.clock(), due_us))

    def log(self) -> None:
        """Log the steps so far as one line; log nothing if no stop has begun."""
        if self.steps:
            log.info(
                "planned stop, ms after the signal: %s", ", ".join(self._format_step(step) for step in self.steps)
            )

    def _format_step(self, step: StopStep) -> str:
        text = f"{step.name} {(step.at_us - self.signalled_us) // US_PER_MS}"
        if step.due_us is None:
            return text
        return f"{text} (due {(step.due_us - self.signalled_us) // US_PER_MS})"
