"""The endpoint table: the state of each listed backend, and the hash ring from which candidates are drawn."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from zlib import crc32

from .context import Context
from .events import BackendState, Endpoint, EndpointListUpdate
from .recent_minimum import RecentMinimum
from .settings import WeightKind

REPORT_DELAY_US = 2_000_000  # longest time until a placement shows in the backend's load reports
RING_POINTS = 16  # ring points of a backend of mean weight; several even out the gaps between backends


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

    Attributes: `backends`, by name; `mean_weight` of the backends in the ring, as of its last rebuild.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.backends: dict[str, Backend] = {}
        self.mean_weight = 1.0
        self._ring: list[tuple[int, str]] = []
        self._ring_is_stale = True

    def update(self, update: EndpointListUpdate, on_draining: Callable[[Backend], None]) -> None:
        """Apply an update of the list; `on_draining` is called for each backend that begins to drain."""
        known, self.backends = self.backends, {} if update.is_complete else self.backends
        for entry in update.entries:
            backend = known.get(entry.backend)
            if backend is None or backend.entry.started_us < entry.started_us:  # new, or a new process
                backend = Backend(
                    entry, rounding_offset=self._context.random.random() if entry.started_us else 0.0
                )
            backend.entry = entry
            self.backends[entry.backend] = backend
            if entry.state is BackendState.DRAINING and not backend.drain_notified:
                backend.drain_notified = True  # connections move before the backend's exit resets them
                on_draining(backend)
            backend.drain_notified = backend.drain_notified and entry.state is not BackendState.READY
            if entry.state is BackendState.GONE:
                del self.backends[entry.backend]
        self._ring_is_stale = True

    def apply_settings(self) -> None:
        """Apply changed settings: the ring is rebuilt when it is next needed."""
        self._ring_is_stale = True

    def count_unavailable(self, now_us: int) -> int:
        """Return the number of listed backends that are ejected or not ready."""
        return sum(
            b.entry.state is not BackendState.READY or now_us < b.ejected_until_us
            for b in self.backends.values()
        )

    def is_cross_zone(self, backend: Backend) -> bool:
        """Return whether a connection to a backend crosses zones, where that costs."""
        settings = self._context.settings
        return settings.cross_zone_cost > 0 and backend.entry.zone != settings.zone

    def refresh_ring(self) -> bool:
        """Rebuild the ring if list or settings have changed. Return whether it holds any backend."""
        if self._ring_is_stale:
            self._build_ring()
        return bool(self._ring)

    def backends_at_points(self, points: Iterable[int]) -> list[str]:
        """Return the names of the backends at ring points. The ring must not be empty if there are points."""
        ring = self._ring
        return [ring[bisect_left(ring, (point, "")) % len(ring)][1] for point in points]

    def _build_ring(self) -> None:
        ready = [b.entry for b in self.backends.values() if b.entry.state is BackendState.READY]
        stable = self._context.settings.weight_kind in (WeightKind.NOMINAL, WeightKind.ROUGH)
        self.mean_weight = mean = sum(max(e.weight, 0.0) for e in ready) / len(ready) if ready else 1.0
        self._ring = sorted(
            (crc32(f"{e.backend}#{n}".encode()), e.backend)
            for e in ready
            for n in range(
                max(1, round(RING_POINTS * e.weight / mean)) if stable and mean > 0 else RING_POINTS
            )
        )
        self._ring_is_stale = False
