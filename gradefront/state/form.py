"""The form in which a standing connection is described to the next process: versioned, bounded, checked. No I/O."""

from __future__ import annotations

import base64
import json
import math
from dataclasses import dataclass
from typing import Any

from balancer.settings import RequestClass
from gradefront.net.lines import MAX_LINE

VERSION = 1
LONGEST = 24_576  # bytes of one description: two unfinished lines and the rest fit many times over
OLDEST_US = 60_000_000  # times further back than this make no sense: silence is noticed long before


class BadForm(Exception):
    """A description that makes no sense; its text names the field."""


@dataclass(frozen=True)
class ConnectionSnapshot:
    """One standing connection, but for its two sockets. Times are Unix time in microseconds."""

    id: str  # of the client's connection
    request_class: str
    class_rules: dict[str, Any]  # under which it came, as `ruled` gives them
    idempotency_key: str
    sticky_group: str
    tenant: int
    backend: str
    load: float  # us of work a second, as last told; 0: not told
    last_received_us: int
    awaiting_reply_us: tuple[int, ...]  # messages that await a reply
    from_carer: bytes  # the client's, of a line that has no end yet; a field of the form, so the name stays
    from_box: bytes


#: The field of `Left` that each stored name stands for.
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
    "from_carer": "from_carer",
    "from_box": "from_box",
}


def stored_rules(rules: RequestClass) -> dict[str, Any]:
    """A class's rules under the stored names, which no renaming in the code may change."""
    return {
        "aim_us": rules.latency_objective_us,
        "deadline_us": rules.deadline_us,
        "repeat": rules.idempotency.value,
        "scope": rules.key_scope.value,
        "dedup_window_us": rules.dedup_window_us,
        "worth": rules.priority_weight,
        "message_aim_us": rules.message_latency_objective_us,
    }


def write(left: ConnectionSnapshot) -> bytes:
    """The description of one connection, under the stored names."""
    told = {
        "id": left.id,
        "klass": left.request_class,
        "rules": left.class_rules,
        "key": left.idempotency_key,
        "group": left.sticky_group,
        "tenant": left.tenant,
        "box": left.backend,
        "load": left.load,
        "heard_us": left.last_received_us,
        "asked_us": left.awaiting_reply_us,
        "from_carer": base64.b64encode(left.from_carer).decode(),
        "from_box": base64.b64encode(left.from_box).decode(),
        "version": VERSION,
    }
    return json.dumps(told, separators=(",", ":")).encode()


def read(data: bytes, now_us: int) -> ConnectionSnapshot:
    """The connection described, or BadForm. Guards against a process of another version, and against half a
    message."""
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
        left = ConnectionSnapshot(**{STORED_NAMES[name]: value for name, value in told.items()})
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise BadForm(f"not of the form: {error!r}") from None
    for name in ("id", "klass", "key", "group", "box"):
        if not isinstance(getattr(left, STORED_NAMES[name]), str):
            raise BadForm(f"{name}: not text")
    if not isinstance(left.class_rules, dict) or not isinstance(left.tenant, int):
        raise BadForm("rules, tenant: not of the form")
    if not isinstance(left.load, (int, float)) or not (math.isfinite(left.load) and left.load >= 0):
        raise BadForm(f"load: {left.load!r}")
    for at in (left.last_received_us, *left.awaiting_reply_us):
        if not isinstance(at, int) or not now_us - OLDEST_US <= at <= now_us + OLDEST_US:
            raise BadForm(f"a time that makes no sense: {at!r}")
    return left
