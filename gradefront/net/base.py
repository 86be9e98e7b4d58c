"""Base class of the platform's line protocols: line format, graceful close and untyped access to the transport."""

from __future__ import annotations

from contextlib import suppress
from typing import Any, cast

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from gradefront.core.ports import ConnectionEnd

from .closing import MAX_DISCARDED_BYTES, ConnectionCloser
from .lines import MAX_LINE


@implementer(IHalfCloseableProtocol)
class LineProtocol(LineReceiver):
    """A protocol whose lines end with CRLF and are at most 4 KiB long."""

    MAX_LENGTH = MAX_LINE
    delimiter = b"\r\n"
    closer: ConnectionCloser | None = None  # set by `finish`
    discarded = 0  # bytes received after `finish`
    aborted = False

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
        if self.closer is None and not self.aborted:
            self.closer = closer
            closer.begin(self, ending)

    def dataReceived(self, data: bytes) -> None:
        """Handle received bytes. After `finish`, discard up to MAX_DISCARDED_BYTES of them: closing a socket that has
        unread data would reset the connection."""
        if self.closer is None:
            cast(Any, super()).dataReceived(data)
            return
        self.discarded += len(data)
        if self.discarded > MAX_DISCARDED_BYTES:
            self.closer.on_discard_limit(self)

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
        """Read the data that the kernel holds; return whether the peer has closed its side or this side is closing.

        This detects a close that the reactor has not noticed yet.
        """
        return self.closer is not None or self.aborted or bool(self.tcp.read_available())

    def take_partial_line(self) -> bytes:
        """Remove and return the received bytes of an incomplete line."""
        return cast(bytes, cast(Any, self).clearLineBuffer())

    def replay_received(self, data: bytes) -> None:
        """Handle data that this process or an earlier one has read from the connection but not handled."""
        if data:
            cast(Any, self).dataReceived(data)

    def receive_raw(self) -> None:
        """Switch to raw mode: from now on receive bytes, not lines."""
        cast(Any, self).setRawMode()

    def receive_lines(self, rest: bytes) -> None:
        """Switch back to line mode, beginning with the bytes in `rest`."""
        cast(Any, self).setLineMode(rest)


def connection_end(reason: Any) -> ConnectionEnd:
    """Return ORDERLY if Twisted's reason says that the connection was closed cleanly, else BROKEN."""
    return ConnectionEnd.ORDERLY if reason.check(ConnectionDone) else ConnectionEnd.BROKEN
