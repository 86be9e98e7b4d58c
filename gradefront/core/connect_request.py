"""What a client asks for when it connects."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ConnectRequest:
    """What a client asks for. `parcel` is the front's own; the core hands it on unread."""

    timeout_us: int
    request_line: object
    request_class: int = 0
    tenant: int = 0
    idempotency_key: str = ""
    sticky_group: str = ""
    load_hint: float = 0.0
    is_reconnect: bool = False
    is_retry: bool = False
    connection_id: str = ""  # for the log: the front's name for the client's connection
