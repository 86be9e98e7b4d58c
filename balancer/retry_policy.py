"""Retry policy: when a request is attempted again, where it may be, and when it is given up."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from .connections import PendingRequest
from .events import AttemptResult, Endpoint
from .send_slots import SendSlot
from .settings import Idempotency, KeyScope

MAX_DOUBLINGS = 30
TIMER_DELAYS = 2  # timer resolutions by which a backoff and its attempt may be late
NOT_RETRYABLE = (AttemptResult.ERROR, AttemptResult.CANCELLED, AttemptResult.NOT_SENT)


def full_jitter_us(random: Random, base_us: float, max_us: float, failures: int) -> float:
    """A full-jitter backoff: drawn evenly from 0 to `base_us`, doubled by each failure up to `max_us`."""
    return random.uniform(0, min(max_us, base_us * 2 ** min(failures, MAX_DOUBLINGS)))


def may_attempt_at(endpoint: Endpoint, pending: PendingRequest) -> bool:
    """Whether a request may be sent to a backend, given where it may have been executed already.

    A request with an idempotency key must stay where the key is known.
    """
    request_class = pending.request_class
    scope = request_class.key_scope
    if (
        not pending.possibly_executed
        or request_class.idempotency is Idempotency.IDEMPOTENT
        or scope is KeyScope.ALL
    ):
        return True
    first = pending.possibly_executed[0][0]
    return endpoint.zone == first.zone if scope is KeyScope.ZONE else endpoint.cell == first.cell


def may_client_retry(pending: PendingRequest) -> bool:
    """Whether it does no harm if the client sends the request again."""
    request_class = pending.request_class
    idempotency = request_class.idempotency
    shared = idempotency is Idempotency.KEYED and request_class.key_scope is KeyScope.ALL
    return not pending.possibly_executed or idempotency is Idempotency.IDEMPOTENT or shared


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How often, how fast and how long a request is attempted.

    Attributes: `timer_resolution_us` of the host's timers; `max_rounds`, failed attempts and rounds that sent
    nothing, the first included; `backoff_base`, the ceiling of the first backoff in the class's latency
    objectives, so that a retry can still be in time; `max_backoff`, the ceiling of any backoff in the class's
    deadlines, which leaves time for several attempts; `slot_reserve_us`, what an attempt needs after it has
    waited for a send slot.
    """

    timer_resolution_us: int
    max_rounds: int = 5
    backoff_base: float = 1 / 6
    max_backoff: float = 1 / 4
    slot_reserve_us: int = 300_000

    def may_retry(self, pending: PendingRequest, result: AttemptResult, now_us: int) -> bool:
        """Whether a request may be attempted again after an attempt that ended with `result`."""
        # Guards against doubled effects: a keyed request repeats only within the window of its first attempt.
        request_class = pending.request_class
        must_not_repeat = (
            pending.possibly_executed
            and request_class.idempotency is not Idempotency.IDEMPOTENT
            and (
                request_class.idempotency is Idempotency.NOT_IDEMPOTENT
                or now_us >= pending.possibly_executed[0][1] + request_class.dedup_window_us
            )
        )
        return not must_not_repeat and result not in NOT_RETRYABLE

    def next_attempt(
        self,
        pending: PendingRequest,
        now_us: int,
        random: Random,
        next_slot: Callable[[float], SendSlot | None] | None,
    ) -> float | None:
        """Delay in microseconds until the next attempt, or None where the request is given up.

        `next_slot`, where the round sent nothing: the next send slot that begins before a time. A request may
        wait for it in place of its backoff, and reserves it.
        """
        delay_us = self._backoff_us(pending, random)
        last_start_us = self._last_start_us(pending)
        exhausted = self._is_exhausted(pending)
        late = now_us + delay_us + TIMER_DELAYS * self.timer_resolution_us >= last_start_us
        slot = next_slot(last_start_us - self.slot_reserve_us) if next_slot else None
        if slot and (exhausted or late or slot.start_us < now_us + delay_us):
            slot.reserved = True
            return slot.start_us - now_us
        return None if exhausted or late else delay_us

    def _backoff_us(self, pending: PendingRequest, random: Random) -> float:
        base_us = pending.request_class.latency_objective_us * self.backoff_base
        max_us = pending.request_class.deadline_us * self.max_backoff
        return full_jitter_us(random, base_us, max_us, pending.failed_rounds - 1)

    def _last_start_us(self, pending: PendingRequest) -> int:
        """Guards against vain waits: past the window of its first attempt no keyed request goes out."""
        if not pending.possibly_executed or pending.request_class.idempotency is not Idempotency.KEYED:
            return pending.deadline_us
        window_end_us = pending.possibly_executed[0][1] + pending.request_class.dedup_window_us
        return min(pending.deadline_us, window_end_us)

    def _is_exhausted(self, pending: PendingRequest) -> bool:
        """A round that sent nothing is no attempt."""
        return pending.failed_rounds >= self.max_rounds or len(pending.attempted) >= pending.max_attempts
