"""A connection's life as an explicit state machine, and the attempts that it makes at backends."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from balancer.events import LoadReport, Request
from balancer.settings import Idempotency, Settings

from .attempt_outcome import AttemptOutcome, AttemptPhase, Cause
from .connect_request import ConnectRequest
from .counters import Counters
from .ports import BackendConnection, ClientConnection, ConnectionEnd, EndpointWatcher
from .timer_wheel import Timer

log = logging.getLogger("gradefront.connection")


class Liveness(Protocol):
    """What an attempt notifies of messages."""

    def on_message_sent(self, backend: str) -> None:
        """A message that is owed a reply went to a backend."""

    def on_message_received(self, backend: str) -> None:
        """A backend sent a message."""

    def on_reply_received(self, backend: str, connection: int, took_us: int) -> None:
        """A backend replied to a message of a connection."""


class AttemptListener(Protocol):
    """What an attempt notifies of its progress."""

    def on_advanced(self, attempt: Attempt) -> None:
        """It reached its next phase."""

    def on_succeeded(self, attempt: Attempt, response_line: object) -> None:
        """The backend accepted the connection."""

    def on_ended(self, attempt: Attempt, outcome: AttemptOutcome, ending: ConnectionEnd) -> None:
        """It ended at the backend's side."""

    def on_load_report(self, attempt: Attempt, load: float) -> None:
        """The backend reported the connection's load, in microseconds of work a second."""


class Owner(Protocol):
    """What an attempt uses of the core."""

    clock: Callable[[], int]
    counters: Counters
    endpoint_watcher: EndpointWatcher | None

    @property
    def liveness(self) -> Liveness:
        """What is notified of messages."""

    @property
    def attempts(self) -> AttemptListener:
        """What is notified of the attempt's progress."""

    @property
    def accepts_work(self) -> bool:
        """Whether the relay begins anything new."""

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> Timer:
        """Run `callback` later."""

    def is_ready(self, backend: str) -> bool:
        """Whether new work may go to a backend, by the newest endpoint list."""

    def on_client_closed(self, connection: Connection, ending: ConnectionEnd) -> None:
        """The client closed its side."""

    def migrate(self, connection: Connection) -> None:
        """Tell the client to reconnect, if the connection is established."""


class BackendConnector(Protocol):
    """Reaches backends for one listener."""

    def connect(self, attempt: Attempt, request_line: object) -> BackendConnection:
        """Begin the attempt; `attempt` is notified of its progress."""


class ConnectionState(Enum):
    """How far a connection has come."""

    QUEUED = "queued"  # the decision module has it, no attempt is in flight
    CONNECTING = "connecting"  # one attempt is in flight
    ESTABLISHED = "established"  # a backend serves it
    CLOSED = "closed"  # answered and over


#: The legal transitions. Guards against a second answer or a hedged request: any other one raises.
TRANSITIONS: dict[ConnectionState, frozenset[ConnectionState]] = {
    ConnectionState.QUEUED: frozenset({ConnectionState.CONNECTING, ConnectionState.CLOSED}),
    ConnectionState.CONNECTING: frozenset(
        {ConnectionState.QUEUED, ConnectionState.ESTABLISHED, ConnectionState.CLOSED}
    ),
    ConnectionState.ESTABLISHED: frozenset({ConnectionState.CLOSED}),
    ConnectionState.CLOSED: frozenset(),
}


class IllegalTransitionError(Exception):
    """A transition that no connection may take; it stops that connection, not the relay."""


@dataclass(slots=True, eq=False)
class Connection:
    """A client's request for a connection, and the connection made for it. Times are by the relay's clock."""

    number: int
    connect_request: ConnectRequest
    client: ClientConnection
    connector: BackendConnector
    arrived_us: int
    deadline_us: int
    settings: Settings  # those in force when it arrived
    adopted_backend: str = ""  # the one backend of a connection that was established before the relay's start
    state: ConnectionState = ConnectionState.QUEUED
    attempts: int = 0  # attempts made so far; the next one's number
    attempt: Attempt | None = None  # the one that is in flight, or that established the connection
    deadline_timer: Timer | None = None
    first_sent_us: int = 0  # when the first possibly executed attempt began to be written; 0: none has

    @property
    def is_awaiting_answer(self) -> bool:
        """Whether the client is owed its final answer."""
        return self.state in (ConnectionState.QUEUED, ConnectionState.CONNECTING)

    @property
    def may_be_rejected(self) -> bool:
        """Whether the client may safely come again: nothing was sent, or the request is idempotent.

        Stricter than the balancer's `may_client_retry`, as an attempt may be in flight here.
        """
        return (
            not self.attempts
            or self.settings.classes[self.connect_request.request_class].idempotency is Idempotency.IDEMPOTENT
        )

    def as_event(self, now_us: int) -> Request:
        """The module's event for it."""
        return self.connect_request.as_event(self.number, self.deadline_us - now_us)

    def may_retry(self, now_us: int) -> bool:
        """Whether a retry doubles no effect.

        Checked as the request is written: the module decides earlier, and a deduplication window may close while a
        connection comes up.
        """
        if not self.first_sent_us:
            return True
        rule = self.settings.classes[self.connect_request.request_class]
        if rule.idempotency is Idempotency.KEYED:
            return now_us < self.first_sent_us + rule.dedup_window_us
        return rule.idempotency is Idempotency.IDEMPOTENT

    def transition(self, to: ConnectionState) -> None:
        """Enter a state. Raises IllegalTransitionError where TRANSITIONS has no such step."""
        if to not in TRANSITIONS[self.state]:
            raise IllegalTransitionError(f"connection {self.number}: {self.state.value} to {to.value}")
        self.state = to


class Attempt:
    """One attempt at a backend, driven by its upstream connection; once over, it ignores further calls."""

    __slots__ = (
        "core",
        "connection",
        "number",
        "backend",
        "phase",
        "started_us",
        "expires_us",
        "timer",
        "upstream",
        "is_over",
        "awaiting_reply_us",
        "last_received_us",
        "load_report",
        "connection_load",
        "write_started_us",
        "slow_start",
        "send_by_us",
    )

    def __init__(self, core: Owner, connection: Connection, backend: str, until_us: int) -> None:
        self.core = core
        self.connection = connection
        self.number = connection.attempts
        self.backend = backend
        self.phase = AttemptPhase.CONNECTING
        self.started_us = self.last_received_us = core.clock()
        self.expires_us = until_us
        self.slow_start = False  # the backend is in slow start
        self.send_by_us: int | None = None  # the end of its send slot there
        self.write_started_us = 0  # when its first line began to be written
        self.timer: Timer | None = None
        self.upstream: BackendConnection | None = None
        self.is_over = False
        self.connection_load = 0.0  # the connection's load as last reported, in us of work a second; 0: no report
        self.load_report: LoadReport | None = None  # the backend's own load, in its final response
        self.awaiting_reply_us: deque[int] = deque(maxlen=16)  # when messages went to the backend that await a reply

    def send_veto(self) -> Cause | None:
        """Why the request may not be sent any more, checked as a piece of it is about to be written; None: it may."""
        connection, core = self.connection, self.core
        if self.is_over or not core.accepts_work or not connection.may_retry(core.clock()):
            return Cause.ABORTED_BEFORE_SEND
        if not connection.adopted_backend:
            # Guards against a late connect that delivers new work to a backend that began to drain meanwhile.
            if core.endpoint_watcher:
                core.endpoint_watcher.read_pending()
            if not core.is_ready(self.backend):
                return Cause.BROKEN
        if self._is_slot_over():
            return Cause.SLOT_ENDED
        # Last, as the check nearest to the write: the end of the client's side may lie unread yet.
        if connection.client.has_disconnected() and not self.is_over:
            core.on_client_closed(connection, ConnectionEnd.ORDERLY)
        return Cause.ABORTED_BEFORE_SEND if self.is_over else None

    def _is_slot_over(self) -> bool:
        """Guards against a late connect that delivers a request in a window whose sends are other slots'."""
        has_left = self.phase >= AttemptPhase.SENT
        return self.send_by_us is not None and not has_left and self.core.clock() >= self.send_by_us

    def remaining_us(self) -> int:
        """How long this relay will still wait for the backend's answer."""
        return max(0, self.expires_us - self.core.clock())

    def advance(self, phase: AttemptPhase) -> None:
        """The upstream connection has reached this phase."""
        if not self.is_over and phase > self.phase:
            self.phase = phase
            self.core.attempts.on_advanced(self)

    def succeed(self, response_line: object) -> None:
        """The backend accepted the connection; `response_line` goes to the client unchanged."""
        if not self.is_over:
            self.core.attempts.on_succeeded(self, response_line)

    def end(self, cause: Cause, ending: ConnectionEnd = ConnectionEnd.ORDERLY) -> None:
        """The attempt, or the connection that it established, ended at the backend's side."""
        if not self.is_over:
            self.core.attempts.on_ended(self, AttemptOutcome(self.phase, cause), ending)

    def on_message_sent(self) -> None:
        """The client sent a message that the backend owes a reply to."""
        self.awaiting_reply_us.append(self.core.clock())
        self.core.liveness.on_message_sent(self.backend)

    def on_message_received(self) -> None:
        """The backend sent a message."""
        self.last_received_us = now = self.core.clock()
        self.core.liveness.on_message_received(self.backend)
        if self.awaiting_reply_us:
            self.core.liveness.on_reply_received(
                self.backend, self.connection.number, now - self.awaiting_reply_us.popleft()
            )

    def on_activity(self) -> None:
        """Data passed, either way, on a connection whose messages the listener can't tell apart."""
        self.last_received_us = self.core.clock()

    def on_load_report(self, load: float) -> None:
        """The backend reported the load of this connection, in microseconds of work a second."""
        if not self.is_over:
            self.connection_load = load
            self.core.attempts.on_load_report(self, load)

    def close(self, ending: ConnectionEnd) -> None:
        """End it from this side."""
        self.is_over = True
        if self.timer:
            self.timer.cancel()
        if self.upstream:
            try:
                self.upstream.close(ending)
            except Exception:  # noqa: BLE001 - guards the client's answer against an error on the backend's side
                log.exception("an attempt at backend %s could not be ended", self.backend)
                self.core.counters.add("exceptions")
