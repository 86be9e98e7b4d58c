"""Base class of the platform's line protocols: line format, graceful close and untyped access to the transport.

A peer may send lines at full speed. A connection handles a few of them, then all other connections have their turn,
and nothing more is read from it until its received lines are handled.
"""

from __future__ import annotations

import logging
import time
from contextlib import suppress
from functools import cached_property
from typing import Any, cast

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from gradefront.core.ports import ConnectionEnd

from .closing import MAX_DISCARDED_BYTES, ConnectionCloser
from .line_buffer import LineBuffer, LineTooLongError
from .lines import MAX_LINE

log = logging.getLogger("gradefront.lines")

# A turn of a connection ends after so many lines, or after the line at whose end the time is over:
MAX_LINES_PER_TURN, MAX_TURN_S = 64, 0.004
# The same where the caller needs to know what has arrived:
MAX_LINES_AT_ONCE, MAX_AT_ONCE_S = 256, 0.02


@implementer(IHalfCloseableProtocol)
class LineProtocol(Protocol):
    """A protocol whose lines end with CRLF and are at most 4 KiB long."""

    MAX_LENGTH = MAX_LINE
    delimiter = b"\r\n"
    closer: ConnectionCloser | None = None  # set by `finish`
    discarded = 0  # bytes received after `finish`
    aborted = False
    _is_handling = False  # received lines are being handled now
    _turn_limit, _turn_s = MAX_LINES_PER_TURN, MAX_TURN_S
    _is_lost = False
    has_backlog = False  # received lines wait for this connection's next turn; until then nothing more is read

    @cached_property
    def received(self) -> LineBuffer:
        """The bytes that are received but not handled yet."""
        return LineBuffer(self.delimiter, self.MAX_LENGTH)

    @property
    def tcp(self) -> Any:
        """The TCP transport, typed as Any: Twisted's interface lacks the methods of this package's transports."""
        return self.transport

    def disable_nagle(self) -> None:
        """Disable Nagle's algorithm. A failure is ignored, since it only delays small writes."""
        with suppress(OSError):
            self.tcp.setTcpNoDelay(True)

    def write_line(self, line: bytes) -> None:
        """Write a line; CRLF is appended."""
        self.tcp.write(line + b"\r\n")

    def finish(self, closer: ConnectionCloser, ending: ConnectionEnd = ConnectionEnd.ORDERLY) -> None:
        """Close the connection as soon as all written data is sent. Data received from now on is discarded."""
        if not self._is_ending:
            self._discard_backlog()
            self.closer = closer
            closer.begin(self, ending)

    def dataReceived(self, data: bytes) -> None:
        """Handle received bytes. After `finish`, discard up to MAX_DISCARDED_BYTES of them: closing a socket that has
        unread data would reset the connection."""
        if self._is_ending:
            self._discard(len(data))
        else:
            self.received.append(data)
            self._handle_received()

    @property
    def _is_ending(self) -> bool:
        return self.closer is not None or self.aborted

    def _discard(self, size: int) -> None:
        self.discarded += size
        if self.closer and self.discarded > MAX_DISCARDED_BYTES:
            self.closer.on_discard_limit(self)

    def _handle_received(self) -> None:
        """Handle received lines, and continue in the next iteration of the event loop if there are many."""
        if self._is_handling:
            return
        self._is_handling = True
        try:
            is_turn_over = self._handle_turn()
        finally:
            self._is_handling = False
        self.on_turn_ended()
        if self._is_ending:
            self._discard(len(self.received))
            self.received.clear()
        elif is_turn_over:
            self.has_backlog = True
            self.tcp.hold_reading()
            self.tcp.reactor.callLater(0, self._begin_turn)

    def _handle_turn(self) -> bool:
        """Handle lines. Return whether more may be left, because the limit of a turn is reached."""
        handled, end_s = 0, time.monotonic() + self._turn_s
        while not self._is_ending and self.handle_next():
            handled += 1
            if handled == self._turn_limit or time.monotonic() >= end_s:
                return True
        return False

    def _begin_turn(self) -> None:
        """Handle the backlog, if it is still there. An exception ends this connection only."""
        if self._is_lost or not self.has_backlog:
            return
        self._end_backlog()
        try:
            self._handle_received()
        except Exception:
            log.exception("unhandled exception while processing received lines")
            self.abort()

    def _end_backlog(self) -> None:
        self.has_backlog = False
        self.tcp.release_reading()

    def _discard_backlog(self) -> None:
        if self.has_backlog:
            self._discard(len(self.received))
            self.received.clear()
            self._end_backlog()

    def handle_next(self) -> bool:
        """Handle the next line. Return False if none is complete, or if the line is too long."""
        try:
            line = self.received.take_line()
        except LineTooLongError:
            self.received.clear()
            self.line_too_long()
            return False
        if line is None:
            return False
        self.lineReceived(line)
        return True

    def lineReceived(self, line: bytes) -> None:
        """Handle a line, without its delimiter."""
        raise NotImplementedError

    def line_too_long(self) -> None:
        """Handle a line that exceeds the length limit. What was received is discarded."""
        raise NotImplementedError

    def on_turn_ended(self) -> None:
        """Handle that no more of the received lines are handled for now."""

    def abort(self) -> None:
        """Reset the connection at once. Nothing more is read."""
        self.aborted = True
        self.tcp.abortConnection()

    def readConnectionLost(self) -> None:
        """Handle the end of the peer's sending side (Twisted's half-close callback)."""
        if self.closer:
            self.closer.on_peer_eof(self)
        else:
            self.on_peer_eof()

    def on_peer_eof(self) -> None:
        """Close both sides, because the peer has closed its sending side before this side did.

        Protocols that still send a final line to such a peer override this.
        """
        cast(Any, self.tcp).connectionLost(cast(Any, Failure)(ConnectionDone()))

    def writeConnectionLost(self) -> None:
        """Notify the closer that the kernel has accepted all written data and the sending side is shut down."""
        if self.closer:
            self.closer.on_sent(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: ARG002 - Twisted's signature
        """Notify the closer that the connection has ended."""
        self._is_lost = True
        if self.closer:
            self.closer.on_connection_lost(self)

    def read_available(self) -> bool:
        """Read and handle the data that the kernel holds; return whether the peer has closed its side or this side is
        closing.

        This detects a close that the reactor has not noticed yet. If very much has arrived, a part of it is left to
        this connection's next turns.
        """
        if self._is_ending:
            return True
        self._turn_limit, self._turn_s = MAX_LINES_AT_ONCE, MAX_AT_ONCE_S
        try:
            self._begin_turn()
            return bool(self.tcp.read_available())
        finally:
            self._turn_limit, self._turn_s = MAX_LINES_PER_TURN, MAX_TURN_S

    def take_partial_line(self) -> bytes:
        """Remove and return the received bytes of an incomplete line."""
        return self.received.take_all()

    def replay_received(self, data: bytes) -> None:
        """Handle data that this process or an earlier one has read from the connection but not handled."""
        if data:
            self.dataReceived(data)


def connection_end(reason: Any) -> ConnectionEnd:
    """Return ORDERLY if Twisted's reason says that the connection was closed cleanly, else BROKEN."""
    return ConnectionEnd.ORDERLY if reason.check(ConnectionDone) else ConnectionEnd.BROKEN
