"""What a relay learns from load reports about the connections that fill a backend."""

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
GUESS = 5.0  # connections of this relay that fill a backend, where nothing is known


def full_connections(b: Balancer, now_us: int) -> float:
    return b.load_estimate.capacity_share.connections(now_us, 0, GUESS)


def report(b: Balancer, now_us: int, load: float) -> None:
    b.handle(now_us, HealthCheckResult("s0", AttemptResult.OK, load_report=LoadReport(load)))


def node_with_connections(first_us: int, connections: int) -> Balancer:
    """A relay with so many connections at its one backend, made within a second."""
    b = Balancer(Settings(**HEALTH_CHECK_SETTINGS), 1)
    b.handle(0, EndpointListUpdate((Endpoint("s0"),)))
    for n in range(connections):
        now_us = first_us + n * SECOND_US // connections
        b.handle(now_us, Request(n, SECOND_US))
        b.handle(now_us, ConnectionEstablished(n, 0, "s0"))
    return b


def test_reports_from_before_a_crowd_do_not_raise_the_backend_capacity() -> None:
    """Guards against an estimate that runs away while a crowd comes, since reports lag by up to 2 s."""
    b = node_with_connections(10 * SECOND_US, 40)
    for tenth in range(1, 11):
        report(b, 10 * SECOND_US + tenth * SECOND_US // 10, 0.0)
    assert full_connections(b, 11 * SECOND_US) <= GUESS


def test_reports_that_show_the_connections_give_the_backend_capacity() -> None:
    """Guards against an estimate that stays at its guess: 40 connections are half a backend here."""
    b = node_with_connections(10 * SECOND_US, 40)
    for tenth in range(10):
        report(b, 14 * SECOND_US + tenth * SECOND_US // 10, 0.5)
    assert 70 < full_connections(b, 15 * SECOND_US) <= 80


def test_reports_of_a_relays_first_moments_leave_its_share_unknown() -> None:
    """Guards against a relay that has just started and takes itself for one with no part in the fleet's traffic."""
    b = Balancer(Settings(**HEALTH_CHECK_SETTINGS), 1)
    b.handle(10 * SECOND_US, EndpointListUpdate((Endpoint("s0"),)))
    report(b, 11 * SECOND_US, 0.5)
    assert full_connections(b, 11 * SECOND_US) == GUESS


def test_adopted_connections_are_in_the_reports_already() -> None:
    """Guards against a relay that takes over from another and sends next to nothing to backends in slow start."""
    b = Balancer(Settings(**HEALTH_CHECK_SETTINGS), 1)
    b.handle(0, EndpointListUpdate((Endpoint("s0"),)))
    for n in range(40):
        adopt(b, n, "s0", 10 * SECOND_US)
    report(b, 10 * SECOND_US, 0.5)
    assert 50 < full_connections(b, 10 * SECOND_US) <= 80


@given(
    st.lists(st.tuples(st.integers(0, 900), st.integers(0, 9)), max_size=30),
    st.integers(0, 900),
)
def test_a_recent_minimum_is_the_lowest_value_of_the_span(steps: list[tuple[int, int]], later_us: int) -> None:
    count, now_us, history = RecentMinimum(SECOND_US), 0, [(0, 0)]
    for after_us, value in steps:
        now_us += after_us * 1_000
        count.set(now_us, value)
        history.append((now_us, value))
    now_us += later_us * 1_000
    ends = [at_us for at_us, _ in history[1:]] + [now_us + 1]
    held = [value for (_, value), end_us in zip(history, ends, strict=True) if end_us > now_us - SECOND_US]
    assert count.get(now_us) == min(held)
