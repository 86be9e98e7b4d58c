"""A client's request for a connection, independent of the listener that received it."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.events import Request


@dataclass(slots=True, frozen=True)
class ConnectRequest:
    """A client's request for a connection.

    `request_line` is the listener's own data; the core passes it to the backend connector without reading it.
    """

    timeout_us: int
    request_line: object
    request_class: int = 0
    tenant: int = 0
    idempotency_key: str = ""
    sticky_group: str = ""
    load_hint: float = 0.0  # expected load in us of work per second; 0: unknown
    is_reconnect: bool = False
    is_retry: bool = False
    connection_id: str = ""  # the listener's name for the client's connection, for the log

    def as_event(self, request_id: int, expires_us: int) -> Request:
        """Return the decision module's event for this request.

        `expires_us` is the time until its deadline; a value below 1 becomes 1.
        """
        return Request(
            request_id=request_id,
            expires_us=max(1, expires_us),
            request_class=self.request_class,
            tenant=self.tenant,
            idempotency_key=self.idempotency_key,
            sticky_group=self.sticky_group,
            load_hint=self.load_hint,
            is_reconnect=self.is_reconnect,
            is_retry=self.is_retry,
        )
