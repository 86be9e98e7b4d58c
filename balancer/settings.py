"""Settings of a node: given at its start, and again by a reload.

Times are whole microseconds, loads are parts of a backend's capacity.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

CLASS_FIELDS_ABOVE_0 = ("latency_objective_us", "deadline_us")
CLASS_FIELDS_NOT_NEGATIVE = ("dedup_window_us", "message_latency_objective_us", "priority_weight")
FIELDS_FROM_1 = ("fleet_size", "max_attempts", "timer_resolution_us", "poll_within_us", "overload_window_us")
FIELDS_NOT_NEGATIVE = (
    "connect_timeout_us",
    "max_retry_after_us",
    "drain_grace_us",
    "warm_up_us",
    "zone",
    "overload_multiple",
    "over_quota_weight",
    "cross_zone_cost",
)


class InvalidSettingError(ValueError):
    """A setting that makes no sense.

    Attributes: `field` is the name of the field here, with `classes.` before one of a request class;
    `problem` says what it must be.
    """

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field
        self.problem = problem


class Idempotency(Enum):
    """Whether a request may be sent again."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class KeyScope(Enum):
    """Which backends drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class WeightKind(Enum):
    """What a backend's weight in the list means."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


class LoadReportSource(Enum):
    """Where load reports come from."""

    ATTEMPT_RESULTS = "outcomes"
    HEALTH_CHECKS = "probes"
    NONE = "none"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests. A connection is in time within `latency_objective_us`; the client waits
    for `deadline_us`. A key is kept for `dedup_window_us` where `key_scope` says."""

    latency_objective_us: int
    deadline_us: int
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    key_scope: KeyScope = KeyScope.ALL
    dedup_window_us: int = 0
    priority_weight: float = 1.0
    message_latency_objective_us: int = 0


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant. `quota_share`: part of the fleet's traffic, which no rule reads; `quota_connections`: open
    connections over all nodes (0: unknown)."""

    quota_share: float = 0.0
    quota_connections: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one node. Raises InvalidSettingError for values that make no sense.

    Some fields are read by no rule here. They count all the same when a reload asks whether settings differ.
    """

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: int = 0
    fleet_size: int = 1  # nodes
    position: int | None = None  # of this node among them, from 0
    processes: int = 1  # that may run at a time under this position, as one takes over from another
    polls_endpoint_list: bool = False
    poll_within_us: int = 10_000_000  # the list must be polled within this
    may_check_health: bool = False
    load_report_source: LoadReportSource = LoadReportSource.NONE
    reports_load: bool = False
    reports_utilization: bool = False
    weight_kind: WeightKind = WeightKind.NONE
    max_attempts: int = 5  # of one request
    may_hedge: bool = False
    connect_timeout_us: int = 250_000
    retry_after: bool = False
    max_retry_after_us: int = 0
    over_quota_weight: float = 1.0  # factor on the priority weight of a tenant over its quota
    cross_zone_cost: float = 0.0  # price of a request that crosses zones
    weight_by_work: bool = False  # priority weights are for a unit of work, not for a connection
    passes_packets: bool = False
    sticky_groups: bool = False
    timer_resolution_us: int = 1_000
    drain_grace_us: int = 0  # shortest time from the announcement of a drain to the backend's exit
    initial_capacity: float = 1.0  # of a backend as it starts, as a part of its capacity once it is warm
    warm_up_us: int = 0
    overload_multiple: float = 3.0  # of its present capacity, sent in the window, overloads a warming backend
    overload_window_us: int = 1_000_000
    enforces_send_by: bool = True  # the host writes no request after the `send_by_us` of its attempt

    def __post_init__(self) -> None:
        """Raise InvalidSettingError for values that make no sense."""
        if not self.classes:
            raise InvalidSettingError("classes", "at least one is needed")
        for request_class in self.classes:
            _check_above_0(request_class, CLASS_FIELDS_ABOVE_0, "classes.")
            _check_not_negative(request_class, CLASS_FIELDS_NOT_NEGATIVE, "classes.")
        for name in FIELDS_FROM_1:
            if getattr(self, name) < 1:
                raise InvalidSettingError(name, "must be 1 or more")
        _check_not_negative(self, FIELDS_NOT_NEGATIVE)
        if not 0 <= self.initial_capacity <= 1:
            raise InvalidSettingError("initial_capacity", "must be from 0 to 1")


def _check_above_0(owner: object, names: tuple[str, ...], prefix: str = "") -> None:
    for name in names:
        if getattr(owner, name) <= 0:
            raise InvalidSettingError(prefix + name, "must be above 0")


def _check_not_negative(owner: object, names: tuple[str, ...], prefix: str = "") -> None:
    for name in names:
        if not getattr(owner, name) >= 0:  # NaN is no better
            raise InvalidSettingError(prefix + name, "must not be negative")
