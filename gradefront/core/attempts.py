"""Attempts at backends, from the decision module's action to their end.

At most one attempt is in flight for a connection.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from balancer.actions import StartAttempt
from balancer.events import (
    NEVER_EXECUTED,
    AttemptEnded,
    AttemptResult,
    ConnectionAdopted,
    ConnectionEstablished,
    ConnectionLoadReport,
    Event,
)

from .answers import Answers
from .attempt_outcome import AttemptOutcome, AttemptPhase
from .connection import Attempt, AttemptOwner, Connection, ConnectionState
from .ports import ConnectionEnd
from .request_log import RequestLog
from .timer_wheel import TimerWheel

log = logging.getLogger("gradefront.attempts")

# Timeout of one attempt for an adopted connection; short enough for further attempts within ADOPTED_TIMEOUT_US
# (`requests.py`).
ADOPTED_ATTEMPT_US = 9_000_000
ADOPTED_MAX_ATTEMPTS = 4
ADOPTED_BACKOFF_US = 500_000  # doubled after each attempt, the first one included


class Core(AttemptOwner, Protocol):
    """The parts of the relay core that this module uses."""

    connections: dict[int, Connection]
    timers: TimerWheel
    wake: Callable[[], None]
    request_log: RequestLog
    answers: Answers

    def enqueue(self, event: Event) -> None:
        """Queue an event for the decision module."""


class Attempts:
    """Starts attempts and handles their progress and their end."""

    def __init__(self, core: Core) -> None:
        self.core = core

    def start(self, action: StartAttempt) -> None:
        """Start the attempt that the decision module requests, or report that nothing was sent."""
        core, connection = self.core, self.core.connections.get(action.request_id)
        if (
            connection is None
            or connection.state is not ConnectionState.QUEUED
            or connection.attempts >= connection.settings.max_attempts
            or not core.accepts_work
        ):
            # Prevents an attempt for a closed connection, a hedged request, an attempt beyond the maximum number, and
            # an attempt while the relay is stopping.
            core.enqueue(
                AttemptEnded(
                    request_id=action.request_id,
                    attempt=connection.attempts if connection else 0,
                    backend=action.backend,
                    result=AttemptResult.NOT_SENT,
                    is_final=connection is None or connection.state is ConnectionState.ESTABLISHED,
                )
            )
            return
        expires_us = min(connection.deadline_us, core.clock() + action.timeout_us)
        self._begin(connection, action.backend, expires_us, action)

    def start_adopted(self, connection: Connection) -> None:
        """Start an attempt for an adopted connection, at the backend that served it before."""
        expires_us = min(connection.deadline_us, self.core.clock() + ADOPTED_ATTEMPT_US)
        self._begin(connection, connection.adopted_backend, expires_us)

    def _begin(
        self, connection: Connection, backend: str, expires_us: int, action: StartAttempt | None = None
    ) -> None:
        """Start an attempt; `action` is None for an adopted connection."""
        core = self.core
        connection.transition(ConnectionState.CONNECTING)
        attempt = connection.attempt = Attempt(core, connection, backend, expires_us)
        if action and action.slow_start:
            attempt.slow_start, attempt.send_by_us = True, action.send_by_us
            core.request_log.on_send(attempt, action.slow_start)
        connection.attempts += 1
        core.counters.add("attempts")
        connect_by_us = expires_us
        if not connection.adopted_backend:
            connect_by_us = min(expires_us, attempt.started_us + connection.settings.connect_timeout_us)
        attempt.timer = core.timers.set(connect_by_us, attempt.on_timeout)
        attempt.upstream = connection.connector.connect(attempt, connection.connect_request.request_line)
        if attempt.is_over:  # ended during `connect`, when its upstream connection was not set yet
            attempt.upstream.close(ConnectionEnd.ORDERLY)

    def on_advanced(self, attempt: Attempt) -> None:
        """Handle an attempt's next phase. Once it is connected, its own timeout replaces the connect timeout."""
        core = self.core
        attempt.write_started_us = attempt.write_started_us or core.clock()
        if attempt.phase is AttemptPhase.SENT:
            core.counters.add("sends_total")
        if attempt.phase is AttemptPhase.WRITING and attempt.timer:
            attempt.timer.cancel()
            attempt.timer = core.timers.set(attempt.expires_us, attempt.on_timeout)
            core.wake()

    def on_succeeded(self, attempt: Attempt, response_line: object) -> None:
        """Establish the connection that a backend accepted."""
        core, connection = self.core, attempt.connection
        connection.transition(ConnectionState.ESTABLISHED)
        attempt.phase = AttemptPhase.UP
        attempt.last_received_us = now = core.clock()
        for timer in (attempt.timer, connection.deadline_timer):
            if timer:
                timer.cancel()
        if connection.adopted_backend:
            core.enqueue(ConnectionAdopted(connection.as_event(core.clock()), attempt.backend))
        else:
            core.enqueue(
                ConnectionEstablished(
                    request_id=connection.number,
                    attempt=attempt.number,
                    backend=attempt.backend,
                    duration_us=now - attempt.started_us,
                )
            )
        core.request_log.on_established(connection)
        assert attempt.upstream is not None
        connection.client.establish(attempt.upstream, response_line)

    def on_load_report(self, attempt: Attempt, load: float) -> None:
        """Report a connection's load, in microseconds of work per second, to the decision module."""
        self.core.enqueue(ConnectionLoadReport(attempt.connection.number, attempt.backend, load))

    def on_ended(self, attempt: Attempt, outcome: AttemptOutcome, ending: ConnectionEnd) -> None:
        """Handle a failed attempt, or the end of an established connection at the backend's side."""
        core, connection = self.core, attempt.connection
        was_established = connection.state is ConnectionState.ESTABLISHED
        attempt.close(ending)
        core.counters.add(f"ended: {outcome}")
        if was_established:
            core.answers.release(connection)
            core.answers.report_attempt_end(attempt, outcome, is_final=True)
            connection.client.close(ending)
            return
        connection.transition(ConnectionState.QUEUED)
        connection.attempt = None
        if connection.adopted_backend:
            self._retry_adopted(connection, outcome)
            return
        if outcome.result not in NEVER_EXECUTED:
            connection.first_sent_us = connection.first_sent_us or attempt.write_started_us
        core.answers.report_attempt_end(attempt, outcome, is_final=False)

    def _retry_adopted(self, connection: Connection, outcome: AttemptOutcome) -> None:
        """Retry an adopted connection after a backoff, or fail it after the last attempt.

        The core does this itself because the decision module does not know the connection until it is established.
        """
        if connection.attempts >= min(ADOPTED_MAX_ATTEMPTS, connection.settings.max_attempts):
            log.warning(
                "adopted connection %d could not be established again at backend %s after %d attempts: %s",
                connection.number,
                connection.adopted_backend,
                connection.attempts,
                outcome,
            )
            self.core.answers.answer(connection, None)
            return

        def retry() -> None:
            if connection.state is ConnectionState.QUEUED:
                self.start_adopted(connection)

        self.core.call_later(ADOPTED_BACKOFF_US << connection.attempts, retry)
