"""Upstream connections to backends: one connection for each attempt, which becomes the connection's when it
stands."""

from __future__ import annotations

import logging
import re
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory

from balancer.settings import LoadReportSource
from gradefront.core.attempt_error import AttemptPhase, Cause
from gradefront.core.connection import Attempt
from gradefront.core.ports import BackendConnection, ConnectionEnd

from .base import Lines, ending
from .closing import ConnectionCloser
from .lines import FirstLine, read_report
from .reactor import Reactor

log = logging.getLogger("gradefront.upstream")

SERVED = re.compile(rb"UP [!-~][ -~]*")  # the answer that makes a connection stand: with a receipt, for the client


class BackendProtocol(Lines):
    """The lines to and from one backend."""

    def __init__(self, upstream: LineBackendConnection) -> None:
        self.upstream = upstream
        self.stage = 0  # 1: the first line is with the transport, 2: it has left

    def connectionMade(self) -> None:
        """Send the first line, and learn from the transport when its last byte has left."""
        transport = self.wire
        self.send_at_once()
        transport.before_send = self._may_leave
        transport.registerProducer(self, False)
        # At once, not when the loop comes round: until then the client may leave, or the backend be told to drain.
        transport.flush()

    def _may_leave(self) -> bool:
        """Asked before each piece of the first line leaves: a short write may leave the rest for later, and what
        forbids the first piece forbids the last. Until the last has left, the backend has no request."""
        attempt = self.upstream.attempt
        why = attempt.send_veto()
        if why:
            attempt.end(why)
            self.abort()
            return False
        attempt.advance(AttemptPhase.WRITING)
        return True

    def resumeProducing(self) -> None:
        """Called as a pull producer: first to write, then when all that was written has left."""
        transport = self.wire
        if self.stage == 0:
            self.stage = 1
            self.say(self.upstream.first.with_time(self.upstream.attempt.remaining_us()))
        elif self.stage == 1:
            self.stage = 2
            transport.before_send = None
            transport.unregisterProducer()
            self.upstream.attempt.advance(AttemptPhase.SENT)

    def stopProducing(self) -> None:
        """The transport is gone; `connectionLost` tells the rest."""

    def lineReceived(self, line: bytes) -> None:
        """Guards the relay: an exception ends this connection only."""
        try:
            self.upstream.heard(line)
        except Exception:
            log.exception("a push box's line failed")
            self.abort()

    def lineLengthExceeded(self, line: bytes) -> None:
        """An overlong line ends this connection; whoever stands on it is told to come again."""
        self.upstream.bad("sent an overlong line")
        attempt = self.upstream.attempt
        attempt.core.migrate(attempt.connection)
        self.abort()

    def connectionLost(self, reason: Any = None) -> None:
        """Tell the upstream connection, after what the backend sent of an unfinished line."""
        super().connectionLost(reason)
        self.upstream.lost(ending(reason), self.unfinished())


class LineBackendConnection(ClientFactory):
    """One attempt's connection to its backend."""

    noisy = False

    def __init__(self, attempt: Attempt, first: FirstLine, closing: ConnectionCloser) -> None:
        self.closing = closing
        self.attempt = attempt
        self.first = first
        self.line: BackendProtocol | None = None
        self.connector: Any = None
        self.to_client: Callable[[bytes], None] | None = None
        self.cause = Cause.BROKEN
        self.gone = False
        self.reports = attempt.connection.settings.load_report_source is LoadReportSource.ATTEMPT_RESULTS

    # ---- as Twisted's factory

    def buildProtocol(self, addr: object) -> BackendProtocol:
        """The connection stands."""
        self.line = BackendProtocol(self)
        return self.line

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        """Refused, or never came up."""
        self.gone = True
        self.attempt.end(Cause.BROKEN)

    # ---- what the backend says

    def heard(self, line: bytes) -> None:
        """A whole line from the backend."""
        attempt = self.attempt
        if attempt.is_over:
            return
        word = line.partition(b" ")[0]
        if word in (b"BYE", b"ERR", b"BUSY") and self.reports:
            attempt.report = read_report(line)
        if attempt.phase < AttemptPhase.UP:
            self._answered(line, word)
            return
        if line.startswith(b"LOAD "):
            try:
                attempt.on_load_report(float(line[5:]))
            except ValueError:
                self.bad("told a load that is no number")
        else:
            attempt.on_message_received()
            if line == b"MOVE":
                self.cause = Cause.SENT_AWAY
            elif word == b"BYE":
                self.cause = Cause.SERVED
        if self.to_client:
            self.to_client(line + b"\r\n")

    def _answered(self, line: bytes, word: bytes) -> None:
        """The backend's answer to the first line."""
        attempt = self.attempt
        if word == b"BUSY":
            attempt.end(Cause.FULL)
        elif attempt.phase < AttemptPhase.SENT:  # it has not left whole, and has not run
            self.bad("answered before it was asked")
            attempt.end(Cause.BROKEN)
        elif SERVED.fullmatch(line):
            attempt.succeed(line)
        elif word == b"MOVE":
            attempt.end(Cause.SENT_AWAY)
        else:
            if word != b"ERR":
                self.bad("gave no answer of the protocol")
            attempt.end(Cause.ERROR)

    def bad(self, what: str) -> None:
        """The backend sent what none sends."""
        core = self.attempt.core
        core.counters.bad("bad_answers", f"push box {self.attempt.backend} {what}", core.clock())

    def lost(self, how: ConnectionEnd, rest: bytes) -> None:
        """The connection to the backend ended."""
        self.gone = True
        if rest and self.to_client and not self.attempt.is_over:
            self.to_client(rest)
        self.attempt.end(self.cause if how is ConnectionEnd.ORDERLY else Cause.BROKEN, how)

    # ---- what the client's side says

    def pass_on(self, line: bytes) -> None:
        """A whole line from the client."""
        if self.line and self.line.transport and not self.gone:
            self.attempt.on_message_sent()
            self.line.wire.write(line + b"\r\n")

    def pass_rest(self, rest: bytes) -> None:
        """What the client sent of an unfinished line before it ended."""
        if self.line and self.line.transport and not self.gone:
            self.line.wire.write(rest)

    def close(self, how: ConnectionEnd) -> None:
        """End this connection, in the way given."""
        self.to_client = None
        if self.line is None:
            if self.connector is not None and not self.gone:
                self.gone = True
                self.connector.disconnect()
        elif self.line.transport and not self.gone:
            # An attempt that is given up must leave nothing that could still arrive: another one may follow, and
            # what is written, here or in the kernel, goes on its way until the connection is reset.
            if how is ConnectionEnd.BROKEN or self.attempt.phase < AttemptPhase.UP:
                self.line.abort()
            else:
                self.line.wire.unregisterProducer()
                self.line.finish(self.closing)


class LineBackendConnector:
    """Reaches backends over the platform's lines."""

    def __init__(
        self, reactor: Reactor, address: Callable[[str], tuple[str, int] | None], closing: ConnectionCloser
    ) -> None:
        self.reactor = reactor
        self.closing = closing
        self.address = address

    def connect(self, attempt: Attempt, request_line: object) -> BackendConnection:
        """Connect and send the client's first line."""
        assert isinstance(request_line, FirstLine)
        upstream = LineBackendConnection(attempt, request_line, self.closing)
        where = self.address(attempt.backend)
        if where is None:  # not in the endpoint list any more: nothing was sent
            attempt.end(Cause.BROKEN)
        else:
            upstream.connector = self.reactor.connectTCP(*where, upstream, timeout=None)
        return upstream
