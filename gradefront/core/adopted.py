"""Connections that stood before this relay started, each at its own backend; and those that go on in the next one."""

from __future__ import annotations

import logging
from typing import Protocol

from balancer.actions import Fail, Reject
from balancer.events import ConnectionAdopted, Event

from .attempt_error import AttemptError, AttemptPhase, Cause
from .connect_request import ConnectRequest
from .connection import Attempt, BackendConnector, Connection, ConnectionState, Owner
from .ports import ClientConnection

log = logging.getLogger("gradefront.brought")

ADOPTED_US = 38_000_000  # timeout with a connection that stood before the start (40 s are allowed)
ADOPTED_TRY_US = 9_000_000  # of which one attempt may take this, so that a lost one leaves time for others
ADOPTED_TRIES = 4
ADOPTED_WAIT_US = 500_000


class Core(Owner, Protocol):
    """What of the core this part uses."""

    def enqueue(self, event: Event) -> None:
        """Tell the module."""

    def new_connection(
        self,
        call: ConnectRequest,
        client: ClientConnection,
        caller: BackendConnector,
        timeout_us: int,
        pinned: str = "",
    ) -> Connection:
        """Keep a connection."""

    def begin_attempt(self, connection: Connection, backend: str, until_us: int) -> None:
        """Begin an attempt."""

    def close_connection(self, connection: Connection) -> None:
        """The end of a connection, as far as the core goes."""

    def report_attempt_end(self, attempt: Attempt, attempt_error: AttemptError, final: bool) -> None:
        """Tell the module how an attempt ended."""

    def answer(self, connection: Connection, answer: Reject | Fail | None) -> None:
        """The one final answer."""


def take_over(
    core: Core,
    call: ConnectRequest,
    client: ClientConnection,
    caller: BackendConnector,
    backend: str,
    heard_us: int,
    asked_us: tuple[int, ...],
) -> tuple[Connection, Attempt]:
    """A connection that stood in the process before this one, answered there. Who calls gives its attempt the
    upstream connection."""
    connection = core.new_connection(call, client, caller, 0, backend)
    connection.transition(ConnectionState.CONNECTING)
    connection.transition(ConnectionState.ESTABLISHED)
    attempt = connection.attempt = Attempt(core, connection, backend, connection.deadline_us)
    attempt.phase, attempt.last_received_us = AttemptPhase.UP, heard_us
    attempt.awaiting_reply_us.extend(asked_us)
    connection.attempts = 1
    core.enqueue(ConnectionAdopted(connection.as_event(core.clock()), backend))
    return connection, attempt


def given_away(core: Core, connection: Connection) -> None:
    """A standing connection goes on in the next process; nothing of it ends."""
    attempt = connection.attempt
    assert connection.state is ConnectionState.ESTABLISHED and attempt
    core.close_connection(connection)
    attempt.is_over = True
    core.counters.add("given_away")
    core.report_attempt_end(attempt, AttemptError(attempt.phase, Cause.CALLED_OFF), True)


def once_more(core: Core, connection: Connection, attempt_error: AttemptError) -> None:
    """An attempt of such a connection failed: try again after a while, or answer."""
    connection.transition(ConnectionState.QUEUED)
    connection.attempt = None
    if connection.attempts >= min(ADOPTED_TRIES, connection.settings.max_attempts):
        log.warning(
            "visit %d could not go on at push box %s: %s",
            connection.number,
            connection.adopted_backend,
            attempt_error,
        )
        core.answer(connection, None)
        return

    def again() -> None:
        if connection.state is ConnectionState.QUEUED:
            until = min(connection.deadline_us, core.clock() + ADOPTED_TRY_US)
            core.begin_attempt(connection, connection.adopted_backend, until)

    core.after(ADOPTED_WAIT_US << connection.attempts, again)
