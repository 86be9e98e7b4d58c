"""The small part of Twisted's reactor that gradefront uses, and the driver that gives the core its turns."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any, Protocol, cast

from twisted.internet.epollreactor import EPollReactor

from gradefront.core.relay import RelayCore

from .transport import Connector, ListeningPort, ServerConnection

STEP_US = 500_000  # us: a wall clock that has moved so far against the monotonic one was stepped; slewing is slower


class DelayedCall(Protocol):
    """A call that is due later."""

    def cancel(self) -> None:
        """Drop it."""


class Reactor(Protocol):
    """Twisted's reactor, as far as it is used here."""

    def callLater(self, delay: float, call: Callable[..., object], *args: Any) -> Any:
        """Call later."""

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float | None = None) -> Any:
        """Connect."""

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:
        """Listen."""

    def adoptStreamPort(self, fileDescriptor: int, addressFamily: int, factory: Any) -> Any:
        """Listen on a descriptor that listens already; it is duplicated, and never shut down."""

    def adoptStreamConnection(self, fileDescriptor: int, addressFamily: int, factory: Any) -> Any:
        """Take up a connection that stands; its descriptor is duplicated."""

    def addReader(self, reader: Any) -> None:
        """Have `reader.doRead` called when its descriptor is ready."""

    def removeReader(self, reader: Any) -> None:
        """No more."""

    def listenUDP(self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192) -> Any:
        """Listen for datagrams."""

    def callFromThread(self, call: Callable[..., object], *args: Any) -> Any:
        """Call soon, from a signal handler or a thread, waking the loop."""

    def run(self, installSignalHandlers: bool = True) -> None:
        """Run until stopped."""

    def stop(self) -> None:
        """Stop."""


class RelayReactor(EPollReactor):
    """Twisted's reactor on the monotonic clock, with connections and listeners that bear errors which pass.

    Twisted counts delays by `time.time`: after a step of the wall clock back by an hour no timer would run for an
    hour, after a step forward all would run at once.
    """

    def seconds(self) -> float:
        """The time by which delays are counted."""
        return time.monotonic()

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> ListeningPort:
        """Listen."""
        listener = ListeningPort(port, factory, backlog, interface, self)
        listener.startListening()
        return listener

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float | None = None, bindAddress: Any = None
    ) -> Any:
        """Connect."""
        connector = cast(Any, Connector)(host, port, factory, timeout, bindAddress, self)
        connector.connect()
        return connector

    def adoptStreamPort(self, fileDescriptor: int, addressFamily: int, factory: Any) -> ListeningPort:
        """Listen on a descriptor that listens already."""
        port = cast(Any, ListeningPort)
        listener: ListeningPort = port._fromListeningDescriptor(self, fileDescriptor, addressFamily, factory)
        listener.startListening()
        return listener

    def adoptStreamConnection(self, fileDescriptor: int, addressFamily: int, factory: Any) -> ServerConnection:
        """Take up a connection that stands."""
        server = cast(Any, ServerConnection)
        connection: ServerConnection = server._fromConnectedSocket(fileDescriptor, addressFamily, factory, self)
        return connection


class Clock:
    """Unix time in microseconds that only advances: the wall clock at the start, and the monotonic clock since."""

    def __init__(self) -> None:
        self.start = self._wall_offset_us()

    def __call__(self) -> int:
        return self.start + time.monotonic_ns() // 1000

    @staticmethod
    def _wall_offset_us() -> int:
        return time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def stepped(self) -> bool:
        """Whether the wall clock stands elsewhere now than at the start: then others' times of day tell nothing."""
        return abs(self._wall_offset_us() - self.start) > STEP_US


class Driver:
    """Gives the core a turn when something is ready and when its wheel is due."""

    def __init__(self, reactor: Reactor, clock: Callable[[], int]) -> None:
        self.reactor = reactor
        self.clock = clock
        self.core: RelayCore | None = None
        self.woken = False
        self.armed: Any = None
        self.armed_us = 0

    def wake(self) -> None:
        """Take a turn once all that is ready now has been gathered."""
        if not self.woken:
            self.woken = True
            self.reactor.callLater(0, self._turn)

    def _turn(self) -> None:
        self.woken = False
        if self.core is None:
            return
        try:
            self.core.run_turn()
        finally:  # guards all timers against an error that the core did not catch
            self._arm(self.core)

    def _arm(self, core: RelayCore) -> None:
        """Have the next turn come when the wheel is due."""
        due = core.timers.next_due()
        if due is None or self.woken:
            return
        if self.armed is not None and self.armed.active():
            if self.armed_us == due:
                return
            self.armed.cancel()
        self.armed_us = due
        self.armed = self.reactor.callLater(max(0, due - self.clock()) / 1e6, self._turn)
