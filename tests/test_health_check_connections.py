"""The number of connections for health checks is limited; checks above the limit wait, and each gets its result.

Guards against requests that are refused for want of descriptors because health checks hold them.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

from gradefront.net.descriptor_budget import RESERVED_FOR_HEALTH_CHECKS, DescriptorBudget
from gradefront.net.health_checks import RESPONSE_TIMEOUT_US, BackendHealthChecker, HealthCheckConnection

from .helper import Bench


class Connectors:
    """A reactor that records the connections that are opened, and keeps no sockets."""

    def __init__(self) -> None:
        self.opened = list[HealthCheckConnection]()

    def connectTCP(self, host: str, port: int, factory: HealthCheckConnection, timeout: object) -> Connectors:  # noqa: ARG002 - Twisted's signature
        self.opened.append(factory)
        return self

    def disconnect(self) -> None:
        """Do nothing: no connection is open."""


class Checks:
    """A health checker with a limit that can be changed."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.bench, self.reactor = Bench(), Connectors()
        self.checker = BackendHealthChecker(
            cast(Any, self.reactor), self.bench.core, lambda _: ("127.0.0.1", 9), lambda: self.limit
        )
        self.results = list[str]()
        self.bench.core.on_health_check_result = (  # type: ignore[method-assign]
            lambda backend, *_: self.results.append(backend)
        )

    def check(self, *backends: str) -> None:
        for backend in backends:
            self.checker.check(backend)

    def answer(self, backend: str) -> None:
        """Answer a check on a connection that stays open."""
        connection = self.checker.connections[backend]
        if connection.line_protocol is None:
            protocol: Any = connection.buildProtocol(None)
            protocol.transport = SimpleNamespace(write=lambda _: None, abortConnection=lambda: None)
        connection.on_response(b"PONG x0=0.5")

    @property
    def open(self) -> list[str]:
        return list(self.checker.connections)


def test_the_least_recently_used_connection_without_a_check_is_closed_for_another() -> None:
    checks = Checks(limit=2)
    checks.check("a", "b")
    checks.answer("a")
    checks.answer("b")
    checks.check("a")
    checks.answer("a")
    checks.check("c")
    assert checks.open == ["a", "c"]


def test_checks_above_the_limit_wait_in_turn_and_each_gets_a_result() -> None:
    checks = Checks(limit=2)
    checks.check("a", "b", "c", "d", "c")
    assert checks.open == ["a", "b"]
    checks.answer("b")
    assert checks.open == ["a", "c"]
    checks.checker.connections["a"].clientConnectionFailed(None, None)
    assert checks.open == ["c", "d"]
    checks.bench.wait(2 * RESPONSE_TIMEOUT_US)
    assert sorted(checks.results) == ["a", "b", "c", "d"] and not checks.open


def test_a_check_that_waits_is_made_even_if_all_before_it_time_out() -> None:
    checks = Checks(limit=3)
    checks.check(*(f"s{number}" for number in range(30)))
    checks.bench.wait(12 * RESPONSE_TIMEOUT_US)
    assert len(set(checks.results)) == len(checks.results) == 30
    assert len(checks.reactor.opened) == 30 and not checks.open


def test_connections_are_closed_when_clients_need_descriptors() -> None:
    checks = Checks(limit=8)
    names = [f"s{number}" for number in range(8)]
    checks.check(*names)
    for name in names[1:]:
        checks.answer(name)
    checks.limit = 3
    checks.checker.close_surplus()
    assert checks.open == ["s0", "s6", "s7"], "a pending check keeps its connection"


def test_health_checks_use_only_what_clients_leave_besides_the_reserved_descriptors() -> None:
    budget = DescriptorBudget(256)
    assert budget.for_health_checks(0) == RESERVED_FOR_HEALTH_CHECKS + 32
    assert budget.for_health_checks(budget.before_request - 10) == RESERVED_FOR_HEALTH_CHECKS + 10
    assert budget.for_health_checks(budget.for_connections) == RESERVED_FOR_HEALTH_CHECKS
