"""The balancer: dispatches each event (events.py) to its components and returns their actions (actions.py).

It makes only one decision itself: which failed attempts the admission throttle counts as failures.

All placements work the same way: a random pick among sampled ready backends, weighted toward low load, with
weights that level out as load reports age. Failed placements are retried at other backends after a
full-jitter exponential backoff.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .actions import Action
from .admission import AdmissionThrottle, HerdingGuard
from .connections import ConnectionTable
from .context import Context
from .endpoint_watch import EndpointWatch
from .endpoints import EndpointTable
from .events import (
    UNRESPONSIVE,
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionEstablished,
    ConnectionLoadReport,
    EndpointListError,
    EndpointListUpdate,
    Event,
    HealthCheckResult,
    LoadReport,
    MessageLatencyReport,
    Request,
    SettingsChanged,
    TimerFired,
)
from .health_checks import HealthChecks
from .load_estimate import LoadEstimate
from .migration import Migration
from .outlier_detection import OutlierDetection
from .placement import Placement
from .retry_policy import RetryPolicy
from .selection import Selection
from .settings import Settings
from .slow_start import SlowStart
from .timers import Timers


class Balancer:
    """Makes the decisions of one node. Call `handle` with each event, and execute its actions in order.

    `seed` determines all random draws: the same events at the same times result in the same actions.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.context = context = Context(settings, seed)
        self.timers = Timers(context)
        self.endpoints = EndpointTable(context)
        self.endpoint_watch = EndpointWatch(context, self.timers)
        self.connections = ConnectionTable(context, self.endpoints)
        self.load_estimate = LoadEstimate(context, self.endpoints, self.connections)
        self.slow_start = SlowStart(context, self.endpoints, self.connections, self.load_estimate)
        self.outlier_detection = OutlierDetection(context, self.endpoints)
        self.throttle = AdmissionThrottle(context)
        self.health_checks = HealthChecks(context)
        self.migration = self._build_migration()
        self.placement = self._build_placement()
        self._handlers: dict[type, Callable[[Any], None]] = {
            SettingsChanged: self._on_settings_changed,
            Request: self.placement.on_request,
            TimerFired: self.timers.on_fired,
            ConnectionEstablished: self._on_established,
            AttemptEnded: self._on_attempt_ended,
            HealthCheckResult: self._on_health_check,
            ClientDisconnected: self._on_client_disconnected,
            ConnectionLoadReport: self.connections.on_load_report,
            MessageLatencyReport: self.migration.on_message_latency,
            EndpointListUpdate: self._on_endpoint_list,
            ConnectionAdopted: self._on_adopted,
            EndpointListError: self._on_endpoint_list_error,
        }

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event at the clock time `now_us` and return the actions to execute.

        Raises IndexError for a request of a class that the settings don't have.
        """
        self.context.begin_event(now_us)
        self.slow_start.ensure_started()
        self._handlers[type(event)](event)
        return self.context.actions

    def count_unavailable(self, now_us: int) -> int:
        """Return the number of listed backends that are ejected or not ready."""
        return self.endpoints.count_unavailable(now_us)

    def _build_migration(self) -> Migration:
        return Migration(
            context=self.context,
            timers=self.timers,
            endpoints=self.endpoints,
            connections=self.connections,
            load_estimate=self.load_estimate,
            slow_start=self.slow_start,
            health_checks=self.health_checks,
        )

    def _build_placement(self) -> Placement:
        context, endpoints, connections = self.context, self.endpoints, self.connections
        load_estimate, slow_start = self.load_estimate, self.slow_start
        return Placement(
            context=context,
            timers=self.timers,
            endpoints=endpoints,
            connections=connections,
            load_estimate=load_estimate,
            slow_start=slow_start,
            health_checks=self.health_checks,
            throttle=self.throttle,
            herding_guard=HerdingGuard(context, endpoints, load_estimate, slow_start),
            selection=Selection(context, endpoints, connections, load_estimate, slow_start),
            retry_policy=RetryPolicy(context.settings.timer_resolution_us),
        )

    def _on_settings_changed(self, event: SettingsChanged) -> None:
        self.context.settings = event.settings
        self.endpoints.apply_settings()
        self.slow_start.apply_settings()
        self.placement.apply_settings()

    def _on_endpoint_list(self, update: EndpointListUpdate) -> None:
        self.context.on_endpoint_list()
        self.endpoints.update(update, self.migration.on_draining)
        self.slow_start.on_endpoint_list(update)
        self.endpoint_watch.on_list()

    def _on_endpoint_list_error(self, _: EndpointListError) -> None:
        self.endpoint_watch.on_error()

    def _on_established(self, event: ConnectionEstablished) -> None:
        self.throttle.on_established()
        request = self.placement.on_established(event.request_id)
        if request is not None:
            self._add_connection(request, event.backend)
        backend = self.endpoints.backends.get(event.backend)
        if backend:
            backend.in_flight.discard(event.request_id)
            self.outlier_detection.on_established(backend)

    def _on_adopted(self, event: ConnectionAdopted) -> None:
        self.context.on_adopted()
        self._add_connection(event.request, event.backend, is_adopted=True)

    def _add_connection(self, request: Request, backend: str, is_adopted: bool = False) -> None:
        self.connections.add(request, backend, is_adopted)
        self.migration.on_established(request, backend)

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        self.placement.on_client_disconnected(event.request_id)

    def _on_attempt_ended(self, outcome: AttemptEnded) -> None:
        backend = self.endpoints.backends.get(outcome.backend)
        if backend:
            backend.in_flight.discard(outcome.request_id)
            if outcome.load_report:
                self.load_estimate.on_report(backend, outcome.load_report)
        if outcome.request_id in self.connections.by_id:
            self.connections.remove(outcome.request_id)
            if outcome.result is AttemptResult.RESET and backend:
                self.outlier_detection.on_unresponsive(backend)
                self.migration.on_connection_reset(backend)
            return
        if backend:
            self.outlier_detection.on_attempt_ended(backend, outcome.result)
            if outcome.result is AttemptResult.OVERLOADED:
                self.load_estimate.on_overloaded(backend)
        # A single error may be caused by the request.
        is_error = outcome.result is AttemptResult.ERROR
        is_fault = is_error and (not backend or self.outlier_detection.has_failed_repeatedly(backend))
        if outcome.result is AttemptResult.TIMEOUT or is_fault:
            self.throttle.on_failure()
        self.placement.on_attempt_ended(outcome)

    def _on_health_check(self, event: HealthCheckResult) -> None:
        backend = self.endpoints.backends.get(event.backend)
        if backend is None:
            return
        awaiting, backend.awaiting_health_check, backend.health_check_pending = (
            backend.awaiting_health_check,
            [],
            False,
        )
        unresponsive = event.result in UNRESPONSIVE
        if unresponsive:
            self.outlier_detection.on_unresponsive(backend)
        else:
            self.outlier_detection.on_health_check_passed(backend)
            self.load_estimate.on_report(backend, event.load_report or LoadReport())
        self.migration.on_health_check(backend, unresponsive)
        self.placement.on_health_check(event.backend, awaiting, unresponsive)
