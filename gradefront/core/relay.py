"""The relay core: gathers what is ready, hands it to the decision module at once, and carries out its actions.

A request's way: `requests.py` accepts it, `attempts.py` tries backends, `answers.py` gives the one final answer.
Nothing is decided here.
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


class RelayCore:
    """One relay's connections, round one decision module."""

    def __init__(  # noqa: PLR0913 - where the process is put together, each part is handed in
        self,
        balancer: DecisionModule,
        settings: Settings,
        clock: Callable[[], int],
        wake: Callable[[], None],
        reports_message_latency: bool = True,
        class_names: tuple[str, ...] = (),
    ) -> None:
        self.balancer = balancer
        # Classes without a name are named by their place.
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
        """What `apply_settings` would apply: the table of classes, and the settings with all classes in use.

        Changes nothing. Raises TooManyClassesError.
        """
        in_use = {connection.connect_request.request_class for connection in self.connections.values()}
        table = self.request_classes.with_classes(class_names, settings.classes, in_use)
        return table, replace(settings, classes=table.rules)

    def apply_settings(self, table: RequestClassTable, settings: Settings, reports_message_latency: bool) -> None:
        """Apply settings to connections that arrive from now on."""
        self.request_classes, self.settings = table, settings
        classes = tuple(table.rules[n] for n in table.active_numbers)
        self.liveness.apply_classes(classes, reports_message_latency)
        self.lifecycle.apply_classes(classes)
        self.enqueue(SettingsChanged(settings))

    # ---- the turn of the loop

    def call_later(self, delay_us: int, callback: Callable[[], None]) -> Timer:
        """Run `callback` at the first tick after the delay."""
        return self.call_at(self.clock() + delay_us, callback)

    def call_at(self, at_us: int, callback: Callable[[], None]) -> Timer:
        """Run `callback` at the first tick at or after a time on the clock."""
        timer = self.timers.set(at_us, callback)
        self.wake()
        return timer

    def enqueue(self, event: Event) -> None:
        """Keep an event for the next turn."""
        if not self.pending_events:
            self.wake()
        self.pending_events.append(event)

    def run_once(self) -> None:
        """One turn: due timers, then all gathered events to the module, then all its actions."""
        for callback in self.timers.pop_due(self.clock()):
            try:
                callback()
            except Exception:  # noqa: BLE001 - a broken timer must not stop the others
                log.exception("a timer failed")
        events, self.pending_events = self.pending_events, []
        now, actions = self.clock(), list[Action]()
        for event in events:
            try:
                actions += self.balancer.handle(now, event)
            except Exception:  # noqa: BLE001 - it stops at one connection
                self._contain_exception(event)
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:  # noqa: BLE001 - it stops at one connection
                self._contain_exception(action)

    def _contain_exception(self, cause: Event | Action) -> None:
        """Stop an exception at the connection that it came from; that connection still gets its one answer."""
        log.exception("failed on %s", type(cause).__name__)
        self.counters.add("exceptions")
        connection = self.connections.get(getattr(cause, "request_id", 0))
        if connection:
            self.enqueue(ClientDisconnected(connection.number))
            try:
                self.answers.answer(connection, None)
            except Exception:  # noqa: BLE001 - guards the rest of the batch
                log.exception("a client could not be answered")

    def _carry_out(self, action: Action) -> None:
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
                log.info("module: %s", action.text)

    def _migrate_unless_leaving(self, request_id: int) -> None:
        """Migrate a connection at the module's order.

        While the relay leaves, a connection whose backend stays ready is migrated last: perhaps no other relay would
        take it now.
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
        """The endpoint list, or changes of it, arrived."""
        draining, gone = self.backends.apply(update)
        for backend in draining:
            log.info("backend %s is draining", backend)
        for backend in gone:
            self.liveness.silence.forget(backend)
        self.enqueue(update)
        self.lifecycle.update_readiness()

    def on_endpoint_list_lost(self, why: str) -> None:
        """A poll of the list failed, or the watch on it ended."""
        log.warning("endpoint list lost: %s", why)
        self.counters.add("list_errors")
        self.enqueue(EndpointListError())

    @property
    def accepts_work(self) -> bool:
        """Whether anything new is begun."""
        return self.lifecycle.accepts_work

    def is_ready(self, backend: str) -> bool:
        """Whether new work may go to a backend, by the newest endpoint list."""
        return self.backends.state(backend) is BackendState.READY

    def on_health_check_result(
        self, backend: str, result: AttemptResult, took_us: int, report: LoadReport | None
    ) -> None:
        """The result of one health check."""
        if result is not AttemptResult.OK:
            self.counters.add("probes_failed")
        self.enqueue(HealthCheckResult(backend, result, took_us, report))

    # ---- connections

    def accept(
        self, connect_request: ConnectRequest, client: ClientConnection, connector: BackendConnector
    ) -> Connection:
        """A client requests a connection."""
        return self.requests.accept(connect_request, client, connector)

    def adopt_connection(
        self, connect_request: ConnectRequest, client: ClientConnection, connector: BackendConnector, backend: str
    ) -> Connection:
        """A connection arrives that was established at `backend` before this relay started."""
        return self.requests.adopt(connect_request, client, connector, backend)

    def on_client_closed(self, connection: Connection, ending: ConnectionEnd) -> None:
        """The client closed its side."""
        self.answers.on_client_closed(connection, ending)

    def fail_unestablished(self, connection: Connection) -> None:
        """The client broke the protocol before the connection was established."""
        self.answers.fail_unestablished(connection)

    def migrate(self, connection: Connection) -> None:
        """Tell the client of an established connection to reconnect."""
        self.answers.migrate(connection)

    def count_answer(self, name: str, request_class: int) -> None:
        """Count an answer for its class, where it is given."""
        self.counters.add_for_class(name, self.request_classes.names[request_class])
