"""Visits that stood before this relay started: each goes to its own push box only, up to a limit."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from milletdeal import interface as i

from .shortfall import Shortfall
from .visit import Stage, Visit
from .wheel import Timer

log = logging.getLogger("gradefront.brought")

BROUGHT_US = 38_000_000  # patience with a visit that stood before the start (40 s are allowed)
BROUGHT_TRY_US = 9_000_000  # of which one attempt may take this, so that a lost one leaves time for others
BROUGHT_TRIES = 4
BROUGHT_WAIT_US = 500_000


class Core(Protocol):
    """What of the desk this part uses."""

    clock: Callable[[], int]

    def after(self, delay_us: int, then: Callable[[], None]) -> Timer:
        """Run `then` later."""

    def reach_out(self, visit: Visit, box: str, until_us: int) -> None:
        """Begin an attempt."""

    def answer(self, visit: Visit, answer: i.Refuse | i.Fail | None) -> None:
        """The one final answer."""


def once_more(core: Core, visit: Visit, shortfall: Shortfall) -> None:
    """An attempt of such a visit failed: try again after a while, or answer."""
    visit.step(Stage.WAITING)
    visit.attempt = None
    if visit.attempts >= min(BROUGHT_TRIES, visit.settings.max_attempts):
        log.warning("visit %d could not go on at push box %s: %s", visit.number, visit.pinned, shortfall)
        core.answer(visit, None)
        return

    def again() -> None:
        if visit.stage is Stage.WAITING:
            until = min(visit.deadline_us, core.clock() + BROUGHT_TRY_US)
            core.reach_out(visit, visit.pinned, until)
    core.after(BROUGHT_WAIT_US << visit.attempts, again)
