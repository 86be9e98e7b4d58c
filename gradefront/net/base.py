"""Base class of the platform's line protocols: line format, graceful close and untyped access to the transport."""

from __future__ import annotations

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


@implementer(IHalfCloseableProtocol)
class LineProtocol(Protocol):
    """A protocol whose lines end with CRLF and are at most 4 KiB long."""

    MAX_LENGTH = MAX_LINE
    delimiter = b"\r\n"
    closer: ConnectionCloser | None = None  # set by `finish`
    discarded = 0  # bytes received after `finish`
    aborted = False
    _is_handling = False  # received lines are being handled now

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
        """Handle received lines, until this connection ends; what follows then is discarded."""
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while not self._is_ending and self.handle_next():
                pass
        finally:
            self._is_handling = False
        self.on_lines_handled()
        if self._is_ending:
            self._discard(len(self.received))
            self.received.clear()

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

    def on_lines_handled(self) -> None:
        """Handle that the received lines have been handled, as far as they are complete."""

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
        if self.closer:
            self.closer.on_connection_lost(self)

    def read_available(self) -> bool:
        """Read and handle the data that the kernel holds; return whether the peer has closed its side or this side is
        closing.

        This detects a close that the reactor has not noticed yet.
        """
        return self._is_ending or bool(self.tcp.read_available())

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
