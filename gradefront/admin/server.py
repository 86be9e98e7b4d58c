"""The server of the admin interface: each connection sends one command, in one line, and gets one answer.

Connections without a complete command are limited in number, time and bytes, and cannot block other callers.
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

MAX_COMMAND_BYTES = 256
COMMAND_TIMEOUT_US = 3_000_000  # from the connect to the complete command
EVICTION_THRESHOLD = 12  # with more connections than this, each new one causes the oldest to be closed
MIN_EVICTION_AGE_US = 250_000  # ... if it has been open longer than this; until then its command may be in transit
MAX_CALLERS = 24  # further connections are closed at once

CommandHandler = Callable[[], list[str]]


class AdminProtocol(LineProtocol):
    """The connection of one caller."""

    delimiter = b"\n"  # a preceding CR is optional
    MAX_LENGTH = MAX_COMMAND_BYTES

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.answered = False

    def connectionMade(self) -> None:
        """Wait for the command, with a timeout."""
        self.arrived_us = self.server.core.clock()
        self.timeout = self.server.core.call_later(COMMAND_TIMEOUT_US, lambda: self.answer(["fail no call came"]))
        self.server.on_connected(self)

    def lineReceived(self, line: bytes) -> None:
        """Answer the command. An exception in a handler ends this connection only."""
        if self.answered:
            return
        try:
            self.answer(self.server.run_command(line))
        except Exception:  # a fault must affect this connection only
            log.exception("an admin command failed")
            self.answer(["fail an error in the relay"])

    def line_too_long(self) -> None:
        """Reject an overlong command."""
        self.answer(["fail an overlong call"])

    def answer(self, lines: list[str]) -> None:
        """Send the answer and close; later answers are ignored."""
        if self.answered:
            return
        self.answered = True
        self.timeout.cancel()
        for line in lines:
            self.write_line(line.encode())
        self.finish(self.server.closing)

    def connectionLost(self, reason: Any = None) -> None:
        """Forget the caller."""
        super().connectionLost(reason)
        self.answered = True
        self.timeout.cancel()
        self.server.callers.pop(self, None)


class AdminServer(ServerFactory):
    """Accepts callers and answers their commands.

    `commands` maps each command to the function that returns the lines of its answer.
    """

    noisy = False

    def __init__(self, core: RelayCore, commands: Mapping[str, CommandHandler]) -> None:
        self.core = core
        self.commands = commands
        self.closing = ConnectionCloser(core, MAX_CALLERS)
        self.callers: dict[AdminProtocol, None] = {}  # in order of connecting

    def buildProtocol(self, addr: object) -> AdminProtocol | None:  # noqa: ARG002 - Twisted's signature
        """Return the protocol for a new caller, or None, which closes the connection, if there are too many."""
        if len(self.callers) >= MAX_CALLERS:
            self.core.counters.add("door_full")
            return None
        return AdminProtocol(self)

    def on_connected(self, caller: AdminProtocol) -> None:
        """Register a caller. Above EVICTION_THRESHOLD, close the oldest one to make room."""
        self.callers[caller] = None
        oldest = next(iter(self.callers))
        if len(self.callers) > EVICTION_THRESHOLD and caller.arrived_us - oldest.arrived_us > MIN_EVICTION_AGE_US:
            self.core.counters.add("door_ended_for_room")
            del self.callers[oldest]
            if oldest.answered:  # it is closing, and only waits for the caller to close
                self.closing.free_descriptor()
            oldest.answer(["fail others wait"])

    def end(self) -> None:
        """Answer all callers, including those that have sent no command, because the process stops."""
        for caller in list(self.callers):
            caller.read_available()
            caller.answer(["fail the relay ends"])
        self.closing.close_all()

    def run_command(self, line: bytes) -> list[str]:
        """Run one command and return the lines of its answer."""
        self.core.counters.add("door_calls")
        handler = self.commands.get(line.removesuffix(b"\r").decode("ascii", "replace"))
        if handler is None:
            self.core.counters.add("door_unknown")
            return [f"fail the calls are {', '.join(self.commands)}"]
        return handler()
