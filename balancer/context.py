"""The state that the components of a balancer share: settings, clock, random numbers, actions."""

from __future__ import annotations

from random import Random

from .actions import Action, WriteLog
from .settings import Settings

LOG_INTERVAL_US = 5_000_000  # shortest time between two log lines of one kind
NEW_NODE_PERIOD_US = 10_000_000  # after its start, a node has too few connections for estimates


class Context:
    """The state that the components of one balancer share.

    Attributes: `settings` in force; `random`, the one random number generator, used in the order of
    decisions; `now_us`, the clock time of the current event; `actions`, those decided for the current event
    so far.
    """

    __slots__ = (
        "_first_list_us",
        "_logged_at_us",
        "_new_until_us",
        "actions",
        "now_us",
        "random",
        "settings",
    )

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.now_us = 0
        self.actions: list[Action] = []
        self._logged_at_us: dict[str, int] = {}  # by kind, within the last LOG_INTERVAL_US, the oldest first
        self._first_list_us: int | None = None
        self._new_until_us = 0

    def begin_event(self, now_us: int) -> None:
        """Begin to handle an event received at `now_us`, with an empty list of actions."""
        self.now_us, self.actions = now_us, []

    def emit(self, action: Action) -> None:
        """Add an action to those of the current event."""
        self.actions.append(action)

    def log(self, kind: str, text: str) -> None:
        """Emit a log line, unless one of this kind was emitted less than `LOG_INTERVAL_US` ago."""
        oldest = next(iter(self._logged_at_us), None)
        while oldest is not None and self.now_us - self._logged_at_us[oldest] >= LOG_INTERVAL_US:
            del self._logged_at_us[oldest]
            oldest = next(iter(self._logged_at_us), None)
        if kind not in self._logged_at_us:
            self._logged_at_us[kind] = self.now_us
            self.emit(WriteLog(text))

    def on_endpoint_list(self) -> None:
        """Note that an endpoint list was received.

        The first one starts the period as a new node, unless this node has adopted connections before.
        """
        if self._first_list_us is None:
            self._first_list_us = self.now_us
        self._new_until_us = self._new_until_us or self.now_us + NEW_NODE_PERIOD_US

    def on_adopted(self) -> None:
        """Note that a connection was adopted. A node with adopted connections has a count and is not new."""
        self._new_until_us = 1  # in the past; not 0, so that `on_endpoint_list` doesn't overwrite it

    def has_run_for(self, span_us: int) -> bool:
        """Return whether the first endpoint list was received at least `span_us` ago."""
        return self._first_list_us is not None and self.now_us - self._first_list_us >= span_us

    def is_new_node(self) -> bool:
        """Return whether this node has too few connections for estimates, as it started recently."""
        return self.now_us < self._new_until_us
