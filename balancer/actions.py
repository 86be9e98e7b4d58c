"""Actions that the balancer returns to its host, with reasons for the log and the counters.

Times are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


@dataclass(slots=True, frozen=True)
class SlowStartAllowance:
    """The figures by which a send to a backend in slow start was allowed, for the log.

    Connections are counted in mean connections.
    """

    age_us: int  # since the backend's start
    capacity: float  # part of its full capacity that the backend has at least
    connection_capacity: float  # estimated connections that fill the backend once it is warm
    held_connections: float  # this node's established connections and attempts in flight there
    allowed_connections: float  # this node's share of the connections that the backend may hold
    mean_sends: float  # requests that all nodes together may send it in an overload window
    started_us: int
    is_new_node: bool  # this node has too few connections to bound the estimate by their count
    slot_mean_sends: float = 0.0  # `mean_sends` at the time when the slot was assigned
    warm_connections: float = 0.0  # this node's at warm backends, as a decaying sum over their load reports
    warm_load: float = 0.0  # loads in these reports, as a decaying sum

    def __str__(self) -> str:
        return (
            f"started at {self.started_us / 1e6:.2f}, {self.age_us / 1e6:.2f} s old"
            f", capacity {self.capacity:.2f}, filled by {self.connection_capacity:.1f} connections once warm"
            f", held {self.held_connections:.1f} of {self.allowed_connections:.2f}"
            f", mean sends {self.mean_sends:.2f}"
            f"{', new node' if self.is_new_node else ''}"
            f"; slot assigned for mean sends {self.slot_mean_sends:.2f}"
            f", reports of warm backends: {self.warm_connections:.1f} connections, load {self.warm_load:.2f}"
        )


class NotSentReason(Enum):
    """The reason why a request was not sent, or not retried."""

    THROTTLED = "placements were held back"
    NO_CANDIDATE = "no server could be used"
    NO_CAPACITY = "no candidate had room"
    SLOW_START = "only servers in slow start were left, which could take no more"
    ATTEMPT_FAILED = "its last attempt failed"
    NOT_RETRYABLE = "it may have run and can't be repeated"


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Attempt to send the request to a backend; the attempt times out after `timeout_us`.

    `send_by_us` is the clock time from which the request must not be written any more, as its send slot has
    ended; None if no slot is needed.
    """

    request_id: int
    backend: str
    timeout_us: int
    slow_start: SlowStartAllowance | None = field(
        default=None, compare=False, repr=False
    )  # for the log; None where the backend is not in slow start
    send_by_us: int | None = field(default=None, repr=False)


@dataclass(slots=True, frozen=True)
class Reject:
    """Reject the request, as its final answer; the client may safely retry."""

    request_id: int
    retry_after_us: int = 0
    reason: NotSentReason | None = field(default=None, compare=False, repr=False)


@dataclass(slots=True, frozen=True)
class Fail:
    """Fail the request, as its final answer. It may have been executed; a retry may not be safe."""

    request_id: int
    reason: NotSentReason | None = field(default=None, compare=False, repr=False)


@dataclass(slots=True, frozen=True)
class Migrate:
    """Ask the client of an established connection to close it gracefully and to reconnect."""

    request_id: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Check a backend's health and request a load report."""

    backend: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Start a timer that causes a `TimerFired` event after `delay_us`."""

    timer_id: int
    delay_us: int


@dataclass(slots=True, frozen=True)
class WatchEndpointList:
    """Subscribe to changes of the endpoint list."""


@dataclass(slots=True, frozen=True)
class WriteLog:
    """Write a log line."""

    text: str = field(default="")


Action = StartAttempt | Reject | Fail | Migrate | CheckHealth | SetTimer | WatchEndpointList | WriteLog
