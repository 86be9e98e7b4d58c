"""Outlier detection: backends that fail are ejected for a time that grows with each further failure.

An ejected backend is still a candidate where no others are left (panic threshold): after a cut all may be.
"""

from __future__ import annotations

from .context import Context
from .endpoints import Backend
from .events import UNRESPONSIVE, AttemptResult

INITIAL_EJECTION_US = 1_000_000  # after a first connect failure, doubled by each further one
MAX_EJECTION_US = 8_000_000  # so that a backend that is back is found again
ERRORS_TO_EJECT = 2  # in a row; a single one may be the request's own doing
MAX_DOUBLINGS = 10


class OutlierDetection:
    """Ejects backends, and forgives their failures."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def on_attempt_ended(self, backend: Backend, result: AttemptResult) -> None:
        """An attempt that did not become a connection has ended."""
        if result in UNRESPONSIVE:
            self.on_unresponsive(backend)
        elif result is AttemptResult.ERROR:
            backend.consecutive_errors += 1
            if self.has_failed_repeatedly(backend):
                self._eject(backend, backend.consecutive_errors - ERRORS_TO_EJECT)

    def on_unresponsive(self, backend: Backend) -> None:
        """A backend gave no sign of life, or reset a connection."""
        failures = backend.connect_failures
        backend.connect_failures += 1
        self._eject(backend, failures)

    def on_health_check_passed(self, backend: Backend) -> None:
        """Forgive gradually: a flapping backend stays an outlier."""
        backend.connect_failures //= 2

    def on_established(self, backend: Backend) -> None:
        """A connection has been established there."""
        backend.connect_failures //= 2
        backend.consecutive_errors = 0

    def has_failed_repeatedly(self, backend: Backend) -> bool:
        """Whether its errors in a row are too many to be the requests' doing."""
        return backend.consecutive_errors >= ERRORS_TO_EJECT

    def _eject(self, backend: Backend, earlier_failures: int) -> None:
        longest = min(MAX_EJECTION_US, INITIAL_EJECTION_US * 2 ** min(earlier_failures, MAX_DOUBLINGS))
        until_us = self._context.now_us + int(self._context.random.uniform(0.5, 1) * longest)
        backend.ejected_until_us = max(backend.ejected_until_us, until_us)
        name = backend.entry.backend
        self._context.log("eject", f"backend {name} ejected after a failure, a reset or errors")
