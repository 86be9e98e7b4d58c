"""Health checks of backends: their load, each on a connection that is reused, and whether they take connections."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory

from balancer.events import AttemptResult, LoadReport
from gradefront.core.relay import RelayCore
from gradefront.core.timer_wheel import Timer

from .base import LineProtocol
from .connect_check import ConnectCheck
from .lines import parse_load_report
from .reactor import Reactor

RESPONSE_TIMEOUT_US = 200_000
IDLE_TIMEOUT_US = 12_000_000


class HealthCheckProtocol(LineProtocol):
    """The lines of one health check connection."""

    def __init__(self, owner: HealthCheckConnection) -> None:
        self.owner = owner

    def connectionMade(self) -> None:
        """Send the health check for which the connection was opened."""
        self.tcp.setTcpNoDelay(True)
        self.write_line(b"STATS")

    def lineReceived(self, line: bytes) -> None:
        """A response."""
        self.owner.on_response(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: ARG002 - Twisted's signature
        """End this connection for an overlong line."""
        self.abort()

    def connectionLost(self, reason: Any = None) -> None:
        """The backend or this relay ended the connection."""
        super().connectionLost(reason)
        self.owner.on_connection_lost(self)


class HealthCheckConnection(ClientFactory):
    """Health checks one backend, one check at a time."""

    noisy = False

    def __init__(self, checker: BackendHealthChecker, backend: str, address: tuple[str, int]) -> None:
        self.checker = checker
        self.backend = backend
        self.address = address
        self.line_protocol: HealthCheckProtocol | None = None
        self.connector: Any = None
        self.pending_since_us = 0  # when the check began that has no response yet; 0: none
        self.last_used_us = 0
        self.reused = False  # whether the pending check went out on an open connection
        self.timeout: Timer | None = None  # of the last check
        checker.core.call_later(IDLE_TIMEOUT_US, self._close_if_idle)

    def check(self) -> None:
        """Check on the open connection, or on a new one."""
        if self.pending_since_us:
            return  # the response to the pending check serves both
        core = self.checker.core
        self.pending_since_us = self.last_used_us = core.clock()
        self.timeout = core.call_later(RESPONSE_TIMEOUT_US, self._on_timeout)
        self.reused = self.line_protocol is not None
        if self.line_protocol:
            self.line_protocol.write_line(b"STATS")
        else:
            self._connect()

    def _connect(self) -> None:
        self.connector = self.checker.reactor.connectTCP(*self.address, self, timeout=None)

    def buildProtocol(self, addr: object) -> HealthCheckProtocol:  # noqa: ARG002 - Twisted's signature
        """The connection is open."""
        self.line_protocol = HealthCheckProtocol(self)
        return self.line_protocol

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: ARG002 - Twisted's signature
        """The backend refused."""
        self._finish(AttemptResult.CONNECT_FAILED, None)

    def on_response(self, line: bytes) -> None:
        """`PONG` with the load report is a success, any other line is an error."""
        if not self.pending_since_us:
            self.drop()  # a line unasked: the next response here could be that of an earlier check
            return
        ok = line.partition(b" ")[0] == b"PONG"
        self._finish(AttemptResult.OK if ok else AttemptResult.ERROR, parse_load_report(line) if ok else None)

    def on_connection_lost(self, line: HealthCheckProtocol) -> None:
        """The connection ended."""
        if self.line_protocol is line:
            self.line_protocol = None
            if self.pending_since_us and self.reused:
                self.reused = False  # backends close idle connections: that is no outcome, so check on a new one
                self._connect()
            else:
                self._finish(AttemptResult.RESET, None)

    def _on_timeout(self) -> None:
        if self.pending_since_us:
            self._finish(AttemptResult.TIMEOUT if self.line_protocol else AttemptResult.CONNECT_FAILED, None)
            self.drop()  # a late response must not be taken for the next one's

    def _finish(self, result: AttemptResult, report: LoadReport | None) -> None:
        if self.pending_since_us:
            core = self.checker.core
            took_us, self.pending_since_us = core.clock() - self.pending_since_us, 0
            if self.timeout:
                self.timeout.cancel()
            core.on_health_check_result(self.backend, result, took_us, report)

    def drop(self) -> None:
        """Close the connection."""
        line, self.line_protocol = self.line_protocol, None
        if line and line.transport:
            line.abort()
        elif self.connector is not None:
            self.connector.disconnect()

    def _close_if_idle(self) -> None:
        now_us = self.checker.core.clock()
        if self.line_protocol and not self.pending_since_us and now_us - self.last_used_us > IDLE_TIMEOUT_US:
            self.drop()
        if self.checker.connections.get(self.backend) is self:
            self.checker.core.call_later(IDLE_TIMEOUT_US, self._close_if_idle)


class BackendHealthChecker:
    """Health checks all backends. `address` gives a listed backend's host and port."""

    def __init__(self, reactor: Reactor, core: RelayCore, address: Callable[[str], tuple[str, int] | None]) -> None:
        self.reactor = reactor
        self.core = core
        self.address = address
        self.connections: dict[str, HealthCheckConnection] = {}

    def check_connect(self, backend: str, timeout_us: int) -> None:
        """Check whether a backend takes a connection within the timeout; the outcome goes to `core.liveness`."""
        address = self.address(backend)
        if address is None:  # not in the endpoint list any more: its connections migrate by themselves
            return
        connect_check = ConnectCheck(self.core, backend)
        connect_check.timeout = self.core.call_later(timeout_us, connect_check.on_timeout)
        connect_check.connector = self.reactor.connectTCP(*address, connect_check, timeout=None)

    def check(self, backend: str) -> None:
        """Check a backend's load; the outcome goes to `core.on_health_check_result`."""
        address = self.address(backend)
        connection = self.connections.get(backend)
        if connection and connection.address != address:
            del self.connections[backend]
            connection.drop()
            connection = None
        if address is None:
            self.core.on_health_check_result(backend, AttemptResult.CONNECT_FAILED, 0, None)
            return
        if connection is None:
            connection = self.connections[backend] = HealthCheckConnection(self, backend, address)
        connection.check()
