"""Health checks of backends: load checks on one reused connection per backend, and connect checks."""

from __future__ import annotations

import sys
from collections.abc import Callable
from itertools import islice
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
    """Line protocol of one health check connection."""

    def __init__(self, owner: HealthCheckConnection) -> None:
        self.owner = owner

    def connectionMade(self) -> None:
        """Send the health check request for which the connection was opened."""
        self.tcp.setTcpNoDelay(True)
        self.write_line(b"STATS")

    def lineReceived(self, line: bytes) -> None:
        """Handle a response line."""
        self.owner.on_response(line)

    def line_too_long(self) -> None:
        """Abort this connection, because a line exceeds the length limit."""
        self.abort()

    def connectionLost(self, reason: Any = None) -> None:
        """Notify the owner that the connection has ended."""
        super().connectionLost(reason)
        self.owner.on_connection_lost(self)


class HealthCheckConnection(ClientFactory):
    """Checks the health of one backend, one check at a time, on a connection that is kept open between checks."""

    noisy = False

    def __init__(self, checker: BackendHealthChecker, backend: str, address: tuple[str, int]) -> None:
        self.checker = checker
        self.backend = backend
        self.address = address
        self.line_protocol: HealthCheckProtocol | None = None
        self.connector: Any = None
        self.pending_since_us = 0  # start of the check that has no response yet; 0: none
        self.last_used_us = 0
        self.reused = False  # whether the pending check was sent on a connection that was already open
        self.timeout: Timer | None = None  # response timeout of the last check
        checker.core.call_later(IDLE_TIMEOUT_US, self._close_if_idle)

    def check(self) -> None:
        """Send a health check on the open connection, or open one first."""
        if self.pending_since_us:
            return  # the response to the pending check answers this one, too
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
        """Create the protocol of the connection, which is now open."""
        self.line_protocol = HealthCheckProtocol(self)
        return self.line_protocol

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: ARG002 - Twisted's signature
        """Report that the connection was not established."""
        self.checker.forget(self)
        self._finish(AttemptResult.CONNECT_FAILED, None)

    def on_response(self, line: bytes) -> None:
        """Report the result: `PONG` with a load report is a success, any other line an error."""
        if not self.pending_since_us:
            self.close()  # unexpected line: a later response could belong to an earlier check
            return
        ok = line.partition(b" ")[0] == b"PONG"
        self._finish(AttemptResult.OK if ok else AttemptResult.ERROR, parse_load_report(line) if ok else None)

    def on_connection_lost(self, line_protocol: HealthCheckProtocol) -> None:
        """Repeat a pending check on a new connection if it was sent on a reused one, else report it as reset."""
        if self.line_protocol is line_protocol:
            self.line_protocol = None
            if self.pending_since_us and self.reused:
                # Backends close idle connections, so this says nothing about health: repeat the check once.
                self.reused = False
                self._connect()
            else:
                self.checker.forget(self)
                self._finish(AttemptResult.RESET, None)

    def _on_timeout(self) -> None:
        if self.pending_since_us:
            self._finish(AttemptResult.TIMEOUT if self.line_protocol else AttemptResult.CONNECT_FAILED, None)
            self.close()  # a late response must not count for the next check

    def _finish(self, result: AttemptResult, report: LoadReport | None) -> None:
        if self.pending_since_us:
            core = self.checker.core
            took_us, self.pending_since_us = core.clock() - self.pending_since_us, 0
            if self.timeout:
                self.timeout.cancel()
            core.on_health_check_result(self.backend, result, took_us, report)
            self.checker.check_waiting()

    def close(self) -> None:
        """Reset the connection, or cancel it if it is not open yet, and forget it."""
        self.checker.forget(self)
        line_protocol, self.line_protocol = self.line_protocol, None
        if line_protocol and line_protocol.transport:
            line_protocol.abort()
        elif self.connector is not None:
            self.connector.disconnect()

    def _close_if_idle(self) -> None:
        """Close the connection and forget it after IDLE_TIMEOUT_US without a check."""
        if self.checker.connections.get(self.backend) is not self:
            return
        if not self.pending_since_us and self.checker.core.clock() - self.last_used_us > IDLE_TIMEOUT_US:
            self.close()
        else:
            self.checker.core.call_later(IDLE_TIMEOUT_US, self._close_if_idle)


class BackendHealthChecker:
    """Checks the health of all backends (`ports.HealthChecker`).

    `address` returns host and port of a backend, or None if it is not in the endpoint list. `limit` returns how many
    connections may be open. If all of them are in use, a check waits, and so checks are spread over time.
    """

    def __init__(
        self,
        reactor: Reactor,
        core: RelayCore,
        address: Callable[[str], tuple[str, int] | None],
        limit: Callable[[], int] = lambda: sys.maxsize,
    ) -> None:
        self.reactor = reactor
        self.core = core
        self.address = address
        self.limit = limit
        self.connections: dict[str, HealthCheckConnection] = {}  # by backend; the least recently used first
        self.waiting: dict[str, None] = {}  # backends whose check waits for a descriptor, the longest waiting first

    def check_connect(self, backend: str, timeout_us: int) -> None:
        """Check whether a backend accepts a connection within the timeout; report to `core.liveness`."""
        address = self.address(backend)
        if address is None:  # removed from the endpoint list: its connections are migrated anyway
            return
        connect_check = ConnectCheck(self.core, backend)
        connect_check.timeout = self.core.call_later(timeout_us, connect_check.on_timeout)
        connect_check.connector = self.reactor.connectTCP(*address, connect_check, timeout=None)

    def check(self, backend: str) -> None:
        """Check a backend and read its load report; the result is passed to `core.on_health_check_result`."""
        address = self.address(backend)
        connection = self.connections.pop(backend, None)
        if connection and connection.address != address:
            connection.close()
            connection = None
        if address is None:
            self.core.on_health_check_result(backend, AttemptResult.CONNECT_FAILED, 0, None)
            return
        if connection is None and not self._has_room():
            self.waiting[backend] = None
            self.core.counters.add("health_checks_waited")
            return
        self.connections[backend] = connection or HealthCheckConnection(self, backend, address)
        self.connections[backend].check()

    def check_waiting(self) -> None:
        """Make the check that has waited longest, if there is one."""
        if self.waiting and self._has_room():
            backend = next(iter(self.waiting))
            del self.waiting[backend]
            self.check(backend)

    def close_surplus(self) -> None:
        """Close connections without a pending check, the least recently used first, until the limit is kept."""
        surplus = len(self.connections) - self.limit()
        if surplus <= 0:
            return
        idle = (connection for connection in self.connections.values() if not connection.pending_since_us)
        for connection in list(islice(idle, surplus)):
            connection.close()

    def forget(self, connection: HealthCheckConnection) -> None:
        """Forget a connection that holds no descriptor any more."""
        if self.connections.get(connection.backend) is connection:
            del self.connections[connection.backend]

    def _has_room(self) -> bool:
        """Return whether one more connection may be opened, after closing one that is not in use if necessary."""
        if len(self.connections) < self.limit():
            return True
        idle = (connection for connection in self.connections.values() if not connection.pending_since_us)
        least_recently_used = next(idle, None)
        if least_recently_used is None:
            return False
        least_recently_used.close()
        return True
