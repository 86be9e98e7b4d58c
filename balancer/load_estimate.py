"""Load estimates for backends, from their load reports and this node's requests since.

The weight of a report decays with its age, and the estimate goes back to the mean load.
"""

from __future__ import annotations

import math

from .capacity import CapacityShare, available_capacity
from .connections import ConnectionTable
from .context import Context
from .endpoints import REPORT_DELAY_US, Backend, EndpointTable
from .events import LoadReport
from .settings import LoadReportSource, WeightKind

FULL_LOAD = 0.8  # load at which a backend counts as full; loads fluctuate, and near 1 work queues up
REPORT_MEMORY_US = 4_000_000  # age at which a report's weight against the mean load has decayed to 1/e
MAX_PLAUSIBLE_LOAD = 100.0  # a report of this load or more is ignored
MAX_REPORTED_LOAD_IN_MEAN = 2.0  # a higher report counts as this in the means
MEAN_LOAD_REPORTS, ZONE_LOAD_REPORTS = 16, 8  # number of reports over which the means are taken
# Highest load estimated from connection counts alone; only late messages show that a backend is full.
MAX_LOAD_BY_COUNT = 0.7
MIN_MEAN_LOAD = 0.05  # below this mean load, connection counts say nothing about capacity
MIN_CONNECTION_CAPACITY = 10.0  # mean connections assumed to fill a backend until this node has seen enough
MAX_CORES = 16.0  # upper bound on the cores that a rough weight stands for


class LoadEstimate:
    """Estimates of each backend's load, and of the number of mean connections that fill a backend.

    Attributes: `mean_load` over all reports; `zone_load` over those of warm backends in this node's zone;
    `capacity_share`, this node's share of the connections that fill a backend, for each kind of backend.
    """

    def __init__(self, context: Context, endpoints: EndpointTable, connections: ConnectionTable) -> None:
        self._context = context
        self._endpoints = endpoints
        self._connections = connections
        self.mean_load = 0.5
        self.zone_load = 0.5
        self.capacity_share = CapacityShare()

    def on_report(self, backend: Backend, report: LoadReport) -> None:
        """Apply a backend's load report. NaN, negative and implausibly high figures are ignored."""
        load = report.load if report.load is not None else report.utilization
        if load is None or not 0 <= load < MAX_PLAUSIBLE_LOAD:  # NaN compares false
            return
        settings, now_us, entry = self._context.settings, self._context.now_us, backend.entry
        backend.load, backend.reported_at_us, backend.load_sent_since_report = load, now_us, 0.0
        bounded = min(load, MAX_REPORTED_LOAD_IN_MEAN)
        self.mean_load += (bounded - self.mean_load) / MEAN_LOAD_REPORTS
        # A warming backend takes few connections; its load doesn't show the capacity of a warm one.
        if available_capacity(settings, entry.started_us, now_us) < 1:
            return
        # Connections newer than the reported load must not be divided by it: during a burst of clients the
        # quotient has no bound, and the rate of sends to backends in slow start is derived from it.
        held = backend.reported_connections.get(now_us)
        # The first connections of a node may not be in any report yet, so its share is unknown rather than 0.
        if self._context.has_run_for(REPORT_DELAY_US):
            self.capacity_share.on_report(now_us, entry.kind, held, bounded)
        if entry.zone == settings.zone:
            self.zone_load += (bounded - self.zone_load) / ZONE_LOAD_REPORTS

    def on_overloaded(self, backend: Backend) -> None:
        """Estimate full load for a backend that has rejected an attempt for lack of capacity."""
        backend.load, backend.reported_at_us, backend.load_sent_since_report = 1.0, self._context.now_us, 0.0

    def load(self, backend: Backend) -> float:
        """Return a backend's estimated load, as a part of its capacity.

        It is the last report, which decays toward the mean load, plus this node's requests since.
        """
        mean, sent = self.mean_load, backend.load_sent_since_report
        # Without load reports, this node's connection counts are used instead.
        if self._context.settings.load_report_source is LoadReportSource.NONE:
            listed = len(self._endpoints.backends)
            mean_per_backend = (len(self._connections.by_id) + listed) / max(1, listed)
            mean, sent = min(MAX_LOAD_BY_COUNT, mean * (len(backend.connections) + 1) / mean_per_backend), 0.0
        reported_load = mean if backend.load is None else backend.load
        weight = math.exp((backend.reported_at_us - self._context.now_us) / REPORT_MEMORY_US)
        return mean + weight * (reported_load - mean) + sent

    def add_sent(self, backend: Backend, cost: float) -> None:
        """Add an attempt of `cost` mean connections to a backend's estimated load."""
        backend.load_sent_since_report += cost / self.connection_capacity()

    def nodes_per_backend(self) -> float:
        """Return the ratio of nodes to backends.

        A mean backend holds this many times the total connections of one node.
        """
        return self._context.settings.fleet_size / max(1, len(self._endpoints.backends))

    def connection_capacity_by_count(self, held: float) -> float:
        """Return the mean connections that fill a backend, if this node holds `held` at the mean load."""
        return held * self.nodes_per_backend() / max(self.mean_load, MIN_MEAN_LOAD)

    def cores(self) -> float:
        """Return the cores of a mean backend where weights are rough (they count cores), or else 1."""
        rough = self._context.settings.weight_kind is WeightKind.ROUGH
        return min(max(self._endpoints.mean_weight, 1.0), MAX_CORES) if rough else 1.0

    def connection_capacity(self) -> float:
        """Return the mean connections that fill a backend.

        It is the larger of the estimates by this node's connection count and by the work of a connection.
        """
        # The estimate by work guards against rejecting a burst of clients that another node has sent away,
        # at a node that has few connections because it has just started or was drained a moment ago.
        mean_work = self._connections.mean_work
        by_work = self.cores() * 1e6 / mean_work if mean_work > 0 else 1.0
        by_count = self.connection_capacity_by_count(len(self._connections.by_id))
        return max(by_count, by_work, MIN_CONNECTION_CAPACITY)
