"""Slow start: limits on what this node sends to a backend that has started recently.

A backend that is warming up fails when all nodes together send it more than a multiple of its present
capacity within a short window (both are settings). Requests that it rejects and connections that have ended
count too. No node knows what the others send. So each node stays within its share of two limits: the requests
sent in a window, and the connections established at the backend.
"""

from __future__ import annotations

import math
from functools import partial

from .actions import SlowStartAllowance
from .capacity import available_capacity
from .connections import ConnectionTable, PendingRequest
from .context import Context
from .endpoints import REPORT_DELAY_US, Backend, EndpointTable
from .events import BackendState, EndpointListUpdate
from .load_estimate import FULL_LOAD, MIN_CONNECTION_CAPACITY, LoadEstimate
from .send_slots import SendSlot, SendSlotTable, SlotSchedule
from .settings import LoadReportSource
from .slot_index import SlotIndex, WarmingBackend

# Bounds a node's estimate of the connections that fill a backend, to so many standard deviations above its
# own connection count. A high figure, since traffic is uneven: some nodes get several times the mean.
DEVIATIONS = 6.0
MAX_STALL_US = 150_000  # longest time that a process may stall between reading its clock and writing


class SlowStart:
    """Decides what this node may send to backends that are warming up."""

    def __init__(
        self,
        context: Context,
        endpoints: EndpointTable,
        connections: ConnectionTable,
        load_estimate: LoadEstimate,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._connections = connections
        self._load_estimate = load_estimate
        self._slot_table: SendSlotTable | None = None  # None until the first event
        self._slot_index: SlotIndex | None = None  # as above

    def ensure_started(self) -> None:
        """Create the slot table at the first event, whose time determines this node's first slots."""
        if self._slot_table is None:
            self.apply_settings()

    def apply_settings(self) -> None:
        """Start a new slot table for changed settings.

        Requests sent under the earlier settings are assumed to be as many as those allowed.
        """
        settings = self._context.settings
        # A host that does not check `send_by_us` as it writes may establish a connection after its slot
        # ended.
        late_us = MAX_STALL_US + (0 if settings.enforces_send_by else settings.connect_timeout_us)
        schedule = SlotSchedule(
            settings.position, settings.fleet_size, settings.overload_window_us, late_us, settings.processes
        )
        self._slot_table = SendSlotTable(schedule, self._context.random, self._context.now_us)
        self._slot_index = SlotIndex(schedule.period_us, self._indexed_slots, self._is_warm)
        for name in self._endpoints.backends:
            self._index_backend(name)

    def on_endpoint_list(self, update: EndpointListUpdate) -> None:
        """Follow an update of the list, which the endpoint table has applied."""
        if update.is_complete:
            self._index.keep_only(self._endpoints.backends)
        for entry in update.entries:
            self._index_backend(entry.backend)

    def capacity(self, backend: Backend) -> float:
        """Return the part of its full capacity that a backend has at least now; 1 once it is warm."""
        return available_capacity(self._context.settings, backend.entry.started_us, self._context.now_us)

    def is_any_warming(self) -> bool:
        """Return whether any ready backend is in slow start."""
        return self._index.is_any_warming()

    def may_send(self, backend: Backend, pending: PendingRequest) -> bool:
        """Return whether slow start allows a request to go to a backend; always True for a warm one.

        Guards against overloading a backend that is warming up: this node stays within its share of the
        requests that all nodes may send and of the connections that they may hold there.
        """
        capacity = self.capacity(backend)
        if capacity >= 1:
            return True
        # Where backends report their load, the reports already account for established connections.
        unreported = self._context.settings.load_report_source is LoadReportSource.NONE
        cost = self._connections.cost
        if unreported and self._held_connections(backend) + cost(pending.request) > self._allowed_connections(
            backend, capacity
        ):
            return False
        now_us = self._context.now_us
        if any(slot.is_open(now_us) for slot in self._slots_at(backend)):
            return True
        age_s = self._age_us(backend) / 1e6
        mean = self._mean_sends(backend, now_us)
        name = backend.entry.backend
        self._context.log(
            f"slow start {name}",
            f"backend {name} in slow start, {age_s:.1f} s old: request waits for a send slot;"
            f" all relays together may send {mean:.1f} requests a window",
        )
        return False

    def pick_backend_with_open_slot(self) -> list[str]:
        """Pick one backend in slow start at random that this node has an open send slot for.

        Returns a list of its name, or an empty list. Such a backend is worth a candidate, as its slot lapses
        soon if unused.
        """
        names = [slot.backend for slot in self.open_slots()]
        return [self._context.random.choice(names)] if names else []

    def open_slots(self) -> list[SendSlot]:
        """Return this node's unused slots that are open now, at all ready backends in slow start."""
        return self._index.open_slots(self._context.now_us)

    def next_slot(self, before_us: float) -> SendSlot | None:
        """Return the next slot that starts before `before_us` and that no request has reserved, or None."""
        slot = self._index.next_slot(self._context.now_us)
        return slot if slot and slot.start_us < before_us else None

    def use_slots(self, backend: Backend, cost: float) -> int | None:
        """Use up as many slots as a request of this cost takes, if the backend is warming up.

        Returns the clock time by which the request must have been sent, or None where the backend is warm.
        """
        if self.capacity(backend) >= 1:
            return None
        now_us = self._context.now_us
        unused = [slot for slot in self._slots_at(backend) if not slot.used and slot.end_us > now_us]
        for slot in unused[: math.ceil(cost)]:
            slot.used = True
        return unused[0].end_us if unused else now_us

    def unreported_load(self, backend: Backend) -> float:
        """Return the load that all nodes may add to a warming backend before its load reports show it."""
        assert self._slot_table
        schedule = self._slot_table.schedule
        slots = schedule.slots_per_period(self._mean_sends(backend, self._context.now_us))
        sent = slots * REPORT_DELAY_US / schedule.period_us
        return sent / max(1.0, self.capacity(backend) * self._connection_capacity_of_kind(backend))

    def allowance(self, backend: Backend) -> SlowStartAllowance | None:
        """Return the figures, for the log, by which a send to a backend in slow start is allowed.

        None for a warm backend.
        """
        capacity = self.capacity(backend)
        if capacity >= 1:
            return None
        now_us = self._context.now_us
        open_slots = [slot for slot in self._slots_at(backend) if slot.is_open(now_us)]
        reports = self._load_estimate.capacity_share.all_kinds
        return SlowStartAllowance(
            self._age_us(backend),
            capacity,
            self._bounded_connection_capacity(),
            self._held_connections(backend),
            self._allowed_connections(backend, capacity),
            self._mean_sends(backend, now_us),
            backend.entry.started_us,
            self._context.is_new_node(),
            open_slots[0].mean_sends if open_slots else 0.0,
            reports.held.value,
            reports.load.value,
        )

    def _age_us(self, backend: Backend) -> int:
        return self._context.now_us - backend.entry.started_us

    def _bounded_connection_capacity(self) -> float:
        """Return the number of mean connections that fill a backend once it is warm.

        The estimate by work is bounded by one from this node's connection count, as the work of few
        connections says little: a single light connection made a backend look many times as large, and each
        node sent it one within a second.
        """
        estimate = self._load_estimate
        held = len(self._connections.by_id)
        most = estimate.connection_capacity_by_count(held + DEVIATIONS * math.sqrt(held + 1))
        most = max(most, MIN_CONNECTION_CAPACITY * estimate.cores())
        # A new node has no connection count yet, and the clients that reconnect to it are load that the
        # backends carried a moment ago.
        full = estimate.connection_capacity()
        return full if self._context.is_new_node() else min(full, most)

    def _held_connections(self, backend: Backend) -> float:
        """Return this node's established and in-flight connections at a backend, in mean connections."""
        mean_work, by_id = self._connections.mean_work, self._connections.by_id
        works = [by_id[r].work / mean_work if mean_work else 1.0 for r in backend.connections]
        return len(backend.in_flight) + max(len(works), sum(works))  # light connections may become heavier

    def _allowed_connections(self, backend: Backend, capacity: float) -> float:
        """Return this node's share of the connections that a warming backend may hold, in mean connections.

        The share is rounded up or down at random for each backend: where it is below one connection, some
        nodes may send one and the others none.
        """
        fleet_size = self._context.settings.fleet_size
        return (
            FULL_LOAD * capacity * self._bounded_connection_capacity() / fleet_size + backend.rounding_offset
        )

    def _mean_sends(self, backend: Backend, at_us: int) -> float:
        """Return the requests that all nodes together may send a warming backend per overload window.

        New connections should fill the backend over its warm-up and no faster; a multiple (a setting) of that
        rate is allowed.
        """
        settings = self._context.settings
        capacity = available_capacity(settings, backend.entry.started_us, at_us)
        full = FULL_LOAD * capacity * self._connection_capacity_of_kind(backend)
        return settings.overload_multiple * full * settings.overload_window_us / settings.warm_up_us

    def _connection_capacity_of_kind(self, backend: Backend) -> float:
        """Return the connections of all nodes that fill a warm backend of this kind.

        It is estimated from this node's share of them.
        """
        estimate, fleet_size = self._load_estimate, self._context.settings.fleet_size
        initial_estimate = MIN_CONNECTION_CAPACITY * estimate.cores() / fleet_size
        share = estimate.capacity_share.connection_share(
            self._context.now_us, backend.entry.kind, initial_estimate
        )
        return share * fleet_size

    @property
    def _index(self) -> SlotIndex:
        assert self._slot_index
        return self._slot_index

    def _index_backend(self, name: str) -> None:
        """Add a backend to the index if it is ready and in slow start; else remove it."""
        backend = self._endpoints.backends.get(name)
        if backend and backend.entry.state is BackendState.READY and self.capacity(backend) < 1:
            self._index.set_backend(name, backend.entry.started_us, backend.list_position)
        else:
            self._index.remove_backend(name)

    def _indexed_slots(self, warming: WarmingBackend) -> list[SendSlot]:
        return self._slots_at(self._endpoints.backends[warming.name])

    def _is_warm(self, started_us: int) -> bool:
        return available_capacity(self._context.settings, started_us, self._context.now_us) >= 1

    def _slots_at(self, backend: Backend) -> list[SendSlot]:
        """Return this node's current and upcoming slots at a warming backend."""
        assert self._slot_table
        entry = backend.entry
        mean_sends = partial(self._mean_sends, backend)
        return self._slot_table.slots(self._context.now_us, entry.backend, entry.started_us, mean_sends)
