"""The small part of Twisted's reactor that gradefront uses, and the driver that gives the core its turns."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol, cast

from twisted.internet.epollreactor import EPollReactor

from gradefront.core.relay import RelayCore

from .transport import Connector, ListeningPort, ServerConnection

STEP_US = 500_000  # a wall clock that moved so far against the monotonic one was stepped; slewing is slower


class Reactor(Protocol):
    """Twisted's reactor, as far as it is used here."""

    def callLater(self, delay: float, call: Callable[..., object], *args: Any) -> Any:
        """Call after `delay` seconds."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float | None = None) -> Any:
        """Connect; a timeout in seconds."""

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Listen for connections."""

    def adoptStreamPort(self, fileDescriptor: int, addressFamily: int, factory: Any) -> Any:
        """Listen on a descriptor that listens already; it is duplicated, and never shut down."""

    def adoptStreamConnection(self, fileDescriptor: int, addressFamily: int, factory: Any) -> Any:
        """Serve an open connection; its descriptor is duplicated."""

    def addReader(self, reader: Any) -> None:
        """Have `reader.doRead` called when its descriptor is ready."""

    def removeReader(self, reader: Any) -> None:
        """Undo `addReader`."""

    def listenUDP(self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192) -> Any:
        """Listen for datagrams."""

    def callFromThread(self, call: Callable[..., object], *args: Any) -> Any:
        """Call in the loop, from a signal handler or a thread."""

    def run(self, installSignalHandlers: bool = True) -> None:
        """Run until stopped."""

    def stop(self) -> None:
        """Stop."""


class RelayReactor(EPollReactor):
    """Twisted's reactor on the monotonic clock, with connections and listeners that tolerate transient errors.

    Twisted counts delays by `time.time`: after a step of the wall clock back by an hour no timer would run for an
    hour, after a step forward all would run at once.
    """

    def seconds(self) -> float:
        """The monotonic time in seconds, by which delays are counted."""
        return time.monotonic()

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> ListeningPort:
        """Listen for connections."""
        listener = ListeningPort(port, factory, backlog, interface, self)
        listener.startListening()
        return listener

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float | None = None,
        bindAddress: Any = None,  # noqa: N803 - Twisted's signature
    ) -> Any:
        """Connect; a timeout in seconds."""
        connector = cast(Any, Connector)(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def adoptStreamPort(self, fileDescriptor: int, addressFamily: int, factory: Any) -> ListeningPort:
        """Listen on a descriptor that listens already."""
        port = cast(Any, ListeningPort)
        listener: ListeningPort = port._fromListeningDescriptor(self, fileDescriptor, addressFamily, factory)
        listener.is_shared = True
        listener.startListening()
        return listener

    def adoptStreamConnection(self, fileDescriptor: int, addressFamily: int, factory: Any) -> ServerConnection:
        """Serve an open connection."""
        server = cast(Any, ServerConnection)
        connection: ServerConnection = server._fromConnectedSocket(fileDescriptor, addressFamily, factory, self)
        return connection


class Clock:
    """Unix time in microseconds that only advances: the wall clock at the start, and the monotonic clock since."""

    def __init__(self) -> None:
        self.start = self._wall_offset_us()

    def __call__(self) -> int:
        """The time now."""
        return self.start + time.monotonic_ns() // 1000

    @staticmethod
    def _wall_offset_us() -> int:
        return time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def stepped(self) -> bool:
        """Whether the wall clock was stepped since the start: then others' times of day can't be trusted."""
        return abs(self._wall_offset_us() - self.start) > STEP_US


class Driver:
    """Runs the core when something is ready and when its timer wheel is due."""

    def __init__(self, reactor: Reactor, clock: Callable[[], int]) -> None:
        self.reactor = reactor
        self.clock = clock
        self.core: RelayCore | None = None
        self.is_woken = False
        self.scheduled: Any = None
        self.scheduled_us = 0

    def wake(self) -> None:
        """Run the core once all that is ready now has been gathered."""
        if not self.is_woken:
            self.is_woken = True
            self.reactor.callLater(0, self._run_core)

    def _run_core(self) -> None:
        self.is_woken = False
        if self.core is None:
            return
        try:
            self.core.run_once()
        finally:  # guards all timers against an error that the core did not catch
            self._schedule(self.core)

    def _schedule(self, core: RelayCore) -> None:
        """Run the core when its timer wheel is due."""
        due = core.timers.next_due()
        if due is None or self.is_woken:
            return
        if self.scheduled is not None and self.scheduled.active():
            if self.scheduled_us == due:
                return
            self.scheduled.cancel()
        self.scheduled_us = due
        self.scheduled = self.reactor.callLater(max(0, due - self.clock()) / 1e6, self._run_core)
