"""When a backend started, on this relay's own clock, for slow start. No I/O, no clock of its own.

Discovery gives a start by the wall clock, which may be stepped, here or elsewhere, by seconds or an hour. A start
that seems earlier than it was would end slow start too soon and overload a backend that is still warming up. So where
the clocks can't be trusted, a backend counts as started when the relay learned of it.
"""

from __future__ import annotations

from dataclasses import dataclass

DISCOVERY_DELAY_US = 6_000_000  # within so long discovery passes on whatever changed, by the protocol page


@dataclass(slots=True, frozen=True)
class BackendStart:
    """One start of a backend: as discovery reported it, and on this relay's clock. 0 in both: long ago."""

    reported_us: int
    at_us: int


LONG_AGO = BackendStart(0, 0)


@dataclass(slots=True, frozen=True)
class ListReadContext:
    """The moment at which an endpoint list is read, and how far its times of day can be trusted."""

    now_us: int
    clock_was_stepped: bool = False  # the wall clock has been stepped since this relay began
    is_update: bool = False  # the relay had a list before: what is new in this one happened lately
    max_start_age_us: int = 0  # how long ago a start can have been that only this update reports


def estimate_start(reported_us: int, known: BackendStart | None, reading: ListReadContext) -> BackendStart:
    """The start that discovery reports as `reported_us`, where `known` is the last one of this backend."""
    if reported_us <= 0:
        return LONG_AGO
    if known and known.reported_us == reported_us:
        return known
    age_us = reading.now_us - reported_us
    is_update = reading.is_update or known is not None
    is_trusted = age_us >= 0 and not (is_update and (reading.clock_was_stepped or age_us > reading.max_start_age_us))
    at_us = reported_us if is_trusted else reading.now_us
    if known and at_us <= known.at_us:  # another start, however the clocks stand: it is the later one
        at_us = known.at_us + 1
    return BackendStart(reported_us, at_us)
