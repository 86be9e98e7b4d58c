"""The stored form in which a connection is described to the next process: versioned, bounded, checked. No I/O.

Stored names and bytes are fixed: processes of different versions hand over to each other. The code's own names are
mapped to them here only.
"""

from __future__ import annotations

import base64
import json
import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from balancer.settings import RequestClass
from gradefront.net.lines import MAX_LINE

VERSION = 1
MAX_SNAPSHOT_BYTES = 24_576  # two unfinished lines and the rest fit many times over
MAX_TIME_DIFFERENCE_US = 60_000_000  # from now; silence is detected long before

#: The field of `ConnectionSnapshot` that each stored name stands for.
STORED_NAMES = {
    "id": "id",
    "klass": "request_class",
    "rules": "class_rules",
    "key": "idempotency_key",
    "group": "sticky_group",
    "tenant": "tenant",
    "box": "backend",
    "load": "load",
    "heard_us": "last_received_us",
    "asked_us": "awaiting_reply_us",
    "from_carer": "partial_client_line",
    "from_box": "partial_backend_line",
}
STORED_TEXTS = ("id", "klass", "key", "group", "box")
STORED_BYTES = ("from_carer", "from_box")  # in base64


class SnapshotError(Exception):
    """An invalid description. `field` is the stored name, "" where it is the whole description."""

    def __init__(self, text: str, field: str = "") -> None:
        super().__init__(text)
        self.field = field


@dataclass(frozen=True)
class ConnectionSnapshot:
    """One established connection, but for its two sockets. Times are Unix time in microseconds."""

    id: str  # of the client's connection
    request_class: str
    class_rules: dict[str, Any]  # those in force when it came, as `stored_rules` gives them
    idempotency_key: str
    sticky_group: str
    tenant: int
    backend: str
    load: float  # us of work a second, as last reported; 0: not reported
    last_received_us: int
    awaiting_reply_us: tuple[int, ...]  # when each message was sent that awaits a reply
    partial_client_line: (
        bytes  # what the client has sent of a line without an end; a field of the form, so the name stays
    )
    partial_backend_line: bytes  # the same of the backend


def stored_rules(rules: RequestClass) -> dict[str, Any]:
    """A class's rules under the stored names."""
    return {
        "aim_us": rules.latency_objective_us,
        "deadline_us": rules.deadline_us,
        "repeat": rules.idempotency.value,
        "scope": rules.key_scope.value,
        "dedup_window_us": rules.dedup_window_us,
        "worth": rules.priority_weight,
        "message_aim_us": rules.message_latency_objective_us,
    }


def encode_snapshot(snapshot: ConnectionSnapshot) -> bytes:
    """The description of one connection."""
    stored: dict[str, Any] = {name: getattr(snapshot, field) for name, field in STORED_NAMES.items()}
    for name in STORED_BYTES:
        stored[name] = base64.b64encode(stored[name]).decode()
    stored["version"] = VERSION
    return json.dumps(stored, separators=(",", ":")).encode()


def decode_snapshot(data: bytes, now_us: int) -> ConnectionSnapshot:
    """The connection described.

    Raises SnapshotError. Prevents a description by another version, or half of one, from becoming a connection.
    """
    try:
        snapshot = _parse(json.loads(data))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise SnapshotError(f"not of the form: {error!r}") from None
    _check_types(snapshot)
    for name, time_us in _times(snapshot):
        if (
            not isinstance(time_us, int)
            or not now_us - MAX_TIME_DIFFERENCE_US <= time_us <= now_us + MAX_TIME_DIFFERENCE_US
        ):
            raise SnapshotError(f"a time that makes no sense: {time_us!r}", name)
    return snapshot


def _parse(stored: Any) -> ConnectionSnapshot:
    """Raises SnapshotError, and ValueError, TypeError, KeyError or AttributeError if `stored` is no snapshot."""
    version = stored.pop("version")
    if version != VERSION:
        raise SnapshotError(f"version {version!r}, not {VERSION}", "version")
    for name in STORED_BYTES:
        stored[name] = base64.b64decode(stored[name], validate=True)
        if len(stored[name]) > MAX_LINE:
            raise SnapshotError(f"{name}: {len(stored[name])} bytes", name)
    stored["asked_us"] = tuple(stored["asked_us"])
    if unknown := stored.keys() - STORED_NAMES.keys():
        names = ", ".join(sorted(unknown))
        raise SnapshotError(f"unknown fields: {names}", names)
    return ConnectionSnapshot(**{STORED_NAMES[name]: value for name, value in stored.items()})


def _check_types(snapshot: ConnectionSnapshot) -> None:
    for name in STORED_TEXTS:
        if not isinstance(getattr(snapshot, STORED_NAMES[name]), str):
            raise SnapshotError(f"{name}: not text", name)
    if not isinstance(snapshot.class_rules, dict):
        raise SnapshotError("rules, tenant: not of the form", "rules")
    if not isinstance(snapshot.tenant, int):
        raise SnapshotError("rules, tenant: not of the form", "tenant")
    load = snapshot.load
    if not isinstance(load, (int, float)) or not (math.isfinite(load) and load >= 0):
        raise SnapshotError(f"load: {load!r}", "load")


def _times(snapshot: ConnectionSnapshot) -> Iterator[tuple[str, object]]:
    """Each time with its stored name."""
    yield "heard_us", snapshot.last_received_us
    for time_us in snapshot.awaiting_reply_us:
        yield "asked_us", time_us
