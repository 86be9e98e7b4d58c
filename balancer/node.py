"""What one node keeps: backends, requests and standing connections, timers and log. Decides nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .actions import Action
from .connections import ConnectionTable, PendingRequest
from .context import Context
from .decaying import Decaying
from .endpoints import EndpointTable
from .events import Event, SettingsChanged
from .load_estimate import LoadEstimate
from .outlier_detection import OutlierDetection
from .retry_policy import RetryPolicy
from .settings import Settings
from .slow_start import SlowStart
from .timers import Timers

MEMORY_US = 1_500_000  # us: memory of the throttle and of the demand


class Node:
    """The books and tools that the decisions share."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.context = Context(settings, seed)
        self.timers = Timers(self.context)
        self.endpoints = EndpointTable(self.context)
        self.connections = ConnectionTable(self.context, self.endpoints)
        self.load_estimate = LoadEstimate(self.context, self.endpoints, self.connections)
        self.slow_start = SlowStart(self.context, self.endpoints, self.connections, self.load_estimate)
        self.outliers = OutlierDetection(self.context)
        self.retry_policy = RetryPolicy(settings.timer_resolution_us)
        self.pending_requests: dict[int, PendingRequest] = {}
        # Of late: placements considered, stood, and held back or ended by a plain error.
        self.asked, self.good, self.bad = (Decaying(MEMORY_US) for _ in range(3))
        self.list_errors = 0
        self.watching = False
        self.late_told = False
        self.handlers: dict[type, Callable[[Any], object]] = {}

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event at the clock time `now_us` and return what to do."""
        self.context.begin(now_us)
        self.slow_start.begin()
        self.handlers[type(event)](event)
        return self.context.actions

    def _retune(self, event: SettingsChanged) -> None:
        self.context.settings = event.settings
        self.retry_policy = RetryPolicy(event.settings.timer_resolution_us)
        self.endpoints.apply_settings()
        self.slow_start.apply_settings()

    def count_unavailable(self, now_us: int) -> int:
        """How many listed backends get nothing new now, or only where no others are left."""
        return self.endpoints.count_unavailable(now_us)
