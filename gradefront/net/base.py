"""What all line protocols here share: the platform's form of a line, and a typed way to the transport."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol, cast

from twisted.internet.error import ConnectionDone
from twisted.protocols.basic import LineReceiver

from gradefront.core.ports import Ending
from gradefront.core.wheel import Timer

from .lines import MAX_LINE

FLUSH_US = 2_000_000  # after the last line: how long a slow peer may take to read it


class Later(Protocol):
    """Runs things later."""

    def after(self, delay_us: int, then: Callable[[], None]) -> Timer:
        """Run `then` at the first tick after the delay."""


class Lines(LineReceiver):
    """Lines that end with CRLF and are at most 4 KiB long."""

    MAX_LENGTH = MAX_LINE
    delimiter = b"\r\n"

    @property
    def wire(self) -> Any:
        """The transport."""
        return self.transport

    def say(self, line: bytes) -> None:
        """Send a line."""
        self.wire.write(line + b"\r\n")

    def finish(self, desk: Later) -> Timer:
        """End once all that was said has left. Guards against a peer that no longer reads: the timer cuts it off."""
        transport = self.wire
        transport.loseConnection()
        return desk.after(FLUSH_US, transport.abortConnection)

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
