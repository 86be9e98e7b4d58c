"""Estimates from load reports of the number of connections that fill a backend."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from balancer import Balancer
from balancer.events import (
    AttemptResult,
    ConnectionEstablished,
    Endpoint,
    EndpointListUpdate,
    HealthCheckResult,
    LoadReport,
    Request,
)
from balancer.recent_minimum import RecentMinimum
from balancer.settings import Settings

from .test_failures import HEALTH_CHECK_SETTINGS, adopt

SECOND_US = 1_000_000
INITIAL_ESTIMATE = 5.0  # this relay's share of the connections that fill a backend, before any report


def connection_share(b: Balancer, now_us: int) -> float:
    return b.load_estimate.capacity_share.connection_share(now_us, 0, INITIAL_ESTIMATE)


def report(b: Balancer, now_us: int, load: float) -> None:
    b.handle(now_us, HealthCheckResult("s0", AttemptResult.OK, load_report=LoadReport(load)))


def node_with_connections(first_us: int, connections: int) -> Balancer:
    """Return a relay with connections at its only backend that were established within a second."""
    b = Balancer(Settings(**HEALTH_CHECK_SETTINGS), 1)
    b.handle(0, EndpointListUpdate((Endpoint("s0"),)))
    for n in range(connections):
        now_us = first_us + n * SECOND_US // connections
        b.handle(now_us, Request(n, SECOND_US))
        b.handle(now_us, ConnectionEstablished(n, 0, "s0"))
    return b


def test_reports_older_than_a_burst_of_connections_do_not_raise_the_estimate() -> None:
    """Guards against an estimate without bound during a burst of clients, since reports lag by up to 2 s."""
    b = node_with_connections(10 * SECOND_US, 40)
    for tenth in range(1, 11):
        report(b, 10 * SECOND_US + tenth * SECOND_US // 10, 0.0)
    assert connection_share(b, 11 * SECOND_US) <= INITIAL_ESTIMATE


def test_reports_that_include_the_connections_give_the_backend_capacity() -> None:
    """Guards against an estimate that stays at its initial value: 40 connections are half a backend's load here."""
    b = node_with_connections(10 * SECOND_US, 40)
    for tenth in range(10):
        report(b, 14 * SECOND_US + tenth * SECOND_US // 10, 0.5)
    assert 70 < connection_share(b, 15 * SECOND_US) <= 80


def test_reports_just_after_a_relays_start_leave_its_share_unknown() -> None:
    """Guards against a just started relay that estimates its share of the fleet's traffic as 0."""
    b = Balancer(Settings(**HEALTH_CHECK_SETTINGS), 1)
    b.handle(10 * SECOND_US, EndpointListUpdate((Endpoint("s0"),)))
    report(b, 11 * SECOND_US, 0.5)
    assert connection_share(b, 11 * SECOND_US) == INITIAL_ESTIMATE


def test_adopted_connections_count_as_reported_at_once() -> None:
    """Guards against a relay that, after a handover, sends next to nothing to backends in slow start."""
    b = Balancer(Settings(**HEALTH_CHECK_SETTINGS), 1)
    b.handle(0, EndpointListUpdate((Endpoint("s0"),)))
    for n in range(40):
        adopt(b, n, "s0", 10 * SECOND_US)
    report(b, 10 * SECOND_US, 0.5)
    assert 50 < connection_share(b, 10 * SECOND_US) <= 80


@given(
    st.lists(st.tuples(st.integers(0, 900), st.integers(0, 9)), max_size=30),
    st.integers(0, 900),
)
def test_recent_minimum_is_the_lowest_value_in_its_time_span(steps: list[tuple[int, int]], later_us: int) -> None:
    count, now_us, history = RecentMinimum(SECOND_US), 0, [(0, 0)]
    for after_us, value in steps:
        now_us += after_us * 1_000
        count.set(now_us, value)
        history.append((now_us, value))
    now_us += later_us * 1_000
    ends = [at_us for at_us, _ in history[1:]] + [now_us + 1]
    held = [value for (_, value), end_us in zip(history, ends, strict=True) if end_us > now_us - SECOND_US]
    assert count.get(now_us) == min(held)
