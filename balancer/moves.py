"""Which standing connections are moved, and when."""

from __future__ import annotations

import math
from functools import partial

from .actions import Migrate
from .endpoints import Backend
from .events import BackendState, MessageLatencyReport, Request
from .known import Known
from .settings import LoadReportSource

HOME_AT = 0.35  # load near up to which who crosses comes home: half of what moving aims at, as all may come
HOME_US = 20_000_000  # us: looks for it are spread over this; reports must keep up with the sum of all nodes
MOVE_AT = 0.85  # load above which standing connections are moved away
MOVE_TO = 0.7  # load that moving aims at
MOVE_DELAY = 0.6  # aims: message delay above which a backend is looked at
LATE_LOAD = 0.6  # load: read from late messages, this and as much again for each aim that they take
MOVE_HOLD_US = 1_500_000  # us: between two rounds of moves off one backend; reports need to catch up
MOVE_SPREAD_US = 1_000_000  # us: moves of a round are spread over this
DRAIN_SPREAD_US = 5_000_000  # us: moves off a draining backend; it leaves in its own time, and told late


class Moves(Known):
    """Moves off what drains or is full, and home from other zones."""

    def _stand(self, request: Request, name: str) -> None:
        self.connections.add(request, name)
        if name in self.endpoints.backends:
            if self.endpoints.backends[name].drain_notified:  # it began to drain while this was set up
                self._move_soon([request.request_id], DRAIN_SPREAD_US)
            elif not request.is_reconnect and self.endpoints.is_cross_zone(
                self.endpoints.backends[name]
            ):  # one move for it, no more
                self._look_home(request.request_id)

    def _look_home(self, request: int) -> None:
        """Move a connection that pays for crossing by the second, once there is room near."""

        def look() -> None:
            if request not in self.connections.by_id:
                return
            # Guards against more set-ups while backends drain or warm up: those left have enough of them.
            settled = all(
                s.entry.state is BackendState.READY and self.slow_start.capacity(s) >= 1
                for s in self.endpoints.backends.values()
            )
            if settled and self.load_estimate.zone_load < HOME_AT:
                self.context.log("home", "connections that cross zones are moved home, one by one")
                self.connections.remove(request)
                self.context.emit(Migrate(request))
            else:
                self._look_home(request)

        self.timers.start(self.context.random.uniform(0, HOME_US), look)

    def _late(self, note: MessageLatencyReport) -> None:
        """Messages are late at a backend: look at it, and move some connections away."""
        backend, connection = (
            self.endpoints.backends.get(note.backend),
            self.connections.by_id.get(note.request_id),
        )
        if not backend or not connection or not math.isfinite(note.latency_us):
            return
        self.late_told = True
        backend.message_latency = note.latency_us / max(
            1, connection.request_class.message_latency_objective_us
        )
        if (
            backend.message_latency >= MOVE_DELAY
            and not self._look_at(backend)
            and self.context.now_us >= backend.no_migration_until_us
        ):
            backend.no_migration_until_us = (
                self.context.now_us + MOVE_HOLD_US
            )  # a late message stands in for a report
            backend.load, backend.reported_at_us = (
                min(2.0, LATE_LOAD + LATE_LOAD * backend.message_latency),
                self.context.now_us,
            )
            self._move_some(backend, backend.load)

    def _look_at(self, backend: Backend) -> bool:
        """Probe a backend that may be overloaded, and move some off it if so. False: no health checks
        here."""
        if (
            not self.context.settings.may_check_health
            or self.context.settings.load_report_source is LoadReportSource.NONE
        ):
            return False
        if self.context.now_us >= backend.no_migration_until_us:
            backend.no_migration_until_us = self.context.now_us + MOVE_HOLD_US
            backend.awaiting_probe.append(-1)
            self._probe(backend)
        return True

    def _move_some(self, backend: Backend, load: float | None) -> None:
        load = 1.0 + min(1.0, backend.message_latency / 4) if load is None else load
        if load <= MOVE_AT:
            return
        self.context.log("move", f"moving some connections off {backend.entry.backend} at load {load:.2f}")
        cheapest = sorted(backend.connections, key=lambda r: (self.connections.migration_priority(r), r))
        self._move_soon(cheapest[: int(len(cheapest) * (1 - MOVE_TO / load) + self.context.random.random())])

    def _move_soon(self, requests: list[int], spread_us: int = MOVE_SPREAD_US) -> None:
        def move(request: int) -> None:
            if request in self.connections.by_id:
                self.connections.remove(request)
                self.context.emit(Migrate(request))

        for request in requests:
            self.timers.start(self.context.random.uniform(0, spread_us), partial(move, request))
