"""What one node keeps: servers, requests and standing connections, timers and log. Decides nothing."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from . import interface as i
from .capacity import CapacityShare
from .interface import Action, ServerState
from .records import Connection, Decaying, Job, Server
from .turns import Dealer, TurnTable

MEMORY_US = 1_500_000  # us: memory of the throttle and of the demand
HELD_UP_US = 150_000  # us: so long may a process be held up between reading its clock and writing
LOG_GAP_US = 5_000_000  # us: between two log lines of one kind


class Node:
    """The books and tools that the decisions share."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.s = settings
        self.random = Random(seed)
        self.now = 0
        self.actions: list[Action] = []
        self.servers: dict[str, Server] = {}
        self.ring: list[tuple[int, str]] = []
        self.ring_stale = True
        self.jobs: dict[int, Job] = {}
        self.connections: dict[int, Connection] = {}
        self.kin: dict[str, Counter[str]] = {}  # by group: its standing connections here, by server
        self.tenant_open: Counter[int] = Counter()
        # Of late: placements considered, stood, and held back or ended by a plain error.
        self.asked, self.good, self.bad = (Decaying(MEMORY_US) for _ in range(3))
        self.timers: dict[int, Callable[[], None]] = {}
        self.last_timer = 0
        self.list_errors = 0
        self.watching = False
        self.mean_load = 0.5  # mean of reports seen
        self.near_load = 0.5  # and of those of warm servers in this zone
        self.mean_weight = 1.0  # of ready servers
        self.new_until = 0
        self.capacity_share = CapacityShare()
        self.turn_table: TurnTable | None = None  # from the first event on
        self.late_told = False
        self.mean_work = 0.0  # mean work of connections seen, us a second
        self.logged: dict[str, int] = {}
        self.handlers: dict[type, Callable[[Any], object]] = {}

    def handle(self, now_us: int, event: i.Event) -> list[Action]:
        """Take one event at the clock time `now_us` and return what to do."""
        self.now, self.actions = now_us, []
        if self.turn_table is None:
            self.turn_table = self._new_turns()
        self.handlers[type(event)](event)
        return self.actions

    def _retune(self, event: i.NewSettings) -> None:
        self.s, self.ring_stale = event.settings, True
        self.turn_table = self._new_turns()

    def _new_turns(self) -> TurnTable:
        """Turns under the present settings; what was sent under others counts as all that it might be."""
        s = self.s
        late_us = s.connect_timeout_us + HELD_UP_US
        dealer = Dealer(s.position, s.fleet_size, s.fall_us, late_us, s.processes)
        return TurnTable(dealer, self.random, self.now)

    def avoided(self, now_us: int) -> int:
        """How many listed servers get nothing new now, or only where no others are left."""
        return sum(
            s.entry.state is not ServerState.READY or now_us < s.suspect_until for s in self.servers.values()
        )

    # ---- the books of standing connections

    def _book(self, request: i.Request, name: str) -> None:
        """A connection stands."""
        klass = self.s.classes[min(max(request.klass, 0), len(self.s.classes) - 1)]
        self.connections[request.request] = Connection(
            name, klass, request.tenant, request.load_hint, request.group
        )
        self.tenant_open[request.tenant] += 1
        if request.group:
            self.kin.setdefault(request.group, Counter())[name] += 1
        if name in self.servers:
            self.servers[name].open[request.request] = None

    def _drop(self, request: int) -> None:
        """A connection stands no more."""
        connection = self.connections.pop(request)
        self.tenant_open[connection.tenant] -= 1
        if kin := self.kin.get(connection.group):
            kin[connection.server] -= 1
            if not kin[connection.server]:
                del kin[connection.server]
            if not kin:
                del self.kin[connection.group]
        server = self.servers.get(connection.server)
        if server:
            server.open.pop(request, None)

    def _holds(self, server: str, group: str) -> bool:
        """Whether some of the group stand there through this node."""
        return bool(self.s.groups and group) and server in self.kin.get(group, ())

    def _load_note(self, note: i.LoadNote) -> None:
        connection = self.connections.get(note.request)
        if connection and math.isfinite(note.load) and note.load >= 0:
            connection.work = note.load
            self._learn_work(note.load)

    def _learn_work(self, work: float) -> None:
        self.mean_work += (work - self.mean_work) / (16 if self.mean_work else 1) if work > 0 else 0.0

    # ---- tools

    def _do(self, action: Action) -> None:
        self.actions.append(action)

    def _jitter(self, base: float, cap: float, n: int) -> float:
        return self.random.uniform(0, min(cap, base * 2 ** min(n, 30)))

    def _after(self, delay_us: float, then: Callable[[], None]) -> None:
        self.last_timer += 1
        self.timers[self.last_timer] = then
        self._do(i.SetTimer(self.last_timer, max(1, int(delay_us))))

    def _log(self, kind: str, text: str) -> None:
        if self.now - self.logged.get(kind, -LOG_GAP_US) >= LOG_GAP_US:
            self.logged[kind] = self.now
            self._do(i.Log(text))
