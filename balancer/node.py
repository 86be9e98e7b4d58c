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
from .send_slots import SendSlotTable, SlotSchedule
from .settings import Settings
from .timers import Timers

MEMORY_US = 1_500_000  # us: memory of the throttle and of the demand
HELD_UP_US = 150_000  # us: so long may a process be held up between reading its clock and writing


class Node:
    """The books and tools that the decisions share."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.context = Context(settings, seed)
        self.timers = Timers(self.context)
        self.endpoints = EndpointTable(self.context)
        self.connections = ConnectionTable(self.context, self.endpoints)
        self.load_estimate = LoadEstimate(self.context, self.endpoints, self.connections)
        self.outliers = OutlierDetection(self.context)
        self.pending_requests: dict[int, PendingRequest] = {}
        # Of late: placements considered, stood, and held back or ended by a plain error.
        self.asked, self.good, self.bad = (Decaying(MEMORY_US) for _ in range(3))
        self.list_errors = 0
        self.watching = False
        self.new_until = 0
        self.turn_table: SendSlotTable | None = None  # from the first event on
        self.late_told = False
        self.handlers: dict[type, Callable[[Any], object]] = {}

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event at the clock time `now_us` and return what to do."""
        self.context.begin(now_us)
        if self.turn_table is None:
            self.turn_table = self._new_turns()
        self.handlers[type(event)](event)
        return self.context.actions

    def _retune(self, event: SettingsChanged) -> None:
        self.context.settings = event.settings
        self.endpoints.apply_settings()
        self.turn_table = self._new_turns()

    def _new_turns(self) -> SendSlotTable:
        """Turns under the present settings; what was sent under others counts as all that it might be."""
        s = self.context.settings
        late_us = s.connect_timeout_us + HELD_UP_US
        dealer = SlotSchedule(s.position, s.fleet_size, s.overload_window_us, late_us, s.processes)
        return SendSlotTable(dealer, self.context.random, self.context.now_us)

    def count_unavailable(self, now_us: int) -> int:
        """How many listed backends get nothing new now, or only where no others are left."""
        return self.endpoints.count_unavailable(now_us)

    def _jitter(self, base: float, cap: float, n: int) -> float:
        return self.context.random.uniform(0, min(cap, base * 2 ** min(n, 30)))
