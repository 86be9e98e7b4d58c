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

from .closing import MAX_DISCARDED, ConnectionCloser
from .lines import MAX_LINE


@implementer(IHalfCloseableProtocol)
class Lines(LineReceiver):
    """Lines that end with CRLF and are at most 4 KiB long."""

    MAX_LENGTH = MAX_LINE
    delimiter = b"\r\n"
    closer: ConnectionCloser | None = None  # from `finish` on
    discarded = 0  # bytes that came after that
    aborted = False

    @property
    def wire(self) -> Any:
        """The transport."""
        return self.transport

    def send_at_once(self) -> None:
        """Don't hold small writes back. Guards the connection: where that fails they are late, and no more."""
        with suppress(OSError):
            self.wire.setTcpNoDelay(True)

    def say(self, line: bytes) -> None:
        """Send a line."""
        self.wire.write(line + b"\r\n")

    def finish(self, closer: ConnectionCloser, how: ConnectionEnd = ConnectionEnd.ORDERLY) -> None:
        """End once all that was said has left. Nothing that comes from here on counts."""
        if self.closer is None and not self.aborted:
            self.closer = closer
            closer.begin(self, how)

    def dataReceived(self, data: bytes) -> None:
        """Bytes. Those after the end are thrown away, so that they can't turn it into a reset; so many at most."""
        if self.closer is None:
            cast(Any, super()).dataReceived(data)
            return
        self.discarded += len(data)
        if self.discarded > MAX_DISCARDED:
            self.closer.on_overrun(self)

    def abort(self) -> None:
        """End at once, by a reset. Nothing more is read: what still lies there stays."""
        self.aborted = True
        self.wire.abortConnection()

    def readConnectionLost(self) -> None:
        """The peer has shut its sending side."""
        if self.closer:
            self.closer.on_peer_ended(self)
        else:
            self.peer_ended()

    def peer_ended(self) -> None:
        """The peer has shut its sending side before this one was to end: that is the end of both sides, unless a
        protocol has something to say to a peer that may still read."""
        cast(Any, self.wire).connectionLost(cast(Any, Failure)(ConnectionDone()))

    def writeConnectionLost(self) -> None:
        """All that was written is with the kernel, and this sending side is shut."""
        if self.closer:
            self.closer.on_sent(self)

    def connectionLost(self, reason: Any = None) -> None:
        """The connection is no more."""
        if self.closer:
            self.closer.over(self)

    def catch_up(self) -> bool:
        """Take what lies unread on this connection. Whether the other end has ended its side, be it heard of or not:
        the loop may be busy with what came up beside it."""
        return self.closer is not None or self.aborted or bool(self.wire.catch_up())

    def unfinished(self) -> bytes:
        """What has come of a line that has no end yet."""
        return cast(bytes, cast(Any, self).clearLineBuffer())

    def take_bytes(self, data: bytes) -> None:
        """Take what another process, or this one, read of the connection before."""
        if data:
            cast(Any, self).dataReceived(data)

    def read_bytes(self) -> None:
        """From here on bytes, not lines."""
        cast(Any, self).setRawMode()

    def read_lines(self, rest: bytes) -> None:
        """From here on lines again, beginning with `rest`."""
        cast(Any, self).setLineMode(rest)


def ending(reason: Any) -> ConnectionEnd:
    """How the other side ended its connection."""
    return ConnectionEnd.ORDERLY if reason.check(ConnectionDone) else ConnectionEnd.BROKEN
