"""Ends connections: by the one final answer, by migration, or when the client disconnects."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from balancer.actions import Fail, Reject
from balancer.events import AttemptEnded, ClientDisconnected, Event

from .attempt_outcome import AttemptOutcome, AttemptPhase, Cause
from .connection import Attempt, Connection, ConnectionState
from .counters import Counters
from .ports import ConnectionEnd
from .request_log import RequestLog


class Core(Protocol):
    """The parts of the relay core that this module uses."""

    connections: dict[int, Connection]
    clock: Callable[[], int]
    counters: Counters
    request_log: RequestLog

    def enqueue(self, event: Event) -> None:
        """Queue an event for the decision module."""


class Answers:
    """Ends connections. `release` removes each from the table exactly once, so that none gets a second answer."""

    def __init__(self, core: Core) -> None:
        self.core = core

    def answer(self, connection: Connection, answer: Reject | Fail | None) -> None:
        """Give a connection its one final answer; an established one is migrated instead.

        `answer` is None where the core fails the connection without an answer of the decision module.
        """
        if connection.state is ConnectionState.CLOSED:
            return
        was_established, attempt = connection.state is ConnectionState.ESTABLISHED, connection.attempt
        self.release(connection)
        try:
            if attempt:  # only when the core itself decides: the module answers with no attempt in flight
                self._cancel(attempt)
        finally:
            self._tell_client(connection, answer, was_established)

    def _tell_client(self, connection: Connection, answer: Reject | Fail | None, was_established: bool) -> None:
        if was_established:
            connection.client.migrate()
        elif isinstance(answer, Reject):
            self.core.request_log.on_rejected(connection, answer)
            connection.client.reject(answer.retry_after_us)
        else:
            self.core.request_log.on_failed(connection, answer)
            connection.client.fail()

    def give_up(self, connection: Connection) -> None:
        """Fail a connection without an answer of the decision module, and notify the module of its end."""
        if not connection.adopted_backend:
            self.core.enqueue(ClientDisconnected(connection.number))
        self.answer(connection, None)

    def fail_unestablished(self, connection: Connection) -> None:
        """Fail a connection whose client violated the protocol before it was established."""
        if connection.is_awaiting_answer:
            self.give_up(connection)

    def on_client_closed(self, connection: Connection, ending: ConnectionEnd) -> None:
        """Release a connection whose client closed its side; it gets no answer."""
        if connection.state is ConnectionState.CLOSED:
            return
        was_established, attempt = connection.state is ConnectionState.ESTABLISHED, connection.attempt
        self.core.counters.add("ended_by_client" if was_established else "gave_up_waiting")
        if not was_established and not connection.adopted_backend:
            self.core.enqueue(ClientDisconnected(connection.number))
        self.release(connection)
        if attempt:
            attempt.close(ending)
            if was_established or not connection.adopted_backend:
                self.report_attempt_end(attempt, AttemptOutcome(attempt.phase, Cause.CLOSED_LOCALLY), is_final=True)

    def migrate(self, connection: Connection) -> None:
        """Tell the client of an established connection to reconnect, and close both sides.

        Does nothing for a connection that is not established.
        """
        attempt = connection.attempt
        if connection.state is not ConnectionState.ESTABLISHED or attempt is None:
            return
        self.release(connection)
        self.core.counters.add("moved")
        try:
            connection.client.migrate()
        finally:
            self._cancel(attempt)

    def migrate_off_silent(self, connection: Connection, alone: bool) -> None:
        """Migrate a connection off a backend that does not reply to its messages.

        `alone`: the backend replies on other connections, so the end is not reported as the backend's failure.
        """
        attempt = connection.attempt
        assert attempt
        self.core.counters.add("moved_from_silent")
        self.release(connection)
        connection.client.migrate()
        attempt.close(ConnectionEnd.BROKEN)
        cause = Cause.CLOSED_LOCALLY if alone else Cause.TIMED_OUT
        self.report_attempt_end(attempt, AttemptOutcome(AttemptPhase.UP, cause), is_final=True)

    def release(self, connection: Connection) -> None:
        """Mark a connection as closed, cancel its deadline and remove it from the table.

        Raises IllegalTransitionError if it is closed already.
        """
        connection.transition(ConnectionState.CLOSED)
        if connection.attempt:
            connection.first_sent_us = connection.first_sent_us or connection.attempt.write_started_us
        connection.attempt = None
        if connection.deadline_timer:
            connection.deadline_timer.cancel()
        self.core.connections.pop(connection.number, None)

    def report_attempt_end(self, attempt: Attempt, outcome: AttemptOutcome, is_final: bool) -> None:
        """Report to the decision module how an attempt, or the connection that it established, ended."""
        self.core.request_log.on_attempt_end(attempt, outcome)
        self.core.enqueue(
            AttemptEnded(
                request_id=attempt.connection.number,
                attempt=attempt.number,
                backend=attempt.backend,
                result=outcome.result,
                is_final=is_final,
                duration_us=self.core.clock() - attempt.started_us,
                load_report=attempt.load_report,
            )
        )

    def _cancel(self, attempt: Attempt) -> None:
        attempt.close(ConnectionEnd.ORDERLY)
        self.report_attempt_end(attempt, AttemptOutcome(attempt.phase, Cause.CLOSED_LOCALLY), is_final=True)
