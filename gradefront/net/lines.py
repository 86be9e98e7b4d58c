"""The platform's lines: what a client's first line asks, and the load report in a backend's answer."""

from __future__ import annotations

import re
from dataclasses import dataclass

from balancer.events import LoadReport
from gradefront.config import CLASS_NAME, Config
from gradefront.core.connect_request import ConnectRequest

MAX_LINE = 4096
MOST_MS = 4_294_967  # the longest time that a line tells: what fits into 32 bits of microseconds

# What usual devices send. Guards backends against all else: a line that no device sent voids what they do.
FIRST = re.compile(rb"OPEN ([0-9a-f]{16}) ([0-9a-f]{16}) ([!-~]+)")
FORMS = {
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
FURTHER = re.compile(r"[A-Za-z0-9._:-]{1,64}")  # the further figures that a deployment may have
NAME = re.compile(r"[A-Za-z][A-Za-z0-9_]{0,31}")


class BadLine(Exception):
    """A first line that no client sends."""

    def __init__(self, why: str, request_class: str = "") -> None:
        super().__init__(why)
        self.request_class = request_class  # the class that it names and that is not in force


@dataclass(slots=True, frozen=True)
class FirstLine:
    """A client's first line, kept so that it goes on unchanged but for the remaining time."""

    head: bytes  # up to and including `d=`, or the whole line where it has none
    tail: bytes
    has_time: bool

    def with_time(self, left_us: int) -> bytes:
        """The line for a backend, told how long this relay will wait."""
        if not self.has_time:
            return self.head
        return self.head + str(max(1, left_us // 1000)).encode() + self.tail


def read_first(line: bytes, config: Config) -> tuple[ConnectRequest, str]:
    """The call that an `OPEN` line makes, and the backend that it stood at before the run, if any."""
    first = FIRST.fullmatch(line)
    if not first:
        raise BadLine("not an OPEN line")
    named: dict[str, str] = {}
    for pair in first[3].decode("ascii").split(","):
        name, equals, value = pair.partition("=")
        if not equals or name in named or not NAME.fullmatch(name):
            raise BadLine("names and values that don't pair")
        if not FORMS.get(name, FURTHER).fullmatch(value):
            raise BadLine(f"{name}={value[:80]}")
        named[name] = value
    needed = ("c", "d", "g") if config.settings.sticky_groups else ("c", "d")
    if missing := [name for name in needed if name not in named]:
        raise BadLine(f"no {missing[0]}")
    request_class = config.class_numbers.get(named["c"])
    if request_class is None:
        raise BadLine(f"class {named['c']!r}", named["c"])
    if int(named["d"]) > MOST_MS:
        raise BadLine(f"d={named['d']}")
    tenant = config.tenants.index(named["t"]) if named.get("t") in config.tenants else 0
    call = ConnectRequest(
        int(named["d"]) * 1000,
        _split(line),
        request_class,
        tenant,
        first[2].decode("ascii"),
        named.get("g", ""),
        float(named.get("h", 0)),
        "again" in named,
        "r" in named,
        read_id(line).decode("ascii"),
    )
    return call, named.get("at", "")


def read_id(line: bytes) -> bytes:
    """The id in a first line that `read_first` has taken."""
    return line[5:21]


def _split(line: bytes) -> FirstLine:
    """Cut the line round the value of `d`, which stands first in the list or after a comma."""
    start = line.rfind(b" ") + 1
    for name in (b"d=", b",d="):
        at = start if name == b"d=" and line.startswith(name, start) else line.find(b",d=", start)
        if at >= 0 and line.startswith(name, at):
            begin = at + len(name)
            end = line.find(b",", begin)
            return FirstLine(line[:begin], line[end:] if end >= 0 else b"", True)
    return FirstLine(line, b"", False)


def read_report(line: bytes) -> LoadReport | None:
    """The load report after an answer's first word, by the names that the settings give its figures."""
    values: dict[str, float] = {}
    for pair in line.partition(b" ")[2].split(b","):
        name, equals, value = pair.strip().partition(b"=")
        if equals:
            try:
                values[name.decode("ascii", "replace")] = float(value)
            except ValueError:
                continue  # a figure that is no number says nothing; the others may
    if not values:
        return None
    return LoadReport(values.get("x0"), values.get("util", values.get("cpu_share")))
