"""Translation between the simulator's messages and the balancer's events and actions.

It also parses settings, for the simulator and for `gradefront/config.py`. The names of the wire protocol and
the published names of settings are translated only here; `simulator_host.py` reads the fields that delimit
batches and identify nodes, and `gradefront/config.py` names the settings that it checks. No decisions are
made here.
"""

from __future__ import annotations

import math
from typing import Any

from .actions import (
    Action,
    CheckHealth,
    Fail,
    Migrate,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpointList,
    WriteLog,
)
from .events import (
    AttemptEnded,
    AttemptResult,
    BackendState,
    ClientDisconnected,
    ConnectionAdopted,
    ConnectionEstablished,
    ConnectionLoadReport,
    Endpoint,
    EndpointListError,
    EndpointListUpdate,
    Event,
    HealthCheckResult,
    LoadReport,
    MessageLatencyReport,
    Request,
    TimerFired,
)
from .settings import (
    Idempotency,
    InvalidSettingError,
    KeyScope,
    LoadReportSource,
    RequestClass,
    Settings,
    Tenant,
    WeightKind,
)

Message = dict[str, Any]


class WireError(Exception):
    """An invalid message; the error text names the message type and the field."""


def _required(message: Message, name: str, kind: type, message_type: str) -> Any:
    value = message.get(name)
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        return value
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        problem = "is missing" if value is None else f"is not of type {kind.__name__}"
        raise WireError(f"{message_type}: field '{name}' {problem}")
    return value


def _number(value: object, default: float = 0.0) -> float:
    is_valid = isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)
    return float(value) if is_valid else default  # type: ignore[arg-type]


IDEMPOTENCY = {r.value: r for r in Idempotency}
KEY_SCOPES = {s.value: s for s in KeyScope}
BACKEND_STATES = {
    "healthy": BackendState.READY,
    "cordoned": BackendState.DRAINING,
    "deregistered": BackendState.GONE,
}
WEIGHT_KINDS = {
    "silent": WeightKind.NONE,
    "nominal": WeightKind.NOMINAL,
    "rough": WeightKind.ROUGH,
    "live": WeightKind.LIVE,
}
LOAD_REPORT_SOURCES = {
    "piggyback": LoadReportSource.ATTEMPT_RESULTS,
    "pull": LoadReportSource.HEALTH_CHECKS,
    "silent": LoadReportSource.NONE,
}
ATTEMPT_RESULTS = {
    "success": AttemptResult.OK,
    "failure": AttemptResult.ERROR,
    "overloaded": AttemptResult.OVERLOADED,
    "timed_out": AttemptResult.TIMEOUT,
    "unreachable": AttemptResult.CONNECT_FAILED,
    "broken": AttemptResult.RESET,
    "withdrawn": AttemptResult.CANCELLED,
    "void": AttemptResult.NOT_SENT,
}


#: Values of a measurement's field `what`: work in microseconds per second, message latency in milliseconds.
LOAD_MEASUREMENT, LATENCY_MEASUREMENT = 1, 2

#: Published names of fields, as operators see them in errors, where they differ from the names in the code.
PUBLISHED_FIELDS = {
    "classes.latency_objective_us": "classes.aim_us",
    "classes.message_latency_objective_us": "classes.message_aim_us",
    "classes.priority_weight": "classes.worth",
    "timer_resolution_us": "resolution_us",
    "poll_within_us": "ask_within_us",
    "overload_window_us": "fall_us",
    "warm_up_us": "cold_us",
    "overload_multiple": "tip_multiple",
    "over_quota_weight": "over_share_worth",
    "cross_zone_cost": "cross_zone",
    "initial_capacity": "start_capacity",
}


def settings(info: Message) -> tuple[Settings, tuple[str, ...]]:
    """Parse a first message's `bootInfo`. Return the settings and the names of the figures in load reports.

    Raises WireError, or ValueError with the published name of a field whose value is not valid.
    """
    try:
        return _settings(info)
    except InvalidSettingError as error:
        raise ValueError(f"{PUBLISHED_FIELDS.get(error.field, error.field)}: {error.problem}") from None


def _classes(grades: list[Message], family: Message) -> tuple[RequestClass, ...]:
    """Return the request classes, in the order of their numbers."""
    objectives_us = family.get("messageAimUs") or []
    return tuple(
        RequestClass(
            latency_objective_us=int(_required(g, "aimUs", float, "grades")),
            deadline_us=int(_required(g, "deadlineUs", float, "grades")),
            idempotency=IDEMPOTENCY.get(g.get("semantics", ""), Idempotency.NOT_IDEMPOTENT),
            key_scope=KEY_SCOPES.get(g.get("keyScope", ""), KeyScope.CELL),
            dedup_window_us=int(g.get("dedupWindowUs", 0)),
            priority_weight=_number(g.get("points"), 1.0),
            message_latency_objective_us=int(objectives_us[n]) if n < len(objectives_us) else 0,
        )
        for n, g in enumerate(grades)
    )


def _settings(info: Message) -> tuple[Settings, tuple[str, ...]]:
    grades = _required(info, "grades", list, "bootInfo")
    family: Message = info.get("familyInfo") or {}
    allow: Message = info.get("permissions") or {}
    rules: Message = info.get("rules") or {}
    report: Message = info.get("report") or {}
    quotas = family.get("tenantQuotaConnections") or []
    names = tuple(str(n) for n in report.get("names") or [])
    classes = _classes(grades, family)
    tenants = tuple(
        Tenant(_number(p.get("share")), _number(quotas[n]) if n < len(quotas) else 0.0)
        for n, p in enumerate(info.get("parties") or [])
    )
    parsed = Settings(
        classes=classes,
        tenants=tenants,
        zone=int(info.get("zone", 0)),
        fleet_size=int(info.get("fleetSize", 1)),
        position=int(info["position"]) if "position" in info else None,
        polls_endpoint_list=info.get("discovery") == "ask",
        poll_within_us=int(rules.get("askWithinUs", 10_000_000)),
        may_check_health=bool(allow.get("probes")),
        load_report_source=LOAD_REPORT_SOURCES.get(report.get("how", ""), LoadReportSource.NONE),
        reports_load="x0" in names,
        reports_utilization="cpu_share" in names,
        weight_kind=WEIGHT_KINDS.get(info.get("weights", ""), WeightKind.NONE),
        max_attempts=int(allow.get("maxAttempts", 5)),
        may_hedge=bool(allow.get("secondCopies")),
        connect_timeout_us=int(allow.get("connectTimeoutUs", 250_000)),
        retry_after=bool(allow.get("retryAfter")),
        max_retry_after_us=int(allow.get("maxRetryAfterUs", 0)),
        over_quota_weight=_number(info.get("overShareWorth"), 1.0),
        cross_zone_cost=_number((info.get("tariffs") or {}).get("crossZone")),
        weight_by_work=info.get("worthBy") == "work",
        passes_packets=family.get("mode") == "pass",
        sticky_groups=bool(family.get("groups")),
        timer_resolution_us=int(info.get("resolutionUs", 1_000)),
        drain_grace_us=int(rules.get("drainGraceUs", 0)),
        initial_capacity=_number(rules.get("startCapacity"), 1.0),
        warm_up_us=int(rules.get("coldUs", 0)),
        overload_multiple=_number(rules.get("tipMultiple"), 3.0),
        overload_window_us=int(rules.get("fallUs", 1_000_000)),
    )
    return parsed, names


def _load_report(row: object, names: tuple[str, ...]) -> LoadReport | None:
    """Return a load report, or None if `row` is missing or has another length than announced."""
    if not isinstance(row, list) or len(row) != len(names):
        return None
    values = dict(zip(names, row, strict=True))

    def value_of(name: str) -> float | None:
        return _number(values[name], math.nan) if name in values else None

    return LoadReport(value_of("x0"), value_of("cpu_share"))


def _entry(e: Message) -> Endpoint:
    return Endpoint(
        _required(e, "host", str, "View"),
        BACKEND_STATES.get(e.get("mode", ""), BackendState.UNKNOWN),
        int(e.get("zone", 0)),
        int(e.get("bay", 0)),
        int(e.get("familyType", 0)),
        _number(e.get("nominal"), 1.0),
        int(e.get("onlineSinceUs", 0)),
    )


def _request(m: Message, t: str) -> Request:
    return Request(
        _required(m, "corr", int, t),
        _required(m, "expiresInUs", int, t),
        _required(m, "profile", int, t),
        int(m.get("org", 0)),
        str(m.get("key", "")),
        str(m.get("group", "")),
        _number(m.get("estimateUs")),
        bool(m.get("midFlow")),
        bool(m.get("cameBack")),
        bool(m.get("isRetry")),
    )


def _established(m: Message, t: str) -> ConnectionEstablished:
    return ConnectionEstablished(
        _required(m, "corr", int, t),
        _required(m, "go", int, t),
        _required(m, "host", str, t),
        int(m.get("tookUs", 0)),
    )


def _attempt_ended(m: Message, t: str, names: tuple[str, ...]) -> AttemptEnded:
    return AttemptEnded(
        _required(m, "corr", int, t),
        _required(m, "go", int, t),
        _required(m, "host", str, t),
        _result(m, t),
        bool(m.get("doneFlag")),
        int(m.get("tookUs", 0)),
        _load_report(m.get("healthInfo"), names),
    )


def _health_check_result(m: Message, t: str, names: tuple[str, ...]) -> HealthCheckResult:
    return HealthCheckResult(
        _required(m, "host", str, t),
        _result(m, t),
        int(m.get("tookUs", 0)),
        _load_report(m.get("healthInfo"), names),
    )


def _measurement(m: Message, t: str) -> ConnectionLoadReport | MessageLatencyReport | None:
    amount = _number(_required(m, "amount", float, t))
    request, backend = _required(m, "corr", int, t), _required(m, "host", str, t)
    what = _required(m, "what", int, t)
    if what == LOAD_MEASUREMENT:
        return ConnectionLoadReport(request, backend, amount)
    return MessageLatencyReport(request, backend, amount * 1000) if what == LATENCY_MEASUREMENT else None


def _endpoint_list(m: Message, t: str) -> EndpointListError | EndpointListUpdate:
    how = _required(m, "how", str, t)
    if how == "error":
        return EndpointListError()
    entries = tuple(_entry(e) for e in m.get("elements") or [])
    return EndpointListUpdate(entries, how != "diff")


def event(m: Message, names: tuple[str, ...]) -> Event | None:  # noqa: C901 - one branch a message
    """Translate a message to an event, or None for a message that the balancer does not use.

    `names` are those of the figures in load reports. Raises WireError for an unknown message type or an
    invalid field.
    """
    match m["type"]:
        case "Accept" as t:
            return _request(m, t)
        case "Ring" as t:
            return TimerFired(_required(m, "keyBack", int, t))
        case "StatusBack" as t:
            return _health_check_result(m, t, names)
        case "UnderWay" as t:
            return _established(m, t)
        case "Settled" as t:
            return _attempt_ended(m, t, names)
        case "Change" as t:
            return _measurement(m, t)
        case "Expired" as t:
            return ClientDisconnected(_required(m, "corr", int, t))
        case "View" as t:
            return _endpoint_list(m, t)
        case "Handover" as t:
            return ConnectionAdopted(_request(m, t), _required(m, "host", str, t))
        case "Peer":
            return None
        case unknown:
            raise WireError(f"unknown message type '{unknown}'")


def _result(m: Message, t: str) -> AttemptResult:
    code = _required(m, "rc", str, t)
    if code not in ATTEMPT_RESULTS:
        raise WireError(f"{t}: field 'rc' has the unknown value '{code}'")
    return ATTEMPT_RESULTS[code]


def action(a: Action, node: int) -> Message:
    """Return the wire protocol's message for an action."""
    m: Message
    match a:
        case StartAttempt():
            m = {"type": "Deliver", "corr": a.request_id, "host": a.backend, "allowForUs": a.timeout_us}
        case Reject():
            m = {"type": "Busy", "corr": a.request_id}
            if a.retry_after_us:
                m["pauseUs"] = a.retry_after_us
        case Fail():
            m = {"type": "Error", "corr": a.request_id}
        case Migrate():
            m = {"type": "Move", "corr": a.request_id}
        case CheckHealth():
            m = {"type": "HealthCheck", "host": a.backend}
        case SetTimer():
            m = {"type": "WakeAt", "spanUs": a.delay_us, "keyBack": a.timer_id}
        case WatchEndpointList():
            m = {"type": "Listen", "on": True}
        case WriteLog():
            m = {"type": "JournalLine", "text": a.text}
    m["nodeId"] = node
    return m
