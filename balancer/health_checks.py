"""Health checks of backends, at most one at a time for each backend."""

from __future__ import annotations

from .actions import CheckHealth
from .context import Context
from .endpoints import Backend
from .settings import LoadReportSource

FRESH_REPORT_US = 500_000  # age up to which a load report makes a health check unnecessary


class HealthChecks:
    """Requests health checks of backends, where the settings allow them."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def is_load_reported(self) -> bool:
        """Return whether health checks are allowed and backends report their load."""
        settings = self._context.settings
        return settings.may_check_health and settings.load_report_source is not LoadReportSource.NONE

    def is_needed(self, backend: Backend) -> bool:
        """Return whether a backend's last load report is too old, or missing."""
        return backend.load is None or self._context.now_us - backend.reported_at_us > FRESH_REPORT_US

    def start(self, backend: Backend) -> None:
        """Start a health check of a backend, unless one is pending or none are allowed."""
        if self._context.settings.may_check_health and not backend.health_check_pending:
            backend.health_check_pending = True
            self._context.emit(CheckHealth(backend.entry.backend))
