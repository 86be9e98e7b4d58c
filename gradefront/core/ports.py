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
    """The connection of one attempt to its backend."""

    def close(self, ending: ConnectionEnd) -> None:
        """End it; whatever arrives later is ignored."""


class ClientConnection(Protocol):
    """The client's side of one connection. It gets exactly one of `establish`, `reject` and `fail`."""

    def establish(self, upstream: BackendConnection, response_line: object) -> None:
        """The backend accepted the connection: pass its response line on, then everything, both ways."""

    def reject(self, retry_after_us: int) -> None:
        """Final answer: come again after so many microseconds (0: no advice)."""

    def fail(self) -> None:
        """Final answer that promises nothing."""

    def migrate(self) -> None:
        """Tell the client to reconnect through the load balancer, then end."""

    def close(self, ending: ConnectionEnd) -> None:
        """The backend ended an established connection."""

    def has_disconnected(self) -> bool:
        """Whether the client has closed its side by now, be that read yet or not. Does not wait."""


class HealthChecker(Protocol):
    """Checks a backend's health; the core's `on_health_check_result` gets the result."""

    def check(self, backend: str) -> None:
        """Check the backend once, and read the load that it reports."""

    def check_connect(self, backend: str, timeout_us: int) -> None:
        """Open a new connection and close it; `Liveness.on_connect_checked` gets whether it came up in time."""


class EndpointWatcher(Protocol):
    """Watches the endpoint list; the core's `on_endpoint_list` and `on_endpoint_list_lost` get the updates."""

    def watch(self) -> None:
        """Watch for changes since the newest known list, from now on."""

    def read_pending(self) -> None:
        """Apply the updates that have arrived but are not read yet."""


class DecisionModule(Protocol):
    """The decision module, as the core uses it."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event and return what to do."""

    def count_unavailable(self, now_us: int) -> int:
        """How many listed backends get no new work now, or only for want of others."""
