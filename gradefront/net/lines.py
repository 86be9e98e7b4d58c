"""Parser of the platform's lines: a client's request line, and the load report in a backend's response.

Only this module knows the names of the lines' fields.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass

from balancer.events import LoadReport
from gradefront.config import CLASS_NAME, Config
from gradefront.core.connect_request import ConnectRequest

MAX_LINE = 4096  # bytes, without the CRLF
MAX_FIELDS = 64  # in a request line; each of them costs, and the platform defines a dozen
MAX_TIMEOUT_MS = 4_294_967  # in microseconds it fits into 32 bits

# Syntax of the lines that clients send. Anything else is rejected: if it were forwarded, it would invalidate the
# backends' work.
REQUEST_LINE = re.compile(rb"OPEN ([0-9a-f]{16}) ([0-9a-f]{16}) ([!-~]+)")
CONNECTION_ID = slice(5, 21)  # position in a request line
FIELD_NAME = re.compile(r"[A-Za-z][A-Za-z0-9_]{0,31}")
FIELD_VALUES = {
    name: re.compile(form)
    for name, form in {
        "c": CLASS_NAME.pattern,
        "d": r"[1-9][0-9]{0,6}",
        "g": r"[0-9a-f]{16}",
        "h": r"[0-9]{1,15}(\.[0-9]{1,15})?",
        "at": r"[A-Za-z0-9._-]{1,64}",
        "r": "1",
        "again": "1",
    }.items()
}
OTHER_FIELD_VALUE = re.compile(r"[A-Za-z0-9._:-]{1,64}")  # deployments may define further fields


class InvalidLineError(Exception):
    """A request line that is invalid. `request_class` is the unknown class that it names, or ""."""

    def __init__(self, reason: str, request_class: str = "") -> None:
        super().__init__(reason)
        self.request_class = request_class


@dataclass(slots=True, frozen=True)
class RequestLine:
    """A client's request line, which is forwarded unchanged except for the remaining time in the field `d`."""

    head: bytes  # up to and including `d=`, or the whole line if that field is missing
    tail: bytes
    has_time: bool

    def with_time(self, remaining_us: int) -> bytes:
        """Return the line for a backend, with the time in ms for which this relay still waits for its response."""
        if not self.has_time:
            return self.head
        return self.head + str(max(1, remaining_us // 1000)).encode() + self.tail


def parse_request_line(line: bytes, config: Config) -> tuple[ConnectRequest, str]:
    """Parse an `OPEN` line.

    Returns the request and the backend that served the client before the relay's start, or "". Raises
    InvalidLineError.
    """
    match = REQUEST_LINE.fullmatch(line)
    if not match:
        raise InvalidLineError("not an OPEN line")
    fields = _parse_fields(match[3].decode("ascii"))
    required = ("c", "d", "g") if config.settings.sticky_groups else ("c", "d")
    if missing := [name for name in required if name not in fields]:
        raise InvalidLineError(f"request line has no field {missing[0]}")
    request_class = config.class_numbers.get(fields["c"])
    if request_class is None:
        raise InvalidLineError(f"unknown request class {fields['c']!r}", fields["c"])
    timeout_ms = int(fields["d"])
    if timeout_ms > MAX_TIMEOUT_MS:
        raise InvalidLineError(f"timeout out of range: d={fields['d']}")
    tenant = config.tenants.index(fields["t"]) if fields.get("t") in config.tenants else 0
    request = ConnectRequest(
        timeout_ms * 1000,
        _split_at_timeout(line),
        request_class,
        tenant,
        match[2].decode("ascii"),
        fields.get("g", ""),
        float(fields.get("h", 0)),
        "again" in fields,
        "r" in fields,
        parse_connection_id(line).decode("ascii"),
    )
    return request, fields.get("at", "")


def _parse_fields(text: str) -> dict[str, str]:
    """Parse the fields of a request line by name. Raises InvalidLineError."""
    if text.count(",") >= MAX_FIELDS:
        raise InvalidLineError(f"request line has more than {MAX_FIELDS} fields")
    fields: dict[str, str] = {}
    for pair in text.split(","):
        name, equals, value = pair.partition("=")
        if not equals or name in fields or not FIELD_NAME.fullmatch(name):
            raise InvalidLineError("malformed or repeated field in the request line")
        if not FIELD_VALUES.get(name, OTHER_FIELD_VALUE).fullmatch(value):
            raise InvalidLineError(f"invalid value: {name}={value[:80]}")
        fields[name] = value
    return fields


def parse_connection_id(line: bytes) -> bytes:
    """Return the connection id of a line that `parse_request_line` has accepted."""
    return line[CONNECTION_ID]


def _split_at_timeout(line: bytes) -> RequestLine:
    """Split the line around the value of the field `d`, which is the first field or follows a comma."""
    start = line.rfind(b" ") + 1
    for name in (b"d=", b",d="):
        name_at = start if name == b"d=" and line.startswith(name, start) else line.find(b",d=", start)
        if name_at >= 0 and line.startswith(name, name_at):
            value_at = name_at + len(name)
            end = line.find(b",", value_at)
            return RequestLine(line[:value_at], line[end:] if end >= 0 else b"", True)
    return RequestLine(line, b"", False)


def parse_load(line: bytes) -> float | None:
    """Return the number in a `LOAD` line; None unless it is finite and at least 0."""
    try:
        load = float(line.partition(b" ")[2])
    except ValueError:
        return None
    return load if math.isfinite(load) and load >= 0 else None


def parse_load_report(line: bytes) -> LoadReport | None:
    """Parse the load report after the verb of a response. Returns None if it contains no number."""
    values: dict[str, float] = {}
    for pair in line.partition(b" ")[2].split(b","):
        name, equals, value = pair.strip().partition(b"=")
        if equals:
            try:
                values[name.decode("ascii", "replace")] = float(value)
            except ValueError:
                continue  # other values may still be numbers
    if not values:
        return None
    return LoadReport(values.get("x0"), values.get("util", values.get("cpu_share")))
