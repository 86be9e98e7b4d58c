"""Established connections that pass from one process of the relay to the next."""

from __future__ import annotations

from typing import Protocol

from balancer.events import ConnectionAdopted, Event

from .answers import Answers
from .attempt_outcome import AttemptOutcome, AttemptPhase, Cause
from .connect_request import ConnectRequest
from .connection import Attempt, BackendConnector, Connection, ConnectionState, Owner
from .ports import ClientConnection
from .requests import Requests


class Core(Owner, Protocol):
    """What this part uses of the core."""

    requests: Requests
    answers: Answers

    def enqueue(self, event: Event) -> None:
        """Keep an event for the decision module."""


def adopt_established(  # noqa: PLR0913 - one parameter for each part of the handed-over description
    core: Core,
    connect_request: ConnectRequest,
    client: ClientConnection,
    connector: BackendConnector,
    backend: str,
    last_received_us: int,
    awaiting_reply_us: tuple[int, ...],
) -> tuple[Connection, Attempt]:
    """Register a connection that was established in the process before this one.

    The caller gives the attempt its upstream connection.
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
    """Release an established connection that goes on in the next process; nothing of it ends."""
    attempt = connection.attempt
    assert connection.state is ConnectionState.ESTABLISHED and attempt
    core.answers.release(connection)
    attempt.is_over = True
    core.counters.add("given_away")
    core.answers.report_attempt_end(attempt, AttemptOutcome(attempt.phase, Cause.CLOSED_LOCALLY), is_final=True)
