"""The server of the admin interface: a connection carries one call, a line, and gets one answer.

Connections without a complete call are bounded in number, time and bytes, and can't lock out the next caller.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet.protocol import ServerFactory

from gradefront.core.relay import RelayCore
from gradefront.net.base import LineProtocol
from gradefront.net.closing import ConnectionCloser

log = logging.getLogger("gradefront.admin")

MAX_CALL_BYTES = 256
CALL_TIMEOUT_US = 3_000_000  # from connecting to a complete call
CROWDED_CALLERS = 12  # with more than this, the oldest is ended
NEW_CALLER_US = 250_000  # ... unless all came within this time: its line may be on its way
MAX_CALLERS = 24  # whatever their age

Answer = Callable[[], list[str]]


class AdminProtocol(LineProtocol):
    """The connection of one caller."""

    delimiter = b"\n"  # with or without a CR before it
    MAX_LENGTH = MAX_CALL_BYTES

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.answered = False

    def connectionMade(self) -> None:
        """Wait for the call, for a limited time."""
        self.arrived_us = self.server.core.clock()
        self.timeout = self.server.core.call_later(CALL_TIMEOUT_US, lambda: self.answer(["fail no call came"]))
        self.server.on_connected(self)

    def lineReceived(self, line: bytes) -> None:
        """Answer the call. Prevents a fault in an answer from ending more than this connection."""
        if self.answered:
            return
        try:
            self.answer(self.server.call(line))
        except Exception:  # a fault stops at this one connection
            log.exception("a call of the admin interface failed")
            self.answer(["fail an error in the relay"])

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: ARG002 - Twisted's signature
        """An overlong call."""
        self.answer(["fail an overlong call"])

    def answer(self, lines: list[str]) -> None:
        """Send the answer and end; later answers are ignored."""
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
    """Accepts callers and answers their calls.

    `calls` gives for each call a function that returns the lines of the answer.
    """

    noisy = False

    def __init__(self, core: RelayCore, calls: Mapping[str, Answer]) -> None:
        self.core = core
        self.calls = calls
        self.closing = ConnectionCloser(core, MAX_CALLERS)
        self.callers: dict[AdminProtocol, None] = {}  # in the order in which they came

    def buildProtocol(self, addr: object) -> AdminProtocol | None:  # noqa: ARG002 - Twisted's signature
        """The protocol of a new caller; None, which ends it at once, where there are too many."""
        if len(self.callers) >= MAX_CALLERS:
            self.core.counters.add("door_full")
            return None
        return AdminProtocol(self)

    def on_connected(self, caller: AdminProtocol) -> None:
        """End the oldest caller where there are many."""
        self.callers[caller] = None
        oldest = next(iter(self.callers))
        if len(self.callers) > CROWDED_CALLERS and caller.arrived_us - oldest.arrived_us > NEW_CALLER_US:
            self.core.counters.add("door_ended_for_room")
            del self.callers[oldest]
            if oldest.answered:
                self.closing.free_descriptor()
            oldest.answer(["fail others wait"])

    def end(self) -> None:
        """The process ends: answer the calls that have come, and whoever has made none."""
        for caller in list(self.callers):
            caller.read_available()
            caller.answer(["fail the relay ends"])
        self.closing.close_all()

    def call(self, line: bytes) -> list[str]:
        """The lines of the answer to one call."""
        self.core.counters.add("door_calls")
        answer = self.calls.get(line.removesuffix(b"\r").decode("ascii", "replace"))
        if answer is None:
            self.core.counters.add("door_unknown")
            return [f"fail the calls are {', '.join(self.calls)}"]
        return answer()
