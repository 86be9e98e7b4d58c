"""A hashed timer wheel with coarse ticks, which holds all of the relay's timers."""

from __future__ import annotations

from collections.abc import Callable

TICK_US = 4_000  # as coarse as the shortest delays (a few tens of ms) allow
SLOTS = 1_024  # one revolution takes about 4 s; a longer timer stays in its slot for several revolutions


class Timer:
    """One timer; `cancel` may be called at any time."""

    __slots__ = ("tick", "callback")

    def __init__(self, tick: int, callback: Callable[[], None]) -> None:
        self.tick = tick
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the timer. Its entry stays on the wheel until `pop_due` next processes its slot."""
        self.callback = None


class TimerWheel:
    """A hashed timer wheel. Timers never fire early, and at most one tick late if `pop_due` is called in time."""

    def __init__(self, now_us: int) -> None:
        self.tick = now_us // TICK_US  # the last tick that has been processed
        self.slots: list[list[Timer]] = [[] for _ in range(SLOTS)]
        self.occupied = 0  # bit mask of the slots that hold timers

    def set(self, at_us: int, callback: Callable[[], None]) -> Timer:
        """Schedule `callback` for the first tick at or after `at_us`."""
        tick = max(-(-at_us // TICK_US), self.tick + 1)
        timer = Timer(tick, callback)
        self.slots[tick % SLOTS].append(timer)
        self.occupied |= 1 << tick % SLOTS
        return timer

    def next_due(self) -> int | None:
        """Return when to call `pop_due` next, in us, or None if there are no timers.

        For a timer of a later revolution this is earlier than its due time.
        """
        if not self.occupied:
            return None
        start = (self.tick + 1) % SLOTS
        ahead = self.occupied >> start
        if ahead:
            distance = (ahead & -ahead).bit_length() - 1
        else:
            distance = SLOTS - start + (self.occupied & -self.occupied).bit_length() - 1
        return (self.tick + 1 + distance) * TICK_US

    def pop_due(self, now_us: int) -> list[Callable[[], None]]:
        """Remove the timers due by `now_us`, and return their callbacks in the order of their ticks."""
        last = now_us // TICK_US
        due: list[Timer] = []
        for tick in range(self.tick + 1, min(last, self.tick + SLOTS) + 1):
            slot = tick % SLOTS
            if not self.occupied >> slot & 1:
                continue
            expired = [t for t in self.slots[slot] if t.tick <= last]
            due += expired
            self.slots[slot] = [t for t in self.slots[slot] if t.tick > last and t.callback]
            if not self.slots[slot]:
                self.occupied &= ~(1 << slot)
        self.tick = max(self.tick, last)
        return [t.callback for t in sorted(due, key=lambda t: t.tick) if t.callback]
