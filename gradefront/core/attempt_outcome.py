"""The outcome of an attempt as a value: the phase that it had reached, and the cause of its end."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

from balancer.events import AttemptResult


class AttemptPhase(IntEnum):
    """The progress of an attempt."""

    CONNECTING = 0  # nothing of the request has been sent
    WRITING = 1  # a part of the request may have been sent
    SENT = 2  # the backend may have the complete request
    UP = 3  # the backend has accepted the connection


class Cause(Enum):
    """The cause of an attempt's end. The values are part of counter names."""

    BROKEN = "broken"  # refused, reset or closed without a response; also vetoed: backend draining or not listed
    UNREACHABLE = "unreachable"  # nothing listens at its address, or none is known: it never received the request
    TIMED_OUT = "silent"  # the backend did not connect, respond or reply in time
    INCOMPLETE_REQUEST = "incomplete"  # as TIMED_OUT, but the client has not sent a complete and valid request
    REJECTED = "full"  # the backend rejected the request without reading it
    ERROR = "error"  # the backend answered with an error
    COMPLETED = "served"  # the backend closed the established connection in an orderly way
    MIGRATED_BY_BACKEND = "sent away"  # the backend told the client to reconnect
    CLOSED_LOCALLY = "called off"  # this relay or the client closed it
    SLOT_ENDED = "slot ended"  # its send slot ended before the complete request was sent
    ABORTED_BEFORE_SEND = "not tried"  # this relay stopped it before the complete request was sent


@dataclass(slots=True, frozen=True)
class AttemptOutcome:
    """The cause of an attempt's end, and the phase that the attempt had reached."""

    phase: AttemptPhase
    cause: Cause

    @property
    def result(self) -> AttemptResult:
        """The result to report to the decision module."""
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
    Cause.INCOMPLETE_REQUEST: AttemptResult.CANCELLED,
    Cause.REJECTED: AttemptResult.OVERLOADED,
    Cause.ERROR: AttemptResult.ERROR,
    Cause.COMPLETED: AttemptResult.OK,
    Cause.MIGRATED_BY_BACKEND: AttemptResult.CANCELLED,
    Cause.CLOSED_LOCALLY: AttemptResult.CANCELLED,
    Cause.SLOT_ENDED: AttemptResult.SLOT_ENDED,
    Cause.ABORTED_BEFORE_SEND: AttemptResult.NOT_SENT,
}
