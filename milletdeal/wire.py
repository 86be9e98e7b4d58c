"""Translation between the simulator's wire and the interface. No decisions are made here."""

from __future__ import annotations

import math
from typing import Any

from . import interface as i

Message = dict[str, Any]


class WireError(Exception):
    """A message that the wire does not allow; its text names the message and the field."""


def _need(message: Message, name: str, kind: type, within: str) -> Any:
    value = message.get(name)
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        return value
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        what = "is missing" if value is None else f"is not of type {kind.__name__}"
        raise WireError(f"{within}: field '{name}' {what}")
    return value


def _number(value: object, default: float = 0.0) -> float:
    good = isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)
    return float(value) if good else default  # type: ignore[arg-type]


REPEATS = {r.value: r for r in i.Repeat}
SCOPES = {s.value: s for s in i.Scope}
STATES = {
    "healthy": i.ServerState.READY,
    "cordoned": i.ServerState.DRAINING,
    "deregistered": i.ServerState.GONE,
}
WEIGHTS = {
    "silent": i.WeightKind.NONE,
    "nominal": i.WeightKind.NOMINAL,
    "rough": i.WeightKind.ROUGH,
    "live": i.WeightKind.LIVE,
}
REPORTS = {"piggyback": i.Reports.OUTCOMES, "pull": i.Reports.PROBES, "silent": i.Reports.NONE}
RESULTS = {
    "success": i.Result.OK,
    "failure": i.Result.ERROR,
    "overloaded": i.Result.FULL,
    "timed_out": i.Result.TIMEOUT,
    "unreachable": i.Result.CONNECT_FAILED,
    "broken": i.Result.RESET,
    "withdrawn": i.Result.CANCELLED,
    "void": i.Result.MOOT,
}


def settings(info: Message) -> tuple[i.Settings, tuple[str, ...]]:
    """The settings and the names of the report's figures, from the first message's `bootInfo`."""
    grades = _need(info, "grades", list, "bootInfo")
    family: Message = info.get("familyInfo") or {}
    allow: Message = info.get("permissions") or {}
    rules: Message = info.get("rules") or {}
    report: Message = info.get("report") or {}
    aims = family.get("messageAimUs") or []
    quotas = family.get("tenantQuotaConnections") or []
    names = tuple(str(n) for n in report.get("names") or [])
    classes = tuple(
        i.RequestClass(
            aim_us=int(_need(g, "aimUs", float, "grades")),
            deadline_us=int(_need(g, "deadlineUs", float, "grades")),
            repeat=REPEATS.get(g.get("semantics", ""), i.Repeat.UNSAFE),
            scope=SCOPES.get(g.get("keyScope", ""), i.Scope.CELL),
            dedup_window_us=int(g.get("dedupWindowUs", 0)),
            worth=_number(g.get("points"), 1.0),
            message_aim_us=int(aims[n]) if n < len(aims) else 0,
        )
        for n, g in enumerate(grades)
    )
    tenants = tuple(
        i.Tenant(_number(p.get("share")), _number(quotas[n]) if n < len(quotas) else 0.0)
        for n, p in enumerate(info.get("parties") or [])
    )
    told = i.Settings(
        classes=classes,
        tenants=tenants,
        zone=int(info.get("zone", 0)),
        fleet_size=int(info.get("fleetSize", 1)),
        position=int(info["position"]) if "position" in info else None,
        ask_for_list=info.get("discovery") == "ask",
        ask_within_us=int(rules.get("askWithinUs", 10_000_000)),
        may_probe=bool(allow.get("probes")),
        reports=REPORTS.get(report.get("how", ""), i.Reports.NONE),
        reports_load="x0" in names,
        reports_util="cpu_share" in names,
        weight_kind=WEIGHTS.get(info.get("weights", ""), i.WeightKind.NONE),
        max_attempts=int(allow.get("maxAttempts", 5)),
        second_copies=bool(allow.get("secondCopies")),
        connect_timeout_us=int(allow.get("connectTimeoutUs", 250_000)),
        retry_after=bool(allow.get("retryAfter")),
        max_retry_after_us=int(allow.get("maxRetryAfterUs", 0)),
        over_share_worth=_number(info.get("overShareWorth"), 1.0),
        cross_zone=_number((info.get("tariffs") or {}).get("crossZone")),
        worth_by_work=info.get("worthBy") == "work",
        passes_packets=family.get("mode") == "pass",
        groups=bool(family.get("groups")),
        resolution_us=int(info.get("resolutionUs", 1_000)),
        drain_grace_us=int(rules.get("drainGraceUs", 0)),
        start_capacity=_number(rules.get("startCapacity"), 1.0),
        cold_us=int(rules.get("coldUs", 0)),
        tip_multiple=_number(rules.get("tipMultiple"), 3.0),
        fall_us=int(rules.get("fallUs", 1_000_000)),
    )
    return told, names


def _report(row: object, names: tuple[str, ...]) -> i.LoadReport | None:
    """Values by name; a row of another length than announced says nothing that can be trusted."""
    if not isinstance(row, list) or len(row) != len(names):
        return None
    value = dict(zip(names, row, strict=True))

    def figure(name: str) -> float | None:
        return _number(value[name], math.nan) if name in value else None

    return i.LoadReport(figure("x0"), figure("cpu_share"))


def _entry(e: Message) -> i.ServerEntry:
    return i.ServerEntry(
        _need(e, "host", str, "View"),
        STATES.get(e.get("mode", ""), i.ServerState.UNKNOWN),
        int(e.get("zone", 0)),
        int(e.get("bay", 0)),
        int(e.get("familyType", 0)),
        _number(e.get("nominal"), 1.0),
        int(e.get("onlineSinceUs", 0)),
    )


def _request(m: Message, t: str) -> i.Request:
    return i.Request(
        _need(m, "corr", int, t),
        _need(m, "expiresInUs", int, t),
        _need(m, "profile", int, t),
        int(m.get("org", 0)),
        str(m.get("key", "")),
        str(m.get("group", "")),
        _number(m.get("estimateUs")),
        bool(m.get("midFlow")),
        bool(m.get("cameBack")),
        bool(m.get("isRetry")),
    )


def event(m: Message, names: tuple[str, ...]) -> i.Event | None:
    """One event for the module, or None where the message carries nothing for it."""
    t = m["type"]
    if t == "Accept":
        return _request(m, t)
    if t == "Ring":
        return i.TimerFired(_need(m, "keyBack", int, t))
    if t == "StatusBack":
        return i.ProbeResult(
            _need(m, "host", str, t),
            _result(m, t),
            int(m.get("tookUs", 0)),
            _report(m.get("healthInfo"), names),
        )
    if t == "UnderWay":
        return i.Established(
            _need(m, "corr", int, t),
            _need(m, "go", int, t),
            _need(m, "host", str, t),
            int(m.get("tookUs", 0)),
        )
    if t == "Settled":
        return i.Outcome(
            _need(m, "corr", int, t),
            _need(m, "go", int, t),
            _need(m, "host", str, t),
            _result(m, t),
            bool(m.get("doneFlag")),
            int(m.get("tookUs", 0)),
            _report(m.get("healthInfo"), names),
        )
    if t == "Change":
        amount = _number(_need(m, "amount", float, t))
        request, server = _need(m, "corr", int, t), _need(m, "host", str, t)
        what = _need(m, "what", int, t)
        if what == 1:
            return i.LoadNote(request, server, amount)
        return i.DelayNote(request, server, amount * 1000) if what == 2 else None
    if t == "Expired":
        return i.ClientGone(_need(m, "corr", int, t))
    if t == "View":
        how = _need(m, "how", str, t)
        if how == "error":
            return i.ListError()
        entries = tuple(_entry(e) for e in m.get("elements") or [])
        return i.ListUpdate(entries, how != "diff")
    if t == "Handover":
        return i.OpenConnection(_request(m, t), _need(m, "host", str, t))
    if t == "Peer":
        return None
    raise WireError(f"unknown message type '{t}'")


def _result(m: Message, t: str) -> i.Result:
    code = _need(m, "rc", str, t)
    if code not in RESULTS:
        raise WireError(f"{t}: field 'rc' has the unknown value '{code}'")
    return RESULTS[code]


def action(a: i.Action, node: int) -> Message:
    """The wire's message for an action."""
    m: Message
    match a:
        case i.Start():
            m = {"type": "Deliver", "corr": a.request, "host": a.server, "allowForUs": a.timeout_us}
        case i.Refuse():
            m = {"type": "Busy", "corr": a.request}
            if a.retry_after_us:
                m["pauseUs"] = a.retry_after_us
        case i.Fail():
            m = {"type": "Error", "corr": a.request}
        case i.Move():
            m = {"type": "Move", "corr": a.request}
        case i.Probe():
            m = {"type": "HealthCheck", "host": a.server}
        case i.SetTimer():
            m = {"type": "WakeAt", "spanUs": a.delay_us, "keyBack": a.timer}
        case i.WatchList():
            m = {"type": "Listen", "on": True}
        case i.Log():
            m = {"type": "JournalLine", "text": a.text}
    m["nodeId"] = node
    return m
