"""Endpoint watch: when this node subscribes to the endpoint list, if the settings say that it polls it."""

from __future__ import annotations

from .actions import WatchEndpointList
from .context import Context
from .retry_policy import full_jitter_us
from .timers import Timers

INITIAL_BACKOFF_US = 500_000  # after a first error
SPREAD_FRACTION = 1 / 4  # maximum start jitter and backoff, as a fraction of the settings' `poll_within_us`


class EndpointWatch:
    """Subscribes to the endpoint list, and subscribes again after an error."""

    def __init__(self, context: Context, timers: Timers) -> None:
        self._context = context
        self._timers = timers
        self._errors = 0  # consecutive, since a list was last received
        self._watching = False

    def on_list(self) -> None:
        """Reset the error count after a list was received, and subscribe after the first one.

        The subscription is delayed by a random time (jitter): if all nodes subscribed at once, they would
        overload the discovery service.
        """
        settings = self._context.settings
        if not settings.polls_endpoint_list:
            return
        if not self._watching:
            delay_us = self._context.random.uniform(0, settings.poll_within_us * SPREAD_FRACTION)
            self._timers.start(delay_us, self._watch)
        self._watching, self._errors = True, 0

    def on_error(self) -> None:
        """Subscribe again, with backoff, after a poll of the list failed or the watch ended."""
        self._context.log("list", "endpoint list: poll failed or watch ended; retrying with backoff")
        max_us = self._context.settings.poll_within_us * SPREAD_FRACTION
        delay_us = full_jitter_us(self._context.random, INITIAL_BACKOFF_US, max_us, self._errors)
        self._timers.start(delay_us, self._watch)
        self._errors += 1

    def _watch(self) -> None:
        self._context.emit(WatchEndpointList())
