"""Counters and log lines of single requests: how each was answered and why, and attempts at backends in slow start.

A line for each request would cost too much. So there is one for each attempt at a backend in slow start, which are
few, and one a second for each reason of a rejection or failure; all of them are counted.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from balancer.actions import Fail, NotSentReason, Reject, SlowStartAllowance

from .attempt_outcome import AttemptOutcome
from .connection import Attempt, Connection
from .counters import Counters

log = logging.getLogger("gradefront.request")

LOG_INTERVAL_US = 1_000_000  # between two log lines of one reason


class Core(Protocol):
    """What this part uses of the core."""

    counters: Counters
    clock: Callable[[], int]

    def count_answer(self, name: str, request_class: int) -> None:
        """Count an answer for its class."""


class RequestLog:
    """Counts and logs what became of requests."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.logged_us: dict[NotSentReason | None, int] = {}  # by reason: when its last line was written
        self.unlogged: dict[NotSentReason | None, int] = {}  # by reason: answers since that line

    def on_established(self, connection: Connection) -> None:
        """A backend accepted the connection."""
        self.core.counters.add("stood")
        self.core.count_answer("answered_total", connection.connect_request.request_class)

    def on_rejected(self, connection: Connection, answer: Reject) -> None:
        """The client is rejected: it may safely come again."""
        self.core.counters.add("refused")
        self.core.count_answer("deferred_total", connection.connect_request.request_class)
        self._count_and_log("refused", "rejected", connection, answer.reason)

    def on_failed(self, connection: Connection, answer: Fail | None) -> None:
        """The client gets an error; without an answer of the module, the core itself gave up."""
        self.core.counters.add("failed")
        self.core.count_answer("errored_total", connection.connect_request.request_class)
        self._count_and_log("failed", "failed", connection, answer.reason if answer else None)

    def _count_and_log(self, counter: str, how: str, connection: Connection, reason: NotSentReason | None) -> None:
        """Count the reason; log it once a second, with the request's id."""
        now = self.core.clock()
        if reason:
            self.core.counters.add(f"{counter}: {reason.value}")
        if now - self.logged_us.get(reason, -LOG_INTERVAL_US) < LOG_INTERVAL_US:
            self.unlogged[reason] = self.unlogged.get(reason, 0) + 1
            return
        self.logged_us[reason] = now
        why = reason.value if reason else "given up by the relay itself"
        waited_ms = (now - connection.arrived_us) // 1000
        log.info(
            "request %s %s after %d ms and %d attempts: %s (and %d more)",
            connection.connect_request.connection_id,
            how,
            waited_ms,
            connection.attempts,
            why,
            self.unlogged.pop(reason, 0),
        )

    def on_send(self, attempt: Attempt, allowance: SlowStartAllowance) -> None:
        """An attempt begins at a backend in slow start."""
        self.core.counters.add("slow_start_sends")
        log.info(
            "request %s goes to %s in slow start: %s",
            attempt.connection.connect_request.connection_id,
            attempt.backend,
            allowance,
        )

    def on_attempt_end(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """An attempt, or the connection that it made, has ended."""
        if not attempt.slow_start:
            return
        took_ms = (self.core.clock() - attempt.started_us) // 1000
        log.info(
            "request %s at %s in slow start ended after %d ms: %s",
            attempt.connection.connect_request.connection_id,
            attempt.backend,
            took_ms,
            outcome,
        )
