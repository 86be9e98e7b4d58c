"""Health checks backends for their load, on one connection a backend that is kept while it is of use."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory

from balancer.events import AttemptResult, LoadReport
from gradefront.core.relay import RelayCore
from gradefront.core.timer_wheel import Timer

from .base import Lines
from .lines import read_report
from .reactor import Reactor

PATIENCE_US = 200_000  # an answer later than this says more about the backend than its figures
KEEP_US = 12_000_000  # an unused connection is closed


class HealthCheckProtocol(Lines):
    """The lines of one connection that asks."""

    def __init__(self, owner: HealthCheckConnection) -> None:
        self.owner = owner

    def connectionMade(self) -> None:
        """Ask at once: it was opened for that."""
        self.wire.setTcpNoDelay(True)
        self.say(b"STATS")

    def lineReceived(self, line: bytes) -> None:
        """An answer."""
        self.owner.answered(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """An overlong line ends this connection."""
        self.abort()

    def connectionLost(self, reason: Any = None) -> None:
        """The backend ended it, or it was dropped here."""
        super().connectionLost(reason)
        self.owner.lost(self)


class HealthCheckConnection(ClientFactory):
    """Health checks one backend: at most one health check is out."""

    noisy = False

    def __init__(self, prober: BackendHealthChecker, backend: str, where: tuple[str, int]) -> None:
        self.checker = prober
        self.backend = backend
        self.where = where
        self.line: HealthCheckProtocol | None = None
        self.connector: Any = None
        self.asked_us = 0  # when the question went out that has no answer yet; 0: none
        self.used_us = 0
        self.reused = False
        self.timeout = self.idle = prober.core.after(KEEP_US, self._idle)

    def check(self) -> None:
        """Ask, on the connection that stands or on a new one."""
        if self.asked_us:
            return  # guards against a second question: the answer to the first serves both
        core = self.checker.core
        self.asked_us = self.used_us = core.clock()
        self.timeout = core.after(PATIENCE_US, self._late)
        self.reused = self.line is not None
        if self.line:
            self.line.say(b"STATS")
        else:
            self._connect()

    def _connect(self) -> None:
        self.connector = self.checker.reactor.connectTCP(*self.where, self, timeout=None)

    def buildProtocol(self, addr: object) -> HealthCheckProtocol:
        """The connection stands."""
        self.line = HealthCheckProtocol(self)
        return self.line

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        """Refused."""
        self._done(AttemptResult.CONNECT_FAILED, None)

    def answered(self, line: bytes) -> None:
        """`PONG` with the figures; any other line is no success."""
        if not self.asked_us:  # nobody asked: the next answer on this connection could be that of an earlier question
            self.drop()
            return
        good = line.partition(b" ")[0] == b"PONG"
        self._done(AttemptResult.OK if good else AttemptResult.ERROR, read_report(line) if good else None)

    def lost(self, line: HealthCheckProtocol) -> None:
        """The connection ended."""
        if self.line is line:
            self.line = None
            if self.asked_us and self.reused:
                self.reused = False  # an idle connection that the backend closed says nothing: ask anew
                self._connect()
            else:
                self._done(AttemptResult.RESET, None)

    def _late(self) -> None:
        if self.asked_us:
            self._done(AttemptResult.TIMEOUT if self.line else AttemptResult.CONNECT_FAILED, None)
            self.drop()  # an answer that comes later must not be taken for the next one's

    def _done(self, result: AttemptResult, report: LoadReport | None) -> None:
        if self.asked_us:
            core = self.checker.core
            took, self.asked_us = core.clock() - self.asked_us, 0
            self.timeout.cancel()
            core.on_load_report(self.backend, result, took, report)

    def drop(self) -> None:
        """Close the connection."""
        line, self.line = self.line, None
        if line and line.transport:
            line.abort()
        elif self.connector is not None:
            self.connector.disconnect()

    def _idle(self) -> None:
        now = self.checker.core.clock()
        if self.line and not self.asked_us and now - self.used_us > KEEP_US:
            self.drop()
        if self.checker.connections.get(self.backend) is self:
            self.checker.core.after(KEEP_US, self._idle)


class ConnectCheck(ClientFactory):
    """One new connection to a backend, to see whether its machine is there; closed as soon as that is known."""

    noisy = False

    def __init__(self, core: RelayCore, backend: str) -> None:
        self.core = core
        self.backend = backend
        self.connector: Any = None
        self.timeout: Timer | None = None

    def buildProtocol(self, addr: object) -> None:
        """It came up. Twisted closes a connection without a protocol."""
        self._told(True)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        """Refused: a process that died resets what stood there, so that its connections end by themselves."""
        self._told(True)

    def late(self) -> None:
        """It never came up in time."""
        self._told(False)
        self.connector.disconnect()

    def _told(self, opened: bool) -> None:
        if self.timeout:
            self.timeout.cancel()
            self.timeout = None
            self.core.liveness.on_connect_checked(self.backend, opened)


class BackendHealthChecker:
    """Health checks all backends."""

    def __init__(self, reactor: Reactor, core: RelayCore, address: Callable[[str], tuple[str, int] | None]) -> None:
        self.reactor = reactor
        self.core = core
        self.address = address
        self.connections: dict[str, HealthCheckConnection] = {}

    def check_connect(self, backend: str, timeout_us: int) -> None:
        """See whether a backend still takes connections."""
        where = self.address(backend)
        if where is None:  # gone from the list: its connections move by themselves
            return
        check_connect = ConnectCheck(self.core, backend)
        check_connect.timeout = self.core.after(timeout_us, check_connect.late)
        check_connect.connector = self.reactor.connectTCP(*where, check_connect, timeout=None)

    def check(self, backend: str) -> None:
        """Ask one backend for its load."""
        where = self.address(backend)
        known = self.connections.get(backend)
        if known and known.where != where:
            del self.connections[backend]
            known.drop()
            known = None
        if where is None:
            self.core.on_load_report(backend, AttemptResult.CONNECT_FAILED, 0, None)
            return
        if known is None:
            known = self.connections[backend] = HealthCheckConnection(self, backend, where)
        known.check()
