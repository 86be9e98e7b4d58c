"""Events that the host passes to the balancer.

Times are whole microseconds. Request ids and backend names are opaque.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .settings import Settings


class BackendState(Enum):
    """State of a backend in the endpoint list. A backend in state `UNKNOWN` receives no new requests."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    UNKNOWN = "unknown"


class AttemptResult(Enum):
    """Result of an attempt or a health check."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"
    SLOT_ENDED = "slot ended"  # connected after the send slot had ended; the request was not sent


#: Results that prove that the backend did not execute the request.
NEVER_EXECUTED = (
    AttemptResult.OVERLOADED,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.NOT_SENT,
    AttemptResult.SLOT_ENDED,
)
#: Results that show an unresponsive backend, or one that has dropped the connection.
UNRESPONSIVE = (AttemptResult.CONNECT_FAILED, AttemptResult.TIMEOUT, AttemptResult.RESET)


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An entry of the endpoint list.

    `cell`: the group of backends that share idempotency keys (`KeyScope.CELL`); `kind`: the number of the
    backend's model; `weight`: its meaning is set by `WeightKind`; `started_us`: 0 if the backend started long
    ago.
    """

    backend: str
    state: BackendState = BackendState.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    weight: float = 1.0
    started_us: int = 0


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """The complete endpoint list, or only its changed entries."""

    entries: tuple[Endpoint, ...]
    is_complete: bool = True


@dataclass(slots=True, frozen=True)
class EndpointListError:
    """A poll of the endpoint list failed, or the watch ended. The last list stays in force."""


@dataclass(slots=True, frozen=True)
class Request:
    """A request for a connection. Its connection or final answer is due within `expires_us` from now."""

    request_id: int
    expires_us: int
    request_class: int = 0
    tenant: int = 0
    idempotency_key: str = ""
    sticky_group: str = ""
    load_hint: float = 0.0  # microseconds of work per second; 0: unknown
    mid_flow: bool = False  # not used by the balancer
    is_reconnect: bool = False
    is_retry: bool = False


@dataclass(slots=True, frozen=True)
class ConnectionAdopted:
    """A connection from an earlier process of this node. Its attempt has the number 0 in later events."""

    request: Request
    backend: str


@dataclass(slots=True, frozen=True)
class ConnectionEstablished:
    """The connection is established: the attempt's timeout and the request's deadline no longer apply."""

    request_id: int
    attempt: int
    backend: str
    duration_us: int = 0


@dataclass(slots=True, frozen=True)
class ConnectionLoadReport:
    """The present load of an established connection, in microseconds of work per second."""

    request_id: int
    backend: str
    load: float


@dataclass(slots=True, frozen=True)
class MessageLatencyReport:
    """The present message latency at the backend of an established connection."""

    request_id: int
    backend: str
    latency_us: float


@dataclass(slots=True, frozen=True)
class LoadReport:
    """A backend's report of its load and CPU utilization, as parts of its capacity.

    None for a figure that its reports don't contain. `load` takes precedence over `utilization`.
    """

    load: float | None = None
    utilization: float | None = None


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt or its connection has ended. `is_final`: so has the request, which needs no final answer."""

    request_id: int
    attempt: int
    backend: str
    result: AttemptResult
    is_final: bool = False
    duration_us: int = 0
    load_report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client of a pending request has disconnected.

    The request needs no final answer. Attempts in flight are still reported by `AttemptEnded`.
    """

    request_id: int


@dataclass(slots=True, frozen=True)
class HealthCheckResult:
    """A health check has ended."""

    backend: str
    result: AttemptResult
    duration_us: int = 0
    load_report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer has fired."""

    timer_id: int


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings are in force.

    Pending requests and established connections keep the settings of their request class, and pending
    requests their maximum number of attempts. Their class numbers must mean the same in the new settings as
    in the old ones.
    """

    settings: Settings


Event = (
    SettingsChanged
    | EndpointListUpdate
    | EndpointListError
    | Request
    | ConnectionAdopted
    | ConnectionEstablished
    | ConnectionLoadReport
    | MessageLatencyReport
    | AttemptEnded
    | ClientDisconnected
    | HealthCheckResult
    | TimerFired
)
