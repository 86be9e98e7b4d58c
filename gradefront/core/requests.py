"""Requests for connections: each is accepted, numbered and held to its deadline."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial
from itertools import count
from typing import Protocol

from balancer.actions import Reject
from balancer.events import Event
from balancer.settings import Settings

from .answers import Answers
from .attempts import Attempts
from .connect_request import ConnectRequest
from .connection import BackendConnector, Connection, ConnectionState
from .counters import Counters
from .ports import ClientConnection
from .timer_wheel import Timer, TimerWheel

log = logging.getLogger("gradefront.requests")

ANSWER_MARGIN_US = 40_000  # a busy relay must send the answer, and it must arrive, before the client gives up
DEADLINE_GRACE_US = 12_000  # the core fails a connection so long after the module's deadline; within the margin
ADOPTED_TIMEOUT_US = 38_000_000  # to establish an adopted connection again; 40 s are allowed


class Core(Protocol):
    """What this part uses of the core."""

    settings: Settings
    clock: Callable[[], int]
    counters: Counters
    timers: TimerWheel
    answers: Answers
    attempts: Attempts

    @property
    def accepts_work(self) -> bool:
        """Whether anything new is begun."""

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> Timer:
        """Run `callback` later."""

    def enqueue(self, event: Event) -> None:
        """Keep an event for the decision module."""


class Requests:
    """Accepts requests, and owns the table of connections that are not closed."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.connections: dict[int, Connection] = {}
        self.numbers = count(1)

    def accept(
        self, connect_request: ConnectRequest, client: ClientConnection, connector: BackendConnector
    ) -> Connection:
        """Accept a client's request for a connection, and hand it to the module."""
        core = self.core
        timeout_us = max(1, connect_request.timeout_us - ANSWER_MARGIN_US)
        connection = self.register(connect_request, client, connector, timeout_us)
        core.counters.add("visits")
        if not core.accepts_work:  # read after the last answers: answered at once, and never forwarded
            core.answers.answer(connection, Reject(connection.number))
            return connection
        if connect_request.is_reconnect:
            core.counters.add("visits_came_back")
        connection.deadline_timer = core.timers.set(
            connection.deadline_us + DEADLINE_GRACE_US, partial(self._on_deadline, connection)
        )
        core.enqueue(connection.as_event(core.clock()))
        return connection

    def adopt(
        self, connect_request: ConnectRequest, client: ClientConnection, connector: BackendConnector, backend: str
    ) -> Connection:
        """Accept a connection that was established at `backend` before this relay started; it goes nowhere else."""
        core = self.core
        connection = self.register(connect_request, client, connector, ADOPTED_TIMEOUT_US, backend)
        core.counters.add("visits_brought")
        if not core.accepts_work:
            core.answers.answer(connection, None)
            return connection
        connection.deadline_timer = core.call_later(ADOPTED_TIMEOUT_US, partial(self._on_deadline, connection))
        core.attempts.start_adopted(connection)
        return connection

    def register(
        self,
        connect_request: ConnectRequest,
        client: ClientConnection,
        connector: BackendConnector,
        timeout_us: int,
        adopted_backend: str = "",
    ) -> Connection:
        """Put a connection into the table, under the next number."""
        now = self.core.clock()
        connection = Connection(
            number=next(self.numbers),
            connect_request=connect_request,
            client=client,
            connector=connector,
            arrived_us=now,
            deadline_us=now + timeout_us,
            settings=self.core.settings,
            adopted_backend=adopted_backend,
        )
        self.connections[connection.number] = connection
        return connection

    def _on_deadline(self, connection: Connection) -> None:
        """Answer in time, whatever the module did."""
        if connection.is_awaiting_answer:
            if connection.state is ConnectionState.QUEUED or connection.adopted_backend:
                log.warning("connection %d was not answered in time; failed", connection.number)
                self.core.counters.add("overdue")
            self.core.answers.give_up(connection)
