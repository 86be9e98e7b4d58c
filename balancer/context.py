"""What the parts of one balancer share: settings, clock, random numbers, actions of the present event."""

from __future__ import annotations

from random import Random

from .actions import Action, WriteLog
from .settings import Settings

LOG_INTERVAL_US = 5_000_000  # between two log lines of one kind
NEW_NODE_US = 10_000_000  # after its start: it has seen too few connections to judge by


class Context:
    """The state shared by the parts of one balancer.

    Attributes: `settings` in force now; `random`, from which all parts draw in the order of their decisions;
    `now_us`, the clock time of the event being handled; `actions`, what is to be done about that event.
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
        self._logged_at_us: dict[str, int] = {}
        self._first_list_us: int | None = None
        self._new_until_us = 0

    def begin(self, now_us: int) -> None:
        """Start on an event that came at `now_us`, with no action yet."""
        self.now_us, self.actions = now_us, []

    def emit(self, action: Action) -> None:
        """Add an action to those of the present event."""
        self.actions.append(action)

    def log(self, kind: str, text: str) -> None:
        """Emit a log line, unless one of this kind was emitted less than `LOG_INTERVAL_US` ago."""
        if self.now_us - self._logged_at_us.get(kind, -LOG_INTERVAL_US) >= LOG_INTERVAL_US:
            self._logged_at_us[kind] = self.now_us
            self.emit(WriteLog(text))

    def on_endpoint_list(self) -> None:
        """A list has come. The first one starts the time as a new node, unless it has adopted connections."""
        if self._first_list_us is None:
            self._first_list_us = self.now_us
        self._new_until_us = self._new_until_us or self.now_us + NEW_NODE_US

    def on_adopted(self) -> None:
        """A connection has been adopted: a node with a past knows what is established, and is not new."""
        self._new_until_us = 1  # in the past, and not 0: `on_endpoint_list` leaves it

    def has_run_for(self, span_us: int) -> bool:
        """Whether the first list came at least so long ago."""
        return self._first_list_us is not None and self.now_us - self._first_list_us >= span_us

    def is_new_node(self) -> bool:
        """Whether this node has seen too few connections to judge by."""
        return self.now_us < self._new_until_us
