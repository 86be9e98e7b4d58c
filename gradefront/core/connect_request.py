"""What a client asks for when it connects."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.events import Request


@dataclass(slots=True, frozen=True)
class ConnectRequest:
    """What a client asks for. `request_line` belongs to the listener; the core passes it on unread."""

    timeout_us: int
    request_line: object
    request_class: int = 0
    tenant: int = 0
    idempotency_key: str = ""
    sticky_group: str = ""
    load_hint: float = 0.0  # us of work a second; 0: unknown
    is_reconnect: bool = False
    is_retry: bool = False
    connection_id: str = ""  # for the log: the listener's name for the client's connection

    def as_event(self, request_id: int, expires_us: int) -> Request:
        """The decision module's event for it; `expires_us` counts from now, and is at least 1."""
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
