"""Placement: the way of a request from its arrival to its connection or its final answer.

A round holds the request back or samples candidates, checks those whose reports are old, and sends it to one
of them. A failed round waits a backoff and tries other backends, until the retry policy gives up.
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

ATTEMPT_TIMEOUT_OBJECTIVES = 2.0  # latency objectives; a later connection is of little use
CHECK_PART = 1 / 6  # of the latency objective: longest wait for health checks before a placement


@dataclass(slots=True, kw_only=True)
class Placement:
    """Places requests. `pending`: those whose final answer is still owed, by request id."""

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
        """Settings have changed. Requests that are pending keep their class and number of attempts."""
        self.retry_policy = RetryPolicy(self.context.settings.timer_resolution_us)

    def on_request(self, request: Request) -> None:
        """A request has come. Raises IndexError for a class that the settings don't have."""
        self.connections.learn_work(request.load_hint)
        settings = self.context.settings
        request_class = settings.classes[request.request_class]
        deadline_us = self.context.now_us + min(request.expires_us, request_class.deadline_us)
        pending = PendingRequest(request, request_class, deadline_us, settings.max_attempts)
        self.pending[request.request_id] = pending
        self._start_round(pending)

    def on_established(self, request_id: int) -> Request | None:
        """An attempt has become a connection: no answer is owed. The request, if it was pending."""
        pending = self.pending.pop(request_id, None)
        return pending.request if pending else None

    def on_client_disconnected(self, request_id: int) -> None:
        """No answer is owed any more."""
        self.pending.pop(request_id, None)

    def on_attempt_ended(self, outcome: AttemptEnded) -> None:
        """An attempt has ended without a connection: retry, or give the final answer."""
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
            self._answer(pending)

    def on_health_check(self, name: str, request_ids: list[int], unresponsive: bool) -> None:
        """A backend's health check has ended, for which these requests waited."""
        for pending in [self.pending[n] for n in request_ids if n in self.pending]:
            if name in pending.unchecked:
                del pending.unchecked[name]
                if unresponsive:
                    pending.candidates.remove(name)
                if not pending.unchecked:
                    self._place(pending)

    def _start_round(self, pending: PendingRequest) -> None:
        """Sample candidates; check those whose reports are old; place when the answers are in."""
        held_back = self.throttle.should_hold(self.context.now_us)
        # An open send slot is within what a backend in slow start tolerates.
        if held_back and not self.slow_start.backend_with_open_slot():
            self.throttle.on_failure()
            self.context.log(
                "hold", "admission: attempts held back, as errors, timeouts or full backends abound"
            )
            self._retry(pending, NotSentReason.THROTTLED)
            return
        pending.generation += 1
        pending.candidates, pending.unchecked = self.selection.sample(pending), {}
        if self.health_checks.is_load_reported() and len(self.endpoints.backends) > 1:
            self._check_candidates(pending)
        if not pending.unchecked:
            self._place(pending)
        else:  # the timer is the fallback for health checks that stay unanswered
            longest_us = pending.request_class.latency_objective_us * CHECK_PART
            wait_us = min(longest_us, (pending.deadline_us - self.context.now_us) / 2)
            self._resume_after(wait_us, pending, self._place)

    def _check_candidates(self, pending: PendingRequest) -> None:
        for name in pending.candidates:
            backend = self.endpoints.backends[name]
            if self.health_checks.is_needed(backend):
                pending.unchecked[name] = None
                backend.awaiting_health_check.append(pending.request.request_id)
                self.health_checks.start(backend)

    def _place(self, pending: PendingRequest) -> None:
        """Send the request to one of its candidates, or end the round without an attempt."""
        backend, eligible = self.selection.pick(pending)
        pending.unchecked = {}  # guards against a second placement by health checks that come back later
        crowded = self.herding_guard.is_crowded(pending, backend, eligible)
        if backend is None or crowded:
            if pending.candidates:  # a round that checked nobody costs nobody
                self.throttle.on_no_capacity()
            self._retry(pending, self._why_not_placed(pending))
            return
        self._send(pending, backend)

    def _send(self, pending: PendingRequest, backend: Backend) -> None:
        request, name, now_us = pending.request, backend.entry.backend, self.context.now_us
        cost = self.connections.cost(request)
        pending.attempt_in_flight = True
        pending.attempted.append(name)
        self.load_estimate.add_sent(backend, cost)
        longest_us = int(pending.request_class.latency_objective_us * ATTEMPT_TIMEOUT_OBJECTIVES)
        timeout_us = max(1, min(pending.deadline_us - now_us, longest_us))
        allowance = self.slow_start.allowance(backend)
        send_by_us = self.slow_start.use_slots(backend, cost)
        self.context.emit(StartAttempt(request.request_id, name, timeout_us, allowance, send_by_us))
        backend.in_flight.add(request.request_id)
        pending.possibly_executed.append((backend.entry, now_us))

    def _why_not_placed(self, pending: PendingRequest) -> NotSentReason:
        if pending.candidates:
            return NotSentReason.NO_CAPACITY
        usable = any(self.selection.is_usable(b, pending) for b in self.endpoints.backends.values())
        return NotSentReason.SLOW_START if usable else NotSentReason.NO_CANDIDATE

    def _retry(self, pending: PendingRequest, reason: NotSentReason) -> None:
        """Wait for the next round as the retry policy says, or give up at once."""
        pending.not_sent_reason = reason
        pending.failed_rounds += 1
        # A round that sent nothing may wait for a send slot in place of its backoff.
        next_slot = self.slow_start.next_slot if reason is not NotSentReason.ATTEMPT_FAILED else None
        now_us, random = self.context.now_us, self.context.random
        delay_us = self.retry_policy.next_attempt(pending, now_us, random, next_slot)
        if delay_us is None:
            self._answer(pending)
        else:
            pending.generation += 1
            self._resume_after(delay_us, pending, self._start_round)

    def _resume_after(
        self, delay_us: float, pending: PendingRequest, then: Callable[[PendingRequest], None]
    ) -> None:
        self.timers.start(delay_us, partial(self._resume, pending, pending.generation, then))

    def _resume(
        self, pending: PendingRequest, generation: int, then: Callable[[PendingRequest], None]
    ) -> None:
        known = self.pending.get(pending.request.request_id)
        if known is pending and pending.generation == generation and not pending.attempt_in_flight:
            then(pending)

    def _answer(self, pending: PendingRequest) -> None:
        """The one final answer: a rejection where it is harmless to try again, else a failure."""
        request_id, reason = pending.request.request_id, pending.not_sent_reason
        del self.pending[request_id]
        settings, random = self.context.settings, self.context.random
        retry_after_us = int(random.uniform(0, settings.max_retry_after_us)) if settings.retry_after else 0
        if may_client_retry(pending):
            self.context.emit(Reject(request_id, retry_after_us, reason))
        else:
            self.context.emit(Fail(request_id, reason))
