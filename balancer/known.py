"""What is made of what is known of a backend: its load, its room, whether it may be used."""

from __future__ import annotations

import math
from zlib import crc32

from .actions import CheckHealth
from .events import BackendState, LoadReport
from .records import Backend, PendingRequest
from .settings import Idempotency, KeyScope, LoadReportSource, RequestClass, WeightKind
from .slow_start import SlowStart

FADE_US = 4_000_000  # us: age at which a report has lost 1 - 1/e of its say
POINTS = 16  # ring points of a mean backend: evens out the gaps between backends
SUSPECT_US = 1_000_000  # us: first suspicion after a connect failure, doubled by each further one
SUSPECT_CAP_US = 8_000_000  # us: longest suspicion, so that a backend that is back is found again
COUNTED = 0.7  # load: most that own counts may claim; only late messages show that a backend is full
ABSURD = 100.0  # load: a report from here on counts as none


class Known(SlowStart):
    """How backends are judged."""

    def _probe(self, backend: Backend) -> None:
        if self.context.settings.may_check_health and not backend.probing:
            backend.probing = True
            self.context.emit(CheckHealth(backend.entry.backend))

    def _report(self, backend: Backend, report: LoadReport) -> None:
        load = report.load if report.load is not None else report.utilization
        if load is not None and 0 <= load < ABSURD:  # guards against lying reports; false for NaN too
            backend.load, backend.load_at, backend.own = load, self.context.now_us, 0.0
            self.mean_load += (min(load, 2.0) - self.mean_load) / 16
            if self._coldness(backend) < 1:  # ones in slow start take little
                return
            self.capacity_share.on_report(
                self.context.now_us, backend.entry.kind, len(backend.open), min(load, 2.0)
            )
            if backend.entry.zone == self.context.settings.zone:
                self.near_load += (min(load, 2.0) - self.near_load) / 8

    def _load(self, backend: Backend) -> float:
        """Load over capacity as far as known: the report, fading toward the mean, and own sends since."""
        mean, own = self.mean_load, backend.own
        if (
            self.context.settings.load_report_source is LoadReportSource.NONE
        ):  # own open connections stand in for reports
            each = (len(self.connections) + len(self.backends)) / max(1, len(self.backends))
            mean, own = min(COUNTED, mean * (len(backend.open) + 1) / each), 0.0
        known = mean if backend.load is None else backend.load
        return mean + math.exp((backend.load_at - self.context.now_us) / FADE_US) * (known - mean) + own

    def _suspect(self, backend: Backend, errors: int | None = None) -> None:
        """Others are preferred for a time, doubled by each further failure, or error in a row."""
        wait = min(SUSPECT_CAP_US, SUSPECT_US * 2 ** min(backend.fails if errors is None else errors, 10))
        backend.fails += errors is None
        backend.suspect_until = max(
            backend.suspect_until, self.context.now_us + int(self.context.random.uniform(0.5, 1) * wait)
        )
        self.context.log(
            "suspect", f"server {backend.entry.backend} suspected after a failure, a reset or errors"
        )

    def _usable(self, backend: Backend, pending: PendingRequest) -> bool:
        entry, scope = backend.entry, pending.request_class.key_scope
        if entry.state is not BackendState.READY or entry.backend in pending.tried:
            return False
        if (
            not pending.ran
            or pending.request_class.idempotency is Idempotency.IDEMPOTENT
            or scope is KeyScope.ALL
        ):
            return True
        first = pending.ran[0][0]
        return entry.zone == first.zone if scope is KeyScope.ZONE else entry.cell == first.cell

    def _far(self, backend: Backend) -> bool:
        """Whether a connection there pays for its crossing between zones."""
        return self.context.settings.cross_zone_cost > 0 and backend.entry.zone != self.context.settings.zone

    def _build_ring(self) -> None:
        ready = [s.entry for s in self.backends.values() if s.entry.state is BackendState.READY]
        stable = self.context.settings.weight_kind in (WeightKind.NOMINAL, WeightKind.ROUGH)
        self.mean_weight = mean = sum(max(e.weight, 0.0) for e in ready) / len(ready) if ready else 1.0
        self.ring = sorted(
            (crc32(f"{e.backend}#{n}".encode()), e.backend)
            for e in ready
            for n in range(max(1, round(POINTS * e.weight / mean)) if stable and mean > 0 else POINTS)
        )
        self.ring_stale = False

    def _worth(self, request_class: RequestClass, tenant: int) -> float:
        """Worth for each unit of work. A tenant's share is judged by this node's part of its quota."""
        part = (
            self.context.settings.tenants[tenant].quota_connections / self.context.settings.fleet_size
            if self.context.settings.tenants
            else 0.0
        )
        over = part > 0 and self.tenant_open[tenant] + 2 > 1.25 * (part + 2)  # two of grace: few are noisy
        return request_class.priority_weight * (self.context.settings.over_quota_weight if over else 1)
