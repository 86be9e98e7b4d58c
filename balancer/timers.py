"""Timers: callbacks that run when the host reports that their delay has elapsed."""

from __future__ import annotations

from collections.abc import Callable

from .actions import SetTimer
from .context import Context
from .events import TimerFired


class Timers:
    """The timers of one balancer. They can't be cancelled: a callback must check whether it still applies."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._last_id = 0

    def start(self, delay_us: float, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay_us`, but no earlier than after 1 microsecond."""
        self._last_id += 1
        self._callbacks[self._last_id] = callback
        self._context.emit(SetTimer(self._last_id, max(1, int(delay_us))))

    def on_fired(self, event: TimerFired) -> None:
        """Run the callback of a timer. Ignores a timer that is unknown or has fired already."""
        callback = self._callbacks.pop(event.timer_id, None)
        if callback is not None:
            callback()
