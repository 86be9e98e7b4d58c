"""The form in which a standing visit is described to the next process: versioned, bounded, checked. No I/O."""

from __future__ import annotations

import base64
import json
import math
from dataclasses import dataclass
from typing import Any

from gradefront.net.lines import MAX_LINE
from milletdeal.interface import RequestClass

VERSION = 1
LONGEST = 24_576  # bytes of one description: two unfinished lines and the rest fit many times over
OLDEST_US = 60_000_000  # times further back than this make no sense: silence is noticed long before


class BadForm(Exception):
    """A description that makes no sense; its text names the field."""


@dataclass(frozen=True)
class Left:
    """One standing visit, but for its two sockets. Times are Unix time in microseconds."""

    id: str  # of the client's connection
    klass: str
    rules: dict[str, Any]  # under which it came, as `ruled` gives them
    key: str
    group: str
    tenant: int
    box: str
    load: float  # us of work a second, as last told; 0: not told
    heard_us: int
    asked_us: tuple[int, ...]  # messages that await a reply
    from_carer: bytes  # the client's, of a line that has no end yet; a field of the form, so the name stays
    from_box: bytes


#: The field of `Left` that each stored name stands for.
STORED_NAMES = {
    "id": "id",
    "klass": "klass",
    "rules": "rules",
    "key": "key",
    "group": "group",
    "tenant": "tenant",
    "box": "box",
    "load": "load",
    "heard_us": "heard_us",
    "asked_us": "asked_us",
    "from_carer": "from_carer",
    "from_box": "from_box",
}


def ruled(rules: RequestClass) -> dict[str, Any]:
    """A class's rules under the stored names, which no renaming in the code may change."""
    return {
        "aim_us": rules.aim_us,
        "deadline_us": rules.deadline_us,
        "repeat": rules.repeat.value,
        "scope": rules.scope.value,
        "dedup_window_us": rules.dedup_window_us,
        "worth": rules.worth,
        "message_aim_us": rules.message_aim_us,
    }


def write(left: Left) -> bytes:
    """The description of one visit, under the stored names."""
    told = {
        "id": left.id,
        "klass": left.klass,
        "rules": left.rules,
        "key": left.key,
        "group": left.group,
        "tenant": left.tenant,
        "box": left.box,
        "load": left.load,
        "heard_us": left.heard_us,
        "asked_us": left.asked_us,
        "from_carer": base64.b64encode(left.from_carer).decode(),
        "from_box": base64.b64encode(left.from_box).decode(),
        "version": VERSION,
    }
    return json.dumps(told, separators=(",", ":")).encode()


def read(data: bytes, now_us: int) -> Left:
    """The visit described, or BadForm. Guards against a process of another version, and against half a message."""
    try:
        told = json.loads(data)
        version = told.pop("version")
        if version != VERSION:
            raise BadForm(f"version {version!r}, not {VERSION}")
        for name in ("from_carer", "from_box"):
            told[name] = base64.b64decode(told[name], validate=True)
            if len(told[name]) > MAX_LINE:
                raise BadForm(f"{name}: {len(told[name])} bytes")
        told["asked_us"] = tuple(told["asked_us"])
        if unknown := told.keys() - STORED_NAMES.keys():
            raise BadForm(f"unknown fields: {', '.join(sorted(unknown))}")
        left = Left(**{STORED_NAMES[name]: value for name, value in told.items()})
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise BadForm(f"not of the form: {error!r}") from None
    for name in ("id", "klass", "key", "group", "box"):
        if not isinstance(getattr(left, STORED_NAMES[name]), str):
            raise BadForm(f"{name}: not text")
    if not isinstance(left.rules, dict) or not isinstance(left.tenant, int):
        raise BadForm("rules, tenant: not of the form")
    if not isinstance(left.load, (int, float)) or not (math.isfinite(left.load) and left.load >= 0):
        raise BadForm(f"load: {left.load!r}")
    for at in (left.heard_us, *left.asked_us):
        if not isinstance(at, int) or not now_us - OLDEST_US <= at <= now_us + OLDEST_US:
            raise BadForm(f"a time that makes no sense: {at!r}")
    return left
