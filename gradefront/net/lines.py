"""The platform's lines: what a carer's first line asks, and the load report in a push box's answer."""

from __future__ import annotations

import math
from dataclasses import dataclass

from gradefront.config import Config
from gradefront.core.ports import Call
from milletdeal import interface as i

MAX_LINE = 4096


class BadLine(Exception):
    """A first line that no carer's device sends."""


@dataclass(slots=True, frozen=True)
class FirstLine:
    """A carer's first line, kept so that it goes on unchanged but for the remaining time."""

    head: bytes  # up to and including `d=`, or the whole line where it has none
    tail: bytes
    has_time: bool

    def with_time(self, left_us: int) -> bytes:
        """The line for a push box, told how long this relay will wait."""
        if not self.has_time:
            return self.head
        return self.head + str(max(1, left_us // 1000)).encode() + self.tail


def _number(text: str, what: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise BadLine(f"{what}={text}") from None
    if not math.isfinite(value) or value < 0:
        raise BadLine(f"{what}={text}")
    return value


def read_first(line: bytes, config: Config) -> tuple[Call, str]:
    """The call that an `OPEN` line makes, and the push box that it stood at before the run, if any."""
    words = line.split(b" ")
    if len(words) not in (3, 4) or words[0] != b"OPEN" or not all(words):
        raise BadLine("not an OPEN line")
    listed = words[3] if len(words) == 4 else b""
    try:
        pairs = [p.split("=", 1) for p in listed.decode("ascii").split(",") if p]
    except UnicodeDecodeError:
        raise BadLine("names and values are not ASCII") from None
    if any(len(p) != 2 for p in pairs):
        raise BadLine("a name without a value")
    named = {name: value for name, value in pairs}
    if named.get("c") not in config.class_names:
        raise BadLine(f"class {named.get('c')!r}")
    klass = config.class_names.index(named["c"])
    tenant = config.tenants.index(named["t"]) if named.get("t") in config.tenants else 0
    deadline_us = config.settings.classes[klass].deadline_us
    patience = _number(named["d"], "d") * 1000 if "d" in named else deadline_us
    # The hint's unit is the settings' own; a figure that is no number is no reason to turn a carer away.
    hint = _number(named["h"], "h") if "h" in named else 0.0
    call = Call(int(min(patience, 3.6e9)), _split(line), klass, tenant,
                words[2].decode("ascii", "replace"), named.get("g", ""), hint,
                named.get("again") == "1", named.get("r") == "1")
    return call, named.get("at", "")


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


def read_report(line: bytes) -> i.LoadReport | None:
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
    return i.LoadReport(values.get("x0"), values.get("util", values.get("cpu_share")))
