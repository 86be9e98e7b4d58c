"""What all line protocols here share: the platform's form of a line, and a typed way to the transport."""

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
    """A protocol of lines that end with CRLF and are at most 4 KiB long."""

    MAX_LENGTH = MAX_LINE
    delimiter = b"\r\n"
    closer: ConnectionCloser | None = None  # from `finish` on
    discarded = 0  # bytes received since then
    aborted = False

    @property
    def tcp(self) -> Any:
        """The transport."""
        return self.transport

    def send_at_once(self) -> None:
        """Don't hold small writes back. Guards the connection: where that fails they are late, and no more."""
        with suppress(OSError):
            self.tcp.setTcpNoDelay(True)

    def write_line(self, line: bytes) -> None:
        """Write a line, given without its end."""
        self.tcp.write(line + b"\r\n")

    def finish(self, closer: ConnectionCloser, how: ConnectionEnd = ConnectionEnd.ORDERLY) -> None:
        """End once all that was written has left. What is received from here on is discarded."""
        if self.closer is None and not self.aborted:
            self.closer = closer
            closer.begin(self, how)

    def dataReceived(self, data: bytes) -> None:
        """Bytes. After the end they are discarded, as unread ones would turn it into a reset: up to
        MAX_DISCARDED_BYTES."""
        if self.closer is None:
            cast(Any, super()).dataReceived(data)
            return
        self.discarded += len(data)
        if self.discarded > MAX_DISCARDED_BYTES:
            self.closer.on_overrun(self)

    def abort(self) -> None:
        """End at once, by a reset. Nothing more is read."""
        self.aborted = True
        self.tcp.abortConnection()

    def readConnectionLost(self) -> None:
        """The peer has shut its sending side."""
        if self.closer:
            self.closer.on_peer_ended(self)
        else:
            self.peer_ended()

    def peer_ended(self) -> None:
        """The peer has shut its sending side first: by default that ends both sides. A protocol with a last line for
        a peer that may still read overrides this."""
        cast(Any, self.tcp).connectionLost(cast(Any, Failure)(ConnectionDone()))

    def writeConnectionLost(self) -> None:
        """All that was written is with the kernel, and this sending side is shut."""
        if self.closer:
            self.closer.on_sent(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: ARG002 - Twisted's signature
        """The connection is no more."""
        if self.closer:
            self.closer.on_connection_lost(self)

    def read_available(self) -> bool:
        """Read what lies unread. Whether the peer has ended its side, also where the reactor has not seen it yet."""
        return self.closer is not None or self.aborted or bool(self.tcp.read_available())

    def take_partial_line(self) -> bytes:
        """Remove and return what has come of a line that has no end yet."""
        return cast(bytes, cast(Any, self).clearLineBuffer())

    def replay_received(self, data: bytes) -> None:
        """Handle what was read of the connection before, in this process or in another."""
        if data:
            cast(Any, self).dataReceived(data)

    def read_bytes(self) -> None:
        """From here on receive bytes, not lines."""
        cast(Any, self).setRawMode()

    def read_lines(self, rest: bytes) -> None:
        """From here on receive lines again, beginning with `rest`."""
        cast(Any, self).setLineMode(rest)


def ending(reason: Any) -> ConnectionEnd:
    """How the other side ended its connection, by Twisted's reason."""
    return ConnectionEnd.ORDERLY if reason.check(ConnectionDone) else ConnectionEnd.BROKEN
