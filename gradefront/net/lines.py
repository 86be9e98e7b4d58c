"""The platform's lines: the request in a client's first line, and the load report in a backend's response.

The wire's names end here.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from balancer.events import LoadReport
from gradefront.config import CLASS_NAME, Config
from gradefront.core.connect_request import ConnectRequest

MAX_LINE = 4096  # bytes, without the line's end
MAX_TIMEOUT_MS = 4_294_967  # its microseconds fit into 32 bits

# What clients send. Guards backends against all else: a line that no client sends voids what they do.
REQUEST_LINE = re.compile(rb"OPEN ([0-9a-f]{16}) ([0-9a-f]{16}) ([!-~]+)")
CONNECTION_ID = slice(5, 21)  # its place in a request line
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
OTHER_FIELD_VALUE = re.compile(r"[A-Za-z0-9._:-]{1,64}")  # a deployment may have further fields


class InvalidLineError(Exception):
    """A first line that no client sends. `request_class`: the class that it names and that is not in force, or ""."""

    def __init__(self, why: str, request_class: str = "") -> None:
        super().__init__(why)
        self.request_class = request_class


@dataclass(slots=True, frozen=True)
class RequestLine:
    """A client's request line, forwarded unchanged but for the remaining time."""

    head: bytes  # up to and including `d=`, or the whole line where it has none
    tail: bytes
    has_time: bool

    def with_time(self, remaining_us: int) -> bytes:
        """The line for a backend, with the time for which this relay will wait."""
        if not self.has_time:
            return self.head
        return self.head + str(max(1, remaining_us // 1000)).encode() + self.tail


def parse_request_line(line: bytes, config: Config) -> tuple[ConnectRequest, str]:
    """Read an `OPEN` line: the request, and the backend that served the client before the relay's start, or "".

    Raises InvalidLineError.
    """
    match = REQUEST_LINE.fullmatch(line)
    if not match:
        raise InvalidLineError("not an OPEN line")
    fields = _read_fields(match[3].decode("ascii"))
    required = ("c", "d", "g") if config.settings.sticky_groups else ("c", "d")
    if missing := [name for name in required if name not in fields]:
        raise InvalidLineError(f"no {missing[0]}")
    request_class = config.class_numbers.get(fields["c"])
    if request_class is None:
        raise InvalidLineError(f"class {fields['c']!r}", fields["c"])
    timeout_ms = int(fields["d"])
    if timeout_ms > MAX_TIMEOUT_MS:
        raise InvalidLineError(f"d={fields['d']}")
    tenant = config.tenants.index(fields["t"]) if fields.get("t") in config.tenants else 0
    request = ConnectRequest(
        timeout_ms * 1000,
        _split(line),
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


def _read_fields(text: str) -> dict[str, str]:
    """The fields of a request line by name. Raises InvalidLineError."""
    fields: dict[str, str] = {}
    for pair in text.split(","):
        name, equals, value = pair.partition("=")
        if not equals or name in fields or not FIELD_NAME.fullmatch(name):
            raise InvalidLineError("names and values that don't pair")
        if not FIELD_VALUES.get(name, OTHER_FIELD_VALUE).fullmatch(value):
            raise InvalidLineError(f"{name}={value[:80]}")
        fields[name] = value
    return fields


def parse_connection_id(line: bytes) -> bytes:
    """The connection id in a line that `parse_request_line` has read."""
    return line[CONNECTION_ID]


def _split(line: bytes) -> RequestLine:
    """Cut the line round the value of `d`, which stands first in the list or after a comma."""
    start = line.rfind(b" ") + 1
    for name in (b"d=", b",d="):
        at = start if name == b"d=" and line.startswith(name, start) else line.find(b",d=", start)
        if at >= 0 and line.startswith(name, at):
            value_at = at + len(name)
            end = line.find(b",", value_at)
            return RequestLine(line[:value_at], line[end:] if end >= 0 else b"", True)
    return RequestLine(line, b"", False)


def parse_load_report(line: bytes) -> LoadReport | None:
    """The load report after a response's verb, or None where it has no figure."""
    values: dict[str, float] = {}
    for pair in line.partition(b" ")[2].split(b","):
        name, equals, value = pair.strip().partition(b"=")
        if equals:
            try:
                values[name.decode("ascii", "replace")] = float(value)
            except ValueError:
                continue  # the other figures may be numbers
    if not values:
        return None
    return LoadReport(values.get("x0"), values.get("util", values.get("cpu_share")))
