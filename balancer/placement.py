"""Placement of requests, from their arrival until a connection is established or the final answer is sent.

Each placement round either throttles the request or samples candidates, checks the health of those with old
load reports, and sends the request to one of them. After a failed round the request waits for a backoff and
the next round tries other backends, until the retry policy gives up.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from .actions import Fail, NotSentReason, Reject, StartAttempt
from .admission import AdmissionThrottle, HerdingGuard
from .connections import ConnectionTable, PendingRequest
from .context import Context
from .endpoints import Backend, EndpointTable
from .events import NEVER_EXECUTED, AttemptEnded, Request
from .health_checks import HealthChecks
from .load_estimate import LoadEstimate
from .retry_policy import RetryPolicy, may_client_retry
from .selection import Selection
from .slow_start import SlowStart
from .timers import Timers

ATTEMPT_TIMEOUT_OBJECTIVES = 2.0  # in latency objectives; a connection after that is of little use
HEALTH_CHECK_WAIT_FRACTION = 1 / 6  # maximum wait for candidates' health checks, in latency objectives


@dataclass(slots=True, kw_only=True)
class Placement:
    """Places requests at backends.

    Attributes: `pending`, the requests without a connection or final answer yet, by request id; the others
    are the components that decide with it.
    """

    context: Context
    timers: Timers
    endpoints: EndpointTable
    connections: ConnectionTable
    load_estimate: LoadEstimate
    slow_start: SlowStart
    health_checks: HealthChecks
    throttle: AdmissionThrottle
    herding_guard: HerdingGuard
    selection: Selection
    retry_policy: RetryPolicy
    pending: dict[int, PendingRequest] = field(default_factory=dict)

    def apply_settings(self) -> None:
        """Apply changed settings. Pending requests keep their class and number of attempts."""
        self.retry_policy = RetryPolicy(self.context.settings.timer_resolution_us)

    def on_request(self, request: Request) -> None:
        """Start to place a new request. Raises IndexError for a class that the settings don't have."""
        self.connections.update_mean_work(request.load_hint)
        settings = self.context.settings
        request_class = settings.classes[request.request_class]
        deadline_us = self.context.now_us + min(request.expires_us, request_class.deadline_us)
        pending = PendingRequest(request, request_class, deadline_us, settings.max_attempts)
        self.pending[request.request_id] = pending
        self._start_round(pending)

    def on_established(self, request_id: int) -> Request | None:
        """Forget a request whose connection is established. Return it, or None if it was not pending."""
        pending = self.pending.pop(request_id, None)
        return pending.request if pending else None

    def on_client_disconnected(self, request_id: int) -> None:
        """Forget a request whose client has disconnected: it needs no final answer."""
        self.pending.pop(request_id, None)

    def on_attempt_ended(self, outcome: AttemptEnded) -> None:
        """Retry a request whose attempt has failed, or send its final answer."""
        pending = self.pending.get(outcome.request_id)
        if pending is None or outcome.is_final:
            self.pending.pop(outcome.request_id, None)
            return
        pending.attempt_in_flight = False
        if outcome.result in NEVER_EXECUTED and pending.possibly_executed:
            pending.possibly_executed.pop()
        if self.retry_policy.may_retry(pending, outcome.result, self.context.now_us):
            self._retry(pending, NotSentReason.ATTEMPT_FAILED)
        else:
            pending.not_sent_reason = NotSentReason.NOT_RETRYABLE
            self._reject_or_fail(pending)

    def on_health_check(self, name: str, request_ids: list[int], unresponsive: bool) -> None:
        """Continue the requests that waited for a backend's health check; `unresponsive` rules it out."""
        for pending in [self.pending[n] for n in request_ids if n in self.pending]:
            if name in pending.unchecked:
                del pending.unchecked[name]
                if unresponsive:
                    pending.candidates.remove(name)
                if not pending.unchecked:
                    self._place(pending)

    def _start_round(self, pending: PendingRequest) -> None:
        """Sample candidates, check those with old load reports, and place once the results have arrived."""
        throttled = self.throttle.should_throttle(self.context.now_us)
        # An open send slot takes precedence: the backend in slow start tolerates this request.
        if throttled and not self.slow_start.pick_backend_with_open_slot():
            self.throttle.on_failure()
            self.context.log(
                "hold",
                "admission throttle: holding back some attempts, as many fail, time out or find no capacity",
            )
            self._retry(pending, NotSentReason.THROTTLED)
            return
        pending.generation += 1
        pending.candidates, pending.unchecked = self.selection.sample(pending), {}
        if self.health_checks.is_load_reported() and len(self.endpoints.backends) > 1:
            self._check_candidates(pending)
        if not pending.unchecked:
            self._place(pending)
        else:  # the timer covers health checks that get no response
            max_us = pending.request_class.latency_objective_us * HEALTH_CHECK_WAIT_FRACTION
            wait_us = min(max_us, (pending.deadline_us - self.context.now_us) / 2)
            self._resume_after(wait_us, pending, self._place)

    def _check_candidates(self, pending: PendingRequest) -> None:
        for name in pending.candidates:
            backend = self.endpoints.backends[name]
            if self.health_checks.is_needed(backend):
                pending.unchecked[name] = None
                backend.awaiting_health_check.append(pending.request.request_id)
                self.health_checks.start(backend)

    def _place(self, pending: PendingRequest) -> None:
        """Send the request to one of its candidates, or fail the round without an attempt."""
        backend, eligible = self.selection.pick(pending)
        pending.unchecked = {}  # guards against a second placement when a late health check result arrives
        blocked = self.herding_guard.should_block(pending, backend, eligible)
        if backend is None or blocked:
            if pending.candidates:  # without candidates no health check was sent, so nothing is counted
                self.throttle.on_no_capacity()
            self._retry(pending, self._not_placed_reason(pending))
            return
        self._send(pending, backend)

    def _send(self, pending: PendingRequest, backend: Backend) -> None:
        request, name, now_us = pending.request, backend.entry.backend, self.context.now_us
        cost = self.connections.cost(request)
        pending.attempt_in_flight = True
        pending.attempted.append(name)
        self.load_estimate.add_sent(backend, cost)
        max_us = int(pending.request_class.latency_objective_us * ATTEMPT_TIMEOUT_OBJECTIVES)
        timeout_us = max(1, min(pending.deadline_us - now_us, max_us))
        allowance = self.slow_start.allowance(backend)
        send_by_us = self.slow_start.use_slots(backend, cost)
        self.context.emit(StartAttempt(request.request_id, name, timeout_us, allowance, send_by_us))
        backend.in_flight.add(request.request_id)
        pending.possibly_executed.append((backend.entry, now_us))

    def _not_placed_reason(self, pending: PendingRequest) -> NotSentReason:
        if pending.candidates:
            return NotSentReason.NO_CAPACITY
        usable = any(self.selection.is_usable(b, pending) for b in self.endpoints.backends.values())
        return NotSentReason.SLOW_START if usable else NotSentReason.NO_CANDIDATE

    def _retry(self, pending: PendingRequest, reason: NotSentReason) -> None:
        """Schedule the next round as the retry policy decides, or send the final answer at once."""
        pending.not_sent_reason = reason
        pending.failed_rounds += 1
        # After a round that sent nothing, the request may wait for a send slot instead of its backoff.
        next_slot = self.slow_start.next_slot if reason is not NotSentReason.ATTEMPT_FAILED else None
        now_us, random = self.context.now_us, self.context.random
        delay_us = self.retry_policy.next_attempt(pending, now_us, random, next_slot)
        if delay_us is None:
            self._reject_or_fail(pending)
        else:
            pending.generation += 1
            self._resume_after(delay_us, pending, self._start_round)

    def _resume_after(
        self, delay_us: float, pending: PendingRequest, callback: Callable[[PendingRequest], None]
    ) -> None:
        self.timers.start(delay_us, partial(self._resume, pending, pending.generation, callback))

    def _resume(
        self, pending: PendingRequest, generation: int, callback: Callable[[PendingRequest], None]
    ) -> None:
        current = self.pending.get(pending.request.request_id)
        if current is pending and pending.generation == generation and not pending.attempt_in_flight:
            callback(pending)

    def _reject_or_fail(self, pending: PendingRequest) -> None:
        """Send the final answer: `Reject` where the client may safely retry, else `Fail`."""
        request_id, reason = pending.request.request_id, pending.not_sent_reason
        del self.pending[request_id]
        settings, random = self.context.settings, self.context.random
        retry_after_us = int(random.uniform(0, settings.max_retry_after_us)) if settings.retry_after else 0
        if may_client_retry(pending):
            self.context.emit(Reject(request_id, retry_after_us, reason))
        else:
            self.context.emit(Fail(request_id, reason))
