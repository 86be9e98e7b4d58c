"""Events: what the host tells the balancer.

Times are whole microseconds. Ids of requests and names of backends are opaque.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .settings import Settings


class BackendState(Enum):
    """What the list says of a backend. `UNKNOWN` gets nothing new."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    UNKNOWN = "unknown"


class AttemptResult(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"
    SLOT_ENDED = "slot ended"  # its connection came up after the end of its send slot; nothing was sent


#: Results that prove that the attempt never ran.
NEVER_EXECUTED = (
    AttemptResult.OVERLOADED,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.NOT_SENT,
    AttemptResult.SLOT_ENDED,
)
#: Results by which a backend gave no sign of life, or stopped giving any.
UNRESPONSIVE = (AttemptResult.CONNECT_FAILED, AttemptResult.TIMEOUT, AttemptResult.RESET)


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A line of the endpoint list.

    `cell`: where idempotency keys are known together (`KeyScope.CELL`); `kind`: the number of its model;
    `weight`: as `WeightKind` says; `started_us`: 0 where the backend started long ago.
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
    """The complete list, or its changed lines only."""

    entries: tuple[Endpoint, ...]
    is_complete: bool = True


@dataclass(slots=True, frozen=True)
class EndpointListError:
    """A poll of the list failed, or the watch on it ended. The last list stays in force."""


@dataclass(slots=True, frozen=True)
class Request:
    """A request for a connection; one final answer is owed before `expires_us` from now."""

    request_id: int
    expires_us: int
    request_class: int = 0
    tenant: int = 0
    idempotency_key: str = ""
    sticky_group: str = ""
    load_hint: float = 0.0  # us of work a second; 0: unknown
    mid_flow: bool = False  # no rule reads it
    is_reconnect: bool = False
    is_retry: bool = False


@dataclass(slots=True, frozen=True)
class ConnectionAdopted:
    """A connection that was established through this node before it started.

    Later events name its attempt as 0.
    """

    request: Request
    backend: str


@dataclass(slots=True, frozen=True)
class ConnectionEstablished:
    """The connection is established: neither timeout nor deadline runs any more."""

    request_id: int
    attempt: int
    backend: str
    duration_us: int = 0


@dataclass(slots=True, frozen=True)
class ConnectionLoadReport:
    """An established connection's load now, in microseconds of work a second."""

    request_id: int
    backend: str
    load: float


@dataclass(slots=True, frozen=True)
class MessageLatencyReport:
    """How long a message takes now at the backend of an established connection."""

    request_id: int
    backend: str
    latency_us: float


@dataclass(slots=True, frozen=True)
class LoadReport:
    """A backend's own figures, as parts of its capacity: its load, or else its CPU utilization;
    None where the figure is not among its reports."""

    load: float | None = None
    utilization: float | None = None


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """How an attempt ended. `is_final`: the request has ended too, and no answer is owed."""

    request_id: int
    attempt: int
    backend: str
    result: AttemptResult
    is_final: bool = False
    duration_us: int = 0
    load_report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client left: no answer is owed. Attempts in flight still get their `AttemptEnded`."""

    request_id: int


@dataclass(slots=True, frozen=True)
class HealthCheckResult:
    """The end of one health check."""

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
    """New settings, from now on. Open requests and connections keep the rules under which they came; class
    numbers that they hold mean the same in the new settings as in the old."""

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
