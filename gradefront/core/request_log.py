"""Counters and log lines on single requests: how each was answered and why, and what went to servers in slow start.

A line for each request would cost more than it tells. So there is one for each send to a server in slow start, which
are few, and one a second for each reason of a refusal; all of them are counted.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from milletdeal.interface import Fail, HoldReason, Refuse, SlowStartRoom

from .attempt_error import AttemptError
from .counters import Counters
from .visit import Attempt, Visit

log = logging.getLogger("gradefront.request")

LOG_GAP_US = 1_000_000  # us: between two log lines of one reason


class Core(Protocol):
    """What of the core this part uses."""

    counters: Counters
    clock: Callable[[], int]

    def count(self, name: str, klass: int) -> None:
        """Count an answer for its class."""


class RequestLog:
    """Tells what became of requests."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.logged_us: dict[HoldReason | None, int] = {}  # by reason: when its last line was written
        self.unlogged: dict[HoldReason | None, int] = {}  # by reason: answers since that line

    def on_established(self, visit: Visit) -> None:
        """A server took the request."""
        self.core.counters.add("stood")
        self.core.count("answered_total", visit.call.klass)

    def on_refused(self, visit: Visit, answer: Refuse) -> None:
        """The client is told that to come again is harmless."""
        self.core.counters.add("refused")
        self.core.count("deferred_total", visit.call.klass)
        self._answered("refused", visit, answer.reason)

    def on_failed(self, visit: Visit, answer: Fail | None) -> None:
        """The client is promised nothing; without an answer of the module, the core itself gave up."""
        self.core.counters.add("failed")
        self.core.count("errored_total", visit.call.klass)
        self._answered("failed", visit, answer.reason if answer else None)

    def _answered(self, how: str, visit: Visit, reason: HoldReason | None) -> None:
        """Count the reason; log it once a second, with the request's id."""
        now = self.core.clock()
        if reason:
            self.core.counters.add(f"{how}: {reason.value}")
        if now - self.logged_us.get(reason, -LOG_GAP_US) < LOG_GAP_US:
            self.unlogged[reason] = self.unlogged.get(reason, 0) + 1
            return
        self.logged_us[reason] = now
        why = reason.value if reason else "given up by the relay itself"
        waited_ms = (now - visit.came_us) // 1000
        log.info(
            "request %s %s after %d ms and %d attempts: %s (and %d more)",
            visit.call.connection_id,
            how,
            waited_ms,
            visit.attempts,
            why,
            self.unlogged.pop(reason, 0),
        )

    def on_send(self, attempt: Attempt, room: SlowStartRoom | None) -> None:
        """A request goes to a server, which is in slow start where it had this `room`."""
        if room is None:
            return
        self.core.counters.add("slow_start_sends")
        log.info("request %s goes to %s in slow start: %s", attempt.visit.call.connection_id, attempt.box, room)

    def on_attempt_end(self, attempt: Attempt, error: AttemptError) -> None:
        """An attempt, or the connection that it made, has ended."""
        if not attempt.slow_start:
            return
        took_ms = (self.core.clock() - attempt.began_us) // 1000
        log.info(
            "request %s at %s in slow start ended after %d ms: %s",
            attempt.visit.call.connection_id,
            attempt.box,
            took_ms,
            error,
        )
