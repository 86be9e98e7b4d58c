"""The endpoint table: the state of each listed backend, and the hash ring from which candidates are drawn."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count

from .context import Context
from .events import BackendState, Endpoint, EndpointListUpdate
from .hash_ring import HashRing
from .recent_minimum import RecentMinimum
from .settings import WeightKind

REPORT_DELAY_US = 2_000_000  # longest time until a placement shows in the backend's load reports


@dataclass(slots=True)
class Backend:
    """State that this node keeps for one backend process."""

    entry: Endpoint
    load: float | None = None  # load over capacity, as last reported
    reported_at_us: int = 0
    load_sent_since_report: float = 0.0  # estimated load of the requests that this node has sent since
    unresponsive_count: int = 0  # connect failures, timeouts and resets; halved by each success
    consecutive_errors: int = 0  # since a connection was last established
    ejected_until_us: int = 0
    connections: dict[int, None] = field(default_factory=dict)  # this node's, by request id
    reported_connections: RecentMinimum = field(  # number of this node's connections that reports surely show
        default_factory=lambda: RecentMinimum(REPORT_DELAY_US)
    )
    rounding_offset: float = 0.0  # in [0, 1): rounds this node's share of a warming backend up or down
    in_flight: set[int] = field(default_factory=set)  # ids of requests with an attempt in flight here
    overloaded_until_us: int = 0  # suspected of overload until then, as it has reset a connection
    no_migration_until_us: int = 0
    message_latency: float = 0.0  # as last reported, in message latency objectives
    health_check_pending: bool = False
    migration_check_pending: bool = False  # the pending health check decides on migration
    list_position: int = 0  # ascends in the order of the endpoint list
    drain_notified: bool = False  # it has begun to drain, and its connections are being migrated
    awaiting_health_check: list[int] = field(default_factory=list)  # ids of the requests that wait for it

    def add_connection(self, request_id: int, now_us: int, is_adopted: bool) -> None:
        """Add an established or adopted connection of this node; reports already show an adopted one."""
        self.connections[request_id] = None
        if is_adopted:
            self.reported_connections.raise_by(1)
        else:
            self.reported_connections.set(now_us, len(self.connections))

    def remove_connection(self, request_id: int, now_us: int) -> None:
        """Remove a connection of this node that has ended. Does nothing if it is unknown."""
        self.connections.pop(request_id, None)
        self.reported_connections.set(now_us, len(self.connections))


class EndpointTable:
    """The backends of the endpoint list and the hash ring of the ready ones.

    Attributes: `backends`, by name, in the order of the list.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.backends: dict[str, Backend] = {}
        self._ring = HashRing()
        self._list_positions = count()
        self._ready: set[str] = set()  # names of the ready backends
        self._ejected: dict[str, Backend] = {}  # may contain some whose ejection is over
        self._changed: dict[str, None] = {}  # names whose entries have changed since the ring's last update
        self._ring_is_stale = True

    def update(self, update: EndpointListUpdate, on_draining: Callable[[Backend], None]) -> None:
        """Apply an update of the list; `on_draining` is called for each backend that begins to drain."""
        known, self.backends = self.backends, {} if update.is_complete else self.backends
        if update.is_complete:
            self._changed.update(dict.fromkeys(known))
            self._ready.clear()
        for entry in update.entries:
            self._changed[entry.backend] = None
            backend = known.get(entry.backend)
            if backend is None or backend.entry.started_us < entry.started_us:  # new, or a new process
                backend = Backend(
                    entry, rounding_offset=self._context.random.random() if entry.started_us else 0.0
                )
            backend.entry = entry
            listed = self.backends.get(entry.backend)
            backend.list_position = listed.list_position if listed else next(self._list_positions)
            self.backends[entry.backend] = backend
            if entry.state is BackendState.DRAINING and not backend.drain_notified:
                backend.drain_notified = True  # connections move before the backend's exit resets them
                on_draining(backend)
            backend.drain_notified = backend.drain_notified and entry.state is not BackendState.READY
            self._ready.discard(entry.backend)
            if entry.state is BackendState.READY:
                self._ready.add(entry.backend)
            if entry.state is BackendState.GONE:
                del self.backends[entry.backend]
        self._ring_is_stale = True

    def apply_settings(self) -> None:
        """Apply changed settings: the ring is rebuilt when it is next needed."""
        self._ring_is_stale = True

    def eject(self, backend: Backend, until_us: int) -> None:
        """Eject a backend until a clock time, or longer if it is ejected for longer already."""
        backend.ejected_until_us = max(backend.ejected_until_us, until_us)
        self._ejected[backend.entry.backend] = backend

    def count_unavailable(self, now_us: int) -> int:
        """Return the number of listed backends that are ejected or not ready."""
        for name, backend in list(self._ejected.items()):
            if now_us >= backend.ejected_until_us or self.backends.get(name) is not backend:
                del self._ejected[name]
        ejected = sum(name in self._ready for name in self._ejected)
        return len(self.backends) - len(self._ready) + ejected

    def are_all_ready(self) -> bool:
        """Return whether all listed backends are ready."""
        return len(self._ready) == len(self.backends)

    def is_cross_zone(self, backend: Backend) -> bool:
        """Return whether a connection to a backend crosses zones, where that costs."""
        settings = self._context.settings
        return settings.cross_zone_cost > 0 and backend.entry.zone != settings.zone

    @property
    def mean_weight(self) -> float:
        """The mean weight of the backends in the ring, as of its last update."""
        return self._ring.mean_weight

    def refresh_ring(self) -> bool:
        """Update the ring if list or settings have changed. Return whether it holds any backend."""
        if self._ring_is_stale:
            self._update_ring()
        return bool(self._ring)

    def backends_at_points(self, points: Iterable[int]) -> list[str]:
        """Return the names of the backends at ring points. The ring must not be empty if there are points."""
        return [self._ring.backend_at(point) for point in points]

    def _update_ring(self) -> None:
        weights = {name: self._ring_weight(name) for name in self._changed}
        weight_kind = self._context.settings.weight_kind
        self._ring.update(weights, weight_kind in (WeightKind.NOMINAL, WeightKind.ROUGH))
        self._changed = {}
        self._ring_is_stale = False

    def _ring_weight(self, name: str) -> float | None:
        """Return a backend's weight in the ring, or None if it must not be in the ring."""
        backend = self.backends.get(name)
        if backend is None or backend.entry.state is not BackendState.READY:
            return None
        return backend.entry.weight
