"""Handover of established connections from one process of the relay to the next."""

from __future__ import annotations

from typing import Protocol

from balancer.events import ConnectionAdopted, Event

from .answers import Answers
from .attempt_outcome import AttemptOutcome, AttemptPhase, Cause
from .connect_request import ConnectRequest
from .connection import Attempt, AttemptOwner, BackendConnector, Connection, ConnectionState
from .ports import ClientConnection
from .requests import Requests


class Core(AttemptOwner, Protocol):
    """The parts of the relay core that this module uses."""

    requests: Requests
    answers: Answers

    def enqueue(self, event: Event) -> None:
        """Queue an event for the decision module."""


def adopt_established(  # noqa: PLR0913 - one parameter for each field of the handed-over connection
    core: Core,
    connect_request: ConnectRequest,
    client: ClientConnection,
    connector: BackendConnector,
    backend: str,
    last_received_us: int,
    awaiting_reply_us: tuple[int, ...],
) -> tuple[Connection, Attempt]:
    """Register a connection that was established by the relay's previous process.

    The caller must set the attempt's upstream connection.
    """
    connection = core.requests.register(connect_request, client, connector, 0, backend)
    connection.transition(ConnectionState.CONNECTING)
    connection.transition(ConnectionState.ESTABLISHED)
    attempt = connection.attempt = Attempt(core, connection, backend, connection.deadline_us)
    attempt.phase, attempt.last_received_us = AttemptPhase.UP, last_received_us
    attempt.awaiting_reply_us.extend(awaiting_reply_us)
    connection.attempts = 1
    core.enqueue(ConnectionAdopted(connection.as_event(core.clock()), backend))
    return connection, attempt


def release_for_handover(core: Core, connection: Connection) -> None:
    """Release an established connection to the relay's next process, without closing either side."""
    attempt = connection.attempt
    assert connection.state is ConnectionState.ESTABLISHED and attempt
    core.answers.release(connection)
    attempt.is_over = True
    core.counters.add("given_away")
    core.answers.report_attempt_end(attempt, AttemptOutcome(attempt.phase, Cause.CLOSED_LOCALLY), is_final=True)
