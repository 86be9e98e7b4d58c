"""Serialised snapshots of connections for the handover to another process: versioned, bounded, validated. No I/O.

The stored names and bytes are fixed, because processes of different program versions hand over to each other. Only
this module maps them to the names used in the code.
"""

from __future__ import annotations

import base64
import json
import math
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from balancer.settings import RequestClass
from gradefront.net.lines import MAX_LINE

VERSION = 1
MAX_SNAPSHOT_BYTES = 24_576  # over twice the size of two partial lines of the greatest length, in base64
MAX_PARTIAL_LINE = MAX_LINE + 1  # bytes: the longest line and the first half of its CRLF
MAX_CLOCK_DIFFERENCE_US = 60_000_000  # by which the sender's clock may be ahead; a time may be any time ago

#: Field of `ConnectionSnapshot` for each stored name.
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
    """An invalid snapshot.

    `field` is the stored name of the invalid field, or "" if the whole snapshot is invalid.
    """

    def __init__(self, text: str, field: str = "") -> None:
        super().__init__(text)
        self.field = field


@dataclass(frozen=True)
class ConnectionSnapshot:
    """One established connection without its two sockets. Times are Unix time in microseconds."""

    id: str  # connection id that the client sent
    request_class: str
    class_rules: dict[str, Any]  # the rules in force when the request was received, in the form of `stored_rules`
    idempotency_key: str
    sticky_group: str
    tenant: int
    backend: str
    load: float  # last load report: microseconds of work per second; 0: not reported
    last_received_us: int
    awaiting_reply_us: tuple[int, ...]  # send time of each message that awaits a reply
    partial_client_line: bytes  # incomplete line received from the client
    partial_backend_line: bytes  # incomplete line received from the backend

    def shifted(self, by_us: int) -> ConnectionSnapshot:
        """Return the snapshot with all times moved by `by_us`, to the clock of another process."""
        return replace(
            self,
            last_received_us=self.last_received_us + by_us,
            awaiting_reply_us=tuple(time_us + by_us for time_us in self.awaiting_reply_us),
        )


def stored_rules(rules: RequestClass) -> dict[str, Any]:
    """Return the rules of a request class under their stored names."""
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
    """Serialise the snapshot of one connection."""
    stored: dict[str, Any] = {name: getattr(snapshot, field) for name, field in STORED_NAMES.items()}
    for name in STORED_BYTES:
        stored[name] = base64.b64encode(stored[name]).decode()
    stored["version"] = VERSION
    return json.dumps(stored, separators=(",", ":")).encode()


def decode_snapshot(data: bytes, now_us: int) -> ConnectionSnapshot:
    """Parse and validate the snapshot of one connection. `now_us` is read from the clock of its times.

    Raises SnapshotError. Prevents a truncated snapshot, or one of another format version, from becoming a connection.
    """
    try:
        snapshot = _parse(json.loads(data))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise SnapshotError(f"malformed snapshot: {error!r}") from None
    _check_types(snapshot)
    for name, time_us in _times(snapshot):
        if type(time_us) is not int or not 0 <= time_us <= now_us + MAX_CLOCK_DIFFERENCE_US:
            raise SnapshotError(f"time out of range: {time_us!r}", name)
    return snapshot


def _parse(stored: Any) -> ConnectionSnapshot:
    """Convert a decoded JSON value to a snapshot.

    Raises SnapshotError, or ValueError, TypeError, KeyError or AttributeError if `stored` is not a snapshot at all.
    """
    version = stored.pop("version")
    if version != VERSION:
        raise SnapshotError(f"version is {version!r}, expected {VERSION}", "version")
    for name in STORED_BYTES:
        stored[name] = base64.b64decode(stored[name], validate=True)
        if len(stored[name]) > MAX_PARTIAL_LINE:
            raise SnapshotError(f"{name}: {len(stored[name])} bytes, longer than a line may be", name)
    stored["asked_us"] = tuple(stored["asked_us"])
    if unknown := stored.keys() - STORED_NAMES.keys():
        names = ", ".join(sorted(unknown))
        raise SnapshotError(f"unknown fields: {names}", names)
    return ConnectionSnapshot(**{STORED_NAMES[name]: value for name, value in stored.items()})


def _check_types(snapshot: ConnectionSnapshot) -> None:
    for name in STORED_TEXTS:
        if not isinstance(getattr(snapshot, STORED_NAMES[name]), str):
            raise SnapshotError(f"{name}: not a string", name)
    if not isinstance(snapshot.class_rules, dict):
        raise SnapshotError("rules: not an object", "rules")
    if not isinstance(snapshot.tenant, int):
        raise SnapshotError("tenant: not an integer", "tenant")
    load = snapshot.load
    if not isinstance(load, (int, float)) or not (math.isfinite(load) and load >= 0):
        raise SnapshotError(f"load: {load!r} is not a finite number of at least 0", "load")


def _times(snapshot: ConnectionSnapshot) -> Iterator[tuple[str, object]]:
    """Yield the stored name and value of each time."""
    yield "heard_us", snapshot.last_received_us
    for time_us in snapshot.awaiting_reply_us:
        yield "asked_us", time_us
