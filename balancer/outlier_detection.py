"""Outlier detection: ejects backends that fail, for a time that grows with each further failure.

An ejected backend is still a candidate where no others are left (panic mode), since after a network failure
all backends may be ejected.
"""

from __future__ import annotations

from .context import Context
from .endpoints import Backend, EndpointTable
from .events import UNRESPONSIVE, AttemptResult

INITIAL_EJECTION_US = 1_000_000  # upper bound after a first failure, doubled by each further one
MAX_EJECTION_US = 8_000_000  # bounds the time until a backend that has recovered is used again
ERRORS_TO_EJECT = 2  # consecutive; a single error may be caused by the request
MAX_DOUBLINGS = 10


class OutlierDetection:
    """Counts backends' failures, ejects the backends, and reduces the counts after successes."""

    def __init__(self, context: Context, endpoints: EndpointTable) -> None:
        self._context = context
        self._endpoints = endpoints

    def on_attempt_ended(self, backend: Backend, result: AttemptResult) -> None:
        """Count an attempt that ended before its connection was established."""
        if result in UNRESPONSIVE:
            self.on_unresponsive(backend)
        elif result is AttemptResult.ERROR:
            backend.consecutive_errors += 1
            if self.has_failed_repeatedly(backend):
                self._eject(backend, backend.consecutive_errors - ERRORS_TO_EJECT)

    def on_unresponsive(self, backend: Backend) -> None:
        """Eject a backend that did not respond or has reset a connection."""
        failures = backend.unresponsive_count
        backend.unresponsive_count += 1
        self._eject(backend, failures)

    def on_health_check_passed(self, backend: Backend) -> None:
        """Halve a backend's failure count; not to zero, so that a flapping backend stays an outlier."""
        backend.unresponsive_count //= 2

    def on_established(self, backend: Backend) -> None:
        """Halve a backend's failure count, and reset its errors, as a connection has been established."""
        backend.unresponsive_count //= 2
        backend.consecutive_errors = 0

    def has_failed_repeatedly(self, backend: Backend) -> bool:
        """Return whether a backend has too many consecutive errors for the requests to be the cause."""
        return backend.consecutive_errors >= ERRORS_TO_EJECT

    def _eject(self, backend: Backend, earlier_failures: int) -> None:
        max_us = min(MAX_EJECTION_US, INITIAL_EJECTION_US * 2 ** min(earlier_failures, MAX_DOUBLINGS))
        until_us = self._context.now_us + int(self._context.random.uniform(0.5, 1) * max_us)
        self._endpoints.eject(backend, until_us)
        name = backend.entry.backend
        self._context.log("eject", f"backend {name} ejected: unresponsive, reset or repeated errors")
