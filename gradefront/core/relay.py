"""The relay core: gathers what is ready, hands it to the decision module in one go, carries out what came back.

It owns every connection's number, attempts, deadline and one final answer. It decides nothing itself.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from itertools import count

from balancer.actions import (
    Action,
    CheckHealth,
    Fail,
    Migrate,
    Reject,
    SetTimer,
    SlowStartAllowance,
    StartAttempt,
    WatchEndpointList,
    WriteLog,
)
from balancer.events import (
    NEVER_EXECUTED,
    AttemptEnded,
    AttemptResult,
    BackendState,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionEstablished,
    ConnectionLoadReport,
    EndpointListError,
    EndpointListUpdate,
    Event,
    HealthCheckResult,
    LoadReport,
    SettingsChanged,
    TimerFired,
)
from balancer.settings import Settings

from .adopted import ADOPTED_TRY_US, ADOPTED_US, once_more
from .attempt_error import AttemptError, AttemptPhase, Cause
from .backends import Backends
from .connect_request import ConnectRequest
from .connection import Attempt, BackendConnector, Connection, ConnectionState
from .counters import Counters
from .lifecycle import Lifecycle
from .lifecycle_state import LifecycleState
from .liveness import Liveness
from .ports import ClientConnection, ConnectionEnd, DecisionModule, EndpointWatcher, HealthChecker
from .request_classes import RequestClassTable
from .request_log import RequestLog
from .timer_wheel import Timer, TimerWheel

log = logging.getLogger("gradefront.core")

ANSWER_MARGIN_US = 40_000  # the answer must travel, and be sent by a busy relay, before the client gives up
NET_US = 12_000  # the safety net's time after the deadline that the module is told; within the margin


class RelayCore:
    """One relay's connections, round one decision module."""

    def __init__(
        self,
        decider: DecisionModule,
        settings: Settings,
        clock: Callable[[], int],
        wake: Callable[[], None],
        reports_message_latency: bool = True,
        class_names: tuple[str, ...] = (),
    ) -> None:
        self.balancer = decider
        # Classes without a name are named by their place.
        self.request_classes = RequestClassTable().extended(
            class_names or tuple(str(n) for n in range(len(settings.classes))), settings.classes, ()
        )
        self.settings = settings
        self.clock = clock
        self.wake = wake  # asks the platform for a turn soon
        self.counters = Counters()
        self.request_log = RequestLog(self)
        self.timers = TimerWheel(clock())
        self.pending_events: list[Event] = []
        self.connections: dict[int, Connection] = {}
        self.numbers = count(1)
        self.backends = Backends()
        self.health_checker: HealthChecker | None = None
        self.endpoint_watcher: EndpointWatcher | None = None
        self.liveness = Liveness(self, settings.classes, reports_message_latency)
        self.lifecycle = Lifecycle(self, settings.classes)

    # ---- settings

    def prepare_settings(
        self, settings: Settings, class_names: tuple[str, ...]
    ) -> tuple[RequestClassTable, Settings]:
        """What `retune` would take: the book of classes, and the settings with all that connections may hold. Changes
        nothing. Raises NoRoom."""
        held = {connection.connect_request.request_class for connection in self.connections.values()}
        book = self.request_classes.extended(class_names, settings.classes, held)
        return book, replace(settings, classes=book.rules)

    def apply_settings(self, book: RequestClassTable, settings: Settings, reports_message_latency: bool) -> None:
        """Take them, for connections that come from now on."""
        self.request_classes, self.settings = book, settings
        classes = tuple(book.rules[n] for n in book.current)
        self.liveness.apply_classes(classes, reports_message_latency)
        self.lifecycle.apply_classes(classes)
        self.enqueue(SettingsChanged(settings))

    # ---- time and turns

    def after(self, delay_us: int, then: Callable[[], None]) -> Timer:
        """Run `then` at the first tick after the delay."""
        timer = self.timers.set(self.clock() + delay_us, then)
        self.wake()
        return timer

    def enqueue(self, event: Event) -> None:
        """Keep an event for the next turn."""
        if not self.pending_events:
            self.wake()
        self.pending_events.append(event)

    def run_turn(self) -> None:
        """One turn: due timers, then all gathered events to the module, then all its actions."""
        for then in self.timers.turn(self.clock()):
            try:
                then()
            except Exception:  # a broken timer must not stop the others
                log.exception("a timer failed")
        events, self.pending_events = self.pending_events, []
        now, actions = self.clock(), list[Action]()
        for event in events:
            try:
                actions += self.balancer.handle(now, event)
            except Exception:
                self._stop(event)
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                self._stop(action)

    def _stop(self, what: object) -> None:
        """An exception stops at the connection that it came from; that connection still gets its one answer."""
        log.exception("failed on %s", type(what).__name__)
        self.counters.add("exceptions")
        connection = self.connections.get(getattr(what, "request_id", 0))
        if connection:
            self.enqueue(ClientDisconnected(connection.number))
            try:
                self.answer(connection, None)
            except Exception:  # guards the rest of the batch
                log.exception("a client could not be answered")

    def _carry_out(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._start(action)
            case SetTimer():
                self.timers.set(self.clock() + action.delay_us, partial(self.enqueue, TimerFired(action.timer_id)))
            case Reject() | Fail():
                connection = self.connections.get(action.request_id)
                if connection:
                    self.answer(connection, action)
            case Migrate():
                connection = self.connections.get(action.request_id)
                # On leaving, a connection whose backend goes on serving is told last: now no relay might take it in.
                backend = connection.attempt.backend if connection and connection.attempt else ""
                if connection and not (self.lifecycle.state is LifecycleState.LEAVING and self.is_ready(backend)):
                    self.migrate(connection)
            case CheckHealth():
                self.counters.add("probes")
                if self.health_checker:
                    self.health_checker.check(action.backend)
            case WatchEndpointList():
                self.counters.add("list_calls")
                if self.endpoint_watcher:
                    self.endpoint_watcher.watch()
            case WriteLog():
                log.info("module: %s", action.text)

    # ---- the endpoint list and health checks

    def on_endpoint_list(self, update: EndpointListUpdate) -> None:
        """News of the endpoint list."""
        draining, gone = self.backends.apply(update)
        for backend in draining:
            log.info("push box %s drains", backend)
        for backend in gone:
            self.liveness.silence.forget(backend)
        self.enqueue(update)
        self.lifecycle.update_readiness()

    def on_endpoint_list_lost(self, why: str) -> None:
        """A call for the list failed, or the watch on it ended."""
        log.warning("box list lost: %s", why)
        self.counters.add("list_errors")
        self.enqueue(EndpointListError())

    @property
    def accepts_work(self) -> bool:
        """Whether anything new is begun."""
        return self.lifecycle.accepts_work

    def is_ready(self, backend: str) -> bool:
        """Whether the endpoint list, as last heard, lets new work go there."""
        return self.backends.state(backend) is BackendState.READY

    def on_load_report(self, backend: str, result: AttemptResult, took_us: int, report: LoadReport | None) -> None:
        """The answer to one question to a backend."""
        if result is not AttemptResult.OK:
            self.counters.add("probes_failed")
        self.enqueue(HealthCheckResult(backend, result, took_us, report))

    # ---- connections that come

    def accept(self, call: ConnectRequest, client: ClientConnection, caller: BackendConnector) -> Connection:
        """A client asks to be connected."""
        connection = self.new_connection(call, client, caller, max(1, call.timeout_us - ANSWER_MARGIN_US))
        self.counters.add("visits")
        if not self.accepts_work:  # read after the last answers: it is answered at once, and never forwarded
            self.answer(connection, Reject(connection.number))
            return connection
        if call.is_reconnect:
            self.counters.add("visits_came_back")
        connection.deadline_timer = self.timers.set(
            connection.deadline_us + NET_US, partial(self._overdue, connection)
        )
        self.enqueue(connection.as_event(self.clock()))
        return connection

    def adopt_connection(
        self, call: ConnectRequest, client: ClientConnection, caller: BackendConnector, backend: str
    ) -> Connection:
        """A connection that stood at `backend` before this relay started: it goes there and nowhere else."""
        connection = self.new_connection(call, client, caller, ADOPTED_US, backend)
        self.counters.add("visits_brought")
        if not self.accepts_work:
            self.answer(connection, None)
            return connection
        connection.deadline_timer = self.after(ADOPTED_US, partial(self._overdue, connection))
        self.begin_attempt(connection, backend, min(connection.deadline_us, self.clock() + ADOPTED_TRY_US))
        return connection

    def new_connection(
        self,
        call: ConnectRequest,
        client: ClientConnection,
        caller: BackendConnector,
        timeout_us: int,
        pinned: str = "",
    ) -> Connection:
        """Keep a connection, under the next number."""
        now = self.clock()
        connection = Connection(
            next(self.numbers), call, client, caller, now, now + timeout_us, self.settings, pinned
        )
        self.connections[connection.number] = connection
        return connection

    def on_client_closed(self, connection: Connection, how: ConnectionEnd) -> None:
        """The client ended its side. Nothing more is owed to it."""
        if connection.state is ConnectionState.CLOSED:
            return
        standing, attempt = connection.state is ConnectionState.ESTABLISHED, connection.attempt
        self.counters.add("ended_by_client" if standing else "gave_up_waiting")
        if not standing and not connection.adopted_backend:
            self.enqueue(ClientDisconnected(connection.number))
        self.close_connection(connection)
        if attempt:
            attempt.close(how)
            if standing or not connection.adopted_backend:
                self.report_attempt_end(attempt, AttemptError(attempt.phase, Cause.CALLED_OFF), True)

    def _overdue(self, connection: Connection) -> None:
        """The safety net under the module: an answer in time, whatever happened."""
        if connection.state in (ConnectionState.QUEUED, ConnectionState.CONNECTING):
            if connection.state is ConnectionState.QUEUED or connection.adopted_backend:
                log.warning("visit %d was not answered in time; failed", connection.number)
                self.counters.add("overdue")
            self._give_up(connection)

    def count_answer(self, name: str, request_class: int) -> None:
        """Count an answer for its class, where it is given."""
        self.counters.add_of_class(name, self.request_classes.names[request_class])

    def reject_unestablished(self, connection: Connection) -> None:
        """The client's side broke its protocol before the connection stood: it gets its answer now."""
        if connection.state in (ConnectionState.QUEUED, ConnectionState.CONNECTING):
            self._give_up(connection)

    def _give_up(self, connection: Connection) -> None:
        """The core itself ends a connection that does not stand; the module is told that it is over."""
        if not connection.adopted_backend:
            self.enqueue(ClientDisconnected(connection.number))
        self.answer(connection, None)

    def answer(self, connection: Connection, answer: Reject | Fail | None) -> None:
        """The one final answer of a connection that does not stand."""
        if connection.state is ConnectionState.CLOSED:
            return
        standing, attempt = connection.state is ConnectionState.ESTABLISHED, connection.attempt
        self.close_connection(connection)
        if attempt:  # only where the core itself gave up: the module answers when nothing is out
            attempt.close(ConnectionEnd.ORDERLY)
            self.report_attempt_end(attempt, AttemptError(attempt.phase, Cause.CALLED_OFF), True)
        if standing:
            connection.client.migrate()
        elif isinstance(answer, Reject):
            self.request_log.on_rejected(connection, answer)
            connection.client.reject(answer.retry_after_us)
        else:
            self.request_log.on_failed(connection, answer)
            connection.client.fail()

    def close_connection(self, connection: Connection) -> None:
        """The end of a connection, as far as the core goes."""
        connection.transition(ConnectionState.CLOSED)
        connection.attempt = None
        if connection.deadline_timer:
            connection.deadline_timer.cancel()
        self.connections.pop(connection.number, None)

    # ---- attempts

    def _start(self, start: StartAttempt) -> None:
        connection = self.connections.get(start.request_id)
        if (
            connection is None
            or connection.state is not ConnectionState.QUEUED
            or connection.attempts >= connection.settings.max_attempts
            or not self.accepts_work
        ):
            # Guards against a send after the end, a hedged request, and one attempt too many.
            final, number = (
                connection is None or connection.state is ConnectionState.ESTABLISHED,
                connection.attempts if connection else 0,
            )
            self.enqueue(AttemptEnded(start.request_id, number, start.backend, AttemptResult.NOT_SENT, final))
            return
        self.begin_attempt(
            connection, start.backend, min(connection.deadline_us, self.clock() + start.timeout_us), start.slow_start
        )

    def begin_attempt(
        self, connection: Connection, backend: str, until_us: int, room: SlowStartAllowance | None = None
    ) -> None:
        """Begin an attempt; `room`: the server is in slow start, and had this much left."""
        connection.transition(ConnectionState.CONNECTING)
        attempt = connection.attempt = Attempt(self, connection, backend, until_us, room is not None)
        self.request_log.on_send(attempt, room)
        connection.attempts += 1
        self.counters.add("attempts")
        connect_by = until_us
        if not connection.adopted_backend:
            connect_by = min(until_us, attempt.started_us + connection.settings.connect_timeout_us)
        attempt.timer = self.timers.set(connect_by, partial(attempt.end, Cause.SILENT))
        attempt.upstream = connection.connector.connect(attempt, connection.connect_request.request_line)
        if attempt.is_over:  # it ended at once, before its upstream connection was known here
            attempt.upstream.close(ConnectionEnd.ORDERLY)

    def on_attempt_advanced(self, attempt: Attempt) -> None:
        """An attempt came further: from the connect's timeout to the whole attempt's."""
        attempt.write_started_us = attempt.write_started_us or self.clock()
        if attempt.phase is AttemptPhase.SENT:
            self.counters.add("sends_total")
        if attempt.phase is AttemptPhase.WRITING and attempt.timer:
            attempt.timer.cancel()
            attempt.timer = self.timers.set(attempt.expires_us, partial(attempt.end, Cause.SILENT))
            self.wake()

    def on_attempt_succeeded(self, attempt: Attempt, response_line: object) -> None:
        """A backend took the connection."""
        connection = attempt.connection
        connection.transition(ConnectionState.ESTABLISHED)
        attempt.phase = AttemptPhase.UP
        attempt.last_received_us = now = self.clock()
        for timer in (attempt.timer, connection.deadline_timer):
            if timer:
                timer.cancel()
        if connection.adopted_backend:
            self.enqueue(ConnectionAdopted(connection.as_event(self.clock()), attempt.backend))
        else:
            self.enqueue(
                ConnectionEstablished(connection.number, attempt.number, attempt.backend, now - attempt.started_us)
            )
        self.request_log.on_established(connection)
        assert attempt.upstream is not None
        connection.client.establish(attempt.upstream, response_line)

    def on_attempt_ended(self, attempt: Attempt, attempt_error: AttemptError, how: ConnectionEnd) -> None:
        """An attempt failed, or a connection that stood ended at the backend's side."""
        connection = attempt.connection
        standing = connection.state is ConnectionState.ESTABLISHED
        attempt.close(how)
        self.counters.add(f"ended: {attempt_error}")
        if standing:
            self.close_connection(connection)
            self.report_attempt_end(attempt, attempt_error, True)
            connection.client.close(how)
        elif connection.adopted_backend:
            once_more(self, connection, attempt_error)
        else:
            connection.transition(ConnectionState.QUEUED)
            connection.attempt = None
            if attempt_error.result not in NEVER_EXECUTED:
                connection.first_sent_us = connection.first_sent_us or attempt.write_started_us
            self.report_attempt_end(attempt, attempt_error, False)

    def report_attempt_end(self, attempt: Attempt, attempt_error: AttemptError, final: bool) -> None:
        """Tell the module how an attempt ended."""
        self.request_log.on_attempt_end(attempt, attempt_error)
        took = self.clock() - attempt.started_us
        self.enqueue(
            AttemptEnded(
                attempt.connection.number,
                attempt.number,
                attempt.backend,
                attempt_error.result,
                final,
                took,
                attempt.report,
            )
        )

    # ---- connections that stand

    def migrate(self, connection: Connection) -> None:
        """Tell a client to come again, and end both sides."""
        attempt = connection.attempt
        if connection.state is not ConnectionState.ESTABLISHED or attempt is None:
            return
        self.close_connection(connection)
        self.counters.add("moved")
        connection.client.migrate()
        attempt.close(ConnectionEnd.ORDERLY)
        self.report_attempt_end(attempt, AttemptError(attempt.phase, Cause.CALLED_OFF), True)

    def on_connection_load(self, attempt: Attempt, load: float) -> None:
        """A backend told a connection's load, in microseconds of work a second."""
        self.enqueue(ConnectionLoadReport(attempt.connection.number, attempt.backend, load))

    def migrate_off_silent(self, connection: Connection, alone: bool) -> None:
        """Move a connection off a backend that answers nothing; `alone`: it answers others."""
        attempt = connection.attempt
        assert attempt
        self.counters.add("moved_from_silent")
        self.close_connection(connection)
        connection.client.migrate()
        attempt.close(ConnectionEnd.BROKEN)
        self.report_attempt_end(
            attempt, AttemptError(AttemptPhase.UP, Cause.CALLED_OFF if alone else Cause.SILENT), True
        )
