"""What is made of what is known of a server: its load, its room, whether it may be used."""

from __future__ import annotations

import math
from zlib import crc32

from . import interface as i
from .interface import ServerState, WeightKind
from .records import Job, Server
from .slow_start import SlowStart

FADE_US = 4_000_000  # us: age at which a report has lost 1 - 1/e of its say
POINTS = 16  # ring points of a mean server: evens out the gaps between servers
SUSPECT_US = 1_000_000  # us: first suspicion after a connect failure, doubled by each further one
SUSPECT_CAP_US = 8_000_000  # us: longest suspicion, so that a server that is back is found again
COUNTED = 0.7  # load: most that own counts may claim; only late messages show that a server is full
ABSURD = 100.0  # load: a report from here on counts as none


class Known(SlowStart):
    """How servers are judged."""

    def _probe(self, server: Server) -> None:
        if self.s.may_probe and not server.probing:
            server.probing = True
            self._do(i.Probe(server.entry.server))

    def _report(self, server: Server, report: i.LoadReport) -> None:
        load = report.load if report.load is not None else report.util
        if load is not None and 0 <= load < ABSURD:  # guards against lying reports; false for NaN too
            server.load, server.load_at, server.own = load, self.now, 0.0
            self.mean_load += (min(load, 2.0) - self.mean_load) / 16
            if self._coldness(server) < 1:  # cold ones take little
                return
            self.capacity_share.on_report(self.now, server.entry.kind, len(server.open), min(load, 2.0))
            if server.entry.zone == self.s.zone:
                self.near_load += (min(load, 2.0) - self.near_load) / 8

    def _load(self, server: Server) -> float:
        """Load over capacity as far as known: the report, fading toward the mean, and own sends since."""
        mean, own = self.mean_load, server.own
        if self.s.reports is i.Reports.NONE:  # own open connections stand in for reports
            each = (len(self.connections) + len(self.servers)) / max(1, len(self.servers))
            mean, own = min(COUNTED, mean * (len(server.open) + 1) / each), 0.0
        known = mean if server.load is None else server.load
        return mean + math.exp((server.load_at - self.now) / FADE_US) * (known - mean) + own

    def _suspect(self, server: Server, errors: int | None = None) -> None:
        """Others are preferred for a time, doubled by each further failure, or error in a row."""
        wait = min(SUSPECT_CAP_US, SUSPECT_US * 2 ** min(server.fails if errors is None else errors, 10))
        server.fails += errors is None
        server.suspect_until = max(server.suspect_until, self.now + int(self.random.uniform(0.5, 1) * wait))
        self._log("suspect", f"server {server.entry.server} suspected after a failure, a reset or errors")

    def _usable(self, server: Server, job: Job) -> bool:
        entry, scope = server.entry, job.klass.scope
        if entry.state is not ServerState.READY or entry.server in job.tried:
            return False
        if not job.ran or job.klass.repeat is i.Repeat.SAFE or scope is i.Scope.ALL:
            return True
        first = job.ran[0][0]
        return entry.zone == first.zone if scope is i.Scope.ZONE else entry.cell == first.cell

    def _far(self, server: Server) -> bool:
        """Whether a connection there pays for its crossing between zones."""
        return self.s.cross_zone > 0 and server.entry.zone != self.s.zone

    def _build_ring(self) -> None:
        ready = [s.entry for s in self.servers.values() if s.entry.state is ServerState.READY]
        stable = self.s.weight_kind in (WeightKind.NOMINAL, WeightKind.ROUGH)
        self.mean_weight = mean = sum(max(e.weight, 0.0) for e in ready) / len(ready) if ready else 1.0
        self.ring = sorted(
            (crc32(f"{e.server}#{n}".encode()), e.server)
            for e in ready
            for n in range(max(1, round(POINTS * e.weight / mean)) if stable and mean > 0 else POINTS)
        )
        self.ring_stale = False

    def _worth(self, klass: i.RequestClass, tenant: int) -> float:
        """Worth for each unit of work. A tenant's share is judged by this node's part of its quota."""
        part = self.s.tenants[tenant].quota_connections / self.s.fleet_size if self.s.tenants else 0.0
        over = part > 0 and self.tenant_open[tenant] + 2 > 1.25 * (part + 2)  # two of grace: few are noisy
        return klass.worth * (self.s.over_share_worth if over else 1)
