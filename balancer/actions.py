"""Actions: what the balancer asks its host to do, and the reasons that it gives for the log and the counters.

Times are whole microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


@dataclass(slots=True, frozen=True)
class SlowStartAllowance:
    """What a send to a backend in slow start rested on. Loads are in mean connections."""

    age_us: int  # since the backend's start
    capacity: float  # the part of its capacity that it has for certain
    full_connections: float  # connections that fill it once it is warm, as estimated
    held_connections: float  # of this node: connections there and attempts out
    allowed_connections: float  # this node's part of what it may hold
    mean_sends: float  # what all nodes may send it by the multiple of what it can do
    started_us: int
    is_new_node: bool  # this node has seen too little to bound the estimate by its own count
    slot_mean_sends: float = 0.0  # as `mean_sends`, at the time when the send's slot was assigned
    warm_connections: float = 0.0  # of this node at warm backends, summed over their recent reports
    warm_load: float = 0.0  # reported by these backends, summed in the same way

    def __str__(self) -> str:
        return (
            f"started at {self.started_us / 1e6:.2f}, {self.age_us / 1e6:.2f} s old"
            f", capacity {self.capacity:.2f}, filled by {self.full_connections:.1f}"
            f", held {self.held_connections:.1f} of {self.allowed_connections:.2f}"
            f", mean sends {self.mean_sends:.2f}"
            f"{', new node' if self.is_new_node else ''}"
            f"; slot assigned for mean sends {self.slot_mean_sends:.2f}"
            f", reports of warm backends: {self.warm_connections:.1f} connections, load {self.warm_load:.2f}"
        )


class NotSentReason(Enum):
    """Why a request was not sent, or not sent again."""

    THROTTLED = "placements were held back"
    NO_CANDIDATE = "no server could be used"
    NO_CAPACITY = "no candidate had room"
    SLOW_START = "only servers in slow start were left, which could take no more"
    ATTEMPT_FAILED = "its last attempt failed"
    NOT_RETRYABLE = "it may have run and can't be repeated"


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send the request to a backend: its next attempt, given up after `timeout_us`.

    `send_by_us`: the clock time from which the request may not be written any more, as its send slot has
    ended; None where it needs no slot.
    """

    request_id: int
    backend: str
    timeout_us: int
    slow_start: SlowStartAllowance | None = field(
        default=None, compare=False, repr=False
    )  # for the log, where it is in slow start
    send_by_us: int | None = field(default=None, repr=False)


@dataclass(slots=True, frozen=True)
class Reject:
    """Final answer: not now, and the client may retry without harm."""

    request_id: int
    retry_after_us: int = 0
    reason: NotSentReason | None = field(default=None, compare=False, repr=False)


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer that promises nothing."""

    request_id: int
    reason: NotSentReason | None = field(default=None, compare=False, repr=False)


@dataclass(slots=True, frozen=True)
class Migrate:
    """Ask an established connection to move: its client ends it politely and reconnects."""

    request_id: int


@dataclass(slots=True, frozen=True)
class CheckHealth:
    """Check a backend's health and ask for its load."""

    backend: str


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a `TimerFired` after `delay_us`."""

    timer_id: int
    delay_us: int


@dataclass(slots=True, frozen=True)
class WatchEndpointList:
    """Subscribe to changes of the endpoint list."""


@dataclass(slots=True, frozen=True)
class WriteLog:
    """A line for the operator."""

    text: str = field(default="")


Action = StartAttempt | Reject | Fail | Migrate | CheckHealth | SetTimer | WatchEndpointList | WriteLog
