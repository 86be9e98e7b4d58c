"""Health checks: one at a time for each backend."""

from __future__ import annotations

from .actions import CheckHealth
from .context import Context
from .endpoints import Backend
from .settings import LoadReportSource

FRESH_REPORT_US = 500_000  # a report this new needs no health check


class HealthChecks:
    """Asks backends for their state and load, where the settings allow it."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def is_load_reported(self) -> bool:
        """Whether health checks are allowed, and backends report their load."""
        settings = self._context.settings
        return settings.may_check_health and settings.load_report_source is not LoadReportSource.NONE

    def is_needed(self, backend: Backend) -> bool:
        """Whether a backend's last report is too old to go by, or missing."""
        return backend.load is None or self._context.now_us - backend.reported_at_us > FRESH_REPORT_US

    def start(self, backend: Backend) -> None:
        """Check a backend, unless a check is pending or none is allowed."""
        if self._context.settings.may_check_health and not backend.health_check_pending:
            backend.health_check_pending = True
            self._context.emit(CheckHealth(backend.entry.backend))
