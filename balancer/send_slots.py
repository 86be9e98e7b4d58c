"""Send slots: the times at which this node may send a request to a backend in slow start.

Such a backend fails when all nodes together send it too many requests within a short window, whatever the
outcome of these requests. No node knows what the others send. But each node knows its own position in the
fleet, and all share one clock. So the requests that a backend tolerates are divided into slots at even
intervals, each assigned to one node. This bounds the total without messages between nodes, and without the
variance of independent random draws. A slot that is not used lapses.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property
from random import Random
from zlib import crc32

# Standard deviations above the mean that backends tolerate: 3 below a mean of 30 requests, 2 from there on.
LARGE_MEAN = 30.0
DEVIATIONS, DEVIATIONS_OF_LARGE_MEAN = 3, 2
MIN_PERIOD_US = 1_000_000  # shortest period; slots are assigned one period at a time
# Time for which a slot can be used, as a fraction of the window. Shorter times would allow more slots, but
# more of them would lapse unused.
OPEN_FRACTION = 1.0
MIN_OPEN_US, MAX_OPEN_US = 20_000, 1_000_000
# Fraction of the nodes by which the assignment of the first slot advances from period to period, so that it
# falls to the nodes evenly.
GOLDEN_RATIO = 0.618
MAX_SLOTS = 64  # of one node at one backend in a period


def tolerated_sends(mean: float) -> float:
    """Return the requests that a backend tolerates in a window if a mean of `mean` requests is allowed.

    The difference is the margin that the platform grants for random variation.
    """
    deviations = DEVIATIONS_OF_LARGE_MEAN if mean >= LARGE_MEAN else DEVIATIONS
    return mean + deviations * math.sqrt(mean) + deviations


@dataclass(slots=True)
class SendSlot:
    """One request that this node may send to a backend, from `start_us` up to but not including `end_us`."""

    backend: str
    start_us: int
    end_us: int
    mean_sends: float = 0.0  # requests allowed to all nodes in a window, as of the slot's assignment
    reserved: bool = False  # a request waits for this slot
    used: bool = False

    def is_open(self, now_us: int) -> bool:
        """Return whether the slot can be used now."""
        return not self.used and self.start_us <= now_us < self.end_us


@dataclass(frozen=True)  # without slots, as it keeps its cached properties
class SlotSchedule:
    """Assigns slots to nodes.

    Attributes: `position` of this node among `nodes`, from 0, or None, where the order is drawn at random;
    `window_us`, the time span in which backends count requests; `late_us`, the longest time by which a
    request may arrive later than it was started; `processes`, how many may run at a time under one position.
    """

    position: int | None
    nodes: int
    window_us: int
    late_us: int = 0
    processes: int = 1

    @cached_property
    def open_us(self) -> int:
        """The time for which a slot can be used."""
        return min(max(MIN_OPEN_US, int(OPEN_FRACTION * self.window_us)), MAX_OPEN_US)

    @cached_property
    def counted_span_us(self) -> int:
        """How long before the end of a window a slot may start whose request still counts in that window."""
        return self.window_us + self.open_us + self.late_us

    @cached_property
    def period_us(self) -> int:
        """The length of the periods for which slots are assigned."""
        return max(MIN_PERIOD_US, self.counted_span_us)

    def slots_per_period(self, mean: float) -> int:
        """Return the number of slots of all nodes in a period; `mean` requests are allowed in a window.

        It is chosen so that the backend tolerates all the slots that may add a request to any one window.
        """
        # With even intervals, a counted span holds at most its length divided by the interval, rounded up.
        # With random positions the number of slots varies, which uses up the margin for random variation.
        per_span = (
            math.floor(tolerated_sends(mean) / self.processes)
            if self._has_position
            else (mean + 1) / self.processes
        )
        return max(1, math.floor(per_span * self.period_us / self.counted_span_us))

    def assign(self, backend: str, period: int, mean: float, random: Random) -> list[SendSlot]:
        """Return this node's slots at a backend in one period."""
        count = self.slots_per_period(mean)
        numbers = range(self._rank(backend, period, random), count, self.nodes)[:MAX_SLOTS]
        starts = [period * self.period_us + number * self.period_us // count for number in numbers]
        return [SendSlot(backend, start, start + self.open_us, mean) for start in starts]

    @cached_property
    def _has_position(self) -> bool:
        return self.position is not None and 0 <= self.position < self.nodes

    def _rank(self, backend: str, period: int, random: Random) -> int:
        """Return this node's rank, from 0, in the order of nodes for one backend and period."""
        if self.position is None or not self._has_position:
            return random.randrange(self.nodes)
        return (self.position + crc32(backend.encode()) + period * self._stride) % self.nodes

    @cached_property
    def _stride(self) -> int:
        """Return a step near the golden ratio of the number of nodes.

        It has no common divisor with that number, so that each node comes first in some period.
        """
        stride = max(1, round(GOLDEN_RATIO * self.nodes))
        while math.gcd(stride, self.nodes) > 1:
            stride += 1
        return stride


@dataclass(slots=True)
class AssignedSlots:
    """A backend's slots in one period, and the start time of the process for which they were assigned."""

    started_us: int
    slots: list[SendSlot]


class SendSlotTable:
    """This node's slots at backends in slow start, assigned once for each period.

    A used slot stays used, whatever happens to the request, to the endpoint list or to the backend.
    """

    def __init__(self, schedule: SlotSchedule, random: Random, since_us: int) -> None:
        self.schedule = schedule
        self.random = random
        # It is unknown what an earlier process of this node has sent. It counts as all that was allowed, so
        # the first slot starts only when none of those requests can count in a window any more.
        self.since_us = since_us + schedule.window_us + schedule.late_us
        self.periods: dict[int, dict[str, AssignedSlots]] = {}

    def slots(
        self, now_us: int, backend: str, started_us: int, mean_sends: Callable[[int], float]
    ) -> list[SendSlot]:
        """Return the current and upcoming slots at a backend.

        `mean_sends` returns the requests that all nodes may send it in the window that ends at a given time.
        """
        period = now_us // self.schedule.period_us
        for past in [earlier for earlier in self.periods if earlier < period - 1]:
            del self.periods[past]
        return [
            slot
            for number in (period - 1, period, period + 1)
            for slot in self._assigned(number, backend, started_us, mean_sends)
        ]

    def _assigned(
        self, period: int, backend: str, started_us: int, mean_sends: Callable[[int], float]
    ) -> list[SendSlot]:
        by_backend = self.periods.setdefault(period, {})
        assigned = by_backend.get(backend)
        if assigned is None or assigned.started_us != started_us:
            mean = mean_sends(period * self.schedule.period_us)
            slots = self.schedule.assign(backend, period, mean, self.random)
            slots = [slot for slot in slots if slot.start_us >= self.since_us]
            # A request that was sent to the backend's previous process may reach this one.
            for slot in slots[: sum(slot.used for slot in assigned.slots) if assigned else 0]:
                slot.used = True
            assigned = by_backend[backend] = AssignedSlots(started_us, slots)
        return assigned.slots
