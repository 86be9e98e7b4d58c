"""Slow start: how much a backend that has just started may be sent, and this node's part of it.

A warming backend fails when all nodes together send it more than a multiple of its present capacity, within a
short window that the settings name; what it rejects and what has ended by then counts. No node knows what the
others send. So each keeps to its part of two bounds: of what may be sent in a window, and of what may stand
there.
"""

from __future__ import annotations

import math
from functools import partial

from .actions import SlowStartAllowance
from .capacity import available_capacity
from .connections import ConnectionTable, PendingRequest
from .context import Context
from .endpoints import REPORT_DELAY_US, Backend, EndpointTable
from .events import BackendState
from .load_estimate import FULL_LOAD, MIN_FULL_CONNECTIONS, LoadEstimate
from .send_slots import SendSlot, SendSlotTable, SlotSchedule
from .settings import LoadReportSource

# Standard deviations of its own count within which a node believes other signs. Many, since traffic is
# uneven: some nodes get several times the mean.
DEVIATIONS = 6.0
MAX_HOLD_UP_US = 150_000  # for which a process may be held up between reading its clock and writing


class SlowStart:
    """What this node may send to backends that are warming up."""

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
        self._slot_table: SendSlotTable | None = None  # from the first event on

    def begin(self) -> None:
        """An event has come: the first one sets the time from which this node has slots."""
        if self._slot_table is None:
            self.apply_settings()

    def apply_settings(self) -> None:
        """Settings have changed. What was sent under others counts as all that it might be."""
        s = self._context.settings
        # Where the host does not look again as it writes, a connection may come up after its slot has ended.
        late_us = MAX_HOLD_UP_US + (0 if s.enforces_send_by else s.connect_timeout_us)
        schedule = SlotSchedule(s.position, s.fleet_size, s.overload_window_us, late_us, s.processes)
        self._slot_table = SendSlotTable(schedule, self._context.random, self._context.now_us)

    def capacity(self, backend: Backend) -> float:
        """Part of its capacity that a backend has for certain now; 1 once it is warm."""
        return available_capacity(self._context.settings, backend.entry.started_us, self._context.now_us)

    def allows(self, backend: Backend, pending: PendingRequest) -> bool:
        """Whether a request may go to a backend, which for a warm one it always may.

        Guards against overloading a warming backend: this node's part of what all may send and have there.
        """
        capacity = self.capacity(backend)
        if capacity >= 1:
            return True
        # Where backends report their load, that shows what stands there.
        unreported = self._context.settings.load_report_source is LoadReportSource.NONE
        cost = self._connections.cost
        if unreported and self._held(backend) + cost(pending.request) > self._allowed(backend, capacity):
            return False
        now_us = self._context.now_us
        if any(slot.is_open(now_us) for slot in self._slots_at(backend)):
            return True
        age_s = self._age_us(backend) / 1e6
        mean = self._mean_sends(backend, now_us)
        name = backend.entry.backend
        self._context.log(
            f"slow start {name}",
            f"{name} in slow start, {age_s:.1f} s old, waits for a send slot; all may send {mean:.1f}",
        )
        return False

    def backend_with_open_slot(self) -> list[str]:
        """One warming backend that this node may send to now, or none. Its slot lapses soon if unused."""
        now_us = self._context.now_us
        names = [slot.backend for slot in self.unused_slots() if slot.is_open(now_us)]
        return [self._context.random.choice(names)] if names else []

    def next_slot(self, before_us: float) -> SendSlot | None:
        """The next slot that begins before a time and that no request waits for yet."""
        now_us = self._context.now_us
        ahead = [s for s in self.unused_slots() if not s.reserved and now_us < s.start_us < before_us]
        return min(ahead, key=lambda slot: slot.start_us, default=None)

    def use_slots(self, backend: Backend, cost: float) -> int | None:
        """A request of this cost goes to a backend. If that is warming up, it takes a slot or several.

        Returns the time by which it must have been sent; None where the backend is warm.
        """
        if self.capacity(backend) >= 1:
            return None
        now_us = self._context.now_us
        unused = [slot for slot in self._slots_at(backend) if not slot.used and slot.end_us > now_us]
        for slot in unused[: math.ceil(cost)]:
            slot.used = True
        return unused[0].end_us if unused else now_us

    def unused_slots(self) -> list[SendSlot]:
        """This node's unused slots, open or next, at all ready backends in slow start."""
        settings, now_us = self._context.settings, self._context.now_us
        warming = [
            backend
            for backend in self._endpoints.backends.values()
            if available_capacity(settings, backend.entry.started_us, now_us) < 1
            and backend.entry.state is BackendState.READY
        ]
        return [slot for backend in warming for slot in self._slots_at(backend) if not slot.used]

    def unseen_load(self, backend: Backend) -> float:
        """Load that all nodes may add to a warming backend before it shows in its reports."""
        assert self._slot_table
        schedule = self._slot_table.schedule
        slots = schedule.slots_per_period(self._mean_sends(backend, self._context.now_us))
        sent = slots * REPORT_DELAY_US / schedule.period_us
        return sent / max(1.0, self.capacity(backend) * self._full_connections_of_kind(backend))

    def allowance(self, backend: Backend) -> SlowStartAllowance | None:
        """For the log: what a send to a backend in slow start rests on; None for a warm one."""
        capacity = self.capacity(backend)
        if capacity >= 1:
            return None
        now_us = self._context.now_us
        open_slots = [slot for slot in self._slots_at(backend) if slot.is_open(now_us)]
        reports = self._load_estimate.capacity_share.all_kinds
        return SlowStartAllowance(
            self._age_us(backend),
            capacity,
            self._full_connections(),
            self._held(backend),
            self._allowed(backend, capacity),
            self._mean_sends(backend, now_us),
            backend.entry.started_us,
            self._context.is_new_node(),
            open_slots[0].mean_sends if open_slots else 0.0,
            reports.held.value,
            reports.load.value,
        )

    def _age_us(self, backend: Backend) -> int:
        return self._context.now_us - backend.entry.started_us

    def _full_connections(self) -> float:
        """Mean connections that fill a backend once it is warm.

        The work of few connections is believed no further than their count goes. One light connection made a
        backend look many times as large, and each node sent it one within a second.
        """
        estimate = self._load_estimate
        held = len(self._connections.by_id)
        most = estimate.connections_at_capacity(held + DEVIATIONS * math.sqrt(held + 1))
        most = max(most, MIN_FULL_CONNECTIONS * estimate.cores())
        # A new node has no count yet; the backends carried what reconnects to it a moment ago.
        full = estimate.full_connections()
        return full if self._context.is_new_node() else min(full, most)

    def _held(self, backend: Backend) -> float:
        """What this node has established or in flight there, in mean connections."""
        mean_work, by_id = self._connections.mean_work, self._connections.by_id
        works = [by_id[r].work / mean_work if mean_work else 1.0 for r in backend.connections]
        return len(backend.in_flight) + max(len(works), sum(works))  # a light one may grow

    def _allowed(self, backend: Backend, capacity: float) -> float:
        """What this node may have there. Rounded at random: with a part below one connection, some nodes may
        send one and the others none."""
        fleet_size = self._context.settings.fleet_size
        return FULL_LOAD * capacity * self._full_connections() / fleet_size + backend.rounding

    def _mean_sends(self, backend: Backend, at_us: int) -> float:
        """Requests that all nodes may send a warming backend in the settings' window, by the multiple of its
        capacity: new connections fill it over its warm-up, and no faster."""
        settings = self._context.settings
        capacity = available_capacity(settings, backend.entry.started_us, at_us)
        full = FULL_LOAD * capacity * self._full_connections_of_kind(backend)
        return settings.overload_multiple * full * settings.overload_window_us / settings.warm_up_us

    def _full_connections_of_kind(self, backend: Backend) -> float:
        """Connections that fill a backend of this kind once it is warm, by this node's share of them."""
        estimate, fleet_size = self._load_estimate, self._context.settings.fleet_size
        guess = MIN_FULL_CONNECTIONS * estimate.cores() / fleet_size
        share = estimate.capacity_share.connections(self._context.now_us, backend.entry.kind, guess)
        return share * fleet_size

    def _slots_at(self, backend: Backend) -> list[SendSlot]:
        """This node's slots at a warming backend that are open or come next."""
        assert self._slot_table
        entry = backend.entry
        mean_sends = partial(self._mean_sends, backend)
        return self._slot_table.slots(self._context.now_us, entry.backend, entry.started_us, mean_sends)
