"""The state machine of a connection, and the attempts made for it at backends."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from balancer.events import LoadReport, Request
from balancer.settings import Idempotency, KeyScope, Settings

from .attempt_outcome import AttemptOutcome, AttemptPhase, Cause
from .connect_request import ConnectRequest
from .counters import Counters
from .ports import BackendConnection, ClientConnection, ConnectionEnd, EndpointWatcher
from .timer_wheel import Timer

log = logging.getLogger("gradefront.connection")


class Liveness(Protocol):
    """Notified by an attempt of the messages on its connection."""

    def on_message_sent(self, backend: str) -> None:
        """Handle a message that was forwarded to a backend and requires a reply."""

    def on_message_received(self, backend: str) -> None:
        """Handle a message received from a backend."""

    def on_reply_received(self, backend: str, connection: int, took_us: int) -> None:
        """Handle a backend's reply to a message of a connection, `took_us` after the message was sent."""


class AttemptListener(Protocol):
    """Notified by an attempt of its progress."""

    def on_advanced(self, attempt: Attempt) -> None:
        """Handle the attempt's next phase."""

    def on_succeeded(self, attempt: Attempt, response_line: object) -> None:
        """Handle the backend's acceptance of the connection."""

    def on_ended(self, attempt: Attempt, outcome: AttemptOutcome, ending: ConnectionEnd) -> None:
        """Handle the attempt's end at the backend's side."""

    def on_load_report(self, attempt: Attempt, load: float) -> None:
        """Handle the connection's load as reported by the backend, in microseconds of work per second."""


class AttemptOwner(Protocol):
    """The parts of the relay core that an attempt uses."""

    clock: Callable[[], int]
    counters: Counters
    endpoint_watcher: EndpointWatcher | None

    @property
    def liveness(self) -> Liveness:
        """The object to notify of messages."""

    @property
    def attempts(self) -> AttemptListener:
        """The object to notify of the attempt's progress."""

    @property
    def accepts_work(self) -> bool:
        """Whether new requests and attempts may start."""

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> Timer:
        """Run `callback` in `delay_us` microseconds."""

    def is_ready(self, backend: str) -> bool:
        """Whether new requests may be sent to a backend, according to the newest endpoint list."""

    def on_client_closed(self, connection: Connection, ending: ConnectionEnd) -> None:
        """Handle the end of the client's side of a connection."""

    def migrate(self, connection: Connection) -> None:
        """Tell the client of an established connection to reconnect."""


class BackendConnector(Protocol):
    """Opens backend connections for one listener."""

    def connect(self, attempt: Attempt, request_line: object) -> BackendConnection:
        """Connect to the attempt's backend and send the request line, calling `attempt` at each step."""


class ConnectionState(Enum):
    """The state of a connection."""

    QUEUED = "queued"  # waits for an action of the decision module; no attempt is in flight
    CONNECTING = "connecting"  # one attempt is in flight
    ESTABLISHED = "established"  # a backend has accepted it
    CLOSED = "closed"  # ended, with its final answer unless the client disconnected first


#: The legal transitions. Any other transition raises: it would mean a second answer or a hedged request.
TRANSITIONS: dict[ConnectionState, frozenset[ConnectionState]] = {
    ConnectionState.QUEUED: frozenset({ConnectionState.CONNECTING, ConnectionState.CLOSED}),
    ConnectionState.CONNECTING: frozenset(
        {ConnectionState.QUEUED, ConnectionState.ESTABLISHED, ConnectionState.CLOSED}
    ),
    ConnectionState.ESTABLISHED: frozenset({ConnectionState.CLOSED}),
    ConnectionState.CLOSED: frozenset(),
}


class IllegalTransitionError(Exception):
    """A transition that TRANSITIONS does not allow. The core fails that connection; the relay continues."""


@dataclass(slots=True, eq=False)
class Connection:
    """A client's request for a connection, and the connection made for it. Times are on the relay's clock."""

    number: int
    connect_request: ConnectRequest
    client: ClientConnection
    connector: BackendConnector
    arrived_us: int
    deadline_us: int
    settings: Settings  # the settings at its arrival; a later reload does not change them
    adopted_backend: str = ""  # for a connection established before this relay started: its backend; else empty
    state: ConnectionState = ConnectionState.QUEUED
    attempts: int = 0  # number of attempts made so far; also the number of the next attempt
    attempt: Attempt | None = None  # the attempt in flight, or the one that established the connection
    deadline_timer: Timer | None = None
    first_sent_us: int = 0  # when writing began for the first attempt that may have run; 0: none

    @property
    def is_awaiting_answer(self) -> bool:
        """Whether the client is owed its final answer."""
        return self.state in (ConnectionState.QUEUED, ConnectionState.CONNECTING)

    @property
    def may_be_rejected(self) -> bool:
        """Whether the client may safely retry: no attempt was made, or the request is idempotent.

        Stricter than the balancer's `may_client_retry`, because an attempt may still be in flight.
        """
        return (
            not self.attempts
            or self.settings.classes[self.connect_request.request_class].idempotency is Idempotency.IDEMPOTENT
        )

    def as_event(self, now_us: int) -> Request:
        """Return the decision module's event for this request."""
        return self.connect_request.as_event(self.number, self.deadline_us - now_us)

    def may_retry(self, now_us: int) -> bool:
        """Return whether the request may be sent now without the risk of being executed twice.

        Checked just before the request is written: the decision module decides earlier, and the deduplication window
        may end while the connection to the backend is being established.
        """
        return not self.first_sent_us or self.may_repeat(self.first_sent_us, now_us)

    def may_repeat(self, sent_us: int, now_us: int) -> bool:
        """Return whether a request that was sent at `sent_us`, and may have been executed, may be executed again."""
        rule = self.settings.classes[self.connect_request.request_class]
        if rule.idempotency is Idempotency.KEYED:
            return now_us < sent_us + rule.dedup_window_us
        return rule.idempotency is Idempotency.IDEMPOTENT

    @property
    def gives_up_us(self) -> int:
        """When the client of an unanswered request gives up."""
        return self.arrived_us + self.settings.classes[self.connect_request.request_class].deadline_us

    def repeatable_until_us(self) -> int | None:
        """Return until when the request may be executed anew if its client sends it again: None means at any time.

        After that it may be executed twice, also by another process at the address of its backend.
        """
        sent_us = self.first_sent_us or (self.attempt.write_started_us if self.attempt else 0)
        rule = self.settings.classes[self.connect_request.request_class]
        if not sent_us or rule.idempotency is Idempotency.IDEMPOTENT:
            return None
        if rule.idempotency is Idempotency.KEYED and rule.key_scope is KeyScope.ALL:
            return sent_us + rule.dedup_window_us
        return 0

    def transition(self, to: ConnectionState) -> None:
        """Enter a state. Raises IllegalTransitionError if TRANSITIONS does not allow it."""
        if to not in TRANSITIONS[self.state]:
            raise IllegalTransitionError(
                f"connection {self.number}: no transition from {self.state.value} to {to.value}"
            )
        self.state = to


class Attempt:
    """One attempt at a backend. Its upstream connection reports progress to it; reports after its end are ignored."""

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
        "is_request_complete",
    )

    def __init__(self, core: AttemptOwner, connection: Connection, backend: str, expires_us: int) -> None:
        self.core = core
        self.connection = connection
        self.number = connection.attempts
        self.backend = backend
        self.phase = AttemptPhase.CONNECTING
        self.started_us = self.last_received_us = core.clock()
        self.expires_us = expires_us
        self.slow_start = False  # the backend is in slow start
        self.send_by_us: int | None = None  # end of its send slot at a backend in slow start
        self.write_started_us = 0  # when writing of the request line began; 0: not yet
        self.timer: Timer | None = None
        self.upstream: BackendConnection | None = None
        self.is_over = False
        self.is_request_complete = True  # cleared while the client has not sent all that a backend needs to answer
        self.connection_load = 0.0  # the connection's last reported load, in us of work per second; 0: no report
        self.load_report: LoadReport | None = None  # the backend's own load, from its final response
        self.awaiting_reply_us: deque[int] = deque(maxlen=16)  # send times of the messages that await a reply

    def send_veto(self) -> Cause | None:
        """Return why the request must not be sent any more, or None if it may be sent.

        Called just before each piece of the request is written.
        """
        connection, core = self.connection, self.core
        if self.is_over or not core.accepts_work or not connection.may_retry(core.clock()):
            return Cause.ABORTED_BEFORE_SEND
        if not connection.adopted_backend:
            # The backend may have begun to drain while the connection was being established.
            if core.endpoint_watcher:
                core.endpoint_watcher.read_pending()
            if not core.is_ready(self.backend):
                return Cause.BROKEN
        if self._is_slot_over():
            return Cause.SLOT_ENDED
        # The last check before the write, as the end of the client's side may have arrived but not been read yet.
        if connection.client.has_disconnected() and not self.is_over:
            core.on_client_closed(connection, ConnectionEnd.ORDERLY)
        return Cause.ABORTED_BEFORE_SEND if self.is_over else None

    def may_send_again(self) -> bool:
        """Return whether a request that has been sent in this attempt may be sent in it once more.

        For a wire on which the relay does not notice that another process has taken the backend's place.
        """
        sent_us = self.connection.first_sent_us or self.write_started_us
        return self.connection.may_repeat(sent_us, self.core.clock())

    def _is_slot_over(self) -> bool:
        """Return whether the send slot ended before the request was sent.

        Without this check, a slow connect would deliver the request in a time span that belongs to other slots.
        """
        is_sent = self.phase >= AttemptPhase.SENT
        return self.send_by_us is not None and not is_sent and self.core.clock() >= self.send_by_us

    def remaining_us(self) -> int:
        """Return how much longer this relay will wait for the backend's answer, in microseconds."""
        return max(0, self.expires_us - self.core.clock())

    def advance(self, phase: AttemptPhase) -> None:
        """Record that the upstream connection has reached `phase`."""
        if not self.is_over and phase > self.phase:
            self.phase = phase
            self.core.attempts.on_advanced(self)

    def succeed(self, response_line: object) -> None:
        """Establish the connection that the backend accepted; `response_line` is passed to the client unchanged."""
        if not self.is_over:
            self.core.attempts.on_succeeded(self, response_line)

    def end(self, cause: Cause, ending: ConnectionEnd = ConnectionEnd.ORDERLY) -> None:
        """Handle the end of the attempt, or of the connection that it established, at the backend's side."""
        if not self.is_over:
            self.core.attempts.on_ended(self, AttemptOutcome(self.phase, cause), ending)

    def on_timeout(self) -> None:
        """End the attempt, because the backend has not answered in time.

        That is no failure of the backend if it never got a complete request. Prevents clients that send none from
        having backends ejected.
        """
        self.end(Cause.TIMED_OUT if self.is_request_complete else Cause.INCOMPLETE_REQUEST)

    def on_message_sent(self) -> None:
        """Record a message from the client that requires a reply from the backend."""
        self.awaiting_reply_us.append(self.core.clock())
        self.core.liveness.on_message_sent(self.backend)

    def on_message_received(self) -> None:
        """Record a message from the backend, which counts as the reply to the oldest unanswered message."""
        self.last_received_us = now = self.core.clock()
        self.core.liveness.on_message_received(self.backend)
        if self.awaiting_reply_us:
            self.core.liveness.on_reply_received(
                self.backend, self.connection.number, now - self.awaiting_reply_us.popleft()
            )

    def on_activity(self) -> None:
        """Record data in either direction, on a connection whose messages the listener can't tell apart."""
        self.last_received_us = self.core.clock()

    def on_load_report(self, load: float) -> None:
        """Record the load of this connection as reported by the backend, in microseconds of work per second."""
        if not self.is_over:
            self.connection_load = load
            self.core.attempts.on_load_report(self, load)

    def close(self, ending: ConnectionEnd) -> None:
        """Close the attempt and its upstream connection from this side."""
        self.is_over = True
        if self.timer:
            self.timer.cancel()
        if self.upstream:
            try:
                self.upstream.close(ending)
            except Exception:  # noqa: BLE001 - an error on the backend's side must not prevent the client's answer
                log.exception(
                    "connection %d: attempt %d at backend %s could not be closed",
                    self.connection.number,
                    self.number,
                    self.backend,
                )
                self.core.counters.add("exceptions")
