"""Retry policy: when and at which backends a request may be retried, and when to give up."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from .connections import PendingRequest
from .events import AttemptResult, Endpoint
from .send_slots import SendSlot
from .settings import Idempotency, KeyScope

MAX_DOUBLINGS = 30
TIMER_DELAY_RESOLUTIONS = 2  # timer resolutions by which a backoff and its attempt may be late in total
NOT_RETRYABLE = (AttemptResult.ERROR, AttemptResult.CANCELLED, AttemptResult.NOT_SENT)


def full_jitter_us(random: Random, base_us: float, max_us: float, failures: int) -> float:
    """Return a full-jitter exponential backoff in microseconds.

    It is uniform between 0 and `base_us` doubled for each of the `failures`, but at most `max_us`.
    """
    return random.uniform(0, min(max_us, base_us * 2 ** min(failures, MAX_DOUBLINGS)))


def may_attempt_at(endpoint: Endpoint, pending: PendingRequest) -> bool:
    """Return whether a request may be sent to a backend, given where it may have been executed already.

    A retry with an idempotency key must go to a backend in the scope in which the key is known.
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
    """Return whether the client may safely send the request again."""
    request_class = pending.request_class
    idempotency = request_class.idempotency
    key_known_everywhere = idempotency is Idempotency.KEYED and request_class.key_scope is KeyScope.ALL
    return not pending.possibly_executed or idempotency is Idempotency.IDEMPOTENT or key_known_everywhere


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Limits on the number, rate and duration of a request's attempts.

    Attributes:
        timer_resolution_us: resolution of the host's timers.
        max_rounds: maximum number of placement rounds, both failed attempts and rounds that sent nothing.
        backoff_base: maximum first backoff as a fraction of the class's latency objective, so that a
            retry can still meet the objective.
        max_backoff: maximum of any backoff as a fraction of the class's deadline; leaves time for several
            attempts.
        slot_reserve_us: time that an attempt needs after the wait for a send slot.
    """

    timer_resolution_us: int
    max_rounds: int = 5
    backoff_base: float = 1 / 6
    max_backoff: float = 1 / 4
    slot_reserve_us: int = 300_000

    def may_retry(self, pending: PendingRequest, result: AttemptResult, now_us: int) -> bool:
        """Return whether a request may be retried after an attempt that ended with `result`."""
        # Guards against double execution: a request with an idempotency key is retried only within the
        # deduplication window of its first attempt.
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
        """Return the delay in microseconds until the next attempt, or None to give up.

        `next_slot`, None after a failed attempt, returns the next send slot that starts before a given time.
        The request waits for that slot, and reserves it, if it starts before the end of the backoff or if the
        request would otherwise be given up.
        """
        delay_us = self._backoff_us(pending, random)
        last_start_us = self._last_start_us(pending)
        exhausted = self._is_exhausted(pending)
        too_late = now_us + delay_us + TIMER_DELAY_RESOLUTIONS * self.timer_resolution_us >= last_start_us
        slot = next_slot(last_start_us - self.slot_reserve_us) if next_slot else None
        if slot and (exhausted or too_late or slot.start_us < now_us + delay_us):
            slot.reserved = True
            return slot.start_us - now_us
        return None if exhausted or too_late else delay_us

    def _backoff_us(self, pending: PendingRequest, random: Random) -> float:
        base_us = pending.request_class.latency_objective_us * self.backoff_base
        max_us = pending.request_class.deadline_us * self.max_backoff
        return full_jitter_us(random, base_us, max_us, pending.failed_rounds - 1)

    def _last_start_us(self, pending: PendingRequest) -> int:
        """Return the latest start of another attempt.

        A request with an idempotency key is not sent after the deduplication window of its first attempt, so
        there is no use in waiting longer.
        """
        if not pending.possibly_executed or pending.request_class.idempotency is not Idempotency.KEYED:
            return pending.deadline_us
        window_end_us = pending.possibly_executed[0][1] + pending.request_class.dedup_window_us
        return min(pending.deadline_us, window_end_us)

    def _is_exhausted(self, pending: PendingRequest) -> bool:
        """Return whether no round or attempt is left; a round that sent nothing is not an attempt."""
        return pending.failed_rounds >= self.max_rounds or len(pending.attempted) >= pending.max_attempts
