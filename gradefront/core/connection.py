"""A connection's life as an explicit state machine, and the attempts that it makes at backends."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from balancer.events import LoadReport, Request
from balancer.settings import Idempotency, Settings

from .attempt_error import AttemptError, AttemptPhase, Cause
from .connect_request import ConnectRequest
from .counters import Counters
from .ports import BackendConnection, ClientConnection, ConnectionEnd, EndpointWatcher
from .timer_wheel import Timer

log = logging.getLogger("gradefront.visit")


class Liveness(Protocol):
    """Whom an attempt tells what it hears."""

    def on_message_sent(self, backend: str) -> None:
        """A message that is owed a reply went to a backend."""

    def on_message_received(self, backend: str) -> None:
        """A backend sent a message."""

    def on_reply_received(self, backend: str, connection: int, took_us: int) -> None:
        """A message came back from a backend."""


class Owner(Protocol):
    """Whom an attempt tells how far it came."""

    clock: Callable[[], int]
    counters: Counters
    endpoint_watcher: EndpointWatcher | None

    @property
    def liveness(self) -> Liveness:
        """Whom it tells what it hears."""

    def after(self, delay_us: int, then: Callable[[], None]) -> Timer:
        """Run `then` later."""

    def is_ready(self, backend: str) -> bool:
        """Whether new work may go to a backend, as last heard."""

    @property
    def accepts_work(self) -> bool:
        """Whether the relay begins anything new."""

    def on_client_closed(self, connection: Connection, how: ConnectionEnd) -> None:
        """The client ended its side."""

    def on_attempt_advanced(self, attempt: Attempt) -> None:
        """It came further."""

    def on_attempt_succeeded(self, attempt: Attempt, response_line: object) -> None:
        """A backend took the connection."""

    def on_attempt_ended(self, attempt: Attempt, attempt_error: AttemptError, how: ConnectionEnd) -> None:
        """It ended at the backend's side."""

    def migrate(self, connection: Connection) -> None:
        """Tell the client to come again, if the connection stands."""

    def on_connection_load(self, attempt: Attempt, load: float) -> None:
        """The backend told the connection's load."""


class BackendConnector(Protocol):
    """Reaches backends for one front."""

    def connect(self, attempt: Attempt, request_line: object) -> BackendConnection:
        """Begin the attempt; how it goes is told to `attempt`."""


class ConnectionState(Enum):
    """Where a connection stands."""

    QUEUED = "queued"  # the decision module has it, nothing is out
    CONNECTING = "connecting"  # one attempt is out
    ESTABLISHED = "established"  # a backend serves it
    CLOSED = "closed"  # answered and over


#: The steps that a connection may take. Guards against a second answer or a hedged request: any other step raises.
TRANSITIONS: dict[ConnectionState, frozenset[ConnectionState]] = {
    ConnectionState.QUEUED: frozenset({ConnectionState.CONNECTING, ConnectionState.CLOSED}),
    ConnectionState.CONNECTING: frozenset(
        {ConnectionState.QUEUED, ConnectionState.ESTABLISHED, ConnectionState.CLOSED}
    ),
    ConnectionState.ESTABLISHED: frozenset({ConnectionState.CLOSED}),
    ConnectionState.CLOSED: frozenset(),
}


class IllegalTransition(Exception):
    """A step that no connection takes; it stops that connection, not the relay."""


class Connection:
    """One item that a client brought: its number, its deadline, its one answer."""

    __slots__ = (
        "number",
        "connect_request",
        "client",
        "connector",
        "deadline_us",
        "state",
        "attempts",
        "attempt",
        "adopted_backend",
        "deadline_timer",
        "arrived_us",
        "settings",
        "first_sent_us",
    )

    def __init__(
        self,
        number: int,
        call: ConnectRequest,
        client: ClientConnection,
        caller: BackendConnector,
        now_us: int,
        deadline_us: int,
        settings: Settings,
        pinned: str = "",
    ) -> None:
        self.number = number
        self.settings = settings  # under which it came
        self.connect_request = call
        self.client = client
        self.connector = caller
        self.arrived_us = now_us
        self.deadline_us = deadline_us
        self.state = ConnectionState.QUEUED
        self.attempts = 0  # attempts made so far; the next one's number
        self.attempt: Attempt | None = None  # the one that is out, or that stands
        self.adopted_backend = pinned  # the one backend that a connection from before the start may go to
        self.deadline_timer: Timer | None = None
        self.first_sent_us = 0  # when the first attempt that may have run began to be written; 0: none has

    @property
    def may_be_rejected(self) -> bool:
        """Whether to come again is harmless: nothing was sent, or its effects may be had twice."""
        return (
            not self.attempts
            or self.settings.classes[self.connect_request.request_class].idempotency is Idempotency.IDEMPOTENT
        )

    def as_event(self, now_us: int) -> Request:
        """What the module is told of it."""
        call = self.connect_request
        return Request(
            self.number,
            max(1, self.deadline_us - now_us),
            call.request_class,
            call.tenant,
            call.idempotency_key,
            call.sticky_group,
            call.load_hint,
            False,
            call.is_reconnect,
            call.is_retry,
        )

    def may_retry(self, now_us: int) -> bool:
        """Whether a further attempt doubles no effect. Asked when it is written: the module decides earlier, and a
        window may close while a connection comes up."""
        if not self.first_sent_us:
            return True
        rule = self.settings.classes[self.connect_request.request_class]
        if rule.idempotency is Idempotency.KEYED:
            return now_us < self.first_sent_us + rule.dedup_window_us
        return rule.idempotency is Idempotency.IDEMPOTENT

    def transition(self, to: ConnectionState) -> None:
        """Take a legal step, or raise."""
        if to not in TRANSITIONS[self.state]:
            raise IllegalTransition(f"visit {self.number}: {self.state.value} to {to.value}")
        self.state = to


class Attempt:
    """One attempt at a backend. A upstream connection tells it how far it came; once over, it hears nothing more."""

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
        "report",
        "load",
        "write_started_us",
        "slow_start",
    )

    def __init__(
        self, core: Owner, connection: Connection, backend: str, until_us: int, slow_start: bool = False
    ) -> None:
        self.core = core
        self.connection = connection
        self.number = connection.attempts
        self.backend = backend
        self.phase = AttemptPhase.CONNECTING
        self.started_us = self.last_received_us = core.clock()
        self.expires_us = until_us
        self.slow_start = slow_start  # the server had just started
        self.write_started_us = 0  # when its first line began to be written
        self.timer: Timer | None = None
        self.upstream: BackendConnection | None = None
        self.is_over = False
        self.load = 0.0  # what the backend last told of the connection's load, us of work a second; 0: nothing
        self.report: LoadReport | None = None  # what the backend's last word said of its load
        self.awaiting_reply_us: deque[int] = deque(maxlen=16)  # when messages went to the backend that await a reply

    def send_veto(self) -> Cause | None:
        """Why the request may not leave any more, asked as a piece of it is about to be written; None: it may."""
        connection, core = self.connection, self.core
        if self.is_over or not core.accepts_work or not connection.may_retry(core.clock()):
            return Cause.NOT_TRIED
        if not connection.adopted_backend:
            # Guards against a late connect that delivers new work to a backend that was told to drain meanwhile.
            if core.endpoint_watcher:
                core.endpoint_watcher.read_pending()
            if not core.is_ready(self.backend):
                return Cause.BROKEN
        # Last, as the look nearest to the write: the end of the client's side may lie unread yet.
        if connection.client.has_disconnected() and not self.is_over:
            core.on_client_closed(connection, ConnectionEnd.ORDERLY)
        return Cause.NOT_TRIED if self.is_over else None

    def remaining_us(self) -> int:
        """How long this relay will still wait for the backend's answer."""
        return max(0, self.expires_us - self.core.clock())

    def advance(self, phase: AttemptPhase) -> None:
        """The upstream connection has come this far."""
        if not self.is_over and phase > self.phase:
            self.phase = phase
            self.core.on_attempt_advanced(self)

    def succeed(self, response_line: object) -> None:
        """The backend took the connection; `receipt` goes to the client as the backend made it."""
        if not self.is_over:
            self.core.on_attempt_succeeded(self, response_line)

    def end(self, cause: Cause, how: ConnectionEnd = ConnectionEnd.ORDERLY) -> None:
        """The attempt, or the connection that it made stand, ended at the backend's side."""
        if not self.is_over:
            self.core.on_attempt_ended(self, AttemptError(self.phase, cause), how)

    def on_message_sent(self) -> None:
        """The client sent a message that the backend is to answer."""
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
        """Something passed, either way, on a connection whose messages the front can't tell apart."""
        self.last_received_us = self.core.clock()

    def on_load_report(self, load: float) -> None:
        """The backend told what load this connection is now."""
        if not self.is_over:
            self.load = load
            self.core.on_connection_load(self, load)

    def close(self, how: ConnectionEnd) -> None:
        """End it from this side."""
        self.is_over = True
        if self.timer:
            self.timer.cancel()
        if self.upstream:
            try:
                self.upstream.close(how)
            except Exception:  # guards the client's answer against an error on the backend's side
                log.exception("an attempt at push box %s could not be ended", self.backend)
                self.core.counters.add("exceptions")
