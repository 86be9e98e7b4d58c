"""Estimates when each backend started, on this relay's own clock, for slow start. Does no I/O and reads no clock.

Discovery reports start times by the wall clock, which may be stepped, on this host or another, by seconds or an hour.
A start time that is too early would end slow start too soon and overload a backend that is still warming up. If the
wall clock can't be trusted, the time at which the relay learned of the start is therefore used instead.
"""

from __future__ import annotations

from dataclasses import dataclass

DISCOVERY_DELAY_US = 6_000_000  # within this time discovery passes on any change, according to its protocol


@dataclass(slots=True, frozen=True)
class BackendStart:
    """One start of a backend: as reported by discovery, and on this relay's clock. 0 in both: long ago."""

    reported_us: int
    at_us: int


LONG_AGO = BackendStart(0, 0)


@dataclass(slots=True, frozen=True)
class ListReadContext:
    """The time at which an endpoint list is read, and what is known about the trustworthiness of its start times."""

    now_us: int
    clock_was_stepped: bool = False  # the wall clock has been stepped since this relay started
    is_update: bool = False  # the relay had a list before, so whatever is new in this one happened recently
    max_start_age_us: int = 0  # greatest possible age of a start that this update is the first to report


def estimate_start(reported_us: int, known: BackendStart | None, reading: ListReadContext) -> BackendStart:
    """Return the start that discovery reports as `reported_us`; `known` is the backend's last known start, if any."""
    if reported_us <= 0:
        return LONG_AGO
    if known and known.reported_us == reported_us:
        return known
    age_us = reading.now_us - reported_us
    is_update = reading.is_update or known is not None
    is_trusted = age_us >= 0 and not (is_update and (reading.clock_was_stepped or age_us > reading.max_start_age_us))
    at_us = reported_us if is_trusted else reading.now_us
    if known and at_us <= known.at_us:  # a different reported time is a new start, so it must be the later one
        at_us = known.at_us + 1
    return BackendStart(reported_us, at_us)
