"""Interface of the decision module: settings, events and actions. No decisions are made here.

All times are whole microseconds. Ids of requests and servers are opaque.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .reasons import HoldReason as HoldReason
from .reasons import SlowStartRoom as SlowStartRoom


class Repeat(Enum):
    """Whether a request may be sent again."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Scope(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(Enum):
    """What the list says of a server. `UNKNOWN` gets nothing new."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"
    UNKNOWN = "unknown"


class Result(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


#: Results that prove that the attempt never ran.
NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)
#: Results by which a server gave no sign of life, or stopped giving any.
SILENT = (Result.CONNECT_FAILED, Result.TIMEOUT, Result.RESET)


class WeightKind(Enum):
    """What a server's weight in the list means."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


class Reports(Enum):
    """Where load reports come from."""

    OUTCOMES = "outcomes"
    PROBES = "probes"
    NONE = "none"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests. A set-up within `aim_us` is in time; the client waits `deadline_us`."""

    aim_us: int
    deadline_us: int
    repeat: Repeat = Repeat.SAFE
    scope: Scope = Scope.ALL
    dedup_window_us: int = 0
    worth: float = 1.0
    message_aim_us: int = 0


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and the count of open connections, over all nodes, within its share (0: not told)."""

    share: float = 0.0
    quota_connections: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """What a node is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: int = 0
    fleet_size: int = 1
    position: int | None = None  # of this node among them, from 0
    processes: int = 1  # that may run at a time under this position, as one takes over from another
    ask_for_list: bool = False
    ask_within_us: int = 10_000_000
    may_probe: bool = False
    reports: Reports = Reports.NONE
    reports_load: bool = False
    reports_util: bool = False
    weight_kind: WeightKind = WeightKind.NONE
    max_attempts: int = 5
    second_copies: bool = False
    connect_timeout_us: int = 250_000
    retry_after: bool = False
    max_retry_after_us: int = 0
    over_share_worth: float = 1.0
    cross_zone: float = 0.0  # price of a request that crosses zones
    worth_by_work: bool = False
    passes_packets: bool = False
    groups: bool = False
    resolution_us: int = 1_000
    drain_grace_us: int = 0
    start_capacity: float = 1.0
    cold_us: int = 0
    tip_multiple: float = 3.0
    fall_us: int = 1_000_000

    def __post_init__(self) -> None:
        """Refuse settings that make no sense, naming the field."""
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for klass in self.classes:
            for name in ("aim_us", "deadline_us"):
                if getattr(klass, name) <= 0:
                    raise ValueError(f"classes.{name}: must be above 0")
            for name in ("dedup_window_us", "message_aim_us", "worth"):
                if not getattr(klass, name) >= 0:
                    raise ValueError(f"classes.{name}: must not be negative")
        for name in ("fleet_size", "max_attempts", "resolution_us", "ask_within_us", "fall_us"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be 1 or more")
        for name in (
            "connect_timeout_us",
            "max_retry_after_us",
            "drain_grace_us",
            "cold_us",
            "zone",
            "tip_multiple",
            "over_share_worth",
            "cross_zone",
        ):
            if not getattr(self, name) >= 0:
                raise ValueError(f"{name}: must not be negative")
        if not 0 <= self.start_capacity <= 1:
            raise ValueError("start_capacity: must be from 0 to 1")


# ---- events


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """A line of the server list. `started_us` is 0 where the server started long ago."""

    server: str
    state: ServerState = ServerState.READY
    zone: int = 0
    cell: int = 0
    kind: int = 0
    weight: float = 1.0
    started_us: int = 0


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """The whole list, or its changed lines only."""

    entries: tuple[ServerEntry, ...]
    whole: bool = True


@dataclass(slots=True, frozen=True)
class ListError:
    """A watch or a fetch of the list failed, or the watch broke. The last list stays in force."""


@dataclass(slots=True, frozen=True)
class Request:
    """A request for a connection; one final answer is owed before `expires_us` from now."""

    request: int
    expires_us: int
    klass: int = 0
    tenant: int = 0
    key: str = ""
    group: str = ""
    load_hint: float = 0.0
    mid_flow: bool = False
    came_back: bool = False
    is_retry: bool = False


@dataclass(slots=True, frozen=True)
class OpenConnection:
    """A connection that stood through this node before it started. Its attempt 0 counts as made."""

    request: Request
    server: str


@dataclass(slots=True, frozen=True)
class Established:
    """The connection stands: neither time-out nor deadline runs any more."""

    request: int
    attempt: int
    server: str
    took_us: int = 0


@dataclass(slots=True, frozen=True)
class LoadNote:
    """A standing connection's load now, in microseconds of work a second."""

    request: int
    server: str
    load: float


@dataclass(slots=True, frozen=True)
class DelayNote:
    """How long a message takes now at the server of a standing connection."""

    request: int
    server: str
    delay_us: float


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What a server says of itself; None where the figure is not among its reports."""

    load: float | None = None
    util: float | None = None


@dataclass(slots=True, frozen=True)
class Outcome:
    """How an attempt ended. `final`: the request has ended too and no answer is owed."""

    request: int
    attempt: int
    server: str
    result: Result
    final: bool = False
    took_us: int = 0
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class ClientGone:
    """The client left: no answer is owed. Attempts still out get their outcome."""

    request: int


@dataclass(slots=True, frozen=True)
class ProbeResult:
    """The end of one probe."""

    server: str
    result: Result
    took_us: int = 0
    report: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer fell due."""

    timer: int


@dataclass(slots=True, frozen=True)
class NewSettings:
    """Other settings from now on. What is open keeps the rules under which it came; the numbers of classes
    that it may hold mean in the new settings what they meant in the old."""

    settings: Settings


Event = (
    NewSettings
    | ListUpdate
    | ListError
    | Request
    | OpenConnection
    | Established
    | LoadNote
    | DelayNote
    | Outcome
    | ClientGone
    | ProbeResult
    | TimerFired
)


# ---- actions


@dataclass(slots=True, frozen=True)
class Start:
    """Place the request on a server: the next attempt, given up after `timeout_us`."""

    request: int
    server: str
    timeout_us: int
    room: SlowStartRoom | None = field(
        default=None, compare=False, repr=False
    )  # for the log, where it is in slow start


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: not now, and trying again does no harm."""

    request: int
    retry_after_us: int = 0
    reason: HoldReason | None = field(default=None, compare=False, repr=False)


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer that promises nothing."""

    request: int
    reason: HoldReason | None = field(default=None, compare=False, repr=False)


@dataclass(slots=True, frozen=True)
class Move:
    """End a standing connection politely; its client comes again."""

    request: int


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask a server for its load."""

    server: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a `TimerFired` after `delay_us`."""

    timer: int
    delay_us: int


@dataclass(slots=True, frozen=True)
class WatchList:
    """Subscribe to changes of the server list."""


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operator."""

    text: str = field(default="")


Action = Start | Refuse | Fail | Move | Probe | SetTimer | WatchList | Log
