"""The interfaces through which listeners, backend connections and discovery plug into the core."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from balancer.actions import Action
from balancer.events import Event


class ConnectionEnd(Enum):
    """How one side of a connection ended, so that the other can be ended in the same way."""

    ORDERLY = "orderly"
    BROKEN = "broken"


class BackendConnection(Protocol):
    """One attempt's way to its backend."""

    def close(self, how: ConnectionEnd) -> None:
        """End it; nothing that comes later counts."""


class ClientConnection(Protocol):
    """One connection's way to its client. Each connection gets exactly one of `seat`, `refuse` and `fail`."""

    def establish(self, upstream: BackendConnection, response_line: object) -> None:
        """The backend took the connection: pass its receipt on, then everything, both ways."""

    def reject(self, pause_us: int) -> None:
        """Final answer: come again after the pause (0: no advice)."""

    def fail(self) -> None:
        """Final answer that promises nothing."""

    def migrate(self) -> None:
        """Tell the client to come again through the front, then end."""

    def close(self, how: ConnectionEnd) -> None:
        """The backend ended a connection that stood."""

    def has_disconnected(self) -> bool:
        """Whether the client has ended its side by now, be it heard of or not: a look at the wire, not a wait."""


class HealthChecker(Protocol):
    """Health checks a backend for its load; the core's `told_load` gets the answer. Checks that one that says
    nothing still takes connections."""

    def check(self, backend: str) -> None:
        """Ask once."""

    def check_connect(self, backend: str, timeout_us: int) -> None:
        """Open a new connection and close it; the core's `on_connect_checked` hears whether it came up in time."""


class EndpointWatcher(Protocol):
    """Watches the endpoint list; the core's `listed` and `list_lost` get the news."""

    def watch(self) -> None:
        """Ask for the changes since the newest list known, from now on."""

    def read_pending(self) -> None:
        """Take the news that are here already, if not heard yet."""


class DecisionModule(Protocol):
    """The decision module, as the core uses it."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event and return what to do."""

    def count_unavailable(self, now_us: int) -> int:
        """How many listed backends get nothing new now, or only for want of others."""
