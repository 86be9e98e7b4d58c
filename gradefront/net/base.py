"""What all line protocols here share: the platform's form of a line, and a typed way to the transport."""

from __future__ import annotations

import socket
from typing import Any, cast

from twisted.internet.error import ConnectionDone
from twisted.protocols.basic import LineReceiver

from gradefront.core.ports import Ending

from .closing import MOST_BYTES, Closing
from .lines import MAX_LINE

MOST_READS = 16  # of 64 KiB at most, of what lies unread on one connection while others wait


class Lines(LineReceiver):
    """Lines that end with CRLF and are at most 4 KiB long."""

    MAX_LENGTH = MAX_LINE
    delimiter = b"\r\n"
    closing_in: Closing | None = None  # from `finish` on
    thrown_away = 0  # bytes that came after that
    aborted = False

    @property
    def wire(self) -> Any:
        """The transport."""
        return self.transport

    def say(self, line: bytes) -> None:
        """Send a line."""
        self.wire.write(line + b"\r\n")

    def finish(self, closing: Closing) -> None:
        """End once all that was said has left. Nothing that comes from here on counts."""
        self.closing_in = closing
        closing.begin(self)

    def dataReceived(self, data: bytes) -> None:
        """Bytes. Those after the end are thrown away, so that they can't turn it into a reset; so many at most."""
        if self.closing_in is None:
            cast(Any, super()).dataReceived(data)
            return
        self.thrown_away += len(data)
        if self.thrown_away > MOST_BYTES:
            self.abort()

    def abort(self) -> None:
        """End at once, by a reset. Nothing more is read: what still lies there stays."""
        self.aborted = True
        self.wire.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:
        """The connection is no more."""
        if self.closing_in:
            self.closing_in.over(self)

    def catch_up(self) -> bool:
        """Take what lies unread on this connection. Whether the other end has ended its side, be it heard of or not:
        the loop may be busy with what came up beside it. Guards against one that sends without end: so much only."""
        for _ in range(MOST_READS):
            if self.closing_in or self.aborted:
                return True
            try:
                if not self.wire.socket.recv(1, socket.MSG_PEEK):
                    return True
            except BlockingIOError:
                return False
            except (OSError, AttributeError):  # a transport that has ended has no socket
                return True
            self.wire.doRead()
        return False

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


def ending(reason: Any) -> Ending:
    """How the other side ended its connection."""
    return Ending.ORDERLY if reason.check(ConnectionDone) else Ending.BROKEN
