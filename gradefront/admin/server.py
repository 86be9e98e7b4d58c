"""The admin interface: one line to a connection, one answer, the end.

Whoever holds a connection without a whole call is bounded in number, time and bytes, and can't shut the next
caller out.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.protocol import ServerFactory

from gradefront.core.relay import RelayCore
from gradefront.net.base import Lines
from gradefront.net.closing import ConnectionCloser

log = logging.getLogger("gradefront.door")

LONGEST = 256  # bytes of a call
PATIENCE_US = 3_000_000  # for a whole call
CALLERS = 12  # from here on the one that has stood longest goes,
FRESH_US = 250_000  # unless it is as new as this: its line may be on its way
MOST_CALLERS = 24  # at the most, whatever their age

Answer = Callable[[], list[str]]


class CallerLine(Lines):
    """One caller."""

    delimiter = b"\n"  # with or without a CR before it
    MAX_LENGTH = LONGEST

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.answered = False

    def connectionMade(self) -> None:
        """A caller came."""
        self.arrived_us = self.server.core.clock()
        self.timeout = self.server.core.after(PATIENCE_US, lambda: self.answer(["fail no call came"]))
        self.server.on_connected(self)

    def lineReceived(self, line: bytes) -> None:
        """The call. Guards the relay: an exception ends this connection only."""
        if self.answered:
            return
        try:
            self.answer(self.server.call(line))
        except Exception:
            log.exception("a call at the door failed")
            self.answer(["fail an error in the relay"])

    def lineLengthExceeded(self, line: bytes) -> None:
        """An overlong call."""
        self.answer(["fail an overlong call"])

    def answer(self, lines: list[str]) -> None:
        """Answer, once, and end."""
        if self.answered:
            return
        self.answered = True
        self.timeout.cancel()
        for line in lines:
            self.write_line(line.encode())
        self.finish(self.server.closing)

    def connectionLost(self, reason: Any = None) -> None:
        """The caller left, or has its answer."""
        super().connectionLost(reason)
        self.answered = True
        self.timeout.cancel()
        self.server.callers.pop(self, None)


class AdminServer(ServerFactory):
    """Answers calls from a table of them."""

    noisy = False

    def __init__(self, core: RelayCore, calls: Mapping[str, Answer]) -> None:
        self.core = core
        self.calls = calls
        self.closing = ConnectionCloser(core, MOST_CALLERS)
        self.callers: dict[CallerLine, None] = {}  # the oldest first

    def buildProtocol(self, addr: object) -> CallerLine | None:
        """A caller connects; None ends it at once."""
        if len(self.callers) >= MOST_CALLERS:
            self.core.counters.add("door_full")
            return None
        return CallerLine(self)

    def on_connected(self, caller: CallerLine) -> None:
        """Where callers crowd, who has stood longest goes."""
        self.callers[caller] = None
        oldest = next(iter(self.callers))
        if len(self.callers) > CALLERS and caller.arrived_us - oldest.arrived_us > FRESH_US:
            self.core.counters.add("door_ended_for_room")
            del self.callers[oldest]
            if oldest.answered:
                self.closing.free_descriptor()
            oldest.answer(["fail others wait"])

    def call(self, line: bytes) -> list[str]:
        """The lines of the answer to one call."""
        self.core.counters.add("door_calls")
        answer = self.calls.get(line.removesuffix(b"\r").decode("ascii", "replace"))
        if answer is None:
            self.core.counters.add("door_unknown")
            return [f"fail the calls are {', '.join(self.calls)}"]
        return answer()
