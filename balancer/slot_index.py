"""Index of a node's unused send slots by time, over all backends in slow start.

It finds the open slots and the next one without visiting each backend in slow start, however many there are.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from itertools import count
from typing import NamedTuple

from .send_slots import SendSlot

MIN_OBSOLETE = 64  # obsolete entries of the start times that are kept before they are removed together


@dataclass(slots=True, eq=False)
class WarmingBackend:
    """A backend in slow start, and the number of the first period whose slots are not in the index yet."""

    name: str
    started_us: int
    list_position: int
    next_period: int = 0


class _IndexedSlot(NamedTuple):
    """A slot in a heap: by start, then by the backend's position in the endpoint list."""

    start_us: int
    list_position: int
    sequence: int  # entries compare no further than this
    slot: SendSlot
    backend: WarmingBackend


class SlotIndex:
    """The slots of the backends in slow start.

    `assign` returns a backend's slots of the present and the two adjacent periods. `is_warm` returns whether
    a backend that started at a given time is out of slow start; the one that started first is so first.
    """

    def __init__(
        self,
        period_us: int,
        assign: Callable[[WarmingBackend], Iterable[SendSlot]],
        is_warm: Callable[[int], bool],
    ) -> None:
        self._period_us = period_us
        self._assign = assign
        self._is_warm = is_warm
        self._backends: dict[str, WarmingBackend] = {}
        self._by_start: list[tuple[int, int, WarmingBackend]] = []  # heap of start times and sequence numbers
        self._new: list[WarmingBackend] = []  # none of their slots are in the index yet
        self._period: int | None = None  # the last one for which slots were added
        self._upcoming: list[_IndexedSlot] = []  # heap of slots that were not open yet
        self._unreserved: list[_IndexedSlot] = []  # heap of slots that may still be reserved
        self._opened: list[_IndexedSlot] = []  # in the order of the endpoint list
        self._sequence = count()

    def set_backend(self, name: str, started_us: int, list_position: int) -> None:
        """Add a backend in slow start, or change it. Nothing happens if it is known as it is."""
        known = self._backends.get(name)
        if known and (known.started_us, known.list_position) == (started_us, list_position):
            return
        backend = self._backends[name] = WarmingBackend(name, started_us, list_position)
        heappush(self._by_start, (started_us, next(self._sequence), backend))
        self._new.append(backend)

    def remove_backend(self, name: str) -> None:
        """Remove a backend and its slots, if it is known."""
        self._backends.pop(name, None)

    def keep_only(self, names: Iterable[str]) -> None:
        """Remove all other backends and their slots."""
        kept = set(names)
        self._backends = {name: backend for name, backend in self._backends.items() if name in kept}

    def is_any_warming(self) -> bool:
        """Return whether any backend is in slow start now."""
        self._remove_warm()
        return bool(self._backends)

    def open_slots(self, now_us: int) -> list[SendSlot]:
        """Return the unused open slots, in the order of the endpoint list and then of their start."""
        self._refresh(now_us)
        while self._upcoming and self._upcoming[0].start_us <= now_us:
            self._opened.append(heappop(self._upcoming))
        self._opened = [entry for entry in self._opened if self._is_usable(entry, now_us)]
        self._opened.sort(key=lambda entry: (entry.list_position, entry.start_us))
        return [entry.slot for entry in self._opened]

    def next_slot(self, now_us: int) -> SendSlot | None:
        """Return the first slot to open after `now_us` that no request has reserved or used, or None."""
        self._refresh(now_us)
        while self._unreserved and not self._may_be_reserved(self._unreserved[0], now_us):
            heappop(self._unreserved)
        return self._unreserved[0].slot if self._unreserved else None

    def _is_usable(self, entry: _IndexedSlot, now_us: int) -> bool:
        return self._is_current(entry.backend) and entry.slot.is_open(now_us)

    def _may_be_reserved(self, entry: _IndexedSlot, now_us: int) -> bool:
        slot = entry.slot
        return (
            self._is_current(entry.backend) and not slot.reserved and not slot.used and slot.start_us > now_us
        )

    def _refresh(self, now_us: int) -> None:
        """Remove warm backends, and add slots: of all backends in a new period, else of new backends."""
        self._remove_warm()
        period = now_us // self._period_us
        if period != self._period:
            backends = list(self._backends.values())
            while self._unreserved and self._unreserved[0].start_us <= now_us:
                heappop(self._unreserved)
        else:
            backends = [backend for backend in self._new if self._is_current(backend)]
        self._period, self._new = period, []
        for backend in sorted(backends, key=lambda backend: backend.list_position):
            self._add_slots(backend, period + 1)

    def _remove_warm(self) -> None:
        heap = self._by_start
        while heap and (not self._is_current(heap[0][2]) or self._is_warm(heap[0][0])):
            backend = heappop(heap)[2]
            if self._is_current(backend):
                del self._backends[backend.name]
        if len(heap) > 2 * len(self._backends) + MIN_OBSOLETE:
            heap[:] = [entry for entry in heap if self._is_current(entry[2])]
            heapify(heap)

    def _is_current(self, backend: WarmingBackend) -> bool:
        """Return whether a backend is still in slow start as it was when it was added."""
        return self._backends.get(backend.name) is backend

    def _add_slots(self, backend: WarmingBackend, last_period: int) -> None:
        for slot in self._assign(backend):
            if slot.start_us >= backend.next_period * self._period_us and not slot.used:
                entry = _IndexedSlot(
                    slot.start_us, backend.list_position, next(self._sequence), slot, backend
                )
                heappush(self._upcoming, entry)
                heappush(self._unreserved, entry)
        backend.next_period = last_period + 1
