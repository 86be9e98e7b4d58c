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
    SILENT = "silent"  # timeout ran out
    FULL = "full"  # the backend rejected it, unread
    ERROR = "error"  # the backend answered with an error
    SERVED = "served"  # the backend ended it in order
    SENT_AWAY = "sent away"  # the backend told the client to reconnect
    CALLED_OFF = "called off"  # this relay or the client ended it
    SLOT_ENDED = "slot ended"  # its send slot ended before the complete request had left
    NOT_TRIED = "not tried"  # this relay stopped it before the complete request had left


@dataclass(slots=True, frozen=True)
class AttemptError:
    """The end of an attempt, with the phase that it had reached."""

    phase: AttemptPhase
    cause: Cause

    @property
    def result(self) -> AttemptResult:
        """The decision module's result for it."""
        if self.cause is Cause.BROKEN:
            return AttemptResult.RESET if self.phase >= AttemptPhase.SENT else AttemptResult.CONNECT_FAILED
        if self.cause is Cause.SILENT:
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
    Cause.FULL: AttemptResult.OVERLOADED,
    Cause.ERROR: AttemptResult.ERROR,
    Cause.SERVED: AttemptResult.OK,
    Cause.SENT_AWAY: AttemptResult.CANCELLED,
    Cause.CALLED_OFF: AttemptResult.CANCELLED,
    Cause.SLOT_ENDED: AttemptResult.SLOT_ENDED,
    Cause.NOT_TRIED: AttemptResult.NOT_SENT,
}
