"""The interfaces through which listeners, backend connections and discovery plug into the core."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from balancer.actions import Action
from balancer.events import Event


class ConnectionEnd(Enum):
    """How one side of a connection ended; the other side is then closed in the same way."""

    ORDERLY = "orderly"
    BROKEN = "broken"  # by a reset or an error


class BackendConnection(Protocol):
    """The connection of one attempt to its backend."""

    def close(self, ending: ConnectionEnd) -> None:
        """Close the connection. Data that arrives later is ignored."""


class ClientConnection(Protocol):
    """The client's side of one connection. At most one of `establish`, `reject` and `fail` is called, once."""

    def establish(self, upstream: BackendConnection, response_line: object) -> None:
        """Send the response line of the backend, which accepted the connection, then forward data both ways."""

    def reject(self, retry_after_us: int) -> None:
        """Send the final answer that the client may retry, after so many microseconds (0: no advice)."""

    def fail(self) -> None:
        """Send the final answer that the request failed; it does not say whether the request was executed."""

    def migrate(self) -> None:
        """Tell the client to reconnect through the load balancer, then close its connection."""

    def close(self, ending: ConnectionEnd) -> None:
        """Close an established connection that the backend ended."""

    def has_disconnected(self) -> bool:
        """Return whether the client has closed its side, even if the relay has not read that yet. Does not block."""


class HealthChecker(Protocol):
    """Checks a backend's health and passes the result to the core's `on_health_check_result`."""

    def check(self, backend: str) -> None:
        """Check the backend once, and read its load report."""

    def check_connect(self, backend: str, timeout_us: int) -> None:
        """Open a new connection to the backend and close it.

        `Liveness.on_connect_checked` is called with whether it was established within the timeout.
        """


class EndpointWatcher(Protocol):
    """Watches the endpoint list; it calls the core's `on_endpoint_list` and `on_endpoint_list_lost`."""

    def watch(self) -> None:
        """Start to watch for changes since the newest known list."""

    def read_pending(self) -> None:
        """Read and apply the updates that have arrived but have not been read."""


class DecisionModule(Protocol):
    """The decision module, as the core uses it."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event and return the actions to execute."""

    def count_unavailable(self, now_us: int) -> int:
        """Return how many listed backends get no new requests now, or get them only if no other is available."""
