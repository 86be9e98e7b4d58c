"""Pending requests, and the table of established connections with their load, sticky groups and tenants."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from .actions import NotSentReason
from .context import Context
from .endpoints import EndpointTable
from .events import ConnectionLoadReport, Endpoint, Request
from .settings import RequestClass

MEAN_WORK_MEMORY = 16  # number of connections over which the mean work is taken
QUOTA_TOLERANCE = 1.25  # multiple of this node's share of a tenant's quota, above which priority drops
QUOTA_GRACE = 2  # connections added to both that share and the count, as small counts fluctuate


@dataclass(slots=True)
class PendingRequest:
    """A request that has no connection and no final answer yet."""

    request: Request
    request_class: RequestClass
    deadline_us: int
    max_attempts: int  # by the settings in force when it was received
    failed_rounds: int = 0  # failed attempts, and rounds that found no backend to send it to
    attempted: list[str] = field(default_factory=list)  # names of backends
    # Backends that may have executed the request, each with the clock time when it was sent.
    possibly_executed: list[tuple[Endpoint, int]] = field(default_factory=list)
    attempt_in_flight: bool = False
    candidates: list[str] = field(default_factory=list)
    unchecked: dict[str, None] = field(default_factory=dict)  # candidates whose health check is pending
    not_sent_reason: NotSentReason = NotSentReason.ATTEMPT_FAILED
    generation: int = 0  # timers that were started in an earlier generation are ignored


@dataclass(slots=True)
class Connection:
    """An established connection. `work` is its load in microseconds of work per second, 0 if unknown."""

    backend: str
    request_class: RequestClass
    tenant: int
    work: float
    group: str = ""


class ConnectionTable:
    """The established connections of this node.

    Attributes: `by_id`, the connections by request id; `sticky_backends`, for each sticky group the number of
    its connections at each backend; `mean_work`, the moving mean of the work of connections, in microseconds
    of work per second, 0 if unknown.
    """

    def __init__(self, context: Context, endpoints: EndpointTable) -> None:
        self._context = context
        self._endpoints = endpoints
        self.by_id: dict[int, Connection] = {}
        self.sticky_backends: dict[str, Counter[str]] = {}
        self.mean_work = 0.0
        self._open_by_tenant: Counter[int] = Counter()

    def add(self, request: Request, backend: str, is_adopted: bool = False) -> None:
        """Add a connection that was established at a backend, or adopted."""
        classes = self._context.settings.classes
        request_class = classes[min(max(request.request_class, 0), len(classes) - 1)]
        self.by_id[request.request_id] = Connection(
            backend, request_class, request.tenant, request.load_hint, request.sticky_group
        )
        self._open_by_tenant[request.tenant] += 1
        if request.sticky_group:
            self.sticky_backends.setdefault(request.sticky_group, Counter())[backend] += 1
        if backend in self._endpoints.backends:
            now_us = self._context.now_us
            self._endpoints.backends[backend].add_connection(request.request_id, now_us, is_adopted)

    def remove(self, request_id: int) -> None:
        """Remove a connection that has ended or will be migrated. Raises KeyError if it is unknown."""
        connection = self.by_id.pop(request_id)
        self._open_by_tenant[connection.tenant] -= 1
        if backends := self.sticky_backends.get(connection.group):
            backends[connection.backend] -= 1
            if not backends[connection.backend]:
                del backends[connection.backend]
            if not backends:
                del self.sticky_backends[connection.group]
        backend = self._endpoints.backends.get(connection.backend)
        if backend:
            backend.remove_connection(request_id, self._context.now_us)

    def holds_group(self, backend: str, group: str) -> bool:
        """Return whether this node has connections of a sticky group at a backend."""
        sticky = bool(self._context.settings.sticky_groups and group)
        return sticky and backend in self.sticky_backends.get(group, ())

    def on_load_report(self, event: ConnectionLoadReport) -> None:
        """Record a connection's load. Ignores unknown connections and negative or non-finite figures."""
        connection = self.by_id.get(event.request_id)
        if connection and math.isfinite(event.load) and event.load >= 0:
            connection.work = event.load
            self.update_mean_work(event.load)

    def update_mean_work(self, work: float) -> None:
        """Update the mean work with one connection's work, unless that is unknown (0)."""
        if work > 0:
            self.mean_work += (work - self.mean_work) / (MEAN_WORK_MEMORY if self.mean_work else 1)

    def cost(self, request: Request) -> float:
        """Return a request's load in mean connections."""
        hint = request.load_hint
        return min(hint / self.mean_work, 100.0) if hint > 0 and self.mean_work > 0 else 1.0

    def migration_priority(self, request_id: int) -> float:
        """Return a connection's priority weight, relative to its work; the lowest are moved first."""
        connection = self.by_id[request_id]
        weight = self._priority_weight(connection.request_class, connection.tenant)
        return weight if self._context.settings.weight_by_work else weight / max(connection.work, 1.0)

    def _priority_weight(self, request_class: RequestClass, tenant: int) -> float:
        """Return the class's weight, reduced if the tenant exceeds this node's share of its quota."""
        settings = self._context.settings
        quota = settings.tenants[tenant].quota_connections / settings.fleet_size if settings.tenants else 0.0
        allowed = QUOTA_TOLERANCE * (quota + QUOTA_GRACE)
        over = quota > 0 and self._open_by_tenant[tenant] + QUOTA_GRACE > allowed
        return request_class.priority_weight * (settings.over_quota_weight if over else 1)
