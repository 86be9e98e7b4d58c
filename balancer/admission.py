"""Admission: the throttle on attempts while many fail, and the guard against herding."""

from __future__ import annotations

from .connections import PendingRequest
from .context import Context
from .decaying import Decaying
from .endpoints import REPORT_DELAY_US, Backend, EndpointTable
from .load_estimate import FULL_LOAD, LoadEstimate
from .settings import LoadReportSource
from .slow_start import SlowStart

MEMORY_US = 1_500_000  # of the counts of attempts
ATTEMPTS_PER_SUCCESS = 2.0  # wanted attempts for each success before some are held back
NO_CAPACITY_WEIGHT = 0.2  # of a failure: health checks of a full fleet for every waiting client are vain
RECONNECT_WEIGHT = 0.25  # of a new connection's load in the guard, on a new node


class AdmissionThrottle:
    """Holds attempts back at random, the more of them fail.

    Guards against drowning what all backends depend on. `failures` counts, with decay, attempts held back or
    ended by what is not the request's own doing.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.established = Decaying(MEMORY_US)
        self.failures = Decaying(MEMORY_US)

    def should_hold(self, now_us: int) -> bool:
        """Whether an attempt that is wanted now should be held back."""
        established, failures = self.established.add(now_us, 0), self.failures.add(now_us, 0)
        wanted = established + failures
        return self._context.random.random() < (wanted - ATTEMPTS_PER_SUCCESS * established) / (wanted + 1)

    def on_established(self) -> None:
        """A connection has been established."""
        self.established.add(self._context.now_us, 1)

    def on_failure(self) -> None:
        """An attempt has been held back, or has failed."""
        self.failures.add(self._context.now_us, 1)

    def on_no_capacity(self) -> None:
        """Candidates were looked at, and none had capacity."""
        self.failures.add(self._context.now_us, NO_CAPACITY_WEIGHT)


class HerdingGuard:
    """Keeps all nodes together from filling a backend before its reports show what they sent."""

    def __init__(
        self, context: Context, endpoints: EndpointTable, load_estimate: LoadEstimate, slow_start: SlowStart
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._load_estimate = load_estimate
        self._slow_start = slow_start
        self._demand = Decaying(MEMORY_US)  # placements considered

    def is_crowded(self, pending: PendingRequest, backend: Backend | None, eligible: int) -> bool:
        """Count a placement, and tell whether it must not go to the backend chosen for it.

        `eligible`: how many of its candidates could have been chosen. What all nodes may send before it shows
        must fit into the backend's spare capacity; that is judged at random.
        """
        # What reconnects to a new node is load that the backends carried a moment ago, and a crowd that waits
        # must not count itself again and again.
        returning = self._context.is_new_node() and pending.request.is_reconnect
        demand = self._demand.add(self._context.now_us, not (returning and pending.failed_rounds))
        if backend is None:
            return False
        if self._slow_start.capacity(backend) < 1:  # what all may send it is assigned in slots
            unseen = self._slow_start.unseen_load(backend)
        else:
            weight = RECONNECT_WEIGHT if returning else 1.0
            unseen = self._unseen_load(weight * demand, len(pending.candidates) / max(1, eligible))
        spare = FULL_LOAD - self._load_estimate.load(backend)
        return self._context.random.random() * unseen > spare

    def _unseen_load(self, demand: float, candidates_per_eligible: float) -> float:
        """Load that all nodes may add to a mean backend before it shows in its reports."""
        estimate, listed = self._load_estimate, len(self._endpoints.backends)
        unseen = (
            demand * REPORT_DELAY_US / MEMORY_US * estimate.nodes_per_backend() / estimate.full_connections()
        )
        available = listed - self._endpoints.count_unavailable(self._context.now_us)
        unseen *= listed / max(1, available)  # these alone share what all nodes send
        reported = self._context.settings.load_report_source is not LoadReportSource.NONE
        return unseen * (candidates_per_eligible * reported)  # where few are eligible, all meet there
