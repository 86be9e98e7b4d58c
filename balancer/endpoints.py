"""The endpoint list: what is known of each backend, and the hash ring from which candidates are drawn."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from zlib import crc32

from .context import Context
from .events import BackendState, Endpoint, EndpointListUpdate
from .recent_minimum import RecentMinimum
from .settings import WeightKind

REPORT_DELAY_US = 2_000_000  # until a placement shows in a backend's load reports
RING_POINTS = 16  # of a mean backend: evens out the gaps between backends


@dataclass(slots=True)
class Backend:
    """What this node knows of one backend process."""

    entry: Endpoint
    load: float | None = None  # load over capacity, as last reported
    reported_at_us: int = 0
    load_sent_since_report: float = 0.0  # by this node
    connect_failures: int = 0  # forgiven gradually
    consecutive_errors: int = 0  # since a connection was last established
    ejected_until_us: int = 0
    connections: dict[int, None] = field(default_factory=dict)  # this node's, by request id
    reported_connections: RecentMinimum = field(  # this node's, as far as reports show them for certain
        default_factory=lambda: RecentMinimum(REPORT_DELAY_US)
    )
    rounding: float = 0.0  # in [0, 1): rounds this node's part of a warming backend up or down
    in_flight: set[int] = field(default_factory=set)  # requests whose attempt is out here
    overloaded_until_us: int = 0  # it has dropped a connection not long before this
    no_migration_until_us: int = 0
    message_latency: float = 0.0  # as last reported, in latency objectives
    health_check_pending: bool = False
    migration_check_pending: bool = False  # the pending health check decides on migration
    drain_notified: bool = False  # it has begun to drain, and its connections are being migrated
    awaiting_health_check: list[int] = field(default_factory=list)  # requests

    def add_connection(self, request_id: int, now_us: int, is_adopted: bool) -> None:
        """A connection of this node has been established here, or adopted: then reports show it already."""
        self.connections[request_id] = None
        if is_adopted:
            self.reported_connections.raise_by(1)
        else:
            self.reported_connections.set(now_us, len(self.connections))

    def remove_connection(self, request_id: int, now_us: int) -> None:
        """A connection of this node has ended, if it was here."""
        self.connections.pop(request_id, None)
        self.reported_connections.set(now_us, len(self.connections))


class EndpointTable:
    """The backends of the endpoint list, by name, and the ring of those that are ready.

    Attributes: `backends`; `mean_weight` of those in the ring as it was last built.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.backends: dict[str, Backend] = {}
        self.mean_weight = 1.0
        self._ring: list[tuple[int, str]] = []
        self._ring_is_stale = True

    def update(self, update: EndpointListUpdate, on_draining: Callable[[Backend], None]) -> None:
        """Apply a list; `on_draining` is called for each backend that begins to drain."""
        known, self.backends = self.backends, {} if update.is_complete else self.backends
        for entry in update.entries:
            backend = known.get(entry.backend)
            if backend is None or backend.entry.started_us < entry.started_us:  # new, or a new process
                backend = Backend(entry, rounding=self._context.random.random() if entry.started_us else 0.0)
            backend.entry = entry
            self.backends[entry.backend] = backend
            if entry.state is BackendState.DRAINING and not backend.drain_notified:
                backend.drain_notified = True  # guards against a cut: connections move before it leaves
                on_draining(backend)
            backend.drain_notified = backend.drain_notified and entry.state is not BackendState.READY
            if entry.state is BackendState.GONE:
                del self.backends[entry.backend]
        self._ring_is_stale = True

    def apply_settings(self) -> None:
        """Settings have changed: the ring is built anew when it is next needed."""
        self._ring_is_stale = True

    def count_unavailable(self, now_us: int) -> int:
        """How many listed backends get nothing new now, or only where no others are left."""
        return sum(
            b.entry.state is not BackendState.READY or now_us < b.ejected_until_us
            for b in self.backends.values()
        )

    def is_cross_zone(self, backend: Backend) -> bool:
        """Whether a connection there pays for crossing between zones."""
        settings = self._context.settings
        return settings.cross_zone_cost > 0 and backend.entry.zone != settings.zone

    def refresh_ring(self) -> bool:
        """Build the ring anew where list or settings have changed; whether any backend is in it."""
        if self._ring_is_stale:
            self._build_ring()
        return bool(self._ring)

    def at_points(self, points: Iterable[int]) -> list[str]:
        """The backends at points of the ring, which must not be empty where points are given."""
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
