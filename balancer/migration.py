"""Migration: which established connections move to another backend, when, and how many."""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import partial

from .actions import Migrate
from .connections import ConnectionTable
from .context import Context
from .endpoints import Backend, EndpointTable
from .events import BackendState, MessageLatencyReport, Request
from .health_checks import HealthChecks
from .load_estimate import LoadEstimate
from .slow_start import SlowStart
from .timers import Timers

HOME_ZONE_LOAD = 0.35  # up to which connections return to this zone: half of the target, as all may come
HOME_INTERVAL_US = 20_000_000  # checks for it are spread over this; reports must keep up with all nodes
OVERLOAD = 0.85  # load above which connections are moved away
TARGET_LOAD = 0.7  # that moving aims at
LATE_MESSAGES = 0.6  # latency objectives above which a backend is checked
LOAD_OF_LATENESS = 0.6  # load: read from late messages, this and as much again for each objective
MAX_LOAD_OF_LATENESS = 2.0
LATENESS_OF_OVERLOAD = 4  # latency objectives that stand for a full load above 1 at a silent backend
ROUND_INTERVAL_US = 1_500_000  # between two rounds of moves off one backend; reports need to catch up
SPREAD_US = 1_000_000  # over which the moves of a round are spread
DRAIN_SPREAD_US = 5_000_000  # the same off a draining backend, which leaves in its own time
CALM_LOAD = 0.5  # mean load up to which others have capacity: a full backend sheds at once
REPORTED_OVERLOAD = 1.0  # load in any report above which some move, though no message was late
RESET_MEMORY_US = 5_000_000  # for so long after a reset, any report above OVERLOAD moves some


@dataclass(slots=True, kw_only=True)
class Migration:
    """Moves connections off backends that drain or are overloaded, and home from other zones."""

    context: Context
    timers: Timers
    endpoints: EndpointTable
    connections: ConnectionTable
    load_estimate: LoadEstimate
    slow_start: SlowStart
    health_checks: HealthChecks
    messages_are_timed: bool = False  # some message latency has been reported

    def on_established(self, request: Request, name: str) -> None:
        """A connection has been established at a backend, or adopted."""
        backend = self.endpoints.backends.get(name)
        if backend is None:
            return
        if backend.drain_notified:  # it began to drain while this was set up
            self._move([request.request_id], DRAIN_SPREAD_US)
        elif not request.is_reconnect and self.endpoints.is_cross_zone(backend):  # it moves once, no more
            self._plan_return(request.request_id)

    def on_draining(self, backend: Backend) -> None:
        """A backend has begun to drain: all its connections move."""
        count = len(backend.connections)
        name = backend.entry.backend
        self.context.log("drain", f"backend {name} is draining; {count} connections are told to move")
        self._move(list(backend.connections), DRAIN_SPREAD_US)

    def on_message_latency(self, event: MessageLatencyReport) -> None:
        """A message took its time; late ones have the backend checked, or some connections moved."""
        backend = self.endpoints.backends.get(event.backend)
        connection = self.connections.by_id.get(event.request_id)
        if not backend or not connection or not math.isfinite(event.latency_us):
            return
        self.messages_are_timed = True
        objective_us = connection.request_class.message_latency_objective_us
        backend.message_latency = event.latency_us / max(1, objective_us)
        now_us = self.context.now_us
        if (
            backend.message_latency >= LATE_MESSAGES
            and not self._check(backend)
            and now_us >= backend.no_migration_until_us
        ):
            backend.no_migration_until_us = now_us + ROUND_INTERVAL_US
            load = LOAD_OF_LATENESS + LOAD_OF_LATENESS * backend.message_latency
            backend.load = min(MAX_LOAD_OF_LATENESS, load)  # a late message stands in for a report
            backend.reported_at_us = now_us
            self._relieve(backend, backend.load)

    def on_connection_reset(self, backend: Backend) -> None:
        """A backend has dropped a connection.

        An overloaded backend drops connections, then reports a low load while its messages are late.
        """
        backend.overloaded_until_us = self.context.now_us + RESET_MEMORY_US
        self._check(backend)

    def on_health_check(self, backend: Backend, unresponsive: bool) -> None:
        """A health check has ended; its report has been taken in. Some connections move if it shows overload.

        Guards against a slow backend whose messages show nothing: any report above the limit moves some.
        """
        checked, backend.migration_check_pending = backend.migration_check_pending, False
        now_us = self.context.now_us
        # Where no message latency is reported (another layer answers them), reports are the only sign.
        only_reports = not self.messages_are_timed and self.load_estimate.mean_load < CALM_LOAD
        limit = OVERLOAD if now_us < backend.overloaded_until_us or only_reports else REPORTED_OVERLOAD
        load = 0.0 if unresponsive else backend.load or 0.0
        if checked or load > limit and now_us >= backend.no_migration_until_us:
            backend.no_migration_until_us = max(backend.no_migration_until_us, now_us + ROUND_INTERVAL_US)
            self._relieve(backend, None if unresponsive else backend.load)

    def _plan_return(self, request_id: int) -> None:
        """Check later whether a connection that pays for crossing zones can move home, until it can."""
        delay_us = self.context.random.uniform(0, HOME_INTERVAL_US)
        self.timers.start(delay_us, partial(self._return_home, request_id))

    def _return_home(self, request_id: int) -> None:
        if request_id not in self.connections.by_id:
            return
        # Guards against more set-ups while backends drain or warm up: those left have enough of them.
        settled = all(
            backend.entry.state is BackendState.READY and self.slow_start.capacity(backend) >= 1
            for backend in self.endpoints.backends.values()
        )
        if settled and self.load_estimate.zone_load < HOME_ZONE_LOAD:
            self.context.log("home", "connections that cross zones are moved home, one by one")
            self._migrate(request_id)
        else:
            self._plan_return(request_id)

    def _check(self, backend: Backend) -> bool:
        """Check a backend that may be overloaded, to relieve it if it is.

        False where health checks don't report load.
        """
        if not self.health_checks.is_load_reported():
            return False
        if self.context.now_us >= backend.no_migration_until_us:
            backend.no_migration_until_us = self.context.now_us + ROUND_INTERVAL_US
            backend.migration_check_pending = True
            self.health_checks.start(backend)
        return True

    def _relieve(self, backend: Backend, load: float | None) -> None:
        """Move as many connections as bring an overloaded backend down to the target; `load` None: silent."""
        load = 1.0 + min(1.0, backend.message_latency / LATENESS_OF_OVERLOAD) if load is None else load
        if load <= OVERLOAD:
            return
        self.context.log(
            "move", f"moving some connections off backend {backend.entry.backend} at load {load:.2f}"
        )
        priority = self.connections.migration_priority
        cheapest = sorted(backend.connections, key=lambda request_id: (priority(request_id), request_id))
        count = int(len(cheapest) * (1 - TARGET_LOAD / load) + self.context.random.random())
        self._move(cheapest[:count], SPREAD_US)

    def _move(self, request_ids: list[int], spread_us: int) -> None:
        for request_id in request_ids:
            delay_us = self.context.random.uniform(0, spread_us)
            self.timers.start(delay_us, partial(self._move_if_open, request_id))

    def _move_if_open(self, request_id: int) -> None:
        if request_id in self.connections.by_id:
            self._migrate(request_id)

    def _migrate(self, request_id: int) -> None:
        self.connections.remove(request_id)
        self.context.emit(Migrate(request_id))
