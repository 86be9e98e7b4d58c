"""Liveness of established connections: late messages, silent backends and vanished clients."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from balancer.events import Event, MessageLatencyReport
from balancer.settings import RequestClass, Settings

from .answers import Answers
from .backends import Backends
from .connection import Attempt, Connection, ConnectionState
from .counters import Counters
from .message_latency import MESSAGE_LATENCY_INTERVAL_US, MessageLatency
from .ports import HealthChecker
from .silence import CHECK_INTERVAL_US as SILENCE_CHECK_INTERVAL_US
from .silence import SilenceDetector
from .timer_wheel import Timer

log = logging.getLogger("gradefront.liveness")

REPLY_TIMEOUT_US = 1_500_000  # a connection whose message gets no reply for longer is silent
CHECK_INTERVAL_US = 250_000  # between two checks for silent connections
IDLE_TIMEOUT_US = 120_000_000  # with no data in either direction for longer, the client has vanished


class Core(Protocol):
    """The parts of the relay core that this module uses."""

    settings: Settings
    counters: Counters
    connections: dict[int, Connection]
    backends: Backends
    answers: Answers
    health_checker: HealthChecker | None
    clock: Callable[[], int]

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> Timer:
        """Run `callback` in `delay_us` microseconds."""

    def enqueue(self, event: Event) -> None:
        """Queue an event for the decision module."""

    def migrate(self, connection: Connection) -> None:
        """Tell the client of an established connection to reconnect."""


class Liveness:
    """Monitors the established connections of one relay."""

    def __init__(self, core: Core, classes: tuple[RequestClass, ...], reports_message_latency: bool) -> None:
        self.core = core
        self.apply_classes(classes, reports_message_latency)
        self.last_reply_us: dict[str, int] = {}  # by backend: when it last replied to a message
        self.last_check_us = core.clock()
        self.silence_check_us = 0  # when the next check for silent backends is due; 0: none is scheduled
        core.call_later(MESSAGE_LATENCY_INTERVAL_US, self._report_latencies)
        core.call_later(CHECK_INTERVAL_US, self._check_connections)

    def apply_classes(self, classes: tuple[RequestClass, ...], reports_message_latency: bool) -> None:
        """Apply the message latency objectives of these classes from now on."""
        objectives_us = [c.message_latency_objective_us for c in classes if c.message_latency_objective_us]
        self.message_latency = (
            MessageLatency(min(objectives_us)) if objectives_us and reports_message_latency else None
        )
        self.silence = SilenceDetector(classes)

    def forget(self, backend: str) -> None:
        """Drop the state of a backend that has left the endpoint list."""
        self.silence.forget(backend)
        self.last_reply_us.pop(backend, None)
        if self.message_latency:
            self.message_latency.forget(backend)

    # ---- messages

    def on_message_received(self, backend: str) -> None:
        """Record a message received from a backend."""
        self.silence.on_received(backend)

    def on_reply_received(self, backend: str, connection: int, took_us: int) -> None:
        """Record a backend's reply to a message of a connection, `took_us` after the message was sent."""
        self.last_reply_us[backend] = self.core.clock()
        if self.message_latency:
            self.message_latency.add(backend, connection, took_us)

    def on_message_sent(self, backend: str) -> None:
        """Record a message that was forwarded to a backend and requires a reply."""
        now = self.core.clock()
        self.silence.on_sent(backend, now)
        if not self.silence_check_us:
            self._schedule_silence_check(now)

    def _report_latencies(self) -> None:
        self.core.call_later(MESSAGE_LATENCY_INTERVAL_US, self._report_latencies)
        for number, backend, latency_us in self.message_latency.pop_reports() if self.message_latency else ():
            log.info("median message latency at backend %s is %.0f ms", backend, latency_us / 1000)
            self.core.counters.add("delays_told")
            self.core.enqueue(MessageLatencyReport(number, backend, latency_us))

    # ---- silent backends

    def _schedule_silence_check(self, now: int) -> None:
        self.silence_check_us = now + SILENCE_CHECK_INTERVAL_US
        self.core.call_later(SILENCE_CHECK_INTERVAL_US, self._check_silence)

    def _check_silence(self) -> None:
        """Start connect checks of the backends that owe a reply and have sent nothing since the message."""
        now = self.core.clock()
        is_late, self.silence_check_us = now - self.silence_check_us > SILENCE_CHECK_INTERVAL_US, 0
        if self.silence.owed:
            self._schedule_silence_check(now)
        if is_late:  # this relay was held up itself: replies may have arrived that it has not read yet
            return
        for backend in self.silence.pop_due(now):
            if backend in self.core.backends:
                self._check_connect(backend)
            else:  # no longer in the endpoint list, so there is no address to connect to
                self.silence.forget(backend)

    def _check_connect(self, backend: str) -> None:
        if self.core.health_checker:
            self.core.counters.add("knocks")
            self.core.health_checker.check_connect(backend, self.core.settings.connect_timeout_us)

    def on_connect_checked(self, backend: str, opened: bool) -> None:
        """Handle the result of a connect check; `opened`: the backend accepted the connection in time.

        Otherwise, if the backend still owes a reply, its machine has vanished, and all its connections are migrated
        at once. The check of each connection would find it silent only after a message of its own.
        """
        if opened:
            self.silence.on_received(backend)
        if not self.silence.pop_vanished(backend):
            return
        by_backend = dict[str, list[Connection]]()
        for connection in self.core.connections.values():
            if connection.state is ConnectionState.ESTABLISHED and connection.attempt:
                by_backend.setdefault(connection.attempt.backend, []).append(connection)
        stranded = by_backend.pop(backend, [])
        log.warning(
            "backend %s has not replied and accepts no connection; migrating its %d connections",
            backend,
            len(stranded),
        )
        self.core.counters.add("boxes_vanished")
        for connection in stranded:
            self.core.answers.migrate_off_silent(connection, alone=False)
        # The whole zone may be lost. Without these checks each of its backends would be found only when a message of
        # its own clients goes unanswered.
        backends = self.core.backends
        same_zone = [other for other in by_backend if backends.zone(other) == backends.zone(backend)]
        for other in self.silence.pop_neighbours(same_zone, self.core.clock()):
            self._check_connect(other)

    # ---- silent connections

    def _check_connections(self) -> None:
        """Migrate the connections whose backend or client has vanished."""
        now = self.core.clock()
        self.core.call_later(CHECK_INTERVAL_US, self._check_connections)
        is_late, self.last_check_us = now - self.last_check_us > 2 * CHECK_INTERVAL_US, now
        if is_late:  # this relay was held up itself: replies may have arrived that it has not read yet
            return
        for connection in list(self.core.connections.values()):
            if connection.state is ConnectionState.ESTABLISHED and connection.attempt:
                self._check_connection(connection, connection.attempt, now)

    def _check_connection(self, connection: Connection, attempt: Attempt, now: int) -> None:
        awaiting_us = attempt.awaiting_reply_us
        owed_since_us = max(attempt.last_received_us, awaiting_us[0]) if awaiting_us else now
        last_activity_us = max(attempt.last_received_us, awaiting_us[-1] if awaiting_us else 0)
        if now - owed_since_us > REPLY_TIMEOUT_US:  # a machine that has vanished sends no reset
            # If the backend has replied on other connections since, it is not at fault: only this connection is lost.
            alone = self.last_reply_us.get(attempt.backend, 0) > awaiting_us[0]
            log.warning(
                "connection %d: no reply from backend %s%s; migrating it",
                connection.number,
                attempt.backend,
                ", which replies on other connections" if alone else "",
            )
            self.core.answers.migrate_off_silent(connection, alone)
        elif now - last_activity_us > IDLE_TIMEOUT_US:
            self.core.migrate(connection)
