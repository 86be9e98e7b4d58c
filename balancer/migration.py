"""Migration: moving established connections to other backends."""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import partial

from .actions import Migrate
from .connections import ConnectionTable
from .context import Context
from .endpoints import Backend, EndpointTable
from .events import MessageLatencyReport, Request
from .health_checks import HealthChecks
from .load_estimate import LoadEstimate
from .slow_start import SlowStart
from .timers import Timers

# Zone load up to which connections return to this zone: half of TARGET_LOAD, as all of them may return.
RETURN_HOME_MAX_LOAD = 0.35
# Time over which the checks whether a connection can return are spread, so that reports keep up with the
# moves of all nodes.
HOME_CHECK_INTERVAL_US = 20_000_000
OVERLOAD = 0.85  # load above which connections are moved away
TARGET_LOAD = 0.7  # load to which moving connections away brings a backend
LATE_MESSAGE_LATENCY = 0.6  # in message latency objectives, the latency from which a backend is checked
LOAD_PER_LATENCY_OBJECTIVE = 0.6  # load assumed from late messages: this, and as much again per objective
MAX_LOAD_FROM_LATENCY = 2.0
# Message latency, in objectives, that adds 1 to the load of 1 assumed for an unresponsive backend.
LATENCY_PER_EXTRA_LOAD = 4
ROUND_INTERVAL_US = 1_500_000  # between two rounds of moves from one backend, so that reports catch up
SPREAD_US = 1_000_000  # time over which the moves of a round are spread
DRAIN_SPREAD_US = 5_000_000  # the same for a draining backend, which has time until it exits
LOW_MEAN_LOAD = 0.5  # below this mean load, others have capacity, and a full backend is relieved at once
REPORTED_OVERLOAD = 1.0  # reported load above which some connections move, even if no message was late
RESET_MEMORY_US = 5_000_000  # time after a reset in which a report above OVERLOAD is enough to move some


@dataclass(slots=True, kw_only=True)
class Migration:
    """Moves connections away from draining and overloaded backends, and from other zones back to this one."""

    context: Context
    timers: Timers
    endpoints: EndpointTable
    connections: ConnectionTable
    load_estimate: LoadEstimate
    slow_start: SlowStart
    health_checks: HealthChecks
    message_latency_reported: bool = False  # some message latency has been reported

    def on_established(self, request: Request, name: str) -> None:
        """Schedule a move of a new or adopted connection if its backend drains or is in another zone."""
        backend = self.endpoints.backends.get(name)
        if backend is None:
            return
        if backend.drain_notified:  # it began to drain while the connection was being established
            self._move([request.request_id], DRAIN_SPREAD_US)
        # A connection moves to this zone at most once: a reconnect may be the result of such a move.
        elif not request.is_reconnect and self.endpoints.is_cross_zone(backend):
            self._schedule_return(request.request_id)

    def on_draining(self, backend: Backend) -> None:
        """Move all connections away from a backend that has begun to drain."""
        count = len(backend.connections)
        name = backend.entry.backend
        self.context.log("drain", f"backend {name} is draining; moving its {count} connections")
        self._move(list(backend.connections), DRAIN_SPREAD_US)

    def on_message_latency(self, event: MessageLatencyReport) -> None:
        """Record a message latency; if it is high, check the backend or move some of its connections."""
        backend = self.endpoints.backends.get(event.backend)
        connection = self.connections.by_id.get(event.request_id)
        if not backend or not connection or not math.isfinite(event.latency_us):
            return
        self.message_latency_reported = True
        objective_us = connection.request_class.message_latency_objective_us
        backend.message_latency = event.latency_us / max(1, objective_us)
        now_us = self.context.now_us
        if (
            backend.message_latency >= LATE_MESSAGE_LATENCY
            and not self._check_overload(backend)
            and now_us >= backend.no_migration_until_us
        ):
            backend.no_migration_until_us = now_us + ROUND_INTERVAL_US
            load = LOAD_PER_LATENCY_OBJECTIVE + LOAD_PER_LATENCY_OBJECTIVE * backend.message_latency
            backend.load = min(MAX_LOAD_FROM_LATENCY, load)  # a late message substitutes for a load report
            backend.reported_at_us = now_us
            self._shed_load(backend, backend.load)

    def on_connection_reset(self, backend: Backend) -> None:
        """Check a backend that has reset a connection, and lower the limit for its load reports for a while.

        An overloaded backend resets connections and then reports a low load while its messages are still
        late.
        """
        backend.overloaded_until_us = self.context.now_us + RESET_MEMORY_US
        self._check_overload(backend)

    def on_health_check(self, backend: Backend, unresponsive: bool) -> None:
        """Move some connections if a completed health check, whose report is already applied, shows overload.

        Any report above the limit counts, not only one that migration asked for: guards against a slow
        backend that the message latency does not reveal.
        """
        check_was_pending, backend.migration_check_pending = backend.migration_check_pending, False
        now_us = self.context.now_us
        # Where no message latency is reported, as another layer answers the messages, load reports are the
        # only sign of overload.
        only_load_reports = not self.message_latency_reported and self.load_estimate.mean_load < LOW_MEAN_LOAD
        limit = OVERLOAD if now_us < backend.overloaded_until_us or only_load_reports else REPORTED_OVERLOAD
        load = 0.0 if unresponsive else backend.load or 0.0
        if check_was_pending or load > limit and now_us >= backend.no_migration_until_us:
            backend.no_migration_until_us = max(backend.no_migration_until_us, now_us + ROUND_INTERVAL_US)
            self._shed_load(backend, None if unresponsive else backend.load)

    def _schedule_return(self, request_id: int) -> None:
        """Schedule a check whether a connection that pays for crossing zones can move to this zone."""
        delay_us = self.context.random.uniform(0, HOME_CHECK_INTERVAL_US)
        self.timers.start(delay_us, partial(self._return_home, request_id))

    def _return_home(self, request_id: int) -> None:
        if request_id not in self.connections.by_id:
            return
        # While backends drain or warm up, the others have enough new connections to set up.
        settled = self.endpoints.are_all_ready() and not self.slow_start.is_any_warming()
        if settled and self.load_estimate.zone_load < RETURN_HOME_MAX_LOAD:
            self.context.log("home", "moving connections from other zones back to this zone, one by one")
            self._migrate(request_id)
        else:
            self._schedule_return(request_id)

    def _check_overload(self, backend: Backend) -> bool:
        """Start a health check of a backend that may be overloaded; its result decides on moves.

        Returns False where health checks don't report load.
        """
        if not self.health_checks.is_load_reported():
            return False
        if self.context.now_us >= backend.no_migration_until_us:
            backend.no_migration_until_us = self.context.now_us + ROUND_INTERVAL_US
            backend.migration_check_pending = True
            self.health_checks.start(backend)
        return True

    def _shed_load(self, backend: Backend, load: float | None) -> None:
        """Move as many connections as bring an overloaded backend down to the target load.

        `load` is None where the backend did not respond to a health check.
        """
        load = 1.0 + min(1.0, backend.message_latency / LATENCY_PER_EXTRA_LOAD) if load is None else load
        if load <= OVERLOAD:
            return
        self.context.log(
            "move", f"moving some connections off backend {backend.entry.backend} at load {load:.2f}"
        )
        priority = self.connections.migration_priority
        by_priority = sorted(backend.connections, key=lambda request_id: (priority(request_id), request_id))
        count = int(len(by_priority) * (1 - TARGET_LOAD / load) + self.context.random.random())
        self._move(by_priority[:count], SPREAD_US)

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
