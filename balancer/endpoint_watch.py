"""Endpoint watch: when this node subscribes to the endpoint list, where it has to ask for it."""

from __future__ import annotations

from .actions import WatchEndpointList
from .context import Context
from .retry_policy import full_jitter_us
from .timers import Timers

INITIAL_BACKOFF_US = 500_000  # after a failed call for the list
SPREAD_PART = 1 / 4  # of the time within which the list must be polled


class EndpointWatch:
    """Subscribes to the endpoint list, and again after an error."""

    def __init__(self, context: Context, timers: Timers) -> None:
        self._context = context
        self._timers = timers
        self._errors = 0  # since the last list
        self._watching = False

    def on_list(self) -> None:
        """A list has come. Start jitter: all nodes at once would drown the service that has the list."""
        settings = self._context.settings
        if not settings.polls_endpoint_list:
            return
        if not self._watching:
            delay_us = self._context.random.uniform(0, settings.poll_within_us * SPREAD_PART)
            self._timers.start(delay_us, self._watch)
        self._watching, self._errors = True, 0

    def on_error(self) -> None:
        """A call for the list failed, or the watch broke."""
        self._context.log("list", "endpoint list call failed or watch lost; asking again")
        max_us = self._context.settings.poll_within_us * SPREAD_PART
        delay_us = full_jitter_us(self._context.random, INITIAL_BACKOFF_US, max_us, self._errors)
        self._timers.start(delay_us, self._watch)
        self._errors += 1

    def _watch(self) -> None:
        self._context.emit(WatchEndpointList())
