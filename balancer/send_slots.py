"""Send slots: when this node may send a request to a backend in slow start.

Such a backend fails by what all nodes send it within a short span, whatever becomes of it. No node knows what
the others send. But each knows its own position among them, and all read one clock. So the requests that a
backend tolerates are divided into slots at even intervals, each assigned to one node. This keeps the sum
without messages between nodes, and without the spread of independent draws. A slot that is not used lapses.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from zlib import crc32

LARGE_MEAN = 30.0  # requests: from here on backends tolerate two deviations above the mean, below three
DEVIATIONS, DEVIATIONS_OF_LARGE_MEAN = 3, 2
MIN_PERIOD_US = 1_000_000  # slots are assigned for so long at a time, or for longer spans
OPEN_PART = 1.0  # of the span: so long a slot can be used; shorter slots are more, but lapse unused
MIN_OPEN_US, MAX_OPEN_US = 20_000, 1_000_000
GOLDEN = 0.618  # of the nodes: so far the first slot moves on from period to period, to come round evenly
MAX_SLOTS = 64  # of one node at one backend in a period


def tolerated_sends(mean: float) -> float:
    """Requests that a backend tolerates in a span if `mean` is allowed: the platform's margin for chance."""
    deviations = DEVIATIONS_OF_LARGE_MEAN if mean >= LARGE_MEAN else DEVIATIONS
    return mean + deviations * math.sqrt(mean) + deviations


@dataclass(slots=True)
class SendSlot:
    """One request that this node may send to a backend, from `start_us` until before `end_us`."""

    backend: str
    start_us: int
    end_us: int
    mean_sends: float = 0.0  # what all nodes were to send it in the window, as the slot was assigned
    reserved: bool = False  # a request waits for it
    used: bool = False

    def is_open(self, now_us: int) -> bool:
        """Whether it can be used now."""
        return not self.used and self.start_us <= now_us < self.end_us


@dataclass(frozen=True, slots=True)
class SlotSchedule:
    """Assigns slots to nodes.

    `position` of this node among `nodes`, from 0; without one the order is drawn at random. `span_us` is the
    settings' time in which sends are counted, `late_us` how much later than its start a request may arrive,
    `processes` how many may run at a time under one position.
    """

    position: int | None
    nodes: int
    window_us: int
    late_us: int = 0
    processes: int = 1

    @property
    def open_us(self) -> int:
        """How long a slot can be used."""
        return min(max(MIN_OPEN_US, int(OPEN_PART * self.window_us)), MAX_OPEN_US)

    @property
    def reach_us(self) -> int:
        """The time before a moment from which slots still count for the span that ends then."""
        return self.window_us + self.open_us + self.late_us

    @property
    def period_us(self) -> int:
        """The time for which slots are assigned together."""
        return max(MIN_PERIOD_US, self.reach_us)

    def slots_per_period(self, mean: float) -> int:
        """Slots of all nodes in a period, if a backend may be sent `mean` requests in the span: as many as
        reach into any span are tolerated."""
        # At even intervals a reach holds its length over theirs, rounded up. Random ones scatter, which takes
        # the margin for chance.
        placed = self._has_position()
        each = math.floor(tolerated_sends(mean) / self.processes) if placed else (mean + 1) / self.processes
        return max(1, math.floor(each * self.period_us / self.reach_us))

    def assign(self, backend: str, period: int, mean: float, random: Random) -> list[SendSlot]:
        """This node's slots at a backend in one period."""
        count = self.slots_per_period(mean)
        numbers = range(self._rank(backend, period, random), count, self.nodes)[:MAX_SLOTS]
        starts = [period * self.period_us + number * self.period_us // count for number in numbers]
        return [SendSlot(backend, start, start + self.open_us, mean) for start in starts]

    def _has_position(self) -> bool:
        return self.position is not None and 0 <= self.position < self.nodes

    def _rank(self, backend: str, period: int, random: Random) -> int:
        """This node's place in the order for one backend and period: 0 is first."""
        if self.position is None or not self._has_position():
            return random.randrange(self.nodes)
        return (self.position + crc32(backend.encode()) + period * self._stride()) % self.nodes

    def _stride(self) -> int:
        """Near the golden part of the nodes, with no common divisor, so that all are first in their time."""
        stride = max(1, round(GOLDEN * self.nodes))
        while math.gcd(stride, self.nodes) > 1:
            stride += 1
        return stride


@dataclass(slots=True)
class AssignedSlots:
    """One backend's slots of one period, with the start of the process for which they were assigned."""

    started_us: int
    slots: list[SendSlot]


class SendSlotTable:
    """This node's slots at backends in slow start, assigned once for each period.

    What a backend was sent stays counted, whatever becomes of the request, of the list or of the backend.
    """

    def __init__(self, schedule: SlotSchedule, random: Random, since_us: int) -> None:
        self.schedule = schedule
        self.random = random
        # What the process before sent is not known: it counts as all that it might have been.
        self.since_us = since_us + schedule.window_us + schedule.late_us
        self.periods: dict[int, dict[str, AssignedSlots]] = {}

    def slots(
        self, now_us: int, backend: str, started_us: int, mean_sends: Callable[[int], float]
    ) -> list[SendSlot]:
        """The slots at a backend that are open or come next.

        `mean_sends` gives the requests that all nodes may send it in the span that ends at a time.
        """
        period = now_us // self.schedule.period_us
        for past in [known for known in self.periods if known < period - 1]:
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
        known = by_backend.get(backend)
        if known is None or known.started_us != started_us:
            mean = mean_sends(period * self.schedule.period_us)
            slots = self.schedule.assign(backend, period, mean, self.random)
            slots = [slot for slot in slots if slot.start_us >= self.since_us]
            # Sent to the process before, it may reach this one.
            for slot in slots[: sum(slot.used for slot in known.slots) if known else 0]:
                slot.used = True
            known = by_backend[backend] = AssignedSlots(started_us, slots)
        return known.slots
