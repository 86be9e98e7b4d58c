"""Timers: callbacks that run when the host reports that their time has come."""

from __future__ import annotations

from collections.abc import Callable

from .actions import SetTimer
from .context import Context
from .events import TimerFired


class Timers:
    """The timers of one balancer. None can be cancelled: a callback checks whether it still matters."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._last_id = 0

    def start(self, delay_us: float, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay_us`, or after 1 us where that is less."""
        self._last_id += 1
        self._callbacks[self._last_id] = callback
        self._context.emit(SetTimer(self._last_id, max(1, int(delay_us))))

    def on_fired(self, event: TimerFired) -> None:
        """Run the callback of a timer. One that has run already, or is unknown, is ignored."""
        callback = self._callbacks.pop(event.timer_id, None)
        if callback is not None:
            callback()
