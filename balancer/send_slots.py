"""When this node has its turn to send a backend in slow start a request.

Such a backend falls by what all nodes send it within a short span, whatever becomes of it. No node knows what
the others send. But each knows its own position among them, and all read one clock. So the requests that a
backend bears are dealt out as turns at even intervals, each to one node. So the sum is kept without a word
between nodes, and without the spread of independent draws. A turn that is not used lapses.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from zlib import crc32

MANY = 30.0  # requests: from here on backends bear two deviations more than the mean, below three
DEVIATIONS, DEVIATIONS_OF_MANY = 3, 2
LEAST_PERIOD_US = 1_000_000  # us: turns are dealt out for so long at a time, or for longer spans
OPEN_PART = 1.0  # of the span: so long a turn can be used; shorter ones are more, but lapse unused
LEAST_OPEN_US, MOST_OPEN_US = 20_000, 1_000_000  # us: a turn is open for so long
GOLDEN = 0.618  # of the nodes: so far the first turn moves on from period to period, and comes round evenly
MOST_TURNS = 64  # of one node at one backend in a period


def borne(mean: float) -> float:
    """Requests that a backend bears in a span where `mean` is told: the platform's allowance for chance."""
    deviations = DEVIATIONS_OF_MANY if mean >= MANY else DEVIATIONS
    return mean + deviations * math.sqrt(mean) + deviations


@dataclass(slots=True)
class SendSlot:
    """One request that this node may send a backend, from `start_us` on for a short while."""

    backend: str
    start_us: int
    end_us: int
    reserved: bool = False  # a request waits for it
    used: bool = False

    def open(self, now_us: int) -> bool:
        """Whether it can be used now."""
        return not self.used and self.start_us <= now_us < self.end_us


@dataclass(frozen=True, slots=True)
class SlotSchedule:
    """Deals out turns. Without a position among the nodes the order is drawn at random."""

    position: int | None
    nodes: int
    span_us: int  # the settings' time in which sends are counted
    late_us: int = 0  # how much later than it was begun a request may arrive
    processes: int = 1  # that may run at a time under one position

    @property
    def open_us(self) -> int:
        """How long a turn can be used."""
        return min(max(LEAST_OPEN_US, int(OPEN_PART * self.span_us)), MOST_OPEN_US)

    @property
    def reach_us(self) -> int:
        """The time before a moment from which turns still count for the span that ends then."""
        return self.span_us + self.open_us + self.late_us

    @property
    def period_us(self) -> int:
        """The time for which turns are dealt out together."""
        return max(LEAST_PERIOD_US, self.reach_us)

    def many(self, mean: float) -> int:
        """Turns of all nodes in a period, where a backend may be sent `mean` requests in the span: as many as
        reach into any span are borne."""
        # At even intervals a reach holds its length over theirs, rounded up. Random ones scatter, which takes
        # the allowance for chance.
        each = math.floor(borne(mean) / self.processes) if self._placed() else (mean + 1) / self.processes
        return max(1, math.floor(each * self.period_us / self.reach_us))

    def deal(self, backend: str, period: int, mean: float, random: Random) -> list[SendSlot]:
        """This node's turns at a backend in one period."""
        many = self.many(mean)
        numbers = range(self._rank(backend, period, random), many, self.nodes)[:MOST_TURNS]
        starts = [period * self.period_us + number * self.period_us // many for number in numbers]
        return [SendSlot(backend, start, start + self.open_us) for start in starts]

    def _placed(self) -> bool:
        return self.position is not None and 0 <= self.position < self.nodes

    def _rank(self, backend: str, period: int, random: Random) -> int:
        """This node's place in the order for one backend and period: 0 is first."""
        if self.position is None or not self._placed():
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
    """One backend's turns of one period, by the start of its process for which they were dealt."""

    started_us: int
    turns: list[SendSlot]


class SendSlotTable:
    """This node's turns at backends in slow start, dealt out once for each period. What a backend was sent
    stays counted, whatever becomes of the request, of the list or of the backend itself."""

    def __init__(self, dealer: SlotSchedule, random: Random, since_us: int) -> None:
        self.dealer = dealer
        self.random = random
        # What the process before sent is not known: it counts as all that it might have been.
        self.since_us = since_us + dealer.span_us + dealer.late_us
        self.periods: dict[int, dict[str, AssignedSlots]] = {}

    def at(self, now_us: int, backend: str, started_us: int, mean: Callable[[int], float]) -> list[SendSlot]:
        """The turns at a backend that are open or come next. `mean` tells what it may be sent at a time."""
        period = now_us // self.dealer.period_us
        for past in [known for known in self.periods if known < period - 1]:
            del self.periods[past]
        return [
            turn
            for number in (period - 1, period, period + 1)
            for turn in self._dealt(number, backend, started_us, mean)
        ]

    def _dealt(
        self, period: int, backend: str, started_us: int, mean: Callable[[int], float]
    ) -> list[SendSlot]:
        dealt = self.periods.setdefault(period, {})
        known = dealt.get(backend)
        if known is None or known.started_us != started_us:
            turns = self.dealer.deal(backend, period, mean(period * self.dealer.period_us), self.random)
            turns = [turn for turn in turns if turn.start_us >= self.since_us]
            # Sent to the process before, it may reach this one.
            for turn in turns[: sum(turn.used for turn in known.turns) if known else 0]:
                turn.used = True
            known = dealt[backend] = AssignedSlots(started_us, turns)
        return known.turns
