"""Counters and log lines on single requests: how each was answered and why, and what went to servers in slow start.

A line for each request would cost more than it tells. So there is one for each send to a server in slow start, which
are few, and one a second for each reason of a rejection; all of them are counted.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from balancer.actions import Fail, NotSentReason, Reject, SlowStartAllowance

from .attempt_error import AttemptError
from .connection import Attempt, Connection
from .counters import Counters

log = logging.getLogger("gradefront.request")

LOG_GAP_US = 1_000_000  # us: between two log lines of one reason


class Core(Protocol):
    """What of the core this part uses."""

    counters: Counters
    clock: Callable[[], int]

    def count_answer(self, name: str, request_class: int) -> None:
        """Count an answer for its class."""


class RequestLog:
    """Tells what became of requests."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.logged_us: dict[NotSentReason | None, int] = {}  # by reason: when its last line was written
        self.unlogged: dict[NotSentReason | None, int] = {}  # by reason: answers since that line

    def on_established(self, connection: Connection) -> None:
        """A server took the request."""
        self.core.counters.add("stood")
        self.core.count_answer("answered_total", connection.connect_request.request_class)

    def on_rejected(self, connection: Connection, answer: Reject) -> None:
        """The client is told that to come again is harmless."""
        self.core.counters.add("refused")
        self.core.count_answer("deferred_total", connection.connect_request.request_class)
        self._answered("refused", connection, answer.reason)

    def on_failed(self, connection: Connection, answer: Fail | None) -> None:
        """The client is promised nothing; without an answer of the module, the core itself gave up."""
        self.core.counters.add("failed")
        self.core.count_answer("errored_total", connection.connect_request.request_class)
        self._answered("failed", connection, answer.reason if answer else None)

    def _answered(self, how: str, connection: Connection, reason: NotSentReason | None) -> None:
        """Count the reason; log it once a second, with the request's id."""
        now = self.core.clock()
        if reason:
            self.core.counters.add(f"{how}: {reason.value}")
        if now - self.logged_us.get(reason, -LOG_GAP_US) < LOG_GAP_US:
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

    def on_send(self, attempt: Attempt, room: SlowStartAllowance | None) -> None:
        """A request goes to a server, which is in slow start where it had this `room`."""
        if room is None:
            return
        self.core.counters.add("slow_start_sends")
        log.info(
            "request %s goes to %s in slow start: %s",
            attempt.connection.connect_request.connection_id,
            attempt.backend,
            room,
        )

    def on_attempt_end(self, attempt: Attempt, error: AttemptError) -> None:
        """An attempt, or the connection that it made, has ended."""
        if not attempt.slow_start:
            return
        took_ms = (self.core.clock() - attempt.started_us) // 1000
        log.info(
            "request %s at %s in slow start ended after %d ms: %s",
            attempt.connection.connect_request.connection_id,
            attempt.backend,
            took_ms,
            error,
        )
