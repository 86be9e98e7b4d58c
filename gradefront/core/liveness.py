"""Whether what stands is still alive: late messages, silent backends, devices that vanished without a word."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from balancer.events import Event, MessageLatencyReport
from balancer.settings import RequestClass, Settings

from .answers import Answers
from .backends import Backends
from .connection import Connection, ConnectionState
from .counters import Counters
from .message_latency import MESSAGE_LATENCY_INTERVAL_US, MessageLatency
from .ports import HealthChecker
from .silence import LOOK_US as SILENCE_CHECK_INTERVAL_US
from .silence import SilenceDetector
from .timer_wheel import Timer

log = logging.getLogger("gradefront.liveness")

SILENT_US = 1_500_000  # a connection that is owed a reply this long has gone silent: sound ones bring it at once
LOOK_US = 250_000  # between two looks for silent connections
DEAD_LINE_US = 120_000_000  # nothing either way for so long: the client is gone


class Core(Protocol):
    """What of the core this part uses."""

    settings: Settings
    counters: Counters
    connections: dict[int, Connection]
    backends: Backends
    answers: Answers
    health_checker: HealthChecker | None
    clock: Callable[[], int]

    def after(self, delay_us: int, then: Callable[[], None]) -> Timer:
        """Run `then` later."""

    def enqueue(self, event: Event) -> None:
        """Tell the module."""

    def migrate(self, connection: Connection) -> None:
        """Tell a client to come again."""


class Liveness:
    """Watches over one core's standing connections."""

    def __init__(self, core: Core, classes: tuple[RequestClass, ...], reports_message_latency: bool) -> None:
        self.core = core
        self.apply_classes(classes, reports_message_latency)
        self.last_reply_us: dict[str, int] = {}  # when each backend last answered a message
        self.looked_us = core.clock()
        self.silence_check_us = 0  # when the next look for quiet backends is due; 0: none is set
        core.after(MESSAGE_LATENCY_INTERVAL_US, self._tell_delays)
        core.after(LOOK_US, self._look)

    def apply_classes(self, classes: tuple[RequestClass, ...], reports_message_latency: bool) -> None:
        """Go by the message aims of these classes from now on."""
        aims = [c.message_latency_objective_us for c in classes if c.message_latency_objective_us]
        self.message_latency = MessageLatency(min(aims)) if aims and reports_message_latency else None
        self.silence = SilenceDetector(classes)

    def on_message_received(self, backend: str) -> None:
        """A backend sent a message."""
        self.silence.heard(backend)

    def on_reply_received(self, backend: str, connection: int, took_us: int) -> None:
        """A message came back from a backend."""
        self.last_reply_us[backend] = self.core.clock()
        if self.message_latency:
            self.message_latency.add(backend, connection, took_us)

    def on_message_sent(self, backend: str) -> None:
        """A message that is owed a reply went to a backend."""
        now = self.core.clock()
        self.silence.asked(backend, now)
        if not self.silence_check_us:
            self._check_silence_later(now)

    def _check_silence_later(self, now: int) -> None:
        self.silence_check_us = now + SILENCE_CHECK_INTERVAL_US
        self.core.after(SILENCE_CHECK_INTERVAL_US, self._check_silence)

    def _check_silence(self) -> None:
        """Check the connections of backends that owe replies and have said nothing since."""
        now = self.core.clock()
        late, self.silence_check_us = now - self.silence_check_us > SILENCE_CHECK_INTERVAL_US, 0
        if self.silence.owed:
            self._check_silence_later(now)
        if late:  # guards against a hiccup of this relay: replies may have come that it has not read yet
            return
        for backend in self.silence.due(now):
            if backend in self.core.backends:
                self._check_connect(backend)
            else:  # a new list is without it: there is no address to check
                self.silence.forget(backend)

    def _check_connect(self, backend: str) -> None:
        if self.core.health_checker:
            self.core.counters.add("knocks")
            self.core.health_checker.check_connect(backend, self.core.settings.connect_timeout_us)

    def on_connect_checked(self, backend: str, opened: bool) -> None:
        """A quiet backend took a new connection in time, or did not: then its machine has vanished, and all that
        stands there moves, before each connection finds that out by a message of its own."""
        if opened:
            self.silence.heard(backend)
        if not self.silence.vanished(backend):
            return
        held = dict[str, list[Connection]]()
        for connection in self.core.connections.values():
            if connection.state is ConnectionState.ESTABLISHED and connection.attempt:
                held.setdefault(connection.attempt.backend, []).append(connection)
        here = held.pop(backend, [])
        log.warning("push box %s owes replies and takes no connection; its %d visits move", backend, len(here))
        self.core.counters.add("boxes_vanished")
        for connection in here:
            self.core.answers.migrate_off_silent(connection, alone=False)
        # Guards against finding out about a lost zone backend by backend, each when a client's message is due.
        backends = self.core.backends
        near = [other for other in held if backends.zone(other) == backends.zone(backend)]
        for other in self.silence.others(near, self.core.clock()):
            self._check_connect(other)

    def _tell_delays(self) -> None:
        self.core.after(MESSAGE_LATENCY_INTERVAL_US, self._tell_delays)
        for number, backend, delay in self.message_latency.look() if self.message_latency else ():
            log.info("messages at push box %s take %.0f ms", backend, delay / 1000)
            self.core.counters.add("delays_told")
            self.core.enqueue(MessageLatencyReport(number, backend, delay))

    def _look(self) -> None:
        """Find connections whose connection, backend or client has vanished without a word."""
        now = self.core.clock()
        self.core.after(LOOK_US, self._look)
        late, self.looked_us = now - self.looked_us > 2 * LOOK_US, now
        if late:  # guards against a hiccup of this relay: replies may have come that it has not read yet
            return
        for connection in list(self.core.connections.values()):
            attempt = connection.attempt
            if connection.state is not ConnectionState.ESTABLISHED or attempt is None:
                continue
            since = max(attempt.last_received_us, attempt.awaiting_reply_us[0]) if attempt.awaiting_reply_us else now
            if now - since > SILENT_US:  # guards against a vanished machine, which resets nothing
                # Where the backend has answered others since, only this connection is lost: no word of the backend.
                alone = self.last_reply_us.get(attempt.backend, 0) > attempt.awaiting_reply_us[0]
                log.warning(
                    "visit %d at push box %s has gone silent%s; it moves",
                    connection.number,
                    attempt.backend,
                    ", alone" if alone else "",
                )
                self.core.answers.migrate_off_silent(connection, alone)
            elif (
                now - max(attempt.last_received_us, attempt.awaiting_reply_us[-1] if attempt.awaiting_reply_us else 0)
                > DEAD_LINE_US
            ):
                self.core.migrate(connection)
