"""The relay core: collects events, passes them to the decision module in batches, and executes its actions.

`requests.py` accepts a request, `attempts.py` tries backends, and `answers.py` gives the one final answer. The core
makes no routing decisions of its own.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from balancer.actions import (
    Action,
    CheckHealth,
    Fail,
    Migrate,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpointList,
    WriteLog,
)
from balancer.events import (
    AttemptResult,
    BackendState,
    ClientDisconnected,
    EndpointListError,
    EndpointListUpdate,
    Event,
    HealthCheckResult,
    LoadReport,
    SettingsChanged,
    TimerFired,
)
from balancer.settings import Settings

from .answers import Answers
from .attempts import Attempts
from .backends import Backends
from .connect_request import ConnectRequest
from .connection import BackendConnector, Connection
from .counters import Counters
from .lifecycle import Lifecycle
from .lifecycle_state import LifecycleState
from .liveness import Liveness
from .ports import ClientConnection, ConnectionEnd, DecisionModule, EndpointWatcher, HealthChecker
from .request_classes import RequestClassTable
from .request_log import RequestLog
from .requests import Requests
from .timer_wheel import Timer, TimerWheel

log = logging.getLogger("gradefront.core")

MAX_LOGGED_BACKENDS = 8  # of one update of the endpoint list


class RelayCore:
    """Connects one relay's listeners, backends and timers with its decision module."""

    def __init__(  # noqa: PLR0913 - startup passes in each component
        self,
        balancer: DecisionModule,
        settings: Settings,
        clock: Callable[[], int],
        wake: Callable[[], None],
        reports_message_latency: bool = True,
        class_names: tuple[str, ...] = (),
    ) -> None:
        self.balancer = balancer
        # Classes without names are named by their index.
        self.request_classes = RequestClassTable().with_classes(
            class_names or tuple(str(n) for n in range(len(settings.classes))), settings.classes, ()
        )
        self.settings = settings
        self.clock = clock
        self.wake = wake  # asks the event loop to call `run_once` soon
        self.counters = Counters()
        self.request_log = RequestLog(self)
        self.timers = TimerWheel(clock())
        self.pending_events: list[Event] = []
        self.backends = Backends()
        self.health_checker: HealthChecker | None = None
        self.endpoint_watcher: EndpointWatcher | None = None
        self.requests = Requests(self)
        self.connections = self.requests.connections
        self.attempts = Attempts(self)
        self.answers = Answers(self)
        self.liveness = Liveness(self, settings.classes, reports_message_latency)
        self.lifecycle = Lifecycle(self, settings.classes)

    # ---- settings

    def prepare_settings(
        self, settings: Settings, class_names: tuple[str, ...]
    ) -> tuple[RequestClassTable, Settings]:
        """Return the arguments for `apply_settings`: the class table, and the settings with all classes of the table.

        Changes nothing in the core. Raises TooManyClassesError.
        """
        in_use = {connection.connect_request.request_class for connection in self.connections.values()}
        table = self.request_classes.with_classes(class_names, settings.classes, in_use)
        return table, replace(settings, classes=table.rules)

    def apply_settings(self, table: RequestClassTable, settings: Settings, reports_message_latency: bool) -> None:
        """Apply new settings to the connections that arrive from now on."""
        self.request_classes, self.settings = table, settings
        classes = tuple(table.rules[n] for n in table.active_numbers)
        self.liveness.apply_classes(classes, reports_message_latency)
        self.lifecycle.apply_classes(classes)
        self.enqueue(SettingsChanged(settings))

    # ---- timers, and one iteration of the event loop

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> Timer:
        """Run `callback` at the first timer tick at or after the delay."""
        return self.call_at(self.clock() + delay_us, callback)

    def call_at(self, at_us: int, callback: Callable[[], None]) -> Timer:
        """Run `callback` at the first timer tick at or after `at_us` on the relay's clock."""
        timer = self.timers.set(at_us, callback)
        self.wake()
        return timer

    def enqueue(self, event: Event) -> None:
        """Queue an event for the next call of `run_once`."""
        if not self.pending_events:
            self.wake()
        self.pending_events.append(event)

    def run_once(self) -> None:
        """Run due timers, pass all queued events to the decision module, then execute all its actions."""
        for callback in self.timers.pop_due(self.clock()):
            try:
                callback()
            except Exception:  # noqa: BLE001 - one failing callback must not stop the other timers
                log.exception("a timer callback raised an exception")
        events, self.pending_events = self.pending_events, []
        now, actions = self.clock(), list[Action]()
        for event in events:
            try:
                actions += self.balancer.handle(now, event)
            except Exception:  # noqa: BLE001 - an exception fails only the connection that it concerns
                self._contain_exception(event)
        for action in actions:
            try:
                self._execute(action)
            except Exception:  # noqa: BLE001 - an exception fails only the connection that it concerns
                self._contain_exception(action)

    def _contain_exception(self, cause: Event | Action) -> None:
        """Log and count an exception, and fail the connection that it concerns, which still gets its one answer."""
        log.exception("exception while handling %s", type(cause).__name__)
        self.counters.add("exceptions")
        connection = self.connections.get(getattr(cause, "request_id", 0))
        if connection:
            self.enqueue(ClientDisconnected(connection.number))
            try:
                self.answers.answer(connection, None)
            except Exception:  # noqa: BLE001 - must not stop the rest of the batch
                log.exception("connection %d: its client could not be answered", connection.number)

    def _execute(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self.attempts.start(action)
            case SetTimer():
                self.timers.set(self.clock() + action.delay_us, partial(self.enqueue, TimerFired(action.timer_id)))
            case Reject() | Fail():
                if connection := self.connections.get(action.request_id):
                    self.answers.answer(connection, action)
            case Migrate():
                self._migrate_unless_leaving(action.request_id)
            case CheckHealth():
                self._check_health(action.backend)
            case WatchEndpointList():
                self._watch_endpoint_list()
            case WriteLog():
                log.info("decision module: %s", action.text)

    def _migrate_unless_leaving(self, request_id: int) -> None:
        """Migrate a connection as the decision module requests, unless the relay is leaving and the backend is ready.

        Such a connection is left to the drain, which migrates it later: now, perhaps no other relay is up to accept
        the client.
        """
        connection = self.connections.get(request_id)
        backend = connection.attempt.backend if connection and connection.attempt else ""
        if connection and not (self.lifecycle.state is LifecycleState.LEAVING and self.is_ready(backend)):
            self.migrate(connection)

    def _check_health(self, backend: str) -> None:
        self.counters.add("probes")
        if self.health_checker:
            self.health_checker.check(backend)

    def _watch_endpoint_list(self) -> None:
        self.counters.add("list_calls")
        if self.endpoint_watcher:
            self.endpoint_watcher.watch()

    # ---- the endpoint list and health checks

    def on_endpoint_list(self, update: EndpointListUpdate) -> None:
        """Apply a new endpoint list, or changes to it."""
        draining, gone = self.backends.apply(update)
        for backend in draining[:MAX_LOGGED_BACKENDS]:
            log.info("backend %s is draining", backend)
        if len(draining) > MAX_LOGGED_BACKENDS:
            log.info("%d more backends are draining", len(draining) - MAX_LOGGED_BACKENDS)
        for backend in gone:
            self.liveness.forget(backend)
        self.enqueue(update)
        self.lifecycle.update_readiness()

    def on_endpoint_list_lost(self, reason: str) -> None:
        """Handle a failed poll of the endpoint list, or the end of the watch on it."""
        log.warning("endpoint list lost: %s", reason)
        self.counters.add("list_errors")
        self.enqueue(EndpointListError())

    @property
    def accepts_work(self) -> bool:
        """Whether new requests and attempts may start."""
        return self.lifecycle.accepts_work

    def is_ready(self, backend: str) -> bool:
        """Whether new requests may be sent to a backend, according to the newest endpoint list."""
        return self.backends.state(backend) is BackendState.READY

    def on_health_check_result(
        self, backend: str, result: AttemptResult, took_us: int, report: LoadReport | None
    ) -> None:
        """Handle the result of one health check, which took `took_us`."""
        if result is not AttemptResult.OK:
            self.counters.add("probes_failed")
        self.enqueue(HealthCheckResult(backend, result, took_us, report))

    # ---- connections

    def accept(
        self, connect_request: ConnectRequest, client: ClientConnection, connector: BackendConnector
    ) -> Connection:
        """Accept a client's request for a connection."""
        return self.requests.accept(connect_request, client, connector)

    def adopt_connection(
        self, connect_request: ConnectRequest, client: ClientConnection, connector: BackendConnector, backend: str
    ) -> Connection:
        """Accept a connection that was established at `backend` before this relay started."""
        return self.requests.adopt(connect_request, client, connector, backend)

    def on_client_closed(self, connection: Connection, ending: ConnectionEnd) -> None:
        """Handle the end of the client's side of a connection."""
        self.answers.on_client_closed(connection, ending)

    def fail_unestablished(self, connection: Connection) -> None:
        """Fail a connection whose client violated the protocol before it was established."""
        self.answers.fail_unestablished(connection)

    def migrate(self, connection: Connection) -> None:
        """Tell the client of an established connection to reconnect."""
        self.answers.migrate(connection)

    def count_answer(self, name: str, request_class: int) -> None:
        """Count one answer in the counter `name` for its request class."""
        self.counters.add_for_class(name, self.request_classes.names[request_class])
