"""The log lines on single requests: attempts at backends in slow start, their ends, reasons of rejections."""

from __future__ import annotations

import pytest

from balancer.actions import NotSentReason, Reject, SlowStartAllowance, StartAttempt
from gradefront.core.attempt_outcome import Cause

from .helper import Bench

ALLOWANCE = SlowStartAllowance(7_800_000, 0.45, 50.0, 2.0, 4.5, 3.5, 1_000_000, True)


def test_an_attempt_at_a_backend_in_slow_start_and_its_end_are_logged_with_the_reason(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    bench = Bench()
    connection, _ = bench.accept_client()
    bench.run_actions(StartAttempt(connection.number, "box-1", 900_000, ALLOWANCE))
    bench.attempts[0].end(Cause.REJECTED)
    bench.run_actions(StartAttempt(connection.number, "box-2", 900_000))
    lines = [record.getMessage() for record in caplog.records if record.name == "gradefront.request"]
    assert len(lines) == 2, "none for a warm backend"
    assert (
        "goes to box-1" in lines[0]
        and "7.80 s old" in lines[0]
        and "held 2.0 of 4.50, mean sends 3.50, new node" in lines[0]
    )
    assert "at box-1 in slow start ended after 0 ms: full" in lines[1]
    assert bench.core.counters.counts["slow_start_sends"] == 1


def test_rejections_are_counted_by_reason_and_logged_once_a_second_for_each(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    bench = Bench()
    for _ in range(5):
        connection, _ = bench.accept_client()
        bench.run_actions(Reject(connection.number, 0, NotSentReason.SLOW_START))
    bench.wait(1_100_000)
    connection, _ = bench.accept_client()
    bench.run_actions(Reject(connection.number, 0, NotSentReason.SLOW_START))
    lines = [record.getMessage() for record in caplog.records if record.name == "gradefront.request"]
    assert len(lines) == 2 and lines[1].endswith("(and 4 more)")
    assert bench.core.counters.counts["refused: only servers in slow start were left, which could take no more"] == 6
