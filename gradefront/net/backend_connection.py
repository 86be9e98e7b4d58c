"""Connections to backends: one for each attempt. A successful attempt's connection serves the client."""

from __future__ import annotations

import logging
import re
from collections.abc import Callable
from enum import Enum
from typing import Any

from twisted.internet.protocol import ClientFactory

from balancer.settings import LoadReportSource
from gradefront.core.attempt_outcome import AttemptPhase, Cause
from gradefront.core.connection import Attempt
from gradefront.core.ports import BackendConnection, ConnectionEnd

from .base import LineProtocol, ending
from .closing import ConnectionCloser
from .lines import RequestLine, parse_load_report
from .reactor import Reactor

log = logging.getLogger("gradefront.backend_connection")

ESTABLISHED_RESPONSE = re.compile(rb"UP [!-~][ -~]*")


class RequestStage(Enum):
    """How far the request line has come."""

    UNWRITTEN = "unwritten"
    BUFFERED = "buffered"  # the transport has it
    SENT = "sent"  # the kernel has all of it


class BackendProtocol(LineProtocol):
    """The lines to and from one backend."""

    def __init__(self, upstream: LineBackendConnection) -> None:
        self.upstream = upstream
        self.stage = RequestStage.UNWRITTEN

    def connectionMade(self) -> None:
        """Send the request line, and learn from the transport when its last byte has left."""
        transport = self.tcp
        self.send_at_once()
        transport.before_send = self._may_send
        transport.registerProducer(self, False)
        # At once, not when the loop comes round: until then the client may leave, or the backend start to drain.
        transport.flush()

    def _may_send(self) -> bool:
        """Asked before each piece of the request line leaves: a short write may leave the rest for later, and what
        forbids the first piece forbids the last. Until the last has left, the backend has no request."""
        attempt = self.upstream.attempt
        veto = attempt.send_veto()
        if veto:
            attempt.end(veto)
            self.abort()
            return False
        attempt.advance(AttemptPhase.WRITING)
        return True

    def resumeProducing(self) -> None:
        """Called as a pull producer: first to write, then when all that was written has left."""
        transport = self.tcp
        if self.stage is RequestStage.UNWRITTEN:
            self.stage = RequestStage.BUFFERED
            self.write_line(self.upstream.request_line.with_time(self.upstream.attempt.remaining_us()))
        elif self.stage is RequestStage.BUFFERED:
            self.stage = RequestStage.SENT
            transport.before_send = None
            transport.unregisterProducer()
            self.upstream.attempt.advance(AttemptPhase.SENT)

    def stopProducing(self) -> None:
        """The transport is gone; `connectionLost` does the rest."""

    def lineReceived(self, line: bytes) -> None:
        """Handle a line. Guards the relay: an exception ends this connection only."""
        try:
            self.upstream.on_line(line)
        except Exception:
            log.exception("a backend's line failed")
            self.abort()

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: ARG002 - Twisted's signature
        """End this connection for an overlong line; an established one migrates."""
        self.upstream.count_invalid("sent an overlong line")
        attempt = self.upstream.attempt
        attempt.core.migrate(attempt.connection)
        self.abort()

    def connectionLost(self, reason: Any = None) -> None:
        """Report the end, with what the backend sent of an unfinished line."""
        super().connectionLost(reason)
        self.upstream.on_connection_lost(ending(reason), self.take_partial_line())


class LineBackendConnection(ClientFactory):
    """One attempt's connection to its backend."""

    noisy = False

    def __init__(self, attempt: Attempt, request_line: RequestLine, closing: ConnectionCloser) -> None:
        self.closing = closing
        self.attempt = attempt
        self.request_line = request_line
        self.line_protocol: BackendProtocol | None = None
        self.connector: Any = None
        self.to_client: Callable[[bytes], None] | None = None
        self.cause = Cause.BROKEN  # of the attempt's end, if the connection ends in order now
        self.gone = False
        self.reads_load_report = attempt.connection.settings.load_report_source is LoadReportSource.ATTEMPT_RESULTS

    # ---- Twisted's factory

    def buildProtocol(self, addr: object) -> BackendProtocol:  # noqa: ARG002 - Twisted's signature
        """The connection to the backend is open."""
        self.line_protocol = BackendProtocol(self)
        return self.line_protocol

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: ARG002 - Twisted's signature
        """The backend refused, or the connection was given up before it was open."""
        self.gone = True
        self.attempt.end(Cause.BROKEN)

    # ---- from the backend

    def on_line(self, line: bytes) -> None:
        """Handle a complete line from the backend."""
        attempt = self.attempt
        if attempt.is_over:
            return
        verb = line.partition(b" ")[0]
        if verb in (b"BYE", b"ERR", b"BUSY") and self.reads_load_report:
            attempt.load_report = parse_load_report(line)
        if attempt.phase < AttemptPhase.UP:
            self._on_response(line, verb)
            return
        if line.startswith(b"LOAD "):
            try:
                attempt.on_load_report(float(line[5:]))
            except ValueError:
                self.count_invalid("sent a load that is no number")
        else:
            attempt.on_message_received()
            if line == b"MOVE":
                self.cause = Cause.MIGRATED_BY_BACKEND
            elif verb == b"BYE":
                self.cause = Cause.COMPLETED
        if self.to_client:
            self.to_client(line + b"\r\n")

    def _on_response(self, line: bytes, verb: bytes) -> None:
        """Handle the response to the request line."""
        attempt = self.attempt
        if verb == b"BUSY":
            attempt.end(Cause.REJECTED)
        elif attempt.phase < AttemptPhase.SENT:  # the request has not left completely, and was not executed
            self.count_invalid("responded before the request was sent")
            attempt.end(Cause.BROKEN)
        elif ESTABLISHED_RESPONSE.fullmatch(line):
            attempt.succeed(line)
        elif verb == b"MOVE":
            attempt.end(Cause.MIGRATED_BY_BACKEND)
        else:
            if verb != b"ERR":
                self.count_invalid("sent no response of the protocol")
            attempt.end(Cause.ERROR)

    def count_invalid(self, what: str) -> None:
        """Count what no backend sends."""
        core = self.attempt.core
        core.counters.count_fault("bad_answers", f"backend {self.attempt.backend} {what}", core.clock())

    def on_connection_lost(self, how: ConnectionEnd, unfinished: bytes) -> None:
        """The connection to the backend ended, after `unfinished` of a line."""
        self.gone = True
        if unfinished and self.to_client and not self.attempt.is_over:
            self.to_client(unfinished)
        self.attempt.end(self.cause if how is ConnectionEnd.ORDERLY else Cause.BROKEN, how)

    # ---- from the client

    def forward_line(self, line: bytes) -> None:
        """Forward a complete line from the client."""
        if self.line_protocol and self.line_protocol.transport and not self.gone:
            self.attempt.on_message_sent()
            self.line_protocol.tcp.write(line + b"\r\n")

    def forward_partial_line(self, unfinished: bytes) -> None:
        """Forward what the client sent of an unfinished line before it ended."""
        if self.line_protocol and self.line_protocol.transport and not self.gone:
            self.line_protocol.tcp.write(unfinished)

    def close(self, ending: ConnectionEnd) -> None:
        """End this connection, in the way given."""
        self.to_client = None
        if self.line_protocol is None:
            if self.connector is not None and not self.gone:
                self.gone = True
                self.connector.disconnect()
        elif self.line_protocol.transport and not self.gone:
            # A cancelled attempt must leave nothing that could still arrive: a retry may follow, and what is written,
            # here or in the kernel, goes on its way until the connection is reset.
            if ending is ConnectionEnd.BROKEN or self.attempt.phase < AttemptPhase.UP:
                self.line_protocol.abort()
            else:
                self.line_protocol.tcp.unregisterProducer()
                self.line_protocol.finish(self.closing)


class LineBackendConnector:
    """Reaches backends over the platform's lines. `address` gives a listed backend's host and port."""

    def __init__(
        self, reactor: Reactor, address: Callable[[str], tuple[str, int] | None], closing: ConnectionCloser
    ) -> None:
        self.reactor = reactor
        self.closing = closing
        self.address = address

    def connect(self, attempt: Attempt, request_line: object) -> BackendConnection:
        """Connect and send the client's request line. The outcome goes to `attempt`."""
        assert isinstance(request_line, RequestLine)
        upstream = LineBackendConnection(attempt, request_line, self.closing)
        address = self.address(attempt.backend)
        if address is None:  # not in the endpoint list any more: nothing was sent
            attempt.end(Cause.BROKEN)
        else:
            upstream.connector = self.reactor.connectTCP(*address, upstream, timeout=None)
        return upstream
