"""Requests whose connection comes up after the end of their send slot: they are not written, and go elsewhere."""

from __future__ import annotations

from pathlib import Path

import pytest

from balancer import Balancer
from balancer.actions import SetTimer, SlowStartAllowance, StartAttempt
from balancer.events import AttemptEnded, AttemptResult, Endpoint, EndpointListUpdate, Request, TimerFired
from balancer.settings import Settings
from gradefront.core.attempt_outcome import AttemptPhase, Cause
from lab.stand_ins import settings

from .helper import Bench
from .loop import Backend, Loop, hold_connects
from .test_failures import CLASS, HEALTH_CHECK_SETTINGS, of_type, place

SLOT_US = 100_000
ALLOWANCE = SlowStartAllowance(7_800_000, 0.45, 50.0, 2.0, 4.5, 3.5, 1_000_000, False)


def test_a_request_is_written_until_the_end_of_its_slot_and_not_after_it() -> None:
    bench = Bench()
    connection, _ = bench.accept_client()
    end_us = bench.now + SLOT_US
    bench.run_actions(StartAttempt(connection.number, "box-1", 900_000, ALLOWANCE, end_us))
    (attempt,) = bench.attempts
    bench.now = end_us - 1
    assert attempt.send_veto() is None
    bench.now = end_us
    assert attempt.send_veto() is Cause.SLOT_ENDED
    attempt.advance(AttemptPhase.SENT)  # what a listener sends on once the backend has the request
    assert attempt.send_veto() is None


def test_the_end_of_a_slot_is_reported_as_a_request_that_was_never_executed() -> None:
    bench = Bench()
    connection, client = bench.accept_client()
    bench.run_actions(StartAttempt(connection.number, "box-1", 900_000, ALLOWANCE, bench.now + SLOT_US))
    bench.attempts[0].end(Cause.SLOT_ENDED)
    bench.core.run_once()
    assert [outcome.result for outcome in bench.attempt_ends(connection)] == [AttemptResult.SLOT_ENDED]
    bench.run_actions(StartAttempt(connection.number, "box-2", 900_000))
    assert len(bench.attempts) == 2 and not client.calls


def test_a_slot_that_has_ended_is_no_fault_of_its_backend_and_the_request_goes_elsewhere() -> None:
    """Guards against an ejection, and against a final answer while other backends are there."""
    b = Balancer(Settings(classes=(CLASS,)), 1)
    b.handle(0, EndpointListUpdate((Endpoint("s0"), Endpoint("s1"))))
    (start,) = of_type(b.handle(1_000, Request(7, 2_000_000)), StartAttempt)
    actions = b.handle(2_000, AttemptEnded(7, 0, start.backend, AttemptResult.SLOT_ENDED))
    assert not b.endpoints.backends[start.backend].ejected_until_us
    (timer,) = of_type(actions, SetTimer)
    (again,) = of_type(b.handle(2_000 + timer.delay_us, TimerFired(timer.timer_id)), StartAttempt)
    assert again.backend != start.backend


@pytest.mark.parametrize("enforces_send_by", [True, False])
def test_a_send_to_a_backend_in_slow_start_names_the_end_of_its_slot(enforces_send_by: bool) -> None:
    """Guards against slots that count a late connection where the host refuses it, or the reverse."""
    rules = {"initial_capacity": 0.12, "warm_up_us": 20_000_000, "position": 0, "enforces_send_by": enforces_send_by}
    b = Balancer(Settings(**{**HEALTH_CHECK_SETTINGS, **rules}), 1)
    b.handle(0, EndpointListUpdate((Endpoint("warm"), Endpoint("cold", started_us=1))))
    now, loads = 10_000_000, {"warm": 0.95, "cold": 0.0}
    starts = [start for n in range(1, 21) for start in of_type(place(b, now, n, loads), StartAttempt)]
    ends = [start.send_by_us for start in starts if start.backend == "cold"]
    assert ends and all(end and now < end <= now + b.context.settings.overload_window_us for end in ends)
    assert b.slow_start._slot_table
    late_us = b.slow_start._slot_table.schedule.late_us
    assert late_us == (150_000 if enforces_send_by else 400_000)


@pytest.mark.parametrize("late_us", [0, 520_000])
def test_a_connection_that_comes_up_late_delivers_nothing_to_a_backend_in_slow_start(
    tmp_path: Path, late_us: int
) -> None:
    """Guards against the fall of a backend by requests of slots that have ended."""
    backend = Backend()
    document = settings(objective_ms=300, deadline_ms=4000, connectTimeoutUs=1_000_000)
    document["rules"] |= {"startCapacity": 0.12, "coldUs": 20_000_000, "fallUs": 500_000}
    document["position"] = 0
    loop = Loop(tmp_path, [backend], document)
    loop.wait(2_000_000)  # what the process before sent counts until then
    loop.known["members"][0]["up_since_ms"] = loop.now_us // 1000 - 5_000
    loop.relay.endpoint_list.apply(loop.known, complete=True)
    attempts = hold_connects(loop)
    client = loop.client()
    loop.open(client, d=4000)
    loop.until(lambda: loop.wait(4_000) or attempts)
    assert attempts[0].slow_start
    loop.now_us += late_us
    loop.order.held.clear()
    loop.until(lambda: backend.has_pending)
    peer = backend.accept()
    loop.until(lambda: peer.read() or attempts[0].is_over)
    loop.step(4)
    assert (b"OPEN" in peer.read()) == (late_us == 0)
