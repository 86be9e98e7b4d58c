"""Attempt errors as values: how far an attempt got, and what ended it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from balancer.events import AttemptResult


class AttemptPhase(IntEnum):
    """How far an attempt has come."""

    CONNECTING = 0  # nothing of the request has left
    WRITING = 1  # a part of the request may have left
    SENT = 2  # the backend may have the complete request
    UP = 3  # the backend has accepted the connection


class Cause(Enum):
    """What ended an attempt."""

    BROKEN = "broken"  # refused, reset or closed without a response; also vetoed: the backend drains or is not listed
    UNREACHABLE = "unreachable"  # nothing listens there: the request was never received
    TIMED_OUT = "silent"  # timeout ran out
    REJECTED = "full"  # the backend rejected it, unread
    ERROR = "error"  # the backend answered with an error
    COMPLETED = "served"  # the backend ended it in order
    MIGRATED_BY_BACKEND = "sent away"  # the backend told the client to reconnect
    CLOSED_LOCALLY = "called off"  # this relay or the client ended it
    SLOT_ENDED = "slot ended"  # its send slot ended before the complete request had left
    ABORTED_BEFORE_SEND = "not tried"  # this relay stopped it before the complete request had left


@dataclass(slots=True, frozen=True)
class AttemptOutcome:
    """The end of an attempt, with the phase that it had reached."""

    phase: AttemptPhase
    cause: Cause

    @property
    def result(self) -> AttemptResult:
        """The decision module's result for it."""
        if self.cause is Cause.BROKEN:
            return AttemptResult.RESET if self.phase >= AttemptPhase.SENT else AttemptResult.CONNECT_FAILED
        if self.cause is Cause.TIMED_OUT:
            if self.phase is AttemptPhase.UP:
                return AttemptResult.RESET
            return AttemptResult.TIMEOUT if self.phase is AttemptPhase.SENT else AttemptResult.CONNECT_FAILED
        if self.cause is Cause.UNREACHABLE and self.phase is AttemptPhase.UP:
            return AttemptResult.RESET
        return _RESULT_IN_ANY_PHASE[self.cause]

    def __str__(self) -> str:
        return f"{self.cause.value} while {self.phase.name.lower()}"


_RESULT_IN_ANY_PHASE = {
    Cause.UNREACHABLE: AttemptResult.CONNECT_FAILED,
    Cause.REJECTED: AttemptResult.OVERLOADED,
    Cause.ERROR: AttemptResult.ERROR,
    Cause.COMPLETED: AttemptResult.OK,
    Cause.MIGRATED_BY_BACKEND: AttemptResult.CANCELLED,
    Cause.CLOSED_LOCALLY: AttemptResult.CANCELLED,
    Cause.SLOT_ENDED: AttemptResult.SLOT_ENDED,
    Cause.ABORTED_BEFORE_SEND: AttemptResult.NOT_SENT,
}
