"""Migration of connections off draining and overloaded backends."""

from __future__ import annotations

from balancer import Balancer
from balancer.actions import CheckHealth, Migrate, SetTimer
from balancer.events import (
    AttemptEnded,
    AttemptResult,
    BackendState,
    ConnectionAdopted,
    ConnectionEstablished,
    Endpoint,
    EndpointListUpdate,
    HealthCheckResult,
    LoadReport,
    Request,
    TimerFired,
)
from balancer.settings import LoadReportSource, RequestClass, Settings

CLASS = RequestClass(latency_objective_us=500_000, deadline_us=2_000_000)


def test_connections_of_a_draining_backend_migrate_once_over_several_seconds() -> None:
    b = Balancer(Settings(classes=(CLASS,)), 1)
    b.handle(0, EndpointListUpdate((Endpoint("s1"), Endpoint("s2"))))
    for n in range(20):
        b.handle(1, ConnectionAdopted(Request(n, 1), "s1" if n < 15 else "s2"))
    timers = list[tuple[int, int]]()
    for at in (1_000, 2_000):  # the backend is listed as draining twice
        change = EndpointListUpdate((Endpoint("s1", BackendState.DRAINING),), is_complete=False)
        timers += [(at + a.delay_us, a.timer_id) for a in b.handle(at, change) if isinstance(a, SetTimer)]
    moved = list[tuple[int, int]]()
    for at, timer in sorted(timers):
        moved += [(at, a.request_id) for a in b.handle(at, TimerFired(timer)) if isinstance(a, Migrate)]
    assert sorted(r for _, r in moved) == list(range(15))
    assert moved[-1][0] - moved[0][0] > 2_000_000 and moved[-1][0] < 6_000_000


def test_connection_established_after_its_backend_began_to_drain_migrates() -> None:
    b = Balancer(Settings(classes=(CLASS,)), 1)
    b.handle(0, EndpointListUpdate((Endpoint("s1"),)))
    b.handle(1, Request(7, 2_000_000))
    b.handle(2, EndpointListUpdate((Endpoint("s1", BackendState.DRAINING),), is_complete=False))
    (timer,) = [a for a in b.handle(3, ConnectionEstablished(7, 0, "s1")) if isinstance(a, SetTimer)]
    assert b.handle(3 + timer.delay_us, TimerFired(timer.timer_id)) == [Migrate(7)]


def test_overload_report_migrates_connections_without_late_messages() -> None:
    # On real sockets a slow backend still echoes at once: only health checks show that it is overloaded.
    b = Balancer(
        Settings(classes=(CLASS,), may_check_health=True, load_report_source=LoadReportSource.HEALTH_CHECKS), 1
    )
    b.handle(0, EndpointListUpdate((Endpoint("s1"), Endpoint("s2"))))
    for n in range(40):
        b.handle(1, ConnectionAdopted(Request(n, 1), "s1"))

    def timers(load: float, now: int) -> int:
        actions = b.handle(now, HealthCheckResult("s1", AttemptResult.OK, 0, LoadReport(load)))
        return sum(isinstance(a, SetTimer) for a in actions)

    assert timers(0.95, 10) == 0, "below full load, only late messages cause migrations"
    assert 18 <= timers(1.4, 20) <= 22, "half of the connections move, to bring a load of 1.4 down to 0.7"
    assert timers(1.4, 30) == 0, "the next round waits until reports show the effect of this one"
    assert timers(1.4, 2_000_000) > 0


def test_after_a_reset_a_lower_load_report_migrates_connections_for_a_while() -> None:
    # A slow backend that has reset connections reports a moderate load, but its messages are still late.
    b = Balancer(
        Settings(classes=(CLASS,), may_check_health=True, load_report_source=LoadReportSource.HEALTH_CHECKS), 1
    )
    b.handle(0, EndpointListUpdate((Endpoint("s1"), Endpoint("s2"))))
    for n in range(40):
        b.handle(1, ConnectionAdopted(Request(n, 1), "s1"))
    actions = b.handle(1_000, AttemptEnded(0, 0, "s1", AttemptResult.RESET, True))
    assert CheckHealth("s1") in actions

    def timers(load: float, now: int) -> int:
        actions = b.handle(now, HealthCheckResult("s1", AttemptResult.OK, 0, LoadReport(load)))
        return sum(isinstance(a, SetTimer) for a in actions)

    assert timers(0.8, 10_000) == 0
    assert timers(0.9, 2_000_000) > 0, "2 s after the reset, a report above 0.85 is enough"
    assert timers(0.9, 7_000_000) == 0, "7 s after the reset, only a report above full load is"


def test_draining_and_ejected_backends_count_as_unavailable() -> None:
    b = Balancer(Settings(classes=(CLASS,)), 1)
    b.handle(0, EndpointListUpdate((Endpoint("s1"), Endpoint("s2", BackendState.DRAINING), Endpoint("s3"))))
    b.handle(1, Request(7, 2_000_000))
    assert b.count_unavailable(2) == 1
    b.handle(2, AttemptEnded(7, 0, "s1", AttemptResult.CONNECT_FAILED))
    assert b.count_unavailable(3) == 2 and b.count_unavailable(60_000_000) == 1
