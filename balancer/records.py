"""What the decision module remembers of backends, requests and connections. No decisions are made here."""

from __future__ import annotations

from dataclasses import dataclass, field

from .actions import NotSentReason
from .events import Endpoint, Request
from .settings import RequestClass


@dataclass(slots=True)
class Backend:
    """What this node knows of one backend process."""

    entry: Endpoint
    load: float | None = None  # load over capacity, as last reported
    load_at: int = 0
    own: float = 0.0  # load that this node has sent since the report
    fails: int = 0  # connect failures, forgiven gradually
    errors: int = 0  # plain errors in a row, since a connection last stood
    suspect_until: int = 0
    open: dict[int, None] = field(default_factory=dict)  # this node's standing connections
    chance: float = 0.0  # in [0, 1): rounds this node's part of the cold budget up or down
    coming: set[int] = field(default_factory=set)  # requests whose attempt is out here
    shed_until: int = 0  # it has dropped a connection not long before this
    hold_until: int = 0  # no further moves before this
    delay: float = 0.0  # message delay by the last note, in aims
    probing: bool = False
    left: bool = False  # it drains, and what stands there has been told to move
    waiters: list[int] = field(default_factory=list)  # requests that wait for the health check


@dataclass(slots=True)
class PendingRequest:
    """A request that is owed its answer."""

    request: Request
    request_class: RequestClass
    deadline: int
    most: int  # attempts: by the settings under which it came
    rounds: int = 0  # failed attempts and vain looks so far
    tried: list[str] = field(default_factory=list)
    ran: list[tuple[Endpoint, int]] = field(default_factory=list)  # may have run; and when sent
    out: bool = False  # an attempt is pending
    candidates: list[str] = field(default_factory=list)
    missing: dict[str, None] = field(default_factory=dict)  # candidates whose health check is not back
    held: NotSentReason = NotSentReason.ATTEMPT_FAILED  # why it was not sent last
    turn: int = 0  # timers set in an earlier turn no longer matter


@dataclass(slots=True)
class Connection:
    """A standing connection."""

    backend: str
    request_class: RequestClass
    tenant: int
    work: float  # us of work a second; 0: not known
    group: str = ""
