"""Backend connections: one per attempt. The connection of a successful attempt goes on to serve the client."""

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

from .base import LineProtocol, connection_end
from .closing import ConnectionCloser
from .lines import RequestLine, parse_load, parse_load_report
from .reactor import Reactor

log = logging.getLogger("gradefront.backend_connection")

ESTABLISHED_RESPONSE = re.compile(rb"UP [!-~][ -~]*")


class RequestStage(Enum):
    """How far the request line has been sent."""

    UNWRITTEN = "unwritten"
    BUFFERED = "buffered"  # in the transport's buffer
    SENT = "sent"  # accepted by the kernel to the last byte


class BackendProtocol(LineProtocol):
    """Line protocol of one backend connection."""

    def __init__(self, upstream: LineBackendConnection) -> None:
        self.upstream = upstream
        self.stage = RequestStage.UNWRITTEN

    def connectionMade(self) -> None:
        """Send the request line; as a pull producer, learn when the kernel has accepted its last byte."""
        transport = self.tcp
        self.disable_nagle()
        transport.before_send = self._check_send_veto
        transport.registerProducer(self, False)
        # Write now, not in the next event loop iteration: by then the client may have disconnected or the backend
        # started to drain.
        transport.flush()

    def _check_send_veto(self) -> bool:
        """Check the send veto before each write of the request line; on a veto, end the attempt and abort.

        After a short write the rest of the line is sent later, and a veto counts for it as for the first bytes: until
        the backend has received the whole line, it has no request.
        """
        attempt = self.upstream.attempt
        veto = attempt.send_veto()
        if veto:
            attempt.end(veto)
            self.abort()
            return False
        attempt.advance(AttemptPhase.WRITING)
        return True

    def resumeProducing(self) -> None:
        """Write the request line on the first call; the second call means that the kernel has accepted all of it."""
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
        """Do nothing: the transport is closed, and `connectionLost` cleans up."""

    def lineReceived(self, line: bytes) -> None:
        """Handle a line. An exception is logged and aborts this connection only."""
        try:
            self.upstream.on_line(line)
        except Exception:
            log.exception("unhandled exception while processing a line from a backend")
            self.abort()

    def line_too_long(self) -> None:
        """Abort this connection on an overlong line; if it was established, migrate the client first."""
        self.upstream.count_invalid("sent a line that exceeds the length limit")
        attempt = self.upstream.attempt
        attempt.core.migrate(attempt.connection)
        self.abort()

    def connectionLost(self, reason: Any = None) -> None:
        """Report the end of the connection, with the bytes of an incomplete last line."""
        super().connectionLost(reason)
        self.upstream.on_connection_lost(connection_end(reason), self.take_partial_line())


class LineBackendConnection(ClientFactory):
    """Backend connection of one attempt, and Twisted's factory for its protocol."""

    noisy = False

    def __init__(self, attempt: Attempt, request_line: RequestLine, closing: ConnectionCloser) -> None:
        self.closing = closing
        self.attempt = attempt
        self.request_line = request_line
        self.line_protocol: BackendProtocol | None = None
        self.connector: Any = None
        self.to_client: Callable[[bytes], None] | None = None
        self.cause = Cause.BROKEN  # cause reported for the attempt if the backend closes in an orderly way now
        self.gone = False
        self.reads_load_report = attempt.connection.settings.load_report_source is LoadReportSource.ATTEMPT_RESULTS

    # ---- Twisted's client factory

    def buildProtocol(self, addr: object) -> BackendProtocol:  # noqa: ARG002 - Twisted's signature
        """Create the protocol of the backend connection, which is now open."""
        self.line_protocol = BackendProtocol(self)
        return self.line_protocol

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: ARG002 - Twisted's signature
        """End the attempt: the backend refused the connection, or it was cancelled before it opened."""
        self.gone = True
        self.attempt.end(Cause.BROKEN)

    # ---- calls from the backend's side

    def on_line(self, line: bytes) -> None:
        """Handle a complete line from the backend: a response, a load report or a message to the client."""
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
            load = parse_load(line)
            if load is None:
                self.count_invalid("sent a LOAD line without a valid number")
            else:
                attempt.on_load_report(load)
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
        elif attempt.phase < AttemptPhase.SENT:  # the request line is incomplete, so the request was not executed
            self.count_invalid("responded before the request line was sent")
            attempt.end(Cause.BROKEN)
        elif ESTABLISHED_RESPONSE.fullmatch(line):
            attempt.succeed(line)
        elif verb == b"MOVE":
            attempt.end(Cause.MIGRATED_BY_BACKEND)
        else:
            if verb != b"ERR":
                self.count_invalid("sent an unknown response to the request line")
            attempt.end(Cause.ERROR)

    def count_invalid(self, what: str) -> None:
        """Count a protocol violation by the backend, and log it rate-limited."""
        core = self.attempt.core
        core.counters.count_fault("bad_answers", f"backend {self.attempt.backend} {what}", core.clock())

    def on_connection_lost(self, ending: ConnectionEnd, partial_line: bytes) -> None:
        """Forward the incomplete last line to the client, and end the attempt."""
        self.gone = True
        if partial_line and self.to_client and not self.attempt.is_over:
            self.to_client(partial_line)
        self.attempt.end(self.cause if ending is ConnectionEnd.ORDERLY else Cause.BROKEN, ending)

    # ---- calls from the client's side

    def forward_line(self, line: bytes) -> None:
        """Forward a complete line from the client to the backend."""
        if self.line_protocol and self.line_protocol.transport and not self.gone:
            self.attempt.on_message_sent()
            self.line_protocol.tcp.write(line + b"\r\n")

    def forward_partial_line(self, partial_line: bytes) -> None:
        """Forward the incomplete last line of a client that has closed its side."""
        if self.line_protocol and self.line_protocol.transport and not self.gone:
            self.line_protocol.tcp.write(partial_line)

    def close(self, ending: ConnectionEnd) -> None:
        """Close this connection: a reset if `ending` is BROKEN or the attempt is not established, else orderly."""
        self.to_client = None
        if self.line_protocol is None:
            if self.connector is not None and not self.gone:
                self.gone = True
                self.connector.disconnect()
        elif self.line_protocol.transport and not self.gone:
            # No bytes of a cancelled attempt may still reach the backend, because a retry may follow. Data that waits
            # in the transport's or the kernel's buffer would still be sent unless the connection is reset.
            if ending is ConnectionEnd.BROKEN or self.attempt.phase < AttemptPhase.UP:
                self.line_protocol.abort()
            else:
                self.line_protocol.tcp.unregisterProducer()
                self.line_protocol.finish(self.closing)


class LineBackendConnector:
    """Opens backend connections on the platform's line protocol.

    `address` returns host and port of a backend, or None if it is not in the endpoint list.
    """

    def __init__(
        self, reactor: Reactor, address: Callable[[str], tuple[str, int] | None], closing: ConnectionCloser
    ) -> None:
        self.reactor = reactor
        self.closing = closing
        self.address = address

    def connect(self, attempt: Attempt, request_line: object) -> BackendConnection:
        """Connect to the attempt's backend and send the request line. The outcome is reported to `attempt`."""
        assert isinstance(request_line, RequestLine)
        upstream = LineBackendConnection(attempt, request_line, self.closing)
        address = self.address(attempt.backend)
        if address is None:  # removed from the endpoint list meanwhile; nothing was sent
            attempt.end(Cause.BROKEN)
        else:
            upstream.connector = self.reactor.connectTCP(*address, upstream, timeout=None)
        return upstream
