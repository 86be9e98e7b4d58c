"""What one node keeps: backends, requests and standing connections, timers and log. Decides nothing."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from typing import Any

from .actions import Action
from .capacity import CapacityShare
from .context import Context
from .decaying import Decaying
from .events import BackendState, ConnectionLoadReport, Event, Request, SettingsChanged
from .records import Backend, Connection, PendingRequest
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
        self.backends: dict[str, Backend] = {}
        self.ring: list[tuple[int, str]] = []
        self.ring_stale = True
        self.pending_requests: dict[int, PendingRequest] = {}
        self.connections: dict[int, Connection] = {}
        self.kin: dict[str, Counter[str]] = {}  # by group: its standing connections here, by backend
        self.tenant_open: Counter[int] = Counter()
        # Of late: placements considered, stood, and held back or ended by a plain error.
        self.asked, self.good, self.bad = (Decaying(MEMORY_US) for _ in range(3))
        self.list_errors = 0
        self.watching = False
        self.mean_load = 0.5  # mean of reports seen
        self.near_load = 0.5  # and of those of warm backends in this zone
        self.mean_weight = 1.0  # of ready backends
        self.new_until = 0
        self.capacity_share = CapacityShare()
        self.turn_table: SendSlotTable | None = None  # from the first event on
        self.late_told = False
        self.mean_work = 0.0  # mean work of connections seen, us a second
        self.handlers: dict[type, Callable[[Any], object]] = {}

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event at the clock time `now_us` and return what to do."""
        self.context.begin(now_us)
        if self.turn_table is None:
            self.turn_table = self._new_turns()
        self.handlers[type(event)](event)
        return self.context.actions

    def _retune(self, event: SettingsChanged) -> None:
        self.context.settings, self.ring_stale = event.settings, True
        self.turn_table = self._new_turns()

    def _new_turns(self) -> SendSlotTable:
        """Turns under the present settings; what was sent under others counts as all that it might be."""
        s = self.context.settings
        late_us = s.connect_timeout_us + HELD_UP_US
        dealer = SlotSchedule(s.position, s.fleet_size, s.overload_window_us, late_us, s.processes)
        return SendSlotTable(dealer, self.context.random, self.context.now_us)

    def count_unavailable(self, now_us: int) -> int:
        """How many listed backends get nothing new now, or only where no others are left."""
        return sum(
            s.entry.state is not BackendState.READY or now_us < s.suspect_until
            for s in self.backends.values()
        )

    # ---- the books of standing connections

    def _book(self, request: Request, name: str) -> None:
        """A connection stands."""
        request_class = self.context.settings.classes[
            min(max(request.request_class, 0), len(self.context.settings.classes) - 1)
        ]
        self.connections[request.request_id] = Connection(
            name, request_class, request.tenant, request.load_hint, request.sticky_group
        )
        self.tenant_open[request.tenant] += 1
        if request.sticky_group:
            self.kin.setdefault(request.sticky_group, Counter())[name] += 1
        if name in self.backends:
            self.backends[name].open[request.request_id] = None

    def _drop(self, request: int) -> None:
        """A connection stands no more."""
        connection = self.connections.pop(request)
        self.tenant_open[connection.tenant] -= 1
        if kin := self.kin.get(connection.group):
            kin[connection.backend] -= 1
            if not kin[connection.backend]:
                del kin[connection.backend]
            if not kin:
                del self.kin[connection.group]
        backend = self.backends.get(connection.backend)
        if backend:
            backend.open.pop(request, None)

    def _holds(self, backend: str, group: str) -> bool:
        """Whether some of the group stand there through this node."""
        return bool(self.context.settings.sticky_groups and group) and backend in self.kin.get(group, ())

    def _load_note(self, note: ConnectionLoadReport) -> None:
        connection = self.connections.get(note.request_id)
        if connection and math.isfinite(note.load) and note.load >= 0:
            connection.work = note.load
            self._learn_work(note.load)

    def _learn_work(self, work: float) -> None:
        self.mean_work += (work - self.mean_work) / (16 if self.mean_work else 1) if work > 0 else 0.0

    def _jitter(self, base: float, cap: float, n: int) -> float:
        return self.context.random.uniform(0, min(cap, base * 2 ** min(n, 30)))
