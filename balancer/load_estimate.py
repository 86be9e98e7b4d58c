"""Estimated load of backends: their reports, which fade toward the mean, and what was sent since."""

from __future__ import annotations

import math

from .capacity import CapacityShare, available_capacity
from .connections import ConnectionTable
from .context import Context
from .endpoints import REPORT_DELAY_US, Backend, EndpointTable
from .events import LoadReport
from .settings import LoadReportSource, WeightKind

FULL_LOAD = 0.8  # load at which a backend counts as full; loads swing, and near 1 work piles up
REPORT_MEMORY_US = 4_000_000  # age at which a report's weight beside the mean has decayed to 1/e
MAX_PLAUSIBLE_LOAD = 100.0  # a report from here on is ignored
MAX_LOAD_IN_MEANS = 2.0  # one report counts for no more
MEAN_LOAD_REPORTS, ZONE_LOAD_REPORTS = 16, 8  # reports over which the means are taken
MAX_LOAD_BY_COUNT = 0.7  # by own connections alone; only late messages show that a backend is full
MIN_MEAN_LOAD = 0.05  # below it, connections are no measure of capacity
MIN_FULL_CONNECTIONS = 10.0  # mean connections that any backend takes, until this node has seen enough
MAX_CORES = 16.0  # cores: the most that a rough weight is believed


class LoadEstimate:
    """Load of single backends, and how many mean connections fill one.

    Attributes: `mean_load` over all reports; `zone_load` over those of warm backends in this node's zone;
    `capacity_share`, this node's part of what fills a backend of each kind.
    """

    def __init__(self, context: Context, endpoints: EndpointTable, connections: ConnectionTable) -> None:
        self._context = context
        self._endpoints = endpoints
        self._connections = connections
        self.mean_load = 0.5
        self.zone_load = 0.5
        self.capacity_share = CapacityShare()

    def on_report(self, backend: Backend, report: LoadReport) -> None:
        """A backend has reported its load. NaN, negative and absurd figures are ignored."""
        load = report.load if report.load is not None else report.utilization
        if load is None or not 0 <= load < MAX_PLAUSIBLE_LOAD:  # NaN compares false
            return
        settings, now_us, entry = self._context.settings, self._context.now_us, backend.entry
        backend.load, backend.reported_at_us, backend.load_sent_since_report = load, now_us, 0.0
        bounded = min(load, MAX_LOAD_IN_MEANS)
        self.mean_load += (bounded - self.mean_load) / MEAN_LOAD_REPORTS
        if available_capacity(settings, entry.started_us, now_us) < 1:  # warming up, it takes little
            return
        # Guards against connections of now beside the load of before them: as a crowd comes, their quotient
        # has no bound, and what backends in slow start are sent follows it.
        held = backend.reported_connections.get(now_us)
        # What a node has made in its first moments is in no report for certain: its share is unknown, not 0.
        if self._context.has_run_for(REPORT_DELAY_US):
            self.capacity_share.on_report(now_us, entry.kind, held, bounded)
        if entry.zone == settings.zone:
            self.zone_load += (bounded - self.zone_load) / ZONE_LOAD_REPORTS

    def on_overloaded(self, backend: Backend) -> None:
        """A backend has rejected an attempt for lack of capacity."""
        backend.load, backend.reported_at_us, backend.load_sent_since_report = 1.0, self._context.now_us, 0.0

    def load(self, backend: Backend) -> float:
        """Load over capacity: the report, fading toward the mean, and this node's sends since."""
        mean, sent = self.mean_load, backend.load_sent_since_report
        if self._context.settings.load_report_source is LoadReportSource.NONE:  # own connections stand in
            listed = len(self._endpoints.backends)
            each = (len(self._connections.by_id) + listed) / max(1, listed)
            mean, sent = min(MAX_LOAD_BY_COUNT, mean * (len(backend.connections) + 1) / each), 0.0
        known = mean if backend.load is None else backend.load
        weight = math.exp((backend.reported_at_us - self._context.now_us) / REPORT_MEMORY_US)
        return mean + weight * (known - mean) + sent

    def add_sent(self, backend: Backend, cost: float) -> None:
        """An attempt of this cost, in mean connections, goes to a backend."""
        backend.load_sent_since_report += cost / self.full_connections()

    def nodes_per_backend(self) -> float:
        """Nodes for each backend: over all nodes, a mean backend holds this many times what one node has."""
        return self._context.settings.fleet_size / max(1, len(self._endpoints.backends))

    def connections_at_capacity(self, held: float) -> float:
        """Mean connections that fill a backend, if this node holds `held` at the mean load."""
        return held * self.nodes_per_backend() / max(self.mean_load, MIN_MEAN_LOAD)

    def cores(self) -> float:
        """Cores of a backend, as far as a rough weight counts them; at least one."""
        rough = self._context.settings.weight_kind is WeightKind.ROUGH
        return min(max(self._endpoints.mean_weight, 1.0), MAX_CORES) if rough else 1.0

    def full_connections(self) -> float:
        """Mean connections that fill a backend: by this node's count, or more where their work says so."""
        # Guards against rejecting the crowd that comes to a node with few connections, since it has just
        # started or was emptied a moment ago, when another node sends its clients away.
        mean_work = self._connections.mean_work
        by_work = self.cores() * 1e6 / mean_work if mean_work > 0 else 1.0
        by_count = self.connections_at_capacity(len(self._connections.by_id))
        return max(by_count, by_work, MIN_FULL_CONNECTIONS)
