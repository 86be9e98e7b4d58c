"""Admission control: throttling of attempts while many fail, and protection of backends against herding."""

from __future__ import annotations

from .connections import PendingRequest
from .context import Context
from .decaying import DecayingSum
from .endpoints import REPORT_DELAY_US, Backend, EndpointTable
from .load_estimate import FULL_LOAD, LoadEstimate
from .settings import LoadReportSource
from .slow_start import SlowStart

ATTEMPT_MEMORY_US = 1_500_000  # decay time (to 1/e) of the counts of attempts
ATTEMPTS_PER_SUCCESS = 2.0  # above this ratio of wanted attempts to successes, some attempts are throttled
# Failures that one placement without capacity counts as, so that these are throttled too: while all backends
# are full, health checks on behalf of every waiting client are useless.
NO_CAPACITY_WEIGHT = 0.2
# Factor on the demand in `HerdingGuard`, for a client that reconnects to a new node.
RECONNECT_WEIGHT = 0.25


class AdmissionThrottle:
    """Holds back attempts at random, with a probability that grows with the share of failures.

    Protects the services that all backends depend on from overload. `failures` is a decaying count of
    throttled attempts, timeouts, errors that are unlikely to be caused by the request and, with a lower
    weight, placements without capacity.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.established = DecayingSum(ATTEMPT_MEMORY_US)
        self.failures = DecayingSum(ATTEMPT_MEMORY_US)

    def should_throttle(self, now_us: int) -> bool:
        """Return whether an attempt that is about to start should be throttled."""
        established, failures = self.established.add(now_us, 0), self.failures.add(now_us, 0)
        wanted = established + failures
        return self._context.random.random() < (wanted - ATTEMPTS_PER_SUCCESS * established) / (wanted + 1)

    def on_established(self) -> None:
        """Count an established connection."""
        self.established.add(self._context.now_us, 1)

    def on_failure(self) -> None:
        """Count an attempt that was throttled, timed out or got an error."""
        self.failures.add(self._context.now_us, 1)

    def on_no_capacity(self) -> None:
        """Count a placement that had candidates, none of which had capacity."""
        self.failures.add(self._context.now_us, NO_CAPACITY_WEIGHT)


class HerdingGuard:
    """Prevents the nodes from overfilling a backend together before its load reports show their requests."""

    def __init__(
        self, context: Context, endpoints: EndpointTable, load_estimate: LoadEstimate, slow_start: SlowStart
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._load_estimate = load_estimate
        self._slow_start = slow_start
        self._demand = DecayingSum(ATTEMPT_MEMORY_US)  # placements

    def should_block(self, pending: PendingRequest, backend: Backend | None, eligible: int) -> bool:
        """Count a placement, and return whether it must not go to the backend chosen for it.

        `eligible` is the number of candidates that could have been chosen. The decision is random: the more
        of the backend's spare capacity all nodes may use up before its reports show it, the likelier a block.
        """
        # Clients that reconnect to a new node are load that the backends carried a moment ago. While they
        # wait for capacity, their repeated placements must not add to the demand.
        returning = self._context.is_new_node() and pending.request.is_reconnect
        demand = self._demand.add(self._context.now_us, not (returning and pending.failed_rounds))
        if backend is None:
            return False
        if self._slow_start.capacity(backend) < 1:  # in slow start: send slots bound the load from all nodes
            unreported = self._slow_start.unreported_load(backend)
        else:
            weight = RECONNECT_WEIGHT if returning else 1.0
            unreported = self._unreported_load(weight * demand, len(pending.candidates) / max(1, eligible))
        spare = FULL_LOAD - self._load_estimate.load(backend)
        return self._context.random.random() * unreported > spare

    def _unreported_load(self, demand: float, candidates_per_eligible: float) -> float:
        """Return the load that all nodes may add to a mean backend before its load reports show it.

        0 where backends report no load.
        """
        estimate, listed = self._load_estimate, len(self._endpoints.backends)
        unreported = (
            demand
            * REPORT_DELAY_US
            / ATTEMPT_MEMORY_US
            * estimate.nodes_per_backend()
            / estimate.connection_capacity()
        )
        available = listed - self._endpoints.count_unavailable(self._context.now_us)
        unreported *= listed / max(1, available)  # only available backends receive the requests of all nodes
        reported = self._context.settings.load_report_source is not LoadReportSource.NONE
        # Where few candidates are eligible, the requests of all nodes concentrate on them.
        return unreported * (candidates_per_eligible * reported)
