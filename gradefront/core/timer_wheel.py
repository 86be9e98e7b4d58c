"""The timer wheel: all of the relay's timers, as coarse ticks."""

from __future__ import annotations

from collections.abc import Callable

TICK_US = 4_000  # as coarse as the shortest waits (a few tens of ms) allow
SLOTS = 1_024  # a round of about 4 s; longer timers go round again


class Timer:
    """One timer; `cancel` may be called at any time."""

    __slots__ = ("tick", "callback")

    def __init__(self, tick: int, callback: Callable[[], None]) -> None:
        self.tick = tick
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """The timer will not run; its place on the wheel is cleared when its tick is due."""
        self.callback = None


class TimerWheel:
    """A hashed wheel. A timer never runs early, and at most a tick late when `pop_due` is called in time."""

    def __init__(self, now_us: int) -> None:
        self.tick = now_us // TICK_US  # the last tick that has been run
        self.slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self.occupied = 0  # bit mask of the slots that hold timers

    def set(self, at_us: int, callback: Callable[[], None]) -> Timer:
        """Run `callback` at the first tick at or after `at_us`."""
        tick = max(-(-at_us // TICK_US), self.tick + 1)
        timer = Timer(tick, callback)
        self.slots[tick % SLOTS].append(timer)
        self.occupied |= 1 << tick % SLOTS
        return timer

    def next_due(self) -> int | None:
        """When to call `pop_due` next, in us; for a timer of a later round, when to check again. None: no timers."""
        if not self.occupied:
            return None
        start = (self.tick + 1) % SLOTS
        ahead = self.occupied >> start
        if ahead:
            gap = (ahead & -ahead).bit_length() - 1
        else:
            gap = SLOTS - start + (self.occupied & -self.occupied).bit_length() - 1
        return (self.tick + 1 + gap) * TICK_US

    def pop_due(self, now_us: int) -> list[Callable[[], None]]:
        """Take out and return what is due by `now_us`, in order of its ticks."""
        last = now_us // TICK_US
        due: list[Timer] = []
        for tick in range(self.tick + 1, min(last, self.tick + SLOTS) + 1):
            slot = tick % SLOTS
            if not self.occupied >> slot & 1:
                continue
            late = [t for t in self.slots[slot] if t.tick <= last]
            due += late
            self.slots[slot] = [t for t in self.slots[slot] if t.tick > last and t.callback]
            if not self.slots[slot]:
                self.occupied &= ~(1 << slot)
        self.tick = max(self.tick, last)
        return [t.callback for t in sorted(due, key=lambda t: t.tick) if t.callback]
