"""Counters and log lines for the answers to requests, and for attempts at backends in slow start.

All answers are counted, but a log line for each request would cost too much. Logged are the attempts at backends in
slow start, of which there are few, and at most one rejection or failure per second for each reason.
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
    """The parts of the relay core that this module uses."""

    counters: Counters
    clock: Callable[[], int]

    def count_answer(self, name: str, request_class: int) -> None:
        """Count an answer for its class."""


class RequestLog:
    """Counts and logs the outcomes of requests."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.logged_us: dict[NotSentReason | None, int] = {}  # by reason: when its last log line was written
        self.unlogged: dict[NotSentReason | None, int] = {}  # by reason: number of answers since that line

    def on_established(self, connection: Connection) -> None:
        """Count a connection that a backend accepted."""
        self.core.counters.add("stood")
        self.core.count_answer("answered_total", connection.connect_request.request_class)

    def on_rejected(self, connection: Connection, answer: Reject) -> None:
        """Count and log a rejection; the client may safely retry."""
        self.core.counters.add("refused")
        self.core.count_answer("deferred_total", connection.connect_request.request_class)
        self._count_and_log("refused", "rejected", connection, answer.reason)

    def on_failed(self, connection: Connection, answer: Fail | None) -> None:
        """Count and log a failure; `answer` is None where the core failed the request without the decision module."""
        self.core.counters.add("failed")
        self.core.count_answer("errored_total", connection.connect_request.request_class)
        self._count_and_log("failed", "failed", connection, answer.reason if answer else None)

    def _count_and_log(self, counter: str, result: str, connection: Connection, reason: NotSentReason | None) -> None:
        """Count the reason, and log it with the request's id at most once per second."""
        now = self.core.clock()
        if reason:
            self.core.counters.add(f"{counter}: {reason.value}")
        if now - self.logged_us.get(reason, -LOG_INTERVAL_US) < LOG_INTERVAL_US:
            self.unlogged[reason] = self.unlogged.get(reason, 0) + 1
            return
        self.logged_us[reason] = now
        reason_text = reason.value if reason else "answered by the relay itself, without the decision module"
        waited_ms = (now - connection.arrived_us) // 1000
        log.info(
            "request %s %s after %d ms and %d attempts: %s (and %d more)",
            connection.connect_request.connection_id,
            result,
            waited_ms,
            connection.attempts,
            reason_text,
            self.unlogged.pop(reason, 0),
        )

    def on_send(self, attempt: Attempt, allowance: SlowStartAllowance) -> None:
        """Count and log the start of an attempt at a backend in slow start."""
        self.core.counters.add("slow_start_sends")
        log.info(
            "request %s goes to %s in slow start: %s",
            attempt.connection.connect_request.connection_id,
            attempt.backend,
            allowance,
        )

    def on_attempt_end(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Log the end of an attempt at a backend in slow start, or of the connection that it established."""
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
