"""Why the decision module did what it did: for the log and the counters. No decision is made here."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


@dataclass(slots=True, frozen=True)
class SlowStartRoom:
    """What a send to a server in slow start rested on. Loads are in mean connections."""

    age_us: int  # since the server's start
    capacity: float  # the part of its capacity that it has for certain
    fills: float  # connections that fill it once it is warm, as estimated
    held: float  # of this node: connections there and attempts out
    room: float  # this node's part of what it may hold
    mean_sends: float  # what all nodes may send it by the multiple of what it can do
    started_us: int
    new_node: bool  # this node has seen too little to bound the estimate by its own count

    def __str__(self) -> str:
        return (
            f"started at {self.started_us / 1e6:.2f}, {self.age_us / 1e6:.2f} s old"
            f", capacity {self.capacity:.2f}, filled by {self.fills:.1f}"
            f", held {self.held:.1f} of {self.room:.2f}"
            f", mean sends {self.mean_sends:.2f}"
            f"{', new node' if self.new_node else ''}"
        )


class HoldReason(Enum):
    """Why a request was not sent, or not sent again."""

    THROTTLED = "placements were held back"
    NO_CANDIDATE = "no server could be used"
    NO_ROOM = "no candidate had room"
    SLOW_START = "only servers in slow start were left, which could take no more"
    ATTEMPT_FAILED = "its last attempt failed"
    NOT_REPEATABLE = "it may have run and can't be repeated"
